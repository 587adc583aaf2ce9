"""The agent beside one engine; no other process sends orders to that engine."""

import asyncio
import math

from skylarkrack._burn import BurnMeter
from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import LinkLost
from skylarkrack._events import Event, log
from skylarkrack._metrics import Metrics
from skylarkrack._status import StatusServer, StatusSources
from skylarkrack._tasks import Tasks, repeat
from skylarkrack._traces import Traces
from skylarkrack.core.relay import (
    AGENT,
    AdapterId,
    AdapterScheduler,
    EngineCapacity,
    EngineOrder,
    EngineReport,
    EntryIncarnations,
    OrderPace,
    ProcessContact,
    WaitingRequests,
    heartbeat_interval_ms,
)
from skylarkrack.messages import (
    AdapterDemand,
    AdmissionRequests,
    BegunStreams,
    EndpointRateLimits,
    EngineHeartbeat,
    EngineSnapshot,
    EntryStopped,
)
from skylarkrack.relay._admission_agent import POLL_MS as ADMISSION_POLL_MS
from skylarkrack.relay._admission_agent import AdmissionAgent
from skylarkrack.relay._peers import ENTRY, Peers
from skylarkrack.relay._rate_limit_exchange import log_change, reports_from
from skylarkrack.relay._registry import EnginePort
from skylarkrack.relay._settings import RelaySettings
from skylarkrack.relay._stream_origin_keeper import StreamOriginKeeper
from skylarkrack.web import ServerLimits

IDLE_POLL_MS = 100.0
"""Time between reports read from the engine while no order or load is in progress."""

BUSY_POLL_MS = 12.0
"""Time between reports while an order is carried out; an adapter in memory loads in 25 ms."""

FULL_SNAPSHOT_MS = 1200.0
"""Time between snapshots without a change; a lost snapshot is repaired within this time.

Heartbeats are sent in between.
"""

MEMBERSHIP_INTERVAL_MS = 100.0
"""Time between checks for silent members and unknown seeds to probe."""


