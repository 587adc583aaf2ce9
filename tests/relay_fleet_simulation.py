"""A simulated fleet: real decisions of entries and agents, engines that only keep time."""

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from skylarkrack.core.relay import (
    AdapterScheduler,
    Call,
    Dispatcher,
    Endpoint,
    EndpointKey,
    EngineCapacity,
    EngineOrder,
    EngineReport,
    EngineState,
    EngineStateReceived,
    EntryIncarnations,
    OrderKind,
    OrderPace,
    OrderResult,
    PendingRequest,
    Refuse,
    SendTo,
    Service,
    TablePublished,
    WaitFor,
    group_by_host,
)
from tests.relay_builders import MODEL, endpoint, engine_shape, need, route, table

SLOTS, PLACES, ADAPTERS = 32, 21, 3000
RUN_MS, RUN_JITTER_MS = 1800.0, 400.0
COLD_LOAD_MS, WARM_LOAD_MS = 250.0, 25.0
DATAGRAM_MS, LATE_DATAGRAM_MS = 2.0, 150.0
DRAIN_MS = 2300.0
EVENT_MS, PROMPT_PAUSE_MS, PROMPT_PAUSE_SHARE = 37.0, 150.0, 0.2
BORN_MS = 1000
"""Calendar time of the beginning, at which all engines start but one that joins."""

WAKE_MS, TICK_MS, POLL_MS = 25.0, 50.0, 12.0


@dataclass(slots=True, eq=False)
class SimulatedEngine:
    """An engine with its agent.

    *limit_at* returns the requests a second that it accepts at a time in ms. *got_ms* are the times
    of the requests and orders that reached it, *recent* the adapters that it has held.
    *eviction_waits_ms* holds for each eviction the time since the adapter was retired.
    *evicted_in_use* are the evicted adapters that had runs.
    """

    key: EndpointKey
    scheduler: AdapterScheduler
    limit_at: Callable[[float], float]
    resident: dict = field(default_factory=dict)
    loading: dict = field(default_factory=dict)
    recent: set = field(default_factory=set)
    pace: OrderPace = field(default_factory=OrderPace)
    sequence: int = 0
    broadcasts: int = 0
    runs: int = 0
    got_ms: list[float] = field(default_factory=list)
    incarnations: EntryIncarnations = field(default_factory=EntryIncarnations)
    runs_by_adapter: Counter = field(default_factory=Counter)
    retired_ms: dict = field(default_factory=dict)
    eviction_waits_ms: list[float] = field(default_factory=list)
    evicted_in_use: list = field(default_factory=list)


@dataclass(slots=True, eq=False)
class SimulatedEntry:
    """An entry; *heard* holds the number of the last broadcast of each engine's agent.

    *starts* distinguishes the processes of its VM. With *is_stopped* it has no process.
    """

    vm: str
    dispatcher: Dispatcher
    heard: dict = field(default_factory=dict)
    starts: int = 1
    is_draining: bool = False
    is_stopped: bool = False


