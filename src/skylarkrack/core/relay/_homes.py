"""Finds the entry that spaces the requests to an endpoint, its home, and what it may use.

Every entry computes the home alike without a message: it is the first live entry in rendezvous
order. For an endpoint with a bound while it is cold, an entry of its own failure domain is
preferred, so that entries that are cut off together with it share a home.
"""

import math
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from skylarkrack.core._hashing import rendezvous_first, rendezvous_order
from skylarkrack.core.relay._names import EndpointKey

HOMES_AT_ONCE = 2
"""Homes that one endpoint may have at once, as after a partition, and with a silent home's deputy.
Each uses an equal part of what all may use together."""

SLACK_OF_HOMES = 5.0
"""Requests in one second by which two homes together may exceed their rates: each may begin and end
the second with a request, and permits are used up to 150 ms late. Where the settings allow less,
the rates are lower."""

FEW_ALIVE = 1 / 3
"""Part of the known entries below which a home may be one of many. It then uses only its part of
the bound, and begins at a time of its own, as many homes are not spaced from each other."""

MEMORY_OF_ENTRIES_MS = 120_000.0
"""Time for which an entry that is gone counts as known: it may be cut off and serve on."""

SHARE_TTL_MS = 1000.0
"""Time for which the share is not computed again without a change of the live entries."""

WEIGHTS_PER_TICK = 20_000
"""Weights of entries that are computed in one tick to find homes that no request asks for."""

