"""A loopback proxy that delays, resets, cuts one way or silences the connections through it."""

import asyncio
import socket
import struct
from enum import Enum

from skylarkrack._addresses import split_address

READ_BYTES = 65_536


class Fault(Enum):
    """What a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    DROP_RESPONSES = "cut answers"
    DROP_ALL = "silent"


class Proxy:
    """Passes connections from *address* on to *target*."""

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.fault = Fault.NONE
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *split_address(self.address))

    async def close(self) -> None:
        """Stop."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks))

    def reset_all(self) -> None:
        """Reset the connections that are open."""
        for writer in list(self._writers):
            connected = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(*split_address(self._target))
            self._writers.add(far_writer)
            out = asyncio.ensure_future(self._forward_data(reader, far_writer, is_answer=False))
            back = asyncio.ensure_future(self._forward_data(far_reader, writer, is_answer=True))
            await asyncio.wait((out, back), return_when=asyncio.FIRST_COMPLETED)
            out.cancel()
            back.cancel()
            far_writer.close()
            self._writers.discard(far_writer)
        except (OSError, asyncio.CancelledError):
            # The far end is down, or the soak ends: the near end sees a close.
            pass
        finally:
            writer.close()
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())

    async def _forward_data(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_answer: bool
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(0.2)
                if self.fault is Fault.DROP_ALL or (
                    is_answer and self.fault is Fault.DROP_RESPONSES
                ):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            # A reset on either side ends the pair.
            return
