"""Read-only HTTP client of the platform's configuration service.

    GET /v1/changes?after=R&wait_ms=W   200, {"revision": R2, "values": {name: revision}}
    GET /v1/values/NAME                 200 with the header X-Revision and the value as body

`changes` is answered at once if a value is newer than revision R, else after W ms; `values` in the
answer holds the names of the values newer than R. The `Date` header of an answer is the calendar
time of the whole fleet.
"""

import json
from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from urllib.parse import quote

from skylarkrack._errors import LinkLost, PlatformUnreachable
from skylarkrack.web import ClientResponse, HttpClient

ANSWER_TIMEOUT_MS = 1000
"""Time that a call may take beyond the wait that it asks for."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """The service's revision, and the revisions of newer values by name.

    *calendar_s* is the service's calendar time in seconds since 1970, or None without a valid one.
    """

    revision: int
    revision_by_name: dict[str, int]
    calendar_s: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedValue:
    """A published value with its revision."""

    name: str
    revision: int
    body: bytes


class PlatformPort:
    """Client of the service at one address; raises `PlatformUnreachable` for every failure."""

    __slots__ = ("_client",)

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    async def changes(self, *, after: int, wait_ms: int) -> Changes:
        """Wait up to *wait_ms* for changes after the revision *after*, and return them."""
        target = f"/v1/changes?after={after}&wait_ms={wait_ms}"
        response, body = await self._get(target, timeout_ms=wait_ms + ANSWER_TIMEOUT_MS)
        try:
            document = json.loads(body)
            return Changes(
                revision=int(document["revision"]),
                revision_by_name={
                    str(name): int(revision) for name, revision in document["values"].items()
                },
                calendar_s=_parse_date(response),
            )
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise PlatformUnreachable(f"the list of changes is invalid: {error!r}") from error

    async def value(self, name: str) -> PublishedValue:
        """Return the value *name*."""
        target = f"/v1/values/{quote(name, safe='')}"
        response, body = await self._get(target, timeout_ms=ANSWER_TIMEOUT_MS)
        revision = response.header(b"x-revision")
        if revision is None or not revision.isdecimal():
            raise PlatformUnreachable(f"the value {name} has no valid revision")
        return PublishedValue(name=name, revision=int(revision), body=body)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _get(self, target: str, *, timeout_ms: float) -> tuple[ClientResponse, bytes]:
        try:
            response = await self._client.request("GET", target, timeout_ms=timeout_ms)
            body = await response.read_body(timeout_ms=timeout_ms)
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
