"""HTTP clients of the endpoints, one for each start of an endpoint."""

from skylarkrack.core.relay import Endpoint, EndpointKey
from skylarkrack.web import BufferBudget, HttpClient

MAX_IDLE_PER_ENDPOINT = 24
"""Bounds the idle connections to one endpoint.

Each saves a handshake; further ones are closed after their response.
"""

IDLE_FRACTION = 0.5
"""Part of the connections that an endpoint accepts which all entries together may keep idle."""


def max_idle_of(max_connections: int, entries: int) -> int:
    """Return the idle connections that one of *entries* keeps to an endpoint.

    *max_connections* is what the endpoint accepts from all of them together.
    """
    share = int(IDLE_FRACTION * max_connections / entries)
    return min(MAX_IDLE_PER_ENDPOINT, max(1, share))


class EndpointClients:
    """HTTP clients by endpoint key, that is, by address and start time.

    *budget* bounds the answers that are being read.
    """

    __slots__ = ("_budget", "_client_by_key", "_max_idle_by_service")

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._client_by_key: dict[EndpointKey, HttpClient] = {}
        self._max_idle_by_service: dict[str, int] = {}

    def set_max_idle(self, max_idle_by_service: dict[str, int]) -> None:
        """Set how many idle connections are kept to an endpoint, by its service."""
        self._max_idle_by_service = max_idle_by_service

    def client_of(self, endpoint: Endpoint) -> HttpClient:
        """Return the client of an endpoint; a new one is created on first use."""
        client = self._client_by_key.get(endpoint.key)
        if client is None:
            client = HttpClient(endpoint.address, budget=self._budget)
            self._client_by_key[endpoint.key] = client
        client.max_idle = self._max_idle_by_service.get(endpoint.service, MAX_IDLE_PER_ENDPOINT)
        return client

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Drop the clients of all endpoints not in *keys*, and close their idle connections."""
        for key in set(self._client_by_key) - keys:
            self._client_by_key.pop(key).close()

    def close(self) -> None:
        """Drop all clients and close their idle connections."""
        self.keep_only(set())
