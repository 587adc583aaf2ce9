"""Serves model requests: access, token reservation, endpoint choice, relay and settlement."""

from dataclasses import dataclass

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import Code, Outcome, RequestRefused
from skylarkrack._events import Event, log
from skylarkrack._traces import Trace
from skylarkrack.core import (
    Access,
    GrantTokens,
    OfferHistory,
    ServedName,
    access_of,
    fingerprint_of,
    is_still_granted,
    served_name_of,
)
from skylarkrack.entry._context import Context
from skylarkrack.entry._exchange import Exchange
from skylarkrack.entry._model_request import (
    ModelRequest,
    engine_body,
    parse_model_request,
    prompt_tokens_bound,
)
from skylarkrack.entry._open_exchanges import OpenExchange
from skylarkrack.entry._responses import default_retry_after_ms
from skylarkrack.messages import ResponseEnd, RunRequest
from skylarkrack.web import Request, Responder

MAX_OFFERS = 3
"""Maximum number of endpoints that a request is offered to; then the last refusal is returned."""

START_TIMEOUT_MS = 10_000
"""Time that a request may wait at an endpoint before it starts; beyond it, it is refused."""

# Refusals that depend on the endpoint: another endpoint may accept the request.
_RETRYABLE_CODES = frozenset(
    (Code.DRAINING, Code.NO_ENDPOINT, Code.QUEUE_FULL, Code.LOAD_FAILED, Code.ENDPOINT_LOST)
)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Admitted:
    """An admitted request, with all data that an offer needs.

    *digest* is that of the caller's key, *served* the adapter and version, *model* its base model.
    *tokens* is the number to reserve: *answer_tokens* and a bound on those of the prompt.
    """

    model_request: ModelRequest
    access: Access
    digest: str
    served: ServedName
    model: str
    answer_tokens: int
    tokens: int
    fingerprint: bytes


