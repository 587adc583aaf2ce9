"""What an entry passes on of the store, and what the others of its failure domain do with it.

The load is a large fleet in which each entry read the store for itself. Guards against changes that
a follower misses: through a lost message, a step of another era, or a change of the reader.
"""

import asyncio
import random
import unittest
from dataclasses import replace

from skylarkrack.core.relay import (
    FeedHistory,
    FeedKind,
    FeedStep,
    ProcessContact,
    StepUse,
    is_reader,
    use_of,
)
from skylarkrack.core.relay._store_feed import REPEATED_STEPS
from skylarkrack.messages import StoreStep
from skylarkrack.relay._store_feed import StoreFeed
from skylarkrack.wire import decode, encode_body
from tests.platform_builders import as_bytes, config, registration
from tests.relay_builders import endpoint
from tests.store_fleet import start_entries, start_store
from tests.test_relay_fleet import until


def contact(vm: str, *, domain: str = "east", passes_on: bool = True) -> ProcessContact:
    """Return an entry."""
    return ProcessContact(
        vm=vm, address=f"{vm}:1", role="entry", domain=domain, passes_on=passes_on
    )


def step(base: int, revision: int, **changes: object) -> FeedStep:
    """Return a step of registrations in era 1."""
    fields = {"kind": FeedKind.REGISTRATIONS, "era": 1, "is_complete": True}
    return FeedStep(base=base, revision=revision, **{**fields, **changes})


class TestReaders(unittest.TestCase):
    """One entry of each failure domain reads the store."""

    def test_one_reader_in_each_domain_whatever_the_size(self) -> None:
        domains = ("a", "b", "c", "d", "e", "f")
        fleet = [contact(f"n{n:04}", domain=domains[n % 6]) for n in range(300)]
        readers = [own for own in fleet if is_reader(own, [c for c in fleet if c != own])]
        self.assertEqual(sorted(reader.domain for reader in readers), list(domains))

    def test_a_fast_link_goes_first(self) -> None:
        slow, fast = contact("n1", passes_on=False), contact("n2")
        self.assertFalse(is_reader(slow, [fast]))
        self.assertTrue(is_reader(fast, [slow]))

    def test_an_entry_alone_reads(self) -> None:
        self.assertTrue(is_reader(contact("n2"), [contact("n1", domain="west")]))


class TestUse(unittest.TestCase):
    """What a follower at revision 10 of era 2 does with a step."""

    def test_rows(self) -> None:
        rows = (
            (step(9, 12, era=1), StepUse.IGNORE),
            (step(1, 2, era=3), StepUse.READ),
            (step(8, 10, era=2), StepUse.KNOWN),
            (step(8, 10, era=2, is_complete=False), StepUse.KNOWN),
            (step(10, 12, era=2), StepUse.APPLY),
            (step(8, 12, era=2), StepUse.APPLY),
            (step(11, 12, era=2), StepUse.READ),
            (step(10, 12, era=2, is_complete=False), StepUse.READ),
        )
        for received, use in rows:
            with self.subTest(received):
                self.assertIs(use_of(received, era=2, revision=10), use)


class TestHistory(unittest.TestCase):
    """The steps of a reader, sent as one."""

    def setUp(self) -> None:
        self.history = FeedHistory()

    def test_a_step_covers_those_before_it(self) -> None:
        self.history.add(step(0, 3, endpoints=(endpoint("e1"), endpoint("e2"))))
        merged = self.history.add(step(3, 5, endpoints=(endpoint("e3"),), removed=("e1",)))
        self.assertEqual((merged.base, merged.revision), (0, 5))
        self.assertEqual([e.endpoint_id for e in merged.endpoints], ["e2", "e3"])
        self.assertEqual(merged.removed, ("e1",))

    def test_a_registration_that_follows_a_removal_counts(self) -> None:
        self.history.add(step(0, 3, endpoints=(endpoint("e1"),)))
        self.history.add(step(3, 5, removed=("e1",)))
        merged = self.history.add(step(5, 6, endpoints=(endpoint("e1"),)))
        self.assertEqual([e.endpoint_id for e in merged.endpoints], ["e1"])
        self.assertEqual(merged.removed, ())

    def test_heartbeats_without_a_change_are_left_out(self) -> None:
        for number in range(4):
            merged = self.history.add(step(number, number + 1, endpoints=(endpoint("e1"),)))
        self.assertEqual(merged.endpoints, ())

    def test_steps_that_do_not_continue_are_not_joined(self) -> None:
        self.history.add(step(0, 3, endpoints=(endpoint("e1"),)))
        self.assertEqual(self.history.add(step(7, 9)).base, 7)
        self.assertEqual(self.history.add(step(9, 11, era=2)).base, 9)

    def test_a_registration_counts_again_after_a_listing(self) -> None:
        # It was left out as told before, though the followers' listings lacked it.
        gaps = {
            "the store was restored": step(3, 4, era=2),
            "history was lost": step(8, 9),
            "another entry read meanwhile": step(5, 6),
        }
        for name, following in gaps.items():
            with self.subTest(name):
                history = FeedHistory()
                history.add(step(0, 3, endpoints=(endpoint("e1"),)))
                history.add(following)
                again = step(following.revision, following.revision + 1, era=following.era)
                merged = history.add(replace(again, endpoints=(endpoint("e1"),)))
                self.assertEqual([e.endpoint_id for e in merged.endpoints], ["e1"])

    def test_a_registration_that_ended_and_returned_within_a_step_counts(self) -> None:
        # A follower may have listed the endpoints between the two.
        self.history.add(step(0, 1, endpoints=(endpoint("e1"),)))
        for base in range(1, REPEATED_STEPS):
            self.history.add(step(base, base + 1))
        base = REPEATED_STEPS
        again = step(base, base + 2, endpoints=(endpoint("e1"),), removed=("e1",))
        merged = self.history.add(again)
        self.assertEqual([e.endpoint_id for e in merged.endpoints], ["e1"])
        self.assertEqual(merged.removed, ())

    def test_any_followers_know_what_the_store_holds(self) -> None:
        """Followers list and miss steps at any time, and readers change, list and are restored."""
        for seed in range(200):
            with self.subTest(seed=seed):
                SimulatedFeed(random.Random(seed)).run(self)

    def test_one_incomplete_step_makes_the_whole_incomplete(self) -> None:
        self.history.add(step(0, 3, is_complete=False))
        self.assertFalse(self.history.add(step(3, 5)).is_complete)


