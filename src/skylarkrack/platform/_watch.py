"""Watches the store, and notifies a listener of published documents and of registrations."""

import asyncio
import reprlib
from collections.abc import Callable
from dataclasses import replace

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import PlatformUnreachable
from skylarkrack._events import Event, log
from skylarkrack._tasks import FAILED_PAUSE_MS
from skylarkrack.core.relay import Endpoint, FeedKind, FeedStep, StepUse, use_of
from skylarkrack.platform._documents import (
    DocumentRejected,
    decode_endpoint,
    decode_version,
)
from skylarkrack.platform._evacuation_keys import evacuated_domain, is_evacuation
from skylarkrack.platform._history import StoreHistory
from skylarkrack.platform._settings import DEFAULT_HEARTBEAT_MS, DEFAULT_HISTORY_MS
from skylarkrack.platform._store import EraRecord, HistoryLost, KeyValue, KeyValueBatch, Store
from skylarkrack.relay import RegistryListener, StepExchange

PUBLICATIONS_PREFIX = "op/"
TABLE_KEY = "op/config"
VERSIONS_PREFIX = "op/version/"
REGISTRATIONS_PREFIX = "servers/"

WATCH_WAIT_MS = 1000
"""Time for which the store may hold one watch without changes.

A silent connection is detected only after this wait and `WATCH_SLACK_MS`. A process that can reach
the store again has to act on its current state within three seconds. A follower learns of a silent
reader only after more than this wait, and has to have a change within two seconds.
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


FOLLOWER_RETRY_MS = 1000
"""Pause after a failed call of an entry that is not the reader of its failure domain.

The reader calls more often, and passes on that the store answers again.
"""

MAX_REJECTED_ENTRIES = 1000
"""Entries remembered as rejected; beyond it all are forgotten, and logged once more."""

MAX_LOGGED_KEY = 200
"""Characters of a rejected entry's key that are logged."""

SILENT_AFTER_MS = {FeedKind.REGISTRATIONS: 1200.0, FeedKind.PUBLICATIONS: 1400.0}
"""Silence of the reader after which an entry reads the store itself.

Registrations change several times a second, so that a reader passes something on after each pause.
Publications are passed on after each watch at the latest. The rest of the two seconds within which
a change has to be in force is for the read and for an entry that is slow.
"""


