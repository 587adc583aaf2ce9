"""Checks the guarantees of the system against what callers and endpoints observe."""

from collections import Counter
from dataclasses import dataclass, field

KEY_HEADER = "authorization"
VISITORS = "visitors"
"""An organisation whose quota changes, so that its rate isn't checked."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that state that a request has not run."""

RATE_WINDOW_S = 8.0
RATE_OVERSHOOT_RATIO = 1.25
RATE_SLACK_TOKENS = 17_000.0

REVOCATION_LIMIT_S = 5.0
"""Time after which every entry refuses a withdrawn key.

A request that is sent later and succeeds is a violation, unless the entry was frozen or the store
unreachable in the meantime.
"""

LEFT_LIMIT_S = 0.5
"""Time after a caller has left by which its request must not reach an endpoint any more."""


EVACUATION_LIMIT_S = 5.0
"""Time after an evacuation was written from which no request reaches an endpoint of the domain."""

LIMIT_WINDOW_S = 4.0
LIMIT_OVERSHOOT_RATIO = 1.5
LIMIT_SLACK_REQUESTS = 5
LIMIT_KNOWN_S = 3.0
"""Time after an endpoint first named its limit from which every window has to keep it."""


@dataclass(slots=True)
class GuaranteeChecker:
    """Records runs at endpoints and responses at callers.

    `violations` describes each violation of a guarantee. The rate is in tokens per second, the
    burst in tokens; `token_records` holds pairs of a time in seconds and tokens. `left_s_by_id`
    holds when callers left, without those whose requests may be held up by a fault.
    `limit_by_endpoint` holds the requests a second that endpoints accept and since when; what they
    got by then is not counted. `evacuated_s_by_domain` holds since when the entries
    can know of an evacuation; a fault that may keep it from one of them restarts the time.
    `visitor_ids` holds the requests of the organisation `VISITORS`.
    """

    rate_per_s: float
    burst: float
    violations: list[str] = field(default_factory=list)
    runs_by_id: Counter = field(default_factory=Counter)
    refused_ids: set[str] = field(default_factory=set)
    withdrawn_s_by_key: dict[str, float] = field(default_factory=dict)
    token_records: list[tuple[float, float]] = field(default_factory=list)
    count_by_status: Counter = field(default_factory=Counter)
    left_s_by_id: dict[str, float] = field(default_factory=dict)
    limit_by_endpoint: dict[str, tuple[float, float]] = field(default_factory=dict)
    arrivals_by_endpoint: dict[str, list[float]] = field(default_factory=dict)
    evacuated_s_by_domain: dict[str, float] = field(default_factory=dict)
    visitor_ids: set[str] = field(default_factory=set)

    def restart_endpoint(self, endpoint: str, now_s: float) -> None:
        """Record a new start of an endpoint: its answers name the limit for the first time."""
        if endpoint in self.limit_by_endpoint:
            limit_per_s, _ = self.limit_by_endpoint[endpoint]
            self.limit_by_endpoint[endpoint] = (limit_per_s, now_s)

    def record_arrival(self, endpoint: str, now_s: float) -> None:
        """Record a request or an order that reaches an endpoint, and check its limit."""
        if endpoint not in self.limit_by_endpoint:
            return
        limit_per_s, since_s = self.limit_by_endpoint[endpoint]
        arrivals = self.arrivals_by_endpoint.setdefault(endpoint, [])
        arrivals.append(now_s)
        recent = [at_s for at_s in arrivals if at_s > max(since_s, now_s - LIMIT_WINDOW_S)]
        allowed = LIMIT_OVERSHOOT_RATIO * limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK_REQUESTS
        if now_s >= since_s + LIMIT_KNOWN_S and len(recent) > allowed:
            self.violations.append(
                f"{endpoint} accepts {limit_per_s:.1f} requests a second and got {len(recent)} in "
                f"{LIMIT_WINDOW_S:.0f} s"
            )

    def postpone_evacuations(self, until_s: float) -> None:
        """Count no request to an evacuated domain until `EVACUATION_LIMIT_S` after *until_s*."""
        for domain, since_s in self.evacuated_s_by_domain.items():
            self.evacuated_s_by_domain[domain] = max(since_s, until_s)

    def evacuation_counts_from_s(self, domain: str) -> float:
        """Return the time from which a request that reaches an evacuated domain is a violation."""
        return self.evacuated_s_by_domain[domain] + EVACUATION_LIMIT_S

    def check_evacuation(self, domain: str, now_s: float) -> None:
        """Check a request that reaches an endpoint of *domain*."""
        if domain in self.evacuated_s_by_domain and now_s > self.evacuation_counts_from_s(domain):
            self.violations.append(f"a request reached the evacuated domain {domain}")

    def record_run(
        self, request_id: str, *, is_repeatable: bool, headers: dict[str, str], now_s: float
    ) -> None:
        """Record that an endpoint began to run a request, and check its headers."""
        left_s = self.left_s_by_id.get(request_id, now_s)
        if now_s > left_s + LEFT_LIMIT_S:
            self.violations.append(f"{request_id} ran {now_s - left_s:.1f} s after its caller left")
        self.runs_by_id[request_id] += 1
        if self.runs_by_id[request_id] > 1 and not is_repeatable:
            self.violations.append(f"{request_id} ran {self.runs_by_id[request_id]} times")
        if request_id in self.refused_ids and not is_repeatable:
            self.violations.append(f"{request_id} ran after it was refused as not run")
        if KEY_HEADER in headers:
            self.violations.append(f"{request_id}: an endpoint saw the key")
        organisation = VISITORS if request_id in self.visitor_ids else "singers"
        if headers.get("x-tenant") != organisation:
            self.violations.append(f"{request_id} ran for {headers.get('x-tenant')}")

    def record_tokens(self, tokens: float, now_s: float) -> None:
        """Record the tokens of a request that runs."""
        self.token_records.append((now_s, tokens))

    def record_status(self, request_id: str, status: int, *, is_repeatable: bool) -> None:
        """Record the status of a response that a caller received."""
        self.count_by_status[status] += 1
        if status in NOT_RUN_STATUSES:
            self.refused_ids.add(request_id)
            if self.runs_by_id[request_id] and not is_repeatable:
                self.violations.append(f"{request_id} was refused as not run and had run")

    def check_body(self, request_id: str, body: bytes, expected: list[bytes]) -> None:
        """Check that a complete body is one of those that endpoints send for this request."""
        if body not in expected:
            self.violations.append(f"{request_id}: {body[:60]!r} is not its whole answer")

    def check_token_rate(self) -> None:
        """Check that no window of `RATE_WINDOW_S` holds more tokens than allowed.

        Allowed are rate and burst over the window, times `RATE_OVERSHOOT_RATIO`, plus
        `RATE_SLACK_TOKENS`. Only the first such window is recorded.
        """
        allowed_tokens = (
            self.rate_per_s * RATE_WINDOW_S + self.burst
        ) * RATE_OVERSHOOT_RATIO + RATE_SLACK_TOKENS
        first_index, total_tokens = 0, 0.0
        for at_s, tokens in self.token_records:
            total_tokens += tokens
            while self.token_records[first_index][0] < at_s - RATE_WINDOW_S:
                total_tokens -= self.token_records[first_index][1]
                first_index += 1
            if total_tokens > allowed_tokens:
                self.violations.append(
                    f"{total_tokens:.0f} tokens in a window that allows {allowed_tokens:.0f}"
                )
                return
