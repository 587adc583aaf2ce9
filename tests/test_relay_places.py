"""The adapter slots of an engine under any order of demands, reports and lost answers.

Guards against more adapters than slots and against evicting an adapter in use. Both come about when
the answer to an order is lost, or when an entry starts to use an adapter that is about to be
evicted.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from skylarkrack.core.relay import AdapterScheduler, OrderKind, OrderResult, WaitingRequests
from skylarkrack.core.relay._adapter_scheduler import (
    ENTRY_LIVE_MS,
    ORDER_CONFIRMATION_TIMEOUT_MS,
    STARTUP_LISTEN_MS,
)
from tests.relay_builders import MODEL, engine_capacity, report


def adapter_scheduler(*adapters: str) -> AdapterScheduler:
    """Return the scheduler of an engine that holds *adapters* and has three adapter slots."""
    scheduler = AdapterScheduler(fence=1)
    scheduler.set_capacity(engine_capacity())
    scheduler.apply_report(report(*adapters), -STARTUP_LISTEN_MS)
    return scheduler


def want(
    scheduler: AdapterScheduler,
    *adapters: str,
    entry: str = "n1",
    now_ms: float = 0.0,
    version: int = 0,
    acknowledged: int = 0,
    **uses: int,
) -> None:
    """Report an entry's demand: it waits for *adapters* and runs requests on those in *uses*."""
    scheduler.update_demand(
        entry,
        wanted={
            (MODEL, adapter): WaitingRequests(urgency=1, requests=1, version=version)
            for adapter in adapters
        },
        in_use={(MODEL, adapter): count for adapter, count in uses.items()},
        acknowledged_sequence=acknowledged,
        now_ms=now_ms,
    )


def evict(scheduler: AdapterScheduler, *adapters: str, now_ms: float = 0.0) -> object:
    """Let the only entry acknowledge what was retired, and return the order that follows."""
    if scheduler.next_order(now_ms) is not None:
        raise AssertionError("an order before the entry has acknowledged")
    scheduler.record_broadcast(1)
    want(scheduler, *adapters, acknowledged=1, now_ms=now_ms)
    return scheduler.next_order(now_ms)


