"""Token usage and completeness of an engine's answer.

The events of a stream are relayed as bytes. Only the last ones are parsed: the event with the usage
and then the end marker, which the engine always sends in that order.
"""

import json
from dataclasses import dataclass

END_MARKER = b"data: [DONE]"
_USAGE_KEY = b'"usage":'
_EVENT_DELIMITER = b"\n\n"


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Numbers of tokens as counted by the engine."""

    prompt_tokens: int
    answer_tokens: int


class StreamUsageFilter:
    """Passes on the bytes of an event stream and extracts its usage and end marker.

    With *with_usage* false, an event that contains only the usage is not passed on. `usage` is None
    until the usage was received; `has_end_marker` is whether the stream is complete.
    """

    __slots__ = ("_partial_event", "_with_usage", "has_end_marker", "usage")

    def __init__(self, *, with_usage: bool) -> None:
        self._with_usage = with_usage
        self._partial_event = b""
        self.usage: Usage | None = None
        self.has_end_marker = False

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those to pass on; an incomplete event is held back."""
        data = self._partial_event + data
        events_end = data.rfind(_EVENT_DELIMITER) + len(_EVENT_DELIMITER)
        if events_end < len(_EVENT_DELIMITER):
            self._partial_event = data
            return b""
        self._partial_event, data = data[events_end:], data[:events_end]
        if _USAGE_KEY in data or END_MARKER in data:
            return self._scan_events(data)
        return data

    def _scan_events(self, data: bytes) -> bytes:
        forwarded = []
        for event in data.split(_EVENT_DELIMITER)[:-1]:
            if event.startswith(END_MARKER):
                self.has_end_marker = True
            usage = _parse_usage(event)
            if usage is not None:
                self.usage = usage
                if not self._with_usage and _is_usage_only(event):
                    continue
            forwarded.append(event + _EVENT_DELIMITER)
        return b"".join(forwarded)


def usage_from_body(body: bytes) -> Usage | None:
    """Return the usage in an answer that is not a stream.

    Returns None if there is none; the answer is then incomplete.
    """
    return _parse_usage(b"data: " + body)


def _parse_usage(event: bytes) -> Usage | None:
    if _USAGE_KEY not in event:
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
