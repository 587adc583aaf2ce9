"""Evacuation of a failure domain by entries that read the store and tell each other.

Guards against requests that reach the endpoints of a failure domain while an operator has it
evacuated, whichever entry gets them and however it learns of the evacuation.
"""

import asyncio
import unittest
from unittest.mock import patch

from skylarkrack._errors import FrameRejected
from skylarkrack.core.relay import PendingRequest, SendTo, _evacuations
from skylarkrack.core.relay._evacuations import (
    NOTICE_INTERVAL_MS,
    NOTICES_ON_CHANGE,
    REWIND_HOLD_MS,
)
from skylarkrack.messages import EngineSnapshot, EvacuationNotice
from skylarkrack.platform._watch import SILENT_AFTER_MS
from skylarkrack.relay._peers import Peers
from skylarkrack.relay._placement_queue import PlacementQueue
from skylarkrack.wire import _codec, decode, encode_body
from standins.platform_store import StoreFaults
from standins.platform_worker import PlatformWorker, answer, resumable
from tests.evacuation_builders import EAST, EvacuationSite, paused_stream, settle
from tests.platform_builders import EntryHarness, engine_report_of, model_request, request
from tests.registration_history_builders import StubHistory
from tests.relay_builders import MODEL
from tests.test_relay_fleet import settings, until
from tests.test_relay_path import EVENTS, is_whole, status_of

REQUESTS = 6


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    """Base of the tests of entries before an endpoint in each of two failure domains."""

    async def start(self, *is_cut_off: bool) -> EvacuationSite:
        """Start a site; *is_cut_off* says for each entry whether it can't read the store."""
        site = await self.enterAsyncContext(EvacuationSite(*is_cut_off))
        await until(lambda: all(self.is_complete(h, len(site.harnesses)) for h in site.harnesses))
        return site

    @staticmethod
    def is_complete(harness: EntryHarness, entries: int) -> bool:
        """Return whether an entry knows the others."""
        return harness.entry.count_entries() == entries

    async def evacuated(self, harness: EntryHarness, *domains: str, seconds: float = 5.0) -> None:
        """Wait until an entry takes just these domains for evacuated."""
        expected = sorted(domains)
        await until(lambda: harness.entry.describe()["evacuated"] == expected, seconds=seconds)

    async def send(self, harness: EntryHarness) -> None:
        """Send requests through an entry, and check that each is answered."""
        for number in range(REQUESTS):
            reply = await harness.send_raw(request(request_id=f"r{number}"))
            self.assertEqual(status_of(reply), 200)


