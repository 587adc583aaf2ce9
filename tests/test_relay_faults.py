"""What callers get when the entry itself fails while it handles their request.

A fault in one place closed the connections of all callers that came there, and none of them could
know whether its request had run.
"""

import asyncio
import unittest
from unittest import mock

from skylarkrack._errors import Code
from skylarkrack.core.relay import Attempts, Dispatcher, QuotaLimiter
from skylarkrack.relay._exchange import Exchange
from skylarkrack.relay._exchange_log import ExchangeLog
from skylarkrack.web import HttpServer, Request, Responder, ServerLimits
from standins.platform_worker import PlatformWorker, Reply, answer, refusal, stream
from tests.platform_builders import EntryHarness, model_request, request
from tests.test_http_drain import FIRST
from tests.test_relay_path import EVENTS, PathTest, is_whole, status_of

PAYMENT = request("/pay/1", method="POST", body=b"fee", keep_alive=True)


class TestFaultsOfTheEntry(PathTest):
    """A fault at each stage of a request, with the answer that is true there."""

    async def pay(self, owner: type, method: str, reply: Reply) -> tuple[bytes, int]:
        """Return the answer to a payment while a method fails, and the requests passed on.

        The connection has to serve another request after it.
        """
        worker = PlatformWorker([reply, answer()])
        async with EntryHarness(worker) as harness:
            reader, writer = await harness.connect()
            with mock.patch.object(owner, method, side_effect=RuntimeError("a fault")):
                writer.write(PAYMENT)
                async with asyncio.timeout(5):
                    head = await reader.readuntil(b"\r\n\r\n")
                    body = await reader.readuntil(b"}}")
            received = len(worker.received)
            writer.write(request(keep_alive=True, request_id="r2"))
            async with asyncio.timeout(5):
                # An endpoint that asked for a pause gets none meanwhile.
                self.assertIn(status_of(await reader.readuntil(b"\r\n\r\n")), (200, 503))
            writer.close()
            metrics = harness.entry._context.metrics
            self.assertEqual(metrics.counter("handlers_failed_total"), 1)
        return head + body, received

    async def test_before_a_request_is_passed_on(self) -> None:
        for owner, method in ((QuotaLimiter, "try_acquire"), (Dispatcher, "decide")):
            with self.subTest(method=method):
                response, received = await self.pay(owner, method, answer())
                self.assertEqual(status_of(response), 503)
                self.assertIn(b"not_run", response)
                self.assertEqual(received, 0)

    async def test_after_an_endpoint_refused_it(self) -> None:
        for owner, method in ((Attempts, "record_failure"), (QuotaLimiter, "refund")):
            with self.subTest(method=method):
                response, _ = await self.pay(owner, method, refusal(extra="Retry-After: 5\r\n"))
                self.assertEqual(status_of(response), 503)
                self.assertIn(b"not_run", response)

    async def test_after_it_was_passed_on(self) -> None:
        response, received = await self.pay(Exchange, "_handle_response", answer())
        self.assertEqual(status_of(response), 500)
        self.assertIn(b"unknown", response)
        self.assertIn(b"%d" % Code.INTERNAL_ERROR, response)
        self.assertEqual(received, 1)

    async def test_after_the_first_byte_of_its_answer(self) -> None:
        worker = PlatformWorker([stream(*EVENTS)])
        async with EntryHarness(worker, service="llm") as harness:
            with mock.patch.object(ExchangeLog, "ended", side_effect=RuntimeError("a fault")):
                # All has been written by then, and the answer is whole.
                self.assertTrue(is_whole(await harness.send_raw(model_request())))
            fails = mock.patch.object(ExchangeLog, "events_forwarded", side_effect=RuntimeError)
            with fails:
                response = await harness.send_raw(model_request(request_id="r2"))
        self.assertEqual(status_of(response), 200)
        self.assertFalse(is_whole(response))


class TestFaultsOfAHandler(unittest.IsolatedAsyncioTestCase):
    """The HTTP server answers for a handler that fails, as far as nothing was written."""

    async def asyncSetUp(self) -> None:
        self.begins = self.refuse_fails = False
        self.server = HttpServer(
            self.handle, refuse=self.refuse, limits=ServerLimits(), name="test"
        )
        await self.server.start("127.0.0.1:0")
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Fail, before or after the response has begun."""
        if self.begins:
            responder.start(200, [(b"content-length", b"9")])
            responder.send(b"half")
        raise RuntimeError("a fault")

    def refuse(self, responder: Responder, failure: Exception) -> None:
        """Answer with the code of the failure."""
        if self.refuse_fails:
            raise RuntimeError("another fault")
        responder.respond(500, [(b"connection", b"close")], str(int(failure.code)).encode())

    async def ask(self) -> bytes:
        """Return all that one request gets."""
        reader, writer = await asyncio.open_connection(*self.server.bound_address)
        self.addCleanup(writer.close)
        writer.write(FIRST)
        async with asyncio.timeout(5):
            return await reader.read()

    async def test_nothing_was_written(self) -> None:
        self.assertTrue((await self.ask()).endswith(b"4017"))

    async def test_the_response_had_begun(self) -> None:
        self.begins = True
        self.assertTrue((await self.ask()).endswith(b"half"))

    async def test_the_refusal_fails_too(self) -> None:
        """Guards against a server that stops accepting, or a connection that stays open."""
        self.refuse_fails = True
        self.assertEqual(await self.ask(), b"")
        self.refuse_fails = False
        self.assertTrue((await self.ask()).endswith(b"4017"))


if __name__ == "__main__":
    unittest.main()
