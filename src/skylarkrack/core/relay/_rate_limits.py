"""Keeps the rate of requests that an endpoint accepts from all entries and its agent together.

An endpoint that is overloaded names in its answers how many requests a second it accepts. The load
that this answers is a fleet of dozens of entries, of which each has few requests for the endpoint:
a burst or a rounded share for each would exceed a limit of one request a second at once, and a
fixed share would mostly lie idle. So one entry, the endpoint's home, spaces the requests of all.
The others ask it for a permit for each request. The home is the first live entry in rendezvous
order, which every entry computes alike without a message.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from skylarkrack.core._hashing import rendezvous_first
from skylarkrack.core.relay._names import EndpointKey
from skylarkrack.core.relay._order_pace import (
    LIMIT_TTL_MS,
    MIN_RATE_PER_S,
    ORDER_SHARE,
    order_interval_ms,
)

RECENT_MS = 1000.0
"""Time before a limit was named whose requests count towards it."""

MAX_SETTLING_MS = 3000.0
"""Longest time for which a newly limited endpoint gets no requests, because of those that it got
shortly before."""

PERMIT_TTL_MS = 250.0
"""Time within which a permit can be used; the request that it was asked for already waits."""

GRANT_AHEAD_MS = 50.0
"""Time before a request is due at which its permit may be granted: entries ask that often."""

PERMIT_DELAY_MS = 10.0
"""Expected time until a permit arrives from an endpoint's home."""

ANSWER_TIMEOUT_MS = 200.0
"""Time after which a home that does not answer counts as lost."""

WAITING_TTL_MS = 500.0
"""Time beyond an interval after which an entry that asked no more counts as not waiting."""

LOST_HOME_WAIT_MS = 3000.0
"""Expected wait while an endpoint's home does not answer: as long as it takes to replace it."""

REPORTS_OF_CHANGE = 5
REPORT_INTERVAL_MS = 100.0
"""Reports of a change, since datagrams are lost, and the time between them."""

