"""A link: one TCP connection between two processes, with heartbeats both ways.

A connection may go silent for good without a reset, if a device between its ends drops its state.
So each end sends pings. An end that receives nothing for `SILENCE_TIMEOUT_MS` closes the link, and
the end that dialled it opens a new connection.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Protocol

from skylarkrack._addresses import split_address
from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import FrameRejected
from skylarkrack._events import Event, log
from skylarkrack.messages import PROTOCOL_VERSION, Hello, Ping, Pong
from skylarkrack.wire._codec import FrameDecoder, encode

PING_INTERVAL_MS = 300
"""Interval between the pings that each end sends."""

SILENCE_TIMEOUT_MS = 1500
"""Time without any data after which a link is taken for dead and closed."""

CONNECT_TIMEOUT_MS = 1000
"""Timeout of one attempt to connect; another attempt follows after `REDIAL_PAUSE_MS`."""

REDIAL_PAUSE_MS = 200
"""Pause before a link that failed or ended is dialled again."""

READ_BYTES = 65_536
"""Largest read from a connection at once."""

MAX_UNSENT_BYTES = 16_777_216
"""Bytes that may be buffered for a peer that does not read; the link is closed beyond."""


class LinkOwner(Protocol):
    """The process that owns one end of a link; its methods are called by the link."""

    def hello(self) -> Hello:
        """Return the first message on a link, which identifies this process."""

    def pong(self, ping: Ping) -> Pong:
        """Return the answer to the peer's *ping*."""

    def link_up(self, link: "Link") -> None:
        """Called when a link is ready for messages: the peer's `Hello` was accepted."""

    def link_down(self, link: "Link") -> None:
        """Called when a link that was up has ended."""

    def message_received(self, link: "Link", message: object) -> None:
        """Called for each received message that is no `Hello`, `Ping` or `Pong`."""

    def pong_received(self, link: "Link", pong: Pong, asked_ms: float) -> None:
        """Called when the last ping, sent at *asked_ms* (monotonic), was answered."""


@dataclass(slots=True)
class _SentPing:
    sequence: int = 0
    sent_ms: float = 0.0


class Link:
    """One end of a link. Messages sent in one iteration of the event loop are written together."""

    __slots__ = (
        "_last_ping",
        "_decoder",
        "_last_received_ms",
        "_unsent_frames",
        "_owner",
        "_reader",
        "_writer",
        "is_open",
        "peer",
    )

    def __init__(
        self, owner: LinkOwner, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._owner = owner
        self._reader = reader
        self._writer = writer
        self._decoder = FrameDecoder()
        self._unsent_frames: list[bytes] = []
        self._last_ping = _SentPing()
        self._last_received_ms = monotonic_ms()
        self.peer: Hello | None = None
        self.is_open = True

    @property
    def vm(self) -> str:
        """Name of the VM at the other end, or "?" before its `Hello`."""
        return self.peer.vm if self.peer else "?"

    def send(self, message: object) -> None:
        """Queue *message* for the end of this loop iteration; does nothing on a closed link."""
        if not self.is_open:
            return
        if not self._unsent_frames:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent_frames.append(encode(message))

    def close(self) -> None:
        """Write what is queued and close the connection, which ends `run`."""
        if not self.is_open:
            return
        self._flush()
        self.is_open = False
        self._writer.close()

    async def run(self) -> None:
        """Send `Hello`, then pass received messages to the owner until the link ends.

        A rejected frame, or an error while a message is handled, is logged and ends the link.
        """
        self.send(self._owner.hello())
        ping_task = asyncio.create_task(self._ping())
        try:
            await self._read()
        except FrameRejected as error:
            log(Event.FRAME_REJECTED, vm=self.vm, reason=str(error))
        except OSError:
            pass
        except Exception as error:  # noqa: BLE001 - a message's error must not end the process
            log(Event.HANDLER_FAILED, server="link", vm=self.vm, error=repr(error))
        finally:
            ping_task.cancel()
            self.close()
            if self.peer is not None:
                self._owner.link_down(self)

    async def _read(self) -> None:
        while self.is_open:
            data = await self._reader.read(READ_BYTES)
            if not data:
                return
            self._last_received_ms = monotonic_ms()
            for message in self._decoder.feed(data):
                self._handle_message(message)

    async def _ping(self) -> None:
        while self.is_open:
            if monotonic_ms() - self._last_received_ms > SILENCE_TIMEOUT_MS:
                self._writer.transport.abort()
                return
            self._last_ping = _SentPing(self._last_ping.sequence + 1, monotonic_ms())
            self.send(Ping(sequence=self._last_ping.sequence))
            await asyncio.sleep(PING_INTERVAL_MS / 1000)

    @singledispatchmethod
    def _handle_message(self, message: object) -> None:
        if self.peer is None:
            raise FrameRejected(f"{type(message).__name__} received before Hello")
        self._owner.message_received(self, message)

    @_handle_message.register
    def _(self, message: Hello) -> None:
        if message.protocol != PROTOCOL_VERSION or self.peer is not None:
            raise FrameRejected(f"second Hello, or unsupported protocol {message.protocol}")
        self.peer = message
        self._owner.link_up(self)

    @_handle_message.register
    def _(self, message: Ping) -> None:
        self.send(self._owner.pong(message))

    @_handle_message.register
    def _(self, message: Pong) -> None:
        # A pong to an older ping would be paired with the send time of the last one, and the peer's
        # knowledge would be taken for newer than it is.
        if message.sequence == self._last_ping.sequence and self.peer is not None:
            self._owner.pong_received(self, message, self._last_ping.sent_ms)

    def _flush(self) -> None:
        if not self._unsent_frames or not self.is_open:
            return
        data, self._unsent_frames = b"".join(self._unsent_frames), []
        self._writer.write(data)
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._writer.transport.abort()


async def accept_links(owner: LinkOwner, address: str) -> asyncio.Server:
    """Accept links on *address*, `IP:port`, and return the listening server.

    Raises `OSError` if the address is in use, so two copies of a process can't run at once.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await Link(owner, reader, writer).run()

    host, port = split_address(address)
    return await asyncio.start_server(serve, host, port)


async def dial(owner: LinkOwner, address: str, is_wanted: Callable[[], bool]) -> None:
    """Keep a link to *address* open while *is_wanted* returns true; dial again when it ends."""
    host, port = split_address(address)
    while is_wanted():
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            await asyncio.sleep(REDIAL_PAUSE_MS / 1000)
            continue
        await Link(owner, reader, writer).run()
        await asyncio.sleep(REDIAL_PAUSE_MS / 1000)
