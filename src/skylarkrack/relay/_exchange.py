"""Forwarding of one request to an endpoint, with retries, and of its response to the caller."""

import asyncio
import math

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import Code, LinkLost, Outcome, RequestRefused, internal_error
from skylarkrack._events import Event, log
from skylarkrack.core.relay import (
    Attempts,
    Endpoint,
    FinalFailure,
    GracePeriod,
    PendingRequest,
    Refuse,
    SendTo,
)
from skylarkrack.relay._codec import ForwardParameters, ResponseClassification
from skylarkrack.relay._context import EntryContext
from skylarkrack.relay._event_stream import EVENT_END, EventStream
from skylarkrack.relay._exchange_log import ExchangeLog
from skylarkrack.relay._refusals import CrashSuspected, write_refusal
from skylarkrack.web import ClientConnection, ClientResponse, Request, Responder

CONNECT_TIMEOUT_MS = 300.0
"""Bound on the time to open a connection.

Round trips within a region take a millisecond; a longer wait means a lost packet or a dead VM.
"""

RESPONSE_SLACK_MS = 60.0
"""Time after a request's deadline in which the endpoint's own response may still arrive."""

OVERDUE_OBJECTIVES = 2.0
"""Multiple of the route's latency objective after which a silent endpoint counts as failing.

The failure is counted before the deadline because the caller may leave earlier, and nothing would
then show that the endpoint did not respond.
"""

MAX_IDLE_NOT_REPEATABLE_MS = 1000.0
"""Longest idle time of a connection that is used for a request that may not be repeated.

An endpoint may drop idle connections without notice, and a request sent on one would be lost with
an unknown outcome. Requests that may be repeated use connections of any idle time.
"""

SURVIVED_MS = 500.0
"""Time after the first event of a stream by which its prompt has not crashed the engine.

A crash of the engine is seen within a few ms, unless packets are lost.
"""

LEAST_URGENT = 9
"""Largest, that is least urgent, value sent to endpoints; larger ones are sent as this."""

BASE_URGENCY = 2
"""Urgency of priority 0; lower values are reserved for requests that must precede all others."""

EVENT_STREAM_TYPE = "text/event-stream"
"""Media type of streams; a response that names none is taken for one on a streamed route."""

STOP_REASON = "this process stops"
STOP_RETRY_AFTER_MS = 0
"""Reason and retry-after of a request that is refused during a planned stop: others serve now."""

_SUCCESS = 200
_REDIRECTION = 300
_SERVER_ERROR = 500


class _RetryRequest(Exception):
    """Raised when an endpoint gave no usable response, so that the request may be sent again.

    *was_sent* is False if the request did not leave the entry. *may_have_run* is False if the
    endpoint certainly did not run it.
    """

    def __init__(self, reason: str, *, was_sent: bool, may_have_run: bool) -> None:
        super().__init__(reason)
        self.was_sent = was_sent
        self.may_have_run = may_have_run


