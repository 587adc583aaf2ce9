"""Finds how many requests an endpoint may have in flight after it started or recovered.

Such an endpoint is either flooded or left idle if its load follows a fixed warm-up time. So it is
*paced*: a window bounds its requests in flight over all entries. The window is the largest number
at which answers came in time, and a step beyond it. It doubles with each round of answers in time
until the first trouble: a failure, a late answer or silence. Each trouble halves it, and from the
first one on it grows by half. Pacing ends when the window has reached the endpoint's slots.

The endpoint's home (see `_rate_limits`) keeps the window. It grants permits to the other entries
while there is room, and they tell it how their requests ended. Any entry may begin the pace. What
is in flight at that moment counts as good, so that a lost packet of one entry changes little.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from skylarkrack.core.relay._names import EndpointKey

STEP = 2.0
STEP_FRACTION = 0.5
DOUBLING_FRACTION = 1.0
"""Requests in flight beyond the last good number: `STEP`, and `STEP_FRACTION` of that number. Until
the first trouble it is `DOUBLING_FRACTION` of the number, if that is more."""

ENGINE_START_FRACTION = 0.125
"""Fraction of an engine's slots that its window begins with at least. From there three rounds of
first events reach the slots; from `STEP` it would be up to two more, of up to 0.6 s each."""

LONE_STEP_FRACTION = 0.5
"""Fraction of the slots that the window begins with if the service has no other endpoint that isn't
paced, since its requests would otherwise wait for nothing."""

MIN_WINDOW = 1.0

SHRINK_INTERVAL_MS = 200.0
"""Time between two reductions of a window. Requests that were sent together also fail together."""

SILENCE_MS = 1000.0
"""Time without an answer or a failure after which the window shrinks, if any request has neither
yet. A stream has its answer with its first event."""

NOTICE_INTERVAL_MS = 50.0
NOTICE_TTL_MS = 1500.0
"""Least time between two notices of an entry to a home, and the age from which one is ignored."""

GRANT_VISIBLE_MS = 150.0
"""Age of a permit from which an entry's next notice includes its request."""

GRANT_TTL_MS = 500.0
"""Age from which a permit that no notice followed counts as unused."""

REPORT_INTERVAL_MS = 500.0
END_REPORTS = 3
"""Time between a home's reports of a window, and reports of its end, since datagrams are lost."""

UNCONFIRMED_MS = 4500.0
"""Time without a home's report after which other entries take the pace for ended. It is longer than
the 3 s after which a silent home is replaced, as the next one keeps the window."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PaceReport:
    """A home's window of an endpoint, 0 if its pace has ended; *good* is the last good number."""

    key: EndpointKey
    window: float
    good: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PaceNotice:
    """What an entry tells a home: its requests in flight, and how others ended since the last."""

    key: EndpointKey
    in_flight: int
    in_time: int
    late: int


