"""The load that plain endpoints report in their answers.

Guards against requests that queue at an endpoint which other entries have just filled, and against
figures that are missing, malformed, absurd, old, or of another start of the endpoint.
"""

import heapq
import random
import unittest
from collections.abc import Callable

from skylarkrack.core.relay import (
    Call,
    Dispatcher,
    PendingRequest,
    ReportedLoad,
    ReportedLoads,
    Service,
    TablePublished,
    WaitFor,
)
from skylarkrack.core.relay._membership import broadcast_interval_ms
from skylarkrack.core.relay._reported_load import REPORTED_LOAD_TTL_MS
from skylarkrack.platform._headers import MAX_REPORTED_REQUESTS, PlatformCodec
from standins.platform_worker import PlatformWorker, answer, refusal
from tests.platform_builders import EntryHarness, request
from tests.relay_builders import endpoint, route, table
from tests.test_relay_path import PathTest

KEY = ("10.0.0.1:8001", 1000)


def load(running: int, waiting: int = 0, slowness: float | None = None) -> ReportedLoad:
    """Return the reported load of an endpoint with six slots."""
    return ReportedLoad(running=running, waiting=waiting, slots=6, slowness=slowness)


class TestHeader(unittest.TestCase):
    """`X-Instance-Load` of every form."""

    def decode(self, *values: bytes) -> tuple[ReportedLoad | None, bool]:
        """Return the load in a response with these headers, and whether they were invalid."""
        headers = [(b"x-instance-load", value) for value in values]
        head = PlatformCodec().classify_response(200, headers, "i-1")
        return head.load, head.has_invalid_load

    def test_three_figures(self) -> None:
        for value in (b"4,1,6", b" 4 , 1 , 6 ", b"4 1 6", b"4;1;6", b"4/1/6"):
            with self.subTest(value):
                self.assertEqual(self.decode(value), (load(4, 1), False))

    def test_four_figures(self) -> None:
        self.assertEqual(self.decode(b"4,1,6,100"), (load(4, 1, 1.0), False))
        self.assertEqual(self.decode(b"4,1,6,175.5"), (load(4, 1, 1.755), False))

    def test_no_header(self) -> None:
        self.assertEqual(self.decode(), (None, False))

    def test_malformed_figures_are_ignored_as_a_whole(self) -> None:
        for value in (b"", b"4", b"4,1", b"4,1,6,100,7", b"-4,1,6", b"4,,6", b"4.5,1,6", b"a,b,c",
                      b"4,1,6,", b"4,1,6,nan", b"4,1,6,-5", b"4,1,6,1e3", b"\xb2,1,6"):  # fmt: skip
            with self.subTest(value):
                self.assertEqual(self.decode(value), (None, True))

    def test_absurd_figures_are_ignored_as_a_whole(self) -> None:
        too_many = str(MAX_REPORTED_REQUESTS + 1).encode()
        for value in (too_many + b",0,6", b"0," + too_many + b",6", b"4,1,0", b"4,1,6,0",
                      b"4,1,6,10001", b"999999999999,1,6"):  # fmt: skip
            with self.subTest(value):
                self.assertEqual(self.decode(value), (None, True))


