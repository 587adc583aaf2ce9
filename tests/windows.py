"""Check of a rate and burst limit over every time window."""

TOLERANCE_TOKENS = 1e-3
"""Excess that is put down to the rounding of floating-point sums."""


def excess_over_windows(uses: list[tuple[float, float]], *, rate: float, burst: float) -> float:
    """Return by how many tokens *uses* exceed rate and burst in the worst window.

    *uses* are pairs of a time in milliseconds and a number of tokens; *rate* is in tokens a second.
    Zero or less means that no window has more than burst + rate * length tokens.
    """
    worst, level, last_ms = 0.0, 0.0, None
    for at_ms, tokens in sorted(uses):
        if last_ms is not None:
            level = max(0.0, level - rate * (at_ms - last_ms) / 1000)
        level += tokens
        last_ms = at_ms
        worst = max(worst, level - burst)
    return worst - TOLERANCE_TOKENS
