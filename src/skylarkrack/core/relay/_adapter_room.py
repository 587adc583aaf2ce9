"""How many adapter slots of an engine are kept empty ahead of need.

An eviction waits until every live entry has acknowledged it. A load into a full engine waits for
that too; a load into an empty slot does not.
"""

ROOM_AHEAD = 2
"""Adapter slots kept empty: one for the next load, one for another that is wanted while the
evictions for the first are acknowledged."""

MIN_SLOTS_FOR_ROOM = 8
"""Adapter slots below which none is kept empty: each is too large a part of what the engine holds.
"""

LOADS_WANTED_TTL_MS = 5000.0
"""Time after the last missing adapter in which slots are kept empty. Where loads are rarer, an
adapter that stays held is worth more than the wait that an empty slot saves."""

MIN_IDLE_MS = 1000.0
"""Time without use after which an adapter may be evicted ahead of need. One that was used within it
is more likely to be wanted again than another one that the engine doesn't hold."""


class AdapterRoom:
    """Tells how many slots to keep empty, from when loads were last wanted. Times are ms."""

    __slots__ = ("_wanted_ms",)

    def __init__(self) -> None:
        self._wanted_ms = float("-inf")

    def loads_wanted(self, now_ms: float) -> None:
        """Record that requests wait for an adapter that the engine does not hold."""
        self._wanted_ms = now_ms

    def slots_ahead(self, adapter_slots: int, now_ms: float) -> int:
        """Return how many of an engine's *adapter_slots* to keep empty now."""
        if adapter_slots < MIN_SLOTS_FOR_ROOM:
            return 0
        return ROOM_AHEAD if now_ms - self._wanted_ms < LOADS_WANTED_TTL_MS else 0
