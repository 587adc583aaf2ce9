"""Events of the agent beside an engine."""

from dataclasses import dataclass

from skylarkrack.messages import Run


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReported:
    """The engine's own report. *running* maps the ids of its runs to the names they use."""

    incarnation: str
    slots: int
    batch: int
    resident: frozenset[str]
    running: dict[str, str]
    fence: int
    busy: bool
    asked_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineLost:
    """The engine does not answer, or its connections broke."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunOffered:
    """An entry offers a request over *link*."""

    run: Run
    link: object


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEnded:
    """The engine confirmed the end of a run."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RunLost:
    """A run was given up without the engine's word for its end; the engine may still run it."""

    request_id: str
    may_have_crashed: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkClosed:
    """The link to an entry ended; nobody waits for its requests any more."""

    link: object


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderEnded:
    """The engine answered an order; *done* tells whether it was carried out."""

    number: int
    done: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderTimedOut:
    """The engine did not answer an order in time; it may still carry it out."""

    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPermitAnswered:
    """The weight store's budget answered a request for one load."""

    granted: bool
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainStarted:
    """The process is stopping: no new work, what is admitted is finished."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentTicked:
    """Time has passed."""
