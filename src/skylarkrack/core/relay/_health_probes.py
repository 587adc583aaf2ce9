"""Decides which endpoints' health paths are requested, when, and what the answers mean.

Each health request has a price, so few are sent: only to endpoints of services that state a bound
for cold endpoints and a health path, only by the endpoint's home, after connections to it failed
and after an evacuation of its failure domain. In the first case the probe takes the place of a
caller's request as the trial.

Answers of the health path may be wrong. A healthy one is believed until a connection fails after
it; callers' requests then try the endpoint again, until one of them succeeds.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from skylarkrack.core.relay._cold_endpoints import ColdEndpoints
from skylarkrack.core.relay._directory import Endpoint, EndpointDirectory
from skylarkrack.core.relay._health import OUTCOME_DELAY_MS, Health
from skylarkrack.core.relay._names import EndpointKey
from skylarkrack.core.relay._rate_limits import RateLimits
from skylarkrack.core.relay._table import Service

PROBE_TIMEOUT_MS = 500.0
"""Longest time from the start of a probe to the head of its answer."""

FIRST_INTERVAL_MS = 200.0
MAX_INTERVAL_MS = 1000.0
"""Time from a failed connection to the first probe, and from a probe without success to the next.
It doubles with each one."""

MAX_PROBES = 5
PROBES_SPAN_MS = 4000.0
"""Probes of one endpoint that begin within the span, whatever else holds."""

MAX_RUNNING = 16
"""Probes of one entry that run at once: the end of an evacuation concerns many endpoints."""

HOLD_MS = 200.0
"""Back-off that is renewed while probes are the trial: a few ticks of an entry."""

HOLD_AFTER_PROBE_MS = 2000.0
"""Time after the last probe for which callers' requests are held back. Without probes, such as
under a limit that leaves no room for one, they try the endpoint again."""

PEER_ANSWER_TTL_MS = 1500.0
"""Age of another entry's last success up to which only this entry's link to the endpoint may have
failed. Entries report successes at least every 400 ms."""

TRIAL_PERMIT_INTERVAL_MS = 1000.0
"""Time between permits for an endpoint that its home can't reach. Another entry may reach it."""

PROBE_TURN_MS = 120.0
"""Time without permits while a probe waits for its turn: it looks for one in each tick of 50 ms."""

DOUBT_TTL_MS = 500.0
"""Age of another entry's report of failed connections up to which the home probes the endpoint. It
comes with questions for permits, at least every 200 ms while requests wait."""

PERMIT_AFTER_FAILURE_MS = 500.0
"""Age of an entry's last failed connection from which a permit ends its back-off. The home may have
granted it before the failure was known there."""


class ProbeResult(Enum):
    """What a probe found; the values are logged.

    An answer with another endpoint's id, without an id, or with the status of a misdirected request
    is that of another endpoint.
    """

    HEALTHY = "healthy"
    UNHEALTHY = "unhealthy"
    OTHER_ENDPOINT = "other endpoint"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    UNSENT = "unsent"


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthProbe:
    """A probe that is to be sent; *is_trial* if connections to the endpoint failed."""

    endpoint: Endpoint
    path: str
    is_trial: bool


@dataclass(slots=True)
class _Record:
    """One endpoint; *since_ms* is the first failed connection of the present outage.

    *next_trial_ms* is when the next permit may be granted during it. *healthy_ms* is the last
    answer that ended an outage, and *waiting_ms* when a probe last had to wait for the endpoint's
    limit.
    """

    since_ms: float = -math.inf
    next_ms: float = -math.inf
    next_trial_ms: float = -math.inf
    interval_ms: float = FIRST_INTERVAL_MS
    is_running: bool = False
    last_result: ProbeResult | None = None
    healthy_ms: float = -math.inf
    waiting_ms: float = -math.inf
    sent_ms: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_PROBES))

    @property
    def last_sent_ms(self) -> float:
        return self.sent_ms[-1] if self.sent_ms else -math.inf


