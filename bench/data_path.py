"""Compare direct requests to the engine stand-in with requests through entry and agent.

Both are measured in one run on loopback. CPU time is read from the kernel's statistics of each
process. The engine stand-in has a core of its own and sets the pace of the tokens, so times
between tokens are not measured here.
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

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
REQUESTS = 150
STREAMS = 48
TOKENS = 400
TIMEOUT_MS = 60_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessUsage:
    """CPU time in seconds and resident memory in bytes of a process."""

    cpu_s: float
    resident_bytes: int


def read_process_usage(pid: int) -> ProcessUsage:
    """Read the CPU time and resident memory of process *pid* from /proc."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text()
    resident_line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    return ProcessUsage(cpu_s=cpu_s, resident_bytes=int(resident_line.split()[1]) * 1024)


def build_request_body(tokens: int, model: str) -> bytes:
    """Return the JSON body of a streamed request with both token limits set to *tokens*."""
    document = {
        "model": model,
        "messages": [{"role": "user", "content": "Hi"}],
        "stream": True,
        "max_tokens": tokens,
        "min_tokens": tokens,
    }
    return json.dumps(document).encode()


async def measure_first_byte_ms(address: str, model: str, headers: list) -> float:
    """Return the time in ms from sending a request to the first bytes of the response body."""
    client = HttpClient(address)
    begun = time.perf_counter()
    response = await client.request(
        "POST",
        "/v1/chat/completions",
        headers=headers,
        body=build_request_body(2, model),
        timeout_ms=TIMEOUT_MS,
    )
    first_byte_ms = None
    async for _ in response.iter_body(timeout_ms=TIMEOUT_MS):
        first_byte_ms = first_byte_ms or (time.perf_counter() - begun) * 1000
    client.close()
    return first_byte_ms


async def read_long_response(address: str, headers: list) -> int:
    """Read a streamed response of TOKENS tokens and return its size in bytes."""
    client = HttpClient(address)
    response = await client.request(
        "POST",
        "/v1/chat/completions",
        headers=headers,
        body=build_request_body(TOKENS, "adapter-0"),
        timeout_ms=TIMEOUT_MS,
    )
    size = 0
    async for chunk in response.iter_body(timeout_ms=TIMEOUT_MS):
        size += len(chunk)
    client.close()
    return size


def percentile(values: list[float], percent: float) -> float:
    """Return the percentile *percent* (1 to 99) of *values*."""
    return statistics.quantiles(values, n=100)[round(percent) - 1]


async def measure_first_token(fleet: Fleet) -> None:
    """Print the time to the first token, alternately direct and relayed, without other load."""
    direct, through = [], []
    entry, engine = fleet.address("entry-0", "callers"), fleet.address("engine-0", "listen")
    headers = [bearer("singers")]
    await measure_first_byte_ms(entry, "adapter-0", headers)
    for _ in range(REQUESTS):
        direct.append(await measure_first_byte_ms(engine, "adapter-0@2", []))
        through.append(await measure_first_byte_ms(entry, "adapter-0", headers))
    for name, values in (("direct", direct), ("through", through)):
        print(
            f"first token {name}: p50 {percentile(values, 50):.2f} ms, "
            f"p95 {percentile(values, 95):.2f} ms"
        )
    print(f"added at p95: {percentile(through, 95) - percentile(direct, 95):.2f} ms (target 3)")


async def measure_streams(fleet: Fleet) -> None:
    """Print the CPU time per relayed token and the memory per open stream."""
    pids = {name: fleet.by_name[name].process.pid for name in ("entry-0", "agent-engine-0")}
    before = {name: read_process_usage(pid) for name, pid in pids.items()}
    begun = time.perf_counter()
    tasks = [
        asyncio.create_task(
            read_long_response(fleet.address("entry-0", "callers"), [bearer("singers")])
        )
        for _ in range(STREAMS)
    ]
    await asyncio.sleep(0.7)
    streaming = {name: read_process_usage(pid) for name, pid in pids.items()}
    sizes = await asyncio.gather(*tasks)
    elapsed_s = time.perf_counter() - begun
    after = {name: read_process_usage(pid) for name, pid in pids.items()}
    count = STREAMS * TOKENS
    print(
        f"{STREAMS} streams, {count} tokens, {sum(sizes) // count} bytes a token, {elapsed_s:.1f} s"
    )
    for name in pids:
        cpu_us = (after[name].cpu_s - before[name].cpu_s) / count * 1e6
        held = (streaming[name].resident_bytes - before[name].resident_bytes) / STREAMS
        print(
            f"{name}: {cpu_us:.1f} us a token (target 20), {held / 1024:.0f} KiB an open stream, "
            f"{after[name].resident_bytes / 2**20:.0f} MiB resident (target 256)"
        )


async def measure_requests(fleet: Fleet) -> None:
    """Print the CPU time per short request of the entry and of the agent."""
    pids = {name: fleet.by_name[name].process.pid for name in ("entry-0", "agent-engine-0")}
    before = {name: read_process_usage(pid) for name, pid in pids.items()}
    for _ in range(REQUESTS):
        await measure_first_byte_ms(
            fleet.address("entry-0", "callers"), "adapter-0", [bearer("singers")]
        )
    for name, pid in pids.items():
        cpu_ms = (read_process_usage(pid).cpu_s - before[name].cpu_s) / REQUESTS * 1000
        print(f"{name}: {cpu_ms:.2f} ms a request of two tokens")


async def measure_idle(fleet: Fleet) -> None:
    """Print the CPU use without requests: heartbeats, watches and pledges."""
    names = list(fleet.vms)
    before = {name: read_process_usage(fleet.by_name[name].process.pid).cpu_s for name in names}
    await asyncio.sleep(10)
    for name in names:
        used = read_process_usage(fleet.by_name[name].process.pid).cpu_s - before[name]
        print(f"{name} idle: {used / 10 * 100:.2f}% of a core (target 2.3)")


async def main() -> None:
    """Run all measurements on one fleet."""
    fleet = Fleet(FleetShape(entries=2, engines=1, services=1, domains=2))
    try:
        await fleet.start()
        await fleet.faults("engine-0", batch=64, token_s=0.004)
        await asyncio.sleep(0.5)
        await measure_first_token(fleet)
        await measure_requests(fleet)
        await measure_streams(fleet)
        await measure_idle(fleet)
    finally:
        fleet.close()


if __name__ == "__main__":
    asyncio.run(main())
