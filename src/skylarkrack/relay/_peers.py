"""The other processes of the system: their membership, and datagrams to and from them."""

from collections.abc import Callable

from skylarkrack._clock import monotonic_ms
from skylarkrack._events import Event, log
from skylarkrack.core.relay import AGENT, Membership, ProcessContact, broadcast_recipients
from skylarkrack.messages import (
    AdapterDemand,
    AdmissionGrants,
    AdmissionRequests,
    BegunStreams,
    EndpointBounds,
    EndpointConditions,
    EndpointRateLimits,
    EngineHeartbeat,
    EngineSnapshot,
    EntryStopped,
    EvacuationNotice,
    HomeNotice,
    LeavingEndpoints,
    RelayState,
    Roster,
    SendPermits,
    StoreStep,
    StreamOriginAnswers,
    SuspectSegments,
)
from skylarkrack.relay._datagrams import Datagrams
from skylarkrack.relay._settings import RelaySettings

ENTRY = "entry"
_ROLE_BY_TYPE = {
    RelayState: ENTRY,
    AdapterDemand: ENTRY,
    EngineSnapshot: AGENT,
    EngineHeartbeat: AGENT,
    LeavingEndpoints: ENTRY,
    StoreStep: ENTRY,
    SuspectSegments: ENTRY,
    EndpointRateLimits: ENTRY,
    SendPermits: ENTRY,
    BegunStreams: ENTRY,
    EndpointConditions: ENTRY,
    EntryStopped: ENTRY,
    StreamOriginAnswers: AGENT,
    EvacuationNotice: ENTRY,
    EndpointBounds: ENTRY,
    HomeNotice: ENTRY,
    AdmissionRequests: ENTRY,
    AdmissionGrants: AGENT,
}
Broadcast = (
    RelayState
    | EngineSnapshot
    | EngineHeartbeat
    | LeavingEndpoints
    | SuspectSegments
    | EndpointRateLimits
    | EvacuationNotice
    | EndpointConditions
    | EndpointBounds
)


def _is_forwarded(message: object) -> bool:
    """Return whether a message is meant for all entries; grants are for one, unless empty."""
    if isinstance(message, AdmissionGrants):
        return message.heard == 0
    return isinstance(message, Broadcast)


class Peers:
    """The membership as one process knows it, and its datagram socket.

    *on_message* is called with each message except rosters, and the time. *on_join* is called with
    each member that is new or returns after it was lost.
    """

    __slots__ = ("_datagrams", "_membership", "_on_join", "_on_message", "_rotation", "own")

    def __init__(
        self,
        settings: RelaySettings,
        role: str,
        *,
        on_message: Callable[[object, float], None],
        on_join: Callable[[ProcessContact], None],
    ) -> None:
        self.own = ProcessContact(
            vm=settings.vm,
            address=settings.peers,
            role=role,
            domain=settings.domain,
            passes_on=role == ENTRY and settings.passes_on,
        )
        self._on_message = on_message
        self._on_join = on_join
        self._membership = Membership(self.own)
        self._membership.set_seeds(settings.seeds)
        self._datagrams = Datagrams(self._receive)
        self._rotation = 0

    # Queries

    @property
    def sender_fields(self) -> dict[str, object]:
        """The fields by which an entry's messages name their sender."""
        return {
            "vm": self.own.vm,
            "address": self.own.address,
            "domain": self.own.domain,
            "passes_on": self.own.passes_on,
        }

    def address_by_agent(self) -> dict[str, str]:
        """Return the addresses of the live agents by VM."""
        return {contact.vm: contact.address for contact in self.alive(AGENT)}

    @property
    def full_rounds(self) -> int:
        """How many rounds of the event loop left messages unread that had arrived."""
        return self._datagrams.full_rounds

    def alive(self, role: str) -> list[ProcessContact]:
        """Return the live members of *role*, that is, those that sent a message recently."""
        return self._membership.alive(role, monotonic_ms())

    def address_by_entry(self) -> dict[str, str]:
        """Return the addresses of the live entries by VM, without this process."""
        return {contact.vm: contact.address for contact in self.alive(ENTRY)}

    # Commands

    async def start(self) -> None:
        """Open the datagram socket; raises `OSError` if its address is not available."""
        await self._datagrams.start(self.own.address)

    def close(self) -> None:
        """Close the datagram socket."""
        self._datagrams.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses from which members are discovered."""
        self._membership.set_seeds(seeds)

    def send(self, message: object, *addresses: str) -> None:
        """Send a message to several addresses; raises `ValueError` for one that is too large."""
        self._datagrams.send_to(message, addresses)

    def broadcast_to_entries(self, message: Broadcast | AdmissionGrants) -> None:
        """Send a message to all live entries.

        In another failure domain one entry receives it and forwards it there; where none can, all
        entries of that domain receive it.
        """
        self._rotation += 1
        receivers = broadcast_recipients(
            self.alive(ENTRY), domain=self.own.domain, rotation=self._rotation
        )
        self.send(message, *(contact.address for contact in receivers))

    def broadcast_in_domain(self, message: StoreStep) -> None:
        """Send a message to the live entries of this failure domain."""
        receivers = (c for c in self.alive(ENTRY) if c.domain == self.own.domain)
        self.send(message, *(contact.address for contact in receivers))

    def probe_silent(self, now_ms: float) -> None:
        """Send a roster to the seeds that are not known yet and the members that are silent."""
        for address in self._membership.addresses_to_probe(now_ms):
            self.send(self._roster(now_ms), address)

    def _receive(self, message: object, data: bytes, source: str) -> None:
        now_ms = monotonic_ms()
        if isinstance(message, Roster):
            contacts = [
                ProcessContact(
                    vm=row[0], address=row[1], role=row[2], domain=row[3], passes_on=row[4]
                )
                for row in message.members
            ]
            # The first row of a roster is its sender.
            self._record_member(contacts[0], now_ms)
            for contact in contacts[1:]:
                self._membership.learn(contact, now_ms)
            return
        role = _ROLE_BY_TYPE.get(type(message))
        if role is None:
            log(Event.DATAGRAM_REJECTED, type=type(message).__name__)
            return
        sender = ProcessContact(
            vm=message.vm,
            address=message.address,
            role=role,
            domain=message.domain,
            passes_on=role == ENTRY and message.passes_on,
        )
        self._record_member(sender, now_ms)
        # Only what comes directly from its sender is forwarded, so that messages do not loop.
        if source == sender.address and _is_forwarded(message):
            self._forward_in_domain(sender, data)
        self._on_message(message, now_ms)

    def _forward_in_domain(self, sender: ProcessContact, data: bytes) -> None:
        """Forward a message from another failure domain to the other entries of this one."""
        if not self.own.passes_on or sender.domain == self.own.domain:
            return
        local_entries = (
            contact for contact in self.alive(ENTRY) if contact.domain == self.own.domain
        )
        self._datagrams.send_bytes(data, tuple(contact.address for contact in local_entries))

    def _record_member(self, contact: ProcessContact, now_ms: float) -> None:
        if self._membership.mark_seen(contact, now_ms):
            log(Event.MEMBER_SEEN, vm=contact.vm, role=contact.role, address=contact.address)
            self.send(self._roster(now_ms), contact.address)
            self._on_join(contact)

    def _roster(self, now_ms: float) -> Roster:
        rows = [
            [c.vm, c.address, c.role, c.domain, c.passes_on]
            for c in self._membership.gossip_contacts(now_ms)
        ]
        return Roster(members=rows)