class HealthProbes:
    """Probes by endpoint incarnation. Times are ms on a monotonic clock.

    *health* tells which endpoints are unreachable, *cold* is told of cold times, *directory* tells
    which endpoints may get requests, and *rate_limits* who is an endpoint's home.
    """

    __slots__ = (
        "_cold",
        "_directory",
        "_evacuated_until_by_key",
        "_health",
        "_rate_limits",
        "_record_by_key",
        "_service_by_name",
    )

    def __init__(
        self,
        *,
        health: Health,
        cold: ColdEndpoints,
        directory: EndpointDirectory,
        rate_limits: RateLimits,
    ) -> None:
        self._health = health
        self._cold = cold
        self._directory = directory
        self._rate_limits = rate_limits
        # Only services whose endpoints are probed.
        self._service_by_name: dict[str, Service] = {}
        self._record_by_key: dict[EndpointKey, _Record] = {}
        # Endpoints whose evacuation ended, and until when that is a reason for a probe.
        self._evacuated_until_by_key: dict[EndpointKey, float] = {}
        health.is_probed = self.is_probed
        rate_limits.withholds = self.withholds
        rate_limits.on_granted = self.record_permit

    # Queries

    def is_probed(self, key: EndpointKey) -> bool:
        """Return whether probes are the trial of an endpoint after failed connections."""
        return self._path_of(key) is not None and not self.is_disproved(key)

    def is_disproved(self, key: EndpointKey) -> bool:
        """Return whether a connection failed after a healthy answer, and none succeeded since."""
        record, health = self._record_by_key.get(key), self._health
        if record is None or math.isinf(record.healthy_ms):
            return False
        if health.unreachable_ms(key) <= record.healthy_ms:
            return False
        success_ms = max(health.answered_ms(key), health.peer_answered_ms(key))
        return success_ms <= record.healthy_ms

    # Commands

    def set_services(self, service_by_name: Mapping[str, Service]) -> None:
        """Set the configured services."""
        self._service_by_name = {
            name: service
            for name, service in service_by_name.items()
            if service.cold_per_s and service.health_path
        }

    def evacuation_ended(self, endpoints: Iterable[Endpoint], now_ms: float) -> None:
        """Record that endpoints get requests again; each is probed while it may be cold."""
        for endpoint in endpoints:
            service = self._service_by_name.get(endpoint.service)
            if service is not None:
                self._evacuated_until_by_key[endpoint.key] = now_ms + service.cold_start_ms

    def due(self, now_ms: float) -> list[HealthProbe]:
        """Return the probes to be sent now; `record_result` has to be called for each."""
        if not self._service_by_name:
            return []
        unreachable = {k for k in self._health.disturbed_keys if self._health.is_unreachable(k)}
        doubted = {k for k in self._cold.maybe_cold_keys() if self._is_doubted(k, now_ms)}
        for key, until_ms in list(self._evacuated_until_by_key.items()):
            if now_ms >= until_ms:
                del self._evacuated_until_by_key[key]
        is_home = self._rate_limits.homes_in_tick()
        running = sum(record.is_running for record in self._record_by_key.values())
        probes = []
        for key in sorted(unreachable | doubted | self._evacuated_until_by_key.keys()):
            if not self.is_probed(key) or not is_home(key):
                continue
            is_unreachable = key in unreachable
            record = self._begin_outage(key) if is_unreachable else self._record(key)
            if is_unreachable:
                self._hold(key, record, now_ms)
            if running < MAX_RUNNING and self._is_due(key, record, now_ms):
                running += 1
                record.is_running = True
                record.sent_ms.append(now_ms)
                endpoint, path = self._directory.find_by_key(key), self._path_of(key)
                is_trial = is_unreachable or key in doubted
                probes.append(HealthProbe(endpoint=endpoint, path=path, is_trial=is_trial))
        return probes

    def record_result(
        self,
        key: EndpointKey,
        result: ProbeResult,
        now_ms: float,
        *,
        cold_left_ms: float | None = None,
    ) -> None:
        """Apply what a probe found; *cold_left_ms* is the cold time in its answer, if any."""
        record = self._record(key)
        record.is_running = False
        if result is ProbeResult.UNSENT:
            if record.sent_ms:
                record.sent_ms.pop()
            return
        record.last_result = result
        record.next_ms = now_ms + record.interval_ms
        record.interval_ms = min(MAX_INTERVAL_MS, 2 * record.interval_ms)
        if result not in (ProbeResult.SILENT, ProbeResult.UNHEALTHY):
            self._evacuated_until_by_key.pop(key, None)
        if result is ProbeResult.UNREACHABLE and not self._health.is_unreachable(key):
            self._health.record_unreachable(key, now_ms)
        if result is ProbeResult.HEALTHY:
            if not self.is_disproved(key):
                record.healthy_ms = now_ms
                self._health.recover_by_probe(key, now_ms)
            self._cold.record_health(key, cold_left_ms, now_ms)
        elif result is ProbeResult.UNHEALTHY and cold_left_ms:
            # Only a healthy answer ends an assumption.
            self._cold.record_health(key, cold_left_ms, now_ms)

    def withholds(self, key: EndpointKey, now_ms: float) -> bool:
        """Return whether this entry, an endpoint's home, may grant no permit now.

        A probe that waits goes first, as requests for permits would take each turn before it. While
        the home can't reach the endpoint, and no other entry has had an answer lately, permits are
        trials by other entries.
        """
        known = self._record_by_key.get(key)
        if known is not None and now_ms - known.waiting_ms < PROBE_TURN_MS:
            return True
        if not self._health.is_unreachable(key) or self._path_of(key) is None:
            return False
        record = self._begin_outage(key)
        if record.last_result in (ProbeResult.UNHEALTHY, ProbeResult.OTHER_ENDPOINT):
            # The health path may be wrong.
            return False
        if now_ms - self._health.peer_answered_ms(key) < PEER_ANSWER_TTL_MS:
            return False
        if now_ms < record.next_trial_ms:
            return True
        record.next_trial_ms = now_ms + TRIAL_PERMIT_INTERVAL_MS
        return False

    def record_permit(self, key: EndpointKey, now_ms: float) -> None:
        """Record that an endpoint's home granted this entry a request."""
        failed_ms = self._health.unreachable_ms(key)
        if now_ms - failed_ms >= PERMIT_AFTER_FAILURE_MS and self._path_of(key) is not None:
            self._health.end_backoff(key)

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Drop the endpoints that are not in *keys*."""
        for by_key in (self._record_by_key, self._evacuated_until_by_key):
            for key in by_key.keys() - keys:
                del by_key[key]

    def _is_doubted(self, key: EndpointKey, now_ms: float) -> bool:
        """Return whether other entries can't reach an endpoint, and none had a success lately."""
        health = self._health
        success_ms = max(health.answered_ms(key), health.peer_answered_ms(key))
        is_told = now_ms - self._cold.doubted_ms(key) < DOUBT_TTL_MS
        return is_told and now_ms - success_ms >= OUTCOME_DELAY_MS

    def _begin_outage(self, key: EndpointKey) -> _Record:
        """Return the record of an unreachable endpoint, set to its present outage."""
        record, since_ms = self._record(key), self._health.unreachable_since_ms(key)
        if record.since_ms == since_ms:
            return record
        if self._health.answered_ms(key) > record.last_sent_ms:
            record.interval_ms = FIRST_INTERVAL_MS
        record.since_ms, record.last_result = since_ms, None
        record.next_ms = max(since_ms, record.last_sent_ms) + record.interval_ms
        record.next_trial_ms = since_ms + TRIAL_PERMIT_INTERVAL_MS
        return record

    def _hold(self, key: EndpointKey, record: _Record, now_ms: float) -> None:
        """Hold callers' requests back while probes are the trial.

        An answer that isn't healthy, and silence after a connection, may be the health path's own
        fault: the back-off then ends as it would without probes.
        """
        if record.last_result not in (None, ProbeResult.UNREACHABLE):
            return
        if now_ms - max(record.since_ms, record.last_sent_ms) < HOLD_AFTER_PROBE_MS:
            self._health.hold(key, now_ms + HOLD_MS)

    def _is_due(self, key: EndpointKey, record: _Record, now_ms: float) -> bool:
        if record.is_running or now_ms < record.next_ms:
            return False
        is_full = len(record.sent_ms) == MAX_PROBES
        if is_full and now_ms - record.sent_ms[0] < PROBES_SPAN_MS:
            return False
        if self._health.pause_left_ms(key, now_ms):
            return False
        service = self._directory.find_by_key(key).service
        if all(endpoint.key != key for endpoint in self._directory.of_service(service)):
            return False
        if self._rate_limits.wait_ms(key, now_ms):
            record.waiting_ms = now_ms
            return False
        return True

    def _path_of(self, key: EndpointKey) -> str | None:
        """Return the health path of an endpoint, or None if it is never probed."""
        if not self._service_by_name:
            return None
        endpoint = self._directory.find_by_key(key)
        service = None if endpoint is None else self._service_by_name.get(endpoint.service)
        return None if service is None else service.health_path

    def _record(self, key: EndpointKey) -> _Record:
        return self._record_by_key.setdefault(key, _Record())
