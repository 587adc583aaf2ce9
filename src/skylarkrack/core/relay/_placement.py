"""Where a request goes: the endpoint with the least expected delay, in milliseconds.

The load pattern that this answers: far more adapters than places, a few of them popular, and
bursts. An adapter's requests go back to the engines that hold it or held it lately, as long as
waiting there costs less than a load elsewhere; a popular adapter so gets a second engine exactly
when its first is full.
"""

from dataclasses import dataclass
from functools import singledispatch

from skylarkrack.core._hashing import rendezvous_order
from skylarkrack.core._routing import HashOnly, LeastCost, LeastLoaded
from skylarkrack.core.relay._adapter_scheduler import MAX_CONCURRENT_LOADS
from skylarkrack.core.relay._call import ModelNeed
from skylarkrack.core.relay._directory import Endpoint
from skylarkrack.core.relay._health import Health
from skylarkrack.core.relay._load import PREFILL_WINDOW_MS, EngineState, LoadTracker
from skylarkrack.core.relay._names import AdapterId, EndpointKey
from skylarkrack.core.relay._table import EngineShape, Service

COLD_LOAD_MS = 300.0
"""An adapter from the weight store, with the order and the report."""

WARM_LOAD_MS = 60.0
"""An adapter that the engine held recently, with the order and the report."""

LOAD_REMAINING_MS = 150.0
"""What is left on average of a load that was ordered."""

MODEL_LOAD_REMAINING_FRACTION = 0.5
"""Part of a base model's load that is left on average once it was ordered."""

NO_AGENT_COST_MS = 2000.0
"""A load that nobody is there to order."""

FULL_BATCH_COST_MS = 120.0
"""What a full batch adds until the first token, against an empty one."""

QUEUED_RUN_COST_MS = 60.0
"""Wait for a place in a full batch, for each run that is ahead."""

PREFILL_TOKENS_PER_MS = 28.0
"""Prompt tokens that an engine reads in a ms; the slower of the users' two kinds reads 29.4."""

PREFILL_LIMIT_TOKENS = 0.9 * PREFILL_TOKENS_PER_MS * PREFILL_WINDOW_MS
"""Prompt tokens sent to one engine within the window. Between two events of a stream lie several
steps, each with a piece of the prompts being read: with more, streams pause for too long."""

FAILURE_COST_MS = 2000.0
"""Cost of a request that fails, times the failure ratio. After two failures among few requests it
is above that of an adapter's load elsewhere, after one it isn't."""

RANK_COST_MS = 4.0
"""Cost of each lower place in the adapter's rendezvous order, so that homes are stable."""

OTHER_DOMAIN_COST_MS = 2.0
"""Cost of leaving the failure domain; a little more than the way there and back."""

DEFAULT_LATENCY_MS = 80.0
"""Latency that is assumed of a plain endpoint before it has answered."""

NO_FREE_SLOT_COST_MS = 600.0
"""Wait for a run to end at an engine whose places are all in use."""

MISSING_COST_MS = 500.0
"""Cost of an endpoint that may have left while the registry was away; others go before it."""

BACKOFF_COST_MS = 1000.0
"""Cost of an endpoint to which connections just failed."""

STATE_TTL_MS = 1500.0
"""An agent that is silent for longer can't be asked for loads."""

QUEUE_FRACTION = 0.25
"""Part of an engine's slots that may be queued at it; more urgent runs overtake there."""

MEMORY_FRACTION = 0.95
"""Part of an engine's token memory that runs may promise to use."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An endpoint with its expected delay. *is_ready* means that it can be sent to now.

    *rank* is its place in the adapter's rendezvous order, and *runs* what is under way there.
    """

    endpoint: Endpoint
    cost_ms: float
    is_ready: bool
    runs: int
    rank: int = 0
    version: int | None = None


@singledispatch
def preferred(routing: object, found: list[Candidate]) -> list[Candidate]:
    """Return the candidates that a request may go to, the best first."""
    raise TypeError(f"no routing policy: {type(routing).__name__}")


@preferred.register
def _(routing: LeastCost, found: list[Candidate]) -> list[Candidate]:
    return sorted(found, key=lambda candidate: candidate.cost_ms)


@preferred.register
def _(routing: LeastLoaded, found: list[Candidate]) -> list[Candidate]:
    return [min(found, key=lambda candidate: (candidate.runs, candidate.rank))]


@preferred.register
def _(routing: HashOnly, found: list[Candidate]) -> list[Candidate]:
    return [min(found, key=lambda candidate: (candidate.rank, candidate.cost_ms))]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementContext:
    """All that a placement depends on.

    *reserved_tokens_by_key* are prompts of this entry that wait to be read, and *is_overdue* tells
    that the request is itself one of those.
    """

    health: Health
    load: LoadTracker
    state_by_key: dict[EndpointKey, EngineState]
    version_by_adapter: dict[AdapterId, int]
    denied_by_key: dict[EndpointKey, set[AdapterId]]
    cached_by_address: dict[str, dict[AdapterId, None]]
    wanted_by_key: dict[EndpointKey, set[AdapterId]]
    missing_ids: frozenset[str]
    reserved_tokens_by_key: dict[EndpointKey, int]
    is_overdue: bool
    routing: LeastCost | LeastLoaded | HashOnly
    domain: str
    now_ms: float


def candidates(
    endpoints: list[Endpoint], service: Service, need: ModelNeed | None, context: PlacementContext
) -> list[Candidate]:
    """Return the endpoints that the request may go to, the best first."""
    if service.engine is None or need is None:
        found = [_plain(endpoint, context) for endpoint in endpoints]
    else:
        name = f"{need.model}/{need.adapter}"
        order = rendezvous_order(name, [endpoint.endpoint_id for endpoint in endpoints])
        rank_by_id = {endpoint_id: rank for rank, endpoint_id in enumerate(order)}
        found = [
            _engine(endpoint, service, need, rank_by_id[endpoint.endpoint_id], context)
            for endpoint in endpoints
        ]
    return preferred(context.routing, found)


