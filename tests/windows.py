"""The bound on rate and burst, checked over every window."""

TOLERANCE_TOKENS = 1e-3
"""Room for rounding of floating-point sums."""


def excess_over_windows(uses: list[tuple[float, float]], *, rate: float, burst: float) -> float:
    """Return by how much *uses*, pairs of ms and tokens, pass rate and burst in some window.

    Zero or less means that no window has more than burst + rate * its length.
    """
    worst, reached, last_ms = 0.0, 0.0, None
    for at_ms, tokens in sorted(uses):
        if last_ms is not None:
            reached = max(0.0, reached - rate * (at_ms - last_ms) / 1000)
        reached += tokens
        last_ms = at_ms
        worst = max(worst, reached - burst)
    return worst - TOLERANCE_TOKENS
