"""Builders of test data; keyword arguments replace fields of the default."""

from skylarkrack.core import (
    Adapter,
    Catalogue,
    EngineReported,
    Organisation,
    Plan,
    Route,
    Vm,
)
from skylarkrack.messages import CallRequest, EndpointReport, RunRequest

BUDGET = "organisation/singers"


def catalogue(**changes: object) -> Catalogue:
    """Return a catalogue with two organisations, plans, adapters and routes, and one agent."""
    fields = {
        "revision": 1,
        "organisation_by_name": {
            "singers": Organisation(name="singers", plan="street"),
            "bursars": Organisation(name="bursars", plan="school"),
        },
        "plan_by_name": {
            "street": Plan(
                name="street",
                adapters=frozenset({"*"}),
                routes=frozenset({"orders"}),
                tokens_per_second=100.0,
                burst_tokens=1000,
            ),
            "school": Plan(
                name="school",
                adapters=frozenset({"badge"}),
                tokens_per_second=100.0,
                burst_tokens=1000,
            ),
        },
        "organisation_by_digest": {"d1": "singers", "d2": "bursars"},
        "adapter_by_name": {
            "badge": Adapter(name="badge", model="m", versions=frozenset({1, 2}), current=2),
            "tender": Adapter(name="tender", model="m", versions=frozenset({1}), current=1),
        },
        "route_by_name": {
            "orders": Route(name="orders", service="desk", repeatable=False),
            "hours": Route(name="hours", service="desk", open_to_all=True),
        },
        "vm_by_name": {
            "a": Vm(name="a", role="agent", address="127.0.0.1:1", domain="x", service="desk"),
        },
    }
    return Catalogue(**{**fields, **changes})


def run(request_id: str, **changes: object) -> RunRequest:
    """Return a model request for version 1 of the adapter `badge`."""
    fields = {
        "request_id": request_id,
        "organisation": "singers",
        "adapter": "badge",
        "version": 1,
        "path": "/v1/completions",
        "body": b"{}",
        "tokens": 10,
        "priority": 0,
        "patience_ms": 10_000,
        "fingerprint": request_id.encode(),
    }
    return RunRequest(**{**fields, **changes})


def engine(incarnation: str = "i1", **changes: object) -> EngineReported:
    """Return the report of an idle engine with two adapter slots and a batch of four."""
    fields = {
        "incarnation": incarnation,
        "slots": 2,
        "batch": 4,
        "resident": frozenset(),
        "running": {},
        "fence": 0,
        "busy": False,
        "asked_ms": 0.0,
    }
    return EngineReported(**{**fields, **changes})


def call(request_id: str, key: str = "k", **changes: object) -> CallRequest:
    """Return a service call that may not be repeated, with idempotency key *key*."""
    fields = {
        "request_id": request_id,
        "organisation": "bursars",
        "service": "desk",
        "method": "POST",
        "path": "/pay",
        "headers": [],
        "body": b"500",
        "idempotency_key": key,
        "ticket": "",
        "body_digest": b"d500",
        "repeat_window_ms": 60_000,
        "patience_ms": 5000,
    }
    return CallRequest(**{**fields, **changes})


def report(**changes: object) -> EndpointReport:
    """Return the report of a ready and idle endpoint with a batch of eight."""
    fields = {
        "model": "m",
        "service": "",
        "ready": True,
        "running": 0,
        "waiting": 0,
        "capacity": 8,
        "resident": [],
        "leaving": False,
    }
    return EndpointReport(**{**fields, **changes})
