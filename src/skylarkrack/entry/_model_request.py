"""Validates a caller's model request, bounds its tokens, and builds the body for the engine."""

import json
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from skylarkrack._errors import Code, RequestRefused
from skylarkrack._problems import problems_of

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")

MAX_TEMPLATE_TOKENS_PER_MESSAGE = 16
"""Maximum number of tokens that a chat template adds to a message, its role included."""

_TEMPLATE_ROLES = ("system", "developer", "user", "assistant")
"""Roles whose names count as tokens of the template.

A message with another role is counted as its whole JSON.
"""

MAX_TEMPLATE_TOKENS_PER_PROMPT = 16
"""Maximum number of tokens that begin and end a prompt."""

MAX_ANSWER_TOKENS = 1_000_000
"""Maximum number of answer tokens that a request may ask for; beyond it the field is refused."""


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
    """A validated request.

    *prompt* is the value of `messages` or `prompt`, *document* the whole JSON. *answer_tokens* is
    the number of answer tokens asked for, or None. With *with_usage* the caller wants the token
    counts at the end of a stream.
    """

    path: str
    model: str
    prompt: object
    stream: bool
    with_usage: bool
    answer_tokens: int | None
    document: dict


def parse_model_request(path: str, body: bytes) -> ModelRequest:
    """Return the request in *body*, sent to *path*.

    Raises `RequestRefused` if the body is no JSON, or with all its invalid fields.
    """
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
    """Return an upper bound on the number of tokens of *prompt*.

    A byte-level tokeniser produces at most one token per byte. An estimate would be closer, but
    where it is too low an organisation would exceed its rate.
    """
    if isinstance(prompt, str):
        return len(prompt.encode("utf-8", "surrogatepass")) + MAX_TEMPLATE_TOKENS_PER_PROMPT
    return (
        sum(_message_tokens_bound(message) for message in prompt) + MAX_TEMPLATE_TOKENS_PER_PROMPT
    )


def _message_tokens_bound(message: dict) -> int:
    """Return an upper bound on the number of tokens of one message.

    It counts the text and the template; a message with other fields, other content or another role
    is counted as its whole JSON.
    """
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
    """Return the JSON body for the engine.

    It names the adapter with its version (*served*), and limits the answer to *answer_tokens*, the
    number reserved. Streams always include usage, since the settlement needs the token counts.
    """
    document = dict(request.document)
    document["model"] = served
    document["max_tokens"] = answer_tokens
    document.pop("max_completion_tokens", None)
    if request.stream:
        document["stream_options"] = {"include_usage": True}
    return json.dumps(document).encode()
