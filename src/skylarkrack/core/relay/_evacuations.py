"""Tracks which failure domains an operator has evacuated.

The state of a domain is read from the store, or told by another entry. States are ordered by the
store's era and revision, so that news which arrives late, repeatedly or from an entry with a stale
view never replaces a newer state. A listing also tells that the domains it lacks were not evacuated
at its revision.

A store that was restored from an older copy may lack an evacuation that its operator will write
again. Such an evacuation is kept for `REWIND_HOLD_MS` after the first listing of the new era.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

REWIND_HOLD_MS = 2000.0
"""Time for which an evacuation is kept that is missing from the first listing of a new era."""

MAX_NAME_LENGTH = 100
"""Longest name of a failure domain; an evacuation of a longer one is ignored.

The states of `MAX_ACTIVE` and `MAX_ENDED` domains have to fit into one datagram of 60 kB.
"""

MAX_ENDED = 200
"""Ended evacuations that are remembered; beyond it those that ended first are dropped.

A dropped one counts as ended at the revision of the last listing.
"""

MAX_ACTIVE = 200
"""Domains that may be evacuated at once; further ones are ignored. A site has a few domains."""

REPEAT_MS = 2000.0
"""Longest time between two notices that an entry receives while a domain is evacuated."""

ENTRIES_AT_FULL_RATE = 10
"""Number of other entries above which each entry repeats its notices less often.

Otherwise the notices that one entry receives would grow with the fleet.
"""

END_REPEATED_MS = 10_000.0
"""Time for which the end of an evacuation is repeated too, for entries that missed it."""

NOTICES_ON_CHANGE = 3
NOTICE_INTERVAL_MS = 200.0
"""Number of notices about a change, since datagrams are lost, and the time between them."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Evacuation:
    """State of the evacuation of *domain* as of *revision* in *era* of the store."""

    domain: str
    is_active: bool
    era: int
    revision: int

    @property
    def order(self) -> tuple[int, int, bool]:
        """Sort key by which a newer state replaces an older one.

        An end goes before an evacuation at the same revision. Only a listing without the domain
        names such a revision, and a domain that it lacks was not evacuated.
        """
        return self.era, self.revision, not self.is_active


def is_domain_name(name: object) -> bool:
    """Return whether *name* may be the name of a failure domain."""
    if not isinstance(name, str) or not 1 <= len(name) <= MAX_NAME_LENGTH:
        return False
    return name.isascii() and name.isprintable()


