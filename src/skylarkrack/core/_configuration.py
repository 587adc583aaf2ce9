"""The published values that this process holds; an older value never replaces a newer one."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from skylarkrack._errors import FileRejected
from skylarkrack.messages import Value

if TYPE_CHECKING:  # pydantic takes too long to import at the start of a relay
    from pydantic import BaseModel


@dataclass(frozen=True, slots=True, kw_only=True)
class AdoptionResult:
    """Result of checking a value: adopted, or rejected if *problems* is not empty."""

    name: str
    revision: int
    problems: tuple = ()


@dataclass(slots=True)
class _ValueState:
    """The last valid body of a value with its revision, and the newest revision checked."""

    seen_revision: int = 0
    good_revision: int = 0
    body: bytes = b""
    parsed: "BaseModel | None" = None


class Configuration:
    """Values by name, each with a revision that never decreases.

    *parse* checks a body and returns it parsed, or raises `FileRejected`. A value that fails its
    checks is skipped, and the last valid body stays in effect. Peers forward valid bodies only.

    *revision* is the revision up to which everything published has been checked.
    """

    __slots__ = ("_parse", "_state_by_name", "revision")

    def __init__(self, *, parse: "Callable[[str, bytes], BaseModel]") -> None:
        self._parse = parse
        self._state_by_name: dict[str, _ValueState] = {}
        self.revision = 0

    # Queries

    def seen_revisions(self) -> dict[str, int]:
        """Return the newest revision checked, valid or not, by value name."""
        return {name: state.seen_revision for name, state in self._state_by_name.items()}

    def newer_names(self, revision_by_name: Mapping[str, int]) -> list[str]:
        """Return the names whose revision in *revision_by_name* has not been checked here yet."""
        return [
            name
            for name, revision in revision_by_name.items()
            if revision > self._state_of(name).seen_revision
        ]

    def parsed_by_name(self) -> "dict[str, BaseModel]":
        """Return the values in effect, by name."""
        return {
            name: state.parsed
            for name, state in self._state_by_name.items()
            if state.parsed is not None
        }

    def values_newer_than(self, known: Mapping[str, int]) -> list[Value]:
        """Return the valid values that are newer than the revisions in *known*, by value name."""
        return [
            Value(name=name, revision=state.good_revision, body=state.body)
            for name, state in self._state_by_name.items()
            if state.parsed is not None and state.good_revision > known.get(name, 0)
        ]

    def good_revisions(self) -> dict[str, int]:
        """Return the revision in effect, by value name."""
        return {
            name: state.good_revision for name, state in self._state_by_name.items() if state.parsed
        }

    # Commands

    def adopt(self, name: str, revision: int, body: bytes) -> AdoptionResult | None:
        """Check *body* and, if it is valid, put it into effect.

        Returns None for a revision that is not newer than the one in effect.
        """
        state = self._state_of(name)
        if revision <= state.good_revision:
            return None
        state.seen_revision = max(state.seen_revision, revision)
        try:
            parsed = self._parse(name, body)
        except FileRejected as error:
            return AdoptionResult(name=name, revision=revision, problems=error.problems)
        state.good_revision = revision
        state.body = body
        state.parsed = parsed
        return AdoptionResult(name=name, revision=revision)

    def advance_revision(self, revision: int) -> None:
        """Record that everything published up to *revision* has been checked."""
        self.revision = max(self.revision, revision)

    def _state_of(self, name: str) -> _ValueState:
        return self._state_by_name.setdefault(name, _ValueState())
