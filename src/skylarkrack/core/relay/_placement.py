"""Ranks the endpoints for a request by expected delay, in milliseconds.

The costs assume far more adapters than adapter slots, a few popular adapters, and bursts. Requests
for an adapter go to the engines that hold it or held it recently, as long as waiting there costs
less than a load elsewhere. A popular adapter is therefore loaded at a second engine once waiting at
the first costs more than a load.
"""

from collections import Counter
from collections.abc import Callable, Collection, Set
from dataclasses import dataclass, field
from functools import singledispatch
from statistics import median_low

from skylarkrack.core._hashing import rendezvous_order
from skylarkrack.core._routing import HashOnly, LeastCost, LeastLoaded
from skylarkrack.core.relay._adapter_scheduler import MAX_CONCURRENT_LOADS
from skylarkrack.core.relay._admission_view import AdmissionFigures, AdmissionView
from skylarkrack.core.relay._call import ModelNeed
from skylarkrack.core.relay._constraints import Constraint
from skylarkrack.core.relay._directory import Endpoint
from skylarkrack.core.relay._endpoint_speed import (
    PREFILL_TOKENS_PER_MS,
    EndpointSpeeds,
    engine_slowness,
    reading_speed,
)
from skylarkrack.core.relay._health import Health
from skylarkrack.core.relay._load import (
    PREFILL_WINDOW_MS,
    EndpointLoad,
    EngineState,
    LoadTracker,
)
from skylarkrack.core.relay._names import AdapterId, EndpointKey
from skylarkrack.core.relay._placement_limits import (
    MEMORY_FRACTION,
    QUEUE_FRACTION,
    prefill_limit_tokens,
)
from skylarkrack.core.relay._rate_limits import RateLimits
from skylarkrack.core.relay._reported_load import ReportedLoads
from skylarkrack.core.relay._table import EngineShape, Service

COLD_LOAD_MS = 300.0
"""Load of an adapter from the weight store, with the order and the report."""

WARM_LOAD_MS = 60.0
"""Load of an adapter that the engine held recently, with the order and the report."""

LOAD_REMAINING_MS = 150.0
"""Expected remaining time of an adapter load in progress."""

MODEL_LOAD_REMAINING_FRACTION = 0.5
"""Expected remaining fraction of a base model load in progress."""

NO_AGENT_COST_MS = 2000.0
"""Cost of a load at an engine without an agent that could order it, or of an unknown model."""

FULL_BATCH_COST_MS = 120.0
"""Time that a full batch adds to the first token, against an empty one; a partly full batch adds in
proportion. Also added if the KV cache allowance is exceeded."""

QUEUED_RUN_COST_MS = 60.0
"""Wait for a slot in a full batch, for each run ahead."""

PREFILL_SHARE = 0.9
"""Part of the prefill window in which the engine reads prompts; the rest is that of its steps."""

PREFILL_LIMIT_TOKENS = PREFILL_SHARE * PREFILL_TOKENS_PER_MS * PREFILL_WINDOW_MS
"""Maximum prompt tokens sent to one engine within the prefill window; beyond it requests wait.

An engine runs several steps between two events of a stream, each with a chunk of the prompts in
prefill, so more prompt tokens would pause its streams for too long. A prompt above the limit is
sent when no prompt was sent within the window.

This is the limit of a usual engine of a service whose routes state no longest pause.
"""

FAILURE_COST_MS = 2000.0
"""Cost of a failed request, multiplied by the failure ratio. After two failures among few requests
the product is above the cost of loading the adapter elsewhere; after one failure it isn't."""

RANK_COST_MS = 4.0
"""Cost per rank in the adapter's rendezvous order, so that an adapter's home engines are stable."""

OTHER_DOMAIN_COST_MS = 2.0
"""Cost of leaving the failure domain: slightly more than the network round trip."""

DEFAULT_LATENCY_MS = 80.0
"""Assumed latency of a plain endpoint before its first answer."""

NO_FREE_SLOT_COST_MS = 600.0
"""Wait for the end of a run at an engine whose adapter slots are all in use."""

ORDERS_PER_LOAD = 2
"""Orders by which an engine with full adapter slots gets an adapter: an unload and the load."""

MISSING_COST_MS = 500.0
"""Cost of an endpoint that may have left while the registry was unreachable, so that others are
preferred."""

