"""One request on its way: to an endpoint, perhaps to another, and its answer back."""

import asyncio

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import LinkLost, Outcome, RequestRefused
from skylarkrack._events import Event, log
from skylarkrack.core.relay import Attempts, Endpoint, GiveUp, SendTo, Ticket
from skylarkrack.relay._dialect import Passage, Verdict
from skylarkrack.relay._event_stream import EventStream
from skylarkrack.relay._exchange_log import ExchangeLog
from skylarkrack.relay._parts import EntryParts
from skylarkrack.relay._refusals import write_refusal
from skylarkrack.web import ClientResponse, Request, Responder

CONNECT_TIMEOUT_MS = 300.0
"""Ways within a region take a millisecond; a longer wait means a lost packet or a dead VM."""

ANSWER_SLACK_MS = 60.0
"""Time beyond a request's end for the endpoint's own answer to arrive."""

OVERDUE_OBJECTIVES = 2.0
"""An endpoint that has not begun to answer after so many of the route's objectives counts as
failing then: its caller may leave without a sign of what was wrong."""

FRESH_AFTER_IDLE_MS = 1000.0
"""A request that may not be repeated uses no connection that was idle for longer: the endpoint may
drop idle connections unannounced, and the request would be lost with an unknown outcome."""

MAX_URGENCY = 9
FIRST_URGENCY = 2
"""Urgency of priority 0; lower values stay free for what must overtake everything."""

_SERVER_ERROR = 500


class _TryAgain(Exception):
    """The endpoint did not run the request, or it may run again."""

    def __init__(self, reason: str, *, was_sent: bool, may_have_run: bool) -> None:
        super().__init__(reason)
        self.was_sent = was_sent
        self.may_have_run = may_have_run


