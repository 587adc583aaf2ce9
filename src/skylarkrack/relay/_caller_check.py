"""Checks of a caller's request before it is placed: route, key, crashes, and the quota's cost.

They change nothing, so that a request can be explained without being sent.
"""

import hashlib
from dataclasses import dataclass

from skylarkrack._errors import Code, RequestRefused
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
from skylarkrack.relay._refusals import CrashSuspected, RateExceeded
from skylarkrack.web import Request

UNREADY_RETRY_MS = 500
"""Retry-after of a refusal while the entry has no configuration."""

MIN_QUOTA_RETRY_MS = 300
"""Lower bound on the retry-after once a quota is used up, since other callers retry at
the same time."""

FINGERPRINT_BYTES = 12
"""Size of a request's fingerprint.

Small enough for thirty fingerprints in one datagram, and large enough that two requests don't
share one by chance.
"""


@dataclass(slots=True)
class CallerCheck:
    """What the checks of a request found, as far as they came.

    *refusal* is that of the first check that it failed, or None. *cost* is what it takes of the
    organisation's quota.
    """

    incoming: IncomingRequest
    route: Route | None = None
    organisation: TableOrganisation | None = None
    key_digest: bytes | None = None
    fingerprint: bytes = b""
    cost: float = 0.0
    refusal: RequestRefused | None = None

    def pending_request(self) -> PendingRequest:
        """Return the request that is to be placed, once it has passed the checks."""
        call, route, organisation = self.incoming.call, self.route, self.organisation
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return PendingRequest(
            call=call,
            route=route,
            service_name=route.service_for(call.request_id),
            priority=priority,
            deadline_ms=call.deadline_ms(route.timeout_ms),
            organisation=None if organisation is None else organisation.name,
            cost=self.cost,
            fingerprint=self.fingerprint,
            key_digest=self.key_digest,
        )


def check_caller(
    context: EntryContext, request: Request, incoming: IncomingRequest, now_ms: float
) -> CallerCheck:
    """Check a request; the quota of its organisation is not looked at."""
    check = CallerCheck(incoming)
    try:
        _check(check, context, request, now_ms)
    except RequestRefused as refusal:
        check.refusal = refusal
    return check


def rate_exceeded(
    organisation: TableOrganisation, *, cost: float, level: float, wait_ms: float
) -> RateExceeded:
    """Return the refusal of a request whose organisation's bucket is empty for *wait_ms*."""
    retry_after_ms = round(max(MIN_QUOTA_RETRY_MS, wait_ms))
    return RateExceeded(organisation, cost=cost, level=level, retry_after_ms=retry_after_ms)


def _check(check: CallerCheck, context: EntryContext, request: Request, now_ms: float) -> None:
    """Fill *check*; raises `RequestRefused` at the first check that the request fails."""
    table, incoming = context.dispatcher.table, check.incoming
    if table is None:
        raise RequestRefused(
            "no configuration yet",
            code=Code.ACCESS_UNCONFIRMED,
            retry_after_ms=UNREADY_RETRY_MS,
        )
    check.route = table.route_for(incoming.host, incoming.path)
    if check.route is None:
        raise RequestRefused("no such route", code=Code.NO_SUCH_PATH)
    key_digest = None if incoming.key is None else digest_of_key(incoming.key)
    check.organisation = _organisation_for(table, check.route, key_digest)
    check.fingerprint = _fingerprint_of(request, check.organisation)
    if check.organisation is not None:
        check.key_digest = key_digest
        check.cost = _cost_of(check.organisation.quota, incoming)
    segments = incoming.call.shared_segments
    if context.crash_tracker.is_refused(check.fingerprint, now_ms, segments=segments):
        raise CrashSuspected(segments)


def _organisation_for(
    table: RoutingTable, route: Route, key_digest: bytes | None
) -> TableOrganisation | None:
    """Return the organisation of the API key, or None without keys; raises `RequestRefused`."""
    if route.is_public or table.organisation_by_digest is None:
        return None
    if key_digest is None:
        raise RequestRefused("no key", code=Code.NO_KEY)
    organisation = table.organisation_of(key_digest)
    if organisation is None:
        raise RequestRefused("unknown key", code=Code.UNKNOWN_KEY)
    return organisation


def _cost_of(quota: Quota, incoming: IncomingRequest) -> float:
    """Return the cost of a request in its quota's unit, tokens or requests."""
    if not quota.counts_tokens:
        return 1.0
    if incoming.call.need is None or not incoming.call.has_token_count:
        return quota.plain_cost
    return float(incoming.call.need.tokens)


def _fingerprint_of(request: Request, organisation: TableOrganisation | None) -> bytes:
    """Return a digest of organisation, target and body; a repeated request has the same one."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (
        (organisation.name if organisation else "").encode(),
        request.target.encode(),
        request.body,
    ):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()
