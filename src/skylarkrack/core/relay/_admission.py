"""Admits prompts to one engine, over all entries.

The engine's agent decides, as it outlives entries and knows first what the engine holds. Entries
send it lists of the requests that wait, and it answers with grants.

What is scarce is the reading of prompts between two events of a stream: an engine reads all that
has arrived in its next step, and streams pause meanwhile. A prompt therefore counts from its grant
until it has been read and the steps of one event have passed since. So no stream's event includes
more reading than the limit.
"""

import math
from dataclasses import dataclass, field

from skylarkrack.core.relay._admission_room import (
    NOTHING_HELD,
    SLOTS,
    EngineLimits,
    Grant,
    Held,
    ListedRequest,
    ReportedRun,
    Room,
)
from skylarkrack.core.relay._names import AdapterId
from skylarkrack.core.relay._placement_limits import MEMORY_FRACTION, QUEUE_FRACTION
from skylarkrack.core.relay._prompt_reading import PromptReading

LIST_TTL_MS = 300.0
"""Silence after which an entry's list is dropped; entries repeat lists every 140 ms."""

REPEAT_MS = 20.0
"""Time after which a granted request that is still listed is granted anew, as the grant was lost.
A round trip takes 1 to 3 ms."""

UNSEEN_TTL_MS = 400.0
"""Time for which a granted request counts as a run without being in a report: an entry takes up to
300 ms to open a connection, and reports are up to 100 ms old."""

REPORT_TTL_MS = 500.0
"""Age from which a report is not used; without one nothing is granted. Reports are read every
100 ms or more often."""

SHARE_HALF_LIFE_MS = 2000.0
"""Time in which the prompt tokens granted to an organisation lose half of their weight."""

AGING_MS = 1000.0
"""Waiting time by which a request counts as one priority more urgent, so that none is starved."""


# Not frozen: `ready_ms` is set when the adapter is resident.
@dataclass(slots=True, eq=False)
class _Waiting:
    entry: str
    request: ListedRequest
    due_ms: float
    ready_ms: float | None = None
    is_repeated: bool = False

    def waited_ms(self, now_ms: float) -> float:
        return 0.0 if self.ready_ms is None else now_ms - self.ready_ms


@dataclass(slots=True)
class _List:
    incarnation: str
    sequence: int
    received_ms: float
    waiting: dict[int, _Waiting] = field(default_factory=dict)


@dataclass(slots=True)
class _Granted:
    prompt_tokens: int
    tokens: int
    granted_ms: float
    ready_ms: float
    is_seen: bool = False
    has_begun: bool = False


@dataclass(frozen=True, slots=True)
class _Reserved:
    waiting: _Waiting
    held: Held


