"""Requests that wait for one endpoint, shared fairly between organisations."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from skylarkrack.messages import Run


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedRun:
    """A request in the queue; it is refused as not run once *expires_ms* has passed."""

    run: Run
    link: object
    offered_ms: float
    expires_ms: float


class FairQueue:
    """A queue that serves the organisation with the fewest tokens served so far.

    This is the virtual token counter of Sheng et al.: an organisation that comes back after a
    pause starts at the least counter of those waiting, so that it cannot save up its turn. The
    counter of a plan with a higher priority grows more slowly.
    """

    __slots__ = ("_counter_by_organisation", "_queue_by_organisation")

    def __init__(self) -> None:
        self._counter_by_organisation: dict[str, float] = {}
        self._queue_by_organisation: dict[str, deque[QueuedRun]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queue_by_organisation.values())

    def __iter__(self) -> Iterator[QueuedRun]:
        """Yield who waits, in the order in which they would be served by organisation."""
        for organisation in self._service_order():
            yield from self._queue_by_organisation[organisation]

    def push(self, waiting: QueuedRun) -> None:
        """Add a request."""
        organisation = waiting.run.organisation
        if organisation not in self._queue_by_organisation:
            self._raise_counter(organisation)
            self._queue_by_organisation[organisation] = deque()
        self._queue_by_organisation[organisation].append(waiting)

    def pop_first(self, may_start: Callable[[QueuedRun], bool]) -> QueuedRun | None:
        """Take out the first request in turn that may start now, and count its tokens."""
        for waiting in self:
            if may_start(waiting):
                self.remove(waiting)
                self._charge(waiting.run)
                return waiting
        return None

    def remove(self, waiting: QueuedRun) -> None:
        """Take out a request without serving it."""
        organisation = waiting.run.organisation
        queue = self._queue_by_organisation[organisation]
        queue.remove(waiting)
        if not queue:
            del self._queue_by_organisation[organisation]

    def find(self, request_id: str) -> QueuedRun | None:
        """Return the request with this id, if it waits here."""
        return next((waiting for waiting in self if waiting.run.request_id == request_id), None)

    def _service_order(self) -> list[str]:
        return sorted(
            self._queue_by_organisation,
            key=lambda name: (self._counter_by_organisation[name], name),
        )

    def _raise_counter(self, organisation: str) -> None:
        counters = self._counter_by_organisation
        active = [counters[name] for name in self._queue_by_organisation]
        least = min(active, default=0.0)
        counters[organisation] = max(counters.get(organisation, 0.0), least)

    def _charge(self, run: Run) -> None:
        self._counter_by_organisation[run.organisation] += run.tokens / (1 + run.priority)
