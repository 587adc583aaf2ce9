"""Datagrams between the processes of the system; they carry complete states, sent repeatedly.

A lost or late datagram is repaired by the next one. A path that fails shows as a silent sender,
and there is no connection that could seem open while it is dead. Larger data goes over a stream.

Several datagrams that have arrived are handled in one round of the event loop. With one in each
round, as asyncio's transport reads them, a process whose rounds are long falls behind its peers:
messages wait in the socket, arrive seconds old, and look like those of live senders.
"""

import asyncio
import reprlib
import socket
from collections.abc import Callable

from skylarkrack._addresses import split_address
from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import FrameRejected
from skylarkrack._events import Event, log
from skylarkrack.wire import decode, encode_body

MAX_DATAGRAM_BYTES = 60_000
"""Bound on an encoded message; sending a larger one raises `ValueError`."""

MAX_DATAGRAMS_PER_ROUND = 128
MAX_ROUND_MS = 10.0
"""Datagrams handled in one round of the event loop, and the time after which no more are begun, so
that requests proceed between them. A message may cause decisions about all waiting requests."""

_RECEIVE_BYTES = 65_536


class Datagrams:
    """Sends and receives typed messages on one address.

    *rejected* counts the datagrams that could not be decoded, handled or delivered. *sent_bytes*
    counts the bytes sent, and *full_rounds* the rounds of the event loop that may have left
    datagrams unread.
    """

    __slots__ = ("_handle", "_loop", "_socket", "full_rounds", "rejected", "sent_bytes")

    def __init__(self, handle: Callable[[object, bytes, str], None]) -> None:
        """Call *handle* with each message, its bytes, and the address of the sender, `IP:port`."""
        self._handle = handle
        self._loop: asyncio.AbstractEventLoop | None = None
        self._socket: socket.socket | None = None
        self.full_rounds = 0
        self.rejected = 0
        self.sent_bytes = 0

    async def start(self, address: str) -> None:
        """Listen on *address* (`IP:port`); raises `OSError` if it is not available."""
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        bound = socket.socket(family, socket.SOCK_DGRAM)
        try:
            bound.setblocking(False)
            bound.bind((host, port))
        except OSError:
            bound.close()
            raise
        self._socket = bound
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(bound, self._receive_arrived)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _receive_arrived(self) -> None:
        """Handle the datagrams that have arrived, within the bounds of one round."""
        end_ms = monotonic_ms() + MAX_ROUND_MS
        for _ in range(MAX_DATAGRAMS_PER_ROUND):
            if self._socket is None:
                return
            try:
                data, address = self._socket.recvfrom(_RECEIVE_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # Nothing listens at an address that was sent to; its silence shows that too.
                self.rejected += 1
                continue
            self._receive(data, address)
            if monotonic_ms() >= end_ms:
                break
        self.full_rounds += 1

    def _receive(self, data: bytes, address: tuple[str, int]) -> None:
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
        except Exception as error:  # noqa: BLE001 - one message must not hold up those behind it
            # Decoding checks the types of fields. Rows in a field are checked only on use.
            self.rejected += 1
            log(Event.HANDLER_FAILED, sender=sender, error=reprlib.repr(error))

    def send_to(self, message: object, addresses: tuple[str, ...]) -> None:
        """Send a message to several addresses; raises `ValueError` above `MAX_DATAGRAM_BYTES`."""
        self.send_bytes(encode_body(message), addresses)

    def send_bytes(self, data: bytes, addresses: tuple[str, ...]) -> None:
        """Send an encoded message to several addresses; raises `ValueError` as `send_to` does."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a message of {len(data)} bytes is too large for a datagram")
        if self._socket is None:
            return
        for address in addresses:
            try:
                self._socket.sendto(data, split_address(address))
            except OSError:
                # The send buffer is full, or there is no path now; the next message repairs it.
                self.rejected += 1
                continue
            self.sent_bytes += len(data)
