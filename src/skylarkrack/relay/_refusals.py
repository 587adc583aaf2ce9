"""Responses by which the relay refuses a request."""

import json
from functools import singledispatch

from skylarkrack._errors import HTTP_STATUS_BY_CODE, Code, Outcome, RequestRefused
from skylarkrack.core.relay import TableOrganisation
from skylarkrack.web import Headers, Responder


class RateExceeded(RequestRefused):
    """Raised when the quota of an organisation is used up, as far as this entry knows.

    *cost* is the cost of the request and *level* what the bucket held, in the quota's unit.
    """

    def __init__(
        self, organisation: TableOrganisation, *, cost: float, level: float, retry_after_ms: int
    ) -> None:
        super().__init__(
            f"the rate of {organisation.name} is used up",
            code=Code.RATE_EXCEEDED,
            retry_after_ms=retry_after_ms,
        )
        self.organisation = organisation
        self.cost = cost
        self.level = level


class CrashSuspected(RequestRefused):
    """Raised when a request, or segments of its prompt, are in quarantine after crashes."""

    def __init__(
        self,
        segments: tuple[str, ...],
        *,
        code: Code = Code.CRASH_SUSPECT,
        outcome: Outcome = Outcome.NOT_RUN,
    ) -> None:
        super().__init__("endpoints died while this ran", code=code, outcome=outcome)
        self.segments = segments


@singledispatch
def log_fields_of(refusal: RequestRefused) -> dict[str, object]:
    """Return further log fields of a refusal, beside its code and reason."""
    return {}


@log_fields_of.register
def _(refusal: RateExceeded) -> dict[str, object]:
    quota = refusal.organisation.quota
    return {
        "organisation": refusal.organisation.name,
        "cost": round(refusal.cost),
        "level": round(refusal.level),
        "rate_per_s": quota.rate_per_s,
        "burst": quota.burst,
        "retry_after_ms": refusal.retry_after_ms,
    }


@log_fields_of.register
def _(refusal: CrashSuspected) -> dict[str, object]:
    return {"segments": list(refusal.segments)}


def write_refusal(responder: Responder, refusal: RequestRefused, headers: Headers = ()) -> None:
    """Respond with an error.

    A response that has begun is cut off instead, so that the caller can't take it for complete.
    """
    if responder.has_started:
        responder.cut()
        return
    error = {
        "code": int(refusal.code),
        "name": refusal.code.name.lower(),
        "message": str(refusal),
        "outcome": str(refusal.outcome),
    }
    fields = [(b"content-type", b"application/json"), *headers]
    if refusal.retry_after_ms is not None:
        fields.append((b"retry-after", f"{refusal.retry_after_ms / 1000:.2f}".encode()))
    body = json.dumps({"error": error}).encode()
    responder.respond(HTTP_STATUS_BY_CODE[refusal.code], fields, body)
