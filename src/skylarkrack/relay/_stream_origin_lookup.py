"""Finds out at which software version a stream that a caller takes up began."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import Code, RequestRefused
from skylarkrack._events import Event, log
from skylarkrack._metrics import Metrics
from skylarkrack._tasks import Tasks
from skylarkrack.core.relay import (
    ORIGIN_TTL_MS,
    Call,
    Endpoint,
    PendingRequest,
    StreamOrigin,
    StreamOrigins,
    VersionView,
    stream_key,
)

LOOKUP_TIMEOUT_MS = 150.0
"""Time to wait for the answers of other processes; round trips take a few milliseconds."""

ROUND_MS = 50.0
"""Part of it for the agents that are asked first, before others are asked as well. One that is dead
or of an older build doesn't answer. The silent ones are asked again, since datagrams are lost."""

RECALL_TIMEOUT_MS = 1000.0
"""Time to wait for what the registry remembers: some hundred kilobytes for a large fleet."""

DISCOVERY_MS = 400.0
"""Time after the start in which an entry finds the agents; before, it would ask too few."""


class OriginPeers(Protocol):
    """The other processes that keep origins. They are named by their addresses."""

    def send_begun(self, key: bytes, origin: StreamOrigin) -> None:
        """Send the origin of a stream to its keepers, without waiting for an answer."""

    def ask_first(self, key: bytes, service: str) -> tuple[Iterable[str], Iterable[str]]:
        """Ask the agents that should know a stream, and entries; return which ones of both."""

    def ask_others(self, key: bytes, service: str) -> Iterable[str]:
        """Ask further agents; return which ones."""

    def ask_again(self, key: bytes, service: str, addresses: Iterable[str]) -> None:
        """Repeat the question to those that have not answered."""

    def view_of(self, service: str, began_within_ms: float = ORIGIN_TTL_MS) -> VersionView:
        """Return what this process knows of the versions that a service had since then."""

    async def recall(self, service: str) -> None:
        """Read what the registry remembers of the versions that a service had, if it does."""

    def versions_of(self, service: str) -> set[str]:
        """Return the versions of the service's registered endpoints."""


class _Question:
    """A stream whose origin was asked for, and who has not answered yet."""

    __slots__ = (
        "_changed",
        "agents",
        "asked",
        "begun_versions",
        "entries",
        "origin",
        "source",
        "task",
        "views",
    )

    def __init__(self) -> None:
        self.agents: set[str] = set()
        self.entries: set[str] = set()
        self.asked = 0
        self.views: list[VersionView] = []
        self.begun_versions: set[str] = set()
        self.origin: StreamOrigin | None = None
        self.source = ""
        self.task: asyncio.Task | None = None
        self._changed = asyncio.Event()

    def expect(self, agents: Iterable[str], entries: Iterable[str] = ()) -> None:
        """Record who was asked."""
        agents, entries = set(agents), set(entries)
        self.agents |= agents
        self.entries |= entries
        self.asked += len(agents) + len(entries)

    def receive(
        self,
        address: str,
        origin: StreamOrigin | None,
        view: VersionView | None,
        begun_versions: Iterable[str],
    ) -> None:
        """Apply an answer; repeated ones and those of others change nothing."""
        if address not in self.agents | self.entries:
            return
        self.agents.discard(address)
        self.entries.discard(address)
        if view is not None:
            self.views.append(view)
        self.begun_versions.update(begun_versions)
        if origin is not None and self.origin is None:
            self.origin, self.source = origin, address
        self._changed.set()

    @property
    def is_unheard(self) -> bool:
        """Whether others were asked and none has answered."""
        return self.asked > 0 and self.asked == len(self.agents) + len(self.entries)

    def is_open(self) -> bool:
        """Return whether an answer could still change the result."""
        return self.origin is None and bool(self.agents or self.entries)

    async def wait_round(self, is_over: Callable[[], bool]) -> None:
        """Wait until the origin is found, *is_over* after an answer, or the round has ended."""
        try:
            async with asyncio.timeout(ROUND_MS / 1000):
                while self.origin is None and not is_over():
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            pass


