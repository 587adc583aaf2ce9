"""Decisions of the agent of one engine: admission, batching, pins, loads and evictions.

The agent is the only process that sends orders to its engine, and its view of the engine is
current. The safety rules are therefore enforced here: an entry with an outdated view of the
endpoint can only make a worse choice, not break a rule.
"""

from collections import Counter
from dataclasses import dataclass
from functools import singledispatchmethod

from skylarkrack._errors import Code, Outcome
from skylarkrack.core._actions import (
    BroadcastCleared,
    BroadcastSuspects,
    OrderLoad,
    OrderUnload,
    RefuseRun,
    RequestLoadPermit,
    StartRun,
    StopRun,
)
from skylarkrack.core._catalogue import ServedName
from skylarkrack.core._engine_events import (
    AgentTicked,
    DrainStarted,
    EngineLost,
    EngineReported,
    LinkClosed,
    LoadPermitAnswered,
    OrderEnded,
    OrderTimedOut,
    RunEnded,
    RunLost,
    RunOffered,
)
from skylarkrack.core._fair_queue import FairQueue, QueuedRun
from skylarkrack.core._residency import (
    MAX_LATE_ARRIVAL_MS,
    MAX_LOAD_FAILURES,
    Order,
    ResidencyTable,
)
from skylarkrack.messages import Cancel, RunRequest

MAX_QUEUED_PER_CONCURRENT_RUN = 4
"""Bound on the queue, in requests for each request that the engine can run at once.

Further requests are refused with `Code.QUEUE_FULL`.
"""

SUSPECT_WAIT_MS = 300
"""How long a suspect waits for the engine to become idle while other requests are still started.

After that, if the suspect's adapter is resident, no other request is started before it.
"""

RUN_ESTIMATE_MS = 1000
"""Assumed duration of one run, from which `retry_after_ms` of a refusal is computed."""

LOAD_FAILURE_BACKOFF_MS = 5_000
"""How long the failed loads of an adapter count, from the last of them.

While there are `MAX_LOAD_FAILURES` of them, the adapter is not loaded again, and requests for it
are refused with `Code.LOAD_FAILED`.
"""


@dataclass(slots=True, kw_only=True)
class _Running:
    """A run at the engine; *lost_ms* is when it was given up without a confirmed end."""

    run: RunRequest
    served: str
    link: object
    lost_ms: float | None = None


