"""What a registry tells an entry, and what an engine answers an agent."""

from typing import Protocol

from skylarkrack.core.relay import Endpoint, EngineOrder, EngineReport, OrderResult


class RegistryListener(Protocol):
    """Takes what a registry of endpoints and a configuration service tell."""

    def table_published(self, document: bytes) -> None:
        """A configuration was read; raises `ValueError` where it can't be used."""

    def adapter_published(self, model: str, adapter: str, version: int) -> None:
        """A version of an adapter was announced."""

    def endpoint_put(self, endpoint: Endpoint) -> None:
        """An endpoint registered, or changed its registration."""

    def endpoint_removed(self, endpoint_id: str) -> None:
        """A registration ended."""

    def endpoints_listed(self, endpoints: list[Endpoint], unreadable: set[str]) -> None:
        """All registrations were read; *unreadable* are ids whose entry could not be."""

    def registry_lost(self, reason: str) -> None:
        """The registry stopped answering."""

    def registry_back(self) -> None:
        """The registry answers again."""


class EnginePort(Protocol):
    """Calls to one model engine."""

    async def report(self) -> EngineReport:
        """Return what the engine says of itself; raises `LinkLost`."""

    async def order(
        self, order: EngineOrder, *, endpoint_id: str, holder: str, fence: int
    ) -> OrderResult:
        """Give an order; an order without an answer is UNKNOWN."""

    def close(self) -> None:
        """Close the connections."""


class Watcher(Protocol):
    """A background reader that tells a `RegistryListener`."""

    def start(self) -> None:
        """Begin to read."""

    async def close(self) -> None:
        """Stop reading."""
