"""Segments that crash engines are found from different requests, and sound ones stay served.

Guards against requests that are all different but share a segment that crashes each engine, so
that no request is lost twice, and against refusing the requests that share their other segments.
"""

import random
import unittest

from skylarkrack.core.relay import SegmentTracker
from skylarkrack.core.relay._segments import (
    AMBIGUOUS_CRASHES,
    MAX_QUARANTINE_MS,
    QUARANTINE_CRASHES,
    QUARANTINE_MS,
    REPORT_INTERVAL_MS,
    REPORT_REPEATS,
    SOUND_TTL_MS,
)

FIRST, SUBJECT, DEADLY = "first", "subject", "deadly"


class SegmentTest(unittest.TestCase):
    """Base class; time starts at 0."""

    def setUp(self) -> None:
        self.tracker = SegmentTracker()

    def crash(self, *requests: tuple[str, ...], crash_id: int, now_ms: float = 0.0) -> None:
        """Record a crash under *requests*."""
        for segments in requests:
            self.tracker.record_crash(crash_id, segments, now_ms)

    def assert_refused(self, *segments: str, now_ms: float = 0.0) -> None:
        """Check that a request with *segments* is refused."""
        self.assertTrue(self.tracker.is_refused(segments, now_ms))

    def assert_served(self, *segments: str, now_ms: float = 0.0) -> None:
        """Check that a request with *segments* is not refused."""
        self.assertFalse(self.tracker.is_refused(segments, now_ms))


class TestEvidence(SegmentTest):
    """Which segments are refused after which crashes."""

    def test_the_segment_of_three_crashes_is_refused(self) -> None:
        for crash_id in range(QUARANTINE_CRASHES):
            self.assert_served(FIRST, DEADLY)
            self.crash((FIRST, f"s{crash_id}", DEADLY), (f"t{crash_id}",), crash_id=crash_id)
            self.tracker.record_sound((FIRST,), 0.0)
        self.assert_refused(FIRST, "new", DEADLY)
        self.assert_served(FIRST, "new")

    def test_several_requests_lost_at_one_crash_count_once(self) -> None:
        self.crash((DEADLY, "a"), (DEADLY, "b"), (DEADLY, "c"), crash_id=1)
        self.assert_served(DEADLY)

    def test_a_segment_that_always_came_along_is_served_without_the_other(self) -> None:
        for crash_id in range(QUARANTINE_CRASHES):
            self.crash((SUBJECT, DEADLY), (SUBJECT,), crash_id=crash_id)
        self.assert_refused(SUBJECT, DEADLY)
        self.assert_served(SUBJECT)

    def test_a_further_crash_narrows_the_group(self) -> None:
        for crash_id in range(QUARANTINE_CRASHES):
            self.crash((SUBJECT, DEADLY), crash_id=crash_id)
        self.assert_served("other", DEADLY)
        self.crash(("other", DEADLY), crash_id=9)
        self.assert_refused(DEADLY)
        self.assert_served(SUBJECT, "other")

    def test_a_sound_request_narrows_the_group(self) -> None:
        for crash_id in range(QUARANTINE_CRASHES):
            self.crash((SUBJECT, DEADLY), crash_id=crash_id)
        self.tracker.record_sound((SUBJECT,), 0.0)
        self.assert_refused(DEADLY)
        self.assert_served(SUBJECT)

    def test_requests_beside_it_at_each_crash_are_served(self) -> None:
        # The next crash tells two candidates apart.
        for crash_id in range(QUARANTINE_CRASHES):
            self.crash((DEADLY,), ("beside",), crash_id=crash_id)
        self.crash((DEADLY,), crash_id=9)
        self.assert_refused(DEADLY)
        self.assert_served("beside")

    def test_candidates_that_nothing_tells_apart_are_refused_in_the_end(self) -> None:
        for crash_id in range(AMBIGUOUS_CRASHES):
            self.crash((DEADLY,), ("beside",), crash_id=crash_id)
        self.assert_refused(DEADLY)

    def test_a_crash_that_is_explained_counts_for_nothing_else(self) -> None:
        for crash_id in range(QUARANTINE_CRASHES):
            self.crash((DEADLY,), crash_id=crash_id)
        for crash_id in range(10, 20):
            self.crash(("beside",), (DEADLY,), crash_id=crash_id)
        self.assert_served("beside")

    def test_two_segments_are_found_one_after_the_other(self) -> None:
        for crash_id in range(QUARANTINE_CRASHES):
            self.crash((DEADLY, "a"), crash_id=crash_id)
            self.crash(("second", "b"), crash_id=10 + crash_id)
        self.crash((DEADLY, "c"), crash_id=20)
        self.crash(("second", "d"), crash_id=21)
        self.assert_refused(DEADLY)
        self.assert_refused("second")
        self.assert_served("a", "b", "c", "d")

    def test_a_sound_segment_is_suspected_again_only_after_a_time(self) -> None:
        self.tracker.record_sound((SUBJECT,), 0.0)
        for crash_id in range(AMBIGUOUS_CRASHES):
            self.crash((SUBJECT,), crash_id=crash_id)
        self.assert_served(SUBJECT)
        later_ms = SOUND_TTL_MS
        for crash_id in range(10, 10 + QUARANTINE_CRASHES):
            self.crash((SUBJECT,), crash_id=crash_id, now_ms=later_ms)
        self.assert_refused(SUBJECT, now_ms=later_ms)


