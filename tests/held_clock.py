"""A clock that stands still for the code under test until the test advances it."""

import asyncio
import math
from unittest import mock

from skylarkrack import _clock

STEP_MS = 5.0
"""Time between two rounds of the event loop in `HeldClock.run`."""


class _HeldSeconds(float):
    """A time in seconds that is exactly *ms* in milliseconds; a quotient by 1000 mostly is."""

    def __new__(cls, ms: float) -> "_HeldSeconds":
        """Return the time of *ms*."""
        held = super().__new__(cls, ms / 1000)
        held.ms = ms
        return held

    def __mul__(self, factor: float) -> float:
        return self.ms if factor == 1000 else float(self) * factor


class HeldClock:
    """Replaces the monotonic clock of this process within a `with` block.

    It stands at the time of entry, rounded up to a whole ms, until `advance` is called. Sums of
    whole ms are exact, so that what is due at a time is due when the clock shows it. Timers of the
    event loop go on, so what they decide is decided at the held time, however late the machine runs
    them.
    """

    def __init__(self) -> None:
        self.now_ms = _clock.monotonic_ms()
        self._patch = mock.patch.object(_clock.time, "clock_gettime", self._read)

    def __enter__(self) -> "HeldClock":
        self.now_ms = float(math.ceil(_clock.monotonic_ms()))
        self._patch.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._patch.stop()

    def advance(self, elapsed_ms: float) -> None:
        """Let *elapsed_ms* pass."""
        self.now_ms += elapsed_ms

    async def run(self, elapsed_ms: float) -> None:
        """Let *elapsed_ms* pass in steps, in each of which the event loop runs.

        If the machine stalls the process, less time passes than by the real clock, and never more
        than a step between a message and its receipt.
        """
        ends_ms = self.now_ms + elapsed_ms
        while self.now_ms < ends_ms:
            self.now_ms = min(ends_ms, self.now_ms + STEP_MS)
            await asyncio.sleep(STEP_MS / 1000)

    def _read(self, clock_id: int) -> float:
        return _HeldSeconds(self.now_ms)
