"""How much an engine takes at once, for entries and agents alike."""

from skylarkrack.core.relay._endpoint_speed import reading_speed
from skylarkrack.core.relay._prompt_reading import EVENT_STEPS_MS

QUEUE_FRACTION = 0.25
"""Fraction of an engine's slots that may be queued at the engine beyond a full batch. In that
queue, more urgent runs overtake."""

MEMORY_FRACTION = 0.95
"""Fraction of an engine's KV cache that the runs sent to it may claim."""


def prefill_limit_tokens(max_gap_ms: float, slowness: float = 1.0) -> float:
    """Return the prompt tokens that an engine reads within a pause of *max_gap_ms*.

    The steps of one event take their part of the pause, at most half of it. The limit is not raised
    for a fast engine: one may only seem fast because the others read prompts.
    """
    slowness = max(1.0, slowness)
    steps_ms = min(EVENT_STEPS_MS * slowness, max_gap_ms / 2)
    return reading_speed(slowness) * (max_gap_ms - steps_ms)
