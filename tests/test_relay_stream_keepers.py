"""Agents that keep origins of streams, and what is known of a service's versions; no network.

Times are in ms and start at 0.
"""

import random
import unittest
from unittest import mock

from skylarkrack.core import _hashing
from skylarkrack.core._hashing import HashRing
from skylarkrack.core.relay import (
    RegistrationHistory,
    StreamKeepers,
    StreamOrigin,
    StreamOrigins,
    VersionView,
)
from skylarkrack.core.relay._stream_keepers import (
    FIRST_ASKED,
    MAX_ASKED_AGENTS,
    RESEND_INTERVAL_MS,
    RESENT_PER_CALL,
)
from skylarkrack.core.relay._stream_origins import (
    MAX_ORIGINS,
    MAX_UNSEEN_MS,
    ORIGIN_TTL_MS,
    STREAM_KEY_BYTES,
)
from tests.relay_builders import endpoint

NOW_CALENDAR_MS = 1_800_000_000_000.0


def names(count: int) -> set[str]:
    """Return the VMs of agents."""
    return {f"s{number}" for number in range(count)}


def keys(count: int, *, seed: int = 1) -> list[bytes]:
    """Return keys of streams."""
    rng = random.Random(seed)
    return [rng.randbytes(STREAM_KEY_BYTES) for _ in range(count)]


class CountedHashes:
    """Counts the hashes that rings compute while it is entered."""

    def __enter__(self) -> "CountedHashes":
        self._patch = mock.patch.object(_hashing, "_point", side_effect=_hashing._point)
        self._mock = self._patch.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._patch.stop()

    @property
    def count(self) -> int:
        """Hashes up to now."""
        return self._mock.call_count


