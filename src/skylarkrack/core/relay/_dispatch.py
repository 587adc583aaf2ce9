"""Decides which endpoint a request is sent to, what it waits for, or that it is refused."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from functools import partial, singledispatchmethod

from skylarkrack._errors import Code
from skylarkrack.core._routing import HashOnly, LeastCost, LeastLoaded
from skylarkrack.core.relay._adapter_scheduler import WaitingRequests
from skylarkrack.core.relay._admission_room import EngineLimits, ListedRequest
from skylarkrack.core.relay._admission_view import (
    AdmissionView,
    organisation_digest,
    request_number,
)
from skylarkrack.core.relay._call import Call, ModelNeed
from skylarkrack.core.relay._cold_endpoints import ColdEndpoints
from skylarkrack.core.relay._directory import Endpoint, EndpointDirectory
from skylarkrack.core.relay._endpoint_speed import EndpointSpeeds, engine_slowness
from skylarkrack.core.relay._evacuations import Evacuations
from skylarkrack.core.relay._health import NO_OUTCOMES, Health
from skylarkrack.core.relay._health_probes import HealthProbes
from skylarkrack.core.relay._homes import ColdMargin
from skylarkrack.core.relay._load import (
    PREFILL_WINDOW_MS,
    EndpointLoad,
    EngineState,
    LoadTracker,
    prefill_window_ms,
)
from skylarkrack.core.relay._names import AdapterId, EndpointKey
from skylarkrack.core.relay._pace import Pace
from skylarkrack.core.relay._paced_endpoints import PacedEndpoints
from skylarkrack.core.relay._placement import Candidate, PlacementContext, RankCache, candidates
from skylarkrack.core.relay._policy import Policy
from skylarkrack.core.relay._quota_limiter import QuotaGrant
from skylarkrack.core.relay._rate_limits import RateLimits
from skylarkrack.core.relay._reported_load import ReportedLoad, ReportedLoads
from skylarkrack.core.relay._table import EngineShape, Route, RoutingTable

MAX_CACHED_ADAPTERS = 100
"""Adapters per address that an engine is assumed to keep a copy of after their eviction; beyond it
the one seen longest ago is dropped."""

DEFAULT_RETRY_AFTER_MS = 500.0
"""Retry-after if the service has no endpoint. If no endpoint has capacity before the deadline, it
is the expected wait, but at most this or a third of the time left, whichever is longer."""

EVACUATED_RETRY_AFTER_MS = 1000.0
"""Retry-after if all endpoints of the service are evacuated, which an operator ends by hand."""

MIN_RUN_TIME_FRACTION = 0.1
"""Fraction of a route's latency objective that a run takes at least. A request that would have less
left after its wait is refused."""

READY_PREFERENCE_MS = 60.0
"""Extra cost up to which an endpoint that can take the request now is preferred to one that must be
waited for."""


MOVE_COST_MS = 60.0
"""Time that a request has to gain by waiting at another engine, where agents admit prompts. Costs
change by about as much from one message of an agent to the next."""

LOAD_MOVE_COST_MS = 600.0
"""Time that a request has to gain by waiting at another engine that would have to load its adapter,
where agents admit prompts. After the move the first engine mostly loads the adapter for nobody,
which takes a place and a part of what the store gives. See docs/design/adapter-room.md."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """An admitted request that has no endpoint yet, or may need another one.

    *tried* holds the endpoints at which an attempt failed; they are used again only if no other is
    left. *cost* is what it costs of its organisation's quota, and *quota_grant* what it took, or
    None without an organisation. *key_digest* is the digest of the caller's key. *fingerprint* is
    equal for requests with the same organisation, path and body. *waiting_at* is the endpoint that
    it waits for. *software_version* is the only version of the endpoints' software at which it may
    go on, or None if it may begin at any.
    """

    call: Call
    route: Route
    service_name: str
    priority: int
    deadline_ms: float
    organisation: str | None = None
    cost: float = 0.0
    key_digest: bytes | None = None
    fingerprint: bytes = b""
    tried: set[EndpointKey] = field(default_factory=set)
    waiting_at: EndpointKey | None = None
    software_version: str | None = None
    quota_grant: QuotaGrant | None = None

    @property
    def need(self) -> ModelNeed | None:
        """What the request needs of an engine; None for a plain request."""
        return self.call.need

    @property
    def queue_key(self) -> tuple[int, float]:
        """Sort key of the queue: priority, then the time at which the latency objective ends."""
        return self.priority, self.call.arrived_ms + self.route.objective_ms

    @property
    def answer_due_ms(self) -> float:
        """When the request is of no use to its caller without the beginning of an answer."""
        return min(self.deadline_ms, self.call.arrived_ms + self.route.patience_ms)

    @property
    def number(self) -> int:
        """The number by which agents know the request."""
        return request_number(self.call.request_id)

    def is_overdue(self, now_ms: float) -> bool:
        """Return whether the request arrived at least one prefill window ago.

        Prefill capacity is then reserved for it, so that shorter prompts that arrived later do not
        keep overtaking it.
        """
        return now_ms - self.call.arrived_ms >= PREFILL_WINDOW_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class SendTo:
    """Send the request to *endpoint*, which holds *version* of the adapter.

    The rest is what decided it: the expected delay in ms, the runs assumed to be at the endpoint,
    and the age in ms of the state that the engine's agent reported (None without an agent).
    *is_granted* means that the agent granted it.
    """

    endpoint: Endpoint
    version: int | None
    cost_ms: float
    runs: int
    state_age_ms: float | None
    is_granted: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitFor:
    """Wait until the endpoint *key* holds the adapter or has capacity."""

    key: EndpointKey
    cost_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Refuse the request, which has not run."""

    code: Code
    reason: str
    retry_after_ms: float


