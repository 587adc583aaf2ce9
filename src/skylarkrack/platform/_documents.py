"""Decodes the documents of the platform: configuration, registrations, versions and reports.

Each field may be missing or of another type, since others write into the store too. A document that
can't be read raises `DocumentRejected`, and the last good one stays in force.
"""

import json

from skylarkrack.core.relay import (
    CallerLimits,
    Endpoint,
    EngineReport,
    EngineShape,
    Member,
    ModelShape,
    Quota,
    Route,
    RoutingTable,
    Service,
    by_host,
    digest_of_key,
)

DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_OBJECTIVE_MS = 1000.0
NO_MEMORY_LIMIT_MB = float("inf")


class DocumentRejected(ValueError):
    """Raised when a document of the platform can't be used; tells what was found where."""


def decode_json(data: bytes) -> dict:
    """Return the JSON object in *data*, or raise `DocumentRejected`."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentRejected(f"no JSON: {error}") from error
    if not isinstance(value, dict):
        raise DocumentRejected("no JSON object")
    return value


def decode_table(data: bytes) -> RoutingTable:
    """Return the routing table in a configuration."""
    document = decode_json(data)
    services = [_service(item) for item in _list(document, "services")]
    has_keys = document.get("tenants") is not None
    return RoutingTable(
        version=_whole(document, "version"),
        routes_by_host=by_host([_route(item) for item in _list(document, "routes")]),
        service_by_name={service.name: service for service in services},
        organisation_by_digest=_organisations(_list(document, "tenants")) if has_keys else None,
        limits=_limits(_object(document, "limits")),
    )


def decode_endpoint(endpoint_id: str, data: bytes) -> Endpoint:
    """Return the endpoint that a registration under *endpoint_id* describes.

    Its `born` is the calendar time of its start; `cold-left-ms` how long it will be slow.
    """
    document = decode_json(data)
    state = _text(document, "state")
    if state not in ("ready", "draining"):
        raise DocumentRejected(f"state {state!r}")
    address = _text(document, "addr")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise DocumentRejected(f"addr {address!r}")
    models = document.get("models")
    return Endpoint(
        endpoint_id=endpoint_id,
        service=_text(document, "service"),
        address=address,
        domain=_text(document, "zone"),
        slots=_whole(document, "slots"),
        started_ms=_whole(document, "born"),
        is_leaving=state == "draining",
        cold_ms=_number(document, "cold-left-ms", 0.0),
        adapters_by_model=None if models is None else _held(_list(document, "models")),
    )


def decode_version(data: bytes) -> tuple[str, str, int]:
    """Return model, adapter and version that an announcement names."""
    document = decode_json(data)
    return _text(document, "model"), _text(document, "adapter"), _whole(document, "version")


def decode_report(data: bytes) -> EngineReport:
    """Return what an engine reports of itself; `coming` lists the adapters on their way to it."""
    document = decode_json(data)
    held = _held(_list(document, "models"))
    resident = {(model, ""): 0 for model in held}
    for model, adapters in held.items():
        resident |= {(model, adapter): version for adapter, version in adapters.items()}
    on_the_way = {}
    for text in _list_of_text(document, "coming"):
        model, _, rest = text.partition("/")
        adapter, version = _adapter(rest)
        on_the_way[model, adapter] = version
    return EngineReport(
        started_ms=_whole(document, "born"),
        sequence=_whole(document, "seq"),
        is_busy=bool(document.get("busy")),
        resident=resident,
        on_the_way=on_the_way,
    )


def _held(models: list[dict]) -> dict[str, dict[str, int]]:
    held = {}
    for model in models:
        names = _list_of_text(model, "adapters")
        held[_text(model, "name")] = dict(_adapter(text) for text in names)
    return held


def _adapter(text: str) -> tuple[str, int]:
    """Split NAME@VERSION."""
    name, _, version = text.partition("@")
    return name, int(version) if version.isdigit() else 0


def _route(item: dict) -> Route:
    """Decode a route. `public` means: without a key; `resumable`: the stream may run again.

    `kind` says what may be repeated: `safe` requests may run more than once, `unsafe` ones and
    streams that are not resumable may not.
    """
    kind = _text(item, "kind")
    is_stream = kind == "streaming"
    is_resumable = is_stream and bool(item.get("resumable"))
    return Route(
        name=_text(item, "name"),
        host=_text(item, "host").lower(),
        prefix=_text(item, "prefix"),
        shares=_shares(item),
        is_stream=is_stream,
        is_idempotent=kind == "safe" or is_resumable,
        is_public=bool(item.get("public")),
        timeout_ms=_number(item, "timeout-ms", DEFAULT_TIMEOUT_MS),
        objective_ms=_number(item, "target-latency-ms", DEFAULT_OBJECTIVE_MS),
        priority=int(_number(item, "priority", 0.0)),
        max_endpoints=int(_number(item, "max-attempts", 1.0)),
    )


def _shares(item: dict) -> tuple[tuple[str, float], ...]:
    """Return the services of a route: one, or a split by weight."""
    split = _list(item, "traffic-split")
    if not split:
        return ((_text(item, "service"), 1.0),)
    shares = tuple((_text(part, "service"), _number(part, "weight", 0.0)) for part in split)
    if sum(weight for _, weight in shares) <= 0:
        raise DocumentRejected("traffic-split without weight")
    return shares


def _service(item: dict) -> Service:
    engine = _object(item, "engine")
    return Service(
        name=_text(item, "name"),
        max_connections=int(_number(item, "max-conns", 100.0)),
        engine=_engine(engine) if engine else None,
    )


def _engine(item: dict) -> EngineShape:
    models = [
        ModelShape(
            name=_text(model, "name"),
            weights_mb=_number(model, "weights-mb", 0.0),
            load_ms=_number(model, "load-time-s", 1.0) * 1000,
            adapter_mb=_number(model, "adapter-mb", 0.0),
        )
        for model in _list(item, "models")
    ]
    return EngineShape(
        slots=_whole(item, "slots"),
        cache_tokens=_whole(item, "kv-capacity"),
        memory_mb=_number(item, "weights-mb", NO_MEMORY_LIMIT_MB),
        adapter_places=int(_number(item, "adapter-slots", 0.0)),
        model_by_name={model.name: model for model in models},
    )


def _organisations(tenants: list[dict]) -> dict[bytes, Member]:
    member_by_digest = {}
    for item in tenants:
        quota = Quota(
            rate_per_s=_number(item, "rate-per-s", 0.0),
            burst=_number(item, "burst", 0.0),
            counts_tokens=item.get("unit") == "tokens",
            plain_cost=_number(item, "plain-tokens", 1.0),
        )
        priority = item.get("priority")
        member = Member(
            name=_text(item, "name"),
            priority=priority if isinstance(priority, int) else None,
            quota=quota,
        )
        for key in _list_of_text(item, "api-keys"):
            member_by_digest[digest_of_key(key)] = member
    return member_by_digest


def _limits(item: dict) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        head_bytes=int(_number(item, "max-header-bytes", default.head_bytes)),
        body_bytes=int(_number(item, "max-body-bytes", default.body_bytes)),
        head_timeout_ms=_number(item, "header-timeout-ms", default.head_timeout_ms),
        idle_timeout_ms=_number(item, "idle-timeout-ms", default.idle_timeout_ms),
    )


def _text(item: dict, key: str) -> str:
    value = item.get(key) if isinstance(item, dict) else None
    if not isinstance(value, str) or not value:
        raise DocumentRejected(f"{key} is {value!r}, not a text")
    return value


def _whole(item: dict, key: str) -> int:
    value = item.get(key)
    if not isinstance(value, int) or isinstance(value, bool):
        raise DocumentRejected(f"{key} is {value!r}, not a whole number")
    return value


def _number(item: dict, key: str, default: float) -> float:
    value = item.get(key)
    if value is None:
        return default
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise DocumentRejected(f"{key} is {value!r}, not a number")
    return float(value)


def _object(item: dict, key: str) -> dict:
    value = item.get(key) or {}
    if not isinstance(value, dict):
        raise DocumentRejected(f"{key} is no object")
    return value


def _list(item: dict, key: str) -> list[dict]:
    value = item.get(key) or []
    if not isinstance(value, list) or not all(isinstance(part, dict) for part in value):
        raise DocumentRejected(f"{key} is no list of objects")
    return value


def _list_of_text(item: dict, key: str) -> list[str]:
    value = item.get(key) or []
    if not isinstance(value, list) or not all(isinstance(part, str) for part in value):
        raise DocumentRejected(f"{key} is no list of texts")
    return value
