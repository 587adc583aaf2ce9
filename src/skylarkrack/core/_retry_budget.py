"""Keeps repeated offers a small part of the traffic, whatever fails."""

RETRIES_PER_REQUEST = 0.1
"""Retries that each request earns."""

MAX_SAVED_RETRIES = 10.0
"""Retries that can be saved up in quiet times."""


class RetryBudget:
    """Retries that an entry may still make; it starts with a few and earns more by requests."""

    __slots__ = ("_max_saved", "_saved")

    def __init__(self, most: float = MAX_SAVED_RETRIES) -> None:
        self._max_saved = most
        self._saved = most

    def set_max_saved(self, most: float) -> None:
        """Bound what can be saved up."""
        self._max_saved = most
        self._saved = min(self._saved, most)

    def has_retry(self) -> bool:
        """Tell whether a retry could be taken."""
        return self._saved >= 1

    def earn(self) -> None:
        """Count a request."""
        self._saved = min(self._max_saved, self._saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry, if there is one; tell whether it was taken."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
