"""Chooses the agents that keep the origins of streams, so that these outlive the entries.

The keepers of a stream are the agents that follow its key on a hash ring of the live agents. The
load that this answers is a kill of all entries: the origins that only they knew would be gone.
"""

from collections.abc import Callable, Iterable

from skylarkrack.core._hashing import HashRing

KEEPERS = 2
"""Agents that an origin is sent to."""

FIRST_ASKED = 4
"""Agents that are asked first: the keepers, and those that were or will be, where entries disagree
about who is alive."""

MAX_ASKED_AGENTS = 64
"""Agents that are asked where the first ones know nothing. It bounds the datagrams of a take-up of
a stream that nobody knows."""

RESEND_INTERVAL_MS = 1_000.0
"""Time between two checks of the own origins for new keepers; agents may come and go in swarms."""

CHECKED_PER_CALL = 500
"""Streams that are checked for new keepers in one call; each costs two hashes."""

RESENT_PER_CALL = 50
"""Streams that are sent again in one call. With a call every 50 ms and rows of some 60 bytes it is
at most 120 KB/s, a fifth of a link of 5 Mbit/s."""


class StreamKeepers:
    """The ring of the live agents, and the streams whose keepers have changed. Times are ms."""

    __slots__ = ("_checked_ms", "_due_keys", "_ring", "_sent_ring", "_target_ring")

    def __init__(self) -> None:
        self._ring = HashRing()
        # Up to the last check, origins were sent to the keepers on this ring.
        self._sent_ring = HashRing()
        self._target_ring = HashRing()
        self._due_keys: list[bytes] = []
        self._checked_ms = float("-inf")

    # Queries

    @property
    def agents(self) -> frozenset[str]:
        """The VMs of the live agents."""
        return self._ring.members

    def keepers_of(self, key: bytes) -> list[str]:
        """Return the agents that keep the origin of a stream."""
        return self._ring.first(key.hex(), KEEPERS)

    def asked_first(self, key: bytes) -> list[str]:
        """Return the agents that are asked first for the origin of a stream."""
        return self._ring.first(key.hex(), FIRST_ASKED)

    def asked_next(self, key: bytes) -> list[str]:
        """Return the agents that are asked where the first ones don't know the stream."""
        return self._ring.first(key.hex(), FIRST_ASKED + MAX_ASKED_AGENTS)[FIRST_ASKED:]

    # Commands

    def set_agents(self, agents: Iterable[str]) -> None:
        """Set the VMs of the live agents; nothing is hashed for those that are known."""
        agents = frozenset(agents)
        if agents != self._ring.members:
            self._ring = HashRing(agents, known=self._ring)

    def forget_rows_of(self, agent: str) -> None:
        """Record that an agent was restarted, so that it no longer holds what was sent to it."""
        self._sent_ring = HashRing(self._sent_ring.members - {agent}, known=self._sent_ring)
        if agent in self._target_ring.members:
            self._target_ring = HashRing(
                self._target_ring.members - {agent}, known=self._target_ring
            )

    def take_due(
        self, list_own: Callable[[], list[bytes]], now_ms: float
    ) -> list[tuple[bytes, list[str]]]:
        """Return own streams with their new keepers, which were not sent their origins yet.

        *list_own* returns the keys of this entry's streams, the newest first. It is called only
        after the agents have changed. The result is bounded; further streams follow with the next
        calls.
        """
        if not self._due_keys:
            if self._sent_ring is self._ring or now_ms - self._checked_ms < RESEND_INTERVAL_MS:
                return []
            self._checked_ms, self._target_ring = now_ms, self._ring
            # Reversed, so that the newest are taken from the end first.
            self._due_keys = list_own()[::-1]
        due = []
        for _ in range(min(CHECKED_PER_CALL, len(self._due_keys))):
            if len(due) >= RESENT_PER_CALL:
                break
            key = self._due_keys.pop()
            before = self._sent_ring.first(key.hex(), KEEPERS)
            added = [a for a in self._target_ring.first(key.hex(), KEEPERS) if a not in before]
            if added:
                due.append((key, added))
        if not self._due_keys:
            self._sent_ring = self._target_ring
        return due
