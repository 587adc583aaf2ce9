"""Admission of callers' requests: routes, API keys, quotas and requests that crash endpoints."""

import asyncio
from functools import partial

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import Outcome, RequestRefused, internal_error
from skylarkrack._events import Event, log
from skylarkrack.core.relay import PendingRequest, QuotaGrant, RoutingTable, TableOrganisation
from skylarkrack.relay._caller_check import check_caller, rate_exceeded
from skylarkrack.relay._codec import IncomingRequest
from skylarkrack.relay._context import EntryContext
from skylarkrack.relay._exchange import Exchange, check_grace
from skylarkrack.relay._refusals import log_fields_of, write_refusal
from skylarkrack.web import Request, Responder


class RequestHandler:
    """Handles the requests of callers of a relaying entry."""

    __slots__ = ("_context", "_task_by_exchange")

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._task_by_exchange: dict[Exchange, asyncio.Task] = {}

    async def handle(self, request: Request, responder: Responder) -> None:
        """Admit a request and forward it, or refuse it.

        If the caller leaves, the request is cancelled unless it was sent and may run only once.
        """
        now_ms = monotonic_ms()
        incoming = None
        try:
            incoming = self._context.codec.decode_request(request, now_ms)
            pending = self._admit(request, incoming, now_ms)
        except RequestRefused as refusal:
            self._refuse(responder, refusal, incoming)
            return
        except Exception as error:  # noqa: BLE001 - the caller needs an answer
            self._context.record_fault(error, incoming and incoming.call.request_id)
            self._refuse(responder, internal_error(Outcome.NOT_RUN), incoming)
            return
        exchange = Exchange(self._context, request, responder, pending)
        task = self._context.tasks.spawn(exchange.run())
        responder.on_caller_left = partial(exchange.caller_left, task)
        self._task_by_exchange[exchange] = task
        task.add_done_callback(lambda _: self._task_by_exchange.pop(exchange))
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled() and exchange.caller_left_ms is None:
                # The API key was withdrawn. The connection closes without the end of the response.
                return
            # The caller has left. A request that was sent and may not run twice continues.
            if not exchange.outlives_caller:
                task.cancel()
                await asyncio.wait((task,))
            self._log_closed(exchange, responder.close_reason, now_ms)
            raise

    def _log_closed(self, exchange: Exchange, reason: str, started_ms: float) -> None:
        """Record that a connection closed before its response was complete, and who closed it."""
        fields = {
            "request": exchange.pending.call.request_id,
            "state": exchange.state,
            "sends": exchange.sends,
            "waited_ms": round(monotonic_ms() - started_ms),
            "took_ms": round(monotonic_ms() - (exchange.caller_left_ms or started_ms)),
        }
        if reason:
            log(Event.CALLER_CUT_OFF, reason=reason, **fields)
            self._context.metrics.count("callers_cut_off_total")
        else:
            log(Event.CALLER_LEFT, **fields)
            self._context.metrics.count("callers_left_total")

    def cancel_revoked(self, table: RoutingTable) -> int:
        """Cancel requests whose key no longer belongs to their organisation; return how many."""
        cancelled = 0
        for exchange, task in list(self._task_by_exchange.items()):
            pending = exchange.pending
            if pending.key_digest is None:
                continue
            if not table.still_holds(pending.key_digest, pending.organisation):
                task.cancel()
                cancelled += 1
        return cancelled

    def refuse_late(self) -> None:
        """Refuse the waiting requests that could not end before the process does."""
        now_ms = monotonic_ms()
        for exchange in list(self._task_by_exchange):
            exchange.refuse_if_late(now_ms)

    def interrupt_all(self) -> int:
        """End the requests in progress, as the process stops; return how many there were."""
        open_requests = list(self._task_by_exchange.items())
        for exchange, task in open_requests:
            exchange.interrupt(task)
        return len(open_requests)

    def refuse_unreadable(self, responder: Responder, refusal: RequestRefused) -> None:
        """Refuse a request that could not be parsed, or whose handler failed."""
        self._refuse(responder, refusal, None)

    def _admit(self, request: Request, incoming: IncomingRequest, now_ms: float) -> PendingRequest:
        """Return the request that is to be placed; raises `RequestRefused`."""
        check = check_caller(self._context, request, incoming, now_ms)
        if check.refusal is not None:
            raise check.refusal
        pending = check.pending_request()
        check_grace(self._context.grace, pending, now_ms)
        if check.organisation is not None:
            pending.quota_grant = self._take_quota(check.organisation, check.cost, now_ms)
        return pending

    def _take_quota(
        self, organisation: TableOrganisation, cost: float, now_ms: float
    ) -> QuotaGrant:
        """Charge a request to the quota; raises `RateExceeded`."""
        limiter, name = self._context.quota_limiter, organisation.name
        grant = limiter.try_acquire(name, cost, organisation.quota, now_ms)
        if grant is None:
            wait_ms = limiter.wait_ms(name, organisation.quota)
            raise rate_exceeded(organisation, cost=cost, level=limiter.level(name), wait_ms=wait_ms)
        return grant

    def _refuse(
        self, responder: Responder, refusal: RequestRefused, incoming: IncomingRequest | None
    ) -> None:
        request_id = None if incoming is None else incoming.call.request_id
        table = self._context.dispatcher.table
        log(
            Event.RELAY_REFUSED,
            request=request_id,
            code=int(refusal.code),
            reason=str(refusal),
            table=None if table is None else table.version,
            **log_fields_of(refusal),
        )
        self._context.metrics.count("refused_total", refusal.code.name.lower())
        write_refusal(responder, refusal, self._context.codec.headers_for_own_response(request_id))
