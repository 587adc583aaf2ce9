"""Orders to an engine, their results, and the reports and demands that they are decided from."""

import math
from dataclasses import dataclass
from enum import Enum

from skylarkrack.core.relay._names import AdapterId


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineCapacity:
    """What an engine can hold: adapters by number, and base models by weight in MB."""

    adapter_slots: int
    memory_mb: float
    weights_mb_by_model: dict[str, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingRequests:
    """Requests that wait for an adapter: lowest priority value, count, least usable version."""

    urgency: int
    requests: int
    version: int = 0


class OrderKind(Enum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderResult(Enum):
    """Result of an order.

    ACCEPTED: the engine carries it out. ALREADY_SO: nothing had to change. CONFLICT: the engine or
    its sequence number is not the expected one, or the order was not sent. FENCED: the fencing
    token is out of date. REJECTED: refused for another reason. UNKNOWN: the order was sent, but its
    result is not known; it may have been carried out.
    """

    ACCEPTED = "accepted"
    ALREADY_SO = "already_so"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineOrder:
    """An order that an engine carries out only if its sequence number is *expected_sequence*.

    *version* is None for the newest version.
    """

    kind: OrderKind
    model: str
    adapter: str
    version: int | None
    expected_sequence: int

    @property
    def adapter_id(self) -> AdapterId:
        """Model and adapter; the adapter is "" for a base model."""
        return self.model, self.adapter


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """An engine's report; a base model is listed in *resident* with the adapter "".

    *started_ms* identifies the engine's incarnation; *sequence* grows with every order carried out.
    With *is_busy* the engine gets no order. *resident* and *loading* map (model, adapter) to a
    version. *limit_per_s* is the rate of requests that the engine accepts, or infinity. *runs*
    holds (request id, tokens in the KV cache, events made) of what runs or is queued there, or None
    if the report doesn't state it, and *run_count* how many these are.
    """

    started_ms: int
    sequence: int
    is_busy: bool
    resident: dict[AdapterId, int]
    loading: dict[AdapterId, int]
    limit_per_s: float = math.inf
    runs: tuple[tuple[str, int, int], ...] | None = None
    run_count: int = 0
