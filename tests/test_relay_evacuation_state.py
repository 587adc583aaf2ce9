"""Which failure domains an entry takes for evacuated, and what it tells the other entries.

Guards against an evacuation that is lost, or that never ends, when news comes late, out of order,
from an entry with a stale view, or from a store that was restored from an older copy.
"""

import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field

from skylarkrack._errors import Code
from skylarkrack.core.relay import (
    Dispatcher,
    Evacuation,
    Evacuations,
    Refuse,
    TablePublished,
    WaitFor,
    is_domain_name,
)
from skylarkrack.core.relay._evacuations import (
    END_REPEATED_MS,
    MAX_ACTIVE,
    MAX_ENDED,
    MAX_NAME_LENGTH,
    NOTICE_INTERVAL_MS,
    NOTICES_ON_CHANGE,
    REPEAT_MS,
    REWIND_HOLD_MS,
)
from skylarkrack.messages import EvacuationNotice
from skylarkrack.relay._datagrams import MAX_DATAGRAM_BYTES
from skylarkrack.wire import encode_body
from tests.relay_builders import dispatcher, endpoint, pending_request, state, table

EVACUATE_MS = 5000.0
"""Time after the store's acknowledgement in which requests may still reach the domain."""


def news(
    revision: int, *, is_active: bool = True, era: int = 1, domain: str = "east"
) -> Evacuation:
    """Return a state of the domain east in era 1."""
    return Evacuation(domain=domain, is_active=is_active, era=era, revision=revision)


