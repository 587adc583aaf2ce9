"""The adapter places of one engine: what to load, what to evict, and in which order.

One agent decides for one engine. Orders are counted as places from the moment they are sent until
a report shows their effect.

An adapter that an entry uses is never evicted. What entries tell of their use is some milliseconds
old, so an eviction has two steps: the adapter is *retired*, that is, told as no longer held, and it
is evicted once every live entry has said that it heard so and has no run there. An entry that needs
the adapter meanwhile ends its retirement.
"""

from dataclasses import dataclass, field
from enum import Enum

from skylarkrack.core.relay._names import AdapterId

IN_USE_TTL_MS = 20_000.0
"""What a silent entry used stays in use for the longest run that an entry allows."""

WANTED_TTL_MS = 1500.0
"""What a silent entry wanted is forgotten after this."""

ENTRY_LIVE_MS = 2500.0
"""An entry tells something every second; one that is silent for longer is not waited for."""

STARTUP_LISTEN_MS = 500.0
"""A new agent evicts nothing before; entries that hear it for the first time tell at once."""

ORDER_CONFIRMATION_TIMEOUT_MS = 2000.0
"""An order without an answer, or without effect in the reports, is given up after this."""

MAX_CONCURRENT_LOADS = 4
"""Adapters that may be on their way to one engine at a time."""

CONFLICT_PAUSE_MS = 30.0
"""Pause after an order that crossed another change, until a new report was read."""

