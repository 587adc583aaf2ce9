"""The decisions of an entry about requests: which endpoint, wait for what, or refuse at once."""

from dataclasses import dataclass, field, replace
from functools import singledispatchmethod

from skylarkrack._errors import Code
from skylarkrack.core.relay._adapter_scheduler import WaitingRequests
from skylarkrack.core.relay._call import Call, ModelNeed
from skylarkrack.core.relay._directory import Endpoint, EndpointDirectory
from skylarkrack.core.relay._health import Health, OutcomeCounts
from skylarkrack.core.relay._load import PREFILL_WINDOW_MS, EndpointLoad, EngineState, LoadTracker
from skylarkrack.core.relay._names import AdapterId, EndpointKey
from skylarkrack.core.relay._placement import Candidate, PlacementContext, candidates
from skylarkrack.core.relay._policy import Policy
from skylarkrack.core.relay._table import EngineShape, Route, RoutingTable

MAX_CACHED_ADAPTERS = 100
"""Adapters that an engine is taken to keep a copy of after they were evicted."""

MIN_RETRY_AFTER_MS = 500.0
"""When a caller may come back to an entry that has no endpoint for it yet."""

MIN_RUN_TIME_FRACTION = 0.1
"""Part of a route's objective below which no run can end; a request with less left is refused."""

