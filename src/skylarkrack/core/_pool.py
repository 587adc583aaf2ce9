"""The pooled shares of one budget at its home."""

from collections import deque
from dataclasses import dataclass

from skylarkrack.core._bucket import Bucket

MAX_RESERVATION_WAIT_MS = 1000
"""How long a reservation may wait at the home for tokens that are about to come."""

FIRST_PLEDGES_WAIT_MS = 100
"""How long a new pool waits for first pledges before it refuses anything."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PooledShare:
    """A member's share of a budget, usable until *until_ms*."""

    rate: float
    capacity: float
    until_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedReservation:
    """A reservation that waits; *vm* asked for it, under its own *ticket*."""

    vm: str
    ticket: object
    tokens: int
    deadline_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReservationResult:
    """The answer to a waiting reservation: the grant's *stamp*, or None and when to retry."""

    reservation: QueuedReservation
    stamp: int | None = None
    retry_after_ms: float = 0


class Pool:
    """Shares pledged to this home, one bucket over their sum, and who waits for it."""

    __slots__ = (
        "_bucket",
        "_refusals_start_ms",
        "_share_by_vm",
        "_queued_reservations",
        "number",
        "last_used_ms",
    )

    def __init__(self, *, number: int, now_ms: float) -> None:
        self.number = number
        self.last_used_ms = now_ms
        self._refusals_start_ms = now_ms + FIRST_PLEDGES_WAIT_MS
        self._share_by_vm: dict[str, PooledShare] = {}
        self._bucket = Bucket(rate=0, capacity=0, now_ms=now_ms)
        self._queued_reservations: deque[QueuedReservation] = deque()

    def add_share(self, vm: str, share: PooledShare, tokens: float, *, now_ms: float) -> None:
        """Take in or renew a member's share together with the *tokens* that come with it."""
        if share.until_ms <= now_ms:
            return
        self._expire(now_ms)
        self._share_by_vm[vm] = share
        self._reshape(now_ms)
        self._bucket.add_tokens(tokens, now_ms=now_ms)

    def refund(self, tokens: float, *, stamp: int, now_ms: float) -> None:
        """Return tokens that were reserved here and not used."""
        self._expire(now_ms)
        self._bucket.refund(tokens, stamp=stamp, now_ms=now_ms)

    def enqueue(self, vm: str, ticket: object, tokens: int, *, now_ms: float) -> None:
        """Queue a reservation; `settle` gives the verdicts."""
        self.last_used_ms = now_ms
        deadline_ms = now_ms + MAX_RESERVATION_WAIT_MS
        self._queued_reservations.append(
            QueuedReservation(vm=vm, ticket=ticket, tokens=tokens, deadline_ms=deadline_ms)
        )

    def resolve_reservations(self, now_ms: float) -> list[ReservationResult]:
        """Return the verdicts that can be given now, first come first served.

        A reservation that could not be granted before its deadline is refused at once.
        """
        self._expire(now_ms)
        verdicts = self._grant_in_order(now_ms)
        if now_ms >= self._refusals_start_ms:
            verdicts += self._refuse_late(now_ms)
        return verdicts

    def withdraw(self, vm: str, *, now_ms: float) -> None:
        """Take a member's share out, as when its lease ends."""
        self._expire(now_ms)
        if self._share_by_vm.pop(vm, None) is not None:
            self._reshape(now_ms)

    def level(self, now_ms: float) -> float:
        """Return the tokens at hand."""
        self._expire(now_ms)
        return self._bucket.level

    def capacity(self, now_ms: float) -> float:
        """Return the sum of the capacities pledged."""
        self._expire(now_ms)
        return self._bucket.capacity

    def close(self) -> list[ReservationResult]:
        """Refuse everyone who waits; used when this process stops being the home."""
        refused = [ReservationResult(reservation=reserve) for reserve in self._queued_reservations]
        self._queued_reservations.clear()
        return refused

    def _grant_in_order(self, now_ms: float) -> list[ReservationResult]:
        verdicts = []
        while self._queued_reservations:
            reserve = self._queued_reservations[0]
            stamp = self._bucket.take(reserve.tokens, now_ms=now_ms)
            if stamp is None:
                break
            self._queued_reservations.popleft()
            verdicts.append(ReservationResult(reservation=reserve, stamp=stamp))
        return verdicts

    def _refuse_late(self, now_ms: float) -> list[ReservationResult]:
        verdicts, kept, ahead = [], deque(), 0
        for reserve in self._queued_reservations:
            wait_ms = self._wait_ms(ahead + reserve.tokens, now_ms)
            if now_ms + wait_ms > reserve.deadline_ms:
                verdicts.append(ReservationResult(reservation=reserve, retry_after_ms=wait_ms))
                continue
            ahead += reserve.tokens
            kept.append(reserve)
        self._queued_reservations = kept
        return verdicts

    def _wait_ms(self, tokens: float, now_ms: float) -> float:
        missing = tokens - self._bucket.level
        if missing <= 0:
            return 0.0
        return missing / self._bucket.rate * 1000 if self._bucket.rate else float("inf")

    def _expire(self, now_ms: float) -> None:
        """Drop shares whose lease has ended, at the moment when each ended."""
        ended = [(s.until_ms, vm) for vm, s in self._share_by_vm.items() if s.until_ms <= now_ms]
        for until_ms, vm in sorted(ended):
            del self._share_by_vm[vm]
            self._reshape(until_ms)
        self._bucket.advance(now_ms)

    def _reshape(self, now_ms: float) -> None:
        shares = self._share_by_vm.values()
        self._bucket.reshape(
            rate=sum(share.rate for share in shares),
            capacity=sum(share.capacity for share in shares),
            now_ms=now_ms,
        )
