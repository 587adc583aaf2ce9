"""Decides whether a request that an endpoint did not answer may be sent again.

Retries are limited for the case that dozens of endpoints fail at once. They are paid from a retry
budget per service, so that they stay a small part of its traffic. A request that may have run is
repeated only if its route allows that.
"""

from dataclasses import dataclass

from skylarkrack._errors import Code, Outcome
from skylarkrack.core._retry_budget import RetryBudget
from skylarkrack.core.relay._table import Route

MAX_SENDS = 4
"""Most times that one request is sent to an endpoint; after that it fails."""

REFUSED_RETRY_AFTER_MS = 400
"""Retry-after of a request that was refused by the endpoints and has not run."""

RERUN_TIME_FRACTION = 0.5
"""Fraction of a route's latency objective that must be left to replace a failure by another run.
With less left, the failure is returned to the caller."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FinalFailure:
    """The failure that is returned to the caller; the request is not sent again.

    *outcome* states whether the request was executed. *retry_after_ms* is None if the caller gets
    no retry-after.
    """

    code: Code
    outcome: Outcome
    retry_after_ms: int | None = None


class Attempts:
    """Counts the failed sends of one request and charges its service's retry budget.

    *sends* and *runs* count failed sends only: those written to an endpoint, and those that it may
    have executed.
    """

    __slots__ = ("_budget", "_route", "runs", "sends")

    def __init__(self, route: Route, budget: RetryBudget) -> None:
        self._route = route
        self._budget = budget
        self.runs = 0
        self.sends = 0
        budget.earn()

    # Queries

    def may_replace_failure(self, left_ms: float) -> bool:
        """Return whether a failure may be replaced by another run; *left_ms* is the time left."""
        route = self._route
        is_allowed = route.is_idempotent and self.runs + 1 < route.max_endpoints
        is_in_time = left_ms > RERUN_TIME_FRACTION * route.objective_ms
        return is_allowed and is_in_time and self._budget.has_retry()

    def failure_if_unplaced(self) -> FinalFailure | None:
        """Return the failure of a request that can't be placed, or None if no earlier attempt may
        have run. With None the dispatcher's refusal applies.
        """
        return self._may_have_run() if self.runs else None

    def end_at_deadline(self, *, is_sent: bool) -> FinalFailure:
        """Return the failure of a request whose deadline has passed."""
        is_unknown = is_sent or self.runs
        outcome = Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN
        return FinalFailure(code=Code.DEADLINE, outcome=outcome)

    # Commands

    def record_failure(self, *, was_sent: bool, may_have_run: bool) -> FinalFailure | None:
        """Count a send without an answer; return None if the request may be sent again.

        A send that never reached the endpoint (*was_sent* is False) takes nothing from the budget.
        """
        self.sends += was_sent
        self.runs += may_have_run
        route = self._route
        if self.runs and (not route.is_idempotent or self.runs >= route.max_endpoints):
            return self._may_have_run()
        is_spent = was_sent and not self._budget.spend()
        if self.sends < MAX_SENDS and not is_spent:
            return None
        if self.runs:
            return self._may_have_run()
        return FinalFailure(
            code=Code.QUEUE_FULL, outcome=Outcome.NOT_RUN, retry_after_ms=REFUSED_RETRY_AFTER_MS
        )

    def _may_have_run(self) -> FinalFailure:
        return FinalFailure(code=Code.ENDPOINT_LOST, outcome=Outcome.UNKNOWN)
