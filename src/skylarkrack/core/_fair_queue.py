"""Queue of the requests for one endpoint, fair between organisations."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from skylarkrack.messages import RunRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedRun:
    """A request in the queue.

    *link* is the link to the entry that offered it. Once *expires_ms* has passed it is refused with
    `Outcome.NOT_RUN`. Times are monotonic milliseconds.
    """

    run: RunRequest
    link: object
    offered_ms: float
    expires_ms: float


class FairQueue:
    """A queue that serves the organisation with the lowest count of served tokens first.

    This is the virtual token counter of Sheng et al. The counter of an organisation that was idle
    is raised to the lowest counter among those waiting, so that idle time earns no credit. The
    counter of a plan with a higher priority grows more slowly: tokens / (1 + priority). Requests of
    one organisation are served in the order of arrival, and equal counters by organisation name.
    """

    __slots__ = ("_counter_by_organisation", "_queue_by_organisation")

    def __init__(self) -> None:
        self._counter_by_organisation: dict[str, float] = {}
        self._queue_by_organisation: dict[str, deque[QueuedRun]] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queue_by_organisation.values())

    def __iter__(self) -> Iterator[QueuedRun]:
        """Yield the queued requests, by organisation in the order of service."""
        for organisation in self._service_order():
            yield from self._queue_by_organisation[organisation]

    def push(self, waiting: QueuedRun) -> None:
        """Add a request at the end of its organisation's queue."""
        organisation = waiting.run.organisation
        if organisation not in self._queue_by_organisation:
            self._raise_counter(organisation)
            self._queue_by_organisation[organisation] = deque()
        self._queue_by_organisation[organisation].append(waiting)

    def pop_first(self, may_start: Callable[[QueuedRun], bool]) -> QueuedRun | None:
        """Remove and return the first request for which *may_start* is true, or None.

        Its tokens are charged to its organisation.
        """
        for waiting in self:
            if may_start(waiting):
                self.remove(waiting)
                self._charge(waiting.run)
                return waiting
        return None

    def remove(self, waiting: QueuedRun) -> None:
        """Remove a request without charging its tokens.

        Raises `KeyError` or `ValueError` if it is not in the queue.
        """
        organisation = waiting.run.organisation
        queue = self._queue_by_organisation[organisation]
        queue.remove(waiting)
        if not queue:
            del self._queue_by_organisation[organisation]

    def find(self, request_id: str) -> QueuedRun | None:
        """Return the request *request_id*, or None if it is not in the queue."""
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

    def _charge(self, run: RunRequest) -> None:
        self._counter_by_organisation[run.organisation] += run.tokens / (1 + run.priority)
