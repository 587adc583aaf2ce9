"""What is known of a request that has been offered to several endpoints."""

from skylarkrack._errors import Outcome, RequestRefused

_OUTCOME_RANK = {Outcome.NOT_RUN: 0, Outcome.UNKNOWN: 1, Outcome.RAN: 2}


class OfferHistory:
    """The endpoints that refused a request, and whether any of them may have run it."""

    __slots__ = ("_outcome", "refused_by")

    def __init__(self) -> None:
        self.refused_by: list[str] = []
        self._outcome = Outcome.NOT_RUN

    def record_refusal(self, vm: str, refusal: RequestRefused) -> None:
        """Take in the refusal of *vm*."""
        self.refused_by.append(vm)
        self._outcome = max(self._outcome, refusal.outcome, key=_OUTCOME_RANK.__getitem__)

    def final_refusal(self, refusal: RequestRefused) -> RequestRefused:
        """Return *refusal* as the final answer; it does not hide what an earlier offer did."""
        refusal.outcome = max(self._outcome, refusal.outcome, key=_OUTCOME_RANK.__getitem__)
        return refusal
