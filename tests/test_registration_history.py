"""What the store still remembers of registrations, read from a stand-in that forgets some."""

import unittest

from skylarkrack.platform._history import StoreHistory
from skylarkrack.platform._store import Store
from standins.platform_store import PlatformStore, StoreFaults
from tests.platform_builders import as_bytes, registration

HEARTBEAT_MS = 1200.0


class TestStoreHistory(unittest.IsolatedAsyncioTestCase):
    """A store with three endpoints, one of which has left."""

    async def asyncSetUp(self) -> None:
        self.store = PlatformStore()
        self.addAsyncCleanup(self.store.close)
        await self.store.start("127.0.0.1:0")
        host, port = self.store.bound_address
        self.client = Store(f"{host}:{port}")
        self.addCleanup(self.client.close)
        for beat in range(20):
            for number in range(3):
                if number < 2 or beat < 15:
                    document = registration("10.0.0.1:80", version=f"v{number}", seq=beat)
                    self.store.put(f"servers/i-{number}", as_bytes(document))
        self.store.remove("servers/i-2")

    def history(self, *, history_ms: float = 30_000.0) -> StoreHistory:
        """Return the reader of an entry that has read all that the store holds."""
        return StoreHistory(
            self.client,
            "servers/",
            position=lambda: (self.store.era, self.store.revision),
            heartbeat_ms=HEARTBEAT_MS,
            history_ms=history_ms,
        )

    async def test_an_endpoint_that_has_left_is_remembered(self) -> None:
        recalled = await self.history().recall(2)
        self.assertEqual(recalled.versions_of("desk"), {"v0", "v1", "v2"})
        self.assertEqual(len(recalled.writes), 55)

    async def test_the_store_remembers_less_than_is_asked_for(self) -> None:
        """Guards against nothing being known because the first question went too far back."""
        self.store.keep_after(self.store.revision - 30)
        recalled = await self.history(history_ms=60_000.0).recall(2)
        self.assertGreater(len(recalled.writes), 20)
        self.assertLessEqual(len(recalled.writes), 30)

    async def test_the_store_sends_the_history_in_parts(self) -> None:
        """Guards against a history that ends with the first answer."""
        self.store.max_events = 7
        self.assertEqual(len((await self.history().recall(2)).writes), 55)

    async def test_the_store_remembers_nothing(self) -> None:
        self.store.faults = StoreFaults(history_lost=True)
        self.assertIsNone(await self.history().recall(2))

    async def test_the_store_does_not_answer(self) -> None:
        self.store.faults = StoreFaults(status=503)
        self.assertIsNone(await self.history().recall(2))

    async def test_the_store_was_restored_since(self) -> None:
        """Guards against revisions that mean something else after a restore."""
        history = StoreHistory(
            self.client,
            "servers/",
            position=lambda: (self.store.era - 1, self.store.revision),
            heartbeat_ms=HEARTBEAT_MS,
            history_ms=24_000.0,
        )
        self.assertIsNone(await history.recall(2))

    async def test_registrations_that_cannot_be_read_are_left_out(self) -> None:
        self.store.put("servers/i-9", b"\xff")
        self.assertEqual(len((await self.history().recall(2)).writes), 55)
