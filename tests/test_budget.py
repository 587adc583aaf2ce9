"""Tests of rate and burst over all entries, which share no state."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from skylarkrack.core import (
    SHARE_INCREASE_DELAY_MS,
    Bucket,
    BudgetCore,
    BudgetMessageReceived,
    EntriesChanged,
    LeaseChanged,
    Limit,
    LimitsChanged,
    LinksChanged,
    ShareSchedule,
    TokensRequested,
    rendezvous_order,
)
from skylarkrack.messages import Reserved
from tests.budget_net import BURST, RATE, BudgetNet
from tests.windows import excess_over_windows

ENTRIES = ("e0", "e1", "e2")
WARM_UP_MS = SHARE_INCREASE_DELAY_MS + 4000
"""Time until shares take effect and buckets are full."""

# Few, coarse values, so that examples often hit the limits exactly.
bucket_steps = st.lists(
    st.one_of(
        st.tuples(st.just("wait"), st.sampled_from((10, 500, 1500, 3000))),
        st.tuples(st.just("take"), st.sampled_from((50, 150, 300))),
        st.tuples(st.just("refund"), st.integers(0, 20), st.sampled_from((0.0, 0.5, 1.0))),
    ),
    min_size=20,
    max_size=60,
)

entry = st.sampled_from(ENTRIES)
faults = st.one_of(
    st.tuples(st.just("refund"), st.integers(0, 50), st.sampled_from((0.0, 0.5))),
    st.tuples(st.just("cut"), entry, entry),
    st.tuples(st.just("heal")),
    st.tuples(st.just("pause"), entry),
    st.tuples(st.just("wake"), entry),
    st.tuples(st.just("kill"), entry),
    st.tuples(st.just("start"), entry),
    st.tuples(st.just("blind"), entry),
    st.tuples(st.just("publish"), st.sets(entry, min_size=1)),
)
# A round: a fault, a wait, and optionally requests for all tokens at every entry.
rounds = st.lists(
    st.tuples(faults, st.sampled_from((50, 300, 1000, 2000, 4000, 9000)), st.booleans()),
    min_size=5,
    max_size=25,
)


def excess(net: BudgetNet) -> float:
    """Return by how many tokens the grants of *net* exceed rate and burst."""
    return excess_over_windows(net.uses(), rate=RATE, burst=BURST)


class TestBucket(unittest.TestCase):
    """The tokens used from a bucket with refunds stay within rate and burst.

    A refund that is simply added to the level can exceed the burst, if the bucket filled up after
    the grant.
    """

    @settings(max_examples=400)
    @given(bucket_steps)
    def test_used_tokens_stay_within_every_window(self, steps: list) -> None:
        bucket = Bucket(rate=100, capacity=300, now_ms=0)
        now_ms, grants = 0.0, []
        for kind, amount, *unused_fraction in steps:
            if kind == "wait":
                now_ms += amount
            elif kind == "take":
                stamp = bucket.take(amount, now_ms=now_ms)
                if stamp is not None:
                    grants.append([now_ms, amount, stamp])
            elif grants:
                grant = grants[amount % len(grants)]
                unused = int(grant[1] * unused_fraction[0])
                grant[1] -= unused
                bucket.refund(unused, stamp=grant[2], now_ms=now_ms)
        uses = [(at_ms, tokens) for at_ms, tokens, _ in grants]
        self.assertLessEqual(excess_over_windows(uses, rate=100, burst=300), 0)

    def test_refund_makes_unused_tokens_available(self) -> None:
        """After a grant that emptied the bucket, its unused tokens can be taken again."""
        bucket = Bucket(rate=100, capacity=300, now_ms=0)
        bucket.advance(3000)
        stamp = bucket.take(300, now_ms=3000)
        bucket.refund(250, stamp=stamp, now_ms=3100)
        self.assertIsNotNone(bucket.take(260, now_ms=3100))


class TestShareSchedule(unittest.TestCase):
    """A smaller share takes effect at once, a larger one after the delay.

    Otherwise entries with an older roster and this one could together hold more than the whole.
    """

    def test_a_larger_share_waits(self) -> None:
        schedule = ShareSchedule(vm="e0")
        schedule.observe({"e0", "e1"}, now_ms=0)
        self.assertEqual(schedule.fraction(SHARE_INCREASE_DELAY_MS - 1), 0)
        self.assertEqual(schedule.fraction(SHARE_INCREASE_DELAY_MS), 0.5)
        schedule.observe({"e0", "e1", "e2", "e3"}, now_ms=10_000)
        self.assertEqual(schedule.fraction(10_000), 0.25)
        schedule.observe({"e0"}, now_ms=20_000)
        self.assertEqual(schedule.fraction(20_000), 0.25)
        self.assertEqual(schedule.fraction(20_000 + SHARE_INCREASE_DELAY_MS), 1)

    def test_a_smaller_share_replaces_a_pending_larger_one(self) -> None:
        schedule = ShareSchedule(vm="e0")
        schedule.observe({"e0"}, now_ms=0)
        schedule.observe({"e0", "e1"}, now_ms=1000)
        self.assertEqual(schedule.fraction(SHARE_INCREASE_DELAY_MS), 0.5)


class TestBudgetsOverAllEntries(unittest.TestCase):
    """The grants of all entries together stay within rate and burst in every window.

    They could grant more if a share were usable in two places at once: at its owner and a home, at
    two homes, or under two rosters. Partitions and paused or replaced processes can lead to that.
    """

    @settings(max_examples=120)
    @given(rounds)
    def test_any_faults_in_any_order(self, steps: list) -> None:
        net = BudgetNet(*ENTRIES)
        net.advance(WARM_UP_MS)
        for (name, *arguments), wait_ms, is_overloaded in steps:
            self._apply_fault(net, name, arguments)
            net.advance(wait_ms)
            if is_overloaded:
                net.request_all_tokens()
        net.advance(5000)
        self.assertLessEqual(excess(net), 0)

    def _apply_fault(self, net: BudgetNet, name: str, arguments: list) -> None:
        if name in ("refund", "cut", "heal", "kill"):
            getattr(net, name)(*arguments)
        elif name == "publish":
            net.publish(*sorted(arguments[0]))
        elif name == "start":
            if arguments[0] not in net.node_by_vm:
                net.start(arguments[0])
        elif arguments[0] in net.node_by_vm:
            node = net.node_by_vm[arguments[0]]
            if name == "blind":
                node.reads_platform = False
            else:
                node.paused = name == "pause"

    def test_uneven_balancing_refuses_no_request(self) -> None:
        """Without faults, a single entry can use the whole rate and burst."""
        net = BudgetNet(*ENTRIES)
        net.advance(WARM_UP_MS)
        net.request_tokens("e1", 300)
        net.advance(100)
        for _ in range(20):
            net.advance(1000)
            net.request_tokens("e1", 95)
        net.advance(1000)
        self.assertEqual(net.denied, [])
        self.assertEqual(len(net.grants), 21)

    def test_every_entry_is_served_after_its_home_dies(self) -> None:
        """The shares of the remaining entries are usable again once their pledges have ended."""
        net, home = self._net_with_killed_home()
        net.advance(3000)
        before = len(net.grants)
        for vm in set(ENTRIES) - {home}:
            net.request_tokens(vm, 20)
        net.advance(1000)
        self.assertEqual(len(net.grants) - before, 2)
        self.assertLessEqual(excess(net), 0)

    def test_a_resumed_home_does_not_use_its_larger_share_of_an_older_roster(self) -> None:
        """It was paused while the roster grew, and others already use a part of its old share."""
        home, member, newcomer = self._entries_by_preference()
        net = BudgetNet(home, member)
        net.advance(WARM_UP_MS)
        net.request_tokens(member, 10)
        net.advance(500)
        net.node_by_vm[home].paused = True
        net.publish(home, member, newcomer)
        net.start(newcomer)
        net.cut(home, member)
        net.cut(home, newcomer)
        net.advance(15_000)
        net.request_tokens(member, 100)
        net.request_tokens(newcomer, 100)
        net.heal()
        net.advance(50)
        net.request_tokens(member, 140)
        net.node_by_vm[home].paused = False
        net.advance(500)
        self.assertGreaterEqual(len(net.grants), 3)
        self.assertLessEqual(excess(net), 0)

    def test_a_new_home_waits_for_its_own_pledge_to_the_old_one_to_end(self) -> None:
        """The old home may still use the pledged share, because it has not read the new roster."""
        home, successor, _ = self._entries_by_preference()
        net = BudgetNet(*ENTRIES)
        net.advance(WARM_UP_MS)
        net.request_tokens(home, 10)
        net.advance(3000)
        net.node_by_vm[home].reads_platform = False
        net.publish(*(set(ENTRIES) - {home}))
        net.advance(50)
        net.request_tokens(successor, 1)
        net.advance(950)
        net.request_tokens(home, 300)
        net.request_tokens(successor, 30)
        net.advance(50)
        self.assertGreaterEqual(len(net.grants), 2)
        self.assertLessEqual(excess(net), 0)

    def test_a_larger_share_waits_for_an_entry_with_an_older_roster(self) -> None:
        """An entry that was removed from the roster spends its old share until its lease ends."""
        home, member, leaver = self._entries_by_preference()
        net = BudgetNet(*ENTRIES)
        net.advance(WARM_UP_MS)
        net.cut(home, leaver)
        net.cut(member, leaver)
        net.request_tokens(home, 10)
        net.advance(6000)
        net.node_by_vm[leaver].reads_platform = False
        net.publish(home, member)
        net.advance(1500)
        net.request_tokens(leaver, 95)
        net.request_all_tokens()
        self.assertLessEqual(excess(net), 0)

    def test_a_pledged_share_does_not_grow_at_its_owner(self) -> None:
        """The owner starts empty when the pledge ends, because the home used what had accrued."""
        home, member, _ = self._entries_by_preference()
        net = BudgetNet(*ENTRIES)
        net.advance(WARM_UP_MS)
        net.request_tokens(home, 10)
        net.advance(5000)
        net.cut(home, member)
        net.advance(1000)
        net.request_tokens(home, 290)
        net.advance(700)
        net.request_tokens(member, 90)
        net.advance(500)
        self.assertLessEqual(excess(net), 0)

    def test_a_request_during_the_loss_of_the_home_waits_and_is_served(self) -> None:
        """It waits for the end of the pledge, and for enough tokens to accrue to the own share."""
        net, home = self._net_with_killed_home()
        for vm in set(ENTRIES) - {home}:
            net.request_tokens(vm, 20)
        net.advance(3000)
        self.assertEqual(net.denied, [])
        self.assertEqual(len(net.grants), 3)

    def test_a_refund_of_a_grant_by_an_earlier_process_is_dropped(self) -> None:
        """The new process on the home's VM starts empty; a refund would exceed the burst."""
        home, member, _ = self._entries_by_preference()
        net = BudgetNet(*ENTRIES)
        net.advance(WARM_UP_MS)
        for _ in range(10):
            net.request_tokens(member, 1)
        net.request_tokens(member, 100)
        net.advance(100)
        net.kill(home)
        net.advance(2000)
        net.start(home)
        net.advance(WARM_UP_MS)
        net.request_tokens(member, 10)
        net.advance(5000)
        net.request_tokens(home, 300)
        net.refund(10, 0.0)
        net.advance(100)
        net.request_tokens(home, 90)
        net.advance(100)
        self.assertLessEqual(excess(net), 0)

    def test_an_answer_to_an_earlier_process_is_not_taken(self) -> None:
        """A home answers a process on this VM whose successor waits for another reservation."""
        home = next(n for n in "abcdefgh" if rendezvous_order("b", (n, "e1"))[0] == n)
        earlier, core = BudgetCore(vm="e1", incarnation=1), BudgetCore(vm="e1", incarnation=2)
        for event in (
            LimitsChanged(limit_by_budget={"b": Limit(rate=1, burst=100)}),
            EntriesChanged(entries={home, "e1"}),
            LeaseChanged(until_ms=1e9),
            LinksChanged(linked={home}),
        ):
            earlier.handle(event, 0)
            core.handle(event, 0)
        (send,) = earlier.handle(TokensRequested(ticket="old", budget="b", tokens=1), 0)
        core.handle(TokensRequested(ticket="new", budget="b", tokens=90), 0)
        late = Reserved(sequence=send.message.sequence, pool=1, stamp=1)
        self.assertEqual(core.handle(BudgetMessageReceived(vm=home, message=late), 10), [])

    def _net_with_killed_home(self) -> tuple[BudgetNet, str]:
        """Return a net in which the home of the budget was just killed, and its VM name."""
        net = BudgetNet(*ENTRIES)
        net.advance(WARM_UP_MS)
        net.request_tokens("e0", 10)
        net.advance(500)
        home = net.node_by_vm["e0"].core.home_of("organisation/singers")
        net.kill(home)
        return net, home

    def _entries_by_preference(self) -> list[str]:
        return rendezvous_order("organisation/singers", ENTRIES)
