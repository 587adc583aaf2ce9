"""Clients that use each connection for short requests, and then for one stream.

A client sends its next request when it has the answer to the one before, at once or after a pause
in ms. What became of the streams is written to standard output.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

END = b"0\r\n\r\n"


class Client(asyncio.Protocol):
    """One connection."""

    def __init__(self, number: int, stream_at_s: float, pause_s: float) -> None:
        self.pause_s = pause_s
        self.number = number
        self.stream_at_s = stream_at_s
        self.sent = 0
        self.buffer = b""
        self.stream: dict | None = None
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the first request."""
        self.transport = transport
        self._send_next()

    def data_received(self, data: bytes) -> None:
        """Send the next request once the answer is complete."""
        self.buffer += data
        if self.stream is not None:
            if not self.stream["status"]:
                self.stream["status"] = int(self.buffer.split(b" ", 2)[1])
            if self.buffer.endswith(END) or self.stream["status"] != 200:
                self.stream["complete"] = self.buffer.endswith(END)
                self._finish("answered")
            return
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        length = next(
            int(line.partition(b":")[2])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length")
        )
        if len(body) < length:
            return
        self.buffer = b""
        if self.pause_s:
            asyncio.get_running_loop().call_later(self.pause_s, self._send_next)
        else:
            self._send_next()

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the connection."""
        self._finish(f"closed: {error!r}")

    def _send_next(self) -> None:
        self.sent += 1
        request_id = f"{self.number:04x}{self.sent:012x}"
        if time.monotonic() < self.stream_at_s:
            head = harness.head_of("GET", "/look/1", request_id, deadline_ms=1500)
            self.transport.write(head)
            return
        self.stream = {"id": request_id, "status": 0, "complete": False, "before": self.sent - 1}
        extra = harness.model_headers(request_id)
        self.transport.write(
            harness.head_of("POST", "/chat/1", request_id, deadline_ms=12_000, extra=extra)
        )

    def _finish(self, end: str) -> None:
        if self.done.done():
            return
        if self.stream is not None:
            self.stream["end"] = end
            self.stream["end_s"] = time.monotonic()
            self.stream["bytes"] = len(self.buffer)
        self.done.set_result(self.stream)
        self.transport.close()


async def main() -> None:
    """Open the connections, wait for the ends of the streams, and write them."""
    host, port, count, after_s, pause_ms = sys.argv[1:]
    stream_at_s, pause_s = time.monotonic() + float(after_s), float(pause_ms) / 1000
    clients = []
    for number in range(int(count)):
        _, client = await asyncio.get_running_loop().create_connection(
            lambda number=number: Client(number, stream_at_s, pause_s), host, int(port)
        )
        clients.append(client)
    streams = await asyncio.gather(*(client.done for client in clients))
    print(json.dumps([stream for stream in streams if stream is not None]))


asyncio.run(main())
