"""Entries, an agent and a stand-in engine in one process: admission over the loopback.

Guards against requests that wait for grants which never come, and against an engine that gets more
prompts than it reads between two events.
"""

import asyncio
import socket
import unittest
from unittest import mock

from skylarkrack._clock import monotonic_ms
from skylarkrack.core.relay import EngineReport, PromptAdmission
from skylarkrack.core.relay._admission_view import ANSWER_TIMEOUT_MS
from skylarkrack.messages import AdapterDemand, AdmissionRequests
from skylarkrack.relay import EngineAgent
from skylarkrack.relay._admission_agent import AdmissionAgent
from skylarkrack.relay._admission_exchange import AdmissionExchange
from skylarkrack.relay._peers import Peers
from skylarkrack.relay._placement_queue import TICK_MS, PlacementQueue
from skylarkrack.wire import encode_body
from standins.platform_worker import PlatformWorker, stream
from tests.held_clock import STEP_MS, HeldClock
from tests.platform_builders import EntryHarness, as_bytes, config, model_request
from tests.relay_builders import MODEL, endpoint
from tests.test_relay_fleet import FakeEngine, settings, until

MAX_UNGRANTED_MS = 100.0
"""Longest wait of a request for an agent that grants nothing."""


class ReportingEngine(FakeEngine):
    """An engine port whose reports state the runs; *runs* are (request id, tokens, events)."""

    def __init__(self) -> None:
        super().__init__()
        self.held["base", "a1"] = 1
        self.runs: tuple[tuple[str, int, int], ...] = ()

    async def report(self) -> EngineReport:
        """Return a report with the runs."""
        report = await super().report()
        return EngineReport(
            started_ms=report.started_ms,
            sequence=report.sequence,
            is_busy=False,
            resident=report.resident,
            loading={},
            runs=self.runs,
        )


def config_with_gap() -> dict:
    """Return a configuration whose streamed routes state a longest pause."""
    document = config(2)
    for route in document["routes"]:
        if route["kind"] == "streaming":
            route["gap-aim-ms"] = 300
    return document


def calls_of(owner: type, name: str) -> object:
    """Return a patch that counts the calls of a method, which still takes effect."""
    return mock.patch.object(owner, name, autospec=True, side_effect=getattr(owner, name))


class AdmissionFleet:
    """An entry, an agent and a worker; *engine* is what the agent reads."""

    def __init__(self, engine: FakeEngine, *, has_gap: bool = True) -> None:
        self.engine = engine
        self.worker = PlatformWorker([stream(b"id: 1\ndata: a\n\n")])
        self.harness = EntryHarness(self.worker, service="llm")
        self.agent: EngineAgent | None = None
        self._has_gap = has_gap

    async def __aenter__(self) -> "AdmissionFleet":
        await self.harness.__aenter__()
        registry = self.harness.entry.registry
        if self._has_gap:
            registry.table_published(as_bytes(config_with_gap()))
        registry.endpoints_listed([], set())
        self.agent = EngineAgent(
            settings("s1", self.harness.peers, engine=self.worker.address),
            engine=self.engine,
            incarnation="i",
            fence=7,
        )
        await self.agent.start()
        registered = endpoint("e1", service="llm", address=self.worker.address)
        registry.endpoints_listed([registered], set())
        await until(lambda: self.key in self.dispatcher._state_by_key)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.agent.close()
        await self.harness.__aexit__()

    @property
    def key(self) -> tuple[str, int]:
        """The engine."""
        return self.worker.address, 1000

    @property
    def dispatcher(self) -> object:
        """The entry's dispatcher."""
        return self.harness.entry._dispatcher

    def counter(self, name: str, label: str = "") -> float:
        """Return a counter of the entry."""
        return self.harness.entry._context.metrics.counter(name, label)

    def supports(self) -> bool:
        """Return whether the entry asks the agent."""
        return self.dispatcher.admission.supports(self.key, monotonic_ms())

    @property
    def queue(self) -> PlacementQueue:
        """The entry's queue of requests that wait for placement."""
        return self.harness.entry._context.placement_queue

    @property
    def waiting(self) -> int:
        """The number of requests that wait for placement."""
        return len(self.dispatcher._waiting)

    async def send(self, request_id: str = "r1") -> None:
        """Send a request and check that the engine's answer arrives."""
        response = await self.harness.send_raw(model_request(request_id=request_id))
        if b"data: a" not in response:
            raise AssertionError(response)


