"""Applies changes of the registry and the configuration to an entry."""

from collections.abc import Callable, Mapping

from skylarkrack._clock import local_calendar_s, monotonic_ms
from skylarkrack._events import Event, log
from skylarkrack.core.relay import (
    AdapterPublished,
    Endpoint,
    EndpointKey,
    Evacuation,
    RoutingTable,
    TablePublished,
)
from skylarkrack.relay._context import EntryContext


class RegistryView:
    """Applies registrations and configurations; implements `RegistryListener`.

    *apply_table* is called with each newer table and its document. *has_listing* is True once all
    registrations were read. *on_evacuation_ended* is called with the endpoints of a failure domain
    whose evacuation has ended, and the time in ms.
    """

    __slots__ = ("_apply_table", "_context", "has_listing", "on_evacuation_ended")

    def __init__(
        self, context: EntryContext, *, apply_table: Callable[[RoutingTable, bytes], None]
    ) -> None:
        self._context = context
        self._apply_table = apply_table
        self.has_listing = False
        self.on_evacuation_ended: Callable[[list[EndpointKey], float], None] = lambda *_: None

    def table_published(self, document: bytes) -> None:
        """Apply a configuration if it is newer; raises `ValueError` for an invalid one."""
        table: RoutingTable = self._context.codec.decode_routing_table(document)
        if not self._context.dispatcher.observe(TablePublished(table=table)):
            return
        log(Event.TABLE_ADOPTED, version=table.version, services=len(table.service_by_name))
        self._apply_table(table, document)
        self._context.placement_queue.wake()

    def adapter_published(self, model: str, adapter: str, version: int) -> None:
        """Record the version of an adapter if it is newer than the known one."""
        event = AdapterPublished(model=model, adapter=adapter, version=version)
        if self._context.dispatcher.observe(event):
            log(Event.VERSION_ANNOUNCED, model=model, adapter=adapter, version=version)

    def evacuation_published(
        self, domain: str, is_active: bool, *, revision: int, era: int
    ) -> None:
        """Apply the start or the end of an evacuation, unless a newer state is known."""
        state = Evacuation(domain=domain, is_active=is_active, era=era, revision=revision)
        now_ms = monotonic_ms()
        self.evacuations_changed(
            self._context.dispatcher.evacuations.publish(state, now_ms), now_ms
        )

    def evacuations_listed(
        self, revision_by_domain: Mapping[str, int], *, revision: int, era: int
    ) -> None:
        """Apply a listing of the evacuated failure domains."""
        evacuations, now_ms = self._context.dispatcher.evacuations, monotonic_ms()
        held = evacuations.held_domains()
        changes = evacuations.apply_listing(
            revision_by_domain, era=era, revision=revision, now_ms=now_ms
        )
        for domain in sorted(evacuations.held_domains() - held):
            log(Event.EVACUATION_KEPT, domain=domain, era=era)
        self.evacuations_changed(changes, now_ms)

    def evacuations_changed(
        self, changes: list[Evacuation], now_ms: float, peer: str | None = None
    ) -> None:
        """Place no more requests in evacuated domains; *peer* is the VM that told the changes."""
        if not changes:
            return
        dispatcher = self._context.dispatcher
        dispatcher.directory.set_evacuated(dispatcher.evacuations.active_domains())
        for state in changes:
            endpoints = dispatcher.directory.all()
            keys = [e.key for e in endpoints if e.domain == state.domain]
            event = Event.EVACUATION_STARTED if state.is_active else Event.EVACUATION_ENDED
            log(
                event,
                domain=state.domain,
                era=state.era,
                revision=state.revision,
                endpoints=len(keys),
                peer=peer,
            )
            # Shown as 1 while the domain is evacuated.
            step = 1 if state.is_active else -1
            self._context.metrics.count("evacuated_domains", state.domain, step)
            if not state.is_active:
                self.on_evacuation_ended(keys, now_ms)
        self._context.placement_queue.wake()

    def endpoint_put(self, endpoint: Endpoint) -> None:
        """Record an endpoint's registration; an earlier start of the endpoint counts as dead."""
        previous = self._context.dispatcher.directory.put(endpoint)
        self._context.dispatcher.paces.record_registration(
            endpoint,
            monotonic_ms(),
            calendar_ms=local_calendar_s() * 1000,
            is_first_listing=not self.has_listing,
        )
        if previous is not None and previous.started_ms < endpoint.started_ms:
            self._context.crash_tracker.record_crash(previous.key, monotonic_ms())
        if previous is None or _lifecycle_of(previous) != _lifecycle_of(endpoint):
            log(
                Event.ENDPOINT_SEEN,
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                address=endpoint.address,
                started_ms=endpoint.started_ms,
                leaving=endpoint.is_leaving,
                software=endpoint.software_version,
            )
            self._drop_removed()
            self._context.placement_queue.wake()

    def endpoint_removed(self, endpoint_id: str) -> None:
        """Remove an endpoint; unless it was leaving, it counts as dead."""
        now_ms, directory = monotonic_ms(), self._context.dispatcher.directory
        known = directory.find(endpoint_id)
        is_removed = directory.remove(endpoint_id, now_ms)
        log(Event.ENDPOINT_GONE, endpoint=endpoint_id, at_once=is_removed)
        if is_removed:
            if not known.is_leaving:
                self._context.crash_tracker.record_crash(known.key, now_ms)
            self._drop_removed()

    def endpoints_listed(self, endpoints: list[Endpoint], unreadable: set[str]) -> None:
        """Record all registrations, and remove the endpoints that are not listed."""
        listed = unreadable | {endpoint.endpoint_id for endpoint in endpoints}
        directory, now_ms = self._context.dispatcher.directory, monotonic_ms()
        for endpoint in endpoints:
            if not directory.hold_if_removed(endpoint, now_ms):
                self.endpoint_put(endpoint)
        self.has_listing = True
        for endpoint_id in directory.apply_listing(listed, now_ms):
            log(Event.ENDPOINT_GONE, endpoint=endpoint_id, at_once=True)
        self._drop_removed()

    def registrations_confirmed(self, as_of_ms: float) -> None:
        """Record that all registrations as of a time are known."""
        self._context.dispatcher.directory.confirm(as_of_ms)

    def registry_lost(self, reason: str) -> None:
        """Keep the known endpoints while the registry does not respond."""
        log(Event.REGISTRY_LOST, reason=reason)
        self._context.dispatcher.directory.registry_lost()

    def registry_restored(self) -> None:
        """Record that the registry responds again; endpoints then have time to register again."""
        log(Event.REGISTRY_BACK)
        self._context.dispatcher.directory.registry_restored(monotonic_ms())

    def registry_restored_before(self, time_ms: float) -> None:
        """Record an outage of the registry that a peer noticed, and that ended *time_ms* ago."""
        directory = self._context.dispatcher.directory
        directory.registry_lost()
        directory.registry_restored(monotonic_ms() - time_ms)

    def registry_rewound(self) -> None:
        """Record that the registry was restored from an older copy."""
        self._context.dispatcher.directory.registry_rewound(monotonic_ms())

    def advance(self, now_ms: float) -> None:
        """Remove the endpoints that did not register again in time after an outage.

        Evacuations end that the store lacks since it was restored from an older copy.
        """
        self.evacuations_changed(self._context.dispatcher.evacuations.advance(now_ms), now_ms)
        for endpoint_id in self._context.dispatcher.directory.expire_missing(now_ms):
            log(Event.ENDPOINT_GONE, endpoint=endpoint_id, at_once=False)
            self._drop_removed()

    def _drop_removed(self) -> None:
        dispatcher = self._context.dispatcher
        dispatcher.forget_gone()
        self._context.clients.keep_only({e.key for e in dispatcher.directory.all()})


def _lifecycle_of(endpoint: Endpoint) -> tuple[int, bool]:
    return endpoint.started_ms, endpoint.is_leaving
