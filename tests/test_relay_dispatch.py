"""Where requests are sent, what they wait for, and which are refused at once."""

import unittest

from skylarkrack._errors import Code
from skylarkrack.core.relay import (
    AdapterPublished,
    EngineStateReceived,
    Refuse,
    SendTo,
    TablePublished,
    WaitFor,
    WaitingRequests,
)
from tests.relay_builders import MODEL, dispatcher, endpoint, need, pending_request, state, table


class TestAwaitedAdapters(unittest.TestCase):
    """Which reports of engines are worth a decision about the queue at once."""

    def test_only_those_with_an_adapter_that_is_waited_for(self) -> None:
        engine = endpoint("e1")
        entry = dispatcher(engine, states=(state(0.0, "a2"),))
        request = pending_request("r1", "a1")
        decision = entry.decide(request, 0.0)
        self.assertIsInstance(decision, WaitFor)
        entry.add_waiting(request, decision)
        self.assertFalse(entry.is_awaited(state(0.0, "a2")))
        self.assertTrue(entry.is_awaited(state(0.0, "a1", "a2")))


class TestPlacement(unittest.TestCase):
    """A request goes to the endpoint with the least expected delay."""

    def test_a_request_goes_to_the_engine_that_holds_its_adapter(self) -> None:
        one, two = endpoint("e1"), endpoint("e2")
        for holder in (0, 1):
            states = [state(0.0), state(0.0)]
            states[holder] = state(0.0, "a1")
            decision = dispatcher(one, two, states=tuple(states)).decide(pending_request(), 0.0)
            self.assertIsInstance(decision, SendTo)
            self.assertEqual(decision.endpoint, (one, two)[holder])
            self.assertEqual(decision.version, 1)

    def test_requests_for_one_adapter_wait_at_one_engine(self) -> None:
        endpoints = [endpoint(f"e{index}") for index in range(1, 6)]
        entry = dispatcher(*endpoints, states=tuple(state(0.0) for _ in endpoints))
        keys = set()
        for index in range(4):
            waiting = pending_request(f"r{index}")
            decision = entry.decide(waiting, 0.0)
            self.assertIsInstance(decision, WaitFor)
            entry.add_waiting(waiting, decision)
            keys.add(decision.key)
        self.assertEqual(len(keys), 1)
        self.assertEqual(
            entry.wanted_at(keys.pop()), {(MODEL, "a1"): WaitingRequests(urgency=1, requests=4)}
        )

    def test_a_full_engine_hands_a_popular_adapter_on(self) -> None:
        one, two = endpoint("e1"), endpoint("e2")
        entry = dispatcher(one, two, states=(state(0.0, "a1"), state(0.0)))
        for _ in range(10):
            entry.load.start_run(one.key, tokens=200, adapter_id=(MODEL, "a1"))
        decision = entry.decide(pending_request(), 0.0)
        self.assertIsInstance(decision, WaitFor)
        self.assertEqual(decision.key, two.key)

    def test_waiting_requests_are_sent_when_the_adapter_is_loaded(self) -> None:
        one = endpoint("e1")
        entry = dispatcher(one, states=(state(0.0),))
        waiting = pending_request()
        entry.add_waiting(waiting, entry.decide(waiting, 0.0))
        self.assertEqual(entry.take_ready(10.0), [])
        entry.observe(EngineStateReceived(key=one.key, state=state(20.0, "a1")))
        ((ready, decision),) = entry.take_ready(20.0)
        self.assertIs(ready, waiting)
        self.assertIsInstance(decision, SendTo)
        self.assertEqual(entry.take_ready(20.0), [])

    def test_the_more_urgent_goes_first(self) -> None:
        one = endpoint("e1")
        entry = dispatcher(one, states=(state(0.0),))
        for name, priority in (("late", 2), ("urgent", 0), ("usual", 1)):
            waiting = pending_request(name, priority=priority)
            entry.add_waiting(waiting, entry.decide(waiting, 0.0))
        entry.observe(EngineStateReceived(key=one.key, state=state(20.0, "a1")))
        names = [ready.call.request_id for ready, _ in entry.take_ready(20.0)]
        self.assertEqual(names, ["urgent", "usual", "late"])

    def test_an_announced_version_is_waited_for(self) -> None:
        one = endpoint("e1")
        entry = dispatcher(one, states=(state(0.0, "a1"),))
        entry.observe(AdapterPublished(model=MODEL, adapter="a1", version=2))
        self.assertIsInstance(entry.decide(pending_request(), 0.0), WaitFor)
        newer = state(1.0, resident={(MODEL, ""): 0, (MODEL, "a1"): 2})
        entry.observe(EngineStateReceived(key=one.key, state=newer))
        self.assertEqual(entry.decide(pending_request(), 1.0).version, 2)

    def test_an_engine_that_answered_that_it_lacks_the_adapter(self) -> None:
        one = endpoint("e1")
        entry = dispatcher(one, states=(state(0.0, "a1"),))
        entry.record_missing_adapter(one.key, need("a1"))
        self.assertIsInstance(entry.decide(pending_request(), 0.0), WaitFor)

    def test_a_registration_that_the_engine_denies(self) -> None:
        one = endpoint("e1", adapters_by_model={MODEL: {"a1": 1}})
        entry = dispatcher(one)
        entry.record_missing_adapter(one.key, need("a1"))
        self.assertIsInstance(entry.decide(pending_request(), 0.0), WaitFor)
        entry.observe(EngineStateReceived(key=one.key, state=state(1.0, "a1")))
        self.assertIsInstance(entry.decide(pending_request(), 1.0), SendTo)

    def test_an_engine_whose_agent_is_silent_serves_what_it_holds(self) -> None:
        one = endpoint("e1", adapters_by_model={MODEL: {"a1": 1}})
        entry = dispatcher(one)
        self.assertIsInstance(entry.decide(pending_request(), 0.0), SendTo)
        self.assertIsInstance(entry.decide(pending_request(adapter="a2"), 0.0), WaitFor)

    def test_an_endpoint_that_may_have_left_is_passed_over(self) -> None:
        one, two = endpoint("e1"), endpoint("e2")
        entry = dispatcher(one, two, states=(state(0.0, "a1"), state(0.0, "a1")))
        first = entry.decide(pending_request(), 0.0).endpoint
        entry.directory.registry_lost()
        entry.directory.registry_restored(0.0)
        entry.directory.remove(first.endpoint_id, 0.0)
        self.assertNotEqual(entry.decide(pending_request(), 0.0).endpoint, first)

    def test_endpoints_that_all_lapsed_still_serve(self) -> None:
        one, two = endpoint("e1"), endpoint("e2")
        entry = dispatcher(one, two, states=(state(0.0, "a1"), state(0.0, "a1")))
        entry.directory.registry_lost()
        entry.directory.apply_listing(set(), 0.0)
        self.assertIsInstance(entry.decide(pending_request(), 0.0), SendTo)

    def test_failures_move_requests_away(self) -> None:
        one, two = endpoint("e1"), endpoint("e2")
        entry = dispatcher(one, two, states=(state(0.0, "a1"), state(0.0, "a1")))
        first = entry.decide(pending_request(), 0.0).endpoint
        for _ in range(3):
            entry.health.record_failure(first.key, 0.0)
        self.assertNotEqual(entry.decide(pending_request(), 0.0).endpoint, first)

    def test_an_unreachable_endpoint_is_passed_over_for_a_while(self) -> None:
        one, two = endpoint("e1"), endpoint("e2")
        entry = dispatcher(one, two, states=(state(0.0, "a1"), state(0.0, "a1")))
        first = entry.decide(pending_request(), 0.0).endpoint
        entry.health.record_unreachable(first.key, 0.0)
        self.assertNotEqual(entry.decide(pending_request(), 0.0).endpoint, first)


