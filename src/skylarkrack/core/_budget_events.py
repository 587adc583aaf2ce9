"""Events that `BudgetCore` handles."""

from collections.abc import Mapping, Set
from dataclasses import dataclass

from skylarkrack.core._actions import GrantTokens


@dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """Rate (tokens or loads a second) and burst of one budget over the whole fleet."""

    rate: float
    burst: float


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitsChanged:
    """The limits of all budgets changed; *limit_by_budget* is the whole new set."""

    limit_by_budget: Mapping[str, Limit]


@dataclass(frozen=True, slots=True, kw_only=True)
class EntriesChanged:
    """The roster changed; *entries* is the whole new set of VM names."""

    entries: Set[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class LinksChanged:
    """The links changed; *linked* are the VM names of all entries with a live link."""

    linked: Set[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class TokensRequested:
    """A request of this process needs *tokens*; the answering action carries *ticket*."""

    ticket: object
    budget: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TokensUnused:
    """A request has ended and did not use *tokens* of its grant."""

    grant: GrantTokens
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetMessageReceived:
    """A budget message arrived from the entry on *vm*."""

    vm: str
    message: object


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseChanged:
    """The access lease now ends at *until_ms*; until then this process may grant and pledge."""

    until_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticked:
    """Time has passed: run renewals, timeouts and queued requests."""
