"""What an entry tells other entries and agents, and what it hears from them."""

from dataclasses import replace

from skylarkrack._clock import monotonic_ms
from skylarkrack.core.relay import (
    AGENT,
    Endpoint,
    EngineHeard,
    EngineState,
    Key,
    Name,
    Outcomes,
    Work,
    digest_of_endpoint,
)
from skylarkrack.messages import AdapterDemand, EngineTold, EngineUnchanged, RelayState
from skylarkrack.relay._handover import Handover
from skylarkrack.relay._parts import EntryParts
from skylarkrack.relay._peers import ENTRY, Peers
from skylarkrack.relay._settings import RelaySettings

TICK_MS = 50.0
"""Time between looks at what has to be told."""

BUSY_TELL_MS = 100.0
"""Time between states told to other entries while requests run."""

IDLE_TELL_MS = 400.0
"""The same without requests; below the age at which a peer's state is dropped."""

TELL_ALL_MS = 2000.0
"""Time between tellings of every organisation's grants; a lost datagram is made good by then."""

ENTRIES_AT_FULL_PACE = 10
"""With more entries each tells less often: what one hears grows slower than their number."""

DEMAND_MS = 500.0
"""Time between demands told to an agent whose engine has runs of this entry; a new adapter in use
is told at once."""

IDLE_DEMAND_MS = 1000.0
"""The same without runs: the agent still learns under which id its engine is registered."""

RETRY_PART = 0.5
"""Part of the fleet's retry slack that all entries together save up."""


