"""When the decisions about waiting requests are made, and how many requests one of them sends."""

import asyncio
import unittest
from unittest import mock

from skylarkrack._clock import monotonic_ms
from skylarkrack.core.relay import Call, Dispatcher, EngineStateReceived, SendTo, WaitFor
from skylarkrack.relay._placement_queue import TICK_MS, PlacementQueue
from tests.relay_builders import MODEL, dispatcher, endpoint, need, pending_request, state

WAITING = 30
MESSAGES = 50


class TestPasses(unittest.IsolatedAsyncioTestCase):
    """An adapter shift: agents report changes faster than an entry can decide about its queue."""

    async def asyncSetUp(self) -> None:
        self.engine = endpoint("e1")
        self.queue = PlacementQueue(dispatcher(self.engine, states=(state(monotonic_ms()),)))
        self.addCleanup(self.queue.close)

    def place(self, count: int) -> list[asyncio.Task]:
        """Let requests wait for an adapter."""
        now_ms, tasks = monotonic_ms(), []
        for number in range(count):
            call = Call(
                request_id=f"r{number}", arrived_ms=now_ms, patience_ms=12_000.0, need=need()
            )
            pending = pending_request(call=call, deadline_ms=now_ms + 12_000.0)
            tasks.append(asyncio.ensure_future(self.queue.place(pending)))
        for task in tasks:
            self.addCleanup(task.cancel)
        return tasks

    async def test_the_messages_of_one_round_lead_to_one_decision(self) -> None:
        # A decision about the whole queue for each message made the rounds of an entry too long.
        with mock.patch.object(
            Dispatcher, "take_ready", autospec=True, side_effect=Dispatcher.take_ready
        ) as passes:
            self.place(WAITING)
            await asyncio.sleep(2 * TICK_MS / 1000)
            self.assertEqual(self.queue.dispatcher.waiting_count(), WAITING)
            before = passes.call_count
            for _ in range(MESSAGES):
                self.queue.wake()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertLessEqual(passes.call_count - before, 1)

    async def test_a_change_is_decided_about_before_the_next_tick(self) -> None:
        (task,) = self.place(1)
        await asyncio.sleep(0)
        changed = EngineStateReceived(key=self.engine.key, state=state(monotonic_ms(), "a1"))
        self.queue.dispatcher.observe(changed)
        with mock.patch("skylarkrack.relay._placement_queue.TICK_MS", 60_000.0):
            self.queue.wake()
            async with asyncio.timeout(1):
                self.assertIsInstance(await task, SendTo)

    async def test_the_queue_goes_on_after_a_pass(self) -> None:
        (task,) = self.place(1)
        await asyncio.sleep(3 * TICK_MS / 1000)
        changed = EngineStateReceived(key=self.engine.key, state=state(monotonic_ms(), "a1"))
        self.queue.dispatcher.observe(changed)
        async with asyncio.timeout(1):
            self.assertIsInstance(await task, SendTo)


class TestOnePass(unittest.TestCase):
    """One pass sends what one decision after another would send."""

    def test_each_request_that_is_sent_counts_for_the_next(self) -> None:
        for slots, prompts in ((2, 4), (4, 9), (50, 40)):
            with self.subTest(slots=slots):
                self.assertEqual(
                    self.sent_in_one_pass(slots, prompts), self.sent_one_by_one(slots, prompts)
                )

    def sent_in_one_pass(self, slots: int, count: int) -> list[str]:
        """Return the requests that one pass sends once their adapter is loaded."""
        engine = endpoint("e1", slots=slots)
        entry = dispatcher(engine, states=(state(0.0),))
        for number in range(count):
            waiting = pending_request(f"r{number}")
            entry.add_waiting(waiting, entry.decide(waiting, 0.0))
        entry.observe(EngineStateReceived(key=engine.key, state=state(1.0, "a1")))
        return [request.call.request_id for request, _ in entry.take_ready(1.0)]

    def sent_one_by_one(self, slots: int, count: int) -> list[str]:
        """Return the requests that are sent if each begins its run before the next is decided."""
        engine = endpoint("e1", slots=slots)
        entry, sent = dispatcher(engine, states=(state(1.0, "a1"),)), []
        for number in range(count):
            request = pending_request(f"r{number}")
            decision = entry.decide(request, 1.0)
            if isinstance(decision, WaitFor):
                entry.add_waiting(request, decision)
                continue
            sent.append(request.call.request_id)
            need = request.need
            entry.load.start_run(engine.key, tokens=need.tokens, adapter_id=(MODEL, "a1"))
            window_ms = entry.prefill_window_ms(engine.service)
            entry.load.add_prompt(engine.key, need.prompt_tokens, 1.0, window_ms=window_ms)
        return sent
