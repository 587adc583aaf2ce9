"""Requests that may crash the endpoints that run them, by what entries see of both.

A request whose answer was lost is a suspect of that endpoint's crash if the endpoint is then found
dead: it refuses connections, its registration ends, or it has started anew. All that ran there are
suspects; only one that is among them at two crashes is refused, for a while. A request that ended
well lately is no suspect: what callers send again and again, such as a look-up, is running
at every crash.
"""

from collections import OrderedDict

from skylarkrack.core._suspects import SuspectTracker
from skylarkrack.core.relay._names import EndpointKey

LOST_ANSWER_TTL_MS = 15_000.0
"""Time in which a death still explains a lost answer; registrations lapse within seconds."""

SUCCESS_TTL_MS = 300_000.0
"""Time for which a request that ended well is no suspect."""

QUARANTINE_MS = 60_000.0
"""Time for which a suspect of two crashes is refused; then it may take one endpoint down again."""

MAX_LOST_ANSWERS = 1000
MAX_SUCCESSES = 5000

MAX_SUSPECTS_PER_MESSAGE = 30
"""Suspects in one message between entries; the newest."""


class CrashTracker:
    """Lost answers, the endpoints that died of them or with them, and who is refused for it."""

    __slots__ = (
        "_crashes_by_fingerprint",
        "_success_ms_by_fingerprint",
        "_loss_ms_by_request",
        "_suspects",
    )

    def __init__(self) -> None:
        self._suspects = SuspectTracker(quarantine_ms=QUARANTINE_MS)
        self._success_ms_by_fingerprint: OrderedDict[bytes, float] = OrderedDict()
        self._loss_ms_by_request: OrderedDict[tuple[bytes, EndpointKey], float] = OrderedDict()
        self._crashes_by_fingerprint: OrderedDict[bytes, set[str]] = OrderedDict()

    # Queries

    def is_refused(self, fingerprint: bytes, now_ms: float) -> bool:
        """Tell whether a request was running at two crashes."""
        return self._suspects.is_quarantined(fingerprint, now_ms)

    def recent_suspects(self) -> list[list]:
        """Return rows of [fingerprint, crash ids] for other entries."""
        newest = list(self._crashes_by_fingerprint.items())[-MAX_SUSPECTS_PER_MESSAGE:]
        return [[fingerprint, sorted(crashes)] for fingerprint, crashes in newest]

    # Commands

    def record_loss(self, fingerprint: bytes, key: EndpointKey, now_ms: float) -> None:
        """Note that the answer of a request was lost at an endpoint."""
        self._loss_ms_by_request[fingerprint, key] = now_ms
        if len(self._loss_ms_by_request) > MAX_LOST_ANSWERS:
            self._loss_ms_by_request.popitem(last=False)

    def record_crash(self, key: EndpointKey, now_ms: float) -> None:
        """Note that an endpoint is dead or has started anew: what was lost there is suspect."""
        for (fingerprint, at), lost_ms in list(self._loss_ms_by_request.items()):
            if at != key:
                continue
            del self._loss_ms_by_request[fingerprint, at]
            if now_ms - lost_ms <= LOST_ANSWER_TTL_MS:
                self._add_suspect(fingerprint, f"{key[0]}/{key[1]}", now_ms)

    def receive_suspects(self, rows: list, now_ms: float) -> None:
        """Take another entry's suspects."""
        for fingerprint, crashes in rows:
            for crash_id in crashes:
                if crash_id not in self._crashes_by_fingerprint.get(fingerprint, ()):
                    self._add_suspect(fingerprint, crash_id, now_ms)

    def record_success(self, fingerprint: bytes, now_ms: float) -> None:
        """Note that a request was answered whole."""
        self._success_ms_by_fingerprint[fingerprint] = now_ms
        self._success_ms_by_fingerprint.move_to_end(fingerprint)
        if len(self._success_ms_by_fingerprint) > MAX_SUCCESSES:
            self._success_ms_by_fingerprint.popitem(last=False)
        if self._crashes_by_fingerprint.pop(fingerprint, None) is not None:
            self._suspects.observe_cleared(fingerprint, now_ms=now_ms)

    def _add_suspect(self, fingerprint: bytes, crash_id: str, now_ms: float) -> None:
        success_ms = self._success_ms_by_fingerprint.get(fingerprint)
        if success_ms is not None and now_ms - success_ms < SUCCESS_TTL_MS:
            return
        self._suspects.observe_crash(
            crash_id, fingerprint, is_confirmed=True, was_alone=False, now_ms=now_ms
        )
        self._crashes_by_fingerprint.setdefault(fingerprint, set()).add(crash_id)
        self._crashes_by_fingerprint.move_to_end(fingerprint)
        while len(self._crashes_by_fingerprint) > MAX_LOST_ANSWERS:
            self._crashes_by_fingerprint.popitem(last=False)
