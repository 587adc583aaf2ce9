"""What an entry learns of an endpoint from its own requests, and how long it stays away from it."""

from dataclasses import dataclass

LATENCY_WEIGHT = 0.15
"""Weight of the newest latency in the running mean."""

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in the running failure ratio."""

FAILURE_HALF_LIFE_MS = 3000.0
"""An endpoint that gets no requests is tried again by and by."""

FIRST_PAUSE_MS = 400.0
LONGEST_PAUSE_MS = 4000.0
"""Pauses after connections that could not be made; doubled each time up to the longest."""


@dataclass(slots=True)
class _Record:
    latency_ms: float | None = None
    failure_ratio: float = 0.0
    failed_at_ms: float = 0.0
    paused_until_ms: float = 0.0
    pause_ms: float = 0.0


class Health:
    """Failure ratios, latencies and pauses by endpoint incarnation. Times are ms."""

    __slots__ = ("_record_by_key",)

    def __init__(self) -> None:
        self._record_by_key: dict[tuple[str, int], _Record] = {}

    # Queries

    def is_paused(self, key: tuple[str, int], now_ms: float) -> bool:
        """Tell whether connections failed so lately that no request should be tried."""
        record = self._record_by_key.get(key)
        return record is not None and now_ms < record.paused_until_ms

    def failure_ratio(self, key: tuple[str, int], now_ms: float) -> float:
        """Return the share of failures, fading while nothing is tried."""
        record = self._record_by_key.get(key)
        if record is None or not record.failure_ratio:
            return 0.0
        age_ms = max(0.0, now_ms - record.failed_at_ms)
        return record.failure_ratio * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def latency_ms(self, key: tuple[str, int]) -> float | None:
        """Return the mean time to the first byte, or None before the first answer."""
        record = self._record_by_key.get(key)
        return None if record is None else record.latency_ms

    # Commands

    def answered(self, key: tuple[str, int], latency_ms: float, now_ms: float) -> None:
        """Count a good answer."""
        record = self._record(key)
        if record.latency_ms is None:
            record.latency_ms = latency_ms
        else:
            record.latency_ms += LATENCY_WEIGHT * (latency_ms - record.latency_ms)
        record.failure_ratio = self.failure_ratio(key, now_ms) * (1 - FAILURE_WEIGHT)
        record.failed_at_ms = now_ms
        record.pause_ms = record.paused_until_ms = 0.0

    def failed(self, key: tuple[str, int], now_ms: float) -> None:
        """Count a refusal, an error, or an answer that broke off."""
        record = self._record(key)
        ratio = self.failure_ratio(key, now_ms)
        record.failure_ratio = ratio + FAILURE_WEIGHT * (1 - ratio)
        record.failed_at_ms = now_ms

    def unreachable(self, key: tuple[str, int], now_ms: float) -> None:
        """Count a connection that could not be made; the pauses grow."""
        self.failed(key, now_ms)
        record = self._record(key)
        record.pause_ms = min(LONGEST_PAUSE_MS, max(FIRST_PAUSE_MS, 2 * record.pause_ms))
        record.paused_until_ms = now_ms + record.pause_ms

    def keep_only(self, keys: set[tuple[str, int]]) -> None:
        """Forget the incarnations that are gone."""
        for key in set(self._record_by_key) - keys:
            del self._record_by_key[key]

    def _record(self, key: tuple[str, int]) -> _Record:
        return self._record_by_key.setdefault(key, _Record())
