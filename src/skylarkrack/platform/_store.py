"""Read-only HTTP client of the platform's key-value store."""

import base64
import binascii
import json
from dataclasses import dataclass
from urllib.parse import urlencode

from skylarkrack._errors import LinkLost, PlatformUnreachable
from skylarkrack.web import HttpClient

READ_TIMEOUT_MS = 800.0
"""Timeout of each step of reading a page (connection, head, each part of the body).

The store answers within milliseconds, and within a hundred times that when it is slow. Beyond the
timeout the call fails with `PlatformUnreachable`.
"""

WATCH_SLACK_MS = 600.0
"""Time that a watch may take beyond its wait; its connection is taken for dead beyond that."""

_STATUS_GONE = 410
_NOT_FOUND = 404


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyValue:
    """A key with its value; *value* is None if the key was removed."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyValueBatch:
    """Keys with their values: all under a prefix, or those that changed up to *revision*."""

    items: tuple[KeyValue, ...]
    revision: int


class HistoryLost(Exception):
    """Raised when the store no longer has the changes after the revision asked for."""


class Store:
    """Client of the store; raises `PlatformUnreachable` where the store gives no valid answer."""

    __slots__ = ("_client",)

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def read_all(self, prefix: str) -> KeyValueBatch:
        """Return every key under *prefix* with its value.

        The revision is that of the first page, so that a watch from there also returns changes made
        while later pages were read.
        """
        items: list[KeyValue] = []
        revision, after = None, None
        while True:
            query = {"prefix": prefix} if after is None else {"prefix": prefix, "after": after}
            page = await self._get("/kv-range", query, timeout_ms=READ_TIMEOUT_MS)
            page_items = [_decode_key_value(row) for row in _rows(page, "items")]
            items += page_items
            revision = _revision(page) if revision is None else revision
            if not page.get("has-more") or not page_items:
                return KeyValueBatch(items=tuple(items), revision=revision)
            after = page_items[-1].key

    async def watch(self, prefix: str, revision: int, *, wait_ms: int) -> KeyValueBatch:
        """Wait for changes under *prefix* after *revision* and return them.

        The batch is empty if nothing changes within *wait_ms*. Raises `HistoryLost` if the store no
        longer has the changes after *revision*.
        """
        query = {"prefix": prefix, "after": revision, "wait-ms": wait_ms}
        page = await self._get("/kv-watch", query, timeout_ms=wait_ms + WATCH_SLACK_MS)
        items = tuple(_decode_key_value(row) for row in _rows(page, "events"))
        return KeyValueBatch(items=items, revision=_revision(page))

    async def _get(self, path: str, query: dict, *, timeout_ms: float) -> dict:
        target = f"{path}?{urlencode(query)}"
        try:
            response = await self._client.request("GET", target, timeout_ms=timeout_ms)
            body = await response.read_body(timeout_ms=timeout_ms)
        except LinkLost as error:
            raise PlatformUnreachable(f"{path}: {error}") from error
        if response.status == _STATUS_GONE:
            raise HistoryLost
        if response.status != 200:
            raise PlatformUnreachable(f"{path}: status {response.status}")
        try:
            page = json.loads(body)
        except ValueError as error:
            raise PlatformUnreachable(f"{path}: not valid JSON") from error
        if not isinstance(page, dict):
            raise PlatformUnreachable(f"{path}: not a JSON object")
        return page


def _rows(page: dict, key: str) -> list[dict]:
    rows = page.get(key)
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise PlatformUnreachable(f"{key} is not a list of objects")
    return rows


def _revision(page: dict) -> int:
    revision = page.get("as-of")
    if not isinstance(revision, int):
        raise PlatformUnreachable("the answer has no revision")
    return revision


def _decode_key_value(row: dict) -> KeyValue:
    key = row.get("key")
    if not isinstance(key, str):
        raise PlatformUnreachable("an item has no key")
    if row.get("removed"):
        return KeyValue(key=key, value=None)
    try:
        return KeyValue(key=key, value=base64.b64decode(row.get("value", ""), validate=True))
    except (binascii.Error, TypeError, ValueError):
        # The key exists and has to be listed. The decoder of its value rejects an empty one.
        return KeyValue(key=key, value=b"")