class Conversation:
    """Datagrams from and to the other processes, and who they are."""

    __slots__ = (
        "_agent_by_endpoint",
        "_base_by_endpoint",
        "_demanded_ms_by_key",
        "_handover",
        "_heard_by_endpoint",
        "_incarnation",
        "_parts",
        "_peers",
        "_sequence",
        "_settings",
        "_told_all_ms",
        "_told_granted",
        "_told_in_use_by_key",
        "_told_ms",
    )

    def __init__(
        self,
        settings: RelaySettings,
        *,
        parts: EntryParts,
        handover: Handover,
        incarnation: str,
    ) -> None:
        self._settings = settings
        self._parts = parts
        self._handover = handover
        self._incarnation = incarnation
        self._peers = Peers(settings, ENTRY, hear=self._hear, greet=lambda contact: None)
        self._agent_by_endpoint: dict[str, str] = {}
        self._heard_by_endpoint: dict[str, tuple[str, int]] = {}
        self._base_by_endpoint: dict[str, tuple[tuple[str, int], EngineHeard]] = {}
        self._demanded_ms_by_key: dict[Key, float] = {}
        self._told_in_use_by_key: dict[Key, frozenset] = {}
        self._sequence = 0
        self._told_ms = 0.0
        self._told_all_ms = float("-inf")
        self._told_granted: dict[str, float] = {}

    async def start(self) -> None:
        """Listen."""
        await self._peers.start()

    def close(self) -> None:
        """Stop listening."""
        self._peers.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other addresses to begin with."""
        self._peers.set_seeds(seeds)

    def describe(self) -> dict[str, list[str]]:
        """Return the VMs that were heard lately, by role."""
        return {
            role: [contact.vm for contact in self._peers.alive(role)] for role in (ENTRY, AGENT)
        }

    def count_entries(self) -> int:
        """Return how many entries were heard lately, with this one."""
        return len(self._peers.alive(ENTRY)) + 1

    # What other processes tell

    def _hear(self, message: object, now_ms: float) -> None:
        if isinstance(message, RelayState):
            self._hear_entry(message, now_ms)
        elif isinstance(message, EngineTold):
            self._hear_engine(message, now_ms)
        elif isinstance(message, EngineUnchanged):
            self._hear_unchanged(message, now_ms)

    def _hear_entry(self, message: RelayState, now_ms: float) -> None:
        self._handover.compare(message.status, message.table_version, message.announced)
        self._parts.usage.heard(
            message.vm,
            message.incarnation,
            message.granted,
            is_complete=message.is_complete,
            now_ms=now_ms,
        )
        self._parts.crashes.told(message.suspects, now_ms)
        directory = self._parts.dispatcher.directory
        rows = [(directory.key_of(row[0]), row) for row in message.loads]
        work_by_key = {key: _work_of(row) for key, row in rows if key is not None}
        self._parts.dispatcher.told_work(message.vm, work_by_key, now_ms)

    def _hear_engine(self, message: EngineTold, now_ms: float) -> None:
        if self._is_overtaken(message):
            return
        self._agent_by_endpoint[message.endpoint] = message.address
        self._heard_by_endpoint[message.endpoint] = (message.incarnation, message.sequence)
        state = EngineState(
            received_ms=now_ms,
            resident=_by_name(message.resident),
            on_the_way=_by_name(message.on_the_way),
            spare_places=message.spare_places,
        )
        key = (message.endpoint, message.started_ms)
        base = (message.incarnation, message.sequence)
        self._base_by_endpoint[message.endpoint] = (base, EngineHeard(key=key, state=state))
        is_news = self._parts.dispatcher.observe(EngineHeard(key=key, state=state))
        if message.is_retiring:
            self.tell_demand_soon(key)
        if is_news and self._parts.dispatcher.waiting_count():
            self._parts.desk.wake()

    def _hear_unchanged(self, message: EngineUnchanged, now_ms: float) -> None:
        base, heard = self._base_by_endpoint.get(message.endpoint, (None, None))
        if base != (message.incarnation, message.base) or self._is_overtaken(message):
            # The telling that it repeats was lost; the next whole one is not far.
            return
        self._heard_by_endpoint[message.endpoint] = (message.incarnation, message.sequence)
        state = replace(heard.state, received_ms=now_ms, spare_places=message.spare_places)
        self._parts.dispatcher.observe(EngineHeard(key=heard.key, state=state))

    def _is_overtaken(self, message: EngineTold | EngineUnchanged) -> bool:
        """Tell whether a later telling of the agent came first: what this one says is past."""
        incarnation, sequence = self._heard_by_endpoint.get(message.endpoint, ("", 0))
        return incarnation == message.incarnation and sequence > message.sequence

    # What this process tells

    def tell(self, now_ms: float) -> None:
        """Tell whoever is due."""
        self._parts.usage.forget_silent(now_ms)
        self._tell_entries(now_ms)
        self._tell_agents(now_ms)
        self._peers.call_silent(now_ms)

    def _tell_entries(self, now_ms: float) -> None:
        own = self._parts.dispatcher.own_work(now_ms)
        entries = self._peers.alive(ENTRY)
        pace = max(1.0, len(entries) / ENTRIES_AT_FULL_PACE)
        pause_ms = min(IDLE_TELL_MS, BUSY_TELL_MS * pace) if own else IDLE_TELL_MS
        if now_ms - self._told_ms < pause_ms - TICK_MS / 2:
            return
        self._told_ms = now_ms
        self._share_retries(len(entries) + 1)
        if not entries:
            return
        self._sequence += 1
        table = self._parts.dispatcher.table
        granted, is_complete = self._granted_to_tell(now_ms)
        state = RelayState(
            vm=self._settings.vm,
            address=self._settings.peers,
            incarnation=self._incarnation,
            sequence=self._sequence,
            domain=self._settings.domain,
            passes_on=self._settings.passes_on,
            status=self._settings.status or "",
            table_version=0 if table is None else table.version,
            announced=self._parts.dispatcher.announced,
            granted=granted,
            is_complete=is_complete,
            suspects=self._parts.crashes.telling(),
            loads=[[digest_of_endpoint(key), *_row_of(work)] for key, work in own.items()],
        )
        self._peers.tell_entries(state)

    def _granted_to_tell(self, now_ms: float) -> tuple[dict[str, float], bool]:
        """Return what changed since all was told last, or all if that was long ago."""
        granted = self._parts.usage.granted()
        if now_ms - self._told_all_ms >= TELL_ALL_MS:
            self._told_all_ms, self._told_granted = now_ms, granted
            return granted, True
        changed = {name: n for name, n in granted.items() if n != self._told_granted.get(name)}
        return changed, False

    def _share_retries(self, entries: int) -> None:
        most = max(1.0, self._settings.retry_slack * RETRY_PART / entries)
        for budget in self._parts.retries_by_service.values():
            budget.set_most(most)

    def _tell_agents(self, now_ms: float) -> None:
        for endpoint in self._parts.dispatcher.directory.all():
            in_use = self._parts.dispatcher.load.own_adapters(endpoint.key).keys()
            pause_ms = DEMAND_MS if in_use else IDLE_DEMAND_MS
            is_news = not in_use <= self._told_in_use_by_key.get(endpoint.key, frozenset())
            if is_news or self._parts.dispatcher.wanted_at(endpoint.key):
                pause_ms = TICK_MS
            told_ms = self._demanded_ms_by_key.get(endpoint.key, float("-inf"))
            if now_ms - told_ms >= pause_ms - TICK_MS / 2:
                self._tell_agent(endpoint, now_ms)

    def tell_demand_soon(self, key: Key) -> None:
        """Tell an agent at once what is used and waited for at its engine."""
        for endpoint in self._parts.dispatcher.directory.all():
            if endpoint.key == key:
                self._tell_agent(endpoint, monotonic_ms())

    def _tell_agent(self, endpoint: Endpoint, now_ms: float) -> None:
        address = self._agent_by_endpoint.get(endpoint.address)
        shape = self._parts.dispatcher.shape_of(endpoint)
        if address is None or shape is None:
            return
        self._demanded_ms_by_key[endpoint.key] = now_ms
        self._sequence += 1
        heard_of, heard = self._heard_by_endpoint.get(endpoint.address, ("", 0))
        wanted = self._parts.dispatcher.wanted_at(endpoint.key)
        in_use = self._parts.dispatcher.load.own_adapters(endpoint.key)
        self._told_in_use_by_key[endpoint.key] = frozenset(in_use)
        demand = AdapterDemand(
            vm=self._settings.vm,
            address=self._settings.peers,
            incarnation=self._incarnation,
            sequence=self._sequence,
            domain=self._settings.domain,
            passes_on=self._settings.passes_on,
            endpoint_id=endpoint.endpoint_id,
            started_ms=endpoint.started_ms,
            wanted=[[*n, w.urgency, w.requests, w.version] for n, w in wanted.items()],
            in_use=[[*name, count] for name, count in in_use.items()],
            places=shape.adapter_places,
            memory_mb=shape.memory_mb,
            models=[[m.name, m.weights_mb] for m in shape.model_by_name.values()],
            heard_of=heard_of,
            heard=heard,
        )
        self._peers.send(demand, address)


def _by_name(rows_by_model: dict[str, list]) -> dict[Name, int]:
    return {(model, row[0]): row[1] for model, rows in rows_by_model.items() for row in rows}


def _row_of(work: Work) -> tuple[int, ...]:
    outcomes = work.outcomes
    return (
        work.runs,
        work.tokens,
        work.prompts,
        work.reserved,
        outcomes.answered,
        outcomes.failed,
    )


def _work_of(row: list) -> Work:
    _, runs, tokens, prompts, reserved, answered, failed = row
    return Work(
        runs=runs,
        tokens=tokens,
        prompts=prompts,
        reserved=reserved,
        outcomes=Outcomes(answered=answered, failed=failed),
    )
