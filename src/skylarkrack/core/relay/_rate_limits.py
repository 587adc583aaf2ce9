"""Limits of requests a second that endpoints name in their answers."""

import math

from skylarkrack.core.relay._names import EndpointKey


class RateLimits:
    """The limits that endpoints name, by endpoint incarnation."""

    __slots__ = ("_limit_by_key",)

    def __init__(self) -> None:
        self._limit_by_key: dict[EndpointKey, float] = {}

    # Queries

    def limit_per_s(self, key: EndpointKey) -> float:
        """Return the requests a second that an endpoint accepts from all entries, or infinity."""
        return self._limit_by_key.get(key, math.inf)

    # Commands

    def record_answer(self, key: EndpointKey, limit_per_s: float) -> bool:
        """Record the limit in an answer, infinity without one; return whether it changed."""
        if limit_per_s == self.limit_per_s(key):
            return False
        self._limit_by_key[key] = limit_per_s
        if math.isinf(limit_per_s):
            del self._limit_by_key[key]
        return True

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Drop the limits of endpoints that are not in *keys*."""
        for key in set(self._limit_by_key) - keys:
            del self._limit_by_key[key]