class PromptAdmission:
    """Decides which waiting requests one engine gets. Times are ms on a monotonic clock.

    *binding* is what requests waited for at the last decision, or None if none waited.
    """

    __slots__ = (
        "_granted",
        "_has_seen_grant",
        "_limits",
        "_list_by_entry",
        "_reading",
        "_report_ms",
        "_reserved_tokens",
        "_resident",
        "_run_by_number",
        "_runs",
        "_served_by_organisation",
        "_served_ms",
        "_started_ms",
        "binding",
    )

    def __init__(self) -> None:
        self._started_ms: int | None = None
        self._report_ms = float("-inf")
        self._limits: EngineLimits | None = None
        self._resident: dict[AdapterId, int] = {}
        self._list_by_entry: dict[str, _List] = {}
        self._served_by_organisation: dict[int, float] = {}
        self._served_ms = 0.0
        self.binding: str | None = None
        self._void()

    def _void(self) -> None:
        self._reading = PromptReading()
        self._granted: dict[int, _Granted] = {}
        self._run_by_number: dict[int, ReportedRun] = {}
        self._runs = 0
        self._reserved_tokens = 0.0
        self._has_seen_grant = False

    # Queries

    def is_ready(self, now_ms: float) -> bool:
        """Return whether requests can be granted: limits and a recent report are known."""
        return self._limits is not None and now_ms - self._report_ms < REPORT_TTL_MS

    @property
    def limits(self) -> EngineLimits | None:
        """What bounds the admission, or None before the first list."""
        return self._limits

    def has_waiting(self) -> bool:
        """Return whether a request is listed."""
        return any(known.waiting for known in self._list_by_entry.values())

    def unread_tokens(self, now_ms: float) -> int:
        """Return the prompt tokens that count as unread, and those reserved beside them."""
        if self._limits is None:
            return 0
        self._reading.advance(now_ms, self._limits.tokens_per_ms)
        return round(self._reading.tokens + self._reserved_tokens)

    def waiting_tokens(self) -> int:
        """Return the prompt tokens of all listed requests."""
        return sum(
            waiting.request.prompt_tokens
            for known in self._list_by_entry.values()
            for waiting in known.waiting.values()
        )

    def runs(self) -> int:
        """Return the runs at the engine, with those granted since the last report."""
        return self._runs + sum(not granted.is_seen for granted in self._granted.values())

    def claimed_tokens(self) -> int:
        """Return the KV cache that runs and granted requests may claim, in tokens."""
        claimed = sum(granted.tokens for granted in self._granted.values())
        for number, run in self._run_by_number.items():
            granted = self._granted.get(number)
            claimed += run.tokens if granted is None else max(0, run.tokens - granted.tokens)
        return claimed

    # Commands

    def set_limits(self, limits: EngineLimits) -> None:
        """Set what bounds the admission."""
        self._limits = limits

    def apply_report(
        self,
        *,
        started_ms: int,
        resident: dict[AdapterId, int],
        runs: tuple[ReportedRun, ...],
        run_count: int,
        now_ms: float,
    ) -> None:
        """Apply a report; one of another incarnation of the engine makes all grants void.

        *resident* holds the versions of the adapters that may be used. *run_count* includes what is
        queued at the engine.
        """
        if started_ms != self._started_ms:
            self._void()
            self._list_by_entry.clear()
            self._started_ms = started_ms
        self._report_ms, self._resident = now_ms, resident
        self._runs = max(run_count, len(runs))
        if self._limits is not None:
            self._reading.advance(now_ms, self._limits.tokens_per_ms)
        known_runs, self._run_by_number = self._run_by_number, {run.number: run for run in runs}
        for number, granted in list(self._granted.items()):
            run = self._run_by_number.get(number)
            if run is not None:
                granted.is_seen, granted.has_begun = True, run.events > 0
                self._has_seen_grant = True
            elif granted.is_seen or now_ms - granted.granted_ms >= UNSEEN_TTL_MS:
                del self._granted[number]
        # Runs are told apart only if the report names them as the entries do.
        can_tell = self._has_seen_grant or not self._granted
        for number, run in self._run_by_number.items() if can_tell else ():
            # Sent without a grant, by an entry of the previous build or one that is cut off.
            if number not in known_runs and number not in self._granted and not run.events:
                self._reading.add(run.tokens, now_ms)
        self._reading.correct(*self._bounds_of_unread())

    def receive_list(
        self,
        entry: str,
        *,
        incarnation: str,
        sequence: int,
        started_ms: int,
        waiting: tuple[ListedRequest, ...],
        sent: tuple[tuple[int, int, int], ...] = (),
        now_ms: float,
    ) -> None:
        """Replace an entry's list; one that is older than the last, or for another incarnation of
        the engine, is ignored. A granted request that is still listed waits again.

        *sent* holds (number, prompt tokens, all tokens) of requests sent without a grant.
        """
        known = self._list_by_entry.get(entry)
        if started_ms != self._started_ms:
            return
        if known is not None and known.incarnation == incarnation and known.sequence >= sequence:
            return
        replaced = {} if known is None else known.waiting
        rows: dict[int, _Waiting] = {}
        for request in waiting:
            row = _Waiting(entry, request, now_ms + request.left_ms)
            if request.number in self._granted:
                row.ready_ms = self._take_back(request.number, now_ms)
                if row.ready_ms is None:
                    continue
                row.is_repeated = True
            elif request.number in replaced:
                row.ready_ms = replaced[request.number].ready_ms
            rows[request.number] = row
        self._list_by_entry[entry] = _List(incarnation, sequence, now_ms, rows)
        for number, prompt_tokens, tokens in sent:
            if number not in self._granted and number not in self._run_by_number:
                self._count(number, prompt_tokens, tokens, now_ms)

    def decide(self, now_ms: float) -> list[Grant]:
        """Return the grants to send now."""
        grants: list[Grant] = []
        self.binding = None
        self._drop_silent(now_ms)
        self._reserved_tokens = 0.0
        if not self.is_ready(now_ms):
            return grants
        self._reading.advance(now_ms, self._limits.tokens_per_ms)
        self._decay_shares(now_ms)
        room = Room(
            reading=self._limits.unread_tokens - self._reading.tokens,
            runs=math.ceil(self._limits.slots * (1 + QUEUE_FRACTION)) - self.runs(),
            memory=MEMORY_FRACTION * self._limits.cache_tokens - self.claimed_tokens(),
            is_idle=not self.runs(),
            is_all_read=not self._reading.tokens,
        )
        ready = self._ready_requests(now_ms)
        if not any(room.fits(waiting.request, NOTHING_HELD) for waiting in ready):
            self.binding = room.binding(ready[0].request) if ready else None
            return grants
        ready = self._in_order(ready, now_ms)
        reserved = self._reserved(ready, room, now_ms)
        while ready:
            waiting = ready.pop(0)
            held = NOTHING_HELD
            if reserved is not None and waiting is not reserved.waiting:
                held = self._held_against(waiting, reserved, now_ms)
            if not room.fits(waiting.request, held):
                self.binding = self.binding or room.binding(waiting.request)
                continue
            room.take(waiting.request)
            grants.append(self._grant(waiting, now_ms))
            if room.runs <= 0:
                self.binding = self.binding or (SLOTS if ready else None)
                break
            # The organisation of this request now has more than before.
            ready = self._in_order(ready, now_ms)
            if reserved is not None and waiting is reserved.waiting:
                reserved = self._reserved(ready, room, now_ms)
        if reserved is not None:
            self._reserved_tokens = max(0, min(room.reading, reserved.held.prompt_tokens))
        return grants

    # Helpers

    def _drop_silent(self, now_ms: float) -> None:
        for entry, known in list(self._list_by_entry.items()):
            if now_ms - known.received_ms >= LIST_TTL_MS:
                # The sequence number stays, so that a late list of before isn't taken for new.
                known.waiting.clear()
                if now_ms - known.received_ms >= 100 * LIST_TTL_MS:
                    del self._list_by_entry[entry]

    def _ready_requests(self, now_ms: float) -> list[_Waiting]:
        """Return the listed requests whose adapter is resident; those past their time go."""
        ready = []
        for known in self._list_by_entry.values():
            for number, waiting in list(known.waiting.items()):
                held = self._resident.get(waiting.request.adapter_id)
                if now_ms >= waiting.due_ms:
                    del known.waiting[number]
                elif held is not None and held >= waiting.request.version:
                    if waiting.ready_ms is None:
                        waiting.ready_ms = now_ms
                    ready.append(waiting)
        return ready

    def _order_of(self, waiting: _Waiting, now_ms: float) -> tuple[int, float, float]:
        served = self._served_by_organisation.get(waiting.request.organisation, 0.0)
        return self._aged_priority(waiting, now_ms), served, waiting.due_ms

    @staticmethod
    def _aged_priority(waiting: _Waiting, now_ms: float) -> int:
        return max(0, waiting.request.priority - int(waiting.waited_ms(now_ms) / AGING_MS))

    def _in_order(self, ready: list[_Waiting], now_ms: float) -> list[_Waiting]:
        return sorted(ready, key=lambda waiting: self._order_of(waiting, now_ms))

    def _reserved(self, ready: list[_Waiting], room: Room, now_ms: float) -> _Reserved | None:
        """Return the first request that has waited for one pause, with what is held back for it.

        Of what it lacks, KV cache comes first: while it waits for that, others may be read.
        """
        for waiting in ready:
            request = waiting.request
            if waiting.waited_ms(now_ms) < self._limits.max_gap_ms:
                continue
            _, lacks_memory = room.lacks(request)
            return _Reserved(
                waiting, Held(0 if lacks_memory else request.prompt_tokens, request.tokens)
            )
        return None

    def _held_against(self, waiting: _Waiting, reserved: _Reserved, now_ms: float) -> Held:
        """Return what a request has to leave: more urgent ones nothing, until ageing ends that."""
        priority = self._aged_priority(waiting, now_ms)
        is_more_urgent = priority < self._aged_priority(reserved.waiting, now_ms)
        return NOTHING_HELD if is_more_urgent else reserved.held

    def _bounds_of_unread(self) -> tuple[float, float]:
        """Return the least and most prompt tokens that can be unread by the last report.

        A run that has made an event was read. One that has not may have been read in part.
        """
        least = most = 0
        for number, granted in self._granted.items():
            run = self._run_by_number.get(number)
            if not granted.has_begun:
                most += granted.prompt_tokens
                if run is not None:
                    least += max(0, granted.prompt_tokens - run.tokens)
        most += sum(
            run.tokens
            for number, run in self._run_by_number.items()
            if number not in self._granted and not run.events
        )
        return least, most

    def _grant(self, waiting: _Waiting, now_ms: float) -> Grant:
        request = waiting.request
        del self._list_by_entry[waiting.entry].waiting[request.number]
        version = self._resident[request.adapter_id]
        self._count(
            request.number,
            request.prompt_tokens,
            request.tokens,
            now_ms,
            ready_ms=waiting.ready_ms,
        )
        served = self._served_by_organisation.get(request.organisation, 0.0)
        self._served_by_organisation[request.organisation] = served + request.prompt_tokens
        return Grant(
            entry=waiting.entry,
            number=request.number,
            version=version,
            waited_ms=waiting.waited_ms(now_ms),
            is_repeated=waiting.is_repeated,
        )

    def _count(
        self,
        number: int,
        prompt: int,
        tokens: int,
        now_ms: float,
        *,
        ready_ms: float | None = None,
    ) -> None:
        since_ms = now_ms if ready_ms is None else ready_ms
        self._granted[number] = _Granted(prompt, tokens, now_ms, since_ms)
        self._reading.add(prompt, now_ms)

    def _take_back(self, number: int, now_ms: float) -> float | None:
        """Take back a grant that was lost; return since when its request could be sent.

        Its prompt counts anew with the next grant: it arrives later than the first one said.
        Returns None if the grant is recent, or its request is at the engine.
        """
        granted = self._granted[number]
        if granted.is_seen or now_ms - granted.granted_ms < REPEAT_MS:
            return None
        self._reading.withdraw(granted.prompt_tokens)
        del self._granted[number]
        return granted.ready_ms

    def _decay_shares(self, now_ms: float) -> None:
        factor = 0.5 ** ((now_ms - self._served_ms) / SHARE_HALF_LIFE_MS)
        if factor > 0.99:  # Not at every decision: 30 ms or more at once.
            return
        self._served_ms = now_ms
        self._served_by_organisation = {
            organisation: served * factor
            for organisation, served in self._served_by_organisation.items()
            if served * factor >= 1.0
        }
