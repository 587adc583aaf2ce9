"""Passes on what one entry of a failure domain read from the store, and receives it elsewhere."""

import asyncio
from collections.abc import Callable

from skylarkrack.core.relay import (
    Endpoint,
    FeedHistory,
    FeedKind,
    FeedStep,
    ProcessContact,
    is_reader,
)
from skylarkrack.messages import StoreStep


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
        restored = merged.restored_ago_ms
        self._send(
            StoreStep(
                vm=self._own.vm,
                address=self._own.address,
                domain=self._own.domain,
                passes_on=self._own.passes_on,
                kind=merged.kind.value,
                era=merged.era,
                base=merged.base,
                revision=merged.revision,
                is_complete=merged.is_complete,
                endpoints=[_row(endpoint) for endpoint in merged.endpoints],
                removed=list(merged.removed),
                versions=[list(row) for row in merged.versions],
                restored_ago_ms=-1.0 if restored is None else restored,
            )
        )

    def receive(self, message: StoreStep) -> None:
        """Hand a step on to the watcher that waits for it.

        Raises `ValueError`, `TypeError` or `IndexError` for one that can't be read.
        """
        kind = FeedKind(message.kind)
        restored = message.restored_ago_ms
        self._steps[kind] = FeedStep(
            kind=kind,
            era=message.era,
            base=message.base,
            revision=message.revision,
            is_complete=message.is_complete,
            endpoints=tuple(_endpoint(row) for row in message.endpoints),
            removed=tuple(str(endpoint_id) for endpoint_id in message.removed),
            versions=tuple((str(m), str(a), int(version)) for m, a, version in message.versions),
            restored_ago_ms=None if restored < 0 else restored,
        )
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


def _endpoint(row: list) -> Endpoint:
    endpoint_id, service, address, domain, slots, started_ms, is_leaving, warmup_ms, rows = row[:9]
    # Entries of builds before it leave out the software version.
    software_version = row[9] if len(row) > 9 else ""
    texts = (endpoint_id, service, address, domain, software_version)
    if not all(isinstance(text, str) for text in texts):
        raise ValueError("an endpoint's id, service, address, domain or version is not a string")
    if not all(isinstance(number, int | float) for number in (slots, started_ms, warmup_ms)):
        raise ValueError("an endpoint's slots, start or warm-up is not a number")
    return Endpoint(
        endpoint_id=endpoint_id,
        service=service,
        address=address,
        domain=domain,
        slots=slots,
        started_ms=started_ms,
        is_leaving=is_leaving,
        warmup_left_ms=warmup_ms,
        adapters_by_model=None if rows is None else {m: dict(pairs) for m, pairs in rows.items()},
        software_version=software_version,
    )