Decision = SendTo | WaitFor | Refuse


@dataclass(frozen=True, slots=True, kw_only=True)
class TablePublished:
    """A routing table was read; one that is not newer than the current table is ignored."""

    table: RoutingTable


@dataclass(frozen=True, slots=True, kw_only=True)
class AdapterPublished:
    """A version of an adapter was announced."""

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineStateReceived:
    """The agent of the engine *key* reported its state."""

    key: EndpointKey
    state: EngineState


@dataclass(slots=True)
class Assessment:
    """A decision before anything of it is recorded, and what led to it.

    *options* are the endpoints that were compared, and *candidate* is the one that the request goes
    to or waits for, or that a refusal is about; None if no endpoint is left.
    """

    decision: Decision
    options: list[Candidate] = field(default_factory=list)
    candidate: Candidate | None = None


class Dispatcher:
    """Holds an entry's view of the fleet and the queue of requests, and decides placements.

    It gets events and the time (ms on a monotonic clock) and does no I/O.
    """

    __slots__ = (
        "_cached_by_address",
        "_max_gap_ms_by_service",
        "_missing_adapters_by_key",
        "_policy",
        "_ranks",
        "_state_by_key",
        "_version_by_adapter",
        "_waiting",
        "_window_ms_by_service",
        "admission",
        "cold",
        "directory",
        "domain",
        "evacuations",
        "health",
        "load",
        "pace",
        "paces",
        "probes",
        "rate_limits",
        "reported_loads",
        "speeds",
        "table",
    )

    def __init__(
        self, *, domain: str, policy: Policy | None = None, cold_margin: ColdMargin | None = None
    ) -> None:
        self.domain = domain
        self._policy = policy or Policy()
        self.table: RoutingTable | None = None
        self.directory = EndpointDirectory()
        self.evacuations = Evacuations()
        self.health = Health()
        self.load = LoadTracker()
        self.cold = ColdEndpoints(self.health)
        self.reported_loads = ReportedLoads()
        self.speeds = EndpointSpeeds()
        self.admission = AdmissionView()
        # Only services of engines that a route with a longest pause leads to.
        self._max_gap_ms_by_service: dict[str, float] = {}
        self.pace = Pace(
            runs_at=lambda key, now_ms: self.load.total(key, now_ms).runs,
            own_runs_at=self.load.own_runs,
        )
        self.rate_limits = RateLimits(
            has_agent=self._has_agent,
            cold=self.cold,
            pace=self.pace,
            is_known=self.directory.has_key,
            margin=cold_margin,
        )
        self.paces = PacedEndpoints(self)
        self.probes = HealthProbes(
            health=self.health,
            cold=self.cold,
            directory=self.directory,
            rate_limits=self.rate_limits,
        )
        self._missing_adapters_by_key: dict[EndpointKey, set[AdapterId]] = {}
        self._cached_by_address: dict[str, dict[AdapterId, None]] = {}
        self._state_by_key: dict[EndpointKey, EngineState] = {}
        self._version_by_adapter: dict[AdapterId, int] = {}
        self._waiting: list[PendingRequest] = []
        self._window_ms_by_service: dict[str, float] = {}
        self._ranks = RankCache()

    # Queries

    def waiting_count(self) -> int:
        """Return how many requests are queued."""
        return len(self._waiting)

    def waiting_by_key(self) -> Counter[EndpointKey]:
        """Return how many queued requests wait for each endpoint."""
        return Counter(request.waiting_at for request in self._waiting)

    def permits_wanted_by_key(self) -> Counter[EndpointKey]:
        """Return how many queued requests lack a permit to be sent to each endpoint.

        At a cold or paced engine those are left out whose adapter isn't there yet: a permit would
        expire unused, and hold room from others.
        """
        return Counter(r.waiting_at for r in self._waiting if self._can_use_permit(r))

    def _can_use_permit(self, request: PendingRequest) -> bool:
        key, need = request.waiting_at, request.need
        state = self._state_by_key.get(key)
        if need is None or state is None or need.adapter_id in state.resident:
            return True
        return not math.isinf(self.rate_limits.limit_per_s(key))

    def is_awaited(self, state: EngineState) -> bool:
        """Return whether a queued request needs an adapter that *state* has as resident."""
        return any(
            request.need is not None and request.need.adapter_id in state.resident
            for request in self._waiting
        )

    def assess(self, request: PendingRequest, now_ms: float) -> Assessment:
        """Return what `decide` would decide about one request, and change nothing."""
        context = self._placement_context(now_ms, is_serving=False)
        self._add_queued(context)
        return self._assess(request, context)

    @property
    def routing(self) -> LeastCost | LeastLoaded | HashOnly:
        """The policy by which the endpoint of a request is chosen."""
        return self._policy.routing

    def state_of(self, key: EndpointKey) -> EngineState | None:
        """Return what an engine's agent reported last, or None."""
        return self._state_by_key.get(key)

    def newest_version(self, adapter_id: AdapterId) -> int:
        """Return the newest announced version of an adapter, or 0."""
        return self._version_by_adapter.get(adapter_id, 0)

    def _add_queued(self, context: PlacementContext) -> None:
        """Count the queued requests as ahead of the one that is placed."""
        context.queued_by_key.update(self.waiting_by_key())
        for queued in self._waiting:
            if queued.need is not None:
                context.queued_tokens_by_key[queued.waiting_at] += queued.need.prompt_tokens

    def _assess(self, request: PendingRequest, context: PlacementContext) -> Assessment:
        service = self.table.service_by_name.get(request.service_name)
        endpoints = self.directory.of_service(request.service_name)
        if not endpoints and self.directory.has_evacuated(request.service_name):
            return Assessment(
                Refuse(
                    code=Code.NO_ENDPOINT,
                    reason="every failure domain with an endpoint is evacuated",
                    retry_after_ms=EVACUATED_RETRY_AFTER_MS,
                )
            )
        if service is None or not endpoints:
            return Assessment(
                Refuse(
                    code=Code.NO_ENDPOINT,
                    reason="no endpoint",
                    retry_after_ms=DEFAULT_RETRY_AFTER_MS,
                )
            )
        now_ms = context.now_ms
        options = candidates(
            endpoints,
            service,
            request.need,
            context,
            is_overdue=request.is_overdue(now_ms),
            tried=request.tried,
            software_version=request.software_version,
        )
        if not options:
            return Assessment(
                Refuse(
                    code=Code.NO_ENDPOINT,
                    reason="no endpoint of the software version that began the stream",
                    retry_after_ms=DEFAULT_RETRY_AFTER_MS,
                )
            )
        return self._choose(request, options, now_ms)

    def decide_granted(
        self, request: PendingRequest, key: EndpointKey, version: int, now_ms: float
    ) -> SendTo | None:
        """Return the placement of a request that an engine's agent granted, or None if the engine
        may not get it now.

        *version* is what the engine holds of the adapter. The agent knows that before this entry
        does, which may get the grant before the snapshot.
        """
        endpoints = self.directory.of_service(request.service_name)
        endpoint = next((e for e in endpoints if e.key == key), None)
        if endpoint is None or version < self._least_version(request.need):
            return None
        if request.software_version not in (None, endpoint.software_version):
            return None
        if not self._is_usable(key, now_ms) or key in request.tried:
            return None
        load, state = self.load.total(key, now_ms), self._state_by_key.get(key)
        return SendTo(
            endpoint=endpoint,
            version=version,
            cost_ms=0.0,
            runs=load.runs,
            state_age_ms=None if state is None else now_ms - state.received_ms,
            is_granted=True,
        )

    @property
    def has_admission(self) -> bool:
        """Whether any service has its prompts admitted by agents."""
        return bool(self._max_gap_ms_by_service)

    def admission_at(self, endpoint: Endpoint, now_ms: float) -> EngineLimits | None:
        """Return what bounds the admission at an engine; None if its service has none."""
        shape, gap_ms = self.shape_of(endpoint), self._max_gap_ms_by_service.get(endpoint.service)
        if shape is None or gap_ms is None:
            return None
        return EngineLimits(
            slots=endpoint.slots or shape.slots,
            cache_tokens=shape.cache_tokens,
            max_gap_ms=gap_ms,
            slowness=engine_slowness(self.slowness(endpoint.key, now_ms)),
        )

    def listed_by_key(self, now_ms: float) -> dict[EndpointKey, list[ListedRequest]]:
        """Return the queued requests that wait at engines whose agents admit prompts, in order.

        Engines that may not get work now are left out.
        """
        listed: dict[EndpointKey, list[ListedRequest]] = {}
        if not self.has_admission:
            return listed
        asked: dict[EndpointKey, bool] = {}
        for request in sorted(self._waiting, key=self._queue_key_of):
            key, need = request.waiting_at, request.need
            if need is None or request.service_name not in self._max_gap_ms_by_service:
                continue
            if key not in asked:
                is_asked = self.admission.supports(key, now_ms) and self._is_usable(key, now_ms)
                asked[key] = is_asked
            if asked[key]:
                listed.setdefault(key, []).append(self._listed(request, need, now_ms))
        return listed

    def lacks_adapters(self, key: EndpointKey) -> bool:
        """Return whether a queued request waits for an adapter that the engine isn't known to
        hold."""
        state = self._state_by_key.get(key)
        return state is None or any(
            request.waiting_at == key
            and request.need is not None
            and request.need.adapter_id not in state.resident
            for request in self._waiting
        )

    def wanted_at(self, key: EndpointKey) -> dict[AdapterId, WaitingRequests]:
        """Return the queued requests for the engine *key*, by model and adapter."""
        wanted: dict[AdapterId, WaitingRequests] = {}
        for request in self._waiting:
            if request.waiting_at != key or request.need is None:
                continue
            adapter_id = request.need.adapter_id
            known = wanted.get(adapter_id)
            wanted[adapter_id] = WaitingRequests(
                urgency=request.priority if known is None else min(known.urgency, request.priority),
                requests=1 if known is None else known.requests + 1,
                version=self._version_by_adapter.get(adapter_id, 0),
            )
        return wanted

    def own_loads(self, now_ms: float) -> dict[EndpointKey, EndpointLoad]:
        """Return this entry's load by endpoint, to be sent to other entries."""
        load_by_key = self.load.own(now_ms)
        for key, reserved in self._reserved_tokens_by_key(now_ms).items():
            load_by_key[key] = replace(
                load_by_key.get(key, EndpointLoad()), reserved_tokens=reserved
            )
        for key, outcomes in self.health.recent_outcomes(now_ms).items():
            load_by_key[key] = replace(load_by_key.get(key, EndpointLoad()), outcomes=outcomes)
        return load_by_key

    def prefill_window_ms(self, service: str) -> float:
        """Return the time for which prompts sent to an engine of a service count as unread."""
        return self._window_ms_by_service.get(service, PREFILL_WINDOW_MS)

    def slowness(self, key: EndpointKey, now_ms: float) -> float:
        """Return how many times the usual of its service an endpoint takes; 1.0 if unknown."""
        return self.speeds.slowness(key, now_ms)

    def shape_of(self, endpoint: Endpoint) -> EngineShape | None:
        """Return the configured shape of an engine; None for a plain endpoint."""
        service = None if self.table is None else self.table.service_by_name.get(endpoint.service)
        return None if service is None else service.engine

    def versions(self) -> dict[AdapterId, int]:
        """Return the newest announced versions by model and adapter."""
        return dict(self._version_by_adapter)

    @property
    def version_sum(self) -> int:
        """Sum of all announced versions.

        Versions only grow, so a peer with a greater sum has at least one that is newer.
        """
        return sum(self._version_by_adapter.values())

    # Commands

    def decide(self, request: PendingRequest, now_ms: float) -> Decision:
        """Return the decision about one request."""
        context = self._placement_context(now_ms)
        self._add_queued(context)
        return self._decide(request, context)

    def receive_loads(
        self, entry: str, load_by_key: dict[EndpointKey, EndpointLoad], now_ms: float
    ) -> None:
        """Store another entry's load by endpoint, with the outcomes of its requests."""
        self.load.receive_peer_loads(entry, load_by_key, now_ms=now_ms)
        for key, work in load_by_key.items():
            if work.outcomes is not NO_OUTCOMES:
                self.health.receive_outcomes(entry, key, work.outcomes, now_ms)
                self.paces.receive_outcomes(key, work.outcomes, now_ms)

    @singledispatchmethod
    def observe(self, event: object) -> bool:
        """Apply an event; return whether the table, a version or an engine's adapters changed.

        A change of an engine's loads in progress or spare slots alone returns False.

        Raises TypeError for an event of an unknown type.
        """
        raise TypeError(f"unknown event {event!r}")

    @observe.register
    def _(self, event: TablePublished) -> bool:
        if self.table is not None and event.table.version <= self.table.version:
            return False
        self.table = event.table
        self.directory.set_services(event.table.service_by_name)
        self.cold.set_services(event.table.service_by_name)
        self.probes.set_services(event.table.service_by_name)
        self.rate_limits.update_homes()
        gaps = {
            name: event.table.max_gap_ms(name)
            for name, service in event.table.service_by_name.items()
            if service.engine is not None
        }
        self._max_gap_ms_by_service = {name: gap for name, gap in gaps.items() if gap is not None}
        self._window_ms_by_service = {name: prefill_window_ms(gap) for name, gap in gaps.items()}
        self.load.set_prefill_windows(self._window_ms_by_service)
        return True

    @observe.register
    def _(self, event: AdapterPublished) -> bool:
        adapter_id = (event.model, event.adapter)
        if event.version <= self._version_by_adapter.get(adapter_id, 0):
            return False
        self._version_by_adapter[adapter_id] = event.version
        return True

    @observe.register
    def _(self, event: EngineStateReceived) -> bool:
        before = self._state_by_key.get(event.key)
        self._state_by_key[event.key] = event.state
        self._missing_adapters_by_key.pop(event.key, None)
        self._record_cached(event.key[0], event.state)
        return before is None or before.resident != event.state.resident

    def cold_again(self, keys: Iterable[EndpointKey], now_ms: float) -> list[EndpointKey]:
        """Record that endpoints may have become cold while they got no requests.

        Returns those that were not known to be cold.
        """
        again = set(keys)
        endpoints = [endpoint for endpoint in self.directory.all() if endpoint.key in again]
        self.paces.begin_all(endpoints, now_ms)
        self.probes.evacuation_ended(endpoints, now_ms)
        return self.cold.cold_again(endpoints, now_ms)

    def add_waiting(self, request: PendingRequest, decision: WaitFor) -> None:
        """Add a request to the queue, waiting for the endpoint of *decision*."""
        request.waiting_at = decision.key
        self._waiting.append(request)

    def remove_waiting(self, request: PendingRequest) -> None:
        """Remove a request from the queue; does nothing if it is not queued."""
        request.waiting_at = None
        self.admission.forget_ready(request)
        if request in self._waiting:
            self._waiting.remove(request)

    def take_ready(self, now_ms: float) -> list[tuple[PendingRequest, SendTo | Refuse]]:
        """Remove and return the queued requests that can be sent or must be refused now, in order.

        Each is counted as load before the next one is decided. Endpoints with a limit get one of
        them at most: the others need what is left of the limit after it. The endpoints that the
        remaining requests wait for are updated.
        """
        ready: list[tuple[PendingRequest, SendTo | Refuse]] = []
        if not self._waiting:
            return ready
        context = self._placement_context(now_ms)
        for request in sorted(self._waiting, key=self._queue_key_of):
            decision = self._decide(request, context)
            if isinstance(decision, WaitFor):
                self._count_queued(request, decision.key, context)
                continue
            if isinstance(decision, SendTo):
                key = decision.endpoint.key
                if key in context.limited_keys and key in context.sent_by_key:
                    self._count_queued(request, key, context)
                    continue
                context.add_sent(key, request.need)
            self.remove_waiting(request)
            ready.append((request, decision))
        return ready

    @staticmethod
    def _count_queued(request: PendingRequest, key: EndpointKey, context: PlacementContext) -> None:
        """Let a request wait for an endpoint, ahead of those that are decided after it."""
        request.waiting_at = key
        context.queued_by_key[key] += 1
        if request.need is not None:
            context.queued_tokens_by_key[key] += request.need.prompt_tokens

    def record_reported_load(self, key: EndpointKey, load: ReportedLoad, now_ms: float) -> None:
        """Store the load in the head of an answer, before the end of its request is counted."""
        self.reported_loads.record(key, load, self.load.own_runs(key), now_ms)
        if load.slowness is not None:
            self.speeds.record_figure(key, load.slowness, now_ms)

    def record_latency(self, endpoint: Endpoint, latency_ms: float, now_ms: float) -> None:
        """Record the latency of a plain request, before its end is counted."""
        own_runs = self.load.own_runs(endpoint.key)
        runs = max(
            self.load.total(endpoint.key, now_ms).runs,
            self.reported_loads.runs(endpoint.key, own_runs, now_ms),
        )
        self.speeds.record_latency(endpoint, latency_ms, runs=runs, now_ms=now_ms)

    def record_missing_adapter(self, key: EndpointKey, need: ModelNeed) -> None:
        """Mark an adapter as absent at the engine until its agent's next snapshot.

        Heartbeats reuse the snapshot's `resident`, so the adapter is removed from it in place.
        """
        state = self._state_by_key.get(key)
        if state is None:
            self._missing_adapters_by_key.setdefault(key, set()).add(need.adapter_id)
        else:
            state.resident.pop(need.adapter_id, None)

    def forget_gone(self) -> None:
        """Drop the state of endpoints that are no longer in the directory."""
        keys = {endpoint.key for endpoint in self.directory.all()}
        self.health.keep_only(keys)
        self.rate_limits.keep_only(keys)
        self.cold.keep_only(keys)
        self.probes.keep_only(keys)
        self.reported_loads.keep_only(keys)
        self.speeds.keep_only(keys)
        self.admission.keep_only(keys)
        self.pace.keep_only(keys)
        self.paces.forget_gone(keys)
        for by_key in (self._state_by_key, self._missing_adapters_by_key):
            for key in set(by_key) - keys:
                del by_key[key]

    def _record_cached(self, address: str, state: EngineState) -> None:
        """Record what the engine holds: it keeps copies for some time, also across a restart."""
        cached = self._cached_by_address.setdefault(address, {})
        for adapter_id in state.resident:
            cached.pop(adapter_id, None)
            cached[adapter_id] = None
        while len(cached) > MAX_CACHED_ADAPTERS:
            del cached[next(iter(cached))]

    def _reserved_tokens_by_key(self, now_ms: float) -> dict[EndpointKey, int]:
        """Return the longest overdue prompt in tokens, for each engine that holds its adapter."""
        reserved: dict[EndpointKey, int] = {}
        for request in self._waiting:
            state = self._state_by_key.get(request.waiting_at)
            if state is None or request.need is None or not request.is_overdue(now_ms):
                continue
            if request.need.adapter_id in state.resident:
                known = reserved.get(request.waiting_at, 0)
                reserved[request.waiting_at] = max(known, request.need.prompt_tokens)
        return reserved

    def _decide(self, request: PendingRequest, context: PlacementContext) -> Decision:
        assessment = self._assess(request, context)
        self._record(request, assessment, context.now_ms)
        return assessment.decision

    def _record(self, request: PendingRequest, assessment: Assessment, now_ms: float) -> None:
        """Record what a decision means for the admission of the request's prompt."""
        candidate, need = assessment.candidate, request.need
        if candidate is None:
            return
        key = candidate.endpoint.key
        if not candidate.is_ready:
            self.admission.forget_ready(request)
        elif candidate.asks and isinstance(assessment.decision, WaitFor):
            self.admission.record_ready(request, key, now_ms)
        elif candidate.asks:
            self.admission.record_unasked(key, (request.number, need.prompt_tokens, need.tokens))

    def _placement_context(self, now_ms: float, *, is_serving: bool = True) -> PlacementContext:
        """Return what placements depend on now; nothing is kept unless *is_serving*."""
        if is_serving:
            self.speeds.refresh(now_ms)
        limits, trial_latency_ms = self.rate_limits, None
        if self.pace.paced_keys():
            trial_latency_ms = partial(self.paces.trial_latency_ms, is_stored=is_serving)
        wanted: dict[EndpointKey, set[AdapterId]] = {}
        for request in self._waiting:
            if request.need is not None and request.waiting_at is not None:
                adapter_id = request.need.adapter_id
                wanted.setdefault(request.waiting_at, set()).add(adapter_id)
        return PlacementContext(
            health=self.health,
            load=self.load,
            rate_limits=self.rate_limits,
            speeds=self.speeds,
            reported_loads=self.reported_loads,
            window_ms_by_service=self._window_ms_by_service,
            state_by_key=self._state_by_key,
            version_by_adapter=self._version_by_adapter,
            missing_adapters_by_key=self._missing_adapters_by_key,
            cached_by_address=self._cached_by_address,
            wanted_by_key=wanted,
            reserved_tokens_by_key=self._reserved_tokens_by_key(now_ms),
            generation=self.directory.generation,
            ranks=self._ranks,
            admission=self.admission,
            max_gap_ms_by_service=self._max_gap_ms_by_service,
            limited_keys=limits.limited_keys(),
            limit_wait_ms=limits.wait_ms if is_serving else limits.expected_wait_ms,
            trial_latency_ms=trial_latency_ms,
            routing=self._policy.routing,
            missing_ids=self.directory.missing_ids(),
            domain=self.domain,
            now_ms=now_ms,
        )

    def _queue_key_of(self, request: PendingRequest) -> tuple[int, float]:
        return request.queue_key if self._policy.is_urgent_first else (0, request.call.arrived_ms)

    def _choose(
        self, request: PendingRequest, options: list[Candidate], now_ms: float
    ) -> Assessment:
        left_ms = request.answer_due_ms - now_ms
        shortest_ms = MIN_RUN_TIME_FRACTION * request.route.objective_ms
        best = self._keep_place(request, options)
        if best.cost_ms + shortest_ms > left_ms:
            best = options[0]
        if best.is_ready:
            return Assessment(self._send_or_ask(request, best, now_ms), options, best)
        ready = next((candidate for candidate in options if candidate.is_ready), None)
        if ready is not None and ready.cost_ms < min(left_ms, best.cost_ms + READY_PREFERENCE_MS):
            return Assessment(self._send_or_ask(request, ready, now_ms), options, ready)
        if best.cost_ms + shortest_ms > left_ms:
            retry_after_ms = min(best.cost_ms, max(DEFAULT_RETRY_AFTER_MS, left_ms / 3))
            refusal = Refuse(
                code=Code.QUEUE_FULL, reason="no place in time", retry_after_ms=retry_after_ms
            )
            return Assessment(refusal, options, best)
        return Assessment(WaitFor(key=best.endpoint.key, cost_ms=best.cost_ms), options, best)

    def _listed(self, request: PendingRequest, need: ModelNeed, now_ms: float) -> ListedRequest:
        return ListedRequest(
            number=request.number,
            adapter_id=need.adapter_id,
            version=self._least_version(need),
            prompt_tokens=need.prompt_tokens,
            tokens=need.tokens,
            priority=request.priority if self._policy.is_urgent_first else 0,
            organisation=organisation_digest(request.organisation),
            left_ms=request.answer_due_ms - now_ms,
        )

    def _least_version(self, need: ModelNeed) -> int:
        return self._version_by_adapter.get(need.adapter_id, 0) if need.adapter else 0

    def _is_usable(self, key: EndpointKey, now_ms: float) -> bool:
        """Return whether an endpoint may get work now, its load aside."""
        if self.health.is_backing_off(key, now_ms) or self.health.pause_left_ms(key, now_ms):
            return False
        return not self.rate_limits.wait_ms(key, now_ms)

    def _has_agent(self, key: EndpointKey) -> bool:
        endpoint = self.directory.find_by_key(key)
        return endpoint is not None and self.shape_of(endpoint) is not None

    @staticmethod
    def _keep_place(request: PendingRequest, ranked: list[Candidate]) -> Candidate:
        """Return the best candidate, or the one where the request is listed and not much later.

        A move costs datagrams, and the place among the requests that wait there.
        """
        best = ranked[0]
        if request.waiting_at is None or best.endpoint.key == request.waiting_at:
            return best
        for candidate in ranked:
            if candidate.endpoint.key == request.waiting_at:
                move_ms = LOAD_MOVE_COST_MS if best.version is None else MOVE_COST_MS
                is_kept = candidate.asks and candidate.cost_ms < best.cost_ms + move_ms
                return candidate if is_kept else best
        return best

    def _send_or_ask(
        self, request: PendingRequest, candidate: Candidate, now_ms: float
    ) -> SendTo | WaitFor:
        """Send a request, or wait for the grant of the engine's agent where one admits prompts."""
        key = candidate.endpoint.key
        if candidate.asks and not self.admission.may_send(request, key, now_ms):
            return WaitFor(key=key, cost_ms=candidate.cost_ms)
        return self._send_to(candidate, now_ms)

    def _send_to(self, candidate: Candidate, now_ms: float) -> SendTo:
        key = candidate.endpoint.key
        state = self._state_by_key.get(key)
        return SendTo(
            endpoint=candidate.endpoint,
            version=candidate.version,
            cost_ms=candidate.cost_ms,
            runs=candidate.runs,
            state_age_ms=None if state is None else now_ms - state.received_ms,
        )
