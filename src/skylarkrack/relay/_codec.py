"""Interface of the codec between the relay and the protocol of callers and endpoints."""

import math
from dataclasses import dataclass
from typing import Protocol

from skylarkrack.core.relay import Call, ProbeResult, ReportedLoad, RoutingTable
from skylarkrack.web import Headers, Request


@dataclass(frozen=True, slots=True, kw_only=True)
class IncomingRequest:
    """A decoded request of a caller.

    *host* and *path* select the route. *key* is the API key, or None without one. *call* holds what
    the request asks for.
    """

    host: str
    path: str
    key: str | None
    call: Call


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardParameters:
    """What the entry adds to a request that it forwards.

    *remaining_ms* is the time left until the deadline. *urgency* is lower for more urgent requests.
    *version* is the adapter version that the endpoint must hold, or None. *resume_after* is the id
    of the last event of a stream that the caller has, or None.
    """

    endpoint_id: str
    remaining_ms: float
    organisation: str | None
    urgency: int
    version: int | None
    resume_after: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseClassification:
    """What the head of an endpoint's response shows.

    *was_not_run* is True where the endpoint states that it did not and will not run the request.
    *names_request* is True where the response holds the id of a request.
    *carries_proof* is True where the response carries the header by which the endpoint proves that
    it produced it; the proof's validity is not checked here.
    *lacks_adapter* is True where the endpoint does not hold the adapter or the version.
    *is_other_endpoint* is True where another endpoint, or another incarnation of it, now has
    the address. *is_leaving* is True where the endpoint states that it is about to stop.
    *pause_ms* is the time for which the endpoint wants no requests from this VM, or None.
    *limit_per_s* is the rate of requests that the endpoint accepts from all VMs together, infinity
    if the response names no limit, or None if it names an invalid one.
    *load* is what the endpoint reports of its load, or None; with *has_invalid_load* it reports
    figures that are malformed or absurd.
    """

    was_not_run: bool
    carries_proof: bool
    lacks_adapter: bool
    is_other_endpoint: bool
    names_request: bool = True
    is_leaving: bool = False
    pause_ms: float | None = None
    limit_per_s: float | None = math.inf
    load: ReportedLoad | None = None
    has_invalid_load: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthResponse:
    """What the head of a response of the health path shows.

    *cold_left_ms* is the endpoint's remaining cold time, or None if that isn't known.
    *is_leaving* and *pause_ms* are as in `ResponseClassification`.
    """

    status: int
    result: ProbeResult
    cold_left_ms: float | None = None
    is_leaving: bool = False
    pause_ms: float | None = None


class RelayCodec(Protocol):
    """Decodes configurations, requests and responses, and encodes forwarded headers."""

    def decode_routing_table(self, document: bytes) -> RoutingTable:
        """Return the routing table of a configuration; raises `ValueError` for an invalid one."""

    def decode_request(self, request: Request, now_ms: float) -> IncomingRequest:
        """Decode a request; raises `RequestRefused` where required fields are missing."""

    def headers_for_endpoint(self, request: Request, forwarding: ForwardParameters) -> Headers:
        """Return the headers for an endpoint, without the API key and the length of the body."""

    def is_response_to(self, request_id: str, headers: Headers) -> bool:
        """Return whether a response belongs to the request and not to an earlier one."""

    def classify_response(
        self, status: int, headers: Headers, endpoint_id: str
    ) -> ResponseClassification:
        """Classify a response by its head; the request was sent to *endpoint_id*."""

    def headers_for_probe(self, request_id: str, *, endpoint_id: str, timeout_ms: float) -> Headers:
        """Return the headers of a request to an endpoint's health path."""

    def decode_health(self, status: int, headers: Headers, endpoint_id: str) -> HealthResponse:
        """Decode a response of the health path by its head; *endpoint_id* was probed."""

    def headers_for_caller(self, headers: Headers) -> Headers:
        """Return the headers of a response that are forwarded to the caller."""

    def headers_for_own_response(self, request_id: str | None) -> Headers:
        """Return the headers of a response that the relay makes itself."""
