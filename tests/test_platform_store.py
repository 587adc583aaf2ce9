"""The client of the store and the watches, against a stand-in with faults.

The store may refuse calls, give invalid answers, lose answers or its history, or go silent on an
open connection. A process then has to keep what it has read, and catch up when the store answers.
"""

import asyncio
import unittest
from unittest import mock

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import PlatformUnreachable
from skylarkrack.core.relay import FeedKind, FeedStep
from skylarkrack.platform import _store, _watch
from skylarkrack.platform._documents import decode_table
from skylarkrack.platform._store import WATCH_SLACK_MS, EraRecord, HistoryLost, Store
from skylarkrack.platform._watch import WATCH_WAIT_MS, StoreWatcher, watch_pause_ms
from standins.platform_store import PlatformStore, StoreFaults
from tests.platform_builders import as_bytes, config, registration
from tests.relay_builders import endpoint


class RecordingListener:
    """Records the notifications that it receives."""

    def __init__(self) -> None:
        self.notifications: list[tuple] = []
        self.confirmed_ms = float("-inf")
        self._changed = asyncio.Event()

    def _append(self, *notification: object) -> None:
        self.notifications.append(notification)
        self._changed.set()

    def table_published(self, document: bytes) -> None:
        self._append("table", decode_table(document).version)

    def adapter_published(self, model: str, adapter: str, version: int) -> None:
        self._append("adapter", model, adapter, version)

    def evacuation_published(
        self, domain: str, is_active: bool, *, revision: int, era: int
    ) -> None:
        self._append("evacuation", domain, is_active, revision, era)

    def evacuations_listed(self, revision_by_domain: dict, *, revision: int, era: int) -> None:
        self._append("evacuations", dict(revision_by_domain), revision, era)

    def endpoint_put(self, endpoint: object) -> None:
        self._append("put", endpoint.endpoint_id, endpoint.is_leaving)

    def endpoint_removed(self, endpoint_id: str) -> None:
        self._append("removed", endpoint_id)

    def endpoints_listed(self, endpoints: list, unreadable: set) -> None:
        self._append("listed", sorted(e.endpoint_id for e in endpoints), sorted(unreadable))

    def registrations_confirmed(self, as_of_ms: float) -> None:
        self.confirmed_ms = max(self.confirmed_ms, as_of_ms)

    def registry_lost(self, reason: str) -> None:
        self._append("lost")

    def registry_restored(self) -> None:
        self._append("back")

    def registry_restored_before(self, time_ms: float) -> None:
        self._append("restored before", time_ms)

    def registry_rewound(self) -> None:
        self._append("rewound")

    async def wait_until_recorded(self, *notification: object) -> None:
        """Wait until *notification* is recorded; raises `TimeoutError` after 5 s."""
        async with asyncio.timeout(5):
            while notification not in self.notifications:
                self._changed.clear()
                await self._changed.wait()


class Alone:
    """The exchange of an entry that has no peers."""

    def __init__(self) -> None:
        self.published: list[FeedStep] = []

    def is_reader(self) -> bool:
        return True

    def publish(self, step: FeedStep) -> None:
        self.published.append(step)

    async def next_step(self, kind: FeedKind, *, timeout_ms: float) -> FeedStep | None:
        await asyncio.sleep(timeout_ms / 1000)
        return None


