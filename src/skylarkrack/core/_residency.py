"""The adapters that one engine holds, their uses, and the order in flight."""

from dataclasses import dataclass
from enum import Enum

MAX_LOAD_FAILURES = 2
"""Failed loads of an adapter after which its queued requests are refused."""

MAX_LATE_ARRIVAL_MS = 10_000
"""Bound on how late an order or run that was given up may still reach the engine and be executed.

Until then, the adapter of such an order stays uncertain, and such a run keeps its pin.
"""


class ResidencyState(Enum):
    """State of an adapter at the engine, as tracked by its agent."""

    LOADING = "loading"
    RESIDENT = "resident"
    UNLOADING = "unloading"
    UNCERTAIN = "uncertain"


@dataclass(slots=True)
class Residency:
    """An adapter at the engine.

    *pins* counts the runs that use it. *last_used_ms* is when a run last started with it or its
    last order ended or timed out, in monotonic milliseconds.
    """

    state: ResidencyState
    pins: int = 0
    last_used_ms: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """A load or an unload of the adapter version *served*; *number* is its fencing number."""

    served: str
    number: int
    is_load: bool


class ResidencyTable:
    """The adapters that one incarnation of an engine holds, by the names of their versions.

    *slots* is the number of adapters that fit, *order* the single order in flight, if any. A new
    incarnation needs a new table.

    An adapter whose order ended without a certain result is `UNCERTAIN`: it occupies a slot, is
    not used, loaded or evicted, and stays so until the order can no longer arrive and a report of
    the engine shows whether the adapter is there. Otherwise a late unload could evict an adapter
    that is in use again.
    """

    __slots__ = ("_changed_ms", "_residency_by_name", "incarnation", "order", "slots")

    def __init__(self, *, incarnation: str, slots: int) -> None:
        self.incarnation = incarnation
        self.slots = slots
        self.order: Order | None = None
        self._changed_ms = 0.0
        self._residency_by_name: dict[str, Residency] = {}

    # Queries

    def is_resident(self, served: str) -> bool:
        """Return whether requests may run under *served* now."""
        residency = self._residency_by_name.get(served)
        return residency is not None and residency.state is ResidencyState.RESIDENT

    def occupies_slot(self, served: str) -> bool:
        """Return whether *served* occupies a slot, in any state."""
        return served in self._residency_by_name

    def available_names(self) -> list[str]:
        """Return the names that are resident or being loaded."""
        useful = (ResidencyState.RESIDENT, ResidencyState.LOADING)
        return [
            name for name, residency in self._residency_by_name.items() if residency.state in useful
        ]

    def has_free_slot(self) -> bool:
        """Return whether another adapter fits without an eviction."""
        return len(self._residency_by_name) < self.slots

    def pins(self, served: str) -> int:
        """Return the number of runs that use *served*, 0 if it is not here."""
        residency = self._residency_by_name.get(served)
        return residency.pins if residency else 0

    def victim(self, wanted: frozenset[str]) -> str | None:
        """Return the least recently used adapter that may be evicted, or None.

        Adapters that a run uses, or that are in *wanted* (needed by queued requests), are excluded.
        """
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
        """Count a run that starts to use *served*.

        Raises `KeyError` if *served* occupies no slot.
        """
        residency = self._residency_by_name[served]
        residency.pins += 1
        residency.last_used_ms = now_ms

    def unpin(self, served: str) -> None:
        """Count a run that no longer uses *served*; ignored if it has no pins."""
        residency = self._residency_by_name.get(served)
        if residency is not None and residency.pins:
            residency.pins -= 1

    def begin_order(self, order: Order) -> None:
        """Record that *order* is sent to the engine."""
        self.order = order
        if order.is_load:
            self._residency_by_name[order.served] = Residency(ResidencyState.LOADING)
        else:
            self._residency_by_name[order.served].state = ResidencyState.UNLOADING

    def finish_order(self, number: int, *, done: bool, now_ms: float) -> Order | None:
        """Record the engine's answer to the order *number*.

        *done* is true if it was carried out. Return the order, or None if it was not in flight, as
        after its time-out.
        """
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
        """Record that the order *number* timed out; it may still be carried out.

        Return the order, or None if it was not in flight.
        """
        order = self._take_order(number)
        if order is not None:
            self._changed_ms = now_ms
            self._residency_by_name[order.served].state = ResidencyState.UNCERTAIN
            self._residency_by_name[order.served].last_used_ms = now_ms
        return order

    def reconcile(
        self, reported: frozenset[str], *, busy: bool, asked_ms: float, now_ms: float
    ) -> None:
        """Update the table from a report of the engine, requested at *asked_ms*.

        *reported* holds the names of the resident adapters. A report that was requested while an
        order is in flight, or before the last one ended, may predate it and is ignored. While the
        engine still carries out an order (*busy*), uncertain adapters stay uncertain. Adapters that
        are not reported are removed unless they are pinned.
        """
        if self.order is not None or asked_ms <= self._changed_ms:
            return
        for name in reported - self._residency_by_name.keys():
            self._residency_by_name[name] = Residency(ResidencyState.RESIDENT, last_used_ms=now_ms)
        for name, residency in list(self._residency_by_name.items()):
            if residency.state is ResidencyState.UNCERTAIN:
                may_arrive = busy or now_ms < residency.last_used_ms + MAX_LATE_ARRIVAL_MS
                if not may_arrive:
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
