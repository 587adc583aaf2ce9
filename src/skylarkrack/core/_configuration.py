"""The published values that this process holds, which never go back to older ones."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from skylarkrack._errors import FileRejected
from skylarkrack.messages import Value

if TYPE_CHECKING:  # the parsed types need a library that a relay's start can't afford
    from pydantic import BaseModel


@dataclass(frozen=True, slots=True, kw_only=True)
class AdoptionResult:
    """A value came into force, or failed its checks (*problems*) and did not."""

    name: str
    revision: int
    problems: tuple = ()


@dataclass(slots=True)
class _ValueState:
    """The last good body of a value, and the newest revision looked at."""

    seen_revision: int = 0
    good_revision: int = 0
    body: bytes = b""
    parsed: "BaseModel | None" = None


class Configuration:
    """Values by name, each with a revision that only grows.

    *parse* checks a body and returns it parsed, or raises `FileRejected`. A value that fails its
    checks is passed over, and its last good body stays in force; peers hand on good bodies only.
    """

    __slots__ = ("_state_by_name", "_parse", "revision")

    def __init__(self, *, parse: "Callable[[str, bytes], BaseModel]") -> None:
        self._parse = parse
        self._state_by_name: dict[str, _ValueState] = {}
        self.revision = 0

    # Queries

    def seen_revisions(self) -> dict[str, int]:
        """Return the newest revision looked at, by value name."""
        return {name: held.seen_revision for name, held in self._state_by_name.items()}

    def newer_names(self, revision_by_name: Mapping[str, int]) -> list[str]:
        """Return the names in *revision_by_name* that are newer there than here."""
        return [
            name
            for name, revision in revision_by_name.items()
            if revision > self._state_of(name).seen_revision
        ]

    def parsed_by_name(self) -> "dict[str, BaseModel]":
        """Return the values in force."""
        return {
            n: held.parsed for n, held in self._state_by_name.items() if held.parsed is not None
        }

    def values_newer_than(self, known: Mapping[str, int]) -> list[Value]:
        """Return the good values that a peer who knows *known* lacks."""
        return [
            Value(name=name, revision=held.good_revision, body=held.body)
            for name, held in self._state_by_name.items()
            if held.parsed is not None and held.good_revision > known.get(name, 0)
        ]

    def good_revisions(self) -> dict[str, int]:
        """Return the revision in force, by value name."""
        return {n: held.good_revision for n, held in self._state_by_name.items() if held.parsed}

    # Commands

    def adopt(self, name: str, revision: int, body: bytes) -> AdoptionResult | None:
        """Put a newer good value into force; return what was done, or None for nothing."""
        held = self._state_of(name)
        if revision <= held.good_revision:
            return None
        held.seen_revision = max(held.seen_revision, revision)
        try:
            parsed = self._parse(name, body)
        except FileRejected as error:
            return AdoptionResult(name=name, revision=revision, problems=error.problems)
        held.good_revision = revision
        held.body = body
        held.parsed = parsed
        return AdoptionResult(name=name, revision=revision)

    def advance_revision(self, revision: int) -> None:
        """Note that everything published up to *revision* has been looked at."""
        self.revision = max(self.revision, revision)

    def _state_of(self, name: str) -> _ValueState:
        return self._state_by_name.setdefault(name, _ValueState())
