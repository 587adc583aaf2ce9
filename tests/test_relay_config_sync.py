"""Configurations that an entry fetches from peers, some of which answer badly."""

import asyncio
import unittest

import msgpack

from skylarkrack._tasks import Tasks
from skylarkrack.core.relay import Dispatcher
from skylarkrack.relay._config_sync import FETCH_TOTAL_MS, ConfigSync
from standins.platform_worker import PlatformWorker, Received, answer
from tests.test_relay_fleet import until


async def trickle(_: Received, writer: asyncio.StreamWriter) -> bool:
    """Send a body without end, a byte now and then."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
    while not writer.is_closing():
        writer.write(b"x")
        await writer.drain()
        await asyncio.sleep(0.1)
    return False


class TestFetch(unittest.IsolatedAsyncioTestCase):
    """An entry that peers tell of a newer configuration, and whose own reads bring nothing."""

    async def asyncSetUp(self) -> None:
        self.applied: list[bytes] = []
        self.tasks = Tasks()
        self.addCleanup(self.tasks.close)
        self.sync = ConfigSync(
            Dispatcher(domain="east"), tasks=self.tasks, apply=self.applied.append
        )

    async def peer(self, reply: object) -> str:
        """Start a peer; return its status address."""
        worker = PlatformWorker([reply])
        await worker.start()
        self.addAsyncCleanup(worker.close)
        return worker.address

    async def test_a_peer_that_sends_a_byte_now_and_then_does_not_hold_up_another(self) -> None:
        slow = await self.peer(trickle)
        sound = await self.peer(answer(msgpack.packb([b"table 9", []])))
        self.sync.fetch_if_newer(slow, 9, 0)
        await asyncio.sleep((FETCH_TOTAL_MS + 500) / 1000)
        self.sync.fetch_if_newer(sound, 9, 0)
        await until(lambda: bool(self.applied))
        self.assertEqual(self.applied, [b"table 9"])
