"""Schedules the adapter slots of one engine: what is loaded, what is evicted, in which order.

One agent decides for one engine. A load takes a slot from the moment its order is sent until a
report shows its effect.

An adapter that an entry uses is never evicted. What entries report of their use is some
milliseconds old, so an eviction has two steps. First the adapter is *retired*: the agent's
broadcast no longer lists it as held. It is evicted once every live entry has acknowledged such a
broadcast and has no run there. An entry that needs the adapter in the meantime ends its retirement.
"""

import math
from dataclasses import dataclass, field
from enum import Enum

from skylarkrack.core.relay._names import AdapterId

IN_USE_TTL_MS = 20_000.0
"""Time for which the last reported use of a silent entry counts; no entry allows longer runs."""

WANTED_TTL_MS = 1500.0
"""Time for which the last reported demand of a silent entry counts."""

ENTRY_LIVE_MS = 2500.0
"""Silence after which an entry's acknowledgement is not waited for. Entries send something every
second."""

STARTUP_LISTEN_MS = 500.0
"""Time after the first report during which a new agent evicts nothing, so that entries report their
adapters in use first. An entry does so within 50 ms of the first message about an engine's
incarnation, and then every 500 ms while it has runs there."""

ORDER_CONFIRMATION_TIMEOUT_MS = 2000.0
"""Time after which an order without an answer, or without effect in the reports, is given up."""

MAX_CONCURRENT_LOADS = 4
"""Loads in progress at one engine; further loads wait."""

REFUSED_ORDER_PAUSE_MS = 30.0
"""Time without orders after the engine refused one (CONFLICT, FENCED or REJECTED), so that a newer
report is read first."""

