"""Tracks the registered endpoints and which of them may get new work.

The registry's data is delayed, registrations lapse, and the registry may be unreachable. While it
is reachable, an endpoint whose registration ends gets no further requests. A registration that is
missing after an outage of the registry may only have lapsed during it: such an endpoint is kept for
`REREGISTRATION_GRACE_MS` after the registry's return, in which a live endpoint registers again.

The registry may also be restored from an older copy. What it lists then may be out of date: an
incarnation that was removed before stays unused until it is registered again, or until it has
outlived the lease of a registration. An incarnation that is known to be leaving stays so.
"""

import zlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from skylarkrack.core.relay._names import EndpointKey

REREGISTRATION_GRACE_MS = 2000.0
"""Time that endpoints have to register again after the registry becomes reachable; they need about
2 s. A longer time would break the limit of 3 s after which an endpoint that left during the outage
must get no request, since the recovery is noticed up to 1 s late."""


REGISTRATION_LEASE_MS = 4000.0
"""Time after which the registration of an endpoint that is silent has lapsed."""

MAX_REMEMBERED = 2000
"""Incarnations remembered as leaving, and as removed; beyond it the oldest are dropped."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """One incarnation of an endpoint.

    *started_ms* is its start by its own calendar clock. *slots* is the number of requests that it
    runs concurrently. *warmup_left_ms* is the rest of its warm-up. *adapters_by_model* maps model
    to adapter to version as registered, or is None if the registration has no such list.
    *software_version* is the version of the software that it runs, or "" if that is unknown.
    """

    endpoint_id: str
    service: str
    address: str
    domain: str
    slots: int
    started_ms: int
    is_leaving: bool = False
    warmup_left_ms: float = 0.0
    adapters_by_model: dict[str, dict[str, int]] | None = None
    software_version: str = ""

    @property
    def key(self) -> EndpointKey:
        """Address and start, which distinguish the incarnations that use one address."""
        return self.address, self.started_ms


def digest_of_endpoint(key: EndpointKey) -> int:
    """Return a 32-bit digest of an endpoint's incarnation, the same in all entries."""
    return zlib.crc32(f"{key[0]}/{key[1]}".encode())


