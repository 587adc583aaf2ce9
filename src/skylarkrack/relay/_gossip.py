"""Exchange of state between an entry, the other entries and the engines' agents, by datagrams.

An entry broadcasts its state to the other entries and sends each agent the adapters that it needs.
It receives the states of other entries, and snapshots and heartbeats of agents.
"""

import asyncio
from collections import Counter
from dataclasses import replace

from skylarkrack._clock import monotonic_ms
from skylarkrack._events import Event, log
from skylarkrack.core.relay import (
    AGENT,
    ENTRY_LIVE_MS,
    IDLE_BROADCAST_MS,
    IN_USE_TTL_MS,
    NO_OUTCOMES,
    AdapterId,
    Endpoint,
    EndpointKey,
    EndpointLoad,
    EngineState,
    EngineStateReceived,
    EntryIncarnations,
    OutcomeCounts,
    ProcessContact,
    broadcast_interval_ms,
    digest_of_endpoint,
    idle_demand_interval_ms,
)
from skylarkrack.messages import (
    AdapterDemand,
    AdmissionGrants,
    BegunStreams,
    EndpointBounds,
    EndpointConditions,
    EndpointRateLimits,
    EngineHeartbeat,
    EngineSnapshot,
    EntryStopped,
    EvacuationNotice,
    HomeNotice,
    LeavingEndpoints,
    RelayState,
    SendPermits,
    StoreStep,
    StreamOriginAnswers,
    SuspectSegments,
)
from skylarkrack.relay._admission_exchange import AdmissionExchange
from skylarkrack.relay._bound_exchange import BoundExchange
from skylarkrack.relay._condition_exchange import ConditionExchange
from skylarkrack.relay._config_sync import ConfigSync
from skylarkrack.relay._context import EntryContext
from skylarkrack.relay._evacuation_exchange import EvacuationExchange
from skylarkrack.relay._peers import ENTRY, Peers
from skylarkrack.relay._rate_limit_exchange import RateLimitExchange
from skylarkrack.relay._registry import RegistryHistory
from skylarkrack.relay._segment_reports import SegmentReports
from skylarkrack.relay._settings import RelaySettings
from skylarkrack.relay._store_feed import StoreFeed
from skylarkrack.relay._stream_origin_exchange import StreamOriginExchange

TICK_MS = 50.0
"""Time between checks of which messages are due."""

FULL_GRANTS_MS = 2000.0
"""Time between broadcasts of the grants of all organisations; those in between hold only changes.

A change that was lost with its datagram is repaired within this time.
"""

BUSY_DEMAND_MS = 500.0
"""Time between demands sent to an agent whose engine has runs of this entry.

A newly used adapter is reported with the next tick.
"""

LEAVING_REPEATS = 3
LEAVING_INTERVAL_MS = 200.0
"""Number of broadcasts of a leaving endpoint, since datagrams are lost, and the time between them.
"""

MAX_LEAVING_PER_MESSAGE = 200
"""Leaving endpoints in the message to a new entry; only the newest are sent."""

STOP_REPEATS = 2
STOP_INTERVAL_MS = 30.0
"""Number of messages to each agent at the end of a planned stop, since datagrams are lost, and the
time between them. It is far below the part of the grace period that is kept for the end."""

RETRY_SLACK_SHARE = 0.5
"""Fraction of the fleet's retry slack that the budgets of all entries together may accumulate."""


