"""At-most-once execution of calls with an idempotency key.

Each key is decided by one agent, its home: the first of the service's agents by rendezvous
hashing. The agent records in memory which calls it started. It starts a call only if no other
process, and no earlier incarnation of its own, can have run it:

* With a ticket, the key is bound to one incarnation of one agent. Only that incarnation runs the
  call, so this holds under any failure. All others refuse with `Code.MAY_HAVE_RUN`.
* Without a ticket, callers may repeat a key within the route's repeat window. An agent that has
  not been the key's home for all of that window cannot know what an earlier home ran, and refuses
  with `Code.MAY_HAVE_RUN`.
"""

from collections import OrderedDict
from collections.abc import Set
from dataclasses import dataclass

from skylarkrack._errors import Code, Outcome
from skylarkrack.core._actions import RefuseRun
from skylarkrack.core._hashing import rendezvous_first
from skylarkrack.messages import CallRequest

MAX_RECORDS = 100_000
"""Bound on the recorded keys; calls with further keys are refused until old records expire."""

MAX_STORED_ANSWER_BYTES = 65_536
"""Largest answer body that is stored for replay.

Of a larger one only the outcome is recorded, and a repeat is refused with `Code.MAY_HAVE_RUN`.
"""

TICKET_PERIOD_MS = 600_000
"""Granularity of the issue time in a ticket."""

TICKET_VALID_PERIODS = 6
"""Periods for which a ticket is valid, the one of its issue included."""

RECORD_TTL_MS = TICKET_PERIOD_MS * (TICKET_VALID_PERIODS + 1)
"""How long a record is kept after its call ended.

One period longer than a ticket is valid, so that no key is forgotten while a ticket for it is still
valid.
"""

IN_PROGRESS_RETRY_MS = 500
"""Suggested wait before repeating a call whose first run is still in progress."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StartCall:
    """Send *call* to the service; its record already exists."""

    call: CallRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """A complete answer of the service, stored for replay."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplayAnswer:
    """Answer *request_id* with the stored answer of the first run of its key."""

    request_id: str
    answer: StoredAnswer


@dataclass(slots=True, kw_only=True)
class _Record:
    """A started call; *answer* is None while it runs, or if its answer was lost or is too large."""

    body_digest: bytes
    running: bool = True
    answer: StoredAnswer | None = None
    outcome: Outcome = Outcome.UNKNOWN
    ended_ms: float = float("inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class _PastRoster:
    """The service's agents that were listed until *until_ms*."""

    agents: frozenset[str]
    until_ms: float


class IdempotencyLedger:
    """The keyed calls that one incarnation of a service's agent has started.

    Records are kept by organisation and idempotency key. Times are monotonic milliseconds;
    *now_ms* at creation is the start of the incarnation, from which ticket periods are counted.
    """

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
        """Return a ticket that binds keys to this incarnation, as `vm~incarnation~period`."""
        return f"{self._vm}~{self._incarnation}~{self._period(now_ms)}"

    def has_record(self, call: CallRequest) -> bool:
        """Return whether a call with the key of *call* was started here."""
        return (call.organisation, call.idempotency_key) in self._record_by_key

    def outcome_unless_started(self, call: CallRequest, now_ms: float) -> Outcome:
        """Return the outcome to report for a keyed call that is refused without being started.

        An earlier call with its key may have run. `Outcome.NOT_RUN` is therefore returned only if
        the key has no record here and no other process can have run it, else `Outcome.UNKNOWN`.
        """
        is_new = not self.has_record(call) and self._is_certainly_new(call, now_ms)
        return Outcome.NOT_RUN if is_new else Outcome.UNKNOWN

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._record_by_key)

    # Commands

    def observe_agents(self, agents: Set[str], *, now_ms: float) -> None:
        """Set the VMs of the service's agents; the previous set is kept with its end time."""
        if frozenset(agents) == self._agents:
            return
        self._past_rosters.append(_PastRoster(agents=self._agents, until_ms=now_ms))
        self._agents = frozenset(agents)

    def offer(self, call: CallRequest, *, now_ms: float) -> StartCall | ReplayAnswer | RefuseRun:
        """Decide whether to start, replay or refuse a keyed call.

        If it is to be started, its record is made here, before anything is sent.
        """
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

    def remove_record(self, call: CallRequest) -> None:
        """Remove the record of a call that was certainly not sent to the service."""
        self._record_by_key.pop((call.organisation, call.idempotency_key), None)

    def record_answer(self, call: CallRequest, answer: StoredAnswer, *, now_ms: float) -> None:
        """Record the complete answer of the service; it is stored up to `MAX_STORED_ANSWER_BYTES`.

        Raises `KeyError` if the call has no record.
        """
        record = self._record_by_key[(call.organisation, call.idempotency_key)]
        record.running = False
        record.outcome = Outcome.RAN
        record.ended_ms = now_ms
        if len(answer.body) <= MAX_STORED_ANSWER_BYTES:
            record.answer = answer

    def record_lost_answer(self, call: CallRequest, *, now_ms: float) -> None:
        """Record that a call was sent and no complete answer was received.

        Raises `KeyError` if the call has no record.
        """
        record = self._record_by_key[(call.organisation, call.idempotency_key)]
        record.running = False
        record.ended_ms = now_ms

    # Whether an earlier process may have run the call

    def _refusal(self, call: CallRequest, now_ms: float) -> RefuseRun | None:
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

    def _is_certainly_new(self, call: CallRequest, now_ms: float) -> bool:
        """Return whether no other process can have run a call that has no record here."""
        if call.ticket:
            return self._is_valid_ticket(call.ticket, now_ms)
        return self._has_been_home(call, now_ms)

    def _is_valid_ticket(self, ticket: str, now_ms: float) -> bool:
        owner = f"{self._vm}~{self._incarnation}~"
        period = ticket.removeprefix(owner)
        if not ticket.startswith(owner) or not period.isdecimal():
            return False
        return 0 <= self._period(now_ms) - int(period) < TICKET_VALID_PERIODS

    def _has_been_home(self, call: CallRequest, now_ms: float) -> bool:
        """Return whether this incarnation was the key's home for the whole repeat window.

        The roster before the first one counts as empty, so an incarnation that is younger than the
        window was not the home of any key at its start.
        """
        since_ms = now_ms - call.repeat_window_ms
        rosters = [past.agents for past in self._past_rosters if past.until_ms > since_ms]
        key = rendezvous_key(call.organisation, call.idempotency_key)
        return all(rendezvous_first(key, r) == self._vm for r in [self._agents, *rosters])

    def _period(self, now_ms: float) -> int:
        return int((now_ms - self._started_ms) // TICKET_PERIOD_MS)

    def _expire(self, now_ms: float) -> None:
        """Remove expired records and past rosters.

        Records are removed in the order of their start, up to the first that has not expired.
        """
        while self._record_by_key:
            record = next(iter(self._record_by_key.values()))
            if record.ended_ms + RECORD_TTL_MS > now_ms:
                break
            self._record_by_key.popitem(last=False)
        self._past_rosters = [p for p in self._past_rosters if p.until_ms + RECORD_TTL_MS > now_ms]


def rendezvous_key(organisation: str, idempotency_key: str) -> str:
    """Return the text that is hashed to find the home of *idempotency_key*."""
    return f"{organisation}\0{idempotency_key}"


def _decide_repeat(record: _Record, call: CallRequest) -> ReplayAnswer | RefuseRun:
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
