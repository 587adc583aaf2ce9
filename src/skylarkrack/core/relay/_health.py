"""Failure ratios of endpoints, observed from requests, and the times without requests.

These are the back-off after failed connections, and the pauses that endpoints ask for.

This covers endpoints that fail a part of their requests while their health checks pass. One entry
sends few requests to each endpoint, so entries share the outcomes. An entry's own outcomes are
counted separately: an endpoint may fail for some callers only.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from skylarkrack.core.relay._names import EndpointKey

LATENCY_WEIGHT = 0.15
"""Weight of the newest latency in the moving average."""

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in the failure ratio."""

REMOTE_OUTCOME_WEIGHT = 0.1
"""Weight of each outcome at another entry. It is lower, since all other entries together have
several times as many outcomes as this one."""

MAX_OUTCOMES_PER_REPORT = 30
"""Successes, and failures, counted from one report; more don't change the ratio any further."""

OUTCOME_REPORT_MS = 1000.0
"""Time after the last outcome for which totals are sent. That is several messages, so that one may
be lost."""

OUTCOME_DELAY_MS = 500.0
"""Time after a failed connection within which a success at another entry may be older than it:
entries send totals at least every 400 ms."""

FAILURE_HALF_LIFE_MS = 3000.0
"""Half-life of a failure ratio, so that an endpoint that gets no requests is eventually tried
again."""

INITIAL_BACKOFF_MS = 400.0
MAX_BACKOFF_MS = 4000.0
"""Longest back-off after connections that could not be made. The first is `INITIAL_BACKOFF_MS`, and
each further failure doubles it. A success at any entry ends it."""

TRIAL_INTERVAL_MS = 200.0
"""Back-off of an endpoint's home, which tries it for all entries."""

