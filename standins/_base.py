"""Base class of the HTTP stand-ins: a server, a fault table and helpers for `main`."""

import asyncio
import json
import signal
import sys
from dataclasses import replace

from skylarkrack._errors import RequestRefused
from skylarkrack.web import HttpServer, Request, Responder, ServerLimits

JSON_CONTENT_TYPE = (b"content-type", b"application/json")
SERVER_LIMITS = ServerLimits(
    body_bytes=16_777_216, read_timeout_ms=120_000, idle_timeout_ms=120_000
)


class StandIn:
    """An HTTP server with a fault table.

    Subclasses implement `answer`. *faults* is a frozen dataclass; the JSON object in the body of
    `POST /faults` replaces the fields that it names and leaves the others as they are.
    """

    def __init__(self, faults: object) -> None:
        self.faults = faults
        self._server = HttpServer(
            self._handle, refuse=_refuse, limits=SERVER_LIMITS, name="stand-in"
        )

    async def start(self, address: str) -> None:
        """Listen on *address*, given as `IP:PORT`; port 0 lets the system choose one."""
        await self._server.start(address)

    @property
    def bound_address(self) -> tuple[str, int]:
        """Host and port of the listening socket, including a port chosen by the system."""
        return self._server.bound_address

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self._server.close()

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer a request other than `POST /faults`."""
        raise NotImplementedError

    async def _handle(self, request: Request, responder: Responder) -> None:
        if request.path == "/faults" and request.method == "POST":
            self.faults = replace(self.faults, **json.loads(request.body))
            write_json(responder, {})
            return
        await self.answer(request, responder)


def write_json(
    responder: Responder, document: object, *, status: int = 200, headers: tuple = ()
) -> None:
    """Respond with *document* as JSON, *status* and additional *headers*."""
    responder.respond(status, [JSON_CONTENT_TYPE, *headers], json.dumps(document).encode())


def run(stand_in: StandIn, address: str) -> None:
    """Serve *stand_in* on *address* until SIGTERM or SIGINT."""

    async def serve() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stopping.set)
        await stand_in.start(address)
        await stopping.wait()
        await stand_in.close()

    asyncio.run(serve())


def arguments(count: int, usage: str) -> list[str]:
    """Return the *count* command-line arguments, or exit with *usage* if there are not as many."""
    if len(sys.argv) != count + 1:
        sys.exit(f"usage: {usage}")
    return sys.argv[1:]


def _refuse(responder: Responder, refusal: RequestRefused) -> None:
    write_json(responder, {"error": str(refusal)}, status=400)
