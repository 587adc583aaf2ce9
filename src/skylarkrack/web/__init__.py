"""HTTP/1.1 server and client on `h11`, for callers, endpoints and the platform."""

from skylarkrack.web._client import ClientResponse, HttpClient
from skylarkrack.web._connection import ClientConnection
from skylarkrack.web._server import (
    Handler,
    Headers,
    HttpServer,
    Request,
    Responder,
    ServerLimits,
    check_head,
)

__all__ = [
    "ClientConnection",
    "ClientResponse",
    "Handler",
    "Headers",
    "HttpClient",
    "HttpServer",
    "Request",
    "Responder",
    "ServerLimits",
    "check_head",
]
