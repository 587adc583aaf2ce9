"""HTTP server for operators, on the status address of a process."""

import json
from collections.abc import Callable
from dataclasses import dataclass

from skylarkrack._burn import BurnMeter
from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import HTTP_STATUS_BY_CODE, Code, RequestRefused
from skylarkrack._metrics import Metrics
from skylarkrack._traces import Traces
from skylarkrack.web import HttpServer, Request, Responder, ServerLimits

_JSON = [(b"content-type", b"application/json")]
_BYTES = [(b"content-type", b"application/octet-stream")]
_TEXT = [(b"content-type", b"text/plain; version=0.0.4")]


@dataclass(frozen=True, slots=True, kw_only=True)
class StatusSources:
    """The objects and functions that the status server reads its answers from."""

    describe: Callable[[], dict]
    metrics: Metrics
    burn: BurnMeter
    traces: Traces
    published: Callable[[], bytes] | None = None
    """Returns the configuration for other entries to fetch; None if the process offers none."""
    explain_route: Callable[[bytes], dict] | None = None
    """Explains where the request that a body describes would go; None if the process has none."""


class StatusServer:
    """Serves /state, /metrics, /burn, /explain/ID and, for an entry, /published and /route."""

    __slots__ = ("_server", "_sources")

    def __init__(self, sources: StatusSources, *, limits: ServerLimits) -> None:
        self._sources = sources
        self._server = HttpServer(self._handle, refuse=_refuse, limits=limits, name="status")

    async def start(self, address: str) -> None:
        """Listen on *address*."""
        await self._server.start(address)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def _handle(self, request: Request, responder: Responder) -> None:
        sources = self._sources
        path = request.path
        if path == "/metrics":
            responder.respond(200, _TEXT, sources.metrics.text().encode())
        elif path == "/state":
            _send_json(responder, sources.describe())
        elif path == "/burn":
            _send_json(responder, {"rows": sources.burn.report(monotonic_ms())})
        elif path == "/published" and sources.published is not None:
            responder.respond(200, _BYTES, sources.published())
        elif path == "/route" and sources.explain_route is not None:
            if request.method != "POST":
                raise RequestRefused("the method must be POST", code=Code.METHOD_NOT_ALLOWED)
            _send_json(responder, sources.explain_route(request.body))
        elif path.startswith("/explain/"):
            trace = sources.traces.find(path.removeprefix("/explain/"))
            if trace is None:
                raise RequestRefused("no such request here", code=Code.NO_SUCH_PATH)
            _send_json(responder, trace.describe())
        else:
            raise RequestRefused("no such path", code=Code.NO_SUCH_PATH)


def _send_json(responder: Responder, document: dict) -> None:
    responder.respond(200, _JSON, json.dumps(document, default=str).encode())


def _refuse(responder: Responder, refusal: RequestRefused) -> None:
    body = json.dumps({"code": int(refusal.code), "message": str(refusal)}).encode()
    responder.respond(HTTP_STATUS_BY_CODE[refusal.code], _JSON, body)
