"""What an entry knows of the limit of one endpoint: named, while it is cold, and by its pace."""

import math
from collections import deque
from dataclasses import dataclass, field, replace

from skylarkrack.core.relay._names import EndpointKey
from skylarkrack.core.relay._order_pace import MIN_RATE_PER_S

RECENT_MS = 1000.0
"""Time before a limit was named whose requests count towards it."""

MAX_SETTLING_MS = 3000.0
"""Longest time for which a newly limited endpoint gets no requests, because of those that it got
shortly before."""

PACE_TURN_MS = 100.0
"""Assumed time of a request at a paced endpoint, for the expected wait only."""

MIN_COLD_RATE_PER_S = 0.05
"""Least rate at which a home uses a cold endpoint."""

WAITING_TTL_MS = 500.0
"""Time beyond an interval after which an entry that asked no more counts as not waiting."""

DEPUTY_AFTER_MS = 400.0
"""Silence of a cold endpoint's home after which an entry also asks the next in order: the endpoint
would lie idle until the home counts as lost. The share of a home leaves room for that."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitReport:
    """What an entry reports of one endpoint's limit.

    *limit_per_s* is infinity if the endpoint names no limit any more. *age_ms* is the time since
    the answer that showed it. *recent_sends* counts the entry's own requests there within the
    `RECENT_MS` before it learned of the limit.
    """

    key: EndpointKey
    limit_per_s: float
    age_ms: float
    recent_sends: int


@dataclass(slots=True)
class EndpointLimit:
    """The limit of one endpoint; it is kept with infinity for a time after its end.

    *cold_per_s* is the part of the endpoint's bound while it is cold that one home may use, or
    infinity; *window* bounds the requests in flight, or is infinity. Then *deputy* may grant too,
    if *home* is silent.

    *share* is the part of the limit that is left for requests. *next_ms* is when the next request
    is due; entries other than the *home* only know what that told them last. *permits* holds
    the times at which unused permits expire. *asked_ms* is the first question to the home since its
    last answer. *waiting_by_entry* holds how many requests other entries had waiting and when they
    said so, which only the home knows; it tells others the sum as *ahead*.
    """

    limit_per_s: float
    share: float
    observed_ms: float
    confirmed_ms: float
    learned_ms: float
    next_ms: float
    home: str = ""
    deputy: str = ""
    domain: str | None = None
    cold_per_s: float = math.inf
    window: float = math.inf
    last_asked_ms: float = float("-inf")
    asks_deputy: bool = False
    permits: deque[float] = field(default_factory=deque)
    asked_ms: float = math.inf
    reports_left: int = 0
    reported_ms: float = float("-inf")
    recent_by_entry: dict[str, int] = field(default_factory=dict)
    waiting_by_entry: dict[str, tuple[int, float]] = field(default_factory=dict)
    ahead: int = 0

    def copy(self) -> "EndpointLimit":
        """Return a copy whose permits can be dropped without a change of this one."""
        return replace(self, permits=deque(self.permits))

    @property
    def is_named(self) -> bool:
        """Whether the endpoint names a limit now."""
        return not math.isinf(self.limit_per_s)

    @property
    def is_cold(self) -> bool:
        """Whether the endpoint is cold."""
        return not math.isinf(self.cold_per_s)

    @property
    def is_in_force(self) -> bool:
        """Whether requests need permits now."""
        return self.is_named or self.is_cold or self.is_paced

    @property
    def is_paced(self) -> bool:
        """Whether the requests in flight are bounded."""
        return not math.isinf(self.window)

    @property
    def turn_ms(self) -> float:
        """Expected time between two requests of all entries together."""
        return max(self.interval_ms, PACE_TURN_MS / self.window)

    @property
    def interval_ms(self) -> float:
        """Time between two requests of all entries together."""
        named_ms = 1000 / (self.share * max(MIN_RATE_PER_S, self.limit_per_s))
        return max(named_ms, 1000 / max(MIN_COLD_RATE_PER_S, self.cold_per_s))

    def may_grant(self, vm: str) -> bool:
        """Return whether *vm* spaces requests of others: the home, or its deputy."""
        return vm == self.home or (vm == self.deputy and not self.is_named)

    def is_spaced_by(self, vm: str, now_ms: float) -> bool:
        """Return whether *vm* sends its own requests without asking another entry."""
        is_silent = now_ms - self.asked_ms >= DEPUTY_AFTER_MS
        return vm == self.home or (is_silent and self.may_grant(vm))

    def settle(self) -> None:
        """Hold requests back until those that were sent before the limit was known are paid for."""
        paid_after_ms = sum(self.recent_by_entry.values()) * self.interval_ms
        settling_ms = min(MAX_SETTLING_MS, max(0.0, paid_after_ms - RECENT_MS))
        self.next_ms = max(self.next_ms, self.learned_ms + settling_ms)

    def waiting_elsewhere(self, entry: str, now_ms: float) -> int:
        """Return how many requests wait at other entries than *entry* and the home."""
        oldest_ms = now_ms - self.interval_ms - WAITING_TTL_MS
        return sum(
            count
            for vm, (count, told_ms) in self.waiting_by_entry.items()
            if vm != entry and told_ms >= oldest_ms
        )

    def drop_expired(self, now_ms: float) -> None:
        """Drop the permits that were not used in time."""
        while self.permits and self.permits[0] <= now_ms:
            self.permits.popleft()
