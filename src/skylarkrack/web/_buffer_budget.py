"""Bounds the bytes that the connections of a process hold together.

Each message has a bound of its own, but hundreds of connections may hold one at a time. The load
that this answers is a peer that sends without end on many connections, or many callers that don't
read, on a machine with little memory.
"""

import math
from collections import Counter
from collections.abc import Callable, Hashable

SMALL_BYTES = 16_384
"""Size up to which a message need not be counted: hundreds of them take little."""


class HeldBytes:
    """The bytes that one message takes; *source* is who makes it grow.

    *give_up* has the owner drop the message; without it the message can't be dropped. *measure*
    returns the current size of one that shrinks unnoticed.
    """

    __slots__ = ("_budget", "give_up", "measure", "size", "source")

    def __init__(
        self,
        budget: "BufferBudget",
        source: Hashable,
        give_up: Callable[[], None] | None,
        measure: Callable[[], int] | None,
    ) -> None:
        self._budget = budget
        self.source = source
        self.give_up = give_up
        self.measure = measure
        self.size = 0

    def resize(self, size: int) -> None:
        """Record how many bytes are held, which may give messages up, this one too."""
        if size > SMALL_BYTES or self.size:
            self._budget.record(self, size)

    def has_room(self, size: int) -> bool:
        """Return whether the message may grow to *size* bytes without others being given up."""
        return size <= SMALL_BYTES or self._budget.has_room(size - self.size)

    def close(self) -> None:
        """Record that nothing is held any more, and let go of the owner."""
        if self.size:
            self._budget.record(self, 0)
        self.give_up = self.measure = None


class BufferBudget:
    """What all messages of a process may hold, in bytes.

    Beyond it messages of the source that holds most are given up, the largest first: one that sends
    without end, on however many connections, holds more than any other, while a long message passes
    as long as there is room. *on_give_up* is called with the size of each.
    """

    __slots__ = ("_held", "limit_bytes", "on_give_up", "total_bytes")

    def __init__(self, limit_bytes: float = math.inf) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.on_give_up: Callable[[int], None] = lambda size: None
        # Insertion order makes the choice among equals the same in every run.
        self._held: dict[HeldBytes, None] = {}

    def hold(
        self,
        source: Hashable,
        *,
        give_up: Callable[[], None] | None = None,
        measure: Callable[[], int] | None = None,
    ) -> HeldBytes:
        """Return a message of *source* that holds nothing yet."""
        return HeldBytes(self, source, give_up, measure)

    def has_room(self, more: int) -> bool:
        """Return whether *more* bytes fit."""
        if self.total_bytes + more > self.limit_bytes:
            self._measure_all()
        return self.total_bytes + more <= self.limit_bytes

    def record(self, held: HeldBytes, size: int) -> None:
        """Record the size of a message, and give messages up beyond the limit."""
        self._set_size(held, size)
        if self.total_bytes > self.limit_bytes:
            self._measure_all()
        while self.total_bytes > self.limit_bytes:
            largest = self._largest_of_greatest_source()
            if largest is None:
                return
            given_up_bytes = largest.size
            self._set_size(largest, 0)
            self.on_give_up(given_up_bytes)
            largest.give_up()

    def _largest_of_greatest_source(self) -> HeldBytes | None:
        droppable = [each for each in self._held if each.give_up is not None]
        size_by_source: Counter[Hashable] = Counter()
        for each in droppable:
            size_by_source[each.source] += each.size
        return max(droppable, key=lambda e: (size_by_source[e.source], e.size), default=None)

    def _measure_all(self) -> None:
        for held in list(self._held):
            if held.measure is not None:
                self._set_size(held, held.measure())

    def _set_size(self, held: HeldBytes, size: int) -> None:
        self.total_bytes += size - held.size
        held.size = size
        if size:
            self._held[held] = None
        else:
            self._held.pop(held, None)
