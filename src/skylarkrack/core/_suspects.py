"""Tracking of prompts that may crash the endpoint that runs them.

All prompts that were running when an endpoint crashed become suspects. A suspect runs again with
no other request in the batch: if that run completes, the prompt is cleared; if the endpoint crashes
again, it is quarantined, that is, refused by all entries. A prompt that is sent again after each
failure therefore takes down at most two endpoints, and the other prompts of the first batch are
delayed rather than refused.
"""

import hashlib
import json
import unicodedata
from dataclasses import dataclass

QUARANTINE_CRASHES = 2
"""Number of crashes after which a prompt is refused."""

QUARANTINE_MS = 600_000
"""How long a prompt is refused after `QUARANTINE_CRASHES` crashes."""

SUSPECT_TTL_MS = 120_000
"""How long a prompt stays a suspect if it is neither cleared nor quarantined."""

_UNIDENTIFIED_CRASH_ID = "earlier"
"""Counted when a suspect is lost while it runs alone.

It stands for the crash or lost connection that made the prompt a suspect.
"""

MAX_SUSPECTS = 10_000
"""Bound on the tracked prompts; beyond it, the one with the oldest report is dropped."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Suspect:
    """A suspected or quarantined prompt; it is forgotten at *until_ms*."""

    crash_ids: frozenset[str]
    until_ms: float


class SuspectTracker:
    """Suspected and quarantined prompts by fingerprint, as reported by the agents.

    *quarantine_ms* is how long a quarantine lasts. Times are monotonic milliseconds.
    """

    __slots__ = ("_quarantine_ms", "_suspect_by_fingerprint")

    def __init__(self, *, quarantine_ms: float = QUARANTINE_MS) -> None:
        self._quarantine_ms = quarantine_ms
        self._suspect_by_fingerprint: dict[bytes, _Suspect] = {}

    # Queries

    def is_suspect(self, fingerprint: bytes, now_ms: float) -> bool:
        """Return whether the prompt has to run alone."""
        crash_ids = self._crash_ids_of(fingerprint, now_ms)
        return crash_ids is not None and len(crash_ids) < QUARANTINE_CRASHES

    def is_quarantined(self, fingerprint: bytes, now_ms: float) -> bool:
        """Return whether the prompt is to be refused."""
        crash_ids = self._crash_ids_of(fingerprint, now_ms)
        return crash_ids is not None and len(crash_ids) >= QUARANTINE_CRASHES

    def _crash_ids_of(self, fingerprint: bytes, now_ms: float) -> frozenset[str] | None:
        """Return the ids of the counted crashes, or None if the prompt is not tracked."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None or suspect.until_ms <= now_ms:
            return None
        return suspect.crash_ids

    # Commands

    def observe_crash(
        self,
        crash_id: str,
        fingerprint: bytes,
        *,
        is_confirmed: bool,
        was_alone: bool,
        now_ms: float,
    ) -> None:
        """Record that an endpoint may have crashed while the prompt ran.

        A crash is counted once per *crash_id*. An unconfirmed one, that is a lost connection, makes
        the prompt a suspect but is not counted. If *was_alone*, the prompt was a suspect already
        and is quarantined without confirmation: to wait for it could cost a third endpoint.
        """
        crash_ids = self._crash_ids_of(fingerprint, now_ms) or frozenset()
        if is_confirmed:
            crash_ids |= {crash_id}
        if was_alone:
            crash_ids |= {crash_id, _UNIDENTIFIED_CRASH_ID}
        is_quarantined = len(crash_ids) >= QUARANTINE_CRASHES
        until_ms = now_ms + (self._quarantine_ms if is_quarantined else SUSPECT_TTL_MS)
        self._suspect_by_fingerprint.pop(fingerprint, None)
        suspect = _Suspect(crash_ids=crash_ids, until_ms=until_ms)
        self._suspect_by_fingerprint[fingerprint] = suspect
        if len(self._suspect_by_fingerprint) > MAX_SUSPECTS:
            del self._suspect_by_fingerprint[next(iter(self._suspect_by_fingerprint))]

    def observe_cleared(self, fingerprint: bytes, *, now_ms: float) -> None:
        """Record that a suspect ran to completion; a quarantined prompt stays so."""
        if self.is_suspect(fingerprint, now_ms):
            del self._suspect_by_fingerprint[fingerprint]


def fingerprint_of(adapter: str, prompt: object) -> bytes:
    """Return a 16-byte digest of *adapter* and *prompt*, independent of the JSON encoding.

    *prompt* is the decoded `messages` or `prompt` field. Text is normalised to NFKC, and runs of
    white space are replaced by one space. The order of keys does not matter.
    """
    canonical = json.dumps([adapter, _normalised(prompt)], sort_keys=True, ensure_ascii=True)
    return hashlib.blake2b(canonical.encode("ascii"), digest_size=16).digest()


def _normalised(value: object) -> object:
    if isinstance(value, str):
        return " ".join(unicodedata.normalize("NFKC", value).split())
    if isinstance(value, list):
        return [_normalised(item) for item in value]
    if isinstance(value, dict):
        return {str(key): _normalised(item) for key, item in value.items()}
    return value