class TestState(unittest.TestCase):
    """The newest state by era and revision counts. Time starts at 0."""

    def setUp(self) -> None:
        self.evacuations = Evacuations()

    def listing(self, *domains: str, era: int = 1, revision: int = 10, now_ms: float = 0.0) -> list:
        """Apply a listing of domains that were evacuated at its revision."""
        rows = dict.fromkeys(domains, revision)
        return self.evacuations.apply_listing(rows, era=era, revision=revision, now_ms=now_ms)

    def active(self) -> list[str]:
        """Return the evacuated domains."""
        return sorted(self.evacuations.active_domains())

    def test_begin_end_and_begin_again_in_any_order(self) -> None:
        """Guards against late news that undoes what came after it."""
        rows = [news(5), news(6, is_active=False), news(7)]
        for seed in range(6):
            with self.subTest(seed=seed):
                self.evacuations = Evacuations()
                for row in random.Random(seed).sample(rows, 3):
                    self.evacuations.receive([row], 0.0)
                self.assertEqual(self.active(), ["east"])
                self.evacuations.publish(news(8, is_active=False), 0.0)
                self.evacuations.receive(rows, 0.0)
                self.assertEqual(self.active(), [])

    def test_an_own_read_after_newer_news(self) -> None:
        """Guards against a watch that replays a start whose end a peer has already told."""
        self.evacuations.receive([news(6, is_active=False)], 0.0)
        self.evacuations.publish(news(5), 0.0)
        self.assertEqual(self.active(), [])

    def test_only_a_start_or_an_end_is_a_change(self) -> None:
        self.assertEqual(self.evacuations.publish(news(5), 0.0), [news(5)])
        self.assertEqual(self.evacuations.publish(news(6), 0.0), [])
        ended = news(7, is_active=False)
        self.assertEqual(self.evacuations.publish(ended, 0.0), [ended])
        self.assertEqual(self.evacuations.publish(news(8, is_active=False), 0.0), [])

    def test_what_was_written_long_before_a_listing(self) -> None:
        """Guards against an evacuation that counts as older than the listing that shows it."""
        self.evacuations.apply_listing({"east": 3}, era=1, revision=10, now_ms=0.0)
        self.assertEqual(self.active(), ["east"])
        self.evacuations.apply_listing({"east": 3}, era=1, revision=12, now_ms=0.0)
        self.assertEqual(self.active(), ["east"])

    def test_a_listing_ends_what_it_lacks(self) -> None:
        """Guards against an end that fell into a time without watches."""
        self.listing("east", "west")
        self.assertEqual(self.active(), ["east", "west"])
        self.listing("west", revision=12)
        self.assertEqual(self.active(), ["west"])

    def test_a_listing_does_not_end_what_began_after_it(self) -> None:
        self.evacuations.receive([news(15)], 0.0)
        self.listing(revision=14)
        self.assertEqual(self.active(), ["east"])

    def test_a_stale_view_does_not_evacuate_a_domain_that_a_listing_lacks(self) -> None:
        """Guards against an evacuation without end at an entry that started after it."""
        self.listing(revision=20)
        changes, newer = self.evacuations.receive([news(5)], 0.0)
        self.assertEqual((changes, newer), ([], [news(20, is_active=False)]))
        self.assertEqual(self.active(), [])

    def test_an_entry_with_a_stale_view_is_corrected(self) -> None:
        self.evacuations.publish(news(9), 0.0)
        _, newer = self.evacuations.receive([news(6, is_active=False)], 0.0)
        self.assertEqual(newer, [news(9)])

    def test_equal_states_are_not_answered(self) -> None:
        """Guards against two entries that answer each other without end."""
        self.evacuations.publish(news(9), 0.0)
        self.assertEqual(self.evacuations.receive([news(9)], 0.0), ([], []))

    def test_a_restored_store_without_the_key_ends_it_after_a_time(self) -> None:
        """Guards against requests between the restoration and the operator's second write."""
        self.listing("east")
        self.assertEqual(self.listing(era=2, revision=4, now_ms=100.0), [])
        self.assertEqual(self.evacuations.held_domains(), {"east"})
        self.assertEqual(self.evacuations.advance(100.0 + REWIND_HOLD_MS - 1), [])
        self.assertEqual(
            self.evacuations.advance(100.0 + REWIND_HOLD_MS), [news(4, is_active=False, era=2)]
        )

    def test_a_second_write_after_the_restoration_continues_it(self) -> None:
        self.listing("east")
        self.listing(era=2, revision=4)
        self.assertEqual(self.evacuations.publish(news(6, era=2), 500.0), [])
        self.assertEqual(self.evacuations.advance(REWIND_HOLD_MS + 1), [])
        self.assertEqual(self.active(), ["east"])

    def test_an_entry_that_starts_after_the_restoration_keeps_it_too(self) -> None:
        self.listing(era=2, revision=4)
        changes, _ = self.evacuations.receive([news(9)], 500.0)
        self.assertEqual(changes, [news(9)])
        self.evacuations.advance(REWIND_HOLD_MS)
        self.assertEqual(self.active(), [])
        self.assertEqual(self.evacuations.receive([news(9)], REWIND_HOLD_MS)[0], [])

    def test_no_entry_ends_the_hold_of_another(self) -> None:
        """Guards against an answer that tells of the copy before the operator could write."""
        self.listing(era=2, revision=4)
        self.evacuations.publish(news(5, era=2), 0.0)
        self.evacuations.publish(news(6, era=2, is_active=False), 0.0)
        _, newer = self.evacuations.receive([news(9)], REWIND_HOLD_MS - 1)
        self.assertEqual(newer, [])
        _, newer = self.evacuations.receive([news(9)], REWIND_HOLD_MS)
        self.assertEqual(newer, [news(6, era=2, is_active=False)])

    def test_the_names_of_domains(self) -> None:
        """Guards against a name that fills the memory, a datagram or the log."""
        for name in ("", "x" * (MAX_NAME_LENGTH + 1), "x" * 10_000, "\u00e9st", "a\nb", 5, None):
            self.assertFalse(is_domain_name(name), name)
        for name in ("east", "eu-west-1a", "x" * MAX_NAME_LENGTH):
            self.assertTrue(is_domain_name(name), name)

    def test_what_is_remembered_is_bounded(self) -> None:
        """Guards against memory and messages that grow with each evacuation."""
        for number in range(2 * MAX_ENDED):
            domain = f"{number}".zfill(MAX_NAME_LENGTH)
            self.evacuations.publish(news(2 * number, domain=domain), 0.0)
            self.evacuations.publish(news(2 * number + 1, domain=domain, is_active=False), 0.0)
        self.assertEqual(len(self.evacuations.repeated_states(0.0)), MAX_ENDED)
        for number in range(2 * MAX_ACTIVE):
            domain = f"a{number}".zfill(MAX_NAME_LENGTH)
            self.evacuations.publish(news(2**40 + number, domain=domain), 0.0)
        self.assertEqual(len(self.active()), MAX_ACTIVE)
        states = self.evacuations.take_due(0.0, other_entries=4, jitter=0.0)
        self.assertEqual(len(states), MAX_ACTIVE + MAX_ENDED)
        rows = [[s.domain, s.is_active, s.era, s.revision] for s in states]
        notice = EvacuationNotice(
            vm="n" * 60,
            address="10.0.0.123:65535",
            domain="d" * 60,
            passes_on=True,
            evacuations=rows,
        )
        self.assertLess(len(encode_body(notice)), MAX_DATAGRAM_BYTES)