START_HOLD_MS = 500.0
"""Time after its start in which an entry is no home of a cold endpoint, as it may not know the
others yet."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ColdMargin:
    """What all entries together may send a cold endpoint in any second beyond its bound.

    That is *overshoot* times the bound, and *slack* requests more.
    """

    overshoot: float = 1.5
    slack: float = 5.0


class Homes:
    """The live entries, and the homes that follow from them. Times are ms."""

    __slots__ = (
        "_domain_by_entry",
        "_entries",
        "_found_by_key",
        "_known_ms_by_entry",
        "_margin",
        "_share",
        "_share_until_ms",
        "_started_ms",
        "own",
    )

    def __init__(self, margin: ColdMargin | None = None) -> None:
        self.own = ""
        self._margin = margin or ColdMargin()
        self._entries: tuple[str, ...] = ("",)
        self._domain_by_entry: Mapping[str, str] = {}
        self._found_by_key: dict[EndpointKey, tuple[str | None, str, str]] = {}
        self._known_ms_by_entry: dict[str, float] = {}
        self._started_ms = -math.inf
        self._share, self._share_until_ms = 0.0, -math.inf

    # Queries

    def of(self, key: EndpointKey, domain: str | None) -> tuple[str, str]:
        """Return an endpoint's home, and its deputy or "" if there is no other entry.

        Entries in *domain* are preferred.
        """
        found = self._found_by_key.get(key)
        if found is None or found[0] != domain:
            found = self._found_by_key[key] = (domain, *self._find(key, domain))
        return found[1:]

    def is_found(self, key: EndpointKey) -> bool:
        """Return whether an endpoint's home is known without a look at all entries."""
        return key in self._found_by_key

    @property
    def finds_per_tick(self) -> int:
        """How many homes may be found in one tick, as that takes time with each entry."""
        return max(1, WEIGHTS_PER_TICK // len(self._entries))

    def _find(self, key: EndpointKey, domain: str | None) -> tuple[str, str]:
        name = _name_of(key)
        near = [vm for vm in self._entries if domain and self._domain_by_entry.get(vm) == domain]
        home = rendezvous_first(name, near or self._entries)
        others = [vm for vm in near if vm != home] or [vm for vm in self._entries if vm != home]
        return home, rendezvous_first(name, others) or ""

    def cold_share(self, now_ms: float) -> float:
        """Return the part of a cold endpoint's bound that this entry may use as its home."""
        return self._share if now_ms < self._share_until_ms else self._share_at(now_ms)

    def _share_at(self, now_ms: float) -> float:
        alive, overshoot = self._alive(now_ms), self._margin.overshoot
        if alive < FEW_ALIVE:
            return min(1.0, overshoot) * alive
        return min(1.0, overshoot / HOMES_AT_ONCE, overshoot * alive)

    def _alive(self, now_ms: float) -> float:
        """Return the part of the known entries that this one sees alive."""
        oldest_ms, live = now_ms - MEMORY_OF_ENTRIES_MS, len(self._entries)
        gone = self._known_ms_by_entry.keys() - set(self._entries)
        lost = sum(self._known_ms_by_entry[vm] >= oldest_ms for vm in gone)
        return live / (live + lost)

    def cold_rate_per_s(self, per_s: float, now_ms: float) -> float:
        """Return the requests a second that a home may use of the bound *per_s*, infinity if none.

        It may be below 0 where the margin leaves nothing of a low bound.
        """
        if math.isinf(per_s):
            return per_s
        missing = max(0.0, SLACK_OF_HOMES - self._margin.slack)
        share = self.cold_share(now_ms)
        return share * per_s - missing / HOMES_AT_ONCE if missing else share * per_s

    def first_send_ms(self, key: EndpointKey, interval_ms: float, now_ms: float) -> float:
        """Return when this entry, as a new home, sends its first request to a cold endpoint."""
        if self._alive(now_ms) >= FEW_ALIVE:
            return now_ms
        phase = zlib.crc32(f"{self.own}/{key[0]}".encode()) / (1 << 32)
        return now_ms + phase * interval_ms

    @property
    def hold_until_ms(self) -> float:
        """Time before which this entry is no home of a cold endpoint."""
        return self._started_ms + START_HOLD_MS

    # Commands

    def refresh_share(self, now_ms: float) -> None:
        """Compute the share that an entry may use as a home, unless that was done just before."""
        if now_ms >= self._share_until_ms:
            self._share, self._share_until_ms = self._share_at(now_ms), now_ms + SHARE_TTL_MS

    def set_entries(
        self, own: str, entries: Iterable[str], now_ms: float, domain_by_entry: Mapping[str, str]
    ) -> bool:
        """Set the VMs of this entry and of all live entries; return whether they changed."""
        if math.isinf(self._started_ms):
            self._started_ms = now_ms
        entries = tuple(sorted(entries))
        if (own, entries, domain_by_entry) == (self.own, self._entries, self._domain_by_entry):
            return False
        oldest_ms = now_ms - MEMORY_OF_ENTRIES_MS
        known = {vm: ms for vm, ms in self._known_ms_by_entry.items() if ms >= oldest_ms}
        seen = (vm for vm in (*self._entries, *entries) if vm)
        self._known_ms_by_entry = known | dict.fromkeys(seen, now_ms)
        self._update_found(set(entries), domain_by_entry)
        self.own, self._entries, self._domain_by_entry = own, entries, domain_by_entry
        self._share_until_ms = -math.inf
        return True

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Drop the homes of endpoints that are not in *keys*."""
        for key in set(self._found_by_key) - keys:
            del self._found_by_key[key]

    def _update_found(self, entries: set[str], domain_by_entry: Mapping[str, str]) -> None:
        """Change the homes for the *entries* that are new; forget those whose home is gone."""
        added = entries - set(self._entries)
        for key, (domain, home, deputy) in list(self._found_by_key.items()):
            ranked = [home, deputy]
            is_near = all(domain is None or domain_by_entry.get(vm) == domain for vm in ranked)
            if not is_near or not entries.issuperset(ranked):
                del self._found_by_key[key]
                continue
            near = (vm for vm in added if domain is None or domain_by_entry.get(vm) == domain)
            ranked = rendezvous_order(_name_of(key), [*ranked, *near])
            self._found_by_key[key] = (domain, *ranked[:2])


def _name_of(key: EndpointKey) -> str:
    return f"{key[0]}/{key[1]}"
