"""A fleet in this process whose entries are killed while streams run at two software versions.

An entry is killed by closing it without notice to the others.
"""

import asyncio
import time
import unittest

from skylarkrack.core._hashing import HashRing
from skylarkrack.core.relay import AGENT, KEEPERS, stream_key
from skylarkrack.messages import BegunStreams
from skylarkrack.relay import EngineAgent
from skylarkrack.relay._peers import ENTRY, Peers
from standins.platform_worker import PlatformWorker, resumable
from tests.platform_builders import EntryHarness, model_request
from tests.registration_history_builders import StubHistory
from tests.test_relay_fleet import FakeEngine, settings, until

EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n")
AGENTS = 5
ORGANISATION = "singers"


def keepers_of(name: str, agents: int = AGENTS) -> list[int]:
    """Return the numbers of the agents that keep the origin of the stream *name*."""
    ring = HashRing(f"s{number}" for number in range(agents))
    return [int(vm[1:]) for vm in ring.first(stream_key(ORGANISATION, name).hex(), KEEPERS)]


class RestartCase(unittest.IsolatedAsyncioTestCase):
    """Agents that live on, endpoints of v1, v1.1 and v1.2, and entries that come and go."""

    async def asyncSetUp(self) -> None:
        self.workers = {
            version: PlatformWorker([resumable(EVENTS, breaks_after=1)])
            for version in ("v1", "v1.1", "v1.2")
        }
        self.old, self.new, self.newest = self.workers.values()
        self.agents: dict[int, EngineAgent] = {}
        self.seeds: list[str] = []
        self.entries: list[EntryHarness] = []
        self.attempts = 0
        for number in range(self.count_agents()):
            await self.start_agent(number)

    def count_agents(self) -> int:
        """Return the number of agents at the start."""
        return AGENTS

    async def start_agent(self, number: int, *, peers: str | None = None) -> None:
        """Start an agent beside an engine that no entry uses; *peers* is that of one before it."""
        changes = {} if peers is None else {"peers": peers}
        agent_settings = settings(f"s{number}", engine=f"10.0.0.{number}:9", **changes)
        incarnation = f"s{number}-{peers}"
        agent = EngineAgent(agent_settings, engine=FakeEngine(), incarnation=incarnation, fence=1)
        await agent.start()
        self.addAsyncCleanup(agent.close)
        self.agents[number] = agent
        if peers is None:
            self.seeds.append(agent_settings.peers)

    async def kill_agents(self, *numbers: int) -> None:
        """Kill agents, which lose all that they kept."""
        for number in numbers:
            await self.agents.pop(number).close()
        # The event loop closes their sockets with its next turn.
        await asyncio.sleep(0.01)

    async def restart_agent(self, number: int) -> None:
        """Kill an agent and start it again at the same address."""
        peers = self.agents[number]._settings.peers
        await self.kill_agents(number)
        await self.start_agent(number, peers=peers)

    async def start_peer(self, vm: str, role: str, answers: list | None = None) -> None:
        """Start a process of the previous build; an agent of it never answers a question.

        An entry of it answers with *answers* behind the key: service, version, whether mixed.
        """
        peer_settings = settings(vm)

        def on_message(message: object, now_ms: float) -> None:
            if isinstance(message, BegunStreams) and message.asked and answers is not None:
                rows = [[key, *answers] for key, _ in message.asked]
                fields = {**peers.sender_fields, "begun": [], "asked": [], "answers": rows}
                peers.send(BegunStreams(**fields), message.address)

        peers = Peers(peer_settings, role, on_message=on_message, on_join=lambda contact: None)
        await peers.start()
        self.addCleanup(peers.close)
        self.seeds.append(peer_settings.peers)

    async def start_entry(
        self,
        vm: str,
        *workers: PlatformWorker,
        age_s: float = 3600.0,
        waits: bool = True,
        history: StubHistory | None = None,
    ) -> EntryHarness:
        """Start an entry that knows *workers*, whose endpoints were born *age_s* ago.

        Unless it *waits*, the entry doesn't know the agents yet.
        """
        version_of = {id(worker): version for version, worker in self.workers.items()}
        harness = EntryHarness(
            *workers,
            service="llm",
            software_versions=tuple(version_of[id(worker)] for worker in workers),
            vm=vm,
            seeds=tuple(self.seeds),
            started_ms=round((time.time() - age_s) * 1000),
            history=history,
        )
        self.entries.append(await self.enterAsyncContext(harness))
        if waits:
            await until(lambda: self.known_to(harness, AGENT) >= len(self.agents))
        return harness

    def known_to(self, harness: EntryHarness, role: str = ENTRY) -> int:
        """Return how many live processes of *role* an entry knows."""
        return len(harness.entry.describe()["members"][role])

    def keeping(self) -> int:
        """Return how many origins all agents hold."""
        return sum(agent.describe()["stream_origins"] for agent in self.agents.values())

    async def kill_entries(self) -> None:
        """Kill all entries at once."""
        for harness in self.entries:
            await harness.entry.close()
        self.entries.clear()

    async def begin(self, harness: EntryHarness, worker: PlatformWorker, name: str = "r1") -> None:
        """Begin the stream *name* at *worker*."""
        harness.list_workers(worker)
        await harness.send_raw(model_request("/draft/1", request_id=name))
        harness.list_workers()

    async def take_up(self, harness: EntryHarness, name: str = "r1") -> bytes:
        """Take the stream *name* up behind its first event; return the response."""
        self.attempts += 1
        headers = f"Resumes: {name}\r\nLast-Event-Id: 1\r\n"
        attempt = model_request("/draft/1", request_id=f"t{self.attempts}", headers=headers)
        return await harness.send_raw(attempt)

    def served(self) -> list[int]:
        """Return how many requests the endpoints of each version have got."""
        return [len(worker.received) for worker in self.workers.values()]