BACKOFF_COST_MS = 1000.0
"""Cost of an endpoint to which connections just failed."""

STATE_TTL_MS = 1500.0
"""Time for which an agent's report is used. A silent agent can't be asked for loads."""

MAX_HOMES = 24
"""Engines at the front of an adapter's rendezvous order that its requests may go to, beside those
that hold it. It bounds the time of a decision in a large fleet."""

MAX_CACHED_ORDERS = 2000
"""Adapters whose homes are kept; about 5 MB."""


_COMMON_COSTS = ("failures", "other_domain", "missing")
PLAIN_COSTS = (*_COMMON_COSTS, "run", "slots", "backoff", "pause", "limit")
_CONDITION_COSTS = (*_COMMON_COSTS, "batch", "slots", "backoff", "pause")
ENGINE_COSTS = (*_CONDITION_COSTS, "rank", "memory", "prompt", "reading", "limit", "adapter")
"""Names of the parts of a cost, in their order. A part that is the wait for a constraint has the
constraint's name."""


# Not frozen: a decision creates one for every endpoint, and frozen ones take four times as long.
@dataclass(slots=True)
class Candidate:
    """An endpoint with its expected delay, the sum of *costs_ms*; *cost_names* names these.

    *waits_for* is what keeps a request from being sent to it now.
    *rank* is its position in the adapter's rendezvous order, and *runs* the runs in progress there.
    *version* is the version of the adapter that it can use now, or None. With *asks* the engine's
    agent admits prompts, and is asked before a request is sent.
    """

    endpoint: Endpoint
    cost_ms: float
    waits_for: tuple[Constraint, ...]
    runs: int
    costs_ms: tuple[float, ...]
    cost_names: tuple[str, ...]
    rank: int = 0
    version: int | None = None
    asks: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether a request can be sent to it now."""
        return not self.waits_for


@singledispatch
def preferred(routing: object, options: list[Candidate]) -> list[Candidate]:
    """Return the candidates that a request may go to, the best first.

    Raises TypeError for an unknown routing policy.
    """
    raise TypeError(f"unknown routing policy: {type(routing).__name__}")


@preferred.register
def _(routing: LeastCost, options: list[Candidate]) -> list[Candidate]:
    return sorted(options, key=lambda candidate: candidate.cost_ms)


@preferred.register
def _(routing: LeastLoaded, options: list[Candidate]) -> list[Candidate]:
    return [min(options, key=lambda candidate: (candidate.runs, candidate.rank))]


@preferred.register
def _(routing: HashOnly, options: list[Candidate]) -> list[Candidate]:
    return [min(options, key=lambda candidate: (candidate.rank, candidate.cost_ms))]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementContext:
    """All that placements at one moment depend on; *now_ms* is on a monotonic clock.

    *reserved_tokens_by_key* are prompt tokens of this entry's overdue requests: those that arrived
    at least one prefill window ago. *generation* identifies the endpoints that may get work.
    *limited_keys* are the endpoints that may have a limit, and *limit_wait_ms* returns the wait for
    it behind a number of other requests. *trial_latency_ms* returns the longest
    latency to assume of an endpoint, if any are paced. *queued_by_key* counts the requests that
    wait for an endpoint before the one that is placed, and *queued_tokens_by_key* sums their prompt
    tokens. *sent_by_key* is the load of the requests that are sent by earlier decisions of this
    moment. *max_gap_ms_by_service* holds the services whose prompts are admitted by agents.
    """

    health: Health
    load: LoadTracker
    rate_limits: RateLimits
    speeds: EndpointSpeeds
    reported_loads: ReportedLoads
    window_ms_by_service: dict[str, float]
    state_by_key: dict[EndpointKey, EngineState]
    version_by_adapter: dict[AdapterId, int]
    missing_adapters_by_key: dict[EndpointKey, set[AdapterId]]
    cached_by_address: dict[str, dict[AdapterId, None]]
    wanted_by_key: dict[EndpointKey, set[AdapterId]]
    missing_ids: frozenset[str]
    reserved_tokens_by_key: dict[EndpointKey, int]
    generation: int
    routing: LeastCost | LeastLoaded | HashOnly
    domain: str
    now_ms: float
    ranks: "RankCache"
    admission: AdmissionView
    max_gap_ms_by_service: dict[str, float]
    limited_keys: Set[EndpointKey]
    limit_wait_ms: Callable[..., float]
    trial_latency_ms: Callable[[Endpoint, float], float] | None = None
    condition_by_key: dict[EndpointKey, "_EngineCondition"] = field(default_factory=dict)
    queued_by_key: Counter[EndpointKey] = field(default_factory=Counter)
    queued_tokens_by_key: Counter[EndpointKey] = field(default_factory=Counter)
    sent_by_key: dict[EndpointKey, EndpointLoad] = field(default_factory=dict)

    def add_sent(self, key: EndpointKey, need: ModelNeed | None) -> None:
        """Count a request that is sent to an endpoint, and begins its run there a moment later."""
        run = EndpointLoad(runs=1)
        if need is not None:
            run = EndpointLoad(runs=1, tokens=need.tokens, prefill_tokens=need.prompt_tokens)
        self.sent_by_key[key] = self.sent_by_key.get(key, EndpointLoad()).plus(run)
        self.condition_by_key.pop(key, None)

    def window_ms(self, service: str) -> float:
        """Return the prefill window of a service's engines."""
        return self.window_ms_by_service.get(service, PREFILL_WINDOW_MS)

    def plain_runs(self, key: EndpointKey) -> int:
        """Return the requests at a plain endpoint: as it reports, or as the entries know.

        The higher counts: reports are too old, and messages of entries too late, by turns.
        """
        known = self.load.total(key, self.now_ms).runs
        reported = self.reported_loads.runs(key, self.load.own_runs(key), self.now_ms)
        sent = self.sent_by_key.get(key)
        return max(known, reported) + (0 if sent is None else sent.runs)

    def rate_wait_ms(self, key: EndpointKey) -> float:
        """Return the wait for the endpoint's rate limit in ms."""
        if key not in self.limited_keys:
            return 0.0
        return self.limit_wait_ms(key, self.now_ms, queued=self.queued_by_key[key])


