"""Serves calls of plain services, including calls that must not run twice."""

import hashlib
import json

from skylarkrack._errors import Code, Outcome, RequestRefused
from skylarkrack._traces import Trace
from skylarkrack.core import (
    Access,
    OfferHistory,
    Route,
    rendezvous_first,
    rendezvous_key,
    route_access_of,
)
from skylarkrack.entry._context import Context
from skylarkrack.entry._exchange import Exchange
from skylarkrack.entry._open_exchanges import OpenExchange
from skylarkrack.entry._responses import JSON, default_retry_after_ms
from skylarkrack.messages import CallRequest, ResponseEnd
from skylarkrack.web import Request, Responder

SERVICES_PREFIX = "/services/"
TICKET_PREFIX = "/v1/idempotency-tickets/"
PUBLIC_ORGANISATION = "-"
"""Organisation of calls on routes that are open to all; no organisation can have this name."""

CALL_START_TIMEOUT_MS = 5_000
"""Time that a call may wait at an agent before it starts; beyond it, it is refused."""

MAX_KEY_CHARS = 255
"""Maximum length of an idempotency key; a longer one is refused."""

MAX_OFFERS = 3
"""Maximum number of agents that a repeatable call is offered to."""

SAFE_METHODS = frozenset(("GET", "HEAD"))
"""Methods that may run twice on every route."""

# Refusals that depend on the agent: another agent may accept the call.
_RETRYABLE_CODES = frozenset((Code.ENDPOINT_LOST, Code.DRAINING, Code.NO_ENDPOINT))

# Request headers that are forwarded to services; all others, keys in particular, are dropped.
_FORWARDED_HEADERS = frozenset(
    (b"content-type", b"accept", b"accept-language", b"if-match", b"if-none-match", b"user-agent")
)


