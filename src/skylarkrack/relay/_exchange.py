"""One request on its way: to an endpoint, perhaps to another, and its answer back."""

import asyncio
from dataclasses import dataclass

from skylarkrack._burn import FIRST_TOKEN_OBJECTIVE_MS, BurnMeter
from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import Code, LinkLost, Outcome, RequestRefused
from skylarkrack._events import Event, log
from skylarkrack._metrics import Metrics
from skylarkrack._tasks import Tasks
from skylarkrack.core import RetryBudget
from skylarkrack.core.relay import Crashes, Endpoint, SendTo, Ticket, Usage
from skylarkrack.relay._desk import Desk
from skylarkrack.relay._dialect import Dialect, Passage, Verdict
from skylarkrack.relay._endpoints import Endpoints
from skylarkrack.relay._event_stream import EventStream
from skylarkrack.relay._refusals import write_refusal
from skylarkrack.web import ClientResponse, Request, Responder

CONNECT_TIMEOUT_MS = 300.0
"""Ways within a region take a millisecond; a longer wait means a lost packet or a dead VM."""

ANSWER_SLACK_MS = 60.0
"""Time beyond a request's end for the endpoint's own answer to arrive."""

FRESH_AFTER_IDLE_MS = 1000.0
"""A request that may not be repeated uses no connection that was idle for longer: the endpoint may
drop idle connections unannounced, and the request would be lost with an unknown outcome."""

MAX_SENDS = 4
"""Endpoints that one request is offered to."""

RETURN_MS = 400
"""When a caller may come back after the endpoints refused its request."""

MAX_URGENCY = 9
FIRST_URGENCY = 2
"""Urgency of priority 0; lower values stay free for what must overtake everything."""

_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeParts:
    """What exchanges share."""

    desk: Desk
    dialect: Dialect
    endpoints: Endpoints
    metrics: Metrics
    burn: BurnMeter
    usage: Usage
    crashes: Crashes
    tasks: Tasks
    retries_by_service: dict[str, RetryBudget]
    most_retries: float


class _TryAgain(Exception):
    """The endpoint did not run the request, or it may run again."""

    def __init__(self, reason: str, *, was_sent: bool, has_run: bool) -> None:
        super().__init__(reason)
        self.was_sent = was_sent
        self.has_run = has_run


