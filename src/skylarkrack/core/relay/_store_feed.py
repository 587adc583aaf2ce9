"""Decides which entries read the store, and when the others may rely on what a reader passes on.

Load pattern: each entry of a large fleet reading the store for itself costs calls that grow with
the fleet. So one entry in each failure domain reads, and passes on what it read as *steps* from one
revision to a later one. The others follow: they apply a step that continues from their own
revision, and read the store themselves if a step is missing, can't be applied, or fails to come.
"""

from collections import deque
from dataclasses import dataclass, replace
from enum import Enum

from skylarkrack.core.relay._directory import Endpoint
from skylarkrack.core.relay._membership import ProcessContact

READERS_PER_DOMAIN = 1
"""Entries of each failure domain that read the store; their silence makes all others read."""

REPEATED_STEPS = 3
"""Steps in one message, the newest last, so that a lost message causes no read of the store."""


class FeedKind(Enum):
    """What a step is about."""

    REGISTRATIONS = "registrations"
    PUBLICATIONS = "publications"


@dataclass(frozen=True, slots=True, kw_only=True)
class FeedStep:
    """What changed in one era of the store after *base*, up to *revision*.

    Without *is_complete* there were changes that the step does not hold. *removed* are the ids of
    registrations that ended; one that is in *endpoints* too began again. *versions* are announced
    versions as (model, adapter, version). *restored_ago_ms* is the time since the reader's store
    came back after an outage, or None.
    """

    kind: FeedKind
    era: int
    base: int
    revision: int
    is_complete: bool
    endpoints: tuple[Endpoint, ...] = ()
    removed: tuple[str, ...] = ()
    versions: tuple[tuple[str, str, int], ...] = ()
    restored_ago_ms: float | None = None


class StepUse(Enum):
    """What a follower does with a step.

    IGNORE: it is of an earlier era. KNOWN: it has nothing new. APPLY: apply it. READ: read the
    store, since changes before it or in it are missing.
    """

    IGNORE = "ignore"
    KNOWN = "known"
    APPLY = "apply"
    READ = "read"


def is_reader(own: ProcessContact, entries: list[ProcessContact]) -> bool:
    """Return whether *own* reads the store; *entries* are the other live entries.

    Entries with a fast link go first, since the others of the domain depend on theirs.
    """
    candidates = [own, *(contact for contact in entries if contact.domain == own.domain)]
    candidates.sort(key=lambda contact: (not contact.passes_on, contact.vm))
    return own in candidates[:READERS_PER_DOMAIN]


def use_of(step: FeedStep, *, era: int, revision: int) -> StepUse:
    """Return what a follower that has read up to *revision* of *era* does with a step."""
    if step.era < era:
        return StepUse.IGNORE
    if step.era > era:
        return StepUse.READ
    if step.revision <= revision:
        return StepUse.KNOWN
    if step.base > revision or not step.is_complete:
        return StepUse.READ
    return StepUse.APPLY


class FeedHistory:
    """The newest steps of a reader, which it sends as one.

    A registration is left out if it differs from the one that was sent last only in fields that
    change with every heartbeat. Followers know it only if they have all steps since, so nothing is
    left out behind a gap: after a listing, a restore, or the steps of another reader.
    """

    __slots__ = ("_sent_by_id", "_steps")

    def __init__(self) -> None:
        self._steps: deque[FeedStep] = deque(maxlen=REPEATED_STEPS)
        self._sent_by_id: dict[str, tuple] = {}

    def add(self, step: FeedStep) -> FeedStep:
        """Return a step that covers this one and those before it."""
        if self._steps and (self._steps[-1].era, self._steps[-1].revision) != (step.era, step.base):
            self._steps.clear()
            self._sent_by_id.clear()
        for endpoint_id in step.removed:
            self._sent_by_id.pop(endpoint_id, None)
        changed = tuple(e for e in step.endpoints if self._has_changed(e))
        self._steps.append(replace(step, endpoints=changed))
        endpoint_by_id: dict[str, Endpoint] = {}
        removed: dict[str, None] = {}
        for earlier in self._steps:
            # Removals first: a registration that ended and is in the step as well began again.
            for endpoint_id in earlier.removed:
                endpoint_by_id.pop(endpoint_id, None)
                removed[endpoint_id] = None
            for endpoint in earlier.endpoints:
                endpoint_by_id[endpoint.endpoint_id] = endpoint
                removed.pop(endpoint.endpoint_id, None)
        return replace(
            step,
            base=self._steps[0].base,
            is_complete=all(earlier.is_complete for earlier in self._steps),
            endpoints=tuple(endpoint_by_id.values()),
            removed=tuple(removed),
            versions=tuple(row for earlier in self._steps for row in earlier.versions),
        )

    def _has_changed(self, endpoint: Endpoint) -> bool:
        fields = (
            endpoint.service,
            endpoint.address,
            endpoint.domain,
            endpoint.slots,
            endpoint.started_ms,
            endpoint.is_leaving,
            endpoint.software_version,
            # An endpoint that is cold again before its cold time ended has more of it left.
            endpoint.warmup_left_ms // 1000 if endpoint.warmup_left_ms > 0 else -1,
        )
        if self._sent_by_id.get(endpoint.endpoint_id) == fields:
            return False
        self._sent_by_id[endpoint.endpoint_id] = fields
        return True
