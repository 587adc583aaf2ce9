"""Exchange of what entries know about prompt segments that crash engines."""

from skylarkrack._events import Event, log
from skylarkrack._metrics import Metrics
from skylarkrack.core.relay import CrashTracker, SegmentReport
from skylarkrack.messages import SuspectSegments
from skylarkrack.relay._peers import Peers


class SegmentReports:
    """Sends this entry's reports to the others, and merges theirs. Times are in ms."""

    __slots__ = ("_metrics", "_peers", "_tracker")

    def __init__(self, peers: Peers, *, crash_tracker: CrashTracker, metrics: Metrics) -> None:
        self._peers = peers
        self._tracker = crash_tracker.segments
        self._metrics = metrics

    def send_due(self, now_ms: float) -> None:
        """Send the report that is due, and log the quarantines that changed."""
        quarantined, released = self._tracker.take_changes()
        for group in quarantined:
            log(Event.SEGMENTS_QUARANTINED, segments=sorted(group))
            self._metrics.count("segment_quarantines_total")
        for group in released:
            log(Event.SEGMENTS_RELEASED, segments=sorted(group))
        report = self._tracker.take_report(now_ms)
        if report is not None:
            self._peers.broadcast_to_entries(self._message(report))

    def send_all(self, address: str, now_ms: float) -> None:
        """Send everything that is known to an entry that is new or was silent."""
        report = self._tracker.full_report(now_ms)
        if report is not None:
            self._peers.send(self._message(report), address)

    def receive(self, message: SuspectSegments, now_ms: float) -> None:
        """Merge the report of another entry."""
        report = SegmentReport(
            losses=tuple((crash_id, frozenset(row)) for crash_id, row in message.losses),
            quarantines=tuple((frozenset(row), left_ms) for row, left_ms in message.quarantines),
            sound=tuple(message.sound),
        )
        self._tracker.receive_report(report, now_ms)

    def _message(self, report: SegmentReport) -> SuspectSegments:
        return SuspectSegments(
            **self._peers.sender_fields,
            losses=[[crash_id, sorted(segments)] for crash_id, segments in report.losses],
            quarantines=[[sorted(group), round(ms)] for group, ms in report.quarantines],
            sound=list(report.sound),
        )
