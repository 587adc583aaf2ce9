"""What the relay costs on the users' platform: a request, an event, and the talk with peers.

Entries and agents are separate processes on loopback; engines, desks and the store are in this one.
Processor time is the kernel's account of the entry.
"""

import asyncio
import tempfile
from pathlib import Path

import soak.endpoints
from bench.data_path import account
from skylarkrack.web import HttpClient
from soak.endpoints import MODEL
from soak.fleet import Fleet
from soak.run import wait_until_served

REQUESTS = 300
AT_ONCE = 6
EVENTS = (6, 60)
IDLE_S = 10
ENTRIES = (3, 12, 24)
TIMEOUT_MS = 30_000


async def ask(client: HttpClient, number: int, kind: str) -> None:
    """Send one request and read its answer."""
    headers = [
        (b"host", b"a.example"),
        (b"x-attempt-id", f"b{number}".encode()),
        (b"authorization", b"Token key-one"),
    ]
    if kind == "chat":
        headers += [(b"x-model", f"{MODEL}/a1".encode()), (b"x-token-count", b"1,1")]
    answer = await client.request("POST", f"/{kind}/x", headers=headers, timeout_ms=TIMEOUT_MS)
    await answer.read_body(timeout_ms=TIMEOUT_MS)


async def cost_ms(fleet: Fleet, kind: str) -> float:
    """Return the entry's processor time for a request of *kind*, in ms."""
    entry = fleet.entries[0]
    clients = [HttpClient(f"{entry.ip}:{entry.front_address[1]}") for _ in range(AT_ONCE)]
    before = account(entry.process.pid).cpu_s
    for start in range(0, REQUESTS, AT_ONCE):
        await asyncio.gather(*(ask(client, start + n, kind) for n, client in enumerate(clients)))
    used = account(entry.process.pid).cpu_s - before
    for client in clients:
        client.close()
    return used / REQUESTS * 1000


async def idle(fleet: Fleet) -> None:
    """Print what the talk with peers costs an entry without requests."""
    pid = fleet.entries[0].process.pid
    before = account(pid).cpu_s
    await asyncio.sleep(IDLE_S)
    used = (account(pid).cpu_s - before) / IDLE_S * 100
    resident = account(pid).resident / 2**20
    peers = len(fleet.machines) - 1
    print(f"idle, {peers} peers: {used:.2f}% of a core, {resident:.0f} MiB resident")


async def requests(fleet: Fleet) -> None:
    """Print what requests and events cost an entry."""
    print(f"plain request: {await cost_ms(fleet, 'look'):.2f} ms")
    costs = []
    for events in EVENTS:
        soak.endpoints.EVENTS_PER_STREAM = events
        soak.endpoints.EVENT_INTERVAL_S = 0.002
        costs.append(await cost_ms(fleet, "chat"))
        print(f"stream of {events} events: {costs[-1]:.2f} ms a request")
    slope = (costs[1] - costs[0]) / (EVENTS[1] - EVENTS[0]) * 1000
    print(f"relayed event: {slope:.0f} us")


async def main() -> None:
    """Print every row."""
    for entries in ENTRIES:
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(Path(folder), entries=entries)
            await fleet.start()
            try:
                for entry in fleet.entries:
                    await wait_until_served(entry)
                await idle(fleet)
                if entries == ENTRIES[0]:
                    await requests(fleet)
            finally:
                await fleet.close()


if __name__ == "__main__":
    asyncio.run(main())
