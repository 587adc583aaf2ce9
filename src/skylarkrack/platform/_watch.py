"""Follows the store, and tells a listener what is published and who registers."""

import asyncio
from collections.abc import Callable

from skylarkrack._errors import PlatformUnreachable
from skylarkrack._events import Event, log
from skylarkrack.platform._documents import (
    DocumentRejected,
    decode_endpoint,
    decode_version,
)
from skylarkrack.platform._store import HistoryLost, KeyValue, KeyValueBatch, Store
from skylarkrack.relay import RegistryListener

PUBLICATIONS_PREFIX = "op/"
TABLE_KEY = "op/config"
VERSIONS_PREFIX = "op/version/"
REGISTRATIONS_PREFIX = "servers/"

WATCH_WAIT_MS = 1500
"""Wait of one watch. A connection that went silent is noticed this much later and a little more; a
process that can reach the store again has to go by it within three seconds."""

MIN_RETRY_PAUSE_MS = 150
"""Pause after a call that failed; the fleet's calls to a store that is busy stay few."""

MIN_WATCH_PAUSE_MS = 500
"""Pause between watches of the registrations: each endpoint changes its own every second, and a
call for each change would be a hundred a second over the fleet."""

WATCH_PAUSE_MS_PER_ENTRY = 40
MAX_WATCH_PAUSE_MS = 880
"""In a large fleet entries pause for longer, so that their calls grow slower than their number. A
leaving endpoint has to be known within two seconds, and a watch whose connection went silent adds
`WATCH_MS` and its slack: with the pause these stay within three seconds."""

MAX_RETRY_PAUSE_MS = 300
"""Longest pause; who has nothing yet pauses for `RETRY_MS` only, since it can't serve before."""