def _base_ms(endpoint: Endpoint, context: PlacementContext) -> float:
    key = endpoint.key
    cost_ms = FAILURE_COST_MS * context.health.failure_ratio(key, context.now_ms)
    if endpoint.domain != context.domain:
        cost_ms += OTHER_DOMAIN_COST_MS
    if endpoint.warmup_left_ms > 0:
        cost_ms += FULL_BATCH_COST_MS
    if endpoint.endpoint_id in context.missing_ids:
        cost_ms += MISSING_COST_MS
    return cost_ms


def _plain(endpoint: Endpoint, context: PlacementContext) -> Candidate:
    runs = context.load.total(endpoint.key, context.now_ms).runs
    run_ms = context.health.latency_ms(endpoint.key) or DEFAULT_LATENCY_MS
    cost_ms = _base_ms(endpoint, context) + run_ms * (1 + runs / max(1, endpoint.slots))
    if runs >= endpoint.slots:
        cost_ms += run_ms * (runs - endpoint.slots + 1) / max(1, endpoint.slots)
    is_backing_off = context.health.is_backing_off(endpoint.key, context.now_ms)
    if is_backing_off:
        cost_ms += BACKOFF_COST_MS
    is_ready = not is_backing_off and runs < 2 * max(1, endpoint.slots)
    return Candidate(endpoint=endpoint, cost_ms=cost_ms, is_ready=is_ready, runs=runs)


def _engine(
    endpoint: Endpoint, service: Service, need: ModelNeed, rank: int, context: PlacementContext
) -> Candidate:
    shape, key = service.engine, endpoint.key
    work = context.load.total(key, context.now_ms)
    runs = work.runs
    slots = endpoint.slots or shape.slots
    cost_ms = _base_ms(endpoint, context) + RANK_COST_MS * rank + FULL_BATCH_COST_MS * runs / slots
    if runs >= slots:
        cost_ms += QUEUED_RUN_COST_MS * (runs - slots + 1)
    is_ready = runs < slots * (1 + QUEUE_FRACTION)
    if work.tokens + need.tokens > MEMORY_FRACTION * shape.cache_tokens:
        cost_ms += FULL_BATCH_COST_MS
        is_ready = is_ready and runs == 0
    reading = work.prefill_tokens
    if not context.is_overdue:
        # A long prompt finds room only if the short ones stop going before it.
        reading += work.reserved_tokens + context.reserved_tokens_by_key.get(key, 0)
    if reading and reading + need.prompt_tokens > PREFILL_LIMIT_TOKENS:
        cost_ms += (reading + need.prompt_tokens - PREFILL_LIMIT_TOKENS) / PREFILL_TOKENS_PER_MS
        is_ready = False
    if context.health.is_backing_off(key, context.now_ms):
        cost_ms += BACKOFF_COST_MS
        is_ready = False
    version, load_ms = _adapter_state(endpoint, shape, need, context)
    if version is None:
        is_ready = False
    return Candidate(
        endpoint=endpoint,
        cost_ms=cost_ms + load_ms,
        is_ready=is_ready,
        runs=runs,
        rank=rank,
        version=version,
    )


def _adapter_state(
    endpoint: Endpoint, shape: EngineShape, need: ModelNeed, context: PlacementContext
) -> tuple[int | None, float]:
    """Return the version that can be used now, or None, and the wait for one in ms."""
    name = need.adapter_id
    newest = context.version_by_adapter.get(name, 0) if need.adapter else 0
    state = context.state_by_key.get(endpoint.key)
    if state is None or context.now_ms - state.received_ms > STATE_TTL_MS:
        is_denied = name in context.denied_by_key.get(endpoint.key, ())
        held = None if is_denied else _registered(endpoint, need)
        return (held, 0.0) if held is not None and held >= newest else (None, NO_AGENT_COST_MS)
    held = state.resident.get(name)
    if held is not None and held >= newest:
        return held, 0.0
    if (need.model, "") not in state.resident:
        return None, _model_load_ms(shape, state, need.model)
    if name in state.loading:
        return None, LOAD_REMAINING_MS
    kept = context.cached_by_address.get(endpoint.address, {})
    load_ms = WARM_LOAD_MS if name in kept else COLD_LOAD_MS
    wanted = context.wanted_by_key.get(endpoint.key, set())
    if name in wanted:
        return None, load_ms
    ahead = len(wanted | state.loading.keys())
    if ahead >= MAX_CONCURRENT_LOADS:
        load_ms += COLD_LOAD_MS * (ahead - MAX_CONCURRENT_LOADS + 1) / MAX_CONCURRENT_LOADS
    if state.spare_slots <= len(wanted):
        load_ms += NO_FREE_SLOT_COST_MS
    return None, load_ms


def _model_load_ms(shape: EngineShape, state: EngineState, model: str) -> float:
    """Return the wait for a base model and the adapter after it."""
    known = shape.model_by_name.get(model)
    load_ms = NO_AGENT_COST_MS if known is None else known.load_ms
    if (model, "") in state.loading:
        load_ms *= MODEL_LOAD_REMAINING_FRACTION
    return load_ms + COLD_LOAD_MS


def _registered(endpoint: Endpoint, need: ModelNeed) -> int | None:
    """Return the version that the endpoint's registration names, which may be some seconds old."""
    adapters = (endpoint.adapters_by_model or {}).get(need.model)
    if adapters is None:
        return None
    return adapters.get(need.adapter) if need.adapter else 0
