"""Decoders of the platform's JSON documents: configuration, registrations, versions and reports.

Each field is checked, since other programs write into the store too: any field may be missing or
have another type, and a value of the right type may be one that can't be used, such as a number
that doesn't fit into a message. An invalid document raises `DocumentRejected`, and the last valid
one stays in force.
"""

import json
import math
import re
import reprlib

from skylarkrack._addresses import is_address
from skylarkrack._numbers import whole_number
from skylarkrack.core.relay import (
    CallerLimits,
    Endpoint,
    EngineReport,
    EngineShape,
    ModelShape,
    Quota,
    Route,
    RoutingTable,
    Service,
    TableOrganisation,
    digest_of_key,
    group_by_host,
)

DEFAULT_TIMEOUT_MS = 30_000.0
"""Timeout of a request on a route that sets none."""

MIN_STREAM_PATIENCE_MS = 2000.0
OBJECTIVES_OF_PATIENCE = 4.0
GAPS_OF_PATIENCE = 8.0
"""Callers abandon a silent stream after the longest of a time, so many latency objectives, and so
many of the longest pauses that are still on time."""

DEFAULT_OBJECTIVE_MS = 1000.0
"""Latency objective of a route that sets none."""

NO_MEMORY_LIMIT_MB = float("inf")
"""Memory of an engine whose configuration sets no limit."""

MAX_INTEGER = 2**53 - 1
"""Largest integer in a document that is accepted; every JSON parser reads it exactly, and messages
between processes can hold it."""

MAX_TEXT_LENGTH = 1000
"""Longest string in a document that is accepted; names and addresses are far shorter."""

MAX_VERSION_DIGITS = 15
"""Digits of an adapter's version that are accepted, which keeps it below `MAX_INTEGER`."""

MAX_SHOWN_ERROR = 100
"""Characters of a parser's error that are shown."""

_PATH = re.compile(r"/[!-~]{0,999}", re.ASCII)
_ENDPOINT_ID = re.compile(r"[!-~]{1,200}", re.ASCII)

# Values in error messages are cut in length and in depth.
_SHOWN = reprlib.Repr()
_SHOWN.maxlevel = 2
_SHOWN.maxstring = _SHOWN.maxlong = _SHOWN.maxother = 60


class DocumentRejected(ValueError):
    """Raised for an invalid document of the platform; the message names the field and its value."""