class EngineAgent:
    """Reads the engine's reports, sends it load and unload orders, and reports to the entries.

    *fence* is the fencing token of the first orders; it is raised when the engine refuses it.
    """

    __slots__ = (
        "_admission",
        "_advertised",
        "_engine",
        "_entry_incarnations",
        "_full_sent_ms",
        "_incarnation",
        "_metrics",
        "_pace",
        "_peers",
        "_poll_now",
        "_registration",
        "_scheduler",
        "_sent_ms",
        "_sequence",
        "_settings",
        "_snapshot_sequence",
        "_status_server",
        "_stream_origins",
        "_tasks",
    )

    def __init__(
        self,
        settings: RelaySettings,
        *,
        engine: EnginePort,
        incarnation: str,
        fence: int,
    ) -> None:
        self._settings = settings
        self._engine = engine
        self._incarnation = incarnation
        self._metrics = Metrics()
        sources = StatusSources(
            describe=self.describe, metrics=self._metrics, burn=BurnMeter(), traces=Traces()
        )
        self._status_server = StatusServer(sources, limits=ServerLimits())
        self._tasks = Tasks()
        self._scheduler = AdapterScheduler(fence=fence)
        self._entry_incarnations = EntryIncarnations()
        self._pace = OrderPace()
        self._peers = Peers(settings, AGENT, on_message=self._on_message, on_join=self._on_join)
        self._stream_origins = StreamOriginKeeper(self._peers, metrics=self._metrics)
        self._registration: tuple[int, str] | None = None
        self._sequence = 0
        self._advertised: tuple | None = None
        self._full_sent_ms = 0.0
        self._snapshot_sequence = 0
        self._sent_ms = 0.0
        self._poll_now = asyncio.Event()
        self._admission = AdmissionAgent(
            settings,
            peers=self._peers,
            metrics=self._metrics,
            incarnation=incarnation,
            on_waiting=self._poll_now.set,
        )

    async def start(self) -> None:
        """Open the sockets and start to read reports; raises `OSError` for an address in use."""
        await self._peers.start()
        if self._settings.status is not None:
            await self._status_server.start(self._settings.status)
        self._tasks.spawn(repeat(self._run_engine, name="engine"))
        self._tasks.spawn(repeat(self._maintain_membership, name="membership"))

    async def drain(self) -> None:
        """Do nothing: an agent has no requests that a planned stop could interrupt."""

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        self._tasks.close()
        self._admission.close()
        self._engine.close()
        self._peers.close()
        await self._status_server.close()

    def describe(self) -> dict[str, object]:
        """Return the fields of `/state`."""
        report = self._scheduler.report
        return {
            "vm": self._settings.vm,
            "engine": self._settings.engine,
            "endpoint": None if self._registration is None else self._registration[1],
            "held": [] if report is None else ["/".join(name) for name in report.resident],
            "entries": [contact.vm for contact in self._peers.alive(ENTRY)],
            "stream_origins": self._stream_origins.count(),
            "admission": self._admission.describe(),
        }

    def settings_changed(self, settings: RelaySettings) -> None:
        """Apply changed settings; only the seeds may change while the process runs."""
        self._peers.set_seeds(settings.seeds)

    # Receiving

    def _on_message(self, message: object, now_ms: float) -> None:
        if isinstance(message, AdapterDemand):
            self._receive_demand(message, now_ms)
        elif isinstance(message, EndpointRateLimits):
            self._receive_rate_limits(message, now_ms)
        elif isinstance(message, EntryStopped):
            self._receive_stop(message, now_ms)
        elif isinstance(message, BegunStreams):
            self._stream_origins.receive(message, now_ms)
        elif isinstance(message, AdmissionRequests):
            self._admission.receive(message, now_ms)

    def _on_join(self, contact: ProcessContact) -> None:
        """Send a new entry a snapshot at once."""
        if contact.role == ENTRY:
            self._advertised = None
            self._poll_now.set()

    def _receive_demand(self, message: AdapterDemand, now_ms: float) -> None:
        if not self._entry_incarnations.accepts(message.vm, message.incarnation):
            return
        report = self._scheduler.report
        if report is None or report.started_ms != message.started_ms:
            return
        # Agents do not read the configuration: the entries send the engine's id and capacity.
        self._registration = (message.started_ms, message.endpoint_id)
        capacity = EngineCapacity(
            adapter_slots=message.places,
            memory_mb=message.memory_mb,
            weights_mb_by_model={row[0]: row[1] for row in message.models},
        )
        self._scheduler.set_capacity(capacity)
        self._scheduler.update_demand(
            message.vm,
            wanted={
                (row[0], row[1]): WaitingRequests(urgency=row[2], requests=row[3], version=row[4])
                for row in message.wanted
            },
            in_use={(row[0], row[1]): row[2] for row in message.in_use},
            acknowledged_sequence=message.heard if message.heard_of == self._incarnation else 0,
            now_ms=now_ms,
        )
        if message.wanted or self._scheduler.is_retiring():
            self._poll_now.set()

    def _receive_stop(self, message: EntryStopped, now_ms: float) -> None:
        in_use = {(model, adapter): runs for model, adapter, runs in message.in_use}
        if not self._entry_incarnations.stop(message.vm, message.incarnation):
            return
        self._scheduler.entry_stopped(message.vm, in_use, now_ms)
        log(Event.ENTRY_STOPPED, peer=message.vm, in_use=len(in_use))
        self._metrics.count("entries_stopped_total")
        self._poll_now.set()

    def _receive_rate_limits(self, message: EndpointRateLimits, now_ms: float) -> None:
        report = self._scheduler.report
        if report is None:
            return
        key = (self._settings.engine, report.started_ms)
        for told in reports_from(message):
            if told.key == key and self._pace.set_limit(told.limit_per_s, now_ms):
                log_change(key, told.limit_per_s, peer=message.vm)

    # Polling the engine

    async def _run_engine(self) -> None:
        try:
            await self._poll_engine()
        except LinkLost as error:
            self._metrics.count("reports_failed_total")
            log(Event.REPORT_FAILED, engine=self._settings.engine, error=str(error))
        interval_ms = IDLE_POLL_MS
        if self._scheduler.expects_change():
            interval_ms = BUSY_POLL_MS
        elif self._admission.has_waiting():
            interval_ms = ADMISSION_POLL_MS
        try:
            async with asyncio.timeout(interval_ms / 1000):
                await self._poll_now.wait()
        except TimeoutError:
            pass
        self._poll_now.clear()

    async def _poll_engine(self) -> None:
        """Read a report, send changes to the entries, and send the order that is due."""
        report = await self._engine.report()
        now_ms = monotonic_ms()
        known = self._scheduler.report
        if known is not None and known.started_ms != report.started_ms:
            self._pace = OrderPace()
        self._scheduler.apply_report(report, now_ms)
        is_registered = (
            self._registration is not None and self._registration[0] == report.started_ms
        )
        if not math.isinf(report.limit_per_s) and self._pace.set_limit(report.limit_per_s, now_ms):
            log_change((self._settings.engine, report.started_ms), report.limit_per_s, peer="")
        may_order = is_registered and self._pace.is_due(now_ms)
        order = self._scheduler.next_order(now_ms) if may_order else None
        self._advertise(report, now_ms)
        # After the snapshot, so that entries mostly know of an adapter before its grants.
        self._admission.apply_report(report, self._scheduler.usable_adapters(), now_ms)
        self._admission.announce(now_ms)
        if order is not None:
            await self._send_order(order, self._registration[1])

    async def _send_order(self, order: EngineOrder, endpoint_id: str) -> None:
        started_ms = monotonic_ms()
        self._pace.record_order(started_ms)
        result = await self._engine.order(
            order, endpoint_id=endpoint_id, holder=self._settings.vm, fence=self._scheduler.fence
        )
        now_ms = monotonic_ms()
        self._scheduler.apply_result(result, now_ms)
        log(
            Event.ORDER_ANSWERED,
            kind=order.kind.value,
            model=order.model,
            adapter=order.adapter,
            version=order.version,
            expected=order.expected_sequence,
            fence=self._scheduler.fence,
            result=result.value,
            took_ms=round(now_ms - started_ms),
        )
        self._metrics.count("orders_total", f"{order.kind.value}-{result.value}")
        self._metrics.observe_ms("order_ms", now_ms - started_ms)
        # The next report shows the order's effect, and another order may then be due at once.
        self._poll_now.set()

    def _advertise(self, report: EngineReport, now_ms: float) -> None:
        spare_places = self._scheduler.spare_slots(now_ms)
        usable = self._scheduler.usable_adapters()
        content = (report.started_ms, usable, report.loading)
        heartbeat_ms = heartbeat_interval_ms(len(self._peers.alive(ENTRY)))
        if content == self._advertised and now_ms - self._sent_ms < heartbeat_ms:
            return
        self._sent_ms = now_ms
        self._sequence += 1
        if content == self._advertised and now_ms - self._full_sent_ms < FULL_SNAPSHOT_MS:
            self._send_heartbeat(spare_places)
            return
        self._advertised, self._full_sent_ms, self._snapshot_sequence = (
            content,
            now_ms,
            self._sequence,
        )
        message = EngineSnapshot(
            vm=self._settings.vm,
            address=self._settings.peers,
            incarnation=self._incarnation,
            sequence=self._sequence,
            domain=self._settings.domain,
            endpoint=self._settings.engine,
            started_ms=report.started_ms,
            resident=_rows_by_model(usable),
            on_the_way=_rows_by_model(report.loading),
            spare_places=spare_places,
            is_retiring=self._scheduler.is_retiring(),
        )
        self._scheduler.record_broadcast(self._sequence)
        self._peers.broadcast_to_entries(message)

    def _send_heartbeat(self, spare_places: int) -> None:
        message = EngineHeartbeat(
            vm=self._settings.vm,
            address=self._settings.peers,
            incarnation=self._incarnation,
            sequence=self._sequence,
            domain=self._settings.domain,
            endpoint=self._settings.engine,
            base=self._snapshot_sequence,
            spare_places=spare_places,
        )
        self._peers.broadcast_to_entries(message)

    async def _maintain_membership(self) -> None:
        self._peers.probe_silent(monotonic_ms())
        self._stream_origins.forget_old(monotonic_ms())
        await asyncio.sleep(MEMBERSHIP_INTERVAL_MS / 1000)


def _rows_by_model(version_by_name: dict[AdapterId, int]) -> dict[str, list]:
    """Return rows of [adapter, version] by model."""
    rows: dict[str, list] = {}
    for (model, adapter), version in version_by_name.items():
        rows.setdefault(model, []).append([adapter, version])
    return rows
