"""Tests of model requests offered to several endpoints: retries, reported outcome, refunds."""

import asyncio
import json
import unittest

from skylarkrack._burn import BurnMeter
from skylarkrack._errors import Code, Outcome, RequestRefused
from skylarkrack._metrics import Metrics
from skylarkrack._traces import Traces
from skylarkrack.core import GrantTokens, RetryBudget, Router, SuspectTracker
from skylarkrack.entry._context import Context
from skylarkrack.entry._models import ModelService
from skylarkrack.entry._open_exchanges import OpenExchanges
from skylarkrack.entry._tickets import TicketClient
from skylarkrack.messages import RequestFailed, ResponseChunk, ResponseEnd, ResponseHead, RunRequest
from skylarkrack.web import Request
from tests.builders import catalogue, report

LOST = (Code.ENDPOINT_LOST, Outcome.UNKNOWN)
DRAINING = (Code.DRAINING, Outcome.NOT_RUN)
CRASHED = (Code.ENDPOINT_LOST, Outcome.RAN)
ANSWER = "answer"


class FakeKeeper:
    """A keeper with a fixed catalogue and a lease that is always held."""

    catalogue = catalogue()

    def may_act(self, now_ms: float) -> bool:
        return True

    def calendar_s(self, now_ms: float) -> float:
        return 0.0


class FakeBudgets:
    """Budgets that grant every reservation and add up the refunds."""

    def __init__(self) -> None:
        self.refunded = 0

    async def reserve(self, organisation: str, tokens: int) -> GrantTokens:
        return GrantTokens(
            ticket=None, budget=organisation, tokens=tokens, source="e", pool=0, stamp=1
        )

    def refund(self, grant: GrantTokens, tokens: int) -> None:
        self.refunded += tokens


class FakeResponder:
    """Records what would be sent to the caller."""

    def __init__(self) -> None:
        self.has_started = False
        self.has_ended = False
        self.body = b""

    def start(self, status: int, headers: list) -> None:
        self.has_started = True

    def send(self, data: bytes) -> None:
        self.body += data

    def end(self) -> None:
        self.has_ended = True


class FakeLinks:
    """Links to endpoints that answer each offer with the next step of *script*."""

    def __init__(self, script: list) -> None:
        self.script = script
        self.exchanges = OpenExchanges()
        self.offered: list[str] = []

    def link_to(self, vm: str) -> "FakeLink":
        self.offered.append(vm)
        return FakeLink(self)


class FakeLink:
    """A link to one of the endpoints of `FakeLinks`."""

    def __init__(self, links: FakeLinks) -> None:
        self.links = links

    def send(self, message: object) -> None:
        if isinstance(message, RunRequest):
            asyncio.get_running_loop().call_soon(self._answer, message.request_id)

    def _answer(self, request_id: str) -> None:
        step = self.links.script.pop(0)
        for message in _messages(step, request_id):
            self.links.exchanges.receive_message(self, message)


def _messages(step: object, request_id: str) -> list:
    head = ResponseHead(request_id=request_id, status=200, headers=[])
    chunk = ResponseChunk(request_id=request_id, offset=0, data=b"hello")
    if step == ANSWER:
        end = ResponseEnd(request_id=request_id, size=5, prompt_tokens=3, answer_tokens=2)
        return [head, chunk, end]
    if step == "short":
        return [
            head,
            chunk,
            ResponseEnd(request_id=request_id, size=9, prompt_tokens=3, answer_tokens=2),
        ]
    if step == "gap":
        return [head, chunk, ResponseChunk(request_id=request_id, offset=7, data=b"x")]
    if step == "cut":
        lost = RequestFailed(request_id=request_id, code=int(LOST[0]), outcome=str(LOST[1]))
        return [head, chunk, lost]
    code, outcome = step
    return [RequestFailed(request_id=request_id, code=int(code), outcome=str(outcome))]


class TestOffers(unittest.TestCase):
    """Requests against scripted endpoints; the caller's answer and the refunds are checked."""

    def serve(self, script: list, *, endpoints: int = 3) -> tuple:
        """Serve one request; return links, budgets, responder, and refusal or None."""
        links, budgets, responder = FakeLinks(list(script)), FakeBudgets(), FakeResponder()
        router = Router()
        for number in range(endpoints):
            router.observe_report(f"vm{number}", report())
        context = Context(
            keeper=FakeKeeper(),
            links=links,
            router=router,
            budgets=budgets,
            exchanges=links.exchanges,
            tickets=TicketClient(),
            suspect_tracker=SuspectTracker(),
            retry_budget=RetryBudget(),
            metrics=Metrics(),
            burn=BurnMeter(),
            traces=Traces(),
            next_request_id=lambda: "r",
        )
        body = json.dumps({"model": "badge@1", "prompt": "Hi", "max_tokens": 50}).encode()
        request = Request(method="POST", target="/v1/completions", headers=[], body=body)
        refusal = None

        async def run() -> None:
            service = ModelService(context)
            trace = context.traces.open("r")
            await service.serve(request, responder, digest="d1", trace=trace)

        try:
            asyncio.run(run())
        except RequestRefused as error:
            refusal = error
        return links, budgets, responder, refusal

    def test_the_next_endpoint_is_tried_after_a_refusal(self) -> None:
        links, _, responder, refusal = self.serve([DRAINING, LOST, ANSWER])
        self.assertIsNone(refusal)
        self.assertEqual((responder.body, responder.has_ended), (b"hello", True))
        self.assertEqual(len(set(links.offered)), 3)

    def test_the_last_refusal_does_not_hide_an_earlier_run(self) -> None:
        """Outcome "not run" and a refund are given only if no endpoint may have run the request."""
        rows = (
            ([DRAINING, DRAINING, DRAINING], 3, Outcome.NOT_RUN),
            ([LOST, DRAINING, DRAINING], 3, Outcome.UNKNOWN),
            ([LOST], 1, Outcome.UNKNOWN),
            ([CRASHED, DRAINING, LOST], 3, Outcome.RAN),
            ([DRAINING], 1, Outcome.NOT_RUN),
        )
        for script, endpoints, outcome in rows:
            with self.subTest(script=script):
                _, budgets, _, refusal = self.serve(script, endpoints=endpoints)
                self.assertIs(refusal.outcome, outcome)
                self.assertEqual(budgets.refunded > 0, outcome is Outcome.NOT_RUN)

    def test_an_answer_that_is_not_whole_is_never_ended(self) -> None:
        for step in ("short", "gap", "cut"):
            with self.subTest(step):
                links, budgets, responder, refusal = self.serve([step])
                self.assertFalse(responder.has_ended)
                self.assertIsNot(refusal.outcome, Outcome.NOT_RUN)
                self.assertEqual(len(links.offered), 1)
                self.assertEqual(budgets.refunded, 0)

    def test_unused_reserved_tokens_are_refunded(self) -> None:
        _, budgets, _, _ = self.serve([ANSWER])
        reserved = 50 + len("Hi") + 16
        self.assertEqual(budgets.refunded, reserved - 5)