class TestOneEntry(EvacuationTest):
    """One entry that reads the store."""

    async def test_requests_are_not_sent_to_the_evacuated_domain(self) -> None:
        site = await self.start()
        await settle()
        site.store.put(EAST, b"{}")
        await settle()
        await self.send(site.harnesses[0])
        self.assertEqual(site.counts(), (0, REQUESTS))

    async def test_the_domain_is_used_again_after_the_end(self) -> None:
        site = await self.start()
        ended: list = []
        registry = site.harnesses[0].entry.registry
        registry.on_evacuation_ended = lambda keys, now_ms: ended.append(keys)
        site.store.put(EAST, b"not read")
        await self.evacuated(site.harnesses[0], "east")
        self.assertEqual(ended, [])
        site.store.remove(EAST)
        await self.evacuated(site.harnesses[0])
        self.assertEqual(ended, [[(site.east.address, 1000)]])
        await self.send(site.harnesses[0])
        self.assertGreater(site.counts()[0], 0)

    async def test_an_evacuation_that_is_ended_and_begun_again_within_a_second(self) -> None:
        site = await self.start()
        site.store.put(EAST, b"{}")
        await self.evacuated(site.harnesses[0], "east")
        for _ in range(5):
            site.store.remove(EAST)
            site.store.put(EAST, b"{}")
            await asyncio.sleep(0.05)
        await settle()
        await self.send(site.harnesses[0])
        self.assertEqual(site.counts(), (0, REQUESTS))

    async def test_an_end_while_the_endpoints_are_gone(self) -> None:
        site = await self.start()
        ended: list = []
        registry = site.harnesses[0].entry.registry
        registry.on_evacuation_ended = lambda keys, now_ms: ended.append(keys)
        site.store.put(EAST, b"{}")
        await self.evacuated(site.harnesses[0], "east")
        site.store.remove("servers/i-0")
        state = site.harnesses[0].entry.describe
        await until(lambda: state()["endpoints"] == ["i-1"])
        site.store.remove(EAST)
        await self.evacuated(site.harnesses[0])
        self.assertEqual(ended, [[]])
        site.register("east")
        await until(lambda: sorted(state()["endpoints"]) == ["i-0", "i-1"])
        await self.send(site.harnesses[0])
        self.assertGreater(site.counts()[0], 0)

    async def test_an_endpoint_that_registers_in_the_evacuated_domain(self) -> None:
        site = await self.start()
        site.store.put(EAST, b"{}")
        await self.evacuated(site.harnesses[0], "east")
        site.store.remove("servers/i-0")
        state = site.harnesses[0].entry.describe
        await until(lambda: state()["endpoints"] == ["i-1"])
        site.register("east")
        await until(lambda: sorted(state()["endpoints"]) == ["i-0", "i-1"])
        await self.send(site.harnesses[0])
        self.assertEqual(site.counts()[0], 0)

    async def test_all_domains_are_evacuated(self) -> None:
        """Guards against requests that wait, or that are sent there as a last resort."""
        site = await self.start()
        for domain in ("east", "west"):
            site.store.put(f"op/evacuate/{domain}", b"{}")
        await self.evacuated(site.harnesses[0], "east", "west")
        reply = await site.harnesses[0].send_raw(request())
        head, _, body = reply.partition(b"\r\n\r\n")
        self.assertEqual(status_of(reply), 503)
        self.assertIn(b"retry-after: 1.00", head.lower())
        self.assertIn(b"4002", head + body)
        self.assertEqual(site.counts(), (0, 0))

    async def test_a_request_that_was_placed_before_the_evacuation(self) -> None:
        """Guards against a request that had its endpoint, and waited for its connection."""
        site = await self.start()
        harness, place, placed = site.harnesses[0], PlacementQueue.place, []

        async def place_and_evacuate(queue: PlacementQueue, pending: PendingRequest) -> SendTo:
            placement = await place(queue, pending)
            placed.append(placement.endpoint.domain)
            harness.entry.registry.evacuation_published("east", True, revision=99, era=1)
            return placement

        with patch.object(PlacementQueue, "place", place_and_evacuate):
            reply = await harness.send_raw(request())
        self.assertEqual((status_of(reply), placed), (200, ["east", "west"]))
        self.assertEqual(site.counts(), (0, 1))

    async def test_the_store_is_away_after_the_write(self) -> None:
        """Guards against an evacuation that lasts only while the store confirms it."""
        site = await self.start()
        site.store.put(EAST, b"{}")
        await self.evacuated(site.harnesses[0], "east")
        site.store.faults = StoreFaults(status=503)
        await settle(4.0)
        await self.send(site.harnesses[0])
        site.store.faults = StoreFaults()
        await settle(1.0)
        await self.send(site.harnesses[0])
        self.assertEqual(site.counts(), (0, 2 * REQUESTS))

    async def test_the_store_loses_its_history(self) -> None:
        """Guards against a start or an end between the last watch and the new listing."""
        site = await self.start()
        site.store.put("op/evacuate/west", b"{}")
        await self.evacuated(site.harnesses[0], "west")
        site.store.faults = StoreFaults(history_lost=True)
        site.store.put(EAST, b"{}")
        site.store.remove("op/evacuate/west")
        await self.evacuated(site.harnesses[0], "east")

    async def test_the_store_is_restored_from_a_copy_without_the_evacuation(self) -> None:
        site = await self.start()
        revision = site.store.revision
        site.store.put(EAST, b"{}")
        await self.evacuated(site.harnesses[0], "east")
        site.store.rewind(revision)
        await settle(REWIND_HOLD_MS / 2000)
        await self.send(site.harnesses[0])
        self.assertEqual(site.counts(), (0, REQUESTS))
        site.store.put(EAST, b"{}")
        await settle(REWIND_HOLD_MS / 1000)
        await self.send(site.harnesses[0])
        self.assertEqual(site.counts(), (0, 2 * REQUESTS))
        site.store.rewind(revision)
        await self.evacuated(site.harnesses[0])


