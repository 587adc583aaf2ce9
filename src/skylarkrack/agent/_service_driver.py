"""The driver of a plain service: the shell around `IdempotencyLedger`."""

import asyncio
from functools import singledispatchmethod

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import Code, LinkLost, Outcome
from skylarkrack._links import Links
from skylarkrack._metrics import Metrics
from skylarkrack._tasks import Tasks
from skylarkrack.core import (
    Catalogue,
    IdempotencyLedger,
    RefuseRun,
    ReplayAnswer,
    StartCall,
    StoredAnswer,
)
from skylarkrack.messages import (
    CallRequest,
    Cancel,
    Confirmed,
    ConfirmRequest,
    EndpointReport,
    RequestFailed,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    Ticket,
    TicketRequest,
)
from skylarkrack.ports import SERVICE_TIMEOUT_MS, ServicePort
from skylarkrack.wire import Link

HEALTH_CHECK_INTERVAL_MS = 500
"""Interval at which the service's health is checked and a changed report is broadcast."""

CONFIRM_TIMEOUT_MS = 1000
"""Bound on the age of an entry's confirmation when a keyed call is sent to the service.

Without a confirmation in this time, the call is refused with `Code.DEADLINE`.
"""

MAX_CONCURRENT_CALLS = 64
"""Bound on calls in progress; further ones are refused with `Code.QUEUE_FULL`."""

# Refusals by the ledger that carry a new ticket.
_TICKET_CODES = (Code.MAY_HAVE_RUN,)


