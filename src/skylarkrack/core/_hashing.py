"""Rendezvous hashing: a stable choice among members without shared state."""

from collections.abc import Iterable

import xxhash


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return *members* by preference for *key*; a member's loss moves only its own keys."""
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def rendezvous_first(key: str, members: Iterable[str]) -> str | None:
    """Return the preferred member for *key*, or None without members."""
    return max(members, key=lambda member: _weight(key, member), default=None)


def _weight(key: str, member: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode()), member