class TestStreams(unittest.IsolatedAsyncioTestCase):
    """Streams that run in the domain when its evacuation begins."""

    async def play(self, *events: bytes, ends: bool) -> tuple[bytes, int]:
        """Evacuate east after the first event of a stream there, then play its other *events*.

        Returns the caller's response, and how many requests west has received.
        """
        go_on = asyncio.Event()
        east = PlatformWorker([paused_stream(go_on, *events, ends=ends)])
        west = PlatformWorker([resumable(EVENTS, breaks_after=2)])
        async with EntryHarness(east, west, service="llm") as harness:
            # West is known only later, so that the stream begins in east.
            harness.list_workers(east)
            reply = asyncio.create_task(harness.send_raw(model_request("/draft/1")))
            await east.first_received.wait()
            await settle(0.05)
            harness.put_endpoint("i-1", west.address, domain="west")
            harness.entry.registry.evacuation_published("east", True, revision=2, era=1)
            go_on.set()
            received = await reply
            self.assertEqual(len(east.received), 1)
            return received, len(west.received)

    async def test_a_running_stream_goes_on_to_its_end(self) -> None:
        """Guards against streams that are cut by the evacuation."""
        received, elsewhere = await self.play(*EVENTS, ends=True)
        self.assertTrue(is_whole(received))
        self.assertEqual((received.count(b"data:"), elsewhere), (2, 0))

    async def test_a_stream_that_breaks_goes_on_elsewhere(self) -> None:
        received, elsewhere = await self.play(EVENTS[0], ends=False)
        self.assertTrue(is_whole(received))
        self.assertEqual((received.count(b"data:"), elsewhere), (2, 1))

    async def test_a_stream_that_its_caller_takes_up_goes_on_elsewhere(self) -> None:
        east, west = (PlatformWorker([resumable(EVENTS, breaks_after=1)]) for _ in range(2))
        history = StubHistory(("i-0", "v1"), ("i-1", "v1"), remembered_ms=40_000.0)
        async with EntryHarness(east, west, service="llm", history=history) as harness:
            harness.put_endpoint("i-1", west.address, domain="west")
            harness.entry.registry.evacuation_published("east", True, revision=2, era=1)
            taken_up = model_request("/draft/1", headers="Last-Event-ID: 1\r\nResumes: r0\r\n")
            self.assertTrue(is_whole(await harness.send_raw(taken_up)))
            self.assertEqual((len(east.received), len(west.received)), (0, 1))


class TestFleet(EvacuationTest):
    """Several entries of one failure domain before one store; the first one reads it."""

    async def assert_not_sent(self, site: EvacuationSite) -> None:
        """Check that no entry sends requests to east."""
        before = site.counts()[0]
        for harness in site.harnesses:
            await self.send(harness)
        self.assertEqual(site.counts()[0], before)

    async def test_an_entry_that_is_cut_off_from_the_store(self) -> None:
        site = await self.start(False, True, True)
        site.store.put(EAST, b"{}")
        for harness in site.harnesses:
            await self.evacuated(harness, "east")
        await self.assert_not_sent(site)
        site.store.remove(EAST)
        for harness in site.harnesses:
            await self.evacuated(harness)

    async def test_a_reader_whose_view_is_stale(self) -> None:
        """Guards against followers that wait for a reader whose calls are not answered."""
        site = await self.start(True, False, False)
        site.store.put(EAST, b"{}")
        seconds = SILENT_AFTER_MS[next(k for k in SILENT_AFTER_MS if k.value == "publications")]
        for harness in site.harnesses:
            await self.evacuated(harness, "east", seconds=seconds / 1000 + 1)
        await self.assert_not_sent(site)

    async def test_the_reader_dies_before_it_reads_the_write(self) -> None:
        site = await self.start(False, False, False)
        await settle()
        await site.kill(0)
        site.store.put(EAST, b"{}")
        for harness in site.harnesses:
            await self.evacuated(harness, "east")
        await self.assert_not_sent(site)

    async def test_an_entry_that_starts_while_the_store_is_away(self) -> None:
        # Only what is told to a new entry at once counts here, and no repeated notice.
        repeat = patch.object(_evacuations, "REPEAT_MS", 600_000.0)
        repeat.start()
        self.addCleanup(repeat.stop)
        site = await self.start(False, False)
        site.store.put(EAST, b"{}")
        for harness in site.harnesses:
            await self.evacuated(harness, "east")
        await settle(2 * NOTICES_ON_CHANGE * NOTICE_INTERVAL_MS / 1000)
        site.store.faults = StoreFaults(status=503)
        started = await site.add_entry()
        await self.evacuated(started, "east", seconds=2.0)
        await self.assert_not_sent(site)

    async def test_an_entry_that_is_killed_and_comes_back(self) -> None:
        site = await self.start(False, False)
        site.store.put(EAST, b"{}")
        for harness in site.harnesses:
            await self.evacuated(harness, "east")
        await site.kill(1)
        returned = await site.add_entry()
        await self.evacuated(returned, "east", seconds=2.0)
        await self.assert_not_sent(site)

    async def test_all_entries_are_killed_and_come_back(self) -> None:
        """Guards against an evacuation that only entries remember."""
        site = await self.start(False, False)
        site.store.put(EAST, b"{}")
        for harness in site.harnesses:
            await self.evacuated(harness, "east")
        for _ in range(2):
            await site.kill(0)
        for _ in range(2):
            await self.evacuated(await site.add_entry(), "east", seconds=2.0)
        await self.assert_not_sent(site)

    async def test_the_end_reaches_an_entry_that_knows_it_only_from_peers(self) -> None:
        site = await self.start(False, False)
        site.store.put(EAST, b"{}")
        await self.evacuated(site.harnesses[1], "east")
        site.store.faults = StoreFaults(status=503)
        started = await site.add_entry(is_cut_off=True)
        await self.evacuated(started, "east")
        site.store.faults = StoreFaults()
        site.store.remove(EAST)
        await self.evacuated(started, seconds=10.0)