@dataclass(slots=True)
class _Peer:
    """Another entry at its home; *levels* are the numbers in flight when its permits were granted,
    those of ended requests left out. *granted_ms* are the times of permits that no notice
    includes."""

    in_flight: int = 0
    told_ms: float = -math.inf
    granted_ms: deque[float] = field(default_factory=deque)
    levels: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class _Paced:
    """One paced endpoint. *in_time* and *late* are this entry's answers that its home isn't told
    yet. *is_doubling* until the first trouble, and only at the home that began the pace."""

    slots: int
    window: float
    good: float
    confirmed_ms: float
    outcome_ms: float
    is_doubling: bool = False
    shrunk_ms: float = -math.inf
    reported_ms: float = -math.inf
    noticed_ms: float = -math.inf
    in_time: int = 0
    late: int = 0
    noticed_runs: int = 0
    own_levels: deque[float] = field(default_factory=deque)
    peer_by_entry: dict[str, _Peer] = field(default_factory=dict)

    def raise_to(self, level: float) -> None:
        """Count an answer in time to a request that was sent with *level* in flight."""
        self.good = max(self.good, min(level, self.window))
        window = window_beyond(self.good)
        if self.is_doubling:
            window = max(window, (1 + DOUBLING_FRACTION) * self.good)
        self.window = max(self.window, min(self.slots, window))

    def shrink(self, now_ms: float) -> None:
        """Halve the window, unless that was done just before."""
        self.is_doubling = False
        if now_ms - self.shrunk_ms >= SHRINK_INTERVAL_MS:
            self.shrunk_ms = now_ms
            self.window = max(MIN_WINDOW, self.window // 2)
            # The step beyond the good number must not undo the reduction.
            self.good = min(self.good, max(0.0, (self.window - STEP) / (1 + STEP_FRACTION)))


def window_beyond(good: float) -> float:
    """Return the window for the last good number of requests in flight, after the first trouble."""
    return good + STEP + STEP_FRACTION * good


class Pace:
    """Windows of paced endpoints. Times are ms on a monotonic clock.

    *runs_at* returns the requests in flight at an endpoint over all entries as far as known, and
    *own_runs_at* this entry's.
    """

    __slots__ = ("_ended_by_key", "_own_runs_at", "_paced_by_key", "_runs_at")

    def __init__(
        self,
        *,
        runs_at: Callable[[EndpointKey, float], int],
        own_runs_at: Callable[[EndpointKey], int],
    ) -> None:
        self._runs_at = runs_at
        self._own_runs_at = own_runs_at
        self._paced_by_key: dict[EndpointKey, _Paced] = {}
        # Reports left of the end of a pace, the time of the last one, and that of the end.
        self._ended_by_key: dict[EndpointKey, tuple[int, float, float]] = {}

    # Queries

    def is_paced(self, key: EndpointKey) -> bool:
        """Return whether an endpoint is paced."""
        return key in self._paced_by_key

    def paced_keys(self) -> list[EndpointKey]:
        """Return the endpoints that are paced."""
        return list(self._paced_by_key)

    def has_ended(self, key: EndpointKey) -> bool:
        """Return whether this entry, its home, ended an endpoint's pace just before."""
        return key in self._ended_by_key

    def window(self, key: EndpointKey) -> float:
        """Return an endpoint's window as known here, or infinity if it isn't paced."""
        paced = self._paced_by_key.get(key)
        return math.inf if paced is None else paced.window

    def in_flight(self, key: EndpointKey, now_ms: float) -> float:
        """Return the requests in flight over all entries, with the permits not used yet.

        Only an endpoint's home knows all of them.
        """
        paced = self._paced_by_key.get(key)
        if paced is None:
            return self._runs_at(key, now_ms)
        told, unused = 0, 0
        for peer in paced.peer_by_entry.values():
            unused += sum(now_ms - granted_ms < GRANT_TTL_MS for granted_ms in peer.granted_ms)
            told += peer.in_flight if now_ms - peer.told_ms < NOTICE_TTL_MS else 0
        return max(self._own_runs_at(key) + told, self._runs_at(key, now_ms)) + unused

    def has_room(self, key: EndpointKey, now_ms: float, *, is_counted: bool = False) -> bool:
        """Return whether the home may send or grant a request; *is_counted* if it is in flight."""
        return self.in_flight(key, now_ms) + (not is_counted) <= self.window(key)

    # Commands

    def begin(
        self,
        key: EndpointKey,
        *,
        slots: int,
        is_lone: bool,
        is_engine: bool = False,
        now_ms: float,
    ) -> bool:
        """Begin to pace an endpoint; return False if it is paced already or too small.

        *is_lone* tells that its service has no other endpoint that isn't paced.
        """
        if key in self._paced_by_key:
            return False
        good = float(self._runs_at(key, now_ms))
        window = window_beyond(good)
        if is_engine:
            window = max(window, ENGINE_START_FRACTION * slots)
        if is_lone:
            window = max(window, LONE_STEP_FRACTION * slots)
        if window >= slots:
            return False
        self._ended_by_key.pop(key, None)
        self._paced_by_key[key] = _Paced(
            slots=slots,
            window=window,
            good=good,
            confirmed_ms=now_ms,
            outcome_ms=now_ms,
            is_doubling=True,
            own_levels=deque([good] * self._own_runs_at(key)),
        )
        return True

    def record_send(self, key: EndpointKey, now_ms: float) -> None:
        """Count a request of this entry that is sent; it is in flight already."""
        paced = self._paced_by_key.get(key)
        if paced is not None:
            if not paced.own_levels:
                paced.outcome_ms = max(paced.outcome_ms, now_ms)
            paced.own_levels.append(self.in_flight(key, now_ms))

    def record_grant(self, key: EndpointKey, entry: str, now_ms: float) -> None:
        """Count a permit that another entry got from this one, the endpoint's home."""
        paced = self._paced_by_key.get(key)
        if paced is not None:
            peer = paced.peer_by_entry.setdefault(entry, _Peer())
            peer.granted_ms.append(now_ms)
            peer.levels.append(self.in_flight(key, now_ms))

    def record_outcome(
        self, key: EndpointKey, *, is_in_time: bool, is_home: bool, now_ms: float
    ) -> None:
        """Count how one of this entry's requests ended: in time, or late or with a failure."""
        paced = self._paced_by_key.get(key)
        if paced is None:
            return
        if not is_home:
            paced.in_time += is_in_time
            paced.late += not is_in_time
            paced.own_levels.clear()
            return
        # A request that was in flight when the pace began has no level; what it shows is known.
        level = paced.own_levels.popleft() if paced.own_levels else 0.0
        self._apply(key, paced, [level] if is_in_time else [], not is_in_time, now_ms)

    def receive_notice(self, entry: str, notice: PaceNotice, now_ms: float) -> None:
        """Apply what another entry tells this one, the endpoint's home."""
        paced = self._paced_by_key.get(notice.key)
        if paced is None:
            return
        peer = paced.peer_by_entry.setdefault(entry, _Peer())
        peer.in_flight, peer.told_ms = notice.in_flight, now_ms
        while peer.granted_ms and now_ms - peer.granted_ms[0] >= GRANT_VISIBLE_MS:
            peer.granted_ms.popleft()
        ended = min(len(peer.levels), notice.in_time + notice.late)
        levels = [peer.levels.popleft() for _ in range(ended)]
        while len(peer.levels) > notice.in_flight + len(peer.granted_ms):
            # A permit was not used.
            peer.levels.popleft()
        if notice.in_time or notice.late:
            in_time = levels[: notice.in_time] if not notice.late else []
            self._apply(notice.key, paced, in_time, bool(notice.late), now_ms)

    def receive_report(self, report: PaceReport, *, slots: int, now_ms: float) -> None:
        """Apply what an endpoint's home reports.

        Should this entry become the home, it goes on with growth by half: it does not know whether
        there was trouble.
        """
        paced = self._paced_by_key.get(report.key)
        if report.window <= 0:
            self._paced_by_key.pop(report.key, None)
            return
        if paced is None:
            paced = self._paced_by_key[report.key] = _Paced(
                slots=slots,
                window=report.window,
                good=report.good,
                confirmed_ms=now_ms,
                outcome_ms=now_ms,
            )
        paced.window, paced.good, paced.confirmed_ms = report.window, report.good, now_ms
        paced.is_doubling = False

    def advance(
        self, now_ms: float, *, is_home: Callable[[EndpointKey], bool | None]
    ) -> tuple[list[PaceReport], list[PaceNotice]]:
        """Shrink the windows of silent endpoints; return the reports and notices that are due.

        Reports go to all entries, and a notice goes to the endpoint's home. *is_home* returns None
        for an endpoint that is left to a later call.
        """
        reports, notices = [], []
        for key, paced in list(self._paced_by_key.items()):
            is_own = is_home(key)
            if is_own is None:
                continue
            if not is_own:
                if now_ms - paced.confirmed_ms >= UNCONFIRMED_MS:
                    del self._paced_by_key[key]
                    continue
                notice = self._notice(key, paced, now_ms)
                if notice is not None:
                    notices.append(notice)
                continue
            paced.confirmed_ms = now_ms
            if not self._count_unanswered(key, paced, now_ms):
                paced.outcome_ms = now_ms
            elif now_ms - paced.outcome_ms >= SILENCE_MS:
                paced.outcome_ms = now_ms
                paced.shrink(now_ms)
            if now_ms - paced.reported_ms >= REPORT_INTERVAL_MS:
                paced.reported_ms = now_ms
                reports.append(PaceReport(key=key, window=paced.window, good=paced.good))
        for key, (left, reported_ms, ended_ms) in list(self._ended_by_key.items()):
            if left and now_ms - reported_ms >= NOTICE_INTERVAL_MS:
                reports.append(PaceReport(key=key, window=0.0, good=0.0))
                self._ended_by_key[key] = (left - 1, now_ms, ended_ms)
            elif now_ms - ended_ms >= UNCONFIRMED_MS:
                del self._ended_by_key[key]
        return reports, notices

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Drop the endpoints that are not in *keys*."""
        for by_key in (self._paced_by_key, self._ended_by_key):
            for key in set(by_key) - keys:
                del by_key[key]

    def _count_unanswered(self, key: EndpointKey, paced: _Paced, now_ms: float) -> int:
        """Return how many requests have no answer yet, as far as the home knows."""
        while len(paced.own_levels) > self._own_runs_at(key):
            # Its caller left.
            paced.own_levels.popleft()
        for peer in paced.peer_by_entry.values():
            while peer.granted_ms and now_ms - peer.granted_ms[0] >= GRANT_TTL_MS:
                peer.granted_ms.popleft()
            if now_ms - peer.told_ms >= NOTICE_TTL_MS and not peer.granted_ms:
                peer.levels.clear()
        levels = (len(peer.levels) for peer in paced.peer_by_entry.values())
        return len(paced.own_levels) + sum(levels)

    def _notice(self, key: EndpointKey, paced: _Paced, now_ms: float) -> PaceNotice | None:
        runs, in_time, late = self._own_runs_at(key), paced.in_time, paced.late
        interval_ms = NOTICE_INTERVAL_MS if in_time or late else NOTICE_TTL_MS / 3
        if runs < paced.noticed_runs:
            # Requests ended without an answer, as their callers left.
            interval_ms = NOTICE_INTERVAL_MS
        elif not (runs or in_time or late):
            return None
        if now_ms - paced.noticed_ms < interval_ms:
            return None
        paced.in_time = paced.late = 0
        paced.noticed_ms, paced.noticed_runs = now_ms, runs
        return PaceNotice(key=key, in_flight=runs, in_time=in_time, late=late)

    def _apply(
        self, key: EndpointKey, paced: _Paced, levels: list[float], has_late: bool, now_ms: float
    ) -> None:
        paced.outcome_ms = now_ms
        if has_late:
            paced.shrink(now_ms)
            return
        for level in levels:
            paced.raise_to(level)
        if paced.window >= paced.slots:
            del self._paced_by_key[key]
            self._ended_by_key[key] = (END_REPORTS, -math.inf, now_ms)
