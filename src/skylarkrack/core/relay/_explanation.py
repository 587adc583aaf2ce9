"""Explains where a request would be placed now, and what each endpoint makes it wait for.

The decision is that of `Dispatcher.assess`, which serves requests too. Nothing is changed.
"""

import math
from dataclasses import dataclass

from skylarkrack.core._routing import LeastCost
from skylarkrack.core.relay._call import ModelNeed
from skylarkrack.core.relay._constraints import Constraint
from skylarkrack.core.relay._directory import Endpoint
from skylarkrack.core.relay._dispatch import (
    Assessment,
    Decision,
    Dispatcher,
    PendingRequest,
    SendTo,
    WaitFor,
)
from skylarkrack.core.relay._names import EndpointKey
from skylarkrack.core.relay._placement import Candidate


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainedLimit:
    """What bounds the requests to an endpoint; the figures are infinite where they don't apply.

    *named_per_s* is what the endpoint names, *cold_per_s* the part of its bound while it is cold
    that one home uses, and *window* the requests that may be *in_flight* by its pace. *home* is the
    VM of the entry that spaces the requests.
    """

    named_per_s: float
    cold_per_s: float
    window: float
    in_flight: float
    home: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainedAdapter:
    """The adapter at an engine: the version *held* or None, the newest one, and whether the
    engine's agent reported it as being loaded. *is_reported* is False without a report."""

    held: int | None
    newest: int
    is_loading: bool
    is_reported: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainedCandidate:
    """An endpoint that was compared.

    *cost_by_name* holds the parts of the cost in ms that aren't 0, and *waits_for* the constraints
    with the part of the cost that stands for each, in the order in which they apply.
    """

    endpoint: Endpoint
    cost_ms: float
    cost_by_name: dict[str, float]
    waits_for: tuple[tuple[Constraint, float], ...]
    runs: int
    rank: int
    limit: ExplainedLimit | None
    adapter: ExplainedAdapter | None

    @property
    def binds(self) -> Constraint | None:
        """The constraint that costs the most; of equal ones the first in their order."""
        return max(self.waits_for, key=lambda wait: wait[1], default=(None,))[0]


@dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """The decision about a request, and what led to it.

    *candidates* are in the order of preference, and *chosen* is the one that the decision is about.
    *excluded* holds the other endpoints of the service. *binds* is the constraint that keeps the
    request from being sent, or None.
    """

    decision: Decision
    candidates: tuple[ExplainedCandidate, ...]
    chosen: ExplainedCandidate | None
    excluded: tuple[tuple[Endpoint, Constraint], ...]
    binds: Constraint | None


def explain_placement(
    dispatcher: Dispatcher, request: PendingRequest, now_ms: float
) -> Explanation:
    """Return where a request would go now, and why."""
    assessment = dispatcher.assess(request, now_ms)
    candidates = tuple(
        _explained(dispatcher, request.need, candidate, assessment, now_ms)
        for candidate in assessment.options
    )
    chosen = None
    if assessment.candidate is not None:
        key = assessment.candidate.endpoint.key
        chosen = next(c for c in candidates if c.endpoint.key == key)
    excluded = tuple(_excluded(dispatcher, request, assessment))
    return Explanation(
        decision=assessment.decision,
        candidates=candidates,
        chosen=chosen,
        excluded=excluded,
        binds=_binding(assessment.decision, chosen, excluded),
    )


def _binding(
    decision: Decision,
    chosen: ExplainedCandidate | None,
    excluded: tuple[tuple[Endpoint, Constraint], ...],
) -> Constraint | None:
    if isinstance(decision, SendTo):
        return None
    if chosen is not None:
        return chosen.binds
    # Of what keeps the endpoints away, the last to apply is what could be lifted first.
    order = list(Constraint)
    return max((reason for _, reason in excluded), key=order.index, default=None)