class Follower(Alone):
    """The exchange of an entry whose reader sends the steps in *steps_by_kind*."""

    def __init__(self) -> None:
        super().__init__()
        self.steps_by_kind = {kind: asyncio.Queue() for kind in FeedKind}

    def is_reader(self) -> bool:
        return False

    async def next_step(self, kind: FeedKind, *, timeout_ms: float) -> FeedStep | None:
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self.steps_by_kind[kind].get()
        except TimeoutError:
            return None


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Base of the tests that run a stand-in for the store."""

    async def asyncSetUp(self) -> None:
        self.platform = PlatformStore()
        await self.platform.start("127.0.0.1:0")
        host, port = self.platform.bound_address
        self.address = f"{host}:{port}"

    async def asyncTearDown(self) -> None:
        await self.platform.close()


class TestStore(StoreTest):
    """Listings and watches."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store = Store(self.address)
        self.addCleanup(self.store.close)

    async def test_a_listing_of_several_pages(self) -> None:
        for number in range(8):
            self.platform.put(f"servers/i-{number}", b"x")
        listing = await self.store.read_all("servers/")
        self.assertEqual([item.key for item in listing.items], [f"servers/i-{n}" for n in range(8)])
        self.assertEqual(listing.revision, self.platform.revision)

    async def test_a_watch_returns_writes_and_removals(self) -> None:
        self.platform.put("servers/i-1", b"x")
        revision = self.platform.revision
        self.platform.put("servers/i-2", b"y")
        self.platform.remove("servers/i-1")
        changes = await self.store.watch("servers/", revision, wait_ms=1000)
        self.assertEqual([(i.key, i.value) for i in changes.items],
                         [("servers/i-2", b"y"), ("servers/i-1", None)])  # fmt: skip

    async def test_a_watch_that_ends_without_changes(self) -> None:
        changes = await self.store.watch("servers/", self.platform.revision, wait_ms=1)
        self.assertEqual(changes.items, ())

    async def test_faults(self) -> None:
        """Each row: the store's fault, and the error that a watch raises."""
        rows = (
            (StoreFaults(status=503), PlatformUnreachable),
            (StoreFaults(status=429), PlatformUnreachable),
            (StoreFaults(garbage=True), PlatformUnreachable),
            (StoreFaults(lose_answers=1), PlatformUnreachable),
            (StoreFaults(history_lost=True), HistoryLost),
        )
        for faults, error in rows:
            with self.subTest(faults=faults):
                self.platform.faults = faults
                with self.assertRaises(error):
                    await self.store.watch("servers/", 1, wait_ms=1)

    async def test_a_silent_connection_times_out(self) -> None:
        self.platform.faults = StoreFaults(silent=True)
        slack_ms, _store.WATCH_SLACK_MS = _store.WATCH_SLACK_MS, 50.0
        try:
            with self.assertRaises(PlatformUnreachable):
                await self.store.watch("servers/", 1, wait_ms=1)
        finally:
            _store.WATCH_SLACK_MS = slack_ms

    async def test_an_answer_of_an_earlier_era_is_not_used(self) -> None:
        eras = EraRecord()
        late = Store(self.address, eras)
        self.addCleanup(late.close)
        waiting = asyncio.create_task(late.watch("servers/", self.platform.revision, wait_ms=200))
        await asyncio.sleep(0.05)
        eras.observe(self.platform.era + 1)
        with self.assertRaises(PlatformUnreachable):
            await waiting

    async def test_a_watch_from_a_revision_that_the_copy_lacks(self) -> None:
        self.platform.put("servers/i-1", b"x")
        revision = self.platform.revision
        self.platform.rewind(revision - 1)
        with self.assertRaises(HistoryLost):
            await self.store.watch("servers/", revision, wait_ms=1)


class TestPauses(unittest.TestCase):
    """The pause between watches of the registrations."""

    def test_a_silent_connection_is_detected_within_three_seconds_in_any_fleet(self) -> None:
        for entries in (1, 5, 30, 3400):
            self.assertLess(watch_pause_ms(entries) + WATCH_WAIT_MS + WATCH_SLACK_MS, 3000)

    def test_a_follower_has_a_change_in_time_though_its_reader_is_silent(self) -> None:
        # A change just after the reader's last step; then a connection and an answer.
        change_in_force_ms, slow_answer_ms = 2000, 240
        silent_after_ms = _watch.SILENT_AFTER_MS[FeedKind.PUBLICATIONS]
        self.assertLess(silent_after_ms + 2 * slow_answer_ms, change_in_force_ms)
        # The steps of a reader in front of a slow store come soon enough.
        self.assertLess(WATCH_WAIT_MS + slow_answer_ms, silent_after_ms)

    def test_large_fleets_pause_longer(self) -> None:
        self.assertEqual(watch_pause_ms(4), watch_pause_ms(1))
        self.assertGreater(watch_pause_ms(20), watch_pause_ms(4))


