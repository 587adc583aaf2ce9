"""Which endpoints exist and may get work, from a registry that lags, lapses and is away at times.

A registration that ends while the registry is reachable ends the endpoint's work at once. One that
is missing after the registry was away may only have lapsed meanwhile: such an endpoint is kept for
`REREGISTRATION_GRACE_MS` after the registry's return, in which a live endpoint registers again.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, replace

from skylarkrack.core.relay._names import EndpointKey

REREGISTRATION_GRACE_MS = 2000.0
"""Live endpoints are registered again about two seconds after the registry's return. That is
noticed up to a second late, and one that left meanwhile must get nothing three seconds after it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """One incarnation of an endpoint. *started_ms* is its own calendar time of its start.

    *adapters_by_model* is what it holds, as it said itself: model, then adapter, then version.
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

    @property
    def key(self) -> EndpointKey:
        """What tells one incarnation from another that uses the same address."""
        return self.address, self.started_ms


def digest_of_endpoint(key: EndpointKey) -> int:
    """Return a short name of an endpoint's incarnation, the same at all entries."""
    return zlib.crc32(f"{key[0]}/{key[1]}".encode())


class EndpointDirectory:
    """Endpoints by id. Commands take the time in ms of a monotonic clock."""

    __slots__ = (
        "_is_registry_lost",
        "_restored_ms",
        "_by_id",
        "_by_service",
        "_key_by_digest",
        "_missing_until_by_id",
        "_services",
    )

    def __init__(self) -> None:
        self._by_id: dict[str, Endpoint] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._key_by_digest: dict[int, EndpointKey] = {}
        self._missing_until_by_id: dict[str, float] = {}
        self._services: frozenset[str] = frozenset()
        self._is_registry_lost = False
        self._restored_ms = float("-inf")

    # Queries

    def find(self, endpoint_id: str) -> Endpoint | None:
        """Return the endpoint with this id if it is believed to live."""
        return self._by_id.get(endpoint_id)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the service's endpoints that may get new work.

        Left out are those that leave, and those whose address has a later start: registrations
        outlive an endpoint that crashed by some seconds.
        """
        return self._by_service.get(service, [])

    def all(self) -> Iterable[Endpoint]:
        """Return every endpoint that is believed to live."""
        return self._by_id.values()

    def key_of(self, digest: int) -> EndpointKey | None:
        """Return the incarnation that has this digest, or None if it is not known here."""
        return self._key_by_digest.get(digest)

    def missing_ids(self) -> frozenset[str]:
        """Return the endpoints that are only kept because the registry was away."""
        return frozenset(self._missing_until_by_id)

    # Commands

    def set_services(self, names: Iterable[str]) -> None:
        """Take the services that are configured."""
        self._services = frozenset(names)
        self._regroup()

    def registry_lost(self) -> None:
        """The registry stopped answering."""
        self._is_registry_lost = True

    def registry_restored(self, now_ms: float) -> None:
        """The registry answers again."""
        if self._is_registry_lost:
            self._is_registry_lost = False
            self._restored_ms = now_ms

    def put(self, endpoint: Endpoint) -> Endpoint | None:
        """Take a registration; return what it replaces.

        An older incarnation never replaces a newer one, and one that leaves does not come back.
        """
        known = self._by_id.get(endpoint.endpoint_id)
        if known is not None and known.started_ms > endpoint.started_ms:
            return known
        if known is not None and known.started_ms == endpoint.started_ms and known.is_leaving:
            endpoint = replace(endpoint, is_leaving=True)
        self._missing_until_by_id.pop(endpoint.endpoint_id, None)
        self._by_id[endpoint.endpoint_id] = endpoint
        if known is None or _routing_fields(known) != _routing_fields(endpoint):
            self._regroup()
        else:
            self._replace_in_group(known, endpoint)
        return known

    def remove(self, endpoint_id: str, now_ms: float) -> bool:
        """Take the end of a registration; tell whether the endpoint is gone at once."""
        if endpoint_id not in self._by_id:
            return False
        if self._is_registry_lost or now_ms < self._restored_ms + REREGISTRATION_GRACE_MS:
            until_ms = max(now_ms, self._restored_ms) + REREGISTRATION_GRACE_MS
            self._missing_until_by_id.setdefault(endpoint_id, until_ms)
            return False
        self._drop(endpoint_id)
        return True

    def apply_listing(self, endpoint_ids: set[str], now_ms: float) -> list[str]:
        """Take a whole listing; return the ids that are gone at once."""
        missing = [endpoint_id for endpoint_id in self._by_id if endpoint_id not in endpoint_ids]
        return [endpoint_id for endpoint_id in missing if self.remove(endpoint_id, now_ms)]

    def expire_missing(self, now_ms: float) -> list[str]:
        """Drop the endpoints that did not register again in time; return their ids."""
        if self._is_registry_lost:
            return []
        late = [key for key, until_ms in self._missing_until_by_id.items() if until_ms <= now_ms]
        for endpoint_id in late:
            self._drop(endpoint_id)
        return late

    def _drop(self, endpoint_id: str) -> None:
        self._missing_until_by_id.pop(endpoint_id, None)
        del self._by_id[endpoint_id]
        self._regroup()

    def _regroup(self) -> None:
        latest_by_address: dict[str, int] = {}
        for endpoint in self._by_id.values():
            # Whoever may register can name any address; only a configured service takes one.
            if endpoint.service in self._services:
                latest = latest_by_address.get(endpoint.address, endpoint.started_ms)
                latest_by_address[endpoint.address] = max(latest, endpoint.started_ms)
        grouped: dict[str, list[Endpoint]] = {}
        for endpoint in self._by_id.values():
            latest = latest_by_address.get(endpoint.address, endpoint.started_ms)
            is_superseded = endpoint.started_ms < latest
            if not endpoint.is_leaving and not is_superseded:
                grouped.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = grouped
        keys = (endpoint.key for endpoint in self._by_id.values())
        self._key_by_digest = {digest_of_endpoint(key): key for key in keys}

    def _replace_in_group(self, old: Endpoint, new: Endpoint) -> None:
        group = self._by_service.get(new.service, [])
        for index, endpoint in enumerate(group):
            if endpoint is old:
                group[index] = new


def _routing_fields(endpoint: Endpoint) -> tuple:
    return endpoint.service, endpoint.address, endpoint.started_ms, endpoint.is_leaving
