"""CPU cost of an entry on the users' platform: per request, per relayed event, and when idle.

Entries and agents are separate processes on loopback. The engines, the plain services ("desk")
and the store run in this process. CPU time is the kernel's figure for the entry.
"""

import asyncio
import tempfile
from pathlib import Path

import soak.endpoints
from bench.data_path import read_process_usage
from skylarkrack.web import HttpClient
from soak.endpoints import MODEL
from soak.fleet import Fleet
from soak.run import wait_until_served

REQUESTS = 300
CONCURRENT_REQUESTS = 6
EVENTS = (6, 60)
IDLE_S = 10
ENTRIES = (3, 12, 24)
TIMEOUT_MS = 30_000


async def send_request(client: HttpClient, number: int, kind: str) -> None:
    """Send one request of *kind* and read the whole response; "chat" is a model request."""
    headers = [
        (b"host", b"a.example"),
        (b"x-attempt-id", f"b{number}".encode()),
        (b"authorization", b"Token key-one"),
    ]
    if kind == "chat":
        headers += [(b"x-model", f"{MODEL}/a1".encode()), (b"x-token-count", b"1,1")]
    response = await client.request("POST", f"/{kind}/x", headers=headers, timeout_ms=TIMEOUT_MS)
    await response.read_body(timeout_ms=TIMEOUT_MS)


async def measure_cpu_ms(fleet: Fleet, kind: str) -> float:
    """Return the entry's CPU time in ms per request of *kind*."""
    entry = fleet.entries[0]
    clients = [
        HttpClient(f"{entry.ip}:{entry.front_address[1]}") for _ in range(CONCURRENT_REQUESTS)
    ]
    before = read_process_usage(entry.process.pid).cpu_s
    for start in range(0, REQUESTS, CONCURRENT_REQUESTS):
        await asyncio.gather(
            *(send_request(client, start + n, kind) for n, client in enumerate(clients))
        )
    used = read_process_usage(entry.process.pid).cpu_s - before
    for client in clients:
        client.close()
    return used / REQUESTS * 1000


async def measure_idle_peers(fleet: Fleet) -> None:
    """Print the CPU use and memory of an entry that only exchanges messages with its peers."""
    pid = fleet.entries[0].process.pid
    before = read_process_usage(pid).cpu_s
    await asyncio.sleep(IDLE_S)
    used = (read_process_usage(pid).cpu_s - before) / IDLE_S * 100
    resident = read_process_usage(pid).resident_bytes / 2**20
    peers = len(fleet.machines) - 1
    print(f"idle, {peers} peers: {used:.2f}% of a core, {resident:.0f} MiB resident")


async def measure_request_costs(fleet: Fleet) -> None:
    """Print the entry's CPU time per plain request, per stream and per relayed event."""
    print(f"plain request: {await measure_cpu_ms(fleet, 'look'):.2f} ms")
    costs = []
    for events in EVENTS:
        soak.endpoints.EVENTS_PER_STREAM = events
        soak.endpoints.EVENT_INTERVAL_S = 0.002
        costs.append(await measure_cpu_ms(fleet, "chat"))
        print(f"stream of {events} events: {costs[-1]:.2f} ms a request")
    slope = (costs[1] - costs[0]) / (EVENTS[1] - EVENTS[0]) * 1000
    print(f"relayed event: {slope:.0f} us")


async def main() -> None:
    """Measure with each number of entries; request costs only with the smallest."""
    for entries in ENTRIES:
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(Path(folder), entries=entries)
            await fleet.start()
            try:
                for entry in fleet.entries:
                    await wait_until_served(entry)
                await measure_idle_peers(fleet)
                if entries == ENTRIES[0]:
                    await measure_request_costs(fleet)
            finally:
                await fleet.close()


if __name__ == "__main__":
    asyncio.run(main())
