"""All machines are killed after the last worker of an old software version has left."""

import asyncio
import re
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

ENTRIES, WORKERS, STREAMS = 5, 9, 75
EVENTS, EVENT_S = 60, 0.2
SIDE_BY_SIDE_S = 32.0
STREAMS_BEFORE_S = 2.5
MAX_JOINED = 2


async def answer_stream(worker: harness.Worker, request: harness.Received) -> None:
    """Stream events that name the worker's version, behind `Last-Event-Id` if there is one."""
    after = int(request.headers.get("last-event-id", "0"))
    worker.record.write(f"{worker.name} {worker.version} runs {request.request_id} after {after}")
    harness.start_stream(request)
    for number in range(after + 1, EVENTS + 1):
        if request.writer.is_closing():
            return
        event = f"id: {number}\ndata: {worker.version}\n\n".encode()
        request.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await asyncio.sleep(EVENT_S)
    harness.end_stream(request)


class Client:
    """A client of one stream, which it takes up again where its connection breaks."""

    def __init__(self, number: int, deployment: harness.Deployment, addresses: list) -> None:
        self.number = number
        self.record = deployment.record
        self.addresses = addresses
        self.last_id = 0
        self.versions: list[str] = []
        self.first_attempt = ""
        self.is_complete = False

    async def run(self) -> None:
        """Read the stream to its end, in as many attempts as the client's deadline allows."""
        for attempt in range(1, 12):
            request_id = f"{self.number:08x}{attempt:08x}"
            try:
                async with asyncio.timeout(20):
                    await self._attempt(request_id, self.addresses[attempt % len(self.addresses)])
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                self.record.write(f"client {request_id} ends after {self.last_id}: {error!r}")
            if self.is_complete:
                return
            await asyncio.sleep(0.5)

    async def _attempt(self, request_id: str, address: tuple[str, int]) -> None:
        extra = harness.model_headers(request_id)
        if self.last_id:
            extra += f"Last-Event-Id: {self.last_id}\r\nResumes: {self.first_attempt}\r\n"
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(
                harness.head_of("POST", "/draft/1", request_id, deadline_ms=15_000, extra=extra)
            )
            head = await reader.readuntil(b"\r\n\r\n")
            line = head.partition(b"\r\n")[0].decode()
            if " 200 " not in line:
                self.record.write(f"client {request_id} gets {line}")
                return
            await self._read_events(reader, request_id)
        finally:
            writer.close()

    async def _read_events(self, reader: asyncio.StreamReader, request_id: str) -> None:
        text = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            text += (await reader.readexactly(size + 2))[:-2]
            *events, text = text.split(b"\n\n")
            for event in events:
                match = re.fullmatch(rb"id: (\d+)\ndata: (\w+)", event)
                self.first_attempt = self.first_attempt or request_id
                self.last_id, version = int(match[1]), match[2].decode()
                if not self.versions or self.versions[-1] != version:
                    self.versions.append(version)
                    self.record.write(f"client {request_id} reads {self.last_id} of {version}")
        self.is_complete = True


async def run() -> int:
    """Run the case and return its result."""
    async with harness.Deployment(FOLDER) as deployment:
        record = deployment.record
        deployment.publish()
        entries = [deployment.add_machine(number, "entry") for number in range(1, ENTRIES + 1)]
        models = [{"name": harness.MODEL, "version": 1, "adapters": []}]
        workers = []
        for number in range(1, WORKERS + 1):
            worker = await deployment.add_worker(
                number, "llm", slots=32, models=models, version="v1" if number == 5 else "v2"
            )
            worker.handle = answer_stream
            workers.append(worker)
            deployment.add_machine(20 + number, "agent", app=worker.address)
        await deployment.wait_ready(*entries)
        await asyncio.sleep(SIDE_BY_SIDE_S)
        addresses = [deployment.front_of(entry) for entry in entries]
        clients = [Client(number, deployment, addresses) for number in range(1, STREAMS + 1)]
        reading = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(STREAMS_BEFORE_S)
        old = next(worker for worker in workers if worker.version == "v1")
        old.beats = False
        deployment.store.remove(f"servers/{old.name}")
        record.write(f"the entry of {old.name}, the last of v1, is removed; it serves on")
        await asyncio.sleep(0.5)
        if harness.has_trouble():
            for machine in deployment.machines:
                deployment.signal(machine, signal.SIGKILL)
            record.write("all machines are killed")
        await asyncio.gather(*reading)
        begun_old = [client for client in clients if client.versions[:1] == ["v1"]]
        joined = [client for client in clients if len(client.versions) > 1]
        print(f"{len(begun_old)} of {len(clients)} streams began at v1; {len(joined)} are joined")
        (FOLDER / "entry.log").write_text("".join(map(deployment.log_of, deployment.machines)))
        if len(begun_old) <= MAX_JOINED:
            return harness.NOT_RUN
        return harness.BROKEN if len(joined) > MAX_JOINED else harness.HELD


harness.run_case(run)
