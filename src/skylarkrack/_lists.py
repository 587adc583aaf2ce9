"""Formats of the values that operators publish, and their conversion to a catalogue.

A value is a TOML document that is checked as a whole and independently of other values.
`skylarkctl check_lists` checks the references between values before they are published. In a
process a dangling reference only denies the access that depends on it. So an invalid value does not
delay another one, such as the withdrawal of a key.
"""

import tomllib
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Annotated, Literal

from pydantic import AwareDatetime, BaseModel, ConfigDict, Field, ValidationError

from skylarkrack._errors import Code, FileRejected
from skylarkrack._problems import Problem, problems_of
from skylarkrack._settings import Address, Name
from skylarkrack.core import (
    Adapter,
    Catalogue,
    Organisation,
    Plan,
    Route,
    StoreLimit,
    Vm,
)

MAX_VALUE_BYTES = 1_048_576
"""Size of the largest value that the platform stores; a larger one is rejected."""

REQUIRED_VALUES = ("organisations", "plans", "keys", "adapters", "routes", "vms")
"""Values that a process needs before it is ready."""

AdapterName = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")]
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class _Table(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class _OrganisationRow(_Table):
    plan: Name
    plan_from: AwareDatetime | None = None
    plan_until: AwareDatetime | None = None


class OrganisationsValue(_Table):
    """`organisations`: the plan of each organisation and the dates between which it holds."""

    organisations: dict[Name, _OrganisationRow]


class _PlanRow(_Table):
    adapters: list[AdapterName | Literal["*"]]
    routes: list[Name] = []
    tokens_per_second: float = Field(gt=0, le=1e9)
    burst_tokens: int = Field(gt=0, le=10**10)
    answer_tokens: int = Field(default=256, gt=0, le=1_000_000)
    priority: int = Field(default=0, ge=0, le=9)


class PlansValue(_Table):
    """`plans`: the adapters, routes, rate and priority of each plan."""

    plans: dict[Name, _PlanRow]


class _KeyRow(_Table):
    organisation: Name


class KeysValue(_Table):
    """`keys`: the organisation of each valid key, by the SHA-256 digest of the key."""

    keys: dict[Digest, _KeyRow]


class _AdapterRow(_Table):
    model: Name
    versions: list[Annotated[int, Field(ge=1)]] = Field(min_length=1)
    current: Annotated[int, Field(ge=1)] | None = None


class AdaptersValue(_Table):
    """`adapters`: each adapter's base model and versions; `current` defaults to the highest."""

    adapters: dict[AdapterName, _AdapterRow]


class _RouteRow(_Table):
    service: Name
    open_to_all: bool = False
    methods: list[Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]] = ["GET", "POST"]
    repeatable: bool = True
    repeat_window_s: int = Field(default=60, ge=10, le=3600)


class _StoreRow(_Table):
    loads_per_second: float = Field(gt=0, le=1e6)
    burst_loads: int = Field(default=2, ge=1, le=10_000)


class RoutesValue(_Table):
    """`routes`: the plain service behind each route, and the load rate of the weight store."""

    routes: dict[Name, _RouteRow] = {}
    store: _StoreRow


class _VmRow(_Table):
    role: Literal["entry", "agent"]
    address: Address
    domain: Name
    state: Literal["live", "leaving"] = "live"
    model: Name | None = None
    service: Name | None = None


class VmsValue(_Table):
    """`vms`: the platform's list of live and leaving VMs; it lags behind the real state."""

    vms: dict[Name, _VmRow]


_MODEL_BY_VALUE: dict[str, type[_Table]] = {
    "organisations": OrganisationsValue,
    "plans": PlansValue,
    "keys": KeysValue,
    "adapters": AdaptersValue,
    "routes": RoutesValue,
    "vms": VmsValue,
}


def kind_of(name: str) -> str | None:
    """Return the kind of the value *name*, for a shard the part before `/`; None if unknown."""
    kind = name.partition("/")[0]
    return kind if kind in _MODEL_BY_VALUE else None


