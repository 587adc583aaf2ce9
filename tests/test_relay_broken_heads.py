"""Endpoints that stop at any byte of an answer, by a close or by a reset.

What the caller gets must not look whole unless the endpoint's answer was whole.
"""

import asyncio
import random

from standins.platform_worker import PlatformWorker, Received, Reply, reset
from tests.platform_builders import EntryHarness, model_request, request
from tests.test_relay_path import PathTest, is_whole, status_of

SEAL = "X-Response-Seal: seal\r\n"
EVENT = b"id: 1\ndata: a\n\n"


def head(*fields: str, status: str = "200 OK", request_id: str = "r1") -> bytes:
    """Return the head of an answer with a proof."""
    lines = [f"HTTP/1.1 {status}", f"X-Attempt-Id: {request_id}", SEAL.strip(), *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def stops_after(data: bytes, *, resets: bool) -> Reply:
    """Return a reply that sends *data* and ends the connection."""

    async def reply(seen: Received, writer: asyncio.StreamWriter) -> bool:
        writer.write(data)
        await writer.drain()
        if resets:
            await asyncio.sleep(0.002)
            reset(writer)
        return False

    return reply


WHOLE_ANSWERS = {
    "length": head("Content-Type: text/plain", "Content-Length: 12") + b"twelve bytes",
    "chunks": head("Transfer-Encoding: chunked") + b"6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
    "bare line ends": head("Content-Length: 12").replace(b"\r\n", b"\n") + b"twelve bytes",
    "after interim answers": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    + head("Content-Length: 12")
    + b"twelve bytes",
}
"""Answers whose ends are marked: each byte but the last is missing from a shorter one."""


class TestPlainAnswers(PathTest):
    """Answers to a request that may run once, so that each is the only one."""

    async def check(self, data: bytes, *, resets: bool) -> bytes:
        """Return what the caller gets from an endpoint that stops after *data*."""
        worker = PlatformWorker([stops_after(data, resets=resets)])
        async with EntryHarness(worker) as harness:
            return await harness.send_raw(request("/pay/1", method="POST", body=b"fee"))

    async def test_an_answer_that_stops_at_any_byte_is_no_success(self) -> None:
        for name, whole in WHOLE_ANSWERS.items():
            for size in range(len(whole)):
                # A reset and a close by turns; the other way round at the next size.
                with self.subTest(answer=name, size=size):
                    response = await self.check(whole[:size], resets=bool(size % 2))
                    self.assertEqual(status_of(response), 502)

    async def test_the_whole_answer_is_a_success(self) -> None:
        for name, whole in WHOLE_ANSWERS.items():
            with self.subTest(answer=name):
                response = await self.check(whole, resets=False)
                self.assertEqual(status_of(response), 200)
                self.assertTrue(response.endswith(b"twelve bytes"))

    async def test_a_head_without_a_length_that_stops_is_no_success(self) -> None:
        # Without a length a close ends the body, but not the head.
        whole = head("Content-Type: text/plain")
        for size in range(len(whole)):
            for resets in (False, True):
                with self.subTest(size=size, resets=resets):
                    response = await self.check(whole[:size], resets=resets)
                    self.assertEqual(status_of(response), 502)

    async def test_a_length_that_stops_within_its_digits(self) -> None:
        lines = head().removesuffix(b"\r\n")
        for end in (b"Content-Length: 1", b"Content-Length: 1\r", b"Content-Length: 1\r\n"):
            for body in (b"", b"\r", b"x"):
                with self.subTest(end=end, body=body):
                    response = await self.check(lines + end + body, resets=False)
                    self.assertEqual(status_of(response), 502)


class TestStreams(PathTest):
    """Streams of events that stop at any byte."""

    async def check(self, data: bytes, *, resets: bool, path: str = "/chat/1") -> bytes:
        """Return what the caller gets from endpoints that stop after *data*."""
        worker = PlatformWorker([stops_after(data, resets=resets)])
        async with EntryHarness(worker, service="llm") as harness:
            return await harness.send_raw(model_request(path))

    async def test_a_stream_that_stops_at_any_byte_is_not_whole(self) -> None:
        event = f"{len(EVENT):x}\r\n".encode() + EVENT + b"\r\n"
        fields = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        whole = head(*fields) + event + b"0\r\n\r\n"
        for path in ("/chat/1", "/draft/1"):
            for size in range(len(whole)):
                with self.subTest(path=path, size=size):
                    response = await self.check(whole[:size], resets=bool(size % 2), path=path)
                    is_success = status_of(response) == 200
                    self.assertFalse(is_success and is_whole(response))

    async def test_a_head_of_a_stream_without_a_length_that_stops(self) -> None:
        whole = head("Content-Type: text/event-stream")
        for size in range(len(whole) + 1):
            for resets in (False, True):
                with self.subTest(size=size, resets=resets):
                    response = await self.check(whole[:size], resets=resets)
                    self.assertFalse(status_of(response) == 200 and is_whole(response))


class TestReusedConnections(PathTest):
    """An answer that breaks off on a connection that served another request before."""

    async def test_a_head_that_stops_after_a_whole_answer(self) -> None:
        first = head("Content-Length: 2") + b"ok"
        second = head("Content-Length: 4", request_id="r2") + b"done"
        for size in range(0, len(second), 3):
            with self.subTest(size=size):
                worker = PlatformWorker(
                    [_keeps_open(first), stops_after(second[:size], resets=False)]
                )
                async with EntryHarness(worker) as harness:
                    await harness.send_raw(request("/pay/1", method="POST", body=b"x"))
                    response = await harness.send_raw(
                        request("/pay/1", method="POST", body=b"x", request_id="r2")
                    )
                self.assertEqual(status_of(response), 502)


class TestAnyCut(PathTest):
    """Answers that are cut and split at random places."""

    async def test_random_cuts(self) -> None:
        rng = random.Random(38)
        for _ in range(60):
            whole = rng.choice(list(WHOLE_ANSWERS.values()))
            size = rng.randrange(len(whole))
            split = rng.randrange(size + 1)
            with self.subTest(size=size, split=split):
                worker = PlatformWorker([_split(whole[:split], whole[split:size])])
                async with EntryHarness(worker) as harness:
                    response = await harness.send_raw(request("/pay/1", method="POST", body=b"x"))
                self.assertEqual(status_of(response), 502)


def _keeps_open(data: bytes) -> Reply:
    async def reply(seen: Received, writer: asyncio.StreamWriter) -> bool:
        writer.write(data)
        await writer.drain()
        return True

    return reply


def _split(first: bytes, second: bytes) -> Reply:
    async def reply(seen: Received, writer: asyncio.StreamWriter) -> bool:
        for part in (first, second):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.003)
        return False

    return reply
