"""Remembers which software version began a stream, so that it goes on only at that version.

Endpoints of several versions may serve side by side, and what two of them write doesn't fit
together. The load that this answers is a release during which entries and endpoints are stopped:
callers take their streams up at other entries, which have not seen them begin. Every entry keeps
the origins of its own streams, and sends them to agents (`_stream_keepers`), which outlive entries.
While a service has more than one version, it also sends them to other entries, the stream's homes,
which are found by rendezvous hashing.

A stream that nobody knows may go on only where the service certainly had one version since the
stream began. A process that saw the registrations for that time knows it, and so does one that read
what the registry remembers of that time. The endpoints that are registered now show nothing: others
may have left a moment ago. Both know it only of the time up to which they have read the
registrations: a process that stood still, or is cut off, doesn't see a new version join while the
others begin streams at it.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum

from skylarkrack.core._hashing import rendezvous_order
from skylarkrack.core.relay._directory import Endpoint

ORIGIN_TTL_MS = 30_000.0
"""Time for which an origin and a version that has left are remembered; it is longer than callers
wait for a stream."""

MAX_ORIGINS = 50_000
"""Origins that are remembered; beyond it the oldest are dropped. They take about 15 MB."""

ORIGIN_COPIES = 2
"""Other entries that an origin is sent to."""

MAX_ASKED = 8
"""Entries that are asked for an origin: the homes, and others in case the entries disagree about
who is alive."""

STREAM_KEY_BYTES = 12

MAX_BEGUN_VERSIONS = 8
"""Most versions that an answer lists, so that it stays small; a release brings one or two."""

MAX_UNSEEN_MS = 2_000.0
"""Time without a look at the registrations after which a process no longer counts as having
followed them, since it was frozen. Entries look every 50 ms."""

MAX_LIST_AGE_MS = 2_000.0
"""Age of the registrations above which they show nothing of the versions that serve now. A reader
reads them again within a second."""

STALL_MS = 500.0
"""Time without a look above which what is received next may have waited for this process, and for
how long after it nothing that was received counts as new."""


_NOTHING = (float("inf"), float("-inf"))


class VersionView(IntEnum):
    """What a process knows of the versions that a service had since a stream began.

    The numbers are part of the protocol. Builds before it take ONE for false, the others for true.
    """

    ONE = 0
    SEVERAL = 1
    UNKNOWN = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamOrigin:
    """The service and the software version of the endpoint that wrote a stream's first event."""

    service: str
    software_version: str


def stream_key(organisation: str | None, first_attempt: str) -> bytes:
    """Return the key of the stream that began in an organisation's request *first_attempt*.

    Request ids are chosen by callers: with another organisation's id a caller gets another key.
    """
    digest = hashlib.blake2b(digest_size=STREAM_KEY_BYTES)
    for part in ((organisation or "").encode(), first_attempt.encode()):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()


def homes_of(key: bytes, entries: Iterable[str], count: int) -> list[str]:
    """Return the first *count* of *entries* in the rendezvous order of a stream."""
    return rendezvous_order(key.hex(), entries)[:count]


