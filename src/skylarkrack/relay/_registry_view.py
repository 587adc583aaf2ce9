"""What the registry and the configuration service tell an entry, put in force."""

from collections.abc import Callable

from skylarkrack._clock import monotonic_ms
from skylarkrack._events import Event, log
from skylarkrack.core.relay import AdapterPublished, Endpoint, RoutingTable, TablePublished
from skylarkrack.relay._context import EntryContext


class RegistryView:
    """Takes registrations and configurations; implements `RegistryListener`.

    *apply_table* is called with each newer table and its document.
    """

    __slots__ = ("_apply_table", "_context", "has_listing")

    def __init__(
        self, context: EntryContext, *, apply_table: Callable[[RoutingTable, bytes], None]
    ) -> None:
        self._context = context
        self._apply_table = apply_table
        self.has_listing = False

    def table_published(self, document: bytes) -> None:
        """Put a configuration in force unless it is older; raises `ValueError` for a bad one."""
        table: RoutingTable = self._context.codec.decode_routing_table(document)
        if not self._context.dispatcher.observe(TablePublished(table=table)):
            return
        log(Event.TABLE_ADOPTED, version=table.version, services=len(table.service_by_name))
        self._apply_table(table, document)
        self._context.placement_queue.wake()

    def adapter_published(self, model: str, adapter: str, version: int) -> None:
        """Note the newest version of an adapter."""
        event = AdapterPublished(model=model, adapter=adapter, version=version)
        if self._context.dispatcher.observe(event):
            log(Event.VERSION_ANNOUNCED, model=model, adapter=adapter, version=version)

    def endpoint_put(self, endpoint: Endpoint) -> None:
        """Note an endpoint's registration."""
        before = self._context.dispatcher.directory.put(endpoint)
        if before is not None and before.started_ms < endpoint.started_ms:
            self._context.crashes.record_crash(before.key, monotonic_ms())
        if before is None or _lifecycle_of(before) != _lifecycle_of(endpoint):
            log(
                Event.ENDPOINT_SEEN,
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                address=endpoint.address,
                started_ms=endpoint.started_ms,
                leaving=endpoint.is_leaving,
            )
            self._drop_removed()
            self._context.placement_queue.wake()

    def endpoint_removed(self, endpoint_id: str) -> None:
        """Note the end of a registration."""
        now_ms, directory = monotonic_ms(), self._context.dispatcher.directory
        known = directory.find(endpoint_id)
        is_gone = directory.remove(endpoint_id, now_ms)
        log(Event.ENDPOINT_GONE, endpoint=endpoint_id, at_once=is_gone)
        if is_gone:
            if not known.is_leaving:
                self._context.crashes.record_crash(known.key, now_ms)
            self._drop_removed()

    def endpoints_listed(self, endpoints: list[Endpoint], unreadable: set[str]) -> None:
        """Note all registrations."""
        self.has_listing = True
        listed = unreadable | {endpoint.endpoint_id for endpoint in endpoints}
        for endpoint in endpoints:
            self.endpoint_put(endpoint)
        directory = self._context.dispatcher.directory
        for endpoint_id in directory.apply_listing(listed, monotonic_ms()):
            log(Event.ENDPOINT_GONE, endpoint=endpoint_id, at_once=True)
        self._drop_removed()

    def registry_lost(self, reason: str) -> None:
        """Go on with what is known."""
        log(Event.REGISTRY_LOST, reason=reason)
        self._context.dispatcher.directory.registry_lost()

    def registry_restored(self) -> None:
        """The registry answers again."""
        log(Event.REGISTRY_BACK)
        self._context.dispatcher.directory.registry_restored(monotonic_ms())

    def advance(self, now_ms: float) -> None:
        """Drop the endpoints that did not register again after the registry's return."""
        for endpoint_id in self._context.dispatcher.directory.expire_missing(now_ms):
            log(Event.ENDPOINT_GONE, endpoint=endpoint_id, at_once=False)
            self._drop_removed()

    def _drop_removed(self) -> None:
        dispatcher = self._context.dispatcher
        dispatcher.forget_gone()
        self._context.clients.keep_only({e.key for e in dispatcher.directory.all()})


def _lifecycle_of(endpoint: Endpoint) -> tuple[int, bool]:
    return endpoint.started_ms, endpoint.is_leaving
