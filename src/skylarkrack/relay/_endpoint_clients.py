"""HTTP clients of the endpoints, one for each start of an endpoint."""

from skylarkrack.core.relay import Endpoint, EndpointKey
from skylarkrack.web import HttpClient

MAX_IDLE_PER_ENDPOINT = 24
"""Bounds the idle connections to one endpoint, since endpoints accept a limited number.

Each idle connection saves a handshake; further ones are closed after their response.
"""


class EndpointClients:
    """HTTP clients by endpoint key, that is, by address and start time."""

    __slots__ = ("_client_by_key",)

    def __init__(self) -> None:
        self._client_by_key: dict[EndpointKey, HttpClient] = {}

    def client_of(self, endpoint: Endpoint) -> HttpClient:
        """Return the client of an endpoint; a new one is created on first use."""
        client = self._client_by_key.get(endpoint.key)
        if client is None:
            client = HttpClient(endpoint.address, max_idle=MAX_IDLE_PER_ENDPOINT)
            self._client_by_key[endpoint.key] = client
        return client

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Drop the clients of all endpoints not in *keys*, and close their idle connections."""
        for key in set(self._client_by_key) - keys:
            self._client_by_key.pop(key).close()

    def close(self) -> None:
        """Drop all clients and close their idle connections."""
        self.keep_only(set())
