"""Watches the store, and notifies a listener of published documents and of registrations."""

import asyncio
from collections.abc import Callable

from skylarkrack._errors import PlatformUnreachable
from skylarkrack._events import Event, log
from skylarkrack.platform._documents import (
    DocumentRejected,
    decode_endpoint,
    decode_version,
)
from skylarkrack.platform._store import EraRecord, HistoryLost, KeyValue, KeyValueBatch, Store
from skylarkrack.relay import RegistryListener

PUBLICATIONS_PREFIX = "op/"
TABLE_KEY = "op/config"
VERSIONS_PREFIX = "op/version/"
REGISTRATIONS_PREFIX = "servers/"

WATCH_WAIT_MS = 1500
"""Time for which the store may hold one watch without changes.

A silent connection is detected only after this wait and `WATCH_SLACK_MS`. A process that can reach
the store again has to act on its current state within three seconds.
"""

MIN_RETRY_PAUSE_MS = 150
"""Pause after a failed call, which keeps the fleet's calls to an overloaded store few."""

MIN_WATCH_PAUSE_MS = 500
"""Shortest pause between watches of the registrations, which collects changes into one call.

Each endpoint updates its registration every second; one call for each update would make a hundred
calls a second over the fleet.
"""

WATCH_PAUSE_MS_PER_ENTRY = 40
"""Pause between watches of the registrations for each entry in the fleet.

Entries of a large fleet pause longer, so that their calls grow more slowly than their number.
"""

MAX_WATCH_PAUSE_MS = 880
"""Longest pause between watches of the registrations.

A leaving endpoint has to be known within two seconds. On a silent connection `WATCH_WAIT_MS` and
`WATCH_SLACK_MS` are added, and together with the pause these stay within three seconds.
"""

MAX_RETRY_PAUSE_MS = 300
"""Longest pause after failed calls; each failure doubles the pause up to this bound.

Before the first successful read the pause stays at `MIN_RETRY_PAUSE_MS`, since a process can't
serve without that read.
"""


class PrefixWatcher:
    """Reads all keys under a prefix, then watches for changes until it is closed."""

    __slots__ = (
        "_era",
        "_pause_ms",
        "_is_unreachable",
        "_prefix",
        "_store",
        "_task",
        "_change_handler",
    )

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
        self._era: int | None = None
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start reading."""
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
        """Do one listing, or one watch after *revision*; return the revision that was reached."""
        if revision is None:
            listing = await self._store.read_all(self._prefix)
            self._mark_reachable()
            if self._era is not None and listing.era != self._era:
                log(Event.STORE_REWOUND, prefix=self._prefix, era=listing.era, before=self._era)
                self._change_handler.handle_rewind()
            self._era = listing.era
            self._change_handler.handle_listing(listing)
            return listing.revision
        await asyncio.sleep(self._pause_ms() / 1000)
        changes = await self._store.watch(self._prefix, revision, wait_ms=WATCH_WAIT_MS)
        self._mark_reachable()
        if changes.era != self._era:
            # The revision of the last read means something else in this era.
            raise HistoryLost
        for key_value in changes.items:
            self._change_handler.handle_change(key_value)
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
    """Decodes published documents and notifies a listener; invalid documents are only logged."""

    __slots__ = ("_listener",)

    def __init__(self, listener: RegistryListener) -> None:
        self._listener = listener

    def handle_unreachable(self, reason: str) -> None:
        """Log that the store stopped answering; published documents stay in force."""
        log(Event.PLATFORM_LOST, reason=reason)

    def handle_reachable(self) -> None:
        """Log that the store answers again."""
        log(Event.PLATFORM_BACK)

    def handle_rewind(self) -> None:
        """Do nothing: a document of an older version never replaces a newer one."""

    def handle_listing(self, listing: KeyValueBatch) -> None:
        """Handle a listing of all keys under the prefix."""
        for key_value in listing.items:
            self.handle_change(key_value)

    def handle_change(self, key_value: KeyValue) -> None:
        """Handle one written or removed key; removed documents stay in force."""
        if key_value.value is None:
            return
        try:
            if key_value.key == TABLE_KEY:
                self._listener.table_published(key_value.value)
            elif key_value.key.startswith(VERSIONS_PREFIX):
                self._listener.adapter_published(*decode_version(key_value.value))
        except DocumentRejected as error:
            log(Event.TABLE_REJECTED, key=key_value.key, reason=str(error))


class RegistrationHandler(PublicationHandler):
    """Decodes registrations and notifies a listener of them."""

    __slots__ = ()

    def handle_unreachable(self, reason: str) -> None:
        """Notify the listener that the store stopped answering."""
        self._listener.registry_lost(reason)

    def handle_reachable(self) -> None:
        """Notify the listener that the store answers again."""
        self._listener.registry_restored()

    def handle_rewind(self) -> None:
        """Notify the listener that the registrations are those of an older copy."""
        self._listener.registry_rewound()

    def handle_listing(self, listing: KeyValueBatch) -> None:
        """Handle a listing of all registrations.

        Invalid registrations are passed on by their ids, since their endpoints still exist.
        """
        endpoints, unreadable = [], set()
        for key_value in listing.items:
            endpoint = _decode_registration(key_value)
            if endpoint is None:
                unreadable.add(key_value.key.removeprefix(REGISTRATIONS_PREFIX))
            else:
                endpoints.append(endpoint)
        self._listener.endpoints_listed(endpoints, unreadable)

    def handle_change(self, key_value: KeyValue) -> None:
        """Handle one written or removed registration; an invalid one changes nothing."""
        if key_value.value is None:
            self._listener.endpoint_removed(key_value.key.removeprefix(REGISTRATIONS_PREFIX))
            return
        endpoint = _decode_registration(key_value)
        if endpoint is not None:
            self._listener.endpoint_put(endpoint)


def _decode_registration(key_value: KeyValue) -> object | None:
    try:
        return decode_endpoint(key_value.key.removeprefix(REGISTRATIONS_PREFIX), key_value.value)
    except DocumentRejected as error:
        log(Event.ENTRY_REJECTED, key=key_value.key, reason=str(error))
        return None


def watch_pause_ms(entries: int) -> float:
    """Return the pause in ms between watches of the registrations in a fleet of *entries*."""
    return min(MAX_WATCH_PAUSE_MS, max(MIN_WATCH_PAUSE_MS, WATCH_PAUSE_MS_PER_ENTRY * entries))


class StoreWatcher:
    """Watches published documents and registrations; implements `Watcher`."""

    __slots__ = ("_watchers", "_stores")

    def __init__(
        self, address: str, listener: RegistryListener, *, count_entries: Callable[[], int]
    ) -> None:
        """*count_entries* returns the number of entries that read the store."""
        # One connection for each prefix, since a watch occupies its connection while it waits.
        eras = EraRecord()
        self._stores = (Store(address, eras), Store(address, eras))
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
        """Start reading."""
        for watcher in self._watchers:
            watcher.start()

    async def close(self) -> None:
        """Stop reading."""
        for watcher in self._watchers:
            await watcher.close()
        for store in self._stores:
            store.close()