class Exchange:
    """Carries one admitted request to its final answer."""

    __slots__ = (
        "_attempts",
        "_events",
        "_last",
        "_log",
        "_overdue",
        "_parts",
        "_request",
        "_responder",
        "_sent_ms",
        "state",
        "ticket",
    )

    def __init__(
        self, parts: EntryParts, request: Request, responder: Responder, ticket: Ticket
    ) -> None:
        self._parts = parts
        self._request = request
        self._responder = responder
        self.ticket = ticket
        self._attempts = Attempts(ticket.route, parts.retries_of(ticket.service_name))
        self._events = EventStream() if ticket.route.is_stream else None
        self._last: SendTo | None = None
        self._overdue: asyncio.TimerHandle | None = None
        self._log = ExchangeLog(parts, ticket)
        self._sent_ms = 0.0
        self.state = "placing"

    @property
    def outlives_caller(self) -> bool:
        """Whether the request has to go on when its caller leaves: it was sent and runs once."""
        route = self.ticket.route
        return self.state == "sent" and not route.is_idempotent and not route.is_stream

    async def run(self) -> None:
        """Bring the request to its final answer."""
        try:
            left_ms = self.ticket.ends_ms - monotonic_ms() + ANSWER_SLACK_MS
            async with asyncio.timeout(max(0.0, left_ms) / 1000):
                await self._send_until_answered()
        except TimeoutError:
            end = self._attempts.end_at_deadline(is_sent=self.state != "placing")
            self._fail(_refusal_of(end, "no answer in time"))
        except RequestRefused as refusal:
            self._fail(refusal)

    async def _send_until_answered(self) -> None:
        while True:
            placed = await self._place()
            try:
                await self._offer(placed)
                return
            except _TryAgain as again:
                self.ticket.tried.add(placed.endpoint.key)
                end = self._attempts.failed(
                    was_sent=again.was_sent, may_have_run=again.may_have_run
                )
                if end is not None:
                    raise _refusal_of(end, str(again)) from again
                self._log.retried(placed, str(again))

    async def _place(self) -> SendTo:
        """Return where the request goes; raises `RequestRefused`."""
        self.state = "placing"
        began_ms = monotonic_ms()
        try:
            placed = await self._parts.desk.place(self.ticket)
        except RequestRefused as refusal:
            end = self._attempts.end_before_send()
            raise (refusal if end is None else _refusal_of(end, str(refusal))) from None
        self._last = placed
        self._log.placed(placed, monotonic_ms() - began_ms)
        return placed

    async def _offer(self, placed: SendTo) -> None:
        """Send the request to one endpoint and hand its answer on; raises `_TryAgain`."""
        endpoint, need = placed.endpoint, self.ticket.need
        tokens = 0 if need is None else need.tokens
        name = None if need is None else need.name
        load = self._parts.dispatcher.load
        load.began(endpoint.key, tokens=tokens, name=name)
        if need is not None:
            load.sent_prompt(endpoint.key, need.prompt_tokens, monotonic_ms())
        self._overdue = asyncio.get_running_loop().call_later(
            OVERDUE_OBJECTIVES * self.ticket.route.objective_ms / 1000, self._is_overdue, endpoint
        )
        try:
            response = await self._send(placed)
            try:
                await self._take_answer(response, placed)
            finally:
                response.close()
        finally:
            self._overdue.cancel()
            load.ended(endpoint.key, tokens=tokens, name=name)
            if self._parts.dispatcher.waiting_count():
                asyncio.get_running_loop().call_soon(self._parts.desk.wake)

    async def _send(self, placed: SendTo) -> ClientResponse:
        """Send the request; return an answer that belongs to it."""
        endpoint, route = placed.endpoint, self.ticket.route
        health, request = self._parts.dispatcher.health, self._request
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
            raise _TryAgain(str(error), was_sent=error.sent, may_have_run=error.sent) from error
        self._sent_ms = now_ms
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
        if self._events is not None and is_good:
            await self._pass_stream(response, placed, verdict)
            return
        self._overdue.cancel()
        health, now_ms = self._parts.dispatcher.health, monotonic_ms()
        if is_good:
            health.answered(endpoint.key, now_ms - self._sent_ms, now_ms)
        else:
            health.failed(endpoint.key, now_ms)
        await self._pass_whole(response, placed, verdict)

    async def _turned_away(
        self, response: ClientResponse, endpoint: Endpoint, verdict: Verdict
    ) -> None:
        """Go on after an endpoint's word that it did not run the request; always raises."""
        dispatcher = self._parts.dispatcher
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
        reason = f"not run: status {response.status}"
        raise _TryAgain(reason, was_sent=True, may_have_run=False)

    async def _pass_whole(self, response: ClientResponse, placed: SendTo, verdict: Verdict) -> None:
        """Hand on an answer that was read whole, or send the request again if that is allowed."""
        endpoint, left_ms = placed.endpoint, self._left_ms(monotonic_ms())
        try:
            body = await response.whole(timeout_ms=left_ms)
        except LinkLost as error:
            self._lost_at(endpoint)
            raise _TryAgain(str(error), was_sent=True, may_have_run=True) from error
        if response.status < 300 and not verdict.is_proven:
            self._parts.dispatcher.health.failed(endpoint.key, monotonic_ms())
            raise _TryAgain("an answer without proof", was_sent=True, may_have_run=True)
        left_ms = self._left_ms(monotonic_ms())
        if response.status >= _SERVER_ERROR and self._attempts.may_replace_failure(left_ms):
            reason = f"failed with status {response.status}"
            raise _TryAgain(reason, was_sent=True, may_have_run=True)
        headers = self._parts.dialect.headers_for_caller(response.headers)
        self._responder.whole(response.status, headers, body)
        self._ended(response.status, placed)

    async def _pass_stream(
        self, response: ClientResponse, placed: SendTo, verdict: Verdict
    ) -> None:
        """Hand on the events of a stream as they come."""
        endpoint = placed.endpoint
        if not verdict.is_proven:
            raise _TryAgain("a stream without proof", was_sent=True, may_have_run=True)
        health, sent_ms = self._parts.dispatcher.health, monotonic_ms()
        is_first = True
        try:
            async for data in response.parts(timeout_ms=self._left_ms(sent_ms) + ANSWER_SLACK_MS):
                whole = self._events.feed(data)
                if not whole:
                    continue
                if is_first:
                    is_first = False
                    self._overdue.cancel()
                    health.answered(endpoint.key, monotonic_ms() - sent_ms, monotonic_ms())
                self._pass_events(response, whole)
        except (LinkLost, ValueError) as error:
            self._lost_at(endpoint)
            self._events.drop_partial()
            raise _TryAgain(str(error), was_sent=True, may_have_run=True) from error
        if self._events.has_partial or is_first:
            health.failed(endpoint.key, monotonic_ms())
            self._events.drop_partial()
            raise _TryAgain("ended within an event", was_sent=True, may_have_run=True)
        self._responder.end()
        self._ended(response.status, placed)

    def _pass_events(self, response: ClientResponse, events: bytes) -> None:
        if not self._responder.has_started:
            headers = self._parts.dialect.headers_for_caller(response.headers)
            self._responder.start(response.status, headers)
        self._responder.send(events)
        self._log.events_passed()

    def _is_overdue(self, endpoint: Endpoint) -> None:
        """Note that an endpoint has not begun to answer; the request goes on."""
        self._parts.dispatcher.health.failed(endpoint.key, monotonic_ms())
        self._log.overdue(endpoint)

    def _lost_at(self, endpoint: Endpoint) -> None:
        """Note an answer that was lost; the endpoint may have died of the request."""
        now_ms = monotonic_ms()
        self._parts.dispatcher.health.failed(endpoint.key, now_ms)
        self._parts.crashes.lost(self.ticket.fingerprint, endpoint.key, now_ms)
        self._parts.tasks.spawn(self._check_alive(endpoint))

    async def _check_alive(self, endpoint: Endpoint) -> None:
        """Find out whether an endpoint that lost an answer is dead, before others go there."""
        try:
            await self._parts.endpoints.client_of(endpoint).open_spare(CONNECT_TIMEOUT_MS)
        except LinkLost as error:
            now_ms = monotonic_ms()
            log(Event.ENDPOINT_DEAD, endpoint=endpoint.endpoint_id, error=str(error))
            self._parts.dispatcher.health.unreachable(endpoint.key, now_ms)
            self._parts.crashes.died(endpoint.key, now_ms)

    def _ended(self, status: int, placed: SendTo) -> None:
        self.state = "ended"
        self._parts.crashes.ended_well(self.ticket.fingerprint, monotonic_ms())
        self._log.ended(status, placed, self._attempts)

    def _fail(self, refusal: RequestRefused) -> None:
        has_begun = self._responder.has_started
        self._log.failed(refusal, self._last, self._attempts, has_begun=has_begun)
        if refusal.outcome is Outcome.NOT_RUN and self.ticket.cost:
            self._parts.usage.give_back(self.ticket.organisation, self.ticket.cost)
        self.state = "ended"
        headers = self._parts.dialect.headers_of_own_answer(self.ticket.call.request_id)
        write_refusal(self._responder, refusal, headers)


def _refusal_of(end: GiveUp, reason: str) -> RequestRefused:
    return RequestRefused(
        reason, code=end.code, outcome=end.outcome, retry_after_ms=end.retry_after_ms
    )