class ServiceDriver:
    """Calls one plain service; calls with an idempotency key are run at most once."""

    __slots__ = (
        "_confirmation_by_id",
        "_is_draining",
        "_is_up",
        "_last_report",
        "_ledger",
        "_links",
        "_metrics",
        "_name",
        "_port",
        "_running",
        "_task_by_id",
        "_tasks",
    )

    def __init__(
        self,
        *,
        name: str,
        vm: str,
        incarnation: str,
        port: ServicePort,
        links: Links,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._port = port
        self._links = links
        self._metrics = metrics
        self._ledger = IdempotencyLedger(vm=vm, incarnation=incarnation, now_ms=monotonic_ms())
        self._is_up = False
        self._is_draining = False
        self._running = 0
        self._last_report: EndpointReport | None = None
        self._confirmation_by_id: dict[str, asyncio.Future] = {}
        self._task_by_id: dict[str, asyncio.Task] = {}
        self._tasks = Tasks()

    async def start(self) -> None:
        """Start checking the service's health."""
        self._tasks.spawn(self._watch())

    async def close(self) -> None:
        """Cancel all calls and close the connections to the service."""
        self._tasks.close()
        self._port.close()

    async def drain(self) -> None:
        """Refuse new calls and wait until those in progress have ended."""
        self._is_draining = True
        self._broadcast_report()
        while self._running:  # noqa: ASYNC110 - bounded by the time-out of each call
            await asyncio.sleep(0.02)

    def update(self, catalogue: Catalogue) -> None:
        """Pass the service's agents in the roster to the ledger."""
        agents = set(catalogue.agents_of(self._name))
        self._ledger.observe_agents(agents, now_ms=monotonic_ms())

    def report(self) -> EndpointReport:
        """Return the current report of the service, as sent to entries."""
        return EndpointReport(
            model="",
            service=self._name,
            ready=self._is_up and not self._is_draining,
            running=self._running,
            waiting=0,
            capacity=MAX_CONCURRENT_CALLS,
            resident=[],
            leaving=False,
        )

    def describe(self) -> dict[str, object]:
        """Return the state shown by `skylarkctl state`, as a JSON document."""
        return {"service": self._name, "running": self._running, "keys": len(self._ledger)}

    def link_down(self, link: Link) -> None:
        """Do nothing: started calls continue, since the ledger has to record how they end."""

    # Messages of entries

    @singledispatchmethod
    def _dispatch_message(self, message: object, link: Link) -> None:
        """Ignore messages that concern only the agent of an engine."""

    def handle_message(self, link: Link, message: object) -> None:
        """Process a message of an entry; those for the agent of an engine are ignored."""
        self._dispatch_message(message, link)

    @_dispatch_message.register
    def _(self, message: CallRequest, link: Link) -> None:
        code = self._refusal(message)
        if code is not None:
            _fail(link, message.request_id, code, self._outcome_unless_started(message))
            return
        self._running += 1
        self._task_by_id[message.request_id] = self._tasks.spawn(self._serve(message, link))

    @_dispatch_message.register
    def _(self, message: Cancel, link: Link) -> None:
        # A keyed call is not cancelled, so that a repeat of it gets its answer.
        task = self._task_by_id.get(message.request_id)
        if task is not None:
            task.cancel()

    @_dispatch_message.register
    def _(self, message: Confirmed, link: Link) -> None:
        future = self._confirmation_by_id.pop(message.request_id, None)
        if future is not None and not future.done():
            future.set_result(None)

    @_dispatch_message.register
    def _(self, message: TicketRequest, link: Link) -> None:
        ticket = self._ledger.ticket(monotonic_ms())
        link.send(Ticket(request_id=message.request_id, ticket=ticket))

    def _refusal(self, call: CallRequest) -> Code | None:
        """Return the code to refuse *call* with, or None; one with a record is always answered."""
        if self._ledger.has_record(call):
            return None
        if self._is_draining:
            return Code.DRAINING
        if not self._is_up:
            return Code.NO_ENDPOINT
        return Code.QUEUE_FULL if self._running >= MAX_CONCURRENT_CALLS else None

    def _outcome_unless_started(self, call: CallRequest) -> Outcome:
        if not call.idempotency_key:
            return Outcome.NOT_RUN
        return self._ledger.outcome_unless_started(call, monotonic_ms())

    # Calls

    async def _serve(self, call: CallRequest, link: Link) -> None:
        try:
            if call.idempotency_key:
                self._task_by_id.pop(call.request_id, None)
                await self._serve_once(call, link)
            else:
                await self._serve_repeatable(call, link)
        finally:
            self._running -= 1
            self._task_by_id.pop(call.request_id, None)

    async def _serve_repeatable(self, call: CallRequest, link: Link) -> None:
        try:
            answer = await self._call_service(call)
        except LinkLost as error:
            outcome = Outcome.UNKNOWN if error.sent else Outcome.NOT_RUN
            _fail(link, call.request_id, Code.ENDPOINT_LOST, outcome)
            return
        _send_answer(link, call.request_id, answer)

    async def _serve_once(self, call: CallRequest, link: Link) -> None:
        if not self._ledger.has_record(call) and not await self._is_confirmed(call, link):
            _fail(link, call.request_id, Code.DEADLINE, self._outcome_unless_started(call))
            return
        decision = self._ledger.offer(call, now_ms=monotonic_ms())
        await self._execute_decision(decision, call, link)

    @singledispatchmethod
    async def _execute_decision(self, decision: object, call: CallRequest, link: Link) -> None:
        raise TypeError(f"not a ledger decision: {type(decision).__name__}")

    @_execute_decision.register
    async def _(self, decision: StartCall, call: CallRequest, link: Link) -> None:
        try:
            answer = await self._call_service(call)
        except LinkLost as error:
            self._handle_lost_call(call, link, error)
            return
        except asyncio.CancelledError:
            self._ledger.record_lost_answer(call, now_ms=monotonic_ms())
            raise
        self._ledger.record_answer(call, answer, now_ms=monotonic_ms())
        _send_answer(link, call.request_id, answer)

    @_execute_decision.register
    async def _(self, decision: ReplayAnswer, call: CallRequest, link: Link) -> None:
        _send_answer(link, call.request_id, decision.answer)

    @_execute_decision.register
    async def _(self, decision: RefuseRun, call: CallRequest, link: Link) -> None:
        ticket = self._ledger.ticket(monotonic_ms()) if decision.code in _TICKET_CODES else ""
        _fail(
            link,
            call.request_id,
            decision.code,
            decision.outcome,
            retry_after_ms=decision.retry_after_ms,
            ticket=ticket,
        )

    def _handle_lost_call(self, call: CallRequest, link: Link, error: LinkLost) -> None:
        if error.sent:
            self._ledger.record_lost_answer(call, now_ms=monotonic_ms())
            _fail(link, call.request_id, Code.MAY_HAVE_RUN, Outcome.UNKNOWN)
            return
        self._ledger.remove_record(call)
        _fail(link, call.request_id, Code.NO_ENDPOINT, Outcome.NOT_RUN)

    async def _is_confirmed(self, call: CallRequest, link: Link) -> bool:
        """Return whether the entry confirms in time that it still waits for *call*.

        Without this check, an agent that was paused after it received the call would run it long
        after the outcome was reported to the caller as unknown. The caller may have repeated it at
        another agent by then.
        """
        asked_ms = monotonic_ms()
        future = self._confirmation_by_id[call.request_id] = (
            asyncio.get_running_loop().create_future()
        )
        link.send(ConfirmRequest(request_id=call.request_id))
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_MS / 1000):
                await future
        except TimeoutError:
            return False
        finally:
            self._confirmation_by_id.pop(call.request_id, None)
        return monotonic_ms() - asked_ms <= CONFIRM_TIMEOUT_MS

    async def _call_service(self, call: CallRequest) -> StoredAnswer:
        """Call the service and return its complete answer.

        Raises `LinkLost` if the connection fails or the service does not answer in time.
        """
        self._metrics.count("calls_sent")
        response = await self._port.call(call)
        body = await response.read_body(timeout_ms=SERVICE_TIMEOUT_MS)
        return StoredAnswer(status=response.status, headers=tuple(response.headers), body=body)

    # Health of the service

    async def _watch(self) -> None:
        while True:
            self._is_up = await self._port.is_up()
            self._broadcast_report()
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_MS / 1000)

    def _broadcast_report(self) -> None:
        report = self.report()
        if report == self._last_report:
            return
        self._last_report = report
        for link in self._links.with_role("entry"):
            link.send(report)


def _send_answer(link: Link, request_id: str, answer: StoredAnswer) -> None:
    headers = [list(pair) for pair in answer.headers]
    link.send(ResponseHead(request_id=request_id, status=answer.status, headers=headers))
    link.send(ResponseChunk(request_id=request_id, offset=0, data=answer.body))
    size = len(answer.body)
    link.send(ResponseEnd(request_id=request_id, size=size, prompt_tokens=0, answer_tokens=0))


def _fail(
    link: Link,
    request_id: str,
    code: Code,
    outcome: Outcome,
    *,
    retry_after_ms: int | None = None,
    ticket: str = "",
) -> None:
    link.send(
        RequestFailed(
            request_id=request_id,
            code=int(code),
            outcome=str(outcome),
            retry_after_ms=-1 if retry_after_ms is None else retry_after_ms,
            ticket=ticket,
        )
    )
