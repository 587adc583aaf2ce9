"""Fleet budgets (an organisation's tokens, the weight store's loads) without shared state.

Every entry holds a fixed share of every budget; the shares add up to the whole. With uneven load
balancing, fixed shares alone would refuse requests while the budget still has tokens. Therefore
each budget has a home, one entry chosen by rendezvous hashing. The other entries pledge their
shares to it for a short lease, and it grants reservations from the pool of all shares. A member
that loses its home waits until its pledge has certainly ended and then spends its own share, which
is empty at first. At any time a share is usable in only one place, so the sum of all grants stays
within rate and burst, also through partitions, replaced processes and processes that resume after
a suspension.
"""

from dataclasses import dataclass
from functools import singledispatchmethod

from skylarkrack._errors import Code
from skylarkrack.core._actions import DenyTokens, GrantTokens, Send
from skylarkrack.core._budget_events import (
    BudgetMessageReceived,
    EntriesChanged,
    LeaseChanged,
    Limit,
    LimitsChanged,
    LinksChanged,
    Ticked,
    TokensRequested,
    TokensUnused,
)
from skylarkrack.core._hashing import rendezvous_first
from skylarkrack.core._member_share import MemberShare
from skylarkrack.core._pool import MAX_RESERVATION_WAIT_MS, Pool, PooledShare, ReservationResult
from skylarkrack.core._shares import PLEDGE_LEASE_MS, PLEDGE_MARGIN_MS, ShareSchedule
from skylarkrack.messages import (
    NotReserved,
    Pledge,
    PledgeRequest,
    Refund,
    Reserved,
    ReserveRequest,
)

PLEDGE_RENEWAL_INTERVAL_MS = 400
"""Interval at which a home renews the pledges of its pools."""

POOL_IDLE_TIMEOUT_MS = 60_000
"""Time since its last reservation after which a pool is closed."""

RESERVATION_TIMEOUT_MS = 1400
"""Time within which a home must answer a reservation; a later grant is not used."""

STORE_BUDGET = "store"
"""Name of the weight store's budget, counted in loads."""

INCARNATION_SHIFT_BITS = 31
"""Bits for the pool and message numbers of one incarnation; it must not use more."""

OWN_SHARE_POOL_NUMBER = 0
"""Pool number of grants from an entry's own share."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _PendingReservation:
    """A reservation sent to the home on *vm*, which must answer by *deadline_ms*."""

    request: TokensRequested
    vm: str
    deadline_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _QueuedRequest:
    """A request that waits for tokens of this entry's own share until *deadline_ms*."""

    request: TokensRequested
    deadline_ms: float


