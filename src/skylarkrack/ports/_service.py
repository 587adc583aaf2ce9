"""HTTP client of a plain service on an agent's VM."""

from skylarkrack._errors import LinkLost
from skylarkrack.messages import CallRequest
from skylarkrack.web import ClientResponse, HttpClient

SERVICE_TIMEOUT_MS = 30_000
"""Timeout of the head of an answer to a call; `LinkLost` is raised beyond."""

PROBE_TIMEOUT_MS = 1000
"""Timeout of a health probe; the service counts as down beyond."""


class ServicePort:
    """Client of the service at one address; raises `LinkLost` for a broken or silent connection."""

    __slots__ = ("_client",)

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    async def call(self, call: CallRequest) -> ClientResponse:
        """Send *call* and return the head of the answer.

        The connection is new, so `LinkLost.sent` is False only if nothing reached the service.
        """
        headers = [(bytes(name), bytes(value)) for name, value in call.headers]
        return await self._client.request(
            call.method,
            call.path,
            headers=headers,
            body=call.body,
            timeout_ms=SERVICE_TIMEOUT_MS,
            fresh=True,
        )

    async def is_up(self) -> bool:
        """Return whether the service accepts connections and answers without a server error."""
        try:
            response = await self._client.request("GET", "/healthz", timeout_ms=PROBE_TIMEOUT_MS)
            await response.read_body(timeout_ms=PROBE_TIMEOUT_MS)
        except LinkLost:
            return False
        return response.status < 500

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()