class StreamOrigins:
    """Origins by stream key, and the versions that services have or recently had. Times are ms."""

    __slots__ = (
        "_begun_ms_by_version_by_service",
        "_followed_since_ms_by_service",
        "_looked_ms",
        "_missed_until_ms",
        "_own_keys",
        "_recalled_ms_by_service",
        "_record_by_key",
        "_seen_ms_by_version_by_service",
        "_stalled_until_ms",
        "_unsent_keys",
    )

    def __init__(self) -> None:
        # In the order of their times: (time, origin).
        self._record_by_key: OrderedDict[bytes, tuple[float, StreamOrigin]] = OrderedDict()
        self._own_keys: set[bytes] = set()
        self._unsent_keys: set[bytes] = set()
        self._seen_ms_by_version_by_service: dict[str, dict[str, float]] = {}
        self._begun_ms_by_version_by_service: dict[str, dict[str, float]] = {}
        self._followed_since_ms_by_service: dict[str, float] = {}
        # The start and the end of the time that the registry's history covers.
        self._recalled_ms_by_service: dict[str, tuple[float, float]] = {}
        self._looked_ms = float("-inf")
        self._missed_until_ms = float("-inf")
        self._stalled_until_ms = float("-inf")

    # Queries

    def count(self) -> int:
        """Return the number of origins that are remembered."""
        return len(self._record_by_key)

    def find(self, key: bytes, now_ms: float) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is unknown."""
        time_ms, origin = self._record_by_key.get(key, (float("-inf"), None))
        return origin if now_ms - time_ms < ORIGIN_TTL_MS else None

    def begun_versions(self, service: str, now_ms: float) -> list[str]:
        """Return the versions that began streams of a service during the last `ORIGIN_TTL_MS`.

        These are the newest `MAX_BEGUN_VERSIONS`, whether or not their endpoints are still there.
        """
        begun_ms_by_version = self._begun_ms_by_version_by_service.get(service, {})
        newest = sorted(begun_ms_by_version.items(), key=lambda item: -item[1])
        fresh = [version for version, begun_ms in newest if now_ms - begun_ms < ORIGIN_TTL_MS]
        return fresh[:MAX_BEGUN_VERSIONS]

    def is_mixed(self, service: str) -> bool:
        """Return whether a service has, or recently had, endpoints of several versions."""
        return len(self._seen_ms_by_version_by_service.get(service, ())) > 1

    def view_of(
        self,
        service: str,
        endpoints: Iterable[Endpoint],
        now_ms: float,
        *,
        confirmed_ms: float,
        began_within_ms: float = ORIGIN_TTL_MS,
    ) -> VersionView:
        """Return what is known of the versions that a service had during *began_within_ms*.

        *endpoints* are all registered ones as of *confirmed_ms*.
        """
        if self.is_mixed(service):
            return VersionView.SEVERAL
        is_current = (
            now_ms - confirmed_ms < MAX_LIST_AGE_MS
            and now_ms - self._looked_ms < STALL_MS
            and now_ms >= self._stalled_until_ms
        )
        if is_current and self._covers(service, began_within_ms, now_ms):
            return VersionView.ONE
        known = [endpoint for endpoint in endpoints if endpoint.service == service]
        versions = {endpoint.software_version for endpoint in known}
        if len(versions) > 1 or versions and set(self.begun_versions(service, now_ms)) - versions:
            return VersionView.SEVERAL
        # Registrations that state no version ask for no distinction.
        return VersionView.ONE if versions == {""} else VersionView.UNKNOWN

    def _covers(self, service: str, began_within_ms: float, now_ms: float) -> bool:
        """Return whether all versions since the begin of a stream are known.

        Without the registry's history this takes the longest time for which any caller waits.
        """
        followed_ms = self._followed_since_ms_by_service.get(service, float("inf"))
        since_ms = max(followed_ms, self._missed_until_ms)
        recalled_from_ms, recalled_to_ms = self._recalled_ms_by_service.get(service, _NOTHING)
        if since_ms > recalled_to_ms:
            return now_ms - since_ms >= ORIGIN_TTL_MS
        return now_ms - min(since_ms, recalled_from_ms) >= began_within_ms

    def own(self) -> list[bytes]:
        """Return the keys of the streams that this entry forwarded, the newest first."""
        return [key for key in reversed(self._record_by_key) if key in self._own_keys]

    # Commands

    def miss_until(self, time_ms: float) -> None:
        """Record that registrations may have been missed until *time_ms*."""
        self._missed_until_ms = max(self._missed_until_ms, time_ms)

    def see_versions(self, versions_by_service: Mapping[str, set[str]], now_ms: float) -> None:
        """Record the versions of all registered endpoints."""
        if now_ms - self._looked_ms >= MAX_UNSEEN_MS:
            self._followed_since_ms_by_service.clear()
        if STALL_MS <= now_ms - self._looked_ms < float("inf"):
            self._stalled_until_ms = now_ms + STALL_MS
        self._looked_ms = now_ms
        for service in versions_by_service:
            self._followed_since_ms_by_service.setdefault(service, now_ms)
        for service, versions in versions_by_service.items():
            self._see(service, versions, now_ms)
        for seen_ms_by_version in self._seen_ms_by_version_by_service.values():
            for version, seen_ms in list(seen_ms_by_version.items()):
                if now_ms - seen_ms >= ORIGIN_TTL_MS:
                    del seen_ms_by_version[version]

    def recall(
        self, service: str, versions: Iterable[str], covered_ms: float, now_ms: float
    ) -> None:
        """Record the versions that a service had, by the registry, during the last *covered_ms*.

        They count as seen now, since the history doesn't tell when their endpoints left.
        """
        self._recalled_ms_by_service[service] = (now_ms - covered_ms, now_ms)
        self._see(service, versions, now_ms)

    def record(self, key: bytes, origin: StreamOrigin, now_ms: float) -> None:
        """Record that this entry forwarded the first event of a stream, or took it up."""
        self._store(key, origin, now_ms)
        self._own_keys.add(key)
        if self.is_mixed(origin.service):
            self._unsent_keys.add(key)

    def receive(self, key: bytes, origin: StreamOrigin, now_ms: float) -> None:
        """Record an origin that another entry sent."""
        if key not in self._own_keys:
            self._store(key, origin, now_ms)

    def take_unsent(self, now_ms: float) -> list[tuple[bytes, StreamOrigin]]:
        """Return the origins that are to be sent to their homes, and forget the old ones."""
        self.forget_old(now_ms)
        unsent = [(key, self._record_by_key[key][1]) for key in self._unsent_keys]
        self._unsent_keys.clear()
        return unsent

    def forget_old(self, now_ms: float) -> None:
        """Forget the origins that are older than callers wait for a stream."""
        for service, begun_ms_by_version in list(self._begun_ms_by_version_by_service.items()):
            for version, begun_ms in list(begun_ms_by_version.items()):
                if now_ms - begun_ms >= ORIGIN_TTL_MS:
                    del begun_ms_by_version[version]
            if not begun_ms_by_version:
                del self._begun_ms_by_version_by_service[service]
        while self._record_by_key:
            key, (time_ms, _) = next(iter(self._record_by_key.items()))
            if now_ms - time_ms < ORIGIN_TTL_MS:
                break
            self._drop(key)

    def _see(self, service: str, versions: Iterable[str], now_ms: float) -> None:
        seen_ms_by_version = self._seen_ms_by_version_by_service.setdefault(service, {})
        was_mixed = len(seen_ms_by_version) > 1
        for version in versions:
            seen_ms_by_version[version] = now_ms
        if not was_mixed and len(seen_ms_by_version) > 1:
            # Origins were kept to this entry until now.
            self._unsent_keys |= {
                key for key in self._own_keys if self._record_by_key[key][1].service == service
            }

    def _store(self, key: bytes, origin: StreamOrigin, now_ms: float) -> None:
        self._record_by_key[key] = (now_ms, origin)
        begun_ms_by_version = self._begun_ms_by_version_by_service.setdefault(origin.service, {})
        begun_ms_by_version[origin.software_version] = now_ms
        self._record_by_key.move_to_end(key)
        if len(self._record_by_key) > MAX_ORIGINS:
            self._drop(next(iter(self._record_by_key)))

    def _drop(self, key: bytes) -> None:
        del self._record_by_key[key]
        self._own_keys.discard(key)
        self._unsent_keys.discard(key)
