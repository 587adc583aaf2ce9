"""CPU time and memory of the core as adapters, endpoints and budgets grow, and cost of frames."""

import gc
import sys
import time
import tracemalloc
from collections.abc import Callable

from skylarkrack._lists import build_catalogue, parse_value
from skylarkrack.core import (
    BudgetCore,
    BudgetMessageReceived,
    EntriesChanged,
    LeaseChanged,
    Limit,
    LimitsChanged,
    Router,
    Ticked,
    rendezvous_first,
)
from skylarkrack.messages import (
    EndpointReport,
    Ping,
    Pledge,
    PledgeRequest,
    Pong,
    ReserveRequest,
    ResponseChunk,
)
from skylarkrack.wire import FrameDecoder, encode

REPEATS = 5


def best_us(function: Callable[[], object], count: int) -> float:
    """Return the time in us per operation of *function*, which does *count* operations.

    The shortest of REPEATS runs counts.
    """
    durations_s = []
    for _ in range(REPEATS):
        begun = time.perf_counter()
        function()
        durations_s.append(time.perf_counter() - begun)
    return min(durations_s) / count * 1e6


def build_adapters_list(count: int) -> bytes:
    """Return the body of an adapters list with *count* rows."""
    rows = (f'[adapters.adapter-{n}]\nmodel = "base-8b"\nversions = [1, 2]\n' for n in range(count))
    return "".join(rows).encode()


def measure_adapters() -> None:
    """Print the time to parse an adapters list and to build its catalogue, and their memory."""
    for count in (1000, 3000, 10_000):
        body = build_adapters_list(count)
        begun = time.perf_counter()
        value = parse_value("adapters", body)
        parsed_ms = (time.perf_counter() - begun) * 1000
        gc.collect()
        tracemalloc.start()
        held_value = parse_value("adapters", body)
        catalogue = build_catalogue({"adapters": held_value}, revision=1)
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        built_us = best_us(lambda v=value: build_catalogue({"adapters": v}, revision=1), 1)
        print(
            f"adapters {count}: {len(body)} bytes, parse {parsed_ms:.0f} ms, "
            f"build {built_us / 1000:.1f} ms, held {size / count:.0f} bytes each "
            f"({len(catalogue.adapter_by_name)} adapters)"
        )


def measure_routing() -> None:
    """Print the time to choose an endpoint among many."""
    for count in (9, 100, 1000):
        router = Router()
        for number in range(count):
            report = EndpointReport(
                model="m",
                service="",
                ready=True,
                running=number % 16,
                waiting=0,
                capacity=16,
                resident=[f"adapter-{number * 8 + k}@1" for k in range(8)],
                leaving=False,
            )
            router.observe_report(f"vm-{number}", report)
        us = best_us(lambda r=router: [r.choose("m", f"adapter-{k}@1") for k in range(50)], 50)
        print(f"routing over {count} endpoints: {us:.0f} us a request")


def build_home_core(budgets: int, members: int) -> BudgetCore:
    """Return the core of the entry that is home of organisation/0, with all shares in force."""
    names = {f"entry-{n}" for n in range(members)}
    core = BudgetCore(vm=rendezvous_first("organisation/0", names), incarnation=1)
    limits = {f"organisation/{n}": Limit(rate=1e6, burst=1e6) for n in range(budgets)}
    core.handle(LimitsChanged(limit_by_budget=limits), 0)
    core.handle(EntriesChanged(entries=names), 0)
    core.handle(LeaseChanged(until_ms=1e12), 0)
    core.handle(Ticked(), 10_000)
    return core


def measure_budgets() -> None:
    """Print the time to answer a reservation and to handle a tick."""
    for budgets in (5, 1000, 5000):
        core = build_home_core(budgets, 3)
        budget = "organisation/0"
        requests = [ReserveRequest(sequence=n, budget=budget, tokens=1) for n in range(2000)]
        events = [BudgetMessageReceived(vm="entry-9", message=request) for request in requests]
        reserve_us = best_us(lambda c=core, e=events: [c.handle(x, 10_001) for x in e], len(events))
        tick_us = best_us(lambda c=core: [c.handle(Ticked(), 10_002) for _ in range(20)], 20)
        print(f"budgets {budgets}: {reserve_us:.1f} us a reservation, {tick_us:.0f} us a tick")


def measure_frames() -> None:
    """Print the size and the encode and decode times of the most frequent messages."""
    rows = [["organisation/lahore-north", 1000.0, 5000.0, 0.0]]
    samples = (
        Ping(sequence=1_000_000),
        Pong(
            sequence=1_000_000,
            revision=123_456,
            evidence_age_ms=480,
            calendar_s=1.8e9,
            leaving=False,
        ),
        PledgeRequest(sequence=1_000_000, budgets=[rows[0][0]]),
        Pledge(sequence=1_000_000, rows=rows),
        ReserveRequest(sequence=1_000_000, budget=rows[0][0], tokens=500),
        ResponseChunk(
            request_id="entry-0-0123456789abcdef-123456.1", offset=100_000, data=b"x" * 180
        ),
    )
    for sample in samples:
        frame = encode(sample)
        encode_us = best_us(lambda s=sample: [encode(s) for _ in range(2000)], 2000)
        decode_us = best_us(
            lambda f=frame: FrameDecoder().feed(f * 2000),
            2000,
        )
        name = type(sample).__name__
        print(f"{name}: {len(frame)} bytes, encode {encode_us:.1f} us, decode {decode_us:.1f} us")


def main() -> None:
    """Run all measurements."""
    print(f"Python {sys.version.split()[0]}")
    measure_adapters()
    measure_routing()
    measure_budgets()
    measure_frames()


if __name__ == "__main__":
    main()
