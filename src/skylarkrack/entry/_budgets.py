"""Runs `BudgetCore`: futures for waiting requests, messages to other entries and to agents."""

import asyncio
from dataclasses import dataclass
from functools import singledispatchmethod

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import Code, RequestRefused
from skylarkrack._links import Links
from skylarkrack.core import (
    STORE_BUDGET,
    BudgetCore,
    BudgetMessageReceived,
    Catalogue,
    DenyTokens,
    EntriesChanged,
    GrantTokens,
    LeaseChanged,
    Limit,
    LimitsChanged,
    LinksChanged,
    Send,
    Ticked,
    TokensRequested,
    TokensUnused,
)
from skylarkrack.messages import LoadPermit, LoadPermitRequest
from skylarkrack.wire import Link

INCARNATION_DIGITS = 8
"""Leading hexadecimal digits of the incarnation that `BudgetCore` numbers its messages by."""

_MESSAGE_BY_CODE = {
    Code.RATE_EXCEEDED: "the organisation's tokens are used up for now",
    Code.LARGER_THAN_BURST: "the request is larger than the plan's burst; ask for fewer tokens",
    Code.BUDGET_UNREACHABLE: "the organisation's budget cannot be reached now",
    Code.PLAN_LAPSED: "the plan is not in force",
    Code.ACCESS_UNCONFIRMED: "this entry cannot confirm who has access now",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class _PermitTicket:
    """Identifies an agent's request for a load permit: its link and its sequence number."""

    link: Link
    sequence: int


def budget_of(organisation: str) -> str:
    """Return the name of an organisation's budget."""
    return f"organisation/{organisation}"


class Budgets:
    """Reserves tokens for the requests of this entry, and runs its share of every budget.

    With *is_pooled* entries may reserve from the pool of another entry; otherwise each has a
    fixed share.
    """

    __slots__ = ("_core", "_links")

    def __init__(self, *, vm: str, incarnation: str, links: Links, is_pooled: bool) -> None:
        number = int(incarnation[:INCARNATION_DIGITS], 16)
        self._core = BudgetCore(vm=vm, incarnation=number, is_pooled=is_pooled)
        self._links = links

    # Queries

    def is_settled(self) -> bool:
        """Return whether the shares of this entry are in effect."""
        return self._core.is_settled()

    def describe(self) -> dict[str, object]:
        """Return the state for `skylarkctl state`."""
        return self._core.describe(monotonic_ms())

    # Commands

    async def reserve(self, organisation: str, tokens: int) -> GrantTokens:
        """Reserve *tokens* of the budget of *organisation*; raises `RequestRefused` if denied."""
        future = asyncio.get_running_loop().create_future()
        budget = budget_of(organisation)
        self._handle_event(TokensRequested(ticket=future, budget=budget, tokens=tokens))
        decision = await future
        if isinstance(decision, GrantTokens):
            return decision
        raise RequestRefused(
            _MESSAGE_BY_CODE[decision.code],
            code=decision.code,
            retry_after_ms=decision.retry_after_ms,
        )

    def refund(self, grant: GrantTokens, tokens: int) -> None:
        """Return *tokens* of *grant* that the request did not use."""
        self._handle_event(TokensUnused(grant=grant, tokens=tokens))

    def receive_message(self, vm: str, message: object) -> None:
        """Handle a budget message from the entry *vm*."""
        self._handle_event(BudgetMessageReceived(vm=vm, message=message))

    def permit_load(self, link: Link, request: LoadPermitRequest) -> None:
        """Reserve one load from the weight store for an agent, and send it the result."""
        ticket = _PermitTicket(link=link, sequence=request.sequence)
        self._handle_event(TokensRequested(ticket=ticket, budget=STORE_BUDGET, tokens=1))

    def update_catalogue(self, catalogue: Catalogue) -> None:
        """Apply the limits and the entries of the lists in effect."""
        self._handle_event(LimitsChanged(limit_by_budget=_limits(catalogue)))
        entries = {vm.name for vm in catalogue.vm_by_name.values() if vm.role == "entry"}
        self._handle_event(EntriesChanged(entries=entries))

    def update_lease(self, until_ms: float) -> None:
        """Set the time at which the access lease of this entry ends."""
        self._handle_event(LeaseChanged(until_ms=until_ms))

    def update_links(self) -> None:
        """Apply which other entries have a link to this one."""
        self._handle_event(LinksChanged(linked=self._links.linked_vms("entry")))

    def tick(self) -> None:
        """Run what is due by the clock."""
        self._handle_event(Ticked())

    def _handle_event(self, event: object) -> None:
        for action in self._core.handle(event, monotonic_ms()):
            self._perform_action(action)

    @singledispatchmethod
    def _perform_action(self, action: object) -> None:
        raise TypeError(f"unknown budget action: {type(action).__name__}")

    @_perform_action.register
    def _(self, action: Send) -> None:
        self._links.send(action.vm, action.message)

    @_perform_action.register
    def _(self, action: GrantTokens) -> None:
        if isinstance(action.ticket, _PermitTicket):
            _answer_permit(action.ticket, granted=True, retry_after_ms=0)
        elif action.ticket.done():
            # The caller disconnected while the reservation was pending.
            self.refund(action, action.tokens)
        else:
            action.ticket.set_result(action)

    @_perform_action.register
    def _(self, action: DenyTokens) -> None:
        if isinstance(action.ticket, _PermitTicket):
            retry_after_ms = 1000 if action.retry_after_ms is None else action.retry_after_ms
            _answer_permit(action.ticket, granted=False, retry_after_ms=retry_after_ms)
        elif not action.ticket.done():
            action.ticket.set_result(action)


def _answer_permit(ticket: _PermitTicket, *, granted: bool, retry_after_ms: int) -> None:
    ticket.link.send(
        LoadPermit(sequence=ticket.sequence, granted=granted, retry_after_ms=retry_after_ms)
    )


def _limits(catalogue: Catalogue) -> dict[str, Limit]:
    limits = {
        STORE_BUDGET: Limit(
            rate=catalogue.store.loads_per_second, burst=catalogue.store.burst_loads
        )
    }
    for organisation in catalogue.organisation_by_name.values():
        plan = catalogue.plan_by_name.get(organisation.plan)
        if plan is not None:
            limit = Limit(rate=plan.tokens_per_second, burst=plan.burst_tokens)
            limits[budget_of(organisation.name)] = limit
    return limits
