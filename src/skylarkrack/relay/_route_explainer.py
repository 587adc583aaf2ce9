"""Explains where a given request would go now, without sending it or changing anything."""

import json
import math
from collections.abc import Callable

import h11

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import HTTP_STATUS_BY_CODE, Code, RequestRefused
from skylarkrack.core.relay import (
    Constraint,
    Endpoint,
    ExplainedCandidate,
    ExplainedLimit,
    Explanation,
    Refuse,
    SendTo,
    explain_placement,
)
from skylarkrack.relay._caller_check import CallerCheck, check_caller, rate_exceeded
from skylarkrack.relay._context import EntryContext
from skylarkrack.web import Request, ServerLimits, check_head

MAX_BODY_BYTES = 65_536
"""Largest description of a request; its head has at most some 16 KB."""

MAX_LISTED = 200
"""Endpoints of each kind in an explanation; the number of further ones is stated."""

_FIELDS = {"method": str, "host": str, "path": str, "headers": list}


class RouteExplainer:
    """Explains requests by the state of an entry. *describe* returns the fields of the entry.

    *limits* are those on callers' requests.
    """

    __slots__ = ("_context", "_describe", "limits")

    def __init__(self, context: EntryContext, *, describe: Callable[[], dict]) -> None:
        self._context = context
        self._describe = describe
        self.limits = ServerLimits()

    def explain(self, body: bytes) -> dict[str, object]:
        """Return the explanation of the request that *body* describes.

        Raises `RequestRefused` if the description can't be used. No text of it is repeated, as it
        holds the caller's key.
        """
        head = _decode_head(body)
        now_ms = monotonic_ms()
        document = {"entry": self._describe(), "route": None, "service": None, "shares": None}
        document |= {"organisation": None, "quota": None, "stream_origin": None}
        document |= {"candidates": [], "excluded": [], "omitted": 0, "binds": None}
        try:
            check_head(head, self.limits)
            request = Request(
                method=head.method.decode("ascii"),
                target=head.target.decode("ascii"),
                headers=[(bytes(name), bytes(value)) for name, value in head.headers],
                body=b"",
            )
            incoming = self._context.codec.decode_request(request, now_ms)
            check = check_caller(self._context, request, incoming, now_ms)
        except RequestRefused as refusal:
            return document | {"decision": _refused(refusal), "binds": "request"}
        return document | self._explain(check, now_ms)

    def _explain(self, check: CallerCheck, now_ms: float) -> dict[str, object]:
        found: dict[str, object] = {}
        if check.route is not None:
            found["route"] = check.route.name
            found["shares"] = [list(share) for share in check.route.shares]
        if check.organisation is not None:
            found["organisation"] = check.organisation.name
        if check.refusal is not None:
            return found | {"decision": _refused(check.refusal), "binds": "request"}
        pending = check.pending_request()
        if pending.route.is_stream and pending.call.resume_after is not None:
            is_known = self._context.origin_lookup.bind_known(pending)
            found["stream_origin"] = "known" if is_known else "unknown"
        found["service"] = pending.service_name
        explanation = explain_placement(self._context.dispatcher, pending, now_ms)
        found |= _placement_fields(explanation)
        if check.organisation is not None:
            refusal = self._explain_quota(check, found, now_ms)
            if refusal is not None:
                found |= {"decision": _refused(refusal), "binds": "quota"}
        return found

    def _explain_quota(
        self, check: CallerCheck, found: dict[str, object], now_ms: float
    ) -> RequestRefused | None:
        """Add the quota to *found*; return the refusal if it is used up."""
        organisation, quota = check.organisation, check.organisation.quota
        level, wait_ms = self._context.quota_limiter.peek(organisation.name, quota, now_ms)
        found["quota"] = {
            "allowed": level > 0,
            "wait_ms": _number(wait_ms),
            "cost": _number(check.cost),
            "level": _number(level),
            "rate_per_s": _number(quota.rate_per_s),
            "burst": _number(quota.burst),
        }
        if level > 0:
            return None
        return rate_exceeded(organisation, cost=check.cost, level=level, wait_ms=wait_ms)


