"""The driver of a service: outcomes of calls that it does not send to the service."""

import asyncio
import unittest

from skylarkrack._links import Links
from skylarkrack._metrics import Metrics
from skylarkrack.agent._service_driver import ServiceDriver
from skylarkrack.messages import (
    Confirmed,
    ConfirmRequest,
    RequestFailed,
    ResponseEnd,
    TicketRequest,
)
from skylarkrack.ports import ServicePort
from standins.fleet import free_address
from standins.service import Service
from tests.builders import call


class FakeLink:
    """An entry's link that confirms every call while *confirms* is set."""

    def __init__(self, driver: ServiceDriver) -> None:
        self.driver = driver
        self.confirms = True
        self.messages: list = []
        self.answered = asyncio.Event()

    def send(self, message: object) -> None:
        if isinstance(message, ConfirmRequest):
            if self.confirms:
                confirmed = Confirmed(request_id=message.request_id)
                asyncio.get_running_loop().call_soon(self.driver.handle_message, self, confirmed)
            return
        self.messages.append(message)
        if isinstance(message, ResponseEnd | RequestFailed):
            self.answered.set()

    async def answer(self, message: object) -> object:
        self.answered.clear()
        self.driver.handle_message(self, message)
        await self.answered.wait()
        return self.messages[-1]


class TestOutcomesOfRefusals(unittest.TestCase):
    """A call that the agent has run is never refused as "not run".

    A refusal for another reason, such as a drain, must not hide the earlier run: its caller would
    repeat the call elsewhere, and it would run twice.
    """

    async def _with_driver(self, scenario: object) -> list:
        service, address = Service(), free_address()
        await service.start(address)
        driver = ServiceDriver(
            name="desk",
            vm="a",
            incarnation="i1",
            port=ServicePort(address),
            links=Links(None),
            metrics=Metrics(),
        )
        await driver.start()
        while not driver.report().ready:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        link = FakeLink(driver)
        link.driver.handle_message(link, TicketRequest(request_id="t"))
        try:
            return await scenario(driver, service, link, link.messages[-1].ticket)
        finally:
            await driver.close()
            await service.close()

    def test_a_repeat_while_draining_gets_the_stored_answer(self) -> None:
        async def scenario(
            driver: ServiceDriver, service: Service, link: FakeLink, ticket: str
        ) -> list:
            first = await link.answer(call("r1", ticket=ticket))
            await driver.drain()
            again = await link.answer(call("r2", ticket=ticket))
            other = await link.answer(call("r3", key="new", ticket=ticket))
            foreign = await link.answer(call("r4", key="new", ticket="a~i0~0"))
            return [type(first), type(again), other.outcome, foreign.outcome]

        outcomes = asyncio.run(self._with_driver(scenario))
        self.assertEqual(outcomes, [ResponseEnd, ResponseEnd, "not_run", "unknown"])

    def test_a_repeat_while_the_service_is_down_gets_the_stored_answer(self) -> None:
        async def scenario(
            driver: ServiceDriver, service: Service, link: FakeLink, ticket: str
        ) -> list:
            await link.answer(call("r1", ticket=ticket))
            await service.close()
            while driver.report().ready:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            again = await link.answer(call("r2", ticket=ticket))
            other = await link.answer(call("r3", key="new", ticket=ticket))
            return [type(again), other.outcome]

        self.assertEqual(asyncio.run(self._with_driver(scenario)), [ResponseEnd, "not_run"])

    def test_a_new_call_without_confirmation_is_not_run(self) -> None:
        async def scenario(
            driver: ServiceDriver, service: Service, link: FakeLink, ticket: str
        ) -> list:
            await link.answer(call("r1", ticket=ticket))
            link.confirms = False
            again = await link.answer(call("r2", ticket=ticket))
            other = await link.answer(call("r3", key="new", ticket=ticket))
            return [type(again), other.outcome, service.runs_by_body["500"]]

        self.assertEqual(asyncio.run(self._with_driver(scenario)), [ResponseEnd, "not_run", 1])
