"""Actions that the pure core asks its shell to carry out."""

from dataclasses import dataclass

from skylarkrack._errors import Code, Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send *message* to the process on *vm*, if there is a link."""

    vm: str
    message: object


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantTokens:
    """The reservation *ticket* holds *tokens*.

    A refund goes to the grant *stamp* of *pool* at the entry *source*.
    """

    ticket: object
    budget: str
    tokens: int
    source: str
    pool: int
    stamp: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DenyTokens:
    """The reservation *ticket* got nothing."""

    ticket: object
    code: Code
    retry_after_ms: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRun:
    """Start *run* on the engine under the name *served* of engine incarnation *incarnation*."""

    run: object
    served: str
    incarnation: str
    waited_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StopRun:
    """Cancel the engine's run of *request_id*."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RefuseRun:
    """Answer *request_id* with a refusal. It was never handed to the endpoint."""

    request_id: str
    code: Code
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_ms: int | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLoadPermit:
    """Ask the weight store's budget for one load."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderLoad:
    """Order the engine to load *served*; *order* is the fencing number."""

    served: str
    order: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderUnload:
    """Order the engine to unload *served*; *order* is the fencing number."""

    served: str
    order: int


@dataclass(frozen=True, slots=True, kw_only=True)
class BroadcastSuspects:
    """Tell every entry which fingerprints were running when the endpoint may have crashed.

    *is_confirmed* tells that the endpoint is gone, and not a connection alone. *was_alone* tells
    that a suspect ran with no other request in the batch.
    """

    crash_id: str
    fingerprints: tuple[bytes, ...]
    is_confirmed: bool
    was_alone: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class BroadcastCleared:
    """Tell every entry that suspected fingerprints ran to their end."""

    fingerprints: tuple[bytes, ...]
