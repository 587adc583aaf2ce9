"""The relaying entry: one process of the fleet that callers reach."""

import asyncio
import json

from skylarkrack._burn import BurnMeter
from skylarkrack._clock import monotonic_ms
from skylarkrack._events import Event, log
from skylarkrack._metrics import Metrics
from skylarkrack._status import StatusServer, StatusSources
from skylarkrack._tasks import Tasks
from skylarkrack._traces import Traces
from skylarkrack.core.relay import (
    AdapterPublished,
    Contact,
    Crashes,
    Dispatcher,
    Endpoint,
    EngineHeard,
    EngineState,
    Membership,
    TablePublished,
    Usage,
)
from skylarkrack.messages import AdapterDemand, EngineTold, RelayState, Roster
from skylarkrack.relay._datagrams import Datagrams
from skylarkrack.relay._desk import Desk
from skylarkrack.relay._dialect import Dialect
from skylarkrack.relay._endpoints import Endpoints
from skylarkrack.relay._exchange import ExchangeParts
from skylarkrack.relay._front import Front
from skylarkrack.relay._handover import Handover
from skylarkrack.relay._settings import RelaySettings
from skylarkrack.web import HttpServer, Request, Responder, ServerLimits

TICK_MS = 50.0
"""Time between looks at what has to be told."""

BUSY_TELL_MS = 100.0
"""Time between states told to other entries while requests run."""

IDLE_TELL_MS = 400.0
"""The same without requests; below the age at which a peer's state is dropped."""

DEMAND_MS = 250.0
"""Time between demands told to an agent whose engine has runs of this entry."""

IDLE_DEMAND_MS = 1000.0
"""The same without runs: the agent still learns under which id its engine is registered."""

SETTLE_MS = 400.0
"""A new entry hears its peers for so long before it calls itself ready."""

STILL_ACCEPTING_MS = 2300.0
"""After a stop's signal the balancer needs two failed checks, a second apart, to turn away."""

CLOSING_MS = 500.0
"""Part of the grace that is left for the process's own end."""

MAX_CONNECTIONS = 3000
"""Below the file descriptors that a VM of today gives, with room for endpoints."""

RETRY_PART = 0.5
"""Part of the fleet's retry slack that all entries together save up."""


