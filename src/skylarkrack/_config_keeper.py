"""Keeps a process's configuration current, from the platform and from peers."""

import asyncio
from collections.abc import Callable
from random import Random

from skylarkrack._clock import local_calendar_s, monotonic_ms
from skylarkrack._errors import PlatformUnreachable
from skylarkrack._events import Event, log
from skylarkrack._lists import REQUIRED_VALUES, build_catalogue, kind_of, parse_value
from skylarkrack.core import AccessLease, AdoptionResult, Catalogue, Configuration
from skylarkrack.messages import Ping, Pong, Value, ValuesEnd, ValuesRequest
from skylarkrack.ports import PlatformPort
from skylarkrack.wire import Link

WATCH_WAIT_MS = 500
"""Longest time that the platform may hold a watch request open before it answers.

Each answer renews the evidence of the access lease, so that it is renewed twice a second.
"""

RETRY_PAUSE_RANGE_MS = (100, 400)
"""Bounds of the random pause after a failed read; it spreads the retries of many processes."""

PEER_GRACE_MS = 1500
"""Wait of a new process for messages of its peers before it serves by what the platform sent.

A peer may know a newer revision than the one that the platform returned.
"""


class ConfigKeeper:
    """Holds the configuration in force, the access lease and the platform's calendar time."""

    __slots__ = (
        "_calendar_offset_s",
        "_complete_since_ms",
        "_configuration",
        "_is_platform_lost",
        "_on_change",
        "_platform",
        "_random",
        "_task",
        "_vm",
        "catalogue",
        "lease",
    )

    def __init__(
        self, *, vm: str, platform: PlatformPort, random: Random, on_change: Callable[[], None]
    ) -> None:
        self._vm = vm
        self._platform = platform
        self._random = random
        self._on_change = on_change
        self._configuration = Configuration(parse=parse_value)
        self._calendar_offset_s: float | None = None
        self._complete_since_ms: float | None = None
        self._is_platform_lost = False
        self._task: asyncio.Task | None = None
        self.catalogue = Catalogue()
        self.lease = AccessLease()

    async def start(self) -> None:
        """Start the task that watches the platform."""
        self._task = asyncio.create_task(self._watch())

    async def close(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()
        self._platform.close()

    # Queries

    @property
    def revision(self) -> int:
        """The platform's revision up to which all published values have been processed."""
        return self._configuration.revision

    def is_complete(self) -> bool:
        """Return whether every required value is in force."""
        kinds = {kind_of(name) for name in self._configuration.good_revisions()}
        return kinds.issuperset(REQUIRED_VALUES)

    def may_act(self, now_ms: float) -> bool:
        """Return whether requests may be admitted and open ones may continue."""
        if self._complete_since_ms is None or now_ms < self._complete_since_ms + PEER_GRACE_MS:
            return False
        return self.lease.is_held(now_ms)

    def calendar_s(self, now_ms: float) -> float:
        """Return the platform's calendar time in seconds, or the VM's own while that is unknown.

        It is derived from the monotonic clock, so that steps of the VM's clock do not change it.
        """
        if self._calendar_offset_s is None:
            return local_calendar_s()
        return now_ms / 1000 + self._calendar_offset_s

    def describe(self, now_ms: float) -> dict[str, object]:
        """Return the state for `skylarkctl state`."""
        age_ms = self.lease.evidence_age_ms(now_ms)
        return {
            "revision": self.revision,
            "revisions": self._configuration.good_revisions(),
            "evidence_age_ms": round(age_ms) if age_ms != float("inf") else None,
            "access_lease_held": self.may_act(now_ms),
            "complete": self.is_complete(),
        }

    # Heartbeats and messages of peers

    def pong(self, ping: Ping, *, leaving: bool) -> Pong:
        """Return the answer to the heartbeat *ping*."""
        now_ms = monotonic_ms()
        age_ms = self.lease.evidence_age_ms(now_ms)
        is_known = self._calendar_offset_s is not None
        return Pong(
            sequence=ping.sequence,
            revision=self.revision,
            evidence_age_ms=-1 if age_ms == float("inf") else int(age_ms) + 1,
            calendar_s=self.calendar_s(now_ms) if is_known else 0.0,
            leaving=leaving,
        )

    def pong_received(self, link: Link, pong: Pong, ping_sent_ms: float) -> None:
        """Record the state that a peer reports, and request its values if its revision is newer."""
        is_newer = pong.revision > self.revision
        self.lease.observe_peer(
            link.vm,
            domain=link.peer.domain,
            ping_sent_ms=ping_sent_ms,
            evidence_age_ms=pong.evidence_age_ms,
            is_newer=is_newer,
        )
        if self._calendar_offset_s is None and pong.calendar_s:
            self._calendar_offset_s = pong.calendar_s - monotonic_ms() / 1000
        if is_newer:
            link.send(ValuesRequest(known=self._configuration.seen_revisions()))

    def link_down(self, vm: str) -> None:
        """Drop the evidence of a peer whose link has ended."""
        self.lease.forget_peer(vm)

    def send_values(self, link: Link, request: ValuesRequest) -> None:
        """Send a peer every value that is newer than the one that it has."""
        for value in self._configuration.values_newer_than(request.known):
            link.send(value)
        link.send(ValuesEnd(revision=self.revision))

    def value_received(self, value: Value) -> None:
        """Adopt a value that a peer sent."""
        if kind_of(value.name) is not None:
            self._adopt(value.name, value.revision, value.body)

    def values_end_received(self, end: ValuesEnd) -> None:
        """Advance to the revision up to which a peer has sent all values."""
        self._configuration.advance_revision(end.revision)
        self._rebuild()

    # The platform

    async def _watch(self) -> None:
        while True:
            try:
                await self._read_changes()
            except PlatformUnreachable as error:
                self._platform_lost(str(error))
                await asyncio.sleep(self._random.uniform(*RETRY_PAUSE_RANGE_MS) / 1000)

    async def _read_changes(self) -> None:
        sent_ms = monotonic_ms()
        after = self.revision
        changes = await self._platform.changes(after=after, wait_ms=WATCH_WAIT_MS)
        if changes.revision < self.revision:
            log(Event.STALE_VALUE_IGNORED, revision=changes.revision, held=self.revision)
            await asyncio.sleep(self._random.uniform(*RETRY_PAUSE_RANGE_MS) / 1000)
            return
        for name in self._configuration.newer_names(changes.revision_by_name):
            if kind_of(name) is not None:
                await self._read_value(name, at_least=changes.revision_by_name[name])
        self._configuration.advance_revision(changes.revision)
        self.lease.observe_read(sent_ms)
        self._platform_answered(changes.calendar_s)
        if changes.revision_by_name or self._complete_since_ms is None:
            self._rebuild()

    async def _read_value(self, name: str, *, at_least: int) -> None:
        value = await self._platform.value(name)
        if value.revision < at_least:
            raise PlatformUnreachable(
                f"the platform returned an older revision of {name} than it announced"
            )
        self._adopt(name, value.revision, value.body)

    def _adopt(self, name: str, revision: int, body: bytes) -> None:
        adopted = self._configuration.adopt(name, revision, body)
        if adopted is not None:
            _log_adopted(adopted)

    def _rebuild(self) -> None:
        values = self._configuration.parsed_by_name()
        self.catalogue = build_catalogue(values, revision=self.revision)
        others = [vm for vm in self.catalogue.vm_by_name.values() if vm.name != self._vm]
        self.lease.observe_roster({vm.domain for vm in others if not vm.leaving})
        if self._complete_since_ms is None and self.is_complete():
            self._complete_since_ms = monotonic_ms()
        self._on_change()

    def _platform_lost(self, reason: str) -> None:
        if not self._is_platform_lost:
            log(Event.PLATFORM_LOST, reason=reason)
        self._is_platform_lost = True

    def _platform_answered(self, calendar_s: float | None) -> None:
        if self._is_platform_lost:
            log(Event.PLATFORM_BACK, revision=self.revision)
        self._is_platform_lost = False
        if calendar_s is not None:
            self._calendar_offset_s = calendar_s - monotonic_ms() / 1000


def _log_adopted(adopted: AdoptionResult) -> None:
    if not adopted.problems:
        log(Event.VALUE_ADOPTED, name=adopted.name, revision=adopted.revision)
        return
    problems = [str(problem) for problem in adopted.problems]
    log(Event.VALUE_REJECTED, name=adopted.name, revision=adopted.revision, problems=problems)
