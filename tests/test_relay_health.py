"""Failure ratios of endpoints that fail a part of their requests.

Guards against requests that keep going to such an endpoint: its health checks pass, and one entry
sends it too few requests to notice.
"""

import random
import unittest

from skylarkrack.core.relay import Health, OutcomeCounts

KEY = ("10.0.0.1:8001", 1000)
ENTRIES = 5
FAILING_FRACTION = 0.45
WORTH_A_LOAD = 0.15
"""Failure ratio at which a load elsewhere costs less: 300 of 2000 ms."""


class TestHealth(unittest.TestCase):
    """Failure ratios of one entry."""

    def test_the_failure_ratio_decays(self) -> None:
        health = Health()
        health.record_failure(KEY, 0.0)
        self.assertGreater(health.failure_ratio(KEY, 0.0), WORTH_A_LOAD)
        self.assertLess(health.failure_ratio(KEY, 9000.0), WORTH_A_LOAD / 2)

    def test_successes_of_others_do_not_hide_own_failures(self) -> None:
        health, reported = Health(), OutcomeCounts()
        for round_number in range(1, 30):
            reported = OutcomeCounts(answered=10 * round_number, failed=0)
            health.receive_outcomes("n2", KEY, reported, 100.0 * round_number)
            health.record_failure(KEY, 100.0 * round_number)
        self.assertGreater(health.failure_ratio(KEY, 3000.0), WORTH_A_LOAD)

    def test_totals_are_counted_from_the_first_report(self) -> None:
        health = Health()
        health.receive_outcomes("n2", KEY, OutcomeCounts(answered=0, failed=500), 0.0)
        self.assertEqual(health.failure_ratio(KEY, 0.0), 0.0)

    def test_totals_of_a_restarted_entry_are_counted_anew(self) -> None:
        health = Health()
        for failed in (500, 0, 1):
            health.receive_outcomes("n2", KEY, OutcomeCounts(answered=0, failed=failed), 0.0)
        self.assertAlmostEqual(health.failure_ratio(KEY, 0.0), 0.1)

    def test_outcomes_are_reported_for_a_limited_time(self) -> None:
        health = Health()
        health.record_response(KEY, 50.0, 100.0)
        self.assertEqual(health.recent_outcomes(200.0), {KEY: OutcomeCounts(answered=1, failed=0)})
        self.assertEqual(health.recent_outcomes(5000.0), {})


class TestEndpointThatFailsInPart(unittest.TestCase):
    """Each of five entries sends it two requests a second, and nearly half of them fail."""

    def failures(self, seed: int, *, share: bool) -> int:
        """Return the failures of all entries in ten seconds."""
        rng, totals = random.Random(seed), [OutcomeCounts() for _ in range(ENTRIES)]
        entries = [Health() for _ in range(ENTRIES)]
        failures, now_ms = 0, 0.0
        while now_ms < 10_000.0:
            now_ms += 100.0
            for number, entry in enumerate(entries):
                if entry.failure_ratio(KEY, now_ms) > WORTH_A_LOAD or rng.random() > 0.2:
                    continue
                if rng.random() < FAILING_FRACTION:
                    failures += 1
                    entry.record_failure(KEY, now_ms)
                else:
                    entry.record_response(KEY, 50.0, now_ms)
                totals[number] = entry.recent_outcomes(now_ms)[KEY]
            for number, entry in enumerate(entries if share else ()):
                for other, outcomes in enumerate(totals):
                    if other != number:
                        entry.receive_outcomes(f"n{other}", KEY, outcomes, now_ms)
        return failures

    def test_entries_that_share_lose_fewer_requests(self) -> None:
        alone = sum(self.failures(seed, share=False) for seed in range(20))
        shared = sum(self.failures(seed, share=True) for seed in range(20))
        self.assertLess(shared, alone)


if __name__ == "__main__":
    unittest.main()
