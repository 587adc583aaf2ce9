"""A budget that keeps retries a small fraction of the traffic, whatever fails."""

RETRIES_PER_REQUEST = 0.1
"""Retries added to the budget by each request; bounds the fraction of retries in steady state."""

MAX_SAVED_RETRIES = 10.0
"""Maximum number of unused retries; requests beyond it add none."""


class RetryBudget:
    """Retries that an entry may still make; it starts at its maximum and grows by requests."""

    __slots__ = ("_max_saved", "_saved")

    def __init__(self, max_saved: float = MAX_SAVED_RETRIES) -> None:
        self._max_saved = max_saved
        self._saved = max_saved

    def set_max_saved(self, max_saved: float) -> None:
        """Set the maximum number of unused retries, and drop those above it."""
        self._max_saved = max_saved
        self._saved = min(self._saved, max_saved)

    def has_retry(self) -> bool:
        """Return whether at least one retry is left."""
        return self._saved >= 1

    def earn(self) -> None:
        """Add the retries of one request."""
        self._saved = min(self._max_saved, self._saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry; return False if none is left."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
