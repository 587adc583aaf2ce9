"""Datagrams between the processes of the system: whole states, told again and again.

A lost or late datagram is made good by the next, a silent path is a silent sender, and there is
no connection that could seem open and be dead. Anything larger goes over a stream.
"""

import asyncio
from collections.abc import Callable

from skylarkrack._addresses import split_address
from skylarkrack._errors import FrameRejected
from skylarkrack._events import Event, log
from skylarkrack.wire import decode, encode_body

MAX_DATAGRAM_BYTES = 60_000


class Datagrams(asyncio.DatagramProtocol):
    """Sends and receives typed messages on one address."""

    __slots__ = ("_handle", "_transport", "rejected", "sent_bytes")

    def __init__(self, handle: Callable[[object, bytes, str], None]) -> None:
        """*handle* is called with each message, its bytes, and the address that sent them."""
        self._handle = handle
        self._transport: asyncio.DatagramTransport | None = None
        self.rejected = 0
        self.sent_bytes = 0

    async def start(self, address: str) -> None:
        """Listen on *address*."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=split_address(address))

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode a message and hand it on."""
        sender = f"{address[0]}:{address[1]}"
        try:
            message = decode(data)
        except FrameRejected as error:
            self.rejected += 1
            log(Event.DATAGRAM_REJECTED, sender=sender, error=str(error))
            return
        try:
            self._handle(message, data, sender)
        except (TypeError, ValueError, IndexError, KeyError) as error:
            # The rows inside a message are only checked where they are used.
            self.rejected += 1
            log(Event.HANDLER_FAILED, sender=sender, error=repr(error))

    def error_received(self, error: OSError) -> None:
        """Nobody listens there now; membership notices by the silence."""
        self.rejected += 1

    def send_to(self, message: object, addresses: tuple[str, ...]) -> None:
        """Send one message to several addresses; raises `ValueError` for one that is too large."""
        self.send_bytes(encode_body(message), addresses)

    def send_bytes(self, data: bytes, addresses: tuple[str, ...]) -> None:
        """Send a message's bytes to several addresses; raises `ValueError` for too many bytes."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a datagram of {len(data)} bytes")
        for address in addresses:
            self._transport.sendto(data, split_address(address))
            self.sent_bytes += len(data)
