"""Numbered result codes, and the exceptions that carry them.

docs/ERRORS.md is the public table of these codes; a test compares the two.
"""

from enum import IntEnum, StrEnum


class Outcome(StrEnum):
    """What is known about the execution of a request when it is answered with an error."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Code(IntEnum):
    """Result codes. The first digit groups them: 1 caller, 2 access, 3 limits, 4 fleet, 5 files."""

    MALFORMED_HTTP = 1001
    HEAD_TOO_LARGE = 1002
    BODY_TOO_LARGE = 1003
    BAD_JSON = 1004
    BAD_FIELD = 1005
    NO_SUCH_PATH = 1006
    METHOD_NOT_ALLOWED = 1007
    REQUEST_TIMEOUT = 1008
    KEY_REUSED = 1009
    KEY_REQUIRED = 1010
    BAD_KEY = 1011

    NO_KEY = 2001
    UNKNOWN_KEY = 2002
    PLAN_LAPSED = 2003
    ADAPTER_NOT_IN_PLAN = 2004
    ACCESS_WITHDRAWN = 2005
    ROUTE_NOT_IN_PLAN = 2006

    RATE_EXCEEDED = 3001
    LARGER_THAN_BURST = 3002
    QUEUE_FULL = 3003
    QUARANTINED = 3004
    CRASH_SUSPECT = 3005

    UNKNOWN_ADAPTER = 4001
    NO_ENDPOINT = 4002
    ENDPOINT_LOST = 4003
    LOAD_FAILED = 4004
    ACCESS_UNCONFIRMED = 4005
    DRAINING = 4006
    TRUNCATED = 4007
    WRONG_ADAPTER = 4008
    DEADLINE = 4009
    MAY_HAVE_RUN = 4010
    IN_PROGRESS = 4011
    ENGINE_ERROR = 4012
    BUDGET_UNREACHABLE = 4013
    CANCELLED = 4015
    UNKNOWN_ORIGIN = 4016
    INTERNAL_ERROR = 4017
    INTERNAL_NOT_RUN = 4018

    BAD_SETTINGS = 5001
    BAD_LIST = 5002
    BAD_FRAME = 5003
    PLATFORM_UNREACHABLE = 5004


HTTP_STATUS_BY_CODE = {
    Code.MALFORMED_HTTP: 400,
    Code.HEAD_TOO_LARGE: 431,
    Code.BODY_TOO_LARGE: 413,
    Code.BAD_JSON: 400,
    Code.BAD_FIELD: 400,
    Code.NO_SUCH_PATH: 404,
    Code.METHOD_NOT_ALLOWED: 405,
    Code.REQUEST_TIMEOUT: 408,
    Code.KEY_REUSED: 422,
    Code.KEY_REQUIRED: 428,
    Code.BAD_KEY: 400,
    Code.NO_KEY: 401,
    Code.UNKNOWN_KEY: 401,
    Code.PLAN_LAPSED: 403,
    Code.ADAPTER_NOT_IN_PLAN: 403,
    Code.ACCESS_WITHDRAWN: 401,
    Code.ROUTE_NOT_IN_PLAN: 403,
    Code.RATE_EXCEEDED: 429,
    Code.LARGER_THAN_BURST: 400,
    Code.QUEUE_FULL: 503,
    Code.QUARANTINED: 422,
    Code.CRASH_SUSPECT: 503,
    Code.UNKNOWN_ADAPTER: 404,
    Code.NO_ENDPOINT: 503,
    Code.ENDPOINT_LOST: 502,
    Code.LOAD_FAILED: 503,
    Code.ACCESS_UNCONFIRMED: 503,
    Code.DRAINING: 503,
    Code.TRUNCATED: 502,
    Code.WRONG_ADAPTER: 502,
    Code.DEADLINE: 504,
    Code.MAY_HAVE_RUN: 409,
    Code.IN_PROGRESS: 409,
    Code.ENGINE_ERROR: 502,
    Code.BUDGET_UNREACHABLE: 503,
    Code.CANCELLED: 499,
    Code.UNKNOWN_ORIGIN: 503,
    Code.INTERNAL_ERROR: 500,
    Code.INTERNAL_NOT_RUN: 503,
}


class SkylarkrackError(Exception):
    """Base of every error of the project; *code* is its number in docs/ERRORS.md."""

    code: Code

    def __init__(self, message: str, *, code: Code) -> None:
        super().__init__(message)
        self.code = code


class RequestRefused(SkylarkrackError):
    """Raised when a caller's request gets an error instead of an answer.

    *retry_after_ms* is set if a later retry can succeed. *ticket* is set if the caller may send a
    new non-idempotent call with that ticket at once. *by_agent* marks a refusal that an agent sent;
    its outcome takes earlier uses of the idempotency key into account.
    """

    def __init__(
        self,
        message: str,
        *,
        code: Code,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_ms: int | None = None,
        ticket: str | None = None,
        by_agent: bool = False,
    ) -> None:
        super().__init__(message, code=code)
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms
        self.ticket = ticket
        self.by_agent = by_agent


def internal_error(outcome: Outcome) -> RequestRefused:
    """Return the refusal of a request whose handling failed by a fault of this program."""
    code = Code.INTERNAL_NOT_RUN if outcome is Outcome.NOT_RUN else Code.INTERNAL_ERROR
    return RequestRefused("a fault of this program", code=code, outcome=outcome)


class FileRejected(SkylarkrackError):
    """Raised when a settings file or a published list has problems; *problems* lists them all."""

    def __init__(self, problems: tuple, *, code: Code) -> None:
        super().__init__("\n".join(str(problem) for problem in problems), code=code)
        self.problems = problems


class FrameRejected(SkylarkrackError):
    """Raised when bytes from a peer are not a valid frame; the connection is closed."""

    def __init__(self, message: str) -> None:
        super().__init__(message, code=Code.BAD_FRAME)


class LinkLost(SkylarkrackError):
    """Raised when a connection ends, or exceeds its time limit, before a reply arrives.

    *sent* is whether any byte of the request may have left this process.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message, code=Code.ENDPOINT_LOST)
        self.sent = sent


class PlatformUnreachable(SkylarkrackError):
    """Raised when the platform's configuration service gives no usable answer."""

    def __init__(self, message: str) -> None:
        super().__init__(message, code=Code.PLATFORM_UNREACHABLE)
