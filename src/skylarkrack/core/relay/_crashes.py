"""Finds requests that crash endpoints, from lost answers and the deaths of endpoints.

A request whose answer was lost is a suspect of that endpoint's crash if the endpoint is then found
dead: it refuses connections, its registration ends, or it has restarted. Every request whose
answer was lost there becomes a suspect, except one that succeeded within `SUCCESS_TTL_MS`: a
frequent request, such as a look-up, is likely to be running at any crash without causing it. Only a
suspect of two crashes is refused, for a limited time. `SegmentTracker` evaluates what different
requests that were lost have in common.
"""

from collections import OrderedDict
from collections.abc import Sequence

from skylarkrack.core._suspects import SuspectTracker
from skylarkrack.core.relay._directory import digest_of_endpoint
from skylarkrack.core.relay._names import EndpointKey
from skylarkrack.core.relay._segments import SegmentTracker

LOST_ANSWER_TTL_MS = 15_000.0
"""Time for which a lost answer is matched with a later death of its endpoint; registrations lapse
within seconds."""

SUCCESS_TTL_MS = 300_000.0
"""Time after a success during which the request does not become a suspect."""

QUARANTINE_MS = 60_000.0
"""Time for which a suspect of two crashes is refused. After that it is sent again and may crash one
more endpoint."""

MAX_TRACKED_REQUESTS = 1000
"""Maximum number of lost answers, and of suspects; beyond it the oldest are dropped."""

MAX_SUCCESSES = 5000
"""Successful requests remembered; beyond it the oldest is dropped."""

MAX_SUSPECTS_PER_MESSAGE = 30
"""Suspects in one message between entries; only the newest are sent."""


class CrashTracker:
    """Lost answers, the requests suspected of crashes, and which of them are refused.

    Requests are identified by their fingerprints; *segments* are the ids of the segments of their
    prompts that other requests may share. Times are ms on a monotonic clock.
    """

    __slots__ = (
        "_crash_ids_by_fingerprint",
        "_success_ms_by_fingerprint",
        "_loss_by_request",
        "_suspects",
        "segments",
    )

    def __init__(self) -> None:
        self.segments = SegmentTracker()
        self._suspects = SuspectTracker(quarantine_ms=QUARANTINE_MS)
        self._success_ms_by_fingerprint: OrderedDict[bytes, float] = OrderedDict()
        # When the answer was lost, and the request's segments.
        self._loss_by_request: OrderedDict[
            tuple[bytes, EndpointKey], tuple[float, Sequence[str]]
        ] = OrderedDict()
        self._crash_ids_by_fingerprint: OrderedDict[bytes, set[str]] = OrderedDict()

    # Queries

    def is_refused(
        self, fingerprint: bytes, now_ms: float, *, segments: Sequence[str] = ()
    ) -> bool:
        """Return whether the request, or segments that it has, are in quarantine."""
        is_suspect = self._suspects.is_quarantined(fingerprint, now_ms)
        return is_suspect or self.segments.is_refused(segments, now_ms)

    def recent_suspects(self) -> list[list]:
        """Return the newest suspects as rows of [fingerprint, crash ids], for other entries."""
        newest = list(self._crash_ids_by_fingerprint.items())[-MAX_SUSPECTS_PER_MESSAGE:]
        return [[fingerprint, sorted(crash_ids)] for fingerprint, crash_ids in newest]

    # Commands

    def record_loss(
        self,
        fingerprint: bytes,
        key: EndpointKey,
        now_ms: float,
        *,
        segments: Sequence[str] = (),
    ) -> None:
        """Record that the answer of a request was lost at an endpoint."""
        self._loss_by_request[fingerprint, key] = (now_ms, segments)
        if len(self._loss_by_request) > MAX_TRACKED_REQUESTS:
            self._loss_by_request.popitem(last=False)

    def record_crash(self, key: EndpointKey, now_ms: float) -> None:
        """Record that an endpoint is dead or has restarted.

        The requests whose answers were lost there become suspects.
        """
        for (fingerprint, endpoint_key), loss in list(self._loss_by_request.items()):
            if endpoint_key != key:
                continue
            del self._loss_by_request[fingerprint, endpoint_key]
            lost_ms, segments = loss
            if now_ms - lost_ms <= LOST_ANSWER_TTL_MS:
                self._add_suspect(fingerprint, f"{key[0]}/{key[1]}", now_ms)
                self.segments.record_crash(digest_of_endpoint(key), segments, now_ms)

    def receive_suspects(self, rows: list, now_ms: float) -> None:
        """Merge another entry's rows of [fingerprint, crash ids]; each crash counts once."""
        for fingerprint, crash_ids in rows:
            for crash_id in crash_ids:
                if crash_id not in self._crash_ids_by_fingerprint.get(fingerprint, ()):
                    self._add_suspect(fingerprint, crash_id, now_ms)

    def record_success(
        self, fingerprint: bytes, now_ms: float, *, segments: Sequence[str] = ()
    ) -> None:
        """Record that a request was answered completely.

        It is no longer a suspect; a quarantine continues until it expires.
        """
        self.segments.record_sound(segments, now_ms)
        self._success_ms_by_fingerprint[fingerprint] = now_ms
        self._success_ms_by_fingerprint.move_to_end(fingerprint)
        if len(self._success_ms_by_fingerprint) > MAX_SUCCESSES:
            self._success_ms_by_fingerprint.popitem(last=False)
        if self._crash_ids_by_fingerprint.pop(fingerprint, None) is not None:
            self._suspects.observe_cleared(fingerprint, now_ms=now_ms)

    def _add_suspect(self, fingerprint: bytes, crash_id: str, now_ms: float) -> None:
        success_ms = self._success_ms_by_fingerprint.get(fingerprint)
        if success_ms is not None and now_ms - success_ms < SUCCESS_TTL_MS:
            return
        self._suspects.observe_crash(
            crash_id, fingerprint, is_confirmed=True, was_alone=False, now_ms=now_ms
        )
        self._crash_ids_by_fingerprint.setdefault(fingerprint, set()).add(crash_id)
        self._crash_ids_by_fingerprint.move_to_end(fingerprint)
        while len(self._crash_ids_by_fingerprint) > MAX_TRACKED_REQUESTS:
            self._crash_ids_by_fingerprint.popitem(last=False)
