"""Log lines and metrics of one forwarded request."""

import math

from skylarkrack._burn import FIRST_TOKEN_OBJECTIVE_MS
from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import Code, RequestRefused
from skylarkrack._events import Event, log
from skylarkrack.core.relay import Attempts, Endpoint, PendingRequest, SendTo
from skylarkrack.relay._context import EntryContext

_SERVER_ERROR = 500

PROMPT_GRANT_MS = 10.0
"""Time within which a grant comes for a request that doesn't have to wait: a round trip, and the
time until two busy processes see a datagram."""


class ExchangeLog:
    """The log lines, counters and histograms of one request."""

    __slots__ = ("_context", "_first_event_ms", "_last_event_ms", "_longest_gap_ms", "_pending")

    def __init__(self, context: EntryContext, pending: PendingRequest) -> None:
        self._context = context
        self._pending = pending
        self._first_event_ms: float | None = None
        self._last_event_ms = 0.0
        self._longest_gap_ms = 0.0

    def placed(self, placement: SendTo, waited_ms: float) -> None:
        """Record the chosen endpoint if the request waited for a millisecond or longer.

        A grant that came at once is no wait.
        """
        if waited_ms < (PROMPT_GRANT_MS if placement.is_granted else 1):
            return
        log(
            Event.RELAY_WAITED,
            request=self._pending.call.request_id,
            endpoint=placement.endpoint.endpoint_id,
            waited_ms=round(waited_ms),
            cost_ms=round(placement.cost_ms),
        )
        service = self._pending.service_name
        self._context.metrics.observe_ms("placed_after_ms", waited_ms, service)

    def retried(self, placement: SendTo, reason: str) -> None:
        """Record that the request is placed once more, and the reason."""
        log(
            Event.RELAY_RETRIED,
            request=self._pending.call.request_id,
            endpoint=placement.endpoint.endpoint_id,
            reason=reason,
        )
        self._context.metrics.count("retried_total", self._pending.service_name)

    def overdue(self, endpoint: Endpoint) -> None:
        """Record that an endpoint has not started to respond."""
        log(
            Event.ENDPOINT_OVERDUE,
            request=self._pending.call.request_id,
            endpoint=endpoint.endpoint_id,
            waited_ms=round(monotonic_ms() - self._pending.call.arrived_ms),
        )
        self._context.metrics.count("overdue_total", self._pending.service_name)

    def endpoint_leaving(self, endpoint: Endpoint) -> None:
        """Record that an endpoint's response states that it is about to stop."""
        log(
            Event.ENDPOINT_LEAVING,
            request=self._pending.call.request_id,
            endpoint=endpoint.endpoint_id,
        )

    def endpoint_paused(self, endpoint: Endpoint, pause_ms: float) -> None:
        """Record that an endpoint wants no requests for some time."""
        log(
            Event.ENDPOINT_PAUSED,
            request=self._pending.call.request_id,
            endpoint=endpoint.endpoint_id,
            pause_ms=round(pause_ms),
        )
        self._context.metrics.count("pauses_total", self._pending.service_name)

    def rate_limit_changed(self, endpoint: Endpoint, limit_per_s: float) -> None:
        """Record that an endpoint names another limit of requests a second, or none any more."""
        log(
            Event.RATE_LIMIT_CHANGED,
            request=self._pending.call.request_id,
            endpoint=endpoint.endpoint_id,
            limit_per_s=None if math.isinf(limit_per_s) else limit_per_s,
        )
        self._context.metrics.count("rate_limit_changes_total", self._pending.service_name)

    def load_rejected(self, endpoint: Endpoint) -> None:
        """Record that the load that an endpoint reports can't be used; log the first time only."""
        self._context.metrics.count("rejected_loads_total", self._pending.service_name)
        if self._context.dispatcher.reported_loads.record_invalid(endpoint.key):
            log(
                Event.REPORTED_LOAD_REJECTED,
                request=self._pending.call.request_id,
                endpoint=endpoint.endpoint_id,
            )

    def stream_resumed(self, placement: SendTo, after: str, known_version: str | None) -> None:
        """Record that a stream goes on behind the event *after*.

        *known_version* is the software version that is known to have begun it, or None.
        """
        log(
            Event.STREAM_RESUMED,
            request=self._pending.call.request_id,
            first_attempt=self._pending.call.first_attempt,
            after=after,
            begun_by=known_version,
            endpoint=placement.endpoint.endpoint_id,
            software=placement.endpoint.software_version,
        )
        self._context.metrics.count("streams_resumed_total", self._pending.service_name)

    def events_forwarded(self) -> None:
        """Record that events of a stream were forwarded to the caller."""
        now_ms = monotonic_ms()
        if self._first_event_ms is None:
            self._first_event_ms = waited_ms = now_ms - self._pending.call.arrived_ms
            is_in_time = waited_ms <= FIRST_TOKEN_OBJECTIVE_MS
            self._context.burn.observe("first_token", is_good=is_in_time, now_ms=now_ms)
            self._context.metrics.observe_ms("first_event_ms", waited_ms, self._pending.route.name)
        else:
            self._longest_gap_ms = max(self._longest_gap_ms, now_ms - self._last_event_ms)
        self._last_event_ms = now_ms
        self._context.metrics.count("events_total")

    def ended(self, status: int, placement: SendTo, attempts: Attempts) -> None:
        """Record a response that was forwarded completely."""
        now_ms = monotonic_ms()
        took_ms = now_ms - self._pending.call.arrived_ms
        # `attempts.sends` counts failed sends; the successful one is added.
        self._write(Event.RELAY_ENDED, took_ms, placement, status=status, sends=attempts.sends + 1)
        self._context.burn.observe("answered", is_good=status < _SERVER_ERROR, now_ms=now_ms)
        self._context.metrics.count("answered_total", str(status))
        self._context.metrics.observe_ms("took_ms", took_ms, self._pending.route.name)

    def failed(
        self,
        refusal: RequestRefused,
        placement: SendTo | None,
        attempts: Attempts,
        *,
        has_begun: bool,
    ) -> None:
        """Record a refusal, or a response that broke off after it *has_begun*."""
        now_ms = monotonic_ms()
        crash_fields = {}
        if refusal.code in (Code.ENDPOINT_LOST, Code.CRASH_SUSPECT) and self._pending.need:
            # What lost requests have in common may be what crashes their endpoints.
            crash_fields["segments"] = list(self._pending.call.shared_segments)
        self._write(
            Event.RELAY_BROKEN if has_begun else Event.RELAY_REFUSED,
            now_ms - self._pending.call.arrived_ms,
            placement,
            code=int(refusal.code),
            outcome=str(refusal.outcome),
            reason=str(refusal),
            sends=attempts.sends,
            runs_begun=attempts.runs,
            **crash_fields,
        )
        if refusal.code is not Code.CANCELLED:
            self._context.burn.observe("answered", is_good=False, now_ms=now_ms)
        self._context.metrics.count("refused_total", refusal.code.name.lower())

    def _write(
        self, event: Event, took_ms: float, placement: SendTo | None, **fields: object
    ) -> None:
        """Write the last log line of the request.

        It holds the outcome, the values that decided the placement, and the age in ms of the
        engine state that they come from.
        """
        table = self._context.dispatcher.table
        if placement is not None:
            age_ms = placement.state_age_ms
            fields |= {
                "endpoint": placement.endpoint.endpoint_id,
                "version": placement.version,
                "cost_ms": round(placement.cost_ms),
                "runs_there": placement.runs,
                "state_age_ms": None if age_ms is None else round(age_ms),
            }
        if self._first_event_ms is not None:
            fields["first_ms"] = round(self._first_event_ms)
            fields["gap_ms"] = round(self._longest_gap_ms)
        log(
            event,
            request=self._pending.call.request_id,
            organisation=self._pending.organisation,
            cost=round(self._pending.cost),
            route=self._pending.route.name,
            table=table.version,
            took_ms=round(took_ms),
            **fields,
        )
