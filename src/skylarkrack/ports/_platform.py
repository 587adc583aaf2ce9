"""The platform's configuration service, which can only be read and watched.

    GET /v1/changes?after=R&wait_ms=W   200, {"revision": R2, "values": {name: revision}}
    GET /v1/values/NAME                 200 with the header X-Revision and the value as body

`changes` answers at once if something is newer than R, else after W; `values` in its answer holds
the names that are newer than R. The `Date` header of an answer is the fleet's calendar.
"""

import json
from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from urllib.parse import quote

from skylarkrack._errors import LinkLost, PlatformUnreachable
from skylarkrack.web import ClientResponse, HttpClient

ANSWER_TIMEOUT_MS = 1000
"""How long a call may take beyond the wait that it asks for."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """The service's revision and the newer values; *calendar_s* is its calendar, or None."""

    revision: int
    revision_by_name: dict[str, int]
    calendar_s: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedValue:
    """One value with its revision."""

    name: str
    revision: int
    body: bytes


class PlatformPort:
    """Reads the configuration service at one address; every failure is `PlatformUnreachable`."""

    __slots__ = ("_client",)

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    async def changes(self, *, after: int, wait_ms: int) -> Changes:
        """Wait up to *wait_ms* for changes after the revision *after*."""
        target = f"/v1/changes?after={after}&wait_ms={wait_ms}"
        response, body = await self._get(target, timeout_ms=wait_ms + ANSWER_TIMEOUT_MS)
        try:
            document = json.loads(body)
            return Changes(
                revision=int(document["revision"]),
                revision_by_name={str(k): int(v) for k, v in document["values"].items()},
                calendar_s=_parse_date(response),
            )
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise PlatformUnreachable(f"no list of changes: {error!r}") from error

    async def value(self, name: str) -> PublishedValue:
        """Read one value."""
        target = f"/v1/values/{quote(name, safe='')}"
        response, body = await self._get(target, timeout_ms=ANSWER_TIMEOUT_MS)
        revision = response.header(b"x-revision")
        if revision is None or not revision.isdecimal():
            raise PlatformUnreachable(f"no revision with {name}")
        return PublishedValue(name=name, revision=int(revision), body=body)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _get(self, target: str, *, timeout_ms: float) -> tuple[ClientResponse, bytes]:
        try:
            response = await self._client.request("GET", target, timeout_ms=timeout_ms)
            body = await response.whole(timeout_ms=timeout_ms)
        except LinkLost as error:
            raise PlatformUnreachable(str(error)) from error
        if response.status != 200:
            raise PlatformUnreachable(f"{target}: status {response.status}")
        return response, body


def _parse_date(response: ClientResponse) -> float | None:
    date = response.header(b"date")
    try:
        return parsedate_to_datetime(date).timestamp() if date else None
    except ValueError:
        return None
