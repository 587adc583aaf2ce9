"""Extracts the events of one request from log files, with the state of the process at the time."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass

_LINE = re.compile(r"(\d{4}-\d\d-\d\dT\S+) (\S+) (\d+) ([A-Z_]+) (\{.*\})\s*$")

MAX_STATE_LINES = 6
"""State events shown for each process that handled the request; older ones are omitted.

They are the newest before the last event of the request there.
"""

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
    """One event: its time, VM, number, name and fields."""

    at: str
    vm: str
    number: int
    name: str
    fields: dict

    def __str__(self) -> str:
        fields = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at} {self.vm} {self.number} {self.name} {fields}"


def parse_line(text: str) -> LogLine | None:
    """Return the event in a line of a log, or None if the line holds none."""
    match = _LINE.search(text)
    if match is None:
        return None
    try:
        fields = json.loads(match[5])
    except ValueError:
        return None
    return LogLine(at=match[1], vm=match[2], number=int(match[3]), name=match[4], fields=fields)


def explain(request_id: str, lines: Iterable[str]) -> list[str]:
    """Return the events of a request by VM, each VM's state events before the request's events.

    State events about endpoints are limited to the endpoints that the request was sent to.
    """
    events = [event for event in map(parse_line, lines) if event is not None]
    own = [event for event in events if event.fields.get("request") == request_id]
    if not own:
        return [f"no line of request {request_id}"]
    endpoints = {event.fields["endpoint"] for event in own if event.fields.get("endpoint")}
    report = []
    for vm in dict.fromkeys(event.vm for event in own):
        at_vm = [event for event in own if event.vm == vm]
        state_events = [
            event
            for event in events
            if event.vm == vm and event.at <= at_vm[-1].at and _is_relevant_state(event, endpoints)
        ]
        report.append(f"{vm} believed:")
        report += [f"  {event}" for event in state_events[-MAX_STATE_LINES:]]
        report.append(f"{vm} did:")
        report += [f"  {event}" for event in at_vm]
    return report


def _is_relevant_state(event: LogLine, endpoints: set[str]) -> bool:
    if not event.name.startswith(_STATE_EVENT_PREFIXES):
        return False
    endpoint = event.fields.get("endpoint")
    return endpoint is None or endpoint in endpoints
