"""The agent beside an engine: how runs end at the engine itself."""

import asyncio
import unittest

from skylarkrack._errors import LinkLost
from skylarkrack._links import Links
from skylarkrack._metrics import Metrics
from skylarkrack.agent._engine_driver import EngineDriver
from skylarkrack.messages import Cancel, Run
from skylarkrack.ports import EngineAnswer
from tests.builders import engine, run


class FakeAnswer:
    """An answer that ends when the engine has been told to cancel it."""

    status = 200
    headers: list = []

    def __init__(self, port: "FakeEngine") -> None:
        self.port = port

    async def parts(self, *, timeout_ms: float) -> object:
        yield b'data: {"choices": [1]}\n\n'
        await self.port.ended.wait()

    def close(self) -> None:
        pass


class FakeEngine:
    """An engine that sees a run only when *arrive* is set, as if its bytes were slow."""

    def __init__(self) -> None:
        self.arrive = asyncio.Event()
        self.ended = asyncio.Event()
        self.breaks = False
        self.cancels = 0

    async def status(self) -> object:
        return engine(resident=frozenset({"badge@1"}), asked_ms=1.0)

    async def run(self, wanted: Run) -> EngineAnswer:
        await self.arrive.wait()
        if self.breaks:
            raise LinkLost("broken", sent=True)
        return EngineAnswer(response=FakeAnswer(self), incarnation="i1", served="badge@1")

    async def cancel(self, request_id: str) -> bool:
        self.cancels += 1
        if self.arrive.is_set():
            self.ended.set()
        return True

    def close(self) -> None:
        pass


class FakeLink:
    """An entry that listens."""

    def __init__(self) -> None:
        self.messages: list = []

    def send(self, message: object) -> None:
        self.messages.append(message)


class TestEndsOfRuns(unittest.TestCase):
    """An adapter stays pinned until the engine itself can no longer run the request."""

    async def _started(self) -> tuple[EngineDriver, FakeEngine, FakeLink]:
        port, link = FakeEngine(), FakeLink()
        side = EngineDriver(vm="a", engine=port, links=Links(None), metrics=Metrics())
        await side.start()
        while not side.report().ready:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        side.handle_message(link, run("r1"))
        await asyncio.sleep(0)
        return side, port, link

    def _pins(self, side: EngineDriver) -> int:
        return side.describe()["resident"]["badge@1"]["pins"]

    def test_a_cancellation_that_overtakes_its_run(self) -> None:
        """The engine says that nothing runs, and the run reaches it a moment later."""

        async def use() -> list:
            side, port, link = await self._started()
            side.handle_message(link, Cancel(request_id="r1"))
            while not port.cancels:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.01)
            found = [self._pins(side)]
            port.arrive.set()
            await port.ended.wait()
            while side.report().running:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            found.append(self._pins(side))
            await side.close()
            return found

        self.assertEqual(asyncio.run(use()), [1, 0])

    def test_a_run_whose_connection_broke(self) -> None:
        """A report that does not list it, asked at once, is not enough."""

        async def use() -> int:
            side, port, link = await self._started()
            port.breaks = True
            port.arrive.set()
            while not port.cancels:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.01)
            pins = self._pins(side)
            await side.close()
            return pins

        self.assertEqual(asyncio.run(use()), 1)
