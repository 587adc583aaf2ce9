"""What the connections of a process hold together, where one peer or many callers send too much."""

import asyncio
import unittest

from skylarkrack._errors import LinkLost
from skylarkrack.web import BufferBudget, HttpClient, HttpServer, Request, Responder, ServerLimits
from skylarkrack.web._buffer_budget import SMALL_BYTES, HeldBytes
from standins.platform_worker import PlatformWorker, Received, answer
from tests.platform_builders import EntryHarness, request
from tests.test_http_server import refuse
from tests.test_relay_path import PathTest, status_of

MB = 1_000_000


async def endless(received: Received, writer: asyncio.StreamWriter) -> bool:
    """Answer with a body without end."""
    attempt_id = received.headers.get("x-attempt-id", "")
    head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\nX-Response-Seal: s\r\n\r\n"
    writer.write(head.encode())
    while True:
        writer.write(b"x" * 60_000)
        await writer.drain()


class TestChoice(unittest.TestCase):
    """Which messages are given up beyond the limit."""

    def setUp(self) -> None:
        self.given_up: list[str] = []
        self.budget = BufferBudget(10 * MB)

    def hold(self, name: str, source: str, size: int) -> HeldBytes:
        """Return a message of a source."""
        held = self.budget.hold(source, give_up=lambda: self.given_up.append(name))
        held.resize(size)
        return held

    def test_the_source_that_holds_most_loses_its_largest(self) -> None:
        """Guards against one endpoint whose many answers push out the long one of another."""
        self.hold("sound", "a", 4 * MB)
        for number, size in enumerate((2 * MB, 3 * MB, 2 * MB)):
            self.hold(f"flood {number}", "b", size)
        self.assertEqual(self.given_up, ["flood 1"])
        self.assertEqual(self.budget.total_bytes, 8 * MB)

    def test_a_long_message_alone_passes(self) -> None:
        self.hold("sound", "a", 10 * MB).close()
        self.assertEqual((self.given_up, self.budget.total_bytes), ([], 0))

    def test_what_was_sent_meanwhile_counts_no_longer(self) -> None:
        """Guards against callers that are cut off for what they have read long ago."""
        sizes = {"slow": 6 * MB, "quick": 0}
        for name, size in (("slow", 6 * MB), ("quick", 5 * MB)):
            held = self.budget.hold(
                name,
                give_up=lambda name=name: self.given_up.append(name),
                measure=lambda name=name: sizes[name],
            )
            held.resize(size)
        self.assertEqual((self.given_up, self.budget.total_bytes), ([], 6 * MB))

    def test_messages_that_no_owner_can_drop_stay(self) -> None:
        held = self.budget.hold("caller")
        held.resize(11 * MB)
        self.assertFalse(held.has_room(12 * MB))
        self.assertTrue(self.budget.hold("other").has_room(SMALL_BYTES))
        self.assertEqual(self.budget.total_bytes, 11 * MB)


class TestAnswersWithoutEnd(unittest.IsolatedAsyncioTestCase):
    """An endpoint that sends bodies without end on many connections at once."""

    async def test_they_take_no_more_than_the_budget(self) -> None:
        # Each answer had a bound of 4 MB, and nothing bounded them together.
        budget = BufferBudget(5 * MB)
        highest = 0
        given_up: list[int] = []

        def record(size: int) -> None:
            nonlocal highest
            given_up.append(size)
            highest = max(highest, budget.total_bytes)

        budget.on_give_up = record

        async def long(received: Received, writer: asyncio.StreamWriter) -> bool:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
            for _ in range(10):
                writer.write(b"x" * 100_000)
                await asyncio.sleep(0.01)
            return True

        reading = []
        for reply, count in ((long, 1), (endless, 20)):
            worker = PlatformWorker([reply])
            await worker.start()
            self.addAsyncCleanup(worker.close)
            client = HttpClient(worker.address, budget=budget)
            self.addCleanup(client.close)
            reading += [asyncio.create_task(self.read(client)) for _ in range(count)]
        sound, *floods = await asyncio.gather(*reading)
        self.assertEqual(sound, MB)
        self.assertEqual(set(floods), {None})
        self.assertGreater(len(given_up), 10)
        self.assertLessEqual(highest, 5 * MB)
        self.assertEqual(budget.total_bytes, 0)

    async def read(self, client: HttpClient) -> int | None:
        """Return the length of an answer, or None if it was given up."""
        try:
            response = await client.request("GET", "/", timeout_ms=5000)
            return len(await response.read_body(timeout_ms=5000))
        except LinkLost:
            return None


class TestCallers(unittest.IsolatedAsyncioTestCase):
    """Callers that send much, or read nothing, at once."""

    async def asyncSetUp(self) -> None:
        self.bodies: list[int] = []
        self.may_end = asyncio.Event()
        self.server = HttpServer(
            self.handle,
            refuse=refuse,
            limits=ServerLimits(),
            name="test",
            budget=BufferBudget(3 * MB),
        )
        await self.server.start("127.0.0.1:0")
        self.addAsyncCleanup(self.server.close)

    async def handle(self, received: Request, responder: Responder) -> None:
        """Keep the request until all may end, then answer with as much."""
        self.bodies.append(len(received.body))
        await self.may_end.wait()
        responder.respond(200, [], b"done")

    async def send(self, size: int) -> bytes:
        """Return the first line of the answer to a body."""
        reader, writer = await asyncio.open_connection(*self.server.bound_address)
        self.addCleanup(writer.close)
        writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size)
        writer.write(b"x" * size)
        return await reader.readline()

    async def test_bodies_for_which_there_is_no_memory_are_refused(self) -> None:
        sending = [asyncio.create_task(self.send(MB)) for _ in range(5)]
        done, _ = await asyncio.wait(sending, timeout=5, return_when=asyncio.FIRST_COMPLETED)
        while len(done) < 2:
            more, _ = await asyncio.wait(set(sending) - done, timeout=5)
            done |= more
        self.assertTrue(all(b"400" in task.result() for task in done))
        # What takes little goes on meanwhile.
        small = asyncio.create_task(self.send(100))
        await asyncio.sleep(0.05)
        self.may_end.set()
        self.assertIn(b"200", await small)
        answers = await asyncio.gather(*sending)
        self.assertEqual(sum(b"200" in each for each in answers), 3)
        self.assertEqual(self.server._budget.total_bytes, 0)
        self.assertIn(b"200", await self.send(2 * MB))


class TestEntry(PathTest):
    """An entry on a small VM before an endpoint that sends without end."""

    async def test_other_callers_get_their_answers(self) -> None:
        flooding, sound = PlatformWorker([endless]), PlatformWorker([answer()])
        async with EntryHarness(flooding, sound, memory_bytes=20 * MB) as harness:
            data = [request("/look/1", request_id=f"r{number}") for number in range(40)]
            answers = await asyncio.gather(*map(harness.send_raw, data))
            metrics, budget = harness.entry._context.metrics, harness.entry._buffer_budget
            self.assertEqual({status_of(each) for each in answers} - {200, 502, 503, 504}, set())
            self.assertLessEqual(budget.total_bytes, budget.limit_bytes)
            self.assertGreater(metrics.counter("messages_given_up_total"), 0)
            after = await harness.send_raw(request("/look/1", request_id="r99"))
            self.assertEqual(status_of(after), 200)


if __name__ == "__main__":
    unittest.main()
