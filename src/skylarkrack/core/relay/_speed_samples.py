"""Durations measured at one endpoint, and what is typical of them."""

MAX_SAMPLES = 15
"""Durations kept. An engine with one stream of this entry gives as many intervals in 0.5 to 1 s, so
that a machine that is slow for some seconds shows within 2 s."""

MIN_SAMPLES = 7
"""Durations from which a quartile counts."""

SAMPLE_TTL_MS = 3000.0
"""Age from which a duration is left out."""

TYPICAL_SHARE = 0.25
"""Position of the typical duration among the sorted ones: the lower quartile.

Longer ones contain pauses for prompts, or waits. On a busy engine that is half of the intervals,
and the median of equal engines then differed by more than a fifth in a third of the cases.
"""


class SpeedSamples:
    """The last durations at one endpoint, which are compared with those of its *group*.

    *newest_ms* is when the newest one was added, *typical_ms* their lower quartile at the last
    `update`, or None with too few of them. *ratio* is that to what is usual in the group, or None
    if that is unknown. Adding one takes less than a microsecond, since it is done for each event.
    """

    __slots__ = (
        "_added_ms",
        "_durations_ms",
        "_has_new",
        "_next",
        "group",
        "typical_ms",
        "newest_ms",
        "ratio",
    )

    def __init__(self, group: tuple[str, str]) -> None:
        self.group = group
        self._durations_ms: list[float] = []
        self._added_ms: list[float] = []
        self._next = 0
        self._has_new = False
        self.newest_ms = float("-inf")
        self.typical_ms: float | None = None
        # Kept while no durations are added.
        self.ratio: float | None = None

    @property
    def is_used(self) -> bool:
        """Whether a duration was ever added."""
        return bool(self._durations_ms)

    def add(self, duration_ms: float, now_ms: float) -> None:
        """Add a duration; the oldest is dropped if there are too many."""
        if len(self._durations_ms) < MAX_SAMPLES:
            self._durations_ms.append(duration_ms)
            self._added_ms.append(now_ms)
        else:
            number = self._next
            self._durations_ms[number] = duration_ms
            self._added_ms[number] = now_ms
            self._next = number + 1 if number + 1 < MAX_SAMPLES else 0
        self.newest_ms = now_ms
        self._has_new = True

    def update(self, now_ms: float) -> bool:
        """Compute *typical_ms* if durations were added; return whether there is a new one."""
        if not self._has_new:
            return False
        self._has_new = False
        oldest_ms = now_ms - SAMPLE_TTL_MS
        recent = [
            duration_ms
            for duration_ms, added_ms in zip(self._durations_ms, self._added_ms, strict=True)
            if added_ms > oldest_ms
        ]
        if len(recent) < MIN_SAMPLES:
            return False
        self.typical_ms = sorted(recent)[int(len(recent) * TYPICAL_SHARE)]
        return True


class StreamIntervals:
    """Adds the time between the events of one stream to the samples of its endpoint."""

    __slots__ = ("_last_ms", "_samples")

    def __init__(self, samples: SpeedSamples) -> None:
        self._samples = samples
        self._last_ms: float | None = None

    def record(self, events: int, now_ms: float) -> None:
        """Record that *events* arrived together; the first ones of a stream begin no interval."""
        if self._last_ms is not None:
            self._samples.add((now_ms - self._last_ms) / events, now_ms)
        self._last_ms = now_ms
