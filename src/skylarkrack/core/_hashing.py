"""Rendezvous hashing and a hash ring: stable choices among members without shared state.

A rendezvous order hashes every member for each key. A ring hashes the key only, which suits many
keys among many members.
"""

from bisect import bisect_left
from collections.abc import Iterable

import xxhash


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return *members* in order of preference for *key*.

    Removing a member moves only the keys that preferred it.
    """
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def rendezvous_first(key: str, members: Iterable[str]) -> str | None:
    """Return the preferred member for *key*, or None if there are no members."""
    return max(members, key=lambda member: _weight(key, member), default=None)


def _weight(key: str, member: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode()), member


class HashRing:
    """Members in the order of their hashes; a key belongs to those that follow its own hash.

    Removing a member moves only its keys, and each of them to the member that came second for it.
    Each member has one point: shares of the keys differ, which only matters where load does.
    """

    __slots__ = ("_order", "_points", "members")

    def __init__(self, members: Iterable[str] = (), *, known: "HashRing | None" = None) -> None:
        """Build a ring; the hashes of members that the ring *known* has are taken from it."""
        self.members = frozenset(members)
        # Equal hashes are ordered by name, so that all processes agree.
        self._order: list[tuple[int, str]] = []
        if known is not None:
            self._order = [pair for pair in known._order if pair[1] in self.members]
        added = self.members if known is None else self.members - known.members
        self._order += [(_point(member), member) for member in added]
        self._order.sort()
        self._points = [point for point, _ in self._order]

    def __len__(self) -> int:
        return len(self._order)

    def first(self, key: str, count: int) -> list[str]:
        """Return the first *count* members that follow *key*, fewer if there are fewer."""
        start = bisect_left(self._points, _point(key))
        end = start + min(count, len(self._order))
        following = self._order[start:end] + self._order[: max(0, end - len(self._order))]
        return [member for _, member in following]


def _point(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
