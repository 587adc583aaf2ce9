"""Keeps the rate of requests that an endpoint accepts from all entries and its agent together.

An endpoint that is overloaded names in its answers how many requests a second it accepts. The load
that this answers is a fleet of dozens of entries, of which each has few requests for the endpoint:
a burst or a rounded share for each would exceed a limit of one request a second at once, and a
fixed share would mostly lie idle. So one entry, the endpoint's home, spaces the requests of all.
The others ask it for a permit for each request. The home is the first live entry in rendezvous
order, which every entry computes alike without a message.

The bound of a cold endpoint is kept in the same way. There two homes at once must not exceed the
bound, as an endpoint crashes above it: each home spaces its requests at three quarters of the
bound, and at less where it misses most of the other entries. The home is an entry of the endpoint's
own failure domain if there is one, so that entries that are cut off together with it share a home.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping

from skylarkrack.core.relay._cold_endpoints import ColdEndpoints
from skylarkrack.core.relay._homes import ColdMargin, Homes
from skylarkrack.core.relay._limit import DEPUTY_AFTER_MS, RECENT_MS, EndpointLimit, RateLimitReport
from skylarkrack.core.relay._names import EndpointKey
from skylarkrack.core.relay._order_pace import (
    LIMIT_TTL_MS,
    ORDER_SHARE,
    order_interval_ms,
)
from skylarkrack.core.relay._pace import Pace

PERMIT_TTL_MS = 250.0
"""Time within which a permit can be used; the request that it was asked for already waits."""

GRANT_AHEAD_MS = 50.0
"""Time before a request is due at which its permit may be granted: entries ask that often."""

PERMIT_DELAY_MS = 10.0
"""Expected time until a permit arrives from an endpoint's home."""

UNKNOWN_WAIT_MS = 50.0
"""Time after which an entry asks again whose home does not know the endpoint."""

FULL_WINDOW_WAIT_MS = 25.0
"""Time after which a request is decided again that finds no room in a window."""

ANSWER_TIMEOUT_MS = 200.0
"""Time after which a home that does not answer counts as lost."""

LOST_HOME_WAIT_MS = 3000.0
"""Expected wait while an endpoint's home does not answer: as long as it takes to replace it."""

REPORTS_OF_CHANGE = 5
REPORT_INTERVAL_MS = 100.0
"""Reports of a change, since datagrams are lost, and the time between them."""

CONFIRM_INTERVAL_MS = 1000.0
"""Time between a home's reports of a limit that is in force."""

ASK_AGAIN_MS = 95.0
"""Time until a question about a cold endpoint is repeated. The home would grant a permit for each,
and the second one would lie idle."""

COLD_PERMIT_TTL_MS = 60.0
"""Time within which a permit for a cold endpoint can be used. Permits that are used later come in
bursts, and an endpoint's bound holds for each second."""

COLD_ANSWER_TTL_MS = 150.0
"""Time after the question within which a permit for a cold endpoint can be used."""


