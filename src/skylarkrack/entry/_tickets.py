"""Asks agents for tickets that bind idempotency keys to them."""

import asyncio

from skylarkrack._errors import Code, RequestRefused
from skylarkrack.messages import Ticket, TicketRequest
from skylarkrack.wire import Link

TICKET_TIMEOUT_MS = 1000


class TicketClient:
    """Requests for tickets under way, by request id."""

    __slots__ = ("_future_by_id",)

    def __init__(self) -> None:
        self._future_by_id: dict[str, asyncio.Future[str]] = {}

    async def request_ticket(self, link: Link, request_id: str) -> str:
        """Return a ticket of the agent behind *link*, or raise `RequestRefused`."""
        future = self._future_by_id[request_id] = asyncio.get_running_loop().create_future()
        link.send(TicketRequest(request_id=request_id))
        try:
            async with asyncio.timeout(TICKET_TIMEOUT_MS / 1000):
                return await future
        except TimeoutError:
            raise RequestRefused(
                "the endpoint did not answer",
                code=Code.NO_ENDPOINT,
                retry_after_ms=TICKET_TIMEOUT_MS,
            ) from None
        finally:
            del self._future_by_id[request_id]

    def receive_message(self, ticket: Ticket) -> None:
        """Take an agent's answer."""
        future = self._future_by_id.get(ticket.request_id)
        if future is not None and not future.done():
            future.set_result(ticket.ticket)