class PlainServices:
    """Serves the routes to plain services, and issues tickets for idempotency keys."""

    __slots__ = ("_context",)

    def __init__(self, context: Context) -> None:
        self._context = context

    async def serve(
        self, request: Request, responder: Responder, *, digest: str | None, trace: Trace
    ) -> None:
        """Serve one call; raises `RequestRefused` if it is refused or fails."""
        name, _, subpath = request.target.removeprefix(SERVICES_PREFIX).partition("/")
        name = name.partition("?")[0]
        route, access = self._access(name, digest)
        if request.method not in route.methods:
            raise RequestRefused("the route has no such method", code=Code.METHOD_NOT_ALLOWED)
        call = _call(request, route, access, f"/{subpath}", trace.request_id)
        trace.add("access", route=name, organisation=call.organisation, keyed=_is_keyed(call))
        if _is_keyed(call):
            await self._offer_once(call, digest, name, responder, trace)
        else:
            await self._offer_repeatable(call, digest, name, responder, trace)
        responder.end()

    async def issue_ticket(
        self, request: Request, responder: Responder, *, digest: str | None, trace: Trace
    ) -> None:
        """Send the caller a ticket from an agent of the route's service.

        A ticket binds the idempotency keys sent with it to that agent's process, which then knows
        for certain which calls it ran. Without a ticket, only a process that has been the home of
        the key for long enough knows. Raises `RequestRefused` if no agent issues one.
        """
        name = request.path.removeprefix(TICKET_PREFIX)
        route, _ = self._access(name, digest)
        agents = self._context.router.service_agents(route.service)
        if not agents:
            raise _no_endpoint()
        link = self._context.links.link_to(agents[0])
        tickets = self._context.tickets
        ticket = await tickets.request_ticket(link, trace.request_id)
        trace.add("ticket", vm=agents[0])
        headers = [JSON, (b"idempotency-ticket", ticket.encode())]
        responder.respond(200, headers, json.dumps({"ticket": ticket}).encode())

    def _access(self, name: str, digest: str | None) -> tuple[Route, Access | None]:
        context = self._context
        return route_access_of(
            context.keeper.catalogue, name, digest, calendar_s=context.calendar_s()
        )

    async def _offer_once(
        self, call: CallRequest, digest: str | None, name: str, responder: Responder, trace: Trace
    ) -> None:
        """Offer a call that must not run twice to the home of its key, and to no other agent.

        It is never retried. An outcome "not run" in the refusal is reported by the home itself.
        """
        vm = self._home_agent(call)
        if vm is None:
            raise _no_endpoint()
        await self._offer(call, vm, digest, name, responder, trace)

    def _home_agent(self, call: CallRequest) -> str | None:
        if call.ticket:
            vm = call.ticket.partition("~")[0]
            return vm if vm in self._agents(call.service) else self._raise_lost_ticket()
        key = rendezvous_key(call.organisation, call.idempotency_key)
        return rendezvous_first(key, self._agents(call.service))

    def _raise_lost_ticket(self) -> None:
        raise RequestRefused(
            "the process that the ticket is bound to has gone",
            code=Code.MAY_HAVE_RUN,
            outcome=Outcome.UNKNOWN,
        )

    def _agents(self, service: str) -> list[str]:
        return self._context.keeper.catalogue.agents_of(service)

    async def _offer_repeatable(
        self, call: CallRequest, digest: str | None, name: str, responder: Responder, trace: Trace
    ) -> None:
        """Offer a call to the agents of the service until one has completed it."""
        context = self._context
        context.retry_budget.earn()
        agents = context.router.service_agents(call.service)[:MAX_OFFERS]
        if not agents:
            raise _no_endpoint()
        history = OfferHistory()
        for vm in agents:
            try:
                await self._offer(call, vm, digest, name, responder, trace)
                return
            except RequestRefused as refusal:
                history.record_refusal(vm, refusal)
                if vm == agents[-1] or not self._may_retry(call, refusal, responder):
                    raise history.final_refusal(refusal) from None

    def _may_retry(self, call: CallRequest, refusal: RequestRefused, responder: Responder) -> bool:
        if responder.has_started or refusal.code not in _RETRYABLE_CODES:
            return False
        is_safe = call.method in SAFE_METHODS or refusal.outcome is Outcome.NOT_RUN
        return is_safe and self._context.retry_budget.spend()

    async def _offer(
        self,
        call: CallRequest,
        vm: str,
        digest: str | None,
        name: str,
        responder: Responder,
        trace: Trace,
    ) -> ResponseEnd:
        context = self._context
        link = context.links.link_to(vm)
        if link is None:
            raise _no_endpoint()
        trace.add("offered", vm=vm)
        exchange = Exchange(request_id=call.request_id, link=link, responder=responder)
        open_exchange = OpenExchange(
            exchange=exchange,
            link=link,
            has_access=lambda: self._has_access(name, digest, call.organisation),
        )
        context.router.observe_offer(vm)
        return await context.exchanges.send_and_wait(open_exchange, call)

    def _has_access(self, name: str, digest: str | None, organisation: str) -> bool:
        if not self._context.may_act():
            return False
        try:
            _, access = self._access(name, digest)
        except RequestRefused:
            return False
        return organisation == (access.organisation.name if access else PUBLIC_ORGANISATION)


def _call(
    request: Request, route: Route, access: Access | None, path: str, request_id: str
) -> CallRequest:
    key = request.header(b"idempotency-key") or ""
    must_run_once = not route.repeatable and request.method not in SAFE_METHODS
    if must_run_once and not key:
        raise RequestRefused("the route needs the header Idempotency-Key", code=Code.KEY_REQUIRED)
    if len(key) > MAX_KEY_CHARS or not key.isprintable():
        raise RequestRefused("the Idempotency-Key is too long", code=Code.BAD_KEY)
    return CallRequest(
        request_id=request_id,
        organisation=access.organisation.name if access else PUBLIC_ORGANISATION,
        service=route.service,
        method=request.method,
        path=path,
        headers=[[name, value] for name, value in request.headers if name in _FORWARDED_HEADERS],
        body=request.body,
        idempotency_key=key if must_run_once else "",
        ticket=(request.header(b"idempotency-ticket") or "") if must_run_once else "",
        body_digest=_body_digest(request, path),
        repeat_window_ms=route.repeat_window_ms,
        patience_ms=CALL_START_TIMEOUT_MS,
    )


def _is_keyed(call: CallRequest) -> bool:
    return bool(call.idempotency_key)


def _body_digest(request: Request, path: str) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    for field in (request.method.encode(), path.encode(), request.body):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.digest()


def _no_endpoint() -> RequestRefused:
    return RequestRefused(
        "no endpoint of the service takes calls now",
        code=Code.NO_ENDPOINT,
        retry_after_ms=default_retry_after_ms(Code.NO_ENDPOINT),
    )
