"""The entry's side of the admission of prompts: lists go to agents, grants come back."""

import asyncio

from skylarkrack._clock import monotonic_ms
from skylarkrack._events import Event, log
from skylarkrack._metrics import Metrics
from skylarkrack.core.relay import (
    Dispatcher,
    EndpointKey,
    ListedRequest,
    idle_demand_interval_ms,
)
from skylarkrack.messages import AdmissionGrants, AdmissionRequests
from skylarkrack.relay._peers import ENTRY, Peers
from skylarkrack.relay._placement_queue import PlacementQueue

MAX_ROWS = 50
"""Requests in one list, the first in the entry's order."""

REPEAT_MS = 13.0
"""Time after which a list is repeated that wasn't answered: three times before the agent counts as
silent, so that two lost datagrams don't make it so."""

SETTLED_REPEAT_MS = 140.0
"""Time between repeats of a list that was answered and didn't change. An agent drops a list after
300 ms, so one may be lost."""

KNOWN_OFFERS = 10
"""Idle intervals between two offers to an agent that admits prompts already: they only keep it
saying so."""


class AdmissionExchange:
    """Sends the lists of waiting requests that are due, and passes grants to the queue.

    An agent learns by an empty list, an offer, that a service of its engine has its prompts
    admitted. Times are ms on the monotonic clock.
    """

    __slots__ = (
        "_dispatcher",
        "_incarnation",
        "_is_due_soon",
        "_listed_by_key",
        "_metrics",
        "_offered_by_key",
        "_peers",
        "_queue",
        "_sequence",
        "_timer",
        "_unasked_ms_by_key",
        "_agent_address_by_endpoint",
    )

    def __init__(
        self,
        peers: Peers,
        *,
        queue: PlacementQueue,
        metrics: Metrics,
        incarnation: str,
        agent_address_by_endpoint: dict[str, str],
    ) -> None:
        self._peers = peers
        self._queue = queue
        self._dispatcher: Dispatcher = queue.dispatcher
        self._metrics = metrics
        self._incarnation = incarnation
        self._agent_address_by_endpoint = agent_address_by_endpoint
        # Numbers of the last list, and its time.
        self._listed_by_key: dict[EndpointKey, tuple[frozenset[int], float]] = {}
        self._unasked_ms_by_key: dict[EndpointKey, float] = {}
        self._offered_by_key: dict[EndpointKey, tuple[str, float]] = {}
        self._sequence = 0
        self._is_due_soon = False
        self._timer: asyncio.TimerHandle | None = None
        queue.on_decided = self.schedule

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def schedule(self) -> None:
        """Send the lists that changed once the running callback has ended, so that requests that
        begin to wait together are listed together."""
        if not self._is_due_soon:
            self._is_due_soon = True
            asyncio.get_running_loop().call_soon(self._send_soon)

    def _send_soon(self) -> None:
        self._is_due_soon = False
        self.send_lists(monotonic_ms())

    def send_lists(self, now_ms: float) -> None:
        """Send the lists that changed, or whose repeat is due."""
        listed_by_key = self._dispatcher.listed_by_key(now_ms)
        unasked_keys = self._dispatcher.admission.unasked_keys()
        if not listed_by_key and not self._listed_by_key and not unasked_keys:
            return
        for key in dict.fromkeys((*listed_by_key, *self._listed_by_key, *unasked_keys)):
            rows = listed_by_key.get(key, [])[:MAX_ROWS]
            numbers = frozenset(row.number for row in rows)
            known, sent_ms = self._listed_by_key.get(key, (frozenset(), float("-inf")))
            if numbers == known and key not in unasked_keys:
                if not numbers:
                    self._listed_by_key.pop(key, None)
                    continue
                is_unanswered = self._dispatcher.admission.awaits_answer(key, now_ms)
                interval_ms = REPEAT_MS if is_unanswered else SETTLED_REPEAT_MS
                if now_ms - sent_ms < interval_ms - 1.0:
                    continue
            elif numbers == known and not self._is_unasked_due(key, now_ms):
                continue
            if not self._send(key, rows, now_ms) or not numbers:
                self._listed_by_key.pop(key, None)
            else:
                self._listed_by_key[key] = (numbers, now_ms)
                self._repeat_later()

    def _repeat_later(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(REPEAT_MS / 1000, self._repeat)

    def _repeat(self) -> None:
        self._timer = None
        self._repeat_unanswered(monotonic_ms())

    def _repeat_unanswered(self, now_ms: float) -> None:
        awaits_answer = self._dispatcher.admission.awaits_answer
        if any(awaits_answer(key, now_ms) for key in self._listed_by_key):
            self.send_lists(now_ms)
            self._repeat_later()

    def send_offers(self, agent_incarnation_by_endpoint: dict, now_ms: float) -> None:
        """Offer admission to the agents of engines whose service has a longest pause."""
        for key in self._dispatcher.admission.take_silent(now_ms):
            log(Event.ADMISSION_SILENT, address=key[0], started_ms=key[1])
            self._metrics.count("admission_silent_total")
        if not self._dispatcher.has_admission:
            return
        idle_ms = idle_demand_interval_ms(len(self._peers.alive(ENTRY)) + 1)
        for endpoint in self._dispatcher.directory.all():
            incarnation, _ = agent_incarnation_by_endpoint.get(endpoint.address, ("", 0))
            if not incarnation or self._dispatcher.admission_at(endpoint, now_ms) is None:
                continue
            offered_to, offered_ms = self._offered_by_key.get(endpoint.key, ("", now_ms))
            if offered_to == incarnation and now_ms - offered_ms < KNOWN_OFFERS * idle_ms:
                continue
            if self._dispatcher.admission.supports(endpoint.key, now_ms) and offered_to == "":
                # Another entry has offered it already.
                self._offered_by_key[endpoint.key] = (incarnation, now_ms)
                continue
            if endpoint.key not in self._listed_by_key:
                self._send(endpoint.key, [], now_ms)
            self._offered_by_key[endpoint.key] = (incarnation, now_ms)

    def receive(self, message: AdmissionGrants, now_ms: float) -> None:
        """Apply an agent's figures, and send the requests that it granted."""
        key = (message.endpoint, message.started_ms)
        admission = self._dispatcher.admission
        if not admission.supports(key, now_ms):
            log(Event.ADMISSION_BEGUN, address=key[0], started_ms=key[1], vm=message.vm)
        admission.receive(
            key,
            incarnation=message.incarnation,
            sequence=message.sequence,
            heard=message.heard,
            unread_tokens=message.unread,
            waiting_tokens=message.waiting,
            runs=message.runs,
            cache_tokens=message.cache_tokens,
            now_ms=now_ms,
        )
        for number, version in message.granted:
            is_used = self._queue.receive_grant(key, number, version, now_ms)
            self._metrics.count("admission_grants_total", "used" if is_used else "unused")
            numbers, sent_ms = self._listed_by_key.get(key, (frozenset(), 0.0))
            if number in numbers:
                # What was granted is off the agent's list too; that alone needs no new list.
                self._listed_by_key[key] = (numbers - {number}, sent_ms)

    def _is_unasked_due(self, key: EndpointKey, now_ms: float) -> bool:
        """Return whether to tell an agent again of requests sent without it; it may be dead."""
        if now_ms - self._unasked_ms_by_key.get(key, float("-inf")) < REPEAT_MS:
            return False
        self._unasked_ms_by_key[key] = now_ms
        return True

    def _send(self, key: EndpointKey, rows: list[ListedRequest], now_ms: float) -> bool:
        """Send a list; return False if the engine or its agent isn't known."""
        endpoint = self._dispatcher.directory.find_by_key(key)
        address = self._agent_address_by_endpoint.get(key[0])
        limits = None if endpoint is None else self._dispatcher.admission_at(endpoint, now_ms)
        if address is None or limits is None:
            self._dispatcher.admission.take_unasked(key)
            return False
        self._sequence += 1
        unasked = self._dispatcher.admission.take_unasked(key)
        if unasked:
            self._metrics.count("admission_unasked_total", amount=len(unasked))
        message = AdmissionRequests(
            **self._peers.sender_fields,
            incarnation=self._incarnation,
            sequence=self._sequence,
            started_ms=key[1],
            slots=limits.slots,
            cache_tokens=limits.cache_tokens,
            max_gap_ms=limits.max_gap_ms,
            slowness=round(100 * limits.slowness),
            waiting=[
                [
                    row.number,
                    *row.adapter_id,
                    row.version,
                    row.prompt_tokens,
                    row.tokens,
                    row.priority,
                    row.organisation,
                    round(row.left_ms),
                ]
                for row in rows
            ],
            sent=[list(row) for row in unasked],
        )
        waiting_tokens = sum(row.prompt_tokens for row in rows)
        self._dispatcher.admission.record_list(key, self._sequence, waiting_tokens, now_ms)
        self._peers.send(message, address)
        self._metrics.count("admission_lists_total")
        return True
