"""Endpoints of the soak: engines that hold adapters, and desks. They live in the soak's process."""

import asyncio
import json
from collections import Counter

from skylarkrack.web import HttpServer, Request, Responder, ServerLimits
from soak.promises import Ledger

MODEL = "base"
PLACES = 4
LOAD_S = 0.1
EVENTS = 6
EVENT_S = 0.02
DESK_S = 0.03


def stream_of(request_id: str) -> list[bytes]:
    """Return the events that an engine makes for a request."""
    return [f"id: {n}\ndata: {request_id} {n}\n\n".encode() for n in range(1, EVENTS + 1)]


class Endpoint:
    """What engines and desks share: a server, a registration and the run's first checks."""

    def __init__(self, name: str, address: str, ledger: Ledger) -> None:
        self.name = name
        self.address = address
        self.ledger = ledger
        self.started_ms = 1
        self._server = self._new_server()

    def _new_server(self) -> HttpServer:
        limits = ServerLimits(body_bytes=1 << 20, idle_timeout_ms=60_000)
        return HttpServer(self._handle, refuse=_refuse, limits=limits, name=self.name)

    async def start(self) -> None:
        """Listen."""
        await self._server.start(self.address)

    async def reopen(self) -> None:
        """Listen again after `close`."""
        self._server = self._new_server()
        await self.start()

    async def close(self) -> None:
        """Break every connection off."""
        await self._server.close()

    def registration(self, service: str, address: str) -> bytes:
        """Return what stands in the registry; *address* may be a proxy's."""
        document = {
            "service": service,
            "addr": address,
            "zone": "z",
            "slots": 8,
            "state": "ready",
            "born": self.started_ms,
            "seq": 1,
        }
        return json.dumps(document).encode()

    def mark(self, request: Request) -> list[tuple[bytes, bytes]]:
        """Return the headers that prove an answer."""
        shown = (request.header(b"x-attempt-id") or "").encode()
        return [(b"x-attempt-id", shown), (b"x-response-seal", b"s-" + shown)]

    def note_run(self, request: Request, *, is_repeatable: bool) -> None:
        """Tell the ledger that the request runs."""
        headers = {name.decode(): value.decode() for name, value in request.headers}
        request_id = headers["x-attempt-id"]
        self.ledger.ran(request_id, is_repeatable=is_repeatable, headers=headers)
        tokens = sum(float(part) for part in headers.get("x-token-count", "200,0").split(","))
        self.ledger.granted(tokens, asyncio.get_running_loop().time())

    async def answer(self, request: Request, responder: Responder) -> None:
        """Run a request."""
        raise NotImplementedError

    async def _handle(self, request: Request, responder: Responder) -> None:
        expected = request.header(b"x-expect-instance")
        if expected not in (None, self.name):
            self.ledger.broken.append(f"{expected} was meant, {self.name} was asked")
            responder.whole(421, [(b"x-not-executed", b"1")], b"")
            return
        await self.answer(request, responder)


class Desk(Endpoint):
    """A plain service; `/pay/` must run once."""

    async def answer(self, request: Request, responder: Responder) -> None:
        """Take a moment, and answer with the request's id."""
        self.note_run(request, is_repeatable=request.path.startswith("/look/"))
        await asyncio.sleep(DESK_S)
        responder.whole(200, self.mark(request), b"done " + self.mark(request)[0][1])


class Engine(Endpoint):
    """A model engine with a few places for adapters, which carries out orders late."""

    def __init__(self, name: str, address: str, ledger: Ledger) -> None:
        super().__init__(name, address, ledger)
        self._sequence = 0
        self._fence = 0
        self._held: dict[str, int] = {}
        self._coming: set[str] = set()
        self._running: Counter[str] = Counter()

    def restart(self) -> None:
        """Begin anew, empty, under the same address."""
        self.started_ms += 1
        self._sequence = self._fence = 0
        self._held.clear()
        self._coming.clear()

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a report, an order or a request for an adapter."""
        if request.path == "/report":
            responder.whole(200, [], self._report())
        elif request.path == "/order":
            status = self._obey(json.loads(request.body))
            responder.whole(status, [], b"{}")
        else:
            await self._stream(request, responder)

    def _report(self) -> bytes:
        held = [f"{name}@{version}" for name, version in self._held.items()]
        document = {
            "born": self.started_ms,
            "seq": self._sequence,
            "busy": False,
            "models": [{"name": MODEL, "version": 1, "adapters": held}],
            "coming": [f"{MODEL}/{name}@1" for name in self._coming],
        }
        return json.dumps(document).encode()

    def _obey(self, order: dict) -> int:
        if order["fence"] < self._fence:
            return 412
        self._fence = order["fence"]
        if order["expected"] != self._sequence:
            return 409
        self._sequence += 1
        adapter = order["adapter"]
        if order["op"] == "unload":
            if self._running[adapter]:
                self.ledger.broken.append(f"{adapter} was evicted in use at {self.name}")
            self._held.pop(adapter, None)
            return 200
        self._coming.add(adapter)
        if len(self._held.keys() | self._coming) > PLACES:
            self.ledger.broken.append(f"{self.name} was ordered to hold more than {PLACES}")
        asyncio.get_running_loop().call_later(LOAD_S, self._loaded, adapter, self.started_ms)
        return 202

    def _loaded(self, adapter: str, started_ms: int) -> None:
        if started_ms == self.started_ms:
            self._coming.discard(adapter)
            self._held[adapter] = 1

    async def _stream(self, request: Request, responder: Responder) -> None:
        adapter = (request.header(b"x-model") or "/").partition("/")[2]
        if adapter not in self._held:
            responder.whole(421, [(b"x-not-executed", b"1")], b"")
            return
        self.note_run(request, is_repeatable=request.path.startswith("/draft/"))
        self._running[adapter] += 1
        try:
            responder.start(200, [*self.mark(request), (b"content-type", b"text/event-stream")])
            seen = int(request.header(b"last-event-id") or "0")
            for event in stream_of(request.header(b"x-attempt-id"))[seen:]:
                await asyncio.sleep(EVENT_S)
                responder.send(event)
            responder.end()
        finally:
            self._running[adapter] -= 1


def _refuse(responder: Responder, refusal: Exception) -> None:
    responder.whole(400, [], str(refusal).encode())
