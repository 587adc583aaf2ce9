"""The routing table: routes, services, organisations and the limits on callers' requests."""

import hashlib
import math
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field

_CRC32_VALUES = 1 << 32


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One route of callers to a service.

    *shares* holds the name and weight of each service of a split. *max_endpoints* is
    the most endpoints at which one request may be executed, including retries; *objective_ms* is
    the latency that callers expect; *priority* ranks routes, 0 first. *patience_ms* is the time
    without an answer after which callers leave, before their deadline. *max_gap_ms* is the longest
    pause between events of a stream that is still on time, or None if the route states none.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[tuple[str, float], ...]
    is_stream: bool
    is_idempotent: bool
    is_public: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    max_endpoints: int
    patience_ms: float = math.inf
    max_gap_ms: float | None = None

    def service_for(self, request_id: str) -> str:
        """Return the service for this request, by weight; equal ids get the same service."""
        total_weight = sum(weight for _, weight in self.shares)
        remainder = zlib.crc32(request_id.encode()) / _CRC32_VALUES * total_weight
        for service, weight in self.shares:
            remainder -= weight
            if remainder < 0:
                return service
        return self.shares[-1][0]


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelShape:
    """A base model that a service's engines can hold.

    *load_ms* is the time that an engine takes to load it; *weights_mb* and *adapter_mb* are the
    sizes of its weights and of one adapter.
    """

    name: str
    weights_mb: float
    load_ms: float
    adapter_mb: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineShape:
    """What an engine of a service can hold and run at once.

    *slots* are the runs in its batch, *cache_tokens* its KV cache in tokens, *memory_mb* its
    memory for weights, and *adapter_slots* the adapters that it can hold.
    """

    slots: int
    cache_tokens: int
    memory_mb: float
    adapter_slots: int
    model_by_name: dict[str, ModelShape]


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service: model engines if *engine* is given, else plain endpoints.

    For *cold_start_ms* after its start an endpoint tolerates *cold_per_s* requests a second from
    all entries together; 0 means no bound. *health_path* is the path at which its endpoints tell
    their condition, or "".
    """

    name: str
    max_connections: int
    engine: EngineShape | None = None
    cold_start_ms: float = 0.0
    cold_per_s: float = 0.0
    health_path: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Quota:
    """Rate and burst of one organisation over the whole fleet, in tokens if *counts_tokens*.

    A request without a token count costs *plain_cost*. A rate of 0 means no limit.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool
    plain_cost: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TableOrganisation:
    """An organisation in the routing table; *priority* overrides that of the route if not None."""

    name: str
    priority: int | None
    quota: Quota


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on one caller's requests and connections."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingTable:
    """One accepted configuration. *organisation_by_digest* is None if no keys are in use."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, Service]
    organisation_by_digest: dict[bytes, TableOrganisation] | None
    limits: CallerLimits = field(default_factory=CallerLimits)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of *host* with the longest prefix of *path*, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def max_gap_ms(self, service: str) -> float | None:
        """Return the shortest `max_gap_ms` of the routes to a service, or None without one."""
        gaps = (
            route.max_gap_ms for route in self._routes_to(service) if route.max_gap_ms is not None
        )
        return min(gaps, default=None)

    def objective_ms(self, service: str) -> float:
        """Return the shortest `objective_ms` of the routes to a service; infinity without one."""
        return min((route.objective_ms for route in self._routes_to(service)), default=math.inf)

    def _routes_to(self, service: str) -> Iterator[Route]:
        for routes in self.routes_by_host.values():
            for route in routes:
                if any(name == service for name, _ in route.shares):
                    yield route

    def organisation_of(self, digest: bytes) -> TableOrganisation | None:
        """Return the organisation that owns the key with this digest, or None."""
        return (self.organisation_by_digest or {}).get(digest)

    def still_holds(self, digest: bytes, organisation: str) -> bool:
        """Return whether a key that was admitted for *organisation* still belongs to it."""
        owner = self.organisation_of(digest)
        return owner is not None and owner.name == organisation


def digest_of_key(key: str) -> bytes:
    """Return the 16-byte digest that is stored instead of a caller's key."""
    return hashlib.blake2b(key.encode(), digest_size=16).digest()


def group_by_host(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return *routes* by host, the longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        grouped.setdefault(route.host, []).append(route)
    return {host: tuple(group) for host, group in grouped.items()}
