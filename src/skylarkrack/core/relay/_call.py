"""The part of a caller's request that the relay's decisions depend on."""

from dataclasses import dataclass

from skylarkrack.core.relay._names import AdapterId


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelNeed:
    """What a request needs of an engine.

    *prefix* lists the segments of the prompt in order, as (id, tokens); *output_tokens* is the most
    that may be generated.
    """

    model: str
    adapter: str | None
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[tuple[str, int], ...] = ()

    @property
    def adapter_id(self) -> AdapterId:
        """Model and adapter; the adapter is "" for the base model itself."""
        return self.model, self.adapter or ""

    @property
    def tokens(self) -> int:
        """Prompt tokens and output tokens together."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One request as received from a caller.

    *arrived_ms* is on the process's monotonic clock; *patience_ms* is the time limit that the
    caller gave, or None. *resume_after* is the id of the last stream event that the caller
    has received, or None; *first_attempt* is the request id under which the stream's first event
    came, or None.
    """

    request_id: str
    arrived_ms: float
    patience_ms: float | None
    need: ModelNeed | None = None
    has_token_count: bool = False
    resume_after: str | None = None
    first_attempt: str | None = None

    @property
    def shared_segments(self) -> tuple[str, ...]:
        """Ids of the prompt's segments that other requests may have too.

        The last segment is left out: it is the request's own, or its session's.
        """
        prefix = () if self.need is None else self.need.prefix
        return tuple(segment_id for segment_id, _ in prefix[:-1])

    def deadline_ms(self, timeout_ms: float) -> float:
        """Return when the answer is due, on the clock of *arrived_ms*.

        The limit is the caller's or the route's (*timeout_ms*), whichever is shorter.
        """
        limit = timeout_ms if self.patience_ms is None else min(self.patience_ms, timeout_ms)
        return self.arrived_ms + limit
