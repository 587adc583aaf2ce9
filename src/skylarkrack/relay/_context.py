"""The components that the modules of a relaying entry share."""

from dataclasses import dataclass

from skylarkrack._burn import BurnMeter
from skylarkrack._events import Event, log
from skylarkrack._metrics import Metrics
from skylarkrack._tasks import Tasks
from skylarkrack.core import RetryBudget
from skylarkrack.core.relay import CrashTracker, Dispatcher, GracePeriod, QuotaLimiter
from skylarkrack.relay._codec import RelayCodec
from skylarkrack.relay._endpoint_clients import EndpointClients
from skylarkrack.relay._placement_queue import PlacementQueue
from skylarkrack.relay._stream_origin_lookup import StreamOriginLookup


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryContext:
    """Shared components; there is one of each in a process.

    *max_retries* is the number of retries that the budget of a service starts with.
    """

    placement_queue: PlacementQueue
    codec: RelayCodec
    clients: EndpointClients
    metrics: Metrics
    burn: BurnMeter
    quota_limiter: QuotaLimiter
    crash_tracker: CrashTracker
    grace: GracePeriod
    origin_lookup: StreamOriginLookup
    tasks: Tasks
    retry_budget_by_service: dict[str, RetryBudget]
    max_retries: float

    @property
    def dispatcher(self) -> Dispatcher:
        """The dispatcher, which decides where requests go."""
        return self.placement_queue.dispatcher

    def retry_budget_of(self, service: str) -> RetryBudget:
        """Return the retry budget of a service; a new budget is full."""
        if service not in self.retry_budget_by_service:
            self.retry_budget_by_service[service] = RetryBudget(self.max_retries)
        return self.retry_budget_by_service[service]

    def record_fault(self, error: Exception, request_id: str | None) -> None:
        """Record that the handling of a request failed by a fault of this program."""
        log(Event.HANDLER_FAILED, server="callers", request=request_id, error=repr(error))
        self.metrics.count("handlers_failed_total")
