"""Tests of `IdempotencyLedger`: calls with an idempotency key run at most once."""

import unittest

from skylarkrack._errors import Code, Outcome
from skylarkrack.core import (
    IdempotencyLedger,
    RefuseRun,
    ReplayAnswer,
    StartCall,
    StoredAnswer,
    rendezvous_first,
    rendezvous_key,
)
from tests.builders import call

LATER_MS = 1_000_000.0
WINDOW_MS = 60_000
PAID = StoredAnswer(status=200, headers=(), body=b"paid")


def sole_agent_ledger(incarnation: str = "i1") -> IdempotencyLedger:
    """Return the ledger of an agent that has been the only one of its service since time 0."""
    ledger = IdempotencyLedger(vm="a", incarnation=incarnation, now_ms=0)
    ledger.observe_agents({"a"}, now_ms=0)
    return ledger


class TestLedger(unittest.TestCase):
    """Each key is started at most once; refusals report the right outcome.

    A wrong start would run a call twice; a wrong "not run" would make the caller run it twice.
    """

    def _refused(self, decision: object, code: Code, outcome: Outcome) -> None:
        self.assertIsInstance(decision, RefuseRun)
        self.assertEqual((decision.code, decision.outcome), (code, outcome))

    def test_a_repeat_gets_the_first_answer(self) -> None:
        ledger = sole_agent_ledger()
        first = ledger.offer(call("r1"), now_ms=LATER_MS)
        self.assertIsInstance(first, StartCall)
        ledger.record_answer(first.call, PAID, now_ms=LATER_MS)
        again = ledger.offer(call("r2"), now_ms=LATER_MS + 1)
        self.assertIsInstance(again, ReplayAnswer)
        self.assertEqual((again.request_id, again.answer), ("r2", PAID))

    def test_a_repeat_while_the_first_call_runs_is_refused(self) -> None:
        ledger = sole_agent_ledger()
        ledger.offer(call("r1"), now_ms=LATER_MS)
        again = ledger.offer(call("r2"), now_ms=LATER_MS)
        self._refused(again, Code.IN_PROGRESS, Outcome.UNKNOWN)

    def test_a_repeat_after_a_lost_answer_is_refused(self) -> None:
        ledger = sole_agent_ledger()
        first = ledger.offer(call("r1"), now_ms=LATER_MS)
        ledger.record_lost_answer(first.call, now_ms=LATER_MS)
        again = ledger.offer(call("r2"), now_ms=LATER_MS + 1)
        self._refused(again, Code.MAY_HAVE_RUN, Outcome.UNKNOWN)

    def test_the_same_key_with_another_body(self) -> None:
        ledger = sole_agent_ledger()
        ledger.offer(call("r1"), now_ms=LATER_MS)
        again = ledger.offer(call("r2", body_digest=b"other"), now_ms=LATER_MS)
        self._refused(again, Code.KEY_REUSED, Outcome.NOT_RUN)

    def test_organisations_have_separate_keys(self) -> None:
        ledger = sole_agent_ledger()
        ledger.offer(call("r1"), now_ms=LATER_MS)
        other = ledger.offer(call("r2", organisation="singers"), now_ms=LATER_MS)
        self.assertIsInstance(other, StartCall)

    def test_a_restarted_agent_refuses_what_an_earlier_incarnation_may_have_run(self) -> None:
        ledger = sole_agent_ledger("i2")
        early = ledger.offer(call("r1"), now_ms=WINDOW_MS - 1)
        self._refused(early, Code.MAY_HAVE_RUN, Outcome.UNKNOWN)
        self.assertIsInstance(ledger.offer(call("r2"), now_ms=WINDOW_MS), StartCall)

    def test_an_agent_that_has_just_become_the_home(self) -> None:
        """An agent that has just left the roster may have run the key within the repeat window."""
        others = [n for n in ("b", "c", "d", "e") if rendezvous_first(self._key(), ("a", n)) == n]
        ledger = sole_agent_ledger()
        ledger.observe_agents({"a", others[0]}, now_ms=100)
        ledger.observe_agents({"a"}, now_ms=LATER_MS)
        soon = ledger.offer(call("r1"), now_ms=LATER_MS + WINDOW_MS - 1)
        self._refused(soon, Code.MAY_HAVE_RUN, Outcome.UNKNOWN)
        later = ledger.offer(call("r2"), now_ms=LATER_MS + WINDOW_MS)
        self.assertIsInstance(later, StartCall)

    def test_an_agent_that_is_not_the_home_refuses(self) -> None:
        other = next(n for n in "bcdefgh" if rendezvous_first(self._key(), ("a", n)) == n)
        ledger = sole_agent_ledger()
        ledger.observe_agents({"a", other}, now_ms=100)
        decision = ledger.offer(call("r1"), now_ms=LATER_MS)
        self._refused(decision, Code.MAY_HAVE_RUN, Outcome.UNKNOWN)

    def test_a_ticket_binds_a_key_to_one_incarnation(self) -> None:
        first, second = sole_agent_ledger("i1"), sole_agent_ledger("i2")
        ticket = first.ticket(10)
        self.assertIsInstance(first.offer(call("r1", ticket=ticket), now_ms=20), StartCall)
        at_other = second.offer(call("r2", ticket=ticket), now_ms=LATER_MS)
        self._refused(at_other, Code.MAY_HAVE_RUN, Outcome.UNKNOWN)

    def test_forged_and_expired_tickets_are_refused(self) -> None:
        ledger = sole_agent_ledger()
        good = ledger.ticket(LATER_MS)
        rows = ("", "a~i1~", "a~i1~99", "a~i1~-1", "a~i2~1", "b~i1~1", "a~i1~x", "junk")
        for ticket in rows[1:]:
            with self.subTest(ticket=ticket):
                decision = ledger.offer(call("r", ticket=ticket), now_ms=LATER_MS)
                self._refused(decision, Code.MAY_HAVE_RUN, Outcome.UNKNOWN)
        old = ledger.offer(call("r", ticket=good), now_ms=LATER_MS + 4_000_000)
        self._refused(old, Code.MAY_HAVE_RUN, Outcome.UNKNOWN)

    def test_records_outlive_the_tickets_they_were_made_under(self) -> None:
        """A key that was forgotten while its ticket is still valid would be started again."""
        ledger = sole_agent_ledger()
        ticket = ledger.ticket(0)
        first = ledger.offer(call("r1", ticket=ticket), now_ms=0)
        ledger.record_answer(first.call, PAID, now_ms=1)
        for now_ms in range(0, 10_000_000, 100_000):
            decision = ledger.offer(call("r2", ticket=ticket), now_ms=now_ms)
            self.assertNotIsInstance(decision, StartCall)

    def test_a_call_that_was_never_sent_may_be_sent_again(self) -> None:
        ledger = sole_agent_ledger()
        first = ledger.offer(call("r1"), now_ms=LATER_MS)
        ledger.remove_record(first.call)
        self.assertIsInstance(ledger.offer(call("r2"), now_ms=LATER_MS), StartCall)

    def _key(self) -> str:
        return rendezvous_key("bursars", "k")
