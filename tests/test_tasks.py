"""Background tasks whose steps fail."""

import asyncio
import unittest
from unittest import mock

from skylarkrack import _tasks
from tests.test_relay_fleet import entry, settings, until


class TestRepeat(unittest.IsolatedAsyncioTestCase):
    """A task goes on after an error that nobody expected."""

    async def test_an_entry_goes_on_sending_after_a_step_that_failed(self) -> None:
        one = entry(settings("n1"))
        advance = mock.Mock(side_effect=[OverflowError, *[None] * 1000])
        with (
            mock.patch.object(_tasks, "FAILED_PAUSE_MS", 10.0),
            mock.patch.object(one.registry.__class__, "advance", new=advance),
        ):
            await one.start()
            self.addAsyncCleanup(one.close)
            await until(lambda: advance.call_count >= 3)

    async def test_cancelling_ends_it(self) -> None:
        task = asyncio.create_task(_tasks.repeat(lambda: asyncio.sleep(0), name="x"))
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
