"""Decides which endpoints are paced, and which of their answers came in time."""

from __future__ import annotations

import math
import statistics
from collections import Counter
from itertools import chain
from typing import TYPE_CHECKING

from skylarkrack.core.relay._directory import Endpoint
from skylarkrack.core.relay._health import OutcomeCounts
from skylarkrack.core.relay._names import EndpointKey
from skylarkrack.core.relay._pace import PaceNotice, PaceReport

if TYPE_CHECKING:
    from skylarkrack.core.relay._dispatch import Dispatcher

IN_TIME_FACTOR = 2.0
IN_TIME_SLACK_MS = 20.0
"""Multiple of a plain service's usual latency within which an answer is in time, and the time added
for the network and the event loop."""

PROOF_ANSWERS = 3
"""Answers in time at this entry, or answers that another entry counts, that prove an endpoint good.
A single one may come by chance."""

TRIAL_LATENCY_FACTOR = 2.0
"""Multiple of the usual latency that a full endpoint costs."""

USUAL_TTL_MS = 1000.0
"""Time for which a service's usual latency is not computed again."""

MAX_PACED_SLOTS = 1000
"""Slots at which pacing ends at the latest, however many a registration states."""


MAX_PROVEN = 50
"""Endpoints of a service that prove it; no further ones are looked at while there are so many. With
10,000 endpoints, most would never get three requests of one entry, and each answer of theirs would
cost a look at the latencies of all."""

MAX_KNOWN = 50_000
"""Incarnations that are remembered as seen."""

NO_PROOF = (0, math.inf)
"""Proven endpoints of a service without any, and the time of its first proof."""


