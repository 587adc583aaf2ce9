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
from skylarkrack.platform._store import HistoryLost, Item, Listing, Store
from skylarkrack.relay import RegistryListener

PUBLISHED = "op/"
TABLE_KEY = "op/config"
VERSIONS = "op/version/"
REGISTRATIONS = "servers/"

WATCH_MS = 1500
"""Wait of one watch. A connection that went silent is noticed this much later and a little more; a
process that can reach the store again has to go by it within three seconds."""

RETRY_MS = 150
"""Pause after a call that failed; the fleet's calls to a store that is busy stay few."""

GATHER_MS = 500
"""Pause between watches of the registrations: each endpoint changes its own every second, and a
call for each change would be a hundred a second over the fleet."""

GATHER_MS_PER_ENTRY = 40
MOST_GATHER_MS = 880
"""In a large fleet entries pause for longer, so that their calls grow slower than their number. A
leaving endpoint has to be known within two seconds, and a watch whose connection went silent adds
`WATCH_MS` and its slack: with the pause these stay within three seconds."""

MAX_RETRY_MS = 300
"""Longest pause; who has nothing yet pauses for `RETRY_MS` only, since it can't serve before."""


class Follower:
    """Reads everything under a prefix, then watches for changes, for as long as it runs."""

    __slots__ = ("_gather_ms", "_is_away", "_prefix", "_store", "_task", "_tell")

    def __init__(
        self, store: Store, prefix: str, tell: "Teller", *, gather_ms: Callable[[], float]
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._tell = tell
        self._gather_ms = gather_ms
        self._is_away = False
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to read."""
        self._task = asyncio.create_task(self._follow())

    async def close(self) -> None:
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait((self._task,))

    async def _follow(self) -> None:
        revision: int | None = None
        retry_ms = RETRY_MS
        while True:
            try:
                revision = await self._step(revision)
                retry_ms = RETRY_MS
            except HistoryLost:
                log(Event.HISTORY_LOST, prefix=self._prefix, revision=revision)
                revision = None
            except PlatformUnreachable as error:
                self._lost(str(error))
                await asyncio.sleep(retry_ms / 1000)
                retry_ms = RETRY_MS if revision is None else min(MAX_RETRY_MS, 2 * retry_ms)

    async def _step(self, revision: int | None) -> int:
        """Read once; return the revision up to which everything is known."""
        if revision is None:
            listing = await self._store.read_all(self._prefix)
            self._back()
            self._tell.listed(listing)
            return listing.revision
        await asyncio.sleep(self._gather_ms() / 1000)
        changes = await self._store.watch(self._prefix, revision, wait_ms=WATCH_MS)
        self._back()
        for item in changes.items:
            self._tell.changed(item)
        return max(revision, changes.revision)

    def _lost(self, reason: str) -> None:
        if not self._is_away:
            self._is_away = True
            self._tell.lost(f"{self._prefix}: {reason}")

    def _back(self) -> None:
        if self._is_away:
            self._is_away = False
            self._tell.back()


class Teller:
    """Decodes items and tells a listener; what can't be read changes nothing."""

    __slots__ = ("_listener",)

    def __init__(self, listener: RegistryListener) -> None:
        self._listener = listener

    def lost(self, reason: str) -> None:
        """The store stopped answering; what was published stays in force."""
        log(Event.PLATFORM_LOST, reason=reason)

    def back(self) -> None:
        """The store answers again."""
        log(Event.PLATFORM_BACK)

    def listed(self, listing: Listing) -> None:
        """Everything under the prefix was read."""
        for item in listing.items:
            self.changed(item)

    def changed(self, item: Item) -> None:
        """One item was written or removed."""
        if item.value is None:
            return
        try:
            if item.key == TABLE_KEY:
                self._listener.table_published(item.value)
            elif item.key.startswith(VERSIONS):
                self._listener.adapter_published(*decode_version(item.value))
        except DocumentRejected as error:
            log(Event.TABLE_REJECTED, key=item.key, reason=str(error))


class RegistrationTeller(Teller):
    """Tells of registrations."""

    __slots__ = ()

    def lost(self, reason: str) -> None:
        """The store stopped answering."""
        self._listener.registry_lost(reason)

    def back(self) -> None:
        """The store answers again."""
        self._listener.registry_back()

    def listed(self, listing: Listing) -> None:
        """All registrations were read; an unreadable one still stands for an endpoint."""
        endpoints, unreadable = [], set()
        for item in listing.items:
            endpoint = _endpoint_of(item)
            if endpoint is None:
                unreadable.add(item.key.removeprefix(REGISTRATIONS))
            else:
                endpoints.append(endpoint)
        self._listener.endpoints_listed(endpoints, unreadable)

    def changed(self, item: Item) -> None:
        """One registration was written or removed."""
        if item.value is None:
            self._listener.endpoint_removed(item.key.removeprefix(REGISTRATIONS))
            return
        endpoint = _endpoint_of(item)
        if endpoint is not None:
            self._listener.endpoint_put(endpoint)


def _endpoint_of(item: Item) -> object | None:
    try:
        return decode_endpoint(item.key.removeprefix(REGISTRATIONS), item.value)
    except DocumentRejected as error:
        log(Event.ENTRY_REJECTED, key=item.key, reason=str(error))
        return None


def gather_ms(entries: int) -> float:
    """Return the pause between watches of the registrations in a fleet of *entries*."""
    return min(MOST_GATHER_MS, max(GATHER_MS, GATHER_MS_PER_ENTRY * entries))


class StoreWatcher:
    """Follows what is published and the registrations; implements `Watcher`."""

    __slots__ = ("_followers", "_stores")

    def __init__(
        self, address: str, listener: RegistryListener, *, count_entries: Callable[[], int]
    ) -> None:
        """*count_entries* tells how many entries read the store."""
        # A connection each: a waiting watch keeps its connection to itself.
        self._stores = (Store(address), Store(address))
        self._followers = (
            Follower(self._stores[0], PUBLISHED, Teller(listener), gather_ms=lambda: 0.0),
            Follower(
                self._stores[1],
                REGISTRATIONS,
                RegistrationTeller(listener),
                gather_ms=lambda: gather_ms(count_entries()),
            ),
        )

    def start(self) -> None:
        """Begin to read."""
        for follower in self._followers:
            follower.start()

    async def close(self) -> None:
        """Stop reading."""
        for follower in self._followers:
            await follower.close()
        for store in self._stores:
            store.close()
