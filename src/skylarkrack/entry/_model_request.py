"""A caller's model request: checked, measured, and rewritten for the engine."""

import json
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from skylarkrack._errors import Code, RequestRefused
from skylarkrack._problems import problems_of

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")

MAX_TEMPLATE_TOKENS_PER_MESSAGE = 16
"""Bound on the tokens that a chat template adds to each message."""

_TEMPLATE_ROLES = ("system", "developer", "user", "assistant")
"""Roles whose names are part of the template's tokens."""

MAX_TEMPLATE_TOKENS_PER_PROMPT = 16
"""Bound on the tokens that begin and end a prompt."""

MAX_ANSWER_TOKENS = 1_000_000


class _StreamOptions(BaseModel):
    model_config = ConfigDict(extra="allow", strict=True)
    include_usage: bool = False


class _Body(BaseModel):
    model_config = ConfigDict(extra="allow", strict=True)

    model: str = Field(min_length=1, max_length=160)
    stream: bool = False
    stream_options: _StreamOptions | None = None
    max_tokens: int | None = Field(default=None, ge=1, le=MAX_ANSWER_TOKENS)
    max_completion_tokens: int | None = Field(default=None, ge=1, le=MAX_ANSWER_TOKENS)
    n: int = Field(default=1, ge=1, le=1)


class _ChatBody(_Body):
    messages: list[dict[str, Any]] = Field(min_length=1)


class _CompletionBody(_Body):
    prompt: str


_BODY_BY_PATH = {MODEL_PATHS[0]: _ChatBody, MODEL_PATHS[1]: _CompletionBody}


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelRequest:
    """A checked request. *prompt* is its `messages` or `prompt`; *document* the whole JSON."""

    path: str
    model: str
    prompt: object
    stream: bool
    with_usage: bool
    answer_tokens: int | None
    document: dict


def parse_model_request(path: str, body: bytes) -> ModelRequest:
    """Return the request in *body*, or raise `RequestRefused` with every fault."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise RequestRefused(f"the body is no JSON: {error}", code=Code.BAD_JSON) from None
    model = _BODY_BY_PATH[path]
    try:
        checked = model.model_validate(document)
    except ValidationError as error:
        problems = problems_of(error, file="body", model=model)
        text = "; ".join(str(problem) for problem in problems)
        raise RequestRefused(text, code=Code.BAD_FIELD) from None
    options = checked.stream_options
    return ModelRequest(
        path=path,
        model=checked.model,
        prompt=document.get("messages", document.get("prompt")),
        stream=checked.stream,
        with_usage=bool(options and options.include_usage),
        answer_tokens=checked.max_completion_tokens or checked.max_tokens,
        document=document,
    )


def prompt_tokens_bound(prompt: object) -> int:
    """Return a number that the prompt's tokens cannot exceed.

    A byte-level tokeniser makes at most one token of each byte. An estimate would be closer, and
    would let an organisation pass its rate where it is too low.
    """
    if isinstance(prompt, str):
        return len(prompt.encode("utf-8", "surrogatepass")) + MAX_TEMPLATE_TOKENS_PER_PROMPT
    return (
        sum(_message_tokens_bound(message) for message in prompt) + MAX_TEMPLATE_TOKENS_PER_PROMPT
    )


def _message_tokens_bound(message: dict) -> int:
    """Return a bound on one message: its text and a template, or all of it where there is more."""
    role, content = message.get("role"), message.get("content")
    if (
        message.keys() == {"role", "content"}
        and isinstance(content, str)
        and role in _TEMPLATE_ROLES
    ):
        text = content
    else:
        text = json.dumps(message, ensure_ascii=False)
    return len(text.encode("utf-8", "surrogatepass")) + MAX_TEMPLATE_TOKENS_PER_MESSAGE


def engine_body(request: ModelRequest, *, served: str, answer_tokens: int) -> bytes:
    """Return the body for the engine: the exact adapter, and no more tokens than reserved."""
    document = dict(request.document)
    document["model"] = served
    document["max_tokens"] = answer_tokens
    document.pop("max_completion_tokens", None)
    if request.stream:
        document["stream_options"] = {"include_usage": True}
    return json.dumps(document).encode()
