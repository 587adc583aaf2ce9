"""What an entry knows of the admission of prompts at engines.

An entry asks an agent that supports admission, and sends without a grant where the agent doesn't
answer: an agent that is dead, frozen or cut off must not keep its engine idle.
"""

from dataclasses import dataclass

import xxhash

from skylarkrack.core.relay._names import EndpointKey

SUPPORT_TTL_MS = 2500.0
"""Time after an agent's last message for which it is asked; agents send one at least every 1.2 s,
so that one may be lost."""

FIGURES_TTL_MS = 300.0
"""Age up to which an agent's figures are used for costs."""

ANSWER_TIMEOUT_MS = 40.0
"""Time after which a list without an answer, or a request without a grant although the agent's
figures show room for it, is sent as without admission. An answer takes 1 to 3 ms."""

_NUMBER_MASK = (1 << 32) - 1


def request_number(request_id: str) -> int:
    """Return the number by which lists, grants and reports of runs name a request: 32 bits."""
    return xxhash.xxh3_64_intdigest(request_id.encode()) & _NUMBER_MASK


def organisation_digest(organisation: str | None) -> int:
    """Return a digest of an organisation's name in 32 bits; 0 for none."""
    return 0 if organisation is None else request_number(organisation)


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionFigures:
    """What an agent reports: prompt tokens unread and waiting, runs at the engine, and the tokens
    of its KV cache that these may claim."""

    unread_tokens: int
    waiting_tokens: int
    runs: int
    cache_tokens: int
    received_ms: float


@dataclass(slots=True)
class _AgentView:
    incarnation: str = ""
    sequence: int = 0
    figures: AdmissionFigures | None = None
    # Sequence number and time of the first list that was sent since the last answer.
    unanswered: tuple[int, float] | None = None
    # Sequence number and time of the last list, and the time of the last one that was answered.
    last: tuple[int, float] = (0, float("-inf"))
    answered_ms: float = float("-inf")
    listed_tokens: int = 0
    is_silence_told: bool = False


