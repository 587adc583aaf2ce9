"""The published lists in force, and the decision whether a request may run under them."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from skylarkrack._errors import Code, RequestRefused


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """An organisation and the dates of its plan, in seconds of calendar time (UTC)."""

    name: str
    plan: str
    plan_from_s: float | None = None
    plan_until_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """What an organisation may use; rate and burst are counted in tokens over the fleet."""

    name: str
    adapters: frozenset[str]
    routes: frozenset[str] = frozenset()
    tokens_per_second: float
    burst_tokens: int
    answer_tokens: int = 256
    priority: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Adapter:
    """An adapter of one base model, with its published versions."""

    name: str
    model: str
    versions: frozenset[int]
    current: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A plain service under a route of its own."""

    name: str
    service: str
    open_to_all: bool = False
    methods: frozenset[str] = frozenset({"GET", "POST"})
    repeatable: bool = True
    repeat_window_ms: int = 60_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """A VM in the platform's list; *model* or *service* says what its endpoint serves."""

    name: str
    role: str
    address: str
    domain: str
    leaving: bool = False
    model: str | None = None
    service: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLimit:
    """The weight store's rate, a budget of the whole fleet."""

    loads_per_second: float
    burst_loads: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ServedName:
    """An adapter at one version. `str()` gives the name an engine knows it by."""

    adapter: str
    version: int

    def __str__(self) -> str:
        return f"{self.adapter}@{self.version}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Catalogue:
    """All published lists at one revision of the configuration."""

    revision: int = 0
    organisation_by_name: Mapping[str, Organisation] = field(default_factory=dict)
    plan_by_name: Mapping[str, Plan] = field(default_factory=dict)
    organisation_by_digest: Mapping[str, str] = field(default_factory=dict)
    adapter_by_name: Mapping[str, Adapter] = field(default_factory=dict)
    route_by_name: Mapping[str, Route] = field(default_factory=dict)
    vm_by_name: Mapping[str, Vm] = field(default_factory=dict)
    store: StoreLimit = StoreLimit(loads_per_second=1.0, burst_loads=1)

    def agents_of(self, service: str) -> list[str]:
        """Return the VMs in the roster, leaving ones left out, whose endpoint is *service*."""
        return [
            vm.name for vm in self.vm_by_name.values() if vm.service == service and not vm.leaving
        ]


@dataclass(frozen=True, slots=True, kw_only=True)
class Access:
    """Who a key belongs to and what its plan grants, valid for the moment it was decided."""

    organisation: Organisation
    plan: Plan


def access_of(catalogue: Catalogue, digest: str | None, *, calendar_s: float) -> Access:
    """Return the access that the key with *digest* has now, or raise `RequestRefused`."""
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
    """Return the adapter and version that *model* (`adapter` or `adapter@version`) names."""
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
    """Tell whether *plan* grants *adapter*."""
    return "*" in plan.adapters or adapter in plan.adapters


def route_access_of(
    catalogue: Catalogue, name: str, digest: str | None, *, calendar_s: float
) -> tuple[Route, Access | None]:
    """Return the route *name* and the caller's access; None on a route open to all."""
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
    """Tell whether a running request of *organisation* may go on under the lists in force."""
    try:
        access = access_of(catalogue, digest, calendar_s=calendar_s)
    except RequestRefused:
        return False
    return access.organisation.name == organisation and may_use(access.plan, adapter)
