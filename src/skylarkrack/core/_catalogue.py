"""The published lists in effect, and the access decisions that follow from them."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from skylarkrack._errors import Code, RequestRefused


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """An organisation and its plan.

    The plan is valid from *plan_from_s* up to, but not at, *plan_until_s*, in seconds of calendar
    time (UTC); None means no bound.
    """

    name: str
    plan: str
    plan_from_s: float | None = None
    plan_until_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """What an organisation may use.

    The name `*` in *adapters* stands for all adapters. Rate and burst are counted in tokens over
    the whole fleet.
    """

    name: str
    adapters: frozenset[str]
    routes: frozenset[str] = frozenset()
    tokens_per_second: float
    burst_tokens: int
    answer_tokens: int = 256
    priority: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Adapter:
    """An adapter of the base model *model*, its published versions and the default one."""

    name: str
    model: str
    versions: frozenset[int]
    current: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A route to a plain service.

    With *open_to_all* no key is needed. Without *repeatable* a call must not run twice.
    """

    name: str
    service: str
    open_to_all: bool = False
    methods: frozenset[str] = frozenset({"GET", "POST"})
    repeatable: bool = True
    repeat_window_ms: int = 60_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """A VM in the platform's list; an agent's endpoint serves either *model* or *service*."""

    name: str
    role: str
    address: str
    domain: str
    leaving: bool = False
    model: str | None = None
    service: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLimit:
    """Rate and burst of loads from the weight store, over the whole fleet."""

    loads_per_second: float
    burst_loads: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ServedName:
    """An adapter at one version; `str()` returns the name that engines use for it."""

    adapter: str
    version: int

    def __str__(self) -> str:
        return f"{self.adapter}@{self.version}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Catalogue:
    """All published lists at one revision of the configuration.

    *organisation_by_digest* maps digests of keys to names of organisations.
    """

    revision: int = 0
    organisation_by_name: Mapping[str, Organisation] = field(default_factory=dict)
    plan_by_name: Mapping[str, Plan] = field(default_factory=dict)
    organisation_by_digest: Mapping[str, str] = field(default_factory=dict)
    adapter_by_name: Mapping[str, Adapter] = field(default_factory=dict)
    route_by_name: Mapping[str, Route] = field(default_factory=dict)
    vm_by_name: Mapping[str, Vm] = field(default_factory=dict)
    store: StoreLimit = StoreLimit(loads_per_second=1.0, burst_loads=1)

    def agents_of(self, service: str) -> list[str]:
        """Return the VMs whose endpoint serves *service*, without those that are leaving."""
        return [
            vm.name for vm in self.vm_by_name.values() if vm.service == service and not vm.leaving
        ]


@dataclass(frozen=True, slots=True, kw_only=True)
class Access:
    """The organisation of a key and its plan, as of the time of the decision."""

    organisation: Organisation
    plan: Plan


def access_of(catalogue: Catalogue, digest: str | None, *, calendar_s: float) -> Access:
    """Return the access of the key with *digest* at *calendar_s*.

    Raises `RequestRefused` without a key, for an unknown key, and outside the dates of the plan.
    """
    if digest is None:
        raise RequestRefused("no key was shown", code=Code.NO_KEY)
    name = catalogue.organisation_by_digest.get(digest)
    organisation = catalogue.organisation_by_name.get(name)
    if organisation is None:
        raise RequestRefused("the key is not in force", code=Code.UNKNOWN_KEY)
    plan = catalogue.plan_by_name.get(organisation.plan)
    if plan is None or not _is_plan_in_force(organisation, calendar_s):
        raise RequestRefused("the plan is not in force", code=Code.PLAN_LAPSED)
    return Access(organisation=organisation, plan=plan)


def _is_plan_in_force(organisation: Organisation, calendar_s: float) -> bool:
    if organisation.plan_from_s is not None and calendar_s < organisation.plan_from_s:
        return False
    return organisation.plan_until_s is None or calendar_s < organisation.plan_until_s


def served_name_of(catalogue: Catalogue, access: Access, model: str) -> ServedName:
    """Return the adapter and version for *model*, which is `adapter` or `adapter@version`.

    Raises `RequestRefused` if either is unknown or the plan does not grant the adapter.
    """
    name, separator, version_text = model.partition("@")
    adapter = catalogue.adapter_by_name.get(name)
    if adapter is None:
        raise RequestRefused(f"no adapter {name!r}", code=Code.UNKNOWN_ADAPTER)
    if not may_use(access.plan, name):
        raise RequestRefused(f"the plan has no adapter {name!r}", code=Code.ADAPTER_NOT_IN_PLAN)
    if not separator:
        return ServedName(adapter=name, version=adapter.current)
    if not version_text.isascii() or not version_text.isdigit():
        raise RequestRefused("a version is a whole number", code=Code.UNKNOWN_ADAPTER)
    version = int(version_text[:9])
    if version not in adapter.versions:
        raise RequestRefused(f"no version {version} of {name!r}", code=Code.UNKNOWN_ADAPTER)
    return ServedName(adapter=name, version=version)


def may_use(plan: Plan, adapter: str) -> bool:
    """Return whether *plan* grants *adapter*."""
    return "*" in plan.adapters or adapter in plan.adapters


def route_access_of(
    catalogue: Catalogue, name: str, digest: str | None, *, calendar_s: float
) -> tuple[Route, Access | None]:
    """Return the route *name* and the caller's access, which is None if the route is open to all.

    Raises `RequestRefused` if the route is unknown or the key does not grant it.
    """
    route = catalogue.route_by_name.get(name)
    if route is None:
        raise RequestRefused(f"no route {name!r}", code=Code.NO_SUCH_PATH)
    if route.open_to_all:
        return route, None
    access = access_of(catalogue, digest, calendar_s=calendar_s)
    if name not in access.plan.routes:
        raise RequestRefused(f"the plan has no route {name!r}", code=Code.ROUTE_NOT_IN_PLAN)
    return route, access


def is_still_granted(
    catalogue: Catalogue, digest: str, adapter: str, organisation: str, *, calendar_s: float
) -> bool:
    """Return whether a running request of *organisation* may continue under the current lists."""
    try:
        access = access_of(catalogue, digest, calendar_s=calendar_s)
    except RequestRefused:
        return False
    return access.organisation.name == organisation and may_use(access.plan, adapter)
