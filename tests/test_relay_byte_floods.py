"""What a server that sends without end costs the other connections of a process."""

import asyncio
import unittest
from unittest import mock

from skylarkrack._errors import LinkLost
from skylarkrack.web import ClientResponse, HttpClient, _client
from skylarkrack.web._connection import MAX_UNREAD_EVENTS, READ_BYTES
from standins.platform_worker import PlatformWorker, Received

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECES = 3000


async def count_rounds(rounds: list[int]) -> None:
    """Count the rounds of the event loop."""
    while True:
        rounds[0] += 1
        await asyncio.sleep(0)


class TestManySmallPieces(unittest.IsolatedAsyncioTestCase):
    """An answer in pieces of a byte, all of which arrive at once."""

    async def respond(self, *data: bytes) -> ClientResponse:
        """Return the response that an endpoint writes, once all of it may have arrived."""
        self.sent = asyncio.Event()

        async def reply(received: Received, writer: asyncio.StreamWriter) -> bool:
            for each in data:
                writer.write(each)
            self.sent.set()
            return True

        worker = PlatformWorker([reply])
        await worker.start()
        self.addAsyncCleanup(worker.close)
        self.client = HttpClient(worker.address)
        self.addCleanup(self.client.close)
        response = await self.client.request("GET", "/", timeout_ms=5000)
        await self.sent.wait()
        await asyncio.sleep(0.05)
        return response

    async def test_others_go_on_while_they_are_read(self) -> None:
        # A reader that never had to wait held the event loop for seconds.
        response = await self.respond(HEAD, b"1\r\nx\r\n" * PIECES, b"0\r\n\r\n")
        rounds = [0]
        counting = asyncio.create_task(count_rounds(rounds))
        body = await response.read_body(timeout_ms=5000)
        counting.cancel()
        self.assertEqual(body, b"x" * PIECES)
        self.assertGreaterEqual(rounds[0], PIECES // MAX_UNREAD_EVENTS)

    async def test_a_reset_loses_nothing_that_has_arrived(self) -> None:
        """Guards against an answer that is whole here and fails, as its end is not parsed yet."""
        response = await self.respond(HEAD, b"1\r\nx\r\n" * PIECES, b"0\r\n\r\n")
        response.connection.connection_lost(ConnectionResetError())
        self.assertEqual(await response.read_body(timeout_ms=5000), b"x" * PIECES)

    async def test_an_answer_in_pieces_without_end_is_given_up(self) -> None:
        # Each piece costs as much as a large one, and there was no bound on their number.
        with mock.patch.object(_client, "MAX_BODY_PIECES", 100):
            for count, is_whole in ((100, True), (101, False)):
                with self.subTest(count=count):
                    response = await self.respond(HEAD, b"1\r\nx\r\n" * count, b"0\r\n\r\n")
                    if is_whole:
                        self.assertEqual(len(await response.read_body(timeout_ms=5000)), count)
                    else:
                        with self.assertRaises(LinkLost):
                            await response.read_body(timeout_ms=5000)
                        self.assertFalse(response.connection.is_usable)

    async def test_bytes_behind_an_answer_are_not_kept(self) -> None:
        # They were kept without a bound until the answer's end had been read.
        response = await self.respond(HEAD + b"0\r\n\r\n", *[b"x" * READ_BYTES] * 64)
        following, _ = response.connection._h11.trailing_data
        self.assertLessEqual(len(following), 2 * READ_BYTES)
        self.assertEqual(await response.read_body(timeout_ms=5000), b"")
        self.assertFalse(response.connection.is_usable)

    async def test_bytes_that_are_no_answer_are_not_kept(self) -> None:
        response = await self.respond(HEAD + b"x\r\n", *[b"x" * READ_BYTES] * 64)
        self.assertTrue(response.connection._transport.is_closing())


if __name__ == "__main__":
    unittest.main()
