"""What endpoints report of their load in their answers, corrected by what this entry did since.

The figures are sums over all callers, so that they show the requests of other entries sooner than
those entries' messages do.
"""

from dataclasses import dataclass

from skylarkrack.core.relay._names import EndpointKey

REPORTED_LOAD_TTL_MS = 200.0
"""Time for which reported figures are used. Requests to plain endpoints run 20 to 90 ms, so that
most of those that were counted have ended after that."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedLoad:
    """An endpoint's requests in progress and in its queue, and its slots, over all callers.

    *slowness* is how many times the usual work takes there at this moment, or None if it is not
    reported.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


class ReportedLoads:
    """The newest reported load by endpoint incarnation. Times are ms."""

    __slots__ = ("_invalid_keys", "_report_by_key")

    def __init__(self) -> None:
        # (runs when it was received without those of this entry, received in ms).
        self._report_by_key: dict[EndpointKey, tuple[int, float]] = {}
        self._invalid_keys: set[EndpointKey] = set()

    # Queries

    def runs(self, key: EndpointKey, own_runs: int, now_ms: float) -> int:
        """Return the requests at an endpoint, with *own_runs* of this entry now.

        It is 0 without figures that are new enough.
        """
        report = self._report_by_key.get(key)
        if report is None or now_ms - report[1] >= REPORTED_LOAD_TTL_MS:
            return 0
        return max(0, report[0] + own_runs)

    # Commands

    def record(self, key: EndpointKey, load: ReportedLoad, own_runs: int, now_ms: float) -> None:
        """Store the load in an answer; *own_runs* include the request that was answered.

        An endpoint writes the figures before it answers, so they include that request too.
        """
        self._report_by_key[key] = load.running + load.waiting - own_runs, now_ms

    def record_invalid(self, key: EndpointKey) -> bool:
        """Record that an answer's figures were not usable; return whether that is new."""
        is_new = key not in self._invalid_keys
        self._invalid_keys.add(key)
        return is_new

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Drop what is known of endpoints that are not in *keys*."""
        self._invalid_keys &= keys
        for key in set(self._report_by_key) - keys:
            del self._report_by_key[key]