class AdmissionView:
    """An entry's view of the agents that admit prompts. Times are ms on a monotonic clock."""

    __slots__ = ("_ready_by_request", "_sent_by_key", "_view_by_key")

    def __init__(self) -> None:
        self._view_by_key: dict[EndpointKey, _AgentView] = {}
        # Since when a waiting request could be sent to an engine as far as this entry knows.
        self._ready_by_request: dict[object, tuple[EndpointKey, float]] = {}
        self._sent_by_key: dict[EndpointKey, list[tuple[int, int, int]]] = {}

    # Queries

    def supports(self, key: EndpointKey, now_ms: float) -> bool:
        """Return whether the engine's agent admits prompts and sent a message recently."""
        view = self._view_by_key.get(key)
        return (
            view is not None
            and view.figures is not None
            and now_ms - view.figures.received_ms < SUPPORT_TTL_MS
        )

    def is_silent(self, key: EndpointKey, now_ms: float) -> bool:
        """Return whether the agent didn't answer a list in time."""
        view = self._view_by_key.get(key)
        if view is None or view.unanswered is None:
            return False
        return now_ms - view.unanswered[1] >= ANSWER_TIMEOUT_MS

    def awaits_answer(self, key: EndpointKey, now_ms: float) -> bool:
        """Return whether a list was sent that the agent hasn't answered yet, but still may."""
        view = self._view_by_key.get(key)
        return view is not None and view.unanswered is not None and not self.is_silent(key, now_ms)

    def figures(self, key: EndpointKey, now_ms: float) -> AdmissionFigures | None:
        """Return the agent's figures if they are recent enough to be used.

        Those of a silent agent lack what is sent without it.
        """
        view = self._view_by_key.get(key)
        if view is None or view.figures is None or self.is_silent(key, now_ms):
            return None
        return view.figures if now_ms - view.figures.received_ms < FIGURES_TTL_MS else None

    def foreign_waiting_tokens(self, key: EndpointKey, now_ms: float) -> int:
        """Return the prompt tokens that wait at other entries for an engine.

        All of them count as ahead of a request: counted by half, requests stayed at engines with
        many waiting, and half as many again came late.
        """
        figures = self.figures(key, now_ms)
        if figures is None:
            return 0
        return max(0, figures.waiting_tokens - self._view_by_key[key].listed_tokens)

    def may_send(self, request: object, key: EndpointKey, now_ms: float) -> bool:
        """Return whether a request may be sent without a grant to an engine that has room, by the
        agent's figures where they are recent.

        That is so if the agent is silent. It is also so if the agent answers without a grant,
        although by its figures the request fits, for longer than an answer takes: the agent grants
        whatever fits, so its view of the request must be wrong.
        """
        if not self.supports(key, now_ms) or self.is_silent(key, now_ms):
            return True
        known_key, since_ms = self._ready_by_request.get(request, (None, now_ms))
        if known_key != key:
            return False
        if now_ms - since_ms < ANSWER_TIMEOUT_MS or self.figures(key, now_ms) is None:
            return False
        # The agent has answered a list of after this entry saw the adapter as resident.
        return self._view_by_key[key].answered_ms >= since_ms

    # Commands

    def receive(
        self,
        key: EndpointKey,
        *,
        incarnation: str,
        sequence: int,
        heard: int,
        unread_tokens: int,
        waiting_tokens: int,
        runs: int,
        cache_tokens: int,
        now_ms: float,
    ) -> None:
        """Apply an agent's message; *heard* is the last list of this entry that it got, or 0."""
        view = self._view_by_key.setdefault(key, _AgentView())
        is_answered = view.unanswered is not None and heard >= view.unanswered[0]
        # An agent that sends again after a silence is asked again.
        if is_answered or not self.supports(key, now_ms) or self.is_silent(key, now_ms):
            view.unanswered = None
        if heard and heard == view.last[0]:
            view.answered_ms = view.last[1]
        if incarnation == view.incarnation and sequence <= view.sequence:
            return
        view.incarnation, view.sequence = incarnation, sequence
        view.figures = AdmissionFigures(
            unread_tokens=unread_tokens,
            waiting_tokens=waiting_tokens,
            runs=runs,
            cache_tokens=cache_tokens,
            received_ms=now_ms,
        )

    def record_list(
        self, key: EndpointKey, sequence: int, waiting_tokens: int, now_ms: float
    ) -> None:
        """Record that a list was sent, with the sum of its prompt tokens."""
        view = self._view_by_key.setdefault(key, _AgentView())
        view.listed_tokens = waiting_tokens
        view.last = (sequence, now_ms)
        if view.unanswered is None:
            view.unanswered = (sequence, now_ms)

    def record_ready(self, request: object, key: EndpointKey, now_ms: float) -> None:
        """Record that a request waits for the agent alone, unless it did at this engine before."""
        if self._ready_by_request.get(request, (None, 0.0))[0] != key:
            self._ready_by_request[request] = (key, now_ms)

    def forget_ready(self, request: object) -> None:
        """Forget since when a request could be sent: it no longer can, or was placed."""
        self._ready_by_request.pop(request, None)

    def record_unasked(self, key: EndpointKey, row: tuple[int, int, int]) -> None:
        """Record a request sent without a grant: number, prompt tokens and all tokens."""
        if key in self._view_by_key:
            self._sent_by_key.setdefault(key, []).append(row)

    def take_silent(self, now_ms: float) -> list[EndpointKey]:
        """Return the engines whose agents have become silent since the last call."""
        silent = []
        for key, view in self._view_by_key.items():
            is_silent = self.is_silent(key, now_ms) and self.supports(key, now_ms)
            if is_silent and not view.is_silence_told:
                silent.append(key)
            view.is_silence_told = is_silent
        return silent

    def take_unasked(self, key: EndpointKey) -> list[tuple[int, int, int]]:
        """Remove and return the requests sent without a grant that the agent wasn't told."""
        return self._sent_by_key.pop(key, [])

    def unasked_keys(self) -> list[EndpointKey]:
        """Return the engines to which requests were sent without a grant."""
        return list(self._sent_by_key)

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Drop the views of engines that are gone."""
        for by_key in (self._view_by_key, self._sent_by_key):
            for key in set(by_key) - keys:
                del by_key[key]