@dataclass(slots=True)
class _EngineCondition:
    """What a placement at an engine depends on, whichever request it is for.

    *costs_ms* are the parts of the delay without the adapter and the prompt, named by
    `_CONDITION_COSTS`, and *waits_for* is what keeps requests from it. *slowness* is how many times
    the usual the engine takes. *state* is the agent's report, or None if it is too old.
    *limit_tokens* is what may be unread; it is read at *tokens_per_ms*. *waiting_tokens* wait at
    other entries. With *asks* the engine's agent admits prompts.
    """

    costs_ms: tuple[float, ...]
    waits_for: tuple[Constraint, ...]
    runs: int
    tokens: int
    prefill_tokens: int
    reserved_tokens: int
    slowness: float
    limit_tokens: float
    tokens_per_ms: float
    state: EngineState | None
    waiting_tokens: int = 0
    asks: bool = False


def _figures_of(endpoint: Endpoint, context: PlacementContext) -> AdmissionFigures | None:
    """Return what an engine's agent reported of its load, or None if that isn't known or old."""
    if endpoint.service not in context.max_gap_ms_by_service:
        return None
    return context.admission.figures(endpoint.key, context.now_ms)


def _apply_admission(
    condition: _EngineCondition, endpoint: Endpoint, context: PlacementContext
) -> None:
    """Set the limit of an engine whose agent admits prompts."""
    key, now_ms, admission = endpoint.key, context.now_ms, context.admission
    max_gap_ms = context.max_gap_ms_by_service.get(endpoint.service)
    if max_gap_ms is None or not admission.supports(key, now_ms):
        return
    condition.asks = True
    condition.limit_tokens = prefill_limit_tokens(max_gap_ms, condition.slowness)
    condition.waiting_tokens = admission.foreign_waiting_tokens(key, now_ms)


