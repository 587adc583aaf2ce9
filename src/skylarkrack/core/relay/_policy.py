"""The policies that an entry can decide by: those in use, and baselines for comparison."""

from dataclasses import dataclass

from skylarkrack.core._routing import HashOnly, LeastCost, LeastLoaded


@dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """The policies of one entry; the defaults are those in use.

    Without *is_quota_shared* each entry has an equal share of every rate and burst, whatever demand
    the others have. Without *is_urgent_first* queued requests are sent in the order of arrival.
    """

    routing: LeastCost | LeastLoaded | HashOnly = LeastCost()
    is_quota_shared: bool = True
    is_urgent_first: bool = True
