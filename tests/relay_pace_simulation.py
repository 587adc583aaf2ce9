"""A simulated fleet before plain endpoints: real decisions of entries, endpoints that keep time."""

import heapq
import random
from collections.abc import Callable

from skylarkrack.core.relay import (
    Call,
    Dispatcher,
    EndpointKey,
    PendingRequest,
    Refuse,
    SendTo,
    Service,
    TablePublished,
    WaitFor,
)
from tests.relay_builders import endpoint, engine_shape, route, table

SLOTS, LATENCY_MS, PATIENCE_MS = 8, 60.0, 1200.0
TICK_MS, WAKE_MS, LOADS_MS = 50.0, 25.0, 100.0
BORN_MS = 1_000_000
"""Calendar time of the start of the endpoints that are there from the beginning."""

Answer = Callable[[float, int, int], float | None]
"""Returns the time of an answer in ms, or None for a failure after 5 ms. It is given the time, the
requests in flight there, and the number of requests that the endpoint got before."""


def usual_answer(now_ms: float, in_flight: int, count: int) -> float:
    """Return the time of an answer of an endpoint that shares its speed above its slots."""
    return LATENCY_MS * max(1.0, in_flight / SLOTS)


class PaceSimulation:
    """Entries before endpoints of one service. Datagrams take 1 to 40 ms, and one in ten is lost.

    With *stream_ms* the endpoints are engines, whose requests run for so long after their first
    event. Requests to an incarnation that was restarted fail. *answer_by_id* replaces the usual
    answers of endpoints. *sent* holds the time, the key, the requests in flight after sending, and
    the widest window of the home within the last half second.
    """

    def __init__(
        self,
        *,
        seed: int,
        entries: int,
        endpoints: int,
        requests_per_s: float,
        answer_by_id: dict[str, Answer] | None = None,
        slots: int = SLOTS,
        stream_ms: float = 0.0,
    ) -> None:
        self.rng, self.now_ms = random.Random(seed), 0.0
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._count = 0
        self.requests_per_s = requests_per_s
        self.answer_by_id = answer_by_id or {}
        self.sent: list[tuple[float, EndpointKey, int, float]] = []
        self.waited_ms: list[float] = []
        self.refused = 0
        self.in_flight: dict[EndpointKey, int] = {}
        self.got: dict[EndpointKey, int] = {}
        self._slots, self._stream_ms = slots, stream_ms
        self._gone: set[EndpointKey] = set()
        self._windows: dict[EndpointKey, list[tuple[float, float]]] = {}
        shape = engine_shape(slots=slots) if stream_ms else None
        desk = Service(name="desk", max_connections=100, engine=shape)
        self.entry_by_vm: dict[str, Dispatcher] = {}
        for number in range(entries):
            made = Dispatcher(domain="east")
            made.observe(TablePublished(table=table(service_by_name={"desk": desk})))
            for one in range(endpoints):
                self._register(made, f"e{one}", BORN_MS, is_first_listing=True)
            self.entry_by_vm[f"n{number}"] = made
        self._set_entries()

    def _set_entries(self) -> None:
        for vm, made in self.entry_by_vm.items():
            made.rate_limits.set_entries(vm, list(self.entry_by_vm), self.now_ms)

    def _register(
        self, entry: Dispatcher, name: str, born_ms: int, *, is_first_listing: bool = False
    ) -> None:
        one = endpoint(name, service="desk", slots=self._slots, started_ms=born_ms)
        entry.directory.put(one)
        entry.paces.record_registration(
            one,
            self.now_ms,
            calendar_ms=BORN_MS + self.now_ms,
            is_first_listing=is_first_listing,
        )

    # Control

    def at(self, at_ms: float, call: Callable, *arguments: object) -> None:
        """Call *call* at a time."""
        self._count += 1
        heapq.heappush(self._events, (at_ms, self._count, call, arguments))

    def start_endpoint(self, name: str) -> EndpointKey:
        """Register a new endpoint, which the entries learn within 0.9 s; return its key."""
        born_ms = BORN_MS + int(self.now_ms)
        for entry in self.entry_by_vm.values():
            self.at(self.now_ms + self.rng.uniform(0, 900), self._register, entry, name, born_ms)
        return endpoint(name, started_ms=born_ms).key

    def stop_endpoint(self, key: EndpointKey) -> None:
        """Let an endpoint leave, which the entries learn within 0.9 s; it still answers."""
        for entry in self.entry_by_vm.values():
            self.at(self.now_ms + self.rng.uniform(0, 900), entry.directory.mark_leaving, key)

    def restart_endpoint(self, name: str, key: EndpointKey) -> EndpointKey:
        """Replace an incarnation by one at the same address; return the key of the new one."""
        self._gone.add(key)
        return self.start_endpoint(name)

    def kill_home(self, key: EndpointKey) -> None:
        """End the home of an endpoint; the others notice it 3 s later."""
        home = next(iter(self.entry_by_vm.values())).rate_limits.home_of(key)
        del self.entry_by_vm[home]
        self.at(self.now_ms + 3000.0, self._set_entries)

    def run(self, until_ms: float) -> None:
        """Play until *until_ms*."""
        if not self.now_ms:
            for vm in self.entry_by_vm:
                self.at(self.rng.uniform(0, TICK_MS), self._tick, vm)
                self.at(self.rng.uniform(0, LOADS_MS), self._send_loads, vm)
                self.at(self.rng.uniform(0, WAKE_MS), self._wake_regularly, vm)
            self.at(1.0, self._arrive)
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now_ms = until_ms

    # Requests

    def _arrive(self) -> None:
        self.at(self.now_ms + self.rng.expovariate(self.requests_per_s / 1000), self._arrive)
        vm = self.rng.choice(list(self.entry_by_vm))
        call = Call(request_id="r", arrived_ms=self.now_ms, patience_ms=PATIENCE_MS, need=None)
        pending = PendingRequest(
            call=call,
            route=route("badges", is_stream=False, objective_ms=200.0),
            service_name="desk",
            priority=1,
            deadline_ms=self.now_ms + PATIENCE_MS,
        )
        self._place(vm, pending)

    def _place(self, vm: str, pending: PendingRequest) -> None:
        entry = self.entry_by_vm[vm]
        decision = entry.decide(pending, self.now_ms)
        if isinstance(decision, WaitFor):
            entry.add_waiting(pending, decision)
            self._ask(vm, decision.key)
        else:
            self._carry_out(vm, pending, decision)

    def _carry_out(self, vm: str, pending: PendingRequest, decision: SendTo | Refuse) -> None:
        entry = self.entry_by_vm[vm]
        if isinstance(decision, Refuse):
            self.refused += 1
            return
        key = decision.endpoint.key
        entry.load.start_run(key, tokens=0)
        if not entry.rate_limits.try_send(key, self.now_ms):
            entry.load.end_run(key, tokens=0)
            pending.tried.add(key)
            self._place(vm, pending)
            return
        self.in_flight[key] = self.in_flight.get(key, 0) + 1
        count = self.got[key] = self.got.get(key, 0) + 1
        self.sent.append((self.now_ms, key, self.in_flight[key], self._widest(key)))
        self.waited_ms.append(self.now_ms - pending.call.arrived_ms)
        if key in self._gone:
            self.at(self.now_ms + 5.0, self._lose, vm, key, pending)
            return
        answer = self.answer_by_id.get(decision.endpoint.endpoint_id, usual_answer)
        took_ms = answer(self.now_ms, self.in_flight[key], count - 1)
        delay_ms = 5.0 if took_ms is None else took_ms * self.rng.uniform(0.9, 1.1)
        self.at(self.now_ms + delay_ms, self._answer, vm, key, self.now_ms, took_ms is not None)

    def _answer(self, vm: str, key: EndpointKey, sent_ms: float, is_success: bool) -> None:
        entry = self.entry_by_vm.get(vm)
        if entry is not None and is_success:
            entry.health.record_response(key, self.now_ms - sent_ms, self.now_ms)
        elif entry is not None:
            entry.health.record_failure(key, self.now_ms)
        if is_success and self._stream_ms:
            stream_ms = self._stream_ms * self.rng.uniform(0.9, 1.1)
            self.at(self.now_ms + stream_ms, self._end, vm, key)
        else:
            self._end(vm, key)

    def _end(self, vm: str, key: EndpointKey) -> None:
        self.in_flight[key] -= 1
        entry = self.entry_by_vm.get(vm)
        if entry is not None:
            entry.load.end_run(key, tokens=0)
            self._wake(vm)

    def _lose(self, vm: str, key: EndpointKey, pending: PendingRequest) -> None:
        self.entry_by_vm[vm].health.record_unreachable(key, self.now_ms)
        self._end(vm, key)
        pending.tried.add(key)
        self._place(vm, pending)

    def _widest(self, key: EndpointKey) -> float:
        home_vm = next(iter(self.entry_by_vm.values())).rate_limits.home_of(key)
        home = self.entry_by_vm.get(home_vm)
        windows = self._windows.setdefault(key, [])
        if home is not None:
            windows.append((self.now_ms, home.pace.window(key)))
        return max((w for ms, w in windows if self.now_ms - ms <= 500.0), default=float("inf"))

    def _wake_regularly(self, vm: str) -> None:
        if vm in self.entry_by_vm:
            self._wake(vm)
            self.at(self.now_ms + WAKE_MS, self._wake_regularly, vm)

    def _wake(self, vm: str) -> None:
        for request, decision in self.entry_by_vm[vm].take_ready(self.now_ms):
            self._carry_out(vm, request, decision)

    # Datagrams

    def _post(self, vm: str, deliver: Callable, *arguments: object) -> None:
        if self.rng.random() > 0.1:
            self.at(self.now_ms + self.rng.uniform(1, 40), self._deliver, vm, deliver, arguments)

    def _deliver(self, vm: str, deliver: Callable, arguments: tuple) -> None:
        if vm in self.entry_by_vm:
            deliver(self.entry_by_vm[vm], *arguments)

    def _send_loads(self, vm: str) -> None:
        entry = self.entry_by_vm.get(vm)
        if entry is None:
            return
        loads = entry.own_loads(self.now_ms)
        for other in self.entry_by_vm:
            if other != vm:
                self._post(other, lambda e: e.receive_loads(vm, loads, self.now_ms))
        interval_ms = min(400.0, LOADS_MS * max(1.0, len(self.entry_by_vm) / 10))
        self.at(self.now_ms + interval_ms, self._send_loads, vm)

    def _tick(self, vm: str) -> None:
        entry = self.entry_by_vm.get(vm)
        if entry is None:
            return
        limits = entry.rate_limits
        reports, notices = entry.pace.advance(self.now_ms, is_home=limits.is_home)
        for report in reports:
            for other in self.entry_by_vm:
                if other != vm:
                    self._post(other, self._receive_report, report)
        for notice in notices:
            self._post(limits.home_of(notice.key), self._receive_notice, vm, notice)
        for key in entry.waiting_by_key():
            self._ask(vm, key)
        self.at(self.now_ms + TICK_MS, self._tick, vm)

    def _receive_report(self, entry: Dispatcher, report: object) -> None:
        entry.paces.receive_report(report, self.now_ms)

    def _receive_notice(self, entry: Dispatcher, sender: str, notice: object) -> None:
        entry.paces.receive_notice(sender, notice, self.now_ms)

    def _ask(self, vm: str, key: EndpointKey) -> None:
        entry = self.entry_by_vm[vm]
        home = entry.rate_limits.ask(key, self.now_ms)
        if home is not None:
            self._post(home, self._grant, home, vm, key, entry.waiting_by_key()[key])

    def _grant(
        self, entry: Dispatcher, home: str, asker: str, key: EndpointKey, waiting: int
    ) -> None:
        answer = entry.rate_limits.grant(
            key, entry=asker, waiting=max(1, waiting), now_ms=self.now_ms
        )
        self._post(asker, self._receive_permit, asker, home, key, *answer)

    def _receive_permit(
        self,
        entry: Dispatcher,
        vm: str,
        home: str,
        key: EndpointKey,
        is_granted: bool,
        wait_ms: float,
        ahead: int,
    ) -> None:
        entry.rate_limits.receive_permit(
            key,
            is_granted=is_granted,
            wait_ms=wait_ms,
            ahead=ahead,
            now_ms=self.now_ms,
            entry=home,
        )
        self._wake(vm)
