"""What a relay needs to know of the protocol between callers and endpoints."""

from dataclasses import dataclass
from typing import Protocol

from skylarkrack.core.relay import Call, RoutingTable
from skylarkrack.web import Headers, Request


@dataclass(frozen=True, slots=True, kw_only=True)
class IncomingRequest:
    """A caller's request: where it is addressed, the key that came with it, and what it asks."""

    host: str
    path: str
    key: str | None
    call: Call


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardParameters:
    """What an endpoint is told beside the caller's own request."""

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
    *is_proven* is True where the response carries the endpoint's proof that it made it.
    *lacks_adapter* is True where the endpoint does not hold the adapter or the version.
    *is_other_endpoint* is True where another endpoint, or another start of the same one, now has
    the address.
    """

    was_not_run: bool
    is_proven: bool
    lacks_adapter: bool
    is_other_endpoint: bool


class RelayCodec(Protocol):
    """Decodes requests and answers, and encodes what is passed on."""

    def decode_routing_table(self, document: bytes) -> RoutingTable:
        """Return the routing table in a configuration; raises `ValueError`."""

    def decode_request(self, request: Request, now_ms: float) -> IncomingRequest:
        """Return what a request asks; raises `RequestRefused` where it says too little."""

    def headers_for_endpoint(self, request: Request, forwarding: ForwardParameters) -> Headers:
        """Return the headers that go to an endpoint, without the key and the body's length."""

    def is_response_to(self, request_id: str, headers: Headers) -> bool:
        """Tell whether an answer belongs to the request and not to an earlier one."""

    def classify_response(
        self, status: int, headers: Headers, endpoint_id: str
    ) -> ResponseClassification:
        """Return what the head of an answer says that was expected of *endpoint_id*."""

    def headers_for_caller(self, headers: Headers) -> Headers:
        """Return the headers of an answer that go on to the caller."""

    def headers_for_own_response(self, request_id: str | None) -> Headers:
        """Return the headers that mark an answer of the relay itself."""