class TestReportedLoads(unittest.TestCase):
    """What one entry makes of the figures."""

    def test_own_sends_and_ends_since_are_counted(self) -> None:
        reported = ReportedLoads()
        reported.record(KEY, load(5, 2), 3, 0.0)
        self.assertEqual(reported.runs(KEY, 3, 1.0), 7)
        self.assertEqual(reported.runs(KEY, 5, 1.0), 9)
        self.assertEqual(reported.runs(KEY, 0, 1.0), 4)

    def test_old_figures_are_not_used(self) -> None:
        reported = ReportedLoads()
        reported.record(KEY, load(5, 2), 0, 0.0)
        self.assertEqual(reported.runs(KEY, 0, REPORTED_LOAD_TTL_MS - 1), 7)
        self.assertEqual(reported.runs(KEY, 0, REPORTED_LOAD_TTL_MS), 0)

    def test_the_newest_figures_replace_the_others(self) -> None:
        reported = ReportedLoads()
        reported.record(KEY, load(5, 2), 0, 0.0)
        reported.record(KEY, load(1), 0, 1.0)
        self.assertEqual(reported.runs(KEY, 0, 1.0), 1)

    def test_fewer_than_the_own_runs_are_not_below_zero(self) -> None:
        reported = ReportedLoads()
        reported.record(KEY, load(0), 4, 0.0)
        self.assertEqual(reported.runs(KEY, 0, 0.0), 0)

    def test_another_start_of_the_endpoint_has_its_own(self) -> None:
        reported = ReportedLoads()
        reported.record(KEY, load(6, 6), 0, 0.0)
        self.assertEqual(reported.runs((KEY[0], 2000), 0, 0.0), 0)
        reported.keep_only({(KEY[0], 2000)})
        self.assertEqual(reported.runs(KEY, 0, 0.0), 0)

    def test_invalid_figures_are_reported_once(self) -> None:
        reported = ReportedLoads()
        self.assertTrue(reported.record_invalid(KEY))
        self.assertFalse(reported.record_invalid(KEY))


class TestAnswers(PathTest):
    """Figures in the answers of an endpoint."""

    async def runs_after(self, *replies: object, requests: int = 1) -> tuple[int, object]:
        """Return the runs assumed at the endpoint after its answers, and the entry's metrics."""
        worker = PlatformWorker(list(replies))
        async with EntryHarness(worker) as harness:
            for _ in range(requests):
                await harness.send_raw(request())
            reported = harness.entry._dispatcher.reported_loads
            runs, _ = reported._report_by_key.get((worker.address, 1000), (0, 0.0))
            return runs, harness.entry._context.metrics

    async def test_the_request_that_was_answered_is_not_counted(self) -> None:
        runs, _ = await self.runs_after(answer(extra="X-Instance-Load: 4,2,6\r\n"))
        self.assertEqual(runs, 5)

    async def test_an_answer_without_proof_is_ignored(self) -> None:
        reply = answer(sealed=False, extra="X-Instance-Load: 4,2,6\r\n")
        runs, _ = await self.runs_after(reply)
        self.assertEqual(runs, 0)

    async def test_another_endpoint_at_the_address_is_ignored(self) -> None:
        extra = "X-Instance-Id: another\r\nX-Instance-Load: 4,2,6\r\n"
        runs, _ = await self.runs_after(refusal("421 Misdirected Request", extra=extra))
        self.assertEqual(runs, 0)

    async def test_malformed_figures_are_counted(self) -> None:
        runs, metrics = await self.runs_after(answer(extra="X-Instance-Load: many\r\n"), requests=3)
        self.assertEqual(runs, 0)
        self.assertEqual(metrics.counter("rejected_loads_total", "desk"), 3)

    async def test_the_fourth_figure_is_the_speed(self) -> None:
        worker = PlatformWorker([answer(extra="X-Instance-Load: 4,2,6,250\r\n")])
        async with EntryHarness(worker) as harness:
            await harness.send_raw(request())
            figures = harness.entry._dispatcher.speeds._figure_by_key
            self.assertEqual(figures[worker.address, 1000].slowness, 2.5)