class SimulatedFeed:
    """A store, two entries that take turns as its reader, and three that follow them."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.era, self.revision = 1, 0
        # The writes of the era so far, and what older copies of the store hold.
        self.writes: list[tuple[int, str, bool]] = []
        self.history_by_reader = {name: FeedHistory() for name in ("n1", "n2")}
        self.read_by_reader = {"n1": (0, 0), "n2": (0, 0)}
        self.view_by_follower = {name: (0, 0, set()) for name in ("n3", "n4", "n5")}

    def registered(self) -> set[str]:
        """Return the endpoints that the store holds."""
        ids: set[str] = set()
        for _, endpoint_id, is_put in self.writes:
            (ids.add if is_put else ids.discard)(endpoint_id)
        return ids

    def run(self, test: unittest.TestCase) -> None:
        """Play fifty events; a follower that is as far as the store has to hold what it holds."""
        for _ in range(50):
            self.write()
            event = self.rng.random()
            if event < 0.06:
                self.restore()
            elif event < 0.12:
                self.read_by_reader[self.rng.choice(["n1", "n2"])] = (0, 0)
            elif event < 0.2:
                name = self.rng.choice(list(self.view_by_follower))
                self.view_by_follower[name] = (0, 0, set())
            self.read("n1" if self.rng.random() < 0.8 else "n2")
            for name, (era, revision, ids) in self.view_by_follower.items():
                if (era, revision) == (self.era, self.revision):
                    test.assertEqual(ids, self.registered(), name)

    def write(self) -> None:
        """Register endpoints, mostly again, or end a registration."""
        for _ in range(self.rng.randrange(3)):
            self.revision += 1
            is_put = self.rng.random() < 0.7
            self.writes.append((self.revision, f"e{self.rng.randrange(4)}", is_put))

    def restore(self) -> None:
        """Restore the store from an older copy."""
        self.era += 1
        self.writes = self.writes[: max(0, len(self.writes) - self.rng.randrange(6))]
        self.revision = self.writes[-1][0] if self.writes else 0

    def read(self, reader: str) -> None:
        """Let a reader list, or pass on what changed, which some followers miss."""
        era, base = self.read_by_reader[reader]
        self.read_by_reader[reader] = (self.era, self.revision)
        if era == self.era and base <= self.revision:
            changes = [write for write in self.writes if write[0] > base]
            by_id = {endpoint_id: is_put for _, endpoint_id, is_put in changes}
            merged = self.history_by_reader[reader].add(
                step(
                    base,
                    self.revision,
                    era=self.era,
                    endpoints=tuple(endpoint(name) for name, is_put in by_id.items() if is_put),
                    removed=tuple({name: None for _, name, is_put in changes if not is_put}),
                )
            )
            for name in self.view_by_follower:
                if self.rng.random() < 0.8:
                    self.follow(name, merged)

    def follow(self, name: str, merged: FeedStep) -> None:
        """Let a follower use a step as its watcher does; it lists where it has to read."""
        era, revision, ids = self.view_by_follower[name]
        use = use_of(merged, era=era, revision=revision)
        if use is StepUse.READ:
            self.view_by_follower[name] = (self.era, self.revision, self.registered())
        elif use is StepUse.APPLY:
            ids = ids | {each.endpoint_id for each in merged.endpoints}
            self.view_by_follower[name] = (era, merged.revision, ids - set(merged.removed))


class TestFeed(unittest.IsolatedAsyncioTestCase):
    """A reader's message arrives as the step that it was."""

    async def test_a_step_survives_the_wire(self) -> None:
        sent: list[StoreStep] = []
        reader = StoreFeed(contact("n1"), list_entries=lambda: [contact("n2")], send=sent.append)
        other = StoreFeed(contact("n2"), list_entries=lambda: [contact("n1")], send=sent.append)
        published = step(
            3,
            7,
            endpoints=(endpoint("e1", adapters_by_model={"m": {"a": 1}}),),
            removed=("e2",),
            versions=(("m", "a1", 2),),
        )
        reader.publish(published)
        other.publish(published)
        self.assertEqual(len(sent), 1)
        other.receive(decode(encode_body(sent[0])))
        received = await other.next_step(FeedKind.REGISTRATIONS, timeout_ms=1000)
        self.assertEqual(received, published)
        self.assertIsNone(await other.next_step(FeedKind.REGISTRATIONS, timeout_ms=1))

    async def test_a_late_step_does_not_replace_a_newer_one(self) -> None:
        sent: list[StoreStep] = []
        for vm in ("n1", "n2"):
            # Each takes itself for the reader, as in the moments after a member returned.
            reader = StoreFeed(contact(vm), list_entries=list, send=sent.append)
            reader.publish(step(3, 7, removed=("e2",)) if vm == "n1" else step(2, 3))
        other = StoreFeed(contact("n3"), list_entries=list, send=sent.append)
        for message in sent:
            other.receive(decode(encode_body(message)))
        received = await other.next_step(FeedKind.REGISTRATIONS, timeout_ms=1000)
        self.assertEqual((received.base, received.revision), (3, 7))

    async def test_a_requested_read_ends_the_wait(self) -> None:
        feed = StoreFeed(contact("n1"), list_entries=list, send=lambda message: None)
        asyncio.get_running_loop().call_soon(feed.request_read)
        async with asyncio.timeout(5):
            step_or_none = await feed.next_step(FeedKind.PUBLICATIONS, timeout_ms=60_000)
        self.assertIsNone(step_or_none)


