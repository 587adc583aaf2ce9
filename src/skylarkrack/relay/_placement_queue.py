"""Queue of the requests that wait until the dispatcher has an endpoint for them."""

import asyncio
from collections import Counter
from collections.abc import Callable

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import RequestRefused
from skylarkrack.core.relay import (
    AdapterId,
    Dispatcher,
    EndpointKey,
    PendingRequest,
    Refuse,
    SendTo,
    WaitFor,
)

TICK_MS = 25.0
"""Longest time between two decisions about the waiting requests."""

PASS_INTERVAL_MS = 5.0
"""Shortest time between two decisions about the waiting requests."""


class PlacementQueue:
    """The requests that wait for placement at this entry.

    *on_wait* is called with the key of an engine when a request starts to wait for that engine,
    *on_leaving* with that of an endpoint that was found to be leaving. *on_decided* is called when
    the requests that wait, or the engines that they wait for, may have changed.
    """

    __slots__ = (
        "_decision_by_request",
        "_next_pass_s",
        "_timer",
        "dispatcher",
        "on_decided",
        "on_leaving",
        "on_wait",
    )

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self._decision_by_request: dict[PendingRequest, asyncio.Future] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._next_pass_s = float("-inf")
        self.on_wait: Callable[[EndpointKey], None] = lambda key: None
        self.on_leaving: Callable[[EndpointKey], None] = lambda key: None
        self.on_decided: Callable[[], None] = lambda: None

    async def place(self, pending: PendingRequest) -> SendTo:
        """Return the endpoint to send a request to; raises `RequestRefused`.

        If no endpoint can take the request now, waits until one can or the request is refused.
        """
        decision = self.dispatcher.decide(pending, monotonic_ms())
        if isinstance(decision, WaitFor):
            decision = await self._wait(pending, decision)
        if isinstance(decision, Refuse):
            raise RequestRefused(
                decision.reason, code=decision.code, retry_after_ms=round(decision.retry_after_ms)
            )
        return decision

    def wake(self) -> None:
        """Decide again about the waiting requests soon, as something has changed.

        All calls of one round of the event loop lead to one pass over the requests, at least
        `PASS_INTERVAL_MS` after the last one. A pass takes longer the more requests wait, and the
        messages that call for one come the faster the more adapters move.
        """
        if not self._decision_by_request:
            self.on_decided()
        else:
            self._schedule_pass(max(asyncio.get_running_loop().time(), self._next_pass_s))

    def _run_pass(self) -> None:
        """Decide again about the waiting requests now."""
        self._timer = None
        now_s = asyncio.get_running_loop().time()
        self._next_pass_s = now_s + PASS_INTERVAL_MS / 1000
        for pending, decision in self.dispatcher.take_ready(monotonic_ms()):
            future = self._decision_by_request.get(pending)
            if future is not None and not future.done():
                future.set_result(decision)
        self.on_decided()
        if self._decision_by_request:
            self._schedule_pass(now_s + TICK_MS / 1000)

    def _schedule_pass(self, due_s: float) -> None:
        """Run a pass at *due_s*, unless one is due before."""
        if self._timer is not None:
            if self._timer.when() <= due_s:
                return
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(due_s, self._run_pass)

    def receive_grant(self, key: EndpointKey, number: int, version: int, now_ms: float) -> bool:
        """Send a waiting request that the agent of an engine granted; return whether it is sent.

        It isn't if the request no longer waits here, or the engine may not get it now.
        """
        for pending, future in self._decision_by_request.items():
            if pending.number != number or future.done():
                continue
            decision = self.dispatcher.decide_granted(pending, key, version, now_ms)
            if decision is not None:
                self.dispatcher.remove_waiting(pending)
                future.set_result(decision)
                return True
        return False

    def released_by_adapter(self, key: EndpointKey) -> Counter[AdapterId]:
        """Return how many requests a decision has just sent to an engine, by adapter.

        Their runs begin in the next round of the event loop, and count as load only then.
        """
        released: Counter[AdapterId] = Counter()
        for pending, future in self._decision_by_request.items():
            if future.done() and not future.cancelled() and pending.need is not None:
                decision = future.result()
                if isinstance(decision, SendTo) and decision.endpoint.key == key:
                    released[pending.need.adapter_id] += 1
        return released

    def refuse(self, pending: PendingRequest, decision: Refuse) -> None:
        """Refuse a request; does nothing if it doesn't wait."""
        future = self._decision_by_request.get(pending)
        if future is not None and not future.done():
            self.dispatcher.remove_waiting(pending)
            future.set_result(decision)

    def mark_leaving(self, key: EndpointKey) -> bool:
        """Place no more requests at a leaving endpoint; return whether that is new."""
        is_new = self.dispatcher.directory.mark_leaving(key)
        if is_new:
            self.on_leaving(key)
            self.wake()
        return is_new

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    async def _wait(self, pending: PendingRequest, decision: WaitFor) -> SendTo | Refuse:
        self.dispatcher.add_waiting(pending, decision)
        future = asyncio.get_running_loop().create_future()
        self._decision_by_request[pending] = future
        self.on_wait(decision.key)
        self.on_decided()
        self._schedule_pass(asyncio.get_running_loop().time() + TICK_MS / 1000)
        is_granted = False
        try:
            decided = await future
            is_granted = isinstance(decided, SendTo) and decided.is_granted
            return decided
        finally:
            del self._decision_by_request[pending]
            self.dispatcher.remove_waiting(pending)
            # After a grant the agent decides who is next, and the timer about the rest.
            if not is_granted:
                self.wake()
