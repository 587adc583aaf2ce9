"""Requests that may crash the endpoint that runs them.

A crash makes suspects of all that ran at that moment. A suspect runs once more with no other
request in the batch: if that ends well it is cleared, and if the endpoint crashes again it is
quarantined everywhere. So one prompt that is sent again after an answer takes down two endpoints
at the most, and its neighbours in the first batch are delayed and not refused.
"""

import hashlib
import json
import unicodedata
from dataclasses import dataclass

QUARANTINE_CRASHES = 2
"""Endpoints that a prompt may crash before it is refused."""

QUARANTINE_MS = 600_000
"""How long a prompt that crashed two endpoints is refused."""

SUSPECT_TTL_MS = 120_000
"""How long a prompt stays suspected without a verdict."""

_UNIDENTIFIED_CRASH_ID = "earlier"

MAX_SUSPECTS = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class _Suspect:
    crash_ids: frozenset[str]
    until_ms: float


class SuspectTracker:
    """Suspected prompts by fingerprint, as told by the agents that saw the crashes."""

    __slots__ = ("_quarantine_ms", "_suspect_by_fingerprint")

    def __init__(self, *, quarantine_ms: float = QUARANTINE_MS) -> None:
        self._quarantine_ms = quarantine_ms
        self._suspect_by_fingerprint: dict[bytes, _Suspect] = {}

    # Queries

    def is_suspect(self, fingerprint: bytes, now_ms: float) -> bool:
        """Tell whether the prompt has to run alone."""
        crash_ids = self._confirmed_crash_ids(fingerprint, now_ms)
        return crash_ids is not None and len(crash_ids) < QUARANTINE_CRASHES

    def is_quarantined(self, fingerprint: bytes, now_ms: float) -> bool:
        """Tell whether the prompt is refused."""
        crash_ids = self._confirmed_crash_ids(fingerprint, now_ms)
        return crash_ids is not None and len(crash_ids) >= QUARANTINE_CRASHES

    def _confirmed_crash_ids(self, fingerprint: bytes, now_ms: float) -> frozenset[str] | None:
        """Return the confirmed crashes of a suspect, or None if the prompt is none."""
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
        """Take in that an endpoint may have crashed while the prompt ran.

        A crash counts once, and a broken connection alone does not count. A suspect that was lost
        again, with nothing beside it, needs no further proof: the next endpoint would be a third.
        """
        crash_ids = self._confirmed_crash_ids(fingerprint, now_ms) or frozenset()
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
        """Take in that a suspected prompt ran alone to its end."""
        if self.is_suspect(fingerprint, now_ms):
            del self._suspect_by_fingerprint[fingerprint]


def fingerprint_of(adapter: str, prompt: object) -> bytes:
    """Return a digest of the prompt that does not depend on how its JSON was written.

    *prompt* is the decoded `messages` or `prompt` field. Text is brought to one Unicode form and
    its white space is folded.
    """
    folded = json.dumps([adapter, _normalised(prompt)], sort_keys=True, ensure_ascii=True)
    return hashlib.blake2b(folded.encode("ascii"), digest_size=16).digest()


def _normalised(value: object) -> object:
    if isinstance(value, str):
        return " ".join(unicodedata.normalize("NFKC", value).split())
    if isinstance(value, list):
        return [_normalised(item) for item in value]
    if isinstance(value, dict):
        return {str(key): _normalised(item) for key, item in value.items()}
    return value
