"""The driver of a model engine: the shell around `EngineCore`."""

import asyncio
import itertools
from functools import singledispatchmethod

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import Code, LinkLost, Outcome
from skylarkrack._events import Event, log
from skylarkrack._links import Links
from skylarkrack._metrics import Metrics
from skylarkrack._tasks import Tasks
from skylarkrack.agent._usage import StreamUsageFilter, Usage, usage_from_body
from skylarkrack.core import (
    AgentTicked,
    BroadcastCleared,
    BroadcastSuspects,
    Catalogue,
    DrainStarted,
    EngineCore,
    EngineLost,
    LinkClosed,
    LoadPermitAnswered,
    OrderEnded,
    OrderLoad,
    OrderTimedOut,
    OrderUnload,
    RefuseRun,
    RequestLoadPermit,
    RunEnded,
    RunLost,
    RunOffered,
    StartRun,
    StopRun,
)
from skylarkrack.messages import (
    Cancel,
    EndpointReport,
    LoadPermit,
    LoadPermitRequest,
    RequestFailed,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    RunRequest,
    Suspects,
    SuspectsCleared,
)
from skylarkrack.ports import EngineAnswer, EnginePort, OrderAnswer
from skylarkrack.wire import Link

TICK_INTERVAL_MS = 20
"""Interval at which the core handles time-outs and a changed report is broadcast."""

STATUS_INTERVAL_MS = 250
"""Interval at which the engine's status is read."""

MAX_FAILED_STATUS_READS = 3
"""Consecutive failed reads of the status after which the engine counts as lost.

After a failed attempt to connect it counts as lost at once.
"""

TOKEN_TIMEOUT_MS = 15_000
"""Bound on the wait for the next bytes of an answer; beyond it the run counts as lost."""

CANCEL_INTERVAL_MS = 200
"""Interval at which a cancellation is repeated until the run has ended."""

PERMIT_TIMEOUT_MS = 2000
"""Bound on the wait for a load permit; beyond it the request counts as not granted."""

PERMIT_RETRY_MS = 200
"""Delay before the next request for a permit if no entry answered or none is linked."""


class _WrongAdapter(Exception):
    """Raised if an answer is not from the requested adapter version and engine incarnation."""


