"""Loads that other entries report, and the orders of endpoints, in large fleets.

Sums by endpoint replace a look at every entry's report in each decision. Guards against sums that
differ from the reports: after a report is replaced, has expired, or lies beyond the prefill window.
"""

import random
import unittest

from skylarkrack.core.relay import EndpointLoad, LoadTracker
from skylarkrack.core.relay._load import LOAD_TTL_MS, PREFILL_WINDOW_MS
from skylarkrack.core.relay._placement import MAX_CACHED_RANKS, RankCache
from tests.relay_builders import endpoint

KEYS = [(f"10.0.0.{n}:80", 1) for n in range(4)]


class TestSums(unittest.TestCase):
    """The sums beside a model that adds up the reports for each query."""

    def expected(self, reports: dict, key: tuple, now_ms: float) -> tuple:
        """Return runs, tokens, prefill and reserved tokens at an endpoint."""
        sums = [0, 0, 0, 0]
        for received_ms, load_by_key in reports.values():
            load, age_ms = load_by_key.get(key), now_ms - received_ms
            if load is None or age_ms >= LOAD_TTL_MS:
                continue
            sums[0] += load.runs
            sums[1] += load.tokens
            if age_ms < PREFILL_WINDOW_MS:
                sums[2] += load.prefill_tokens
                sums[3] += load.reserved_tokens
        return tuple(sums)

    def test_any_order_of_reports(self) -> None:
        for seed in range(20):
            rng, tracker, reports, now_ms = random.Random(seed), LoadTracker(), {}, 0.0
            for _ in range(200):
                now_ms += rng.choice((0.0, 10.0, 100.0, 400.0, 2000.0))
                load_by_key = {
                    key: EndpointLoad(
                        runs=rng.randrange(3),
                        tokens=rng.randrange(900),
                        prefill_tokens=rng.randrange(900),
                        reserved_tokens=rng.randrange(900),
                    )
                    for key in rng.sample(KEYS, rng.randrange(4))
                }
                entry = f"n{rng.randrange(5)}"
                tracker.receive_peer_loads(entry, load_by_key, now_ms=now_ms)
                reports[entry] = (now_ms, load_by_key)
                now_ms += rng.choice((0.0, 50.0, 299.0, 300.0, 1500.0))
                for key in KEYS:
                    total = tracker.total(key, now_ms)
                    sums = total.runs, total.tokens, total.prefill_tokens, total.reserved_tokens
                    self.assertEqual(sums, self.expected(reports, key, now_ms))


class TestRankCache(unittest.TestCase):
    """The positions of endpoints for an adapter."""

    def test_a_changed_set_of_endpoints_is_ranked_anew(self) -> None:
        cache, endpoints = RankCache(), [endpoint(f"e{n}") for n in range(5)]
        before = cache.ranks("m/a1", endpoints, ("engines", 1))
        self.assertEqual(sorted(before.values()), list(range(5)))
        self.assertIs(cache.ranks("m/a1", endpoints, ("engines", 1)), before)
        after = cache.ranks("m/a1", endpoints[1:], ("engines", 2))
        self.assertEqual(after.keys(), {e.endpoint_id for e in endpoints[1:]})

    def test_its_size_is_bounded(self) -> None:
        cache, endpoints = RankCache(), [endpoint(f"e{n}") for n in range(200)]
        for number in range(1000):
            cache.ranks(f"m/a{number}", endpoints, ("engines", 1))
        kept = len(cache._rank_by_id_by_name)
        self.assertLessEqual(kept * len(endpoints), MAX_CACHED_RANKS)
