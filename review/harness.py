"""A small deployment on loopback for the scripts of the review.

The entries and agents are the project's own programs in separate processes, started with the
commands of the deploy file. The store is the project's stand-in; workers and clients are below.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "src"), str(ROOT)]

from standins.platform_store import PlatformStore  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
HOST = "a.example"
KEY = "key-of-singers"
TENANT = "singers"
MODEL = "base"


class CaseError(Exception):
    """Raised when a case could not run."""


def has_trouble() -> bool:
    """Return whether the case brings about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a case: lines with the time since its start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")


@dataclass(slots=True)
class Received:
    """A request as a worker received it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def request_id(self) -> str:
        """The id of the client's attempt."""
        return self.headers.get("x-attempt-id", "")


class Worker:
    """A worker that answers each request by *handle*, one at a time on a connection."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        record: Record,
        *,
        slots: int = 6,
        models: list | None = None,
        version: str = "v1",
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.slots = slots
        self.models = models
        self.version = version
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.beats = True
        self.record = record
        self.arrived: list[tuple[float, Received]] = []
        self.handle: Callable[[Worker, Received], Awaitable[None]] = answer_plain
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on the worker's address."""
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 20)

    def registration(self) -> bytes:
        """Return the worker's entry in the store."""
        self.seq += 1
        document = {
            "service": self.service,
            "addr": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "seq": self.seq,
            "born": self.born_ms,
        }
        if self.models is not None:
            document |= {"stage": "combined", "models": self.models}
        return json.dumps(document).encode()

    async def close(self) -> None:
        """Stop listening and drop every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await self._read(reader, writer)) is not None:
                if request.target == "/report":
                    await self._report(request)
                    continue
                expected = request.headers.get("x-expect-instance")
                if expected not in (None, self.name):
                    respond(request, 421, [("X-Instance-Id", self.name)], b"")
                    continue
                self.arrived.append((self.record.now_s(), request))
                await self.handle(self, request)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Received | None:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ", 2)
        pairs = [line.partition(":") for line in lines if line]
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Received(method, target, headers, body, writer)

    async def _report(self, request: Received) -> None:
        report = {
            "stage": "combined",
            "models": self.models or [],
            "busy": False,
            "seq": 0,
            "queued": 0,
            "in-flight": 0,
            "kv-used": 0,
            "kv-total": 100_000,
            "handles": 0,
            "born": self.born_ms,
        }
        headers = [("Content-Type", "application/json")]
        respond(request, 200, headers, json.dumps(report).encode())


def respond(
    request: Received, status: int, headers: list[tuple[str, str]], body: bytes = b""
) -> None:
    """Write an answer with a length."""
    lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    request.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def seal(request: Received) -> list[tuple[str, str]]:
    """Return the headers of an answer to a request that has run."""
    return [("X-Attempt-Id", request.request_id), ("X-Response-Seal", f"s.{request.request_id}")]


async def answer_plain(worker: Worker, request: Received, work_s: float = 0.02) -> None:
    """Run a request and answer it."""
    worker.record.write(f"run {request.request_id} at {worker.name}")
    await asyncio.sleep(work_s)
    respond(request, 200, seal(request), f"done {request.request_id}".encode())


def start_stream(request: Received) -> None:
    """Write the head of a stream."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    lines += [f"{name}: {value}" for name, value in seal(request)]
    request.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")


def send_event(request: Received, number: int) -> None:
    """Write one event of a stream as a chunk."""
    event = f"id: {number}\ndata: {request.request_id} {number}\n\n".encode()
    request.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")


def end_stream(request: Received) -> None:
    """Write the end of a stream."""
    request.writer.write(b"0\r\n\r\n")


@dataclass(slots=True)
class Machine:
    """A machine of the system, which runs one process of the deploy file."""

    name: str
    role: str
    ip: str
    app: str = ""
    environment: dict[str, str] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None
    restarts: bool = True
    ended: list[int] = field(default_factory=list)


