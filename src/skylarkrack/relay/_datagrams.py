"""Datagrams between the processes of the system; they carry complete states, sent repeatedly.

A lost or late datagram is repaired by the next one. A path that fails shows as a silent sender,
and there is no connection that could seem open while it is dead. Larger data goes over a stream.
"""

import asyncio
from collections.abc import Callable

from skylarkrack._addresses import split_address
from skylarkrack._errors import FrameRejected
from skylarkrack._events import Event, log
from skylarkrack.wire import decode, encode_body

MAX_DATAGRAM_BYTES = 60_000
"""Bound on an encoded message; sending a larger one raises `ValueError`."""


class Datagrams(asyncio.DatagramProtocol):
    """Sends and receives typed messages on one address.

    *rejected* counts the datagrams that could not be decoded, handled or delivered. *sent_bytes*
    counts the bytes sent.
    """

    __slots__ = ("_handle", "_transport", "rejected", "sent_bytes")

    def __init__(self, handle: Callable[[object, bytes, str], None]) -> None:
        """Call *handle* with each message, its bytes, and the address of the sender, `IP:port`."""
        self._handle = handle
        self._transport: asyncio.DatagramTransport | None = None
        self.rejected = 0
        self.sent_bytes = 0

    async def start(self, address: str) -> None:
        """Listen on *address* (`IP:port`); raises `OSError` if it is not available."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=split_address(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport of the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode a message and pass it to the handler; invalid ones are counted and logged."""
        sender = f"{address[0]}:{address[1]}"
        try:
            message = decode(data)
        except FrameRejected as error:
            self.rejected += 1
            log(Event.DATAGRAM_REJECTED, sender=sender, error=str(error))
            return
        try:
            self._handle(message, data, sender)
        except (TypeError, ValueError, LookupError, AttributeError) as error:
            # Decoding checks the types of fields. Rows in a field are checked only on use.
            self.rejected += 1
            log(Event.HANDLER_FAILED, sender=sender, error=repr(error))

    def error_received(self, error: OSError) -> None:
        """Count a datagram that could not be delivered.

        Nothing listens at the address now; membership detects that by the silence of the member.
        """
        self.rejected += 1

    def send_to(self, message: object, addresses: tuple[str, ...]) -> None:
        """Send a message to several addresses; raises `ValueError` above `MAX_DATAGRAM_BYTES`."""
        self.send_bytes(encode_body(message), addresses)

    def send_bytes(self, data: bytes, addresses: tuple[str, ...]) -> None:
        """Send an encoded message to several addresses; raises `ValueError` as `send_to` does."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a message of {len(data)} bytes is too large for a datagram")
        for address in addresses:
            self._transport.sendto(data, split_address(address))
            self.sent_bytes += len(data)
