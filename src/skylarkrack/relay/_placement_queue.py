"""Lets requests wait for what the dispatcher decides, and wakes them when something changed."""

import asyncio
from collections.abc import Callable

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import RequestRefused
from skylarkrack.core.relay import Dispatcher, EndpointKey, PendingRequest, Refuse, SendTo, WaitFor

TICK_MS = 25.0
"""Longest time until a waiting request is looked at again."""


class PlacementQueue:
    """The requests that wait at this entry.

    *on_wait* is called with an engine's key when a request begins to wait for it.
    """

    __slots__ = ("_decision_by_ticket", "_timer", "dispatcher", "on_wait")

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self._decision_by_ticket: dict[PendingRequest, asyncio.Future] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.on_wait: Callable[[EndpointKey], None] = lambda key: None

    async def place(self, ticket: PendingRequest) -> SendTo:
        """Return where the request goes, after a wait if need be; raises `RequestRefused`."""
        decision = self.dispatcher.decide(ticket, monotonic_ms())
        if isinstance(decision, WaitFor):
            decision = await self._wait(ticket, decision)
        if isinstance(decision, Refuse):
            raise RequestRefused(
                decision.reason, code=decision.code, retry_after_ms=round(decision.retry_after_ms)
            )
        return decision

    def wake(self) -> None:
        """Decide again about the requests that wait."""
        now_ms = monotonic_ms()
        while (ready := self.dispatcher.next_ready(now_ms)) is not None:
            ticket, decision = ready
            answer = self._decision_by_ticket.get(ticket)
            if answer is not None and not answer.done():
                answer.set_result(decision)
                # The next one in turn has to see this one's load.
                break
        self._restart_timer()

    def close(self) -> None:
        """Stop looking."""
        if self._timer is not None:
            self._timer.cancel()

    async def _wait(self, ticket: PendingRequest, decision: WaitFor) -> SendTo | Refuse:
        self.dispatcher.enqueue(ticket, decision)
        answer = asyncio.get_running_loop().create_future()
        self._decision_by_ticket[ticket] = answer
        self.on_wait(decision.key)
        self._restart_timer()
        try:
            return await answer
        finally:
            del self._decision_by_ticket[ticket]
            self.dispatcher.remove_waiting(ticket)
            if self._decision_by_ticket:
                asyncio.get_running_loop().call_soon(self.wake)

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._decision_by_ticket:
            self._timer = asyncio.get_running_loop().call_later(TICK_MS / 1000, self.wake)