READY_PREFERENCE_MS = 60.0
"""What an endpoint that takes the request now may cost more than one to be waited for."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request on its way to an endpoint. *tried* are incarnations that did not take it.

    *cost* is what it took of its organisation's quota; *key_digest* stands for the caller's key.
    *fingerprint* is equal for requests with the same organisation, path and body.
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

    @property
    def need(self) -> ModelNeed | None:
        """What the request needs of an engine; None for a plain request."""
        return self.call.need

    @property
    def queue_key(self) -> tuple[int, float]:
        """Who goes first: the more urgent route, then the one that is due sooner."""
        return self.priority, self.call.arrived_ms + self.route.objective_ms

    def is_overdue(self, now_ms: float) -> bool:
        """Tell whether other prompts have gone before this one for a whole reading window."""
        return now_ms - self.call.arrived_ms >= PREFILL_WINDOW_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class SendTo:
    """Send the request to *endpoint*, which holds *version* of the adapter.

    What decided it: the expected delay, the runs believed to be there, and the age of what the
    engine's agent told, in ms (None without an agent).
    """

    endpoint: Endpoint
    version: int | None
    cost_ms: float
    runs: int
    state_age_ms: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitFor:
    """Wait until the endpoint *key* holds the adapter or has room."""

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
    """A configuration was read; an older one than is held changes nothing."""

    table: RoutingTable


@dataclass(frozen=True, slots=True, kw_only=True)
class AdapterPublished:
    """A version of an adapter was announced."""

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineStateReceived:
    """The agent beside the engine *key* told its state."""

    key: EndpointKey
    state: EngineState


class Dispatcher:
    """What an entry believes of the fleet, the requests that wait, and where they go."""

    __slots__ = (
        "_denied_by_key",
        "_cached_by_address",
        "_policy",
        "_state_by_key",
        "_version_by_adapter",
        "_waiting",
        "directory",
        "domain",
        "health",
        "load",
        "table",
    )

    def __init__(self, *, domain: str, policy: Policy | None = None) -> None:
        self.domain = domain
        self._policy = policy or Policy()
        self.table: RoutingTable | None = None
        self.directory = EndpointDirectory()
        self.health = Health()
        self.load = LoadTracker()
        self._denied_by_key: dict[EndpointKey, set[AdapterId]] = {}
        self._cached_by_address: dict[str, dict[AdapterId, None]] = {}
        self._state_by_key: dict[EndpointKey, EngineState] = {}
        self._version_by_adapter: dict[AdapterId, int] = {}
        self._waiting: list[PendingRequest] = []

    # Queries

    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def decide(self, ticket: PendingRequest, now_ms: float) -> Decision:
        """Decide about one request."""
        service = self.table.service_by_name.get(ticket.service_name)
        endpoints = self.directory.of_service(ticket.service_name)
        if service is None or not endpoints:
            return Refuse(
                code=Code.NO_ENDPOINT, reason="no endpoint", retry_after_ms=MIN_RETRY_AFTER_MS
            )
        untried = [endpoint for endpoint in endpoints if endpoint.key not in ticket.tried]
        context = self._placement_context(now_ms, for_overdue=ticket.is_overdue(now_ms))
        ranked = candidates(untried or endpoints, service, ticket.need, context)
        return self._choose(ticket, ranked, now_ms)

    def wanted_at(self, key: EndpointKey) -> dict[AdapterId, WaitingRequests]:
        """Return what waits for the engine *key* by model and adapter."""
        wanted: dict[AdapterId, WaitingRequests] = {}
        for ticket in self._waiting:
            if ticket.waiting_at != key or ticket.need is None:
                continue
            name = ticket.need.adapter_id
            known = wanted.get(name)
            wanted[name] = WaitingRequests(
                urgency=ticket.priority if known is None else min(known.urgency, ticket.priority),
                requests=1 if known is None else known.requests + 1,
                version=self._version_by_adapter.get(name, 0),
            )
        return wanted

    def own_loads(self, now_ms: float) -> dict[EndpointKey, EndpointLoad]:
        """Return this entry's work by endpoint, for other entries."""
        load_by_key = self.load.own(now_ms)
        for key, reserved in self._reserved_tokens_by_key(now_ms).items():
            load_by_key[key] = replace(
                load_by_key.get(key, EndpointLoad()), reserved_tokens=reserved
            )
        for key, outcomes in self.health.recent_outcomes(now_ms).items():
            load_by_key[key] = replace(load_by_key.get(key, EndpointLoad()), outcomes=outcomes)
        return load_by_key

    def shape_of(self, endpoint: Endpoint) -> EngineShape | None:
        """Return what an engine can hold by the configuration; None for a plain endpoint."""
        service = None if self.table is None else self.table.service_by_name.get(endpoint.service)
        return None if service is None else service.engine

    def versions(self) -> dict[AdapterId, int]:
        """Return the newest announced versions by model and adapter."""
        return dict(self._version_by_adapter)

    @property
    def announcement_number(self) -> int:
        """A number that grows with every announcement."""
        return sum(self._version_by_adapter.values())

    # Commands

    def receive_loads(
        self, entry: str, load_by_key: dict[EndpointKey, EndpointLoad], now_ms: float
    ) -> None:
        """Take another entry's work, and what came of its requests."""
        self.load.receive_peer_loads(entry, load_by_key, now_ms=now_ms)
        for key, work in load_by_key.items():
            if work.outcomes != OutcomeCounts():
                self.health.receive_outcomes(entry, key, work.outcomes, now_ms)

    @singledispatchmethod
    def observe(self, event: object) -> bool:
        """Take an event; tell whether it changed what is believed."""
        raise TypeError(f"unknown event {event!r}")

    @observe.register
    def _(self, event: TablePublished) -> bool:
        if self.table is not None and event.table.version <= self.table.version:
            return False
        self.table = event.table
        self.directory.set_services(event.table.service_by_name)
        return True

    @observe.register
    def _(self, event: AdapterPublished) -> bool:
        name = (event.model, event.adapter)
        if event.version <= self._version_by_adapter.get(name, 0):
            return False
        self._version_by_adapter[name] = event.version
        return True

    @observe.register
    def _(self, event: EngineStateReceived) -> bool:
        before = self._state_by_key.get(event.key)
        self._state_by_key[event.key] = event.state
        self._denied_by_key.pop(event.key, None)
        self._record_cached(event.key[0], event.state)
        return before is None or before.resident != event.state.resident

    def enqueue(self, ticket: PendingRequest, decision: WaitFor) -> None:
        """Let a request wait as decided."""
        ticket.waiting_at = decision.key
        self._waiting.append(ticket)

    def remove_waiting(self, ticket: PendingRequest) -> None:
        """Take a request out that waits no more."""
        ticket.waiting_at = None
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def next_ready(self, now_ms: float) -> tuple[PendingRequest, SendTo | Refuse] | None:
        """Take out the first waiting request that can be sent or has to be refused now."""
        for ticket in sorted(self._waiting, key=self._queue_key_of):
            decision = self.decide(ticket, now_ms)
            if isinstance(decision, WaitFor):
                ticket.waiting_at = decision.key
                continue
            self.remove_waiting(ticket)
            return ticket, decision
        return None

    def record_missing_adapter(self, key: EndpointKey, need: ModelNeed) -> None:
        """Take an engine's word that it does not hold the adapter, until its agent tells again."""
        state = self._state_by_key.get(key)
        if state is None:
            self._denied_by_key.setdefault(key, set()).add(need.adapter_id)
        else:
            state.resident.pop(need.adapter_id, None)

    def forget_gone(self) -> None:
        """Drop what is known of incarnations that are gone."""
        keys = {endpoint.key for endpoint in self.directory.all()}
        self.health.keep_only(keys)
        for by_key in (self._state_by_key, self._denied_by_key):
            for key in set(by_key) - keys:
                del by_key[key]

    def _record_cached(self, address: str, state: EngineState) -> None:
        """Note what the engine holds: it keeps a copy of it for some time, also over a restart."""
        kept = self._cached_by_address.setdefault(address, {})
        for name in state.resident:
            kept.pop(name, None)
            kept[name] = None
        while len(kept) > MAX_CACHED_ADAPTERS:
            del kept[next(iter(kept))]

    def _reserved_tokens_by_key(self, now_ms: float) -> dict[EndpointKey, int]:
        """Return the longest prompt that waits too long for each engine that holds its adapter."""
        reserved: dict[EndpointKey, int] = {}
        for ticket in self._waiting:
            state = self._state_by_key.get(ticket.waiting_at)
            if state is None or ticket.need is None or not ticket.is_overdue(now_ms):
                continue
            if ticket.need.adapter_id in state.resident:
                known = reserved.get(ticket.waiting_at, 0)
                reserved[ticket.waiting_at] = max(known, ticket.need.prompt_tokens)
        return reserved

    def _placement_context(self, now_ms: float, *, for_overdue: bool) -> PlacementContext:
        wanted: dict[EndpointKey, set[AdapterId]] = {}
        for ticket in self._waiting:
            if ticket.need is not None and ticket.waiting_at is not None:
                name = ticket.need.adapter_id
                wanted.setdefault(ticket.waiting_at, set()).add(name)
        return PlacementContext(
            health=self.health,
            load=self.load,
            state_by_key=self._state_by_key,
            version_by_adapter=self._version_by_adapter,
            denied_by_key=self._denied_by_key,
            cached_by_address=self._cached_by_address,
            wanted_by_key=wanted,
            reserved_tokens_by_key={} if for_overdue else self._reserved_tokens_by_key(now_ms),
            is_overdue=for_overdue,
            routing=self._policy.routing,
            missing_ids=self.directory.missing_ids(),
            domain=self.domain,
            now_ms=now_ms,
        )

    def _queue_key_of(self, ticket: PendingRequest) -> tuple[int, float]:
        return ticket.queue_key if self._policy.is_urgent_first else (0, ticket.call.arrived_ms)

    def _choose(self, ticket: PendingRequest, ranked: list[Candidate], now_ms: float) -> Decision:
        best = ranked[0]
        if best.is_ready:
            return self._send_to(best, now_ms)
        left_ms = ticket.deadline_ms - now_ms
        shortest_ms = MIN_RUN_TIME_FRACTION * ticket.route.objective_ms
        ready = next((candidate for candidate in ranked if candidate.is_ready), None)
        if ready is not None and ready.cost_ms < min(left_ms, best.cost_ms + READY_PREFERENCE_MS):
            return self._send_to(ready, now_ms)
        if best.cost_ms + shortest_ms > left_ms:
            retry_after_ms = min(best.cost_ms, max(MIN_RETRY_AFTER_MS, left_ms / 3))
            return Refuse(
                code=Code.QUEUE_FULL, reason="no place in time", retry_after_ms=retry_after_ms
            )
        return WaitFor(key=best.endpoint.key, cost_ms=best.cost_ms)

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