class BudgetCore:
    """All budgets of one entry: events and the current time go in, actions come out.

    *incarnation* is a number that no earlier process on this VM had. Pool and message numbers
    start from it, so that answers and refunds meant for an earlier process match nothing here.

    Without *is_pooled* each entry spends organisations' tokens from its own share only, as a
    baseline for measurements. The weight store's budget is always pooled.
    """

    __slots__ = (
        "_entries",
        "_is_pooled",
        "_is_settled",
        "_last_pool_number",
        "_lease_until_ms",
        "_limit_by_budget",
        "_linked",
        "_next_renewal_ms",
        "_pending_by_sequence",
        "_pool_by_budget",
        "_queued_requests",
        "_renewal_sent_ms_by_sequence",
        "_schedule",
        "_sequence",
        "_share_by_budget",
        "_vm",
    )

    def __init__(self, *, vm: str, incarnation: int, is_pooled: bool = True) -> None:
        self._vm = vm
        self._is_pooled = is_pooled
        self._lease_until_ms = float("-inf")
        self._schedule = ShareSchedule(vm=vm)
        self._entries: frozenset[str] = frozenset()
        self._linked: frozenset[str] = frozenset()
        self._limit_by_budget: dict[str, Limit] = {}
        self._share_by_budget: dict[str, MemberShare] = {}
        self._pool_by_budget: dict[str, Pool] = {}
        self._last_pool_number = incarnation << INCARNATION_SHIFT_BITS
        self._pending_by_sequence: dict[int, _PendingReservation] = {}
        self._queued_requests: list[_QueuedRequest] = []
        self._renewal_sent_ms_by_sequence: dict[int, float] = {}
        self._next_renewal_ms = 0.0
        self._sequence = incarnation << INCARNATION_SHIFT_BITS
        self._is_settled = False

    # Queries

    def home_of(self, budget: str) -> str | None:
        """Return the home of *budget* in the current roster, or None if the roster is empty."""
        return rendezvous_first(budget, self._entries)

    def is_settled(self) -> bool:
        """Return whether the shares of the newest roster are in effect."""
        return self._is_settled

    def describe(self, now_ms: float) -> dict[str, object]:
        """Return the state for `skylarkctl state`."""
        return {
            "fraction": self._schedule.fraction(now_ms),
            "settled": self._is_settled,
            "budgets": {name: self._describe(name, now_ms) for name in self._limit_by_budget},
        }

    def _describe(self, budget: str, now_ms: float) -> dict[str, object]:
        share, pool = self._share_by_budget[budget], self._pool_by_budget.get(budget)
        return {
            "home": self.home_of(budget),
            "pledged_to": share.pledged_to if share.pledge_left_ms(now_ms) else None,
            "pool_level": round(pool.level(now_ms)) if pool else None,
            "pool_capacity": round(pool.capacity(now_ms)) if pool else None,
        }

    # Commands

    @singledispatchmethod
    def handle(self, event: object, now_ms: float) -> list:
        """Handle *event* at *now_ms* and return the resulting actions.

        Raises `TypeError` for an object that is not a budget event.
        """
        raise TypeError(f"not a budget event: {type(event).__name__}")

    @handle.register
    def _(self, event: LimitsChanged, now_ms: float) -> list:
        self._limit_by_budget = dict(event.limit_by_budget)
        for budget in self._limit_by_budget.keys() - self._share_by_budget.keys():
            self._share_by_budget[budget] = MemberShare(now_ms=now_ms)
        self._reshape_shares(now_ms)
        actions = []
        for budget in self._pool_by_budget.keys() - self._limit_by_budget.keys():
            actions += self._close_pool(budget, now_ms)
        return actions

    @handle.register
    def _(self, event: EntriesChanged, now_ms: float) -> list:
        self._entries = frozenset(event.entries)
        self._schedule.observe(self._entries, now_ms=now_ms)
        self._reshape_shares(now_ms)
        return self._close_moved_pools(now_ms)

    @handle.register
    def _(self, event: LeaseChanged, now_ms: float) -> list:
        self._lease_until_ms = event.until_ms
        return []

    @handle.register
    def _(self, event: LinksChanged, now_ms: float) -> list:
        self._linked = frozenset(event.linked)
        return self._abandon_lost_reservations(now_ms)

    @handle.register
    def _(self, event: TokensRequested, now_ms: float) -> list:
        if now_ms > self._lease_until_ms:
            return [_deny(event.ticket, Code.ACCESS_UNCONFIRMED, PLEDGE_LEASE_MS)]
        limit = self._limit_by_budget.get(event.budget)
        if limit is None:
            return [_deny(event.ticket, Code.PLAN_LAPSED, None)]
        if event.tokens > limit.burst:
            return [_deny(event.ticket, Code.LARGER_THAN_BURST, None)]
        home = self.home_of(event.budget)
        if not self._is_pooled and event.budget != STORE_BUDGET:
            return self._take_from_own_share(event, now_ms)
        if home == self._vm:
            pool, actions = self._get_or_create_pool(event.budget, now_ms)
            pool.enqueue(self._vm, event, event.tokens, now_ms=now_ms)
            return actions + self._resolve_reservations(event.budget, now_ms)
        if home in self._linked:
            return [self._reserve_at_home(home, event, now_ms)]
        return self._take_from_own_share(event, now_ms)

    @handle.register
    def _(self, event: TokensUnused, now_ms: float) -> list:
        grant = event.grant
        if event.tokens <= 0:
            return []
        refund = Refund(
            budget=grant.budget, pool=grant.pool, stamp=grant.stamp, tokens=event.tokens
        )
        if grant.source == self._vm:
            return self._apply_refund(refund, now_ms)
        return [Send(vm=grant.source, message=refund)]

    @handle.register
    def _(self, event: BudgetMessageReceived, now_ms: float) -> list:
        if now_ms > self._lease_until_ms:
            # A process that was partitioned, or suspended and resumed, may hold more than its
            # share of a newer roster; it grants and pledges nothing until it has read that.
            return _decline_without_lease(event)
        return self._receive(event.message, event.vm, now_ms)

    @handle.register
    def _(self, event: Ticked, now_ms: float) -> list:
        self._reshape_shares(now_ms)
        actions = self._abandon_lost_reservations(now_ms)
        actions += self._retry_queued(now_ms)
        if now_ms >= self._next_renewal_ms:
            self._next_renewal_ms = now_ms + PLEDGE_RENEWAL_INTERVAL_MS
            actions += self._renew_pledges(now_ms)
        if now_ms > self._lease_until_ms:
            return actions
        for budget in list(self._pool_by_budget):
            actions += self._resolve_reservations(budget, now_ms)
        return actions

    # Messages from other entries

    @singledispatchmethod
    def _receive(self, message: object, vm: str, now_ms: float) -> list:
        raise TypeError(f"not a budget message: {type(message).__name__}")

    @_receive.register
    def _(self, message: PledgeRequest, vm: str, now_ms: float) -> list:
        rows = []
        for budget in message.budgets:
            rows += self._pledge(budget, vm, now_ms)
        return [Send(vm=vm, message=Pledge(sequence=message.sequence, rows=rows))]

    @_receive.register
    def _(self, message: Pledge, vm: str, now_ms: float) -> list:
        sent_ms = self._renewal_sent_ms_by_sequence.get(message.sequence)
        if sent_ms is None:
            return []
        actions = []
        for budget, rate, capacity, tokens in message.rows:
            pool = self._pool_by_budget.get(budget)
            if pool is None:
                continue
            until_ms = sent_ms + PLEDGE_LEASE_MS
            share = PooledShare(rate=rate, capacity=capacity, until_ms=until_ms)
            pool.add_share(vm, share, tokens, now_ms=now_ms)
            actions += self._resolve_reservations(budget, now_ms)
        return actions

    @_receive.register
    def _(self, message: ReserveRequest, vm: str, now_ms: float) -> list:
        is_home = self.home_of(message.budget) == self._vm
        if not is_home or message.budget not in self._limit_by_budget:
            answer = NotReserved(sequence=message.sequence, retry_after_ms=-1)
            return [Send(vm=vm, message=answer)]
        pool, actions = self._get_or_create_pool(message.budget, now_ms)
        pool.enqueue(vm, message.sequence, message.tokens, now_ms=now_ms)
        return actions + self._resolve_reservations(message.budget, now_ms)

    @_receive.register
    def _(self, message: Reserved, vm: str, now_ms: float) -> list:
        pending = self._pending_by_sequence.pop(message.sequence, None)
        if pending is None or now_ms > pending.deadline_ms:
            return self._deny_expired(pending)
        request = pending.request
        return [_grant(request, source=vm, pool=message.pool, stamp=message.stamp)]

    @_receive.register
    def _(self, message: NotReserved, vm: str, now_ms: float) -> list:
        pending = self._pending_by_sequence.pop(message.sequence, None)
        if pending is None:
            return []
        if message.retry_after_ms < 0:
            return self._take_from_own_share(pending.request, now_ms)
        return [_deny(pending.request.ticket, Code.RATE_EXCEEDED, message.retry_after_ms)]

    @_receive.register
    def _(self, message: Refund, vm: str, now_ms: float) -> list:
        return self._apply_refund(message, now_ms)

    # This entry as a member

    def _reshape_shares(self, now_ms: float) -> None:
        fraction = self._schedule.fraction(now_ms)
        self._is_settled = self._schedule.is_settled(now_ms)
        for budget, limit in self._limit_by_budget.items():
            rate, capacity = limit.rate * fraction, limit.burst * fraction
            share = self._share_by_budget[budget]
            share.reshape(rate=rate, capacity=capacity, now_ms=now_ms)
            pool = self._pool_by_budget.get(budget)
            if pool is not None:
                share.join_pool(pool, self._vm, now_ms=now_ms)

    def _pledge(self, budget: str, home: str, now_ms: float) -> list:
        """Return the rows of a pledge to *home*.

        There are none if this roster has another home, or the share is pooled or pledged elsewhere.
        """
        share = self._share_by_budget.get(budget)
        if share is None or budget in self._pool_by_budget or self.home_of(budget) != home:
            return []
        pledged = share.pledge(home, now_ms=now_ms)
        return [[budget, *pledged]] if pledged is not None else []

    def _take_from_own_share(self, request: TokensRequested, now_ms: float) -> list:
        """Take from this entry's own share, once any pledge of it has ended."""
        deadline_ms = now_ms + PLEDGE_LEASE_MS + PLEDGE_MARGIN_MS + MAX_RESERVATION_WAIT_MS
        return self._take_or_queue(_QueuedRequest(request=request, deadline_ms=deadline_ms), now_ms)

    def _take_or_queue(self, queued: _QueuedRequest, now_ms: float) -> list:
        """Take from the own share now, queue the request, or deny it if it would wait too long."""
        request = queued.request
        if now_ms > self._lease_until_ms:
            return [_deny(request.ticket, Code.ACCESS_UNCONFIRMED, PLEDGE_LEASE_MS)]
        share = self._share_by_budget.get(request.budget)
        if share is None:
            return [_deny(request.ticket, Code.PLAN_LAPSED, None)]
        stamp = share.take(request.tokens, now_ms=now_ms)
        if stamp is not None:
            return [_grant(request, source=self._vm, pool=OWN_SHARE_POOL_NUMBER, stamp=stamp)]
        wait_ms = share.wait_ms(request.tokens, now_ms=now_ms)
        if now_ms + wait_ms <= queued.deadline_ms:
            self._queued_requests.append(queued)
            return []
        if wait_ms == float("inf"):
            return [_deny(request.ticket, Code.BUDGET_UNREACHABLE, PLEDGE_LEASE_MS)]
        return [_deny(request.ticket, Code.RATE_EXCEEDED, _bounded_retry_ms(wait_ms))]

    def _reserve_at_home(self, home: str, request: TokensRequested, now_ms: float) -> Send:
        self._sequence += 1
        deadline_ms = now_ms + RESERVATION_TIMEOUT_MS
        pending = _PendingReservation(request=request, vm=home, deadline_ms=deadline_ms)
        self._pending_by_sequence[self._sequence] = pending
        message = ReserveRequest(
            sequence=self._sequence, budget=request.budget, tokens=request.tokens
        )
        return Send(vm=home, message=message)

    def _abandon_lost_reservations(self, now_ms: float) -> list:
        """Use the own share where a home is not linked or has not answered in time."""
        lost = [
            sequence
            for sequence, pending in self._pending_by_sequence.items()
            if pending.vm not in self._linked or now_ms > pending.deadline_ms
        ]
        actions = []
        for sequence in lost:
            pending = self._pending_by_sequence.pop(sequence)
            actions += self._take_from_own_share(pending.request, now_ms)
        return actions

    def _retry_queued(self, now_ms: float) -> list:
        """Retry the requests that wait for the own share, in order of arrival."""
        waiting, self._queued_requests = self._queued_requests, []
        actions = []
        for queued in waiting:
            actions += self._take_or_queue(queued, now_ms)
        return actions

    def _deny_expired(self, pending: _PendingReservation | None) -> list:
        if pending is None:
            return []
        return [_deny(pending.request.ticket, Code.BUDGET_UNREACHABLE, PLEDGE_LEASE_MS)]

    # This entry as a home

    def _get_or_create_pool(self, budget: str, now_ms: float) -> tuple[Pool, list]:
        """Return the pool of *budget*, and requests for pledges if it is new."""
        pool = self._pool_by_budget.get(budget)
        if pool is not None:
            return pool, []
        self._last_pool_number += 1
        pool = self._pool_by_budget[budget] = Pool(number=self._last_pool_number, now_ms=now_ms)
        self._share_by_budget[budget].join_pool(pool, self._vm, now_ms=now_ms)
        return pool, self._request_pledges([budget], now_ms)

    def _renew_pledges(self, now_ms: float) -> list:
        self._drop_idle_pools(now_ms)
        self._renewal_sent_ms_by_sequence = {
            sequence: sent_ms
            for sequence, sent_ms in self._renewal_sent_ms_by_sequence.items()
            if now_ms - sent_ms < PLEDGE_LEASE_MS
        }
        return self._request_pledges(list(self._pool_by_budget), now_ms)

    def _request_pledges(self, budgets: list[str], now_ms: float) -> list:
        members = sorted((self._entries & self._linked) - {self._vm})
        if not budgets or not members:
            return []
        self._sequence += 1
        self._renewal_sent_ms_by_sequence[self._sequence] = now_ms
        message = PledgeRequest(sequence=self._sequence, budgets=budgets)
        return [Send(vm=vm, message=message) for vm in members]

    def _drop_idle_pools(self, now_ms: float) -> None:
        idle = [
            budget
            for budget, pool in self._pool_by_budget.items()
            if now_ms - pool.last_used_ms > POOL_IDLE_TIMEOUT_MS
        ]
        for budget in idle:
            self._close_pool(budget, now_ms)

    def _close_moved_pools(self, now_ms: float) -> list:
        """Close the pools of budgets whose home is now another entry."""
        lost = [b for b in self._pool_by_budget if self.home_of(b) != self._vm]
        actions = []
        for budget in lost:
            actions += self._close_pool(budget, now_ms)
        return actions

    def _close_pool(self, budget: str, now_ms: float) -> list:
        """Close a pool; tokens that don't fit into this entry's own share are dropped."""
        pool = self._pool_by_budget.pop(budget)
        self._share_by_budget[budget].leave_pool(pool, now_ms=now_ms)
        return self._to_actions(pool, pool.close())

    def _resolve_reservations(self, budget: str, now_ms: float) -> list:
        pool = self._pool_by_budget[budget]
        return self._to_actions(pool, pool.resolve_reservations(now_ms))

    def _to_actions(self, pool: Pool, results: list[ReservationResult]) -> list:
        return [
            (
                self._to_local_action(pool, result)
                if result.reservation.vm == self._vm
                else self._to_reply(pool, result)
            )
            for result in results
        ]

    def _to_local_action(self, pool: Pool, result: ReservationResult) -> object:
        request = result.reservation.ticket
        if result.stamp is not None:
            return _grant(request, source=self._vm, pool=pool.number, stamp=result.stamp)
        return _deny(request.ticket, Code.RATE_EXCEEDED, _bounded_retry_ms(result.retry_after_ms))

    def _to_reply(self, pool: Pool, result: ReservationResult) -> Send:
        reservation = result.reservation
        if result.stamp is not None:
            stamp = result.stamp
            message = Reserved(sequence=reservation.ticket, pool=pool.number, stamp=stamp)
        else:
            retry_after_ms = _bounded_retry_ms(result.retry_after_ms)
            message = NotReserved(sequence=reservation.ticket, retry_after_ms=retry_after_ms)
        return Send(vm=reservation.vm, message=message)

    def _apply_refund(self, refund: Refund, now_ms: float) -> list:
        """Return tokens to the share or pool that granted them; a closed pool drops them."""
        if refund.pool == OWN_SHARE_POOL_NUMBER:
            share = self._share_by_budget.get(refund.budget)
            if share is not None:
                share.refund(refund.tokens, stamp=refund.stamp, now_ms=now_ms)
            return []
        pool = self._pool_by_budget.get(refund.budget)
        if pool is None or pool.number != refund.pool:
            return []
        pool.refund(refund.tokens, stamp=refund.stamp, now_ms=now_ms)
        return self._resolve_reservations(refund.budget, now_ms)


def _decline_without_lease(event: BudgetMessageReceived) -> list:
    if not isinstance(event.message, ReserveRequest):
        return []
    answer = NotReserved(sequence=event.message.sequence, retry_after_ms=-1)
    return [Send(vm=event.vm, message=answer)]


def _grant(request: TokensRequested, *, source: str, pool: int, stamp: int) -> GrantTokens:
    return GrantTokens(
        ticket=request.ticket,
        budget=request.budget,
        tokens=request.tokens,
        source=source,
        pool=pool,
        stamp=stamp,
    )


def _deny(ticket: object, code: Code, retry_after_ms: int | None) -> DenyTokens:
    return DenyTokens(ticket=ticket, code=code, retry_after_ms=retry_after_ms)


def _bounded_retry_ms(wait_ms: float) -> int:
    """Return *wait_ms* in whole milliseconds, at most one minute."""
    return int(min(wait_ms, 60_000))
