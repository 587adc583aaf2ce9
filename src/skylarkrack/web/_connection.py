"""One client connection: sends requests and accepts only bytes that belong to a response."""

import asyncio
import contextlib
import socket
from collections import deque

import h11

from skylarkrack._errors import LinkLost

MAX_UNREAD_BYTES = 65_536
"""Bound on buffered bytes of a response; beyond it reading from the socket is paused."""

MAX_UNREAD_EVENTS = 32
"""Bound on buffered events, which is how many one connection parses in one round of the event loop.
A server that sends tiny pieces at full speed would otherwise hold up all other connections."""

READ_BYTES = 65_536
"""Bound on the bytes that one read from the socket returns."""

EVENT_OVERHEAD_BYTES = 256
"""Memory of a buffered event beside its data, which is more than the data of a small chunk."""

MAX_INTERIM_RESPONSES = 16
"""Bound on the interim responses (1xx) before a response; beyond it `LinkLost` is raised."""

ACKNOWLEDGEMENT_TIMEOUT_MS = 6000
"""How long sent bytes may be unacknowledged; beyond it the connection is broken, not slow."""


class ClientConnection(asyncio.Protocol):
    """The client side of one HTTP/1.1 connection, on `h11`.

    The connection is not reused after bytes that arrived without a request in progress, after a
    request whose body was not written completely, and after a response that other bytes follow.
    """

    __slots__ = (
        "_error",
        "_events",
        "_h11",
        "_is_paused",
        "_is_resuming",
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
        self._is_resuming = False
        self._unread_bytes = 0
        self._keep_alive_ms: float | None = None
        self._method = b"GET"
        self.idle_since_s = 0.0

    # Called by the event loop

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the time-out for acknowledgements if the system supports it."""
        self._transport = transport
        transport.max_size = READ_BYTES
        connected = transport.get_extra_info("socket")
        if connected is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            option = socket.TCP_USER_TIMEOUT
            connected.setsockopt(socket.IPPROTO_TCP, option, ACKNOWLEDGEMENT_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; without a request in progress they close the connection."""
        if self._h11.our_state is h11.IDLE:
            self._is_unusable = True
            self.close()
            return
        self._receive(data)

    def eof_received(self) -> bool:
        """Handle a close by the server.

        It completes a response without a length; any other response is incomplete.
        """
        self._is_unusable = True
        if self._h11.our_state is not h11.IDLE:
            self._receive(b"")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the response in progress; after a reset one without a length is incomplete too."""
        self._is_unusable = True
        self._fail(error or ConnectionResetError("connection closed"))

    # Queries

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        return not self._is_unusable and not self._transport.is_closing()

    def is_within_keep_alive(self, now_s: float, *, fraction: float) -> bool:
        """Return whether less than *fraction* of the keep-alive time has passed since the last use.

        The connection has no such limit if the server gave no keep-alive time.
        """
        if self._keep_alive_ms is None:
            return True
        return (now_s - self.idle_since_s) * 1000 < fraction * self._keep_alive_ms

    # Commands

    def send(self, head: h11.Request, body: bytes) -> None:
        """Write a complete request."""
        self._method = bytes(head.method)
        data = self._h11.send(head)
        if body:
            data += self._h11.send(h11.Data(data=body))
        self._transport.write(data + (self._h11.send(h11.EndOfMessage()) or b""))

    def skip_answer(self) -> None:
        """Expect another response, since the one that was read belongs to an earlier request.

        The connection is not reused afterwards.
        """
        following, _ = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT)
        self._h11.send(h11.Request(method=self._method, target="/", headers=[("host", "-")]))
        self._h11.send(h11.EndOfMessage())
        self._is_unusable = True
        if following:
            self._receive(bytes(following))
        self._resume()

    async def next_head(self, timeout_ms: float) -> h11.Response:
        """Return the head of the response and skip interim ones; raises as `next_event` does."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self.next_event(timeout_ms)
            if isinstance(event, h11.Response):
                self._read_connection_headers(event)
                return event
        raise LinkLost("interim responses without end", sent=True)

    async def next_event(self, timeout_ms: float) -> object:
        """Return the next event of the parser, waiting at most *timeout_ms* for it.

        Raises `LinkLost` if the connection fails or the wait times out.
        """
        if not self._events:
            await self._wait(timeout_ms)
        event = self._events.popleft()
        self._unread_bytes -= _size_of(event)
        if self._is_paused and not self._is_resuming and not self._events:
            # In the next round, so that a reader that never waits lets others go on.
            self._is_resuming = True
            asyncio.get_running_loop().call_soon(self._resume)
        return event

    def prepare_reuse(self, now_s: float) -> bool:
        """Prepare the connection for another request; return False if it cannot be reused."""
        if self._h11.trailing_data[0] or self._transport.get_write_buffer_size():
            return False
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self.idle_since_s = now_s
        return self.is_usable

    def close(self) -> None:
        """Close the connection at once; bytes that have not been read are discarded."""
        self._is_unusable = True
        self._is_paused = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._transport is not None:
            self._transport.abort()
            self._shut_down()

    def give_up(self, reason: str) -> None:
        """Fail the response in progress and close the connection."""
        self._fail(ConnectionAbortedError(reason))
        self._events.clear()
        self.close()

    def _shut_down(self) -> None:
        """Tell the server now; an aborted transport closes its socket in the loop's next round."""
        connected = self._transport.get_extra_info("socket")
        if connected is not None:
            with contextlib.suppress(OSError):
                connected.shutdown(socket.SHUT_WR)

    def _receive(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            self._parse()
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._fail_parsing(error)

    def _resume(self) -> None:
        """Parse what was received before the pause, and read on unless it fills the buffer."""
        self._is_resuming = False
        if not self._is_paused:
            return
        self._is_paused = False
        try:
            self._parse()
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._fail_parsing(error)
        if not self._is_paused and not self._transport.is_closing():
            self._transport.resume_reading()
        if self._error is not None:
            self._wake()

    def _parse(self) -> None:
        """Parse received bytes until none are left or the buffered events fill the buffer."""
        while True:
            if self._unread_bytes > MAX_UNREAD_BYTES or len(self._events) >= MAX_UNREAD_EVENTS:
                self._pause()
                break
            event = self._h11.next_event()
            if event is h11.PAUSED:
                # What follows a whole response belongs to no request, and is not kept.
                self._is_unusable = True
                self._pause()
                break
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.ConnectionClosed):
                self._fail(ConnectionResetError("closed before the end"))
                break
            self._unread_bytes += _size_of(event)
            self._events.append(event)
            if isinstance(event, h11.EndOfMessage):
                break
        if self._events:
            self._wake()

    def _pause(self) -> None:
        self._is_paused = True
        self._transport.pause_reading()

    def _fail_parsing(self, error: Exception) -> None:
        """Read nothing more from a server that has sent what is no response."""
        self._fail(error)
        self.close()

    async def _wait(self, timeout_ms: float) -> None:
        """Wait for an event; an error counts only once all that was received is parsed."""
        loop = asyncio.get_running_loop()
        self._wait_deadline_s = loop.time() + timeout_ms / 1000
        while not self._events:
            if self._error is not None and not self._is_paused:
                raise LinkLost(f"broken answer: {self._error!r}", sent=True) from self._error
            self._waiter = loop.create_future()
            if self._timer is None or self._timer.when() > self._wait_deadline_s:
                self._schedule_check(loop)
            try:
                await self._waiter
            finally:
                self._waiter = None

    def _schedule_check(self, loop: asyncio.AbstractEventLoop) -> None:
        """Schedule a check at the deadline of the wait.

        One timer serves many waits, since a timer for each event would cost more.
        """
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
        # After a stall of the process this timer may be handled before what was awaited. A timer
        # that is due in the next round of the loop comes after what arrives in it.
        self._timer = loop.call_later(0, self._end_wait, loop, self._waiter)

    def _end_wait(self, loop: asyncio.AbstractEventLoop, waiter: asyncio.Future) -> None:
        """End the wait of *waiter*, unless it has got what it awaited."""
        self._timer = None
        if waiter.done():
            if self._waiter is not None:
                # The next wait began while this timer was set, and set none of its own.
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


def _size_of(event: object) -> int:
    """Return the memory that a buffered event takes, in bytes."""
    return EVENT_OVERHEAD_BYTES + (len(event.data) if isinstance(event, h11.Data) else 0)


def _parse_keep_alive_s(value: bytes) -> int | None:
    """Return the time-out in a keep-alive header such as `timeout=5, max=100`, or None."""
    for parameter in value.decode("latin-1").split(","):
        name, _, number = parameter.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return int(number)
    return None
