"""A log sink that never blocks: it buffers lines up to a bound, and drops and counts the rest."""

import asyncio
import os
from collections import deque

MAX_BUFFERED_BYTES = 1_048_576
"""Bounds the buffered bytes while the reader of the log is slow or gone; more is dropped."""

MAX_LINES_PER_S = 2000
"""Bounds the lines of one second; more are dropped. An entry writes about a hundred."""

MAX_WRITE_BYTES = 65_536
"""Size from which no more lines are added to one write."""


class LogSink:
    """Writes lines to a file descriptor as soon as it accepts them.

    *dropped* counts the lines that were not written; a chunk of lines whose write fails counts as
    one.
    """

    __slots__ = (
        "_buffered_bytes",
        "_descriptor",
        "_is_write_scheduled",
        "_lines",
        "_lines_in_window",
        "_loop",
        "_window_start_s",
        "dropped",
    )

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._is_write_scheduled = False
        self._window_start_s = 0.0
        self._lines_in_window = 0
        self.dropped = 0

    def start(self) -> None:
        """Make the descriptor non-blocking, and write from the running event loop."""
        os.set_blocking(self._descriptor, False)
        self._loop = asyncio.get_running_loop()

    def write(self, line: str) -> None:
        """Buffer a line; drop and count it if the buffer or the rate of this second is exceeded."""
        data = line.encode("utf-8", "replace")
        if self._is_over_rate() or self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(data)
        self._buffered_bytes += len(data)
        if self._loop is None:
            self._flush()
        elif not self._is_write_scheduled:
            self._is_write_scheduled = True
            self._loop.call_soon(self._flush)

    def close(self) -> None:
        """Write what the descriptor still accepts, and stop using the event loop."""
        if self._loop is not None:
            self._cancel_write()
            self._loop = None
        self._flush()

    def _is_over_rate(self) -> bool:
        if self._loop is None:
            return False
        now_s = self._loop.time()
        if now_s - self._window_start_s >= 1:
            self._window_start_s, self._lines_in_window = now_s, 0
        self._lines_in_window += 1
        return self._lines_in_window > MAX_LINES_PER_S

    def _flush(self) -> None:
        try:
            while self._lines:
                chunk = self._next_chunk()
                written = os.write(self._descriptor, chunk)
                self._buffered_bytes -= written
                if written < len(chunk):
                    self._lines.appendleft(chunk[written:])
                    break
        except BlockingIOError:
            self._lines.appendleft(chunk)
        except OSError:
            # The reader of the log is gone; the lines are dropped and counted.
            self.dropped += 1 + len(self._lines)
            self._lines.clear()
            self._buffered_bytes = 0
        self._schedule_write()

    def _next_chunk(self) -> bytes:
        lines, size = [], 0
        while self._lines and size < MAX_WRITE_BYTES:
            lines.append(self._lines.popleft())
            size += len(lines[-1])
        return b"".join(lines)

    def _schedule_write(self) -> None:
        if self._loop is None:
            return
        if self._lines:
            self._loop.add_writer(self._descriptor, self._flush)
            self._is_write_scheduled = True
        elif self._is_write_scheduled:
            self._cancel_write()

    def _cancel_write(self) -> None:
        self._is_write_scheduled = False
        try:
            self._loop.remove_writer(self._descriptor)
        except (OSError, ValueError):
            # A regular file can't be registered with the event loop.
            pass
