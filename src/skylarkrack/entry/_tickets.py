"""Requests tickets from agents; a ticket binds idempotency keys to one agent process."""

import asyncio

from skylarkrack._errors import Code, RequestRefused
from skylarkrack.messages import Ticket, TicketRequest
from skylarkrack.wire import Link

TICKET_TIMEOUT_MS = 1000
"""Time within which an agent must send a ticket; beyond it, the request is refused.

It is also the retry time reported to the caller.
"""


class TicketClient:
    """Sends ticket requests to agents, and matches the responses by request id."""

    __slots__ = ("_future_by_id",)

    def __init__(self) -> None:
        self._future_by_id: dict[str, asyncio.Future[str]] = {}

    async def request_ticket(self, link: Link, request_id: str) -> str:
        """Return a ticket from the agent at *link*.

        Raises `RequestRefused` if there is no response within `TICKET_TIMEOUT_MS`.
        """
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
        """Handle a ticket from an agent; one that no request waits for is dropped."""
        future = self._future_by_id.get(ticket.request_id)
        if future is not None and not future.done():
            future.set_result(ticket.ticket)
