"""Tells which endpoints are cold, so that all entries together send them few requests a second.

An endpoint of some services tolerates few requests a second for some seconds after its start, and
crashes well above that. Its registration says for how long it is still cold. It may also be cold
after an evacuation of its failure domain, and when it returns after connections to it failed.

Coldness that follows from a registration, an evacuation or a response of the health path is
certain. After a failed connection it is assumed, since a single lost packet looks the same: an
assumption of another entry is ignored where this entry got an answer just before.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from skylarkrack.core.relay._directory import Endpoint
from skylarkrack.core.relay._health import Health
from skylarkrack.core.relay._names import EndpointKey
from skylarkrack.core.relay._table import Service

CONTRADICTED_MS = 300.0
"""Age of this entry's last answer from an endpoint up to which it outweighs what another entry
assumes. An entry with less traffic there has no better knowledge than its peer."""


MAX_COLD_MS = 60_000.0
"""Longest rest of the cold time that a registration or another entry is believed to state."""


REGISTRATION_DELAY_MS = 2100.0
"""Age of a health response up to which a registration may have been written before it: they are
written every 1.2 s, and known up to 0.9 s later."""

WARM_TTL_MS = 1000.0
"""Time after a health response without a cold time for which other entries' assumptions are
ignored. They stem from the same failed connections, and later ones count."""

HEALTH_REPORT_MS = 3000.0
"""Longest cold time by a health response that other entries are told at once. The home repeats it
each second, so that a wrong one ends there soon after it has ended here."""

REPORTS_OF_CHANGE = 5
REPORT_INTERVAL_MS = 100.0
"""Reports of a newly cold endpoint, since datagrams are lost, and the time between them."""

CONFIRM_INTERVAL_MS = 1000.0
"""Time between later reports of a home."""

TELL_INTERVAL_MS = 200.0
"""Time between reports to one endpoint's home, sent with questions for permits."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ColdReport:
    """What an entry tells others of a cold endpoint.

    *domain* is its failure domain, or "" if it isn't known, and *per_s* the requests a second that
    it tolerates. *certain_ms* and *assumed_ms* are the times
    for which it is certainly cold and assumed to be cold, 0 if it isn't.
    """

    key: EndpointKey
    domain: str
    per_s: float
    certain_ms: float
    assumed_ms: float


@dataclass(slots=True)
class _Record:
    """One endpoint; *reported_per_s* counts for an entry whose configuration is out of date.

    *health_ms* is the last health response with a cold time, which holds until *health_until_ms*,
    and *warm_ms* the last one whose cold time was 0. *doubted_ms* is the last report of another
    entry to which connections failed.
    *reports* counts those of the present cold time.
    """

    service: str = ""
    domain: str = ""
    registered_until_ms: float = -math.inf
    certain_until_ms: float = -math.inf
    assumed_until_ms: float = -math.inf
    health_until_ms: float = -math.inf
    health_ms: float = -math.inf
    doubted_ms: float = -math.inf
    warm_ms: float = -math.inf
    reported_per_s: float = math.inf
    reports: int = 0
    reported_ms: float = -math.inf
    told_ms: float = -math.inf


