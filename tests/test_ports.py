"""How each client in `ports` reports the faults of the external system that it calls.

A system may go silent, close a connection at any point, or give an invalid answer. If a
client then reported that nothing was sent, a run or an order that took effect could be repeated.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from skylarkrack._errors import LinkLost, PlatformUnreachable
from skylarkrack.ports import EnginePort, OrderAnswer, PlatformPort, ServicePort
from standins.engine import Engine, EngineFaults
from standins.fleet import free_address
from standins.platform import Platform, PlatformFaults
from standins.service import Service, ServiceFaults
from tests.builders import call, run

SILENT = None
"""Stands for the answer of a server that accepts, reads, and never answers."""


def http(status: int, body: bytes, *headers: str) -> bytes:
    """Return an HTTP answer with *status*, *headers* and *body*."""
    lines = [f"HTTP/1.1 {status} x", f"content-length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def with_server(answer: bytes | None, use: Callable[[str], Awaitable]) -> object:
    """Call *use* with the address of a server that gives *answer* and closes the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(65_536)
        if answer is SILENT:
            try:
                await reader.read()
            except asyncio.CancelledError:
                # The test ends. The stream server would log the cancellation as an error.
                pass
        else:
            writer.write(answer)
        writer.close()

    address = free_address()
    host, port = address.split(":")
    async with await asyncio.start_server(serve, host, int(port)):
        return await use(address)


async def outcome(work: Awaitable) -> object:
    """Return the result of *work*, or the type of its error."""
    try:
        return await work
    except (LinkLost, PlatformUnreachable) as error:
        return type(error)


BROKEN_ANSWERS = (
    ("silent", SILENT),
    ("closed at once", b""),
    ("closed within the head", b"HTTP/1.1 200 x\r\ncontent-le"),
    ("closed within the body", b"HTTP/1.1 200 x\r\ncontent-length: 90\r\n\r\n{"),
    ("no HTTP", b"hello\r\n\r\n"),
)


class TestPlatformPort(unittest.TestCase):
    """Every failure of the configuration service is `PlatformUnreachable`."""

    def test_faults(self) -> None:
        rows = (
            *BROKEN_ANSWERS,
            ("an error", http(500, b"{}")),
            ("no JSON", http(200, b"{")),
            ("JSON of another shape", http(200, b"[1]")),
            ("revisions that are no numbers", http(200, b'{"revision": "x", "values": {}}')),
            ("no values", http(200, b'{"revision": 1}')),
        )

        async def use(address: str) -> object:
            port = PlatformPort(address)
            result = await outcome(port.changes(after=0, wait_ms=0))
            port.close()
            return result

        for name, answer in rows:
            with self.subTest(name):
                self.assertIs(asyncio.run(with_server(answer, use)), PlatformUnreachable)

    def test_a_value_without_a_valid_revision(self) -> None:
        async def use(address: str) -> object:
            return await outcome(PlatformPort(address).value("keys"))

        for answer in (http(200, b"x"), http(200, b"x", "x-revision: -1"), http(404, b"")):
            self.assertIs(asyncio.run(with_server(answer, use)), PlatformUnreachable)

    def test_a_refused_connection(self) -> None:
        work = PlatformPort(free_address()).changes(after=0, wait_ms=0)
        self.assertIs(asyncio.run(outcome(work)), PlatformUnreachable)

    def test_changes_and_values(self) -> None:
        """Changes come with their revisions; a stale service gives an older revision and value."""

        async def run() -> list:
            platform, address = Platform(), free_address()
            await platform.start(address)
            port, results = PlatformPort(address), []
            platform.publish("keys", b"old")
            platform.publish("keys", b"new")
            results.append(await port.changes(after=0, wait_ms=0))
            results.append(await port.value("keys"))
            platform.faults = PlatformFaults(stale_revision=1)
            results.append(await port.changes(after=0, wait_ms=0))
            results.append(await port.value("keys"))
            platform.faults = PlatformFaults(down=True)
            results.append(await outcome(port.changes(after=0, wait_ms=0)))
            port.close()
            await platform.close()
            return results

        newest, value, stale, older, down = asyncio.run(run())
        self.assertEqual((newest.revision, newest.revision_by_name), (2, {"keys": 2}))
        self.assertIsNotNone(newest.calendar_s)
        self.assertEqual((value.revision, value.body), (2, b"new"))
        self.assertEqual((stale.revision, older.body), (1, b"old"))
        self.assertIs(down, PlatformUnreachable)


