"""Finds the processes of the system from a few seeds, by gossip of the members known so far."""

from dataclasses import dataclass

MEMBER_LOST_AFTER_MS = 3000.0
"""Silence after which a member counts as lost and is only probed."""

PROBE_INTERVAL_MS = 1000.0
"""Time between probes of a silent member, and of a seed that is not known yet."""

STARTUP_PROBE_INTERVAL_MS = 150.0
STARTUP_MS = 4000.0
"""Time after the start in which probes are sent every `STARTUP_PROBE_INTERVAL_MS`. When many
processes start at once, some miss the first probes."""

FORGET_MEMBER_AFTER_MS = 120_000.0
"""Silence after which a member is assumed to have been replaced, and is dropped."""

AGENT = "agent"
"""Role of the process that sends an engine its load and unload orders."""

MAX_CONTACTS_PER_MESSAGE = 40
"""Members in one message. With more members, a window moves on with each message until all were
sent."""


BUSY_BROADCAST_MS = 100.0
"""Time between an entry's broadcasts of its state while its requests run, in a small fleet."""

IDLE_BROADCAST_MS = 400.0
"""Time between broadcasts without requests, below the age at which a peer's state is dropped."""

ENTRIES_AT_FULL_RATE = 10
"""Number of other entries above which each entry broadcasts less often.

The interval then grows in proportion to their number, up to `IDLE_BROADCAST_MS`, so that the
messages that one entry receives grow more slowly than the number of entries.
"""


def broadcast_interval_ms(other_entries: int) -> float:
    """Return the time between broadcasts of an entry whose requests run."""
    factor = max(1.0, other_entries / ENTRIES_AT_FULL_RATE)
    return min(IDLE_BROADCAST_MS, BUSY_BROADCAST_MS * factor)


HEARTBEAT_MS = 400.0
MAX_HEARTBEAT_MS = 700.0
"""Longest time between two messages of an agent to the entries, in small fleets and in large ones.

An entry takes an agent for silent after 1.5 s, that is, after two lost messages or more.
"""

ENTRIES_AT_FULL_HEARTBEAT = 30
"""Number of entries above which an agent sends heartbeats less often."""


def heartbeat_interval_ms(entries: int) -> float:
    """Return the time between an agent's messages to *entries* entries without a change."""
    factor = max(1.0, entries / ENTRIES_AT_FULL_HEARTBEAT)
    return min(MAX_HEARTBEAT_MS, HEARTBEAT_MS * factor)


IDLE_DEMANDS_PER_S = 10.0
"""Messages a second that an agent receives from all entries without runs at its engine."""

MIN_IDLE_DEMAND_MS = 1000.0


def idle_demand_interval_ms(entries: int) -> float:
    """Return the time between an entry's messages to an agent at whose engine it has no runs.

    An agent needs some of them, from any entry: they name the engine's registration.
    """
    return max(MIN_IDLE_DEMAND_MS, entries / IDLE_DEMANDS_PER_S * 1000)


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessContact:
    """A process of the system: its VM, the address it listens on, its role and failure domain.

    *passes_on* means that it forwards broadcasts within its failure domain, for which its link is
    fast enough.
    """

    vm: str
    address: str
    role: str
    domain: str
    passes_on: bool = False


def broadcast_recipients(
    entries: list[ProcessContact], *, domain: str, rotation: int
) -> list[ProcessContact]:
    """Return those of *entries* that a process in *domain* sends a broadcast to.

    These are all entries of the same failure domain, and one of each other domain that forwards it
    there. The forwarder changes with *rotation*, so that a dead one causes the loss of only some
    messages. In a domain without a forwarder all entries receive the broadcast directly: over a
    slow link a second hop would delay it for all of them.
    """
    by_domain: dict[str, list[ProcessContact]] = {}
    for contact in sorted(entries, key=lambda contact: contact.vm):
        by_domain.setdefault(contact.domain, []).append(contact)
    recipients = by_domain.pop(domain, [])
    for group in by_domain.values():
        forwarders = [contact for contact in group if contact.passes_on]
        recipients += [forwarders[rotation % len(forwarders)]] if forwarders else group
    return recipients


