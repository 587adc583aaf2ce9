"""A stand-in for the platform: values with revisions, and the rate-limited weight store.

`PUT /v1/values/NAME` publishes a value, as operators and the platform do; skylarkrack only reads,
by `GET /v1/values/NAME` and by long polls of `/v1/changes`. `POST /store/NAME` takes as long as a
load of weights takes at the rates in the users' brief.
"""

import asyncio
import json
import time
from dataclasses import dataclass
from email.utils import formatdate
from urllib.parse import parse_qs, unquote

from skylarkrack.web import Request, Responder
from standins._base import StandIn, arguments, run, write_json

POLL_INTERVAL_S = 0.005


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformFaults:
    """Faults of the platform, set by name through `/faults`.

    *down* closes the connections of readers and *delay_s* delays them. *stale_revision* answers as
    if nothing newer had been published; 0 turns it off. A load takes *load_s*, and proportionally
    longer when more than *store_knee* loads run at once; *store_fails* answers loads with status
    500.
    """

    down: bool = False
    stale_revision: int = 0
    delay_s: float = 0.0
    store_fails: bool = False
    load_s: float = 0.25
    store_knee: int = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class _StoredValue:
    revision: int
    body: bytes


class Platform(StandIn):
    """Holds all revisions of each value in memory.

    `/stats` returns the number of reads and of loads.
    """

    def __init__(self, faults: PlatformFaults | None = None) -> None:
        super().__init__(faults or PlatformFaults())
        self.revision = 0
        self.calls = 0
        self.loads = 0
        self._loading = 0
        self._versions_by_name: dict[str, list[_StoredValue]] = {}

    def publish(self, name: str, body: bytes) -> int:
        """Store *body* as the newest value of *name* and return its revision.

        Revisions increase by 1 across all names.
        """
        self.revision += 1
        stored = _StoredValue(revision=self.revision, body=body)
        self._versions_by_name.setdefault(name, []).append(stored)
        return self.revision

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a read, a publication, a load of weights or a request for the counters."""
        if request.path.startswith("/store/"):
            await self._answer_load(responder)
            return
        if request.path == "/stats":
            write_json(responder, {"calls": self.calls, "loads": self.loads})
            return
        name = unquote(request.path.removeprefix("/v1/values/"))
        if request.method == "PUT":
            write_json(responder, {"revision": self.publish(name, request.body)})
            return
        self.calls += 1
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            responder.cut()
        elif request.path == "/v1/changes":
            await self._answer_changes(request, responder)
        else:
            self._answer_value(name, responder)

    async def _answer_changes(self, request: Request, responder: Responder) -> None:
        query = parse_qs(request.target.partition("?")[2])
        after, wait_ms = int(query["after"][0]), int(query["wait_ms"][0])
        deadline = time.monotonic() + wait_ms / 1000
        while self._visible_revision() <= after and time.monotonic() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
        if self.faults.down:
            responder.cut()
            return
        visible = {name: self._visible_value(name) for name in self._versions_by_name}
        newer = {n: s.revision for n, s in visible.items() if s and s.revision > after}
        body = json.dumps({"revision": self._visible_revision(), "values": newer}).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"date", formatdate(usegmt=True).encode()),
        ]
        responder.respond(200, headers, body)

    def _answer_value(self, name: str, responder: Responder) -> None:
        stored = self._visible_value(name)
        if stored is None:
            write_json(responder, {}, status=404)
            return
        responder.respond(200, [(b"x-revision", str(stored.revision).encode())], stored.body)

    def _visible_revision(self) -> int:
        return min(self.revision, self.faults.stale_revision or self.revision)

    def _visible_value(self, name: str) -> _StoredValue | None:
        visible = [
            stored
            for stored in self._versions_by_name.get(name, [])
            if stored.revision <= self._visible_revision()
        ]
        return visible[-1] if visible else None

    async def _answer_load(self, responder: Responder) -> None:
        """Answer after `load_s`, proportionally longer beyond `store_knee` concurrent loads."""
        self._loading += 1
        self.loads += 1
        try:
            slowdown = max(1.0, self._loading / self.faults.store_knee)
            await asyncio.sleep(self.faults.load_s * slowdown)
        finally:
            self._loading -= 1
        write_json(responder, {}, status=500 if self.faults.store_fails else 200)


if __name__ == "__main__":
    (listen,) = arguments(1, "platform IP:PORT")
    run(Platform(), listen)
