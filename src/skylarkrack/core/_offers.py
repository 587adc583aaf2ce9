"""Refusals of a request that is offered to several endpoints in turn."""

from skylarkrack._errors import Outcome, RequestRefused

_OUTCOME_RANK = {Outcome.NOT_RUN: 0, Outcome.UNKNOWN: 1, Outcome.RAN: 2}
"""Outcomes from the weakest to the strongest evidence that a request ran."""


class OfferHistory:
    """The endpoints that refused a request, and whether any of them may have run it.

    *refused_by* lists their VMs in the order of the offers.
    """

    __slots__ = ("_outcome", "refused_by")

    def __init__(self) -> None:
        self.refused_by: list[str] = []
        self._outcome = Outcome.NOT_RUN

    def record_refusal(self, vm: str, refusal: RequestRefused) -> None:
        """Record that *vm* refused the request."""
        self.refused_by.append(vm)
        self._outcome = max(self._outcome, refusal.outcome, key=_OUTCOME_RANK.__getitem__)

    def final_refusal(self, refusal: RequestRefused) -> RequestRefused:
        """Return *refusal* as the final one, after changing its outcome in place.

        The outcome becomes the strongest of all offers (ran, unknown, not run), so that "not run"
        is reported only if no endpoint may have run the request.
        """
        refusal.outcome = max(self._outcome, refusal.outcome, key=_OUTCOME_RANK.__getitem__)
        return refusal