class TestPlaces(unittest.TestCase):
    """Loads, evictions, and orders that must never be given."""

    def test_a_wanted_adapter_is_loaded(self) -> None:
        scheduler = adapter_scheduler()
        want(scheduler, "a1")
        order = scheduler.next_order(0.0)
        self.assertEqual((order.kind, order.adapter), (OrderKind.LOAD, "a1"))
        self.assertIsNone(scheduler.next_order(0.0))

    def test_the_unused_for_longest_is_evicted(self) -> None:
        scheduler = adapter_scheduler("a1", "a2", "a3")
        want(scheduler, a1=1, now_ms=1.0)
        want(scheduler, a3=1, now_ms=2.0)
        want(scheduler, now_ms=3.0)
        want(scheduler, "a4", now_ms=4.0)
        order = evict(scheduler, "a4", now_ms=4.0)
        self.assertEqual((order.kind, order.adapter), (OrderKind.UNLOAD, "a2"))

    def test_an_eviction_waits_until_every_live_entry_has_heard_of_it(self) -> None:
        scheduler = adapter_scheduler("a1", "a2", "a3")
        want(scheduler, entry="n2")
        want(scheduler, "a4", entry="n1")
        self.assertIsNone(scheduler.next_order(0.0))
        self.assertNotIn((MODEL, "a1"), scheduler.usable_adapters())
        scheduler.record_broadcast(7)
        want(scheduler, "a4", entry="n1", acknowledged=7)
        self.assertIsNone(scheduler.next_order(1.0))
        want(scheduler, entry="n2", acknowledged=6)
        self.assertIsNone(scheduler.next_order(1.0))
        want(scheduler, entry="n2", acknowledged=7)
        self.assertIs(scheduler.next_order(1.0).kind, OrderKind.UNLOAD)

    def test_an_entry_that_began_to_use_a_retired_adapter_keeps_it(self) -> None:
        scheduler = adapter_scheduler("a1", "a2", "a3")
        want(scheduler, "a4", entry="n1")
        scheduler.next_order(0.0)
        scheduler.record_broadcast(1)
        want(scheduler, entry="n2", acknowledged=1, a1=1)
        want(scheduler, "a4", entry="n1", acknowledged=1)
        self.assertIn((MODEL, "a1"), scheduler.usable_adapters())
        order = scheduler.next_order(0.0)
        self.assertTrue(order is None or order.adapter != "a1")

    def test_a_new_agent_listens_before_it_evicts(self) -> None:
        scheduler = AdapterScheduler(fence=1)
        scheduler.set_capacity(engine_capacity())
        scheduler.apply_report(report("a1", "a2", "a3"), 0.0)
        want(scheduler, "a4", entry="n1")
        scheduler.next_order(0.0)
        scheduler.record_broadcast(1)
        want(scheduler, "a4", entry="n1", acknowledged=1, now_ms=STARTUP_LISTEN_MS)
        self.assertIsNone(scheduler.next_order(STARTUP_LISTEN_MS - 1))
        self.assertIs(scheduler.next_order(STARTUP_LISTEN_MS).kind, OrderKind.UNLOAD)

    def test_a_dead_entry_is_not_waited_for(self) -> None:
        scheduler = adapter_scheduler("a1", "a2", "a3")
        want(scheduler, entry="n2")
        want(scheduler, "a4", entry="n1", now_ms=ENTRY_LIVE_MS)
        scheduler.next_order(ENTRY_LIVE_MS)
        scheduler.record_broadcast(1)
        want(scheduler, "a4", entry="n1", acknowledged=1, now_ms=ENTRY_LIVE_MS)
        self.assertIs(scheduler.next_order(ENTRY_LIVE_MS).kind, OrderKind.UNLOAD)

    def test_an_adapter_in_use_is_never_evicted(self) -> None:
        scheduler = adapter_scheduler("a1", "a2", "a3")
        want(scheduler, "a4", entry="n1", a1=1, a2=1)
        want(scheduler, entry="n2", a3=2)
        self.assertIsNone(scheduler.next_order(0.0))
        self.assertEqual(scheduler.spare_slots(0.0), 0)

    def test_a_silent_entry_still_uses_what_it_used(self) -> None:
        scheduler = adapter_scheduler("a1", "a2", "a3")
        want(scheduler, entry="n2", a1=1, a2=1, a3=1)
        want(scheduler, "a4", entry="n1", now_ms=10_000.0)
        self.assertIsNone(scheduler.next_order(10_000.0))

    def test_a_full_engine_evicts_before_it_loads(self) -> None:
        scheduler = adapter_scheduler("a1", "a2", "a3")
        want(scheduler, "a4")
        self.assertIs(evict(scheduler, "a4").kind, OrderKind.UNLOAD)
        scheduler.apply_result(OrderResult.ALREADY_SO, 1.0)
        scheduler.apply_report(report("a2", "a3", sequence=1), 2.0)
        self.assertIs(scheduler.next_order(2.0).kind, OrderKind.LOAD)

    def test_an_order_without_an_answer_keeps_its_place(self) -> None:
        scheduler = adapter_scheduler("a1", "a2")
        want(scheduler, "a4", "a5")
        self.assertEqual(scheduler.next_order(0.0).adapter, "a4")
        scheduler.apply_result(OrderResult.UNKNOWN, 1.0)
        scheduler.apply_report(report("a1", "a2"), 2.0)
        self.assertIsNone(scheduler.next_order(2.0))
        scheduler.apply_report(report("a1", "a2"), ORDER_CONFIRMATION_TIMEOUT_MS)
        want(scheduler, "a4", now_ms=ORDER_CONFIRMATION_TIMEOUT_MS)
        self.assertEqual(scheduler.next_order(ORDER_CONFIRMATION_TIMEOUT_MS).adapter, "a4")

    def test_an_order_without_an_answer_is_not_given_again_at_once(self) -> None:
        scheduler = adapter_scheduler("a1")
        want(scheduler, "a4")
        self.assertEqual(scheduler.next_order(0.0).adapter, "a4")
        scheduler.apply_result(OrderResult.UNKNOWN, 1.0)
        scheduler.apply_report(report("a1"), 2.0)
        self.assertIsNone(scheduler.next_order(2.0))

    def test_a_lost_answer_to_an_order_that_was_carried_out(self) -> None:
        scheduler = adapter_scheduler("a1", "a2")
        want(scheduler, "a4", "a5")
        scheduler.next_order(0.0)
        scheduler.apply_result(OrderResult.UNKNOWN, 1.0)
        scheduler.apply_report(report("a1", "a2", sequence=1, loading={(MODEL, "a4"): 1}), 2.0)
        self.assertIs(evict(scheduler, "a5", now_ms=2.0).kind, OrderKind.UNLOAD)

    def test_a_fenced_order_raises_the_fence(self) -> None:
        scheduler = adapter_scheduler()
        want(scheduler, "a1")
        scheduler.next_order(0.0)
        scheduler.apply_result(OrderResult.FENCED, 0.0)
        self.assertGreater(scheduler.fence, 1)
        self.assertIsNotNone(scheduler.next_order(100.0))

    def test_an_empty_engine_gets_its_model_first(self) -> None:
        scheduler = AdapterScheduler(fence=1)
        scheduler.set_capacity(engine_capacity())
        scheduler.apply_report(report(resident={}), 0.0)
        want(scheduler, "a1")
        order = scheduler.next_order(0.0)
        self.assertEqual((order.model, order.adapter), (MODEL, ""))

    def test_a_newer_version_replaces_an_older_one(self) -> None:
        scheduler = adapter_scheduler("a1")
        want(scheduler, "a1", version=2)
        order = scheduler.next_order(0.0)
        self.assertEqual((order.kind, order.version), (OrderKind.LOAD, 2))

    def test_a_new_incarnation_of_the_engine_forgets_orders(self) -> None:
        scheduler = adapter_scheduler()
        want(scheduler, "a1")
        scheduler.next_order(0.0)
        scheduler.apply_report(report(started_ms=2000), 1.0)
        self.assertIsNotNone(scheduler.next_order(1.0))


