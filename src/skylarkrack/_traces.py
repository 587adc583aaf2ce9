"""What happened to recent requests, for `skylarkctl explain`."""

from collections import OrderedDict

from skylarkrack._clock import monotonic_ms

MAX_TRACES = 2000
"""Requests remembered; the oldest are dropped."""


class Trace:
    """The steps of one request with their times since its start."""

    __slots__ = ("_steps", "request_id", "started_ms")

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.started_ms = monotonic_ms()
        self._steps: list[dict[str, object]] = []

    def add(self, step: str, **fields: object) -> None:
        """Note a step."""
        at_ms = round(monotonic_ms() - self.started_ms, 1)
        self._steps.append({"at_ms": at_ms, "step": step, **fields})

    def age_ms(self) -> float:
        """Return the time since the request came in."""
        return monotonic_ms() - self.started_ms

    def describe(self) -> dict[str, object]:
        """Return the request's steps."""
        return {"request_id": self.request_id, "steps": self._steps}


class Traces:
    """Recent requests by id."""

    __slots__ = ("_trace_by_id",)

    def __init__(self) -> None:
        self._trace_by_id: OrderedDict[str, Trace] = OrderedDict()

    def open(self, request_id: str) -> Trace:
        """Begin the trace of a request."""
        trace = self._trace_by_id[request_id] = Trace(request_id)
        if len(self._trace_by_id) > MAX_TRACES:
            self._trace_by_id.popitem(last=False)
        return trace

    def find(self, request_id: str) -> Trace | None:
        """Return the trace of a recent request, or None."""
        return self._trace_by_id.get(request_id)
