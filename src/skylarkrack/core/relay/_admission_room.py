"""What waits for an engine, what the engine takes, and what is left of that."""

from dataclasses import dataclass

from skylarkrack.core.relay._endpoint_speed import reading_speed
from skylarkrack.core.relay._names import AdapterId
from skylarkrack.core.relay._placement_limits import prefill_limit_tokens

READING, SLOTS, MEMORY, RESERVED = "reading", "slots", "memory", "reserved"
"""What requests wait for at an engine that holds their adapter: that it reads the prompts before
them, a slot, KV cache, or room that is held back for another request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineLimits:
    """What bounds the admission at an engine, as the entries read it from the configuration.

    *slots* are the runs in its batch, *cache_tokens* its KV cache, *max_gap_ms* the longest pause
    of its service's streams, and *slowness* its time for a piece of work over the usual one.
    """

    slots: int
    cache_tokens: int
    max_gap_ms: float
    slowness: float = 1.0

    @property
    def tokens_per_ms(self) -> float:
        """Reading speed in tokens per ms."""
        return reading_speed(self.slowness)

    @property
    def unread_tokens(self) -> float:
        """Most prompt tokens that may be unread at once."""
        return prefill_limit_tokens(self.max_gap_ms, self.slowness)


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedRequest:
    """A request that waits at an entry; *version* is the least one of the adapter that it needs.

    *tokens* are prompt and output tokens. *organisation* is a digest, *left_ms* the time until the
    request is of no use to its caller.
    """

    number: int
    adapter_id: AdapterId
    version: int
    prompt_tokens: int
    tokens: int
    priority: int
    organisation: int
    left_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedRun:
    """A run in an engine's report: tokens in its KV cache and events made so far."""

    number: int
    tokens: int
    events: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """The right of *entry* to send one request, with the version of its adapter."""

    entry: str
    number: int
    version: int
    waited_ms: float
    is_repeated: bool = False


@dataclass(frozen=True, slots=True)
class Held:
    """Tokens that are held back for another request."""

    prompt_tokens: int
    tokens: int


NOTHING_HELD = Held(0, 0)


@dataclass(slots=True, kw_only=True)
class Room:
    """What is left at the engine during one decision: tokens to read, runs, KV cache tokens."""

    reading: float
    runs: int
    memory: float
    is_idle: bool
    is_all_read: bool

    def lacks(self, request: ListedRequest, held: Held = NOTHING_HELD) -> tuple[bool, bool]:
        """Return whether there is too little reading and too little KV cache for a request.

        One that is larger than the engine takes goes when nothing else is there.
        """
        lacks_reading = request.prompt_tokens + held.prompt_tokens > self.reading
        lacks_memory = request.tokens + held.tokens > self.memory
        return (
            lacks_reading and (not self.is_all_read or held.prompt_tokens > 0),
            lacks_memory and (not self.is_idle or held.tokens > 0),
        )

    def fits(self, request: ListedRequest, held: Held) -> bool:
        """Return whether a request fits beside what is held back."""
        return self.runs > 0 and not any(self.lacks(request, held))

    def binding(self, request: ListedRequest) -> str:
        """Return what a request waits for."""
        lacks_reading, lacks_memory = self.lacks(request)
        if self.runs <= 0:
            return SLOTS
        if lacks_reading:
            return READING
        return MEMORY if lacks_memory else RESERVED

    def take(self, request: ListedRequest) -> None:
        """Subtract a request."""
        self.reading -= request.prompt_tokens
        self.runs -= 1
        self.memory -= request.tokens
        self.is_idle = self.is_all_read = False
