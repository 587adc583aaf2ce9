"""Decoding and encoding of the platform's headers between callers, entries and endpoints."""

import math
import re

from skylarkrack._errors import Code, RequestRefused
from skylarkrack.core.relay import Call, ModelNeed, ProbeResult, ReportedLoad, RoutingTable
from skylarkrack.platform._documents import decode_table
from skylarkrack.relay import (
    ForwardParameters,
    HealthResponse,
    IncomingRequest,
    ResponseClassification,
)
from skylarkrack.web import Headers, Request

# Names one attempt: a caller's retry has a new id and counts as a new request.
_REQUEST_ID = b"x-attempt-id"
# The time in ms that is left for the request, not a point in time.
_TIMEOUT = b"x-deadline-ms"
# MODEL or MODEL/ADAPTER.
_MODEL = b"x-model"
# PROMPT,OUTPUT: the prompt's tokens and the largest number of output tokens. They are the cost that
# the request is admitted with, not the tokens that it used.
_TOKEN_COUNT = b"x-token-count"
# The parts of the prompt in order, as ID:TOKENS, separated by commas.
_PREFIX = b"x-prompt-prefix"
# The last event of this stream that the caller has received.
_RESUME_AFTER = b"last-event-id"
# The request id of the caller's attempt that brought the first event of the stream.
_FIRST_ATTEMPT = b"resumes"
_KEY = b"authorization"
# The endpoint's proof that it produced the answer.
_PROOF = b"x-response-seal"
# Present in a refusal of a request that the endpoint did not run and will not run.
_NOT_RUN = b"x-not-executed"

# "1" in all answers of an endpoint that is about to stop.
_LEAVING = b"server-leaving"
# Requests a second that the endpoint accepts from all VMs together, for as long as its answers name
# a limit.
_RATE_LIMIT = b"server-limit"
# RUNNING,WAITING,SLOTS or RUNNING,WAITING,SLOTS,SLOWNESS: the endpoint's requests of all callers,
# and how long work takes there at this moment, where 100 is usual.
_LOAD = b"x-instance-load"
# Other separators than commas are accepted too.
_LOAD_SEPARATOR = re.compile(r"\s*[,;/]\s*|\s+")
# In answers of the health path: the rest of the endpoint's cold time in ms.
_COLD_LEFT = b"x-cold-ms"
# In a 503: seconds in which the endpoint wants no requests from this VM.
_RETRY_AFTER = b"retry-after"

# The id of the endpoint that the request is meant for.
_EXPECTED_ENDPOINT_ID = b"x-expect-instance"
# The id of the endpoint that answers, in its refusal of a request meant for another endpoint and in
# answers of the health path.
_ANSWERING_ENDPOINT_ID = b"x-instance-id"
_ORGANISATION = b"x-tenant"
# A lower number is more urgent.
_URGENCY = b"x-request-urgency"
# The expected version of the adapter, or of the model's weights where the request names no adapter.
_VERSION = b"x-expect-version"

# Other forms, such as dates, signs and exponents, are invalid.
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,9})?", re.ASCII)

# Cold times may have any number of digits, as larger ones are shortened.
_COLD_TIME = re.compile(r"[0-9]+(\.[0-9]*)?", re.ASCII)

_KEY_SCHEME = "token"
_STATUS_OK = 200
_STATUS_MISDIRECTED = 421
_STATUS_UNAVAILABLE = 503
_REFUSAL_STATUSES = (400, 408, 421, 429, 503)

MAX_PAUSE_MS = 300_000.0
"""Longest pause that an endpoint can ask for; a longer one is shortened to this."""

MAX_COLD_LEFT_MS = 60_000.0
"""Longest cold time that an endpoint is believed to state; a longer one is shortened to this."""

MAX_REPORTED_REQUESTS = 100_000
"""Largest number of requests or slots that is believed of one endpoint."""

USUAL_SLOWNESS = 100.0
MAX_REPORTED_SLOWNESS = 10_000.0
"""Largest slowness that is believed; `USUAL_SLOWNESS` is usual."""

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)

# Headers that only the system may set. From a caller they could reserve or move an engine's memory,
# or claim to be another organisation.
_SYSTEM_ONLY = frozenset(
    {
        _KEY,
        _TIMEOUT,
        _RESUME_AFTER,
        _EXPECTED_ENDPOINT_ID,
        _ORGANISATION,
        _URGENCY,
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"content-length",
    }
)

_NOT_FOR_CALLERS = _HOP_BY_HOP | {b"content-length"}


