"""Events that the core of an engine's agent handles."""

from dataclasses import dataclass

from skylarkrack.messages import RunRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReported:
    """The engine reported its state.

    *slots* is the number of adapters that it can hold, *batch* the number of requests that it can
    run at once. *resident* holds the names of the loaded adapter versions. *running* maps the
    request id of each run to the adapter version that it uses. *fence* is the highest fencing
    number that the engine has seen. *busy* is true while it carries out an order. *asked_ms* is
    when the report was requested.
    """

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
    """The engine cannot be reached or has stopped answering."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunOffered:
    """An entry offered a request over *link*."""

    run: RunRequest
    link: object


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEnded:
    """The engine confirmed that a run has ended."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RunLost:
    """A run was given up before the engine confirmed its end; the engine may still run it.

    What the engine holds is unknown until a report that is requested after this event.
    *may_have_crashed* is false if the engine was alive, as when it answered under another adapter.
    """

    request_id: str
    may_have_crashed: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkClosed:
    """The link to an entry closed; its requests are no longer wanted."""

    link: object


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderEnded:
    """The engine answered the order with fencing number *number*.

    *done* is true if the order was carried out.
    """

    number: int
    done: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderTimedOut:
    """The engine did not answer the order *number* in time; it may still carry it out."""

    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPermitAnswered:
    """The weight store's budget granted or denied the permit for one load.

    If denied, no permit is requested again for *retry_after_ms*.
    """

    granted: bool
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainStarted:
    """The process is stopping: new requests are refused, admitted ones are completed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentTicked:
    """Periodic tick, for time-outs and retries."""
