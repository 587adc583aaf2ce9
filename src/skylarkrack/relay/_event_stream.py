"""Splits a response stream into complete events, and tracks the id to resume after."""

import re

from skylarkrack._numbers import whole_number

EVENT_END = b"\n\n"

_ID_LINE = re.compile(rb"^id:.*", re.MULTILINE)
_DATA_LINE = re.compile(rb"^data", re.MULTILINE)

MAX_EVENT_BYTES = 262_144
"""Bounds the bytes held of an incomplete event; beyond it the stream is rejected."""

MAX_ID_DIGITS = 18
"""Digits of the largest id that is compared as a number."""


class EventStream:
    """Splits the bytes of a `text/event-stream` into complete events.

    The stream may come from several runs, each of which goes on where the one before it ended.
    *last_id* is the newest id of a complete event, or None. It begins as *after*, the id of an
    event that the caller has already.
    """

    __slots__ = ("_has_joined", "_id_step", "_partial", "last_id")

    def __init__(self, after: str | None = None) -> None:
        self._partial = bytearray()
        # The difference between the ids of two events that follow each other, once it is known.
        self._id_step: int | None = None
        self._has_joined = after is None
        self.last_id = after

    def begin_run(self) -> None:
        """Expect the next event from another run; an incomplete event is dropped."""
        self._partial.clear()
        self._has_joined = self.last_id is None

    def feed(self, data: bytes) -> bytes:
        """Return the complete events after adding *data*.

        Raises `ValueError` for an event that is too large, and for the first event of a run that
        does not follow the last one.
        """
        # Only the new bytes are searched, so that many small pieces cost no more than a large one.
        searched = max(0, len(self._partial) - 1)
        self._partial += data
        end = self._partial.rfind(EVENT_END, searched)
        if end < 0:
            if len(self._partial) > MAX_EVENT_BYTES:
                raise ValueError("an event without end")
            return b""
        complete = bytes(self._partial[: end + 2])
        del self._partial[: end + 2]
        if not self._has_joined:
            self._check_join(complete)
        self._update_last_id(complete)
        return complete

    @property
    def has_partial(self) -> bool:
        """Whether an event has begun and is not complete."""
        return bool(self._partial)

    def _check_join(self, events: bytes) -> None:
        """Raise `ValueError` if the first event with data does not follow the last known one."""
        first = next((event for event in events.split(EVENT_END) if _DATA_LINE.search(event)), None)
        if first is None:
            return
        line = _ID_LINE.search(first)
        first_id = None if line is None else _id_in(line[0])
        if first_id is None or not self._follows(first_id):
            raise ValueError(f"event {first_id!r:.40} after event {self.last_id!r:.40}")
        self._has_joined = True

    def _follows(self, event_id: str) -> bool:
        """Return whether an event may be the next one; ids that are no numbers have no order."""
        before, after = _number(self.last_id), _number(event_id)
        if before is None:
            return event_id != self.last_id
        if after is None:
            return False
        return after > before if self._id_step is None else after == before + self._id_step

    def _update_last_id(self, events: bytes) -> None:
        start = max(events.rfind(b"\nid:"), 0 if events.startswith(b"id:") else -1)
        if start < 0:
            return
        line = events[start:].lstrip(b"\n").split(b"\n", 1)[0]
        event_id = _id_in(line)
        if self._id_step is None and events.count(EVENT_END) == 1:
            before, after = _number(self.last_id), _number(event_id)
            if before is not None and after is not None and after > before:
                self._id_step = after - before
        self.last_id = event_id


def _id_in(line: bytes) -> str:
    """Return the id in a line that begins with `id:`."""
    return line.partition(b":")[2].strip().decode("latin-1")


def _number(event_id: str | None) -> int | None:
    """Return the number that an event's id is, or None."""
    return None if event_id is None else whole_number(event_id, max_digits=MAX_ID_DIGITS)
