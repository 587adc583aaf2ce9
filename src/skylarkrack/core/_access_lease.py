"""The lease under which a process may act on the configuration it holds.

Evidence for a time T proves that some process read the platform at T or later and that this
process held everything published by T. While its evidence is younger than the lease, the process
may admit requests and continue open ones. A withdrawal of access therefore takes effect everywhere
within the lease, also in a process that is partitioned, or suspended and resumed.

When the platform is down for every process, no evidence is renewed, but nothing can be published
either, so service continues. A process assumes such an outage when in every failure domain of the
roster some member has answered recently and none of them has newer evidence. If all members of a
domain are silent, a partition may hide that they still read the platform, so the process stops.
"""

from collections.abc import Set
from dataclasses import dataclass

ACCESS_LEASE_MS = 3000
"""Maximum age of the evidence; a process with older evidence admits and continues nothing.

A published change is to take effect within 4 s.
"""

MAX_PEER_ANSWER_AGE_MS = 1500
"""Maximum age of a member's answer; a member with an older one counts as silent."""


@dataclass(slots=True)
class _Peer:
    """Failure domain and newest answer of a peer."""

    domain: str
    answered_ms: float


class AccessLease:
    """The access lease and its evidence. Times are monotonic milliseconds."""

    __slots__ = ("_domains", "_evidence_ms", "_peer_by_vm")

    def __init__(self) -> None:
        self._domains: frozenset[str] = frozenset()
        self._evidence_ms = float("-inf")
        self._peer_by_vm: dict[str, _Peer] = {}

    def observe_roster(self, domains: Set[str]) -> None:
        """Set the failure domains of the roster's members other than this process."""
        self._domains = frozenset(domains)

    def observe_read(self, requested_ms: float) -> None:
        """Record that the platform answered a read sent at *requested_ms*.

        This process then holds everything published by that time.
        """
        self._evidence_ms = max(self._evidence_ms, requested_ms)

    def observe_peer(
        self, vm: str, *, domain: str, ping_sent_ms: float, evidence_age_ms: float, is_newer: bool
    ) -> None:
        """Record that a peer answered a ping sent at *ping_sent_ms*.

        A negative *evidence_age_ms* means that the peer has no evidence. With *is_newer* the peer
        holds a newer configuration than this process; its answer is ignored, because it proves
        only that there is something to fetch.
        """
        if is_newer:
            return
        self._peer_by_vm[vm] = _Peer(domain, ping_sent_ms)
        if evidence_age_ms >= 0:
            self._evidence_ms = max(self._evidence_ms, ping_sent_ms - evidence_age_ms)

    def forget_peer(self, vm: str) -> None:
        """Remove a peer whose link has closed."""
        self._peer_by_vm.pop(vm, None)

    def evidence_age_ms(self, now_ms: float) -> float:
        """Return the age of the evidence in milliseconds; infinite without evidence."""
        return now_ms - self._evidence_ms

    def ends_ms(self) -> float:
        """Return when the lease ends by what is known now.

        It never ends for a process that has evidence and no other member in its roster.
        """
        return max(self._evidence_ms + ACCESS_LEASE_MS, self._outage_ends_ms())

    def is_held(self, now_ms: float) -> bool:
        """Return whether this process may act on its configuration."""
        return now_ms <= self.ends_ms()

    def _outage_ends_ms(self) -> float:
        """Return until when an outage of the platform for every process may be assumed."""
        if self._evidence_ms == float("-inf"):
            return self._evidence_ms
        if not self._domains:
            return float("inf")
        answered_ms_by_domain = {domain: float("-inf") for domain in self._domains}
        for peer in self._peer_by_vm.values():
            if peer.domain in answered_ms_by_domain:
                answered_ms_by_domain[peer.domain] = max(
                    answered_ms_by_domain[peer.domain], peer.answered_ms
                )
        return min(answered_ms_by_domain.values()) + MAX_PEER_ANSWER_AGE_MS