class TestPlacement(unittest.TestCase):
    """An endpoint that others have filled gets no request, before their messages tell it."""

    def _entry(self) -> tuple[Dispatcher, PendingRequest]:
        entry = _dispatcher(2)
        return entry, _request(0.0, 800.0)

    def test_the_endpoint_with_the_least_remaining_work_is_chosen(self) -> None:
        entry, pending = self._entry()
        for one, running in zip(entry.directory.of_service("desk"), (6, 1), strict=True):
            entry.record_reported_load(one.key, load(running), 0.0)
        self.assertEqual(entry.decide(pending, 0.0).endpoint.endpoint_id, "e2")
        for one, running in zip(entry.directory.of_service("desk"), (1, 6), strict=True):
            entry.record_reported_load(one.key, load(running), 0.0)
        self.assertEqual(entry.decide(pending, 0.0).endpoint.endpoint_id, "e1")

    def test_the_higher_of_the_report_and_the_entries_counts(self) -> None:
        entry, pending = self._entry()
        first, _ = entry.directory.of_service("desk")
        entry.record_reported_load(first.key, load(0), 0.0)
        for _ in range(6):
            entry.load.start_run(first.key, tokens=0)
        entry.reported_loads.record(first.key, load(0), 6, 0.0)
        self.assertEqual(entry.decide(pending, 0.0).endpoint.endpoint_id, "e2")

    def test_a_slow_machine_with_few_requests_is_not_chosen(self) -> None:
        entry, pending = self._entry()
        figures = (load(1, slowness=3.0), load(3, slowness=1.0))
        for one, reported in zip(entry.directory.of_service("desk"), figures, strict=True):
            entry.record_reported_load(one.key, reported, 0.0)
        self.assertEqual(entry.decide(pending, 0.0).endpoint.endpoint_id, "e2")

    def test_full_endpoints_are_waited_for(self) -> None:
        entry, pending = self._entry()
        for one in entry.directory.of_service("desk"):
            entry.record_reported_load(one.key, load(6, 6), 0.0)
        self.assertIsInstance(entry.decide(pending, 0.0), WaitFor)


def _dispatcher(endpoints: int) -> Dispatcher:
    made = Dispatcher(domain="east")
    service = Service(name="desk", max_connections=100)
    made.observe(TablePublished(table=table(service_by_name={"desk": service})))
    for number in range(1, endpoints + 1):
        made.directory.put(endpoint(f"e{number}", service="desk", slots=6))
    return made


def _request(now_ms: float, timeout_ms: float) -> PendingRequest:
    return PendingRequest(
        call=Call(request_id="r", arrived_ms=now_ms, patience_ms=timeout_ms, need=None),
        route=route("fees", is_stream=False, shares=(("desk", 1.0),), objective_ms=132.0),
        service_name="desk",
        priority=1,
        deadline_ms=now_ms + timeout_ms,
    )


