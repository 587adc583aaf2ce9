"""When a request is sent again, and which outcome a request gets that is not.

Guards against a second run of a request that must run once, and against an answer "not run" for a
request that may have run. Both come about when an endpoint fails after it was sent the request.
"""

import unittest

from skylarkrack._errors import Code, Outcome
from skylarkrack.core import RetryBudget
from skylarkrack.core.relay import Attempts, FinalFailure
from tests.relay_builders import route

NOT_RUN = {"was_sent": True, "may_have_run": False}
LOST = {"was_sent": True, "may_have_run": True}
UNSENT = {"was_sent": False, "may_have_run": False}


def attempts(*, retries: float = 10.0, **changes: object) -> Attempts:
    """Return the attempts of a request on a route, with a budget of *retries*."""
    return Attempts(route(**changes), RetryBudget(retries))


class TestRequestsThatRunOnce(unittest.TestCase):
    """A route that allows no repeated run."""

    def test_a_refusal_by_an_endpoint_allows_another_send(self) -> None:
        self.assertIsNone(attempts().record_failure(**NOT_RUN))

    def test_a_lost_answer_ends_the_request_as_unknown(self) -> None:
        end = attempts().record_failure(**LOST)
        self.assertEqual(end, FinalFailure(code=Code.ENDPOINT_LOST, outcome=Outcome.UNKNOWN))

    def test_the_fourth_refusal_is_final_and_true(self) -> None:
        tried = attempts()
        ends = [tried.record_failure(**NOT_RUN) for _ in range(4)]
        self.assertEqual(ends[:3], [None] * 3)
        self.assertEqual(ends[3].outcome, Outcome.NOT_RUN)
        self.assertIsNotNone(ends[3].retry_after_ms)

    def test_failed_connections_take_nothing_from_the_retry_budget(self) -> None:
        tried = attempts(retries=1.0)
        self.assertEqual([tried.record_failure(**UNSENT) for _ in range(6)], [None] * 6)


class TestRequestsThatMayBeRepeated(unittest.TestCase):
    """A route that allows two endpoints to run a request."""

    def test_the_second_loss_is_final(self) -> None:
        tried = attempts(is_idempotent=True, max_endpoints=2)
        self.assertIsNone(tried.record_failure(**LOST))
        self.assertEqual(tried.record_failure(**LOST).outcome, Outcome.UNKNOWN)

    def test_a_refusal_after_a_loss_does_not_deny_the_run(self) -> None:
        tried = attempts(is_idempotent=True, max_endpoints=2)
        tried.record_failure(**LOST)
        ends = [tried.record_failure(**NOT_RUN) for _ in range(3)]
        self.assertEqual(ends[-1].outcome, Outcome.UNKNOWN)
        self.assertEqual(tried.failure_if_unplaced().outcome, Outcome.UNKNOWN)

    def test_a_spent_budget_ends_it(self) -> None:
        budget = RetryBudget(1.0)
        first = Attempts(route(is_idempotent=True, max_endpoints=2), budget)
        self.assertIsNone(first.record_failure(**LOST))
        second = Attempts(route(is_idempotent=True, max_endpoints=2), budget)
        self.assertEqual(second.record_failure(**LOST).outcome, Outcome.UNKNOWN)

    def test_a_failure_is_replaced_only_with_enough_time_left(self) -> None:
        tried = attempts(is_idempotent=True, max_endpoints=2, objective_ms=300.0)
        self.assertTrue(tried.may_replace_failure(200.0))
        self.assertFalse(tried.may_replace_failure(100.0))

    def test_a_failure_is_returned_when_no_run_is_left(self) -> None:
        tried = attempts(is_idempotent=True, max_endpoints=2)
        tried.record_failure(**LOST)
        self.assertFalse(tried.may_replace_failure(10_000.0))


class TestDeadline(unittest.TestCase):
    """The outcome of a request whose deadline has passed."""

    def test_a_request_that_only_waited_has_not_run(self) -> None:
        self.assertEqual(attempts().end_at_deadline(is_sent=False).outcome, Outcome.NOT_RUN)

    def test_one_that_was_sent_may_have_run(self) -> None:
        self.assertEqual(attempts().end_at_deadline(is_sent=True).outcome, Outcome.UNKNOWN)

    def test_a_request_that_waits_after_a_lost_answer_may_have_run(self) -> None:
        tried = attempts(is_idempotent=True, max_endpoints=2)
        tried.record_failure(**LOST)
        self.assertEqual(tried.end_at_deadline(is_sent=False).outcome, Outcome.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
