"""Error bodies and model lists in the format of the OpenAI API."""

import json
import math

from skylarkrack._errors import HTTP_STATUS_BY_CODE, Code, RequestRefused
from skylarkrack.web import Responder

JSON = (b"content-type", b"application/json")

_TYPE_BY_STATUS = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


def error_body(refusal: RequestRefused, request_id: str | None = None) -> bytes:
    """Return the JSON body of an error.

    It has the fields of the OpenAI API, and those of this fleet: the code as a string, its name,
    the outcome, when to retry and the request id.
    """
    status = HTTP_STATUS_BY_CODE[refusal.code]
    error = {
        "message": str(refusal),
        "type": _TYPE_BY_STATUS.get(status, "server_error" if status >= 500 else "request_error"),
        "param": None,
        "code": f"{int(refusal.code)}",
        "name": refusal.code.name.lower(),
        "outcome": str(refusal.outcome),
        "retry_after_ms": refusal.retry_after_ms,
        "request_id": request_id,
    }
    return json.dumps({"error": error}).encode()


def write_refusal(
    responder: Responder, refusal: RequestRefused, *, request_id: str | None = None
) -> None:
    """Send *refusal* as the response.

    If the response has started, the error is sent as one more server-sent event and the
    connection is closed without the end mark, so that the caller sees a truncated response.
    """
    body = error_body(refusal, request_id)
    if responder.has_started:
        responder.send(b"data: " + body + b"\n\n")
        responder.cut()
        return
    headers = [JSON]
    if request_id is not None:
        headers.append((b"x-request-id", request_id.encode()))
    if refusal.retry_after_ms is not None:
        retry_after_s = max(1, math.ceil(refusal.retry_after_ms / 1000))
        headers.append((b"retry-after", str(retry_after_s).encode()))
    if refusal.ticket:
        headers.append((b"idempotency-ticket", refusal.ticket.encode()))
    responder.respond(HTTP_STATUS_BY_CODE[refusal.code], headers, body)


def refuse(responder: Responder, refusal: RequestRefused) -> None:
    """Send *refusal* for a request that the server rejected before any handler got it."""
    write_refusal(responder, refusal)


def models_body(names: list[str]) -> bytes:
    """Return the JSON body of the list of models *names*."""
    models = [{"id": name, "object": "model", "created": 0, "owned_by": ""} for name in names]
    return json.dumps({"object": "list", "data": models}).encode()


def default_retry_after_ms(code: Code) -> int | None:
    """Return the retry time in ms of errors without a computed one; None if *code* has none."""
    return _RETRY_AFTER_MS_BY_CODE.get(code)


_RETRY_AFTER_MS_BY_CODE = {
    Code.NO_ENDPOINT: 1000,
    Code.DRAINING: 1000,
    Code.ACCESS_UNCONFIRMED: 2000,
    Code.QUEUE_FULL: 1000,
    Code.DEADLINE: 1000,
    Code.LOAD_FAILED: 5000,
    Code.ENDPOINT_LOST: 1000,
    Code.TRUNCATED: 1000,
}
