"""A nose2 plugin that keeps the outcome of every test by its id."""

from nose2 import events, result

PASSED_BY_ID: dict[str, bool] = {}
"""Whether each test that ran has passed; a test with one failed part has not."""


class Outcomes(events.Plugin):
    """Fills `PASSED_BY_ID`."""

    alwaysOn = True  # noqa: N815 - the plugin protocol's name
    configSection = "outcomes"  # noqa: N815

    def testOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Take in one outcome."""
        name = event.test.id().partition(" ")[0]
        is_part = event.outcome == result.SUBTEST
        passed = event.exc_info is None if is_part else bool(event.expected)
        PASSED_BY_ID[name] = PASSED_BY_ID.get(name, True) and passed
