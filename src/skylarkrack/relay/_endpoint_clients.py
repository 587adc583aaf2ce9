"""Connections to endpoints, by incarnation."""

from skylarkrack.core.relay import Endpoint, EndpointKey
from skylarkrack.web import HttpClient

MAX_IDLE_PER_ENDPOINT = 24
"""Idle connections kept; each avoids a handshake, and the endpoint's number is bounded."""


class EndpointClients:
    """One client for each endpoint incarnation in use."""

    __slots__ = ("_client_by_key",)

    def __init__(self) -> None:
        self._client_by_key: dict[EndpointKey, HttpClient] = {}

    def client_of(self, endpoint: Endpoint) -> HttpClient:
        """Return the client of an endpoint."""
        client = self._client_by_key.get(endpoint.key)
        if client is None:
            client = HttpClient(endpoint.address, max_idle=MAX_IDLE_PER_ENDPOINT)
            self._client_by_key[endpoint.key] = client
        return client

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Close the idle connections to endpoints that are gone."""
        for key in set(self._client_by_key) - keys:
            self._client_by_key.pop(key).close()

    def close(self) -> None:
        """Close the idle connections."""
        self.keep_only(set())
