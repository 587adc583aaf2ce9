"""A stand-in for a plain service that counts what it was asked to do, as a payment desk would."""

import asyncio
from collections import Counter
from dataclasses import dataclass

from skylarkrack.web import Request, Responder
from standins._base import StandIn, arguments, run, write_json


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceFaults:
    """Faults of the service. *cut_after_run* runs a call and breaks the connection."""

    delay_s: float = 0.0
    cut_after_run: bool = False
    cut_before_run: bool = False


class Service(StandIn):
    """Runs every call it gets, and remembers each body."""

    def __init__(self, faults: ServiceFaults | None = None) -> None:
        super().__init__(faults or ServiceFaults())
        self.runs_by_body: Counter[str] = Counter()
        self.headers_seen: set[str] = set()

    async def answer(self, request: Request, responder: Responder) -> None:
        """Run a call."""
        if request.path == "/healthz":
            write_json(responder, {})
            return
        if request.path == "/stats":
            seen = {"runs": dict(self.runs_by_body), "headers": sorted(self.headers_seen)}
            write_json(responder, seen)
            return
        if self.faults.cut_before_run:
            responder.cut()
            return
        body = request.body.decode()
        self.headers_seen |= {name.decode() for name, _ in request.headers}
        self.runs_by_body[body] += 1
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.cut_after_run:
            responder.cut()
            return
        write_json(responder, {"path": request.path, "body": body, "runs": self.runs_by_body[body]})


if __name__ == "__main__":
    (listen,) = arguments(1, "service IP:PORT")
    run(Service(), listen)
