"""Servers that send bytes without end, in a head or a body, until the client closes.

Guards against reading for ever and against buffering without a bound: in the path of a request, in
the agent's reports and in reads of the store.
"""

import asyncio
import tracemalloc
import unittest

from skylarkrack._errors import LinkLost, PlatformUnreachable
from skylarkrack.platform import _engine, _store
from skylarkrack.platform._engine import PlatformEngineClient
from skylarkrack.platform._store import Store
from skylarkrack.relay._event_stream import EventStream
from skylarkrack.web import HttpClient
from standins.platform_worker import PlatformWorker, Received, Reply, answer
from tests.platform_builders import EntryHarness, model_request, request

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MAX_GROWTH_BYTES = 32_000_000
"""Bound on the memory for ten responses at once, each of at most 262,144 buffered bytes."""


sending: set[asyncio.StreamWriter] = set()
"""Connections on which a reply without an end is being sent."""


def endless(first: bytes, repeated: bytes, *, pause_s: float = 0.001) -> Reply:
    """Return a reply that sends *first*, and then *repeated* until the client closes."""

    async def reply(received: Received, writer: asyncio.StreamWriter) -> bool:
        sending.add(writer)
        try:
            writer.write(first)
            while True:
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(pause_s)
        finally:
            sending.discard(writer)

    return reply


async def closed_by_client() -> bool:
    """Return whether every reply without an end was cut off, waiting for it for a second."""
    for _ in range(100):
        if not sending:
            return True
        await asyncio.sleep(0.01)
    return False


FAST = {
    "head without an end": endless(b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 1000),
    "one line": endless(b"HTTP/1.1 200 ", b"x" * 8000),
    "interim responses": endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "body of a close": endless(HEAD + b"\r\n", b"x" * 8000),
    "small chunks": endless(CHUNKED, b"1\r\nx\r\n" * 100),
    "chunk header": endless(CHUNKED, b"1" * 8000),
    "chunk extension": endless(CHUNKED + b"1;", b"a" * 8000),
    "trailers": endless(CHUNKED + b"0\r\n", b"X-A: b\r\n" * 1000),
    "another request's answer": endless(
        CHUNKED.replace(b"r1", b"other"), b"1000\r\n" + b"x" * 4096 + b"\r\n"
    ),
    "bytes that are no answer": endless(b"", b"\x00\xff" * 4000),
}
SLOW = {
    "head": endless(b"HTTP/1.1 200 OK\r\nX-A: ", b"b", pause_s=0.05),
    "interim responses": endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", pause_s=0.05),
    "body": endless(HEAD + b"\r\n", b"x", pause_s=0.05),
    "chunks": endless(CHUNKED, b"1\r\nx\r\n", pause_s=0.05),
    "trailers": endless(CHUNKED + b"0\r\nX-A: ", b"b", pause_s=0.05),
}


class TestPathOfARequest(unittest.IsolatedAsyncioTestCase):
    """The caller gets a truthful answer by its deadline, and the connection is closed."""

    async def assert_ends(self, reply: Reply, data: bytes, service: str) -> None:
        """Send *data* ten times at once; each caller gets a failure that doesn't claim not run."""
        worker = PlatformWorker([reply])
        async with EntryHarness(worker, service=service) as harness:
            tracemalloc.start()
            before, _ = tracemalloc.get_traced_memory()
            calls = [harness.send_raw(data.replace(b"r1", b"r%d" % n)) for n in range(10)]
            answers = await asyncio.gather(*calls)
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            self.assertLess(peak - before, MAX_GROWTH_BYTES)
            # A request that found no free connection may truly not have been sent.
            statuses = [int(response.split(b" ", 2)[1]) for response in answers if response]
            self.assertTrue(set(statuses) <= {200, 502, 503, 504}, statuses)
            for response in answers:
                self.assertFalse(response.startswith(b"HTTP/1.1 200") and _is_whole(response))
            self.assertTrue(await closed_by_client())

    async def test_at_full_speed(self) -> None:
        for name, reply in FAST.items():
            with self.subTest(name):
                await self.assert_ends(reply, request("/pay/1", method="POST"), "desk")

    async def test_a_few_bytes_now_and_then(self) -> None:
        for name, reply in SLOW.items():
            with self.subTest(name):
                await self.assert_ends(reply, request("/pay/1", method="POST"), "desk")

    async def test_streams(self) -> None:
        for name in ("small chunks", "chunk header", "body of a close"):
            with self.subTest(name):
                await self.assert_ends(FAST[name], model_request(), "llm")

    async def test_a_refusal_whose_body_has_no_end_is_sent_elsewhere_in_time(self) -> None:
        head = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n\r\n"
        worker = PlatformWorker([endless(head, b"x", pause_s=0.05)])
        other = PlatformWorker([answer()])
        async with EntryHarness(worker, other) as harness:
            for _ in range(6):
                response = await harness.send_raw(request("/pay/1", method="POST"))
                self.assertEqual(int(response.split(b" ", 2)[1]), 200)


class TestOtherReaders(unittest.IsolatedAsyncioTestCase):
    """The store's clients and the agent's, which have no deadline of a caller."""

    async def asyncSetUp(self) -> None:
        for module, name in (
            (_store, "READ_TIMEOUT_MS"),
            (_store, "READ_TOTAL_MS"),
            (_engine, "REPORT_TIMEOUT_MS"),
            (_engine, "REPORT_TOTAL_MS"),
        ):
            self.addCleanup(setattr, module, name, getattr(module, name))
            setattr(module, name, 200.0)

    async def test_every_read_ends(self) -> None:
        for name, reply in {**FAST, **{f"slow {name}": r for name, r in SLOW.items()}}.items():
            with self.subTest(name):
                worker = PlatformWorker([reply])
                await worker.start()
                store, engine = Store(worker.address), PlatformEngineClient(worker.address)
                async with asyncio.timeout(5):
                    with self.assertRaises(PlatformUnreachable):
                        await store.read_all("servers/")
                    with self.assertRaises(LinkLost):
                        await engine.report()
                store.close()
                engine.close()
                self.assertTrue(await closed_by_client())
                await worker.close()

    async def test_a_slow_body_that_ends_is_read(self) -> None:
        async def reply(received: Received, writer: asyncio.StreamWriter) -> bool:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
            for _ in range(10):
                await asyncio.sleep(0.03)
                writer.write(b"x")
            return True

        worker = PlatformWorker([reply])
        await worker.start()
        client = HttpClient(worker.address)
        response = await client.request("GET", "/", timeout_ms=100)
        self.assertEqual(await response.read_body(timeout_ms=100), b"x" * 10)
        client.close()
        await worker.close()


class TestEventsInManyPieces(unittest.TestCase):
    """A stream that arrives byte by byte."""

    def test_the_end_of_an_event_is_found_across_pieces(self) -> None:
        stream = EventStream()
        whole = b"".join(stream.feed(bytes([byte])) for byte in b"id: 1\ndata: a\n\nid: 2\n\nda")
        self.assertEqual(whole, b"id: 1\ndata: a\n\nid: 2\n\n")
        self.assertEqual(stream.last_id, "2")
        self.assertTrue(stream.has_partial)


def _is_whole(response: bytes) -> bool:
    head, _, body = response.partition(b"\r\n\r\n")
    return body.endswith(b"0\r\n\r\n") or b"content-length" in head.lower()