def parse_value(name: str, body: bytes, *, file: str | None = None) -> BaseModel:
    """Return *body* as the model of the kind of *name*, or raise `FileRejected` with every problem.

    A large value may be split into shards, such as `adapters/0` to `adapters/7`;
    `build_catalogue` merges them.
    """
    file = file or name
    if len(body) > MAX_VALUE_BYTES:
        _reject(file, found=f"{len(body)} bytes", allowed=f"at most {MAX_VALUE_BYTES} bytes")
    try:
        document = tomllib.loads(body.decode("utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        _reject(file, found=str(error), allowed="a TOML document in UTF-8")
    model = _MODEL_BY_VALUE[kind_of(name)]
    try:
        value = model.model_validate(document)
    except ValidationError as error:
        raise FileRejected(
            problems_of(error, file=file, model=model), code=Code.BAD_LIST
        ) from error
    _check_dates(value, file=file)
    return value


def _reject(file: str, *, found: str, allowed: str) -> None:
    problem = Problem(file=file, key="-", found=found, allowed=allowed)
    raise FileRejected((problem,), code=Code.BAD_LIST)


def _check_dates(value: BaseModel, *, file: str) -> None:
    if not isinstance(value, OrganisationsValue):
        return
    problems = tuple(
        Problem(
            file=file,
            key=f"organisations.{name}.plan_until",
            found=str(row.plan_until),
            allowed=f"a time after plan_from, {row.plan_from}",
        )
        for name, row in value.organisations.items()
        if row.plan_from and row.plan_until and row.plan_until <= row.plan_from
    )
    if problems:
        raise FileRejected(problems, code=Code.BAD_LIST)


def build_catalogue(values_by_name: Mapping[str, BaseModel], *, revision: int) -> Catalogue:
    """Return the catalogue made of the given valid values, with shards merged."""
    merged: dict[str, dict] = {kind: {} for kind in _MODEL_BY_VALUE}
    store = StoreLimit(loads_per_second=1.0, burst_loads=1)
    for name in sorted(values_by_name):
        kind, value = kind_of(name), values_by_name[name]
        merged[kind].update(getattr(value, kind))
        if isinstance(value, RoutesValue):
            store = StoreLimit(
                loads_per_second=value.store.loads_per_second,
                burst_loads=value.store.burst_loads,
            )
    return Catalogue(
        revision=revision,
        organisation_by_name=_convert(merged["organisations"], _organisation),
        plan_by_name=_convert(merged["plans"], _plan),
        organisation_by_digest={k: row.organisation for k, row in merged["keys"].items()},
        adapter_by_name=_convert(merged["adapters"], _adapter),
        route_by_name=_convert(merged["routes"], _route),
        vm_by_name=_convert(merged["vms"], _vm),
        store=store,
    )


def _convert(rows: Mapping[str, BaseModel], convert_row: Callable) -> dict:
    return {name: convert_row(name, row) for name, row in rows.items()}


def _organisation(name: str, row: _OrganisationRow) -> Organisation:
    return Organisation(
        name=name,
        plan=row.plan,
        plan_from_s=_seconds(row.plan_from),
        plan_until_s=_seconds(row.plan_until),
    )


def _seconds(moment: datetime | None) -> float | None:
    return moment.astimezone(UTC).timestamp() if moment else None


def _plan(name: str, row: _PlanRow) -> Plan:
    return Plan(
        name=name,
        adapters=frozenset(row.adapters),
        routes=frozenset(row.routes),
        tokens_per_second=row.tokens_per_second,
        burst_tokens=row.burst_tokens,
        answer_tokens=row.answer_tokens,
        priority=row.priority,
    )


def _adapter(name: str, row: _AdapterRow) -> Adapter:
    return Adapter(
        name=name,
        model=row.model,
        versions=frozenset(row.versions),
        current=row.current or max(row.versions),
    )


def _route(name: str, row: _RouteRow) -> Route:
    return Route(
        name=name,
        service=row.service,
        open_to_all=row.open_to_all,
        methods=frozenset(row.methods),
        repeatable=row.repeatable,
        repeat_window_ms=row.repeat_window_s * 1000,
    )


def _vm(name: str, row: _VmRow) -> Vm:
    return Vm(
        name=name,
        role=row.role,
        address=row.address,
        domain=row.domain,
        leaving=row.state == "leaving",
        model=row.model,
        service=row.service,
    )


def dangling_references(catalogue: Catalogue, *, file: str = "lists") -> tuple[Problem, ...]:
    """Return the dangling references between the values of *catalogue*."""
    return tuple(
        Problem(file=file, key=key, found=repr(found), allowed=allowed)
        for key, found, allowed in _find_dangling(catalogue)
    )


def _find_dangling(catalogue: Catalogue):
    for name, organisation in catalogue.organisation_by_name.items():
        if organisation.plan not in catalogue.plan_by_name:
            yield f"organisations.{name}.plan", organisation.plan, "a plan in the list of plans"
    for digest, name in catalogue.organisation_by_digest.items():
        if name not in catalogue.organisation_by_name:
            yield f"keys.{digest[:12]}.organisation", name, "an organisation in the list"
    for plan in catalogue.plan_by_name.values():
        for adapter in plan.adapters - catalogue.adapter_by_name.keys() - {"*"}:
            yield f"plans.{plan.name}.adapters", adapter, "an adapter in the list, or '*'"
        for route in plan.routes - catalogue.route_by_name.keys():
            yield f"plans.{plan.name}.routes", route, "a route in the list"
    for adapter in catalogue.adapter_by_name.values():
        if adapter.current not in adapter.versions:
            yield f"adapters.{adapter.name}.current", adapter.current, "one of its versions"
