"""An entry's share of every fleet budget, under a roster that members see at different times.

The shares of all entries must never add up to more than the whole. Each entry's share is one
part in N of the roster's N entries; a smaller share holds at once and a larger one only after
every other entry has either seen the newer roster or stopped granting for want of fresh evidence.
"""

from collections.abc import Set

from skylarkrack.core._access_lease import ACCESS_LEASE_MS

PLEDGE_LEASE_MS = 1500
"""How long a home may use a pledged share, from its request for it."""

PLEDGE_MARGIN_MS = 150
"""How much longer a member waits before it uses its own share again (drift of two clocks)."""

SHARE_INCREASE_DELAY_MS = ACCESS_LEASE_MS + PLEDGE_LEASE_MS + 2 * PLEDGE_MARGIN_MS
"""How long a larger share waits."""


class ShareSchedule:
    """The fraction of every budget that this entry holds."""

    __slots__ = ("_pending_changes", "_fraction", "_target", "_vm")

    def __init__(self, *, vm: str) -> None:
        self._vm = vm
        self._fraction = 0.0
        self._target = 0.0
        self._pending_changes: list[tuple[float, float]] = []

    def observe(self, entries: Set[str], *, now_ms: float) -> None:
        """Take in a newer roster of entries."""
        target = 1 / len(entries) if self._vm in entries else 0.0
        self._apply_due_changes(now_ms)
        if target == self._target:
            return
        self._target = target
        self._fraction = min(self._fraction, target)
        self._pending_changes.append((now_ms + SHARE_INCREASE_DELAY_MS, target))

    def fraction(self, now_ms: float) -> float:
        """Return the fraction in force at *now_ms*."""
        self._apply_due_changes(now_ms)
        return self._fraction

    def is_settled(self, now_ms: float) -> bool:
        """Tell whether the share of the newest roster is in force."""
        self._apply_due_changes(now_ms)
        return not self._pending_changes

    def _apply_due_changes(self, now_ms: float) -> None:
        """Apply the smallest target of the changes still held, as each hold ends."""
        while self._pending_changes and self._pending_changes[0][0] <= now_ms:
            _, reached = self._pending_changes.pop(0)
            later = [target for _, target in self._pending_changes]
            self._fraction = min([reached, *later])