def _explained(
    dispatcher: Dispatcher,
    need: ModelNeed | None,
    candidate: Candidate,
    assessment: Assessment,
    now_ms: float,
) -> ExplainedCandidate:
    key = candidate.endpoint.key
    costs = dict(zip(candidate.cost_names, candidate.costs_ms, strict=True))
    limit = _limit_at(dispatcher, key, now_ms)
    waits = [(constraint, costs.get(constraint, 0.0)) for constraint in candidate.waits_for]
    waits = [
        (_kind_of_limit(limit) if constraint is Constraint.LIMIT else constraint, cost_ms)
        for constraint, cost_ms in waits
    ]
    is_chosen = candidate is assessment.candidate
    if is_chosen and candidate.is_ready and isinstance(assessment.decision, WaitFor):
        waits.append((Constraint.ADMISSION, 0.0))
    order = list(Constraint)
    is_engine = need is not None and "adapter" in costs
    return ExplainedCandidate(
        endpoint=candidate.endpoint,
        cost_ms=candidate.cost_ms,
        cost_by_name={name: cost_ms for name, cost_ms in costs.items() if cost_ms},
        waits_for=tuple(sorted(waits, key=lambda wait: order.index(wait[0]))),
        runs=candidate.runs,
        rank=candidate.rank,
        limit=limit,
        adapter=_adapter_at(dispatcher, need, candidate) if is_engine else None,
    )


def _limit_at(dispatcher: Dispatcher, key: EndpointKey, now_ms: float) -> ExplainedLimit | None:
    limit = dispatcher.rate_limits.limit_at(key, now_ms)
    if limit is None:
        return None
    return ExplainedLimit(
        named_per_s=limit.limit_per_s,
        cold_per_s=limit.cold_per_s,
        window=limit.window,
        in_flight=dispatcher.pace.in_flight(key, now_ms),
        home=limit.home,
    )


def _kind_of_limit(limit: ExplainedLimit | None) -> Constraint:
    """Return which bound an endpoint's limit is: the pace if its window is full or nothing else is
    in force, otherwise the lower rate."""
    if limit is None:
        return Constraint.LIMIT
    rate_per_s = min(limit.named_per_s, limit.cold_per_s)
    if math.isinf(rate_per_s) or limit.in_flight + 1 > limit.window:
        return Constraint.PACE
    is_named = limit.named_per_s <= limit.cold_per_s
    return Constraint.NAMED_LIMIT if is_named else Constraint.COLD_LIMIT


def _adapter_at(dispatcher: Dispatcher, need: ModelNeed, candidate: Candidate) -> ExplainedAdapter:
    state, adapter_id = dispatcher.state_of(candidate.endpoint.key), need.adapter_id
    held = candidate.version if state is None else state.resident.get(adapter_id)
    return ExplainedAdapter(
        held=held,
        newest=dispatcher.newest_version(adapter_id) if need.adapter else 0,
        is_loading=state is not None and adapter_id in state.loading,
        is_reported=state is not None,
    )


def _excluded(
    dispatcher: Dispatcher, request: PendingRequest, assessment: Assessment
) -> list[tuple[Endpoint, Constraint]]:
    """Return the endpoints of the service that were not compared, and why not."""
    directory = dispatcher.directory
    compared = {candidate.endpoint.key for candidate in assessment.options}
    usable = {endpoint.key for endpoint in directory.of_service(request.service_name)}
    excluded = []
    for endpoint in directory.all():
        if endpoint.service != request.service_name or endpoint.key in compared:
            continue
        if directory.is_evacuated(endpoint):
            reason = Constraint.EVACUATED
        elif endpoint.is_leaving:
            reason = Constraint.LEAVING
        elif endpoint.key not in usable:
            reason = Constraint.REPLACED
        elif request.software_version not in (None, endpoint.software_version):
            reason = Constraint.SOFTWARE_VERSION
        elif isinstance(dispatcher.routing, LeastCost):
            reason = Constraint.NOT_A_HOME
        else:
            reason = Constraint.POLICY
        excluded.append((endpoint, reason))
    return excluded
