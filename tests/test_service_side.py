"""The agent beside a plain service: what it says of a call that it does not hand on."""

import asyncio
import unittest

from skylarkrack._links import Links
from skylarkrack._metrics import Metrics
from skylarkrack.agent._service_driver import ServiceDriver
from skylarkrack.messages import Confirm, Confirmed, End, Failed, TicketRequest
from skylarkrack.ports import ServicePort
from standins.fleet import free_address
from standins.service import Service
from tests.builders import call


class FakeLink:
    """An entry that confirms every call, unless it is told not to."""

    def __init__(self, side: ServiceDriver) -> None:
        self.side = side
        self.confirms = True
        self.messages: list = []
        self.answered = asyncio.Event()

    def send(self, message: object) -> None:
        if isinstance(message, Confirm):
            if self.confirms:
                confirmed = Confirmed(request_id=message.request_id)
                asyncio.get_running_loop().call_soon(self.side.handle_message, self, confirmed)
            return
        self.messages.append(message)
        if isinstance(message, End | Failed):
            self.answered.set()

    async def answer(self, message: object) -> object:
        self.answered.clear()
        self.side.handle_message(self, message)
        await self.answered.wait()
        return self.messages[-1]


class TestTruthOfRefusals(unittest.TestCase):
    """Of a call that it has run an agent never says "not run", whatever else is wrong."""

    async def _with_side(self, use: object) -> list:
        service, address = Service(), free_address()
        await service.start(address)
        side = ServiceDriver(
            name="desk",
            vm="a",
            incarnation="i1",
            port=ServicePort(address),
            links=Links(None),
            metrics=Metrics(),
        )
        await side.start()
        while not side.report().ready:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        link = FakeLink(side)
        link.side.handle_message(link, TicketRequest(request_id="t"))
        try:
            return await use(side, service, link, link.messages[-1].ticket)
        finally:
            await side.close()
            await service.close()

    def test_a_repeat_while_draining(self) -> None:
        async def use(side: ServiceDriver, service: Service, link: FakeLink, ticket: str) -> list:
            first = await link.answer(call("r1", ticket=ticket))
            await side.drain()
            again = await link.answer(call("r2", ticket=ticket))
            other = await link.answer(call("r3", key="new", ticket=ticket))
            foreign = await link.answer(call("r4", key="new", ticket="a~i0~0"))
            return [type(first), type(again), other.outcome, foreign.outcome]

        found = asyncio.run(self._with_side(use))
        self.assertEqual(found, [End, End, "not_run", "unknown"])

    def test_a_repeat_while_the_service_is_down(self) -> None:
        async def use(side: ServiceDriver, service: Service, link: FakeLink, ticket: str) -> list:
            await link.answer(call("r1", ticket=ticket))
            await service.close()
            while side.report().ready:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            again = await link.answer(call("r2", ticket=ticket))
            other = await link.answer(call("r3", key="new", ticket=ticket))
            return [type(again), other.outcome]

        self.assertEqual(asyncio.run(self._with_side(use)), [End, "not_run"])

    def test_a_call_that_is_not_confirmed(self) -> None:
        async def use(side: ServiceDriver, service: Service, link: FakeLink, ticket: str) -> list:
            await link.answer(call("r1", ticket=ticket))
            link.confirms = False
            again = await link.answer(call("r2", ticket=ticket))
            other = await link.answer(call("r3", key="new", ticket=ticket))
            return [type(again), other.outcome, service.runs_by_body["500"]]

        self.assertEqual(asyncio.run(self._with_side(use)), [End, "not_run", 1])