class TestWatcher(StoreTest):
    """The notifications that a listener receives."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.listener = RecordingListener()
        self.exchange = self.make_exchange()
        self.watcher = StoreWatcher(
            self.address, self.listener, count_entries=lambda: 1, exchange=self.exchange
        )
        self.platform.put("op/config", as_bytes(config(3)))
        self.platform.put("servers/i-1", as_bytes(registration("10.0.0.1:80")))
        self.platform.put("servers/i-2", b"\xff")

    def make_exchange(self) -> Alone:
        """Return the exchange with the entries of the failure domain."""
        return Alone()

    async def asyncTearDown(self) -> None:
        await self.watcher.close()
        await super().asyncTearDown()

    async def test_initial_state_and_changes(self) -> None:
        self.watcher.start()
        await self.listener.wait_until_recorded("table", 3)
        await self.listener.wait_until_recorded("listed", ["i-1"], ["i-2"])
        self.platform.put("op/config", as_bytes(config(9)))
        await self.listener.wait_until_recorded("table", 9)
        self.platform.put(
            "op/version/m.a1", as_bytes({"model": "m", "adapter": "a1", "version": 2})
        )
        await self.listener.wait_until_recorded("adapter", "m", "a1", 2)
        leaving = registration("10.0.0.1:80", state="draining")
        self.platform.put("servers/i-1", as_bytes(leaving))
        await self.listener.wait_until_recorded("put", "i-1", True)
        self.platform.remove("servers/i-1")
        await self.listener.wait_until_recorded("removed", "i-1")

    async def test_an_answer_counts_as_old_as_its_question(self) -> None:
        # An answer may have waited in the socket of a process that stood still.
        with mock.patch.object(_watch, "MIN_WATCH_PAUSE_MS", 50):
            before_ms = monotonic_ms()
            self.watcher.start()
            await self.listener.wait_until_recorded("listed", ["i-1"], ["i-2"])
            self.assertGreaterEqual(self.listener.confirmed_ms, before_ms)
            while not self.platform.watched.count("servers/"):  # noqa: ASYNC110 - the store's list
                await asyncio.sleep(0.005)
            asked_ms = monotonic_ms()
            await asyncio.sleep(0.2)
            self.platform.remove("servers/i-1")
            await self.listener.wait_until_recorded("removed", "i-1")
            await asyncio.sleep(0)
            self.assertLessEqual(self.listener.confirmed_ms, asked_ms)

    async def test_an_error_of_the_listener_does_not_end_the_reading(self) -> None:
        failed = mock.Mock(side_effect=[ZeroDivisionError, None])
        with (
            mock.patch.object(self.listener, "adapter_published", failed),
            mock.patch.object(_watch, "FAILED_PAUSE_MS", 10),
        ):
            self.watcher.start()
            await self.listener.wait_until_recorded("table", 3)
            document = {"model": "m", "adapter": "a1", "version": 2}
            self.platform.put("op/version/m.a1", as_bytes(document))
            self.platform.put("op/config", as_bytes(config(4)))
            await self.listener.wait_until_recorded("table", 4)
        self.assertEqual(failed.call_count, 2)

    async def test_an_invalid_configuration_changes_nothing(self) -> None:
        self.watcher.start()
        await self.listener.wait_until_recorded("table", 3)
        self.platform.put("op/config", b"{")
        self.platform.put("op/config", as_bytes(config(4)))
        await self.listener.wait_until_recorded("table", 4)

    async def test_lost_history_causes_a_new_listing(self) -> None:
        self.watcher.start()
        await self.listener.wait_until_recorded("listed", ["i-1"], ["i-2"])
        self.platform.faults = StoreFaults(history_lost=True)
        self.platform.put("servers/i-3", as_bytes(registration("10.0.0.3:80")))
        await self.listener.wait_until_recorded("listed", ["i-1", "i-3"], ["i-2"])

    async def test_loss_and_return_of_the_store_are_reported(self) -> None:
        self.watcher.start()
        await self.listener.wait_until_recorded("listed", ["i-1"], ["i-2"])
        self.platform.faults = StoreFaults(status=503)
        self.platform.put("servers/i-1", as_bytes(registration("10.0.0.1:80", seq=2)))
        await self.listener.wait_until_recorded("lost")
        self.platform.faults = StoreFaults()
        await self.listener.wait_until_recorded("back")

    async def rewind(self, revision: int) -> None:
        """Restore the store's state at *revision* while the watcher waits for changes."""
        self.platform.rewind(revision)
        await self.listener.wait_until_recorded("rewound")

    async def test_a_rewind_during_a_watch_causes_a_new_listing(self) -> None:
        revision = self.platform.revision
        self.watcher.start()
        await self.listener.wait_until_recorded("listed", ["i-1"], ["i-2"])
        self.platform.put("servers/i-3", as_bytes(registration("10.0.0.3:80")))
        await self.listener.wait_until_recorded("put", "i-3", False)
        await self.rewind(revision)
        notifications = self.listener.notifications
        following = notifications[notifications.index(("rewound",)) + 1 :]
        # The publications are listed again by a watch of their own, sooner or later than these.
        of_registrations = [each for each in following if each[0] not in ("evacuations", "table")]
        self.assertEqual(of_registrations, [("listed", ["i-1"], ["i-2"])])

    async def test_revisions_that_are_given_out_again_hide_no_change(self) -> None:
        """A process that was frozen across the rewind has a revision that exists again."""
        revision = self.platform.revision
        self.watcher.start()
        await self.listener.wait_until_recorded("listed", ["i-1"], ["i-2"])
        self.platform.put("servers/i-3", as_bytes(registration("10.0.0.3:80")))
        await self.listener.wait_until_recorded("put", "i-3", False)
        self.platform.rewind(revision)
        for number in (4, 5, 6):
            registered = as_bytes(registration(f"10.0.0.{number}:80"))
            self.platform.put(f"servers/i-{number}", registered)
        await self.listener.wait_until_recorded("listed", ["i-1", "i-4", "i-5", "i-6"], ["i-2"])

    async def test_two_rewinds_in_a_row(self) -> None:
        revision = self.platform.revision
        self.watcher.start()
        await self.listener.wait_until_recorded("listed", ["i-1"], ["i-2"])
        self.platform.put("servers/i-3", as_bytes(registration("10.0.0.3:80")))
        await self.listener.wait_until_recorded("put", "i-3", False)
        await self.rewind(revision)
        self.platform.rewind(revision - 1)
        await self.listener.wait_until_recorded("listed", ["i-1"], [])

    async def test_few_calls_go_to_a_store_that_refuses(self) -> None:
        self.platform.faults = StoreFaults(status=429)
        self.watcher.start()
        await asyncio.sleep(0.5)
        max_calls = 2 * (1 + 500 / _watch.MIN_RETRY_PAUSE_MS)
        self.assertLessEqual(len(self.platform.calls), max_calls)

    async def test_what_was_read_is_passed_on(self) -> None:
        self.watcher.start()
        await self.listener.wait_until_recorded("listed", ["i-1"], ["i-2"])
        base = self.platform.revision
        self.platform.put("servers/i-3", as_bytes(registration("10.0.0.3:80")))
        self.platform.remove("servers/i-1")
        await self.listener.wait_until_recorded("removed", "i-1")
        steps = [s for s in self.exchange.published if s.kind is FeedKind.REGISTRATIONS]
        self.assertEqual(steps[0].base, base)
        self.assertEqual(steps[-1].revision, self.platform.revision)
        self.assertEqual([e.endpoint_id for s in steps for e in s.endpoints], ["i-3"])
        self.assertEqual([r for s in steps for r in s.removed], ["i-1"])

    async def test_a_version_is_passed_on_and_a_configuration_is_not(self) -> None:
        self.watcher.start()
        await self.listener.wait_until_recorded("table", 3)
        document = {"model": "m", "adapter": "a1", "version": 2}
        self.platform.put("op/version/m.a1", as_bytes(document))
        await self.listener.wait_until_recorded("adapter", "m", "a1", 2)
        self.platform.put("op/config", as_bytes(config(9)))
        await self.listener.wait_until_recorded("table", 9)
        steps = [s for s in self.exchange.published if s.kind is FeedKind.PUBLICATIONS]
        versions = [version for s in steps if s.is_complete for version in s.versions]
        self.assertEqual(versions, [("m", "a1", 2)])
        self.assertFalse(steps[-1].is_complete)

    async def test_an_evacuation_begins_and_ends(self) -> None:
        """The value of the key is not read; what is passed on has followers read it too."""
        self.platform.put("op/evacuate/west", b"\xff")
        listed = self.platform.revision
        self.watcher.start()
        await self.listener.wait_until_recorded("evacuations", {"west": listed}, listed, 1)
        self.platform.put("op/evacuate/east", b"{}")
        begun = self.platform.revision
        await self.listener.wait_until_recorded("evacuation", "east", True, begun, 1)
        self.platform.remove("op/evacuate/east")
        ended = self.platform.revision
        await self.listener.wait_until_recorded("evacuation", "east", False, ended, 1)
        steps = [s for s in self.exchange.published if s.kind is FeedKind.PUBLICATIONS]
        self.assertFalse(any(s.is_complete for s in steps if s.revision > s.base))

    async def test_an_evacuation_of_an_absurd_domain_is_ignored(self) -> None:
        """An empty, a huge or an unprintable name must not fill logs, memory or datagrams."""
        for name in ("", "x" * 10_000, "\u00e9st", "a\nb"):
            self.platform.put(f"op/evacuate/{name}", b"{}")
        self.platform.put("op/evacuate/west", b"{}")
        revision = self.platform.revision
        self.watcher.start()
        await self.listener.wait_until_recorded("evacuations", {"west": revision}, revision, 1)
        for name in ("", "x" * 10_000, "\u00e9st", "a\nb"):
            self.platform.put(f"op/evacuate/{name}", b"{}")
        self.platform.put("op/evacuate/north", b"{}")
        revision = self.platform.revision
        await self.listener.wait_until_recorded("evacuation", "north", True, revision, 1)
        events = [n for n in self.listener.notifications if n[0] == "evacuation"]
        self.assertEqual(len(events), 1)