def decode_json(data: bytes) -> dict:
    """Return the JSON object in *data*, or raise `DocumentRejected`."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentRejected(f"not valid JSON: {str(error)[:MAX_SHOWN_ERROR]}") from error
    if not isinstance(value, dict):
        raise DocumentRejected("not a JSON object")
    return value


def decode_table(data: bytes) -> RoutingTable:
    """Return the routing table in a configuration; raises `DocumentRejected`.

    Without a list of organisations (`tenants`) requests need no key.
    """
    document = decode_json(data)
    services = [_service(fields) for fields in _object_list(document, "services")]
    has_keys = document.get("tenants") is not None
    return RoutingTable(
        version=_integer(document, "version"),
        routes_by_host=group_by_host(
            [_route(fields) for fields in _object_list(document, "routes")]
        ),
        service_by_name={service.name: service for service in services},
        organisation_by_digest=(
            _organisations_by_digest(_object_list(document, "tenants")) if has_keys else None
        ),
        limits=_limits(_object(document, "limits")),
    )


def decode_endpoint(endpoint_id: str, data: bytes) -> Endpoint:
    """Return the endpoint in the registration under *endpoint_id*; raises `DocumentRejected`.

    `born` is the calendar time of its start in ms, `cold-left-ms` the time for which it is still
    slow after its start. `version` is that of the endpoint's software, not of an adapter.
    """
    if not _ENDPOINT_ID.fullmatch(endpoint_id):
        raise DocumentRejected(f"the id is {_SHOWN.repr(endpoint_id)}, not 1 to 200 of ASCII")
    document = decode_json(data)
    software_version = document.get("version")
    state = _string(document, "state")
    if state not in ("ready", "draining"):
        raise DocumentRejected(f"state is {_SHOWN.repr(state)}, not ready or draining")
    address = _string(document, "addr")
    if not is_address(address):
        raise DocumentRejected(f"addr is {_SHOWN.repr(address)}, not IP:PORT")
    models = document.get("models")
    return Endpoint(
        endpoint_id=endpoint_id,
        service=_string(document, "service"),
        address=address,
        domain=_string(document, "zone"),
        slots=_integer(document, "slots"),
        started_ms=_integer(document, "born"),
        is_leaving=state == "draining",
        warmup_left_ms=max(0.0, _number(document, "cold-left-ms", 0.0)),
        adapters_by_model=(
            None if models is None else _adapters_by_model(_object_list(document, "models"))
        ),
        software_version=software_version if _is_text(software_version) else "",
    )


def decode_version(data: bytes) -> tuple[str, str, int]:
    """Return model, adapter and version in an announcement; raises `DocumentRejected`."""
    document = decode_json(data)
    return _string(document, "model"), _string(document, "adapter"), _integer(document, "version")


def decode_report(data: bytes) -> EngineReport:
    """Return an engine's report of its own state; raises `DocumentRejected`.

    `born` is the calendar time of its start in ms, `seq` its order number, which an order has to
    give as the expected one. `coming` lists the adapters on their way to it, as
    MODEL/NAME@VERSION.
    """
    document = decode_json(data)
    adapters_by_model = _adapters_by_model(_object_list(document, "models"))
    resident = {(model, ""): 0 for model in adapters_by_model}
    for model, adapters in adapters_by_model.items():
        resident |= {(model, adapter): version for adapter, version in adapters.items()}
    on_the_way = {}
    for adapter_path in _string_list(document, "coming"):
        model, _, versioned_name = adapter_path.partition("/")
        adapter, version = _parse_adapter(versioned_name)
        on_the_way[model, adapter] = version
    return EngineReport(
        started_ms=_integer(document, "born"),
        sequence=_integer(document, "seq"),
        is_busy=bool(document.get("busy")),
        resident=resident,
        loading=on_the_way,
        runs=_runs(document),
        run_count=_count(document, "queued") + _count(document, "in-flight"),
    )


def _runs(document: dict) -> tuple[tuple[str, int, int], ...] | None:
    """Return (request id, tokens in memory, events) of a report's runs; None if it has none that
    can be read, as the adapters of such a report are still of use."""
    rows = document.get("runs")
    if not isinstance(rows, list):
        return None
    try:
        runs = [(str(row[0]), max(0, int(row[1])), max(0, int(row[2]))) for row in rows]
    except (TypeError, ValueError, LookupError, OverflowError, RecursionError):
        return None
    is_usable = all(
        _is_text(request_id) and max(tokens, events) <= MAX_INTEGER
        for request_id, tokens, events in runs
    )
    return tuple(runs) if is_usable else None


def _count(document: dict, name: str) -> int:
    value = document.get(name)
    return value if isinstance(value, int) and 0 <= value <= MAX_INTEGER else 0


def _adapters_by_model(models: list[dict]) -> dict[str, dict[str, int]]:
    adapters_by_model = {}
    for model in models:
        names = _string_list(model, "adapters")
        adapters_by_model[_string(model, "name")] = dict(_parse_adapter(name) for name in names)
    return adapters_by_model


def _parse_adapter(versioned_name: str) -> tuple[str, int]:
    """Split NAME@VERSION; a missing or invalid version is 0."""
    name, _, version = versioned_name.partition("@")
    return name, whole_number(version, max_digits=MAX_VERSION_DIGITS) or 0


def _route(fields: dict) -> Route:
    """Decode a route.

    A `public` route needs no key. `kind` decides which requests may run more than once: `safe`
    requests and `resumable` streams may, `unsafe` requests and other streams may not.
    `max-attempts` bounds the endpoints that may run one request of a caller, and counts the first.
    """
    kind = _string(fields, "kind")
    is_stream = kind == "streaming"
    is_resumable = is_stream and bool(fields.get("resumable"))
    objective_ms = _number(fields, "target-latency-ms", DEFAULT_OBJECTIVE_MS)
    gap_ms = _number(fields, "gap-aim-ms", 0.0) if is_stream else 0.0
    return Route(
        name=_string(fields, "name"),
        host=_string(fields, "host").lower(),
        prefix=_string(fields, "prefix"),
        shares=_shares(fields),
        is_stream=is_stream,
        is_idempotent=kind == "safe" or is_resumable,
        is_public=bool(fields.get("public")),
        timeout_ms=_number(fields, "timeout-ms", DEFAULT_TIMEOUT_MS),
        objective_ms=objective_ms,
        priority=int(_number(fields, "priority", 0.0)),
        max_endpoints=int(_number(fields, "max-attempts", 1.0)),
        patience_ms=_stream_patience_ms(gap_ms, objective_ms) if is_stream else math.inf,
        max_gap_ms=gap_ms if gap_ms > 0 else None,
    )


def _stream_patience_ms(gap_ms: float, objective_ms: float) -> float:
    """Return the silence after which callers abandon a stream, also before its first event."""
    return max(
        MIN_STREAM_PATIENCE_MS, OBJECTIVES_OF_PATIENCE * objective_ms, GAPS_OF_PATIENCE * gap_ms
    )


def _shares(fields: dict) -> tuple[tuple[str, float], ...]:
    """Return the services of a route with their weights: a single one, or those of a split."""
    split = _object_list(fields, "traffic-split")
    if not split:
        return ((_string(fields, "service"), 1.0),)
    shares = tuple((_string(share, "service"), _number(share, "weight", 0.0)) for share in split)
    if sum(weight for _, weight in shares) <= 0:
        raise DocumentRejected("the weights in traffic-split don't add up to more than 0")
    return shares


def _service(fields: dict) -> Service:
    """Decode a service.

    For `cold-start-s` after its start an endpoint tolerates `cold-per-s` requests a second from all
    callers. Unless both are above 0 there is no bound. A `health-path` that can't be the path of a
    request is ignored.
    """
    engine = _object(fields, "engine")
    cold_start_s = _finite_or_zero(fields, "cold-start-s")
    cold_per_s = _finite_or_zero(fields, "cold-per-s")
    has_cold_bound = cold_start_s > 0 and cold_per_s > 0
    return Service(
        name=_string(fields, "name"),
        max_connections=int(_number(fields, "max-conns", 100.0)),
        engine=_engine_shape(engine) if engine else None,
        cold_start_ms=cold_start_s * 1000 if has_cold_bound else 0.0,
        cold_per_s=cold_per_s if has_cold_bound else 0.0,
        health_path=_path(fields, "health-path"),
    )


def _path(fields: dict, key: str) -> str:
    """Return an absolute path of printable ASCII without spaces, or "" for anything else."""
    value = fields.get(key)
    return value if isinstance(value, str) and _PATH.fullmatch(value) else ""


def _engine_shape(fields: dict) -> EngineShape:
    models = [
        ModelShape(
            name=_string(model, "name"),
            weights_mb=_number(model, "weights-mb", 0.0),
            load_ms=_number(model, "load-time-s", 1.0) * 1000,
            adapter_mb=_number(model, "adapter-mb", 0.0),
        )
        for model in _object_list(fields, "models")
    ]
    return EngineShape(
        slots=_integer(fields, "slots"),
        cache_tokens=_integer(fields, "kv-capacity"),
        # The memory for weights. In a model the same key holds the size of its weights.
        memory_mb=_number(fields, "weights-mb", NO_MEMORY_LIMIT_MB),
        adapter_slots=int(_number(fields, "adapter-slots", 0.0)),
        model_by_name={model.name: model for model in models},
    )


def _organisations_by_digest(tenants: list[dict]) -> dict[bytes, TableOrganisation]:
    organisation_by_digest = {}
    for fields in tenants:
        quota = Quota(
            rate_per_s=_number(fields, "rate-per-s", 0.0),
            burst=_number(fields, "burst", 0.0),
            counts_tokens=fields.get("unit") == "tokens",
            # Cost of a request without a token count.
            plain_cost=_number(fields, "plain-tokens", 1.0),
        )
        priority = fields.get("priority")
        organisation = TableOrganisation(
            name=_string(fields, "name"),
            priority=priority if _is_integer(priority) else None,
            quota=quota,
        )
        for key in _string_list(fields, "api-keys"):
            organisation_by_digest[digest_of_key(key)] = organisation
    return organisation_by_digest


def _limits(fields: dict) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        head_bytes=int(_number(fields, "max-header-bytes", default.head_bytes)),
        body_bytes=int(_number(fields, "max-body-bytes", default.body_bytes)),
        head_timeout_ms=_number(fields, "header-timeout-ms", default.head_timeout_ms),
        idle_timeout_ms=_number(fields, "idle-timeout-ms", default.idle_timeout_ms),
    )


def _string(fields: dict, key: str) -> str:
    value = fields.get(key)
    if not _is_text(value) or not value:
        raise DocumentRejected(f"{key} is {_SHOWN.repr(value)}, not a non-empty string")
    return value


def _is_text(value: object) -> bool:
    """Return whether a value is a string that can be encoded and written to a header or the log."""
    return isinstance(value, str) and len(value) <= MAX_TEXT_LENGTH and value.isprintable()


def _integer(fields: dict, key: str) -> int:
    value = fields.get(key)
    if not _is_integer(value) or value < 0:
        raise DocumentRejected(f"{key} is {_SHOWN.repr(value)}, not an integer of 0 and more")
    return value


def _is_integer(value: object) -> bool:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and abs(value) <= MAX_INTEGER


def _number(fields: dict, key: str, default: float) -> float:
    """Return a finite number, *default* if the field is missing."""
    value = fields.get(key)
    if value is None:
        return default
    is_number = _is_integer(value) or (isinstance(value, float) and abs(value) <= MAX_INTEGER)
    if not is_number:
        raise DocumentRejected(f"{key} is {_SHOWN.repr(value)}, not a finite number")
    return float(value)


def _finite_or_zero(fields: dict, key: str) -> float:
    """Return a number, 0 if the field is missing or not finite."""
    value = fields.get(key)
    is_endless = isinstance(value, float) and not math.isfinite(value)
    return 0.0 if is_endless else _number(fields, key, 0.0)


def _object(fields: dict, key: str) -> dict:
    value = fields.get(key) or {}
    if not isinstance(value, dict):
        raise DocumentRejected(f"{key} is not an object")
    return value


def _object_list(fields: dict, key: str) -> list[dict]:
    value = fields.get(key) or []
    if not isinstance(value, list) or not all(isinstance(element, dict) for element in value):
        raise DocumentRejected(f"{key} is not a list of objects")
    return value


def _string_list(fields: dict, key: str) -> list[str]:
    value = fields.get(key) or []
    if not isinstance(value, list) or not all(_is_text(element) for element in value):
        raise DocumentRejected(f"{key} is not a list of strings")
    return value
