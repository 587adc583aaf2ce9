"""Exchange of how slow endpoints are between entries, and the log of its changes."""

from skylarkrack._events import Event, log
from skylarkrack._metrics import Metrics
from skylarkrack.core.relay import Dispatcher, EndpointKey, SpeedReport, digest_of_endpoint
from skylarkrack.messages import EndpointConditions
from skylarkrack.relay._peers import Peers

MAX_CONDITIONS = 200
"""Endpoints in one message; of more, those that differ most from the usual are sent."""

LOG_CHECK_MS = 1000.0
"""Time between checks for changes to be logged."""

LOG_INTERVAL_MS = 5000.0
"""Least time between two log lines about one endpoint."""

LOGGED_FACTOR = 1.5
"""Factor between two slownesses above which a change is logged."""


class ConditionExchange:
    """Sends what this entry observes of endpoints' speeds, and receives that of others.

    Times are ms.
    """

    __slots__ = ("_checked_ms", "_dispatcher", "_logged_by_key", "_metrics", "_peers")

    def __init__(self, peers: Peers, *, dispatcher: Dispatcher, metrics: Metrics) -> None:
        self._peers = peers
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._checked_ms = float("-inf")
        # The last logged slowness and when it was logged.
        self._logged_by_key: dict[EndpointKey, tuple[float, float]] = {}

    def send_due(self, now_ms: float) -> None:
        """Broadcast the observations that are due, if any, and log changes."""
        reports = self._dispatcher.speeds.take_reports(now_ms)
        if reports:
            reports.sort(key=lambda report: -max(report.slowness, 1 / report.slowness))
            message = EndpointConditions(
                **self._peers.sender_fields,
                conditions=[
                    [
                        digest_of_endpoint(report.key),
                        round(100 * report.slowness),
                        round(report.age_ms),
                    ]
                    for report in reports[:MAX_CONDITIONS]
                ],
            )
            self._peers.broadcast_to_entries(message)
            self._metrics.count("conditions_sent_total")
        if now_ms - self._checked_ms >= LOG_CHECK_MS:
            self._checked_ms = now_ms
            self._log_changes(now_ms)

    def receive(self, message: EndpointConditions, now_ms: float) -> None:
        """Store what another entry observed; rows of unknown endpoints are left out."""
        for digest, hundredths, age_ms in message.conditions:
            key = self._dispatcher.directory.key_of(digest)
            if key is not None:
                report = SpeedReport(key=key, slowness=hundredths / 100, age_ms=age_ms)
                self._dispatcher.speeds.receive(message.vm, report, now_ms)

    def _log_changes(self, now_ms: float) -> None:
        slowness_by_key = self._dispatcher.speeds.unusual(now_ms)
        for key in slowness_by_key.keys() | self._logged_by_key.keys():
            slowness = slowness_by_key.get(key, 1.0)
            logged, logged_ms = self._logged_by_key.get(key, (1.0, float("-inf")))
            is_far = max(slowness / logged, logged / slowness) >= LOGGED_FACTOR
            has_ended = slowness == 1.0 and logged != 1.0
            if now_ms - logged_ms < LOG_INTERVAL_MS or not (is_far or has_ended):
                continue
            if has_ended:
                del self._logged_by_key[key]
            else:
                self._logged_by_key[key] = slowness, now_ms
            log(
                Event.ENDPOINT_SPEED_CHANGED,
                address=key[0],
                started_ms=key[1],
                slowness=round(slowness, 2),
            )
            self._metrics.count("speed_changes_total")