class RelayEntry:
    """All parts of an entry, and what connects them."""

    __slots__ = (
        "_agent_by_endpoint",
        "_burn",
        "_callers",
        "_crashes",
        "_datagrams",
        "_demanded_ms_by_key",
        "_desk",
        "_dispatcher",
        "_endpoints",
        "_front",
        "_handover",
        "_heard_by_endpoint",
        "_incarnation",
        "_is_leaving",
        "_is_listed",
        "_membership",
        "_metrics",
        "_parts",
        "_readiness",
        "_sequence",
        "_settings",
        "_started_ms",
        "_status",
        "_tasks",
        "_told_in_use_by_key",
        "_told_ms",
        "_usage",
    )

    def __init__(self, settings: RelaySettings, *, dialect: Dialect, incarnation: str) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._metrics = Metrics()
        self._tasks = Tasks()
        self._dispatcher = Dispatcher(domain=settings.domain)
        self._desk = Desk(self._dispatcher)
        self._desk.on_wait = self._tell_demand_soon
        self._usage = Usage()
        self._crashes = Crashes()
        self._endpoints = Endpoints()
        self._parts = ExchangeParts(
            desk=self._desk,
            dialect=dialect,
            endpoints=self._endpoints,
            metrics=self._metrics,
            usage=self._usage,
            crashes=self._crashes,
            tasks=self._tasks,
            retries_by_service={},
            most_retries=settings.retry_slack * RETRY_PART,
        )
        self._front = Front(self._parts)
        own = Contact(vm=settings.vm, address=settings.peers, role="entry", domain=settings.domain)
        self._membership = Membership(own)
        self._membership.set_seeds(settings.seeds)
        self._datagrams = Datagrams(self._hear)
        self._callers = HttpServer(
            self._front.handle,
            refuse=self._front.refuse_unread,
            limits=ServerLimits(connections=MAX_CONNECTIONS),
            name="callers",
        )
        self._readiness = HttpServer(
            self._answer_readiness,
            refuse=self._front.refuse_unread,
            limits=ServerLimits(),
            name="readiness",
        )
        self._handover = Handover(self._dispatcher, tasks=self._tasks, take=self.table_published)
        self._burn = BurnMeter()
        sources = StatusSources(
            describe=self.describe,
            metrics=self._metrics,
            burn=self._burn,
            traces=Traces(),
            published=self._handover.published,
        )
        self._status = StatusServer(sources, limits=ServerLimits())
        self._agent_by_endpoint: dict[str, str] = {}
        self._heard_by_endpoint: dict[str, tuple[str, int]] = {}
        self._demanded_ms_by_key: dict[tuple[str, int], float] = {}
        self._told_in_use_by_key: dict[tuple[str, int], frozenset] = {}
        self._is_leaving = False
        self._is_listed = False
        self._sequence = 0
        self._started_ms = 0.0
        self._told_ms = 0.0

    async def start(self) -> None:
        """Listen, and begin to talk to the other processes."""
        self._started_ms = monotonic_ms()
        await self._datagrams.start(self._settings.peers)
        await self._callers.start(self._settings.callers)
        await self._readiness.start(self._settings.readiness)
        if self._settings.status is not None:
            await self._status.start(self._settings.status)
        self._tasks.spawn(self._tick_forever())

    async def drain(self) -> None:
        """Stop as planned: let the balancer turn away, then finish what is under way."""
        log(Event.DRAIN_STARTED, requests=len(self._dispatcher.load.own()))
        self.announce_close()
        await asyncio.sleep(STILL_ACCEPTING_MS / 1000)
        left_ms = self._settings.grace_ms - STILL_ACCEPTING_MS - CLOSING_MS
        try:
            async with asyncio.timeout(left_ms / 1000):
                await self._callers.drain()
        except TimeoutError:
            log(Event.STREAM_CUT, reason="the grace of a planned stop is over")

    def announce_close(self) -> None:
        """Call this entry unready, and close each connection after its next answer."""
        self._is_leaving = True
        self._callers.announce_close()

    async def close(self) -> None:
        """Close everything."""
        self._desk.close()
        self._tasks.close()
        self._endpoints.close()
        self._datagrams.close()
        for server in (self._callers, self._readiness, self._status):
            await server.close()

    def settings_changed(self, settings: RelaySettings) -> None:
        """Take what may change while the process runs: the seeds."""
        self._membership.set_seeds(settings.seeds)

    @property
    def callers_at(self) -> tuple[str, int]:
        """Host and port that callers reach."""
        return self._callers.listens_at

    def granted(self) -> dict[str, float]:
        """Return what this entry granted of the quotas since its start, by organisation."""
        return self._usage.granted()

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        is_settled = monotonic_ms() - self._started_ms >= SETTLE_MS
        has_table = self._dispatcher.table is not None
        return is_settled and has_table and self._is_listed and not self._is_leaving

    def describe(self) -> dict[str, object]:
        """Return the state for operators."""
        now_ms = monotonic_ms()
        table = self._dispatcher.table
        return {
            "vm": self._settings.vm,
            "ready": self.is_ready,
            "table": None if table is None else table.version,
            "announced": self._dispatcher.announced,
            "endpoints": [endpoint.endpoint_id for endpoint in self._dispatcher.directory.all()],
            "entries": [contact.vm for contact in self._membership.alive("entry", now_ms)],
            "agents": [contact.vm for contact in self._membership.alive("agent", now_ms)],
            "waiting": self._dispatcher.waiting_count(),
        }

    # What the registry tells

    def table_published(self, document: bytes) -> None:
        """Put a configuration in force unless it is older; raises `ValueError` for a bad one."""
        table = self._parts.dialect.table_of(document)
        if not self._dispatcher.observe(TablePublished(table=table)):
            return
        self._handover.hold(document)
        if self._settings.cuts_withdrawn:
            cut = self._front.cut_withdrawn(table)
            if cut:
                log(Event.STREAM_CUT, requests=cut, table=table.version)
        log(Event.TABLE_ADOPTED, version=table.version, services=len(table.service_by_name))
        limits = table.limits
        self._callers.set_limits(
            ServerLimits(
                head_bytes=limits.head_bytes,
                body_bytes=limits.body_bytes,
                read_timeout_ms=limits.head_timeout_ms,
                idle_timeout_ms=limits.idle_timeout_ms,
                connections=MAX_CONNECTIONS,
            )
        )
        self._desk.wake()

    def adapter_published(self, model: str, adapter: str, version: int) -> None:
        """Note the newest version of an adapter."""
        event = AdapterPublished(model=model, adapter=adapter, version=version)
        if self._dispatcher.observe(event):
            log(Event.VERSION_ANNOUNCED, model=model, adapter=adapter, version=version)

    def endpoint_put(self, endpoint: Endpoint) -> None:
        """Note an endpoint's registration."""
        before = self._dispatcher.directory.put(endpoint)
        if before is not None and before.started_ms < endpoint.started_ms:
            self._crashes.died(before.key, monotonic_ms())
        if before is None or (before.started_ms, before.is_leaving) != (
            endpoint.started_ms,
            endpoint.is_leaving,
        ):
            log(
                Event.ENDPOINT_SEEN,
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                address=endpoint.address,
                started_ms=endpoint.started_ms,
                leaving=endpoint.is_leaving,
            )
            self._forget_gone()
            self._desk.wake()

    def endpoint_removed(self, endpoint_id: str) -> None:
        """Note the end of a registration."""
        now_ms = monotonic_ms()
        known = self._dispatcher.directory.find(endpoint_id)
        is_gone = self._dispatcher.directory.remove(endpoint_id, now_ms)
        if is_gone and not known.is_leaving:
            self._crashes.died(known.key, now_ms)
        log(Event.ENDPOINT_GONE, endpoint=endpoint_id, at_once=is_gone)
        if is_gone:
            self._forget_gone()

    def endpoints_listed(self, endpoints: list[Endpoint], unreadable: set[str]) -> None:
        """Note all registrations."""
        self._is_listed = True
        listed = unreadable | {endpoint.endpoint_id for endpoint in endpoints}
        for endpoint in endpoints:
            self.endpoint_put(endpoint)
        for endpoint_id in self._dispatcher.directory.keep_only(listed, monotonic_ms()):
            log(Event.ENDPOINT_GONE, endpoint=endpoint_id, at_once=True)
        self._forget_gone()

    def registry_lost(self, reason: str) -> None:
        """Go on with what is known."""
        log(Event.REGISTRY_LOST, reason=reason)
        self._dispatcher.directory.registry_lost()

    def registry_back(self) -> None:
        """The registry answers again."""
        log(Event.REGISTRY_BACK)
        self._dispatcher.directory.registry_back(monotonic_ms())

    def _forget_gone(self) -> None:
        self._dispatcher.forget_gone()
        self._endpoints.keep_only({e.key for e in self._dispatcher.directory.all()})

    # What other processes tell

    def _hear(self, message: object) -> None:
        now_ms = monotonic_ms()
        if isinstance(message, Roster):
            self._hear_roster(message, now_ms)
        elif isinstance(message, RelayState):
            self._hear_entry(message, now_ms)
        elif isinstance(message, EngineTold):
            self._hear_engine(message, now_ms)

    def _hear_roster(self, message: Roster, now_ms: float) -> None:
        contacts = [Contact(vm=r[0], address=r[1], role=r[2], domain=r[3]) for r in message.members]
        self._note_member(contacts[0], now_ms)
        for contact in contacts[1:]:
            self._membership.told(contact, now_ms)

    def _note_member(self, contact: Contact, now_ms: float) -> None:
        if self._membership.heard(contact, now_ms):
            log(Event.MEMBER_SEEN, vm=contact.vm, role=contact.role, address=contact.address)
            self._datagrams.send(self._roster(now_ms), contact.address)

    def _hear_entry(self, message: RelayState, now_ms: float) -> None:
        contact = Contact(
            vm=message.vm, address=message.address, role="entry", domain=message.domain
        )
        self._note_member(contact, now_ms)
        self._handover.compare(message.status, message.table_version, message.announced)
        self._usage.heard(message.vm, message.incarnation, message.granted, now_ms)
        self._crashes.told(message.suspects, now_ms)
        runs = {(row[0], row[1]): row[2] for row in message.loads}
        tokens = {(row[0], row[1]): row[3] for row in message.loads}
        self._dispatcher.load.told(message.vm, runs, tokens, now_ms)

    def _hear_engine(self, message: EngineTold, now_ms: float) -> None:
        contact = Contact(
            vm=message.vm, address=message.address, role="agent", domain=message.domain
        )
        self._note_member(contact, now_ms)
        known = self._heard_by_endpoint.get(message.endpoint)
        if known is not None and known[0] == message.incarnation and known[1] > message.sequence:
            # A datagram that was overtaken: what it says no longer holds.
            return
        self._agent_by_endpoint[message.endpoint] = message.address
        self._heard_by_endpoint[message.endpoint] = (message.incarnation, message.sequence)
        state = EngineState(
            received_ms=now_ms,
            resident={(row[0], row[1]): row[2] for row in message.resident},
            on_the_way={(row[0], row[1]): row[2] for row in message.on_the_way},
            spare_places=message.spare_places,
        )
        key = (message.endpoint, message.started_ms)
        if self._dispatcher.observe(EngineHeard(key=key, state=state)):
            # The agent may wait to hear that an adapter is not used here any more.
            self._tell_demand_soon(key)
            if self._dispatcher.waiting_count():
                self._desk.wake()

    # What this process tells

    async def _tick_forever(self) -> None:
        while True:
            now_ms = monotonic_ms()
            for endpoint_id in self._dispatcher.directory.advance(now_ms):
                log(Event.ENDPOINT_GONE, endpoint=endpoint_id, at_once=False)
                self._forget_gone()
            self._usage.forget_silent(now_ms)
            self._tell_entries(now_ms)
            self._tell_agents(now_ms)
            for address in self._membership.to_call(now_ms):
                self._datagrams.send(self._roster(now_ms), address)
            await asyncio.sleep(TICK_MS / 1000)

    def _roster(self, now_ms: float) -> Roster:
        rows = [[c.vm, c.address, c.role, c.domain] for c in self._membership.telling(now_ms)]
        return Roster(members=rows)

    def _tell_entries(self, now_ms: float) -> None:
        own = self._dispatcher.load.own()
        pause_ms = BUSY_TELL_MS if own else IDLE_TELL_MS
        if now_ms - self._told_ms < pause_ms - TICK_MS / 2:
            return
        self._told_ms = now_ms
        entries = [contact.address for contact in self._membership.alive("entry", now_ms)]
        self._share_retries(len(entries) + 1)
        if not entries:
            return
        self._sequence += 1
        table = self._dispatcher.table
        state = RelayState(
            vm=self._settings.vm,
            address=self._settings.peers,
            incarnation=self._incarnation,
            sequence=self._sequence,
            domain=self._settings.domain,
            status=self._settings.status or "",
            table_version=0 if table is None else table.version,
            announced=self._dispatcher.announced,
            granted=self._usage.granted(),
            suspects=self._crashes.telling(),
            loads=[[key[0], key[1], runs, tokens] for key, (runs, tokens) in own.items()],
        )
        self._datagrams.send_to(state, entries)

    def _share_retries(self, entries: int) -> None:
        most = max(1.0, self._settings.retry_slack * RETRY_PART / entries)
        for budget in self._parts.retries_by_service.values():
            budget.set_most(most)

    def _tell_agents(self, now_ms: float) -> None:
        for endpoint in self._dispatcher.directory.all():
            pause_ms = (
                DEMAND_MS if self._dispatcher.load.own_adapters(endpoint.key) else IDLE_DEMAND_MS
            )
            in_use = self._dispatcher.load.own_adapters(endpoint.key).keys()
            is_news = not in_use <= self._told_in_use_by_key.get(endpoint.key, frozenset())
            if is_news or self._dispatcher.wanted_at(endpoint.key):
                pause_ms = TICK_MS
            told_ms = self._demanded_ms_by_key.get(endpoint.key, float("-inf"))
            if now_ms - told_ms >= pause_ms - TICK_MS / 2:
                self._tell_agent(endpoint, now_ms)

    def _tell_demand_soon(self, key: tuple[str, int]) -> None:
        """Tell an agent at once that a request has begun to wait for it."""
        for endpoint in self._dispatcher.directory.all():
            if endpoint.key == key:
                self._tell_agent(endpoint, monotonic_ms())

    def _tell_agent(self, endpoint: Endpoint, now_ms: float) -> None:
        address = self._agent_by_endpoint.get(endpoint.address)
        shape = self._dispatcher.shape_of(endpoint)
        if address is None or shape is None:
            return
        self._demanded_ms_by_key[endpoint.key] = now_ms
        self._sequence += 1
        heard_of, heard = self._heard_by_endpoint.get(endpoint.address, ("", 0))
        wanted = self._dispatcher.wanted_at(endpoint.key)
        in_use = self._dispatcher.load.own_adapters(endpoint.key)
        self._told_in_use_by_key[endpoint.key] = frozenset(in_use)
        demand = AdapterDemand(
            vm=self._settings.vm,
            address=self._settings.peers,
            incarnation=self._incarnation,
            sequence=self._sequence,
            domain=self._settings.domain,
            endpoint_id=endpoint.endpoint_id,
            started_ms=endpoint.started_ms,
            wanted=[[*n, w.urgency, w.requests, w.version] for n, w in wanted.items()],
            in_use=[[*name, count] for name, count in in_use.items()],
            places=shape.adapter_places,
            memory_mb=shape.memory_mb,
            models=[[m.name, m.weights_mb] for m in shape.model_by_name.values()],
            heard_of=heard_of,
            heard=heard,
        )
        self._datagrams.send(demand, address)

    async def _answer_readiness(self, request: Request, responder: Responder) -> None:
        status = 200 if self.is_ready else 503
        responder.whole(status, [], json.dumps({"ready": self.is_ready}).encode())
