"""Finds prompt segments that crash the engine that generates on them, from what crashes share.

Each request may have another fingerprint, so the evidence is the shared segments of the requests
that were lost at a crash. A segment of a sound request is sound itself and is left out. The
segments that were lost in the most crashes are quarantined, together with those that always came
with them: only a request that has all of a group is refused, so that one with a part of it can
still show that this part is sound, or narrow the group down by another crash. A crash that a group
explains doesn't count against other segments.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

QUARANTINE_CRASHES = 3
"""Crashes after which the segments that they share are quarantined."""

AMBIGUOUS_CRASHES = 5
"""Crashes after which all candidates are quarantined, if they were never in the same request. With
fewer, the next crash is likely to single one out."""

QUARANTINE_MS = 60_000.0
MAX_QUARANTINE_MS = 600_000.0
"""Longest time of a quarantine. The first is `QUARANTINE_MS`; it doubles each time that a request
with the segments crashes an engine after the quarantine has ended."""

LOSS_TTL_MS = 600_000.0
"""Time for which lost requests are compared with those of later crashes."""

SOUND_TTL_MS = 300_000.0
"""Time after a sound request during which its segments are not suspected."""

MAX_LOSSES = 1000
MAX_SOUND_SEGMENTS = 20_000
MAX_GROUPS = 100
"""Bounds on lost requests, sound segments and groups; beyond them the oldest are dropped."""

MAX_REPORTED = 100
"""Rows of each kind in one report to other entries; only the newest are sent."""

REPORT_REPEATS = 3
REPORT_INTERVAL_MS = 200.0
"""Reports that are sent after something new, since datagrams are lost, and the time between them.
"""

Group = frozenset[str]
"""Segments of one request, or those that are quarantined together."""

Loss = tuple[int, Group]
"""The id of a crash, and the suspected segments of a request that was lost at it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SegmentReport:
    """What an entry tells the others.

    *losses* are crash ids with the segments of a request that was lost, *quarantines* are groups
    with the ms that are left, and *sound* are segments that others suspect in vain.
    """

    losses: tuple[Loss, ...]
    quarantines: tuple[tuple[Group, float], ...]
    sound: tuple[str, ...]


@dataclass(slots=True)
class _Quarantine:
    until_ms: float
    duration_ms: float