class TestQuarantine(SegmentTest):
    """How long a group is refused."""

    def setUp(self) -> None:
        super().setUp()
        for crash_id in range(QUARANTINE_CRASHES):
            self.crash((DEADLY,), crash_id=crash_id)

    def test_it_ends_and_one_crash_renews_it_for_longer(self) -> None:
        self.assert_refused(DEADLY, now_ms=QUARANTINE_MS - 1)
        self.assert_served(DEADLY, now_ms=QUARANTINE_MS)
        self.crash((DEADLY, "x"), crash_id=9, now_ms=QUARANTINE_MS)
        self.assert_refused(DEADLY, now_ms=3 * QUARANTINE_MS - 1)
        self.assert_served(DEADLY, now_ms=3 * QUARANTINE_MS)

    def test_it_does_not_become_longer_than_a_maximum(self) -> None:
        now_ms = 0.0
        for crash_id in range(100, 110):
            now_ms += MAX_QUARANTINE_MS
            self.crash((DEADLY,), crash_id=crash_id, now_ms=now_ms)
        self.assert_served(DEADLY, now_ms=now_ms + MAX_QUARANTINE_MS)

    def test_a_sound_request_ends_it(self) -> None:
        self.tracker.record_sound((DEADLY,), 1.0)
        self.assert_served(DEADLY, now_ms=1.0)
        self.assertEqual(self.tracker.take_changes(), ([{DEADLY}], [{DEADLY}]))


class TestReports(SegmentTest):
    """What entries tell each other."""

    def setUp(self) -> None:
        super().setUp()
        self.other = SegmentTracker()

    def tell(self, sender: SegmentTracker, receiver: SegmentTracker, now_ms: float) -> bool:
        """Pass on the report that is due; return whether there was one."""
        report = sender.take_report(now_ms)
        if report is not None:
            receiver.receive_report(report, now_ms)
        return report is not None

    def test_crashes_seen_by_two_entries_add_up(self) -> None:
        self.crash((DEADLY,), crash_id=1)
        self.other.record_crash(2, (DEADLY,), 0.0)
        self.other.record_crash(3, (DEADLY,), 0.0)
        self.tell(self.other, self.tracker, 0.0)
        self.assert_refused(DEADLY)

    def test_one_crash_seen_by_two_entries_counts_once(self) -> None:
        for tracker in (self.tracker, self.other):
            tracker.record_crash(1, (DEADLY, "a"), 0.0)
            tracker.record_crash(2, (DEADLY, "b"), 0.0)
        self.tell(self.other, self.tracker, 0.0)
        self.assert_served(DEADLY)

    def test_a_report_is_repeated_since_datagrams_are_lost(self) -> None:
        self.crash((DEADLY,), crash_id=1)
        times_ms = [n * REPORT_INTERVAL_MS / 2 for n in range(20)]
        sent = [ms for ms in times_ms if self.tracker.take_report(ms) is not None]
        self.assertEqual(sent, [n * REPORT_INTERVAL_MS for n in range(REPORT_REPEATS)])

    def test_a_new_entry_refuses_what_the_others_do(self) -> None:
        for crash_id in range(QUARANTINE_CRASHES):
            self.crash((DEADLY,), crash_id=crash_id)
        self.other.receive_report(self.tracker.full_report(10.0), 5_000.0)
        self.assertTrue(self.other.is_refused((DEADLY,), 5_000.0))
        self.assertFalse(self.other.is_refused((DEADLY,), 5_000.0 + QUARANTINE_MS))

    def test_an_entry_that_knows_better_ends_a_quarantine(self) -> None:
        self.other.record_sound((SUBJECT,), 0.0)
        for crash_id in range(QUARANTINE_CRASHES):
            self.crash((SUBJECT,), crash_id=crash_id)
        self.tell(self.tracker, self.other, 0.0)
        self.assertFalse(self.other.is_refused((SUBJECT,), 0.0))
        self.assertTrue(self.tell(self.other, self.tracker, 1.0))
        self.assert_served(SUBJECT, now_ms=1.0)

    def test_nothing_is_sent_without_news(self) -> None:
        self.tracker.record_sound((FIRST,), 0.0)
        self.assertIsNone(self.tracker.take_report(0.0))
        self.assertIsNone(self.tracker.full_report(0.0))


