"""Events of the budgets."""

from collections.abc import Mapping, Set
from dataclasses import dataclass

from skylarkrack.core._actions import GrantTokens


@dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """Rate a second and burst of one budget over the whole fleet."""

    rate: float
    burst: float


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitsChanged:
    """The limits in force, by budget name."""

    limit_by_budget: Mapping[str, Limit]


@dataclass(frozen=True, slots=True, kw_only=True)
class EntriesChanged:
    """The roster of entries in force."""

    entries: Set[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class LinksChanged:
    """The entries that this one has a live link to."""

    linked: Set[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class TokensRequested:
    """A request of this process wants *tokens*; *ticket* names it in the answer."""

    ticket: object
    budget: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TokensUnused:
    """A request is done and *tokens* of its grant are left over."""

    grant: GrantTokens
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetMessageReceived:
    """A message about budgets came from the entry on *vm*."""

    vm: str
    message: object


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseChanged:
    """This process may act on its roster and limits until *until_ms*."""

    until_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticked:
    """Time has passed."""