class FleetSimulation:
    """Entries before engines, with a Zipf-like demand for adapters. Times are in ms.

    *limit_at_by_engine* holds the limits of engines, by number; the others have none. *lost* and
    *late* are the shares of datagrams that are lost, and that take `LATE_DATAGRAM_MS`.
    *slowness_at* returns how slow an engine is by its number and a time; without it, streams have
    no events. *speed_messages* counts the messages about that that entries broadcast. *max_gap_ms*
    is the longest pause that the route of the requests states, or None. The last engine starts at
    *joins_ms*, if given, and entries learn of it within 0.9 s. *outcomes*
    holds for each request its arrival, how long it waited, and whether it was sent or refused.
    """

    def __init__(
        self,
        *,
        seed: int,
        entries: int,
        engines: int,
        requests_per_s: float,
        limit_at_by_engine: dict[int, Callable[[float], float]],
        lost: float = 0.0,
        late: float = 0.0,
        slowness_at: Callable[[int, float], float] | None = None,
        max_gap_ms: float | None = None,
        joins_ms: float | None = None,
        slots: int = SLOTS,
        places: int = PLACES,
    ) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._count = 0
        self.outcomes: list[tuple[float, float, str]] = []
        self._requests_per_s = requests_per_s
        self._lost, self._late = lost, late
        self._slowness_at = slowness_at
        self.speed_messages = 0
        known = [endpoint(f"e{n}", slots=slots) for n in range(engines)]
        if joins_ms is not None:
            born_ms = BORN_MS + int(joins_ms)
            known[-1] = endpoint(f"e{engines - 1}", slots=slots, started_ms=born_ms)
        shape = engine_shape(slots=slots, cache_tokens=200_000, adapter_slots=places)
        service = Service(name="engines", max_connections=250, engine=shape)
        self.engines = {}
        for number, one in enumerate(known):
            limit_at = limit_at_by_engine.get(number, lambda ms: math.inf)
            engine = SimulatedEngine(one.key, AdapterScheduler(fence=1), limit_at)
            engine.resident[MODEL, ""] = 1
            engine.scheduler.set_capacity(
                EngineCapacity(
                    adapter_slots=places, memory_mb=200.0, weights_mb_by_model={MODEL: 100.0}
                )
            )
            self.engines[one.key] = engine
        routes = group_by_host([route(max_gap_ms=max_gap_ms)])
        self._table = table(service_by_name={"engines": service}, routes_by_host=routes)
        self._endpoints = known if joins_ms is None else known[:-1]
        self.entries = {}
        for number in range(entries):
            self.entries[f"n{number}"] = SimulatedEntry(f"n{number}", self._dispatcher())
        for entry in self.entries.values() if joins_ms is not None else ():
            seen_ms = joins_ms + self.rng.uniform(0, 900)
            self._after(seen_ms, self._register, entry, known[-1])
        for vm, entry in self.entries.items():
            entry.dispatcher.rate_limits.set_entries(vm, list(self.entries), 0.0)

    def _dispatcher(self) -> Dispatcher:
        made = Dispatcher(domain="east")
        made.observe(TablePublished(table=self._table))
        for one in self._endpoints:
            made.directory.put(one)
            made.paces.record_registration(
                one, self.now_ms, calendar_ms=BORN_MS + self.now_ms, is_first_listing=True
            )
        return made

    def restart(self, vm: str, *, at_ms: float, down_ms: float) -> None:
        """Plan the stop of an entry's process, which first ends its requests, from *at_ms*.

        The next process of its VM starts *down_ms* after the end of this one.
        """
        self._after(at_ms - self.now_ms, self._drain, self.entries[vm], down_ms)

    def _drain(self, entry: SimulatedEntry, down_ms: float) -> None:
        entry.is_draining = True
        self._after(DRAIN_MS, self._stop, entry, down_ms)

    def _stop(self, entry: SimulatedEntry, down_ms: float) -> None:
        if entry.dispatcher.waiting_count() or entry.dispatcher.load.own(self.now_ms):
            self._after(TICK_MS, self._stop, entry, down_ms)
            return
        entry.is_stopped = True
        for key in self.engines:
            for _ in range(2):
                self._send(self._receive_stop, key, entry.vm, str(entry.starts))
        self._after(down_ms, self._start, entry)

    def _start(self, entry: SimulatedEntry) -> None:
        entry.dispatcher, entry.heard = self._dispatcher(), {}
        entry.dispatcher.rate_limits.set_entries(entry.vm, list(self.entries), self.now_ms)
        entry.starts += 1
        entry.is_draining = entry.is_stopped = False

    def _receive_stop(self, key: EndpointKey, vm: str, incarnation: str) -> None:
        engine = self.engines[key]
        if engine.incarnations.stop(vm, incarnation):
            engine.scheduler.entry_stopped(vm, {}, self.now_ms)

    def _send(self, receive: Callable, *arguments: object) -> None:
        """Send a datagram, which may be lost or late."""
        delay_ms = DATAGRAM_MS
        if self._lost or self._late:
            fate = self.rng.random()
            if fate < self._lost:
                return
            if fate < self._lost + self._late:
                delay_ms = LATE_DATAGRAM_MS
        self._after(delay_ms, receive, *arguments)

    def run(self, until_ms: float) -> None:
        """Play until *until_ms*; requests stop arriving two seconds before."""
        for engine in self.engines.values():
            self._after(self.rng.uniform(0, POLL_MS), self._poll, engine)
        for entry in self.entries.values():
            self._after(self.rng.uniform(0, TICK_MS), self._tick, entry)
            self._after(self.rng.uniform(0, WAKE_MS), self._wake_regularly, entry)
        self._after(500.0, self._arrive, until_ms - 2000.0)
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)

    def _after(self, delay_ms: float, call: Callable, *arguments: object) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, call, arguments))

    def _register(self, entry: SimulatedEntry, new: Endpoint) -> None:
        entry.dispatcher.directory.put(new)
        entry.dispatcher.paces.record_registration(
            new, self.now_ms, calendar_ms=BORN_MS + self.now_ms, is_first_listing=False
        )

    # Requests

    def _arrive(self, until_ms: float) -> None:
        vm = self.rng.choice([vm for vm, one in self.entries.items() if not one.is_draining])
        adapter = f"a{min(ADAPTERS, int(self.rng.paretovariate(0.6)))}"
        call = Call(
            request_id="r", arrived_ms=self.now_ms, patience_ms=12_000.0, need=need(adapter)
        )
        pending = PendingRequest(
            call=call,
            route=route(patience_ms=2400.0),
            service_name="engines",
            priority=1,
            deadline_ms=self.now_ms + 12_000.0,
        )
        self._place(self.entries[vm], pending)
        if self.now_ms < until_ms:
            self._after(self.rng.expovariate(self._requests_per_s / 1000), self._arrive, until_ms)

    def _place(self, entry: SimulatedEntry, pending: PendingRequest) -> None:
        decision = entry.dispatcher.decide(pending, self.now_ms)
        if isinstance(decision, WaitFor):
            entry.dispatcher.add_waiting(pending, decision)
            self._send_demand(entry, decision.key)
            if entry.dispatcher.permits_wanted_by_key()[decision.key]:
                self._ask(entry, decision.key)
        else:
            self._carry_out(entry, pending, decision)

    def _carry_out(
        self, entry: SimulatedEntry, pending: PendingRequest, decision: SendTo | Refuse
    ) -> None:
        waited_ms = self.now_ms - pending.call.arrived_ms
        if isinstance(decision, Refuse):
            self.outcomes.append((pending.call.arrived_ms, waited_ms, "refused"))
            return
        key, load = decision.endpoint.key, entry.dispatcher.load
        if not entry.dispatcher.rate_limits.try_send(key, self.now_ms):
            pending.tried.add(key)
            self._place(entry, pending)
            return
        engine = self.engines[key]
        if pending.need.adapter_id not in engine.resident:
            entry.dispatcher.record_missing_adapter(key, pending.need)
            self._place(entry, pending)
            return
        engine.got_ms.append(self.now_ms)
        engine.runs += 1
        engine.runs_by_adapter[pending.need.adapter_id] += 1
        load.start_run(key, tokens=pending.need.tokens, adapter_id=pending.need.adapter_id)
        load.add_prompt(key, pending.need.prompt_tokens, self.now_ms)
        self.outcomes.append((pending.call.arrived_ms, waited_ms, "sent"))
        self._after(50.0, self._answer_begins, entry, engine, self.now_ms, engine.limit_at)
        run_ms = self.rng.uniform(RUN_MS - RUN_JITTER_MS, RUN_MS + RUN_JITTER_MS)
        if self._slowness_at is not None:
            intervals = entry.dispatcher.speeds.intervals_of(decision.endpoint)
            self._after(EVENT_MS, self._event, engine, intervals, self.now_ms + run_ms)
        self._after(run_ms, self._answer_ends, entry, engine, pending)

    def _answer_begins(
        self, entry: SimulatedEntry, engine: SimulatedEngine, sent_ms: float, limit_at: Callable
    ) -> None:
        # The first event comes 50 ms after the request.
        entry.dispatcher.health.record_response(engine.key, 50.0, self.now_ms)
        entry.dispatcher.rate_limits.record_answer(
            engine.key, limit_at(self.now_ms), sent_ms=sent_ms, now_ms=self.now_ms
        )

    def _event(self, engine: SimulatedEngine, intervals: object, end_ms: float) -> None:
        """Send one event of a stream; some come later, since the engine reads prompts."""
        intervals.record(1, self.now_ms)
        number = list(self.engines).index(engine.key)
        interval_ms = EVENT_MS * self._slowness_at(number, self.now_ms)
        interval_ms *= self.rng.uniform(0.9, 1.1)
        if self.rng.random() < PROMPT_PAUSE_SHARE:
            interval_ms += PROMPT_PAUSE_MS
        if self.now_ms + interval_ms < end_ms:
            self._after(interval_ms, self._event, engine, intervals, end_ms)

    def _answer_ends(
        self, entry: SimulatedEntry, engine: SimulatedEngine, pending: PendingRequest
    ) -> None:
        engine.runs -= 1
        engine.runs_by_adapter[pending.need.adapter_id] -= 1
        entry.dispatcher.load.end_run(
            engine.key, tokens=pending.need.tokens, adapter_id=pending.need.adapter_id
        )
        self._wake(entry)

    def _wake_regularly(self, entry: SimulatedEntry) -> None:
        self._wake(entry)
        self._after(WAKE_MS, self._wake_regularly, entry)

    def _wake(self, entry: SimulatedEntry) -> None:
        for request, decision in entry.dispatcher.take_ready(self.now_ms):
            self._carry_out(entry, request, decision)

    # Messages between entries, and to agents

    def _tick(self, entry: SimulatedEntry) -> None:
        self._after(TICK_MS, self._tick, entry)
        if entry.is_stopped:
            return
        own = entry.dispatcher.own_loads(self.now_ms)
        reports = entry.dispatcher.rate_limits.take_reports(self.now_ms)
        for other in self.entries.values():
            if other is not entry:
                self._send(self._receive_loads, other, entry.vm, own)
                for report in reports:
                    self._send(self._receive_report, other, entry.vm, report)
        for report in reports:
            pace = self.engines[report.key].pace
            self._send(pace.set_limit, report.limit_per_s, self.now_ms)
        self._tell_speeds(entry)
        limits = entry.dispatcher.rate_limits
        windows, notices = entry.dispatcher.pace.advance(self.now_ms, is_home=limits.is_home)
        for other in self.entries.values():
            for window in windows if other is not entry else ():
                self._send(self._receive_window, other, window)
        for notice in notices:
            home = self.entries[limits.home_of(notice.key)]
            self._send(self._receive_notice, home, entry.vm, notice)
        for key in self.engines:
            self._send_demand(entry, key)
        for key in entry.dispatcher.permits_wanted_by_key():
            self._ask(entry, key)

    def _tell_speeds(self, entry: SimulatedEntry) -> None:
        reports = entry.dispatcher.speeds.take_reports(self.now_ms)
        if not reports:
            return
        self.speed_messages += 1
        for other in self.entries.values():
            if other is not entry:
                self._send(self._receive_speeds, other, entry.vm, reports)

    def _receive_speeds(self, entry: SimulatedEntry, sender: str, reports: list) -> None:
        for report in reports:
            entry.dispatcher.speeds.receive(sender, report, self.now_ms)

    def _receive_loads(self, entry: SimulatedEntry, sender: str, loads: dict) -> None:
        entry.dispatcher.receive_loads(sender, loads, self.now_ms)

    def _receive_report(self, entry: SimulatedEntry, sender: str, report: object) -> None:
        entry.dispatcher.rate_limits.receive_report(sender, report, self.now_ms)

    def _receive_window(self, entry: SimulatedEntry, window: object) -> None:
        entry.dispatcher.paces.receive_report(window, self.now_ms)

    def _receive_notice(self, entry: SimulatedEntry, sender: str, notice: object) -> None:
        entry.dispatcher.paces.receive_notice(sender, notice, self.now_ms)

    def _ask(self, entry: SimulatedEntry, key: EndpointKey) -> None:
        home = entry.dispatcher.rate_limits.ask(key, self.now_ms)
        if home is not None:
            self._send(self._grant, self.entries[home], entry, key)

    def _grant(self, home: SimulatedEntry, asker: SimulatedEntry, key: EndpointKey) -> None:
        is_granted, wait_ms, ahead = home.dispatcher.rate_limits.grant(
            key,
            entry=asker.vm,
            waiting=max(1, asker.dispatcher.waiting_by_key()[key]),
            now_ms=self.now_ms,
        )
        self._send(self._receive_permit, asker, key, is_granted, wait_ms, ahead)

    def _receive_permit(
        self, entry: SimulatedEntry, key: EndpointKey, is_granted: bool, wait_ms: float, ahead: int
    ) -> None:
        entry.dispatcher.rate_limits.receive_permit(
            key, is_granted=is_granted, wait_ms=wait_ms, ahead=ahead, now_ms=self.now_ms
        )
        self._wake(entry)

    def _send_demand(self, entry: SimulatedEntry, key: EndpointKey) -> None:
        wanted = entry.dispatcher.wanted_at(key)
        in_use = entry.dispatcher.load.own_runs_by_adapter(key, self.now_ms)
        heard = entry.heard.get(key, 0)
        start = str(entry.starts)
        self._send(self._receive_demand, key, entry.vm, start, wanted, in_use, heard)

    def _receive_demand(
        self, key: EndpointKey, vm: str, incarnation: str, wanted: dict, in_use: dict, heard: int
    ) -> None:
        if not self.engines[key].incarnations.accepts(vm, incarnation):
            return
        self.engines[key].scheduler.update_demand(
            vm, wanted=wanted, in_use=in_use, acknowledged_sequence=heard, now_ms=self.now_ms
        )

    # Agents

    def _poll(self, engine: SimulatedEngine) -> None:
        scheduler = engine.scheduler
        report = EngineReport(
            started_ms=1000,
            sequence=engine.sequence,
            is_busy=False,
            resident=dict(engine.resident),
            loading=dict(engine.loading),
        )
        scheduler.apply_report(report, self.now_ms)
        order = scheduler.next_order(self.now_ms) if engine.pace.is_due(self.now_ms) else None
        usable = scheduler.usable_adapters()
        retired = engine.resident.keys() - usable.keys()
        engine.retired_ms = {
            adapter_id: engine.retired_ms.get(adapter_id, self.now_ms) for adapter_id in retired
        }
        self._broadcast(engine, report)
        if order is not None:
            engine.pace.record_order(self.now_ms)
            engine.got_ms.append(self.now_ms)
            engine.sequence += 1
            self._carry_out_order(engine, order)
            scheduler.apply_result(OrderResult.ACCEPTED, self.now_ms)
        self._after(POLL_MS, self._poll, engine)

    def _carry_out_order(self, engine: SimulatedEngine, order: EngineOrder) -> None:
        adapter_id = order.adapter_id
        if order.kind is OrderKind.LOAD:
            engine.loading[adapter_id] = order.version or 1
            self._after(self._load_ms(engine, adapter_id), self._loaded, engine, adapter_id)
            return
        engine.resident.pop(adapter_id, None)
        engine.eviction_waits_ms.append(self.now_ms - engine.retired_ms[adapter_id])
        if engine.runs_by_adapter[adapter_id]:
            engine.evicted_in_use.append(adapter_id)

    def _load_ms(self, engine: SimulatedEngine, adapter_id: tuple) -> float:
        return WARM_LOAD_MS if adapter_id in engine.recent else COLD_LOAD_MS

    def _loaded(self, engine: SimulatedEngine, adapter_id: tuple) -> None:
        engine.resident[adapter_id] = engine.loading.pop(adapter_id)
        engine.recent.add(adapter_id)

    def _broadcast(self, engine: SimulatedEngine, report: EngineReport) -> None:
        engine.broadcasts += 1
        engine.scheduler.record_broadcast(engine.broadcasts)
        state = EngineState(
            received_ms=self.now_ms,
            resident=engine.scheduler.usable_adapters(),
            loading=report.loading,
            spare_slots=engine.scheduler.spare_slots(self.now_ms),
        )
        for entry in self.entries.values():
            self._send(self._receive_state, entry, engine, state, engine.broadcasts)

    def _receive_state(
        self, entry: SimulatedEntry, engine: SimulatedEngine, state: EngineState, number: int
    ) -> None:
        if entry.is_stopped or number < entry.heard.get(engine.key, 0):
            return
        entry.heard[engine.key] = number
        # Entries change what they hold of a state, so each gets its own.
        own = EngineState(
            received_ms=self.now_ms,
            resident=dict(state.resident),
            loading=dict(state.loading),
            spare_slots=state.spare_slots,
        )
        if entry.dispatcher.observe(EngineStateReceived(key=engine.key, state=own)):
            self._wake(entry)
