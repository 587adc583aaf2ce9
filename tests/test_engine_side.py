"""The driver of an engine: pins of runs whose end the engine has not confirmed."""

import asyncio
import unittest

from skylarkrack._errors import LinkLost
from skylarkrack._links import Links
from skylarkrack._metrics import Metrics
from skylarkrack.agent._engine_driver import EngineDriver
from skylarkrack.messages import Cancel, RunRequest
from skylarkrack.ports import EngineAnswer
from tests.builders import engine, run


class FakeAnswer:
    """An answer that ends when its run is cancelled."""

    status = 200
    headers: list = []

    def __init__(self, port: "FakeEngine") -> None:
        self.port = port

    async def iter_body(self, *, timeout_ms: float) -> object:
        yield b'data: {"choices": [1]}\n\n'
        await self.port.ended.wait()

    def close(self) -> None:
        pass


class FakeEngine:
    """An engine that a run reaches only when *arrive* is set, as over a slow connection."""

    def __init__(self) -> None:
        self.arrive = asyncio.Event()
        self.ended = asyncio.Event()
        self.breaks = False
        self.cancels = 0

    async def status(self) -> object:
        return engine(resident=frozenset({"badge@1"}), asked_ms=1.0)

    async def run(self, run: RunRequest) -> EngineAnswer:
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
    """An entry's link that records the messages sent over it."""

    def __init__(self) -> None:
        self.messages: list = []

    def send(self, message: object) -> None:
        self.messages.append(message)


class TestPinsOfRuns(unittest.TestCase):
    """An adapter stays pinned until the engine can no longer run the request.

    With an earlier unpin, the adapter could be evicted while a run uses it.
    """

    async def _started(self) -> tuple[EngineDriver, FakeEngine, FakeLink]:
        port, link = FakeEngine(), FakeLink()
        driver = EngineDriver(vm="a", engine=port, links=Links(None), metrics=Metrics())
        await driver.start()
        while not driver.report().ready:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        driver.handle_message(link, run("r1"))
        await asyncio.sleep(0)
        return driver, port, link

    def _pins(self, driver: EngineDriver) -> int:
        return driver.describe()["resident"]["badge@1"]["pins"]

    def test_a_run_that_its_cancellation_overtakes_stays_pinned(self) -> None:
        """The cancellation succeeds before the run reaches the engine, which then starts it."""

        async def scenario() -> list:
            driver, port, link = await self._started()
            driver.handle_message(link, Cancel(request_id="r1"))
            while not port.cancels:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.01)
            pins = [self._pins(driver)]
            port.arrive.set()
            await port.ended.wait()
            while driver.report().running:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            pins.append(self._pins(driver))
            await driver.close()
            return pins

        self.assertEqual(asyncio.run(scenario()), [1, 0])

    def test_a_run_whose_connection_broke_stays_pinned(self) -> None:
        """A status without the run, requested right after the break, does not confirm its end."""

        async def scenario() -> int:
            driver, port, link = await self._started()
            port.breaks = True
            port.arrive.set()
            while not port.cancels:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.01)
            pins = self._pins(driver)
            await driver.close()
            return pins

        self.assertEqual(asyncio.run(scenario()), 1)
