"""One client connection: a request out, its answer in, and nothing that belongs to neither."""

import asyncio
import socket
from collections import deque

import h11

from skylarkrack._errors import LinkLost

MAX_UNREAD_BYTES = 262_144
"""Bytes of an answer that may wait here for a reader; beyond it the other end has to wait."""

ACKNOWLEDGEMENT_TIMEOUT_MS = 6000
"""A connection whose bytes are not acknowledged for so long is broken, not slow."""


class ClientConnection(asyncio.Protocol):
    """The client's side of one HTTP/1.1 connection, on `h11`.

    Bytes that arrive while no request is under way make the connection unusable, as do a request
    whose body was not taken whole and an answer that is followed by other bytes.
    """

    __slots__ = (
        "_error",
        "_events",
        "_h11",
        "_is_paused",
        "_is_unusable",
        "_keep_alive_ms",
        "_method",
        "_timer",
        "_transport",
        "_unread_bytes",
        "_wait_deadline_s",
        "_waiter",
        "idle_since_s",
    )

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._h11 = h11.Connection(h11.CLIENT)
        self._waiter: asyncio.Future | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._wait_deadline_s = 0.0
        self._events: deque = deque()
        self._error: Exception | None = None
        self._is_unusable = False
        self._is_paused = False
        self._unread_bytes = 0
        self._keep_alive_ms: float | None = None
        self._method = b"GET"
        self.idle_since_s = 0.0

    # Called by the event loop

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Bound the wait for acknowledgements, where the system can."""
        self._transport = transport
        connected = transport.get_extra_info("socket")
        if connected is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            option = socket.TCP_USER_TIMEOUT
            connected.setsockopt(socket.IPPROTO_TCP, option, ACKNOWLEDGEMENT_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse what came; without a request under way it belongs to nothing."""
        if self._h11.our_state is h11.IDLE:
            self._is_unusable = True
            self.close()
            return
        self._receive(data)

    def eof_received(self) -> bool:
        """The other end has closed: the end of an answer without a length, else a break."""
        self._is_unusable = True
        if self._h11.our_state is not h11.IDLE:
            self._receive(b"")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone; an answer without a length that was reset is not whole."""
        self._is_unusable = True
        self._fail(error or ConnectionResetError("connection closed"))

    # Queries

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        return not self._is_unusable and not self._transport.is_closing()

    def is_within_keep_alive(self, now_s: float, *, fraction: float) -> bool:
        """Tell whether less than *fraction* of the time that the other end keeps it has passed."""
        if self._keep_alive_ms is None:
            return True
        return (now_s - self.idle_since_s) * 1000 < fraction * self._keep_alive_ms

    # Commands

    def send(self, head: h11.Request, body: bytes) -> None:
        """Write a whole request."""
        self._method = bytes(head.method)
        data = self._h11.send(head)
        if body:
            data += self._h11.send(h11.Data(data=body))
        self._transport.write(data + (self._h11.send(h11.EndOfMessage()) or b""))

    def skip_answer(self) -> None:
        """Go on to the next answer: the one just read whole belongs to an earlier request."""
        rest, _ = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT)
        self._h11.send(h11.Request(method=self._method, target="/", headers=[("host", "-")]))
        self._h11.send(h11.EndOfMessage())
        self._is_unusable = True
        if rest:
            self._receive(bytes(rest))

    async def next_head(self, timeout_ms: float) -> h11.Response:
        """Return the head of the answer, interim ones left out."""
        while True:
            event = await self.next_event(timeout_ms)
            if isinstance(event, h11.Response):
                self._read_connection_headers(event)
                return event

    async def next_event(self, timeout_ms: float) -> object:
        """Return the parser's next event, or raise `LinkLost`."""
        if not self._events:
            await self._wait(timeout_ms)
        event = self._events.popleft()
        if isinstance(event, h11.Data):
            self._unread_bytes -= len(event.data)
            if self._is_paused and self._unread_bytes < MAX_UNREAD_BYTES // 2:
                self._is_paused = False
                self._transport.resume_reading()
        return event

    def prepare_reuse(self, now_s: float) -> bool:
        """Make the connection ready for another request; tell whether it can be."""
        if self._h11.trailing_data[0] or self._transport.get_write_buffer_size():
            return False
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self.idle_since_s = now_s
        return self.is_usable

    def close(self) -> None:
        """Close the connection; bytes that are not read yet are dropped."""
        self._is_unusable = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._transport is not None:
            self._transport.abort()

    def _receive(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            self._parse()
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._is_unusable = True
            self._fail(error)
            return
        if self._unread_bytes > MAX_UNREAD_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def _parse(self) -> None:
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.ConnectionClosed):
                self._fail(ConnectionResetError("closed before the end"))
                break
            if isinstance(event, h11.Data):
                self._unread_bytes += len(event.data)
            self._events.append(event)
            if isinstance(event, h11.EndOfMessage):
                break
        if self._events:
            self._wake()

    async def _wait(self, timeout_ms: float) -> None:
        if self._error is not None:
            raise LinkLost(f"broken answer: {self._error!r}", sent=True) from self._error
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        self._wait_deadline_s = loop.time() + timeout_ms / 1000
        if self._timer is None or self._timer.when() > self._wait_deadline_s:
            self._schedule_check(loop)
        try:
            await self._waiter
        finally:
            self._waiter = None
        if not self._events:
            error = self._error
            raise LinkLost(f"broken answer: {error!r}", sent=True) from error

    def _schedule_check(self, loop: asyncio.AbstractEventLoop) -> None:
        """Look at the wait's end whether it has ended; a timer for each event would cost more."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_at(self._wait_deadline_s, self._check_wait, loop)

    def _check_wait(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        if self._waiter is None:
            return
        if loop.time() < self._wait_deadline_s:
            self._schedule_check(loop)
            return
        self._error = self._error or TimeoutError("no bytes in time")
        self._wake()
        self.close()

    def _fail(self, error: Exception) -> None:
        self._error = self._error or error
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _read_connection_headers(self, head: h11.Response) -> None:
        for name, value in head.headers:
            if name == b"keep-alive":
                seconds = _parse_keep_alive_s(value)
                self._keep_alive_ms = None if seconds is None else seconds * 1000.0
            elif name == b"connection" and b"close" in value.lower():
                self._is_unusable = True


def _parse_keep_alive_s(value: bytes) -> int | None:
    """Return the seconds in a header such as `timeout=5, max=100`."""
    for part in value.decode("latin-1").split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return int(number)
    return None
