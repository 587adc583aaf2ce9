"""Calls that may not be repeated: each runs at most once, whoever sends it again.

One agent decides for each key, its home: the first of the service's agents by rendezvous hashing.
The agent keeps in memory what it ran. It starts a call only if no earlier process can have run it:

* With a ticket, the key is bound to one incarnation of one agent. Only that incarnation runs it,
  so this holds whatever fails. Any other answers that the call may have run.
* Without a ticket, callers may repeat a key for the route's repeat window. An agent that has not
  been the key's home for that long cannot know what an earlier home ran, and says so.
"""

from collections import OrderedDict
from collections.abc import Set
from dataclasses import dataclass

from skylarkrack._errors import Code, Outcome
from skylarkrack.core._actions import RefuseRun
from skylarkrack.core._hashing import rendezvous_first
from skylarkrack.messages import Call

MAX_RECORDS = 100_000
"""Keys that an agent remembers; further keys are refused until old ones expire."""

MAX_STORED_ANSWER_BYTES = 65_536
"""Largest answer that is kept to be repeated; of a larger one only its end is known."""

TICKET_PERIOD_MS = 600_000
"""Period of the tickets an agent gives out."""

TICKET_VALID_PERIODS = 6
"""Number of periods for which a ticket is honoured."""

RECORD_TTL_MS = TICKET_PERIOD_MS * (TICKET_VALID_PERIODS + 1)
"""How long a key is remembered after it ended: longer than any ticket for it is honoured."""

IN_PROGRESS_RETRY_MS = 500


