"""Rendezvous hashing: a stable choice among members without shared state."""

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
