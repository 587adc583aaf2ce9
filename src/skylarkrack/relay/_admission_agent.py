"""The agent's side of the admission of prompts: lists come in, grants go out."""

import asyncio
from collections.abc import Callable

from skylarkrack._clock import monotonic_ms
from skylarkrack._events import Event, log
from skylarkrack._metrics import Metrics
from skylarkrack.core.relay import (
    AdapterId,
    EngineLimits,
    EngineReport,
    Grant,
    ListedRequest,
    PromptAdmission,
    ReportedRun,
    request_number,
)
from skylarkrack.messages import AdmissionGrants, AdmissionRequests
from skylarkrack.relay._peers import Peers
from skylarkrack.relay._settings import RelaySettings

TICK_MS = 5.0
"""Time between decisions while requests wait for room; the engine reads 140 tokens in it."""

POLL_MS = 25.0
"""Time between reports while requests wait: they show what has been read."""

ANNOUNCE_MS = 1000.0
"""Time between two messages to all entries; an entry takes an agent for one that doesn't admit
prompts after 2.5 s without one."""

UNUSED_MS = 30_000.0
"""Time without a message of an entry after which the agent no longer says that it admits prompts:
no route asks for it any more."""

MAX_GAP_MS = 60_000.0
"""Longest pause that is taken from a list."""

BOUND_LOG_MS = 10_000.0
"""Time between two log lines of one engine at which the reading of prompts is what requests wait
for."""

BOUND_WAIT_MS = 100.0
"""Wait of a request from which the reading of prompts counts as what binds."""