class Exchange:
    """Forwards one admitted request until it has its final response.

    *state* is "placing" until the request is written to an endpoint, "sent" after, and "ended" at
    the end. *caller_left_ms* is when the caller's close was read, or None.
    """

    __slots__ = (
        "_attempts",
        "_carriers",
        "_connection",
        "_context",
        "_event_stream",
        "_is_interrupted",
        "_is_run_over",
        "_last_placement",
        "_log",
        "_overdue_timer",
        "_request",
        "_responder",
        "_sent_ms",
        "caller_left_ms",
        "pending",
        "state",
    )

    def __init__(
        self, context: EntryContext, request: Request, responder: Responder, pending: PendingRequest
    ) -> None:
        self._context = context
        self._request = request
        self._responder = responder
        self.pending = pending
        self._attempts = Attempts(pending.route, context.retry_budget_of(pending.service_name))
        self._event_stream: EventStream | None = None
        if pending.route.is_stream:
            # A stream that may not be resumed begins with its first event whatever the caller says.
            is_resumable = pending.route.is_idempotent
            self._event_stream = EventStream(pending.call.resume_after if is_resumable else None)
        self._last_placement: SendTo | None = None
        # Connections on which the request was answered.
        self._carriers: list[ClientConnection] = []
        # The connection of the run in progress.
        self._connection: ClientConnection | None = None
        self._overdue_timer: asyncio.TimerHandle | None = None
        self._log = ExchangeLog(context, pending)
        self._sent_ms = 0.0
        # Whether the endpoint has ended the last run, or did not begin it.
        self._is_run_over = True
        self._is_interrupted = False
        self.caller_left_ms: float | None = None
        self.state = "placing"

    @property
    def sends(self) -> int:
        """How often the request was sent to an endpoint."""
        return self._attempts.sends + (self.state == "sent")

    @property
    def outlives_caller(self) -> bool:
        """Whether the request continues when its caller leaves.

        That holds for a request that was sent and may run only once, unless it is a stream.
        """
        route = self.pending.route
        return self.state == "sent" and not route.is_idempotent and not route.is_stream

    def caller_left(self, task: asyncio.Task) -> None:
        """End the request, which runs in *task*, as its caller's close was read.

        The connection to the endpoint is closed in the same callback. The tasks that lie between
        it and the caller's connection take a round of the event loop each to end.
        """
        self.caller_left_ms = monotonic_ms()
        if not self.outlives_caller:
            self._abort(task)

    async def run(self) -> None:
        """Forward the request, and write its response or a refusal to the caller."""
        try:
            await self._run()
        except Exception as error:  # noqa: BLE001 - the caller needs an answer
            self._context.record_fault(error, self.pending.call.request_id)
            if not self._responder.has_ended:
                self._write_refusal(internal_error(self._known_outcome()))

    async def _run(self) -> None:
        try:
            left_ms = self.pending.deadline_ms - monotonic_ms() + RESPONSE_SLACK_MS
            async with asyncio.timeout(max(0.0, left_ms) / 1000):
                await self._send_until_answered()
        except TimeoutError:
            failure = self._attempts.end_at_deadline(is_sent=self.state != "placing")
            self._fail(_refusal_from(failure, "no answer in time"))
        except RequestRefused as refusal:
            self._fail(refusal)
        except asyncio.CancelledError:
            if not self._is_interrupted:
                raise
            self._fail(self._interruption())

    def refuse_if_late(self, now_ms: float) -> None:
        """Refuse the request if it waits for an endpoint and could not end before the process."""
        if not self._context.grace.may_begin(self.pending, now_ms):
            refusal = Refuse(
                code=Code.DRAINING, reason=STOP_REASON, retry_after_ms=STOP_RETRY_AFTER_MS
            )
            self._context.placement_queue.refuse(self.pending, refusal)

    def interrupt(self, task: asyncio.Task) -> None:
        """End the request, which runs in *task*, with an answer, as the process stops."""
        self._is_interrupted = True
        self._abort(task)

    def _abort(self, task: asyncio.Task) -> None:
        # The task goes first: it would take the end of the connection for a lost response.
        task.cancel()
        if self._connection is not None:
            self._connection.close()

    def _interruption(self) -> RequestRefused:
        """Return the refusal of a request that the end of the process interrupted."""
        if self._known_outcome() is Outcome.UNKNOWN:
            return RequestRefused(STOP_REASON, code=Code.ENDPOINT_LOST, outcome=Outcome.UNKNOWN)
        return _stop_refusal()

    def _known_outcome(self) -> Outcome:
        """Return what is known of the request's runs while it has no response."""
        may_have_run = self._attempts.runs or not self._is_run_over
        return Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN

    async def _send_until_answered(self) -> None:
        if self._event_stream is not None:
            await self._context.origin_lookup.bind(self.pending)
        while True:
            self._check_sendable()
            placement = await self._place()
            try:
                await self._forward(placement)
                return
            except _RetryRequest as retry:
                self.pending.tried.add(placement.endpoint.key)
                failure = self._attempts.record_failure(
                    was_sent=retry.was_sent, may_have_run=retry.may_have_run
                )
                if failure is not None:
                    raise _refusal_from(failure, str(retry)) from retry
                self._log.retried(placement, str(retry))

    def _check_sendable(self) -> None:
        """Raise `RequestRefused` if the request must not be sent, or not once more.

        The caller has left, the process stops before the request could end, or it may crash an
        endpoint.
        """
        outcome = Outcome.UNKNOWN if self._attempts.runs else Outcome.NOT_RUN
        if not self._context.grace.may_begin(self.pending, monotonic_ms()):
            raise self._interruption()
        if self._responder.has_caller_left:
            raise RequestRefused("the caller has left", code=Code.CANCELLED, outcome=outcome)
        segments = self.pending.call.shared_segments
        if self._context.crash_tracker.is_refused(
            self.pending.fingerprint, monotonic_ms(), segments=segments
        ):
            code = Code.ENDPOINT_LOST if self._attempts.runs else Code.CRASH_SUSPECT
            raise CrashSuspected(segments, code=code, outcome=outcome)

    def _begin_send(self, endpoint: Endpoint, connection: ClientConnection) -> None:
        self._check_sendable()
        if self._context.dispatcher.directory.is_evacuated(endpoint):
            # The evacuation became known after the request was placed.
            self._context.metrics.count("evacuated_unsent_total", self.pending.service_name)
            raise _RetryRequest("evacuated", was_sent=False, may_have_run=False)
        if not self._context.dispatcher.rate_limits.try_send(endpoint.key, monotonic_ms()):
            # The limit became known, or was used up, after the request was placed.
            raise _RetryRequest("rate limit", was_sent=False, may_have_run=False)
        self._is_run_over = False
        self._connection = connection
        self.state = "sent"

    async def _place(self) -> SendTo:
        """Wait for an endpoint to send the request to; raises `RequestRefused`."""
        self.state = "placing"
        started_ms = monotonic_ms()
        try:
            placement = await self._context.placement_queue.place(self.pending)
        except RequestRefused as refusal:
            failure = self._attempts.failure_if_unplaced()
            raise (refusal if failure is None else _refusal_from(failure, str(refusal))) from None
        self._last_placement = placement
        self._log.placed(placement, monotonic_ms() - started_ms)
        return placement

    async def _forward(self, placement: SendTo) -> None:
        """Send the request to one endpoint and forward the response; raises `_RetryRequest`."""
        endpoint, need = placement.endpoint, self.pending.need
        if self._resume_after is not None:
            self._log.stream_resumed(placement, self._resume_after, self.pending.software_version)
        tokens = 0 if need is None else need.tokens
        name = None if need is None else need.adapter_id
        load = self._context.dispatcher.load
        self._is_run_over = True
        load.start_run(endpoint.key, tokens=tokens, adapter_id=name)
        if need is not None:
            window_ms = self._context.dispatcher.prefill_window_ms(endpoint.service)
            load.add_prompt(endpoint.key, need.prompt_tokens, monotonic_ms(), window_ms=window_ms)
        self._overdue_timer = asyncio.get_running_loop().call_later(
            OVERDUE_OBJECTIVES * self.pending.route.objective_ms / 1000,
            self._record_overdue,
            endpoint,
        )
        try:
            response = await self._send(placement)
            try:
                await self._handle_response(response, placement)
            finally:
                response.close()
        finally:
            self._overdue_timer.cancel()
            self._connection = None
            aborted_ms = None if self._is_run_over else monotonic_ms()
            load.end_run(endpoint.key, tokens=tokens, adapter_id=name, aborted_ms=aborted_ms)
            if self._context.dispatcher.waiting_count():
                self._context.placement_queue.wake()

    async def _send(self, placement: SendTo) -> ClientResponse:
        """Send the request and return the head of its response; raises `_RetryRequest`."""
        endpoint, route = placement.endpoint, self.pending.route
        health, request = self._context.dispatcher.health, self._request
        now_ms = monotonic_ms()
        try:
            response = await self._context.clients.client_of(endpoint).request(
                request.method,
                request.target,
                headers=self._context.codec.headers_for_endpoint(
                    request, self._forward_parameters(placement, now_ms)
                ),
                body=request.body,
                timeout_ms=self._remaining_ms(now_ms) + 2 * RESPONSE_SLACK_MS,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                max_idle_ms=None if route.is_idempotent else MAX_IDLE_NOT_REPEATABLE_MS,
                # There an endpoint's answer to an earlier send could be taken for one to this send.
                excluded=self._carriers,
                is_own=self._is_own_response,
                before_send=lambda connection: self._begin_send(endpoint, connection),
            )
        except LinkLost as error:
            now_ms = monotonic_ms()
            if error.sent:
                self._record_lost_response(endpoint)
            else:
                health.record_unreachable(endpoint.key, now_ms)
                self._context.crash_tracker.record_crash(endpoint.key, now_ms)
            raise _RetryRequest(str(error), was_sent=error.sent, may_have_run=error.sent) from error
        self._sent_ms = now_ms
        self._carriers.append(response.connection)
        return response

    def _is_own_response(self, headers: list) -> bool:
        return self._context.codec.is_response_to(self.pending.call.request_id, headers)

    @property
    def _resume_after(self) -> str | None:
        """The id of the last event that the caller has, or None for a stream from its start."""
        if self._event_stream is None:
            return None
        return self._event_stream.last_id or self.pending.call.resume_after

    def _forward_parameters(self, placement: SendTo, now_ms: float) -> ForwardParameters:
        return ForwardParameters(
            endpoint_id=placement.endpoint.endpoint_id,
            remaining_ms=self._remaining_ms(now_ms),
            organisation=self.pending.organisation,
            urgency=min(LEAST_URGENT, BASE_URGENCY + self.pending.priority),
            version=placement.version or None,
            resume_after=self._resume_after,
        )

    def _remaining_ms(self, now_ms: float) -> float:
        return max(1.0, self.pending.deadline_ms - now_ms)

    async def _handle_response(self, response: ClientResponse, placement: SendTo) -> None:
        endpoint = placement.endpoint
        classification = self._context.codec.classify_response(
            response.status, response.headers, endpoint.endpoint_id
        )
        if classification.is_leaving and self._context.placement_queue.mark_leaving(endpoint.key):
            self._log.endpoint_leaving(endpoint)
        if classification.pause_ms is not None:
            now_ms = monotonic_ms()
            health = self._context.dispatcher.health
            health.record_pause(endpoint.key, classification.pause_ms, now_ms)
            self._log.endpoint_paused(endpoint, classification.pause_ms)
        self._record_rate_limit(endpoint, classification)
        self._record_load(endpoint, classification)
        if classification.was_not_run:
            await self._handle_not_run(response, endpoint, classification)
        if self._event_stream is not None and _is_event_stream(response):
            await self._forward_stream(response, placement, classification)
            return
        is_success = response.status < _SERVER_ERROR
        self._overdue_timer.cancel()
        health, now_ms = self._context.dispatcher.health, monotonic_ms()
        if is_success:
            health.record_response(endpoint.key, now_ms - self._sent_ms, now_ms)
            if self.pending.need is None:
                dispatcher = self._context.dispatcher
                dispatcher.record_latency(endpoint, now_ms - self._sent_ms, now_ms)
        else:
            health.record_failure(endpoint.key, now_ms)
        if self._is_continuation(response):
            reason = f"the stream did not go on: status {response.status}"
            raise _RetryRequest(reason, was_sent=True, may_have_run=True)
        await self._forward_whole(response, placement, classification)

    def _is_continuation(self, response: ClientResponse) -> bool:
        """Return whether only further events of a stream can follow what the caller has read.

        A caller that takes up a stream can be told of an error as long as nothing was forwarded.
        """
        if self._responder.has_started:
            return True
        stream = self._event_stream
        return stream is not None and stream.last_id is not None and response.status < _REDIRECTION

    def _record_load(self, endpoint: Endpoint, classification: ResponseClassification) -> None:
        """Record the load that the endpoint reports, unless another one may have answered."""
        is_known_sender = classification.carries_proof or classification.was_not_run
        if classification.is_other_endpoint or not is_known_sender:
            return
        if classification.load is not None:
            self._context.dispatcher.record_reported_load(
                endpoint.key, classification.load, monotonic_ms()
            )
        elif classification.has_invalid_load:
            self._log.load_rejected(endpoint)

    def _record_rate_limit(
        self, endpoint: Endpoint, classification: ResponseClassification
    ) -> None:
        """Record the rate limit that the endpoint names, or that it names none any more."""
        limit_per_s = classification.limit_per_s
        is_known_sender = classification.carries_proof or classification.was_not_run
        if limit_per_s is None or classification.is_other_endpoint:
            return
        if math.isinf(limit_per_s) and not is_known_sender:
            return
        limits = self._context.dispatcher.rate_limits
        has_changed = limits.record_answer(
            endpoint.key,
            limit_per_s,
            sent_ms=self._sent_ms,
            now_ms=monotonic_ms(),
        )
        if has_changed:
            self._log.rate_limit_changed(endpoint, limit_per_s)

    async def _handle_not_run(
        self, response: ClientResponse, endpoint: Endpoint, classification: ResponseClassification
    ) -> None:
        """Record why the endpoint did not run the request; always raises `_RetryRequest`."""
        self._is_run_over = True
        dispatcher = self._context.dispatcher
        await self._finish_refusal(response, classification)
        if classification.is_other_endpoint:
            now_ms = monotonic_ms()
            dispatcher.health.record_unreachable(endpoint.key, now_ms)
            self._context.crash_tracker.record_crash(endpoint.key, now_ms)
        elif classification.lacks_adapter:
            if self.pending.need is not None:
                dispatcher.record_missing_adapter(endpoint.key, self.pending.need)
        elif classification.pause_ms is None:
            dispatcher.health.record_failure(endpoint.key, monotonic_ms())
        reason = f"not run: status {response.status}"
        raise _RetryRequest(reason, was_sent=True, may_have_run=False)

    async def _finish_refusal(
        self, response: ClientResponse, classification: ResponseClassification
    ) -> None:
        """Read the rest of a refusal, so that its connection can serve other requests.

        The connection of a refusal that names no request is closed: if the endpoint wrote that
        refusal once more, nothing would show which request it belongs to.
        """
        if not classification.names_request:
            response.close()
            return
        try:
            await response.read_body(timeout_ms=CONNECT_TIMEOUT_MS, total_ms=CONNECT_TIMEOUT_MS)
        except LinkLost:
            # Only the connection is lost; the head holds all that is needed.
            response.close()

    async def _forward_whole(
        self, response: ClientResponse, placement: SendTo, classification: ResponseClassification
    ) -> None:
        """Read a whole response and forward it; raises `_RetryRequest` to replace it."""
        endpoint, left_ms = placement.endpoint, self._remaining_ms(monotonic_ms())
        try:
            body = await response.read_body(timeout_ms=left_ms)
        except LinkLost as error:
            self._record_lost_response(endpoint)
            raise _RetryRequest(str(error), was_sent=True, may_have_run=True) from error
        if response.status < _REDIRECTION and not classification.carries_proof:
            self._context.dispatcher.health.record_failure(endpoint.key, monotonic_ms())
            raise _RetryRequest("an answer without proof", was_sent=True, may_have_run=True)
        left_ms = self._remaining_ms(monotonic_ms())
        if response.status >= _SERVER_ERROR and self._attempts.may_replace_failure(left_ms):
            reason = f"failed with status {response.status}"
            raise _RetryRequest(reason, was_sent=True, may_have_run=True)
        headers = self._context.codec.headers_for_caller(response.headers)
        self._responder.respond(response.status, headers, body)
        self._record_end(response.status, placement)

    async def _forward_stream(
        self, response: ClientResponse, placement: SendTo, classification: ResponseClassification
    ) -> None:
        """Forward the complete events of a stream as they arrive; raises `_RetryRequest`."""
        endpoint = placement.endpoint
        if not classification.carries_proof:
            raise _RetryRequest("a stream without proof", was_sent=True, may_have_run=True)
        health, head_ms = self._context.dispatcher.health, monotonic_ms()
        is_first, has_survived, first_ms = True, False, head_ms
        intervals = self._context.dispatcher.speeds.intervals_of(endpoint)
        self._event_stream.begin_run()
        try:
            async for data in response.iter_body(
                timeout_ms=self._remaining_ms(head_ms) + RESPONSE_SLACK_MS
            ):
                whole = self._event_stream.feed(data)
                if not whole:
                    continue
                intervals.record(whole.count(EVENT_END), monotonic_ms())
                if is_first:
                    is_first, first_ms = False, monotonic_ms()
                    self._context.origin_lookup.record_begin(self.pending, endpoint)
                    self._overdue_timer.cancel()
                    health.record_response(
                        endpoint.key,
                        first_ms - head_ms,
                        first_ms,
                        waited_ms=first_ms - self._sent_ms,
                    )
                elif not has_survived and monotonic_ms() - first_ms >= SURVIVED_MS:
                    has_survived = True
                    segments = self.pending.call.shared_segments
                    self._context.crash_tracker.segments.record_sound(segments, monotonic_ms())
                self._forward_events(response, whole)
        except (LinkLost, ValueError) as error:
            self._record_lost_response(endpoint)
            raise _RetryRequest(str(error), was_sent=True, may_have_run=True) from error
        if self._event_stream.has_partial or is_first:
            # A response without a length ends like this where its endpoint crashed.
            self._record_lost_response(endpoint)
            raise _RetryRequest("ended within an event", was_sent=True, may_have_run=True)
        self._responder.end()
        self._record_end(response.status, placement)

    def _forward_events(self, response: ClientResponse, events: bytes) -> None:
        if not self._responder.has_started:
            headers = self._context.codec.headers_for_caller(response.headers)
            self._responder.start(response.status, headers)
        self._responder.send(events)
        self._log.events_forwarded()

    def _record_overdue(self, endpoint: Endpoint) -> None:
        """Count an endpoint that has not started to respond as failing; the request continues."""
        self._context.dispatcher.health.record_failure(endpoint.key, monotonic_ms())
        self._log.overdue(endpoint)

    def _record_lost_response(self, endpoint: Endpoint) -> None:
        """Record a lost response, and check the endpoint; the request may have crashed it."""
        now_ms = monotonic_ms()
        self._context.dispatcher.health.record_failure(endpoint.key, now_ms)
        self._context.crash_tracker.record_loss(
            self.pending.fingerprint,
            endpoint.key,
            now_ms,
            segments=self.pending.call.shared_segments,
        )
        self._context.tasks.spawn(self._check_alive(endpoint))

    async def _check_alive(self, endpoint: Endpoint) -> None:
        """Check whether an endpoint is dead by opening a connection to it.

        If the connection fails, the endpoint gets no requests during a back-off, and a crash is
        recorded.
        """
        try:
            await self._context.clients.client_of(endpoint).open_spare(CONNECT_TIMEOUT_MS)
        except LinkLost as error:
            now_ms = monotonic_ms()
            log(Event.ENDPOINT_DEAD, endpoint=endpoint.endpoint_id, error=str(error))
            self._context.dispatcher.health.record_unreachable(endpoint.key, now_ms)
            self._context.crash_tracker.record_crash(endpoint.key, now_ms)

    def _record_end(self, status: int, placement: SendTo) -> None:
        self.state, self._is_run_over = "ended", True
        now_ms = monotonic_ms()
        self._context.grace.record_run(self.pending.route, now_ms - self._sent_ms)
        segments = self.pending.call.shared_segments if status < _REDIRECTION else ()
        self._context.crash_tracker.record_success(
            self.pending.fingerprint, now_ms, segments=segments
        )
        self._log.ended(status, placement, self._attempts)

    def _fail(self, refusal: RequestRefused) -> None:
        has_begun = self._responder.has_started
        self._log.failed(refusal, self._last_placement, self._attempts, has_begun=has_begun)
        if refusal.outcome is Outcome.NOT_RUN and self.pending.quota_grant is not None:
            self._context.quota_limiter.refund(self.pending.quota_grant)
        self._write_refusal(refusal)

    def _write_refusal(self, refusal: RequestRefused) -> None:
        self.state = "ended"
        headers = self._context.codec.headers_for_own_response(self.pending.call.request_id)
        write_refusal(self._responder, refusal, headers)


def check_grace(grace: GracePeriod, pending: PendingRequest, now_ms: float) -> None:
    """Raise `RequestRefused` if the process stops before a run that begins now is likely to end."""
    if not grace.may_begin(pending, now_ms):
        raise _stop_refusal()


def _stop_refusal() -> RequestRefused:
    return RequestRefused(STOP_REASON, code=Code.DRAINING, retry_after_ms=STOP_RETRY_AFTER_MS)


def _is_event_stream(response: ClientResponse) -> bool:
    """Return whether a response is a success whose body may be a stream of events."""
    content_type = response.header(b"content-type") or EVENT_STREAM_TYPE
    is_success = _SUCCESS <= response.status < _REDIRECTION
    return is_success and content_type.strip().lower().startswith(EVENT_STREAM_TYPE)


def _refusal_from(failure: FinalFailure, reason: str) -> RequestRefused:
    return RequestRefused(
        reason, code=failure.code, outcome=failure.outcome, retry_after_ms=failure.retry_after_ms
    )
