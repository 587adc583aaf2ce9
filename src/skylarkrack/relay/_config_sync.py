"""Configuration sync between entries: an entry fetches a newer configuration from a peer.

A newer configuration replaces an older one from any source. An entry that is cut off from the
platform, or that starts while the platform is down, then does not serve by an older one.
"""

import asyncio
from collections.abc import Callable

import msgpack

from skylarkrack._errors import LinkLost
from skylarkrack._events import Event, log
from skylarkrack._tasks import Tasks
from skylarkrack.core.relay import AdapterPublished, Dispatcher
from skylarkrack.web import HttpClient

FETCH_TIMEOUT_MS = 1000.0
"""Bound on each step of a fetch from a peer; beyond it the fetch fails.

Entries of a region respond in milliseconds, so that a longer silence means a broken path.
"""

FETCH_TOTAL_MS = 1500.0
"""Bound on a whole fetch. No other peer is asked meanwhile, and a change has to be in force within
two seconds of the first report of it."""

OWN_READ_MS = 250.0
"""Time for this entry's own read of the store before a newer configuration is fetched from a peer.

The store answers all entries at once, while a peer that many fetch from may have a slow link.
"""


class ConfigSync:
    """Holds the configuration document in force, and fetches a newer one from a peer.

    *apply* is called with each fetched document; it raises `ValueError` for an invalid one.
    *request_read* is called first, to read the store.
    """

    __slots__ = (
        "_apply",
        "_dispatcher",
        "_document",
        "_is_fetching",
        "_tasks",
        "request_read",
    )

    def __init__(
        self, dispatcher: Dispatcher, *, tasks: Tasks, apply: Callable[[bytes], None]
    ) -> None:
        self._dispatcher = dispatcher
        self._tasks = tasks
        self._apply = apply
        self._document = b""
        self._is_fetching = False
        self.request_read: Callable[[], None] = lambda: None

    def store(self, document: bytes) -> None:
        """Store the document of the configuration in force, for peers to fetch."""
        self._document = document

    def export(self) -> bytes:
        """Return msgpack of [document, rows of [model, adapter, version]], which peers fetch."""
        rows = [[*name, version] for name, version in self._dispatcher.versions().items()]
        return msgpack.packb([self._document, rows])

    def fetch_if_newer(self, status: str, table_version: int, announced: int) -> None:
        """Start a fetch from the peer whose status address is *status* if it has something newer.

        *table_version* and *announced* are the peer's configuration version and its sum of
        announced adapter versions. Only one fetch runs at a time. It begins after `OWN_READ_MS`, if
        the store was not read until then.
        """
        if status and not self._is_fetching and self._is_newer(table_version, announced):
            self._is_fetching = True
            self._tasks.spawn(self._fetch(status, table_version, announced))

    def _is_newer(self, table_version: int, announced: int) -> bool:
        table = self._dispatcher.table
        own_version = 0 if table is None else table.version
        return table_version > own_version or announced > self._dispatcher.version_sum

    async def _fetch(self, status: str, table_version: int, announced: int) -> None:
        client = HttpClient(status)
        try:
            self.request_read()
            await asyncio.sleep(OWN_READ_MS / 1000)
            if not self._is_newer(table_version, announced):
                return
            async with asyncio.timeout(FETCH_TOTAL_MS / 1000):
                response = await client.request("GET", "/published", timeout_ms=FETCH_TIMEOUT_MS)
                body = await response.read_body(timeout_ms=FETCH_TIMEOUT_MS)
            document, rows = msgpack.unpackb(body)
            log(Event.TABLE_FETCHED, peer=status, bytes=len(document), versions=len(rows))
            if document:
                self._apply(document)
            for model, adapter, version in rows:
                self._dispatcher.observe(
                    AdapterPublished(model=model, adapter=adapter, version=version)
                )
        except (LinkLost, TimeoutError, ValueError, TypeError) as error:
            log(Event.TABLE_REJECTED, key=f"peer {status}", reason=repr(error))
        finally:
            client.close()
            self._is_fetching = False