class AdmissionAgent:
    """Receives the lists of the entries and sends them grants.

    *on_waiting* is called when requests begin to wait, so that reports are read more often.
    """

    __slots__ = (
        "_address_by_entry",
        "_admission",
        "_announced_ms",
        "_bound",
        "_bound_log_ms",
        "_heard_by_entry",
        "_incarnation",
        "_is_supported",
        "_list_ms",
        "_metrics",
        "_on_waiting",
        "_peers",
        "_sequence",
        "_settings",
        "_started_ms",
        "_timer",
    )

    def __init__(
        self,
        settings: RelaySettings,
        *,
        peers: Peers,
        metrics: Metrics,
        incarnation: str,
        on_waiting: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._metrics = metrics
        self._incarnation = incarnation
        self._on_waiting = on_waiting
        self._admission = PromptAdmission()
        self._address_by_entry: dict[str, str] = {}
        self._heard_by_entry: dict[str, int] = {}
        self._list_ms = self._announced_ms = float("-inf")
        self._is_supported = False
        self._started_ms = 0
        self._sequence = 0
        self._timer: asyncio.TimerHandle | None = None
        self._bound, self._bound_log_ms = [0, 0.0], float("-inf")

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def describe(self) -> dict[str, object]:
        """Return what `/state` shows of the admission; empty where no entry uses it."""
        now_ms, limits = monotonic_ms(), self._admission.limits
        if limits is None:
            return {}
        return {
            "unread": self._admission.unread_tokens(now_ms),
            "limit": round(limits.unread_tokens),
            "waiting": self._admission.waiting_tokens(),
            "runs": self._admission.runs(),
            "cache_tokens": self._admission.claimed_tokens(),
            "binds": self._admission.binding,
        }

    def has_waiting(self) -> bool:
        """Return whether requests wait, so that reports are worth reading more often."""
        return self._admission.has_waiting()

    def apply_report(
        self, report: EngineReport, usable: dict[AdapterId, int], now_ms: float
    ) -> None:
        """Apply an engine's report; without its runs prompts aren't admitted here."""
        self._is_supported = report.runs is not None
        if not self._is_supported:
            return
        if self._started_ms not in (0, report.started_ms):
            log(Event.ADMISSION_VOID, started_ms=report.started_ms)
        self._started_ms = report.started_ms
        runs = tuple(
            ReportedRun(number=request_number(request_id), tokens=tokens, events=events)
            for request_id, tokens, events in report.runs
        )
        self._admission.apply_report(
            started_ms=report.started_ms,
            resident=usable,
            runs=runs,
            run_count=report.run_count,
            now_ms=now_ms,
        )
        if self._admission.has_waiting():
            self._decide(now_ms)

    def receive(self, message: AdmissionRequests, now_ms: float) -> None:
        """Apply an entry's list and answer it; a malformed row raises before anything changes."""
        if message.started_ms != self._started_ms or not self._is_supported:
            return
        waiting = tuple(
            ListedRequest(
                number=int(number),
                adapter_id=(model, adapter),
                version=int(version),
                prompt_tokens=max(0, int(prompt_tokens)),
                tokens=max(0, int(tokens)),
                priority=int(priority),
                organisation=int(organisation),
                left_ms=float(left_ms),
            )
            for (
                number,
                model,
                adapter,
                version,
                prompt_tokens,
                tokens,
                priority,
                organisation,
                left_ms,
            ) in message.waiting
        )
        sent = tuple(
            (int(number), max(0, int(prompt_tokens)), max(0, int(tokens)))
            for number, prompt_tokens, tokens in message.sent
        )
        self._admission.set_limits(
            EngineLimits(
                slots=message.slots,
                cache_tokens=message.cache_tokens,
                max_gap_ms=min(MAX_GAP_MS, max(1.0, message.max_gap_ms)),
                slowness=max(1, message.slowness) / 100,
            )
        )
        was_waiting = self._admission.has_waiting()
        self._list_ms = now_ms
        self._address_by_entry[message.vm] = message.address
        self._admission.receive_list(
            message.vm,
            incarnation=message.incarnation,
            sequence=message.sequence,
            started_ms=message.started_ms,
            waiting=waiting,
            sent=sent,
            now_ms=now_ms,
        )
        self._heard_by_entry[message.vm] = message.sequence
        if sent:
            self._metrics.count("admission_unasked_total", amount=len(sent))
        self._decide(now_ms, answer_to=message.vm)
        if not was_waiting and self._admission.has_waiting():
            self._on_waiting()

    def announce(self, now_ms: float) -> None:
        """Show all entries that this agent admits prompts, if any entry uses that."""
        if now_ms - self._announced_ms < ANNOUNCE_MS:
            return
        if now_ms - self._list_ms < UNUSED_MS and self._can_admit(now_ms):
            self._announced_ms = now_ms
            self._peers.broadcast_to_entries(self._message(0, [], now_ms))

    def _can_admit(self, now_ms: float) -> bool:
        return self._is_supported and self._admission.is_ready(now_ms)

    def _decide(self, now_ms: float, *, answer_to: str | None = None) -> None:
        granted_by_entry: dict[str, list[Grant]] = {}
        if answer_to is not None and self._can_admit(now_ms):
            granted_by_entry[answer_to] = []
        for grant in self._admission.decide(now_ms):
            granted_by_entry.setdefault(grant.entry, []).append(grant)
        for entry, grants in granted_by_entry.items():
            self._record(grants, now_ms)
            rows = [[grant.number, grant.version] for grant in grants]
            message = self._message(self._heard_by_entry[entry], rows, now_ms)
            self._peers.send(message, self._address_by_entry[entry])
        if self._admission.binding is not None:
            self._metrics.count("admission_bound_total", self._admission.binding)
        self._restart_timer()

    def _restart_timer(self) -> None:
        # A request whose adapter isn't resident is decided with the report that shows it.
        if self._timer is None and self._admission.binding is not None:
            self._timer = asyncio.get_running_loop().call_later(TICK_MS / 1000, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._decide(monotonic_ms())

    def _record(self, grants: list[Grant], now_ms: float) -> None:
        for grant in grants:
            if grant.is_repeated:
                self._metrics.count("admission_repeated_total")
                continue
            self._metrics.count("admission_granted_total")
            self._metrics.observe_ms("admission_wait_ms", grant.waited_ms)
            if grant.waited_ms >= BOUND_WAIT_MS:
                self._bound = [self._bound[0] + 1, max(self._bound[1], grant.waited_ms)]
        if self._bound[0] and now_ms - self._bound_log_ms >= BOUND_LOG_MS:
            log(
                Event.ADMISSION_BOUND,
                engine=self._settings.engine,
                requests=self._bound[0],
                longest_ms=round(self._bound[1]),
                binds=self._admission.binding,
                unread=self._admission.unread_tokens(now_ms),
                limit=round(self._admission.limits.unread_tokens),
                waiting=self._admission.waiting_tokens(),
                runs=self._admission.runs(),
            )
            self._bound, self._bound_log_ms = [0, 0.0], now_ms

    def _message(self, heard: int, granted: list, now_ms: float) -> AdmissionGrants:
        self._sequence += 1
        return AdmissionGrants(
            vm=self._settings.vm,
            address=self._settings.peers,
            incarnation=self._incarnation,
            sequence=self._sequence,
            domain=self._settings.domain,
            endpoint=self._settings.engine,
            started_ms=self._started_ms,
            heard=heard,
            granted=granted,
            unread=self._admission.unread_tokens(now_ms),
            waiting=self._admission.waiting_tokens(),
            runs=self._admission.runs(),
            cache_tokens=self._admission.claimed_tokens(),
        )
