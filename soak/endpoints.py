"""Endpoints of the soak: engines that load adapters, and plain services.

They run inside the process of the soak.
"""

import asyncio
import json
import random
from collections import Counter

from skylarkrack.web import HttpServer, Request, Responder, ServerLimits
from soak.guarantees import VISITORS, GuaranteeChecker

MODEL = "base"
ADAPTER_SLOTS = 4
ADAPTER_LOAD_S = 0.1
EVENTS_PER_STREAM = 6
EVENT_INTERVAL_S = 0.02
PLAIN_RUN_S = 0.03
REFUSED_RATIO = 0.04
"""Ratio of the plain requests that a service refuses as if it were full."""

ENDLESS_RATIO = 0.02
"""Ratio of the lookups that a service answers with tiny pieces without end."""

BROKEN_RATIO = 0.05
BROKEN_AFTER_EVENTS = 3
"""Ratio of the resumable streams that break off, and after how many events."""

FAILED_RESUME_RATIO = 0.3
"""Ratio of the resumed streams that are answered with an error instead."""

ERROR_BODY = b"id: 4\ndata: no such\n\nadapter\n\n"

SOFTWARE_VERSIONS = ("v1", "v2")
"""Software versions of engines; each engine keeps its own through restarts."""


def events_for(request_id: str, software_version: str) -> list[bytes]:
    """Return the server-sent events with which an engine of a version answers a request."""
    return [
        f"id: {n}\ndata: {request_id} {n} {software_version}\n\n".encode()
        for n in range(1, EVENTS_PER_STREAM + 1)
    ]


def stream_bodies(request_id: str) -> list[bytes]:
    """Return the whole answers to a request for a stream, one for each version."""
    return [b"".join(events_for(request_id, version)) for version in SOFTWARE_VERSIONS]


class Endpoint:
    """Base of engines and plain services: the server, the registration and checks of requests.

    While *is_faulty*, some requests are refused or fail as the ratios of this module say.
    """

    def __init__(self, name: str, address: str, checker: GuaranteeChecker) -> None:
        self.name = name
        self.address = address
        self.checker = checker
        self.started_ms = 1
        self.software_version = SOFTWARE_VERSIONS[0]
        self.limit_per_s: float | None = None
        self.domain = "z" + name[-1]
        self.is_faulty = True
        self._random = random.Random(name)
        # A generator of its own: with a shared one, the refusals of a seed would change.
        self._endless_random = random.Random(name)
        self._server = self._new_server()

    def _new_server(self) -> HttpServer:
        limits = ServerLimits(body_bytes=1 << 20, idle_timeout_ms=60_000)
        return HttpServer(self._handle, refuse=_refuse, limits=limits, name=self.name)

    async def start(self) -> None:
        """Start listening; raises `OSError` if the address is in use."""
        await self._server.start(self.address)

    async def reopen(self) -> None:
        """Start listening again after `close`."""
        self._server = self._new_server()
        await self.start()

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self._server.close()

    def registration(self, service: str, address: str) -> bytes:
        """Return the registry entry as JSON; *address* may be that of a proxy."""
        document = {
            "service": service,
            "addr": address,
            "zone": self.domain,
            "slots": 8,
            "state": "ready",
            "born": self.started_ms,
            "seq": 1,
            "version": self.software_version,
        }
        return json.dumps(document).encode()

    def proof_headers(self, request: Request) -> list[tuple[bytes, bytes]]:
        """Return the response headers that show which request the response belongs to."""
        attempt_id = (request.header(b"x-attempt-id") or "").encode()
        headers = [(b"x-attempt-id", attempt_id), (b"x-response-seal", b"s-" + attempt_id)]
        if self.limit_per_s is not None:
            headers.append((b"server-limit", f"{self.limit_per_s:.2f}".encode()))
        return headers

    def begin_run(self, request: Request, *, is_repeatable: bool) -> None:
        """Record in the checker that the request runs, and the tokens that it declares."""
        headers = {name.decode(): value.decode() for name, value in request.headers}
        request_id, now_s = headers["x-attempt-id"], asyncio.get_running_loop().time()
        self.checker.record_run(
            request_id, is_repeatable=is_repeatable, headers=headers, now_s=now_s
        )
        tokens = sum(float(count) for count in headers.get("x-token-count", "200,0").split(","))
        if headers.get("x-tenant") != VISITORS:
            self.checker.record_tokens(tokens, now_s)

    def is_chosen(self, ratio: float) -> bool:
        """Return whether a fault that befalls this ratio of requests befalls the next one."""
        return self.is_faulty and self._random.random() < ratio

    def refuse(self, request: Request, responder: Responder, status: int) -> None:
        """State that a request was not run."""
        attempt_id = (request.header(b"x-attempt-id") or "").encode()
        responder.respond(status, [(b"x-not-executed", b"1"), (b"x-attempt-id", attempt_id)], b"")

    async def answer(self, request: Request, responder: Responder) -> None:
        """Run a request and send its response."""
        raise NotImplementedError

    async def _handle(self, request: Request, responder: Responder) -> None:
        expected = request.header(b"x-expect-instance")
        if expected not in (None, self.name):
            self.checker.violations.append(f"{expected} was meant, {self.name} was asked")
            self.refuse(request, responder, 421)
            return
        if request.path != "/report":
            self.checker.record_arrival(self.name, asyncio.get_running_loop().time())
        if request.path not in ("/report", "/order"):
            self.checker.check_evacuation(self.domain, asyncio.get_running_loop().time())
        await self.answer(request, responder)


