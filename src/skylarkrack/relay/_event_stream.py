"""Whole events of a stream: what may be handed on, and where another run may go on."""

MAX_EVENT_BYTES = 262_144


class EventStream:
    """Cuts the bytes of a `text/event-stream` into whole events; *last_id* is the newest id."""

    __slots__ = ("_partial", "last_id")

    def __init__(self) -> None:
        self._partial = b""
        self.last_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that *data* completes."""
        self._partial += data
        end = self._partial.rfind(b"\n\n")
        if end < 0:
            if len(self._partial) > MAX_EVENT_BYTES:
                raise ValueError("an event without end")
            return b""
        whole, self._partial = self._partial[: end + 2], self._partial[end + 2 :]
        self._update_last_id(whole)
        return whole

    @property
    def has_partial(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._partial)

    def drop_partial(self) -> None:
        """Forget an event that its endpoint broke off."""
        self._partial = b""

    def _update_last_id(self, events: bytes) -> None:
        start = max(events.rfind(b"\nid:"), 0 if events.startswith(b"id:") else -1)
        if start < 0:
            return
        line = events[start:].lstrip(b"\n").split(b"\n", 1)[0]
        self.last_id = line.partition(b":")[2].strip().decode("latin-1")
