"""Which adapters one engine holds, which are in use, and the single order in flight."""

from dataclasses import dataclass
from enum import Enum

MAX_LOAD_FAILURES = 2
"""Failed loads of an adapter after which its waiting requests are refused."""

MAX_LATE_ARRIVAL_MS = 10_000
"""How long an order or a run that was given up may still reach an engine and be carried out."""


class ResidencyState(Enum):
    """State of an adapter at the engine, as its agent knows it."""

    LOADING = "loading"
    RESIDENT = "resident"
    UNLOADING = "unloading"
    UNCERTAIN = "uncertain"


@dataclass(slots=True)
class Residency:
    """An adapter at the engine. *pins* counts the requests that use it."""

    state: ResidencyState
    pins: int = 0
    last_used_ms: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """The order in flight, *number* being its fencing number."""

    served: str
    number: int
    is_load: bool


class ResidencyTable:
    """What one incarnation of an engine holds. A new incarnation starts a new table.

    An adapter whose order had no certain end is `UNCERTAIN`: it takes a slot, serves nothing, and
    is not touched until the order can no longer arrive and the engine's own report settles it.
    Otherwise a late unload could evict an adapter that is in use again.
    """

    __slots__ = ("_residency_by_name", "_changed_ms", "incarnation", "order", "slots")

    def __init__(self, *, incarnation: str, slots: int) -> None:
        self.incarnation = incarnation
        self.slots = slots
        self.order: Order | None = None
        self._changed_ms = 0.0
        self._residency_by_name: dict[str, Residency] = {}

    # Queries

    def is_resident(self, served: str) -> bool:
        """Tell whether requests may run under *served* now."""
        residency = self._residency_by_name.get(served)
        return residency is not None and residency.state is ResidencyState.RESIDENT

    def occupies_slot(self, served: str) -> bool:
        """Tell whether *served* takes a slot in any state."""
        return served in self._residency_by_name

    def available_names(self) -> list[str]:
        """Return the names that requests may run under, and those being loaded."""
        useful = (ResidencyState.RESIDENT, ResidencyState.LOADING)
        return [
            name for name, residency in self._residency_by_name.items() if residency.state in useful
        ]

    def has_free_slot(self) -> bool:
        """Tell whether a further adapter fits without an eviction."""
        return len(self._residency_by_name) < self.slots

    def pins(self, served: str) -> int:
        """Return the number of requests that use *served*."""
        residency = self._residency_by_name.get(served)
        return residency.pins if residency else 0

    def victim(self, wanted: frozenset[str]) -> str | None:
        """Return the least recently used adapter that no request uses or waits for, or None."""
        idle = [
            (residency.last_used_ms, name)
            for name, residency in self._residency_by_name.items()
            if residency.state is ResidencyState.RESIDENT
            and not residency.pins
            and name not in wanted
        ]
        return min(idle)[1] if idle else None

    # Commands

    def pin(self, served: str, *, now_ms: float) -> None:
        """Count one more use of a resident adapter."""
        residency = self._residency_by_name[served]
        residency.pins += 1
        residency.last_used_ms = now_ms

    def unpin(self, served: str) -> None:
        """Count one use less."""
        residency = self._residency_by_name.get(served)
        if residency is not None and residency.pins:
            residency.pins -= 1

    def begin_order(self, order: Order) -> None:
        """Note that *order* goes to the engine."""
        self.order = order
        if order.is_load:
            self._residency_by_name[order.served] = Residency(ResidencyState.LOADING)
        else:
            self._residency_by_name[order.served].state = ResidencyState.UNLOADING

    def finish_order(self, number: int, *, done: bool, now_ms: float) -> Order | None:
        """Note the engine's answer to the order *number*; return the order if it was in flight."""
        order = self._take_order(number)
        if order is None:
            return None
        self._changed_ms = now_ms
        residency = self._residency_by_name[order.served]
        residency.last_used_ms = now_ms
        if done == order.is_load:
            residency.state = ResidencyState.RESIDENT
        else:
            del self._residency_by_name[order.served]
        return order

    def mark_uncertain(self, number: int, *, now_ms: float) -> Order | None:
        """Note that the order *number* had no answer in time: it may still be carried out."""
        order = self._take_order(number)
        if order is not None:
            self._changed_ms = now_ms
            self._residency_by_name[order.served].state = ResidencyState.UNCERTAIN
            self._residency_by_name[order.served].last_used_ms = now_ms
        return order

    def reconcile(
        self, reported: frozenset[str], *, busy: bool, asked_ms: float, now_ms: float
    ) -> None:
        """Take in the engine's own report of what it holds, asked for at *asked_ms*.

        A report that may be older than the last order says nothing. While the engine still
        carries out an order (*busy*) what is uncertain stays so.
        """
        if self.order is not None or asked_ms <= self._changed_ms:
            return
        for name in reported - self._residency_by_name.keys():
            self._residency_by_name[name] = Residency(ResidencyState.RESIDENT, last_used_ms=now_ms)
        for name, residency in list(self._residency_by_name.items()):
            if residency.state is ResidencyState.UNCERTAIN:
                lingers = busy or now_ms < residency.last_used_ms + MAX_LATE_ARRIVAL_MS
                if not lingers:
                    self._resolve_uncertain(name, name in reported)
            elif name not in reported and not residency.pins:
                del self._residency_by_name[name]

    def _resolve_uncertain(self, name: str, is_reported: bool) -> None:
        if is_reported:
            self._residency_by_name[name].state = ResidencyState.RESIDENT
        else:
            del self._residency_by_name[name]

    def _take_order(self, number: int) -> Order | None:
        order = self.order
        if order is None or order.number != number:
            return None
        self.order = None
        return order