CONFIRM_INTERVAL_MS = 1000.0
"""Time between a home's reports of a limit that is in force."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitReport:
    """What an entry reports of one endpoint's limit.

    *limit_per_s* is infinity if the endpoint names no limit any more. *age_ms* is the time since
    the answer that showed it. *recent_sends* counts the entry's own requests there within the
    `RECENT_MS` before it learned of the limit.
    """

    key: EndpointKey
    limit_per_s: float
    age_ms: float
    recent_sends: int


@dataclass(slots=True)
class _Limit:
    """The limit of one endpoint; it is kept with infinity for a time after its end.

    *share* is the part of the limit that is left for requests. *next_ms* is when the next request
    is due; entries other than the *home* only know what that told them last. *permits* holds
    the times at which unused permits expire. *asked_ms* is the first question to the home since its
    last answer. *waiting_by_entry* holds how many requests other entries had waiting and when they
    said so, which only the home knows; it tells others the sum as *ahead*.
    """

    limit_per_s: float
    share: float
    observed_ms: float
    confirmed_ms: float
    learned_ms: float
    next_ms: float
    home: str = ""
    permits: deque[float] = field(default_factory=deque)
    asked_ms: float = math.inf
    reports_left: int = 0
    reported_ms: float = float("-inf")
    recent_by_entry: dict[str, int] = field(default_factory=dict)
    waiting_by_entry: dict[str, tuple[int, float]] = field(default_factory=dict)
    ahead: int = 0

    @property
    def is_in_force(self) -> bool:
        """Whether the endpoint names a limit now."""
        return not math.isinf(self.limit_per_s)

    @property
    def interval_ms(self) -> float:
        """Time between two requests of all entries together."""
        return 1000 / (self.share * max(MIN_RATE_PER_S, self.limit_per_s))

    def settle(self) -> None:
        """Hold requests back until those that were sent before the limit was known are paid for."""
        paid_after_ms = sum(self.recent_by_entry.values()) * self.interval_ms
        settling_ms = min(MAX_SETTLING_MS, max(0.0, paid_after_ms - RECENT_MS))
        self.next_ms = max(self.next_ms, self.learned_ms + settling_ms)

    def waiting_elsewhere(self, entry: str, now_ms: float) -> int:
        """Return how many requests wait at other entries than *entry* and the home."""
        oldest_ms = now_ms - self.interval_ms - WAITING_TTL_MS
        return sum(
            count
            for vm, (count, told_ms) in self.waiting_by_entry.items()
            if vm != entry and told_ms >= oldest_ms
        )

    def drop_expired(self, now_ms: float) -> None:
        """Drop the permits that were not used in time."""
        while self.permits and self.permits[0] <= now_ms:
            self.permits.popleft()


class RateLimits:
    """Limits by endpoint incarnation, and the permits to send to these endpoints. Times are ms.

    *has_agent* returns whether an agent sends orders to the endpoint.
    """

    __slots__ = ("_entries", "_has_agent", "_limit_by_key", "_own", "_sends_by_key")

    def __init__(self, *, has_agent: Callable[[EndpointKey], bool]) -> None:
        self._has_agent = has_agent
        self._own = ""
        self._entries: tuple[str, ...] = ("",)
        self._limit_by_key: dict[EndpointKey, _Limit] = {}
        self._sends_by_key: dict[EndpointKey, deque[float]] = {}

    # Queries

    def limit_per_s(self, key: EndpointKey) -> float:
        """Return the requests a second that an endpoint accepts from all processes, or infinity."""
        limit = self._limit_by_key.get(key)
        return math.inf if limit is None else limit.limit_per_s

    def wait_ms(self, key: EndpointKey, now_ms: float, *, queued: int = 0) -> float:
        """Return the expected time until this entry may send a request behind *queued* others.

        It is 0 only if a request may be sent now.
        """
        limit = self._in_force(key)
        if limit is None:
            return 0.0
        limit.drop_expired(now_ms)
        queued -= len(limit.permits)
        if queued < 0:
            return 0.0
        due_ms = max(0.0, limit.next_ms - now_ms)
        if limit.home == self._own:
            if not due_ms and not queued:
                return 0.0
            queued += limit.waiting_elsewhere(self._own, now_ms)
            return due_ms + queued * limit.interval_ms
        wait_ms = due_ms + (queued + limit.ahead) * limit.interval_ms
        is_lost = now_ms - limit.asked_ms >= ANSWER_TIMEOUT_MS
        return max(LOST_HOME_WAIT_MS if is_lost else PERMIT_DELAY_MS, wait_ms)

    def orders_ms(self, key: EndpointKey, orders: int) -> float:
        """Return the time that an engine's agent needs to send *orders* within the limit."""
        limit = self._in_force(key)
        return 0.0 if limit is None else orders * order_interval_ms(limit.limit_per_s)

    # Commands

    def set_entries(self, own: str, entries: Iterable[str], now_ms: float) -> None:
        """Set the VMs of this entry and of all live entries, this one included."""
        entries = tuple(sorted(entries))
        if (own, entries) == (self._own, self._entries):
            return
        self._own, self._entries = own, entries
        for key, limit in self._limit_by_key.items():
            home = self._home_of(key)
            if home == limit.home:
                continue
            limit.home, limit.asked_ms = home, math.inf
            if home == own and limit.is_in_force:
                # The home before this one may have granted permits until now.
                limit.next_ms = max(limit.next_ms, now_ms + limit.interval_ms)

    def try_send(self, key: EndpointKey, now_ms: float) -> bool:
        """Count a request that is about to be sent; return False if it may not be sent now."""
        if self.wait_ms(key, now_ms) > 0:
            return False
        sends = self._sends_by_key.setdefault(key, deque())
        sends.append(now_ms)
        while sends[0] <= now_ms - RECENT_MS:
            sends.popleft()
        limit = self._in_force(key)
        if limit is None:
            return True
        if limit.permits:
            limit.permits.popleft()
        else:
            limit.next_ms = now_ms + limit.interval_ms
        return True

    def ask(self, key: EndpointKey, now_ms: float) -> str | None:
        """Return the VM to ask for a permit, or None if none is needed or due."""
        limit = self._in_force(key)
        if limit is None or limit.home == self._own:
            return None
        limit.drop_expired(now_ms)
        if limit.permits or now_ms < limit.next_ms - GRANT_AHEAD_MS:
            return None
        limit.asked_ms = min(limit.asked_ms, now_ms)
        return limit.home

    def grant(
        self, key: EndpointKey, *, entry: str, waiting: int, now_ms: float
    ) -> tuple[bool, float, int]:
        """Decide whether *entry*, where *waiting* requests wait for the endpoint, may send one.

        Returns that, the time until the next is due, and how many wait at the other entries.
        """
        limit = self._in_force(key)
        if limit is None:
            return True, 0.0, 0
        if limit.home != self._own:
            return False, limit.interval_ms, 0
        is_due = now_ms >= limit.next_ms - GRANT_AHEAD_MS
        if is_due:
            limit.next_ms = max(now_ms, limit.next_ms) + limit.interval_ms
        limit.waiting_by_entry[entry] = (waiting - is_due, now_ms)
        return is_due, limit.next_ms - now_ms, limit.waiting_elsewhere(entry, now_ms)

    def receive_permit(
        self, key: EndpointKey, *, is_granted: bool, wait_ms: float, ahead: int, now_ms: float
    ) -> None:
        """Apply the answer of an endpoint's home.

        The next permit is due after *wait_ms*; *ahead* requests wait for one at other entries.
        """
        limit = self._in_force(key)
        if limit is None or limit.home == self._own:
            return
        limit.asked_ms, limit.next_ms, limit.ahead = math.inf, now_ms + wait_ms, ahead
        if is_granted:
            limit.permits.append(now_ms + PERMIT_TTL_MS)

    def record_answer(
        self, key: EndpointKey, limit_per_s: float, *, sent_ms: float, now_ms: float
    ) -> bool:
        """Record the limit in an answer, infinity without one; return whether it changed.

        *sent_ms* is when its request was sent. An answer without a limit ends one only if it was
        requested after the limit was named, as answers overtake each other.
        """
        limit = self._limit_by_key.get(key)
        if math.isinf(limit_per_s) and (limit is None or sent_ms <= limit.observed_ms):
            return False
        has_changed = self._apply(key, limit_per_s, observed_ms=now_ms, now_ms=now_ms)
        if has_changed:
            self._limit_by_key[key].reports_left = REPORTS_OF_CHANGE
        return has_changed

    def receive_report(self, entry: str, report: RateLimitReport, now_ms: float) -> bool:
        """Merge what another entry reports; return whether the limit changed."""
        key, observed_ms = report.key, now_ms - report.age_ms
        limit = self._limit_by_key.get(key)
        if limit is None and math.isinf(report.limit_per_s):
            return False
        has_changed = False
        if limit is None or observed_ms >= limit.observed_ms:
            has_changed = self._apply(
                key, report.limit_per_s, observed_ms=observed_ms, now_ms=now_ms
            )
        limit = self._limit_by_key[key]
        if limit.limit_per_s == report.limit_per_s:
            limit.confirmed_ms = now_ms
        if has_changed and limit.recent_by_entry.get(self._own):
            limit.reports_left = REPORTS_OF_CHANGE
        if limit.is_in_force and report.recent_sends and entry not in limit.recent_by_entry:
            limit.recent_by_entry[entry] = report.recent_sends
            limit.settle()
        return has_changed

    def take_reports(self, now_ms: float) -> list[RateLimitReport]:
        """Return the reports that are due, and drop the limits that no home confirms."""
        reports = []
        for key, limit in list(self._limit_by_key.items()):
            is_confirming = limit.is_in_force and limit.home == self._own
            if is_confirming:
                limit.confirmed_ms = now_ms
            elif now_ms - limit.confirmed_ms >= LIMIT_TTL_MS:
                del self._limit_by_key[key]
                continue
            since_ms = now_ms - limit.reported_ms
            is_due = limit.reports_left and since_ms >= REPORT_INTERVAL_MS
            if is_due or (is_confirming and since_ms >= CONFIRM_INTERVAL_MS):
                limit.reports_left = max(0, limit.reports_left - 1)
                limit.reported_ms = now_ms
                reports.append(self._report(key, limit, now_ms))
        return reports

    def all_reports(self, now_ms: float) -> list[RateLimitReport]:
        """Return a report of each limit in force, for an entry that is new or was silent."""
        return [
            self._report(key, limit, now_ms)
            for key, limit in self._limit_by_key.items()
            if limit.is_in_force
        ]

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Drop the limits of endpoints that are not in *keys*."""
        for by_key in (self._limit_by_key, self._sends_by_key):
            for key in set(by_key) - keys:
                del by_key[key]

    def _in_force(self, key: EndpointKey) -> _Limit | None:
        limit = self._limit_by_key.get(key)
        return limit if limit is not None and limit.is_in_force else None

    def _apply(
        self, key: EndpointKey, limit_per_s: float, *, observed_ms: float, now_ms: float
    ) -> bool:
        limit = self._limit_by_key.get(key)
        if limit is not None and limit.limit_per_s == limit_per_s:
            limit.observed_ms = observed_ms
            return False
        if limit is None or not limit.is_in_force:
            limit = self._limit_by_key[key] = _Limit(
                limit_per_s=limit_per_s,
                share=1 - ORDER_SHARE if self._has_agent(key) else 1.0,
                observed_ms=observed_ms,
                confirmed_ms=now_ms,
                learned_ms=now_ms,
                next_ms=now_ms,
                home=self._home_of(key),
            )
            sends = self._sends_by_key.get(key, ())
            limit.recent_by_entry[self._own] = sum(ms > now_ms - RECENT_MS for ms in sends)
            limit.settle()
            return True
        limit.limit_per_s, limit.observed_ms, limit.confirmed_ms = limit_per_s, observed_ms, now_ms
        if limit.is_in_force:
            limit.next_ms = min(limit.next_ms, now_ms + limit.interval_ms)
        return True

    def _home_of(self, key: EndpointKey) -> str:
        return rendezvous_first(f"{key[0]}/{key[1]}", self._entries)

    def _report(self, key: EndpointKey, limit: _Limit, now_ms: float) -> RateLimitReport:
        return RateLimitReport(
            key=key,
            limit_per_s=limit.limit_per_s,
            age_ms=now_ms - limit.observed_ms,
            recent_sends=limit.recent_by_entry.get(self._own, 0),
        )