class EngineCore:
    """State and decisions of one engine's agent.

    `handle` takes events and returns actions. Times are monotonic milliseconds.
    """

    __slots__ = (
        "_batch_size",
        "_draining",
        "_failures_by_name",
        "_fence",
        "_foreign_name_by_id",
        "_next_permit_ms",
        "_permit_requested",
        "_queue",
        "_reported_ms",
        "_running_by_id",
        "_table",
        "_unconfirmed_since_ms",
    )

    def __init__(self) -> None:
        self._table: ResidencyTable | None = None
        self._batch_size = 0
        self._fence = 0
        self._draining = False
        self._queue = FairQueue()
        self._running_by_id: dict[str, _Running] = {}
        self._foreign_name_by_id: dict[str, str] = {}
        self._failures_by_name: dict[str, tuple[int, float]] = {}
        self._permit_requested = False
        self._next_permit_ms = 0.0
        self._reported_ms = float("-inf")
        self._unconfirmed_since_ms: float | None = None

    # Queries

    @property
    def is_ready(self) -> bool:
        """Whether the engine is up as far as is known, and new requests are admitted."""
        return self._is_confirmed and not self._draining

    @property
    def is_idle(self) -> bool:
        """Whether no request is running or waiting."""
        return not self._running_by_id and not len(self._queue)

    @property
    def running(self) -> int:
        """Number of runs at the engine, including those whose end is not confirmed."""
        return len(self._running_by_id)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def capacity(self) -> int:
        """Number of requests that the engine can run at once."""
        return self._batch_size

    @property
    def incarnation(self) -> str | None:
        """Incarnation of the engine, or None while it is down."""
        return self._table.incarnation if self._table else None

    def resident_names(self) -> list[str]:
        """Return the names of the adapter versions that are resident or being loaded."""
        return self._table.available_names() if self._table else []

    def pins(self, served: str) -> int:
        """Return the number of runs that use the adapter version *served*."""
        return self._table.pins(served) if self._table else 0

    @property
    def _is_confirmed(self) -> bool:
        """Whether the engine is up, and no run was lost since its last report was requested.

        After a lost run the engine may have restarted without its adapters. It then gets no run,
        which would fail only after the engine has run it, and no order, whose refusal would count
        as a failed load.
        """
        return self._table is not None and self._unconfirmed_since_ms is None

    # Commands

    @singledispatchmethod
    def handle(self, event: object, now_ms: float) -> list:
        """Apply *event* at *now_ms* and return the resulting actions, in order.

        Raises `TypeError` if *event* is not an engine event.
        """
        raise TypeError(f"not an engine event: {type(event).__name__}")

    @handle.register
    def _(self, event: EngineReported, now_ms: float) -> list:
        if event.asked_ms < self._reported_ms:
            # Reports can overtake each other; an older one may name an incarnation that is gone.
            return []
        self._reported_ms = event.asked_ms
        if self._unconfirmed_since_ms is not None and event.asked_ms >= self._unconfirmed_since_ms:
            self._unconfirmed_since_ms = None
        actions = []
        if self._table is None or self._table.incarnation != event.incarnation:
            actions += self._end_incarnation()
            self._table = ResidencyTable(incarnation=event.incarnation, slots=event.slots)
        self._batch_size = event.batch
        self._fence = max(self._fence, event.fence)
        self._table.reconcile(
            event.resident, busy=event.busy, asked_ms=event.asked_ms, now_ms=now_ms
        )
        self._end_lost_runs(event)
        self._pin_foreign_runs(event.running, now_ms)
        return actions + self._advance(now_ms)

    @handle.register
    def _(self, event: EngineLost, now_ms: float) -> list:
        actions = self._end_incarnation()
        self._table = None
        self._unconfirmed_since_ms = now_ms
        return actions

    @handle.register
    def _(self, event: RunOffered, now_ms: float) -> list:
        refusal = self._refusal(event.run)
        if refusal is not None:
            return [refusal]
        expires_ms = now_ms + event.run.patience_ms
        self._queue.push(
            QueuedRun(run=event.run, link=event.link, offered_ms=now_ms, expires_ms=expires_ms)
        )
        return self._advance(now_ms)

    @handle.register
    def _(self, event: Cancel, now_ms: float) -> list:
        waiting = self._queue.find(event.request_id)
        if waiting is not None:
            self._queue.remove(waiting)
            return [RefuseRun(request_id=event.request_id, code=Code.CANCELLED)]
        if event.request_id in self._running_by_id:
            return [StopRun(request_id=event.request_id)]
        return []

    @handle.register
    def _(self, event: LinkClosed, now_ms: float) -> list:
        for waiting in [w for w in self._queue if w.link is event.link]:
            self._queue.remove(waiting)
        return [
            StopRun(request_id=request_id)
            for request_id, running in self._running_by_id.items()
            if running.link is event.link
        ]

    @handle.register
    def _(self, event: RunEnded, now_ms: float) -> list:
        running = self._running_by_id.pop(event.request_id, None)
        if running is None:
            return []
        if self._table is not None:
            self._table.unpin(running.served)
        actions = self._advance(now_ms)
        if running.run.suspect:
            actions.append(BroadcastCleared(fingerprints=(running.run.fingerprint,)))
        return actions

    @handle.register
    def _(self, event: RunLost, now_ms: float) -> list:
        running = self._running_by_id.get(event.request_id)
        if running is None or running.lost_ms is not None or self._table is None:
            return []
        running.lost_ms = now_ms
        self._unconfirmed_since_ms = now_ms
        if not event.may_have_crashed:
            return []
        # Broadcast before the run's failure is reported: the entry offers the request to another
        # endpoint as soon as it receives the failure.
        return [_broadcast_suspects(self._table.incarnation, [running], is_confirmed=False)]

    @handle.register
    def _(self, event: OrderEnded, now_ms: float) -> list:
        if self._table is None:
            return []
        order = self._table.finish_order(event.number, done=event.done, now_ms=now_ms)
        if order is None:
            return []
        if order.is_load:
            self._record_load_result(order.served, event.done, now_ms)
        return self._advance(now_ms)

    @handle.register
    def _(self, event: OrderTimedOut, now_ms: float) -> list:
        if self._table is not None:
            self._table.mark_uncertain(event.number, now_ms=now_ms)
        return self._advance(now_ms)

    @handle.register
    def _(self, event: LoadPermitAnswered, now_ms: float) -> list:
        self._permit_requested = False
        if not event.granted:
            self._next_permit_ms = now_ms + event.retry_after_ms
            return []
        return self._order_load(now_ms)

    @handle.register
    def _(self, event: DrainStarted, now_ms: float) -> list:
        self._draining = True
        return []

    @handle.register
    def _(self, event: AgentTicked, now_ms: float) -> list:
        return self._refuse_expired(now_ms) + self._advance(now_ms)

    # Admission

    def _refusal(self, run: RunRequest) -> RefuseRun | None:
        if self._draining:
            return _refuse(run, Code.DRAINING)
        if self._table is None:
            return _refuse(run, Code.NO_ENDPOINT)
        if len(self._queue) >= self._batch_size * MAX_QUEUED_PER_CONCURRENT_RUN:
            wait_ms = RUN_ESTIMATE_MS * len(self._queue) // max(1, self._batch_size)
            return _refuse(run, Code.QUEUE_FULL, retry_after_ms=wait_ms)
        return None

    def _refuse_expired(self, now_ms: float) -> list:
        expired = [waiting for waiting in self._queue if waiting.expires_ms <= now_ms]
        for waiting in expired:
            self._queue.remove(waiting)
        return [_refuse(w.run, Code.DEADLINE, retry_after_ms=RUN_ESTIMATE_MS) for w in expired]

    # Progress

    def _advance(self, now_ms: float) -> list:
        """Refuse requests whose load is blocked, start those that may run, order the next load."""
        if self._table is None:
            return []
        actions = self._refuse_unloadable(now_ms)
        if not self._is_confirmed:
            return actions
        while len(self._running_by_id) < self._batch_size:
            waiting = self._queue.pop_first(lambda candidate: self._may_start(candidate, now_ms))
            if waiting is None:
                break
            actions.append(self._start(waiting, now_ms))
        return actions + self._next_order(now_ms)

    def _may_start(self, waiting: QueuedRun, now_ms: float) -> bool:
        if waiting.expires_ms <= now_ms or not self._table.is_resident(_served_name(waiting.run)):
            return False
        if waiting.run.suspect:
            return not self._running_by_id
        if any(running.run.suspect for running in self._running_by_id.values()):
            return False
        return not self._is_held_for_suspect(now_ms)

    def _is_held_for_suspect(self, now_ms: float) -> bool:
        """Return whether new runs are held back until a waiting suspect can run alone."""
        return any(
            waiting.run.suspect
            and now_ms >= waiting.offered_ms + SUSPECT_WAIT_MS
            and self._table.is_resident(_served_name(waiting.run))
            for waiting in self._queue
        )

    def _start(self, waiting: QueuedRun, now_ms: float) -> StartRun:
        served = _served_name(waiting.run)
        self._table.pin(served, now_ms=now_ms)
        running = _Running(run=waiting.run, served=served, link=waiting.link)
        self._running_by_id[waiting.run.request_id] = running
        return StartRun(
            run=waiting.run,
            served=served,
            incarnation=self._table.incarnation,
            waited_ms=now_ms - waiting.offered_ms,
        )

    def _next_order(self, now_ms: float) -> list:
        """Order an eviction or request a load permit for the first request that needs a load."""
        if self._table.order is not None or self._permit_requested:
            return []
        if self._next_load(now_ms) is None:
            return []
        if not self._table.has_free_slot():
            return self._order_unload()
        if now_ms < self._next_permit_ms:
            return []
        self._permit_requested = True
        return [RequestLoadPermit()]

    def _next_load(self, now_ms: float) -> str | None:
        names = (_served_name(waiting.run) for waiting in self._queue)
        return next((name for name in names if self._needs_load(name, now_ms)), None)

    def _needs_load(self, served: str, now_ms: float) -> bool:
        return not self._table.occupies_slot(served) and not self._is_load_blocked(served, now_ms)

    def _order_unload(self) -> list:
        wanted = frozenset(_served_name(waiting.run) for waiting in self._queue)
        victim = self._table.victim(wanted)
        if victim is None:
            return []
        order = self._begin_order(victim, is_load=False)
        return [OrderUnload(served=victim, order=order.number)]

    def _order_load(self, now_ms: float) -> list:
        """Order a load after a permit was granted.

        The load is chosen anew, since the engine and the queue may have changed in the meantime.
        """
        if not self._is_confirmed or self._table.order is not None:
            return []
        if not self._table.has_free_slot():
            return []
        served = self._next_load(now_ms)
        if served is None:
            return []
        order = self._begin_order(served, is_load=True)
        return [OrderLoad(served=served, order=order.number)]

    def _begin_order(self, served: str, *, is_load: bool) -> Order:
        self._fence += 1
        order = Order(served=served, number=self._fence, is_load=is_load)
        self._table.begin_order(order)
        return order

    # Failed loads

    def _record_load_result(self, served: str, done: bool, now_ms: float) -> None:
        if done:
            self._failures_by_name.pop(served, None)
            return
        count, _ = self._failures_by_name.get(served, (0, 0.0))
        self._failures_by_name[served] = (count + 1, now_ms)

    def _is_load_blocked(self, served: str, now_ms: float) -> bool:
        count, failed_ms = self._failures_by_name.get(served, (0, 0.0))
        if count and now_ms - failed_ms > LOAD_FAILURE_BACKOFF_MS:
            del self._failures_by_name[served]
            return False
        return count >= MAX_LOAD_FAILURES

    def _refuse_unloadable(self, now_ms: float) -> list:
        blocked = [w for w in self._queue if self._is_load_blocked(_served_name(w.run), now_ms)]
        for waiting in blocked:
            self._queue.remove(waiting)
        return [
            _refuse(waiting.run, Code.LOAD_FAILED, retry_after_ms=LOAD_FAILURE_BACKOFF_MS)
            for waiting in blocked
        ]

    # The engine's incarnations

    def _end_incarnation(self) -> list:
        """End all runs of an incarnation that is gone, and report them as crash suspects."""
        if self._table is None:
            return []
        crash_id = self._table.incarnation
        running = list(self._running_by_id.values())
        self._running_by_id.clear()
        self._foreign_name_by_id.clear()
        self._permit_requested = False
        actions: list = [
            RefuseRun(request_id=r.run.request_id, code=Code.ENDPOINT_LOST, outcome=Outcome.UNKNOWN)
            for r in running
        ]
        if running:
            actions.insert(0, _broadcast_suspects(crash_id, running, is_confirmed=True))
        return actions

    def _end_lost_runs(self, event: EngineReported) -> None:
        """End lost runs that the engine does not run and that can no longer reach it.

        Until then a lost run keeps its pin, as the engine may still start it.
        """
        for request_id, running in list(self._running_by_id.items()):
            is_lost = running.lost_ms is not None and request_id not in event.running
            if is_lost and event.asked_ms >= running.lost_ms + MAX_LATE_ARRIVAL_MS:
                self._table.unpin(running.served)
                del self._running_by_id[request_id]

    def _pin_foreign_runs(self, running: dict[str, str], now_ms: float) -> None:
        """Pin the adapters of runs that this agent did not start, and unpin those that ended.

        A restarted agent does not know the runs of its predecessor.
        """
        foreign = {i: name for i, name in running.items() if i not in self._running_by_id}
        before, after = Counter(self._foreign_name_by_id.values()), Counter(foreign.values())
        for name in (after - before).elements():
            if self._table.is_resident(name):
                self._table.pin(name, now_ms=now_ms)
        for name in (before - after).elements():
            self._table.unpin(name)
        self._foreign_name_by_id = foreign


def _served_name(run: RunRequest) -> str:
    return str(ServedName(adapter=run.adapter, version=run.version))


def _broadcast_suspects(
    crash_id: str, running: list[_Running], *, is_confirmed: bool
) -> BroadcastSuspects:
    return BroadcastSuspects(
        crash_id=crash_id,
        fingerprints=tuple(lost.run.fingerprint for lost in running),
        is_confirmed=is_confirmed,
        was_alone=all(lost.run.suspect for lost in running),
    )


def _refuse(run: RunRequest, code: Code, *, retry_after_ms: int | None = None) -> RefuseRun:
    return RefuseRun(request_id=run.request_id, code=code, retry_after_ms=retry_after_ms)