class PrefixWatcher:
    """Reads everything under a prefix, then watches for changes, for as long as it runs."""

    __slots__ = ("_pause_ms", "_is_unreachable", "_prefix", "_store", "_task", "_change_handler")

    def __init__(
        self,
        store: Store,
        prefix: str,
        handler: "PublicationHandler",
        *,
        pause_ms: Callable[[], float],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._change_handler = handler
        self._pause_ms = pause_ms
        self._is_unreachable = False
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to read."""
        self._task = asyncio.create_task(self._watch_forever())

    async def close(self) -> None:
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait((self._task,))

    async def _watch_forever(self) -> None:
        revision: int | None = None
        retry_ms = MIN_RETRY_PAUSE_MS
        while True:
            try:
                revision = await self._read_once(revision)
                retry_ms = MIN_RETRY_PAUSE_MS
            except HistoryLost:
                log(Event.HISTORY_LOST, prefix=self._prefix, revision=revision)
                revision = None
            except PlatformUnreachable as error:
                self._mark_unreachable(str(error))
                await asyncio.sleep(retry_ms / 1000)
                retry_ms = (
                    MIN_RETRY_PAUSE_MS
                    if revision is None
                    else min(MAX_RETRY_PAUSE_MS, 2 * retry_ms)
                )

    async def _read_once(self, revision: int | None) -> int:
        """Read once; return the revision up to which everything is known."""
        if revision is None:
            listing = await self._store.read_all(self._prefix)
            self._mark_reachable()
            self._change_handler.handle_listing(listing)
            return listing.revision
        await asyncio.sleep(self._pause_ms() / 1000)
        changes = await self._store.watch(self._prefix, revision, wait_ms=WATCH_WAIT_MS)
        self._mark_reachable()
        for item in changes.items:
            self._change_handler.handle_change(item)
        return max(revision, changes.revision)

    def _mark_unreachable(self, reason: str) -> None:
        if not self._is_unreachable:
            self._is_unreachable = True
            self._change_handler.handle_unreachable(f"{self._prefix}: {reason}")

    def _mark_reachable(self) -> None:
        if self._is_unreachable:
            self._is_unreachable = False
            self._change_handler.handle_reachable()


class PublicationHandler:
    """Decodes items and tells a listener; what can't be read changes nothing."""

    __slots__ = ("_listener",)

    def __init__(self, listener: RegistryListener) -> None:
        self._listener = listener

    def handle_unreachable(self, reason: str) -> None:
        """The store stopped answering; what was published stays in force."""
        log(Event.PLATFORM_LOST, reason=reason)

    def handle_reachable(self) -> None:
        """The store answers again."""
        log(Event.PLATFORM_BACK)

    def handle_listing(self, listing: KeyValueBatch) -> None:
        """Everything under the prefix was read."""
        for item in listing.items:
            self.handle_change(item)

    def handle_change(self, item: KeyValue) -> None:
        """One item was written or removed."""
        if item.value is None:
            return
        try:
            if item.key == TABLE_KEY:
                self._listener.table_published(item.value)
            elif item.key.startswith(VERSIONS_PREFIX):
                self._listener.adapter_published(*decode_version(item.value))
        except DocumentRejected as error:
            log(Event.TABLE_REJECTED, key=item.key, reason=str(error))


class RegistrationHandler(PublicationHandler):
    """Tells of registrations."""

    __slots__ = ()

    def handle_unreachable(self, reason: str) -> None:
        """The store stopped answering."""
        self._listener.registry_lost(reason)

    def handle_reachable(self) -> None:
        """The store answers again."""
        self._listener.registry_back()

    def handle_listing(self, listing: KeyValueBatch) -> None:
        """All registrations were read; an unreadable one still stands for an endpoint."""
        endpoints, unreadable = [], set()
        for item in listing.items:
            endpoint = _decode_registration(item)
            if endpoint is None:
                unreadable.add(item.key.removeprefix(REGISTRATIONS_PREFIX))
            else:
                endpoints.append(endpoint)
        self._listener.endpoints_listed(endpoints, unreadable)

    def handle_change(self, item: KeyValue) -> None:
        """One registration was written or removed."""
        if item.value is None:
            self._listener.endpoint_removed(item.key.removeprefix(REGISTRATIONS_PREFIX))
            return
        endpoint = _decode_registration(item)
        if endpoint is not None:
            self._listener.endpoint_put(endpoint)


def _decode_registration(item: KeyValue) -> object | None:
    try:
        return decode_endpoint(item.key.removeprefix(REGISTRATIONS_PREFIX), item.value)
    except DocumentRejected as error:
        log(Event.ENTRY_REJECTED, key=item.key, reason=str(error))
        return None


def watch_pause_ms(entries: int) -> float:
    """Return the pause between watches of the registrations in a fleet of *entries*."""
    return min(MAX_WATCH_PAUSE_MS, max(MIN_WATCH_PAUSE_MS, WATCH_PAUSE_MS_PER_ENTRY * entries))


class StoreWatcher:
    """Follows what is published and the registrations; implements `Watcher`."""

    __slots__ = ("_watchers", "_stores")

    def __init__(
        self, address: str, listener: RegistryListener, *, count_entries: Callable[[], int]
    ) -> None:
        """*count_entries* tells how many entries read the store."""
        # A connection each: a waiting watch keeps its connection to itself.
        self._stores = (Store(address), Store(address))
        self._watchers = (
            PrefixWatcher(
                self._stores[0],
                PUBLICATIONS_PREFIX,
                PublicationHandler(listener),
                pause_ms=lambda: 0.0,
            ),
            PrefixWatcher(
                self._stores[1],
                REGISTRATIONS_PREFIX,
                RegistrationHandler(listener),
                pause_ms=lambda: watch_pause_ms(count_entries()),
            ),
        )

    def start(self) -> None:
        """Begin to read."""
        for follower in self._watchers:
            follower.start()

    async def close(self) -> None:
        """Stop reading."""
        for follower in self._watchers:
            await follower.close()
        for store in self._stores:
            store.close()