class Exchange:
    """Carries one admitted request to its final answer."""

    __slots__ = (
        "_events",
        "_first_event_ms",
        "_last",
        "_last_event_ms",
        "_longest_gap_ms",
        "_parts",
        "_request",
        "_responder",
        "_runs",
        "_sends",
        "state",
        "ticket",
    )

    def __init__(
        self, parts: ExchangeParts, request: Request, responder: Responder, ticket: Ticket
    ) -> None:
        self._parts = parts
        self._request = request
        self._responder = responder
        self.ticket = ticket
        self._events = EventStream() if ticket.route.is_stream else None
        self._first_event_ms: float | None = None
        self._last_event_ms = 0.0
        self._longest_gap_ms = 0.0
        self._last: SendTo | None = None
        self._sends = 0
        self._runs = 0
        self.state = "placing"

    @property
    def outlives_caller(self) -> bool:
        """Whether the request has to go on when its caller leaves: it was sent and runs once."""
        route = self.ticket.route
        return self.state == "sent" and not route.is_idempotent and not route.is_stream

    async def run(self) -> None:
        """Bring the request to its final answer."""
        ticket, budget = self.ticket, self._budget()
        budget.earn()
        try:
            left_ms = ticket.ends_ms - monotonic_ms() + ANSWER_SLACK_MS
            async with asyncio.timeout(max(0.0, left_ms) / 1000):
                await self._send_until_answered(budget)
        except TimeoutError:
            self._fail(self._late())
        except RequestRefused as refusal:
            self._fail(refusal)

    async def _send_until_answered(self, budget: RetryBudget) -> None:
        while True:
            self.state = "placing"
            began_ms = monotonic_ms()
            try:
                placed = await self._parts.desk.place(self.ticket)
            except RequestRefused as refusal:
                raise self._worst(refusal) from None
            self._last = placed
            self._note_wait(placed, monotonic_ms() - began_ms)
            try:
                await self._offer(placed)
                return
            except _TryAgain as again:
                self.ticket.tried.add(placed.endpoint.key)
                self._check_retry(again, budget)
                log(
                    Event.RELAY_RETRIED,
                    request=self.ticket.call.request_id,
                    endpoint=placed.endpoint.endpoint_id,
                    reason=str(again),
                )
                self._parts.metrics.count("retried_total", self.ticket.service_name)

    def _check_retry(self, again: _TryAgain, budget: RetryBudget) -> None:
        """Raise the final refusal unless the request may be sent once more."""
        route = self.ticket.route
        if again.was_sent:
            self._sends += 1
        if again.has_run:
            self._runs += 1
        if self._runs and (not route.is_idempotent or self._runs >= route.max_endpoints):
            raise RequestRefused(str(again), code=Code.ENDPOINT_LOST, outcome=Outcome.UNKNOWN)
        is_spent = again.was_sent and not budget.spend()
        if self._sends >= MAX_SENDS or is_spent:
            refusal = RequestRefused(str(again), code=Code.QUEUE_FULL, retry_after_ms=RETURN_MS)
            raise self._worst(refusal)

    def _worst(self, refusal: RequestRefused) -> RequestRefused:
        """Return *refusal* unless the request may have run, which it must not deny."""
        if not self._runs:
            return refusal
        return RequestRefused(str(refusal), code=Code.ENDPOINT_LOST, outcome=Outcome.UNKNOWN)

    def _late(self) -> RequestRefused:
        is_unsent = self.state == "placing" and not self._runs
        outcome = Outcome.NOT_RUN if is_unsent else Outcome.UNKNOWN
        return RequestRefused("no answer in time", code=Code.DEADLINE, outcome=outcome)

    async def _offer(self, placed: SendTo) -> None:
        """Send the request to one endpoint and hand its answer on; raises `_TryAgain`."""
        endpoint, need = placed.endpoint, self.ticket.need
        tokens = 0 if need is None else need.tokens
        model = "" if need is None else need.model
        adapter = "" if need is None else need.adapter or ""
        load = self._parts.desk.dispatcher.load
        load.began(endpoint.key, tokens=tokens, model=model, adapter=adapter)
        if need is not None:
            load.sent_prompt(endpoint.key, need.prompt_tokens, monotonic_ms())
        try:
            response = await self._send(placed)
            try:
                await self._take_answer(response, placed)
            finally:
                response.close()
        finally:
            load.ended(endpoint.key, tokens=tokens, model=model, adapter=adapter)
            if self._parts.desk.dispatcher.waiting_count():
                asyncio.get_running_loop().call_soon(self._parts.desk.wake)

    async def _send(self, placed: SendTo) -> ClientResponse:
        """Send the request; return an answer that belongs to it."""
        endpoint, route = placed.endpoint, self.ticket.route
        health, request = self._parts.desk.dispatcher.health, self._request
        now_ms = monotonic_ms()
        self.state = "sent"
        try:
            response = await self._parts.endpoints.client_of(endpoint).request(
                request.method,
                request.target,
                headers=self._parts.dialect.headers_for_endpoint(
                    request, self._passage(placed, now_ms)
                ),
                body=request.body,
                timeout_ms=self._left_ms(now_ms) + 2 * ANSWER_SLACK_MS,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                max_idle_ms=None if route.is_idempotent else FRESH_AFTER_IDLE_MS,
                is_own=self._is_own,
            )
        except LinkLost as error:
            now_ms = monotonic_ms()
            if error.sent:
                self._lost_at(endpoint)
            else:
                health.unreachable(endpoint.key, now_ms)
                self._parts.crashes.died(endpoint.key, now_ms)
            raise _TryAgain(str(error), was_sent=error.sent, has_run=error.sent) from error
        if not route.is_stream:
            health.answered(endpoint.key, monotonic_ms() - now_ms, monotonic_ms())
        return response

    def _is_own(self, headers: list) -> bool:
        return self._parts.dialect.is_answer_to(self.ticket.call.request_id, headers)

    def _passage(self, placed: SendTo, now_ms: float) -> Passage:
        resume_after = None
        if self._events is not None:
            resume_after = self._events.last_id or self.ticket.call.resume_after
        return Passage(
            endpoint_id=placed.endpoint.endpoint_id,
            remaining_ms=self._left_ms(now_ms),
            organisation=self.ticket.organisation,
            urgency=min(MAX_URGENCY, FIRST_URGENCY + self.ticket.priority),
            version=placed.version or None,
            resume_after=resume_after,
        )

    def _left_ms(self, now_ms: float) -> float:
        return max(1.0, self.ticket.ends_ms - now_ms)

    async def _take_answer(self, response: ClientResponse, placed: SendTo) -> None:
        endpoint = placed.endpoint
        verdict = self._parts.dialect.verdict_of(
            response.status, response.headers, endpoint.endpoint_id
        )
        if verdict.was_not_run:
            await self._turned_away(response, endpoint, verdict)
        is_good = response.status < _SERVER_ERROR
        if not is_good:
            self._parts.desk.dispatcher.health.failed(endpoint.key, monotonic_ms())
        if self._events is not None and is_good:
            await self._pass_stream(response, placed, verdict)
        else:
            await self._pass_whole(response, placed, verdict)

    async def _turned_away(
        self, response: ClientResponse, endpoint: Endpoint, verdict: Verdict
    ) -> None:
        """Go on after an endpoint's word that it did not run the request; always raises."""
        dispatcher = self._parts.desk.dispatcher
        try:
            await response.whole(timeout_ms=CONNECT_TIMEOUT_MS)
        except LinkLost:
            # Only the connection is lost; the head has said all that matters.
            response.close()
        if verdict.is_another:
            now_ms = monotonic_ms()
            dispatcher.health.unreachable(endpoint.key, now_ms)
            self._parts.crashes.died(endpoint.key, now_ms)
        elif verdict.lacks_adapter:
            if self.ticket.need is not None:
                dispatcher.missing(endpoint.key, self.ticket.need)
        else:
            dispatcher.health.failed(endpoint.key, monotonic_ms())
        raise _TryAgain(f"not run: status {response.status}", was_sent=True, has_run=False)

    async def _pass_whole(self, response: ClientResponse, placed: SendTo, verdict: Verdict) -> None:
        """Hand on an answer that was read whole, or send the request again if that is allowed."""
        endpoint = placed.endpoint
        route = self.ticket.route
        try:
            body = await response.whole(timeout_ms=self._left_ms(monotonic_ms()))
        except LinkLost as error:
            self._lost_at(endpoint)
            raise _TryAgain(str(error), was_sent=True, has_run=True) from error
        if response.status < 300 and not verdict.is_proven:
            self._parts.desk.dispatcher.health.failed(endpoint.key, monotonic_ms())
            raise _TryAgain("an answer without proof", was_sent=True, has_run=True)
        if response.status >= _SERVER_ERROR and self._may_run_again(route):
            raise _TryAgain(f"failed with status {response.status}", was_sent=True, has_run=True)
        headers = self._parts.dialect.headers_for_caller(response.headers)
        self._responder.whole(response.status, headers, body)
        self._ended(response.status)

    def _lost_at(self, endpoint: Endpoint) -> None:
        """Note an answer that was lost; the endpoint may have died of the request."""
        now_ms = monotonic_ms()
        self._parts.desk.dispatcher.health.failed(endpoint.key, now_ms)
        self._parts.crashes.lost(self.ticket.fingerprint, endpoint.key, now_ms)
        self._parts.tasks.spawn(self._check_alive(endpoint))

    async def _check_alive(self, endpoint: Endpoint) -> None:
        """Find out whether an endpoint that lost an answer is dead, before others go there."""
        try:
            await self._parts.endpoints.client_of(endpoint).open_spare(CONNECT_TIMEOUT_MS)
        except LinkLost as error:
            now_ms = monotonic_ms()
            log(Event.ENDPOINT_DEAD, endpoint=endpoint.endpoint_id, error=str(error))
            self._parts.desk.dispatcher.health.unreachable(endpoint.key, now_ms)
            self._parts.crashes.died(endpoint.key, now_ms)

    def _may_run_again(self, route: object) -> bool:
        left_ms = self._left_ms(monotonic_ms())
        is_in_time = left_ms > route.objective_ms / 2
        is_allowed = route.is_idempotent and self._runs + 1 < route.max_endpoints
        return is_allowed and is_in_time and self._budget().has_left()

    async def _pass_stream(
        self, response: ClientResponse, placed: SendTo, verdict: Verdict
    ) -> None:
        """Hand on the events of a stream as they come."""
        endpoint = placed.endpoint
        if not verdict.is_proven:
            raise _TryAgain("a stream without proof", was_sent=True, has_run=True)
        health, sent_ms = self._parts.desk.dispatcher.health, monotonic_ms()
        is_first = True
        try:
            async for data in response.parts(timeout_ms=self._left_ms(sent_ms) + ANSWER_SLACK_MS):
                whole = self._events.feed(data)
                if not whole:
                    continue
                if is_first:
                    is_first = False
                    health.answered(endpoint.key, monotonic_ms() - sent_ms, monotonic_ms())
                self._pass_events(response, whole)
        except (LinkLost, ValueError) as error:
            self._lost_at(endpoint)
            self._events.drop_partial()
            raise _TryAgain(str(error), was_sent=True, has_run=True) from error
        if self._events.has_partial or is_first:
            health.failed(endpoint.key, monotonic_ms())
            self._events.drop_partial()
            raise _TryAgain("ended within an event", was_sent=True, has_run=True)
        self._responder.end()
        self._ended(response.status)

    def _pass_events(self, response: ClientResponse, events: bytes) -> None:
        now_ms = monotonic_ms()
        if self._responder.has_started:
            self._longest_gap_ms = max(self._longest_gap_ms, now_ms - self._last_event_ms)
        else:
            headers = self._parts.dialect.headers_for_caller(response.headers)
            self._responder.start(response.status, headers)
            waited_ms = now_ms - self.ticket.call.arrived_ms
            self._first_event_ms = waited_ms
            is_soon = waited_ms <= FIRST_TOKEN_OBJECTIVE_MS
            self._parts.burn.observe("first_token", is_good=is_soon, now_ms=now_ms)
            self._parts.metrics.observe_ms("first_event_ms", waited_ms, self.ticket.route.name)
        self._last_event_ms = now_ms
        self._responder.send(events)
        self._parts.metrics.count("events_total")

    def _budget(self) -> RetryBudget:
        budgets, name = self._parts.retries_by_service, self.ticket.service_name
        if name not in budgets:
            budgets[name] = RetryBudget(self._parts.most_retries)
        return budgets[name]

    def _note_wait(self, placed: SendTo, waited_ms: float) -> None:
        if waited_ms < 1:
            return
        log(
            Event.RELAY_WAITED,
            request=self.ticket.call.request_id,
            endpoint=placed.endpoint.endpoint_id,
            waited_ms=round(waited_ms),
            cost_ms=round(placed.cost_ms),
        )
        self._parts.metrics.observe_ms("placed_after_ms", waited_ms, self.ticket.service_name)

    def _ended(self, status: int) -> None:
        now_ms = monotonic_ms()
        took_ms = now_ms - self.ticket.call.arrived_ms
        self.state = "ended"
        self._parts.crashes.ended_well(self.ticket.fingerprint, now_ms)
        self._log(Event.RELAY_ENDED, took_ms, status=status, sends=self._sends + 1)
        self._parts.burn.observe("answered", is_good=status < _SERVER_ERROR, now_ms=now_ms)
        self._parts.metrics.count("answered_total", str(status))
        self._parts.metrics.observe_ms("took_ms", took_ms, self.ticket.route.name)

    def _fail(self, refusal: RequestRefused) -> None:
        self._log(
            Event.RELAY_BROKEN if self._responder.has_started else Event.RELAY_REFUSED,
            monotonic_ms() - self.ticket.call.arrived_ms,
            code=int(refusal.code),
            outcome=str(refusal.outcome),
            reason=str(refusal),
            sends=self._sends,
            runs_begun=self._runs,
        )
        self._parts.burn.observe("answered", is_good=False, now_ms=monotonic_ms())
        self._parts.metrics.count("refused_total", refusal.code.name.lower())
        if refusal.outcome is Outcome.NOT_RUN and self.ticket.cost:
            self._parts.usage.give_back(self.ticket.organisation, self.ticket.cost)
        self.state = "ended"
        request_id = self.ticket.call.request_id
        headers = self._parts.dialect.headers_of_own_answer(request_id)
        write_refusal(self._responder, refusal, headers)

    def _log(self, event: Event, took_ms: float, **fields: object) -> None:
        """Write the request's last line: what decided its way, how old that was, the outcome."""
        placed, table = self._last, self._parts.desk.dispatcher.table
        if placed is not None:
            age_ms = placed.state_age_ms
            fields |= {
                "endpoint": placed.endpoint.endpoint_id,
                "version": placed.version,
                "cost_ms": round(placed.cost_ms),
                "runs_there": placed.runs,
                "state_age_ms": None if age_ms is None else round(age_ms),
            }
        if self._first_event_ms is not None:
            fields["first_ms"] = round(self._first_event_ms)
            fields["gap_ms"] = round(self._longest_gap_ms)
        log(
            event,
            request=self.ticket.call.request_id,
            organisation=self.ticket.organisation,
            route=self.ticket.route.name,
            table=table.version,
            took_ms=round(took_ms),
            **fields,
        )
