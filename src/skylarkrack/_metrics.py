"""Counters and latency histograms of a process, in the text format of Prometheus."""

from collections import Counter

from hdrh.histogram import HdrHistogram

MAX_DURATION_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)


class Metrics:
    """Counters by name and label, and histograms in milliseconds by name and label."""

    __slots__ = ("_counter", "_histogram_by_key")

    def __init__(self) -> None:
        self._counter: Counter[tuple[str, str]] = Counter()
        self._histogram_by_key: dict[tuple[str, str], HdrHistogram] = {}

    def count(self, name: str, label: str = "", amount: float = 1) -> None:
        """Add *amount* to a counter."""
        self._counter[name, label] += amount

    def observe_ms(self, name: str, value_ms: float, label: str = "") -> None:
        """Record a duration in a histogram; it is clamped to 1 to `MAX_DURATION_MS`."""
        histogram = self._histogram_by_key.get((name, label))
        if histogram is None:
            histogram = HdrHistogram(1, MAX_DURATION_MS, SIGNIFICANT_DIGITS)
            self._histogram_by_key[name, label] = histogram
        histogram.record_value(max(1, min(MAX_DURATION_MS, round(value_ms))))

    def counter(self, name: str, label: str = "") -> float:
        """Return the value of a counter; 0 if it was never counted."""
        return self._counter[name, label]

    def text(self) -> str:
        """Return all counters and histograms in the text format of Prometheus."""
        lines = [
            f"{_series(name, label)} {value:g}" for (name, label), value in self._sorted_counters()
        ]
        for (name, label), histogram in sorted(self._histogram_by_key.items()):
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile)
                lines.append(f"{_series(name, label, percentile)} {value}")
            lines.append(f"{_series(name + '_count', label)} {histogram.get_total_count()}")
        return "\n".join(lines) + "\n"

    def _sorted_counters(self) -> list:
        return sorted(self._counter.items())


def _series(name: str, label: str, percentile: float | None = None) -> str:
    labels = [f'of="{label}"'] if label else []
    if percentile is not None:
        labels.append(f'quantile="{percentile / 100:g}"')
    joined = ",".join(labels)
    return f"skylarkrack_{name}{{{joined}}}" if joined else f"skylarkrack_{name}"
