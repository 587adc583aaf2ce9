"""The brief's four measures from the logs of a fleet's entries: `python -m tools.measures FILE...`.

Reads what entries write (all of them; a missing entry's grants would be missing too):

* load stalls: streams that waited `MIN_STALL_MS` or more before they were sent, since an adapter
  had to be loaded or an engine was busy, of all streams;
* batch: runs at the endpoint when a stream was sent to it, on average and at the 95th percentile;
* worst served: the median over the organisations of the 95th percentile to the first event, over
  the largest of them; 1 is even, organisations with under `MIN_STREAMS` streams are left out;
* wrongful refusals: refusals for a rate that one exact bucket over all entries would not have made,
  of all that organisations asked for; their number and share by organisation. A request whose
  caller left writes no cost, so its grant isn't taken from that bucket: there may be fewer.
"""

import statistics
import sys
from collections import defaultdict
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from skylarkrack._errors import Code, Outcome
from skylarkrack._log_reader import LogLine, parse_line

MIN_STALL_MS = 200.0
"""Wait from which a stream counts as stalled; an adapter from the store takes 250 ms."""

MIN_STREAMS = 20
"""Streams below which a 95th percentile says nothing."""

RATE_EXCEEDED = int(Code.RATE_EXCEEDED)
NOT_RUN = str(Outcome.NOT_RUN)


@dataclass(slots=True)
class _TokenRequest:
    at_ms: float
    cost: float
    is_refused: bool


@dataclass(slots=True)
class Measures:
    """What the lines told so far."""

    stream_count: int = 0
    stalled_requests: set[str] = field(default_factory=set)
    batch_sizes: list[int] = field(default_factory=list)
    first_ms_by_organisation: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    token_requests_by_organisation: dict[str, list[_TokenRequest]] = field(
        default_factory=lambda: defaultdict(list)
    )
    bucket_limits_by_organisation: dict[str, tuple[float, float]] = field(default_factory=dict)

    def add_line(self, line: LogLine) -> None:
        """Count one line."""
        at_ms, fields = _epoch_ms(line.at), line.fields
        if line.name == "RELAY_WAITED" and fields["waited_ms"] >= MIN_STALL_MS:
            self.stalled_requests.add(fields["request"])
        if line.name in ("RELAY_ENDED", "RELAY_BROKEN") and "first_ms" in fields:
            self.stream_count += 1
            self.batch_sizes.append(fields["runs_there"])
            self.first_ms_by_organisation[fields["organisation"]].append(fields["first_ms"])
        if line.name in ("RELAY_ENDED", "RELAY_BROKEN", "RELAY_REFUSED") and fields.get("cost"):
            is_refused = fields.get("code") == RATE_EXCEEDED
            # What has not run gives its tokens back; it was asked for all the same.
            is_given_back = not is_refused and fields.get("outcome") == NOT_RUN
            arrived_ms = at_ms - fields.get("took_ms", 0)
            ask = _TokenRequest(arrived_ms, 0.0 if is_given_back else fields["cost"], is_refused)
            self.token_requests_by_organisation[fields["organisation"]].append(ask)
            if is_refused:
                quota = (fields["rate_per_s"], fields["burst"])
                self.bucket_limits_by_organisation[fields["organisation"]] = quota

    def worst_served_ratio(self) -> float | None:
        """Return the median organisation's 95th percentile over the worst one's."""
        found = [
            _percentile(values, 0.95)
            for values in self.first_ms_by_organisation.values()
            if len(values) >= MIN_STREAMS
        ]
        return statistics.median(found) / max(found) if found else None

    def wrongful_refusals(self) -> dict[str, int]:
        """Return the refusals by organisation that an exact bucket would not have made."""
        return {
            organisation: _count_wrongful_refusals(sorted(asks, key=lambda ask: ask.at_ms), *quota)
            for organisation, quota in self.bucket_limits_by_organisation.items()
            for asks in (self.token_requests_by_organisation[organisation],)
        }

    def report(self) -> list[str]:
        """Return the report's lines."""
        asked = sum(len(asks) for asks in self.token_requests_by_organisation.values())
        wrongful = self.wrongful_refusals()
        shown = ", ".join(f"{name} {count}" for name, count in sorted(wrongful.items()))
        worst = self.worst_served_ratio()
        share = sum(wrongful.values()) / asked if asked else 0.0
        return [
            f"load stalls       {len(self.stalled_requests) / max(1, self.stream_count):.3f} "
            f"of {self.stream_count}",
            f"batch             {statistics.fmean(self.batch_sizes or [0]):.1f} on average, "
            f"{_percentile(self.batch_sizes or [0], 0.95):.0f} at the 95th percentile",
            f"worst served      {'-' if worst is None else f'{worst:.2f}'}",
            f"wrongful refusals {share:.4f} of {asked} ({shown or 'none refused'})",
        ]


def _count_wrongful_refusals(asks: list[_TokenRequest], rate_per_s: float, burst: float) -> int:
    """Return the refusals that one bucket, full at the first request, would have granted.

    What the fleet granted is taken from the bucket whether it was in it or not.
    """
    level, before_ms, found = burst, asks[0].at_ms, 0
    for ask in asks:
        level = min(burst, level + rate_per_s * (ask.at_ms - before_ms) / 1000)
        before_ms = ask.at_ms
        if not ask.is_refused:
            level -= ask.cost
        elif level >= ask.cost:
            found += 1
    return found


def _percentile(values: list[float], fraction: float) -> float:
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def _epoch_ms(at: str) -> float:
    return datetime.fromisoformat(at).timestamp() * 1000


def measure(texts: list[str]) -> Measures:
    """Return the measures of the lines of *texts*."""
    found = Measures()
    for text in texts:
        for row in text.splitlines():
            line = parse_line(row)
            if line is not None:
                found.add_line(line)
    return found


if __name__ == "__main__":
    paths = [Path(name) for name in sys.argv[1:]]
    print("\n".join(measure([path.read_text(errors="replace") for path in paths]).report()))
