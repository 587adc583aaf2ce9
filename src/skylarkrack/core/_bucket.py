"""A token bucket whose rate and capacity can change, and that takes back what was not used."""

from dataclasses import dataclass


@dataclass(slots=True)
class _Checkpoint:
    """The moment just before the grant *stamp*: tokens granted so far less tokens accrued."""

    stamp: int
    excess: float


class Bucket:
    """A token bucket: *level* grows by *rate* a second up to *capacity*.

    It starts empty, because an earlier process with the same share may have spent a full burst
    a moment ago. Times are milliseconds on a monotonic clock.

    A grant takes more than will be used, and the rest comes back later. Adding the rest to the
    level would be wrong: while it was out the bucket may have filled up, and the sum could then
    pass the burst within one moment. `refund` sets the level that would be now, had the grant
    been smaller from the start. With A(s) tokens granted up to s, a bucket that was full at s
    holds capacity + rate * (t - s) - (A(t) - A(s)) at t; the refunded level may not exceed the
    least of these over all s since the grant. The minima lie just before grants, so one point
    a grant is kept, and of those only the ones that are a minimum of what follows.
    """

    __slots__ = (
        "_accrued_until_ms",
        "_first_stamp",
        "_granted",
        "_checkpoints",
        "_stamp",
        "capacity",
        "level",
        "rate",
    )

    def __init__(self, *, rate: float, capacity: float, now_ms: float) -> None:
        self.rate = rate
        self.capacity = capacity
        self.level = 0.0
        self._accrued_until_ms = now_ms
        self._granted = 0.0
        self._stamp = 0
        self._first_stamp = 1
        self._checkpoints: list[_Checkpoint] = []

    def advance(self, now_ms: float) -> None:
        """Accrue up to *now_ms*; an earlier time changes nothing."""
        elapsed_ms = now_ms - self._accrued_until_ms
        if elapsed_ms <= 0:
            return
        self._accrued_until_ms = now_ms
        self.level = min(self.capacity, self.level + self.rate * elapsed_ms / 1000)

    def reshape(self, *, rate: float, capacity: float, now_ms: float) -> None:
        """Change rate and capacity from *now_ms* on; what exceeds the capacity is dropped.

        Refunds of grants made under the old shape are dropped too.
        """
        self.advance(now_ms)
        if rate == self.rate and capacity == self.capacity:
            return
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)
        self._forget_grants()

    def take(self, amount: float, *, now_ms: float) -> int | None:
        """Take *amount* if there is as much; return the grant's stamp, or None."""
        self.advance(now_ms)
        if amount > self.level:
            return None
        self.level -= amount
        self._stamp += 1
        self._push_checkpoint(_Checkpoint(self._stamp, self._excess()))
        self._granted += amount
        return self._stamp

    def add_tokens(self, amount: float, *, now_ms: float) -> None:
        """Add *amount* that left another share of the same budget, up to the capacity."""
        self.advance(now_ms)
        self.level = min(self.capacity, self.level + amount)

    def refund(self, amount: float, *, stamp: int, now_ms: float) -> None:
        """Take back *amount* of the grant *stamp*, as if it had never been granted."""
        self.advance(now_ms)
        if stamp < self._first_stamp:
            return
        later = [point for point in self._checkpoints if point.stamp > stamp]
        least = min([self._excess(), *(point.excess for point in later)])
        ceiling = self.capacity + least - self._excess()
        self.level = min(self.level + amount, ceiling)
        self._granted -= amount
        self._checkpoints = [point for point in self._checkpoints if point.stamp <= stamp]
        for point in later:
            self._push_checkpoint(_Checkpoint(point.stamp, point.excess - amount))

    def take_all(self, *, now_ms: float) -> float:
        """Take everything and return it."""
        self.advance(now_ms)
        level, self.level = self.level, 0.0
        return level

    def restart(self, now_ms: float) -> None:
        """Begin again empty at *now_ms*, without accrual for the time before."""
        self.level = 0.0
        self._accrued_until_ms = now_ms
        self._forget_grants()

    def wait_ms(self, amount: float, *, now_ms: float) -> float:
        """Return how long until *amount* is there, in ms; infinite if it never will be."""
        self.advance(now_ms)
        missing = amount - self.level
        if missing <= 0:
            return 0.0
        if amount > self.capacity or self.rate <= 0:
            return float("inf")
        return missing / self.rate * 1000

    def _excess(self) -> float:
        return self._granted - self.rate * self._accrued_until_ms / 1000

    def _push_checkpoint(self, point: _Checkpoint) -> None:
        while self._checkpoints and self._checkpoints[-1].excess >= point.excess:
            self._checkpoints.pop()
        self._checkpoints.append(point)

    def _forget_grants(self) -> None:
        self._checkpoints.clear()
        self._granted = 0.0
        self._first_stamp = self._stamp + 1
