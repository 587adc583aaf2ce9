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
    services = [_service(item) for item in _object_list(document, "services")]
    has_keys = document.get("tenants") is not None
    return RoutingTable(
        version=_integer(document, "version"),
        routes_by_host=group_by_host([_route(item) for item in _object_list(document, "routes")]),
        service_by_name={service.name: service for service in services},
        organisation_by_digest=(
            _members_by_digest(_object_list(document, "tenants")) if has_keys else None
        ),
        limits=_limits(_object(document, "limits")),
    )


def decode_endpoint(endpoint_id: str, data: bytes) -> Endpoint:
    """Return the endpoint that a registration under *endpoint_id* describes.

    Its `born` is the calendar time of its start; `cold-left-ms` how long it will be slow.
    """
    document = decode_json(data)
    state = _string(document, "state")
    if state not in ("ready", "draining"):
        raise DocumentRejected(f"state {state!r}")
    address = _string(document, "addr")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise DocumentRejected(f"addr {address!r}")
    models = document.get("models")
    return Endpoint(
        endpoint_id=endpoint_id,
        service=_string(document, "service"),
        address=address,
        domain=_string(document, "zone"),
        slots=_integer(document, "slots"),
        started_ms=_integer(document, "born"),
        is_leaving=state == "draining",
        cold_ms=_number(document, "cold-left-ms", 0.0),
        adapters_by_model=(
            None if models is None else _adapters_by_model(_object_list(document, "models"))
        ),
    )


def decode_version(data: bytes) -> tuple[str, str, int]:
    """Return model, adapter and version that an announcement names."""
    document = decode_json(data)
    return _string(document, "model"), _string(document, "adapter"), _integer(document, "version")


def decode_report(data: bytes) -> EngineReport:
    """Return what an engine reports of itself; `coming` lists the adapters on their way to it."""
    document = decode_json(data)
    held = _adapters_by_model(_object_list(document, "models"))
    resident = {(model, ""): 0 for model in held}
    for model, adapters in held.items():
        resident |= {(model, adapter): version for adapter, version in adapters.items()}
    on_the_way = {}
    for text in _string_list(document, "coming"):
        model, _, rest = text.partition("/")
        adapter, version = _parse_adapter(rest)
        on_the_way[model, adapter] = version
    return EngineReport(
        started_ms=_integer(document, "born"),
        sequence=_integer(document, "seq"),
        is_busy=bool(document.get("busy")),
        resident=resident,
        on_the_way=on_the_way,
    )


def _adapters_by_model(models: list[dict]) -> dict[str, dict[str, int]]:
    held = {}
    for model in models:
        names = _string_list(model, "adapters")
        held[_string(model, "name")] = dict(_parse_adapter(text) for text in names)
    return held


def _parse_adapter(text: str) -> tuple[str, int]:
    """Split NAME@VERSION."""
    name, _, version = text.partition("@")
    return name, int(version) if version.isdigit() else 0


def _route(item: dict) -> Route:
    """Decode a route. `public` means: without a key; `resumable`: the stream may run again.

    `kind` says what may be repeated: `safe` requests may run more than once, `unsafe` ones and
    streams that are not resumable may not.
    """
    kind = _string(item, "kind")
    is_stream = kind == "streaming"
    is_resumable = is_stream and bool(item.get("resumable"))
    return Route(
        name=_string(item, "name"),
        host=_string(item, "host").lower(),
        prefix=_string(item, "prefix"),
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
    split = _object_list(item, "traffic-split")
    if not split:
        return ((_string(item, "service"), 1.0),)
    shares = tuple((_string(part, "service"), _number(part, "weight", 0.0)) for part in split)
    if sum(weight for _, weight in shares) <= 0:
        raise DocumentRejected("traffic-split without weight")
    return shares


def _service(item: dict) -> Service:
    engine = _object(item, "engine")
    return Service(
        name=_string(item, "name"),
        max_connections=int(_number(item, "max-conns", 100.0)),
        engine=_engine_shape(engine) if engine else None,
    )


def _engine_shape(item: dict) -> EngineShape:
    models = [
        ModelShape(
            name=_string(model, "name"),
            weights_mb=_number(model, "weights-mb", 0.0),
            load_ms=_number(model, "load-time-s", 1.0) * 1000,
            adapter_mb=_number(model, "adapter-mb", 0.0),
        )
        for model in _object_list(item, "models")
    ]
    return EngineShape(
        slots=_integer(item, "slots"),
        cache_tokens=_integer(item, "kv-capacity"),
        memory_mb=_number(item, "weights-mb", NO_MEMORY_LIMIT_MB),
        adapter_places=int(_number(item, "adapter-slots", 0.0)),
        model_by_name={model.name: model for model in models},
    )


def _members_by_digest(tenants: list[dict]) -> dict[bytes, TableOrganisation]:
    member_by_digest = {}
    for item in tenants:
        quota = Quota(
            rate_per_s=_number(item, "rate-per-s", 0.0),
            burst=_number(item, "burst", 0.0),
            counts_tokens=item.get("unit") == "tokens",
            plain_cost=_number(item, "plain-tokens", 1.0),
        )
        priority = item.get("priority")
        member = TableOrganisation(
            name=_string(item, "name"),
            priority=priority if isinstance(priority, int) else None,
            quota=quota,
        )
        for key in _string_list(item, "api-keys"):
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


def _string(item: dict, key: str) -> str:
    value = item.get(key) if isinstance(item, dict) else None
    if not isinstance(value, str) or not value:
        raise DocumentRejected(f"{key} is {value!r}, not a text")
    return value


def _integer(item: dict, key: str) -> int:
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


def _object_list(item: dict, key: str) -> list[dict]:
    value = item.get(key) or []
    if not isinstance(value, list) or not all(isinstance(part, dict) for part in value):
        raise DocumentRejected(f"{key} is no list of objects")
    return value


def _string_list(item: dict, key: str) -> list[str]:
    value = item.get(key) or []
    if not isinstance(value, list) or not all(isinstance(part, str) for part in value):
        raise DocumentRejected(f"{key} is no list of texts")
    return value
