"""Which processes there are, found from a few seeds and told on by those that answer."""

from dataclasses import dataclass

MEMBER_LOST_AFTER_MS = 3000.0
"""A member that is silent for longer is only called from time to time."""

PROBE_INTERVAL_MS = 1000.0
"""Time between calls to members that are silent, and to seeds that are not known yet."""

STARTUP_PROBE_INTERVAL_MS = 150.0
STARTUP_MS = 4000.0
"""A new process calls its seeds more often at first: of many that start at once, some hear none."""

FORGET_MEMBER_AFTER_MS = 120_000.0
"""A member that is silent for longer is taken for replaced."""

AGENT = "agent"

MAX_CONTACTS_PER_MESSAGE = 40
"""Members told in one message; a window that moves on, so that all are told by and by."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessContact:
    """A process of the system: its VM, the address it hears on, its role and failure domain.

    *passes_on* tells that its link is fast enough to hand on what others tell.
    """

    vm: str
    address: str
    role: str
    domain: str
    passes_on: bool = False


def broadcast_recipients(
    entries: list[ProcessContact], *, domain: str, turn: int
) -> list[ProcessContact]:
    """Return who of *entries* is sent what all are to hear, by a process in *domain*.

    All in the same failure domain, and one in each other that can pass it on there. Who that is
    changes with *turn*, so that a dead one loses only some tellings. Where nobody can, all are sent
    it: a slow link would hold up what everybody waits for.
    """
    by_domain: dict[str, list[ProcessContact]] = {}
    for contact in sorted(entries, key=lambda contact: contact.vm):
        by_domain.setdefault(contact.domain, []).append(contact)
    found = by_domain.pop(domain, [])
    for group in by_domain.values():
        able = [contact for contact in group if contact.passes_on]
        found += [able[turn % len(able)]] if able else group
    return found


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
        """Return the members of *role* that were heard lately."""
        return [
            member.contact
            for member in self._by_address.values()
            if member.contact.role == role
            and member.was_seen
            and now_ms - member.seen_ms < MEMBER_LOST_AFTER_MS
        ]

    # Commands

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Take the addresses to begin with; others are found from them."""
        self._probed_ms_by_seed = {
            address: self._probed_ms_by_seed.get(address, float("-inf"))
            for address in addresses
            if address != self._own.address
        }

    def mark_seen(self, contact: ProcessContact, now_ms: float) -> bool:
        """Note that a process was heard; tell whether it is new or was lost."""
        if contact.address == self._own.address or contact.role == self._own.role == AGENT:
            return False
        member = self._by_address.get(contact.address)
        is_news = member is None or not member.was_seen
        is_news = is_news or now_ms - member.seen_ms >= MEMBER_LOST_AFTER_MS
        self._by_address[contact.address] = _Member(contact, now_ms, now_ms, was_seen=True)
        return is_news

    def learn(self, contact: ProcessContact, now_ms: float) -> None:
        """Note a process that another one has told of; agents have nothing to tell each other."""
        if contact.role == self._own.role == AGENT:
            return
        if contact.address != self._own.address and contact.address not in self._by_address:
            self._by_address[contact.address] = _Member(contact, now_ms)

    def addresses_to_probe(self, now_ms: float) -> list[str]:
        """Return the silent members and unknown seeds to be called now."""
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
        """Return this process and the next few of the live members, to be told to another one."""
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
