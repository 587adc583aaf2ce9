"""Actions that the cores return; the surrounding shell carries them out.

The cores do no I/O. Each event handler returns a list of these actions, in the order in which they
are to be carried out.
"""

from dataclasses import dataclass

from skylarkrack._errors import Code, Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send *message* to the process on *vm*; dropped if there is no link to it."""

    vm: str
    message: object


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantTokens:
    """Grant *tokens* of *budget* to the reservation identified by *ticket*.

    *source*, *pool* and *stamp* identify the grant: a refund of unused tokens is addressed to the
    entry *source* and credited to the grant *stamp* of the pool number *pool*.
    """

    ticket: object
    budget: str
    tokens: int
    source: str
    pool: int
    stamp: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DenyTokens:
    """Deny the reservation identified by *ticket*; no tokens are reserved.

    *retry_after_ms* is the suggested wait before a new attempt, None if there is no estimate.
    """

    ticket: object
    code: Code
    retry_after_ms: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRun:
    """Start *run* on the engine.

    *served* is the name of the adapter version to run under and *incarnation* the engine
    incarnation that is expected to answer. *waited_ms* is the time since the request was offered.
    """

    run: object
    served: str
    incarnation: str
    waited_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StopRun:
    """Cancel the run of *request_id* at the engine."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RefuseRun:
    """Refuse the request *request_id*.

    *outcome* is whether the endpoint may have run it; by default it was never handed to the
    endpoint.
    """

    request_id: str
    code: Code
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_ms: int | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLoadPermit:
    """Request a permit for one load from the weight store's budget."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderLoad:
    """Order the engine to load the adapter version *served*; *order* is the fencing number."""

    served: str
    order: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderUnload:
    """Order the engine to unload the adapter version *served*; *order* is the fencing number."""

    served: str
    order: int


@dataclass(frozen=True, slots=True, kw_only=True)
class BroadcastSuspects:
    """Broadcast to all entries which prompts were running when the endpoint may have crashed.

    *crash_id* is the incarnation of the engine, so several reports of one crash are counted once.
    *fingerprints* identify the prompts. *is_confirmed* is true if the endpoint itself is gone, not
    just a connection to it. *was_alone* is true if all of them were already suspects, which run
    with no other request in the batch.
    """

    crash_id: str
    fingerprints: tuple[bytes, ...]
    is_confirmed: bool
    was_alone: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class BroadcastCleared:
    """Broadcast to all entries that suspected prompts ran to completion."""

    fingerprints: tuple[bytes, ...]
