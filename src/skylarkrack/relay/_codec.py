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
    """What an answer's head says.

    *was_not_run* is the endpoint's word that it did not and will not run the request. *is_proven*
    tells that the endpoint vouches for the answer. *lacks_adapter*: it does not hold the adapter
    or the version. *is_another*: another endpoint, or another start of it, has the address now.
    """

    was_not_run: bool
    is_proven: bool
    lacks_adapter: bool
    is_another: bool


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
