"""An entry's own share of one budget, which is usable in one place at a time."""

from skylarkrack.core._bucket import Bucket
from skylarkrack.core._pool import Pool, PooledShare
from skylarkrack.core._shares import PLEDGE_LEASE_MS, PLEDGE_MARGIN_MS

_FOREVER_MS = float("inf")


class MemberShare:
    """A bucket that is spent here, or pledged to a home, or part of this entry's own pool."""

    __slots__ = ("_bucket", "_pledged_until_ms", "pledged_to")

    def __init__(self, *, now_ms: float) -> None:
        self._bucket = Bucket(rate=0, capacity=0, now_ms=now_ms)
        self._pledged_until_ms = 0.0
        self.pledged_to: str | None = None

    # Queries

    def pledge_left_ms(self, now_ms: float) -> float:
        """Return how long the share is still pledged to another entry."""
        return max(0.0, self._pledged_until_ms - now_ms)

    def wait_ms(self, tokens: int, *, now_ms: float) -> float:
        """Return how long until *tokens* can be taken here; infinite if they never can."""
        return self.pledge_left_ms(now_ms) + self._bucket.wait_ms(tokens, now_ms=now_ms)

    # Commands

    def reshape(self, *, rate: float, capacity: float, now_ms: float) -> None:
        """Set the share's rate and capacity."""
        self._bucket.reshape(rate=rate, capacity=capacity, now_ms=now_ms)

    def take(self, tokens: int, *, now_ms: float) -> int | None:
        """Take *tokens* and return the grant's stamp; None if pledged or too few."""
        if self.pledge_left_ms(now_ms):
            return None
        return self._bucket.take(tokens, now_ms=now_ms)

    def refund(self, tokens: int, *, stamp: int, now_ms: float) -> None:
        """Take back what a grant out of this share did not use."""
        self._bucket.refund(tokens, stamp=stamp, now_ms=now_ms)

    def pledge(self, home: str, *, now_ms: float) -> tuple[float, float, float] | None:
        """Pledge the share to *home*, or renew that; return rate, capacity and tokens.

        The share begins again here, empty, when the home can surely use it no more. Returns None
        while another home has it.
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
        """Become part of this entry's own pool, once no earlier home can use the share."""
        if self.pledge_left_ms(now_ms):
            return
        bucket = self._bucket
        own = PooledShare(rate=bucket.rate, capacity=bucket.capacity, until_ms=_FOREVER_MS)
        tokens = bucket.take_all(now_ms=now_ms)
        bucket.restart(_FOREVER_MS)
        pool.add_share(vm, own, tokens, now_ms=now_ms)

    def leave_pool(self, pool: Pool, *, now_ms: float) -> None:
        """Leave the pool that ends, with what of its tokens fits this share."""
        if self.pledge_left_ms(now_ms):
            return
        self._bucket.restart(now_ms)
        self._bucket.add_tokens(pool.level(now_ms), now_ms=now_ms)
