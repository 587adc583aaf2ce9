"""The relaying entry: a process of the fleet that accepts callers' requests."""

import asyncio
import json

from skylarkrack._burn import BurnMeter
from skylarkrack._clock import monotonic_ms
from skylarkrack._events import Event, log
from skylarkrack._metrics import Metrics
from skylarkrack._status import StatusServer, StatusSources
from skylarkrack._tasks import Tasks, repeat
from skylarkrack._traces import Traces
from skylarkrack.core.relay import (
    CrashTracker,
    Dispatcher,
    GracePeriod,
    QuotaLimiter,
    RoutingTable,
)
from skylarkrack.relay._codec import RelayCodec
from skylarkrack.relay._config_sync import ConfigSync
from skylarkrack.relay._context import EntryContext
from skylarkrack.relay._endpoint_clients import EndpointClients, max_idle_of
from skylarkrack.relay._gossip import RETRY_SLACK_SHARE, TICK_MS, Gossip
from skylarkrack.relay._health_prober import HealthProber
from skylarkrack.relay._placement_queue import PlacementQueue
from skylarkrack.relay._registry import RegistryHistory, StepExchange
from skylarkrack.relay._registry_view import RegistryView
from skylarkrack.relay._request_handler import RequestHandler
from skylarkrack.relay._route_explainer import RouteExplainer
from skylarkrack.relay._settings import RelaySettings
from skylarkrack.relay._stream_origin_lookup import StreamOriginLookup
from skylarkrack.web import BufferBudget, Handler, HttpServer, Request, Responder, ServerLimits

READINESS_DELAY_MS = 400.0
"""Time after its start in which a new entry receives its peers' state and is not ready."""

DRAIN_DELAY_MS = 2300.0
"""Time after the signal of a planned stop in which the entry still accepts requests.

The load balancer stops sending requests after two failed readiness checks, a second apart.
"""

SHUTDOWN_RESERVE_MS = 500.0
"""Part of the grace period that is reserved for the end of the process."""

LAST_ANSWERS_MS = 200.0
"""Part of the reserve in which the answers to interrupted requests are written."""

LATE_CHECK_MS = 100.0
"""Time between checks, during a planned stop, for waiting requests that can't end in time."""

BUFFER_SHARE = 0.25
"""Part of the VM's memory that the bodies of requests and answers may take together."""

MAX_CONNECTIONS = 3000
"""Bounds the connections of callers; further ones are refused.

It is below the file descriptors that a VM allows, with room for connections to endpoints.
"""


LOGGED_LAG_MS = 100.0
LAG_LOG_INTERVAL_MS = 1000.0
"""Delay of the event loop that is logged, and the time between two lines about it."""


