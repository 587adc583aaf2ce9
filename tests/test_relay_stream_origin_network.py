"""Take-ups in simulated fleets of 5, 22 and 68 entries, with datagrams that are lost and late.

Endpoints of v1 and v1.1 serve, so a stream that nobody knows must be refused.
"""

import asyncio
import random
import unittest
from collections import Counter

from skylarkrack._clock import local_calendar_s, monotonic_ms
from skylarkrack._errors import Code, RequestRefused
from skylarkrack.core.relay._stream_origins import ORIGIN_TTL_MS, STREAM_KEY_BYTES
from skylarkrack.relay._stream_origin_exchange import MAX_NAME_CHARS
from tests.registration_history_builders import StubHistory
from tests.stream_origin_network import (
    Network,
    SimulatedAgent,
    SimulatedEntry,
    in_virtual_time,
)

SIZES = ((5, 10), (22, 20), (68, 65))
"""Entries and agents."""

STREAMS = 200
PACE_S = 0.004
"""Time between two take-ups, so that one event loop carries the whole fleet."""

LOOK_MS = 250
"""Time between two looks of a simulated entry at the registrations."""

MIN_SHARE = 0.5
"""Share of the take-ups that have to go on, where all new streams begin (the stated target)."""


class TestFleets(unittest.TestCase):
    """All entries, or a part of the fleet, die while streams of two versions run."""

    def build(self, entries: int, agents: int, **network: object) -> None:
        """Build a fleet in which streams begin at random entries."""
        self.rng = random.Random(entries)
        self.network = Network(self.rng, **network)
        self.agents = [f"s{number}" for number in range(agents)]
        for vm in self.agents:
            SimulatedAgent(self.network, vm, clock=monotonic_ms)
        self.entries = [SimulatedEntry(self.network, f"n{number}") for number in range(entries)]
        self.addCleanup(lambda: [entry.tasks.close() for entry in self.entries])

    async def begin(self) -> None:
        """Begin streams, alternately at v1 and v1.1."""
        self.version_by_key = {}
        for number in range(STREAMS):
            key, version = self.rng.randbytes(STREAM_KEY_BYTES), ("v1", "v1.1")[number % 2]
            self.version_by_key[key] = version
            self.rng.choice(self.entries).begin(key, version, monotonic_ms())
        await asyncio.sleep(0.03)

    def restart_entries(self, share: float = 1.0) -> list[SimulatedEntry]:
        """Kill a share of the entries; return the new ones in their places."""
        killed = self.rng.sample(self.entries, round(share * len(self.entries)))
        for entry in killed:
            self.network.kill(entry.peers.own.vm)
            entry.tasks.close()
        born = [SimulatedEntry(self.network, entry.peers.own.vm) for entry in killed]
        self.entries = [entry for entry in self.entries if entry not in killed] + born
        return born

    async def take_up(self) -> Counter:
        """Take each stream up at a random entry; return the results by name."""
        tasks = {}
        for key in self.version_by_key:
            entry = self.rng.choice(self.entries)
            tasks[key] = asyncio.create_task(entry.lookup.find(key, "llm"))
            await asyncio.sleep(PACE_S)
        results = Counter()
        for key, task in tasks.items():
            try:
                origin = await task
            except RequestRefused as refusal:
                self.assertEqual(refusal.code, Code.UNKNOWN_ORIGIN)
                results["refused"] += 1
                continue
            is_right = origin is not None and origin.software_version == self.version_by_key[key]
            results["right" if is_right else "wrong"] += 1
        return results

    @in_virtual_time
    async def test_all_entries_are_killed(self) -> None:
        """Guards against streams that only entries remember."""
        for entries, agents in SIZES:
            with self.subTest(entries=entries):
                self.build(entries, agents)
                await self.begin()
                self.restart_entries()
                self.assertEqual(await self.take_up(), {"right": STREAMS})

    @in_virtual_time
    async def test_half_of_the_entries_are_killed(self) -> None:
        """Guards against take-ups at entries that saw neither the stream nor the kill."""
        for entries, agents in SIZES:
            with self.subTest(entries=entries):
                self.build(entries, agents)
                await self.begin()
                self.restart_entries(0.5)
                self.assertEqual(await self.take_up(), {"right": STREAMS})

    @in_virtual_time
    async def test_datagrams_are_lost_and_late(self) -> None:
        """Guards against a lookup that needs every answer, or takes a late one for another's."""
        for entries, agents in SIZES:
            with self.subTest(entries=entries):
                self.build(entries, agents, loss=0.2, has_late=True)
                await self.begin()
                self.restart_entries()
                results = await self.take_up()
                self.assertEqual(results["wrong"], 0)
                self.assertGreaterEqual(results["right"], MIN_SHARE * STREAMS)

    @in_virtual_time
    async def test_each_question_and_each_answer_is_lost_once(self) -> None:
        """Guards against a stream that is refused for the loss of two datagrams."""
        for entries, agents in SIZES:
            with self.subTest(entries=entries):
                self.build(entries, agents)
                await self.begin()
                self.restart_entries()
                self.network.loses_first = True
                self.assertEqual(await self.take_up(), {"right": STREAMS})

    @in_virtual_time
    async def test_half_of_the_agents_are_killed_as_well(self) -> None:
        """Guards against streams that go on anywhere when both of their keepers are gone."""
        for entries, agents in SIZES:
            with self.subTest(entries=entries):
                self.build(entries, agents)
                await self.begin()
                for vm in self.rng.sample(self.agents, agents // 2):
                    self.network.kill(vm)
                self.restart_entries()
                results = await self.take_up()
                self.assertEqual(results["wrong"], 0)
                self.assertGreaterEqual(results["right"], MIN_SHARE * STREAMS)

    @in_virtual_time
    async def test_new_entries_know_half_of_the_agents(self) -> None:
        """Guards against lookups that ask only where the origin should be."""
        for entries, agents in SIZES:
            with self.subTest(entries=entries):
                self.build(entries, agents)
                await self.begin()
                for entry in self.restart_entries():
                    entry.peers.hidden = set(self.rng.sample(self.agents, agents // 2))
                results = await self.take_up()
                self.assertEqual(results["wrong"], 0)
                self.assertGreaterEqual(results["right"], MIN_SHARE * STREAMS)

    @in_virtual_time
    async def test_the_entries_that_died_knew_few_agents(self) -> None:
        """Guards against lookups at a few agents only: the origins are at others by then."""
        for entries, agents in SIZES:
            with self.subTest(entries=entries):
                self.build(entries, agents)
                for entry in self.entries:
                    entry.peers.hidden = set(self.rng.sample(self.agents, agents * 3 // 4))
                await self.begin()
                self.restart_entries()
                self.assertEqual(await self.take_up(), {"right": STREAMS})

    @in_virtual_time
    async def test_an_agent_is_frozen_and_returns(self) -> None:
        """Guards against a keeper that is silent, and whose answers come after the lookups."""
        for entries, agents in SIZES:
            with self.subTest(entries=entries):
                self.build(entries, agents)
                self.network.frozen = set(self.rng.sample(self.agents, 1))
                await self.begin()
                self.restart_entries()
                self.assertEqual(await self.take_up(), {"right": STREAMS})
                self.network.frozen = set()
                await asyncio.sleep(0.05)
                self.restart_entries()
                self.assertEqual(await self.take_up(), {"right": STREAMS})

    @in_virtual_time
    async def test_a_known_stream_costs_few_datagrams(self) -> None:
        """Guards against a take-up that asks the whole fleet."""
        self.build(68, 65)
        await self.begin()
        self.restart_entries()
        self.network.sent = 0
        await self.take_up()
        # Four agents and eight entries are asked, and each of them answers once.
        self.assertLessEqual(self.network.sent, STREAMS * 2 * (4 + 8))


class TestVersionThatLeft(unittest.TestCase):
    """All entries are new and see old endpoints of v1.1 only; v1 has just left."""

    @in_virtual_time
    async def test_streams_whose_keepers_are_gone_are_refused(self) -> None:
        """Guards against streams of v1 that go on at v1.1 since today's endpoints are old.

        The other agents still hold origins of v1, which show that it served a moment ago.
        """
        for entries, agents in SIZES:
            with self.subTest(entries=entries):
                rng = random.Random(entries)
                network = Network(rng)
                for number in range(agents):
                    SimulatedAgent(network, f"s{number}", clock=monotonic_ms)
                before = SimulatedEntry(network, "n0")
                self.addCleanup(before.tasks.close)
                for _ in range(STREAMS):
                    before.begin(rng.randbytes(STREAM_KEY_BYTES), "v1", monotonic_ms())
                await asyncio.sleep(0.03)
                network.kill("n0")
                fleet = [
                    SimulatedEntry(network, f"n{number}", versions=("v1.1",))
                    for number in range(entries)
                ]
                for entry in fleet:
                    entry.look(monotonic_ms())
                results = Counter()
                for _ in range(STREAMS):
                    # A stream that no agent knows is one whose keepers were killed.
                    lookup = rng.choice(fleet).lookup
                    try:
                        await lookup.find(rng.randbytes(STREAM_KEY_BYTES), "llm")
                    except RequestRefused:
                        results["refused"] += 1
                for entry in fleet:
                    entry.tasks.close()
                self.assertEqual(results, {"refused": STREAMS})

    @in_virtual_time
    async def test_streams_go_on_where_the_agents_know_the_same_version_only(self) -> None:
        """Guards against refusals after a kill of all entries where nothing was released."""
        rng = random.Random(5)
        network = Network(rng)
        for number in range(10):
            SimulatedAgent(network, f"s{number}", clock=monotonic_ms)
        before = SimulatedEntry(network, "n0", versions=("v1",))
        for _ in range(STREAMS):
            before.begin(rng.randbytes(STREAM_KEY_BYTES), "v1", monotonic_ms())
        await asyncio.sleep(0.03)
        network.kill("n0")
        after = SimulatedEntry(network, "n1", versions=("v1",))
        after.exchange.history = StubHistory(("e0", "v1"), remembered_ms=ORIGIN_TTL_MS)
        after.look(monotonic_ms())
        for entry in (before, after):
            self.addCleanup(entry.tasks.close)
        self.assertIsNone(await after.lookup.find(rng.randbytes(STREAM_KEY_BYTES), "llm"))


class TestUnknownStreams(unittest.TestCase):
    """Streams that nobody knows, where all entries see young endpoints of one version."""

    async def results(self, entries: int, followers: int) -> Counter:
        """Take streams up at random entries, *followers* of which have seen the last 30 s."""
        rng = random.Random(entries)
        network = Network(rng, loss=0.1, has_late=True)
        for number in range(10):
            SimulatedAgent(network, f"s{number}", clock=monotonic_ms)
        born_ms = round(local_calendar_s() * 1000)
        fleet = [
            SimulatedEntry(network, f"n{number}", versions=("v1",), born_ms=born_ms)
            for number in range(entries)
        ]
        for number, entry in enumerate(fleet):
            self.addCleanup(entry.tasks.close)
            first_ago_ms = int(ORIGIN_TTL_MS) if number < followers else 0
            for ago_ms in range(first_ago_ms, -1, -LOOK_MS):
                entry.look(monotonic_ms() - ago_ms)
        tasks = []
        for _ in range(STREAMS):
            key = rng.randbytes(STREAM_KEY_BYTES)
            tasks.append(asyncio.create_task(rng.choice(fleet).lookup.find(key, "llm")))
            await asyncio.sleep(PACE_S)
        done = await asyncio.gather(*tasks, return_exceptions=True)
        return Counter("on" if result is None else type(result).__name__ for result in done)

    @in_virtual_time
    async def test_all_entries_were_restarted(self) -> None:
        """Guards against a fleet whose entries vouch for each other after a kill of all."""
        for entries, _ in SIZES:
            with self.subTest(entries=entries):
                self.assertEqual(await self.results(entries, 0), {"RequestRefused": STREAMS})

    @in_virtual_time
    async def test_half_of_the_entries_were_restarted(self) -> None:
        """Guards against refusals at new entries although others followed the registrations."""
        for entries, _ in SIZES:
            with self.subTest(entries=entries):
                results = await self.results(entries, (entries + 1) // 2)
                self.assertGreaterEqual(results["on"], MIN_SHARE * STREAMS)


class TestCertainty(unittest.TestCase):
    """One entry that knows a young endpoint of one version."""

    def setUp(self) -> None:
        born_ms = round(local_calendar_s() * 1000)
        network = Network(random.Random(1))
        self.entry = SimulatedEntry(network, "n1", versions=("v1",), born_ms=born_ms)
        self.addCleanup(self.entry.tasks.close)
        self.now_ms = monotonic_ms()

    def follow(self) -> None:
        """Let the entry have followed the registrations until now for as long as callers wait."""
        for ago_ms in range(int(ORIGIN_TTL_MS), -1, -LOOK_MS):
            self.entry.look(self.now_ms - ago_ms)

    @in_virtual_time
    async def test_an_entry_that_has_just_started_refuses(self) -> None:
        """Guards against an entry that takes the one version that it sees for the only one."""
        self.entry.look(self.now_ms)
        with self.assertRaises(RequestRefused):
            await self.entry.lookup.find(b"key", "llm")

    @in_virtual_time
    async def test_an_entry_that_followed_the_registrations_goes_on(self) -> None:
        """Guards against refusals in a fleet that only adds endpoints."""
        self.follow()
        self.assertIsNone(await self.entry.lookup.find(b"key", "llm"))

    @in_virtual_time
    async def test_an_entry_that_lost_the_registry_refuses(self) -> None:
        """Guards against versions that only the others saw."""
        self.follow()
        self.entry.directory.registry_lost()
        self.entry.exchange.send_due(self.now_ms)
        with self.assertRaises(RequestRefused):
            await self.entry.lookup.find(b"key", "llm")

    @in_virtual_time
    async def test_an_outage_that_only_a_peer_noticed(self) -> None:
        """Guards against an entry that gets the registrations from a reader that missed some."""
        self.follow()
        self.entry.directory.registry_lost()
        self.entry.directory.registry_restored(self.now_ms - 5000.0)
        self.entry.exchange.send_due(self.now_ms)
        with self.assertRaises(RequestRefused):
            await self.entry.lookup.find(b"key", "llm")

    @in_virtual_time
    async def test_another_entry_that_followed_them_is_enough(self) -> None:
        """Guards against refusals of all take-ups at an entry that was restarted alone."""
        network = Network(random.Random(2))
        born_ms = round(local_calendar_s() * 1000)
        old, young = (
            SimulatedEntry(network, vm, versions=("v1",), born_ms=born_ms) for vm in ("n1", "n2")
        )
        for entry in (old, young):
            self.addCleanup(entry.tasks.close)
        self.entry = old
        self.follow()
        self.assertIsNone(await young.lookup.find(b"key", "llm"))

    @in_virtual_time
    async def test_names_of_any_length(self) -> None:
        """Guards against a version that doesn't fit in a datagram and ends the stream or a tick."""
        network = Network(random.Random(3))
        SimulatedAgent(network, "s1", clock=monotonic_ms)
        entry = SimulatedEntry(network, "n1", versions=("v1",))
        for version in ("x" * 100_000, "x" * (MAX_NAME_CHARS + 1), "x" * MAX_NAME_CHARS):
            entry.begin(b"key", version, monotonic_ms())
        await asyncio.sleep(0)
        self.assertEqual(network.sent, 1)


class TestOutOfStep(unittest.TestCase):
    """An entry doesn't see that endpoints of v1.1 join; streams begin there through another entry.

    It has followed the registrations for as long as callers wait, and knows old endpoints of v1. An
    agent answers it that doesn't know the stream, as the stream's keepers are new as well.
    """

    def setUp(self) -> None:
        self.network = Network(random.Random(1))
        SimulatedAgent(self.network, "s1", clock=monotonic_ms)
        self.entry = SimulatedEntry(self.network, "n1", versions=("v1",))
        self.other = SimulatedEntry(self.network, "n2", versions=("v1", "v1.1"))
        for each in (self.entry, self.other):
            self.addCleanup(each.tasks.close)
        self.now_ms = monotonic_ms()

    def follow(self, *, until_ago_ms: int) -> None:
        """Let the entry have followed the registrations until so long ago."""
        for ago_ms in range(int(ORIGIN_TTL_MS) + until_ago_ms, until_ago_ms - 1, -LOOK_MS):
            self.entry.look(self.now_ms - ago_ms)

    async def check_refused(self) -> None:
        with self.assertRaises(RequestRefused):
            await self.entry.lookup.find(b"key", "llm")

    @in_virtual_time
    async def test_an_entry_whose_questions_nobody_answers_refuses(self) -> None:
        # A silent fleet was taken for one that knows of no other version.
        self.follow(until_ago_ms=0)
        self.network.frozen |= {"s1", "n2"}
        await self.check_refused()

    @in_virtual_time
    async def test_an_entry_that_stood_still_refuses(self) -> None:
        # What an entry reads first after a pause is as old as the pause is long.
        self.network.frozen.add("n2")
        self.follow(until_ago_ms=1800)
        self.entry.exchange.send_due(self.now_ms)
        await self.check_refused()

    @in_virtual_time
    async def test_an_entry_with_an_old_list_refuses(self) -> None:
        # The age of the look at the list was taken for that of the list.
        self.network.frozen.add("n2")
        self.follow(until_ago_ms=3000)
        for ago_ms in range(3000, -1, -LOOK_MS):
            self.entry.exchange.send_due(self.now_ms - ago_ms)
        await self.check_refused()

    @in_virtual_time
    async def test_an_entry_that_sees_new_registrations_goes_on(self) -> None:
        self.network.frozen.add("n2")
        self.follow(until_ago_ms=0)
        self.assertIsNone(await self.entry.lookup.find(b"key", "llm"))

    @in_virtual_time
    async def test_another_entry_that_saw_the_version_join_is_enough(self) -> None:
        self.follow(until_ago_ms=0)
        self.other.look(self.now_ms)
        await self.check_refused()
