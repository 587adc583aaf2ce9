"""Models what an engine has read of the prompts that were sent to it."""

from collections import deque

EVENT_STEPS_MS = 40.0
"""Time of an engine's steps for one event of a stream: 7 steps of 5.2 ms, and some margin."""


class PromptReading:
    """Prompt tokens at one engine that are unread, or read within the steps of one event.

    The engine reads before it makes its next step, so no step ends while tokens are unread. Times
    are ms on a monotonic clock.
    """

    __slots__ = ("_now_ms", "_read", "_read_tokens", "_steps_ms", "_unread")

    def __init__(self) -> None:
        self._now_ms: float | None = None
        self._unread = 0.0
        # (time spent on steps at the reading, tokens read), and the sum of these tokens.
        self._read: deque[tuple[float, float]] = deque()
        self._read_tokens = 0.0
        self._steps_ms = 0.0

    @property
    def tokens(self) -> float:
        """Tokens that count: unread ones, and those read within the steps of one event."""
        return self._unread + self._read_tokens

    @property
    def unread(self) -> float:
        """Tokens that are not read yet."""
        return self._unread

    def add(self, tokens: float, now_ms: float) -> None:
        """Count a prompt that is sent."""
        if self._now_ms is None:
            self._now_ms = now_ms
        self._unread += tokens

    def advance(self, now_ms: float, tokens_per_ms: float) -> None:
        """Let the engine read, and then make steps, until *now_ms*."""
        if self._now_ms is None or now_ms <= self._now_ms:
            return
        elapsed_ms, self._now_ms = now_ms - self._now_ms, now_ms
        if self._unread:
            read = min(self._unread, elapsed_ms * tokens_per_ms)
            self._move(read)
            elapsed_ms -= read / tokens_per_ms
        self._steps_ms += max(0.0, elapsed_ms)
        while self._read and self._steps_ms - self._read[0][0] >= EVENT_STEPS_MS:
            self._read_tokens -= self._read.popleft()[1]
        if not self._read:
            self._read_tokens = 0.0

    def withdraw(self, tokens: float) -> None:
        """Subtract a prompt that was counted and not sent, of which none was read."""
        unread = min(tokens, self._unread)
        self._unread -= unread
        tokens -= unread
        while self._read and tokens > 0:
            steps_ms, known = self._read.pop()
            taken = min(tokens, known)
            tokens -= taken
            self._read_tokens -= taken
            if known > taken:
                self._read.append((steps_ms, known - taken))

    def correct(self, least: float, most: float) -> None:
        """Bound the unread tokens by what a report shows."""
        if self._unread > most:
            self._move(self._unread - most)
        self._unread = max(self._unread, least)

    def _move(self, tokens: float) -> None:
        """Count tokens as read at this moment."""
        self._unread = max(0.0, self._unread - tokens)
        if self._unread < 1e-6:  # What is left by rounding.
            self._unread = 0.0
        if self._read and self._read[-1][0] == self._steps_ms:
            steps_ms, known = self._read.pop()
            self._read.append((steps_ms, known + tokens))
        else:
            self._read.append((self._steps_ms, tokens))
        self._read_tokens += tokens
