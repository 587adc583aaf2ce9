"""The end of an engine's answer: its usage, and whether it is whole.

The events of a stream are relayed as bytes. Only the last ones are looked at: the one with the
usage and the end mark, which the engine always sends in that order.
"""

import json
from dataclasses import dataclass

END_MARK = b"data: [DONE]"
_USAGE_MARK = b'"usage":'
_EVENT_END = b"\n\n"


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Tokens as the engine counted them."""

    prompt_tokens: int
    answer_tokens: int


class StreamTail:
    """Passes on the bytes of an event stream and picks out its usage and end mark.

    An event with the usage is passed on only if the caller asked for it.
    """

    __slots__ = ("_held", "_with_usage", "is_whole", "usage")

    def __init__(self, *, with_usage: bool) -> None:
        self._with_usage = with_usage
        self._held = b""
        self.usage: Usage | None = None
        self.is_whole = False

    def feed(self, data: bytes) -> bytes:
        """Return the bytes to pass on now; an event without its end is held back."""
        data = self._held + data
        cut = data.rfind(_EVENT_END) + len(_EVENT_END)
        if cut < len(_EVENT_END):
            self._held = data
            return b""
        self._held, data = data[cut:], data[:cut]
        if _USAGE_MARK in data or END_MARK in data:
            return self._take_marks(data)
        return data

    def _take_marks(self, data: bytes) -> bytes:
        kept = []
        for event in data.split(_EVENT_END)[:-1]:
            if event.startswith(END_MARK):
                self.is_whole = True
            usage = _usage_in(event)
            if usage is not None:
                self.usage = usage
                if not self._with_usage and _is_usage_only(event):
                    continue
            kept.append(event + _EVENT_END)
        return b"".join(kept)


def usage_of_body(body: bytes) -> Usage | None:
    """Return the usage in a whole answer, or None if there is none and it cannot be whole."""
    return _usage_in(b"data: " + body)


def _usage_in(event: bytes) -> Usage | None:
    if _USAGE_MARK not in event:
        return None
    try:
        usage = json.loads(event.partition(b":")[2])["usage"]
        return Usage(
            prompt_tokens=int(usage["prompt_tokens"]),
            answer_tokens=int(usage["completion_tokens"]),
        )
    except (ValueError, KeyError, TypeError):
        return None


def _is_usage_only(event: bytes) -> bool:
    return not json.loads(event.partition(b":")[2]).get("choices")