class RelayEntry:
    """An entry: its servers, its shared components and its exchange of state with other processes.

    *registry* takes the registrations and configurations that a `Watcher` reads.
    """

    __slots__ = (
        "_buffer_budget",
        "_caller_server",
        "_config_sync",
        "_context",
        "_dispatcher",
        "_gossip",
        "_health_prober",
        "_is_draining",
        "_lag_checked_ms",
        "_longest_lag_ms",
        "_readiness_server",
        "_request_handler",
        "_route_explainer",
        "_settings",
        "_started_ms",
        "_status_server",
        "_tasks",
        "registry",
    )

    def __init__(self, settings: RelaySettings, *, codec: RelayCodec, incarnation: str) -> None:
        self._settings = settings
        self._tasks = Tasks()
        policy, metrics = settings.policy, Metrics()
        self._buffer_budget = BufferBudget(BUFFER_SHARE * settings.memory_bytes)
        self._buffer_budget.on_give_up = self._record_given_up
        self._dispatcher = Dispatcher(
            domain=settings.domain, policy=policy, cold_margin=settings.cold_margin
        )
        self._context = EntryContext(
            placement_queue=PlacementQueue(self._dispatcher),
            codec=codec,
            clients=EndpointClients(self._buffer_budget),
            metrics=metrics,
            burn=BurnMeter(),
            quota_limiter=QuotaLimiter(is_shared=policy.is_quota_shared),
            crash_tracker=CrashTracker(),
            grace=GracePeriod(),
            origin_lookup=StreamOriginLookup(tasks=self._tasks, metrics=metrics),
            tasks=self._tasks,
            retry_budget_by_service={},
            max_retries=settings.retry_slack * RETRY_SLACK_SHARE,
        )
        self._request_handler = RequestHandler(self._context)
        self.registry = RegistryView(self._context, apply_table=self._apply_table)
        self._config_sync = ConfigSync(
            self._dispatcher, tasks=self._tasks, apply=self.registry.table_published
        )
        self._gossip = Gossip(
            settings, context=self._context, config_sync=self._config_sync, incarnation=incarnation
        )
        self._health_prober = HealthProber(self._context)
        self._config_sync.request_read = self._gossip.feed.request_read
        self.registry.on_evacuation_ended = self._dispatcher.cold_again
        self._gossip.evacuations.on_changes = self.registry.evacuations_changed
        self._context.placement_queue.on_wait = self._gossip.announce_waiting
        self._context.placement_queue.on_leaving = self._gossip.announce_leaving
        self._caller_server = self._make_server(
            self._request_handler.handle, "callers", connections=MAX_CONNECTIONS
        )
        self._readiness_server = self._make_server(self._handle_readiness, "readiness")
        self._route_explainer = RouteExplainer(self._context, describe=self._describe_self)
        sources = StatusSources(
            describe=self.describe,
            metrics=self._context.metrics,
            burn=self._context.burn,
            traces=Traces(),
            published=self._config_sync.export,
            explain_route=self._route_explainer.explain,
        )
        self._status_server = StatusServer(sources, limits=ServerLimits())
        self._is_draining = False
        self._started_ms = 0.0
        self._lag_checked_ms = float("-inf")
        self._longest_lag_ms = 0.0

    async def start(self) -> None:
        """Start all servers and the exchange of state; raises `OSError` for an address in use."""
        self._started_ms = monotonic_ms()
        await self._gossip.start()
        await self._caller_server.start(self._settings.callers)
        await self._readiness_server.start(self._settings.readiness)
        if self._settings.status is not None:
            await self._status_server.start(self._settings.status)
        self._tasks.spawn(repeat(self._tick, name="ticks"))

    async def drain(self) -> None:
        """Carry out a planned stop.

        Reports unready, waits until the load balancer sends nothing more, and then lets running
        requests finish within the grace period. Requests that could not finish in it are refused;
        those that didn't get an answer that promises nothing.
        """
        own = self._dispatcher.load.own(monotonic_ms())
        log(Event.DRAIN_STARTED, requests=sum(load.runs for load in own.values()))
        self.announce_close()
        drain_ms = self._settings.grace_ms - SHUTDOWN_RESERVE_MS
        self._context.grace.begin(monotonic_ms() + drain_ms)
        self._tasks.spawn(repeat(self._refuse_late, name="late requests"))
        await asyncio.sleep(DRAIN_DELAY_MS / 1000)
        if not await self._drain_callers(drain_ms - DRAIN_DELAY_MS):
            interrupted = self._request_handler.interrupt_all()
            log(
                Event.STREAM_CUT,
                reason="the grace of a planned stop is over",
                requests=interrupted,
            )
            await self._drain_callers(LAST_ANSWERS_MS)

    async def _drain_callers(self, timeout_ms: float) -> bool:
        """Wait until all callers have their answers; return whether that was in time."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._caller_server.drain()
        except TimeoutError:
            return False
        return True

    async def _refuse_late(self) -> None:
        self._request_handler.refuse_late()
        await asyncio.sleep(LATE_CHECK_MS / 1000)

    def announce_close(self) -> None:
        """Report unready, and close each caller's connection after its next response."""
        self._is_draining = True
        self._caller_server.announce_close()

    async def close(self) -> None:
        """Stop all tasks and close all servers and connections."""
        self._context.placement_queue.close()
        self._tasks.close()
        self._context.clients.close()
        for server in (self._caller_server, self._readiness_server, self._status_server):
            await server.close()
        if self._is_draining:
            await self._gossip.announce_stop()
        self._gossip.close()

    def set_registry_history(self, history: RegistryHistory) -> None:
        """Read what the registry remembers from *history*; called before the start."""
        self._gossip.set_registry_history(history)

    def settings_changed(self, settings: RelaySettings) -> None:
        """Apply changed settings; only the seeds may change while the process runs."""
        self._gossip.set_seeds(settings.seeds)

    @property
    def callers_address(self) -> tuple[str, int]:
        """Host and port on which the entry accepts callers."""
        return self._caller_server.bound_address

    def granted(self) -> dict[str, float]:
        """Return the tokens or requests granted since the start, by organisation."""
        return self._context.quota_limiter.granted()

    def count_entries(self) -> int:
        """Return the number of live entries, including this one."""
        return self._gossip.count_entries()

    @property
    def store_feed(self) -> StepExchange:
        """The exchange of what was read from the store with the entries of the failure domain."""
        return self._gossip.feed

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests here.

        True once peers' state had time to arrive, a configuration is in force and the endpoints
        are known, until a planned stop begins.
        """
        is_settled = monotonic_ms() - self._started_ms >= READINESS_DELAY_MS
        has_table = self._dispatcher.table is not None
        return is_settled and has_table and self.registry.has_listing and not self._is_draining

    def describe(self) -> dict[str, object]:
        """Return the fields of `/state`."""
        table = self._dispatcher.table
        return {
            "vm": self._settings.vm,
            "ready": self.is_ready,
            "table": None if table is None else table.version,
            "announced": self._dispatcher.version_sum,
            "endpoints": [endpoint.endpoint_id for endpoint in self._dispatcher.directory.all()],
            "evacuated": sorted(self._dispatcher.evacuations.active_domains()),
            "members": self._gossip.describe(),
            "waiting": self._dispatcher.waiting_count(),
            "slowness": {
                key[0]: round(slowness, 2)
                for key, slowness in self._dispatcher.speeds.unusual(monotonic_ms()).items()
            },
        }

    def _describe_self(self) -> dict[str, object]:
        table = self._dispatcher.table
        return {
            "vm": self._settings.vm,
            "ready": self.is_ready,
            "table": None if table is None else table.version,
            "listed": self.registry.has_listing,
        }

    async def _tick(self) -> None:
        now_ms = monotonic_ms()
        self.registry.advance(now_ms)
        self._gossip.send_due(now_ms)
        self._health_prober.send_due(now_ms)
        self._share_connections()
        slept_from_ms = monotonic_ms()
        await asyncio.sleep(TICK_MS / 1000)
        now_ms = monotonic_ms()
        self._record_lag(now_ms - slept_from_ms - TICK_MS, now_ms)

    def _record_lag(self, lag_ms: float, now_ms: float) -> None:
        self._context.metrics.observe_ms("event_loop_lag_ms", lag_ms)
        self._longest_lag_ms = max(self._longest_lag_ms, lag_ms)
        if now_ms - self._lag_checked_ms < LAG_LOG_INTERVAL_MS:
            return
        if self._longest_lag_ms >= LOGGED_LAG_MS:
            log(Event.EVENT_LOOP_BEHIND, longest_ms=round(self._longest_lag_ms))
        self._longest_lag_ms, self._lag_checked_ms = 0.0, now_ms

    def _share_connections(self) -> None:
        """Divide the connections that endpoints accept among the live entries."""
        table, entries = self._dispatcher.table, self._gossip.count_entries()
        if table is not None:
            self._context.clients.set_max_idle(
                {
                    name: max_idle_of(service.max_connections, entries)
                    for name, service in table.service_by_name.items()
                }
            )

    def _apply_table(self, table: RoutingTable, document: bytes) -> None:
        self._config_sync.store(document)
        organisations = (table.organisation_by_digest or {}).values()
        self._context.quota_limiter.set_quotas(
            {organisation.name: organisation.quota for organisation in organisations},
            monotonic_ms(),
        )
        if self._settings.cancels_on_revocation:
            cancelled = self._request_handler.cancel_revoked(table)
            if cancelled:
                log(Event.STREAM_CUT, requests=cancelled, table=table.version)
        limits = ServerLimits(
            head_bytes=table.limits.head_bytes,
            body_bytes=table.limits.body_bytes,
            read_timeout_ms=table.limits.head_timeout_ms,
            idle_timeout_ms=table.limits.idle_timeout_ms,
            connections=MAX_CONNECTIONS,
        )
        self._caller_server.set_limits(limits)
        self._route_explainer.limits = limits

    def _make_server(self, handler: Handler, name: str, **limits: int) -> HttpServer:
        refuse, server_limits = self._request_handler.refuse_unreadable, ServerLimits(**limits)
        return HttpServer(
            handler, refuse=refuse, limits=server_limits, name=name, budget=self._buffer_budget
        )

    def _record_given_up(self, size: int) -> None:
        budget = self._buffer_budget
        log(
            Event.MESSAGE_GIVEN_UP,
            bytes=size,
            total=budget.total_bytes,
            limit=round(budget.limit_bytes),
        )
        self._context.metrics.count("messages_given_up_total")

    async def _handle_readiness(self, request: Request, responder: Responder) -> None:
        status = 200 if self.is_ready else 503
        responder.respond(status, [], json.dumps({"ready": self.is_ready}).encode())
