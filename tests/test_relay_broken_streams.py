"""Streams that break off after they have begun, and what the next endpoint answers.

A caller must never read another answer inside its stream, nor a stream that looks complete while
events are missing.
"""

import unittest

from standins.platform_worker import PlatformWorker, Reply, answer, broken_head, stream
from tests.platform_builders import EntryHarness, model_request
from tests.test_relay_path import is_whole

EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n")
BLANK_LINES = b"no such\n\nadapter\n\n"


def second_answers() -> dict[str, Reply]:
    """Return answers that don't continue a stream after its event 2, by what is wrong."""
    return {
        "client error": answer(BLANK_LINES, status="404 Not Found"),
        "client error as events": answer(EVENTS[2], status="400 Bad Request"),
        "server error": answer(BLANK_LINES, status="500 Internal Server Error"),
        "unavailable": answer(BLANK_LINES, status="503 Service Unavailable"),
        "redirection": answer(EVENTS[2], status="302 Found", extra="Location: /\r\n"),
        "other content": answer(BLANK_LINES, extra="Content-Type: text/plain\r\n"),
        "no events": answer(b""),
        "no content": answer(b"", status="204 No Content"),
        "head that breaks off": broken_head(),
        "from the start": stream(*EVENTS),
        "an event again": stream(*EVENTS[1:]),
        "an event missing": stream(b"id: 4\ndata: d\n\n"),
        "events without an id": stream(b"data: c\n\n"),
        "an id that is no number": stream(b"id: next\ndata: c\n\n"),
    }


class TestContinuation(unittest.IsolatedAsyncioTestCase):
    """A resumable stream whose first endpoint broke off after two events."""

    async def response_after_break(self, second: Reply, *, headers: str = "") -> bytes:
        """Return what the caller reads if the next endpoint answers with *second*."""
        replies = [stream(*EVENTS[:2], ends=False), second]
        one, two = PlatformWorker(replies), PlatformWorker(replies)
        async with EntryHarness(one, two, service="llm") as harness:
            response = await harness.send_raw(model_request("/draft/1", headers=headers))
        self.assertEqual(len(one.received) + len(two.received), 2)
        return response

    async def test_an_answer_that_does_not_continue_the_stream_is_not_forwarded(self) -> None:
        for name, second in second_answers().items():
            with self.subTest(name):
                response = await self.response_after_break(second)
                self.assertFalse(is_whole(response))
                self.assertEqual(response.count(b"HTTP/1.1"), 1)
                _, _, body = response.partition(b"\r\n\r\n")
                chunks = body.split(b"\r\n")[1::2]
                self.assertEqual(b"".join(chunks), b"".join(EVENTS[:2]))

    async def test_the_rest_of_the_stream_is_forwarded(self) -> None:
        response = await self.response_after_break(stream(EVENTS[2]))
        self.assertTrue(is_whole(response))
        self.assertEqual([response.count(event) for event in EVENTS], [1, 1, 1])


class TestTakenUpByCaller(unittest.IsolatedAsyncioTestCase):
    """A stream that a caller takes up after event 2, on a new connection."""

    async def ask(self, reply: Reply) -> bytes:
        """Return the answer to the take-up."""
        worker = PlatformWorker([reply])
        async with EntryHarness(worker, service="llm") as harness:
            return await harness.send_raw(model_request("/draft/1", headers="Last-Event-ID: 2\r\n"))

    async def test_a_stream_from_its_start_is_not_forwarded(self) -> None:
        response = await self.ask(stream(*EVENTS))
        self.assertNotIn(b"data:", response)
        self.assertNotIn(b"200 OK", response)

    async def test_the_rest_is_forwarded(self) -> None:
        response = await self.ask(stream(EVENTS[2]))
        self.assertTrue(is_whole(response))
        self.assertIn(EVENTS[2], response)


class TestFirstAnswer(unittest.IsolatedAsyncioTestCase):
    """The answer of an endpoint that did not begin a stream."""

    async def test_an_error_of_the_endpoint_is_forwarded_whole(self) -> None:
        for status in ("404 Not Found", "400 Bad Request", "500 Internal Server Error"):
            for body in (BLANK_LINES, b"no such adapter", b""):
                with self.subTest(status=status, body=body):
                    worker = PlatformWorker([answer(body, status=status)])
                    async with EntryHarness(worker, service="llm") as harness:
                        response = await harness.send_raw(model_request("/chat/1"))
                    head, _, received = response.partition(b"\r\n\r\n")
                    self.assertEqual(head.split(b" ")[1], status.split()[0].encode())
                    self.assertEqual(received, body)
