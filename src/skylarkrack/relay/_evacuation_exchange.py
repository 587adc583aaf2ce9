"""Exchange of the evacuations of failure domains between entries."""

import zlib
from collections.abc import Callable, Iterable

from skylarkrack.core.relay import Evacuation, Evacuations, homes_of, is_domain_name
from skylarkrack.messages import EvacuationNotice
from skylarkrack.relay._peers import ENTRY, Peers

MAX_ANSWERING = 8
"""Entries that answer one with a stale view, so that a large fleet doesn't answer all at once."""


class EvacuationExchange:
    """Tells other entries which failure domains are evacuated, and applies what they tell.

    *on_changes* is called with the changes that another entry told, the time in ms, and its VM.
    """

    __slots__ = ("_evacuations", "_jitter", "_peers", "on_changes")

    def __init__(self, peers: Peers, *, evacuations: Evacuations) -> None:
        self._peers = peers
        self._evacuations = evacuations
        self._jitter = zlib.crc32(peers.own.vm.encode()) / 2**32
        self.on_changes: Callable[[list[Evacuation], float, str], None] = lambda *_: None

    def send_due(self, now_ms: float) -> None:
        """Tell all entries the states that are due."""
        due = self._evacuations.take_due(
            now_ms, other_entries=len(self._peers.alive(ENTRY)), jitter=self._jitter
        )
        if due:
            self._peers.broadcast_to_entries(self._message(due))

    def send_all(self, address: str, now_ms: float) -> None:
        """Tell an entry that is new or was silent which domains are evacuated."""
        states = self._evacuations.repeated_states(now_ms)
        if states:
            self._peers.send(self._message(states), address)

    def receive(self, message: EvacuationNotice, now_ms: float) -> None:
        """Apply another entry's states, and answer with newer ones.

        Raises `ValueError` or `TypeError` for an invalid row.
        """
        states = [_state(row) for row in message.evacuations]
        changes, newer = self._evacuations.receive(states, now_ms)
        if changes:
            self.on_changes(changes, now_ms, message.vm)
        if newer and self._answers(message.vm):
            self._peers.send(self._message(newer), message.address)

    def _answers(self, vm: str) -> bool:
        """Return whether this entry is one of those that correct the stale view of *vm*."""
        own = self._peers.own.vm
        others = (other for other in self._peers.address_by_entry() if other != vm)
        return own in homes_of(vm.encode(), [own, *others], MAX_ANSWERING)

    def _message(self, states: Iterable[Evacuation]) -> EvacuationNotice:
        return EvacuationNotice(
            **self._peers.sender_fields,
            evacuations=[[s.domain, s.is_active, s.era, s.revision] for s in states],
        )


def _state(row: list) -> Evacuation:
    domain, is_active, era, revision = row
    if not is_domain_name(domain) or not isinstance(is_active, bool):
        raise ValueError("an evacuation has no valid domain or state")
    if not isinstance(era, int) or not isinstance(revision, int):
        raise ValueError("an evacuation's era or revision is not a number")
    return Evacuation(domain=domain, is_active=is_active, era=era, revision=revision)
