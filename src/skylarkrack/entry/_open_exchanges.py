"""The open exchanges of an entry, and the access that each stands on."""

from collections.abc import Callable
from dataclasses import dataclass

from skylarkrack._errors import Code, Outcome, RequestRefused
from skylarkrack.entry._exchange import Exchange
from skylarkrack.messages import Call, Cancel, Confirm, End, Run
from skylarkrack.wire import Link


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenExchange:
    """An exchange with its link and the test whether its caller still has access."""

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

    async def send_and_wait(self, opened: OpenExchange, message: Run | Call) -> End:
        """Send *message* and return the end of its whole answer, or raise `RequestRefused`.

        The agent is told if the answer is no longer wanted.
        """
        self._add(opened)
        is_whole = False
        try:
            opened.link.send(message)
            end = await opened.exchange.result()
            is_whole = True
            return end
        finally:
            self._end(opened, is_whole=is_whole)

    def _add(self, opened: OpenExchange) -> None:
        """Register an exchange before its request is sent; raise if access has ended since."""
        if not opened.has_access():
            raise RequestRefused("access has ended", code=Code.ACCESS_WITHDRAWN)
        self._open_by_id[opened.exchange.request_id] = opened

    def _end(self, opened: OpenExchange, *, is_whole: bool) -> None:
        """Drop an exchange, and tell the agent if the answer is no longer wanted."""
        request_id = opened.exchange.request_id
        if self._open_by_id.pop(request_id, None) is not None and not is_whole:
            opened.link.send(Cancel(request_id=request_id))

    def receive_message(self, link: Link, message: object) -> None:
        """Hand an agent's message to the exchange it belongs to; late ones are dropped."""
        opened = self._open_by_id.get(getattr(message, "request_id", None))
        if opened is None or (isinstance(message, Confirm) and not opened.has_access()):
            return
        opened.exchange.receive_message(link, message)

    def link_lost(self, link: Link) -> None:
        """Fail what went out over a link that has ended."""
        for opened in list(self._open_by_id.values()):
            opened.exchange.link_lost(link)

    def end_withdrawn(self) -> int:
        """End every exchange whose caller has lost access; return how many."""
        withdrawn = [opened for opened in self._open_by_id.values() if not opened.has_access()]
        for opened in withdrawn:
            opened.exchange.is_wanted = False
            opened.exchange.fail(
                RequestRefused(
                    "access has ended", code=Code.ACCESS_WITHDRAWN, outcome=Outcome.UNKNOWN
                )
            )
        return len(withdrawn)