class TestPreviousBuild(unittest.TestCase):
    """Entries of the previous build, which know nothing of evacuations."""

    def test_it_rejects_the_notice_and_reads_the_next_message(self) -> None:
        notice = EvacuationNotice(
            vm="n1",
            address="a:1",
            domain="east",
            passes_on=True,
            evacuations=[["east", True, 1, 2]],
        )
        frame = encode_body(notice)
        self.assertEqual(decode(frame), notice)
        known = {number: kind for number, kind in _codec._TYPE_BY_NUMBER.items() if number < 40}
        with patch.object(_codec, "_TYPE_BY_NUMBER", known), self.assertRaises(FrameRejected):
            decode(frame)


class TestNotices(unittest.IsolatedAsyncioTestCase):
    """What comes by datagram is not trusted to be well formed."""

    async def test_an_invalid_row_changes_nothing(self) -> None:
        rows = (["", True, 1, 2], ["east", 1, 1, 2], ["east", True, "1", 2], ["east", True, 1])
        async with EntryHarness(PlatformWorker([answer()])) as harness:
            peer = Peers(settings("n9"), "entry", on_message=print, on_join=lambda contact: None)
            await peer.start()
            self.addCleanup(peer.close)
            for row in (*rows, ["west", True, 1, 2]):
                peer.send(EvacuationNotice(**peer.sender_fields, evacuations=[row]), harness.peers)
            await until(lambda: harness.entry.describe()["evacuated"])
            self.assertEqual(harness.entry.describe()["evacuated"], ["west"])


class TestDemand(unittest.IsolatedAsyncioTestCase):
    """What the agent of an engine in the evacuated domain is told."""

    async def test_an_agent_gets_no_demand_for_new_loads(self) -> None:
        """Guards against adapters that are loaded for requests which will go elsewhere."""
        worker = PlatformWorker([answer()])
        demands: list = []
        async with EntryHarness(worker, service="llm") as harness:
            agent = Peers(
                settings("s1", harness.peers),
                "agent",
                on_message=lambda message, now_ms: demands.append(message),
                on_join=lambda contact: None,
            )
            await agent.start()
            self.addCleanup(agent.close)
            agent.send(self.snapshot(agent, worker.address), harness.peers)
            harness.entry._context.dispatcher.observe(engine_report_of(worker, "a1"))
            waiting = asyncio.create_task(harness.send_raw(model_request(adapter="a2")))
            await until(lambda: any(getattr(d, "wanted", None) for d in demands))
            harness.entry.registry.evacuation_published("east", True, revision=2, era=1)
            demands.clear()
            self.assertEqual(status_of(await waiting), 503)
            await settle()
            self.assertFalse(any(getattr(d, "wanted", None) for d in demands))

    @staticmethod
    def snapshot(agent: Peers, endpoint: str) -> EngineSnapshot:
        """Return a snapshot of an engine without adapters."""
        return EngineSnapshot(
            vm=agent.own.vm,
            address=agent.own.address,
            incarnation="i",
            sequence=1,
            domain="east",
            endpoint=endpoint,
            started_ms=1000,
            resident={MODEL: [["", 0], ["a1", 1]]},
            on_the_way={},
            spare_places=1,
            is_retiring=False,
        )
