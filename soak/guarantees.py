"""What callers and endpoints see, and which promise it breaks."""

from collections import Counter
from dataclasses import dataclass, field

KEY_HEADER = "authorization"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
RATE_WINDOW_S = 8.0
RATE_OVERSHOOT_RATIO = 1.25
RATE_SLACK_TOKENS = 17_000.0

REVOCATION_LIMIT_S = 5.0
"""A withdrawn key has stopped working after this at every entry that ran all the while."""


@dataclass(slots=True)
class GuaranteeChecker:
    """Runs at endpoints and answers at callers; `broken` lists every promise that was broken."""

    rate_per_s: float
    burst: float
    violations: list[str] = field(default_factory=list)
    runs_by_id: Counter = field(default_factory=Counter)
    refused_ids: set[str] = field(default_factory=set)
    withdrawn_s_by_key: dict[str, float] = field(default_factory=dict)
    token_records: list[tuple[float, float]] = field(default_factory=list)
    count_by_status: Counter = field(default_factory=Counter)

    def record_run(self, request_id: str, *, is_repeatable: bool, headers: dict[str, str]) -> None:
        """Note that an endpoint began to run a request."""
        self.runs_by_id[request_id] += 1
        if self.runs_by_id[request_id] > 1 and not is_repeatable:
            self.violations.append(f"{request_id} ran {self.runs_by_id[request_id]} times")
        if request_id in self.refused_ids and not is_repeatable:
            self.violations.append(f"{request_id} ran after it was refused as not run")
        if KEY_HEADER in headers:
            self.violations.append(f"{request_id}: an endpoint saw the key")
        if headers.get("x-tenant") != "singers":
            self.violations.append(f"{request_id} ran for {headers.get('x-tenant')}")

    def record_tokens(self, tokens: float, now_s: float) -> None:
        """Note the tokens of a request that runs."""
        self.token_records.append((now_s, tokens))

    def record_status(self, request_id: str, status: int, *, is_repeatable: bool) -> None:
        """Note a caller's answer."""
        self.count_by_status[status] += 1
        if status in NOT_RUN_STATUSES:
            self.refused_ids.add(request_id)
            if self.runs_by_id[request_id] and not is_repeatable:
                self.violations.append(f"{request_id} was refused as not run and had run")

    def check_body(self, request_id: str, body: bytes, expected: bytes) -> None:
        """Compare a whole answer with what the endpoint makes for this request."""
        if body != expected:
            self.violations.append(f"{request_id}: {body[:60]!r} is not its whole answer")

    def check_token_rate(self) -> None:
        """Look for a window with more tokens than rate, burst, overshoot and slack allow."""
        most = (
            self.rate_per_s * RATE_WINDOW_S + self.burst
        ) * RATE_OVERSHOOT_RATIO + RATE_SLACK_TOKENS
        start, total = 0, 0.0
        for at_s, tokens in self.token_records:
            total += tokens
            while self.token_records[start][0] < at_s - RATE_WINDOW_S:
                total -= self.token_records[start][1]
                start += 1
            if total > most:
                self.violations.append(f"{total:.0f} tokens in a window that allows {most:.0f}")
                return