class Deployment:
    """The store, the machines and the workers of a case; use it as an async context manager."""

    def __init__(self, case_folder: Path, *, idle_timeout_ms: int = 15_000) -> None:
        self.record = Record(case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = PlatformStore()
        self.machines: list[Machine] = []
        self.workers: list[Worker] = []
        self.config = _config(idle_timeout_ms)
        self.net = f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}"
        self.ports = _free_ports(5)
        self.store_address = f"{self.net}.250:{self.ports[4]}"
        self._tasks: list[asyncio.Task] = []
        commands = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self._command_by_role = {role: each["run"].split() for role, each in commands.items()}

    async def __aenter__(self) -> "Deployment":
        await self.store.start(self.store_address)
        return self

    async def __aexit__(self, *_: object) -> None:
        for machine in self.machines:
            machine.restarts = False
            self.signal(machine, signal.SIGCONT)
            self.signal(machine, signal.SIGKILL)
        for machine in self.machines:
            if machine.process is not None:
                await machine.process.wait()
        for task in self._tasks:
            task.cancel()
        for worker in self.workers:
            await worker.close()
        await self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def publish(self) -> None:
        """Write the configuration to the store as the next version."""
        self.config["version"] += 3
        self.publish_again()

    def publish_again(self) -> None:
        """Write the configuration to the store with the version that it has."""
        self.store.put("op/config", json.dumps(self.config).encode())

    async def add_worker(self, number: int, service: str, **options: object) -> Worker:
        """Start a worker, and its heartbeat in the store."""
        address = f"{self.net}.{100 + number}:{self.ports[3]}"
        worker = Worker(f"i-{service}{number}", service, address, self.record, **options)
        await worker.start()
        self.workers.append(worker)
        self._tasks.append(asyncio.create_task(self._beat(worker)))
        return worker

    def cut_store_connections(self) -> None:
        """Cut the watches that wait at the store, which answers new calls as before."""
        self.record.write("the store cuts the watches that wait")
        for connection in list(self.store._server._connections):
            connection.abort()

    async def _beat(self, worker: Worker) -> None:
        while True:
            if worker.beats:
                self.store.put(f"servers/{worker.name}", worker.registration())
            await asyncio.sleep(HEARTBEAT_S)

    def add_machine(self, number: int, role: str, *, app: str = "", seeds: int = 3) -> Machine:
        """Start a machine; the first *seeds* entries are its seeds."""
        machine = Machine(f"{role}-{number}", role, f"{self.net}.{number}", app)
        path = self.folder / f"{machine.name}.conf"
        path.write_text(self._settings(machine, seeds))
        machine.environment = {
            **os.environ,
            "SKYLARKRACK_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.machines.append(machine)
        self._tasks.append(asyncio.create_task(self._supervise(machine)))
        return machine

    def _settings(self, machine: Machine, seeds: int) -> str:
        front, ready, control, _, store = self.ports
        lines = [
            f"node-name={machine.name}",
            f"role={machine.role}",
            f"ip={machine.ip}",
            "zone=zone-a",
            "region=r",
            f"port-range={control + 1},{control + 16}",
            "seeds=" + ",".join(f"{self.net}.{n}:{control}" for n in range(1, seeds + 1)),
            "bootstrap=true",
            "heartbeat-ms=1200",
            "limits.memory-mb=300",
            "limits.link-mbps=1000.0",
            "bounds.grace-s=8",
            "bounds.drain-ms=2000",
            "bounds.budget-slack=54",
            "bounds.strict-revoke=false",
            f"platform.addr={self.store_address}",
        ]
        if machine.role == "entry":
            lines += [
                f"listen.front={machine.ip}:{front}",
                f"listen.ready={machine.ip}:{ready}",
                f"listen.control={machine.ip}:{control}",
            ]
        else:
            lines += [f"app={machine.app}", "service=llm"]
        return "\n".join(lines) + "\n"

    async def _supervise(self, machine: Machine) -> None:
        """Start the process of a machine, and again after it ends, as the platform does."""
        while True:
            output = os.open(
                self.folder / f"{machine.name}.log", os.O_WRONLY | os.O_CREAT | os.O_APPEND
            )
            try:
                machine.process = await asyncio.create_subprocess_exec(
                    *self._command_by_role[machine.role],
                    cwd=ROOT,
                    env=machine.environment,
                    stdout=output,
                    stderr=output,
                )
            finally:
                os.close(output)
            self.record.write(f"{machine.name} started")
            status = await machine.process.wait()
            machine.ended.append(status)
            self.record.write(f"{machine.name} ended with {status}")
            if not machine.restarts:
                return
            await asyncio.sleep(0.3)

    def signal(self, machine: Machine, number: int) -> None:
        """Send a signal to the process of a machine."""
        if machine.process is not None and machine.process.returncode is None:
            machine.process.send_signal(number)

    def log_of(self, machine: Machine) -> str:
        """Return the output of a machine's processes."""
        return (self.folder / f"{machine.name}.log").read_text(errors="replace")

    def front_of(self, machine: Machine) -> tuple[str, int]:
        """Return the address at which a machine accepts clients."""
        return machine.ip, self.ports[0]

    async def is_ready(self, machine: Machine) -> bool:
        """Ask a machine whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(machine.ip, self.ports[1])
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self, *machines: Machine, limit_s: float = 20.0) -> None:
        """Wait until machines are ready; raises `CaseError` after *limit_s*."""
        until_s = time.monotonic() + limit_s
        for machine in machines:
            while not await self.is_ready(machine):
                if time.monotonic() > until_s:
                    raise CaseError(f"{machine.name} isn't ready: {self.log_of(machine)[-2000:]}")
                await asyncio.sleep(0.05)


def _config(idle_timeout_ms: int) -> dict:
    base = {"host": HOST, "priority": 1, "public": False, "target-latency-ms": 600}
    model = {"name": MODEL, "weights-mb": 72_700.0, "load-time-s": 0.6, "adapters": 30}
    engine = {
        "slots": 64,
        "kv-capacity": 133_856,
        "models": [{**model, "adapter-mb": 66.0}],
        "weights-mb": 75_800.0,
        "adapter-slots": 25,
        "loads-per-s": 3.2,
    }
    chat = {**base, "kind": "streaming", "timeout-ms": 15_000, "gap-aim-ms": 300, "sticky": True}
    return {
        "version": 1,
        "routes": [
            {**chat, "name": "chat", "prefix": "/chat/", "service": "llm", "max-attempts": 1},
            {
                **chat,
                "name": "draft",
                "prefix": "/draft/",
                "service": "llm",
                "max-attempts": 2,
                "resumable": True,
            },
            {
                **base,
                "name": "look",
                "prefix": "/look/",
                "service": "desk",
                "kind": "safe",
                "timeout-ms": 1500,
                "max-attempts": 2,
            },
            {
                **base,
                "name": "pay",
                "prefix": "/pay/",
                "service": "desk",
                "kind": "unsafe",
                "timeout-ms": 1500,
                "max-attempts": 1,
            },
        ],
        "services": [
            {"name": "llm", "health-path": "/health", "max-conns": 360, "engine": engine},
            {"name": "desk", "health-path": "/health", "max-conns": 100},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": idle_timeout_ms,
        },
        "tenants": [
            {
                "name": TENANT,
                "api-keys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plain-tokens": 200,
                "rate-per-s": 200_000,
                "burst": 200_000,
            }
        ],
    }


def _free_ports(count: int) -> list[int]:
    """Return ports that are free on every loopback address, with room above each."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(11_000, 31_000)
        if any(abs(port - other) < 40 for other in ports):
            continue
        with socket.socket() as probe, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            try:
                probe.bind(("0.0.0.0", port))
                datagrams.bind(("0.0.0.0", port + 1))
            except OSError:
                continue
        ports.append(port)
    return ports


def head_of(
    method: str,
    path: str,
    request_id: str,
    *,
    deadline_ms: int,
    size: int = 0,
    extra: str = "",
    key: str = KEY,
) -> bytes:
    """Return the head of a client's request."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\n"
        f"Content-Length: {size}\r\n{extra}\r\n"
    ).encode()


def model_headers(request_id: str, *, adapter: str = "", tokens: str = "300,100") -> str:
    """Return the headers of a request for a model."""
    model = f"{MODEL}/{adapter}" if adapter else MODEL
    prefix = f"aa01:100,{request_id[-8:]}:200"
    return f"X-Model: {model}\r\nX-Token-Count: {tokens}\r\nX-Prompt-Prefix: {prefix}\r\n"


class Clients:
    """Clients that send the same request so many times a second, each on a new connection."""

    def __init__(
        self,
        deployment: Deployment,
        entry: Machine,
        method: str,
        path: str,
        *,
        per_s: float,
        deadline_ms: int = 1500,
    ) -> None:
        self._record = deployment.record
        self._address = deployment.front_of(entry)
        self._line = (method, path, deadline_ms)
        self._per_s = per_s
        self._sent: list[asyncio.Task] = []
        self.sent_s_by_id: dict[str, float] = {}
        self.served = 0
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop sending and wait for the answers."""
        self._task.cancel()
        await asyncio.gather(*self._sent)

    async def _run(self) -> None:
        while True:
            request_id = f"{len(self._sent) + 1:016x}"
            self.sent_s_by_id[request_id] = self._record.now_s()
            self._sent.append(asyncio.create_task(self._send(request_id)))
            await asyncio.sleep(1 / self._per_s)

    async def _send(self, request_id: str) -> None:
        method, path, deadline_ms = self._line
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                reader, writer = await asyncio.open_connection(*self._address)
                writer.write(head_of(method, path, request_id, deadline_ms=deadline_ms))
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError) as error:
            line = repr(error).encode()
        self.served += b" 200 " in line
        self._record.write(f"client {request_id} {path} gets {line[:40].decode()!r}")


def run_case(case: Callable[[], Awaitable[int]], *, limit_s: float = 115.0) -> None:
    """Run a case and exit with its result, or with `NOT_RUN` if it could not run."""

    async def limited() -> int:
        async with asyncio.timeout(limit_s):
            return await case()

    try:
        result = asyncio.run(limited())
    except (CaseError, OSError, TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        result = NOT_RUN
    sys.exit(result)