class SegmentTracker:
    """Lost requests by crash, sound segments, and the groups of segments that are refused.

    Times are ms on a monotonic clock.
    """

    __slots__ = (
        "_disputed",
        "_lost_ms_by_loss",
        "_own_losses",
        "_quarantine_by_group",
        "_quarantined",
        "_released",
        "_reported_ms",
        "_reports_left",
        "_sound_ms_by_segment",
    )

    def __init__(self) -> None:
        self._lost_ms_by_loss: OrderedDict[Loss, float] = OrderedDict()
        self._sound_ms_by_segment: OrderedDict[str, float] = OrderedDict()
        self._quarantine_by_group: OrderedDict[Group, _Quarantine] = OrderedDict()
        # What the next reports hold, and how many are still to be sent.
        self._own_losses: OrderedDict[Loss, None] = OrderedDict()
        self._disputed: OrderedDict[str, None] = OrderedDict()
        self._reports_left = 0
        self._reported_ms = float("-inf")
        self._quarantined: list[Group] = []
        self._released: list[Group] = []

    # Queries

    def is_refused(self, segments: Iterable[str], now_ms: float) -> bool:
        """Return whether a request with *segments* has all of a quarantined group."""
        if not self._quarantine_by_group:
            return False
        return any(group.issubset(segments) for group in self._active(now_ms))

    def full_report(self, now_ms: float) -> SegmentReport | None:
        """Return the quarantines and the newest losses for a new entry; None without any."""
        return self._report(list(self._lost_ms_by_loss), (), now_ms)

    # Commands

    def record_crash(self, crash_id: int, segments: Iterable[str], now_ms: float) -> None:
        """Record that a request with *segments* was lost at a crash."""
        suspects = self._without_sound(segments, now_ms)
        if suspects and self._add_loss((crash_id, suspects), now_ms):
            self._own_losses[crash_id, suspects] = None
            self._reports_left = REPORT_REPEATS
            if self._are_shared(suspects):
                self._evaluate(now_ms)

    def record_sound(self, segments: Iterable[str], now_ms: float) -> None:
        """Record that an engine survived a request with *segments*."""
        narrowed = [segment for segment in segments if self._clear(segment, now_ms)]
        if narrowed:
            self._dispute(narrowed)
            self._evaluate(now_ms)

    def receive_report(self, report: SegmentReport, now_ms: float) -> None:
        """Merge another entry's report; a crash that several entries report counts once."""
        is_narrowed, new_segments = False, set()
        for segment in report.sound:
            is_narrowed |= self._clear(segment, now_ms)
        for group, left_ms in report.quarantines:
            suspects = self._without_sound(group, now_ms)
            self._dispute(group - suspects)
            if suspects:
                self._quarantine(suspects, left_ms, now_ms)
        for crash_id, segments in report.losses:
            suspects = self._without_sound(segments, now_ms)
            if suspects and self._add_loss((crash_id, suspects), now_ms):
                new_segments |= suspects
        if is_narrowed or self._are_shared(new_segments):
            self._evaluate(now_ms)

    def take_report(self, now_ms: float) -> SegmentReport | None:
        """Return the report that is due now, or None."""
        if not self._reports_left or now_ms - self._reported_ms < REPORT_INTERVAL_MS:
            return None
        report = self._report(list(self._own_losses), tuple(self._disputed), now_ms)
        self._reported_ms = now_ms
        self._reports_left -= 1
        if not self._reports_left:
            self._own_losses.clear()
            self._disputed.clear()
        return report

    def take_changes(self) -> tuple[list[Group], list[Group]]:
        """Return the groups that were quarantined, and those released, since the last call."""
        changes = self._quarantined, self._released
        self._quarantined, self._released = [], []
        return changes

    def _add_loss(self, loss: Loss, now_ms: float) -> bool:
        """Store a loss and return whether it is new; renew the quarantines that it confirms."""
        if loss in self._lost_ms_by_loss:
            return False
        self._lost_ms_by_loss[loss] = now_ms
        _drop_oldest(self._lost_ms_by_loss, MAX_LOSSES)
        for group, quarantine in list(self._quarantine_by_group.items()):
            if quarantine.until_ms <= now_ms and group <= loss[1]:
                longer_ms = min(MAX_QUARANTINE_MS, 2 * quarantine.duration_ms)
                self._quarantine(group, longer_ms, now_ms)
        return True

    def _are_shared(self, segments: Iterable[str]) -> bool:
        """Return whether any of *segments* was lost at so many crashes that it is a candidate."""
        return any(
            len({crash_id for crash_id, lost in self._lost_ms_by_loss if segment in lost})
            >= QUARANTINE_CRASHES
            for segment in segments
        )

    def _evaluate(self, now_ms: float) -> None:
        """Quarantine the groups that the losses point at."""
        for _ in range(MAX_GROUPS):
            groups = self._candidates(now_ms)
            for group in groups:
                self._quarantine(group, QUARANTINE_MS, now_ms)
                if any(group <= segments for _, segments in self._own_losses):
                    self._reports_left = REPORT_REPEATS
            if not groups:
                break

    def _candidates(self, now_ms: float) -> list[Group]:
        """Return the groups with the most crashes that are not quarantined yet.

        Of two groups with as many crashes the wider one is preferred, since it refuses less.
        """
        losses = self._recent_losses(now_ms)
        losses_by_segment: dict[str, list[Loss]] = {}
        for crash_id, segments in self._unexplained(losses):
            for segment in segments:
                losses_by_segment.setdefault(segment, []).append((crash_id, segments))
        crashes_by_group: dict[Group, int] = {}
        for with_segment in losses_by_segment.values():
            crashes = len({crash_id for crash_id, _ in with_segment})
            if crashes >= QUARANTINE_CRASHES:
                group = frozenset.intersection(*(segments for _, segments in with_segment))
                crashes_by_group[group] = max(crashes, crashes_by_group.get(group, 0))
        for known in self._quarantine_by_group:
            explained = len({crash_id for crash_id, segments in losses if known <= segments})
            crashes_by_group = {
                group: crashes
                for group, crashes in crashes_by_group.items()
                if not known <= group and (crashes > explained or not group < known)
            }
        most = max(crashes_by_group.values(), default=0)
        leaders = [group for group, crashes in crashes_by_group.items() if crashes == most]
        widest = [group for group in leaders if not any(group < other for other in leaders)]
        return widest if len(widest) == 1 or most >= AMBIGUOUS_CRASHES else []

    def _recent_losses(self, now_ms: float) -> list[Loss]:
        """Return the losses that have not expired, without their sound segments."""
        losses = [
            (crash_id, self._without_sound(segments, now_ms))
            for (crash_id, segments), lost_ms in self._lost_ms_by_loss.items()
            if now_ms - lost_ms < LOSS_TTL_MS
        ]
        return [loss for loss in losses if loss[1]]

    def _unexplained(self, losses: list[Loss]) -> list[Loss]:
        """Return *losses* without the segments that a quarantined group clears of suspicion.

        A group explains a crash if a request with all of the group was lost there. The segments of
        groups with several members stay, since a group may have to be narrowed.
        """
        groups = list(self._quarantine_by_group)
        explained = {crash_id for crash_id, s in losses if any(group <= s for group in groups)}
        ambiguous = frozenset().union(*(group for group in groups if len(group) > 1))
        left = [(i, s & ambiguous if i in explained else s) for i, s in losses]
        return [loss for loss in left if loss[1]]

    def _quarantine(self, group: Group, duration_ms: float, now_ms: float) -> None:
        """Start or extend a quarantine; groups that contain *group* are not needed any more."""
        if any(narrower < group for narrower in self._active(now_ms)):
            return
        known = self._quarantine_by_group.pop(group, None)
        until_ms = now_ms + duration_ms
        if known is None or known.until_ms <= now_ms:
            self._quarantined.append(group)
        else:
            until_ms = max(until_ms, known.until_ms)
            duration_ms = max(duration_ms, known.duration_ms)
        for wider in [wider for wider in self._quarantine_by_group if group < wider]:
            del self._quarantine_by_group[wider]
        self._quarantine_by_group[group] = _Quarantine(until_ms=until_ms, duration_ms=duration_ms)
        _drop_oldest(self._quarantine_by_group, MAX_GROUPS)

    def _clear(self, segment: str, now_ms: float) -> bool:
        """Record that a segment is sound; return whether a group had it and is narrower now."""
        self._sound_ms_by_segment[segment] = now_ms
        self._sound_ms_by_segment.move_to_end(segment)
        _drop_oldest(self._sound_ms_by_segment, MAX_SOUND_SEGMENTS)
        groups = [group for group in self._quarantine_by_group if segment in group]
        for group in groups:
            quarantine = self._quarantine_by_group.pop(group)
            if group - {segment}:
                self._quarantine_by_group[group - {segment}] = quarantine
            else:
                self._released.append(group)
        return bool(groups)

    def _dispute(self, segments: Iterable[str]) -> None:
        """Tell the other entries that *segments* are sound."""
        for segment in segments:
            self._disputed[segment] = None
            self._reports_left = REPORT_REPEATS

    def _report(
        self, losses: list[Loss], sound: tuple[str, ...], now_ms: float
    ) -> SegmentReport | None:
        quarantines = tuple(
            (group, self._quarantine_by_group[group].until_ms - now_ms)
            for group in self._active(now_ms)[-MAX_REPORTED:]
        )
        if not losses and not quarantines and not sound:
            return None
        return SegmentReport(
            losses=tuple(losses[-MAX_REPORTED:]),
            quarantines=quarantines,
            sound=sound[-MAX_REPORTED:],
        )

    def _active(self, now_ms: float) -> list[Group]:
        return [g for g, q in self._quarantine_by_group.items() if q.until_ms > now_ms]

    def _without_sound(self, segments: Iterable[str], now_ms: float) -> Group:
        oldest_ms, sound_ms = now_ms - SOUND_TTL_MS, self._sound_ms_by_segment
        return frozenset(s for s in segments if sound_ms.get(s, float("-inf")) <= oldest_ms)


def _drop_oldest(entries: OrderedDict, limit: int) -> None:
    while len(entries) > limit:
        entries.popitem(last=False)