class TestFleet(unittest.IsolatedAsyncioTestCase):
    """Four entries of one failure domain before one store."""

    async def asyncSetUp(self) -> None:
        self.platform = await start_store()
        self.addAsyncCleanup(self.platform.close)
        self.entries, self.watchers = await start_entries(self.platform, 4)
        self.addAsyncCleanup(self.stop, *range(4))
        await until(lambda: all(e.count_entries() == 4 for e in self.entries))

    async def stop(self, *numbers: int) -> None:
        """Stop some of the entries."""
        for number in numbers:
            await self.watchers[number].close()
            await self.entries[number].close()

    def knows(self, number: int, endpoint_id: str) -> bool:
        """Return whether an entry knows an endpoint."""
        return endpoint_id in self.entries[number].describe()["endpoints"]

    async def keep_changing(self) -> None:
        """Change a registration every 100 ms, as heartbeats of a fleet do."""
        while True:
            self.platform.put("servers/i-1", as_bytes(registration("10.0.0.1:80")))
            await asyncio.sleep(0.1)

    async def test_changes_reach_all_while_one_reads_and_after_it_died(self) -> None:
        heartbeats = asyncio.create_task(self.keep_changing())
        self.addCleanup(heartbeats.cancel)
        self.platform.put("servers/i-2", as_bytes(registration("10.0.0.2:80")))
        await until(lambda: all(self.knows(number, "i-2") for number in range(4)))
        self.platform.put("op/config", as_bytes(config(7)))
        await until(lambda: all(e.describe()["table"] == 7 for e in self.entries))
        await self.watchers[0].close()
        self.platform.remove("servers/i-2")
        await until(lambda: not any(self.knows(number, "i-2") for number in (1, 2, 3)))

    async def test_an_endpoint_that_a_restored_store_lacks_returns_at_all_entries(self) -> None:
        # Only the reader knew it again: it took the endpoint for one that it had passed on before.
        copied = self.platform.revision
        heartbeats = asyncio.create_task(self.keep_changing())
        self.addCleanup(heartbeats.cancel)
        self.platform.put("servers/i-2", as_bytes(registration("10.0.0.2:80")))
        await until(lambda: all(self.knows(number, "i-2") for number in range(4)))
        self.platform.rewind(copied)
        await until(lambda: not any(self.knows(n, "i-2") for n in range(4)), seconds=8.0)
        self.platform.put("servers/i-2", as_bytes(registration("10.0.0.2:80")))
        await until(lambda: all(self.knows(number, "i-2") for number in range(4)), seconds=8.0)