class Gossip:
    """Sends and receives the messages between this entry and the other processes.

    Times are in ms on the monotonic clock.
    """

    __slots__ = (
        "_admission",
        "_agent_address_by_endpoint",
        "_bounds",
        "_conditions",
        "_config_sync",
        "_context",
        "_demand_sent_ms_by_key",
        "_full_sent_ms",
        "_has_announced_stop",
        "_entry_incarnations",
        "_incarnation",
        "_last_complete_grants",
        "_last_received_by_endpoint",
        "_leaving_due_by_key",
        "_peers",
        "_rate_limits",
        "_segment_reports",
        "_sent_in_use_by_key",
        "_sent_ms",
        "_sequence",
        "_settings",
        "_snapshot_by_endpoint",
        "_stream_origins",
        "evacuations",
        "feed",
    )

    def __init__(
        self,
        settings: RelaySettings,
        *,
        context: EntryContext,
        config_sync: ConfigSync,
        incarnation: str,
    ) -> None:
        self._settings = settings
        self._context = context
        self._config_sync = config_sync
        self._incarnation = incarnation
        self._entry_incarnations = EntryIncarnations()
        self._peers = Peers(settings, ENTRY, on_message=self._on_message, on_join=self._on_join)
        self.feed = StoreFeed(
            self._peers.own,
            list_entries=lambda: self._peers.alive(ENTRY),
            send=self._peers.broadcast_in_domain,
        )
        self._segment_reports = SegmentReports(
            self._peers, crash_tracker=context.crash_tracker, metrics=context.metrics
        )
        self._stream_origins = StreamOriginExchange(
            self._peers,
            lookup=context.origin_lookup,
            directory=context.dispatcher.directory,
            metrics=context.metrics,
        )
        self.evacuations = EvacuationExchange(
            self._peers, evacuations=context.dispatcher.evacuations
        )
        self._bounds = BoundExchange(
            self._peers, dispatcher=context.dispatcher, metrics=context.metrics
        )
        self._rate_limits = RateLimitExchange(
            self._peers, limits=context.dispatcher.rate_limits, bounds=self._bounds
        )
        self._conditions = ConditionExchange(
            self._peers, dispatcher=context.dispatcher, metrics=context.metrics
        )
        # Broadcasts left and the time of the next one, for each leaving endpoint.
        self._leaving_due_by_key: dict[EndpointKey, tuple[int, float]] = {}
        self._agent_address_by_endpoint: dict[str, str] = {}
        self._last_received_by_endpoint: dict[str, tuple[str, int]] = {}
        self._admission = AdmissionExchange(
            self._peers,
            queue=context.placement_queue,
            metrics=context.metrics,
            incarnation=incarnation,
            agent_address_by_endpoint=self._agent_address_by_endpoint,
        )
        self._snapshot_by_endpoint: dict[str, tuple[tuple[str, int], EngineStateReceived]] = {}
        self._demand_sent_ms_by_key: dict[EndpointKey, float] = {}
        self._sent_in_use_by_key: dict[EndpointKey, frozenset] = {}
        self._sequence = 0
        self._sent_ms = 0.0
        self._has_announced_stop = False
        self._full_sent_ms = float("-inf")
        self._last_complete_grants: dict[str, float] = {}

    async def start(self) -> None:
        """Open the datagram socket; raises `OSError` if its address is not available."""
        self._context.origin_lookup.start()
        await self._peers.start()

    def close(self) -> None:
        """Close the datagram socket."""
        self._admission.close()
        self._peers.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses from which other processes are discovered."""
        self._peers.set_seeds(seeds)

    def set_registry_history(self, history: RegistryHistory) -> None:
        """Read what the registry remembers from *history*."""
        self._stream_origins.history = history

    def describe(self) -> dict[str, list[str]]:
        """Return the VMs of the live entries and agents, by role; the own VM is left out."""
        return {
            role: [contact.vm for contact in self._peers.alive(role)] for role in (ENTRY, AGENT)
        }

    def count_entries(self) -> int:
        """Return the number of live entries, including this one."""
        return len(self._peers.alive(ENTRY)) + 1

    # Receiving

    def _on_message(self, message: object, now_ms: float) -> None:
        self._context.metrics.count("messages_received_total", type(message).__name__)
        if isinstance(message, RelayState):
            self._receive_state(message, now_ms)
        elif isinstance(message, EngineSnapshot):
            self._receive_snapshot(message, now_ms)
        elif isinstance(message, EngineHeartbeat):
            self._receive_heartbeat(message, now_ms)
        elif isinstance(message, AdmissionGrants):
            self._admission.receive(message, now_ms)
        elif isinstance(message, LeavingEndpoints):
            self._receive_leaving(message)
        elif isinstance(message, StoreStep):
            self.feed.receive(message)
        elif isinstance(message, SuspectSegments):
            self._segment_reports.receive(message, now_ms)
        elif isinstance(message, BegunStreams):
            self._stream_origins.receive(message)
        elif isinstance(message, StreamOriginAnswers):
            self._stream_origins.receive_from_agent(message)
        elif isinstance(message, EndpointRateLimits):
            self._rate_limits.receive(message, now_ms)
        elif isinstance(message, EvacuationNotice):
            self.evacuations.receive(message, now_ms)
        elif isinstance(message, EndpointConditions):
            self._conditions.receive(message, now_ms)
        elif isinstance(message, EndpointBounds):
            self._bounds.receive(message, now_ms)
        elif isinstance(message, HomeNotice):
            self._bounds.receive_notice(message, now_ms)
        elif isinstance(message, SendPermits) and self._rate_limits.receive_permits(
            message, now_ms
        ):
            self._context.placement_queue.wake()

    def _on_join(self, contact: ProcessContact) -> None:
        """Send a new entry what it needs to know of endpoints, segments and evacuations."""
        if contact.role != ENTRY:
            self._stream_origins.agent_joined()
            return
        keys = self._context.dispatcher.directory.leaving_keys()
        if keys:
            self._peers.send(self._leaving_message(keys), contact.address)
        self._segment_reports.send_all(contact.address, monotonic_ms())
        self._rate_limits.send_all(contact.address, monotonic_ms())
        self.evacuations.send_all(contact.address, monotonic_ms())
        self._bounds.send_all(contact.address, monotonic_ms())

    def _receive_leaving(self, message: LeavingEndpoints) -> None:
        for address, started_ms in message.endpoints:
            if self._context.dispatcher.directory.mark_leaving((address, started_ms)):
                log(Event.ENDPOINT_LEAVING, address=address, started_ms=started_ms, peer=message.vm)

    def _receive_state(self, message: RelayState, now_ms: float) -> None:
        if self._entry_incarnations.is_restart(message.vm, message.incarnation):
            # It was back before anybody missed it, and knows nothing of what was told before.
            contact = ProcessContact(
                vm=message.vm,
                address=message.address,
                role=ENTRY,
                domain=message.domain,
                passes_on=message.passes_on,
            )
            log(Event.MEMBER_SEEN, vm=contact.vm, role=contact.role, address=contact.address)
            self._on_join(contact)
        self._config_sync.fetch_if_newer(message.status, message.table_version, message.announced)
        self._context.quota_limiter.receive_grants(
            message.vm,
            message.incarnation,
            message.granted,
            is_complete=message.is_complete,
            now_ms=now_ms,
        )
        self._context.crash_tracker.receive_suspects(message.suspects, now_ms)
        directory = self._context.dispatcher.directory
        rows = [(directory.key_of(row[0]), row) for row in message.loads]
        load_by_key = {key: _load_from_row(row) for key, row in rows if key is not None}
        self._context.dispatcher.receive_loads(message.vm, load_by_key, now_ms)

    def _receive_snapshot(self, message: EngineSnapshot, now_ms: float) -> None:
        if self._is_outdated(message):
            return
        self._agent_address_by_endpoint[message.endpoint] = message.address
        self._stream_origins.agent_reported(message.vm, message.address, message.incarnation)
        self._last_received_by_endpoint[message.endpoint] = (message.incarnation, message.sequence)
        state = EngineState(
            received_ms=now_ms,
            resident=_versions_by_name(message.resident),
            loading=_versions_by_name(message.on_the_way),
            spare_slots=message.spare_places,
        )
        key = (message.endpoint, message.started_ms)
        base = (message.incarnation, message.sequence)
        self._snapshot_by_endpoint[message.endpoint] = (
            base,
            EngineStateReceived(key=key, state=state),
        )
        has_changed = self._context.dispatcher.observe(EngineStateReceived(key=key, state=state))
        # An agent waits for entries that sent a demand recently, and for no others.
        sent_ms = self._demand_sent_ms_by_key.get(key, float("-inf"))
        if message.is_retiring and now_ms - sent_ms < ENTRY_LIVE_MS:
            self.send_demand_now(key)
        if has_changed and self._context.dispatcher.is_awaited(state):
            self._context.placement_queue.wake()

    def _receive_heartbeat(self, message: EngineHeartbeat, now_ms: float) -> None:
        base, snapshot = self._snapshot_by_endpoint.get(message.endpoint, (None, None))
        if base != (message.incarnation, message.base) or self._is_outdated(message):
            # The snapshot that it confirms was lost. The agent soon sends the next one.
            return
        self._last_received_by_endpoint[message.endpoint] = (message.incarnation, message.sequence)
        state = replace(snapshot.state, received_ms=now_ms, spare_slots=message.spare_places)
        self._context.dispatcher.observe(EngineStateReceived(key=snapshot.key, state=state))

    def _is_outdated(self, message: EngineSnapshot | EngineHeartbeat) -> bool:
        """Return whether a later message of the same agent was received before this one."""
        incarnation, sequence = self._last_received_by_endpoint.get(message.endpoint, ("", 0))
        return incarnation == message.incarnation and sequence > message.sequence

    # Sending

    def announce_leaving(self, key: EndpointKey) -> None:
        """Tell the other entries that an endpoint is about to stop."""
        self._leaving_due_by_key[key] = (LEAVING_REPEATS, monotonic_ms())
        self._broadcast_leaving(monotonic_ms())

    def _broadcast_leaving(self, now_ms: float) -> None:
        due = [key for key, (_, at_ms) in self._leaving_due_by_key.items() if at_ms <= now_ms]
        if not due:
            return
        for key in due:
            repeats_left = self._leaving_due_by_key.pop(key)[0] - 1
            if repeats_left:
                self._leaving_due_by_key[key] = (repeats_left, now_ms + LEAVING_INTERVAL_MS)
        self._peers.broadcast_to_entries(self._leaving_message(due))

    def _leaving_message(self, keys: list[EndpointKey]) -> LeavingEndpoints:
        return LeavingEndpoints(
            vm=self._settings.vm,
            address=self._settings.peers,
            domain=self._settings.domain,
            passes_on=self._settings.passes_on,
            endpoints=[list(key) for key in keys[-MAX_LEAVING_PER_MESSAGE:]],
        )

    def send_due(self, now_ms: float) -> None:
        """Send all messages that are due, and drop long silent entries from the quota limiter."""
        self._context.quota_limiter.forget_silent(now_ms)
        self._broadcast_state(now_ms)
        self._send_due_demands(now_ms)
        self._broadcast_leaving(now_ms)
        self._admission.send_offers(self._last_received_by_endpoint, now_ms)
        self._segment_reports.send_due(now_ms)
        self._bounds.send_due(now_ms)
        self._rate_limits.send_due(self._agent_address_by_endpoint, now_ms)
        self._rate_limits.ask(self._context.dispatcher.permits_wanted_by_key(), now_ms)
        self._stream_origins.send_due(now_ms)
        self.evacuations.send_due(now_ms)
        self._conditions.send_due(now_ms)
        self._peers.probe_silent(now_ms)
        self._count_full_rounds()

    def _count_full_rounds(self) -> None:
        metrics, name = self._context.metrics, "rounds_with_unread_messages_total"
        added = self._peers.full_rounds - metrics.counter(name)
        if added:
            metrics.count(name, amount=added)

    def _broadcast_state(self, now_ms: float) -> None:
        own = self._context.dispatcher.own_loads(now_ms)
        entries = self._peers.alive(ENTRY)
        interval_ms = broadcast_interval_ms(len(entries)) if own else IDLE_BROADCAST_MS
        if now_ms - self._sent_ms < interval_ms - TICK_MS / 2:
            return
        self._sent_ms = now_ms
        self._divide_retries(len(entries) + 1)
        if not entries:
            return
        self._sequence += 1
        table = self._context.dispatcher.table
        granted, is_complete = self._grants_to_send(now_ms)
        state = RelayState(
            vm=self._settings.vm,
            address=self._settings.peers,
            incarnation=self._incarnation,
            sequence=self._sequence,
            domain=self._settings.domain,
            passes_on=self._settings.passes_on,
            status=self._settings.status or "",
            table_version=0 if table is None else table.version,
            announced=self._context.dispatcher.version_sum,
            granted=granted,
            is_complete=is_complete,
            suspects=self._context.crash_tracker.recent_suspects(),
            loads=[[digest_of_endpoint(key), *_load_row(load)] for key, load in own.items()],
        )
        self._peers.broadcast_to_entries(state)

    def _grants_to_send(self, now_ms: float) -> tuple[dict[str, float], bool]:
        """Return granted tokens by organisation, and whether these are all organisations.

        Between two full broadcasts only the grants that differ from the last full one are returned.
        """
        granted = {
            # Whole numbers take half of the bytes of a float.
            name: round(amount)
            for name, amount in self._context.quota_limiter.granted().items()
        }
        if now_ms - self._full_sent_ms >= FULL_GRANTS_MS:
            self._full_sent_ms, self._last_complete_grants = now_ms, granted
            return granted, True
        changed = {
            name: n for name, n in granted.items() if n != self._last_complete_grants.get(name)
        }
        return changed, False

    def _divide_retries(self, entries: int) -> None:
        max_saved = max(1.0, self._settings.retry_slack * RETRY_SLACK_SHARE / entries)
        for budget in self._context.retry_budget_by_service.values():
            budget.set_max_saved(max_saved)

    def _send_due_demands(self, now_ms: float) -> None:
        idle_ms = idle_demand_interval_ms(self.count_entries())
        for endpoint in self._context.dispatcher.directory.all():
            load = self._context.dispatcher.load
            in_use = load.own_runs_by_adapter(endpoint.key, now_ms).keys()
            interval_ms = BUSY_DEMAND_MS if in_use else idle_ms
            has_changed = not in_use <= self._sent_in_use_by_key.get(endpoint.key, frozenset())
            if has_changed or self._context.dispatcher.wanted_at(endpoint.key):
                interval_ms = TICK_MS
            sent_ms = self._demand_sent_ms_by_key.get(endpoint.key, float("-inf"))
            if now_ms - sent_ms >= interval_ms - TICK_MS / 2:
                self._send_demand(endpoint, now_ms)

    def announce_waiting(self, key: EndpointKey) -> None:
        """Tell the processes that can let a request proceed that it waits for an endpoint."""
        if self._context.dispatcher.lacks_adapters(key):
            self.send_demand_now(key)
        waiting = self._context.dispatcher.permits_wanted_by_key()[key]
        if waiting:
            self._rate_limits.ask({key: waiting}, monotonic_ms())

    async def announce_stop(self) -> None:
        """Tell the agents that this process, which sends no more requests, needs no adapters.

        Does nothing the second time.
        """
        if self._has_announced_stop:
            return
        self._has_announced_stop = True
        for repeats_left in reversed(range(STOP_REPEATS)):
            self._send_stop(monotonic_ms())
            if repeats_left:
                await asyncio.sleep(STOP_INTERVAL_MS / 1000)

    def _send_stop(self, now_ms: float) -> None:
        """Send a stop to the agents that would wait for this entry, or keep its adapters."""
        for endpoint in self._context.dispatcher.directory.all():
            key = endpoint.key
            address = self._agent_address_by_endpoint.get(endpoint.address)
            in_use = self._context.dispatcher.load.own_runs_by_adapter(key, now_ms)
            age_ms = now_ms - self._demand_sent_ms_by_key.get(key, float("-inf"))
            ttl_ms = IN_USE_TTL_MS if self._sent_in_use_by_key.get(key) else ENTRY_LIVE_MS
            if address is None or (age_ms >= ttl_ms and not in_use):
                continue
            message = EntryStopped(
                **self._peers.sender_fields,
                incarnation=self._incarnation,
                in_use=[[*name, runs] for name, runs in in_use.items()],
            )
            self._peers.send(message, address)

    def send_demand_now(self, key: EndpointKey) -> None:
        """Send the agent of an engine at once which adapters are used and waited for there."""
        endpoint = self._context.dispatcher.directory.find_by_key(key)
        if endpoint is not None:
            self._send_demand(endpoint, monotonic_ms())

    def _send_demand(self, endpoint: Endpoint, now_ms: float) -> None:
        address = self._agent_address_by_endpoint.get(endpoint.address)
        shape = self._context.dispatcher.shape_of(endpoint)
        if address is None or shape is None:
            return
        self._demand_sent_ms_by_key[endpoint.key] = now_ms
        self._sequence += 1
        heard_of, heard = self._last_received_by_endpoint.get(endpoint.address, ("", 0))
        wanted = {}
        if not self._context.dispatcher.directory.is_evacuated(endpoint):
            wanted = self._context.dispatcher.wanted_at(endpoint.key)
        # An engine's agent evicts what no demand names, so requests on their way count as well.
        in_use = Counter(self._context.dispatcher.load.own_runs_by_adapter(endpoint.key, now_ms))
        in_use += self._context.placement_queue.released_by_adapter(endpoint.key)
        self._sent_in_use_by_key[endpoint.key] = frozenset(in_use)
        demand = AdapterDemand(
            vm=self._settings.vm,
            address=self._settings.peers,
            incarnation=self._incarnation,
            sequence=self._sequence,
            domain=self._settings.domain,
            passes_on=self._settings.passes_on,
            endpoint_id=endpoint.endpoint_id,
            started_ms=endpoint.started_ms,
            wanted=[[*n, w.urgency, w.requests, w.version] for n, w in wanted.items()],
            in_use=[[*name, count] for name, count in in_use.items()],
            places=shape.adapter_slots,
            memory_mb=shape.memory_mb,
            models=[[m.name, m.weights_mb] for m in shape.model_by_name.values()],
            heard_of=heard_of,
            heard=heard,
        )
        self._peers.send(demand, address)


def _versions_by_name(rows_by_model: dict[str, list]) -> dict[AdapterId, int]:
    return {(model, row[0]): row[1] for model, rows in rows_by_model.items() for row in rows}


def _load_row(load: EndpointLoad) -> tuple[int, ...]:
    outcomes = load.outcomes
    return (
        load.runs,
        load.tokens,
        load.prefill_tokens,
        load.reserved_tokens,
        outcomes.answered,
        outcomes.failed,
    )


def _load_from_row(row: list) -> EndpointLoad:
    _, runs, tokens, prompts, reserved, answered, failed = row
    return EndpointLoad(
        runs=runs,
        tokens=tokens,
        prefill_tokens=prompts,
        reserved_tokens=reserved,
        outcomes=(
            OutcomeCounts(answered=answered, failed=failed) if answered or failed else NO_OUTCOMES
        ),
    )
