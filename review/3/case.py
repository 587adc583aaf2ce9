"""A tenant's limit is lifted before the tenant begins to send; then its workers are full."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

SLOTS, QUEUE, WORK_S = 6, 24, 0.09
KEY, TENANT = "key-of-puppeteers", "puppeteers"
ENTRIES, WORKERS, CLIENTS = 5, 4, 170
SENDING_S = 6.0
MAX_CLOSED = 3


class Queue:
    """The slots of a worker, and the few requests that it queues; further ones are refused."""

    def __init__(self) -> None:
        self.slots = asyncio.Semaphore(SLOTS)
        self.taken = 0

    async def handle(self, worker: harness.Worker, request: harness.Received) -> None:
        """Run a request, or refuse it if the queue is full."""
        if self.taken >= SLOTS + QUEUE:
            worker.record.write(f"{worker.name} refuses {request.request_id}")
            headers = [("X-Not-Executed", "1"), ("X-Attempt-Id", request.request_id)]
            harness.respond(request, 503, headers)
            return
        self.taken += 1
        async with self.slots:
            worker.record.write(f"{worker.name} runs {request.request_id}")
            await asyncio.sleep(WORK_S)
        self.taken -= 1
        harness.respond(request, 200, harness.seal(request), b"done")


class Client:
    """A client that sends one payment after another on a connection that it keeps."""

    def __init__(self, number: int, deployment: harness.Deployment, address: tuple) -> None:
        self.number = number
        self.record = deployment.record
        self.address = address
        self.sent = 0
        self.ends: Counter[str] = Counter()
        self.closed_ids: list[str] = []

    async def run(self) -> None:
        """Send until cancelled; a new connection is opened after each that was closed."""
        while True:
            reader, writer = await asyncio.open_connection(*self.address)
            on_connection = 0
            while await self._send(reader, writer, on_connection):
                on_connection += 1
            writer.close()
            await asyncio.sleep(0.3)

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, before: int
    ) -> bool:
        """Send one request; return whether the connection stays open."""
        self.sent += 1
        request_id = f"{self.number:04x}{self.sent:012x}"
        head = harness.head_of("POST", "/pay/1", request_id, deadline_ms=1500, size=4, key=KEY)
        self.record.write(f"client {request_id} is sent, {before} before it on the connection")
        try:
            writer.write(head + b"body")
            answer = await reader.readuntil(b"\r\n\r\n")
            length = answer.lower().split(b"content-length:")[1].split(b"\r\n")[0]
            await reader.readexactly(int(length))
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record.write(f"client {request_id} gets no answer: {error!r}")
            self.ends["closed without an answer"] += 1
            if before:
                self.closed_ids.append(request_id)
            return False
        status = answer.split(b" ", 2)[1].decode()
        self.record.write(f"client {request_id} gets {status}")
        self.ends[status] += 1
        await asyncio.sleep(1.0 - self.record.now_s() % 1.0)
        return b"connection: close" not in answer.lower()


async def run() -> int:
    """Run the case and return its result."""
    async with harness.Deployment(FOLDER) as deployment:
        limited = {"unit": "tokens", "plain-tokens": 200, "rate-per-s": 200_000, "burst": 200_000}
        tenant = {"name": TENANT, "api-keys": [KEY], "priority": 1, **limited}
        deployment.config["tenants"].append(tenant)
        deployment.publish()
        entries = [deployment.add_machine(number, "entry") for number in range(1, ENTRIES + 1)]
        workers = [await deployment.add_worker(10 + number, "desk") for number in range(WORKERS)]
        for worker in workers:
            worker.handle = Queue().handle
        await deployment.wait_ready(*entries)
        await asyncio.sleep(2.0)
        if harness.has_trouble():
            tenant |= {"rate-per-s": 0, "burst": 0}
            deployment.publish()
            deployment.record.write(f"a configuration lifts the limit of {TENANT}")
        await asyncio.sleep(4.0)
        addresses = [deployment.front_of(entry) for entry in entries]
        clients = [
            Client(number, deployment, addresses[number % ENTRIES])
            for number in range(1, CLIENTS + 1)
        ]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(SENDING_S)
        for task in tasks:
            task.cancel()
        ends = sum((client.ends for client in clients), Counter())
        arrived = {request.request_id for worker in workers for _, request in worker.arrived}
        closed = [i for client in clients for i in client.closed_ids if i in arrived]
        print(dict(ends), f"{len(closed)} of them from kept connections and passed on")
        (FOLDER / "entry.log").write_text("".join(map(deployment.log_of, entries)))
        if not ends["200"]:
            return harness.NOT_RUN
        return harness.BROKEN if len(closed) > MAX_CLOSED else harness.HELD


harness.run_case(run)