class PrefixWatcher:
    """Reads all keys under a prefix, then follows their changes until it is closed.

    An entry that reads the store for its failure domain watches the keys and passes on what
    changed. Another one applies what its reader passes on, and watches the keys itself when that is
    not enough.
    """

    __slots__ = (
        "_change_handler",
        "_era",
        "_exchange",
        "_failure",
        "_is_unreachable",
        "_kind",
        "_pause_ms",
        "_prefix",
        "_restored_ms",
        "_revision",
        "_step_received_ms",
        "_store",
        "_task",
    )

    def __init__(
        self,
        store: Store,
        prefix: str,
        handler: "PublicationHandler",
        *,
        pause_ms: Callable[[], float],
        exchange: StepExchange,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._kind = handler.kind
        self._change_handler = handler
        self._pause_ms = pause_ms
        self._exchange = exchange
        self._is_unreachable = False
        self._era: int | None = None
        self._failure: str | None = None
        self._restored_ms: float | None = None
        self._revision: int | None = None
        self._step_received_ms = float("-inf")
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start reading."""
        self._task = asyncio.create_task(self._watch_forever())

    async def close(self) -> None:
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait((self._task,))

    @property
    def position(self) -> tuple[int, int] | None:
        """The era and the revision that were read last, or None."""
        return None if self._revision is None else (self._era, self._revision)

    async def _watch_forever(self) -> None:
        retry_ms = MIN_RETRY_PAUSE_MS
        while True:
            try:
                self._revision = await self._read_once(self._revision)
                retry_ms = MIN_RETRY_PAUSE_MS
            except HistoryLost:
                log(Event.HISTORY_LOST, prefix=self._prefix, revision=self._revision)
                self._revision = None
            except PlatformUnreachable as error:
                self._mark_unreachable(str(error))
                if self._revision is None:
                    retry_ms = MIN_RETRY_PAUSE_MS
                    await asyncio.sleep(retry_ms / 1000)
                elif self._exchange.is_reader():
                    await asyncio.sleep(retry_ms / 1000)
                    retry_ms = min(MAX_RETRY_PAUSE_MS, 2 * retry_ms)
                else:
                    self._revision = await self._follow_for(FOLLOWER_RETRY_MS, self._revision)
            except Exception as error:  # noqa: BLE001 - the reading must not end
                self._log_failure(reprlib.repr(error), self._revision)
                self._revision = None
                await asyncio.sleep(FAILED_PAUSE_MS / 1000)

    async def _read_once(self, revision: int | None) -> int:
        """List the keys, or read or receive changes after *revision*; return the new revision."""
        if revision is None:
            return await self._list()
        if self._exchange.is_reader():
            await asyncio.sleep(self._pause_ms() / 1000)
            return await self._watch(revision)
        silent_in_ms = self._step_received_ms + SILENT_AFTER_MS[self._kind] - monotonic_ms()
        wait_ms = silent_in_ms if silent_in_ms > 0 else self._pause_ms()
        step = await self._exchange.next_step(self._kind, timeout_ms=wait_ms)
        use = None if step is None else use_of(step, era=self._era, revision=revision)
        if use in (StepUse.APPLY, StepUse.KNOWN):
            return self._apply(step, revision)
        if use is StepUse.IGNORE:
            return revision
        if use is StepUse.READ:
            self._step_received_ms = monotonic_ms()
        return await self._watch(revision)

    async def _list(self) -> int:
        asked_ms = monotonic_ms()
        listing = await self._store.read_all(self._prefix)
        self._mark_reachable()
        if self._era is not None and listing.era != self._era:
            log(Event.STORE_REWOUND, prefix=self._prefix, era=listing.era, before=self._era)
            self._change_handler.handle_rewind()
        self._era = listing.era
        self._change_handler.handle_listing(listing)
        self._change_handler.handle_confirmed(asked_ms)
        return listing.revision

    async def _watch(self, revision: int) -> int:
        # The answer may have waited here: only that it is younger than the question is certain.
        asked_ms = monotonic_ms()
        changes = await self._store.watch(self._prefix, revision, wait_ms=WATCH_WAIT_MS)
        self._mark_reachable()
        if changes.era != self._era:
            # The revision of the last read means something else in this era.
            raise HistoryLost
        step = self._change_handler.handle_changes(changes, base=revision)
        self._change_handler.handle_confirmed(asked_ms)
        self._exchange.publish(replace(step, restored_ago_ms=self._restored_ago_ms()))
        return step.revision

    async def _follow_for(self, time_ms: float, revision: int) -> int:
        """Wait until the store may be called again; return the revision reached.

        What the reader of the failure domain passes on ends the wait.
        """
        step = await self._exchange.next_step(self._kind, timeout_ms=time_ms)
        use = None if step is None else use_of(step, era=self._era, revision=revision)
        return self._apply(step, revision) if use in (StepUse.APPLY, StepUse.KNOWN) else revision

    def _apply(self, step: FeedStep, revision: int) -> int:
        self._step_received_ms = monotonic_ms()
        self._mark_reachable()
        if step.revision > revision:
            self._change_handler.handle_step(step)
            # A step without anything new may have been read long ago.
            self._change_handler.handle_confirmed(monotonic_ms())
        return max(revision, step.revision)

    def _log_failure(self, reason: str, revision: int | None) -> None:
        """Log an error that nothing else handles, once as long as it stays the same."""
        if reason != self._failure:
            self._failure = reason
            log(Event.WATCH_FAILED, prefix=self._prefix, revision=revision, error=reason)

    def _restored_ago_ms(self) -> float | None:
        return None if self._restored_ms is None else monotonic_ms() - self._restored_ms

    def _mark_unreachable(self, reason: str) -> None:
        if not self._is_unreachable:
            self._is_unreachable = True
            self._change_handler.handle_unreachable(f"{self._prefix}: {reason}")

    def _mark_reachable(self) -> None:
        if self._is_unreachable:
            self._is_unreachable = False
            self._restored_ms = monotonic_ms()
            self._change_handler.handle_reachable()


class RejectedEntries:
    """The entries of the store that can't be used, so that each is logged once for each reason."""

    __slots__ = ("_reason_by_key",)

    def __init__(self) -> None:
        self._reason_by_key: dict[str, str] = {}

    def add(self, event: Event, key: str, reason: str) -> None:
        """Log a rejected entry, unless it was rejected for the same reason the last time."""
        if self._reason_by_key.get(key) == reason:
            return
        if len(self._reason_by_key) >= MAX_REJECTED_ENTRIES:
            self._reason_by_key.clear()
        self._reason_by_key[key] = reason
        log(event, key=key[:MAX_LOGGED_KEY], reason=reason)

    def discard(self, key: str) -> None:
        """Forget an entry that was removed, or that can be used."""
        self._reason_by_key.pop(key, None)


class PublicationHandler:
    """Decodes published documents and notifies a listener; invalid documents are only logged."""

    __slots__ = ("_listener", "_rejected")

    kind = FeedKind.PUBLICATIONS

    def __init__(self, listener: RegistryListener) -> None:
        self._listener = listener
        self._rejected = RejectedEntries()

    def handle_unreachable(self, reason: str) -> None:
        """Log that the store stopped answering; published documents stay in force."""
        log(Event.PLATFORM_LOST, reason=reason)

    def handle_reachable(self) -> None:
        """Log that the store answers again."""
        log(Event.PLATFORM_BACK)

    def handle_confirmed(self, as_of_ms: float) -> None:
        """Do nothing: a document stays in force until a newer one is read."""

    def handle_rewind(self) -> None:
        """Do nothing: a document of an older version never replaces a newer one."""

    def handle_listing(self, listing: KeyValueBatch) -> None:
        """Handle a listing of all keys under the prefix."""
        revision_by_domain = {}
        for key_value in listing.items:
            if is_evacuation(key_value.key):
                domain = evacuated_domain(key_value.key)
                if domain is not None:
                    revision_by_domain[domain] = key_value.revision or listing.revision
        self._listener.evacuations_listed(
            revision_by_domain, revision=listing.revision, era=listing.era
        )
        for key_value in listing.items:
            self.handle_change(key_value)

    def handle_changes(self, changes: KeyValueBatch, *, base: int) -> FeedStep:
        """Handle what changed after *base*; return the step to pass on.

        It holds announced versions. Configurations are too large for a step, and evacuations are
        read by each entry: the fields of a step are those of earlier builds.
        """
        for key_value in changes.items:
            domain = evacuated_domain(key_value.key) if is_evacuation(key_value.key) else None
            if domain is not None:
                self._listener.evacuation_published(
                    domain,
                    key_value.value is not None,
                    revision=key_value.revision or changes.revision,
                    era=changes.era,
                )
        versions = [self.handle_change(key_value) for key_value in changes.items]
        return FeedStep(
            kind=self.kind,
            era=changes.era,
            base=base,
            revision=max(base, changes.revision),
            is_complete=None not in versions,
            versions=tuple(filter(None, versions)),
        )

    def handle_step(self, step: FeedStep) -> None:
        """Handle versions that a peer has read."""
        for version in step.versions:
            self._listener.adapter_published(*version)

    def handle_change(self, key_value: KeyValue) -> tuple[str, str, int] | None:
        """Handle one written or removed key; removed documents stay in force.

        Returns (model, adapter, version) for an announced version, else None.
        """
        if key_value.value is None:
            self._rejected.discard(key_value.key)
            return None
        version = None
        try:
            if key_value.key == TABLE_KEY:
                self._listener.table_published(key_value.value)
            elif key_value.key.startswith(VERSIONS_PREFIX):
                version = decode_version(key_value.value)
                self._listener.adapter_published(*version)
        except DocumentRejected as error:
            self._rejected.add(Event.TABLE_REJECTED, key_value.key, str(error))
            return None
        self._rejected.discard(key_value.key)
        return version


class RegistrationHandler(PublicationHandler):
    """Decodes registrations and notifies a listener of them."""

    __slots__ = ()

    kind = FeedKind.REGISTRATIONS

    def handle_unreachable(self, reason: str) -> None:
        """Notify the listener that the store stopped answering."""
        self._listener.registry_lost(reason)

    def handle_reachable(self) -> None:
        """Notify the listener that the store answers again."""
        self._listener.registry_restored()

    def handle_confirmed(self, as_of_ms: float) -> None:
        """Notify the listener that all registrations as of a time were read."""
        self._listener.registrations_confirmed(as_of_ms)

    def handle_rewind(self) -> None:
        """Notify the listener that the registrations are those of an older copy."""
        self._listener.registry_rewound()

    def handle_listing(self, listing: KeyValueBatch) -> None:
        """Handle a listing of all registrations.

        Invalid registrations are passed on by their ids, since their endpoints still exist.
        """
        endpoints, unreadable = [], set()
        for key_value in listing.items:
            endpoint = self._decode(key_value)
            if endpoint is None:
                unreadable.add(key_value.key.removeprefix(REGISTRATIONS_PREFIX))
            else:
                endpoints.append(endpoint)
        self._listener.endpoints_listed(endpoints, unreadable)

    def handle_changes(self, changes: KeyValueBatch, *, base: int) -> FeedStep:
        """Handle what changed after *base*; return the step to pass on.

        An invalid registration changes nothing.
        """
        endpoint_by_id: dict[str, Endpoint] = {}
        removed: dict[str, None] = {}
        for key_value in changes.items:
            endpoint_id = key_value.key.removeprefix(REGISTRATIONS_PREFIX)
            if key_value.value is None:
                self._rejected.discard(key_value.key)
                self._listener.endpoint_removed(endpoint_id)
                endpoint_by_id.pop(endpoint_id, None)
                removed[endpoint_id] = None
                continue
            endpoint = self._decode(key_value)
            if endpoint is not None:
                self._listener.endpoint_put(endpoint)
                endpoint_by_id[endpoint_id] = endpoint
        return FeedStep(
            kind=self.kind,
            era=changes.era,
            base=base,
            revision=max(base, changes.revision),
            is_complete=True,
            endpoints=tuple(endpoint_by_id.values()),
            removed=tuple(removed),
        )

    def _decode(self, key_value: KeyValue) -> Endpoint | None:
        """Return the endpoint in a registration, or None if it can't be used."""
        endpoint_id = key_value.key.removeprefix(REGISTRATIONS_PREFIX)
        try:
            endpoint = decode_endpoint(endpoint_id, key_value.value)
        except DocumentRejected as error:
            self._rejected.add(Event.ENTRY_REJECTED, key_value.key, str(error))
            return None
        self._rejected.discard(key_value.key)
        return endpoint

    def handle_step(self, step: FeedStep) -> None:
        """Handle registrations that a peer has read."""
        if step.restored_ago_ms is not None:
            self._listener.registry_restored_before(step.restored_ago_ms)
        for endpoint in step.endpoints:
            self._listener.endpoint_put(endpoint)
        for endpoint_id in step.removed:
            self._listener.endpoint_removed(endpoint_id)


def watch_pause_ms(entries: int) -> float:
    """Return the pause in ms between watches of the registrations in a fleet of *entries*."""
    return min(MAX_WATCH_PAUSE_MS, max(MIN_WATCH_PAUSE_MS, WATCH_PAUSE_MS_PER_ENTRY * entries))


class StoreWatcher:
    """Watches published documents and registrations; implements `Watcher`.

    *history* reads the registrations that were written before.
    """

    __slots__ = ("_stores", "_watchers", "history")

    def __init__(
        self,
        address: str,
        listener: RegistryListener,
        *,
        count_entries: Callable[[], int],
        exchange: StepExchange,
        heartbeat_ms: float = DEFAULT_HEARTBEAT_MS,
        history_ms: float = DEFAULT_HISTORY_MS,
    ) -> None:
        """*count_entries* returns the number of live entries of the fleet.

        *exchange* connects this entry with the others of its failure domain. Endpoints register
        every *heartbeat_ms*, and the store keeps its history for *history_ms* or less.
        """
        # One connection for each prefix, since a watch occupies its connection while it waits.
        eras = EraRecord()
        self._stores = (Store(address, eras), Store(address, eras))
        self._watchers = (
            PrefixWatcher(
                self._stores[0],
                PUBLICATIONS_PREFIX,
                PublicationHandler(listener),
                pause_ms=lambda: 0.0,
                exchange=exchange,
            ),
            PrefixWatcher(
                self._stores[1],
                REGISTRATIONS_PREFIX,
                RegistrationHandler(listener),
                pause_ms=lambda: watch_pause_ms(count_entries()),
                exchange=exchange,
            ),
        )
        self.history = StoreHistory(
            Store(address, eras),
            REGISTRATIONS_PREFIX,
            position=lambda: self._watchers[1].position,
            heartbeat_ms=heartbeat_ms,
            history_ms=history_ms,
        )

    def start(self) -> None:
        """Start reading."""
        for watcher in self._watchers:
            watcher.start()

    async def close(self) -> None:
        """Stop reading."""
        for watcher in self._watchers:
            await watcher.close()
        for store in (*self._stores, self.history):
            store.close()
