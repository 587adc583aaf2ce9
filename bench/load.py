"""Seeded open-loop load of model requests, with the result of each request."""

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
MAX_TOKENS = 60
"""Token limit of each request.

The engine generates half of it, since callers set generous limits.
"""

MIN_TOKENS = 30
ZIPF_EXPONENT = 1.5
"""Exponent of adapter popularity.

With 3,000 adapters the ten most popular take three quarters of the requests.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A request to send *at_s* seconds after the start to entry number *entry*."""

    at_s: float
    organisation: str
    adapter: int
    entry: int


@dataclass(slots=True, kw_only=True)
class RequestResult:
    """Result of a request.

    *code* is 0 if the response was complete, -1 if the connection was lost or the stream ended
    early, -2 if another adapter answered, and otherwise the code of the error. *first_ms* is the
    time in ms to the first bytes of the body, None if none arrived.
    """

    arrival: Arrival
    code: int = -1
    first_ms: float | None = None
    used_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Requests per second by organisation and their distribution over adapters and entries.

    From *shift_at_s* seconds on, popularity is rotated by half of the adapters.
    """

    seed: int
    seconds: float
    rate_by_organisation: dict[str, float]
    adapters: int
    entry_weights: tuple[float, ...]
    shift_at_s: float | None = None
    popular: list[int] = field(default_factory=list)


def generate_arrivals(load: Load) -> list[Arrival]:
    """Return all requests of *load*, ordered by time."""
    random = Random(load.seed)
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(load.adapters)]
    arrivals = []
    for organisation, rate in load.rate_by_organisation.items():
        at_s = random.expovariate(rate)
        while at_s < load.seconds:
            rank = random.choices(range(load.adapters), weights)[0]
            has_shifted = load.shift_at_s is not None and at_s >= load.shift_at_s
            adapter = (rank + load.adapters // 2) % load.adapters if has_shifted else rank
            entry = random.choices(range(len(load.entry_weights)), load.entry_weights)[0]
            arrivals.append(
                Arrival(at_s=at_s, organisation=organisation, adapter=adapter, entry=entry)
            )
            at_s += random.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


async def send_requests(fleet: Fleet, load: Load) -> list[RequestResult]:
    """Send each request at its time and return all results, in the order of sending."""
    begun = time.perf_counter()
    tasks = []
    for arrival in generate_arrivals(load):
        await asyncio.sleep(max(0.0, begun + arrival.at_s - time.perf_counter()))
        tasks.append(asyncio.create_task(_send(fleet, RequestResult(arrival=arrival))))
    return list(await asyncio.gather(*tasks))


async def _send(fleet: Fleet, result: RequestResult) -> RequestResult:
    arrival = result.arrival
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
        async for chunk in response.iter_body(timeout_ms=TIMEOUT_MS):
            result.first_ms = result.first_ms or (time.perf_counter() - begun) * 1000
            received += chunk
        _classify_response(result, response.status, received)
    except LinkLost:
        result.code = -1
    finally:
        client.close()
    return result


def _classify_response(result: RequestResult, status: int, received: bytes) -> None:
    """Set the code and the used tokens of *result* from its response."""
    if status != 200:
        result.code = int(json.loads(received)["error"]["code"])
        return
    events = [line[6:] for line in received.split(b"\n\n") if line.startswith(b"data: {")]
    usage = json.loads(events[-1]).get("usage") or {}
    result.used_tokens = usage.get("total_tokens", 0)
    is_expected_adapter = f"adapter-{result.arrival.adapter}@2 ".encode() in received
    is_complete_stream = received.endswith(b"data: [DONE]\n\n")
    result.code = (0 if is_expected_adapter else -2) if is_complete_stream else -1


def _body(adapter: int) -> bytes:
    return json.dumps(
        {
            "model": f"adapter-{adapter}",
            "messages": [{"role": "user", "content": "How do I renew my badge?"}],
            "stream": True,
            "stream_options": {"include_usage": True},
            "max_tokens": MAX_TOKENS,
            "min_tokens": MIN_TOKENS,
        }
    ).encode()
