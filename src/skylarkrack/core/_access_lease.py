"""Whether this process may act on the configuration it holds.

Evidence is a proof that somebody read the platform, at a moment no later than T, and that this
process held all that was published by then. With evidence younger than the lease the process may
admit requests and go on with open ones; a withdrawal therefore works everywhere within the lease,
also in a process that is cut off, or paused and woken.

When the platform is down for everybody no evidence is renewed, yet nothing can be published
either, and service goes on. A process takes the platform to be down for all when in every failure
domain of the roster some member has lately answered and none of them has newer evidence. When a
whole domain is silent as well, the process may be cut off from the readers there, and stops.
"""

from collections.abc import Set
from dataclasses import dataclass

ACCESS_LEASE_MS = 3000
"""Age of evidence up to which a process may act. The target is 4 s from publishing to force."""

MAX_PEER_ANSWER_AGE_MS = 1500
"""How lately a member must have answered to count as heard."""


@dataclass(slots=True)
class _Peer:
    domain: str
    answered_ms: float


class AccessLease:
    """The lease and the evidence it stands on. Times are monotonic milliseconds."""

    __slots__ = ("_domains", "_evidence_ms", "_peer_by_vm")

    def __init__(self) -> None:
        self._domains: frozenset[str] = frozenset()
        self._evidence_ms = float("-inf")
        self._peer_by_vm: dict[str, _Peer] = {}

    def observe_roster(self, domains: Set[str]) -> None:
        """Set the failure domains of the other members of the roster, this process left out."""
        self._domains = frozenset(domains)

    def observe_read(self, requested_ms: float) -> None:
        """The platform answered a read that was asked at *asked_ms*; nothing newer is unknown."""
        self._evidence_ms = max(self._evidence_ms, requested_ms)

    def observe_peer(
        self, vm: str, *, domain: str, ping_sent_ms: float, evidence_age_ms: float, is_newer: bool
    ) -> None:
        """A peer answered a ping sent at *ping_sent_ms*.

        Evidence of a peer that holds a newer configuration than this process is not taken: it
        proves only that there is something to fetch.
        """
        if is_newer:
            return
        self._peer_by_vm[vm] = _Peer(domain, ping_sent_ms)
        if evidence_age_ms >= 0:
            self._evidence_ms = max(self._evidence_ms, ping_sent_ms - evidence_age_ms)

    def forget_peer(self, vm: str) -> None:
        """The link to a peer ended."""
        self._peer_by_vm.pop(vm, None)

    def evidence_age_ms(self, now_ms: float) -> float:
        """Return the age of the evidence; infinite if there never was any."""
        return now_ms - self._evidence_ms

    def ends_ms(self) -> float:
        """Return until when this process may act on its configuration, by what it knows now."""
        return max(self._evidence_ms + ACCESS_LEASE_MS, self._outage_ends_ms())

    def is_held(self, now_ms: float) -> bool:
        """Tell whether this process may act on its configuration."""
        return now_ms <= self.ends_ms()

    def _outage_ends_ms(self) -> float:
        """Return until when the platform may be taken to be down for everybody."""
        if self._evidence_ms == float("-inf"):
            return self._evidence_ms
        if not self._domains:
            return float("inf")
        answered_ms = {domain: float("-inf") for domain in self._domains}
        for peer in self._peer_by_vm.values():
            if peer.domain in answered_ms:
                answered_ms[peer.domain] = max(answered_ms[peer.domain], peer.answered_ms)
        return min(answered_ms.values()) + MAX_PEER_ANSWER_AGE_MS
