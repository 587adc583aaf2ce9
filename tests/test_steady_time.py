"""The time of asynchronous tests on a machine that stalls the process."""

import asyncio
import time
import unittest
from unittest import mock

from skylarkrack import _clock
from skylarkrack._clock import monotonic_ms
from skylarkrack.web import HttpClient
from standins.platform_worker import PlatformWorker, answer
from tests.held_clock import HeldClock
from tests.steady_time import MAX_STEP_S

STALL_S = 0.2


class TestSteadyTime(unittest.IsolatedAsyncioTestCase):
    """A stall passes in no more time than one round of the event loop."""

    async def test_a_stall_ends_no_wait(self) -> None:
        """Guards against tests that fail because a time-out is due before an answer is read."""
        worker = PlatformWorker([answer()])
        await worker.start()
        client = HttpClient(worker.address)
        asyncio.get_running_loop().call_soon(time.sleep, STALL_S)
        response = await client.request("GET", "/", timeout_ms=STALL_S * 500)
        asyncio.get_running_loop().call_soon(time.sleep, STALL_S)
        self.assertEqual(await response.read_body(timeout_ms=STALL_S * 500), b"done")
        client.close()
        await worker.close()

    async def test_the_monotonic_clock_shows_the_time_of_the_loop(self) -> None:
        """Guards against decisions that see a stall which the timers don't."""
        loop = asyncio.get_running_loop()
        before_ms, before_s = monotonic_ms(), loop.time()
        loop.call_soon(time.sleep, STALL_S)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        passed_s = loop.time() - before_s
        self.assertLessEqual(passed_s, 3 * MAX_STEP_S)
        self.assertAlmostEqual(monotonic_ms() - before_ms, passed_s * 1000)

    async def test_a_sleep_takes_no_less_than_its_time(self) -> None:
        """Guards against a time that runs ahead: waits for what must not happen would see less."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0)
        ahead_s = loop.time() - time.monotonic()
        await asyncio.sleep(10 * MAX_STEP_S)
        self.assertLessEqual(loop.time() - time.monotonic(), ahead_s + MAX_STEP_S)


class TestHeldClock(unittest.TestCase):
    """What a held clock shows has passed is what it was advanced by."""

    def test_a_time_out_is_due_when_it_has_passed(self) -> None:
        # A rounding error kept a time-out of 40 ms from ever being due under a clock that stands.
        for uptime_s in (4100, 4150, 4194, 8300, 600_000):
            for part in range(200):
                now_s = uptime_s + part / 2048.7
                with (
                    mock.patch.object(_clock.time, "clock_gettime", return_value=now_s),
                    HeldClock() as clock,
                ):
                    before_ms = monotonic_ms()
                    clock.advance(39.0)
                    clock.advance(1.0)
                    self.assertEqual(monotonic_ms() - before_ms, 40.0)