@dataclass(slots=True)
class _Member:
    contact: ProcessContact
    seen_ms: float
    probed_ms: float = float("-inf")
    was_seen: bool = False


class Membership:
    """Members by address. Times are ms on a monotonic clock."""

    __slots__ = ("_by_address", "_probed_ms_by_seed", "_own", "_started_ms", "_gossip_offset")

    def __init__(self, own: ProcessContact) -> None:
        self._own = own
        self._by_address: dict[str, _Member] = {}
        self._probed_ms_by_seed: dict[str, float] = {}
        self._gossip_offset = 0
        self._started_ms: float | None = None

    # Queries

    def alive(self, role: str, now_ms: float) -> list[ProcessContact]:
        """Return the members of *role* that a message came from recently."""
        return [
            member.contact
            for member in self._by_address.values()
            if member.contact.role == role
            and member.was_seen
            and now_ms - member.seen_ms < MEMBER_LOST_AFTER_MS
        ]

    # Commands

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses from which other members are found."""
        self._probed_ms_by_seed = {
            address: self._probed_ms_by_seed.get(address, float("-inf"))
            for address in addresses
            if address != self._own.address
        }

    def mark_seen(self, contact: ProcessContact, now_ms: float) -> bool:
        """Record a message of a process; return whether the process is new or was lost.

        Messages from this process itself, and those between agents, are ignored.
        """
        if contact.address == self._own.address or contact.role == self._own.role == AGENT:
            return False
        member = self._by_address.get(contact.address)
        is_new = member is None or not member.was_seen
        is_new = is_new or now_ms - member.seen_ms >= MEMBER_LOST_AFTER_MS
        self._by_address[contact.address] = _Member(contact, now_ms, now_ms, was_seen=True)
        return is_new

    def learn(self, contact: ProcessContact, now_ms: float) -> None:
        """Add a process that another one has listed. Agents ignore agents: they have nothing to
        exchange."""
        if contact.role == self._own.role == AGENT:
            return
        if contact.address != self._own.address and contact.address not in self._by_address:
            self._by_address[contact.address] = _Member(contact, now_ms)

    def addresses_to_probe(self, now_ms: float) -> list[str]:
        """Return the silent members and unknown seeds that a probe is due for."""
        if self._started_ms is None:
            self._started_ms = now_ms
        pause_ms = (
            STARTUP_PROBE_INTERVAL_MS
            if now_ms - self._started_ms < STARTUP_MS
            else PROBE_INTERVAL_MS
        )
        due = []
        for address, member in list(self._by_address.items()):
            silent_ms = now_ms - member.seen_ms
            if silent_ms > FORGET_MEMBER_AFTER_MS:
                del self._by_address[address]
                continue
            is_silent = not member.was_seen or silent_ms > MEMBER_LOST_AFTER_MS
            if is_silent and now_ms - member.probed_ms >= pause_ms:
                member.probed_ms = now_ms
                due.append(address)
        for address, probed_ms in self._probed_ms_by_seed.items():
            if address not in self._by_address and now_ms - probed_ms >= pause_ms:
                self._probed_ms_by_seed[address] = now_ms
                due.append(address)
        return due

    def gossip_contacts(self, now_ms: float) -> list[ProcessContact]:
        """Return this process and the next window of live members, to be sent to another
        process."""
        live = sorted(
            (
                member.contact
                for member in self._by_address.values()
                if member.was_seen and now_ms - member.seen_ms < MEMBER_LOST_AFTER_MS
            ),
            key=lambda contact: contact.address,
        )
        if len(live) > MAX_CONTACTS_PER_MESSAGE:
            start = self._gossip_offset % len(live)
            self._gossip_offset += MAX_CONTACTS_PER_MESSAGE
            live = (live + live)[start : start + MAX_CONTACTS_PER_MESSAGE]
        return [self._own, *live]