class RankCache:
    """Homes of the adapters that were asked for last."""

    __slots__ = ("_generation", "_rank_by_id_by_name")

    def __init__(self) -> None:
        self._generation: tuple = ()
        self._rank_by_id_by_name: dict[str, dict[str, int]] = {}

    def ranks(self, name: str, endpoints: list[Endpoint], generation: tuple) -> dict[str, int]:
        """Return the positions of the first `MAX_HOMES` endpoints for *name*, by endpoint id.

        *generation* identifies the set of endpoints; orders of another one are dropped.
        """
        if generation != self._generation:
            self._generation = generation
            self._rank_by_id_by_name.clear()
        known = self._rank_by_id_by_name.get(name)
        if known is None:
            order = rendezvous_order(name, [endpoint.endpoint_id for endpoint in endpoints])
            known = {endpoint_id: rank for rank, endpoint_id in enumerate(order[:MAX_HOMES])}
            if len(self._rank_by_id_by_name) >= MAX_CACHED_ORDERS:
                del self._rank_by_id_by_name[next(iter(self._rank_by_id_by_name))]
            self._rank_by_id_by_name[name] = known
        return known


def candidates(
    endpoints: list[Endpoint],
    service: Service,
    need: ModelNeed | None,
    context: PlacementContext,
    *,
    is_overdue: bool = False,
    tried: Collection[EndpointKey] = (),
    software_version: str | None = None,
) -> list[Candidate]:
    """Return the endpoints that the request may go to, the best first.

    With *is_overdue* no prefill capacity is held back for other requests. Endpoints in *tried* are
    left out unless no other is left. With *software_version* only its endpoints are returned, which
    may be none.
    """
    usable = endpoints
    if software_version is not None:
        usable = [e for e in endpoints if e.software_version == software_version]
        if not usable:
            return []
    untried = [endpoint for endpoint in usable if endpoint.key not in tried] or usable
    if service.engine is None or need is None:
        options = [_plain_candidate(endpoint, untried, context) for endpoint in untried]
    else:
        generation = (service.name, context.generation)
        rank_by_id = context.ranks.ranks(f"{need.model}/{need.adapter}", endpoints, generation)
        homes = [e for e in untried if e.endpoint_id in rank_by_id or _may_hold(e, need, context)]
        options = [
            _engine_candidate(
                endpoint,
                service.engine,
                need,
                rank_by_id.get(endpoint.endpoint_id, MAX_HOMES),
                context,
                is_overdue,
            )
            for endpoint in homes or untried
        ]
    return preferred(context.routing, options)


def _may_hold(endpoint: Endpoint, need: ModelNeed, context: PlacementContext) -> bool:
    """Return whether an engine holds the adapter, or the base model if none is needed."""
    state = context.state_by_key.get(endpoint.key)
    return state is None or need.adapter_id in state.resident


def _common_costs_ms(endpoint: Endpoint, context: PlacementContext) -> tuple[float, float, float]:
    """Return the costs of `_COMMON_COSTS`."""
    return (
        FAILURE_COST_MS * context.health.failure_ratio(endpoint.key, context.now_ms),
        OTHER_DOMAIN_COST_MS if endpoint.domain != context.domain else 0.0,
        MISSING_COST_MS if endpoint.endpoint_id in context.missing_ids else 0.0,
    )


def _plain_candidate(
    endpoint: Endpoint, endpoints: list[Endpoint], context: PlacementContext
) -> Candidate:
    runs = context.plain_runs(endpoint.key)
    run_ms = _run_ms(endpoint, endpoints, context)
    if context.trial_latency_ms is not None:
        run_ms = min(run_ms, context.trial_latency_ms(endpoint, context.now_ms))
    slots, waits_for = max(1, endpoint.slots), ()
    queue_ms = run_ms * (runs - endpoint.slots + 1) / slots if runs >= endpoint.slots else 0.0
    is_backing_off = context.health.is_backing_off(endpoint.key, context.now_ms)
    if is_backing_off:
        waits_for += (Constraint.BACKOFF,)
    pause_ms = context.health.pause_left_ms(endpoint.key, context.now_ms)
    if pause_ms:
        waits_for += (Constraint.PAUSE,)
    wait_ms = context.rate_wait_ms(endpoint.key)
    if wait_ms:
        waits_for += (Constraint.LIMIT,)
    if runs >= 2 * slots:
        waits_for += (Constraint.SLOTS,)
    costs_ms = (
        *_common_costs_ms(endpoint, context),
        run_ms * (1 + runs / slots),
        queue_ms,
        BACKOFF_COST_MS if is_backing_off else 0.0,
        pause_ms,
        wait_ms,
    )
    return Candidate(endpoint, sum(costs_ms), waits_for, runs, costs_ms, PLAIN_COSTS)


