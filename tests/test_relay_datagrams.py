"""Datagrams that arrive faster than the event loop goes round."""

import asyncio
import itertools
import socket
import unittest
from unittest import mock

from skylarkrack._addresses import split_address
from skylarkrack.messages import Ping
from skylarkrack.relay import _datagrams
from skylarkrack.relay._datagrams import MAX_DATAGRAMS_PER_ROUND, Datagrams
from skylarkrack.wire import encode_body
from tests.platform_builders import free_address


class TestArrived(unittest.IsolatedAsyncioTestCase):
    """Messages that have arrived while a busy process was in one round of its event loop."""

    async def asyncSetUp(self) -> None:
        self.received: list[int] = []
        self.datagrams = Datagrams(lambda message, *_: self.handle(message))
        self.address = free_address()
        await self.datagrams.start(self.address)
        self.addCleanup(self.datagrams.close)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.sender.close)

    def handle(self, message: Ping) -> None:
        """Record a message, and fail on one with a negative number."""
        if message.sequence < 0:
            raise OverflowError(message.sequence)
        self.received.append(message.sequence)

    def send(self, *numbers: int) -> None:
        """Send messages to the socket; the event loop does not run meanwhile."""
        for number in numbers:
            data = encode_body(Ping(sequence=number))
            self.sender.sendto(data, split_address(self.address))

    async def rounds_until(self, count: int) -> int:
        """Return after how many rounds of the event loop *count* messages were handled."""
        for rounds in range(1000):
            if len(self.received) >= count:
                return rounds
            await asyncio.sleep(0)
        return 1000

    async def test_control_messages_do_not_wait_one_round_of_the_loop_each(self) -> None:
        self.send(*range(100))
        self.assertLessEqual(await self.rounds_until(100), 3)
        self.assertEqual(self.received, list(range(100)))

    async def test_other_work_goes_on_between_many_messages(self) -> None:
        count = 2 * MAX_DATAGRAMS_PER_ROUND
        self.send(*range(count))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertLess(len(self.received), count)
        self.assertLessEqual(await self.rounds_until(count), 5)

    async def test_other_work_goes_on_between_messages_that_take_long(self) -> None:
        with mock.patch.object(_datagrams, "monotonic_ms", side_effect=itertools.count(0.0, 6.0)):
            self.send(*range(8))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertLessEqual(len(self.received), 4)
            self.assertLessEqual(await self.rounds_until(8), 5)

    async def test_a_message_that_can_not_be_handled_does_not_hold_up_others(self) -> None:
        self.send(1, -1, 2)
        await self.rounds_until(2)
        self.assertEqual(self.received, [1, 2])
        self.assertEqual(self.datagrams.rejected, 1)
