"""The HTTP interface for callers and the balancer: paths, keys and errors."""

import hashlib

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import HTTP_STATUS_BY_CODE, Code, Outcome, RequestRefused
from skylarkrack._events import Event, log
from skylarkrack._traces import Trace
from skylarkrack.core import access_of, may_use
from skylarkrack.entry._context import Context
from skylarkrack.entry._model_request import MODEL_PATHS
from skylarkrack.entry._models import ModelService
from skylarkrack.entry._responses import JSON, default_retry_after_ms, models_body, write_refusal
from skylarkrack.entry._services import SERVICES_PREFIX, TICKET_PREFIX, PlainServices
from skylarkrack.web import Request, Responder

_BEARER_PREFIX = "bearer "
_MIN_SERVER_ERROR_STATUS = 500
"""Smallest status of errors that count against the objective `answered`."""

_MIN_ACCESS_CODE = 2000
"""Smallest code of refusals that are not errors of the request itself."""


class HttpApi:
    """Handles all HTTP requests of callers, and the probes of the balancer.

    While *is_draining* is true, the readiness probe fails.
    """

    __slots__ = ("_context", "_models", "_services", "is_draining")

    def __init__(self, context: Context) -> None:
        self._context = context
        self._models = ModelService(context)
        self._services = PlainServices(context)
        self.is_draining = False

    async def handle(self, request: Request, responder: Responder) -> None:
        """Handle one request; refusals become error responses."""
        if request.path in ("/healthz", "/readyz"):
            self._answer_probe(request.path, responder)
            return
        trace = self._context.traces.open(self._context.next_request_id())
        trace.add("received", method=request.method, path=request.path)
        refusal = None
        try:
            await self._serve(request, responder, trace)
        except RequestRefused as error:
            refusal = _correct_outcome(error, request)
            trace.add("error", code=int(error.code), outcome=str(error.outcome))
            write_refusal(responder, error, request_id=trace.request_id)
        finally:
            self._record_result(trace, refusal)

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers to this entry.

        That needs a complete configuration, the access lease and shares in effect, and no drain.
        """
        context = self._context
        return (
            not self.is_draining
            and context.keeper.is_complete()
            and context.may_act()
            and context.budgets.is_settled()
        )

    async def _serve(self, request: Request, responder: Responder, trace: Trace) -> None:
        if not self._context.may_act():
            raise RequestRefused(
                "this entry cannot confirm who has access now",
                code=Code.ACCESS_UNCONFIRMED,
                retry_after_ms=default_retry_after_ms(Code.ACCESS_UNCONFIRMED),
            )
        digest = _key_digest(request)
        if request.path.startswith(SERVICES_PREFIX):
            await self._services.serve(request, responder, digest=digest, trace=trace)
        elif request.path.startswith(TICKET_PREFIX):
            _require_method(request, "POST")
            await self._services.issue_ticket(request, responder, digest=digest, trace=trace)
        elif request.path in MODEL_PATHS:
            _require_method(request, "POST")
            await self._models.serve(request, responder, digest=digest, trace=trace)
        elif request.path == "/v1/models":
            _require_method(request, "GET")
            self._answer_models(responder, digest)
        else:
            raise RequestRefused("no such path", code=Code.NO_SUCH_PATH)

    def _answer_probe(self, path: str, responder: Responder) -> None:
        is_good = path == "/healthz" or self.is_ready()
        body = b"ok\n" if is_good else b"not ready\n"
        responder.respond(200 if is_good else 503, [(b"content-type", b"text/plain")], body)

    def _answer_models(self, responder: Responder, digest: str | None) -> None:
        context = self._context
        catalogue = context.keeper.catalogue
        access = access_of(catalogue, digest, calendar_s=context.calendar_s())
        names = [name for name in catalogue.adapter_by_name if may_use(access.plan, name)]
        responder.respond(200, [JSON], models_body(sorted(names)))

    def _record_result(self, trace: Trace, refusal: RequestRefused | None) -> None:
        context = self._context
        code = int(refusal.code) if refusal else 0
        context.metrics.count("requests", str(code))
        context.metrics.observe_ms("request_ms", trace.age_ms())
        is_good = refusal is None or HTTP_STATUS_BY_CODE[refusal.code] < _MIN_SERVER_ERROR_STATUS
        context.burn.observe("answered", is_good=is_good, now_ms=monotonic_ms())
        if refusal is None:
            log(Event.REQUEST_ENDED, request_id=trace.request_id, ms=round(trace.age_ms()))
        else:
            log(
                Event.REQUEST_REFUSED,
                request_id=trace.request_id,
                code=code,
                outcome=refusal.outcome,
            )


def _correct_outcome(refusal: RequestRefused, request: Request) -> RequestRefused:
    """Change the outcome "not run" to "unknown" where this entry cannot know it; return *refusal*.

    A call with an idempotency key may have run when it was sent before, and only the agent that is
    the home of the key knows. Errors of the request itself (codes below `_MIN_ACCESS_CODE`) keep
    their outcome: the same request was refused for them earlier as well.
    """
    is_keyed = request.header(b"idempotency-key") is not None
    is_request_error = refusal.code < _MIN_ACCESS_CODE
    is_unproven = refusal.outcome is Outcome.NOT_RUN and not refusal.by_agent
    if is_keyed and is_unproven and not is_request_error:
        refusal.outcome = Outcome.UNKNOWN
    return refusal


def _key_digest(request: Request) -> str | None:
    """Return the digest of the caller's key, None without one; the key itself is not passed on."""
    value = request.header(b"authorization")
    if value is None or not value.lower().startswith(_BEARER_PREFIX):
        return None
    key = value[len(_BEARER_PREFIX) :].strip()
    return hashlib.sha256(key.encode("latin-1")).hexdigest()


def _require_method(request: Request, method: str) -> None:
    if request.method != method:
        raise RequestRefused(f"the method is {method}", code=Code.METHOD_NOT_ALLOWED)