class TestAdmissionOverSockets(unittest.IsolatedAsyncioTestCase):
    """A request passes through an entry and the agent of its engine."""

    async def test_a_request_is_granted_by_the_agent(self) -> None:
        async with AdmissionFleet(ReportingEngine()) as fleet:
            await until(fleet.supports)
            with HeldClock():
                await fleet.send()
            self.assertEqual(fleet.counter("admission_grants_total", "used"), 1)
            self.assertEqual(fleet.counter("admission_unasked_total"), 0)
            self.assertEqual(fleet.counter("admission_lists_total"), 2)  # The offer and the list.

    async def test_a_request_goes_soon_when_the_agent_answers_and_never_grants(self) -> None:
        async with AdmissionFleet(ReportingEngine()) as fleet:
            await until(fleet.supports)
            with mock.patch.object(PromptAdmission, "decide", return_value=[]):

                await self._check_sent_unasked(fleet, is_answered=True)

    async def test_a_request_goes_soon_when_the_agent_is_silent(self) -> None:
        async with AdmissionFleet(ReportingEngine()) as fleet:
            await until(fleet.supports)
            with (
                mock.patch.object(AdmissionAgent, "receive"),
                mock.patch.object(AdmissionAgent, "announce"),
            ):
                await self._check_sent_unasked(fleet, is_answered=False)
                # The agent is known to be silent: the next one doesn't wait.
                await until(lambda: fleet.dispatcher.admission.is_silent(fleet.key, monotonic_ms()))
                with mock.patch.object(PlacementQueue, "_wait", side_effect=AssertionError):
                    await fleet.send("r2")
            self.assertEqual(fleet.counter("admission_grants_total", "used"), 0)

    async def _check_sent_unasked(self, fleet: AdmissionFleet, *, is_answered: bool) -> None:
        """Check that a request without a grant goes `ANSWER_TIMEOUT_MS` after it began to wait.

        Decisions see a clock that stands still until this test advances it, so a busy machine
        delays the test but not what is decided. The entry's own timer has to decide again within
        `MAX_UNGRANTED_MS`. *is_answered* is whether the agent answers the list.
        """
        lists_before = fleet.counter("admission_lists_total")

        def is_listed() -> bool:
            if fleet.waiting != 1 or fleet.counter("admission_lists_total") == lists_before:
                return False
            view = fleet.dispatcher.admission
            return view.awaits_answer(fleet.key, monotonic_ms()) != is_answered

        with HeldClock() as clock:
            sent = asyncio.create_task(fleet.send())
            self.addCleanup(sent.cancel)
            await until(is_listed)
            clock.advance(ANSWER_TIMEOUT_MS - 1.0)
            fleet.queue._run_pass()
            self.assertEqual((fleet.waiting, fleet.worker.received), (1, []))
            due_s = fleet.queue._timer.when() - asyncio.get_running_loop().time()
            due_ms = round(due_s * 1000, 3)
            self.assertLessEqual(due_ms, TICK_MS)
            self.assertLessEqual(ANSWER_TIMEOUT_MS + due_ms, MAX_UNGRANTED_MS)
            clock.advance(1.0)
            await sent
            self.assertEqual(len(fleet.worker.received), 1)

    async def test_the_adapter_of_a_granted_request_is_in_use_before_its_run_begins(self) -> None:
        # A grant and the retirement of its adapter may be read in one callback, which acknowledged
        # the retirement as if no request needed the adapter.
        async with AdmissionFleet(ReportingEngine()) as fleet:
            await until(fleet.supports)
            with mock.patch.object(PromptAdmission, "decide", return_value=[]), HeldClock():
                sent = asyncio.create_task(fleet.send())
                self.addCleanup(sent.cancel)
                await until(lambda: fleet.waiting == 1)
                ((pending, _),) = fleet.queue._decision_by_request.items()
                with calls_of(Peers, "send") as sends:
                    fleet.queue.receive_grant(fleet.key, pending.number, 1, monotonic_ms())
                    fleet.harness.entry._gossip.send_demand_now(fleet.key)
                demand = sends.call_args.args[1]
                self.assertIsInstance(demand, AdapterDemand)
                self.assertEqual(demand.in_use, [[MODEL, "a1", 1]])
            await sent

    async def test_without_a_longest_pause_no_message_is_sent(self) -> None:
        async with AdmissionFleet(ReportingEngine(), has_gap=False) as fleet:
            with calls_of(AdmissionExchange, "send_offers") as offers:
                await until(lambda: offers.call_count >= 5)
            await fleet.send()
            self.assertEqual(fleet.counter("admission_lists_total"), 0)
            self.assertFalse(fleet.supports())

    async def test_an_engine_whose_report_lacks_the_runs_is_served_as_before(self) -> None:
        engine = FakeEngine()
        engine.held["base", "a1"] = 1
        with calls_of(AdmissionAgent, "receive") as received:
            fleet = await self.enterAsyncContext(AdmissionFleet(engine))
            await until(lambda: received.called)
            with mock.patch.object(PlacementQueue, "_wait", side_effect=AssertionError):
                await fleet.send()
            self.assertFalse(fleet.supports())
            self.assertEqual(fleet.counter("admission_grants_total", "used"), 0)

    async def test_an_agent_of_the_previous_build_rejects_the_offer(self) -> None:
        with mock.patch.object(AdmissionAgent, "receive") as received:
            async with AdmissionFleet(ReportingEngine()) as fleet:
                await until(lambda: received.called)
                with mock.patch.object(PlacementQueue, "_wait", side_effect=AssertionError):
                    await fleet.send()
                self.assertFalse(fleet.supports())

    async def test_malformed_lists_change_nothing(self) -> None:
        rows = ([1], ["x"] * 9, [[]] * 9, [1, "m", "a", 1, 1, 1, "x", 1, 1], [None] * 9, "x", None)
        async with AdmissionFleet(ReportingEngine()) as fleet:
            await until(fleet.supports)
            fields = {"vm": "n9", "address": "127.0.0.1:9", "domain": "east", "passes_on": False}
            limits = {"slots": 99, "cache_tokens": 9, "max_gap_ms": 1.0, "slowness": 100}
            host, port = fleet.agent._settings.peers.split(":")
            lists = []
            for sequence, row in enumerate(rows, 1):
                for place in ("waiting", "sent"):
                    message = AdmissionRequests(
                        **fields,
                        **limits,
                        incarnation="i",
                        sequence=sequence,
                        started_ms=1000,
                        **{"waiting": [], "sent": [], place: [row]},
                    )
                    lists.append(encode_body(message))
            with calls_of(PromptAdmission, "set_limits") as set_limits, HeldClock():
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                    for data in lists:
                        sender.sendto(data, (host, int(port)))
                # The list of this request arrives after those above.
                await fleet.send()
            slots = {call.args[1].slots for call in set_limits.call_args_list}
            self.assertTrue(slots and 99 not in slots, slots)
            self.assertEqual(fleet.counter("admission_grants_total", "used"), 1)

    async def test_a_full_engine_gets_the_request_once_it_has_room(self) -> None:
        engine = ReportingEngine()
        engine.runs = tuple((f"x{n}", 100, 3) for n in range(6))
        async with AdmissionFleet(engine) as fleet:
            await until(fleet.supports)
            with HeldClock() as clock:
                await clock.run(120)
                sent = asyncio.create_task(fleet.send())
                await until(lambda: fleet.waiting == 1)
                await clock.run(200)
                self.assertEqual(fleet.worker.received, [])
                engine.runs = ()
                while not sent.done():
                    await clock.run(STEP_MS)
            await sent
            self.assertEqual(fleet.counter("admission_grants_total", "used"), 1)