class EndpointDirectory:
    """Endpoints by id. Commands take the time in ms of a monotonic clock.

    *generation* changes whenever an endpoint is added or removed, or starts to leave, and when an
    evacuation starts or ends.
    """

    __slots__ = (
        "_is_registry_lost",
        "_restored_ms",
        "_rewound_ms",
        "_by_id",
        "_by_service",
        "_confirmed_ms",
        "_evacuated_domains",
        "_evacuated_services",
        "_held_by_id",
        "_id_by_key",
        "_key_by_digest",
        "_leaving_keys",
        "_missing_until_by_id",
        "_removed_keys",
        "_services",
        "generation",
    )

    def __init__(self) -> None:
        self._by_id: dict[str, Endpoint] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._evacuated_services: set[str] = set()
        self._evacuated_domains: frozenset[str] = frozenset()
        self._id_by_key: dict[EndpointKey, str] = {}
        self._key_by_digest: dict[int, EndpointKey] = {}
        self._missing_until_by_id: dict[str, float] = {}
        # Insertion order is the order of age; the values are unused.
        self._leaving_keys: OrderedDict[EndpointKey, None] = OrderedDict()
        self._removed_keys: OrderedDict[EndpointKey, None] = OrderedDict()
        self._held_by_id: dict[str, tuple[Endpoint, float]] = {}
        self._services: frozenset[str] = frozenset()
        self.generation = 0
        self._is_registry_lost = False
        self._restored_ms = float("-inf")
        self._rewound_ms = float("-inf")
        self._confirmed_ms = float("-inf")

    # Queries

    def find(self, endpoint_id: str) -> Endpoint | None:
        """Return the endpoint with this id, or None if it is not known as alive."""
        return self._by_id.get(endpoint_id)

    def find_by_key(self, key: EndpointKey) -> Endpoint | None:
        """Return an incarnation of an endpoint, or None if it is not known as alive."""
        endpoint_id = self._id_by_key.get(key)
        return None if endpoint_id is None else self._by_id[endpoint_id]

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the service's endpoints that may get new work.

        Excludes endpoints that are leaving, those of evacuated domains, and those superseded by a
        newer incarnation at the same address, since the registration of a crashed endpoint remains
        for some seconds.
        """
        return self._by_service.get(service, [])

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint is in an evacuated failure domain."""
        return endpoint.domain in self._evacuated_domains

    def has_evacuated(self, service: str) -> bool:
        """Return whether the service has an endpoint that gets no work only by an evacuation."""
        return service in self._evacuated_services

    def all(self) -> Iterable[Endpoint]:
        """Return every endpoint that is assumed to be alive."""
        return self._by_id.values()

    def key_of(self, digest: int) -> EndpointKey | None:
        """Return the incarnation with this digest, or None if it is unknown."""
        return self._key_by_digest.get(digest)

    def unknown_until_ms(self, now_ms: float) -> float:
        """Return until when changes may have been missed: now, or the end of the last outage."""
        return now_ms if self._is_registry_lost else self._restored_ms

    def confirmed_ms(self) -> float:
        """Return as of when the directory held all registrations, as far as reads have shown."""
        return self._confirmed_ms

    def has_key(self, key: EndpointKey) -> bool:
        """Return whether an incarnation is assumed to be alive."""
        return key in self._id_by_key

    def missing_ids(self) -> frozenset[str]:
        """Return the ids of endpoints that are kept only because the registry was unreachable."""
        return frozenset(self._missing_until_by_id)

    def leaving_keys(self) -> list[EndpointKey]:
        """Return the incarnations known to be leaving, the newest last."""
        return list(self._leaving_keys)

    # Commands

    def set_services(self, names: Iterable[str]) -> None:
        """Set the names of the configured services."""
        self._services = frozenset(names)
        self._regroup()

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """Set the failure domains whose endpoints get no work."""
        if domains != self._evacuated_domains:
            self._evacuated_domains = domains
            self._regroup()

    def confirm(self, as_of_ms: float) -> None:
        """Record that all registrations as of a time have been applied."""
        self._confirmed_ms = max(self._confirmed_ms, as_of_ms)

    def registry_lost(self) -> None:
        """Record that the registry stopped answering."""
        self._is_registry_lost = True

    def registry_restored(self, now_ms: float) -> None:
        """Record that the registry answers again."""
        if self._is_registry_lost:
            self._is_registry_lost = False
            self._restored_ms = max(self._restored_ms, now_ms)

    def registry_rewound(self, now_ms: float) -> None:
        """Record that the registry was restored from an older copy.

        Registrations that the copy lacks have the time after an outage to be made again.
        """
        self._is_registry_lost = False
        self._restored_ms = self._rewound_ms = now_ms

    def mark_leaving(self, key: EndpointKey) -> bool:
        """Exclude an incarnation from new work for good; return whether that is new.

        It may be unknown: a later registration of the incarnation is then a leaving one.
        """
        is_new = key not in self._leaving_keys
        _remember(self._leaving_keys, key)
        for endpoint in list(self._by_id.values()):
            if endpoint.key == key and not endpoint.is_leaving:
                self.put(endpoint)
        return is_new

    def hold_if_removed(self, endpoint: Endpoint, now_ms: float) -> bool:
        """Hold back a registration of a restored copy whose incarnation was removed before.

        Returns whether it is held. It is released by `expire_missing` once the registration would
        have lapsed; a new registration and a removal end the hold.
        """
        until_ms = self._rewound_ms + REGISTRATION_LEASE_MS
        if endpoint.key not in self._removed_keys or now_ms >= until_ms:
            return False
        self._held_by_id[endpoint.endpoint_id] = (endpoint, until_ms)
        return True

    def put(self, endpoint: Endpoint) -> Endpoint | None:
        """Apply a registration; return the endpoint known under its id before, or None.

        An older incarnation never replaces a newer one, and a leaving incarnation stays leaving.
        """
        known = self._by_id.get(endpoint.endpoint_id)
        if known is not None and known.started_ms > endpoint.started_ms:
            return known
        if endpoint.key in self._leaving_keys:
            endpoint = replace(endpoint, is_leaving=True)
        if endpoint.is_leaving:
            _remember(self._leaving_keys, endpoint.key)
        self._held_by_id.pop(endpoint.endpoint_id, None)
        self._removed_keys.pop(endpoint.key, None)
        self._missing_until_by_id.pop(endpoint.endpoint_id, None)
        self._by_id[endpoint.endpoint_id] = endpoint
        if known is None or _routing_fields(known) != _routing_fields(endpoint):
            self._regroup()
        else:
            self._replace_in_group(known, endpoint)
        return known

    def remove(self, endpoint_id: str, now_ms: float) -> bool:
        """Apply the end of a registration; return whether the endpoint was removed at once.

        During an outage of the registry and the grace time after it, the endpoint is only marked as
        missing.
        """
        self._held_by_id.pop(endpoint_id, None)
        if endpoint_id not in self._by_id:
            return False
        if self._is_registry_lost or now_ms < self._restored_ms + REREGISTRATION_GRACE_MS:
            until_ms = max(now_ms, self._restored_ms) + REREGISTRATION_GRACE_MS
            self._missing_until_by_id.setdefault(endpoint_id, until_ms)
            return False
        self._drop(endpoint_id)
        return True

    def apply_listing(self, endpoint_ids: set[str], now_ms: float) -> list[str]:
        """Remove the endpoints that a complete listing lacks; return the ids removed at once."""
        missing = [endpoint_id for endpoint_id in self._by_id if endpoint_id not in endpoint_ids]
        return [endpoint_id for endpoint_id in missing if self.remove(endpoint_id, now_ms)]

    def expire_missing(self, now_ms: float) -> list[str]:
        """Remove the endpoints that did not register again in time; return their ids.

        Registrations that were held back for long enough are applied.
        """
        if self._is_registry_lost:
            return []
        for endpoint, until_ms in list(self._held_by_id.values()):
            if until_ms <= now_ms:
                self.put(endpoint)
        expired = [
            endpoint_id
            for endpoint_id, until_ms in self._missing_until_by_id.items()
            if until_ms <= now_ms
        ]
        for endpoint_id in expired:
            self._drop(endpoint_id)
        return expired

    def _drop(self, endpoint_id: str) -> None:
        self._missing_until_by_id.pop(endpoint_id, None)
        _remember(self._removed_keys, self._by_id.pop(endpoint_id).key)
        self._regroup()

    def _regroup(self) -> None:
        self.generation += 1
        latest_by_address: dict[str, int] = {}
        for endpoint in self._by_id.values():
            # A registration may name any address: one of an unconfigured service is ignored here,
            # so that it does not mark the endpoint at that address as superseded.
            if endpoint.service in self._services:
                latest = latest_by_address.get(endpoint.address, endpoint.started_ms)
                latest_by_address[endpoint.address] = max(latest, endpoint.started_ms)
        grouped: dict[str, list[Endpoint]] = {}
        self._evacuated_services = set()
        for endpoint in self._by_id.values():
            latest = latest_by_address.get(endpoint.address, endpoint.started_ms)
            is_superseded = endpoint.started_ms < latest
            if not endpoint.is_leaving and not is_superseded:
                if self.is_evacuated(endpoint):
                    self._evacuated_services.add(endpoint.service)
                else:
                    grouped.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = grouped
        # Of registrations that name the same incarnation, the first counts.
        self._id_by_key = {e.key: endpoint_id for endpoint_id, e in reversed(self._by_id.items())}
        self._key_by_digest = {digest_of_endpoint(key): key for key in self._id_by_key}

    def _replace_in_group(self, old: Endpoint, new: Endpoint) -> None:
        group = self._by_service.get(new.service, [])
        for index, endpoint in enumerate(group):
            if endpoint is old:
                group[index] = new


def _remember(keys: OrderedDict[EndpointKey, None], key: EndpointKey) -> None:
    keys[key] = None
    keys.move_to_end(key)
    if len(keys) > MAX_REMEMBERED:
        keys.popitem(last=False)


def _routing_fields(endpoint: Endpoint) -> tuple:
    return (
        endpoint.service,
        endpoint.address,
        endpoint.domain,
        endpoint.started_ms,
        endpoint.is_leaving,
    )
