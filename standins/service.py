"""A stand-in for a plain service, such as a payment service, that counts the calls it runs."""

import asyncio
from collections import Counter
from dataclasses import dataclass

from skylarkrack.web import Request, Responder
from standins._base import StandIn, arguments, run, write_json


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceFaults:
    """Faults of the service, set by name through `/faults`.

    *delay_s* delays each response. *cut_before_run* closes the connection without running the
    call, *cut_after_run* closes it after the call has run.
    """

    delay_s: float = 0.0
    cut_after_run: bool = False
    cut_before_run: bool = False


class Service(StandIn):
    """Runs every call and counts the runs by request body.

    `/stats` returns the counts and the names of all request headers received; `/healthz` always
    succeeds.
    """

    def __init__(self, faults: ServiceFaults | None = None) -> None:
        super().__init__(faults or ServiceFaults())
        self.runs_by_body: Counter[str] = Counter()
        self.headers_seen: set[str] = set()

    async def answer(self, request: Request, responder: Responder) -> None:
        """Run a call and return its path, its body and how often that body has run."""
        if request.path == "/healthz":
            write_json(responder, {})
            return
        if request.path == "/stats":
            counters = {"runs": dict(self.runs_by_body), "headers": sorted(self.headers_seen)}
            write_json(responder, counters)
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