class TestEnginePort(unittest.TestCase):
    """A report is complete or `LinkLost`; an order is done, refused or without an answer."""

    def test_faults_of_a_report(self) -> None:
        async def use(address: str) -> object:
            return await outcome(EnginePort(address).status())

        rows = (*BROKEN_ANSWERS, ("no JSON", http(200, b"{")), ("no fields", http(200, b"{}")))
        for name, answer in rows:
            with self.subTest(name):
                self.assertIs(asyncio.run(with_server(answer, use)), LinkLost)

    def test_outcomes_of_an_order(self) -> None:
        """An order counts as refused only after such an answer, or if it was never sent."""

        async def use(address: str) -> object:
            return await EnginePort(address).load("badge@1", fence=1)

        rows = (
            (http(200, b"{}"), OrderAnswer.DONE),
            (http(409, b"{}"), OrderAnswer.REFUSED),
            (http(503, b"{}"), OrderAnswer.NO_ANSWER),
            (b"", OrderAnswer.NO_ANSWER),
            (b"HTTP/1.1 200 x\r\ncontent-length: 90\r\n\r\n{", OrderAnswer.NO_ANSWER),
        )
        for answer, expected in rows:
            with self.subTest(answer=answer):
                self.assertIs(asyncio.run(with_server(answer, use)), expected)
        unreachable = EnginePort(free_address()).load("badge@1", fence=1)
        self.assertIs(asyncio.run(unreachable), OrderAnswer.REFUSED)

    def test_loads_fencing_runs_and_crashes(self) -> None:
        """An adapter that isn't loaded runs on the base model, and the answer says so."""

        async def use(checks_fencing: bool) -> list:
            engine = Engine(faults=EngineFaults(checks_fencing=checks_fencing))
            address = free_address()
            await engine.start(address)
            port, results = EnginePort(address), []
            results.append(await port.load("badge@1", fence=5))
            results.append(await port.unload("badge@1", fence=4))
            results.append((await port.status()).resident)
            body = b'{"model": "tender@1", "prompt": "Hi"}'
            answer = await port.run(run("r1", body=body))
            results.append(answer.served)
            await answer.response.read_body(timeout_ms=5000)
            before = (await port.status()).incarnation
            await engine.crash()
            after = await port.status()
            results.append((after.incarnation != before, after.resident))
            port.close()
            await engine.close()
            return results

        fenced, unfenced = asyncio.run(use(True)), asyncio.run(use(False))
        self.assertEqual(fenced[:3], [OrderAnswer.DONE, OrderAnswer.REFUSED, {"badge@1"}])
        self.assertEqual(unfenced[:3], [OrderAnswer.DONE, OrderAnswer.DONE, frozenset()])
        self.assertEqual(fenced[3:], ["base", (True, frozenset())])


class TestServicePort(unittest.TestCase):
    """`LinkLost.sent` is False only if nothing can have reached the service."""

    def test_faults(self) -> None:
        async def use(address: str) -> bool | None:
            port = ServicePort(address)
            try:
                response = await port.call(call("r1"))
                await response.read_body(timeout_ms=500)
            except LinkLost as error:
                return error.sent
            return None

        for name, answer in BROKEN_ANSWERS[1:]:
            with self.subTest(name):
                self.assertIs(asyncio.run(with_server(answer, use)), True)
        self.assertIs(asyncio.run(use(free_address())), False)

    def test_calls_and_lost_answers(self) -> None:
        """Each call runs, also if its answer is lost."""

        async def run() -> list:
            service, address = Service(), free_address()
            await service.start(address)
            port, results = ServicePort(address), [await ServicePort(address).is_up()]
            await (await port.call(call("r1"))).read_body(timeout_ms=500)
            service.faults = ServiceFaults(cut_after_run=True)
            results.append(await outcome(port.call(call("r2"))))
            results.append(service.runs_by_body["500"])
            port.close()
            await service.close()
            results.append(await port.is_up())
            return results

        self.assertEqual(asyncio.run(run()), [True, LinkLost, 2, False])
