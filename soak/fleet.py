"""The system that the soak tests: processes, endpoints, a store, and proxies between them."""

import asyncio
import json
import os
import signal
import sys
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from soak.endpoints import ADAPTER_SLOTS, MODEL, Endpoint, Engine, PlainService
from soak.guarantees import VISITORS, GuaranteeChecker
from soak.proxy import Proxy
from standins._lifeline import kill_on_parent_exit
from standins.platform_store import PlatformStore

ROOT = Path(__file__).resolve().parent.parent
ENTRIES, ENGINES, PLAIN_SERVICES = 3, 2, 2
SEED_ENTRIES = 3
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8221, 8224, 8229, 7600
STORE_ADDRESS = "127.9.9.1:8225"
STORE_PROXY_ADDRESS = "127.9.9.2:8225"
RATE_TOKENS_PER_S, BURST_TOKENS = 12_000, 12_000
RESTART_DELAY_S = 0.3
KEYS = ("key-one", "key-two")
VISITORS_KEY = "key-visitors"


@dataclass(slots=True)
class Machine:
    """A VM that runs one process, an entry or an agent, which is restarted when it ends.

    `frozen_until_s` and `started_s` are times of the event loop in seconds.
    """

    name: str
    role: str
    ip: str
    settings_path: Path
    process: asyncio.subprocess.Process | None = None
    is_supervised: bool = True
    frozen_until_s: float = 0.0
    started_s: float = 0.0

    @property
    def front_address(self) -> tuple[str, int]:
        """Return the IP and port at which an entry accepts callers."""
        return self.ip, FRONT_PORT

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Fleet:
    """Starts the whole system, and restarts processes that end, as the platform does.

    Settings and logs of the processes are files in *folder*.
    """

    def __init__(self, folder: Path, *, entries: int = ENTRIES) -> None:
        self.checker = GuaranteeChecker(rate_per_s=RATE_TOKENS_PER_S, burst=BURST_TOKENS)
        self.store = PlatformStore()
        self.store_proxy = Proxy(STORE_PROXY_ADDRESS, STORE_ADDRESS)
        self.machines: list[Machine] = []
        self.endpoints: list[Endpoint] = []
        self.proxies: list[Proxy] = []
        self.keys = set(KEYS)
        self.config_version = 0
        self.visitors_rate_per_s = 0.0
        self.evacuated_domains: set[str] = set()
        self._registered_by_name: dict[str, tuple[Endpoint, str, str]] = {}
        self._entry_count = entries
        self._folder = folder
        self._supervisor_tasks: list[asyncio.Task] = []

    @property
    def entries(self) -> list[Machine]:
        """Return the machines that run an entry, which accept callers."""
        return [machine for machine in self.machines if machine.role == "entry"]

    async def start(self) -> None:
        """Start the store, the proxies, the endpoints and the processes."""
        await self.store.start(STORE_ADDRESS)
        await self.store_proxy.start()
        self.publish()
        for number in range(1, ENGINES + 1):
            engine = Engine(f"i-e{number}", f"127.9.1.{number}:8228", self.checker)
            await self._add_endpoint(engine, "llm", engine.address)
            self._add_machine(f"side-{number}", "agent", f"127.9.1.{number}", app=engine.address)
        for number in range(1, PLAIN_SERVICES + 1):
            plain_service = PlainService(f"i-d{number}", f"127.9.2.{number}:8100", self.checker)
            proxy = Proxy(f"127.9.3.{number}:8100", plain_service.address)
            await proxy.start()
            self.proxies.append(proxy)
            await self._add_endpoint(plain_service, "desk", proxy.address)
        for number in range(1, self._entry_count + 1):
            self._add_machine(f"front-{number}", "entry", f"127.9.0.{number}")
        self._supervisor_tasks = [
            asyncio.create_task(self._supervise(machine)) for machine in self.machines
        ]

    async def close(self) -> None:
        """Kill every process that this fleet started, by its id, and close everything else."""
        for machine in self.machines:
            machine.is_supervised = False
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        await asyncio.wait(self._supervisor_tasks)
        for server in (*self.endpoints, *self.proxies, self.store_proxy, self.store):
            await server.close()

    def publish(self) -> None:
        """Publish the next version of the configuration, with the current keys."""
        self.config_version += 2
        base = {"host": "a.example", "max-attempts": 2, "priority": 1, "public": False}
        chat = {**base, "kind": "streaming", "service": "llm", "timeout-ms": 4000}
        chat["gap-aim-ms"] = 300
        call = {**base, "service": "desk", "timeout-ms": 1500}
        model = {"name": MODEL, "weights-mb": 1.0, "load-time-s": 1.0}
        engine = {
            "slots": 8,
            "kv-capacity": 9000,
            "adapter-slots": ADAPTER_SLOTS,
            "models": [model],
        }
        tenant = {"name": "singers", "unit": "tokens", "plain-tokens": 200}
        document = {
            "version": self.config_version,
            "routes": [
                {**chat, "name": "chat", "prefix": "/chat/", "max-attempts": 1},
                {**chat, "name": "draft", "prefix": "/draft/", "resumable": True},
                {**call, "name": "look", "prefix": "/look/", "kind": "safe"},
                {**call, "name": "pay", "prefix": "/pay/", "kind": "unsafe", "max-attempts": 1},
            ],
            "services": [{"name": "llm", "engine": engine}, {"name": "desk"}],
            "tenants": [
                {
                    **tenant,
                    "api-keys": sorted(self.keys),
                    "rate-per-s": RATE_TOKENS_PER_S,
                    "burst": BURST_TOKENS,
                },
                {
                    **tenant,
                    "name": VISITORS,
                    "api-keys": [VISITORS_KEY],
                    "rate-per-s": self.visitors_rate_per_s,
                    "burst": self.visitors_rate_per_s,
                },
            ],
        }
        self.store.put("op/config", json.dumps(document).encode())

    def register(self, endpoint: Endpoint, service: str, address: str) -> None:
        """Write the registration of an endpoint to the store; *address* may be that of a proxy."""
        key = f"servers/{endpoint.name}"
        self._registered_by_name[endpoint.name] = (endpoint, service, address)
        self.store.put(key, endpoint.registration(service, address))

    def register_again(self) -> None:
        """Write all registrations again, as endpoints do after a loss of the store's data."""
        for endpoint, service, address in list(self._registered_by_name.values()):
            self.register(endpoint, service, address)

    def evacuate(self, domain: str) -> None:
        """Begin the evacuation of a failure domain."""
        self.evacuated_domains.add(domain)
        self.store.put(f"op/evacuate/{domain}", b"{}")

    def end_evacuation(self, domain: str) -> None:
        """End the evacuation of a failure domain."""
        self.evacuated_domains.discard(domain)
        self.store.remove(f"op/evacuate/{domain}")

    def restore_store(self, revision: int) -> None:
        """Restore the store from an older copy; the operator writes again what it lacks.

        Registrations are missing until `register_again`.
        """
        self.store.rewind(revision)
        self.publish()
        for domain in list(self.evacuated_domains):
            self.evacuate(domain)

    async def add_service(self, number: int) -> None:
        """Start and register another plain service, which no proxy stands before."""
        plain_service = PlainService(f"i-d{number}", f"127.9.2.{number}:8100", self.checker)
        await self._add_endpoint(plain_service, "desk", plain_service.address)

    async def _add_endpoint(self, endpoint: Endpoint, service: str, address: str) -> None:
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.register(endpoint, service, address)

    def _add_machine(self, name: str, role: str, ip: str, *, app: str = "") -> None:
        seeds = ",".join(
            f"127.9.0.{number}:{CONTROL_PORT}" for number in range(1, SEED_ENTRIES + 1)
        )
        lines = [
            f"node-name={name}",
            f"ip={ip}",
            "zone=z",
            f"port-range={PEER_PORT},7615",
            f"seeds={seeds}",
            f"platform.addr={STORE_PROXY_ADDRESS}",
            "bounds.grace-s=8",
            "bounds.budget-slack=58",
        ]
        if role == "entry":
            ports = {"front": FRONT_PORT, "ready": READY_PORT, "control": CONTROL_PORT}
            lines += [f"listen.{purpose}={ip}:{port}" for purpose, port in ports.items()]
        else:
            lines += [f"app={app}", "service=llm"]
        path = self._folder / f"{name}.conf"
        path.write_text("\n".join(lines) + "\n")
        self.machines.append(Machine(name, role, ip, path))

    async def _supervise(self, machine: Machine) -> None:
        """Restart the process of a machine whenever it ends, until the fleet closes."""
        loop = asyncio.get_running_loop()
        environment = {**os.environ, "SKYLARKRACK_BOOT": str(machine.settings_path)}
        log_path = self._folder / f"{machine.name}.log"
        while machine.is_supervised:
            output = os.open(log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
            try:
                machine.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    str(ROOT / "src" / "skylarkrackd.py"),
                    machine.role,
                    env=environment,
                    stdout=output,
                    stderr=output,
                    preexec_fn=partial(kill_on_parent_exit, os.getpid()),
                )
            finally:
                os.close(output)
            machine.started_s = loop.time()
            await machine.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