class PlainFleet:
    """Entries before three plain endpoints of six slots that report their load. Times are ms.

    A request takes *run_ms* times *slowness_at* its start. *took_ms* holds the time of each request
    from its arrival to its answer.
    """

    def __init__(
        self, entries: int, *, seed: int, run_ms: float, slowness_at: Callable, reports: bool
    ) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.took_ms: list[float] = []
        self.refused = 0
        self._run_ms, self._slowness_at, self._reports = run_ms, slowness_at, reports
        self._entries = [_dispatcher(3) for _ in range(entries)]
        self._keys = [one.key for one in self._entries[0].directory.of_service("desk")]
        self._running = dict.fromkeys(self._keys, 0)
        self._queue: dict[tuple, list] = {key: [] for key in self._keys}
        self._events: list = []
        self._count = 0

    def play(self, until_ms: float, requests_at: Callable[[float], int]) -> None:
        """Play until a time; *requests_at* returns the requests that arrive in a ms."""
        for number, entry in enumerate(self._entries):
            self._after(self.rng.uniform(0, 100), self._broadcast, number, entry)
        while self.now_ms < until_ms:
            for _ in range(requests_at(self.now_ms)):
                entry = self.rng.choice(self._entries)
                self._place(entry, _request(self.now_ms, 800.0))
            while self._events and self._events[0][0] <= self.now_ms:
                _, _, call, arguments = heapq.heappop(self._events)
                call(*arguments)
            self.now_ms += 1.0

    def _after(self, delay_ms: float, call: Callable, *arguments: object) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, call, arguments))

    def _broadcast(self, number: int, entry: Dispatcher) -> None:
        loads = entry.own_loads(self.now_ms)
        for other in self._entries:
            if other is not entry and self.rng.random() > 0.02:
                self._after(2.0, other.receive_loads, f"n{number}", loads, self.now_ms)
        interval_ms = broadcast_interval_ms(len(self._entries) - 1)
        self._after(interval_ms, self._broadcast, number, entry)

    def _place(self, entry: Dispatcher, pending: PendingRequest) -> None:
        decision = entry.decide(pending, self.now_ms)
        if isinstance(decision, WaitFor):
            entry.add_waiting(pending, decision)
            self._after(25.0, self._wake, entry)
        else:
            self._carry_out(entry, pending, decision)

    def _wake(self, entry: Dispatcher) -> None:
        for pending, decision in entry.take_ready(self.now_ms):
            self._carry_out(entry, pending, decision)
        if entry.waiting_count():
            self._after(25.0, self._wake, entry)

    def _carry_out(self, entry: Dispatcher, pending: PendingRequest, decision: object) -> None:
        if not hasattr(decision, "endpoint"):
            self.refused += 1
            return
        key = decision.endpoint.key
        entry.load.start_run(key, tokens=0)
        self._after(1.0, self._arrive, key, (entry, pending, self.now_ms, decision.endpoint))

    def _arrive(self, key: tuple, job: tuple) -> None:
        if self._running[key] < 6:
            self._begin(key, job)
        else:
            self._queue[key].append(job)

    def _begin(self, key: tuple, job: tuple) -> None:
        self._running[key] += 1
        slowness = self._slowness_at(self._keys.index(key), self.now_ms)
        self._after(self._run_ms * slowness * self.rng.uniform(0.8, 1.2), self._end, key, job)

    def _end(self, key: tuple, job: tuple) -> None:
        slowness = self._slowness_at(self._keys.index(key), self.now_ms)
        figures = load(self._running[key], len(self._queue[key]), slowness)
        self._running[key] -= 1
        if self._queue[key]:
            self._begin(key, self._queue[key].pop(0))
        self._after(1.0, self._answer, key, job, figures)

    def _answer(self, key: tuple, job: tuple, figures: ReportedLoad) -> None:
        entry, pending, sent_ms, known = job
        if self._reports:
            entry.record_reported_load(key, figures, self.now_ms)
        latency_ms = self.now_ms - sent_ms
        entry.health.record_response(key, latency_ms, self.now_ms)
        entry.record_latency(known, latency_ms, self.now_ms)
        entry.load.end_run(key, tokens=0)
        self.took_ms.append(self.now_ms - pending.call.arrived_ms)


LATE_SHARE = 0.01
"""Most requests that may be late at the load of a usual day with bursts."""


class TestPlainFleet(unittest.TestCase):
    """Bursts at three endpoints, one of which is slow for 5 s; messages are lost.

    At the load of a usual day few are late. At four times that load no more are late than without
    the reports, and where entries are many, half as many.
    """

    def _late(
        self, entries: int, seed: int, *, per_ms: float, slowness: float, reports: bool
    ) -> float:
        fleet = PlainFleet(
            entries,
            seed=seed,
            run_ms=22.5,
            slowness_at=lambda number, ms: (slowness if number == 0 and 2000 <= ms < 7000 else 1.0),
            reports=reports,
        )
        # Every second a burst of 30 requests within 30 ms.
        fleet.play(9000.0, lambda ms: int(fleet.rng.random() < per_ms) + int(ms % 1000 < 30))
        late = sum(took_ms > 132.0 for took_ms in fleet.took_ms) + fleet.refused
        return late / (len(fleet.took_ms) + fleet.refused)

    def _heavy(self, entries: int, *, reports: bool) -> float:
        return sum(
            self._late(entries, seed, per_ms=0.3, slowness=2.0, reports=reports)
            for seed in (1, 2, 11)
        )

    def _check(self, entries: int) -> None:
        self.assertLessEqual(
            self._late(entries, 11, per_ms=0.075, slowness=3.0, reports=True), LATE_SHARE
        )
        without, with_reports = (self._heavy(entries, reports=known) for known in (False, True))
        self.assertLessEqual(with_reports, without / 2 if entries > 5 else LATE_SHARE)

    def test_five_entries(self) -> None:
        self._check(5)

    def test_twenty_two_entries(self) -> None:
        self._check(22)

    def test_sixty_eight_entries(self) -> None:
        self._check(68)
