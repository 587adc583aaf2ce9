"""The pooled shares of one budget at its home, and the queue of reservations for them."""

from collections import deque
from dataclasses import dataclass

from skylarkrack.core._bucket import Bucket

MAX_RESERVATION_WAIT_MS = 1000
"""Longest wait at the home for tokens to accrue; a longer one is refused at once."""

FIRST_PLEDGES_WAIT_MS = 100
"""How long a new pool waits for the first pledges; until then it refuses no reservation."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PooledShare:
    """A member's share of a budget, usable until *until_ms*.

    *rate* is in tokens a second, *capacity* in tokens.
    """

    rate: float
    capacity: float
    until_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedReservation:
    """A reservation that *vm* requested and that waits until *deadline_ms*.

    *ticket* identifies it at *vm*.
    """

    vm: str
    ticket: object
    tokens: int
    deadline_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReservationResult:
    """Result of a queued reservation: the *stamp* of its grant, or None if it is refused.

    A refused reservation may be tried again after *retry_after_ms*.
    """

    reservation: QueuedReservation
    stamp: int | None = None
    retry_after_ms: float = 0


class Pool:
    """Shares pledged to this home, one bucket for their sum, and a FIFO queue of reservations.

    *number* identifies the pool in grants and refunds.
    """

    __slots__ = (
        "_bucket",
        "_queued_reservations",
        "_refusals_start_ms",
        "_share_by_vm",
        "last_used_ms",
        "number",
    )

    def __init__(self, *, number: int, now_ms: float) -> None:
        self.number = number
        self.last_used_ms = now_ms
        self._refusals_start_ms = now_ms + FIRST_PLEDGES_WAIT_MS
        self._share_by_vm: dict[str, PooledShare] = {}
        self._bucket = Bucket(rate=0, capacity=0, now_ms=now_ms)
        self._queued_reservations: deque[QueuedReservation] = deque()

    def add_share(self, vm: str, share: PooledShare, tokens: float, *, now_ms: float) -> None:
        """Add or renew a member's share, with the *tokens* that it brings.

        A share whose lease has ended is ignored.
        """
        if share.until_ms <= now_ms:
            return
        self._expire(now_ms)
        self._share_by_vm[vm] = share
        self._reshape(now_ms)
        self._bucket.add_tokens(tokens, now_ms=now_ms)

    def refund(self, tokens: float, *, stamp: int, now_ms: float) -> None:
        """Return unused tokens of the grant *stamp* to the bucket."""
        self._expire(now_ms)
        self._bucket.refund(tokens, stamp=stamp, now_ms=now_ms)

    def enqueue(self, vm: str, ticket: object, tokens: int, *, now_ms: float) -> None:
        """Queue a reservation; `resolve_reservations` returns its result."""
        self.last_used_ms = now_ms
        deadline_ms = now_ms + MAX_RESERVATION_WAIT_MS
        self._queued_reservations.append(
            QueuedReservation(vm=vm, ticket=ticket, tokens=tokens, deadline_ms=deadline_ms)
        )

    def resolve_reservations(self, now_ms: float) -> list[ReservationResult]:
        """Return the results that are known now; reservations are granted in order of arrival.

        A reservation that can't be granted before its deadline is refused at once.
        """
        self._expire(now_ms)
        results = self._grant_in_order(now_ms)
        if now_ms >= self._refusals_start_ms:
            results += self._refuse_late(now_ms)
        return results

    def withdraw(self, vm: str, *, now_ms: float) -> None:
        """Remove a member's share, as when its lease ends."""
        self._expire(now_ms)
        if self._share_by_vm.pop(vm, None) is not None:
            self._reshape(now_ms)

    def level(self, now_ms: float) -> float:
        """Return the number of tokens in the bucket."""
        self._expire(now_ms)
        return self._bucket.level

    def capacity(self, now_ms: float) -> float:
        """Return the sum of the pledged capacities, in tokens."""
        self._expire(now_ms)
        return self._bucket.capacity

    def close(self) -> list[ReservationResult]:
        """Refuse all queued reservations; called when the pool is dropped."""
        refused = [
            ReservationResult(reservation=reservation) for reservation in self._queued_reservations
        ]
        self._queued_reservations.clear()
        return refused

    def _grant_in_order(self, now_ms: float) -> list[ReservationResult]:
        results = []
        while self._queued_reservations:
            reservation = self._queued_reservations[0]
            stamp = self._bucket.take(reservation.tokens, now_ms=now_ms)
            if stamp is None:
                break
            self._queued_reservations.popleft()
            results.append(ReservationResult(reservation=reservation, stamp=stamp))
        return results

    def _refuse_late(self, now_ms: float) -> list[ReservationResult]:
        results, remaining, queued_tokens = [], deque(), 0
        for reservation in self._queued_reservations:
            wait_ms = self._wait_ms(queued_tokens + reservation.tokens, now_ms)
            if now_ms + wait_ms > reservation.deadline_ms:
                results.append(ReservationResult(reservation=reservation, retry_after_ms=wait_ms))
                continue
            queued_tokens += reservation.tokens
            remaining.append(reservation)
        self._queued_reservations = remaining
        return results

    def _wait_ms(self, tokens: float, now_ms: float) -> float:
        missing = tokens - self._bucket.level
        if missing <= 0:
            return 0.0
        return missing / self._bucket.rate * 1000 if self._bucket.rate else float("inf")

    def _expire(self, now_ms: float) -> None:
        """Remove shares whose lease has ended, each as of the end of its lease."""
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
