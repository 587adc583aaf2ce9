"""Traces of recent requests, for `skylarkctl explain`."""

from collections import OrderedDict

from skylarkrack._clock import monotonic_ms

MAX_TRACES = 2000
"""Number of traces kept; the oldest is dropped when one more is opened."""


class Trace:
    """Steps of one request, each with its time since the start in milliseconds."""

    __slots__ = ("_steps", "request_id", "started_ms")

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.started_ms = monotonic_ms()
        self._steps: list[dict[str, object]] = []

    def add(self, step: str, **fields: object) -> None:
        """Append a step with its fields."""
        at_ms = round(monotonic_ms() - self.started_ms, 1)
        self._steps.append({"at_ms": at_ms, "step": step, **fields})

    def age_ms(self) -> float:
        """Return the time in milliseconds since the trace was opened."""
        return monotonic_ms() - self.started_ms

    def describe(self) -> dict[str, object]:
        """Return the request's id and steps, for JSON."""
        return {"request_id": self.request_id, "steps": self._steps}


class Traces:
    """Recent requests by id."""

    __slots__ = ("_trace_by_id",)

    def __init__(self) -> None:
        self._trace_by_id: OrderedDict[str, Trace] = OrderedDict()

    def open(self, request_id: str) -> Trace:
        """Start the trace of a request, and drop the oldest trace beyond `MAX_TRACES`."""
        trace = self._trace_by_id[request_id] = Trace(request_id)
        if len(self._trace_by_id) > MAX_TRACES:
            self._trace_by_id.popitem(last=False)
        return trace

    def find(self, request_id: str) -> Trace | None:
        """Return the trace of a recent request, or None."""
        return self._trace_by_id.get(request_id)
