"""A request that crashes endpoints is refused after two crashes; requests beside it are not.

Guards against a request that is sent again after each crash and takes down one endpoint after the
other, and against refusing requests that only ran at the same time.
"""

import unittest

from skylarkrack.core.relay import CrashTracker
from skylarkrack.core.relay._crashes import QUARANTINE_MS
from standins.platform_worker import (
    PlatformWorker,
    Received,
    Reply,
    answer,
    silence,
    stream,
    without_length,
)
from tests.platform_builders import EntryHarness, model_request, request
from tests.test_relay_path import PathTest, status_of

ONE, TWO, THREE = ("a:1", 1000), ("b:1", 1000), ("c:1", 1000)
BAD, GOOD = b"bad", b"good"


class TestCrashes(unittest.TestCase):
    """Which requests become suspects, and for how long they are refused."""

    def setUp(self) -> None:
        self.crashes = CrashTracker()

    def test_a_suspect_of_two_crashes_is_refused(self) -> None:
        for number, key in enumerate((ONE, TWO)):
            self.assertFalse(self.crashes.is_refused(BAD, 0.0))
            self.crashes.record_loss(BAD, key, float(number))
            self.crashes.record_crash(key, float(number))
        self.assertTrue(self.crashes.is_refused(BAD, 2.0))

    def test_a_lost_answer_alone_is_no_crash(self) -> None:
        for key in (ONE, TWO, THREE):
            self.crashes.record_loss(BAD, key, 0.0)
        self.assertFalse(self.crashes.is_refused(BAD, 0.0))

    def test_a_crash_long_after_the_lost_answer_does_not_count(self) -> None:
        for key in (ONE, TWO):
            self.crashes.record_loss(BAD, key, 0.0)
            self.crashes.record_crash(key, 60_000.0)
        self.assertFalse(self.crashes.is_refused(BAD, 60_000.0))

    def test_a_success_clears_a_suspect(self) -> None:
        self.crashes.record_loss(GOOD, ONE, 0.0)
        self.crashes.record_crash(ONE, 0.0)
        self.crashes.record_success(GOOD, 1.0)
        self.crashes.record_loss(GOOD, TWO, 2.0)
        self.crashes.record_crash(TWO, 2.0)
        self.assertFalse(self.crashes.is_refused(GOOD, 2.0))

    def test_one_that_is_sent_again_and_again_is_no_suspect(self) -> None:
        self.crashes.record_success(GOOD, 0.0)
        for number, key in enumerate((ONE, TWO, THREE)):
            self.crashes.record_loss(GOOD, key, float(number))
            self.crashes.record_crash(key, float(number))
        self.assertFalse(self.crashes.is_refused(GOOD, 3.0))

    def test_a_received_suspect_that_succeeded_here_is_not_refused(self) -> None:
        other = CrashTracker()
        for key in (ONE, TWO):
            other.record_loss(GOOD, key, 0.0)
            other.record_crash(key, 0.0)
        self.crashes.record_success(GOOD, 0.0)
        self.crashes.receive_suspects(other.recent_suspects(), 1.0)
        self.assertFalse(self.crashes.is_refused(GOOD, 1.0))

    def test_the_refusal_ends(self) -> None:
        for key in (ONE, TWO):
            self.crashes.record_loss(BAD, key, 0.0)
            self.crashes.record_crash(key, 0.0)
        self.assertTrue(self.crashes.is_refused(BAD, QUARANTINE_MS - 1))
        self.assertFalse(self.crashes.is_refused(BAD, QUARANTINE_MS))

    def test_two_entries_add_up_and_one_crash_counts_once(self) -> None:
        other = CrashTracker()
        for crashes, key in ((self.crashes, ONE), (other, TWO)):
            crashes.record_loss(BAD, key, 0.0)
            crashes.record_crash(key, 0.0)
        self.crashes.receive_suspects(self.crashes.recent_suspects(), 1.0)
        self.assertFalse(self.crashes.is_refused(BAD, 1.0))
        self.crashes.receive_suspects(other.recent_suspects(), 1.0)
        self.assertTrue(self.crashes.is_refused(BAD, 1.0))


class TestCrashingRequest(PathTest):
    """The same through an entry: the endpoint breaks off and then refuses connections."""

    async def test_the_third_endpoint_survives(self) -> None:
        workers: list[PlatformWorker] = []

        async def crash(seen: Received, writer: object) -> bool:
            if seen.body != b"crash":
                return await answer()(seen, writer)
            worker = next(w for w in workers if seen in w.received)
            worker.crash()
            return False

        workers += [PlatformWorker([crash]) for _ in range(4)]
        statuses = []
        async with EntryHarness(*workers) as rig:
            for number in range(8):
                for body in (b"crash", b"fine"):
                    data = request("/pay/1", method="POST", body=body, request_id=f"{body}{number}")
                    statuses.append((body, status_of(await rig.send_raw(data))))
        crashed = sum(any(r.body == b"crash" for r in worker.received) for worker in workers)
        self.assertLessEqual(crashed, 3)
        self.assertEqual({status for body, status in statuses if body == b"fine"}, {200})
        self.assertEqual(statuses[-2], (b"crash", 503))

    async def test_different_requests_with_a_segment_that_crashes_endpoints(self) -> None:
        await self.send_deadly_and_sound(silence())

    async def test_the_same_where_answers_end_with_their_connection(self) -> None:
        # A crash looks like the end of an answer without a length.
        for begun in (b"", b"id: 1\ndata: a"):
            with self.subTest(begun=begun):
                await self.send_deadly_and_sound(without_length(begun, resets=False))

    async def send_deadly_and_sound(self, last_reply: Reply) -> None:
        """Send requests that have only a segment in common, and sound ones that share all others.

        An endpoint sends *last_reply* before it crashes.
        """
        workers: list[PlatformWorker] = []

        async def crash(seen: Received, writer: object) -> bool:
            if "deadly:" not in seen.headers["x-prompt-prefix"]:
                return await stream(b"id: 1\ndata: a\n\n")(seen, writer)
            await last_reply(seen, writer)
            next(w for w in workers if seen in w.received).crash()
            return False

        workers += [PlatformWorker([crash]) for _ in range(12)]
        sound_statuses = []
        async with EntryHarness(*workers, service="llm") as harness:
            for number in range(20):
                for middle in ("deadly", "sound"):
                    prefix = f"first:10,{middle}:20,own{number}{middle}:5"
                    data = model_request(prefix=prefix, request_id=f"{middle}{number}")
                    status = status_of(await harness.send_raw(data))
                    if middle == "sound":
                        sound_statuses.append(status)
        received = [r for worker in workers for r in worker.received]
        deadly = [r for r in received if "deadly:" in r.headers["x-prompt-prefix"]]
        self.assertLessEqual(len(deadly), 5)
        self.assertEqual(set(sound_statuses), {200})