FAILURES_OF_FREEZE = 2
"""Failures in a row after which an endpoint's next answer counts as its return."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeCounts:
    """Outcomes of one entry's requests to one endpoint, since the entry's start."""

    answered: int = 0
    failed: int = 0


NO_OUTCOMES = OutcomeCounts()


@dataclass(slots=True)
class _FailureRatio:
    """A failure ratio that decays while no outcome arrives."""

    value: float = 0.0
    updated_ms: float = 0.0

    def value_at(self, now_ms: float) -> float:
        if not self.value:
            return 0.0
        return self.value * 0.5 ** (max(0.0, now_ms - self.updated_ms) / FAILURE_HALF_LIFE_MS)

    def add(self, *, is_failure: bool, weight: float, now_ms: float) -> None:
        self.value = self.value_at(now_ms) * (1 - weight) + (weight if is_failure else 0.0)
        self.updated_ms = now_ms


@dataclass(slots=True)
class _Record:
    latency_ms: float | None = None
    own: _FailureRatio = field(default_factory=_FailureRatio)
    remote: _FailureRatio = field(default_factory=_FailureRatio)
    outcomes: OutcomeCounts = OutcomeCounts()
    outcomes_by_entry: dict[str, OutcomeCounts] = field(default_factory=dict)
    backoff_until_ms: float = 0.0
    paused_until_ms: float = 0.0
    backoff_ms: float = 0.0
    answered_ms: float = float("-inf")
    is_unreachable: bool = False
    unreachable_ms: float = float("-inf")
    unreachable_since_ms: float = float("-inf")
    peer_answered_ms: float = float("-inf")
    failures: int = 0
    recovered_ms: float = float("-inf")


class Health:
    """Failure ratios, latencies and back-off by endpoint incarnation. Times are ms.

    *on_return* is called with an endpoint that answers again after failures, or asks for a pause,
    and the time; *on_outcome* with the endpoint, the time until the answer or its first event (None
    for a failure), and the time. *is_home* returns whether this entry tries an endpoint for all,
    and *is_probed* whether it does so by health probes instead of callers' requests.
    *disturbed_keys* are the endpoints that are unreachable, or were so lately.
    """

    __slots__ = (
        "_record_by_key",
        "disturbed_keys",
        "is_home",
        "is_probed",
        "on_outcome",
        "on_return",
    )

    def __init__(self) -> None:
        self.on_return: Callable[[EndpointKey, float], None] = lambda key, now_ms: None
        self.on_outcome: Callable[[EndpointKey, float | None, float], None] = lambda *_: None
        self.is_home: Callable[[EndpointKey], bool] = lambda key: False
        self.is_probed: Callable[[EndpointKey], bool] = lambda key: False
        self._record_by_key: dict[EndpointKey, _Record] = {}
        self.disturbed_keys: set[EndpointKey] = set()

    # Queries

    def is_backing_off(self, key: EndpointKey, now_ms: float) -> bool:
        """Return whether connections failed so recently that no request should be tried."""
        record = self._record_by_key.get(key)
        return record is not None and now_ms < record.backoff_until_ms

    def pause_left_ms(self, key: EndpointKey, now_ms: float) -> float:
        """Return the rest of the time in which the endpoint wants no requests from this entry."""
        record = self._record_by_key.get(key)
        return 0.0 if record is None else max(0.0, record.paused_until_ms - now_ms)

    def is_unreachable(self, key: EndpointKey) -> bool:
        """Return whether connections failed and no request succeeded since."""
        record = self._record_by_key.get(key)
        return record is not None and record.is_unreachable

    def recovered_ms(self, key: EndpointKey) -> float:
        """Return the time of the last success after failed connections; minus infinity without."""
        record = self._record_by_key.get(key)
        return float("-inf") if record is None else record.recovered_ms

    def answered_ms(self, key: EndpointKey) -> float:
        """Return the time of this entry's last success; minus infinity without one."""
        record = self._record_by_key.get(key)
        return float("-inf") if record is None else record.answered_ms

    def unreachable_ms(self, key: EndpointKey) -> float:
        """Return the time of the last failed connection; minus infinity without one."""
        record = self._record_by_key.get(key)
        return float("-inf") if record is None else record.unreachable_ms

    def unreachable_since_ms(self, key: EndpointKey) -> float:
        """Return the time of the first failed connection of the last outage."""
        record = self._record_by_key.get(key)
        return float("-inf") if record is None else record.unreachable_since_ms

    def peer_answered_ms(self, key: EndpointKey) -> float:
        """Return when another entry last reported a success; minus infinity if none has."""
        record = self._record_by_key.get(key)
        return float("-inf") if record is None else record.peer_answered_ms

    def failure_ratio(self, key: EndpointKey, now_ms: float) -> float:
        """Return the failure ratio, 0 to 1: this entry's or the other entries', whichever is
        higher."""
        record = self._record_by_key.get(key)
        return (
            0.0
            if record is None
            else max(record.own.value_at(now_ms), record.remote.value_at(now_ms))
        )

    def recent_outcomes(self, now_ms: float) -> dict[EndpointKey, OutcomeCounts]:
        """Return this entry's totals for the endpoints with a recent outcome."""
        return {
            key: record.outcomes
            for key, record in self._record_by_key.items()
            if record.own.updated_ms and now_ms - record.own.updated_ms < OUTCOME_REPORT_MS
        }

    def latency_ms(self, key: EndpointKey) -> float | None:
        """Return the moving average of the latency, or None before the first answer.

        It is the time from sending a request to the response's head; for a stream it is the time
        from the head to the first event.
        """
        record = self._record_by_key.get(key)
        return None if record is None else record.latency_ms

    # Commands

    def record_response(
        self, key: EndpointKey, latency_ms: float, now_ms: float, *, waited_ms: float | None = None
    ) -> None:
        """Count a successful answer; *waited_ms* is the time since its request was sent."""
        record = self._record(key)
        self.on_outcome(key, latency_ms if waited_ms is None else waited_ms, now_ms)
        if record.latency_ms is None:
            record.latency_ms = latency_ms
        else:
            record.latency_ms += LATENCY_WEIGHT * (latency_ms - record.latency_ms)
        record.own.add(is_failure=False, weight=FAILURE_WEIGHT, now_ms=now_ms)
        record.outcomes = replace(record.outcomes, answered=record.outcomes.answered + 1)
        record.answered_ms = now_ms
        has_returned = record.failures >= FAILURES_OF_FREEZE and not record.is_unreachable
        record.failures = 0
        self._recover(key, record, now_ms)
        if has_returned:
            self.on_return(key, now_ms)

    def record_failure(self, key: EndpointKey, now_ms: float) -> None:
        """Count a refusal, an error, or an answer that broke off."""
        record = self._record(key)
        record.own.add(is_failure=True, weight=FAILURE_WEIGHT, now_ms=now_ms)
        record.outcomes = replace(record.outcomes, failed=record.outcomes.failed + 1)
        record.failures += 1
        self.on_outcome(key, None, now_ms)

    def receive_outcomes(
        self, entry: str, key: EndpointKey, outcomes: OutcomeCounts, now_ms: float
    ) -> None:
        """Count what another entry's totals have grown by; its first report only sets the base."""
        record = self._record(key)
        known = record.outcomes_by_entry.get(entry)
        if known == outcomes:
            return
        record.outcomes_by_entry[entry] = outcomes
        if known is None:
            return
        if outcomes.answered > known.answered:
            record.peer_answered_ms = now_ms
        is_newer = now_ms - record.unreachable_ms >= OUTCOME_DELAY_MS
        if record.is_unreachable and is_newer and outcomes.answered > known.answered:
            self._recover(key, record, now_ms)
        for _ in range(min(MAX_OUTCOMES_PER_REPORT, outcomes.answered - known.answered)):
            record.remote.add(is_failure=False, weight=REMOTE_OUTCOME_WEIGHT, now_ms=now_ms)
        for _ in range(min(MAX_OUTCOMES_PER_REPORT, outcomes.failed - known.failed)):
            record.remote.add(is_failure=True, weight=REMOTE_OUTCOME_WEIGHT, now_ms=now_ms)

    def record_unreachable(self, key: EndpointKey, now_ms: float) -> None:
        """Count a connection that could not be made, and double the back-off."""
        self.record_failure(key, now_ms)
        record = self._record(key)
        record.backoff_ms = min(MAX_BACKOFF_MS, max(INITIAL_BACKOFF_MS, 2 * record.backoff_ms))
        if not record.is_unreachable:
            record.unreachable_since_ms = now_ms
        record.is_unreachable, record.unreachable_ms = True, now_ms
        if self.is_home(key) and not self.is_probed(key):
            record.backoff_ms = TRIAL_INTERVAL_MS
        record.backoff_until_ms = now_ms + record.backoff_ms
        self.disturbed_keys.add(key)

    def hold(self, key: EndpointKey, until_ms: float) -> None:
        """Extend the back-off of an unreachable endpoint."""
        record = self._record(key)
        if record.is_unreachable:
            record.backoff_until_ms = max(record.backoff_until_ms, until_ms)

    def end_backoff(self, key: EndpointKey) -> None:
        """End the back-off of an endpoint; only a success shows that it is reachable."""
        self._record(key).backoff_until_ms = 0.0

    def recover_by_probe(self, key: EndpointKey, now_ms: float) -> None:
        """Record that the endpoint answered a health request, which is no success of a request.

        The failure ratio stays, and a connection that fails next has a longer back-off.
        """
        record = self._record(key)
        backoff_ms = record.backoff_ms
        self._recover(key, record, now_ms)
        record.backoff_ms = backoff_ms

    def record_pause(self, key: EndpointKey, pause_ms: float, now_ms: float) -> None:
        """Record that the endpoint wants no requests for *pause_ms*; that is no failure."""
        record = self._record(key)
        record.paused_until_ms = max(record.paused_until_ms, now_ms + pause_ms)
        self.on_return(key, now_ms)

    def forget_recovered(self, before_ms: float) -> None:
        """Drop those from `disturbed_keys` that have recovered before *before_ms*."""
        self.disturbed_keys = {
            key
            for key in self.disturbed_keys
            if self.is_unreachable(key) or self.recovered_ms(key) >= before_ms
        }

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Drop the records of endpoints that are not in *keys*."""
        for key in set(self._record_by_key) - keys:
            del self._record_by_key[key]
        self.disturbed_keys &= keys

    def _recover(self, key: EndpointKey, record: _Record, now_ms: float) -> None:
        """End the back-off; the endpoint answered this entry or another one."""
        record.backoff_ms = record.backoff_until_ms = 0.0
        if record.is_unreachable:
            record.is_unreachable, record.recovered_ms = False, now_ms
            self.on_return(key, now_ms)

    def _record(self, key: EndpointKey) -> _Record:
        record = self._record_by_key.get(key)
        if record is None:
            record = self._record_by_key[key] = _Record()
        return record
