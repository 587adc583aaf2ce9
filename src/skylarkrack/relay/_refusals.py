"""Answers of the relay itself."""

import json

from skylarkrack._errors import HTTP_STATUS_BY_CODE, RequestRefused
from skylarkrack.web import Headers, Responder


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