class PlainService(Endpoint):
    """A service without adapters; a `/pay/` request must run at most once."""

    async def answer(self, request: Request, responder: Responder) -> None:
        """Respond with the id of the request after `PLAIN_RUN_S`, or refuse it."""
        if self.is_chosen(REFUSED_RATIO):
            self.refuse(request, responder, 503)
            return
        is_lookup = request.path.startswith("/look/")
        self.begin_run(request, is_repeatable=is_lookup)
        await asyncio.sleep(PLAIN_RUN_S)
        if is_lookup and self.is_faulty and self._endless_random.random() < ENDLESS_RATIO:
            responder.start(200, self.proof_headers(request))
            while not responder.has_caller_left:
                for _ in range(100):
                    responder.send(b"x")
                await asyncio.sleep(0.001)
            return
        responder.respond(
            200, self.proof_headers(request), b"done " + self.proof_headers(request)[0][1]
        )


class Engine(Endpoint):
    """A model engine with `ADAPTER_SLOTS` slots.

    A load is accepted at once and completes `ADAPTER_LOAD_S` later.
    """

    def __init__(self, name: str, address: str, checker: GuaranteeChecker) -> None:
        super().__init__(name, address, checker)
        self.software_version = SOFTWARE_VERSIONS[int(name[-1]) % len(SOFTWARE_VERSIONS)]
        self._sequence = 0
        self._fence = 0
        self._loaded_versions: dict[str, int] = {}
        self._loading_adapters: set[str] = set()
        self._active_runs: Counter[str] = Counter()
        self._events_by_run: dict[str, int] = {}

    def restart(self) -> None:
        """Simulate a restart: no adapter is loaded, the address stays and the start is later."""
        self.started_ms += 1
        self._sequence = self._fence = 0
        self._loaded_versions.clear()
        self._loading_adapters.clear()

    async def answer(self, request: Request, responder: Responder) -> None:
        """Handle `/report`, `/order` or a request for an adapter."""
        if request.path == "/report":
            responder.respond(200, [], self._report())
        elif request.path == "/order":
            status = self._execute_order(json.loads(request.body))
            responder.respond(status, [], b"{}")
        else:
            await self._stream(request, responder)

    def _report(self) -> bytes:
        loaded = [f"{name}@{version}" for name, version in self._loaded_versions.items()]
        document = {
            "born": self.started_ms,
            "seq": self._sequence,
            "busy": False,
            "models": [{"name": MODEL, "version": 1, "adapters": loaded}],
            "coming": [f"{MODEL}/{name}@1" for name in self._loading_adapters],
            "runs": [[run, 20 + count, count] for run, count in self._events_by_run.items()],
        }
        return json.dumps(document).encode()

    def _execute_order(self, order: dict) -> int:
        if order["fence"] < self._fence:
            return 412
        self._fence = order["fence"]
        if order["expected"] != self._sequence:
            return 409
        self._sequence += 1
        adapter = order["adapter"]
        if order["op"] == "unload":
            if self._active_runs[adapter]:
                runs = ", ".join(self._events_by_run)
                self.checker.violations.append(
                    f"{adapter} was evicted in use at {self.name}, which ran {runs}"
                )
            self._loaded_versions.pop(adapter, None)
            return 200
        self._loading_adapters.add(adapter)
        if len(self._loaded_versions.keys() | self._loading_adapters) > ADAPTER_SLOTS:
            self.checker.violations.append(
                f"{self.name} was ordered to hold more than {ADAPTER_SLOTS}"
            )
        asyncio.get_running_loop().call_later(
            ADAPTER_LOAD_S, self._complete_load, adapter, self.started_ms
        )
        return 202

    def _complete_load(self, adapter: str, started_ms: int) -> None:
        if started_ms == self.started_ms:
            self._loading_adapters.discard(adapter)
            self._loaded_versions[adapter] = 1

    async def _stream(self, request: Request, responder: Responder) -> None:
        adapter = (request.header(b"x-model") or "/").partition("/")[2]
        if adapter not in self._loaded_versions:
            self.refuse(request, responder, 421)
            return
        is_resumable = request.path.startswith("/draft/")
        self.begin_run(request, is_repeatable=is_resumable)
        received_count = int(request.header(b"last-event-id") or "0")
        if received_count and self.is_chosen(FAILED_RESUME_RATIO):
            status = self._random.choice((400, 404, 500))
            responder.respond(status, self.proof_headers(request), ERROR_BODY)
            return
        is_broken = is_resumable and self.is_chosen(BROKEN_RATIO)
        self._active_runs[adapter] += 1
        request_id = request.header(b"x-attempt-id")
        self._events_by_run[request_id] = 0
        try:
            responder.start(
                200, [*self.proof_headers(request), (b"content-type", b"text/event-stream")]
            )
            events = events_for(request_id, self.software_version)
            for event in events[received_count:]:
                await asyncio.sleep(EVENT_INTERVAL_S)
                responder.send(event)
                self._events_by_run[request_id] += 1
                if is_broken and self._events_by_run[request_id] == BROKEN_AFTER_EVENTS:
                    responder.cut()
                    return
            responder.end()
        finally:
            self._active_runs[adapter] -= 1
            self._events_by_run.pop(request_id, None)


def _refuse(responder: Responder, refusal: Exception) -> None:
    responder.respond(400, [], str(refusal).encode())