@dataclass(frozen=True, slots=True, kw_only=True)
class StartCall:
    """The call may be handed to the service; its record exists already."""

    call: Call


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """A whole answer of the service, kept for callers who repeat the call."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplayAnswer:
    """Answer *request_id* with what the first run of its key was answered."""

    request_id: str
    answer: StoredAnswer


@dataclass(slots=True, kw_only=True)
class _Record:
    body_digest: bytes
    running: bool = True
    answer: StoredAnswer | None = None
    outcome: Outcome = Outcome.UNKNOWN
    ended_ms: float = float("inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class _PastRoster:
    agents: frozenset[str]
    until_ms: float


class IdempotencyLedger:
    """What one incarnation of a service's agent has run, by organisation and key."""

    __slots__ = ("_agents", "_incarnation", "_past_rosters", "_record_by_key", "_started_ms", "_vm")

    def __init__(self, *, vm: str, incarnation: str, now_ms: float) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._started_ms = now_ms
        self._agents: frozenset[str] = frozenset()
        self._past_rosters: list[_PastRoster] = []
        self._record_by_key: OrderedDict[tuple[str, str], _Record] = OrderedDict()

    # Queries

    def ticket(self, now_ms: float) -> str:
        """Return a ticket that binds keys to this incarnation."""
        return f"{self._vm}~{self._incarnation}~{self._period(now_ms)}"

    def has_record(self, call: Call) -> bool:
        """Tell whether a call under this key was started here."""
        return (call.organisation, call.idempotency_key) in self._record_by_key

    def outcome_unless_started(self, call: Call, now_ms: float) -> Outcome:
        """Return what is certain of a keyed call that is refused without being started.

        Its key may have been used before, so "not run" needs the same certainty as a start.
        """
        is_new = not self.has_record(call) and self._is_certainly_new(call, now_ms)
        return Outcome.NOT_RUN if is_new else Outcome.UNKNOWN

    def __len__(self) -> int:
        return len(self._record_by_key)

    # Commands

    def observe_agents(self, agents: Set[str], *, now_ms: float) -> None:
        """Take in a newer roster of the service's agents."""
        if frozenset(agents) == self._agents:
            return
        self._past_rosters.append(_PastRoster(agents=self._agents, until_ms=now_ms))
        self._agents = frozenset(agents)

    def offer(self, call: Call, *, now_ms: float) -> StartCall | ReplayAnswer | RefuseRun:
        """Decide on a keyed call; a started one has its record before anything is sent."""
        self._expire(now_ms)
        key = (call.organisation, call.idempotency_key)
        record = self._record_by_key.get(key)
        if record is not None:
            return _decide_repeat(record, call)
        refusal = self._refusal(call, now_ms)
        if refusal is not None:
            return refusal
        self._record_by_key[key] = _Record(body_digest=call.body_digest)
        return StartCall(call=call)

    def remove_record(self, call: Call) -> None:
        """Forget a call that was certainly never handed to the service."""
        self._record_by_key.pop((call.organisation, call.idempotency_key), None)

    def record_answer(self, call: Call, answer: StoredAnswer, *, now_ms: float) -> None:
        """Keep the service's whole answer."""
        record = self._record_by_key[(call.organisation, call.idempotency_key)]
        record.running = False
        record.outcome = Outcome.RAN
        record.ended_ms = now_ms
        if len(answer.body) <= MAX_STORED_ANSWER_BYTES:
            record.answer = answer

    def record_lost_answer(self, call: Call, *, now_ms: float) -> None:
        """Note that a call was sent and its answer never came whole."""
        record = self._record_by_key[(call.organisation, call.idempotency_key)]
        record.running = False
        record.ended_ms = now_ms

    # Whether an earlier process may have run the call

    def _refusal(self, call: Call, now_ms: float) -> RefuseRun | None:
        if len(self._record_by_key) >= MAX_RECORDS:
            return RefuseRun(
                request_id=call.request_id,
                code=Code.QUEUE_FULL,
                outcome=self.outcome_unless_started(call, now_ms),
                retry_after_ms=TICKET_PERIOD_MS,
            )
        if self._is_certainly_new(call, now_ms):
            return None
        return RefuseRun(
            request_id=call.request_id, code=Code.MAY_HAVE_RUN, outcome=Outcome.UNKNOWN
        )

    def _is_certainly_new(self, call: Call, now_ms: float) -> bool:
        """Tell whether no other process can have run a call that has no record here."""
        if call.ticket:
            return self._is_valid_ticket(call.ticket, now_ms)
        return self._has_been_home(call, now_ms)

    def _is_valid_ticket(self, ticket: str, now_ms: float) -> bool:
        owner = f"{self._vm}~{self._incarnation}~"
        period = ticket.removeprefix(owner)
        if not ticket.startswith(owner) or not period.isdecimal():
            return False
        return 0 <= self._period(now_ms) - int(period) < TICKET_VALID_PERIODS

    def _has_been_home(self, call: Call, now_ms: float) -> bool:
        """Tell whether this incarnation was the key's home for the whole repeat window.

        The roster before the first one counts as empty, so a new incarnation was nobody's home.
        """
        since_ms = now_ms - call.repeat_window_ms
        rosters = [past.agents for past in self._past_rosters if past.until_ms > since_ms]
        key = rendezvous_key(call.organisation, call.idempotency_key)
        return all(rendezvous_first(key, r) == self._vm for r in [self._agents, *rosters])

    def _period(self, now_ms: float) -> int:
        return int((now_ms - self._started_ms) // TICKET_PERIOD_MS)

    def _expire(self, now_ms: float) -> None:
        """Drop the oldest records that ended long ago."""
        while self._record_by_key:
            record = next(iter(self._record_by_key.values()))
            if record.ended_ms + RECORD_TTL_MS > now_ms:
                break
            self._record_by_key.popitem(last=False)
        self._past_rosters = [p for p in self._past_rosters if p.until_ms + RECORD_TTL_MS > now_ms]


def rendezvous_key(organisation: str, idempotency_key: str) -> str:
    """Return what is hashed to find the home of a key."""
    return f"{organisation}\0{idempotency_key}"


def _decide_repeat(record: _Record, call: Call) -> ReplayAnswer | RefuseRun:
    request_id = call.request_id
    if record.body_digest != call.body_digest:
        return RefuseRun(request_id=request_id, code=Code.KEY_REUSED)
    if record.running:
        return RefuseRun(
            request_id=request_id,
            code=Code.IN_PROGRESS,
            outcome=Outcome.UNKNOWN,
            retry_after_ms=IN_PROGRESS_RETRY_MS,
        )
    if record.answer is not None:
        return ReplayAnswer(request_id=request_id, answer=record.answer)
    return RefuseRun(request_id=request_id, code=Code.MAY_HAVE_RUN, outcome=record.outcome)