class Evacuations:
    """The newest known state of each domain. Times are in ms on a monotonic clock.

    Commands return the states that started or ended an evacuation here.
    """

    __slots__ = (
        "_ended_ms_by_domain",
        "_era_listed_ms",
        "_listed",
        "_notices_due_by_domain",
        "_repeat_due_ms",
        "_state_by_domain",
    )

    def __init__(self) -> None:
        self._state_by_domain: dict[str, Evacuation] = {}
        self._listed = (-1, -1)
        self._era_listed_ms = float("-inf")
        self._ended_ms_by_domain: dict[str, float] = {}
        # Notices left and the time of the next one, for each domain whose state changed.
        self._notices_due_by_domain: dict[str, tuple[int, float]] = {}
        self._repeat_due_ms = float("-inf")

    # Queries

    def active_domains(self) -> frozenset[str]:
        """Return the evacuated domains."""
        return frozenset(s.domain for s in self._state_by_domain.values() if s.is_active)

    def repeated_states(self, now_ms: float) -> list[Evacuation]:
        """Return the states that entries are told again: evacuations, and ends for a time."""
        recent = {
            domain
            for domain, ended_ms in self._ended_ms_by_domain.items()
            if now_ms - ended_ms < END_REPEATED_MS
        }
        states = self._state_by_domain.values()
        return [state for state in states if state.is_active or state.domain in recent]

    def held_domains(self) -> frozenset[str]:
        """Return the domains whose evacuation is kept though the store of this era lacks it."""
        era = self._listed[0]
        return frozenset(
            s.domain for s in self._state_by_domain.values() if s.is_active and s.era < era
        )

    # Commands

    def publish(self, state: Evacuation, now_ms: float) -> list[Evacuation]:
        """Apply a write or a removal that was read from the store."""
        changes = self._apply(state, now_ms)
        self._announce(changes, NOTICES_ON_CHANGE, now_ms)
        return changes

    def apply_listing(
        self, revision_by_domain: Mapping[str, int], *, era: int, revision: int, now_ms: float
    ) -> list[Evacuation]:
        """Apply a complete listing, with the revision of the write for each evacuated domain."""
        if (era, revision) < self._listed:
            return []
        # Peers learn of an evacuation that existed before this process by a single notice. All
        # entries of a fleet may start at once.
        notices = 1 if self._listed[0] < 0 else NOTICES_ON_CHANGE
        changes: list[Evacuation] = []
        for domain, written in revision_by_domain.items():
            changes += self._apply(
                Evacuation(domain=domain, is_active=True, era=era, revision=written), now_ms
            )
        # Only now: what was written before this listing would count as older than it.
        if era > self._listed[0]:
            self._era_listed_ms = now_ms
        self._listed = (era, revision)
        for domain in self.active_domains() - self.held_domains() - revision_by_domain.keys():
            changes += self._apply(self._ended_by_listing(domain), now_ms)
        self._announce(changes, notices, now_ms)
        return changes

    def receive(
        self, states: Iterable[Evacuation], now_ms: float
    ) -> tuple[list[Evacuation], list[Evacuation]]:
        """Apply what another entry told.

        Returns the changes, and the states to answer with since the other entry's are older.
        """
        changes, newer = [], []
        for state in states:
            known = self._known(state.domain)
            if state.order > known.order or self._is_held(state, known, now_ms):
                changes += self._apply(state, now_ms, is_held=True)
            elif state.order < known.order and not self._is_unsure_of(state, known, now_ms):
                newer.append(known)
        return changes, newer

    def advance(self, now_ms: float) -> list[Evacuation]:
        """End the evacuations that the store of a new era still lacks."""
        if now_ms < self._era_listed_ms + REWIND_HOLD_MS:
            return []
        changes: list[Evacuation] = []
        for domain in self.held_domains():
            changes += self._apply(self._ended_by_listing(domain), now_ms)
        self._announce(changes, NOTICES_ON_CHANGE, now_ms)
        return changes

    def take_due(self, now_ms: float, *, other_entries: int, jitter: float) -> list[Evacuation]:
        """Return the states to tell all entries now.

        *jitter*, from 0 to 1, spreads the notices of several entries over time.
        """
        due: dict[str, Evacuation] = {}
        for domain, (left, at_ms) in list(self._notices_due_by_domain.items()):
            if at_ms > now_ms:
                continue
            due[domain] = self._known(domain)
            del self._notices_due_by_domain[domain]
            if left > 1:
                self._notices_due_by_domain[domain] = (left - 1, now_ms + NOTICE_INTERVAL_MS)
        repeated = self.repeated_states(now_ms)
        interval_ms = REPEAT_MS * max(1.0, other_entries / ENTRIES_AT_FULL_RATE)
        if not repeated:
            self._repeat_due_ms = float("-inf")
        elif self._repeat_due_ms == float("-inf"):
            self._repeat_due_ms = now_ms + jitter * interval_ms
        elif self._repeat_due_ms <= now_ms:
            self._repeat_due_ms = now_ms + interval_ms
            due.update({state.domain: state for state in repeated})
        return list(due.values())

    def _known(self, domain: str) -> Evacuation:
        return self._state_by_domain.get(domain) or self._ended_by_listing(domain)

    def _ended_by_listing(self, domain: str) -> Evacuation:
        era, revision = self._listed
        return Evacuation(domain=domain, is_active=False, era=era, revision=revision)

    def _is_held(self, state: Evacuation, known: Evacuation, now_ms: float) -> bool:
        """Return whether a told evacuation of an earlier era is to be kept for a time."""
        is_unknown = state.domain not in self._state_by_domain
        return is_unknown and state.is_active and self._is_unsure_of(state, known, now_ms)

    def _is_unsure_of(self, state: Evacuation, known: Evacuation, now_ms: float) -> bool:
        """Return whether the store was restored so lately that *state* may be written again."""
        is_hold_over = now_ms >= self._era_listed_ms + REWIND_HOLD_MS
        return state.era < known.era and known.era == self._listed[0] and not is_hold_over

    def _apply(
        self, state: Evacuation, now_ms: float, *, is_held: bool = False
    ) -> list[Evacuation]:
        """Store a state that is newer than the known one, or that is held."""
        known = self._known(state.domain)
        if state.order <= known.order and not is_held:
            return []
        was_active = known.is_active
        if state.is_active and not was_active and len(self.active_domains()) >= MAX_ACTIVE:
            return []
        if was_active and not state.is_active:
            self._ended_ms_by_domain[state.domain] = now_ms
        self._state_by_domain.pop(state.domain, None)
        self._state_by_domain[state.domain] = state
        ended = [s.domain for s in self._state_by_domain.values() if not s.is_active]
        for domain in ended[: max(0, len(ended) - MAX_ENDED)]:
            del self._state_by_domain[domain]
            self._ended_ms_by_domain.pop(domain, None)
            self._notices_due_by_domain.pop(domain, None)
        return [state] if state.is_active != was_active else []

    def _announce(self, changes: Iterable[Evacuation], notices: int, now_ms: float) -> None:
        for state in changes:
            self._notices_due_by_domain[state.domain] = (notices, now_ms)
