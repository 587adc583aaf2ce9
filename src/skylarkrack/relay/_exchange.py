"""One request on its way: to an endpoint, perhaps to another, and its answer back."""

import asyncio

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import LinkLost, Outcome, RequestRefused
from skylarkrack._events import Event, log
from skylarkrack.core.relay import Attempts, Endpoint, GiveUp, PendingRequest, SendTo
from skylarkrack.relay._codec import ForwardParameters, ResponseClassification
from skylarkrack.relay._context import EntryContext
from skylarkrack.relay._event_stream import EventStream
from skylarkrack.relay._exchange_log import ExchangeLog
from skylarkrack.relay._refusals import write_refusal
from skylarkrack.web import ClientResponse, Request, Responder

CONNECT_TIMEOUT_MS = 300.0
"""Ways within a region take a millisecond; a longer wait means a lost packet or a dead VM."""

RESPONSE_SLACK_MS = 60.0
"""Time beyond a request's end for the endpoint's own answer to arrive."""

OVERDUE_OBJECTIVES = 2.0
"""An endpoint that has not begun to answer after so many of the route's objectives counts as
failing then: its caller may leave without a sign of what was wrong."""

MAX_IDLE_NOT_REPEATABLE_MS = 1000.0
"""A request that may not be repeated uses no connection that was idle for longer: the endpoint may
drop idle connections unannounced, and the request would be lost with an unknown outcome."""

MAX_URGENCY = 9
BASE_URGENCY = 2
"""Urgency of priority 0; lower values stay free for what must overtake everything."""

_SERVER_ERROR = 500


class _RetryRequest(Exception):
    """The endpoint did not run the request, or it may run again."""

    def __init__(self, reason: str, *, was_sent: bool, may_have_run: bool) -> None:
        super().__init__(reason)
        self.was_sent = was_sent
        self.may_have_run = may_have_run


