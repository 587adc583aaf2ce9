"""What the registry and the configuration service tell an entry, put in force."""

from collections.abc import Callable

from skylarkrack._clock import monotonic_ms
from skylarkrack._events import Event, log
from skylarkrack.core.relay import AdapterPublished, Endpoint, RoutingTable, TablePublished
from skylarkrack.relay._parts import EntryParts


class RegistryView:
    """Takes registrations and configurations; implements `RegistryListener`.

    *put_in_force* is called with each newer table and its document.
    """

    __slots__ = ("_parts", "_put_in_force", "is_listed")

    def __init__(
        self, parts: EntryParts, *, put_in_force: Callable[[RoutingTable, bytes], None]
    ) -> None:
        self._parts = parts
        self._put_in_force = put_in_force
        self.is_listed = False

    def table_published(self, document: bytes) -> None:
        """Put a configuration in force unless it is older; raises `ValueError` for a bad one."""
        table: RoutingTable = self._parts.dialect.table_of(document)
        if not self._parts.dispatcher.observe(TablePublished(table=table)):
            return
        log(Event.TABLE_ADOPTED, version=table.version, services=len(table.service_by_name))
        self._put_in_force(table, document)
        self._parts.desk.wake()

    def adapter_published(self, model: str, adapter: str, version: int) -> None:
        """Note the newest version of an adapter."""
        event = AdapterPublished(model=model, adapter=adapter, version=version)
        if self._parts.dispatcher.observe(event):
            log(Event.VERSION_ANNOUNCED, model=model, adapter=adapter, version=version)

    def endpoint_put(self, endpoint: Endpoint) -> None:
        """Note an endpoint's registration."""
        before = self._parts.dispatcher.directory.put(endpoint)
        if before is not None and before.started_ms < endpoint.started_ms:
            self._parts.crashes.died(before.key, monotonic_ms())
        if before is None or _life_of(before) != _life_of(endpoint):
            log(
                Event.ENDPOINT_SEEN,
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                address=endpoint.address,
                started_ms=endpoint.started_ms,
                leaving=endpoint.is_leaving,
            )
            self._forget_gone()
            self._parts.desk.wake()

    def endpoint_removed(self, endpoint_id: str) -> None:
        """Note the end of a registration."""
        now_ms, directory = monotonic_ms(), self._parts.dispatcher.directory
        known = directory.find(endpoint_id)
        is_gone = directory.remove(endpoint_id, now_ms)
        log(Event.ENDPOINT_GONE, endpoint=endpoint_id, at_once=is_gone)
        if is_gone:
            if not known.is_leaving:
                self._parts.crashes.died(known.key, now_ms)
            self._forget_gone()

    def endpoints_listed(self, endpoints: list[Endpoint], unreadable: set[str]) -> None:
        """Note all registrations."""
        self.is_listed = True
        listed = unreadable | {endpoint.endpoint_id for endpoint in endpoints}
        for endpoint in endpoints:
            self.endpoint_put(endpoint)
        directory = self._parts.dispatcher.directory
        for endpoint_id in directory.keep_only(listed, monotonic_ms()):
            log(Event.ENDPOINT_GONE, endpoint=endpoint_id, at_once=True)
        self._forget_gone()

    def registry_lost(self, reason: str) -> None:
        """Go on with what is known."""
        log(Event.REGISTRY_LOST, reason=reason)
        self._parts.dispatcher.directory.registry_lost()

    def registry_back(self) -> None:
        """The registry answers again."""
        log(Event.REGISTRY_BACK)
        self._parts.dispatcher.directory.registry_back(monotonic_ms())

    def advance(self, now_ms: float) -> None:
        """Drop the endpoints that did not register again after the registry's return."""
        for endpoint_id in self._parts.dispatcher.directory.advance(now_ms):
            log(Event.ENDPOINT_GONE, endpoint=endpoint_id, at_once=False)
            self._forget_gone()

    def _forget_gone(self) -> None:
        dispatcher = self._parts.dispatcher
        dispatcher.forget_gone()
        self._parts.endpoints.keep_only({e.key for e in dispatcher.directory.all()})


def _life_of(endpoint: Endpoint) -> tuple[int, bool]:
    return endpoint.started_ms, endpoint.is_leaving
