"""The guards of the decisions, each with the test that has to fail without it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Guard:
    """A piece of *code* in *file*, what to put in its place, and the *test* that then fails."""

    name: str
    file: str
    code: str
    without: str
    test: str


_CLASS = "tests.test_budget.TestBudgetsOverAllEntries."
_BUDGETS = _CLASS + "test_any_faults_in_any_order"

GUARDS = (
    Guard(
        name="refund-ceiling",
        file="core/_bucket.py",
        code="self.level = min(self.level + amount, ceiling)",
        without="self.level = min(self.level + amount, self.capacity)",
        test="tests.test_budget.TestBucket.test_used_tokens_stay_within_every_window",
    ),
    Guard(
        name="share-hold",
        file="core/_shares.py",
        code="self._fraction = min(self._fraction, target)",
        without="self._fraction = target",
        test=_CLASS + "test_a_larger_share_waits_for_who_has_not_seen_the_roster",
    ),
    Guard(
        name="pledged-share-suspended",
        file="core/_budget.py",
        code="share.bucket.restart(share.pledged_until_ms)",
        without="pass",
        test=_CLASS + "test_a_pledged_share_does_not_grow_at_its_owner",
    ),
    Guard(
        name="pledge-lease-at-home",
        file="core/_pool.py",
        code="if s.until_ms <= now_ms]",
        without="if s.until_ms <= now_ms - 10_000]",
        test=_BUDGETS,
    ),
    Guard(
        name="own-share-after-pledge",
        file="core/_budget.py",
        code="""        if share.pledged_until_ms > now_ms:
            return
        own =""",
        without="        own =",
        test=_CLASS + "test_a_new_home_waits_for_its_own_pledge_to_the_old_one_to_end",
    ),
    Guard(
        name="lease-before-granting",
        file="core/_budget.py",
        code="        if now_ms > self._lease_until_ms:\n            # A process",
        without="        if False:\n            # A process",
        test=_CLASS + "test_a_woken_home_does_not_use_its_larger_share_of_an_older_roster",
    ),
)
