"""What the parts of a relaying entry share."""

from dataclasses import dataclass

from skylarkrack._burn import BurnMeter
from skylarkrack._metrics import Metrics
from skylarkrack._tasks import Tasks
from skylarkrack.core import RetryBudget
from skylarkrack.core.relay import Crashes, Dispatcher, Usage
from skylarkrack.relay._desk import Desk
from skylarkrack.relay._dialect import Dialect
from skylarkrack.relay._endpoints import Endpoints


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryParts:
    """One of each for the whole process."""

    desk: Desk
    dialect: Dialect
    endpoints: Endpoints
    metrics: Metrics
    burn: BurnMeter
    usage: Usage
    crashes: Crashes
    tasks: Tasks
    retries_by_service: dict[str, RetryBudget]
    most_retries: float

    @property
    def dispatcher(self) -> Dispatcher:
        """The decisions about requests, which the desk lets wait for them."""
        return self.desk.dispatcher

    def retries_of(self, service: str) -> RetryBudget:
        """Return the retry budget of a service; a new one is full."""
        if service not in self.retries_by_service:
            self.retries_by_service[service] = RetryBudget(self.most_retries)
        return self.retries_by_service[service]
