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
from skylarkrack.core.relay import Crashes, Dispatcher, RoutingTable, Usage
from skylarkrack.relay._conversation import RETRY_PART, TICK_MS, Conversation
from skylarkrack.relay._desk import Desk
from skylarkrack.relay._dialect import Dialect
from skylarkrack.relay._endpoints import Endpoints
from skylarkrack.relay._front import Front
from skylarkrack.relay._handover import Handover
from skylarkrack.relay._parts import EntryParts
from skylarkrack.relay._registry_view import RegistryView
from skylarkrack.relay._settings import RelaySettings
from skylarkrack.web import Handler, HttpServer, Request, Responder, ServerLimits

SETTLE_MS = 400.0
"""A new entry hears its peers for so long before it calls itself ready."""

STILL_ACCEPTING_MS = 2300.0
"""After a stop's signal the balancer needs two failed checks, a second apart, to turn away."""

CLOSING_MS = 500.0
"""Part of the grace that is left for the process's own end."""

MAX_CONNECTIONS = 3000
"""Below the file descriptors that a VM of today gives, with room for endpoints."""


class RelayEntry:
    """All parts of an entry, and what connects them."""

    __slots__ = (
        "_callers",
        "_conversation",
        "_dispatcher",
        "_front",
        "_handover",
        "_is_leaving",
        "_parts",
        "_readiness",
        "_settings",
        "_started_ms",
        "_status",
        "_tasks",
        "registry",
    )

    def __init__(self, settings: RelaySettings, *, dialect: Dialect, incarnation: str) -> None:
        self._settings = settings
        self._tasks = Tasks()
        policy = settings.policy
        self._dispatcher = Dispatcher(domain=settings.domain, policy=policy)
        self._parts = EntryParts(
            desk=Desk(self._dispatcher),
            dialect=dialect,
            endpoints=Endpoints(),
            metrics=Metrics(),
            burn=BurnMeter(),
            usage=Usage(is_shared=policy.is_quota_shared),
            crashes=Crashes(),
            tasks=self._tasks,
            retries_by_service={},
            most_retries=settings.retry_slack * RETRY_PART,
        )
        self._front = Front(self._parts)
        self.registry = RegistryView(self._parts, put_in_force=self._put_in_force)
        self._handover = Handover(
            self._dispatcher, tasks=self._tasks, take=self.registry.table_published
        )
        self._conversation = Conversation(
            settings, parts=self._parts, handover=self._handover, incarnation=incarnation
        )
        self._parts.desk.on_wait = self._conversation.tell_demand_soon
        self._callers = self._server(self._front.handle, "callers", connections=MAX_CONNECTIONS)
        self._readiness = self._server(self._answer_readiness, "readiness")
        sources = StatusSources(
            describe=self.describe,
            metrics=self._parts.metrics,
            burn=self._parts.burn,
            traces=Traces(),
            published=self._handover.published,
        )
        self._status = StatusServer(sources, limits=ServerLimits())
        self._is_leaving = False
        self._started_ms = 0.0

    async def start(self) -> None:
        """Listen, and begin to talk to the other processes."""
        self._started_ms = monotonic_ms()
        await self._conversation.start()
        await self._callers.start(self._settings.callers)
        await self._readiness.start(self._settings.readiness)
        if self._settings.status is not None:
            await self._status.start(self._settings.status)
        self._tasks.spawn(self._tick_forever())

    async def drain(self) -> None:
        """Stop as planned: let the balancer turn away, then finish what is under way."""
        own = self._dispatcher.load.own(monotonic_ms())
        log(Event.DRAIN_STARTED, requests=sum(work.runs for work in own.values()))
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
        self._parts.desk.close()
        self._tasks.close()
        self._parts.endpoints.close()
        self._conversation.close()
        for server in (self._callers, self._readiness, self._status):
            await server.close()

    def settings_changed(self, settings: RelaySettings) -> None:
        """Take what may change while the process runs: the seeds."""
        self._conversation.set_seeds(settings.seeds)

    @property
    def callers_at(self) -> tuple[str, int]:
        """Host and port that callers reach."""
        return self._callers.listens_at

    def granted(self) -> dict[str, float]:
        """Return what this entry granted of the quotas since its start, by organisation."""
        return self._parts.usage.granted()

    def count_entries(self) -> int:
        """Return how many entries there are, with this one."""
        return self._conversation.count_entries()

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        is_settled = monotonic_ms() - self._started_ms >= SETTLE_MS
        has_table = self._dispatcher.table is not None
        return is_settled and has_table and self.registry.is_listed and not self._is_leaving

    def describe(self) -> dict[str, object]:
        """Return the state for operators."""
        table = self._dispatcher.table
        return {
            "vm": self._settings.vm,
            "ready": self.is_ready,
            "table": None if table is None else table.version,
            "announced": self._dispatcher.announced,
            "endpoints": [endpoint.endpoint_id for endpoint in self._dispatcher.directory.all()],
            "members": self._conversation.describe(),
            "waiting": self._dispatcher.waiting_count(),
        }

    async def _tick_forever(self) -> None:
        while True:
            now_ms = monotonic_ms()
            self.registry.advance(now_ms)
            self._conversation.tell(now_ms)
            await asyncio.sleep(TICK_MS / 1000)

    def _put_in_force(self, table: RoutingTable, document: bytes) -> None:
        self._handover.hold(document)
        if self._settings.cuts_withdrawn:
            cut = self._front.cut_withdrawn(table)
            if cut:
                log(Event.STREAM_CUT, requests=cut, table=table.version)
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

    def _server(self, handler: Handler, name: str, **limits: int) -> HttpServer:
        refuse, bounds = self._front.refuse_unread, ServerLimits(**limits)
        return HttpServer(handler, refuse=refuse, limits=bounds, name=name)

    async def _answer_readiness(self, request: Request, responder: Responder) -> None:
        status = 200 if self.is_ready else 503
        responder.whole(status, [], json.dumps({"ready": self.is_ready}).encode())
