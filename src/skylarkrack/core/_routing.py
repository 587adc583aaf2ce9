"""Choice of the endpoint that an entry offers a request to.

An entry's view of an endpoint lags behind, so the agent checks each offer again. The view serves to
send an adapter's requests where the adapter is resident, without overloading a single endpoint.
"""

from collections.abc import Collection, Set
from dataclasses import dataclass
from functools import singledispatch

from skylarkrack.core._hashing import rendezvous_order
from skylarkrack.messages import EndpointReport

LOAD_COST_MS = 300.0
"""Cost of loading an adapter: its duration while the weight store is not overloaded."""

QUEUEING_COST_MS = 1000.0
"""Cost of waiting for one run of a full batch to end.

It is multiplied by the requests in excess of the batch, divided by the batch size.
"""

OCCUPANCY_COST_MS = 40.0
"""Cost of a batch with one free place, compared to an empty one.

It spreads runs, and with them the resident adapters, over the endpoints.
"""

RANK_COST_MS = 5.0
"""Cost of each further rank in the adapter's rendezvous order; keeps choices stable."""


@dataclass(slots=True, kw_only=True)
class EndpointView:
    """Last report of an endpoint; *offered* counts requests offered to it by this entry since."""

    vm: str
    report: EndpointReport
    offered: int = 0

    @property
    def occupied(self) -> int:
        """Number of requests running, waiting and offered since the report."""
        return self.report.running + self.report.waiting + self.offered


@dataclass(frozen=True, slots=True, kw_only=True)
class LeastCost:
    """Default policy: the least sum of the costs of queueing, loading and occupancy."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeastLoaded:
    """Baseline: the endpoint with the fewest requests for its capacity, resident adapter or not."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HashOnly:
    """Baseline: the first endpoint in the adapter's rendezvous order, whatever its load."""


ROUTING_BY_NAME = {
    "least_cost": LeastCost(),
    "least_loaded": LeastLoaded(),
    "hash_only": HashOnly(),
}
"""Routing policies by their names in settings."""


@singledispatch
def cost_of(policy: object, view: EndpointView, served: str, rank: int) -> float:
    """Return the cost of running *served* at *view*; the endpoint with the lowest cost is chosen.

    *rank* is the position of the endpoint in the rendezvous order of *served*. Costs of `LeastCost`
    are in milliseconds. Raises `TypeError` for an unknown policy.
    """
    raise TypeError(f"not a routing policy: {type(policy).__name__}")


@cost_of.register
def _(policy: LeastCost, view: EndpointView, served: str, rank: int) -> float:
    capacity = max(1, view.report.capacity)
    excess = max(0, view.occupied + 1 - capacity)
    load_ms = 0.0 if served in view.report.resident else LOAD_COST_MS
    occupancy_ms = OCCUPANCY_COST_MS * min(1.0, view.occupied / capacity)
    return load_ms + QUEUEING_COST_MS * excess / capacity + occupancy_ms + RANK_COST_MS * rank


@cost_of.register
def _(policy: LeastLoaded, view: EndpointView, served: str, rank: int) -> float:
    return view.occupied / max(1, view.report.capacity) + rank * 1e-6


@cost_of.register
def _(policy: HashOnly, view: EndpointView, served: str, rank: int) -> float:
    return float(rank)


class Router:
    """Views of the linked endpoints, and the choice among them.

    *policy* is a policy of `ROUTING_BY_NAME`, by default `LeastCost`.
    """

    __slots__ = ("_leaving", "_policy", "_view_by_vm")

    def __init__(self, *, policy: object | None = None) -> None:
        self._policy = policy or LeastCost()
        self._view_by_vm: dict[str, EndpointView] = {}
        self._leaving: frozenset[str] = frozenset()

    # Queries

    def choose(self, model: str, served: str, *, avoid: Collection[str] = ()) -> str | None:
        """Return the VM to offer a request for *served* to, or None if no endpoint is usable.

        Only endpoints of the base model *model* that are ready, not leaving and not in *avoid* are
        considered.
        """
        views = {vm: view for vm, view in self._view_by_vm.items() if view.report.model == model}
        usable = self._usable(views, avoid)
        order = rendezvous_order(served, usable)
        costs = {
            vm: cost_of(self._policy, views[vm], served, rank) for rank, vm in enumerate(order)
        }
        return min(costs, key=costs.__getitem__, default=None)

    def service_agents(self, service: str) -> list[str]:
        """Return the usable VMs that serve *service*, those with the fewest requests first."""
        views = {
            vm: view for vm, view in self._view_by_vm.items() if view.report.service == service
        }
        usable = self._usable(views, ())
        return sorted(usable, key=lambda vm: (views[vm].occupied, vm))

    def explain_choice(self, vm: str, served: str) -> dict[str, object]:
        """Return the figures behind the choice of *vm*, for `skylarkctl explain`."""
        view = self._view_by_vm[vm]
        return {
            "resident": served in view.report.resident,
            "occupied": view.occupied,
            "capacity": view.report.capacity,
        }

    def describe(self) -> dict[str, object]:
        """Return the state for `skylarkctl state`."""
        return {
            vm: {
                "ready": view.report.ready,
                "leaving": view.report.leaving or vm in self._leaving,
                "running": view.report.running,
                "waiting": view.report.waiting,
                "capacity": view.report.capacity,
                "resident": view.report.resident,
            }
            for vm, view in sorted(self._view_by_vm.items())
        }

    def _usable(self, views: dict[str, EndpointView], avoid: Collection[str]) -> list[str]:
        return [
            vm
            for vm, view in views.items()
            if view.report.ready
            and not view.report.leaving
            and vm not in self._leaving
            and vm not in avoid
        ]

    # Commands

    def observe_leaving(self, vms: Set[str]) -> None:
        """Set the VMs that the platform lists as leaving; they get no further requests."""
        self._leaving = frozenset(vms)

    def observe_report(self, vm: str, report: EndpointReport) -> None:
        """Replace the view of *vm* by an agent's report, and reset its count of offers."""
        self._view_by_vm[vm] = EndpointView(vm=vm, report=report)

    def observe_offer(self, vm: str) -> None:
        """Count a request offered to *vm* since its last report."""
        if vm in self._view_by_vm:
            self._view_by_vm[vm].offered += 1

    def forget(self, vm: str) -> None:
        """Remove an agent whose link has closed."""
        self._view_by_vm.pop(vm, None)
