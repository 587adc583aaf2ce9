"""Takes callers' requests, decides who may run what, and carries each through to its answer."""

import asyncio
import hashlib

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import Code, Outcome, RequestRefused
from skylarkrack._events import Event, log
from skylarkrack.core.relay import (
    PendingRequest,
    Quota,
    Route,
    RoutingTable,
    TableOrganisation,
    digest_of_key,
)
from skylarkrack.relay._codec import IncomingRequest
from skylarkrack.relay._context import EntryContext
from skylarkrack.relay._exchange import Exchange
from skylarkrack.relay._refusals import RateExceeded, log_fields_of, write_refusal
from skylarkrack.web import Request, Responder

UNREADY_RETRY_MS = 500
"""When to come back to an entry that has no configuration yet."""

MIN_QUOTA_RETRY_MS = 300
"""Shortest time to come back after a quota was used up; others are returning too."""

FINGERPRINT_BYTES = 12
"""Few enough to tell thirty in a datagram, and too many for two requests to share by chance."""


class RequestHandler:
    """The callers' side of a relaying entry."""

    __slots__ = ("_context", "_task_by_exchange")

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._task_by_exchange: dict[Exchange, asyncio.Task] = {}

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        now_ms = monotonic_ms()
        arrival = None
        try:
            arrival = self._context.codec.decode_request(request, now_ms)
            ticket = self._admit(request, arrival, now_ms)
        except RequestRefused as refusal:
            self._refuse(responder, refusal, arrival)
            return
        exchange = Exchange(self._context, request, responder, ticket)
        running = self._context.tasks.spawn(exchange.run())
        self._task_by_exchange[exchange] = running
        running.add_done_callback(lambda _: self._task_by_exchange.pop(exchange))
        try:
            await asyncio.shield(running)
        except asyncio.CancelledError:
            if running.cancelled():
                # Its access was withdrawn; the connection ends without the answer's end.
                return
            # The caller has left. What may not run twice and was sent runs to its end.
            if not exchange.outlives_caller:
                running.cancel()
                await asyncio.wait((running,))
            log(Event.CALLER_LEFT, request=ticket.call.request_id, state=exchange.state)
            self._context.metrics.count("callers_left_total")
            raise

    def cancel_revoked(self, table: RoutingTable) -> int:
        """Cut the requests whose key is no longer their organisation's; return how many."""
        cut = 0
        for exchange, running in list(self._task_by_exchange.items()):
            ticket = exchange.ticket
            if ticket.key_digest is None:
                continue
            if not table.still_holds(ticket.key_digest, ticket.organisation):
                running.cancel()
                cut += 1
        return cut

    def refuse_unreadable(self, responder: Responder, refusal: RequestRefused) -> None:
        """Answer a request that could not be read."""
        self._refuse(responder, refusal, None)

    def _admit(self, request: Request, arrival: IncomingRequest, now_ms: float) -> PendingRequest:
        table = self._context.dispatcher.table
        if table is None:
            raise RequestRefused(
                "no configuration yet",
                code=Code.ACCESS_UNCONFIRMED,
                retry_after_ms=UNREADY_RETRY_MS,
            )
        route = table.route_for(arrival.host, arrival.path)
        if route is None:
            raise RequestRefused("no such route", code=Code.NO_SUCH_PATH)
        key_digest = None if arrival.key is None else digest_of_key(arrival.key)
        member = _member_of(table, route, key_digest)
        fingerprint = _fingerprint_of(request, member)
        if self._context.crashes.is_refused(fingerprint, now_ms):
            raise RequestRefused("endpoints died while this ran", code=Code.CRASH_SUSPECT)
        cost = 0.0 if member is None else self._take_quota(member, arrival, now_ms)
        priority = route.priority
        if member is not None and member.priority is not None:
            priority = member.priority
        return PendingRequest(
            call=arrival.call,
            route=route,
            service_name=route.service_for(arrival.call.request_id),
            priority=priority,
            deadline_ms=arrival.call.deadline_ms(route.timeout_ms),
            organisation=None if member is None else member.name,
            cost=cost,
            fingerprint=fingerprint,
            key_digest=None if member is None else key_digest,
        )

    def _take_quota(
        self, member: TableOrganisation, arrival: IncomingRequest, now_ms: float
    ) -> float:
        """Take the request's cost of its organisation's quota and return it."""
        cost = _cost_of(member.quota, arrival)
        if self._context.usage.try_acquire(member.name, cost, member.quota, now_ms):
            return cost
        wait_ms = max(MIN_QUOTA_RETRY_MS, self._context.usage.wait_ms(member.name, member.quota))
        level = self._context.usage.level(member.name)
        raise RateExceeded(member, cost=cost, level=level, retry_after_ms=round(wait_ms))

    def _refuse(
        self, responder: Responder, refusal: RequestRefused, arrival: IncomingRequest | None
    ) -> None:
        request_id = None if arrival is None else arrival.call.request_id
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
        refusal.outcome = Outcome.NOT_RUN
        write_refusal(responder, refusal, self._context.codec.headers_for_own_response(request_id))


def _member_of(
    table: RoutingTable, route: Route, key_digest: bytes | None
) -> TableOrganisation | None:
    """Return the organisation that the request runs for; raises `RequestRefused`."""
    if route.is_public or table.organisation_by_digest is None:
        return None
    if key_digest is None:
        raise RequestRefused("no key", code=Code.NO_KEY)
    member = table.organisation_of(key_digest)
    if member is None:
        raise RequestRefused("unknown key", code=Code.UNKNOWN_KEY)
    return member


def _cost_of(quota: Quota, arrival: IncomingRequest) -> float:
    """Return what a request takes of its organisation's quota."""
    if not quota.counts_tokens:
        return 1.0
    if arrival.call.need is None or not arrival.call.has_token_count:
        return quota.plain_cost
    return float(arrival.call.need.tokens)


def _fingerprint_of(request: Request, member: TableOrganisation | None) -> bytes:
    """Return a digest that a repeated request shares: its organisation, path and body."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in ((member.name if member else "").encode(), request.target.encode(), request.body):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()
