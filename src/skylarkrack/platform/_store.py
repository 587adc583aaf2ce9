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

READ_TOTAL_MS = 5000.0
"""Timeout of the whole body of an answer. A page of 1 MB takes half of it at 5 Mbit/s."""

WATCH_SLACK_MS = 600.0
"""Time that a watch may take beyond its wait; its connection is taken for dead beyond that."""

_STATUS_GONE = 410
_ERA_HEADER = b"store-era"


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyValue:
    """A key with its value; *value* is None if the key was removed.

    *revision* is that of its last change, or 0 if the store named none.
    """

    key: str
    value: bytes | None
    revision: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyValueBatch:
    """Keys with their values: all under a prefix, or those that changed up to *revision*.

    Revisions are comparable only within one *era*.
    """

    items: tuple[KeyValue, ...]
    revision: int
    era: int = 0


class HistoryLost(Exception):
    """Raised when the store no longer has the changes after the revision asked for."""


class EraRecord:
    """The newest era of the store that one process has seen, over all of its connections."""

    __slots__ = ("newest",)

    def __init__(self) -> None:
        self.newest = 0

    def observe(self, era: int) -> None:
        """Record the era of an answer; raises `PlatformUnreachable` for one of an earlier era."""
        if era < self.newest:
            raise PlatformUnreachable(f"an answer of era {era} after one of era {self.newest}")
        self.newest = era


class Store:
    """Client of the store; raises `PlatformUnreachable` where the store gives no valid answer.

    The store may be restored from an older copy; each time its era rises by one. Clients of one
    process share *eras*, so that a late answer of an earlier era is not used.
    """

    __slots__ = ("_client", "_eras")

    def __init__(self, address: str, eras: EraRecord | None = None) -> None:
        self._client = HttpClient(address)
        self._eras = eras or EraRecord()

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def read_all(self, prefix: str) -> KeyValueBatch:
        """Return every key under *prefix* with its value.

        The revision is that of the first page, so that a watch from there also returns changes made
        while later pages were read.
        """
        items: list[KeyValue] = []
        revision, after, first_era = None, None, None
        while True:
            query = {"prefix": prefix} if after is None else {"prefix": prefix, "after": after}
            page, era = await self._get("/kv-range", query, timeout_ms=READ_TIMEOUT_MS)
            first_era = era if first_era is None else first_era
            if era != first_era:
                raise PlatformUnreachable("the store was restored during a listing")
            page_items = [_decode_key_value(row) for row in _rows(page, "items")]
            items += page_items
            revision = _revision(page) if revision is None else revision
            if not page.get("has-more") or not page_items:
                return KeyValueBatch(items=tuple(items), revision=revision, era=era)
            after = page_items[-1].key

    async def watch(self, prefix: str, revision: int, *, wait_ms: int) -> KeyValueBatch:
        """Wait for changes under *prefix* after *revision* and return them.

        The batch is empty if nothing changes within *wait_ms*. Raises `HistoryLost` if the store no
        longer has the changes after *revision*.
        """
        query = {"prefix": prefix, "after": revision, "wait-ms": wait_ms}
        page, era = await self._get("/kv-watch", query, timeout_ms=wait_ms + WATCH_SLACK_MS)
        items = tuple(_decode_key_value(row) for row in _rows(page, "events"))
        return KeyValueBatch(items=items, revision=_revision(page), era=era)

    async def _get(self, path: str, query: dict, *, timeout_ms: float) -> tuple[dict, int]:
        """Return the page of an answer, and its era."""
        target = f"{path}?{urlencode(query)}"
        try:
            response = await self._client.request("GET", target, timeout_ms=timeout_ms)
            body = await response.read_body(timeout_ms=timeout_ms, total_ms=READ_TOTAL_MS)
        except LinkLost as error:
            raise PlatformUnreachable(f"{path}: {error}") from error
        era = _era(response.header(_ERA_HEADER))
        if response.status in (200, _STATUS_GONE):
            self._eras.observe(era)
        if response.status == _STATUS_GONE:
            raise HistoryLost
        if response.status != 200:
            raise PlatformUnreachable(f"{path}: status {response.status}")
        try:
            page = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise PlatformUnreachable(f"{path}: not valid JSON") from error
        if not isinstance(page, dict):
            raise PlatformUnreachable(f"{path}: not a JSON object")
        return page, era


def _era(value: str | None) -> int:
    """Return the era in a header; a store that sends none, or an invalid one, stays in era 0."""
    return int(value) if value is not None and value.isascii() and value.isdigit() else 0


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
    written = row.get("rev")
    revision = written if isinstance(written, int) else 0
    if row.get("removed"):
        return KeyValue(key=key, value=None, revision=revision)
    try:
        value = base64.b64decode(row.get("value", ""), validate=True)
        return KeyValue(key=key, value=value, revision=revision)
    except (binascii.Error, TypeError, ValueError):
        # The key exists and has to be listed. The decoder of its value rejects an empty one.
        return KeyValue(key=key, value=b"", revision=revision)
