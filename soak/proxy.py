"""A loopback proxy that delays or resets connections, or drops data in one or both directions.

It also writes each refusal once more before the next answer on the same connection, as a faulty
endpoint may.
"""

import asyncio
import socket
import struct
from enum import Enum

from skylarkrack._addresses import split_address

READ_BYTES = 65_536
REFUSED = b"x-not-executed"


class Fault(Enum):
    """The fault that a proxy applies to its connections.

    `DROP_RESPONSES` discards data from the target, `DROP_ALL` data in both directions; the
    connections stay open.
    """

    NONE = "none"
    DELAY = "delay"
    DROP_RESPONSES = "cut answers"
    DROP_ALL = "silent"


class Proxy:
    """Forwards connections to *address* to *target*; both are `host:port`."""

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.fault = Fault.NONE
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start listening; raises `OSError` if the address is in use."""
        self._server = await asyncio.start_server(self._serve, *split_address(self.address))

    async def close(self) -> None:
        """Stop listening and end every connection."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks))

    def reset_all(self) -> None:
        """Reset the open connections with RST: a linger of 0 s skips the orderly close."""
        for writer in list(self._writers):
            connection = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *split_address(self._target)
            )
            self._writers.add(target_writer)
            request_task = asyncio.ensure_future(
                self._forward_data(reader, target_writer, is_response=False)
            )
            response_task = asyncio.ensure_future(
                self._forward_data(target_reader, writer, is_response=True)
            )
            await asyncio.wait((request_task, response_task), return_when=asyncio.FIRST_COMPLETED)
            request_task.cancel()
            response_task.cancel()
            target_writer.close()
            self._writers.discard(target_writer)
        except (OSError, asyncio.CancelledError):
            # The target is down or the soak ends; the client sees its connection close.
            pass
        finally:
            writer.close()
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())

    async def _forward_data(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_response: bool
    ) -> None:
        refusal = b""
        try:
            while data := await reader.read(READ_BYTES):
                if is_response:
                    # Refusals are small and arrive in one piece.
                    data, refusal = refusal + data, data if REFUSED in data.lower() else b""
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(0.2)
                if self.fault is Fault.DROP_ALL or (
                    is_response and self.fault is Fault.DROP_RESPONSES
                ):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            # A reset by either peer ends both directions.
            return