class TestRing(unittest.TestCase):
    """The ring of the live agents."""

    def test_a_lookup_among_ten_thousand_agents_costs_one_hash(self) -> None:
        """Guards against a cost of a stream that grows with the fleet."""
        ring = HashRing(names(10_000))
        with CountedHashes() as hashes:
            for key in keys(100):
                self.assertEqual(len(ring.first(key.hex(), 2)), 2)
        self.assertEqual(hashes.count, 100)

    def test_a_change_of_ten_thousand_agents_hashes_the_new_ones_only(self) -> None:
        """Guards against work for the whole fleet whenever one agent comes or goes."""
        keepers = StreamKeepers()
        keepers.set_agents(names(10_000))
        with CountedHashes() as hashes:
            keepers.set_agents(names(10_000))
            keepers.set_agents(names(10_000) - {"s5"})
            keepers.set_agents(names(10_001) - {"s5"})
        self.assertEqual(hashes.count, 1)

    def test_the_keys_of_an_agent_that_leaves_fall_to_the_second_keeper(self) -> None:
        """Guards against a keeper that holds an origin and isn't asked."""
        for agents in (2, 3, 20, 65, 10_000):
            before = HashRing(names(agents))
            for key in keys(50):
                first, second = before.first(key.hex(), 2)
                after = HashRing(names(agents) - {first}, known=before)
                with self.subTest(agents=agents):
                    self.assertEqual(after.first(key.hex(), 1), [second])

    def test_all_processes_agree(self) -> None:
        """Guards against rings that depend on the order in which agents were found."""
        listed = sorted(names(65))
        one, other = HashRing(listed), HashRing(listed[::-1], known=HashRing(listed[:9]))
        for key in keys(100):
            self.assertEqual(one.first(key.hex(), 4), other.first(key.hex(), 4))

    def test_few_agents(self) -> None:
        """Guards against an agent that is named twice, and a ring of none."""
        for agents in range(4):
            for key in keys(20):
                first = HashRing(names(agents)).first(key.hex(), 5)
                self.assertEqual((len(first), set(first)), (agents, names(agents)))

    def test_an_entry_that_knows_fewer_agents_asks_a_keeper(self) -> None:
        """Guards against entries that disagree about who is alive, soon after their start."""
        rng = random.Random(2)
        teller, asker = StreamKeepers(), StreamKeepers()
        for agents in (10, 20, 65):
            teller.set_agents(names(agents))
            for key in keys(200):
                told = set(teller.keepers_of(key))
                asker.set_agents(set(rng.sample(sorted(names(agents)), agents // 2)) | told)
                self.assertLessEqual(told, set(asker.asked_first(key)))

    def test_each_further_agent_is_asked_once_at_most(self) -> None:
        """Guards against datagrams to the whole fleet for a stream that nobody knows."""
        keepers = StreamKeepers()
        for agents in (0, 3, 4, 5, 20, 10_000):
            keepers.set_agents(names(agents))
            for key in keys(5):
                first, further = keepers.asked_first(key), keepers.asked_next(key)
                expected = min(agents, FIRST_ASKED), min(max(0, agents - FIRST_ASKED), 64)
                self.assertEqual((len(first), len(further)), expected)
                self.assertEqual(len(set(first + further)), sum(expected))
        self.assertEqual(MAX_ASKED_AGENTS, 64)


class TestNewKeepers(unittest.TestCase):
    """Origins are sent again to the agents that keep them after a change."""

    def setUp(self) -> None:
        self.own = keys(300)
        self.keepers = StreamKeepers()
        self.keepers.set_agents(names(10))
        self.take_all(0.0)

    def take_all(self, now_ms: float) -> dict[bytes, list[str]]:
        """Return the new keepers by stream, in as many calls as it needs."""
        new_keepers: dict[bytes, list[str]] = {}
        while due := self.keepers.take_due(lambda: self.own, now_ms):
            self.assertLessEqual(len(due), RESENT_PER_CALL)
            new_keepers |= dict(due)
        return new_keepers

    def test_only_new_keepers_get_them(self) -> None:
        """Guards against keepers that leave one after the other, until none has the origin."""
        before = {key: self.keepers.keepers_of(key) for key in self.own}
        self.keepers.set_agents(names(10) - {"s3"})
        new_keepers = self.take_all(2000.0)
        self.assertTrue(new_keepers)
        for key in self.own:
            added = [vm for vm in self.keepers.keepers_of(key) if vm not in before[key]]
            self.assertEqual(new_keepers.get(key, []), added)
            self.assertEqual(key in new_keepers, "s3" in before[key])
        self.assertEqual(self.take_all(9000.0), {})

    def test_nothing_is_listed_while_the_agents_stay(self) -> None:
        """Guards against work at every tick for 50,000 origins."""
        self.keepers.set_agents(names(10))
        self.assertEqual(self.keepers.take_due(self.fail, 9000.0), [])

    def test_at_most_once_a_second(self) -> None:
        """Guards against agents that come and go in swarms."""
        self.keepers.set_agents(names(9))
        self.assertTrue(self.take_all(5000.0))
        self.keepers.set_agents(names(8))
        self.assertEqual(self.take_all(5000.0 + RESEND_INTERVAL_MS - 1), {})
        self.assertTrue(self.take_all(5000.0 + RESEND_INTERVAL_MS))

    def test_the_agents_change_again_while_origins_are_sent(self) -> None:
        """Guards against streams whose keepers changed twice and that are sent to none of them."""
        held = {key: set(self.keepers.keepers_of(key)) for key in self.own}
        now_ms = 2000.0
        for left in range(9, 3, -1):
            self.keepers.set_agents(names(left))
            for key, agents in self.keepers.take_due(lambda: self.own, now_ms):
                held[key] |= set(agents)
            now_ms += RESEND_INTERVAL_MS
        for _ in range(5):
            for key, agents in self.take_all(now_ms).items():
                held[key] |= set(agents)
            now_ms += RESEND_INTERVAL_MS
        for key in self.own:
            self.assertLessEqual(set(self.keepers.keepers_of(key)), held[key])

    def test_the_newest_streams_come_first(self) -> None:
        """Guards against callers that wait while origins of streams that ended are sent."""
        self.keepers.set_agents({"t1", "t2"})
        due = self.keepers.take_due(lambda: self.own, 2000.0)
        self.assertEqual([key for key, _ in due], self.own[:RESENT_PER_CALL])

    def test_an_agent_that_was_restarted_is_a_new_keeper(self) -> None:
        """Guards against a keeper that was never missed, but has lost what it kept."""
        self.keepers.forget_rows_of("s3")
        expected = {key: ["s3"] for key in self.own if "s3" in self.keepers.keepers_of(key)}
        self.assertEqual(self.take_all(2000.0), expected)

    def test_a_check_among_ten_thousand_agents_costs_two_hashes_a_stream(self) -> None:
        """Guards against a check whose cost grows with the fleet."""
        self.keepers.set_agents(names(10_000))
        self.take_all(2000.0)
        self.keepers.set_agents(names(9_999))
        with CountedHashes() as hashes:
            self.take_all(4000.0)
        self.assertLessEqual(hashes.count, 2 * len(self.own))


class TestKeptOrigins(unittest.TestCase):
    """What an agent holds for the entries."""

    ORIGIN = StreamOrigin(service="llm", software_version="v1")

    def test_the_number_of_origins_is_bounded_at_once(self) -> None:
        """Guards against a flood of origins between two ticks of an agent."""
        origins = StreamOrigins()
        for number in range(MAX_ORIGINS + 10):
            origins.receive(b"%d" % number, self.ORIGIN, 0.0)
        self.assertEqual(origins.count(), MAX_ORIGINS)
        self.assertIsNone(origins.find(b"9", 0.0))
        self.assertEqual(origins.find(b"10", 0.0), self.ORIGIN)

    def test_old_origins_are_dropped(self) -> None:
        """Guards against an agent that holds the streams of its whole life."""
        origins = StreamOrigins()
        origins.receive(b"one", self.ORIGIN, 0.0)
        origins.receive(b"two", self.ORIGIN, 10.0)
        origins.forget_old(ORIGIN_TTL_MS)
        self.assertEqual(origins.count(), 1)

    def test_an_origin_that_is_sent_again_stays_longer(self) -> None:
        """Guards against an origin that is dropped while its caller takes the stream up again."""
        origins = StreamOrigins()
        origins.receive(b"one", self.ORIGIN, 0.0)
        origins.receive(b"one", self.ORIGIN, 20_000.0)
        origins.forget_old(ORIGIN_TTL_MS)
        self.assertEqual(origins.find(b"one", ORIGIN_TTL_MS), self.ORIGIN)

    def test_only_streams_of_this_entry_are_sent_again(self) -> None:
        """Guards against entries that pass on what others sent them, for ever."""
        origins = StreamOrigins()
        origins.record(b"one", self.ORIGIN, 0.0)
        origins.receive(b"two", self.ORIGIN, 1.0)
        origins.record(b"three", self.ORIGIN, 2.0)
        self.assertEqual(origins.own(), [b"three", b"one"])


class TestRegistrationHistory(unittest.TestCase):
    """What the writes that a registry remembers show of versions and of time."""

    def history(self, **writes_by_id: int) -> RegistrationHistory:
        """Return the history with so many writes of each endpoint."""
        writes = [
            endpoint(endpoint_id, service="llm", software_version="v1")
            for endpoint_id, count in writes_by_id.items()
            for _ in range(count)
        ]
        return RegistrationHistory(writes=tuple(writes), heartbeat_ms=1000.0)

    def covered_ms(self, *registered: str, **writes_by_id: int) -> float:
        """Return the time that such a history covers for the endpoints that are registered."""
        endpoints = [endpoint(endpoint_id, service="llm") for endpoint_id in registered]
        return self.history(**writes_by_id).covered_ms("llm", endpoints)

    def test_time_is_counted_in_heartbeats(self) -> None:
        self.assertEqual(self.covered_ms("e1", "e2", e1=11, e2=11), 10_000.0)

    def test_an_endpoint_that_writes_more_or_less_than_the_others(self) -> None:
        """Guards against a longer time because one endpoint changed its state many times."""
        self.assertEqual(self.covered_ms("e1", "e2", "e3", e1=40, e2=11, e3=2), 10_000.0)
        self.assertEqual(self.covered_ms("e1", "e2", e1=40, e2=11), 10_000.0)

    def test_endpoints_that_have_just_started(self) -> None:
        """Guards against time that is counted by endpoints that have left."""
        self.assertEqual(self.covered_ms("e2", e1=40, e2=1), 0.0)
        self.assertEqual(self.covered_ms(e1=40), 0.0)

    def test_versions_of_endpoints_that_left_count(self) -> None:
        writes = (
            endpoint("e1", service="llm", software_version="v1"),
            endpoint("e1", service="llm", software_version="v1.1"),
            endpoint("e2", service="desk", software_version="v2"),
        )
        history = RegistrationHistory(writes=writes, heartbeat_ms=1000.0)
        self.assertEqual(history.versions_of("llm"), {"v1", "v1.1"})


class TestVersionViews(unittest.TestCase):
    """Whether a service certainly had one version while callers of its streams waited."""

    def setUp(self) -> None:
        self.origins = StreamOrigins()

    def view(self, now_ms: float, *age_by_version: tuple[str, float]) -> VersionView:
        """Return the view of `llm`, with one endpoint of each version and age in ms."""
        endpoints = [
            endpoint(
                f"e{number}",
                service="llm",
                software_version=version,
                started_ms=int(NOW_CALENDAR_MS - age_ms),
            )
            for number, (version, age_ms) in enumerate(age_by_version)
        ]
        return self.origins.view_of("llm", endpoints, now_ms, confirmed_ms=now_ms)

    def follow(self, since_ms: float, until_ms: float, *versions: str) -> None:
        """Look at the registrations every 250 ms."""
        for now_ms in range(int(since_ms), int(until_ms) + 1, 250):
            self.origins.see_versions({"llm": set(versions)}, float(now_ms))

    def test_an_entry_that_has_just_started_knows_nothing(self) -> None:
        """Guards against versions that left before the entry started."""
        self.assertEqual(self.view(0.0, ("v1", 100.0)), VersionView.UNKNOWN)
        self.follow(0.0, ORIGIN_TTL_MS - 250.0, "v1")
        self.assertEqual(self.view(ORIGIN_TTL_MS - 1, ("v1", 100.0)), VersionView.UNKNOWN)

    def test_an_entry_that_followed_the_registrations_is_certain(self) -> None:
        """Guards against refusals in a fleet that only adds endpoints."""
        self.follow(0.0, ORIGIN_TTL_MS, "v1")
        self.assertEqual(self.view(ORIGIN_TTL_MS, ("v1", 100.0)), VersionView.ONE)

    def test_a_version_that_left_counts(self) -> None:
        """Guards against endpoints that left while callers of their streams still wait."""
        self.follow(0.0, 40_000.0, "v1")
        self.follow(41_000.0, 69_000.0, "v1.1")
        self.assertEqual(self.view(69_000.0, ("v1.1", 60_000.0)), VersionView.SEVERAL)
        self.follow(70_000.0, 71_000.0, "v1.1")
        self.assertEqual(self.view(71_000.0, ("v1.1", 100.0)), VersionView.ONE)

    def test_an_entry_that_was_frozen_starts_again(self) -> None:
        """Guards against versions that came and left while the entry didn't run."""
        self.follow(0.0, 40_000.0, "v1")
        self.assertEqual(self.view(40_000.0 + MAX_UNSEEN_MS), VersionView.UNKNOWN)
        self.follow(50_000.0, 52_000.0, "v1")
        for now_ms in (50_000.0, 52_000.0):
            self.assertEqual(self.view(now_ms, ("v1", 100.0)), VersionView.UNKNOWN)

    def test_an_entry_that_lost_the_registry_starts_again(self) -> None:
        """Guards against versions that only the others saw."""
        self.follow(0.0, 40_000.0, "v1")
        self.origins.miss_until(20_000.0)
        self.origins.miss_until(float("-inf"))
        self.assertEqual(self.view(40_000.0, ("v1", 100.0)), VersionView.UNKNOWN)
        self.follow(41_000.0, 50_000.0, "v1")
        self.assertEqual(self.view(50_000.0, ("v1", 100.0)), VersionView.ONE)

    def test_endpoints_that_are_older_than_any_waiting_caller(self) -> None:
        # They were taken for all that had served, though others may have left a moment ago.
        self.follow(0.0, 0.0, "v1")
        for age_ms in (ORIGIN_TTL_MS + 1, ORIGIN_TTL_MS, 0.0, -60_000.0):
            with self.subTest(age_ms=age_ms):
                ages = (("v1", 90_000.0), ("v1", age_ms))
                self.assertEqual(self.view(0.0, *ages), VersionView.UNKNOWN)

    def test_the_history_shows_one_version(self) -> None:
        """Guards against refusals after a kill of all processes where nothing was released."""
        self.follow(0.0, 0.0, "v1")
        self.origins.recall("llm", {"v1"}, ORIGIN_TTL_MS, 0.0)
        self.assertEqual(self.view(0.0, ("v1", 90_000.0)), VersionView.ONE)

    def test_the_history_is_shorter_than_callers_wait(self) -> None:
        """Guards against a version that left before the time that the history covers."""
        self.follow(0.0, 0.0, "v1")
        self.origins.recall("llm", {"v1"}, 18_000.0, 0.0)
        self.assertEqual(self.view(0.0, ("v1", 90_000.0)), VersionView.UNKNOWN)
        self.follow(250.0, 12_000.0, "v1")
        self.assertEqual(self.view(11_999.0, ("v1", 90_000.0)), VersionView.UNKNOWN)
        self.assertEqual(self.view(12_000.0, ("v1", 90_000.0)), VersionView.ONE)

    def test_the_history_shows_a_version_that_left(self) -> None:
        """Guards against streams of a version whose last endpoint is no longer registered."""
        self.follow(0.0, 0.0, "v1.1")
        self.origins.recall("llm", {"v1", "v1.1"}, 90_000.0, 0.0)
        self.assertEqual(self.view(0.0, ("v1.1", 90_000.0)), VersionView.SEVERAL)
        self.follow(250.0, ORIGIN_TTL_MS - 250, "v1.1")
        self.assertEqual(self.view(ORIGIN_TTL_MS - 1, ("v1.1", 90_000.0)), VersionView.SEVERAL)
        self.follow(ORIGIN_TTL_MS, ORIGIN_TTL_MS, "v1.1")
        self.assertEqual(self.view(ORIGIN_TTL_MS, ("v1.1", 90_000.0)), VersionView.ONE)

    def test_the_history_was_read_before_an_outage(self) -> None:
        """Guards against a history that is continued over a time that nobody followed."""
        self.follow(0.0, 0.0, "v1")
        self.origins.recall("llm", {"v1"}, ORIGIN_TTL_MS, 0.0)
        self.origins.miss_until(1000.0)
        self.follow(250.0, 1250.0, "v1")
        self.assertEqual(self.view(1250.0, ("v1", 90_000.0)), VersionView.UNKNOWN)

    def test_old_endpoints_of_two_versions(self) -> None:
        """Guards against the rule for old endpoints where a release is halfway."""
        self.assertEqual(self.view(0.0, ("v1", 90_000.0), ("v1.1", 90_000.0)), VersionView.SEVERAL)

    def test_a_service_without_endpoints(self) -> None:
        """Guards against certainty drawn from an empty list."""
        self.assertEqual(self.view(0.0), VersionView.UNKNOWN)

    def test_endpoints_that_state_no_version(self) -> None:
        """Guards against refusals where registrations don't name versions at all."""
        self.assertEqual(self.view(0.0, ("", 100.0)), VersionView.ONE)
        self.assertEqual(self.view(0.0, ("", 100.0), ("v1", 100.0)), VersionView.SEVERAL)

    def test_older_builds_read_anything_but_one_as_several(self) -> None:
        """Guards against an older entry that goes on where a new one is not certain."""
        self.assertEqual([bool(int(view)) for view in VersionView], [False, True, True])
