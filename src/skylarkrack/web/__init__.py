"""HTTP/1.1 server and client on `h11`, for callers, endpoints and the platform."""

from skylarkrack.web._buffer_budget import BufferBudget
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
    "BufferBudget",
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