class ColdEndpoints:
    """Coldness by endpoint incarnation. Times are ms on a monotonic clock.

    *health* tells which endpoints were unreachable.
    """

    __slots__ = ("_cold_keys", "_health", "_maybe_cold", "_record_by_key", "_service_by_name")

    def __init__(self, health: Health) -> None:
        self._health = health
        self._record_by_key: dict[EndpointKey, _Record] = {}
        self._service_by_name: dict[str, Service] = {}
        # Endpoints whose cold time is to be looked at regularly: few, however many are known.
        self._maybe_cold: set[EndpointKey] = set()
        self._cold_keys: frozenset[EndpointKey] = frozenset()

    # Queries

    def per_s(self, key: EndpointKey, now_ms: float) -> float:
        """Return the requests a second that a cold endpoint tolerates, or infinity."""
        if key not in self._maybe_cold and key not in self._health.disturbed_keys:
            # Decisions ask this of every endpoint.
            return math.inf
        record = self._record_by_key.get(key)
        if record is None:
            return math.inf
        per_s = self._figures(record)[0]
        if math.isinf(per_s):
            return math.inf
        is_cold = self.is_certain(key, now_ms) or self._assumed_ms(key, record, now_ms) > 0
        return per_s if is_cold else math.inf

    def maybe_cold_keys(self) -> set[EndpointKey]:
        """Return the endpoints that may be cold; all others are warm."""
        return self._maybe_cold | self._health.disturbed_keys

    def is_certain(self, key: EndpointKey, now_ms: float) -> bool:
        """Return whether a registration, an evacuation or its health path says it is cold."""
        record = self._record_by_key.get(key)
        return record is not None and now_ms < _certain_until_ms(record)

    def doubted_ms(self, key: EndpointKey) -> float:
        """Return when another entry last reported failed connections; minus infinity if none."""
        record = self._record_by_key.get(key)
        return -math.inf if record is None else record.doubted_ms

    def home_domain(self, key: EndpointKey) -> str | None:
        """Return the failure domain of an endpoint whose service states a bound, else None."""
        record = self._record_by_key.get(key)
        if record is None or math.isinf(self._figures(record)[0]):
            return None
        return record.domain or None

    def service_of(self, key: EndpointKey) -> str:
        """Return the service of a registered endpoint, or ""."""
        record = self._record_by_key.get(key)
        return "" if record is None else record.service

    def all_reports(self, now_ms: float) -> list[ColdReport]:
        """Return a report of each cold endpoint, for an entry that is new or was silent."""
        reports = (self._report(key, now_ms) for key in self._cold_keys)
        return [report for report in reports if report is not None]

    def _report(self, key: EndpointKey, now_ms: float) -> ColdReport | None:
        per_s = self.per_s(key, now_ms)
        if math.isinf(per_s):
            return None
        record = self._record_by_key[key]
        return ColdReport(
            key=key,
            domain=record.domain,
            per_s=per_s,
            certain_ms=max(
                0.0,
                max(record.registered_until_ms, record.certain_until_ms) - now_ms,
                min(HEALTH_REPORT_MS, record.health_until_ms - now_ms),
            ),
            assumed_ms=self._assumed_ms(key, record, now_ms),
        )

    # Commands

    def advance(self, now_ms: float) -> tuple[list[EndpointKey], list[EndpointKey]]:
        """Find the endpoints that are cold; return those that became cold, and became warm."""
        self._health.forget_recovered(now_ms - MAX_COLD_MS)
        self._maybe_cold |= self._health.disturbed_keys
        cold = {key for key in self._maybe_cold if not math.isinf(self.per_s(key, now_ms))}
        self._maybe_cold = set(cold)
        began, ended = cold - self._cold_keys, self._cold_keys - cold
        for key in began:
            self._record_by_key[key].reports = 0
        self._cold_keys = frozenset(cold)
        return list(began), list(ended)

    def take_reports(
        self, now_ms: float, *, is_home: Callable[[EndpointKey], bool | None]
    ) -> list[ColdReport]:
        """Return the reports that are due to all entries, of the endpoints that this is home of."""
        reports = []
        for key in self._cold_keys:
            record = self._record_by_key.get(key)
            if record is None or not is_home(key):
                continue
            is_new = record.reports < REPORTS_OF_CHANGE
            interval_ms = REPORT_INTERVAL_MS if is_new else CONFIRM_INTERVAL_MS
            if now_ms - record.reported_ms >= interval_ms:
                report = self._report(key, now_ms)
                if report is not None:
                    record.reports, record.reported_ms = record.reports + 1, now_ms
                    reports.append(report)
        return reports

    def report_to_home(self, key: EndpointKey, now_ms: float) -> ColdReport | None:
        """Return what a home is to be told with a question for a permit, if that is due.

        It may not know yet that the endpoint is cold, as its view is stale or it just started.
        """
        record = self._record_by_key.get(key)
        if record is None or now_ms - record.told_ms < TELL_INTERVAL_MS:
            return None
        report = self._report(key, now_ms)
        if report is not None:
            record.told_ms = now_ms
        return report

    def set_services(self, service_by_name: Mapping[str, Service]) -> None:
        """Set the configured services."""
        self._service_by_name = dict(service_by_name)

    def record_registration(self, endpoint: Endpoint, now_ms: float) -> None:
        """Record a registration. The cold time in it has partly passed, so it is never too short.

        Without a rest of the cold time the endpoint is warm, unless that is known from elsewhere.
        """
        record = self._record(endpoint.key)
        record.service, record.domain = endpoint.service, endpoint.domain
        left_ms = min(MAX_COLD_MS, endpoint.warmup_left_ms)
        record.registered_until_ms = now_ms + left_ms if left_ms > 0 else -math.inf
        if left_ms > 0:
            self._maybe_cold.add(endpoint.key)
        elif now_ms - record.health_ms >= REGISTRATION_DELAY_MS:
            record.health_until_ms = -math.inf

    def record_health(self, key: EndpointKey, cold_left_ms: float | None, now_ms: float) -> None:
        """Record the cold time in a health response; None if it names none that is valid.

        It may add coldness, and a 0 ends coldness that was only assumed. Neither shortens what a
        registration or an evacuation states, as health responses may be wrong.
        """
        if cold_left_ms is None:
            return
        record = self._record(key)
        record.health_ms = now_ms
        if cold_left_ms > 0:
            record.health_until_ms = now_ms + min(MAX_COLD_MS, cold_left_ms)
            self._maybe_cold.add(key)
        else:
            record.health_until_ms = record.assumed_until_ms = -math.inf
            record.warm_ms = now_ms

    def cold_again(self, endpoints: Iterable[Endpoint], now_ms: float) -> list[EndpointKey]:
        """Record that endpoints may have become cold; return those that weren't known as cold."""
        changed = []
        for endpoint in endpoints:
            record = self._record(endpoint.key)
            record.service, record.domain = endpoint.service, endpoint.domain
            per_s, cold_ms = self._figures(record)
            if math.isinf(per_s):
                continue
            if not self.is_certain(endpoint.key, now_ms):
                changed.append(endpoint.key)
            record.certain_until_ms = max(record.certain_until_ms, now_ms + cold_ms)
            self._maybe_cold.add(endpoint.key)
        return changed

    def receive_report(self, report: ColdReport, now_ms: float) -> bool:
        """Merge what another entry reports; return whether the endpoint became cold here."""
        was_cold = not math.isinf(self.per_s(report.key, now_ms))
        certain_ms = min(MAX_COLD_MS, report.certain_ms)
        assumed_ms = min(MAX_COLD_MS, report.assumed_ms)
        known = self._record_by_key.get(report.key)
        is_known_warm = known is not None and now_ms - known.warm_ms < WARM_TTL_MS
        if is_known_warm or now_ms - self._health.answered_ms(report.key) < CONTRADICTED_MS:
            assumed_ms = 0.0
        if certain_ms <= 0 and assumed_ms <= 0:
            return False
        record = self._record(report.key)
        record.reported_per_s = report.per_s
        record.domain = record.domain or report.domain
        self._maybe_cold.add(report.key)
        if certain_ms > 0:
            record.certain_until_ms = max(record.certain_until_ms, now_ms + certain_ms)
        if assumed_ms > 0:
            record.assumed_until_ms = max(record.assumed_until_ms, now_ms + assumed_ms)
            record.doubted_ms = now_ms
        return not was_cold

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Drop the endpoints that are not in *keys*."""
        for key in set(self._record_by_key) - keys:
            del self._record_by_key[key]
        self._maybe_cold &= keys
        self._cold_keys &= keys

    def _record(self, key: EndpointKey) -> _Record:
        return self._record_by_key.setdefault(key, _Record())

    def _figures(self, record: _Record) -> tuple[float, float]:
        """Return the requests a second that the service states, or infinity, and the cold time."""
        service = self._service_by_name.get(record.service)
        if service is None or not service.cold_per_s:
            return record.reported_per_s, 0.0
        return service.cold_per_s, service.cold_start_ms

    def _assumed_ms(self, key: EndpointKey, record: _Record, now_ms: float) -> float:
        """Return for how long the endpoint is assumed to be cold after it was unreachable."""
        cold_ms = self._figures(record)[1]
        if self._health.is_unreachable(key):
            # Its cold time begins when it answers again.
            return cold_ms
        recovered_ms = self._health.recovered_ms(key)
        is_assumed = recovered_ms > record.warm_ms
        own_until_ms = recovered_ms + cold_ms if is_assumed else -math.inf
        return max(0.0, max(record.assumed_until_ms, own_until_ms) - now_ms)


def _certain_until_ms(record: _Record) -> float:
    return max(record.registered_until_ms, record.certain_until_ms, record.health_until_ms)
