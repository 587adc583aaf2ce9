"""An entry that is killed and back before any other entry misses it."""

import asyncio
import unittest

from skylarkrack._clock import monotonic_ms
from skylarkrack.platform._headers import PlatformCodec
from skylarkrack.relay import RelayEntry, RelaySettings
from tests.relay_builders import endpoint
from tests.test_relay_fleet import settings, until

LIMIT_PER_S = 1.5
REPORTED_S = 1.0
"""Time after which what is new of a limit has been reported as often as it ever is."""


class TestRestart(unittest.IsolatedAsyncioTestCase):
    """Two entries; the one that spaces the requests to a limited endpoint starts again."""

    async def start(self, entry_settings: RelaySettings, incarnation: str) -> RelayEntry:
        """Start an entry."""
        started = RelayEntry(entry_settings, codec=PlatformCodec(), incarnation=incarnation)
        await started.start()
        self.addAsyncCleanup(started.close)
        return started

    async def test_it_is_told_of_limits_again(self) -> None:
        # It granted requests as if there were no limit, until an answer named it.
        first = settings("n1")
        second = settings("n2", first.peers)
        staying, killed = await self.start(first, "a"), await self.start(second, "b")
        await until(lambda: staying.count_entries() == killed.count_entries() == 2)
        limits = staying._dispatcher.rate_limits
        await until(lambda: len(self.homes(staying)) == 2)
        key = next(key for key in self.keys() if not limits.is_home(key))
        limits.record_answer(key, LIMIT_PER_S, sent_ms=monotonic_ms(), now_ms=monotonic_ms())
        await until(lambda: self.limit_at(killed, key) == LIMIT_PER_S)
        await asyncio.sleep(REPORTED_S)
        await killed.close()
        back = await self.start(second, "c")
        await until(lambda: self.limit_at(back, key) == LIMIT_PER_S, seconds=1.5)

    def keys(self) -> list[tuple[str, int]]:
        """Return endpoints of which both entries are homes of some."""
        return [endpoint(f"e{number}").key for number in range(20)]

    def homes(self, entry: RelayEntry) -> set[bool]:
        """Return whether the entry is the home of endpoints."""
        return {entry._dispatcher.rate_limits.is_home(key) for key in self.keys()}

    def limit_at(self, entry: RelayEntry, key: tuple[str, int]) -> float:
        """Return the limit that an entry knows."""
        return entry._dispatcher.rate_limits.limit_per_s(key)


if __name__ == "__main__":
    unittest.main()