FENCE_INCREMENT = 10_000
"""Raise of the fencing token after a refusal; more ms than a calendar clock steps."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineCapacity:
    """What an engine can hold: adapters by number, and base models by weight."""

    adapter_places: int
    memory_mb: float
    weights_mb_by_model: dict[str, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingRequests:
    """Requests that wait for an adapter: the most urgent priority, how many, the least version."""

    urgency: int
    requests: int
    version: int = 0


class OrderKind(Enum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderResult(Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    ALREADY_SO = "already_so"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineOrder:
    """An order that only an engine at order number *expected_sequence* carries out.

    *version* is None for the newest.
    """

    kind: OrderKind
    model: str
    adapter: str
    version: int | None
    expected_sequence: int

    @property
    def name(self) -> AdapterId:
        """Model and adapter."""
        return self.model, self.adapter


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """What an engine says of itself; a model stands in *resident* under the adapter ""."""

    started_ms: int
    sequence: int
    is_busy: bool
    resident: dict[AdapterId, int]
    on_the_way: dict[AdapterId, int]


@dataclass(slots=True)
class _EntryDemand:
    heard_ms: float
    heard_sequence: int = 0
    wanted: dict[AdapterId, WaitingRequests] = field(default_factory=dict)
    in_use: dict[AdapterId, int] = field(default_factory=dict)


@dataclass(slots=True)
class _PendingOrder:
    order: EngineOrder
    until_ms: float


class AdapterScheduler:
    """Decides the orders to one engine. Times are ms on a monotonic clock."""

    __slots__ = (
        "_demand_by_entry",
        "_first_report_ms",
        "_limits",
        "_paused_until_ms",
        "_pending",
        "_report",
        "_retired_at_by_name",
        "_used_ms_by_name",
        "_version_by_name",
        "fence",
    )

    def __init__(self, *, fence: int) -> None:
        self.fence = fence
        self._limits: EngineCapacity | None = None
        self._report: EngineReport | None = None
        self._first_report_ms = 0.0
        self._demand_by_entry: dict[str, _EntryDemand] = {}
        self._version_by_name: dict[AdapterId, int] = {}
        self._retired_at_by_name: dict[AdapterId, int | None] = {}
        self._used_ms_by_name: dict[AdapterId, float] = {}
        self._pending: _PendingOrder | None = None
        self._paused_until_ms = 0.0

    # Queries

    @property
    def report(self) -> EngineReport | None:
        """The newest report of this incarnation, or None."""
        return self._report

    def held_for_use(self) -> dict[AdapterId, int]:
        """Return what entries may use, by the newest report: retired adapters are left out."""
        resident = {} if self._report is None else self._report.resident
        return {n: version for n, version in resident.items() if n not in self._retired_at_by_name}

    def is_retiring(self) -> bool:
        """Tell whether an eviction waits for entries to have heard of it."""
        return bool(self._retired_at_by_name)

    def is_expecting(self) -> bool:
        """Tell whether a report may soon show something new."""
        return self._pending is not None or bool(self._report and self._report.on_the_way)

    def spare_places(self, now_ms: float) -> int:
        """Return the places that are empty or hold an adapter that nobody uses."""
        if self._limits is None or self._report is None:
            return 0
        held = self._held()
        idle = sum(not self._is_needed(name, now_ms) for name in self._evictable())
        return max(0, self._limits.adapter_places - len(held)) + idle

    # Commands

    def limits_known(self, limits: EngineCapacity) -> None:
        """Take what the engine can hold."""
        self._limits = limits

    def reported(self, report: EngineReport, now_ms: float) -> None:
        """Take a report; one of another incarnation forgets what was ordered before."""
        if self._report is not None and report.started_ms != self._report.started_ms:
            self._pending = None
            self._used_ms_by_name.clear()
            self._retired_at_by_name.clear()
        if self._report is None:
            self._first_report_ms = now_ms
        self._report = report
        for name in set(self._retired_at_by_name) - report.resident.keys():
            del self._retired_at_by_name[name]
        for name in report.resident:
            self._used_ms_by_name.setdefault(name, now_ms)
        if self._pending is not None:
            self._settle(now_ms)

    def demanded(
        self,
        entry: str,
        *,
        wanted: dict[AdapterId, WaitingRequests],
        in_use: dict[AdapterId, int],
        heard_sequence: int,
        now_ms: float,
    ) -> None:
        """Take what an entry waits for, the runs it has here, and which telling it heard last.

        An entry that was started anew has lost the runs of the one before; those may still be at
        the engine, which waits for their end before it evicts.
        """
        self._demand_by_entry[entry] = _EntryDemand(now_ms, heard_sequence, wanted, in_use)
        for name in (*wanted, *in_use):
            self._used_ms_by_name[name] = now_ms
            self._retired_at_by_name.pop(name, None)
        for name, want in wanted.items():
            known = self._version_by_name.get(name, 0)
            self._version_by_name[name] = max(known, want.version)

    def told(self, sequence: int) -> None:
        """Note that what may be used was told under this number."""
        for name, retired_at in self._retired_at_by_name.items():
            if retired_at is None:
                self._retired_at_by_name[name] = sequence

    def next_order(self, now_ms: float) -> EngineOrder | None:
        """Return the order to send now, or None; its result is due before the next."""
        report, limits = self._report, self._limits
        if report is None or limits is None or self._pending is not None:
            return None
        if now_ms < self._paused_until_ms or report.is_busy:
            return None
        order = self._model_order() or self._adapter_order(now_ms)
        if order is not None:
            self._pending = _PendingOrder(order, now_ms + ORDER_CONFIRMATION_TIMEOUT_MS)
        return order

    def answered(self, result: OrderResult, now_ms: float) -> None:
        """Take what became of the order under way."""
        pending = self._pending
        if pending is None:
            return
        if result in (OrderResult.CONFLICT, OrderResult.FENCED, OrderResult.REJECTED):
            self._pending = None
            self._paused_until_ms = now_ms + CONFLICT_PAUSE_MS
        if result is OrderResult.FENCED:
            self.fence += FENCE_INCREMENT
        if result is OrderResult.ALREADY_SO and pending.order.kind is OrderKind.LOAD:
            self._pending = None

    def _settle(self, now_ms: float) -> None:
        """Drop the order under way once a report shows it, or it can't come any more."""
        pending, report = self._pending, self._report
        order = pending.order
        is_evicted = order.kind is OrderKind.UNLOAD and order.name not in report.resident
        is_seen = report.sequence > order.expected_sequence or is_evicted
        if is_seen or now_ms >= pending.until_ms:
            self._pending = None

    def _model_order(self) -> EngineOrder | None:
        """Return a load of a base model for an engine that holds none."""
        if any(not adapter for _, adapter in self._report.resident) or self._report.on_the_way:
            return None
        limits = self._limits
        counts = {
            model: 0
            for model, weights_mb in limits.weights_mb_by_model.items()
            if weights_mb <= limits.memory_mb
        }
        if not counts:
            return None
        for demand in self._demand_by_entry.values():
            for (model, _), want in demand.wanted.items():
                if model in counts:
                    counts[model] += want.requests
        busiest = max(counts, key=lambda name: counts[name])
        return self._order(OrderKind.LOAD, (busiest, ""), None)

    def _adapter_order(self, now_ms: float) -> EngineOrder | None:
        if len(self._report.on_the_way) >= MAX_CONCURRENT_LOADS:
            return None
        missing = [n for n in self._wanted(now_ms) if (n[0], "") in self._report.resident]
        for name in missing:
            version = self._version_by_name.get(name) or None
            has_place = len(self._held()) < self._limits.adapter_places
            if name in self._report.resident or has_place:
                return self._order(OrderKind.LOAD, name, version)
        return self._eviction(len(missing), now_ms) if missing else None

    def _wanted(self, now_ms: float) -> list[AdapterId]:
        """Return the adapters that are waited for and not held as wanted, the most urgent first."""
        rank_by_name: dict[AdapterId, tuple[int, int]] = {}
        for demand in self._demand_by_entry.values():
            if now_ms - demand.heard_ms > WANTED_TTL_MS:
                continue
            for name, want in demand.wanted.items():
                urgency, negative = rank_by_name.get(name, (want.urgency, 0))
                rank_by_name[name] = min(urgency, want.urgency), negative - want.requests
        missing = [name for name in rank_by_name if name[1] and not self._is_current(name)]
        return sorted(missing, key=lambda name: (rank_by_name[name], name))

    def _is_current(self, name: AdapterId) -> bool:
        if name in self._report.on_the_way:
            return True
        held = self._report.resident.get(name)
        return held is not None and held >= self._version_by_name.get(name, 0)

    def _held(self) -> set[AdapterId]:
        """Return the adapters that take a place, or may."""
        held = {name for name in self._report.resident if name[1]}
        held |= self._report.on_the_way.keys()
        if self._pending is not None and self._pending.order.kind is OrderKind.LOAD:
            held.add(self._pending.order.name)
        return held

    def _evictable(self) -> list[AdapterId]:
        return [name for name in self._report.resident if name[1]]

    def _is_needed(self, name: AdapterId, now_ms: float) -> bool:
        for demand in self._demand_by_entry.values():
            age_ms = now_ms - demand.heard_ms
            if name in demand.in_use and age_ms < IN_USE_TTL_MS:
                return True
            if name in demand.wanted and age_ms < WANTED_TTL_MS:
                return True
        return False

    def _eviction(self, count: int, now_ms: float) -> EngineOrder | None:
        """Return the eviction of an adapter that no entry can use any more; retire *count*."""
        idle = [name for name in self._evictable() if not self._is_needed(name, now_ms)]
        idle.sort(key=lambda name: (self._used_ms_by_name.get(name, 0.0), name))
        for name in idle[: min(count, MAX_CONCURRENT_LOADS)]:
            self._retired_at_by_name.setdefault(name, None)
        for name in idle:
            if self._is_unused_for_sure(name, now_ms):
                return self._order(OrderKind.UNLOAD, name, None)
        return None

    def _is_unused_for_sure(self, name: AdapterId, now_ms: float) -> bool:
        """Tell whether every live entry has heard that the adapter is retired."""
        retired_at = self._retired_at_by_name.get(name)
        if retired_at is None or now_ms < self._first_report_ms + STARTUP_LISTEN_MS:
            return False
        return all(
            demand.heard_sequence >= retired_at
            for demand in self._demand_by_entry.values()
            if now_ms - demand.heard_ms < ENTRY_LIVE_MS
        )

    def _order(self, kind: OrderKind, name: AdapterId, version: int | None) -> EngineOrder:
        return EngineOrder(
            kind=kind,
            model=name[0],
            adapter=name[1],
            version=version,
            expected_sequence=self._report.sequence,
        )