FENCE_INCREMENT = 10_000
"""Added to the fencing token each time the engine refuses it as out of date.

A new agent's token is its calendar time in ms, so that a later agent's is higher. The increment,
10 s, outweighs a calendar clock that stepped back.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineCapacity:
    """What an engine can hold: adapters by number, and base models by weight in MB."""

    adapter_slots: int
    memory_mb: float
    weights_mb_by_model: dict[str, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingRequests:
    """Requests that wait for an adapter: lowest priority value, count, least usable version."""

    urgency: int
    requests: int
    version: int = 0


class OrderKind(Enum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderResult(Enum):
    """Result of an order.

    ACCEPTED: the engine carries it out. ALREADY_SO: nothing had to change. CONFLICT: the engine or
    its sequence number is not the expected one, or the order was not sent. FENCED: the fencing
    token is out of date. REJECTED: refused for another reason. UNKNOWN: the order was sent, but its
    result is not known; it may have been carried out.
    """

    ACCEPTED = "accepted"
    ALREADY_SO = "already_so"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineOrder:
    """An order that an engine carries out only if its sequence number is *expected_sequence*.

    *version* is None for the newest version.
    """

    kind: OrderKind
    model: str
    adapter: str
    version: int | None
    expected_sequence: int

    @property
    def adapter_id(self) -> AdapterId:
        """Model and adapter; the adapter is "" for a base model."""
        return self.model, self.adapter


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """An engine's report; a base model is listed in *resident* with the adapter "".

    *started_ms* identifies the engine's incarnation; *sequence* grows with every order carried out.
    With *is_busy* the engine gets no order. *resident* and *loading* map (model, adapter) to a
    version. *limit_per_s* is the rate of requests that the engine accepts, or infinity. *runs*
    holds (request id, tokens in the KV cache, events made) of what runs or is queued there, or None
    if the report doesn't state it, and *run_count* how many these are.
    """

    started_ms: int
    sequence: int
    is_busy: bool
    resident: dict[AdapterId, int]
    loading: dict[AdapterId, int]
    limit_per_s: float = math.inf
    runs: tuple[tuple[str, int, int], ...] | None = None
    run_count: int = 0


@dataclass(slots=True)
class _EntryDemand:
    received_ms: float
    acknowledged_sequence: int = 0
    wanted: dict[AdapterId, WaitingRequests] = field(default_factory=dict)
    in_use: dict[AdapterId, int] = field(default_factory=dict)


@dataclass(slots=True)
class _PendingOrder:
    order: EngineOrder
    expires_ms: float


class AdapterScheduler:
    """Decides the orders to one engine. Times are ms on a monotonic clock.

    *fence* is the fencing token that orders carry.
    """

    __slots__ = (
        "_demand_by_entry",
        "_first_report_ms",
        "_capacity",
        "_paused_until_ms",
        "_pending",
        "_report",
        "_retired_sequence_by_adapter",
        "_last_used_ms_by_adapter",
        "_version_by_adapter",
        "fence",
    )

    def __init__(self, *, fence: int) -> None:
        self.fence = fence
        self._capacity: EngineCapacity | None = None
        self._report: EngineReport | None = None
        self._first_report_ms = 0.0
        self._demand_by_entry: dict[str, _EntryDemand] = {}
        self._version_by_adapter: dict[AdapterId, int] = {}
        # Sequence number of the first broadcast that omits the adapter; None until it was sent.
        self._retired_sequence_by_adapter: dict[AdapterId, int | None] = {}
        self._last_used_ms_by_adapter: dict[AdapterId, float] = {}
        self._pending: _PendingOrder | None = None
        self._paused_until_ms = 0.0

    # Queries

    @property
    def report(self) -> EngineReport | None:
        """The newest report of this incarnation, or None."""
        return self._report

    def usable_adapters(self) -> dict[AdapterId, int]:
        """Return the versions in the newest report that entries may use: those not retired."""
        resident = {} if self._report is None else self._report.resident
        return {
            adapter_id: version
            for adapter_id, version in resident.items()
            if adapter_id not in self._retired_sequence_by_adapter
        }

    def is_retiring(self) -> bool:
        """Return whether an eviction waits for acknowledgements of entries."""
        return bool(self._retired_sequence_by_adapter)

    def expects_change(self) -> bool:
        """Return whether an order or a load is in progress, so that reports may change soon."""
        return self._pending is not None or bool(self._report and self._report.loading)

    def spare_slots(self, now_ms: float) -> int:
        """Return how many adapter slots are empty or hold an adapter that no entry needs."""
        if self._capacity is None or self._report is None:
            return 0
        held = self._occupying()
        idle = sum(not self._is_needed(adapter_id, now_ms) for adapter_id in self._evictable())
        return max(0, self._capacity.adapter_slots - len(held)) + idle

    # Commands

    def set_capacity(self, capacity: EngineCapacity) -> None:
        """Set what the engine can hold."""
        self._capacity = capacity

    def apply_report(self, report: EngineReport, now_ms: float) -> None:
        """Apply a report; one of another incarnation drops orders, retirements and times of use."""
        if self._report is not None and report.started_ms != self._report.started_ms:
            self._pending = None
            self._last_used_ms_by_adapter.clear()
            self._retired_sequence_by_adapter.clear()
        if self._report is None:
            self._first_report_ms = now_ms
        self._report = report
        for adapter_id in set(self._retired_sequence_by_adapter) - report.resident.keys():
            del self._retired_sequence_by_adapter[adapter_id]
        for adapter_id in report.resident:
            self._last_used_ms_by_adapter.setdefault(adapter_id, now_ms)
        if self._pending is not None:
            self._confirm_pending(now_ms)

    def update_demand(
        self,
        entry: str,
        *,
        wanted: dict[AdapterId, WaitingRequests],
        in_use: dict[AdapterId, int],
        acknowledged_sequence: int,
        now_ms: float,
    ) -> None:
        """Replace an entry's demand: what it waits for, and its runs at this engine.

        *acknowledged_sequence* is the last broadcast of this agent that the entry received. A
        restarted entry does not know the runs of its predecessor. They may still be at the engine,
        which evicts only after they have ended.
        """
        self._demand_by_entry[entry] = _EntryDemand(now_ms, acknowledged_sequence, wanted, in_use)
        for adapter_id in (*wanted, *in_use):
            self._last_used_ms_by_adapter[adapter_id] = now_ms
            self._retired_sequence_by_adapter.pop(adapter_id, None)
        for adapter_id, waiting in wanted.items():
            known = self._version_by_adapter.get(adapter_id, 0)
            self._version_by_adapter[adapter_id] = max(known, waiting.version)

    def record_broadcast(self, sequence: int) -> None:
        """Record that the usable adapters were broadcast under this sequence number."""
        for adapter_id, retired_sequence in self._retired_sequence_by_adapter.items():
            if retired_sequence is None:
                self._retired_sequence_by_adapter[adapter_id] = sequence

    def next_order(self, now_ms: float) -> EngineOrder | None:
        """Return the order to send now, or None; one order is in progress at a time."""
        report, capacity = self._report, self._capacity
        if report is None or capacity is None or self._pending is not None:
            return None
        if now_ms < self._paused_until_ms or report.is_busy:
            return None
        order = self._model_order() or self._adapter_order(now_ms)
        if order is not None:
            self._pending = _PendingOrder(order, now_ms + ORDER_CONFIRMATION_TIMEOUT_MS)
        return order

    def apply_result(self, result: OrderResult, now_ms: float) -> None:
        """Apply the result of the order in progress.

        After ACCEPTED, UNKNOWN, or ALREADY_SO for an unload, the order stays in progress until a
        report shows its effect or it times out. A load that was ALREADY_SO ends at once.
        """
        pending = self._pending
        if pending is None:
            return
        if result in (OrderResult.CONFLICT, OrderResult.FENCED, OrderResult.REJECTED):
            self._pending = None
            self._paused_until_ms = now_ms + REFUSED_ORDER_PAUSE_MS
        if result is OrderResult.FENCED:
            self.fence += FENCE_INCREMENT
        if result is OrderResult.ALREADY_SO and pending.order.kind is OrderKind.LOAD:
            self._pending = None

    def _confirm_pending(self, now_ms: float) -> None:
        """Drop the order in progress once a report shows its effect, or it has timed out."""
        pending, report = self._pending, self._report
        order = pending.order
        is_evicted = order.kind is OrderKind.UNLOAD and order.adapter_id not in report.resident
        is_seen = report.sequence > order.expected_sequence or is_evicted
        if is_seen or now_ms >= pending.expires_ms:
            self._pending = None

    def _model_order(self) -> EngineOrder | None:
        """Return a load of the base model with most waiting requests that fits the engine's memory.

        Without waiting requests it is the first model that fits. Returns None if no model fits, one
        is held, or a load is in progress. The last demand of each entry counts, however old it is.
        """
        if any(not adapter for _, adapter in self._report.resident) or self._report.loading:
            return None
        capacity = self._capacity
        counts = {
            model: 0
            for model, weights_mb in capacity.weights_mb_by_model.items()
            if weights_mb <= capacity.memory_mb
        }
        if not counts:
            return None
        for demand in self._demand_by_entry.values():
            for (model, _), waiting in demand.wanted.items():
                if model in counts:
                    counts[model] += waiting.requests
        busiest = max(counts, key=lambda model: counts[model])
        return self._order(OrderKind.LOAD, (busiest, ""), None)

    def _adapter_order(self, now_ms: float) -> EngineOrder | None:
        if len(self._report.loading) >= MAX_CONCURRENT_LOADS:
            return None
        # An adapter is loaded only where its base model is resident.
        missing = [
            adapter_id
            for adapter_id in self._wanted(now_ms)
            if (adapter_id[0], "") in self._report.resident
        ]
        for adapter_id in missing:
            version = self._version_by_adapter.get(adapter_id) or None
            has_free_slot = len(self._occupying()) < self._capacity.adapter_slots
            if adapter_id in self._report.resident or has_free_slot:
                return self._order(OrderKind.LOAD, adapter_id, version)
        return self._eviction_order(len(missing), now_ms) if missing else None

    def _wanted(self, now_ms: float) -> list[AdapterId]:
        """Return the adapters that requests wait for and that are absent or outdated, most urgent
        first."""
        rank_by_adapter: dict[AdapterId, tuple[int, int]] = {}
        for demand in self._demand_by_entry.values():
            if now_ms - demand.received_ms > WANTED_TTL_MS:
                continue
            for adapter_id, waiting in demand.wanted.items():
                urgency, negated_requests = rank_by_adapter.get(adapter_id, (waiting.urgency, 0))
                rank_by_adapter[adapter_id] = (
                    min(urgency, waiting.urgency),
                    negated_requests - waiting.requests,
                )
        missing = [
            adapter_id
            for adapter_id in rank_by_adapter
            if adapter_id[1] and not self._is_current(adapter_id)
        ]
        return sorted(missing, key=lambda adapter_id: (rank_by_adapter[adapter_id], adapter_id))

    def _is_current(self, adapter_id: AdapterId) -> bool:
        if adapter_id in self._report.loading:
            return True
        held = self._report.resident.get(adapter_id)
        return held is not None and held >= self._version_by_adapter.get(adapter_id, 0)

    def _occupying(self) -> set[AdapterId]:
        """Return the adapters that occupy a slot, or may."""
        held = {adapter_id for adapter_id in self._report.resident if adapter_id[1]}
        held |= self._report.loading.keys()
        if self._pending is not None and self._pending.order.kind is OrderKind.LOAD:
            held.add(self._pending.order.adapter_id)
        return held

    def _evictable(self) -> list[AdapterId]:
        return [adapter_id for adapter_id in self._report.resident if adapter_id[1]]

    def _is_needed(self, adapter_id: AdapterId, now_ms: float) -> bool:
        for demand in self._demand_by_entry.values():
            age_ms = now_ms - demand.received_ms
            if adapter_id in demand.in_use and age_ms < IN_USE_TTL_MS:
                return True
            if adapter_id in demand.wanted and age_ms < WANTED_TTL_MS:
                return True
        return False

    def _eviction_order(self, count: int, now_ms: float) -> EngineOrder | None:
        """Retire up to *count* idle adapters; return an eviction if one of them is safe to
        evict."""
        idle = [
            adapter_id
            for adapter_id in self._evictable()
            if not self._is_needed(adapter_id, now_ms)
        ]
        idle.sort(
            key=lambda adapter_id: (self._last_used_ms_by_adapter.get(adapter_id, 0.0), adapter_id)
        )
        for adapter_id in idle[: min(count, MAX_CONCURRENT_LOADS)]:
            self._retired_sequence_by_adapter.setdefault(adapter_id, None)
        for adapter_id in idle:
            if self._is_safe_to_evict(adapter_id, now_ms):
                return self._order(OrderKind.UNLOAD, adapter_id, None)
        return None

    def _is_safe_to_evict(self, adapter_id: AdapterId, now_ms: float) -> bool:
        """Return whether every live entry has acknowledged that the adapter is retired.

        It is False as long as a new agent evicts nothing (`STARTUP_LISTEN_MS`).
        """
        retired_sequence = self._retired_sequence_by_adapter.get(adapter_id)
        if retired_sequence is None or now_ms < self._first_report_ms + STARTUP_LISTEN_MS:
            return False
        return all(
            demand.acknowledged_sequence >= retired_sequence
            for demand in self._demand_by_entry.values()
            if now_ms - demand.received_ms < ENTRY_LIVE_MS
        )

    def _order(self, kind: OrderKind, adapter_id: AdapterId, version: int | None) -> EngineOrder:
        return EngineOrder(
            kind=kind,
            model=adapter_id[0],
            adapter=adapter_id[1],
            version=version,
            expected_sequence=self._report.sequence,
        )
