"""An open-loop load of model requests, seeded, and what came of each request."""

import asyncio
import json
import time
from dataclasses import dataclass, field
from random import Random

from skylarkrack._errors import LinkLost
from skylarkrack.web import HttpClient
from standins.fleet import Fleet
from standins.run import bearer

TIMEOUT_MS = 20_000
ASKED_TOKENS = 60
"""Tokens that each request asks for; the engine uses half, as callers' limits are generous."""

ANSWER_TOKENS = 30
ZIPF_EXPONENT = 1.5
"""With 3,000 adapters the ten most popular take three quarters of the requests."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A request to be sent *at_s* after the start."""

    at_s: float
    organisation: str
    adapter: int
    entry: int


@dataclass(slots=True, kw_only=True)
class Sent:
    """What came of a request: *code* is 0 if it was answered whole, -1 if nothing came back."""

    arrival: Arrival
    code: int = -1
    first_ms: float | None = None
    used_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Requests a second by organisation, and how they fall on adapters and entries."""

    seed: int
    seconds: float
    rate_by_organisation: dict[str, float]
    adapters: int
    entry_weights: tuple[float, ...]
    shift_at_s: float | None = None
    popular: list[int] = field(default_factory=list)


def arrivals(load: Load) -> list[Arrival]:
    """Return all requests of a load in the order of their times."""
    random = Random(load.seed)
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(load.adapters)]
    found = []
    for organisation, rate in load.rate_by_organisation.items():
        at_s = random.expovariate(rate)
        while at_s < load.seconds:
            rank = random.choices(range(load.adapters), weights)[0]
            has_shifted = load.shift_at_s is not None and at_s >= load.shift_at_s
            adapter = (rank + load.adapters // 2) % load.adapters if has_shifted else rank
            entry = random.choices(range(len(load.entry_weights)), load.entry_weights)[0]
            found.append(
                Arrival(at_s=at_s, organisation=organisation, adapter=adapter, entry=entry)
            )
            at_s += random.expovariate(rate)
    return sorted(found, key=lambda arrival: arrival.at_s)


async def drive(fleet: Fleet, load: Load) -> list[Sent]:
    """Send every request at its time; return what came of each."""
    begun = time.perf_counter()
    tasks = []
    for arrival in arrivals(load):
        await asyncio.sleep(max(0.0, begun + arrival.at_s - time.perf_counter()))
        tasks.append(asyncio.create_task(_send(fleet, Sent(arrival=arrival))))
    return list(await asyncio.gather(*tasks))


async def _send(fleet: Fleet, sent: Sent) -> Sent:
    arrival = sent.arrival
    client = HttpClient(fleet.address(f"entry-{arrival.entry}", "callers"))
    begun = time.perf_counter()
    try:
        response = await client.request(
            "POST",
            "/v1/chat/completions",
            headers=[bearer(arrival.organisation)],
            body=_body(arrival.adapter),
            timeout_ms=TIMEOUT_MS,
        )
        received = b""
        async for part in response.iter_body(timeout_ms=TIMEOUT_MS):
            sent.first_ms = sent.first_ms or (time.perf_counter() - begun) * 1000
            received += part
        _judge(sent, response.status, received)
    except LinkLost:
        sent.code = -1
    finally:
        client.close()
    return sent


def _judge(sent: Sent, status: int, received: bytes) -> None:
    """Take in an answer; one of another adapter counts as code -2."""
    if status != 200:
        sent.code = int(json.loads(received)["error"]["code"])
        return
    events = [line[6:] for line in received.split(b"\n\n") if line.startswith(b"data: {")]
    usage = json.loads(events[-1]).get("usage") or {}
    sent.used_tokens = usage.get("total_tokens", 0)
    is_right = f"adapter-{sent.arrival.adapter}@2 ".encode() in received
    is_whole = received.endswith(b"data: [DONE]\n\n")
    sent.code = (0 if is_right else -2) if is_whole else -1


def _body(adapter: int) -> bytes:
    return json.dumps(
        {
            "model": f"adapter-{adapter}",
            "messages": [{"role": "user", "content": "How do I renew my badge?"}],
            "stream": True,
            "stream_options": {"include_usage": True},
            "max_tokens": ASKED_TOKENS,
            "min_tokens": ANSWER_TOKENS,
        }
    ).encode()
