"""Interfaces to the registry, the configuration service and the engine."""

from collections.abc import Mapping
from typing import Protocol

from skylarkrack.core.relay import (
    Endpoint,
    EngineOrder,
    EngineReport,
    FeedKind,
    FeedStep,
    OrderResult,
    RegistrationHistory,
)


class RegistryListener(Protocol):
    """Receives changes from a registry of endpoints and a configuration service."""

    def table_published(self, document: bytes) -> None:
        """Apply a configuration that was read; raises `ValueError` for an invalid one."""

    def adapter_published(self, model: str, adapter: str, version: int) -> None:
        """Record the announcement of an adapter's version."""

    def evacuation_published(
        self, domain: str, is_active: bool, *, revision: int, era: int
    ) -> None:
        """Record that an operator began or ended the evacuation of a failure domain."""

    def evacuations_listed(
        self, revision_by_domain: Mapping[str, int], *, revision: int, era: int
    ) -> None:
        """Record which failure domains are evacuated as of *revision*, and that no others are.

        *revision_by_domain* holds the revisions at which the evacuations were written.
        """

    def endpoint_put(self, endpoint: Endpoint) -> None:
        """Record a new or changed registration of an endpoint."""

    def endpoint_removed(self, endpoint_id: str) -> None:
        """Record the end of a registration."""

    def endpoints_listed(self, endpoints: list[Endpoint], unreadable: set[str]) -> None:
        """Replace all registrations; *unreadable* holds the ids of those that can't be decoded."""

    def registrations_confirmed(self, as_of_ms: float) -> None:
        """Record that all registrations as of a time of the monotonic clock are known."""

    def registry_lost(self, reason: str) -> None:
        """Record that the registry stopped responding."""

    def registry_restored(self) -> None:
        """Record that the registry responds again."""

    def registry_restored_before(self, time_ms: float) -> None:
        """Record an outage of the registry that a peer noticed, and that ended *time_ms* ago."""

    def registry_rewound(self) -> None:
        """Record that the registry was restored from an older copy, which is listed next."""


class StepExchange(Protocol):
    """Exchanges with the entries of one failure domain what one of them read from the store."""

    def is_reader(self) -> bool:
        """Return whether this entry reads the store for its failure domain."""

    def publish(self, step: FeedStep) -> None:
        """Pass on what was read, if this entry is the reader."""

    async def next_step(self, kind: FeedKind, *, timeout_ms: float) -> FeedStep | None:
        """Return the next step of the reader; None after *timeout_ms* or to read at once."""


class RegistryHistory(Protocol):
    """What the registry remembers of the time before this process read it."""

    async def recall(self, endpoints: int) -> RegistrationHistory | None:
        """Return the registrations that were written lately, or None if they can't be read.

        *endpoints* is the number of registered ones.
        """


class EnginePort(Protocol):
    """Calls to one model engine."""

    async def report(self) -> EngineReport:
        """Return the engine's report of its own state; raises `LinkLost`."""

    async def order(
        self, order: EngineOrder, *, endpoint_id: str, holder: str, fence: int
    ) -> OrderResult:
        """Send an order and return its result, UNKNOWN for an order without a response.

        *holder* names the agent. *fence* is its fencing token; the engine refuses an order whose
        token is out of date.
        """

    def close(self) -> None:
        """Close the connections."""


class Watcher(Protocol):
    """A background task that reads the registry and notifies a `RegistryListener`."""

    def start(self) -> None:
        """Start to read."""

    async def close(self) -> None:
        """Stop reading."""
