"""The platform's store: read and watched over HTTP, never written."""

import base64
import binascii
import json
from dataclasses import dataclass
from urllib.parse import urlencode

from skylarkrack._errors import LinkLost, PlatformUnreachable
from skylarkrack.web import HttpClient

READ_TIMEOUT_MS = 800.0
"""The store answers in milliseconds; a slow day multiplies that by a hundred."""

WATCH_SLACK_MS = 600.0
"""Time beyond a watch's own wait after which its connection is taken for dead."""

_STATUS_GONE = 410
_NOT_FOUND = 404


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyValue:
    """A key with its value; *value* is None where the key was removed."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyValueBatch:
    """Items as of a revision of the store."""

    items: tuple[KeyValue, ...]
    revision: int


class HistoryLost(Exception):
    """Raised when the store no longer has the changes after the revision asked for."""


class Store:
    """Calls to the store. Raises `PlatformUnreachable` where it gives no usable answer."""

    __slots__ = ("_client",)

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def read_all(self, prefix: str) -> KeyValueBatch:
        """Return every item under *prefix*, as of the first page: later changes are watched."""
        items: list[KeyValue] = []
        revision, after = None, None
        while True:
            query = {"prefix": prefix} if after is None else {"prefix": prefix, "after": after}
            page = await self._get("/kv-range", query, timeout_ms=READ_TIMEOUT_MS)
            found = [_decode_key_value(row) for row in _rows(page, "items")]
            items += found
            revision = _revision(page) if revision is None else revision
            if not page.get("has-more") or not found:
                return KeyValueBatch(items=tuple(items), revision=revision)
            after = found[-1].key

    async def watch(self, prefix: str, revision: int, *, wait_ms: int) -> KeyValueBatch:
        """Return what changed under *prefix* after *revision*, empty where nothing did.

        Raises `HistoryLost` where the changes are no longer known.
        """
        query = {"prefix": prefix, "after": revision, "wait-ms": wait_ms}
        page = await self._get("/kv-watch", query, timeout_ms=wait_ms + WATCH_SLACK_MS)
        items = tuple(_decode_key_value(row) for row in _rows(page, "events"))
        return KeyValueBatch(items=items, revision=_revision(page))

    async def _get(self, path: str, query: dict, *, timeout_ms: float) -> dict:
        target = f"{path}?{urlencode(query)}"
        try:
            response = await self._client.request("GET", target, timeout_ms=timeout_ms)
            body = await response.whole(timeout_ms=timeout_ms)
        except LinkLost as error:
            raise PlatformUnreachable(f"{path}: {error}") from error
        if response.status == _STATUS_GONE:
            raise HistoryLost
        if response.status != 200:
            raise PlatformUnreachable(f"{path}: status {response.status}")
        try:
            page = json.loads(body)
        except ValueError as error:
            raise PlatformUnreachable(f"{path}: no JSON") from error
        if not isinstance(page, dict):
            raise PlatformUnreachable(f"{path}: no JSON object")
        return page


def _rows(page: dict, key: str) -> list[dict]:
    rows = page.get(key)
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise PlatformUnreachable(f"{key} is no list of objects")
    return rows


def _revision(page: dict) -> int:
    revision = page.get("as-of")
    if not isinstance(revision, int):
        raise PlatformUnreachable("no revision")
    return revision


def _decode_key_value(row: dict) -> KeyValue:
    key = row.get("key")
    if not isinstance(key, str):
        raise PlatformUnreachable("an item without key")
    if row.get("removed"):
        return KeyValue(key=key, value=None)
    try:
        return KeyValue(key=key, value=base64.b64decode(row.get("value", ""), validate=True))
    except (binascii.Error, TypeError, ValueError):
        # The key exists; whoever reads the value rejects it.
        return KeyValue(key=key, value=b"")