class TestRefusals(unittest.TestCase):
    """A request that can't be served in time is refused at once."""

    def test_no_endpoint(self) -> None:
        decision = dispatcher().decide(pending_request(), 0.0)
        self.assertIsInstance(decision, Refuse)
        self.assertIs(decision.code, Code.NO_ENDPOINT)

    def test_no_time_for_a_load(self) -> None:
        entry = dispatcher(endpoint("e1"), states=(state(0.0),))
        decision = entry.decide(pending_request(deadline_ms=200.0), 0.0)
        self.assertIsInstance(decision, Refuse)
        self.assertGreater(decision.retry_after_ms, 0)

    def test_a_waiting_request_whose_time_runs_out(self) -> None:
        entry = dispatcher(endpoint("e1"), states=(state(0.0),))
        waiting = pending_request(deadline_ms=1000.0)
        entry.add_waiting(waiting, entry.decide(waiting, 0.0))
        self.assertEqual(entry.take_ready(100.0), [])
        ((ready, decision),) = entry.take_ready(900.0)
        self.assertIs(ready, waiting)
        self.assertIsInstance(decision, Refuse)

    def test_an_engine_that_is_empty_is_waited_for_as_long_as_its_model_takes(self) -> None:
        entry = dispatcher(endpoint("e1"), states=(state(0.0, resident={}),))
        self.assertIsInstance(entry.decide(pending_request(deadline_ms=2500.0), 0.0), WaitFor)
        self.assertIsInstance(entry.decide(pending_request(deadline_ms=2000.0), 0.0), Refuse)

    def test_a_model_on_its_way_is_waited_for_half_as_long(self) -> None:
        empty = state(0.0, resident={}, loading={(MODEL, ""): 0})
        entry = dispatcher(endpoint("e1"), states=(empty,))
        self.assertIsInstance(entry.decide(pending_request(deadline_ms=1500.0), 0.0), WaitFor)
        self.assertIsInstance(entry.decide(pending_request(deadline_ms=1000.0), 0.0), Refuse)


class TestTable(unittest.TestCase):
    """An older routing table never replaces a newer one."""

    def test_an_older_table_changes_nothing(self) -> None:
        entry = dispatcher()
        self.assertTrue(entry.observe(TablePublished(table=table(7))))
        self.assertFalse(entry.observe(TablePublished(table=table(5))))
        self.assertEqual(entry.table.version, 7)

    def test_the_longest_prefix(self) -> None:
        rows = (("/chat/x", "chat"), ("/fees/", "fees"), ("/chatx/", None), ("/", None))
        for path, name in rows:
            matched = table().route_for("a.example", path)
            self.assertEqual(None if matched is None else matched.name, name)

    def test_a_split_by_weight(self) -> None:
        from tests.relay_builders import route

        split = route(shares=(("old", 90.0), ("new", 10.0)))
        names = [split.service_for(f"request-{index}") for index in range(2000)]
        self.assertEqual(split.service_for("request-1"), names[1])
        self.assertTrue(100 < names.count("new") < 300)