class ModelService:
    """Serves the model requests of an entry."""

    __slots__ = ("_context",)

    def __init__(self, context: Context) -> None:
        self._context = context

    async def serve(
        self, request: Request, responder: Responder, *, digest: str | None, trace: Trace
    ) -> None:
        """Serve one model request.

        Reserved tokens that the answer did not use are refunded, and all of them if the request
        did not run; after other failures none are. Raises `RequestRefused` if the request is
        refused or fails.
        """
        admitted = self._admit(request, digest, trace)
        organisation = admitted.access.organisation.name
        grant = await self._context.budgets.reserve(organisation, admitted.tokens)
        trace.add("reserved", tokens=admitted.tokens, source=grant.source)
        unused_tokens = 0
        try:
            end = await self._offer_until_answered(admitted, responder, trace)
            unused_tokens = max(0, admitted.tokens - end.prompt_tokens - end.answer_tokens)
            trace.add("answered", prompt=end.prompt_tokens, answer=end.answer_tokens)
        except RequestRefused as refusal:
            if refusal.outcome is Outcome.NOT_RUN:
                unused_tokens = admitted.tokens
            raise
        finally:
            self._settle(grant, unused_tokens, organisation)
        responder.end()

    # Admission

    def _admit(self, request: Request, digest: str | None, trace: Trace) -> _Admitted:
        context = self._context
        catalogue = context.keeper.catalogue
        access = access_of(catalogue, digest, calendar_s=context.calendar_s())
        trace.add("access", organisation=access.organisation.name, plan=access.plan.name)
        model_request = parse_model_request(request.path, request.body)
        served = served_name_of(catalogue, access, model_request.model)
        fingerprint = fingerprint_of(served.adapter, model_request.prompt)
        if context.suspect_tracker.is_quarantined(fingerprint, monotonic_ms()):
            raise RequestRefused("this prompt crashed endpoints", code=Code.QUARANTINED)
        answer_tokens = model_request.answer_tokens or access.plan.answer_tokens
        return _Admitted(
            model_request=model_request,
            access=access,
            digest=digest,
            served=served,
            model=catalogue.adapter_by_name[served.adapter].model,
            answer_tokens=answer_tokens,
            tokens=answer_tokens + prompt_tokens_bound(model_request.prompt),
            fingerprint=fingerprint,
        )

    def _settle(self, grant: GrantTokens, unused_tokens: int, organisation: str) -> None:
        self._context.budgets.refund(grant, unused_tokens)
        metrics = self._context.metrics
        metrics.count("tokens_used", organisation, grant.tokens - unused_tokens)

    # Endpoint choice and retries

    async def _offer_until_answered(
        self, admitted: _Admitted, responder: Responder, trace: Trace
    ) -> ResponseEnd:
        """Offer the request to one endpoint after another until one has completed it."""
        context = self._context
        context.retry_budget.earn()
        history = OfferHistory()
        for attempt in range(1, MAX_OFFERS + 1):
            vm = self._choose_endpoint(admitted, history)
            try:
                return await self._offer(admitted, vm, attempt, responder, trace)
            except RequestRefused as refusal:
                trace.add("refused", vm=vm, code=int(refusal.code), outcome=str(refusal.outcome))
                history.record_refusal(vm, refusal)
                if attempt == MAX_OFFERS or not self._may_retry(refusal, responder, admitted):
                    raise history.final_refusal(refusal) from None
                log(Event.REQUEST_REROUTED, request_id=trace.request_id, vm=vm, code=refusal.code)
        raise AssertionError("unreachable: the last offer returns or raises")

    def _choose_endpoint(self, admitted: _Admitted, history: OfferHistory) -> str:
        router = self._context.router
        vm = router.choose(admitted.model, str(admitted.served), avoid=history.refused_by)
        if vm is not None:
            return vm
        refusal = RequestRefused(
            "no endpoint takes the request now",
            code=Code.NO_ENDPOINT,
            retry_after_ms=default_retry_after_ms(Code.NO_ENDPOINT),
        )
        raise history.final_refusal(refusal)

    def _may_retry(
        self, refusal: RequestRefused, responder: Responder, admitted: _Admitted
    ) -> bool:
        """Return whether a model request may be offered again after *refusal*.

        A model request may run twice, so an unknown outcome does not prevent a retry. But it may
        have crashed the endpoint: a quarantined prompt is refused with `RequestRefused`, and the
        retry budget bounds the number of retries.
        """
        if responder.has_started or refusal.code not in _RETRYABLE_CODES:
            return False
        if self._context.suspect_tracker.is_quarantined(admitted.fingerprint, monotonic_ms()):
            raise RequestRefused(
                "this prompt crashed endpoints", code=Code.QUARANTINED, outcome=Outcome.RAN
            )
        return self._context.retry_budget.spend()

    # Offers

    async def _offer(
        self, admitted: _Admitted, vm: str, attempt: int, responder: Responder, trace: Trace
    ) -> ResponseEnd:
        context = self._context
        link = context.links.link_to(vm)
        request_id = f"{trace.request_id}.{attempt}"
        is_suspect = context.suspect_tracker.is_suspect(admitted.fingerprint, monotonic_ms())
        trace.add(
            "offered",
            vm=vm,
            suspect=is_suspect,
            **context.router.explain_choice(vm, str(admitted.served)),
        )
        exchange = Exchange(request_id=request_id, link=link, responder=responder)
        open_exchange = OpenExchange(
            exchange=exchange, link=link, has_access=lambda: self._has_access(admitted)
        )
        context.router.observe_offer(vm)
        try:
            return await context.exchanges.send_and_wait(
                open_exchange, _run_message(admitted, request_id, is_suspect)
            )
        finally:
            self._record_start(exchange, trace)

    def _has_access(self, admitted: _Admitted) -> bool:
        context = self._context
        return context.may_act() and is_still_granted(
            context.keeper.catalogue,
            admitted.digest,
            admitted.served.adapter,
            admitted.access.organisation.name,
            calendar_s=context.calendar_s(),
        )

    def _record_start(self, exchange: Exchange, trace: Trace) -> None:
        if exchange.waited_ms is not None:
            trace.add("started", queued_ms=exchange.waited_ms)
        if exchange.first_chunk_ms is not None:
            self._context.record_first_token(trace.started_ms, exchange.first_chunk_ms)


def _run_message(admitted: _Admitted, request_id: str, is_suspect: bool) -> RunRequest:
    model_request = admitted.model_request
    body = engine_body(
        model_request, served=str(admitted.served), answer_tokens=admitted.answer_tokens
    )
    return RunRequest(
        request_id=request_id,
        organisation=admitted.access.organisation.name,
        adapter=admitted.served.adapter,
        version=admitted.served.version,
        path=model_request.path,
        body=body,
        tokens=admitted.tokens,
        priority=admitted.access.plan.priority,
        patience_ms=START_TIMEOUT_MS,
        fingerprint=admitted.fingerprint,
        suspect=is_suspect,
        stream=model_request.stream,
        with_usage=model_request.with_usage,
    )