class PacedEndpoints:
    """Begins the pace of endpoints that started or recovered. Times are ms.

    An endpoint is paced if others of its service have proven good by then: in a fleet in which all
    is new, nothing tells what a good answer is, and there is nobody else to take the load.

    *dispatcher* is the entry's view of the fleet; its health tells of failures and answers.
    """

    __slots__ = (
        "_answers_by_key",
        "_dispatcher",
        "_known",
        "_proof_by_service",
        "_proven_ms_by_key",
        "_usual_by_service",
    )

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._known: set[EndpointKey] = set()
        self._answers_by_key: Counter[EndpointKey] = Counter()
        self._proven_ms_by_key: dict[EndpointKey, float] = {}
        # How many of a service are proven, and since when the first one is.
        self._proof_by_service: dict[str, tuple[int, float]] = {}
        self._usual_by_service: dict[str, tuple[float, float | None]] = {}
        health = dispatcher.health
        health.on_return, health.on_outcome = self.begin, self._record_outcome
        health.is_home = dispatcher.rate_limits.is_home
        dispatcher.rate_limits.on_lifted = self.begin

    def record_registration(
        self, endpoint: Endpoint, now_ms: float, *, calendar_ms: float, is_first_listing: bool
    ) -> None:
        """Record a registration, which is in the directory already.

        *calendar_ms* is this VM's calendar time. An endpoint is paced if its service was proven
        when it was born: the endpoints of a new fleet start together, but become known one after
        the other. Those of the first listing were there before this entry, and are not paced.
        """
        self._dispatcher.cold.record_registration(endpoint, now_ms)
        if endpoint.key in self._known:
            return
        self._known.add(endpoint.key)
        born_ms = now_ms - (calendar_ms - endpoint.started_ms)
        if not is_first_listing:
            self._begin_if_proven(endpoint, born_ms, now_ms)

    def receive_outcomes(self, key: EndpointKey, outcomes: OutcomeCounts, now_ms: float) -> None:
        """Apply how another entry's requests at an endpoint ended since the entry's start."""
        if outcomes.answered >= PROOF_ANSWERS and self._may_prove(key):
            self._record_proof(key, now_ms)

    def begin(self, key: EndpointKey, now_ms: float) -> bool:
        """Begin the pace of an endpoint that recovered; return whether it was begun.

        A service of which nothing is proven isn't paced.
        """
        if self._dispatcher.pace.is_paced(key):
            return False
        endpoint = self._dispatcher.directory.find_by_key(key)
        return endpoint is not None and self._begin_if_proven(endpoint, now_ms, now_ms)

    def begin_all(self, endpoints: list[Endpoint], now_ms: float) -> None:
        """Begin the pace of endpoints that recovered together."""
        for endpoint in endpoints:
            self._begin_if_proven(endpoint, now_ms, now_ms)

    def receive_notice(self, entry: str, notice: PaceNotice, now_ms: float) -> None:
        """Apply what another entry tells this one, the home of an endpoint that it paces."""
        pace = self._dispatcher.pace
        if not pace.is_paced(notice.key) and not pace.has_ended(notice.key):
            endpoint = self._dispatcher.directory.find_by_key(notice.key)
            if endpoint is not None:
                self._begin(endpoint, self._proven_ms_beside(endpoint, now_ms), now_ms)
        pace.receive_notice(entry, notice, now_ms)

    def receive_report(self, report: PaceReport, now_ms: float) -> None:
        """Apply what an endpoint's home reports."""
        endpoint = self._dispatcher.directory.find_by_key(report.key)
        if endpoint is not None and not self._dispatcher.rate_limits.is_home(report.key):
            slots = self._slots(endpoint)
            self._dispatcher.pace.receive_report(report, slots=slots, now_ms=now_ms)
            if report.key not in self._proven_ms_by_key:
                proven_ms = self._proven_ms_beside(endpoint, now_ms)
                self._record_proof(report.key, min(now_ms, proven_ms))

    def trial_latency_ms(
        self, endpoint: Endpoint, now_ms: float, *, is_stored: bool = True
    ) -> float:
        """Return the latency that a paced endpoint is assumed to have at most, or infinity.

        Its last answers may have been slow for a reason that is over. At this latency it is tried
        where the others are full, and not otherwise. Without *is_stored* nothing is kept for later
        calls.
        """
        if not self._dispatcher.pace.is_paced(endpoint.key):
            return math.inf
        usual_ms = self._usual_ms(endpoint.service, now_ms, is_stored=is_stored)
        return math.inf if usual_ms is None else TRIAL_LATENCY_FACTOR * usual_ms

    def forget_gone(self, keys: set[EndpointKey]) -> None:
        """Drop the endpoints that are not in *keys*; those that were seen, if there are too many.

        An incarnation that registers again after an outage of the registry has not started.
        """
        for by_key in (self._answers_by_key, self._proven_ms_by_key):
            for key in by_key.keys() - keys:
                del by_key[key]
        self._proof_by_service.clear()
        for key, proven_ms in self._proven_ms_by_key.items():
            self._count_proof(key, proven_ms)
        if len(self._known) > MAX_KNOWN:
            self._known &= keys

    def _begin_if_proven(self, endpoint: Endpoint, at_ms: float, now_ms: float) -> bool:
        """Begin the pace of an endpoint that was born or returned at *at_ms*."""
        proven_ms = self._proven_ms_beside(endpoint, at_ms)
        return proven_ms <= at_ms and self._begin(endpoint, proven_ms, now_ms)

    def _begin(self, endpoint: Endpoint, proven_ms: float, now_ms: float) -> bool:
        if self._dispatcher.admission_at(endpoint, now_ms) is not None:
            # Its agent grants prompts as fast as the engine reads them, which is a pace of its own.
            return False
        pace, directory = self._dispatcher.pace, self._dispatcher.directory
        others = (e.key for e in directory.of_service(endpoint.service) if e.key != endpoint.key)
        is_lone = all(
            pace.is_paced(key) or self._dispatcher.health.is_backing_off(key, now_ms)
            for key in others
        )
        has_begun = pace.begin(
            endpoint.key,
            slots=self._slots(endpoint),
            is_lone=is_lone,
            is_engine=self._dispatcher.shape_of(endpoint) is not None,
            now_ms=now_ms,
        )
        if has_begun and endpoint.key not in self._proven_ms_by_key:
            # It stands for those that proved the service. In a rolling release they may all have
            # left before the first new one has answered often enough; the last one would get the
            # requests of all if it weren't paced.
            self._record_proof(endpoint.key, min(now_ms, proven_ms))
        return has_begun

    def _proven_ms_beside(self, endpoint: Endpoint, at_ms: float) -> float:
        """Return since when an endpoint of the service other than *endpoint* is proven.

        It is infinity if none was by *at_ms*. A service's only endpoint counts itself: it may
        return after it has proven good.
        """
        if self._proof_by_service.get(endpoint.service, NO_PROOF)[1] > at_ms:
            return math.inf
        all_of_service = self._dispatcher.directory.of_service(endpoint.service)
        others = (e for e in all_of_service if e.key != endpoint.key)
        for one in chain([next(others, endpoint)], others):
            proven_ms = self._proven_ms_by_key.get(one.key, math.inf)
            if proven_ms <= at_ms:
                return proven_ms
        return math.inf

    def _may_prove(self, key: EndpointKey) -> bool:
        """Return whether answers of an endpoint may prove more of its service than is known."""
        service = self._dispatcher.cold.service_of(key)
        if not service or key in self._proven_ms_by_key:
            return False
        return self._proof_by_service.get(service, NO_PROOF)[0] < MAX_PROVEN

    def _record_proof(self, key: EndpointKey, proven_ms: float) -> None:
        self._proven_ms_by_key[key] = proven_ms
        self._count_proof(key, proven_ms)

    def _count_proof(self, key: EndpointKey, proven_ms: float) -> None:
        service = self._dispatcher.cold.service_of(key)
        count, first_ms = self._proof_by_service.get(service, NO_PROOF)
        self._proof_by_service[service] = (count + 1, min(first_ms, proven_ms))

    def _record_outcome(self, key: EndpointKey, waited_ms: float | None, now_ms: float) -> None:
        pace = self._dispatcher.pace
        is_paced = pace.is_paced(key)
        if not is_paced and not self._may_prove(key):
            return
        is_in_time = waited_ms is not None and waited_ms <= self._longest_ms(key, now_ms)
        if is_paced:
            is_home = self._dispatcher.rate_limits.is_home(key)
            pace.record_outcome(key, is_in_time=is_in_time, is_home=is_home, now_ms=now_ms)
        elif is_in_time:
            self._answers_by_key[key] += 1
            if self._answers_by_key[key] >= PROOF_ANSWERS:
                self._record_proof(key, now_ms)

    def _longest_ms(self, key: EndpointKey, now_ms: float) -> float:
        """Return the longest time of an answer, or of a stream's first event, that is in time."""
        name, table = self._dispatcher.cold.service_of(key), self._dispatcher.table
        service = None if table is None else table.service_by_name.get(name)
        if service is None:
            return 0.0
        usual_ms = None if service.engine is not None else self._usual_ms(name, now_ms)
        if usual_ms is not None:
            return IN_TIME_FACTOR * usual_ms + IN_TIME_SLACK_MS
        return table.objective_ms(name)

    def _usual_ms(self, service: str, now_ms: float, *, is_stored: bool = True) -> float | None:
        """Return the median latency of a service's endpoints that aren't paced, if known."""
        computed_ms, usual_ms = self._usual_by_service.get(service, (-math.inf, None))
        if now_ms - computed_ms < USUAL_TTL_MS:
            return usual_ms
        dispatcher = self._dispatcher
        latencies = (
            dispatcher.health.latency_ms(e.key)
            for e in dispatcher.directory.of_service(service)
            if not dispatcher.pace.is_paced(e.key)
        )
        known = [latency for latency in latencies if latency is not None]
        usual_ms = statistics.median(known) if known else None
        if is_stored:
            self._usual_by_service[service] = (now_ms, usual_ms)
        return usual_ms

    def _slots(self, endpoint: Endpoint) -> int:
        shape = self._dispatcher.shape_of(endpoint)
        slots = endpoint.slots or (0 if shape is None else shape.slots)
        return min(MAX_PACED_SLOTS, slots)
