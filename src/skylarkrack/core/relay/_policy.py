"""Which policies an entry decides by: those in use, and the baselines to measure against."""

from dataclasses import dataclass

from skylarkrack.core._routing import HashOnly, LeastCost, LeastLoaded


@dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """The policies of one entry; the defaults are those in use.

    Without *is_quota_shared* each entry has an equal part of every rate and burst, whatever the
    others need; without *is_urgent_first* waiting requests go in the order of their arrival.
    """

    routing: LeastCost | LeastLoaded | HashOnly = LeastCost()
    is_quota_shared: bool = True
    is_urgent_first: bool = True
