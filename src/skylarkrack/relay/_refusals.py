"""Answers of the relay itself."""

import json
from functools import singledispatch

from skylarkrack._errors import HTTP_STATUS_BY_CODE, Code, RequestRefused
from skylarkrack.core.relay import TableOrganisation
from skylarkrack.web import Headers, Responder


class RateExceeded(RequestRefused):
    """Raised when an organisation's rate and burst are used up, as far as this entry knows.

    *cost* is what the request asks for, and *level* what was in the bucket.
    """

    def __init__(
        self, member: TableOrganisation, *, cost: float, level: float, retry_after_ms: int
    ) -> None:
        super().__init__(
            f"the rate of {member.name} is used up",
            code=Code.RATE_EXCEEDED,
            retry_after_ms=retry_after_ms,
        )
        self.member = member
        self.cost = cost
        self.level = level


@singledispatch
def log_fields_of(refusal: RequestRefused) -> dict[str, object]:
    """Return the log fields of what decided a refusal, beside its code and reason."""
    return {}


@log_fields_of.register
def _(refusal: RateExceeded) -> dict[str, object]:
    quota = refusal.member.quota
    return {
        "organisation": refusal.member.name,
        "cost": round(refusal.cost),
        "level": round(refusal.level),
        "rate_per_s": quota.rate_per_s,
        "burst": quota.burst,
        "retry_after_ms": refusal.retry_after_ms,
    }


def write_refusal(responder: Responder, refusal: RequestRefused, headers: Headers = ()) -> None:
    """Answer with an error; an answer that has begun is cut, so that it can't pass for whole."""
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
    responder.whole(HTTP_STATUS_BY_CODE[refusal.code], fields, body)
