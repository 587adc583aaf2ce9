"""The shell around `BudgetCore`: futures for requests, messages for peers."""

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
"""Hexadecimal digits of the incarnation that number budget messages."""

_MESSAGE_BY_CODE = {
    Code.RATE_EXCEEDED: "the organisation's tokens are used up for now",
    Code.LARGER_THAN_BURST: "the request is larger than the plan's burst; ask for fewer tokens",
    Code.BUDGET_UNREACHABLE: "the organisation's budget cannot be reached now",
    Code.PLAN_LAPSED: "the plan is not in force",
    Code.ACCESS_UNCONFIRMED: "this entry cannot confirm who has access now",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class _PermitTicket:
    link: Link
    sequence: int


def budget_of(organisation: str) -> str:
    """Return the name of an organisation's budget."""
    return f"organisation/{organisation}"


class Budgets:
    """Reservations of this entry's requests, and this entry's part in every budget."""

    __slots__ = ("_core", "_links")

    def __init__(self, *, vm: str, incarnation: str, links: Links, is_pooled: bool) -> None:
        number = int(incarnation[:INCARNATION_DIGITS], 16)
        self._core = BudgetCore(vm=vm, incarnation=number, is_pooled=is_pooled)
        self._links = links

    # Queries

    def is_settled(self) -> bool:
        """Tell whether this entry's shares are in force."""
        return self._core.is_settled()

    def describe(self) -> dict[str, object]:
        """Return the state for `skylarkctl state`."""
        return self._core.describe(monotonic_ms())

    # Commands

    async def reserve(self, organisation: str, tokens: int) -> GrantTokens:
        """Reserve *tokens* for a request, or raise `RequestRefused`."""
        future = asyncio.get_running_loop().create_future()
        budget = budget_of(organisation)
        self._handle_event(TokensRequested(ticket=future, budget=budget, tokens=tokens))
        answer = await future
        if isinstance(answer, GrantTokens):
            return answer
        raise RequestRefused(
            _MESSAGE_BY_CODE[answer.code],
            code=answer.code,
            retry_after_ms=answer.retry_after_ms,
        )

    def refund(self, grant: GrantTokens, tokens: int) -> None:
        """Return what a request did not use."""
        self._handle_event(TokensUnused(grant=grant, tokens=tokens))

    def receive_message(self, vm: str, message: object) -> None:
        """Take a message about budgets from another entry."""
        self._handle_event(BudgetMessageReceived(vm=vm, message=message))

    def permit_load(self, link: Link, request: LoadPermitRequest) -> None:
        """Reserve one load of the weight store for an agent."""
        ticket = _PermitTicket(link=link, sequence=request.sequence)
        self._handle_event(TokensRequested(ticket=ticket, budget=STORE_BUDGET, tokens=1))

    def update_catalogue(self, catalogue: Catalogue) -> None:
        """Take in the lists in force."""
        self._handle_event(LimitsChanged(limit_by_budget=_limits(catalogue)))
        entries = {vm.name for vm in catalogue.vm_by_name.values() if vm.role == "entry"}
        self._handle_event(EntriesChanged(entries=entries))

    def update_lease(self, until_ms: float) -> None:
        """Take in until when this entry may act on its configuration."""
        self._handle_event(LeaseChanged(until_ms=until_ms))

    def update_links(self) -> None:
        """Take in the links to other entries."""
        self._handle_event(LinksChanged(linked=self._links.linked("entry")))

    def tick(self) -> None:
        """Let time pass."""
        self._handle_event(Ticked())

    def _handle_event(self, event: object) -> None:
        for action in self._core.handle(event, monotonic_ms()):
            self._perform_action(action)

    @singledispatchmethod
    def _perform_action(self, action: object) -> None:
        raise TypeError(f"no budget action: {type(action).__name__}")

    @_perform_action.register
    def _(self, action: Send) -> None:
        self._links.send(action.vm, action.message)

    @_perform_action.register
    def _(self, action: GrantTokens) -> None:
        if isinstance(action.ticket, _PermitTicket):
            _answer_permit(action.ticket, granted=True, retry_after_ms=0)
        elif action.ticket.done():
            # The caller went away while the reservation was under way.
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
