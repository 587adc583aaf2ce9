"""What is written and counted of one request on its way."""

from skylarkrack._burn import FIRST_TOKEN_OBJECTIVE_MS
from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import RequestRefused
from skylarkrack._events import Event, log
from skylarkrack.core.relay import Attempts, Endpoint, PendingRequest, SendTo
from skylarkrack.relay._context import EntryContext

_SERVER_ERROR = 500


class ExchangeLog:
    """The log lines, counters and histograms of one request."""

    __slots__ = ("_context", "_first_event_ms", "_last_event_ms", "_longest_gap_ms", "_ticket")

    def __init__(self, context: EntryContext, ticket: PendingRequest) -> None:
        self._context = context
        self._ticket = ticket
        self._first_event_ms: float | None = None
        self._last_event_ms = 0.0
        self._longest_gap_ms = 0.0

    def placed(self, placed: SendTo, waited_ms: float) -> None:
        """Note where the request goes after a wait."""
        if waited_ms < 1:
            return
        log(
            Event.RELAY_WAITED,
            request=self._ticket.call.request_id,
            endpoint=placed.endpoint.endpoint_id,
            waited_ms=round(waited_ms),
            cost_ms=round(placed.cost_ms),
        )
        service = self._ticket.service_name
        self._context.metrics.observe_ms("placed_after_ms", waited_ms, service)

    def retried(self, placed: SendTo, reason: str) -> None:
        """Note that the request is sent once more, and why."""
        log(
            Event.RELAY_RETRIED,
            request=self._ticket.call.request_id,
            endpoint=placed.endpoint.endpoint_id,
            reason=reason,
        )
        self._context.metrics.count("retried_total", self._ticket.service_name)

    def overdue(self, endpoint: Endpoint) -> None:
        """Note that an endpoint has not begun to answer."""
        log(
            Event.ENDPOINT_OVERDUE,
            request=self._ticket.call.request_id,
            endpoint=endpoint.endpoint_id,
            waited_ms=round(monotonic_ms() - self._ticket.call.arrived_ms),
        )
        self._context.metrics.count("overdue_total", self._ticket.service_name)

    def events_forwarded(self) -> None:
        """Note events that are handed to the caller."""
        now_ms = monotonic_ms()
        if self._first_event_ms is None:
            self._first_event_ms = waited_ms = now_ms - self._ticket.call.arrived_ms
            is_soon = waited_ms <= FIRST_TOKEN_OBJECTIVE_MS
            self._context.burn.observe("first_token", is_good=is_soon, now_ms=now_ms)
            self._context.metrics.observe_ms("first_event_ms", waited_ms, self._ticket.route.name)
        else:
            self._longest_gap_ms = max(self._longest_gap_ms, now_ms - self._last_event_ms)
        self._last_event_ms = now_ms
        self._context.metrics.count("events_total")

    def ended(self, status: int, placed: SendTo, attempts: Attempts) -> None:
        """Note an answer that was handed on whole."""
        now_ms = monotonic_ms()
        took_ms = now_ms - self._ticket.call.arrived_ms
        self._write(Event.RELAY_ENDED, took_ms, placed, status=status, sends=attempts.sends + 1)
        self._context.burn.observe("answered", is_good=status < _SERVER_ERROR, now_ms=now_ms)
        self._context.metrics.count("answered_total", str(status))
        self._context.metrics.observe_ms("took_ms", took_ms, self._ticket.route.name)

    def failed(
        self,
        refusal: RequestRefused,
        placed: SendTo | None,
        attempts: Attempts,
        *,
        has_begun: bool,
    ) -> None:
        """Note an answer of the relay's own, or one that broke off after it *has_begun*."""
        now_ms = monotonic_ms()
        self._write(
            Event.RELAY_BROKEN if has_begun else Event.RELAY_REFUSED,
            now_ms - self._ticket.call.arrived_ms,
            placed,
            code=int(refusal.code),
            outcome=str(refusal.outcome),
            reason=str(refusal),
            sends=attempts.sends,
            runs_begun=attempts.runs,
        )
        self._context.burn.observe("answered", is_good=False, now_ms=now_ms)
        self._context.metrics.count("refused_total", refusal.code.name.lower())

    def _write(self, event: Event, took_ms: float, placed: SendTo | None, **fields: object) -> None:
        """Write the request's last line: what decided its way, how old that was, the outcome."""
        table = self._context.dispatcher.table
        if placed is not None:
            age_ms = placed.state_age_ms
            fields |= {
                "endpoint": placed.endpoint.endpoint_id,
                "version": placed.version,
                "cost_ms": round(placed.cost_ms),
                "runs_there": placed.runs,
                "state_age_ms": None if age_ms is None else round(age_ms),
            }
        if self._first_event_ms is not None:
            fields["first_ms"] = round(self._first_event_ms)
            fields["gap_ms"] = round(self._longest_gap_ms)
        log(
            event,
            request=self._ticket.call.request_id,
            organisation=self._ticket.organisation,
            cost=round(self._ticket.cost),
            route=self._ticket.route.name,
            table=table.version,
            took_ms=round(took_ms),
            **fields,
        )