class Exchange:
    """Carries one admitted request to its final answer."""

    __slots__ = (
        "_attempts",
        "_context",
        "_event_stream",
        "_last_placement",
        "_log",
        "_overdue_timer",
        "_request",
        "_responder",
        "_sent_ms",
        "state",
        "ticket",
    )

    def __init__(
        self, context: EntryContext, request: Request, responder: Responder, ticket: PendingRequest
    ) -> None:
        self._context = context
        self._request = request
        self._responder = responder
        self.ticket = ticket
        self._attempts = Attempts(ticket.route, context.retry_budget_of(ticket.service_name))
        self._event_stream = EventStream() if ticket.route.is_stream else None
        self._last_placement: SendTo | None = None
        self._overdue_timer: asyncio.TimerHandle | None = None
        self._log = ExchangeLog(context, ticket)
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
            left_ms = self.ticket.deadline_ms - monotonic_ms() + RESPONSE_SLACK_MS
            async with asyncio.timeout(max(0.0, left_ms) / 1000):
                await self._send_until_answered()
        except TimeoutError:
            end = self._attempts.end_at_deadline(is_sent=self.state != "placing")
            self._fail(_refusal_from(end, "no answer in time"))
        except RequestRefused as refusal:
            self._fail(refusal)

    async def _send_until_answered(self) -> None:
        while True:
            placed = await self._place()
            try:
                await self._forward(placed)
                return
            except _RetryRequest as again:
                self.ticket.tried.add(placed.endpoint.key)
                end = self._attempts.record_failure(
                    was_sent=again.was_sent, may_have_run=again.may_have_run
                )
                if end is not None:
                    raise _refusal_from(end, str(again)) from again
                self._log.retried(placed, str(again))

    async def _place(self) -> SendTo:
        """Return where the request goes; raises `RequestRefused`."""
        self.state = "placing"
        began_ms = monotonic_ms()
        try:
            placed = await self._context.placement_queue.place(self.ticket)
        except RequestRefused as refusal:
            end = self._attempts.end_before_send()
            raise (refusal if end is None else _refusal_from(end, str(refusal))) from None
        self._last_placement = placed
        self._log.placed(placed, monotonic_ms() - began_ms)
        return placed

    async def _forward(self, placed: SendTo) -> None:
        """Send the request to one endpoint and hand its answer on; raises `_RetryRequest`."""
        endpoint, need = placed.endpoint, self.ticket.need
        tokens = 0 if need is None else need.tokens
        name = None if need is None else need.adapter_id
        load = self._context.dispatcher.load
        load.start_run(endpoint.key, tokens=tokens, adapter_id=name)
        if need is not None:
            load.add_prompt(endpoint.key, need.prompt_tokens, monotonic_ms())
        self._overdue_timer = asyncio.get_running_loop().call_later(
            OVERDUE_OBJECTIVES * self.ticket.route.objective_ms / 1000,
            self._record_overdue,
            endpoint,
        )
        try:
            response = await self._send(placed)
            try:
                await self._handle_response(response, placed)
            finally:
                response.close()
        finally:
            self._overdue_timer.cancel()
            load.end_run(endpoint.key, tokens=tokens, adapter_id=name)
            if self._context.dispatcher.waiting_count():
                asyncio.get_running_loop().call_soon(self._context.placement_queue.wake)

    async def _send(self, placed: SendTo) -> ClientResponse:
        """Send the request; return an answer that belongs to it."""
        endpoint, route = placed.endpoint, self.ticket.route
        health, request = self._context.dispatcher.health, self._request
        now_ms = monotonic_ms()
        self.state = "sent"
        try:
            response = await self._context.clients.client_of(endpoint).request(
                request.method,
                request.target,
                headers=self._context.codec.headers_for_endpoint(
                    request, self._forward_parameters(placed, now_ms)
                ),
                body=request.body,
                timeout_ms=self._remaining_ms(now_ms) + 2 * RESPONSE_SLACK_MS,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                max_idle_ms=None if route.is_idempotent else MAX_IDLE_NOT_REPEATABLE_MS,
                is_own=self._is_own_response,
            )
        except LinkLost as error:
            now_ms = monotonic_ms()
            if error.sent:
                self._record_lost_response(endpoint)
            else:
                health.record_unreachable(endpoint.key, now_ms)
                self._context.crashes.record_crash(endpoint.key, now_ms)
            raise _RetryRequest(str(error), was_sent=error.sent, may_have_run=error.sent) from error
        self._sent_ms = now_ms
        return response

    def _is_own_response(self, headers: list) -> bool:
        return self._context.codec.is_response_to(self.ticket.call.request_id, headers)

    def _forward_parameters(self, placed: SendTo, now_ms: float) -> ForwardParameters:
        resume_after = None
        if self._event_stream is not None:
            resume_after = self._event_stream.last_id or self.ticket.call.resume_after
        return ForwardParameters(
            endpoint_id=placed.endpoint.endpoint_id,
            remaining_ms=self._remaining_ms(now_ms),
            organisation=self.ticket.organisation,
            urgency=min(MAX_URGENCY, BASE_URGENCY + self.ticket.priority),
            version=placed.version or None,
            resume_after=resume_after,
        )

    def _remaining_ms(self, now_ms: float) -> float:
        return max(1.0, self.ticket.deadline_ms - now_ms)

    async def _handle_response(self, response: ClientResponse, placed: SendTo) -> None:
        endpoint = placed.endpoint
        verdict = self._context.codec.classify_response(
            response.status, response.headers, endpoint.endpoint_id
        )
        if verdict.was_not_run:
            await self._handle_not_run(response, endpoint, verdict)
        is_good = response.status < _SERVER_ERROR
        if self._event_stream is not None and is_good:
            await self._forward_stream(response, placed, verdict)
            return
        self._overdue_timer.cancel()
        health, now_ms = self._context.dispatcher.health, monotonic_ms()
        if is_good:
            health.record_response(endpoint.key, now_ms - self._sent_ms, now_ms)
        else:
            health.record_failure(endpoint.key, now_ms)
        await self._forward_whole(response, placed, verdict)

    async def _handle_not_run(
        self, response: ClientResponse, endpoint: Endpoint, verdict: ResponseClassification
    ) -> None:
        """Go on after an endpoint's word that it did not run the request; always raises."""
        dispatcher = self._context.dispatcher
        try:
            await response.whole(timeout_ms=CONNECT_TIMEOUT_MS)
        except LinkLost:
            # Only the connection is lost; the head has said all that matters.
            response.close()
        if verdict.is_other_endpoint:
            now_ms = monotonic_ms()
            dispatcher.health.record_unreachable(endpoint.key, now_ms)
            self._context.crashes.record_crash(endpoint.key, now_ms)
        elif verdict.lacks_adapter:
            if self.ticket.need is not None:
                dispatcher.record_missing_adapter(endpoint.key, self.ticket.need)
        else:
            dispatcher.health.record_failure(endpoint.key, monotonic_ms())
        reason = f"not run: status {response.status}"
        raise _RetryRequest(reason, was_sent=True, may_have_run=False)

    async def _forward_whole(
        self, response: ClientResponse, placed: SendTo, verdict: ResponseClassification
    ) -> None:
        """Hand on an answer that was read whole, or send the request again if that is allowed."""
        endpoint, left_ms = placed.endpoint, self._remaining_ms(monotonic_ms())
        try:
            body = await response.whole(timeout_ms=left_ms)
        except LinkLost as error:
            self._record_lost_response(endpoint)
            raise _RetryRequest(str(error), was_sent=True, may_have_run=True) from error
        if response.status < 300 and not verdict.is_proven:
            self._context.dispatcher.health.record_failure(endpoint.key, monotonic_ms())
            raise _RetryRequest("an answer without proof", was_sent=True, may_have_run=True)
        left_ms = self._remaining_ms(monotonic_ms())
        if response.status >= _SERVER_ERROR and self._attempts.may_replace_failure(left_ms):
            reason = f"failed with status {response.status}"
            raise _RetryRequest(reason, was_sent=True, may_have_run=True)
        headers = self._context.codec.headers_for_caller(response.headers)
        self._responder.whole(response.status, headers, body)
        self._record_end(response.status, placed)

    async def _forward_stream(
        self, response: ClientResponse, placed: SendTo, verdict: ResponseClassification
    ) -> None:
        """Hand on the events of a stream as they come."""
        endpoint = placed.endpoint
        if not verdict.is_proven:
            raise _RetryRequest("a stream without proof", was_sent=True, may_have_run=True)
        health, sent_ms = self._context.dispatcher.health, monotonic_ms()
        is_first = True
        try:
            async for data in response.parts(
                timeout_ms=self._remaining_ms(sent_ms) + RESPONSE_SLACK_MS
            ):
                whole = self._event_stream.feed(data)
                if not whole:
                    continue
                if is_first:
                    is_first = False
                    self._overdue_timer.cancel()
                    health.record_response(endpoint.key, monotonic_ms() - sent_ms, monotonic_ms())
                self._forward_events(response, whole)
        except (LinkLost, ValueError) as error:
            self._record_lost_response(endpoint)
            self._event_stream.drop_partial()
            raise _RetryRequest(str(error), was_sent=True, may_have_run=True) from error
        if self._event_stream.has_partial or is_first:
            health.record_failure(endpoint.key, monotonic_ms())
            self._event_stream.drop_partial()
            raise _RetryRequest("ended within an event", was_sent=True, may_have_run=True)
        self._responder.end()
        self._record_end(response.status, placed)

    def _forward_events(self, response: ClientResponse, events: bytes) -> None:
        if not self._responder.has_started:
            headers = self._context.codec.headers_for_caller(response.headers)
            self._responder.start(response.status, headers)
        self._responder.send(events)
        self._log.events_forwarded()

    def _record_overdue(self, endpoint: Endpoint) -> None:
        """Note that an endpoint has not begun to answer; the request goes on."""
        self._context.dispatcher.health.record_failure(endpoint.key, monotonic_ms())
        self._log.overdue(endpoint)

    def _record_lost_response(self, endpoint: Endpoint) -> None:
        """Note an answer that was lost; the endpoint may have died of the request."""
        now_ms = monotonic_ms()
        self._context.dispatcher.health.record_failure(endpoint.key, now_ms)
        self._context.crashes.record_loss(self.ticket.fingerprint, endpoint.key, now_ms)
        self._context.tasks.spawn(self._check_alive(endpoint))

    async def _check_alive(self, endpoint: Endpoint) -> None:
        """Find out whether an endpoint that lost an answer is dead, before others go there."""
        try:
            await self._context.clients.client_of(endpoint).open_spare(CONNECT_TIMEOUT_MS)
        except LinkLost as error:
            now_ms = monotonic_ms()
            log(Event.ENDPOINT_DEAD, endpoint=endpoint.endpoint_id, error=str(error))
            self._context.dispatcher.health.record_unreachable(endpoint.key, now_ms)
            self._context.crashes.record_crash(endpoint.key, now_ms)

    def _record_end(self, status: int, placed: SendTo) -> None:
        self.state = "ended"
        self._context.crashes.record_success(self.ticket.fingerprint, monotonic_ms())
        self._log.ended(status, placed, self._attempts)

    def _fail(self, refusal: RequestRefused) -> None:
        has_begun = self._responder.has_started
        self._log.failed(refusal, self._last_placement, self._attempts, has_begun=has_begun)
        if refusal.outcome is Outcome.NOT_RUN and self.ticket.cost:
            self._context.usage.refund(self.ticket.organisation, self.ticket.cost)
        self.state = "ended"
        headers = self._context.codec.headers_for_own_response(self.ticket.call.request_id)
        write_refusal(self._responder, refusal, headers)


def _refusal_from(end: GiveUp, reason: str) -> RequestRefused:
    return RequestRefused(
        reason, code=end.code, outcome=end.outcome, retry_after_ms=end.retry_after_ms
    )
