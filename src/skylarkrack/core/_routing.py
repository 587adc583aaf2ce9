"""Which endpoint an entry offers a request to.

An entry's view of an endpoint is late; the agent checks again. What the view is good for is
keeping an adapter's requests where the adapter is, without sending everybody to the same place.
"""

from collections.abc import Collection, Set
from dataclasses import dataclass
from functools import singledispatch

from skylarkrack.core._hashing import rendezvous_order
from skylarkrack.messages import EndpointReport

LOAD_COST_MS = 300.0
"""Cost of a load: its time at a store that is not crowded."""

QUEUEING_COST_MS = 1000.0
"""Cost of waiting for one run of a full batch to end."""

OCCUPANCY_COST_MS = 40.0
"""Cost of a batch that is full but for one, against an empty one; spreads what is resident."""

RANK_COST_MS = 5.0
"""Cost of each place further back in the adapter's rendezvous order; keeps choices stable."""


@dataclass(slots=True, kw_only=True)
class EndpointView:
    """What this entry knows of an endpoint. *offered* counts its own requests not yet reported."""

    vm: str
    report: EndpointReport
    offered: int = 0

    @property
    def occupied(self) -> int:
        """Requests running, waiting and just offered."""
        return self.report.running + self.report.waiting + self.offered


@dataclass(frozen=True, slots=True, kw_only=True)
class LeastCost:
    """Weigh queueing, loading and spreading; the policy in use."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeastLoaded:
    """Baseline: the endpoint with the fewest requests, whatever it holds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HashOnly:
    """Baseline: the adapter's rendezvous order, whatever the load."""


ROUTING_BY_NAME = {
    "least_cost": LeastCost(),
    "least_loaded": LeastLoaded(),
    "hash_only": HashOnly(),
}
"""The routing policies by their names in settings."""


@singledispatch
def cost_of(policy: object, view: EndpointView, served: str, rank: int) -> float:
    """Return the cost of running *served* at *view*, in milliseconds; the least is taken."""
    raise TypeError(f"no routing policy: {type(policy).__name__}")


@cost_of.register
def _(policy: LeastCost, view: EndpointView, served: str, rank: int) -> float:
    capacity = max(1, view.report.capacity)
    excess = max(0, view.occupied + 1 - capacity)
    load_ms = 0.0 if served in view.report.resident else LOAD_COST_MS
    share_ms = OCCUPANCY_COST_MS * min(1.0, view.occupied / capacity)
    return load_ms + QUEUEING_COST_MS * excess / capacity + share_ms + RANK_COST_MS * rank


@cost_of.register
def _(policy: LeastLoaded, view: EndpointView, served: str, rank: int) -> float:
    return view.occupied / max(1, view.report.capacity) + rank * 1e-6


@cost_of.register
def _(policy: HashOnly, view: EndpointView, served: str, rank: int) -> float:
    return float(rank)


class Router:
    """The endpoints that this entry has a link to."""

    __slots__ = ("_leaving", "_policy", "_view_by_vm")

    def __init__(self, *, policy: object | None = None) -> None:
        self._policy = policy or LeastCost()
        self._view_by_vm: dict[str, EndpointView] = {}
        self._leaving: frozenset[str] = frozenset()

    # Queries

    def choose(self, model: str, served: str, *, avoid: Collection[str] = ()) -> str | None:
        """Return the VM to offer a model request to, or None if no endpoint takes it."""
        views = {vm: v for vm, v in self._view_by_vm.items() if v.report.model == model}
        usable = self._usable(views, avoid)
        order = rendezvous_order(served, usable)
        costs = {
            vm: cost_of(self._policy, views[vm], served, rank) for rank, vm in enumerate(order)
        }
        return min(costs, key=costs.__getitem__, default=None)

    def service_agents(self, service: str) -> list[str]:
        """Return the VMs that take calls of *service*, the one with fewest requests first."""
        views = {vm: v for vm, v in self._view_by_vm.items() if v.report.service == service}
        usable = self._usable(views, ())
        return sorted(usable, key=lambda vm: (views[vm].occupied, vm))

    def explain_choice(self, vm: str, served: str) -> dict[str, object]:
        """Return what spoke for *vm* when it was chosen, for `skylarkctl explain`."""
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
        """Set the VMs that the platform lists as leaving."""
        self._leaving = frozenset(vms)

    def observe_report(self, vm: str, report: EndpointReport) -> None:
        """Take in an agent's report."""
        self._view_by_vm[vm] = EndpointView(vm=vm, report=report)

    def observe_offer(self, vm: str) -> None:
        """Count a request offered since the last report."""
        if vm in self._view_by_vm:
            self._view_by_vm[vm].offered += 1

    def forget(self, vm: str) -> None:
        """The link to an agent ended."""
        self._view_by_vm.pop(vm, None)
