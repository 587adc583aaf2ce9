"""Builders of the relay's data, with defaults that tests override by keyword."""

from skylarkrack.core.relay import (
    Call,
    Dispatcher,
    Endpoint,
    EngineCapacity,
    EngineReport,
    EngineShape,
    EngineState,
    EngineStateReceived,
    ModelNeed,
    ModelShape,
    PendingRequest,
    Quota,
    Route,
    RoutingTable,
    Service,
    TableOrganisation,
    TablePublished,
    digest_of_key,
    group_by_host,
)

KEY = "key-of-singers"
MODEL = "base"


def quota(**changes: object) -> Quota:
    """Return a quota of 1,000 tokens a second with a burst of 1,000."""
    fields = {"rate_per_s": 1000.0, "burst": 1000.0, "counts_tokens": True, "plain_cost": 200.0}
    return Quota(**{**fields, **changes})


def route(name: str = "chat", **changes: object) -> Route:
    """Return a streamed route to the service `engines`."""
    fields = {
        "name": name,
        "host": "a.example",
        "prefix": f"/{name}/",
        "shares": (("engines", 1.0),),
        "is_stream": True,
        "is_idempotent": False,
        "is_public": False,
        "timeout_ms": 12_000.0,
        "objective_ms": 600.0,
        "priority": 1,
        "max_endpoints": 1,
    }
    return Route(**{**fields, **changes})


def engine_shape(**changes: object) -> EngineShape:
    """Return an engine with four slots, three adapter slots and one base model."""
    model = ModelShape(name=MODEL, weights_mb=100.0, load_ms=1900.0, adapter_mb=1.0)
    fields = {
        "slots": 4,
        "cache_tokens": 10_000,
        "memory_mb": 200.0,
        "adapter_slots": 3,
        "model_by_name": {MODEL: model},
    }
    return EngineShape(**{**fields, **changes})


def engine_capacity() -> EngineCapacity:
    """Return a capacity of three adapter slots and memory for the base model."""
    return EngineCapacity(adapter_slots=3, memory_mb=200.0, weights_mb_by_model={MODEL: 100.0})


def table(version: int = 1, **changes: object) -> RoutingTable:
    """Return a table with a streamed route to engines, two to plain endpoints, and an
    organisation."""
    order = route("fees", is_stream=False, shares=(("desk", 1.0),), timeout_ms=800.0)
    lookup = route(
        "badges", is_stream=False, shares=(("desk", 1.0),), is_idempotent=True, max_endpoints=2
    )
    member = TableOrganisation(name="singers", priority=None, quota=quota())
    fields = {
        "version": version,
        "routes_by_host": group_by_host([route(), order, lookup]),
        "service_by_name": {
            "engines": Service(name="engines", max_connections=250, engine=engine_shape()),
            "desk": Service(name="desk", max_connections=100),
        },
        "organisation_by_digest": {digest_of_key(KEY): member},
    }
    return RoutingTable(**{**fields, **changes})


def endpoint(endpoint_id: str = "e1", **changes: object) -> Endpoint:
    """Return an endpoint of the service `engines`."""
    fields = {
        "endpoint_id": endpoint_id,
        "service": "engines",
        "address": f"10.0.0.1:{8000 + int(endpoint_id[1:])}",
        "domain": "east",
        "slots": 4,
        "started_ms": 1000,
    }
    return Endpoint(**{**fields, **changes})


def state(now_ms: float = 0.0, *adapters: str, **changes: object) -> EngineState:
    """Return the state of an engine that holds version 1 of *adapters*."""
    fields = {
        "received_ms": now_ms,
        "resident": {(MODEL, ""): 0, **{(MODEL, adapter): 1 for adapter in adapters}},
        "loading": {},
        "spare_slots": 3,
    }
    return EngineState(**{**fields, **changes})


def report(*adapters: str, sequence: int = 0, **changes: object) -> EngineReport:
    """Return the report of an engine that holds version 1 of *adapters*."""
    fields = {
        "started_ms": 1000,
        "sequence": sequence,
        "is_busy": False,
        "resident": {(MODEL, ""): 0, **{(MODEL, adapter): 1 for adapter in adapters}},
        "loading": {},
    }
    return EngineReport(**{**fields, **changes})


def need(adapter: str | None = "a1", **changes: object) -> ModelNeed:
    """Return a need of 100 prompt tokens and 100 output tokens."""
    fields = {"model": MODEL, "adapter": adapter, "prompt_tokens": 100, "output_tokens": 100}
    return ModelNeed(**{**fields, **changes})


def pending_request(
    request_id: str = "r1", adapter: str | None = "a1", **changes: object
) -> PendingRequest:
    """Return an admitted request for *adapter* that arrived at 0 and is due at 12 s."""
    call = Call(request_id=request_id, arrived_ms=0.0, patience_ms=12_000.0, need=need(adapter))
    fields = {
        "call": call,
        "route": route(),
        "service_name": "engines",
        "priority": 1,
        "deadline_ms": 12_000.0,
    }
    return PendingRequest(**{**fields, **changes})


def dispatcher(*endpoints: Endpoint, states: tuple = ()) -> Dispatcher:
    """Return a dispatcher with the table and *endpoints*; *states* belong to the first
    endpoints."""
    built = Dispatcher(domain="east")
    built.observe(TablePublished(table=table()))
    for known in endpoints:
        built.directory.put(known)
    for known, reported in zip(endpoints, states, strict=False):
        built.observe(EngineStateReceived(key=known.key, state=reported))
    return built