class TestNotices(unittest.TestCase):
    """When an entry tells the others. Time starts at 0."""

    def setUp(self) -> None:
        self.evacuations = Evacuations()

    def due_ms(self, until_ms: int, *, other_entries: int = 4) -> list[int]:
        """Return the times of the notices before *until_ms*, in ticks of 50 ms."""
        return [
            now_ms
            for now_ms in range(0, until_ms, 50)
            if self.evacuations.take_due(now_ms, other_entries=other_entries, jitter=1.0)
        ]

    def test_a_change_is_told_three_times_and_then_every_two_seconds(self) -> None:
        self.evacuations.publish(news(5), 0.0)
        changes = [round(NOTICE_INTERVAL_MS * number) for number in range(NOTICES_ON_CHANGE)]
        repeats = [round(REPEAT_MS * number) for number in (1, 2)]
        self.assertEqual(self.due_ms(5000), changes + repeats)

    def test_what_the_first_listing_shows_is_told_once(self) -> None:
        """Guards against a fleet that starts at once and tells itself the same three times."""
        self.evacuations.apply_listing({"east": 3}, era=1, revision=9, now_ms=0.0)
        self.assertEqual(self.due_ms(1900), [0])
        self.evacuations.apply_listing({"east": 3, "west": 12}, era=1, revision=12, now_ms=1900.0)
        told = self.due_ms(1000 + round(NOTICE_INTERVAL_MS * NOTICES_ON_CHANGE) + 1900)
        self.assertEqual(len([ms for ms in told if ms >= 1900 and ms != REPEAT_MS]), 3)

    def test_what_a_peer_told_is_not_told_at_once(self) -> None:
        """Guards against a fleet in which each entry tells each other whatever it hears."""
        self.evacuations.receive([news(5)], 0.0)
        self.assertEqual(self.due_ms(1900), [])
        self.assertEqual(self.due_ms(2100), [2000])

    def test_entries_of_a_large_fleet_repeat_less_often(self) -> None:
        self.evacuations.receive([news(5)], 0.0)
        self.assertEqual(self.due_ms(14_000, other_entries=60), [12_000])

    def test_the_end_is_repeated_for_a_time(self) -> None:
        self.evacuations.publish(news(5), 0.0)
        self.evacuations.receive([news(6, is_active=False)], 0.0)
        due = self.due_ms(60_000)
        self.assertGreaterEqual(max(due), END_REPEATED_MS - REPEAT_MS)
        self.assertLessEqual(max(due), END_REPEATED_MS)


class TestPlacement(unittest.TestCase):
    """Where requests go while one of two domains is evacuated, or both are."""

    def setUp(self) -> None:
        self.east, self.west = endpoint("e1"), endpoint("e2", domain="west")
        states = (state(0.0, "a1"), state(0.0, "a1"))
        self.dispatcher = dispatcher(self.east, self.west, states=states)

    def evacuate(self, *domains: str) -> None:
        """Evacuate these domains and no others."""
        self.dispatcher.directory.set_evacuated(frozenset(domains))

    def test_requests_go_elsewhere(self) -> None:
        for domain, chosen in (("east", self.west), ("west", self.east)):
            with self.subTest(domain):
                self.evacuate(domain)
                decision = self.dispatcher.decide(pending_request(), 0.0)
                self.assertEqual(decision.endpoint, chosen)

    def test_no_domain_is_left(self) -> None:
        """Guards against requests that are sent to an evacuated domain as a last resort."""
        self.evacuate("east", "west")
        decision = self.dispatcher.decide(pending_request(), 0.0)
        self.assertIsInstance(decision, Refuse)
        self.assertEqual((decision.code, decision.retry_after_ms), (Code.NO_ENDPOINT, 1000.0))

    def test_a_request_that_was_tried_everywhere_else(self) -> None:
        self.evacuate("east")
        pending = pending_request(tried={self.west.key})
        self.assertEqual(self.dispatcher.decide(pending, 0.0).endpoint, self.west)

    def test_a_waiting_request_is_decided_again(self) -> None:
        """Guards against a request that waits on for an adapter in the evacuated domain."""
        self.evacuate("west")
        pending = pending_request(adapter="a2")
        decision = self.dispatcher.decide(pending, 0.0)
        self.assertEqual(decision, WaitFor(key=self.east.key, cost_ms=decision.cost_ms))
        self.dispatcher.add_waiting(pending, decision)
        self.evacuate("east")
        self.assertEqual(self.dispatcher.take_ready(10.0), [])
        self.assertEqual(pending.waiting_at, self.west.key)
        self.assertEqual(self.dispatcher.wanted_at(self.east.key), {})
        self.evacuate("east", "west")
        self.assertIsInstance(self.dispatcher.take_ready(20.0)[0][1], Refuse)

    def test_an_endpoint_that_registers_during_the_evacuation(self) -> None:
        self.evacuate("north")
        self.dispatcher.directory.put(endpoint("e3", domain="north"))
        ids = [e.endpoint_id for e in self.dispatcher.directory.of_service("engines")]
        self.assertEqual(ids, ["e1", "e2"])
        self.dispatcher.directory.put(endpoint("e3", domain="west"))
        self.assertEqual(len(self.dispatcher.directory.of_service("engines")), 3)

    def test_the_generation_changes_only_with_the_domains(self) -> None:
        before = self.dispatcher.directory.generation
        self.evacuate("east")
        self.assertEqual(self.dispatcher.directory.generation, before + 1)
        self.evacuate("east")
        self.assertEqual(self.dispatcher.directory.generation, before + 1)


