"""A stand-in for the key-value store of the users' platform, read and watched over HTTP."""

import asyncio
import base64
from dataclasses import dataclass

from skylarkrack.web import Request, Responder
from standins._base import StandIn, write_json

MAX_PAGE_ITEMS = 3
"""Items in one answer to a range; the caller reads further items with another request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreFaults:
    """Faults of the store, set by name through `/faults`.

    *status* answers every request with this status; 0 turns it off. *silent* never answers.
    *lose_answers* closes the connection instead of answering a watch, if not 0. *history_lost*
    answers a watch with status 410, as for a revision that is no longer kept. *garbage* answers
    with incomplete JSON.
    """

    status: int = 0
    silent: bool = False
    lose_answers: int = 0
    history_lost: bool = False
    garbage: bool = False


class PlatformStore(StandIn):
    """Holds items with revisions, which tests write by `put` and `remove`.

    `calls` lists the paths of all requests received, and `watched` the prefixes of the watches.
    `max_events` bounds the events in one answer to a watch.
    """

    def __init__(self) -> None:
        super().__init__(StoreFaults())
        self.revision = 1
        self.calls: list[str] = []
        self.watched: list[str] = []
        self._item_by_key: dict[str, dict] = {}
        self._log: list[dict] = []
        self._kept_after = 0
        self.max_events = 10_000
        self._changed = asyncio.Event()
        self.era = 1

    def rewind(self, revision: int) -> None:
        """Restore the state at an earlier revision, as after a loss of the newest writes.

        The era rises by one, and the revisions after *revision* are given out again.
        """
        self.era += 1
        self.revision = revision
        self._log = [event for event in self._log if event["rev"] <= revision]
        self._item_by_key = {}
        for event in self._log:
            if event.get("removed"):
                self._item_by_key.pop(event["key"], None)
            else:
                self._item_by_key[event["key"]] = event
        self._notify()

    def keep_after(self, revision: int) -> None:
        """Discard the history up to a revision."""
        self._kept_after = revision

    def put(self, key: str, value: bytes) -> None:
        """Store *value* under *key* at the next revision and notify watches."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "create-revision": self.revision,
            "lease": 0,
        }
        self._item_by_key[key] = item
        self._append_event(item)

    def remove(self, key: str) -> None:
        """Remove the item of *key* at the next revision and notify watches.

        Raises `KeyError` if there is none.
        """
        self.revision += 1
        del self._item_by_key[key]
        self._append_event({"key": key, "rev": self.revision, "removed": True})

    def _append_event(self, event: dict) -> None:
        self._log.append(event)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a read of a key range (`/kv-range`, in pages) or a watch (any other path)."""
        self.calls.append(request.path)
        if self.faults.silent:
            await asyncio.Event().wait()
        if self.faults.status:
            write_json(responder, {}, status=self.faults.status)
            return
        if self.faults.garbage:
            responder.respond(200, [], b"[1, 2")
            return
        query = dict(
            parameter.split("=") for parameter in request.target.partition("?")[2].split("&")
        )
        prefix = query["prefix"].replace("%2F", "/")
        if request.path == "/kv-range":
            self._answer_range(responder, prefix, query.get("after", "").replace("%2F", "/"))
        else:
            self.watched.append(prefix)
            await self._answer_watch(responder, prefix, int(query["after"]), int(query["wait-ms"]))

    def _answer_range(self, responder: Responder, prefix: str, after: str) -> None:
        keys = sorted(k for k in self._item_by_key if k.startswith(prefix) and k > after)
        items = [self._item_by_key[key] for key in keys[:MAX_PAGE_ITEMS]]
        has_more = len(keys) > MAX_PAGE_ITEMS
        self._write(responder, {"items": items, "has-more": has_more, "as-of": self.revision})

    def _write(self, responder: Responder, page: dict, *, status: int = 200) -> None:
        era = [(b"store-era", str(self.era).encode())]
        write_json(responder, page, status=status, headers=era)

    async def _answer_watch(
        self, responder: Responder, prefix: str, after: int, wait_ms: int
    ) -> None:
        if self.faults.history_lost or not self._kept_after <= after <= self.revision:
            self._write(responder, {}, status=410)
            return
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while not self._events_after(prefix, after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        if self.faults.lose_answers:
            responder.cut()
            return
        events = self._events_after(prefix, after)
        is_whole = len(events) <= self.max_events
        events = events[: self.max_events]
        as_of = self.revision if is_whole else events[-1]["rev"]
        self._write(responder, {"events": events, "as-of": as_of})

    def _events_after(self, prefix: str, after: int) -> list[dict]:
        return [e for e in self._log if e["rev"] > after and e["key"].startswith(prefix)]
