"""A nose2 plugin that records whether each test passed, by the test's id."""

from nose2 import events, result

PASSED_BY_ID: dict[str, bool] = {}
"""Whether each test that ran passed. A test with a failed subtest did not pass."""


class Outcomes(events.Plugin):
    """Fills `PASSED_BY_ID` while the tests run."""

    alwaysOn = True  # noqa: N815 - a name of nose2's plugin protocol
    configSection = "outcomes"  # noqa: N815

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Record the outcome of a test or subtest; the id of a subtest's test ends at the space."""
        test_id = event.test.id().partition(" ")[0]
        is_subtest = event.outcome == result.SUBTEST
        passed = event.exc_info is None if is_subtest else bool(event.expected)
        PASSED_BY_ID[test_id] = PASSED_BY_ID.get(test_id, True) and passed