def _window_limit_tokens(slowness: float, window_ms: float) -> float:
    """Return the limit, without admission, of an engine that takes *slowness* times the usual.

    It is not raised for a fast engine: one may only seem fast because the others read prompts.
    """
    return PREFILL_SHARE * reading_speed(max(1.0, slowness)) * window_ms


def _run_ms(endpoint: Endpoint, endpoints: list[Endpoint], context: PlacementContext) -> float:
    """Return how long a plain request runs there now: the usual time by the slowness there.

    *endpoints* are those of the service. Where nothing is known of an endpoint's slowness, it is
    the average there.
    """
    health = context.health
    slowness = context.speeds.known_slowness(endpoint.key)
    usual_ms = context.speeds.known_usual_latency_ms(endpoint.service)
    if usual_ms is None and slowness == 1.0:
        return health.latency_ms(endpoint.key) or DEFAULT_LATENCY_MS
    if usual_ms is None:
        # The average at the endpoint itself already contains its slowness.
        known = [health.latency_ms(e.key) for e in endpoints if health.latency_ms(e.key)]
        usual_ms = median_low(known) if known else DEFAULT_LATENCY_MS
    return usual_ms * slowness


def _condition_of(
    endpoint: Endpoint, shape: EngineShape, context: PlacementContext
) -> _EngineCondition:
    key, now_ms = endpoint.key, context.now_ms
    condition = context.condition_by_key.get(key)
    if condition is not None:
        return condition
    total = context.load.total(key, now_ms)
    figures = _figures_of(endpoint, context)
    if figures is not None:
        # The agent knows more than the peers' reports, and sooner.
        total = EndpointLoad(
            runs=figures.runs, tokens=figures.cache_tokens, prefill_tokens=figures.unread_tokens
        )
    sent = context.sent_by_key.get(key)
    if sent is not None:
        total = total.plus(sent)
    runs, slots = total.runs, endpoint.slots or shape.slots
    slowness, waits_for = engine_slowness(context.speeds.known_slowness(key)), ()
    is_backing_off = context.health.is_backing_off(key, now_ms)
    if is_backing_off:
        waits_for += (Constraint.BACKOFF,)
    pause_ms = context.health.pause_left_ms(key, now_ms)
    if pause_ms:
        waits_for += (Constraint.PAUSE,)
    if runs >= slots * (1 + QUEUE_FRACTION):
        waits_for += (Constraint.SLOTS,)
    costs_ms = (
        *_common_costs_ms(endpoint, context),
        slowness * FULL_BATCH_COST_MS * runs / slots,
        slowness * QUEUED_RUN_COST_MS * (runs - slots + 1) if runs >= slots else 0.0,
        BACKOFF_COST_MS if is_backing_off else 0.0,
        pause_ms,
    )
    state = context.state_by_key.get(key)
    if state is not None and now_ms - state.received_ms > STATE_TTL_MS:
        state = None
    condition = _EngineCondition(
        costs_ms=costs_ms,
        waits_for=waits_for,
        runs=runs,
        tokens=total.tokens,
        prefill_tokens=total.prefill_tokens,
        reserved_tokens=(
            0 if figures else total.reserved_tokens + context.reserved_tokens_by_key.get(key, 0)
        ),
        slowness=slowness,
        limit_tokens=_window_limit_tokens(slowness, context.window_ms(endpoint.service)),
        tokens_per_ms=reading_speed(slowness),
        state=state,
    )
    _apply_admission(condition, endpoint, context)
    context.condition_by_key[key] = condition
    return condition


