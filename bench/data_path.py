"""Straight to the engine stand-in, and through entry and agent, in one run on loopback.

Processor time is read from the kernel's accounts of each process; the engine stand-in has a
core of its own and sets the pace, so times between tokens are not a finding here.
"""

import asyncio
import json
import os
import statistics
import time
from dataclasses import dataclass
from pathlib import Path

from skylarkrack.web import HttpClient
from standins.fleet import Fleet, FleetShape
from standins.run import bearer

TICKS = os.sysconf("SC_CLK_TCK")
REQUESTS = 150
STREAMS = 48
TOKENS = 400
TIMEOUT_MS = 60_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """Processor seconds and resident bytes of a process."""

    cpu_s: float
    resident: int


def account(pid: int) -> Account:
    """Read the kernel's account of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS
    return Account(cpu_s=cpu_s, resident=int(resident.split()[1]) * 1024)


def body(tokens: int, model: str) -> bytes:
    """Return a streamed request."""
    document = {
        "model": model,
        "messages": [{"role": "user", "content": "Hi"}],
        "stream": True,
        "max_tokens": tokens,
        "min_tokens": tokens,
    }
    return json.dumps(document).encode()


async def first_ms(address: str, model: str, headers: list) -> float:
    """Return the time to the first bytes of an answer."""
    client = HttpClient(address)
    begun = time.perf_counter()
    response = await client.request(
        "POST", "/v1/chat/completions", headers=headers, body=body(2, model), timeout_ms=TIMEOUT_MS
    )
    first = None
    async for _ in response.iter_body(timeout_ms=TIMEOUT_MS):
        first = first or (time.perf_counter() - begun) * 1000
    client.close()
    return first


async def drain(address: str, headers: list) -> int:
    """Read one long answer and return its size."""
    client = HttpClient(address)
    response = await client.request(
        "POST",
        "/v1/chat/completions",
        headers=headers,
        body=body(TOKENS, "adapter-0"),
        timeout_ms=TIMEOUT_MS,
    )
    size = 0
    async for part in response.iter_body(timeout_ms=TIMEOUT_MS):
        size += len(part)
    client.close()
    return size


def p(values: list[float], part: float) -> float:
    """Return a percentile."""
    return statistics.quantiles(values, n=100)[round(part) - 1]


async def measure_first(fleet: Fleet) -> None:
    """Time to the first token, direct and through the system, unloaded, taken in turn."""
    direct, through = [], []
    entry, engine = fleet.address("entry-0", "callers"), fleet.address("engine-0", "listen")
    headers = [bearer("singers")]
    await first_ms(entry, "adapter-0", headers)
    for _ in range(REQUESTS):
        direct.append(await first_ms(engine, "adapter-0@2", []))
        through.append(await first_ms(entry, "adapter-0", headers))
    for name, values in (("direct", direct), ("through", through)):
        print(f"first token {name}: p50 {p(values, 50):.2f} ms, p95 {p(values, 95):.2f} ms")
    print(f"added at p95: {p(through, 95) - p(direct, 95):.2f} ms (target 3)")


async def measure_relay(fleet: Fleet) -> None:
    """Processor time a relayed token and a request, and memory an open stream."""
    pids = {name: fleet.by_name[name].process.pid for name in ("entry-0", "agent-engine-0")}
    before = {name: account(pid) for name, pid in pids.items()}
    begun = time.perf_counter()
    reading = [
        asyncio.create_task(drain(fleet.address("entry-0", "callers"), [bearer("singers")]))
        for _ in range(STREAMS)
    ]
    await asyncio.sleep(0.7)
    middle = {name: account(pid) for name, pid in pids.items()}
    sizes = await asyncio.gather(*reading)
    elapsed_s = time.perf_counter() - begun
    after = {name: account(pid) for name, pid in pids.items()}
    count = STREAMS * TOKENS
    print(
        f"{STREAMS} streams, {count} tokens, {sum(sizes) // count} bytes a token, {elapsed_s:.1f} s"
    )
    for name in pids:
        cpu_us = (after[name].cpu_s - before[name].cpu_s) / count * 1e6
        held = (middle[name].resident - before[name].resident) / STREAMS
        print(
            f"{name}: {cpu_us:.1f} us a token (target 20), {held / 1024:.0f} KiB an open stream, "
            f"{after[name].resident / 2**20:.0f} MiB resident (target 256)"
        )


async def measure_requests(fleet: Fleet) -> None:
    """Processor time of a short request in each role."""
    pids = {name: fleet.by_name[name].process.pid for name in ("entry-0", "agent-engine-0")}
    before = {name: account(pid) for name, pid in pids.items()}
    for _ in range(REQUESTS):
        await first_ms(fleet.address("entry-0", "callers"), "adapter-0", [bearer("singers")])
    for name, pid in pids.items():
        cpu_ms = (account(pid).cpu_s - before[name].cpu_s) / REQUESTS * 1000
        print(f"{name}: {cpu_ms:.2f} ms a request of two tokens")


async def measure_idle(fleet: Fleet) -> None:
    """Processor time of control alone: heartbeats, watches, pledges."""
    names = list(fleet.vms)
    before = {name: account(fleet.by_name[name].process.pid).cpu_s for name in names}
    await asyncio.sleep(10)
    for name in names:
        used = account(fleet.by_name[name].process.pid).cpu_s - before[name]
        print(f"{name} idle: {used / 10 * 100:.2f}% of a core (target 2.3)")


async def main() -> None:
    """Print every figure."""
    fleet = Fleet(FleetShape(entries=2, engines=1, services=1, domains=2))
    try:
        await fleet.start()
        await fleet.faults("engine-0", batch=64, token_s=0.004)
        await asyncio.sleep(0.5)
        await measure_first(fleet)
        await measure_requests(fleet)
        await measure_relay(fleet)
        await measure_idle(fleet)
    finally:
        fleet.close()


if __name__ == "__main__":
    asyncio.run(main())
