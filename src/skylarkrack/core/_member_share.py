"""An entry's own share of one budget, which is usable in only one place at a time."""

from skylarkrack.core._bucket import Bucket
from skylarkrack.core._pool import Pool, PooledShare
from skylarkrack.core._shares import PLEDGE_LEASE_MS, PLEDGE_MARGIN_MS

_FOREVER_MS = float("inf")


class MemberShare:
    """A share that is spent here, pledged to a home, or part of this entry's own pool.

    *pledged_to* is the last home that it was pledged to; the pledge may have ended.
    """

    __slots__ = ("_bucket", "_pledged_until_ms", "pledged_to")

    def __init__(self, *, now_ms: float) -> None:
        self._bucket = Bucket(rate=0, capacity=0, now_ms=now_ms)
        self._pledged_until_ms = 0.0
        self.pledged_to: str | None = None

    # Queries

    def pledge_left_ms(self, now_ms: float) -> float:
        """Return the milliseconds until the share's pledge ends; 0 if it is not pledged."""
        return max(0.0, self._pledged_until_ms - now_ms)

    def wait_ms(self, tokens: int, *, now_ms: float) -> float:
        """Return the milliseconds until *tokens* can be taken here; infinite if never."""
        return self.pledge_left_ms(now_ms) + self._bucket.wait_ms(tokens, now_ms=now_ms)

    # Commands

    def reshape(self, *, rate: float, capacity: float, now_ms: float) -> None:
        """Set the rate (tokens a second) and capacity (tokens) of the share."""
        self._bucket.reshape(rate=rate, capacity=capacity, now_ms=now_ms)

    def take(self, tokens: int, *, now_ms: float) -> int | None:
        """Take *tokens* and return the grant's stamp; None if pledged or too few are left."""
        if self.pledge_left_ms(now_ms):
            return None
        return self._bucket.take(tokens, now_ms=now_ms)

    def refund(self, tokens: int, *, stamp: int, now_ms: float) -> None:
        """Return unused *tokens* of the grant *stamp* to this share."""
        self._bucket.refund(tokens, stamp=stamp, now_ms=now_ms)

    def pledge(self, home: str, *, now_ms: float) -> tuple[float, float, float] | None:
        """Pledge the share to *home*, or renew the pledge; return rate, capacity and tokens.

        Locally the share is empty until the home has certainly stopped using it, and accrues from
        then on. A renewal carries no tokens. Returns None while it is pledged to another home.
        """
        is_pledged = self.pledge_left_ms(now_ms) > 0
        if is_pledged and self.pledged_to != home:
            return None
        tokens = 0.0 if is_pledged else self._bucket.take_all(now_ms=now_ms)
        self.pledged_to = home
        self._pledged_until_ms = now_ms + PLEDGE_LEASE_MS + PLEDGE_MARGIN_MS
        self._bucket.restart(self._pledged_until_ms)
        return self._bucket.rate, self._bucket.capacity, tokens

    def join_pool(self, pool: Pool, vm: str, *, now_ms: float) -> None:
        """Add the share to this entry's own pool.

        Does nothing while an earlier home may still use the share.
        """
        if self.pledge_left_ms(now_ms):
            return
        bucket = self._bucket
        own_share = PooledShare(rate=bucket.rate, capacity=bucket.capacity, until_ms=_FOREVER_MS)
        tokens = bucket.take_all(now_ms=now_ms)
        bucket.restart(_FOREVER_MS)
        pool.add_share(vm, own_share, tokens, now_ms=now_ms)

    def leave_pool(self, pool: Pool, *, now_ms: float) -> None:
        """Leave a pool that is closed, with as many of its tokens as fit into this share.

        Does nothing while a home may still use the share.
        """
        if self.pledge_left_ms(now_ms):
            return
        self._bucket.restart(now_ms)
        self._bucket.add_tokens(pool.level(now_ms), now_ms=now_ms)