class StreamOriginLookup:
    """Looks origins up here, at agents and at other entries.

    `peers` is set before the first request; without it no other process is asked or told.
    """

    __slots__ = (
        "_metrics",
        "_question_by_key",
        "_recall_by_service",
        "_started_ms",
        "_tasks",
        "origins",
        "peers",
    )

    def __init__(self, *, tasks: Tasks, metrics: Metrics) -> None:
        self.origins = StreamOrigins()
        self.peers: OriginPeers | None = None
        self._tasks = tasks
        self._metrics = metrics
        self._question_by_key: dict[bytes, _Question] = {}
        self._recall_by_service: dict[str, asyncio.Task] = {}
        self._started_ms = float("-inf")

    def start(self) -> None:
        """Record that the entry begins to find the agents now."""
        self._started_ms = monotonic_ms()

    async def bind(self, pending: PendingRequest) -> None:
        """Bind a stream that a caller takes up to the software version that began it.

        Raises `RequestRefused` as `find` does.
        """
        if pending.call.resume_after is None:
            return
        if not pending.call.first_attempt:
            self._check_unnamed(pending.service_name)
            return
        origin = await self.find(
            _key_of(pending),
            pending.service_name,
            request_id=pending.call.request_id,
            began_within_ms=_began_within_ms(pending.call, monotonic_ms()),
        )
        if origin is not None:
            self._apply(pending, origin)

    def bind_known(self, pending: PendingRequest) -> bool:
        """Bind a stream to its version if that is known here; return whether it is.

        No other process is asked, and nothing is logged or counted.
        """
        if not pending.call.first_attempt:
            return False
        origin = self.origins.find(_key_of(pending), pending.call.arrived_ms)
        if origin is not None:
            self._apply(pending, origin)
        return origin is not None

    def _apply(self, pending: PendingRequest, origin: StreamOrigin) -> None:
        pending.software_version = origin.software_version
        if any(service == origin.service for service, _ in pending.route.shares):
            pending.service_name = origin.service

    def _check_unnamed(self, service: str) -> None:
        """Raise `RequestRefused` for a take-up that names no attempt if the service has versions.

        Nobody can know such a stream. Callers name the attempt where endpoints of several versions
        may serve, so it goes on elsewhere, also while an entry hasn't followed the versions for
        long.
        """
        if self.peers is not None and self.peers.view_of(service) is VersionView.SEVERAL:
            self._metrics.count("stream_origin_lookups_total", "refused")
            raise RequestRefused(
                "the request names no attempt that began the stream", code=Code.UNKNOWN_ORIGIN
            )

    def record_begin(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        """Bind a stream to the endpoint's version, as it wrote the first event of this answer.

        Its origin is sent to the keepers at once: the entry may be killed after the event is out.
        """
        pending.software_version = endpoint.software_version
        call = pending.call
        # Take-ups that name no attempt have nothing that tells their streams apart.
        is_named = call.resume_after is None or bool(call.first_attempt)
        if pending.route.is_idempotent and is_named:
            origin = StreamOrigin(
                service=pending.service_name, software_version=endpoint.software_version
            )
            key = _key_of(pending)
            self.origins.record(key, origin, monotonic_ms())
            if self.peers is not None:
                self.peers.send_begun(key, origin)

    async def find(
        self,
        key: bytes,
        service: str,
        *,
        request_id: str = "",
        began_within_ms: float = ORIGIN_TTL_MS,
    ) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is unknown, but the service had one version.

        Raises `RequestRefused` if it is unknown and the service had several versions, or may have
        had, during *began_within_ms*, the time in which the stream must have begun.
        """
        origin = self.origins.find(key, monotonic_ms())
        if origin is not None or self.peers is None:
            self._metrics.count("stream_origin_lookups_total", "own")
            return origin
        await asyncio.sleep((self._started_ms + DISCOVERY_MS - monotonic_ms()) / 1000)
        asked_ms = monotonic_ms()
        question = await self._ask(key, service)
        took_ms = monotonic_ms() - asked_ms
        views = {*question.views, self.peers.view_of(service, began_within_ms)}
        if question.begun_versions - self.peers.versions_of(service):
            # A version that began streams a moment ago has left.
            views.add(VersionView.SEVERAL)
        if question.origin is None and views <= {VersionView.UNKNOWN}:
            await self._recall(service)
            views.add(self.peers.view_of(service, began_within_ms))
        if question.is_unheard:
            # A process that nobody answers may be cut off, and see no version join.
            views.discard(VersionView.ONE)
        is_one_version = VersionView.ONE in views and VersionView.SEVERAL not in views
        result = "found" if question.origin else "one_version" if is_one_version else "refused"
        log(
            Event.ORIGIN_LOOKED_UP,
            request=request_id,
            service=service,
            result=result,
            version=question.origin.software_version if question.origin else None,
            peer=question.source,
            asked=question.asked,
            silent=len(question.agents) + len(question.entries),
            views=sorted(view.name.lower() for view in views),
            took_ms=round(took_ms),
        )
        self._metrics.count("stream_origin_lookups_total", result)
        self._metrics.observe_ms("stream_origin_lookup_ms", took_ms)
        if question.origin is None and not is_one_version:
            raise RequestRefused(
                "the software version that began the stream is unknown", code=Code.UNKNOWN_ORIGIN
            )
        return question.origin

    def receive_answer(
        self,
        key: bytes,
        address: str,
        origin: StreamOrigin | None,
        *,
        view: VersionView | None = None,
        begun_versions: Iterable[str] = (),
    ) -> None:
        """Apply the answer of another process.

        *view* is None for an agent's answer, and *begun_versions* is empty for an entry's.
        """
        question = self._question_by_key.get(key)
        if question is not None:
            question.receive(address, origin, view, begun_versions)

    async def _recall(self, service: str) -> None:
        """Read the registry's history of a service, once for all that wait for it."""
        task = self._recall_by_service.get(service)
        if task is None:
            task = self._recall_by_service[service] = self._tasks.spawn(self.peers.recall(service))
            task.add_done_callback(lambda _: self._recall_by_service.pop(service, None))
        await asyncio.wait((task,), timeout=RECALL_TIMEOUT_MS / 1000)

    async def _ask(self, key: bytes, service: str) -> _Question:
        """Return the answers of other processes; takes up to `LOOKUP_TIMEOUT_MS`."""
        question = self._question_by_key.get(key)
        if question is None:
            question = self._question_by_key[key] = _Question()
            question.task = self._tasks.spawn(self._run_rounds(question, key, service))
        # The question of one caller that leaves may be that of another.
        await asyncio.shield(question.task)
        return question

    async def _run_rounds(self, question: _Question, key: bytes, service: str) -> None:
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_MS / 1000):
                question.expect(*self.peers.ask_first(key, service))
                first = set(question.agents)
                await question.wait_round(lambda: not question.agents)
                if question.origin is None:
                    question.expect(self.peers.ask_others(key, service))
                while question.is_open():
                    self.peers.ask_again(key, service, first & question.agents)
                    await question.wait_round(lambda: not question.is_open())
        except TimeoutError:
            pass
        finally:
            self._question_by_key.pop(key, None)


def _began_within_ms(call: Call, now_ms: float) -> float:
    """Return the time in which a stream must have begun whose caller takes it up now.

    Callers wait for `ORIGIN_TTL_MS` at most, over all of their attempts, and this one waits on.
    Half of that time always counts, as a caller may begin its limit anew with each attempt.
    """
    patience_ms = call.patience_ms or 0.0
    if patience_ms >= ORIGIN_TTL_MS:
        return ORIGIN_TTL_MS
    left_ms = min(call.arrived_ms + patience_ms - now_ms, ORIGIN_TTL_MS / 2)
    return ORIGIN_TTL_MS - max(0.0, left_ms)


def _key_of(pending: PendingRequest) -> bytes:
    """Return the key of a request's stream, which an earlier request may have begun."""
    call = pending.call
    first_attempt = call.request_id if call.resume_after is None else call.first_attempt
    return stream_key(pending.organisation, first_attempt or "")