class _Engine:
    """An engine that carries out orders and records the most adapters that it held."""

    def __init__(self) -> None:
        self.sequence = 0
        self.held: set[str] = set()
        self.most = 0

    def obey(self, order: object) -> OrderResult:
        if order.expected_sequence != self.sequence:
            return OrderResult.CONFLICT
        self.sequence += 1
        if order.kind is OrderKind.LOAD:
            self.held.add(order.adapter)
        else:
            self.held.discard(order.adapter)
        self.most = max(self.most, len(self.held))
        return OrderResult.ACCEPTED


class TestAnyOrderOfFaults(unittest.TestCase):
    """Slots are never exceeded and nothing in use is evicted, whichever answers are lost."""

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sets(st.integers(1, 6), max_size=3),
                st.sets(st.integers(1, 6), max_size=3),
                st.sampled_from(["answer", "lost answer", "lost order", "no report"]),
            ),
            max_size=40,
        )
    )
    def test_places_and_use(self, steps: list) -> None:
        scheduler, engine, now_ms, broadcast = adapter_scheduler(), _Engine(), 0.0, 0
        usable: set[str] = set()
        for wanted, used, fault in steps:
            now_ms += 50.0
            # The entry uses what it last received as usable, which may have been retired since.
            used = {number for number in used if f"a{number}" in usable}
            want(
                scheduler,
                *(f"a{number}" for number in wanted),
                now_ms=now_ms,
                acknowledged=broadcast,
                **{f"a{number}": 1 for number in used},
            )
            if fault != "no report":
                scheduler.apply_report(report(*engine.held, sequence=engine.sequence), now_ms)
            order = scheduler.next_order(now_ms)
            if order is not None:
                if order.kind is OrderKind.UNLOAD:
                    self.assertNotIn(int(order.adapter[1:]), used)
                result = OrderResult.UNKNOWN if fault == "lost order" else engine.obey(order)
                scheduler.apply_result(
                    OrderResult.UNKNOWN if fault == "lost answer" else result, now_ms
                )
            self.assertLessEqual(engine.most, 3)
            scheduler.record_broadcast(broadcast + 1)
            if fault != "no report":
                broadcast += 1
                usable = {adapter for _, adapter in scheduler.usable_adapters()}
