"""An entry's share of every fleet budget, under a roster that entries read at different times.

The shares of all entries must never add up to more than the whole. With N entries in the roster
each share is 1/N. A smaller share takes effect at once. A larger one takes effect only after every
other entry has either read the newer roster or stopped granting because its access lease ended.
"""

from collections.abc import Set

from skylarkrack.core._access_lease import ACCESS_LEASE_MS

PLEDGE_LEASE_MS = 1500
"""How long a home may use a pledged share, counted from sending the request for it."""

PLEDGE_MARGIN_MS = 150
"""How much longer than the pledge a member waits before it uses its own share again.

It allows for the drift between the clocks of the member and the home.
"""

SHARE_INCREASE_DELAY_MS = ACCESS_LEASE_MS + PLEDGE_LEASE_MS + 2 * PLEDGE_MARGIN_MS
"""Delay before a larger share takes effect.

It covers the access lease of an entry with an older roster, a pledge made just before that lease
ended, and the clock drift during each.
"""


class ShareSchedule:
    """The fraction of every budget that is this entry's own share, from 0 to 1."""

    __slots__ = ("_fraction", "_pending_changes", "_target", "_vm")

    def __init__(self, *, vm: str) -> None:
        self._vm = vm
        self._fraction = 0.0
        self._target = 0.0
        self._pending_changes: list[tuple[float, float]] = []

    def observe(self, entries: Set[str], *, now_ms: float) -> None:
        """Apply a newer roster of entries; a smaller share takes effect at once."""
        target = 1 / len(entries) if self._vm in entries else 0.0
        self._apply_due_changes(now_ms)
        if target == self._target:
            return
        self._target = target
        self._fraction = min(self._fraction, target)
        self._pending_changes.append((now_ms + SHARE_INCREASE_DELAY_MS, target))

    def fraction(self, now_ms: float) -> float:
        """Return the fraction in effect at *now_ms*."""
        self._apply_due_changes(now_ms)
        return self._fraction

    def is_settled(self, now_ms: float) -> bool:
        """Return whether the share of the newest roster is in effect."""
        self._apply_due_changes(now_ms)
        return not self._pending_changes

    def _apply_due_changes(self, now_ms: float) -> None:
        """Apply the changes whose delay has ended.

        The fraction becomes the smallest of the due target and the targets still pending.
        """
        while self._pending_changes and self._pending_changes[0][0] <= now_ms:
            _, due_target = self._pending_changes.pop(0)
            later = [target for _, target in self._pending_changes]
            self._fraction = min([due_target, *later])