class TestFleetUnderSuchRequests(unittest.TestCase):
    """Load: five entries before nine engines, of 60 requests a second one in twenty is deadly.

    An engine that crashes loses all requests that it runs and is away for three seconds. Reports
    take 1 to 60 ms, and one in ten is lost.
    """

    STEP_MS = 10.0
    RUN_MS = 1800.0
    DOWN_MS = 3300.0

    def play(self, seed: int) -> tuple[list[float], list[float], int, int]:
        """Return the times of crashes and of deadly sends, and sound requests: refused, all."""
        rng = random.Random(seed)
        entries = [SegmentTracker() for _ in range(5)]
        runs_by_engine: dict[int, list] = {engine: [] for engine in range(9)}
        down_until_ms = dict.fromkeys(runs_by_engine, 0.0)
        mail: list[tuple[float, int, object]] = []
        crashes_ms, deadly_ms, refused, sound = [], [], 0, 0
        subject = "subject-0"
        for step in range(3000):
            now_ms = step * self.STEP_MS
            for due in [m for m in mail if m[0] <= now_ms]:
                mail.remove(due)
                entries[due[1]].receive_report(due[2], now_ms)
            for entry in entries:
                report = entry.take_report(now_ms)
                for number, other in enumerate(entries) if report is not None else ():
                    if other is not entry and rng.random() > 0.1:
                        mail.append((now_ms + rng.uniform(1, 60), number, report))
            if rng.random() < 60 * self.STEP_MS / 1000:
                entry = rng.choice(entries)
                is_deadly = now_ms > 2000 and rng.random() < 0.05
                segments = (f"first-{rng.randrange(4)}", f"subject-{int(rng.paretovariate(0.6))}")
                if is_deadly:
                    segments = (segments[0], subject, DEADLY)
                is_refused = entry.is_refused(segments, now_ms)
                sound += not is_deadly
                refused += is_refused and not is_deadly
                up = [engine for engine in runs_by_engine if down_until_ms[engine] <= now_ms]
                if up and not is_refused:
                    runs_by_engine[rng.choice(up)].append((now_ms, entry, segments, is_deadly))
                    deadly_ms += [now_ms] if is_deadly else []
            for engine, runs in runs_by_engine.items():
                if any(is_deadly and now_ms - begun > 50 for begun, _, _, is_deadly in runs):
                    crashes_ms.append(now_ms)
                    down_until_ms[engine] = now_ms + self.DOWN_MS
                    for _, entry, segments, _ in runs:
                        entry.record_crash(len(crashes_ms), segments, now_ms)
                    runs.clear()
                for run in [run for run in runs if now_ms - run[0] > self.RUN_MS]:
                    runs.remove(run)
                    run[1].record_sound(run[2], now_ms)
        return crashes_ms, deadly_ms, refused, sound

    def test_few_engines_crash_and_sound_requests_are_served(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                crashes_ms, deadly_ms, refused, sound = self.play(seed)
                self.assertGreaterEqual(len(crashes_ms), QUARANTINE_CRASHES)
                fifth_ms = crashes_ms[4] if len(crashes_ms) > 4 else float("inf")
                self.assertLessEqual(sum(ms > fifth_ms + 3000 for ms in deadly_ms), 3)
                self.assertLessEqual(len(crashes_ms), 5)
                self.assertLess(refused, sound / 100)
