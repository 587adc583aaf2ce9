"""Dependencies that the request handlers of an entry share."""

from collections.abc import Callable
from dataclasses import dataclass

from skylarkrack._burn import FIRST_TOKEN_OBJECTIVE_MS, BurnMeter
from skylarkrack._clock import monotonic_ms
from skylarkrack._config_keeper import ConfigKeeper
from skylarkrack._links import Links
from skylarkrack._metrics import Metrics
from skylarkrack._traces import Traces
from skylarkrack.core import RetryBudget, Router, SuspectTracker
from skylarkrack.entry._budgets import Budgets
from skylarkrack.entry._open_exchanges import OpenExchanges
from skylarkrack.entry._tickets import TicketClient


@dataclass(frozen=True, slots=True, kw_only=True)
class Context:
    """The components of an entry; built by `Entry`."""

    keeper: ConfigKeeper
    links: Links
    router: Router
    budgets: Budgets
    exchanges: OpenExchanges
    tickets: TicketClient
    suspect_tracker: SuspectTracker
    retry_budget: RetryBudget
    metrics: Metrics
    burn: BurnMeter
    traces: Traces
    next_request_id: Callable[[], str]

    def may_act(self) -> bool:
        """Return whether requests may be admitted and open ones may continue now."""
        return self.keeper.may_act(monotonic_ms())

    def calendar_s(self) -> float:
        """Return the calendar time in seconds that the dates of plans are compared with."""
        return self.keeper.calendar_s(monotonic_ms())

    def record_first_token(self, started_ms: float, first_chunk_ms: float) -> None:
        """Record the time from *started_ms* to the first token, against its objective."""
        elapsed_ms = first_chunk_ms - started_ms
        self.metrics.observe_ms("first_token_ms", elapsed_ms)
        is_good = elapsed_ms <= FIRST_TOKEN_OBJECTIVE_MS
        self.burn.observe("first_token", is_good=is_good, now_ms=monotonic_ms())