class PlatformCodec:
    """Decodes requests and answers, and encodes the headers to forward; implements `RelayCodec`."""

    __slots__ = ()

    def decode_routing_table(self, document: bytes) -> RoutingTable:
        """Return the routing table in a configuration; raises `DocumentRejected`."""
        return decode_table(document)

    def decode_request(self, request: Request, now_ms: float) -> IncomingRequest:
        """Decode a caller's request that arrived at *now_ms*.

        Raises `RequestRefused` where it has no request id or no host.
        """
        request_id = request.header(_REQUEST_ID)
        host = request.header(b"host")
        if not request_id or not host:
            raise RequestRefused("no request id or host", code=Code.BAD_FIELD)
        need, has_count = _decode_model_need(request)
        call = Call(
            request_id=request_id,
            arrived_ms=now_ms,
            patience_ms=_milliseconds(request.header(_TIMEOUT)),
            need=need,
            has_token_count=has_count,
            resume_after=request.header(_RESUME_AFTER),
            first_attempt=request.header(_FIRST_ATTEMPT),
        )
        return IncomingRequest(
            host=host.partition(":")[0].lower(),
            path=request.path,
            key=_decode_key(request.header(_KEY)),
            call=call,
        )

    def headers_for_endpoint(self, request: Request, forwarding: ForwardParameters) -> Headers:
        """Return the headers of a forwarded request, without the key and the body's length.

        Headers that only the system may set come from *forwarding*, never from the caller.
        """
        dropped = _HOP_BY_HOP | _SYSTEM_ONLY | _connection_options(request.headers)
        if forwarding.version is not None:
            dropped |= {_VERSION}
        headers = [(name, value) for name, value in request.headers if name not in dropped]
        headers.append((_TIMEOUT, str(max(1, int(forwarding.remaining_ms))).encode()))
        headers.append((_EXPECTED_ENDPOINT_ID, forwarding.endpoint_id.encode()))
        if forwarding.organisation is not None:
            headers.append((_ORGANISATION, forwarding.organisation.encode()))
        if request.header(_MODEL) is not None:
            headers.append((_URGENCY, str(forwarding.urgency).encode()))
        if forwarding.version is not None:
            headers.append((_VERSION, str(forwarding.version).encode()))
        if forwarding.resume_after is not None:
            headers.append((_RESUME_AFTER, forwarding.resume_after.encode("latin-1")))
        return headers

    def is_response_to(self, request_id: str, headers: Headers) -> bool:
        """Tell whether an answer belongs to the request; an answer without an id does.

        Refusals may come without an id.
        """
        response_request_id = _header_value(headers, _REQUEST_ID)
        return response_request_id is None or response_request_id == request_id

    def classify_response(
        self, status: int, headers: Headers, endpoint_id: str
    ) -> ResponseClassification:
        """Classify the head of an answer to a request that was sent to *endpoint_id*.

        An answer without a request id or with a content encoding is never proven.
        """
        is_misdirected = status == _STATUS_MISDIRECTED
        answering_id = _header_value(headers, _ANSWERING_ENDPOINT_ID)
        is_other_endpoint = is_misdirected and answering_id not in (None, endpoint_id)
        is_declared_not_run = (
            _header_value(headers, _NOT_RUN) is not None and status in _REFUSAL_STATUSES
        )
        is_encoded = _header_value(headers, b"content-encoding") is not None
        has_request_id = _header_value(headers, _REQUEST_ID) is not None
        has_proof = _header_value(headers, _PROOF) is not None
        reported = _header_value(headers, _LOAD)
        load = None if reported is None else _decode_load(reported)
        return ResponseClassification(
            was_not_run=is_misdirected or is_declared_not_run,
            carries_proof=has_proof and has_request_id and not is_encoded,
            lacks_adapter=is_misdirected and not is_other_endpoint,
            is_other_endpoint=is_other_endpoint,
            names_request=has_request_id,
            is_leaving=_header_value(headers, _LEAVING) == "1",
            pause_ms=_decode_pause_ms(status, _header_value(headers, _RETRY_AFTER)),
            limit_per_s=decode_rate_limit(headers),
            load=load,
            has_invalid_load=reported is not None and load is None,
        )

    def headers_for_probe(self, request_id: str, *, endpoint_id: str, timeout_ms: float) -> Headers:
        """Return the headers of a request to the health path of an endpoint."""
        return [
            (_REQUEST_ID, request_id.encode()),
            (_TIMEOUT, str(max(1, int(timeout_ms))).encode()),
            (_EXPECTED_ENDPOINT_ID, endpoint_id.encode()),
        ]

    def decode_health(self, status: int, headers: Headers, endpoint_id: str) -> HealthResponse:
        """Decode the head of an answer of the health path of *endpoint_id*.

        An answer with another id, without an id or with the status of a misdirected request says
        nothing about that endpoint.
        """
        answering_id = _header_value(headers, _ANSWERING_ENDPOINT_ID)
        if status == _STATUS_MISDIRECTED or answering_id != endpoint_id:
            return HealthResponse(status=status, result=ProbeResult.OTHER_ENDPOINT)
        is_healthy = status == _STATUS_OK
        return HealthResponse(
            status=status,
            result=ProbeResult.HEALTHY if is_healthy else ProbeResult.UNHEALTHY,
            cold_left_ms=decode_cold_left(headers),
            is_leaving=_header_value(headers, _LEAVING) == "1",
            pause_ms=_decode_pause_ms(status, _header_value(headers, _RETRY_AFTER)),
        )

    def headers_for_caller(self, headers: Headers) -> Headers:
        """Return the headers of an endpoint's answer that are forwarded to the caller."""
        dropped = _NOT_FOR_CALLERS | _connection_options(headers)
        return [(name, value) for name, value in headers if name not in dropped]

    def headers_for_own_response(self, request_id: str | None) -> Headers:
        """Return the headers of the relay's own answers: the request's id, but no proof."""
        return [] if request_id is None else [(_REQUEST_ID, request_id.encode("latin-1"))]


