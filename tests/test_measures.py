"""The four measures that tools/measures.py computes from log lines.

Guards against figures that are wrong without any error, as when a refusal that the exact bucket
makes too counts as wrongful, or an organisation with few streams counts as the worst served.
"""

import json
import unittest

from tools.measures import measure


def line(second: float, name: str, **fields: object) -> str:
    """Return a log line of the event *name*, with text before it that the reader skips."""
    at = f"2026-12-04T10:00:{second:06.3f}+00:00"
    return f"  1.0 n1 {at} n1 700 {name} {json.dumps(fields)}"


def ended(second: float, request: str, *, first_ms: float, **fields: object) -> str:
    """Return the last log line of a stream that ended."""
    base = {"request": request, "organisation": "o1", "cost": 100, "took_ms": 0, "runs_there": 2}
    return line(second, "RELAY_ENDED", first_ms=first_ms, **{**base, **fields})


def refused(second: float) -> str:
    """Return the log line of a refusal: the rate is 100 tokens a second, the burst 200 tokens."""
    return line(
        second, "RELAY_REFUSED", request="x", organisation="o1", code=3001, cost=100,
        rate_per_s=100.0, burst=200.0,
    )  # fmt: skip


class TestMeasures(unittest.TestCase):
    """Each measure is computed from log lines of its own."""

    def test_stalls_and_batches(self) -> None:
        rows = [line(0, "RELAY_WAITED", request="r1", waited_ms=250), ended(1, "r1", first_ms=300)]
        rows += [line(0, "RELAY_WAITED", request="r2", waited_ms=50), ended(1, "r2", first_ms=70)]
        measures = measure(["\n".join(rows)])
        self.assertEqual((measures.stream_count, measures.stalled_requests), (2, {"r1"}))
        self.assertIn("0.500 of 2", measures.report()[0])

    def test_the_worst_served(self) -> None:
        rows = [ended(1, "r", first_ms=100.0) for _ in range(30)]
        rows += [ended(1, "r", first_ms=100.0, organisation="o2") for _ in range(30)]
        rows += [ended(1, "r", first_ms=400.0, organisation="o3") for _ in range(30)]
        rows += [ended(1, "r", first_ms=9000.0, organisation="few") for _ in range(5)]
        self.assertEqual(measure(["\n".join(rows)]).worst_served_ratio(), 0.25)

    def test_a_refusal_that_an_exact_bucket_makes_too(self) -> None:
        rows = [ended(0, "r", first_ms=9) for _ in range(2)] + [refused(0.5)]
        self.assertEqual(measure(["\n".join(rows)]).wrongful_refusals(), {"o1": 0})

    def test_a_refusal_with_enough_in_the_bucket(self) -> None:
        rows = [ended(0, "r", first_ms=9) for _ in range(2)] + [refused(1.5)]
        self.assertEqual(measure(["\n".join(rows)]).wrongful_refusals(), {"o1": 1})

    def test_what_did_not_run_takes_nothing_from_the_bucket(self) -> None:
        not_run = line(
            0, "RELAY_REFUSED", request="x", organisation="o1", code=3003, cost=100, took_ms=0,
            outcome="not_run",
        )  # fmt: skip
        rows = [ended(0, "r", first_ms=9), not_run, refused(0.5)]
        self.assertEqual(measure(["\n".join(rows)]).wrongful_refusals(), {"o1": 1})

    def test_lines_of_others_are_passed_over(self) -> None:
        self.assertEqual(measure(["no log line\n"]).stream_count, 0)


if __name__ == "__main__":
    unittest.main()
