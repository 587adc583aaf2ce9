"""Keeps repeated offers a small part of the traffic, whatever fails."""

RETRY_FRACTION = 0.1
"""Retries that each request earns."""

MAX_SAVED = 10.0
"""Retries that can be saved up in quiet times."""


class RetryBudget:
    """Retries that an entry may still make; it starts with a few and earns more by requests."""

    __slots__ = ("_saved",)

    def __init__(self) -> None:
        self._saved = MAX_SAVED

    def earn(self) -> None:
        """Count a request."""
        self._saved = min(MAX_SAVED, self._saved + RETRY_FRACTION)

    def spend(self) -> bool:
        """Take one retry, if there is one; tell whether it was taken."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
