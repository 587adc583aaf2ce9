"""Time of an entry's decisions in a large fleet, and the memory of what it keeps of adapters.

Everything runs in this process: no servers, no messages.
"""

import random
import time
import tracemalloc

from skylarkrack.core.relay import (
    Dispatcher,
    EndpointLoad,
    EngineState,
    EngineStateReceived,
    OutcomeCounts,
    WaitFor,
)
from tests.relay_builders import MODEL, dispatcher, endpoint, pending_request

ADAPTERS = 24_000
ADAPTERS_HELD = 10
DOMAINS = 6
ENDPOINTS_IN_USE = 12
WAITING = 20
DECISIONS = 200
SIZES = ((9, 5), (27, 30), (59, 68), (300, 300))
"""Engines and entries of the fleets."""


def make_entry(engines: int, entries: int, rng: random.Random) -> Dispatcher:
    """Return the dispatcher of an entry that has received a report of every other process."""
    known = [endpoint(f"e{n}", slots=12, domain=f"d{n % DOMAINS}") for n in range(engines)]
    entry = dispatcher(*known)
    for engine in known:
        held = {(MODEL, f"a{rng.randrange(ADAPTERS)}"): 1 for _ in range(ADAPTERS_HELD)}
        state = EngineState(received_ms=0.0, resident={(MODEL, ""): 0, **held}, loading={})
        entry.observe(EngineStateReceived(key=engine.key, state=state))
    for number in range(1, entries):
        load_by_key = {
            engine.key: EndpointLoad(
                runs=1,
                tokens=900,
                prefill_tokens=30,
                outcomes=OutcomeCounts(answered=50, failed=1),
            )
            for engine in rng.sample(known, min(engines, ENDPOINTS_IN_USE))
        }
        entry.receive_loads(f"n{number}", load_by_key, 0.0)
    return entry


def measure(engines: int, entries: int) -> None:
    """Print the time of a decision and of a pass over the queue, and the memory of the orders."""
    rng = random.Random(engines)
    entry = make_entry(engines, entries, rng)
    requests = [
        pending_request(f"r{n}", f"a{rng.randrange(ADAPTERS)}") for n in range(DECISIONS + WAITING)
    ]
    started_s = time.perf_counter()
    for request in requests[:DECISIONS]:
        entry.decide(request, 1.0)
    decision_us = (time.perf_counter() - started_s) / DECISIONS * 1e6
    tracemalloc.start()
    for number in range(DECISIONS):
        entry.decide(pending_request(f"k{number}", f"k{number}"), 1.0)
    kept_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    for request in requests[DECISIONS:]:
        decision = entry.decide(request, 1.0)
        if isinstance(decision, WaitFor):
            entry.add_waiting(request, decision)
    started_s = time.perf_counter()
    entry.take_ready(2.0)
    pass_ms = (time.perf_counter() - started_s) * 1e3
    print(
        f"{engines} engines, {entries} entries: {decision_us:.0f} us a decision, "
        f"{pass_ms:.1f} ms a pass over {entry.waiting_count()} waiting requests, "
        f"{kept_kb:.0f} KiB kept after {DECISIONS} adapters"
    )


def main() -> None:
    """Measure fleets of several sizes."""
    for engines, entries in SIZES:
        measure(engines, entries)


if __name__ == "__main__":
    main()
