"""What a planned stop of the HTTP server closes, and what it lets finish."""

import asyncio
import socket
import unittest

from skylarkrack.web import HttpServer, Request, Responder, ServerLimits
from tests.test_http_server import refuse

FIRST = b"GET /first HTTP/1.1\r\nhost: a\r\n\r\n"
SLOW = b"POST /slow HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nfee"


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """A server whose handlers go on for some time after their answer, and one caller.

    The answer to `/slow` begins at once and ends when `may_end` is set.
    """

    LIMITS = ServerLimits()

    async def asyncSetUp(self) -> None:
        self.slow_begun, self.may_end = asyncio.Event(), asyncio.Event()
        self.server = HttpServer(self.handle, refuse=refuse, limits=self.LIMITS, name="test")
        await self.server.start("127.0.0.1:0")
        self.addAsyncCleanup(self.server.close)
        self.reader, self.writer = await asyncio.open_connection(*self.server.bound_address)
        self.addCleanup(self.writer.close)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a request, the slow one in two pieces."""
        responder.start(200, [(b"content-length", b"4")])
        if request.path == "/slow":
            self.slow_begun.set()
            responder.send(b"do")
            await self.may_end.wait()
            responder.send(b"ne")
        else:
            responder.send(b"done")
        responder.end()
        await asyncio.sleep(0.02)

    async def drain(self) -> asyncio.Task:
        """Begin a planned stop."""
        draining = asyncio.ensure_future(self.server.drain())
        self.addCleanup(draining.cancel)
        await asyncio.sleep(0.05)
        return draining

    async def read_answer(self) -> bytes:
        """Return the next answer, which ends with `done`."""
        async with asyncio.timeout(5):
            return await self.reader.readuntil(b"done")


class TestReusedConnections(DrainTest):
    """A request is answered whenever its bytes arrived; a connection is idle without any."""

    async def test_a_request_read_while_the_answer_before_it_ended_is_answered(self) -> None:
        # Such a connection counted as idle while its request ran, and a planned stop closed it.
        for split in (len(SLOW), len(SLOW) - 1, 10):
            with self.subTest(split=split):
                await self.asyncSetUp()
                self.writer.write(FIRST)
                await self.read_answer()
                self.writer.write(SLOW[:split])
                await asyncio.sleep(0.05)
                self.writer.write(SLOW[split:])
                await self.slow_begun.wait()
                draining = await self.drain()
                self.may_end.set()
                self.assertIn(b"200", await self.read_answer())
                await asyncio.wait_for(draining, 5)

    async def test_a_request_sent_together_with_the_one_before_is_answered(self) -> None:
        self.writer.write(FIRST + SLOW)
        await self.read_answer()
        await self.slow_begun.wait()
        await self.drain()
        self.may_end.set()
        self.assertIn(b"200", await self.read_answer())

    async def test_a_request_of_which_a_part_has_arrived_is_answered(self) -> None:
        # Its first bytes were read while the handler of the one before it was still running.
        self.writer.write(FIRST)
        await self.read_answer()
        self.writer.write(SLOW[:10])
        await asyncio.sleep(0.05)
        await self.drain()
        self.may_end.set()
        self.writer.write(SLOW[10:])
        answer = await self.read_answer()
        self.assertIn(b"200", answer)
        self.assertIn(b"connection: close", answer.lower())

    async def test_a_request_that_has_arrived_unread_is_answered(self) -> None:
        self.writer.write(FIRST)
        await self.read_answer()
        await asyncio.sleep(0.05)
        self.writer.write(SLOW)
        await self.drain()
        self.may_end.set()
        self.assertIn(b"200", await self.read_answer())

    async def test_a_request_behind_an_answer_that_announced_no_close_is_answered(self) -> None:
        # The caller could not know that the connection would end with the answer before.
        self.writer.write(SLOW)
        await self.slow_begun.wait()
        await self.drain()
        self.writer.write(FIRST)
        await asyncio.sleep(0.05)
        self.may_end.set()
        await self.read_answer()
        answer = await self.read_answer()
        self.assertIn(b"connection: close", answer.lower())

    async def test_idle_connections_are_closed(self) -> None:
        """Guards against a planned stop that waits for connections without a request."""
        self.writer.write(FIRST)
        await self.read_answer()
        await asyncio.sleep(0.05)
        _, unused = await asyncio.open_connection(*self.server.bound_address)
        self.addCleanup(unused.close)
        await asyncio.sleep(0.05)
        await asyncio.wait_for(await self.drain(), 1)
        self.assertEqual(await self.reader.read(), b"")


class TestUnsentAnswers(DrainTest):
    """An answer is whole only once the caller's system has taken all of it."""

    SIZE = 3_000_000
    LIMITS = ServerLimits(read_timeout_ms=500)

    async def asyncSetUp(self) -> None:
        """Connect a caller whose system buffers little, and that reads nothing yet."""
        await super().asyncSetUp()
        self.caller = socket.socket()
        self.addCleanup(self.caller.close)
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.caller.connect(self.server.bound_address)
        self.caller.sendall(FIRST)
        self.caller.setblocking(False)
        await asyncio.sleep(0.05)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer with more than the system buffers."""
        responder.respond(200, [(b"connection", b"close")], b"x" * self.SIZE)

    async def test_a_stop_waits_until_a_slow_caller_has_its_answer(self) -> None:
        # The process ended while the rest of the answer was still in its memory.
        draining = await self.drain()
        self.assertFalse(draining.done())
        received, loop = 0, asyncio.get_running_loop()
        async with asyncio.timeout(5):
            while data := await loop.sock_recv(self.caller, 65_536):
                received += len(data)
            await draining
        self.assertGreater(received, self.SIZE)

    async def test_a_caller_that_reads_nothing_is_cut_off(self) -> None:
        """Guards against connections that stay until the process ends."""
        await asyncio.wait_for(await self.drain(), 5)
