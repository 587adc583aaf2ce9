"""The store comes back from a copy that lacks the workers of a service that is some seconds old."""

import asyncio
import dataclasses
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

ENTRIES, DESK_WORKERS = 5, 4
COPY_AGE_S = 5.0
AWAY_S = 0.5
WRITTEN_AGAIN_S = 1.8
SETTLING_S = 6.0
MEASURED_S = 8.0
MIN_REQUESTS = 20


async def run() -> int:
    """Run the case and return its result."""
    async with harness.Deployment(FOLDER) as deployment:
        record, store = deployment.record, deployment.store
        deployment.publish()
        entries = [deployment.add_machine(number, "entry") for number in range(1, ENTRIES + 1)]
        for number in range(1, DESK_WORKERS + 1):
            await deployment.add_worker(number, "desk")
            await asyncio.sleep(harness.HEARTBEAT_S / DESK_WORKERS)
        await deployment.wait_ready(*entries)
        await asyncio.sleep(4.0)

        copied_revision = store.revision
        record.write(f"the store is copied at revision {copied_revision}")
        look = next(route for route in deployment.config["routes"] if route["name"] == "look")
        forms = {**look, "name": "forms", "prefix": "/forms/", "service": "forms"}
        deployment.config["routes"].append(forms)
        deployment.config["services"].append({"name": "forms", "max-conns": 100})
        deployment.publish()
        for number in (11, 12):
            await deployment.add_worker(number, "forms")
        record.write("a configuration adds a route, and its service has workers")
        await asyncio.sleep(COPY_AGE_S)
        if harness.has_trouble():
            await restore(deployment, copied_revision)
        await asyncio.sleep(SETTLING_S)

        clients = [
            harness.Clients(deployment, entry, "GET", path, per_s=8)
            for entry in entries
            for path in ("/look/1", "/forms/1")
        ]
        await asyncio.sleep(MEASURED_S)
        for each in clients:
            await each.stop()
        first, added = sum_of(clients[0::2]), sum_of(clients[1::2])
        print(f"served: {first[0]} of {first[1]} on the first route, ", end="")
        print(f"{added[0]} of {added[1]} on the added one")
        (FOLDER / "entry.log").write_text("".join(map(deployment.log_of, entries)))
        if first[0] < 0.9 * first[1] or added[1] < MIN_REQUESTS:
            return harness.NOT_RUN
        is_broken = added[0] / added[1] < first[0] / first[1] / 4
        return harness.BROKEN if is_broken else harness.HELD


def sum_of(clients: list) -> tuple[int, int]:
    """Return how many requests of some clients were served, and how many were sent."""
    return sum(each.served for each in clients), sum(len(each.sent_s_by_id) for each in clients)


async def restore(deployment: harness.Deployment, revision: int) -> None:
    """Take the store away for a moment; it comes back from a copy.

    The operator and the workers write again what they had written: those whose entries the copy
    has with their next heartbeats, the others after `WRITTEN_AGAIN_S`.
    """
    store, record = deployment.store, deployment.record
    store.faults = dataclasses.replace(store.faults, silent=True)
    missing = [worker for worker in deployment.workers if worker.service == "forms"]
    for worker in missing:
        worker.beats = False
    record.write("the store is away")
    await asyncio.sleep(AWAY_S)
    store.rewind(revision)
    store.faults = dataclasses.replace(store.faults, silent=False)
    deployment.cut_store_connections()
    record.write(f"the store is back at revision {revision}, era {store.era}")
    await asyncio.sleep(0.2)
    deployment.publish_again()
    record.write("the operator writes the configuration again")
    await asyncio.sleep(WRITTEN_AGAIN_S - 0.2)
    for worker in missing:
        store.put(f"servers/{worker.name}", worker.registration())
        worker.beats = True
        record.write(f"{worker.name} writes its entry again")


harness.run_case(run)