class TestFollower(TestWatcher):
    """An entry that relies on its reader; without its steps it behaves as an entry alone does."""

    def make_exchange(self) -> Follower:
        return Follower()

    async def start(self) -> int:
        """Start the watcher; return the revision of its listing."""
        self.watcher.start()
        await self.listener.wait_until_recorded("listed", ["i-1"], ["i-2"])
        return self.platform.revision

    def step(self, base: int, revision: int, **changes: object) -> None:
        """Pass a step of the reader to the watcher."""
        fields = {"kind": FeedKind.REGISTRATIONS, "era": 1, "is_complete": True, **changes}
        step = FeedStep(base=base, revision=revision, **fields)
        self.exchange.steps_by_kind[step.kind].put_nowait(step)

    def watches(self) -> int:
        """Return how many watches of registrations the store has received."""
        return self.platform.watched.count("servers/")

    async def test_steps_replace_calls(self) -> None:
        for kind, silence_ms in dict(_watch.SILENT_AFTER_MS).items():
            self.addCleanup(_watch.SILENT_AFTER_MS.__setitem__, kind, silence_ms)
            _watch.SILENT_AFTER_MS[kind] = 60_000.0
        revision = await self.start()
        self.step(revision, revision)
        self.step(revision, revision + 1, endpoints=(endpoint("e4"),), removed=("i-1",))
        await self.listener.wait_until_recorded("removed", "i-1")
        self.assertIn(("put", "e4", False), self.listener.notifications)
        before = self.watches()
        for number in range(2, 12):
            await asyncio.sleep(0.1)
            self.step(revision + number - 1, revision + number)
        self.assertEqual(self.watches(), before)

    async def test_a_step_without_anything_new_confirms_nothing(self) -> None:
        # A reader that stood still passes on what it has read before.
        self.addCleanup(_watch.SILENT_AFTER_MS.update, dict(_watch.SILENT_AFTER_MS))
        _watch.SILENT_AFTER_MS[FeedKind.REGISTRATIONS] = 60_000.0
        revision = await self.start()
        self.step(revision, revision + 1)
        await asyncio.sleep(0.1)
        confirmed_ms = self.listener.confirmed_ms
        self.step(revision, revision + 1)
        await asyncio.sleep(0.1)
        self.assertEqual(self.listener.confirmed_ms, confirmed_ms)
        self.step(revision + 1, revision + 2)
        await asyncio.sleep(0.1)
        self.assertGreater(self.listener.confirmed_ms, confirmed_ms)

    async def test_a_missing_step_causes_a_read(self) -> None:
        revision = await self.start()
        self.platform.put("servers/i-3", as_bytes(registration("10.0.0.3:80")))
        self.platform.put("servers/i-4", as_bytes(registration("10.0.0.4:80")))
        self.step(revision + 1, revision + 2, endpoints=(endpoint("e4"),))
        await self.listener.wait_until_recorded("put", "i-3", False)
        await self.listener.wait_until_recorded("put", "i-4", False)

    async def test_changed_publications_are_read(self) -> None:
        revision = await self.start()
        self.platform.put("op/config", as_bytes(config(9)))
        self.step(revision, revision + 1, kind=FeedKind.PUBLICATIONS, is_complete=False)
        await self.listener.wait_until_recorded("table", 9)

    async def test_announced_versions_are_passed_on(self) -> None:
        revision = await self.start()
        versions = (("m", "a7", 3),)
        self.step(revision, revision + 1, kind=FeedKind.PUBLICATIONS, versions=versions)
        await self.listener.wait_until_recorded("adapter", "m", "a7", 3)

    async def test_a_silent_reader_is_replaced(self) -> None:
        revision = await self.start()
        self.step(revision, revision)
        self.platform.put("servers/i-3", as_bytes(registration("10.0.0.3:80")))
        await self.listener.wait_until_recorded("put", "i-3", False)

    async def test_a_step_of_a_later_era_causes_a_listing(self) -> None:
        revision = await self.start()
        self.platform.put("servers/i-3", as_bytes(registration("10.0.0.3:80")))
        await self.listener.wait_until_recorded("put", "i-3", False)
        self.platform.rewind(revision)
        self.step(revision, revision, era=2)
        await self.listener.wait_until_recorded("rewound")

    async def test_a_late_step_of_an_earlier_era_changes_nothing(self) -> None:
        self.platform.era = 5
        revision = await self.start()
        self.step(revision, revision + 9, endpoints=(endpoint("e4"),))
        self.step(revision, revision + 1, era=5, endpoints=(endpoint("e5"),))
        await self.listener.wait_until_recorded("put", "e5", False)
        self.assertNotIn(("put", "e4", False), self.listener.notifications)

    async def test_an_outage_that_the_reader_noticed_is_passed_on(self) -> None:
        revision = await self.start()
        self.step(revision, revision + 1, restored_ago_ms=70.0, removed=("i-1",))
        await self.listener.wait_until_recorded("removed", "i-1")
        self.assertIn(("restored before", 70.0), self.listener.notifications)