class RateLimits:
    """Limits by endpoint incarnation, and the permits to send to these endpoints. Times are ms.

    *has_agent* returns whether an agent sends orders to the endpoint. *cold* tells which endpoints
    are cold, and *pace* how many requests may be in flight. *on_lifted* is called with an endpoint
    that names no limit any more, and the time, and *on_granted* with one that this entry got a
    permit for. *withholds* returns whether no permit may be granted now. *is_known* tells which are
    registered. *margin* is what cold endpoints may get beyond their bound.
    """

    __slots__ = (
        "_cold",
        "_has_agent",
        "_is_known",
        "_limit_by_key",
        "_homes",
        "_pace",
        "_sends_by_key",
        "on_granted",
        "on_lifted",
        "withholds",
    )

    def __init__(
        self,
        *,
        has_agent: Callable[[EndpointKey], bool],
        cold: ColdEndpoints | None = None,
        pace: Pace | None = None,
        is_known: Callable[[EndpointKey], bool] = lambda key: True,
        margin: ColdMargin | None = None,
    ) -> None:
        self._is_known = is_known
        self._has_agent = has_agent
        self._cold = cold
        self._pace = pace
        self.on_lifted: Callable[[EndpointKey, float], None] = lambda key, now_ms: None
        self.on_granted: Callable[[EndpointKey, float], None] = lambda key, now_ms: None
        self.withholds: Callable[[EndpointKey, float], bool] = lambda key, now_ms: False
        self._homes = Homes(margin)
        self._limit_by_key: dict[EndpointKey, EndpointLimit] = {}
        self._sends_by_key: dict[EndpointKey, deque[float]] = {}

    # Queries

    def limit_per_s(self, key: EndpointKey) -> float:
        """Return the requests a second that an endpoint accepts from all processes, or infinity."""
        limit = self._limit_by_key.get(key)
        return math.inf if limit is None else limit.limit_per_s

    def limited_keys(self) -> set[EndpointKey]:
        """Return the endpoints that may be named, cold or paced; all others have no limit."""
        keys = set(self._limit_by_key)
        if self._cold is not None:
            keys |= self._cold.maybe_cold_keys()
        if self._pace is not None:
            keys.update(self._pace.paced_keys())
        return keys

    def wait_ms(
        self, key: EndpointKey, now_ms: float, *, queued: int = 0, is_counted: bool = False
    ) -> float:
        """Return the expected time until this entry may send a request behind *queued* others.

        It is 0 only if a request may be sent now. With *is_counted* it counts as in flight already.
        """
        limit = self._in_force(key, now_ms)
        return self._wait_ms(limit, key, now_ms, queued=queued, is_counted=is_counted)

    def expected_wait_ms(self, key: EndpointKey, now_ms: float, *, queued: int = 0) -> float:
        """Return what `wait_ms` would, and store nothing."""
        return self._wait_ms(self.limit_at(key, now_ms), key, now_ms, queued=queued)

    def limit_at(self, key: EndpointKey, now_ms: float) -> EndpointLimit | None:
        """Return a copy of the limit that is in force, or None; stores nothing."""
        limit = self._limit_by_key.get(key)
        limit = self._as_of(None if limit is None else limit.copy(), key, now_ms)
        return limit if limit is not None and limit.is_in_force else None

    def _wait_ms(
        self,
        limit: EndpointLimit | None,
        key: EndpointKey,
        now_ms: float,
        *,
        queued: int,
        is_counted: bool = False,
    ) -> float:
        if limit is None:
            return 0.0
        limit.drop_expired(now_ms)
        queued -= len(limit.permits)
        if queued < 0:
            return 0.0
        due_ms = max(0.0, limit.next_ms - now_ms)
        if limit.is_spaced_by(self._homes.own, now_ms):
            if limit.is_paced and not self._pace.has_room(key, now_ms, is_counted=is_counted):
                due_ms = max(due_ms, FULL_WINDOW_WAIT_MS)
            if not due_ms and not queued:
                return 0.0
            queued += limit.waiting_elsewhere(self._homes.own, now_ms)
            return due_ms + queued * limit.turn_ms
        wait_ms = due_ms + (queued + limit.ahead) * limit.turn_ms
        if now_ms - limit.asked_ms < ANSWER_TIMEOUT_MS:
            return max(PERMIT_DELAY_MS, wait_ms)
        return max(DEPUTY_AFTER_MS if not limit.is_named else LOST_HOME_WAIT_MS, wait_ms)

    def is_home(self, key: EndpointKey) -> bool:
        """Return whether this entry is the endpoint's home."""
        return self.home_of(key) == self._homes.own

    def homes_in_tick(self) -> Callable[[EndpointKey], bool | None]:
        """Return a function that tells whether this entry is an endpoint's home.

        It returns None where that takes too long now; a later tick will find out.
        """
        finds_left = self._homes.finds_per_tick

        def is_home(key: EndpointKey) -> bool | None:
            nonlocal finds_left
            if not self._homes.is_found(key):
                if not finds_left:
                    return None
                finds_left -= 1
            return self.is_home(key)

        return is_home

    def home_of(self, key: EndpointKey) -> str:
        """Return the VM of the endpoint's home."""
        limit = self._limit_by_key.get(key)
        return self._homes_of(key)[0] if limit is None else limit.home

    def orders_ms(self, key: EndpointKey, orders: int) -> float:
        """Return the time that an engine's agent needs to send *orders* within the limit."""
        limit = self._limit_by_key.get(key)
        if limit is None or not limit.is_named:
            return 0.0
        return orders * order_interval_ms(limit.limit_per_s)

    # Commands

    def set_entries(
        self,
        own: str,
        entries: Iterable[str],
        now_ms: float,
        *,
        domain_by_entry: Mapping[str, str] | None = None,
    ) -> None:
        """Set the VMs of this entry and of all live entries, this one included.

        *domain_by_entry* holds their failure domains.
        """
        if not self._homes.set_entries(own, entries, now_ms, domain_by_entry or {}):
            return
        for key, limit in self._limit_by_key.items():
            home, limit.deputy = self._homes_of(key)
            if home == limit.home:
                continue
            limit.home, limit.asked_ms = home, math.inf
            if home == own and self._in_force(key, now_ms) is not None:
                # The home before this one may have granted permits until now.
                first_ms = self._first_ms(key, limit, now_ms)
                if first_ms <= now_ms:
                    first_ms = now_ms + limit.interval_ms
                limit.next_ms = max(limit.next_ms, first_ms)

    def update_homes(self) -> None:
        """Find the homes again, since it has changed which endpoints have a bound while cold."""
        for key, limit in self._limit_by_key.items():
            limit.home, limit.deputy = self._homes_of(key)
            limit.domain = None if self._cold is None else self._cold.home_domain(key)

    def try_send(self, key: EndpointKey, now_ms: float, *, is_run: bool = True) -> bool:
        """Count a request that is about to be sent; return False if it may not be sent now.

        Its run counts as started already, unless it is none.
        """
        if self.wait_ms(key, now_ms, is_counted=is_run) > 0:
            return False
        if self._pace is not None and is_run:
            self._pace.record_send(key, now_ms)
        sends = self._sends_by_key.setdefault(key, deque())
        sends.append(now_ms)
        while sends[0] <= now_ms - RECENT_MS:
            sends.popleft()
        limit = self._in_force(key, now_ms)
        if limit is None:
            return True
        if limit.permits:
            limit.permits.popleft()
        else:
            limit.next_ms = now_ms + limit.interval_ms
        return True

    def ask(self, key: EndpointKey, now_ms: float) -> str | None:
        """Return the VM to ask for a permit, or None if none is needed or due."""
        limit = self._in_force(key, now_ms)
        if limit is None or limit.home == self._homes.own:
            return None
        limit.drop_expired(now_ms)
        if limit.permits or now_ms < limit.next_ms - GRANT_AHEAD_MS:
            return None
        is_open = not math.isinf(limit.asked_ms) and now_ms - limit.last_asked_ms < ASK_AGAIN_MS
        if limit.is_cold and is_open:
            return None
        limit.asked_ms, limit.last_asked_ms = min(limit.asked_ms, now_ms), now_ms
        is_silent = now_ms - limit.asked_ms >= DEPUTY_AFTER_MS
        # The home is asked in turn with its deputy, as it may be back.
        limit.asks_deputy = is_silent and not limit.asks_deputy and limit.deputy != self._homes.own
        asks_deputy = limit.asks_deputy and limit.may_grant(limit.deputy)
        return limit.deputy if asks_deputy else limit.home

    def grant(
        self, key: EndpointKey, *, entry: str, waiting: int, now_ms: float
    ) -> tuple[bool, float, int]:
        """Decide whether *entry*, where *waiting* requests wait for the endpoint, may send one.

        Returns that, the time until the next is due, and how many wait at the other entries.
        """
        limit = self._in_force(key, now_ms)
        if limit is None:
            # An endpoint whose registration wasn't read yet may be new, and thus cold or paced.
            is_known = self._is_known(key)
            return is_known, 0.0 if is_known else UNKNOWN_WAIT_MS, 0
        if not limit.may_grant(self._homes.own):
            return False, limit.interval_ms, 0
        has_room = not limit.is_paced or self._pace.has_room(key, now_ms)
        is_due = has_room and now_ms >= limit.next_ms - GRANT_AHEAD_MS
        if is_due and self.withholds(key, now_ms):
            return False, UNKNOWN_WAIT_MS, 0
        if is_due:
            limit.next_ms = max(now_ms, limit.next_ms) + limit.interval_ms
            if limit.is_paced:
                self._pace.record_grant(key, entry, now_ms)
        limit.waiting_by_entry[entry] = (waiting - is_due, now_ms)
        wait_ms = max(limit.next_ms - now_ms, 0.0 if has_room else FULL_WINDOW_WAIT_MS)
        return is_due, wait_ms, limit.waiting_elsewhere(entry, now_ms)

    def receive_permit(
        self,
        key: EndpointKey,
        *,
        is_granted: bool,
        wait_ms: float,
        ahead: int,
        now_ms: float,
        entry: str | None = None,
    ) -> None:
        """Apply the answer of an endpoint's home, or of *entry*.

        The next permit is due after *wait_ms*; *ahead* requests wait for one at other entries.
        """
        limit = self._in_force(key, now_ms)
        if limit is None or limit.home == self._homes.own:
            return
        if limit.is_cold and math.isinf(limit.asked_ms):
            # A second answer, or one that is so late that another entry may have taken its place.
            return
        is_unaware = is_granted and wait_ms <= 0
        if is_unaware and limit.is_cold and self._cold.is_certain(key, now_ms):
            # It doesn't know yet that the endpoint is cold, or is of a build that never will.
            return
        if entry is None or entry == limit.home:
            limit.asked_ms = math.inf
        limit.next_ms, limit.ahead = now_ms + wait_ms, ahead
        if not is_granted:
            return
        self.on_granted(key, now_ms)
        if not limit.is_cold:
            limit.permits.append(now_ms + PERMIT_TTL_MS)
        else:
            until_ms = min(now_ms + COLD_PERMIT_TTL_MS, limit.last_asked_ms + COLD_ANSWER_TTL_MS)
            limit.permits.append(until_ms)

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
        if has_changed and limit.recent_by_entry.get(self._homes.own):
            limit.reports_left = REPORTS_OF_CHANGE
        if limit.is_named and report.recent_sends and entry not in limit.recent_by_entry:
            limit.recent_by_entry[entry] = report.recent_sends
            limit.settle()
        return has_changed

    def take_reports(self, now_ms: float) -> list[RateLimitReport]:
        """Return the reports that are due, and drop the limits that no home confirms."""
        reports = []
        for key, limit in list(self._limit_by_key.items()):
            is_confirming = limit.is_named and limit.home == self._homes.own
            if is_confirming:
                limit.confirmed_ms = now_ms
            elif now_ms - limit.confirmed_ms >= LIMIT_TTL_MS:
                limit.limit_per_s = math.inf
                if self._in_force(key, now_ms) is None:
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
            if limit.is_named
        ]

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Drop the limits of endpoints that are not in *keys*."""
        self._homes.keep_only(keys)
        for by_key in (self._limit_by_key, self._sends_by_key):
            for key in set(by_key) - keys:
                del by_key[key]

    def _in_force(self, key: EndpointKey, now_ms: float) -> EndpointLimit | None:
        self._homes.refresh_share(now_ms)
        limit = self._as_of(self._limit_by_key.get(key), key, now_ms)
        if limit is None:
            return None
        self._limit_by_key[key] = limit
        return limit if limit.is_in_force else None

    def _as_of(
        self, limit: EndpointLimit | None, key: EndpointKey, now_ms: float
    ) -> EndpointLimit | None:
        """Bring *limit* up to date and return it; a new one if it is None, but there is a bound."""
        cold_per_s = math.inf if self._cold is None else self._cold.per_s(key, now_ms)
        window = math.inf if self._pace is None else self._pace.window(key)
        if limit is None:
            if math.isinf(cold_per_s) and math.isinf(window):
                return None
            limit = self._new_limit(key, math.inf, now_ms)
            limit.cold_per_s = self._homes.cold_rate_per_s(cold_per_s, now_ms)
            hold_ms = self._homes.hold_until_ms if limit.is_cold else now_ms
            limit.next_ms = max(self._first_ms(key, limit, now_ms), hold_ms)
        if not math.isinf(cold_per_s) and self._cold.home_domain(key) != limit.domain:
            # Another entry told of the endpoint before its registration was read.
            limit.domain = self._cold.home_domain(key)
            limit.home, limit.deputy = self._homes_of(key)
        limit.cold_per_s = self._homes.cold_rate_per_s(cold_per_s, now_ms)
        limit.window = window
        return limit

    def _new_limit(self, key: EndpointKey, limit_per_s: float, now_ms: float) -> EndpointLimit:
        home, deputy = self._homes_of(key)
        return EndpointLimit(
            limit_per_s=limit_per_s,
            share=1 - ORDER_SHARE if self._has_agent(key) else 1.0,
            observed_ms=float("-inf"),
            confirmed_ms=now_ms,
            learned_ms=now_ms,
            next_ms=now_ms,
            home=home,
            deputy=deputy,
            domain=None if self._cold is None else self._cold.home_domain(key),
        )

    def _first_ms(self, key: EndpointKey, limit: EndpointLimit, now_ms: float) -> float:
        """Return when this entry sends its first request to an endpoint that it is home of."""
        if not limit.is_cold:
            return now_ms
        return self._homes.first_send_ms(key, limit.interval_ms, now_ms)

    def _apply(
        self, key: EndpointKey, limit_per_s: float, *, observed_ms: float, now_ms: float
    ) -> bool:
        limit = self._limit_by_key.get(key)
        if limit is not None and limit.limit_per_s == limit_per_s:
            limit.observed_ms = observed_ms
            return False
        if limit is None or not limit.is_named:
            earlier = limit
            limit = self._limit_by_key[key] = self._new_limit(key, limit_per_s, now_ms)
            limit.observed_ms = observed_ms
            if earlier is not None and earlier.is_cold:
                limit.next_ms = max(now_ms, earlier.next_ms)
            sends = self._sends_by_key.get(key, ())
            limit.recent_by_entry[self._homes.own] = sum(ms > now_ms - RECENT_MS for ms in sends)
            limit.settle()
            return True
        limit.limit_per_s, limit.observed_ms, limit.confirmed_ms = limit_per_s, observed_ms, now_ms
        if not limit.is_named:
            self.on_lifted(key, now_ms)
        else:
            limit.next_ms = min(limit.next_ms, now_ms + limit.interval_ms)
        return True

    def _homes_of(self, key: EndpointKey) -> tuple[str, str]:
        domain = None if self._cold is None else self._cold.home_domain(key)
        return self._homes.of(key, domain)

    def _report(self, key: EndpointKey, limit: EndpointLimit, now_ms: float) -> RateLimitReport:
        return RateLimitReport(
            key=key,
            limit_per_s=limit.limit_per_s,
            age_ms=now_ms - limit.observed_ms,
            recent_sends=limit.recent_by_entry.get(self._homes.own, 0),
        )