def headers_of_call(
    request_id: str,
    *,
    key: str | None = None,
    model: str | None = None,
    tokens: str | None = None,
    prefix: str | None = None,
    timeout_ms: str | None = None,
) -> list[tuple[str, str]]:
    """Return the headers by which a caller states what a request needs, in the platform's form."""
    values = (
        (_REQUEST_ID, request_id),
        (_KEY, None if key is None else f"{_KEY_SCHEME.title()} {key}"),
        (_MODEL, model),
        (_TOKEN_COUNT, tokens),
        (_PREFIX, prefix),
        (_TIMEOUT, timeout_ms),
    )
    return [(name.decode(), value) for name, value in values if value is not None]


def _decode_model_need(request: Request) -> tuple[ModelNeed | None, bool]:
    """Return what a request needs of an engine, and whether it has a valid token count."""
    model = request.header(_MODEL)
    count = request.header(_TOKEN_COUNT)
    prompt, _, output = (count or "").partition(",")
    has_count = prompt.strip().isdigit() and output.strip().isdigit()
    if model is None:
        return None, has_count
    name, _, adapter = model.partition("/")
    need = ModelNeed(
        model=name,
        adapter=adapter or None,
        prompt_tokens=int(prompt) if has_count else 0,
        output_tokens=int(output) if has_count else 0,
        prefix=_decode_prefix(request.header(_PREFIX)),
    )
    return need, has_count


def _decode_prefix(value: str | None) -> tuple[tuple[str, int], ...]:
    parts = []
    for field in (value or "").split(","):
        part_id, _, tokens = field.strip().partition(":")
        if part_id and tokens.isdigit():
            parts.append((part_id, int(tokens)))
    return tuple(parts)


def _decode_key(value: str | None) -> str | None:
    scheme, _, key = (value or "").strip().partition(" ")
    if scheme.lower() != _KEY_SCHEME or not key.strip():
        return None
    return key.strip()


def _milliseconds(value: str | None) -> float | None:
    if value is None or not value.strip().isdigit():
        return None
    return float(value)


def _decode_pause_ms(status: int, retry_after: str | None) -> float | None:
    """Return the pause that a refusal asks for; None without a number of seconds above 0."""
    if status != _STATUS_UNAVAILABLE or retry_after is None:
        return None
    if not _DECIMAL.fullmatch(retry_after.strip()):
        return None
    pause_ms = float(retry_after) * 1000
    return min(pause_ms, MAX_PAUSE_MS) if pause_ms > 0 else None


def _decode_load(value: str) -> ReportedLoad | None:
    """Return the reported load, or None if any of its figures is malformed or out of range."""
    figures = _LOAD_SEPARATOR.split(value.strip())
    if len(figures) not in (3, 4) or not all(_DECIMAL.fullmatch(figure) for figure in figures):
        return None
    if not all(figure.isdigit() for figure in figures[:3]):
        return None
    running, waiting, slots = (int(figure) for figure in figures[:3])
    if max(running, waiting, slots) > MAX_REPORTED_REQUESTS or not slots:
        return None
    slowness = float(figures[3]) if len(figures) == 4 else None
    if slowness is not None and not 0 < slowness <= MAX_REPORTED_SLOWNESS:
        return None
    return ReportedLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        slowness=None if slowness is None else slowness / USUAL_SLOWNESS,
    )


def decode_cold_left(headers: Headers) -> float | None:
    """Return the cold time in ms that *headers* state, None without one or with a malformed one.

    The longest counts if there are several. One above `MAX_COLD_LEFT_MS` is shortened to that.
    """
    values = [value.decode("latin-1").strip() for name, value in headers if name == _COLD_LEFT]
    if not values or not all(_COLD_TIME.fullmatch(value) for value in values):
        return None
    return min(MAX_COLD_LEFT_MS, max(map(float, values)))


def decode_rate_limit(headers: Headers) -> float | None:
    """Return the requests a second that an endpoint accepts, infinity if *headers* name no limit.

    The lowest counts if there are several. Returns None if none of them is a decimal number.
    """
    values = [value.decode("latin-1").strip() for name, value in headers if name == _RATE_LIMIT]
    if not values:
        return math.inf
    return min((float(value) for value in values if _DECIMAL.fullmatch(value)), default=None)


def _connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the names in `Connection`, whose headers concern this connection only."""
    values = [value for name, value in headers if name == b"connection"]
    return frozenset(option.strip().lower() for value in values for option in value.split(b","))


def _header_value(headers: Headers, name: bytes) -> str | None:
    return next((value.decode("latin-1") for key, value in headers if key == name), None)
