"""Finds in log files what happened to one request, and what its process believed at the time."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass

_LINE = re.compile(r"(\d{4}-\d\d-\d\dT\S+) (\S+) (\d+) ([A-Z_]+) (\{.*\})\s*$")

MAX_STATE_LINES = 6
"""Lines on beliefs shown for each process that handled the request: the newest before it ended."""

_STATE_EVENT_PREFIXES = (
    "PROCESS_",
    "DRAIN_",
    "TABLE_",
    "ENDPOINT_",
    "REGISTRY_",
    "PLATFORM_",
    "HISTORY_",
    "VERSION_",
    "SETTINGS_",
    "MEMBER_",
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One event: when and where it was written, its number, name and fields."""

    at: str
    vm: str
    number: int
    name: str
    fields: dict

    def __str__(self) -> str:
        told = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at} {self.vm} {self.number} {self.name} {told}"


def parse_line(text: str) -> LogLine | None:
    """Return the event in a line of a log, or None where there is none."""
    found = _LINE.search(text)
    if found is None:
        return None
    try:
        fields = json.loads(found[5])
    except ValueError:
        return None
    return LogLine(at=found[1], vm=found[2], number=int(found[3]), name=found[4], fields=fields)


def explain(request_id: str, lines: Iterable[str]) -> list[str]:
    """Return the lines of a request in order, each process's beliefs before its last one.

    Beliefs about endpoints are those about the endpoints that the request met.
    """
    events = [event for event in map(parse_line, lines) if event is not None]
    own = [event for event in events if event.fields.get("request") == request_id]
    if not own:
        return [f"no line of request {request_id}"]
    met = {event.fields["endpoint"] for event in own if event.fields.get("endpoint")}
    told = []
    for vm in dict.fromkeys(event.vm for event in own):
        at_vm = [event for event in own if event.vm == vm]
        beliefs = [
            event
            for event in events
            if event.vm == vm and event.at <= at_vm[-1].at and _is_relevant_state(event, met)
        ]
        told.append(f"{vm} believed:")
        told += [f"  {event}" for event in beliefs[-MAX_STATE_LINES:]]
        told.append(f"{vm} did:")
        told += [f"  {event}" for event in at_vm]
    return told


def _is_relevant_state(event: LogLine, endpoints: set[str]) -> bool:
    if not event.name.startswith(_STATE_EVENT_PREFIXES):
        return False
    endpoint = event.fields.get("endpoint")
    return endpoint is None or endpoint in endpoints
