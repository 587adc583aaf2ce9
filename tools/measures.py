"""Computes the four measures of the project's brief from the logs of a fleet's entries.

`python -m tools.measures FILE...` needs the logs of all entries, because the grants of an entry
whose log is missing would be missing from the exact bucket below. The measures are:

* load stalls: the fraction of streams that waited `MIN_STALL_MS` or longer before they were sent,
  because an adapter had to be loaded or an engine was busy;
* batch: the number of runs at the endpoint when a stream was sent to it, on average and at the
  95th percentile;
* worst served: the 95th percentile of the time to the first event is computed for each
  organisation; the measure is the median of these values divided by the largest. 1 means that all
  organisations are served alike. Organisations with fewer than `MIN_STREAMS` streams are left out;
* wrongful refusals: refusals because of a rate limit that a single exact bucket for all entries
  would have granted, as a fraction of all requests for tokens, and their number for each
  organisation. A request whose caller disconnected logs no cost, so its grant is not taken from
  that bucket, and the true number may be lower.
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
"""Shortest wait that counts as a load stall; loading an adapter from the store takes 250 ms."""

MIN_STREAMS = 20
"""Fewest streams of an organisation for a meaningful 95th percentile.

Organisations with fewer streams are left out.
"""

RATE_EXCEEDED = int(Code.RATE_EXCEEDED)
NOT_RUN = str(Outcome.NOT_RUN)


@dataclass(slots=True)
class _TokenRequest:
    """A request for *cost* tokens; *at_ms* is its arrival in ms since the epoch.

    *cost* is 0 if the tokens were refunded, and *is_refused* says whether the rate was exceeded.
    """

    at_ms: float
    cost: float
    is_refused: bool


@dataclass(slots=True)
class Measures:
    """The values collected from log lines.

    *batch_sizes* holds the runs at the endpoint for each stream, *first_ms_by_organisation* the
    times to the first event in ms, and *bucket_limits_by_organisation* the rate in tokens a second
    and the burst in tokens.
    """

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
        """Add the values of one log line; lines of other events are ignored."""
        at_ms, fields = _epoch_ms(line.at), line.fields
        if line.name == "RELAY_WAITED" and fields["waited_ms"] >= MIN_STALL_MS:
            self.stalled_requests.add(fields["request"])
        if line.name in ("RELAY_ENDED", "RELAY_BROKEN") and "first_ms" in fields:
            self.stream_count += 1
            self.batch_sizes.append(fields["runs_there"])
            self.first_ms_by_organisation[fields["organisation"]].append(fields["first_ms"])
        if line.name in ("RELAY_ENDED", "RELAY_BROKEN", "RELAY_REFUSED") and fields.get("cost"):
            is_refused = fields.get("code") == RATE_EXCEEDED
            # The tokens of a request that has not run are refunded, but it still counts as asked.
            is_refunded = not is_refused and fields.get("outcome") == NOT_RUN
            arrived_ms = at_ms - fields.get("took_ms", 0)
            request = _TokenRequest(arrived_ms, 0.0 if is_refunded else fields["cost"], is_refused)
            self.token_requests_by_organisation[fields["organisation"]].append(request)
            if is_refused:
                limits = (fields["rate_per_s"], fields["burst"])
                self.bucket_limits_by_organisation[fields["organisation"]] = limits

    def worst_served_ratio(self) -> float | None:
        """Return the median of the organisations' 95th percentiles divided by the largest.

        Return None if no organisation has `MIN_STREAMS` streams.
        """
        percentiles = [
            _percentile(values, 0.95)
            for values in self.first_ms_by_organisation.values()
            if len(values) >= MIN_STREAMS
        ]
        return statistics.median(percentiles) / max(percentiles) if percentiles else None

    def wrongful_refusals(self) -> dict[str, int]:
        """Return, by organisation, how many refusals an exact bucket would have granted."""
        return {
            organisation: _count_wrongful_refusals(
                sorted(requests, key=lambda request: request.at_ms), *limits
            )
            for organisation, limits in self.bucket_limits_by_organisation.items()
            for requests in (self.token_requests_by_organisation[organisation],)
        }

    def report(self) -> list[str]:
        """Return the lines of the report, one for each measure."""
        request_count = sum(
            len(requests) for requests in self.token_requests_by_organisation.values()
        )
        wrongful = self.wrongful_refusals()
        shown = ", ".join(f"{name} {count}" for name, count in sorted(wrongful.items()))
        worst = self.worst_served_ratio()
        wrongful_fraction = sum(wrongful.values()) / request_count if request_count else 0.0
        return [
            f"load stalls       {len(self.stalled_requests) / max(1, self.stream_count):.3f} "
            f"of {self.stream_count}",
            f"batch             {statistics.fmean(self.batch_sizes or [0]):.1f} on average, "
            f"{_percentile(self.batch_sizes or [0], 0.95):.0f} at the 95th percentile",
            f"worst served      {'-' if worst is None else f'{worst:.2f}'}",
            f"wrongful refusals {wrongful_fraction:.4f} of {request_count} "
            f"({shown or 'none refused'})",
        ]


def _count_wrongful_refusals(requests: list[_TokenRequest], rate_per_s: float, burst: float) -> int:
    """Return the number of refusals that one bucket, full at the first request, would have granted.

    The requests are in the order of their arrival. Tokens that the fleet granted are always taken
    from the bucket, so its level may become negative.
    """
    level, last_ms, count = burst, requests[0].at_ms, 0
    for request in requests:
        level = min(burst, level + rate_per_s * (request.at_ms - last_ms) / 1000)
        last_ms = request.at_ms
        if not request.is_refused:
            level -= request.cost
        elif level >= request.cost:
            count += 1
    return count


def _percentile(values: list[float], fraction: float) -> float:
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


def _epoch_ms(at: str) -> float:
    return datetime.fromisoformat(at).timestamp() * 1000


def measure(texts: list[str]) -> Measures:
    """Return the measures of the log files *texts*; lines that are no log lines are ignored."""
    measures = Measures()
    for text in texts:
        for row in text.splitlines():
            line = parse_line(row)
            if line is not None:
                measures.add_line(line)
    return measures


if __name__ == "__main__":
    paths = [Path(name) for name in sys.argv[1:]]
    print("\n".join(measure([path.read_text(errors="replace") for path in paths]).report()))
