"""HTTP/1.1 towards callers, endpoints and the platform, on `h11`."""

from skylarkrack.web._client import ClientResponse, HttpClient
from skylarkrack.web._server import HttpServer, Request, Responder

__all__ = ["ClientResponse", "HttpClient", "HttpServer", "Request", "Responder"]
