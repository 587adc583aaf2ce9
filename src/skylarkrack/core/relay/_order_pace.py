"""Spaces an agent's orders to an engine that names a limit of requests a second.

Orders count towards the limit. While it is in force entries hardly wait for loads there, so a small
part of it is enough for the agent.
"""

import math

ORDER_SHARE = 0.1
"""Part of an engine's limit that is left for its agent's orders, which count as requests."""

MIN_RATE_PER_S = 0.25
"""Rate at which an endpoint is used whose limit is lower, as the end of the limit shows only in its
answers."""

LIMIT_TTL_MS = 5000.0
"""Time after which a limit that no home confirms is dropped."""


def order_interval_ms(limit_per_s: float) -> float:
    """Return the time between two orders to an engine that names this limit."""
    return 1000 / (ORDER_SHARE * max(MIN_RATE_PER_S, limit_per_s))


class OrderPace:
    """Spaces an agent's orders while its engine names a limit. Times are ms."""

    __slots__ = ("_confirmed_ms", "_limit_per_s", "_next_ms")

    def __init__(self) -> None:
        self._confirmed_ms = float("-inf")
        self._limit_per_s = math.inf
        self._next_ms = 0.0

    def is_due(self, now_ms: float) -> bool:
        """Return whether an order may be sent now; a limit that nobody confirms has ended."""
        if now_ms - self._confirmed_ms >= LIMIT_TTL_MS:
            self._limit_per_s = math.inf
        return math.isinf(self._limit_per_s) or now_ms >= self._next_ms

    def set_limit(self, limit_per_s: float, now_ms: float) -> bool:
        """Set or confirm the limit, infinity for none; return whether it changed."""
        self._confirmed_ms = now_ms
        if limit_per_s == self._limit_per_s:
            return False
        if math.isinf(self._limit_per_s):
            self._next_ms = now_ms + order_interval_ms(limit_per_s)
        self._limit_per_s = limit_per_s
        return True

    def record_order(self, now_ms: float) -> None:
        """Count an order that is sent."""
        if not math.isinf(self._limit_per_s):
            self._next_ms = now_ms + order_interval_ms(self._limit_per_s)