def _engine_candidate(
    endpoint: Endpoint,
    shape: EngineShape,
    need: ModelNeed,
    rank: int,
    context: PlacementContext,
    is_overdue: bool,
) -> Candidate:
    condition = _condition_of(endpoint, shape, context)
    waits_for, memory_ms, reading_ms = condition.waits_for, 0.0, 0.0
    if condition.tokens + need.tokens > MEMORY_FRACTION * shape.cache_tokens:
        memory_ms = FULL_BATCH_COST_MS
        # A request above the KV cache allowance is sent only to an engine without runs.
        if condition.runs:
            waits_for += (Constraint.MEMORY,)
    prefill_tokens = condition.prefill_tokens
    if not is_overdue:
        # Reserved tokens hold short prompts back; otherwise a long prompt would never fit.
        prefill_tokens += condition.reserved_tokens
    # What reading the prompt takes longer, or less, than at a usual engine.
    usual_ms = need.prompt_tokens / PREFILL_TOKENS_PER_MS
    prompt_ms = need.prompt_tokens / condition.tokens_per_ms - usual_ms
    room_tokens = condition.limit_tokens - need.prompt_tokens
    if prefill_tokens and prefill_tokens > room_tokens:
        waits_for += (Constraint.READING,)
    if condition.asks:
        # What waits at other entries, and before this request at this one, is read first.
        prefill_tokens += condition.waiting_tokens + context.queued_tokens_by_key[endpoint.key]
    if prefill_tokens:
        reading_ms = max(0.0, prefill_tokens - room_tokens) / condition.tokens_per_ms
    wait_ms = context.rate_wait_ms(endpoint.key)
    if wait_ms:
        waits_for += (Constraint.LIMIT,)
    version, load_ms = _adapter_state(endpoint, condition.state, shape, need, context)
    if version is None:
        loads = 1 + len(context.wanted_by_key.get(endpoint.key, ()))
        load_ms += context.rate_limits.orders_ms(endpoint.key, ORDERS_PER_LOAD * loads)
        waits_for += (Constraint.ADAPTER,)
    costs_ms = (
        *condition.costs_ms,
        RANK_COST_MS * rank,
        memory_ms,
        prompt_ms,
        reading_ms,
        wait_ms,
        load_ms,
    )
    return Candidate(
        endpoint,
        sum(costs_ms),
        waits_for,
        condition.runs,
        costs_ms,
        ENGINE_COSTS,
        rank,
        version,
        condition.asks,
    )


def _adapter_state(
    endpoint: Endpoint,
    state: EngineState | None,
    shape: EngineShape,
    need: ModelNeed,
    context: PlacementContext,
) -> tuple[int | None, float]:
    """Return the version that can be used now, or None, and the wait for one in ms.

    *state* is the agent's report, or None if it is too old.
    """
    adapter_id = need.adapter_id
    newest = context.version_by_adapter.get(adapter_id, 0) if need.adapter else 0
    if state is None:
        is_denied = adapter_id in context.missing_adapters_by_key.get(endpoint.key, ())
        held = None if is_denied else _registered(endpoint, need)
        return (held, 0.0) if held is not None and held >= newest else (None, NO_AGENT_COST_MS)
    held = state.resident.get(adapter_id)
    if held is not None and held >= newest:
        return held, 0.0
    if (need.model, "") not in state.resident:
        return None, _model_load_ms(shape, state, need.model)
    if adapter_id in state.loading:
        return None, LOAD_REMAINING_MS
    cached = context.cached_by_address.get(endpoint.address, {})
    load_ms = WARM_LOAD_MS if adapter_id in cached else COLD_LOAD_MS
    wanted = context.wanted_by_key.get(endpoint.key, set())
    if adapter_id in wanted:
        return None, load_ms
    queued_loads = len(wanted | state.loading.keys())
    if queued_loads >= MAX_CONCURRENT_LOADS:
        load_ms += COLD_LOAD_MS * (queued_loads - MAX_CONCURRENT_LOADS + 1) / MAX_CONCURRENT_LOADS
    if state.spare_slots <= len(wanted):
        load_ms += NO_FREE_SLOT_COST_MS
    return None, load_ms


def _model_load_ms(shape: EngineShape, state: EngineState, model: str) -> float:
    """Return the wait for a base model and then for the adapter."""
    known = shape.model_by_name.get(model)
    load_ms = NO_AGENT_COST_MS if known is None else known.load_ms
    if (model, "") in state.loading:
        load_ms *= MODEL_LOAD_REMAINING_FRACTION
    return load_ms + COLD_LOAD_MS


def _registered(endpoint: Endpoint, need: ModelNeed) -> int | None:
    """Return the version in the endpoint's registration, which may be some seconds old."""
    adapters = (endpoint.adapters_by_model or {}).get(need.model)
    if adapters is None:
        return None
    return adapters.get(need.adapter) if need.adapter else 0
