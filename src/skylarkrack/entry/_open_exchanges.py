"""The open exchanges of an entry, and the access check of each."""

from collections.abc import Callable
from dataclasses import dataclass

from skylarkrack._errors import Code, Outcome, RequestRefused
from skylarkrack.entry._exchange import Exchange
from skylarkrack.messages import CallRequest, Cancel, ConfirmRequest, ResponseEnd, RunRequest
from skylarkrack.wire import Link


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenExchange:
    """An exchange, its link, and a function that returns whether its caller still has access."""

    exchange: Exchange
    link: Link
    has_access: Callable[[], bool]


class OpenExchanges:
    """Open exchanges by request id."""

    __slots__ = ("_open_by_id",)

    def __init__(self) -> None:
        self._open_by_id: dict[str, OpenExchange] = {}

    def __len__(self) -> int:
        return len(self._open_by_id)

    async def send_and_wait(
        self, open_exchange: OpenExchange, message: RunRequest | CallRequest
    ) -> ResponseEnd:
        """Send *message*, relay its response and return the end of it.

        Raises `RequestRefused` if access has ended or the exchange fails. If the response was not
        relayed to its end, because of an error or a cancellation, the agent gets a `Cancel`.
        """
        self._add(open_exchange)
        is_complete = False
        try:
            open_exchange.link.send(message)
            end = await open_exchange.exchange.result()
            is_complete = True
            return end
        finally:
            self._end(open_exchange, is_complete=is_complete)

    def _add(self, open_exchange: OpenExchange) -> None:
        """Register an exchange before its request is sent.

        Raises `RequestRefused` if access has ended since the request was admitted.
        """
        if not open_exchange.has_access():
            raise RequestRefused("access has ended", code=Code.ACCESS_WITHDRAWN)
        self._open_by_id[open_exchange.exchange.request_id] = open_exchange

    def _end(self, open_exchange: OpenExchange, *, is_complete: bool) -> None:
        """Remove an exchange, and cancel it at the agent unless its response is complete."""
        request_id = open_exchange.exchange.request_id
        if self._open_by_id.pop(request_id, None) is not None and not is_complete:
            open_exchange.link.send(Cancel(request_id=request_id))

    def receive_message(self, link: Link, message: object) -> None:
        """Pass a message of an agent to its exchange.

        Messages of closed exchanges are dropped. So is a `ConfirmRequest` after access has ended:
        the agent then doesn't get the confirmation that it needs to run the request.
        """
        open_exchange = self._open_by_id.get(getattr(message, "request_id", None))
        if open_exchange is None or (
            isinstance(message, ConfirmRequest) and not open_exchange.has_access()
        ):
            return
        open_exchange.exchange.receive_message(link, message)

    def link_lost(self, link: Link) -> None:
        """Fail all exchanges that were sent over *link*, which has closed."""
        for open_exchange in list(self._open_by_id.values()):
            open_exchange.exchange.link_lost(link)

    def end_withdrawn(self) -> int:
        """Fail every exchange whose caller has lost access; return their number."""
        withdrawn = [
            open_exchange
            for open_exchange in self._open_by_id.values()
            if not open_exchange.has_access()
        ]
        for open_exchange in withdrawn:
            open_exchange.exchange.is_wanted = False
            open_exchange.exchange.fail(
                RequestRefused(
                    "access has ended", code=Code.ACCESS_WITHDRAWN, outcome=Outcome.UNKNOWN
                )
            )
        return len(withdrawn)
