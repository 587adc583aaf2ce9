"""Loads that other entries report, and the orders of endpoints, in large fleets.

Sums by endpoint replace a look at every entry's report in each decision. Guards against sums that
differ from the reports: after a report is replaced, has expired, or lies beyond the prefill window.
"""

import random
import unittest

from skylarkrack.core.relay import EndpointLoad, EngineStateReceived, LoadTracker, WaitFor
from skylarkrack.core.relay._load import ABORT_MS, LOAD_TTL_MS, PREFILL_WINDOW_MS
from skylarkrack.core.relay._placement import MAX_CACHED_ORDERS, MAX_HOMES, RankCache
from tests.relay_builders import dispatcher, endpoint, pending_request, state

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


class TestAbortedRuns(unittest.TestCase):
    """An engine may still run what an entry gave up; its adapter must not be evicted meanwhile."""

    KEY, ADAPTER = ("10.0.0.1:8000", 1000), ("base", "a1")

    def setUp(self) -> None:
        self.load = LoadTracker()
        self.load.start_run(self.KEY, tokens=10, adapter_id=self.ADAPTER)

    def test_an_aborted_run_is_in_use_until_the_engine_has_noticed(self) -> None:
        self.load.end_run(self.KEY, tokens=10, adapter_id=self.ADAPTER, aborted_ms=100.0)
        in_use = self.load.own_runs_by_adapter(self.KEY, 99.0 + ABORT_MS)
        self.assertEqual(in_use, {self.ADAPTER: 1})
        self.assertEqual(self.load.own_runs_by_adapter(self.KEY, 100.0 + ABORT_MS), {})

    def test_an_aborted_run_takes_no_slot(self) -> None:
        self.load.end_run(self.KEY, tokens=10, adapter_id=self.ADAPTER, aborted_ms=100.0)
        self.assertEqual(self.load.total(self.KEY, 100.0).runs, 0)

    def test_a_run_that_the_engine_ended_is_over(self) -> None:
        self.load.end_run(self.KEY, tokens=10, adapter_id=self.ADAPTER)
        self.assertEqual(self.load.own_runs_by_adapter(self.KEY, 0.0), {})


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
        for number in range(MAX_CACHED_ORDERS + 10):
            homes = cache.ranks(f"m/a{number}", endpoints, ("engines", 1))
            self.assertEqual(len(homes), MAX_HOMES)
        self.assertLessEqual(len(cache._rank_by_id_by_name), MAX_CACHED_ORDERS)


class TestHomes(unittest.TestCase):
    """A fleet of more engines than one adapter's requests go to."""

    def setUp(self) -> None:
        self.engines = [endpoint(f"e{n}") for n in range(60)]
        self.entry = dispatcher(*self.engines, states=tuple(state(0.0) for _ in self.engines))

    def targets(self, adapter: str | None) -> set[str]:
        """Return where requests go, each to an engine that got none before."""
        request = pending_request("r1", adapter)
        found = set()
        for _ in self.engines:
            decision = self.entry.decide(request, 0.0)
            key = decision.key if isinstance(decision, WaitFor) else decision.endpoint.key
            found.add(key[0])
            request.tried.add(key)
        return found

    def test_an_adapter_goes_to_its_homes_first(self) -> None:
        request = pending_request("r1", "a1")
        homes = set()
        for _ in range(MAX_HOMES):
            decision = self.entry.decide(request, 0.0)
            homes.add(decision.key)
            request.tried.add(decision.key)
        self.assertEqual(len(homes), MAX_HOMES)

    def test_all_engines_are_left_when_the_homes_failed(self) -> None:
        self.assertEqual(len(self.targets("a1")), len(self.engines))

    def test_an_engine_outside_the_homes_that_holds_the_adapter_is_used(self) -> None:
        request = pending_request("r1", "a1")
        for _ in range(MAX_HOMES):
            request.tried.add(self.entry.decide(request, 0.0).key)
        outside = next(e for e in self.engines if e.key not in request.tried)
        held = EngineStateReceived(key=outside.key, state=state(0.0, "a1"))
        self.entry.observe(held)
        decision = self.entry.decide(pending_request("r2", "a1"), 0.0)
        self.assertEqual(decision.endpoint.key, outside.key)

    def test_requests_without_an_adapter_use_the_whole_fleet(self) -> None:
        self.assertEqual(len(self.targets(None)), len(self.engines))