def _decode_head(body: bytes) -> h11.Request:
    """Return the head of the described request; raises `RequestRefused`."""
    if len(body) > MAX_BODY_BYTES:
        raise RequestRefused("the body is too large", code=Code.BODY_TOO_LARGE)
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise RequestRefused("the body is no JSON", code=Code.BAD_JSON) from None
    if not isinstance(document, dict):
        raise _bad_field("the body is no object")
    for name, kind in _FIELDS.items():
        if not isinstance(document.get(name), kind):
            raise _bad_field(f"the field {name} is missing or of a wrong type")
    for header in document["headers"]:
        is_pair = isinstance(header, list) and len(header) == 2
        if not is_pair or not all(isinstance(part, str) for part in header):
            raise _bad_field("a header is no pair of texts")
    if len(document) > len(_FIELDS):
        raise _bad_field("there are fields besides " + ", ".join(_FIELDS))
    try:
        headers = [(b"host", document["host"].encode("latin-1"))]
        headers += [(n.encode("latin-1"), v.encode("latin-1")) for n, v in document["headers"]]
        return h11.Request(
            method=document["method"].encode("ascii"),
            target=document["path"].encode("ascii"),
            headers=headers,
        )
    except (ValueError, h11.LocalProtocolError):
        # The errors repeat what is wrong, which may be the key.
        raise _bad_field("method, host, path or a header can't be sent in a request") from None


def _bad_field(message: str) -> RequestRefused:
    return RequestRefused(message, code=Code.BAD_FIELD)


def _placement_fields(explanation: Explanation) -> dict[str, object]:
    candidates, excluded = explanation.candidates, explanation.excluded
    shown = list(candidates[:MAX_LISTED])
    if explanation.chosen is not None and explanation.chosen not in shown:
        shown[-1] = explanation.chosen
    return {
        "candidates": [_candidate(c, is_chosen=c is explanation.chosen) for c in shown],
        "excluded": [_excluded(*row) for row in excluded[:MAX_LISTED]],
        "omitted": max(0, len(candidates) - MAX_LISTED) + max(0, len(excluded) - MAX_LISTED),
        "binds": explanation.binds,
        "decision": _decision(explanation),
    }


def _candidate(candidate: ExplainedCandidate, *, is_chosen: bool) -> dict[str, object]:
    endpoint, adapter = candidate.endpoint, candidate.adapter
    return {
        "endpoint": endpoint.endpoint_id,
        "address": endpoint.address,
        "domain": endpoint.domain,
        "chosen": is_chosen,
        "cost_ms": _number(candidate.cost_ms),
        "costs": {name: _number(ms) for name, ms in candidate.cost_by_name.items()},
        "waits_for": [[constraint, _number(ms)] for constraint, ms in candidate.waits_for],
        "runs": candidate.runs,
        "slots": endpoint.slots,
        "rank": candidate.rank,
        "limit": None if candidate.limit is None else _limit(candidate.limit),
        "adapter": (
            None
            if adapter is None
            else {
                "held": adapter.held,
                "newest": adapter.newest,
                "loading": adapter.is_loading,
                "reported": adapter.is_reported,
            }
        ),
    }


def _excluded(endpoint: Endpoint, reason: Constraint) -> dict[str, object]:
    return {"endpoint": endpoint.endpoint_id, "domain": endpoint.domain, "reason": reason}


def _limit(limit: ExplainedLimit) -> dict[str, object]:
    return {
        "named_per_s": _number(limit.named_per_s),
        "cold_per_s": _number(limit.cold_per_s),
        "window": _number(limit.window),
        "in_flight": _number(limit.in_flight),
        "home": limit.home,
    }


def _decision(explanation: Explanation) -> dict[str, object]:
    decision = explanation.decision
    if isinstance(decision, Refuse):
        return _refused(
            RequestRefused(
                decision.reason, code=decision.code, retry_after_ms=round(decision.retry_after_ms)
            )
        )
    kind = "send" if isinstance(decision, SendTo) else "wait"
    return {
        "kind": kind,
        "endpoint": explanation.chosen.endpoint.endpoint_id,
        "cost_ms": _number(decision.cost_ms),
    }


def _refused(refusal: RequestRefused) -> dict[str, object]:
    return {
        "kind": "refuse",
        "status": HTTP_STATUS_BY_CODE[refusal.code],
        "code": int(refusal.code),
        "name": refusal.code.name.lower(),
        "reason": str(refusal),
        "retry_after_ms": refusal.retry_after_ms,
    }


def _number(value: float) -> float | None:
    """Return a number for JSON, None for infinity."""
    return None if math.isinf(value) else round(value, 1)