class EngineDriver:
    """Runs requests on one engine and executes the actions of its `EngineCore`."""

    __slots__ = (
        "_core",
        "_engine",
        "_failed_reads",
        "_is_dirty",
        "_link_by_id",
        "_links",
        "_metrics",
        "_model",
        "_permit_by_sequence",
        "_sequence",
        "_task_by_id",
        "_tasks",
        "_vm",
    )

    def __init__(self, *, vm: str, engine: EnginePort, links: Links, metrics: Metrics) -> None:
        self._vm = vm
        self._engine = engine
        self._links = links
        self._metrics = metrics
        self._core = EngineCore()
        self._model = ""
        self._failed_reads = 0
        self._is_dirty = True
        self._link_by_id: dict[str, Link] = {}
        self._task_by_id: dict[str, asyncio.Task] = {}
        self._tasks = Tasks()
        self._permit_by_sequence: dict[int, asyncio.Future] = {}
        self._sequence = itertools.count(1)

    async def start(self) -> None:
        """Start reading the engine's status and ticking the core."""
        self._tasks.spawn(self._watch())
        self._tasks.spawn(self._tick())

    async def close(self) -> None:
        """Cancel all work and close the connections to the engine."""
        self._tasks.close()
        self._engine.close()

    async def drain(self) -> None:
        """Refuse new requests and wait until none is queued or running."""
        self._handle_event(DrainStarted())
        while not self._core.is_idle:  # noqa: ASYNC110 - the core has no event to wait for
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)

    def update(self, catalogue: Catalogue) -> None:
        """Set the model that this engine serves according to the roster."""
        vm = catalogue.vm_by_name.get(self._vm)
        self._model = vm.model or "" if vm else ""
        self._is_dirty = True

    def report(self) -> EndpointReport:
        """Return the current report of the engine, as sent to entries."""
        return EndpointReport(
            model=self._model,
            service="",
            ready=self._core.is_ready,
            running=self._core.running,
            waiting=self._core.waiting,
            capacity=self._core.capacity,
            resident=self._core.resident_names(),
            leaving=False,
        )

    def describe(self) -> dict[str, object]:
        """Return the state shown by `skylarkctl state`, as a JSON document."""
        names = self._core.resident_names()
        return {
            "engine_incarnation": self._core.incarnation,
            "model": self._model,
            "running": self._core.running,
            "waiting": self._core.waiting,
            "capacity": self._core.capacity,
            "resident": {name: {"pins": self._core.pins(name)} for name in names},
        }

    # Messages of entries

    @singledispatchmethod
    def _dispatch_message(self, message: object, link: Link) -> None:
        """Ignore messages that concern only the agent of a service."""

    def handle_message(self, link: Link, message: object) -> None:
        """Process a message of an entry; those for the agent of a service are ignored."""
        self._dispatch_message(message, link)

    @_dispatch_message.register
    def _(self, message: RunRequest, link: Link) -> None:
        self._link_by_id[message.request_id] = link
        self._handle_event(RunOffered(run=message, link=link))

    @_dispatch_message.register
    def _(self, message: Cancel, link: Link) -> None:
        if self._link_by_id.get(message.request_id) is link:
            self._handle_event(message)

    @_dispatch_message.register
    def _(self, message: LoadPermit, link: Link) -> None:
        future = self._permit_by_sequence.pop(message.sequence, None)
        if future is not None and not future.done():
            future.set_result(message)

    def link_down(self, link: Link) -> None:
        """Stop the requests of this link, since their answers can no longer be delivered."""
        self._handle_event(LinkClosed(link=link))

    # Ticks and the engine's status

    async def _tick(self) -> None:
        while True:
            self._handle_event(AgentTicked())
            self._broadcast_report()
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)

    async def _watch(self) -> None:
        while True:
            await self._read_status()
            await asyncio.sleep(STATUS_INTERVAL_MS / 1000)

    async def _read_status(self) -> None:
        try:
            status = await self._engine.status()
        except LinkLost as error:
            self._failed_reads += 1
            if not error.sent or self._failed_reads >= MAX_FAILED_STATUS_READS:
                self._mark_engine_lost()
            return
        self._failed_reads = 0
        before = self._core.incarnation
        self._handle_event(status)
        if self._core.incarnation != before:
            log(Event.ENGINE_UP, incarnation=status.incarnation, resident=len(status.resident))

    def _mark_engine_lost(self) -> None:
        if self._core.incarnation is not None:
            log(Event.ENGINE_DOWN, incarnation=self._core.incarnation)
            self._handle_event(EngineLost())

    def _broadcast_report(self) -> None:
        if not self._is_dirty:
            return
        self._is_dirty = False
        report = self.report()
        for link in self._links.with_role("entry"):
            link.send(report)

    # Actions

    def _handle_event(self, event: object) -> None:
        self._is_dirty = self._is_dirty or not isinstance(event, AgentTicked)
        for action in self._core.handle(event, monotonic_ms()):
            self._is_dirty = True
            self._execute(action)

    @singledispatchmethod
    def _execute(self, action: object) -> None:
        raise TypeError(f"not an engine action: {type(action).__name__}")

    @_execute.register
    def _(self, action: RefuseRun) -> None:
        self._fail(
            action.request_id,
            action.code,
            action.outcome,
            retry_after_ms=action.retry_after_ms,
            detail=action.detail,
        )
        task = self._task_by_id.pop(action.request_id, None)
        if task is not None:
            task.cancel()

    @_execute.register
    def _(self, action: StartRun) -> None:
        request_id = action.run.request_id
        self._metrics.observe_ms("queued_ms", action.waited_ms)
        self._task_by_id[request_id] = self._tasks.spawn(self._run(action))

    @_execute.register
    def _(self, action: StopRun) -> None:
        self._tasks.spawn(self._cancel_until_ended(action.request_id))

    @_execute.register
    def _(self, action: RequestLoadPermit) -> None:
        self._tasks.spawn(self._request_permit())

    @_execute.register
    def _(self, action: OrderLoad) -> None:
        log(Event.LOAD_ORDERED, served=action.served, order=action.order)
        self._tasks.spawn(
            self._await_order(action.order, self._engine.load(action.served, fence=action.order))
        )

    @_execute.register
    def _(self, action: OrderUnload) -> None:
        log(Event.EVICTED, served=action.served, order=action.order)
        pending_answer = self._engine.unload(action.served, fence=action.order)
        self._tasks.spawn(self._await_order(action.order, pending_answer))

    @_execute.register
    def _(self, action: BroadcastSuspects) -> None:
        log(Event.CRASH_SUSPECTS, crash=action.crash_id, suspects=len(action.fingerprints))
        message = Suspects(
            crash_id=f"{self._vm}~{action.crash_id}",
            fingerprints=list(action.fingerprints),
            is_confirmed=action.is_confirmed,
            was_alone=action.was_alone,
        )
        for link in self._links.with_role("entry"):
            link.send(message)

    @_execute.register
    def _(self, action: BroadcastCleared) -> None:
        for link in self._links.with_role("entry"):
            link.send(SuspectsCleared(fingerprints=list(action.fingerprints)))

    # Runs

    async def _run(self, action: StartRun) -> None:
        run = action.run
        try:
            answer = await self._engine.run(run)
            try:
                await self._relay(action, answer)
            finally:
                answer.response.close()
        except LinkLost:
            self._abandon_run(run.request_id, Code.ENDPOINT_LOST, Outcome.UNKNOWN)
        except _WrongAdapter:
            log(Event.WRONG_ECHO, request_id=run.request_id, served=action.served)
            self._abandon_run(
                run.request_id, Code.WRONG_ADAPTER, Outcome.RAN, may_have_crashed=False
            )
        except Exception as error:  # noqa: BLE001 - a failure must not leave the adapter pinned
            log(Event.HANDLER_FAILED, server="engine", error=repr(error))
            self._abandon_run(run.request_id, Code.ENDPOINT_LOST, Outcome.UNKNOWN)
        finally:
            self._task_by_id.pop(run.request_id, None)

    async def _relay(self, action: StartRun, answer: EngineAnswer) -> None:
        """Relay an answer after checking which adapter version gave it.

        Raises `_WrongAdapter` if the adapter version or the engine incarnation that the engine
        names in its answer is not the one of *action*.
        """
        run = action.run
        if answer.response.status != 200:
            await self._relay_error(run, answer)
            return
        if answer.served != action.served or answer.incarnation != action.incarnation:
            raise _WrongAdapter
        link = self._link_by_id[run.request_id]
        link.send(
            ResponseHead(
                request_id=run.request_id,
                status=200,
                headers=answer.response.headers,
                waited_ms=int(action.waited_ms),
            )
        )
        if run.stream:
            size, usage = await self._relay_stream(run, answer, link)
        else:
            size, usage = await self._relay_whole(run, answer, link)
        if usage is None:
            self._fail(run.request_id, Code.TRUNCATED, Outcome.RAN)
        else:
            self._finish(run.request_id, link, size, usage)
        self._handle_event(RunEnded(request_id=run.request_id))

    async def _relay_stream(
        self, run: RunRequest, answer: EngineAnswer, link: Link
    ) -> tuple[int, Usage | None]:
        usage_filter, size = StreamUsageFilter(with_usage=run.with_usage), 0
        async for received in answer.response.iter_body(timeout_ms=TOKEN_TIMEOUT_MS):
            data = usage_filter.feed(received)
            if data:
                link.send(ResponseChunk(request_id=run.request_id, offset=size, data=data))
                size += len(data)
        return size, usage_filter.usage if usage_filter.has_end_marker else None

    async def _relay_whole(
        self, run: RunRequest, answer: EngineAnswer, link: Link
    ) -> tuple[int, Usage | None]:
        body = await answer.response.read_body(timeout_ms=TOKEN_TIMEOUT_MS)
        link.send(ResponseChunk(request_id=run.request_id, offset=0, data=body))
        return len(body), usage_from_body(body)

    async def _relay_error(self, run: RunRequest, answer: EngineAnswer) -> None:
        body = await answer.response.read_body(timeout_ms=TOKEN_TIMEOUT_MS)
        detail = f"the engine answered {answer.response.status}: {body[:200]!r}"
        self._fail(run.request_id, Code.ENGINE_ERROR, Outcome.UNKNOWN, detail=detail)
        self._handle_event(RunEnded(request_id=run.request_id))

    def _finish(self, request_id: str, link: Link, size: int, usage: Usage) -> None:
        self._link_by_id.pop(request_id, None)
        self._metrics.count("runs_answered")
        self._metrics.count("answer_tokens", amount=usage.answer_tokens)
        link.send(
            ResponseEnd(
                request_id=request_id,
                size=size,
                prompt_tokens=usage.prompt_tokens,
                answer_tokens=usage.answer_tokens,
            )
        )

    def _abandon_run(
        self, request_id: str, code: Code, outcome: Outcome, *, may_have_crashed: bool = True
    ) -> None:
        """Report a run as failed although the engine has not confirmed its end.

        The engine may still run it, or may have crashed. Its status is therefore read at once, the
        core starts no run before a status has arrived, and the run is cancelled.
        """
        self._handle_event(RunLost(request_id=request_id, may_have_crashed=may_have_crashed))
        self._fail(request_id, code, outcome)
        self._tasks.spawn(self._read_status())
        self._tasks.spawn(self._engine.cancel(request_id))

    async def _cancel_until_ended(self, request_id: str) -> None:
        """Cancel a run repeatedly until its answer has ended, which confirms the end of the run.

        One cancellation is not enough: it is sent over another connection, and may reach the engine
        before the run does.
        """
        task = self._task_by_id.get(request_id)
        while task is not None and not task.done():
            await self._engine.cancel(request_id)
            await asyncio.wait((task,), timeout=CANCEL_INTERVAL_MS / 1000)

    def _fail(
        self,
        request_id: str,
        code: Code,
        outcome: Outcome,
        *,
        retry_after_ms: int | None = None,
        detail: str = "",
    ) -> None:
        """Send the failure of a run to its entry; later calls for the same run send nothing."""
        link = self._link_by_id.pop(request_id, None)
        if link is not None:
            self._metrics.count("runs_failed", str(int(code)))
            link.send(
                RequestFailed(
                    request_id=request_id,
                    code=int(code),
                    outcome=str(outcome),
                    retry_after_ms=-1 if retry_after_ms is None else retry_after_ms,
                    detail=detail,
                )
            )

    # Orders

    async def _request_permit(self) -> None:
        """Request a permit for one load, out of the weight store's budget, from a linked entry."""
        links = self._links.with_role("entry")
        if not links:
            self._handle_event(LoadPermitAnswered(granted=False, retry_after_ms=PERMIT_RETRY_MS))
            return
        sequence = next(self._sequence)
        future = self._permit_by_sequence[sequence] = asyncio.get_running_loop().create_future()
        links[sequence % len(links)].send(LoadPermitRequest(sequence=sequence))
        try:
            async with asyncio.timeout(PERMIT_TIMEOUT_MS / 1000):
                permit = await future
        except TimeoutError:
            self._permit_by_sequence.pop(sequence, None)
            self._handle_event(LoadPermitAnswered(granted=False, retry_after_ms=PERMIT_RETRY_MS))
            return
        self._handle_event(
            LoadPermitAnswered(granted=permit.granted, retry_after_ms=permit.retry_after_ms)
        )

    async def _await_order(self, number: int, pending_answer: object) -> None:
        answer = await pending_answer
        self._metrics.count("orders", answer.value)
        log(Event.LOAD_ENDED, order=number, answer=answer.value)
        if answer is OrderAnswer.NO_ANSWER:
            self._handle_event(OrderTimedOut(number=number))
        else:
            self._handle_event(OrderEnded(number=number, done=answer is OrderAnswer.DONE))