TICK_MS = 50
LOSS = 0.3
MAX_DELAY_TICKS = 8


@dataclass(slots=True, eq=False)
class FleetEntry:
    """An entry of the simulated fleet; *deaf_until_ms* loses all messages before that time."""

    number: int
    dispatcher: Dispatcher
    deaf_until_ms: float = 0.0
    sent_ms_by_domain: dict[str, float] = field(default_factory=dict)


class EvacuatedFleet:
    """Entries that decide about a request in each tick, of which one reads the store.

    Messages are lost with probability `LOSS`, or arrive up to 400 ms late.
    """

    def __init__(self, entries: int, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.under_way: list[tuple[float, FleetEntry, FleetEntry, list[Evacuation]]] = []
        self.entries = [self.make(number) for number in range(entries)]

    def make(self, number: int) -> FleetEntry:
        """Return an entry that knows an endpoint in each of two domains."""
        made = Dispatcher(domain="west")
        made.observe(TablePublished(table=table()))
        for endpoint_id, domain in (("e1", "east"), ("e2", "west")):
            made.directory.put(endpoint(endpoint_id, service="desk", domain=domain))
        return FleetEntry(number, made)

    def join(self) -> FleetEntry:
        """Add an entry that can't read the store; the others tell it what they know."""
        joined = self.make(len(self.entries))
        for other in self.entries:
            states = other.dispatcher.evacuations.repeated_states(self.now_ms)
            self.send(other, joined, states)
        self.entries.append(joined)
        return joined

    def send(self, sender: FleetEntry, receiver: FleetEntry, states: list) -> None:
        """Send a message, which may be lost or late."""
        if states and self.rng.random() >= LOSS:
            at_ms = self.now_ms + TICK_MS * self.rng.randint(0, MAX_DELAY_TICKS)
            self.under_way.append((at_ms, sender, receiver, states))

    def run(self, time_ms: float) -> None:
        """Play for *time_ms*."""
        until_ms = self.now_ms + time_ms
        while self.now_ms < until_ms:
            arrived = [row for row in self.under_way if row[0] <= self.now_ms]
            self.under_way = [row for row in self.under_way if row[0] > self.now_ms]
            for _, sender, receiver, states in arrived:
                self.receive(sender, receiver, states)
            for entry in self.entries:
                self.tick(entry)
            self.now_ms += TICK_MS

    def receive(self, sender: FleetEntry, receiver: FleetEntry, states: list) -> None:
        """Apply a message, and answer it."""
        if self.now_ms < receiver.deaf_until_ms:
            return
        evacuations = receiver.dispatcher.evacuations
        _, newer = evacuations.receive(states, self.now_ms)
        receiver.dispatcher.directory.set_evacuated(evacuations.active_domains())
        self.send(receiver, sender, newer)

    def tick(self, entry: FleetEntry) -> None:
        """Send the notices that are due, and place a request."""
        evacuations = entry.dispatcher.evacuations
        due = evacuations.take_due(
            self.now_ms, other_entries=len(self.entries) - 1, jitter=self.rng.random()
        )
        for other in self.entries:
            if other is not entry and due:
                self.send(entry, other, due)
        west = entry.dispatcher.directory.find("e2")
        pending = pending_request(service_name="desk", tried={west.key})
        decision = entry.dispatcher.decide(pending, self.now_ms)
        entry.sent_ms_by_domain[decision.endpoint.domain] = self.now_ms

    def publish(self, revision: int, *, is_active: bool) -> None:
        """Have the first entry read a write or a removal, after a pause of its watch."""
        reader = self.entries[0].dispatcher
        changes = reader.evacuations.publish(news(revision, is_active=is_active), self.now_ms)
        reader.directory.set_evacuated(reader.evacuations.active_domains())
        assert changes


class TestFleet(unittest.TestCase):
    """5, 22 and 68 entries with a reader of the store, and messages that are lost or late."""

    def play(self, scenario: Callable[[EvacuatedFleet], None]) -> None:
        """Play a scenario in a fleet of each size, which has served both domains."""
        for entries in (5, 22, 68):
            with self.subTest(entries=entries):
                fleet = EvacuatedFleet(entries, seed=entries)
                fleet.run(500.0)
                for entry in fleet.entries:
                    self.assertIn("east", entry.sent_ms_by_domain)
                scenario(fleet)

    def assert_quiet(self, fleet: EvacuatedFleet, since_ms: float) -> None:
        """Check that no entry has sent a request to east since a time."""
        late = [e.number for e in fleet.entries if e.sent_ms_by_domain.get("east", 0) > since_ms]
        self.assertEqual(late, [])

    def test_all_entries_stop_sending_in_time(self) -> None:

        def scenario(fleet: EvacuatedFleet) -> None:
            began_ms = fleet.now_ms
            fleet.publish(5, is_active=True)
            fleet.run(20_000.0)
            self.assert_quiet(fleet, began_ms + EVACUATE_MS)

        self.play(scenario)

    def test_an_entry_that_starts_while_the_store_is_away(self) -> None:
        """Guards against a new entry that sends to the domain since it can't read the store."""

        def scenario(fleet: EvacuatedFleet) -> None:
            fleet.publish(5, is_active=True)
            fleet.run(6000.0)
            joined_ms = fleet.now_ms
            fleet.join()
            fleet.run(6000.0)
            self.assert_quiet(fleet, joined_ms + 2 * REPEAT_MS)

        self.play(scenario)

    def test_the_reader_dies_after_its_first_notices(self) -> None:
        """Guards against news that only its reader would repeat."""

        def scenario(fleet: EvacuatedFleet) -> None:
            began_ms = fleet.now_ms
            fleet.publish(5, is_active=True)
            fleet.run(TICK_MS)
            del fleet.entries[0]
            fleet.run(8000.0)
            self.assert_quiet(fleet, began_ms + EVACUATE_MS)

        self.play(scenario)

    def test_an_entry_with_a_stale_view_learns_of_the_end(self) -> None:
        """Guards against an evacuation without end at an entry that missed all notices of it."""

        def scenario(fleet: EvacuatedFleet) -> None:
            fleet.publish(5, is_active=True)
            fleet.run(3000.0)
            stale = fleet.entries[-1]
            stale.deaf_until_ms = fleet.now_ms + 2000.0
            fleet.publish(6, is_active=False)
            fleet.run(2000.0)
            self.assertLess(stale.sent_ms_by_domain["east"], fleet.now_ms - 2000.0)
            fleet.run(2 * REPEAT_MS)
            self.assertGreater(stale.sent_ms_by_domain["east"], fleet.now_ms - 1000.0)

        self.play(scenario)

    def test_a_stale_view_evacuates_nothing_elsewhere(self) -> None:

        def scenario(fleet: EvacuatedFleet) -> None:
            fleet.publish(5, is_active=True)
            fleet.run(3000.0)
            fleet.entries[-1].deaf_until_ms = fleet.now_ms + 60_000.0
            fleet.publish(6, is_active=False)
            fleet.run(12_000.0)
            for entry in fleet.entries[:-1]:
                self.assertGreater(entry.sent_ms_by_domain["east"], fleet.now_ms - 1000.0)

        self.play(scenario)
