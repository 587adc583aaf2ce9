"""Reads the registrations that the store still remembers."""

import math
from collections.abc import Callable

from skylarkrack._errors import PlatformUnreachable
from skylarkrack.core.relay import Endpoint, RegistrationHistory
from skylarkrack.platform._documents import DocumentRejected, decode_endpoint
from skylarkrack.platform._store import HistoryLost, KeyValue, Store

MARGIN = 1.25
"""Revisions that are asked for at first, as a multiple of those that heartbeats should make."""

NARROWING = 0.8
"""Factor to the revisions asked for after each answer that the store doesn't have them."""

MAX_TRIES = 8

MAX_PAGES = 20
"""Bound on the answers that one reading takes; a store sends about 1 MB in one."""


class StoreHistory:
    """Reads the latest writes under a prefix of registrations; implements `RegistryHistory`.

    *position* returns the era and the revision that were read last, or None. Endpoints write their
    registrations every *heartbeat_ms*, and the store keeps *history_ms* of writes, or less.
    """

    __slots__ = ("_heartbeat_ms", "_history_ms", "_position", "_prefix", "_store")

    def __init__(
        self,
        store: Store,
        prefix: str,
        *,
        position: Callable[[], tuple[int, int] | None],
        heartbeat_ms: float,
        history_ms: float,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._position = position
        self._heartbeat_ms = heartbeat_ms
        self._history_ms = history_ms

    async def recall(self, endpoints: int) -> RegistrationHistory | None:
        """Return the registrations that were written lately, or None if they can't be read."""
        position = self._position()
        if position is None:
            return None
        era, revision = position
        back = math.ceil(MARGIN * endpoints * self._history_ms / self._heartbeat_ms)
        try:
            for _ in range(MAX_TRIES):
                try:
                    items = await self._read(max(0, revision - back), revision, era)
                except HistoryLost:
                    back = int(back * NARROWING)
                    continue
                writes = tuple(filter(None, map(self._decode, items)))
                return RegistrationHistory(writes=writes, heartbeat_ms=self._heartbeat_ms)
        except PlatformUnreachable:
            pass
        return None

    def close(self) -> None:
        """Close the connections."""
        self._store.close()

    async def _read(self, after: int, revision: int, era: int) -> list[KeyValue]:
        """Return the writes after *after* up to *revision*; the store may send them in parts."""
        items: list[KeyValue] = []
        for _ in range(MAX_PAGES):
            batch = await self._store.watch(self._prefix, after, wait_ms=1)
            if batch.era != era:
                raise PlatformUnreachable("the store was restored")
            items += batch.items
            if batch.revision >= revision or batch.revision <= after:
                break
            after = batch.revision
        return items

    def _decode(self, key_value: KeyValue) -> Endpoint | None:
        """Return the endpoint in a registration; None for a removal, or if it can't be used."""
        if key_value.value is None:
            return None
        try:
            return decode_endpoint(key_value.key.removeprefix(self._prefix), key_value.value)
        except DocumentRejected:
            return None
