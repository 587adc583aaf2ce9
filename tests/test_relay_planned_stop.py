"""Requests that come late in the grace of a planned stop, or are still open at its end."""

import asyncio
import contextlib
import unittest
from collections.abc import Iterator
from unittest import mock

from skylarkrack.core.relay import GracePeriod
from skylarkrack.relay._request_handler import RequestHandler
from standins.platform_worker import PlatformWorker, Reply, answer, refusal, silence, stream
from tests.platform_builders import EntryHarness, model_request, request
from tests.relay_builders import pending_request, route
from tests.test_relay_path import EVENTS, PathTest, is_whole, status_of

GRACE_MS = 8000.0
"""The grace of an `EntryHarness`."""


@contextlib.contextmanager
def grace(left_ms: float) -> Iterator[None]:
    """Let a planned stop interrupt the open requests after *left_ms*."""
    entry = "skylarkrack.relay._entry"
    with (
        mock.patch(f"{entry}.DRAIN_DELAY_MS", 10.0),
        mock.patch(f"{entry}.SHUTDOWN_RESERVE_MS", GRACE_MS - left_ms),
    ):
        yield


def slow(then: Reply, *, after_s: float) -> Reply:
    """Return a reply that comes after some time."""

    async def reply(seen: object, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(after_s)
        return await then(seen, writer)

    return reply


class TestLateRequests(PathTest):
    """A request that can't end within the grace isn't passed on, and its refusal says so."""

    async def late_answer(
        self, worker: PlatformWorker, data: bytes, *, late: bytes, left_ms: float, service: str
    ) -> bytes:
        """Send *data* before a planned stop and *late* after it began; return the answer."""
        with grace(left_ms):
            async with EntryHarness(worker, service=service) as harness:
                reader, writer = await harness.connect()
                writer.write(data)
                await asyncio.sleep(0.05)
                stopping = asyncio.ensure_future(harness.entry.drain())
                await asyncio.sleep(0.1)
                writer.write(late)
                async with asyncio.timeout(5):
                    await stopping
                    await harness.entry.close()
                    received = await reader.read(-1)
                writer.close()
        return received

    async def test_a_request_whose_body_came_late_is_refused_before_it_is_passed_on(self) -> None:
        # The endpoint takes longer than the rest of the grace, so its answer could not be returned.
        for path, method in (("/pay/1", "POST"), ("/look/1", "GET")):
            with self.subTest(path=path):
                worker = PlatformWorker([slow(answer(), after_s=0.5)])
                data = request(path, method=method, body=b"fee")
                response = await self.late_answer(
                    worker, data[:-1], late=data[-1:], left_ms=300.0, service="desk"
                )
                self.assertEqual(status_of(response), 503)
                self.assertIn(b"not_run", response)
                self.assertEqual(worker.received, [])

    async def test_a_request_that_fits_is_answered(self) -> None:
        worker = PlatformWorker([answer()])
        data = request("/pay/1", method="POST", body=b"fee")
        response = await self.late_answer(
            worker, data[:-1], late=data[-1:], left_ms=2000.0, service="desk"
        )
        self.assertEqual(status_of(response), 200)

    async def test_a_request_that_waits_is_refused_before_the_end_of_the_grace(self) -> None:
        worker = PlatformWorker([refusal(extra="Retry-After: 0.5\r\n"), answer()])
        with mock.patch.object(RequestHandler, "interrupt_all", side_effect=AssertionError):
            response = await self.late_answer(
                worker, request(), late=b"", left_ms=400.0, service="desk"
            )
        self.assertEqual(status_of(response), 503)
        self.assertIn(b"not_run", response)
        self.assertEqual(len(worker.received), 1)


class TestEndOfTheGrace(PathTest):
    """What was passed on gets an answer that promises nothing, rather than a closed connection."""

    async def interrupted(self, worker: PlatformWorker, data: bytes, *, service: str) -> bytes:
        """Return what the caller of a request gets that is open at the end of the grace."""
        with grace(200.0):
            async with EntryHarness(worker, service=service) as harness:
                answered = asyncio.ensure_future(harness.send_raw(data))
                await asyncio.wait_for(worker.first_received.wait(), 2)
                await harness.entry.drain()
                await harness.entry.close()
                return await answered

    async def test_a_request_that_may_have_run_gets_an_answer(self) -> None:
        rows = (
            (request("/pay/1", method="POST", body=b"fee"), "desk"),
            (request(), "desk"),
            (model_request(), "llm"),
        )
        for data, service in rows:
            with self.subTest(data=data[:12]):
                response = await self.interrupted(
                    PlatformWorker([silence()]), data, service=service
                )
                self.assertEqual(status_of(response), 502)
                self.assertIn(b"unknown", response)

    async def test_a_stream_that_has_begun_does_not_look_whole(self) -> None:
        worker = PlatformWorker([_unfinished_stream])
        response = await self.interrupted(worker, model_request(), service="llm")
        self.assertIn(EVENTS[0], response)
        self.assertFalse(is_whole(response))


async def _unfinished_stream(seen: object, writer: asyncio.StreamWriter) -> bool:
    await stream(EVENTS[0], ends=False)(seen, writer)
    await asyncio.sleep(5)
    return False


class TestGracePeriod(unittest.TestCase):
    """Which runs may begin, given what is left and what the route's runs usually take."""

    def setUp(self) -> None:
        self.grace = GracePeriod()

    def may_begin(self, left_ms: float, *, deadline_ms: float = 800.0, **changes: object) -> bool:
        """Return whether a run of a route may begin with so much of the grace left."""
        self.grace.begin(left_ms)
        fields = {"is_stream": False, "timeout_ms": 800.0, "objective_ms": 100.0, **changes}
        request = pending_request(route=route(**fields), deadline_ms=deadline_ms)
        return self.grace.may_begin(request, 0.0)

    def test_all_runs_begin_before_a_stop(self) -> None:
        self.assertTrue(self.grace.may_begin(pending_request(deadline_ms=1e9), 0.0))

    def test_a_request_that_may_run_once_needs_its_whole_time(self) -> None:
        self.assertFalse(self.may_begin(799.0))

    def test_a_short_deadline_fits(self) -> None:
        self.assertTrue(self.may_begin(300.0, deadline_ms=250.0))

    def test_others_need_what_their_runs_usually_take(self) -> None:
        for took_ms in range(100, 120):
            self.grace.record_run(route(), took_ms)
        self.assertTrue(self.may_begin(118.0, is_idempotent=True))
        self.assertFalse(self.may_begin(110.0, is_idempotent=True))

    def test_a_route_without_runs_is_taken_for_slower_than_its_objective(self) -> None:
        self.assertTrue(self.may_begin(400.0, is_idempotent=True))
        self.assertFalse(self.may_begin(399.0, is_idempotent=True))

    def test_a_stream_needs_what_streams_usually_take(self) -> None:
        for _ in range(20):
            self.grace.record_run(route(), 3000.0)
        self.assertTrue(self.may_begin(3100.0, is_stream=True, deadline_ms=20_000.0))
        self.assertFalse(self.may_begin(2900.0, is_stream=True, deadline_ms=20_000.0))
