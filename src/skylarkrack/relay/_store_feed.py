"""Passes on what one entry of a failure domain read from the store, and receives it elsewhere."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from skylarkrack._addresses import is_address
from skylarkrack._events import Event, log
from skylarkrack.core.relay import (
    Endpoint,
    FeedHistory,
    FeedKind,
    FeedStep,
    ProcessContact,
    is_reader,
)
from skylarkrack.messages import StoreStep

ROW_FIELDS = 9
"""Fields of an endpoint's row that every build sends."""


class StoreFeed:
    """The steps that this entry sends or receives; implements `StepExchange`.

    *list_entries* returns the other live entries, *send* sends a message to those of this failure
    domain.
    """

    __slots__ = ("_history_by_kind", "_list_entries", "_own", "_send", "_signal_by_kind", "_steps")

    def __init__(
        self,
        own: ProcessContact,
        *,
        list_entries: Callable[[], list[ProcessContact]],
        send: Callable[[StoreStep], None],
    ) -> None:
        self._own = own
        self._list_entries = list_entries
        self._send = send
        self._history_by_kind = {kind: FeedHistory() for kind in FeedKind}
        self._signal_by_kind = {kind: asyncio.Event() for kind in FeedKind}
        self._steps: dict[FeedKind, FeedStep] = {}

    # Queries

    def is_reader(self) -> bool:
        """Return whether this entry reads the store for its failure domain."""
        return is_reader(self._own, self._list_entries())

    # Commands

    def publish(self, step: FeedStep) -> None:
        """Send the other entries of the failure domain what was read from the store."""
        if not self.is_reader():
            # Another reader's messages may follow, which the history does not know.
            self._history_by_kind[step.kind] = FeedHistory()
            return
        merged = self._history_by_kind[step.kind].add(step)
        try:
            self._send(self._message(merged))
        except ValueError as error:
            log(Event.STEP_TOO_LARGE, kind=step.kind.value, error=str(error))
            empty = replace(merged, is_complete=False, endpoints=(), removed=(), versions=())
            self._send(self._message(empty))

    def _message(self, step: FeedStep) -> StoreStep:
        restored = step.restored_ago_ms
        return StoreStep(
            vm=self._own.vm,
            address=self._own.address,
            domain=self._own.domain,
            passes_on=self._own.passes_on,
            kind=step.kind.value,
            era=step.era,
            base=step.base,
            revision=step.revision,
            is_complete=step.is_complete,
            endpoints=[_row(endpoint) for endpoint in step.endpoints],
            removed=list(step.removed),
            versions=[list(row) for row in step.versions],
            restored_ago_ms=-1.0 if restored is None else restored,
        )

    def receive(self, message: StoreStep) -> None:
        """Hand a step on to the watcher that waits for it.

        Registrations that can't be used are left out, and the store is read instead. Raises
        `ValueError`, `TypeError` or `IndexError` for a step that can't be read.
        """
        kind = FeedKind(message.kind)
        restored = message.restored_ago_ms
        endpoints = [_endpoint(row) for row in message.endpoints]
        step = FeedStep(
            kind=kind,
            era=message.era,
            base=message.base,
            revision=message.revision,
            is_complete=message.is_complete and None not in endpoints,
            endpoints=tuple(filter(None, endpoints)),
            removed=tuple(str(endpoint_id) for endpoint_id in message.removed),
            versions=tuple((str(m), str(a), int(version)) for m, a, version in message.versions),
            restored_ago_ms=None if restored < 0 else restored,
        )
        waiting = self._steps.get(kind)
        if waiting is None or (waiting.era, waiting.revision) <= (step.era, step.revision):
            # Two entries may take themselves for the reader, and messages may overtake others.
            self._steps[kind] = step
        self._signal_by_kind[kind].set()

    def request_read(self) -> None:
        """Have the publications read from the store now, since a peer knows newer ones."""
        self._steps.pop(FeedKind.PUBLICATIONS, None)
        self._signal_by_kind[FeedKind.PUBLICATIONS].set()

    async def next_step(self, kind: FeedKind, *, timeout_ms: float) -> FeedStep | None:
        """Return the next step, or None after *timeout_ms* or if a read was requested.

        Only the newest step that was not returned yet is kept.
        """
        signal = self._signal_by_kind[kind]
        if not signal.is_set():
            try:
                async with asyncio.timeout(timeout_ms / 1000):
                    await signal.wait()
            except TimeoutError:
                return None
        signal.clear()
        return self._steps.pop(kind, None)


def _row(endpoint: Endpoint) -> list:
    adapters = endpoint.adapters_by_model
    return [
        endpoint.endpoint_id,
        endpoint.service,
        endpoint.address,
        endpoint.domain,
        endpoint.slots,
        endpoint.started_ms,
        endpoint.is_leaving,
        endpoint.warmup_left_ms,
        None if adapters is None else {m: list(a.items()) for m, a in adapters.items()},
        endpoint.software_version,
    ]


def _endpoint(row: list) -> Endpoint | None:
    """Return the endpoint of a row, or None if it can't be used.

    An entry of another build may accept registrations that this one rejects.
    """
    if not isinstance(row, list) or len(row) < ROW_FIELDS:
        return None
    endpoint_id, service, address, domain, slots, started_ms, is_leaving, warmup_ms, rows = row[
        :ROW_FIELDS
    ]
    # Entries of builds before it leave out the software version.
    software_version = row[ROW_FIELDS] if len(row) > ROW_FIELDS else ""
    texts = (endpoint_id, service, address, domain, software_version)
    numbers = (slots, started_ms, warmup_ms)
    are_texts = all(isinstance(text, str) for text in texts)
    if not are_texts or not all(isinstance(number, int | float) for number in numbers):
        return None
    if not is_address(address):
        return None
    try:
        adapters = None if rows is None else {m: dict(pairs) for m, pairs in rows.items()}
    except (AttributeError, TypeError, ValueError):
        return None
    return Endpoint(
        endpoint_id=endpoint_id,
        service=service,
        address=address,
        domain=domain,
        slots=slots,
        started_ms=started_ms,
        is_leaving=is_leaving,
        warmup_left_ms=warmup_ms,
        adapters_by_model=adapters,
        software_version=software_version,
    )
