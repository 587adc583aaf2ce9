"""Problems of a settings file or a published list, as text for operators."""

from collections.abc import Iterable
from dataclasses import dataclass
from difflib import get_close_matches

from pydantic import BaseModel, ValidationError

_MAX_VALUE_CHARS = 60


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """One fault: the file, the key in it, the value found and the values allowed."""

    file: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: found {self.found}; allowed: {self.allowed}"


def problems_of(error: ValidationError, *, file: str, model: type[BaseModel]) -> tuple:
    """Return every fault of a pydantic validation of *model* as a tuple of `Problem`."""
    return tuple(_problem(row, file=file, model=model) for row in error.errors())


def _problem(row: dict, *, file: str, model: type[BaseModel]) -> Problem:
    path = row["loc"]
    key = ".".join(str(part) for part in path)
    if row["type"] == "extra_forbidden":
        known = _known_keys(model, path)
        return Problem(file=file, key=key, found="unknown key", allowed=_suggest(path[-1], known))
    if row["type"] == "missing":
        return Problem(file=file, key=key, found="nothing", allowed="a value; the key is required")
    found = repr(row["input"])[:_MAX_VALUE_CHARS]
    return Problem(file=file, key=key, found=found, allowed=row["msg"])


def _suggest(name: object, known: Iterable[str]) -> str:
    known = sorted(known)
    near = get_close_matches(str(name), known, n=1)
    if near:
        return f"did you mean {near[0]!r}?"
    return "one of " + ", ".join(known)


def _known_keys(model: type[BaseModel], path: tuple) -> Iterable[str]:
    """Return the keys allowed at the parent of *path* in *model*."""
    current = model
    for part in path[:-1]:
        current = _submodel(current, part)
    return current.model_fields if current else ()


def _submodel(model: type[BaseModel] | None, part: object) -> type[BaseModel] | None:
    field = model.model_fields.get(part) if model else None
    if field is None:
        return model
    return _find_model(field.annotation)


def _find_model(annotation: object) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for argument in getattr(annotation, "__args__", ()):
        model = _find_model(argument)
        if model is not None:
            return model
    return None
