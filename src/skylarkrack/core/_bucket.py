"""A token bucket with a variable rate and capacity, and with refunds of unused tokens."""

from dataclasses import dataclass


@dataclass(slots=True)
class _Checkpoint:
    """Tokens granted less tokens accrued (*excess*), just before the grant *stamp*."""

    stamp: int
    excess: float


class Bucket:
    """A token bucket: *level* grows by *rate* tokens a second up to *capacity* tokens.

    It starts empty, because an earlier process with the same share may just have spent a full
    burst. Times are milliseconds of a monotonic clock.

    A grant usually takes more tokens than are used, and the unused ones are refunded later. They
    can't just be added to the level: the bucket may have filled up in the meantime, and the sum
    would then exceed the burst. Instead `refund` computes the current level as if the grant had
    been smaller from the start. With A(s) tokens granted up to time s, a bucket that was full at s
    holds capacity + rate * (t - s) - (A(t) - A(s)) at time t; the level after a refund may not
    exceed the minimum of these over all s since the grant. The minima lie just before grants, so
    the bucket stores one checkpoint for each grant, and drops those whose excess is not less than
    that of a later one.
    """

    __slots__ = (
        "_accrued_until_ms",
        "_checkpoints",
        "_first_stamp",
        "_granted",
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
        """Add the tokens accrued up to *now_ms*; a time in the past has no effect."""
        elapsed_ms = now_ms - self._accrued_until_ms
        if elapsed_ms <= 0:
            return
        self._accrued_until_ms = now_ms
        self.level = min(self.capacity, self.level + self.rate * elapsed_ms / 1000)

    def reshape(self, *, rate: float, capacity: float, now_ms: float) -> None:
        """Change rate and capacity from *now_ms* on, and drop tokens above the new capacity.

        Refunds of grants made before a change are ignored from then on.
        """
        self.advance(now_ms)
        if rate == self.rate and capacity == self.capacity:
            return
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)
        self._forget_grants()

    def take(self, amount: float, *, now_ms: float) -> int | None:
        """Take *amount* tokens; return the grant's stamp, or None if the level is too low."""
        self.advance(now_ms)
        if amount > self.level:
            return None
        self.level -= amount
        self._stamp += 1
        self._push_checkpoint(_Checkpoint(self._stamp, self._excess()))
        self._granted += amount
        return self._stamp

    def add_tokens(self, amount: float, *, now_ms: float) -> None:
        """Add *amount* tokens moved from another share of the budget, up to the capacity."""
        self.advance(now_ms)
        self.level = min(self.capacity, self.level + amount)

    def refund(self, amount: float, *, stamp: int, now_ms: float) -> None:
        """Return *amount* tokens of the grant *stamp*, as if they had never been granted."""
        self.advance(now_ms)
        if stamp < self._first_stamp:
            return
        later = [checkpoint for checkpoint in self._checkpoints if checkpoint.stamp > stamp]
        min_excess = min([self._excess(), *(checkpoint.excess for checkpoint in later)])
        ceiling = self.capacity + min_excess - self._excess()
        self.level = min(self.level + amount, ceiling)
        self._granted -= amount
        self._checkpoints = [
            checkpoint for checkpoint in self._checkpoints if checkpoint.stamp <= stamp
        ]
        for checkpoint in later:
            self._push_checkpoint(_Checkpoint(checkpoint.stamp, checkpoint.excess - amount))

    def take_all(self, *, now_ms: float) -> float:
        """Take all tokens and return their number."""
        self.advance(now_ms)
        level, self.level = self.level, 0.0
        return level

    def restart(self, now_ms: float) -> None:
        """Empty the bucket and accrue from *now_ms* on, which may be in the future."""
        self.level = 0.0
        self._accrued_until_ms = now_ms
        self._forget_grants()

    def wait_ms(self, amount: float, *, now_ms: float) -> float:
        """Return the milliseconds until *amount* tokens are available; infinite if never."""
        self.advance(now_ms)
        missing = amount - self.level
        if missing <= 0:
            return 0.0
        if amount > self.capacity or self.rate <= 0:
            return float("inf")
        return missing / self.rate * 1000

    def _excess(self) -> float:
        return self._granted - self.rate * self._accrued_until_ms / 1000

    def _push_checkpoint(self, checkpoint: _Checkpoint) -> None:
        while self._checkpoints and self._checkpoints[-1].excess >= checkpoint.excess:
            self._checkpoints.pop()
        self._checkpoints.append(checkpoint)

    def _forget_grants(self) -> None:
        self._checkpoints.clear()
        self._granted = 0.0
        self._first_stamp = self._stamp + 1
