"""Exchange of the origins of streams between entries, and with the agents that keep them."""

from collections.abc import Iterable

from skylarkrack._clock import monotonic_ms
from skylarkrack._events import Event, log
from skylarkrack._metrics import Metrics
from skylarkrack.core.relay import (
    KEEPERS,
    MAX_ASKED,
    ORIGIN_COPIES,
    ORIGIN_TTL_MS,
    EndpointDirectory,
    StreamKeepers,
    StreamOrigin,
    VersionView,
    homes_of,
)
from skylarkrack.messages import BegunStreams, StreamOriginAnswers
from skylarkrack.relay._peers import Peers
from skylarkrack.relay._registry import RegistryHistory
from skylarkrack.relay._stream_origin_lookup import StreamOriginLookup

MAX_STREAMS_PER_MESSAGE = 500
"""Streams in one message; further ones are sent in further messages."""

AGENTS_CHECK_MS = 250.0
"""Time between checks of which agents live. With 10,000 of them a check takes 1.3 to 1.7 ms, and
1.7 ms more where one has come or gone."""

FEW_AGENTS = 100
"""Number of known agents below which a new one is taken up at once, soon after the start."""

MAX_NAME_CHARS = 200
"""Longest service and software version of an origin that is sent, so that a message is never too
large for a datagram; registrations may name anything."""


class StreamOriginExchange:
    """Sends origins to the keepers and homes of their streams, and asks and answers others.

    Implements `OriginPeers`. *history* is set before the first request, if the registry has one.
    """

    __slots__ = (
        "_address_by_agent",
        "_agents_checked_ms",
        "_directory",
        "_has_joined",
        "_incarnation_by_address",
        "_keepers",
        "_lookup",
        "_metrics",
        "_peers",
        "history",
    )

    def __init__(
        self,
        peers: Peers,
        *,
        lookup: StreamOriginLookup,
        directory: EndpointDirectory,
        metrics: Metrics,
    ) -> None:
        self._peers = peers
        self._lookup = lookup
        self._directory = directory
        self._metrics = metrics
        self._keepers = StreamKeepers()
        self._address_by_agent: dict[str, str] = {}
        self._incarnation_by_address: dict[str, str] = {}
        self._has_joined = False
        self._agents_checked_ms = float("-inf")
        self.history: RegistryHistory | None = None
        lookup.peers = self

    # Agents

    def agent_joined(self) -> None:
        """Record that an agent is new, or returned after it was lost."""
        self._has_joined = True

    def agent_reported(self, vm: str, address: str, incarnation: str) -> None:
        """Record which incarnation of an agent sent a report; a new one has lost its origins."""
        if self._incarnation_by_address.setdefault(address, incarnation) != incarnation:
            self._incarnation_by_address[address] = incarnation
            self._keepers.forget_rows_of(vm)

    def _update_agents(self, now_ms: float) -> None:
        is_new = self._has_joined and len(self._address_by_agent) < FEW_AGENTS
        if not is_new and now_ms - self._agents_checked_ms < AGENTS_CHECK_MS:
            return
        self._has_joined, self._agents_checked_ms = False, now_ms
        self._address_by_agent = self._peers.address_by_agent()
        self._keepers.set_agents(self._address_by_agent)
        for address in self._incarnation_by_address.keys() - self._address_by_agent.values():
            del self._incarnation_by_address[address]

    # Sending

    def send_due(self, now_ms: float) -> None:
        """Record the versions of the registered endpoints, and send the origins that are due."""
        origins = self._lookup.origins
        versions_by_service: dict[str, set[str]] = {}
        for endpoint in self._directory.all():
            versions = versions_by_service.setdefault(endpoint.service, set())
            versions.add(endpoint.software_version)
        origins.see_versions(versions_by_service, now_ms)
        origins.miss_until(self._directory.unknown_until_ms(now_ms))
        self._update_agents(now_ms)
        self._send_to_new_keepers(now_ms)
        unsent = origins.take_unsent(now_ms)
        if not unsent:
            return
        address_by_vm = self._peers.address_by_entry()
        rows_by_address: dict[str, list] = {}
        for key, origin in unsent:
            for vm in homes_of(key, address_by_vm, ORIGIN_COPIES):
                rows_by_address.setdefault(address_by_vm[vm], []).append(_row(key, origin))
        self._send_rows(rows_by_address)

    def send_begun(self, key: bytes, origin: StreamOrigin) -> None:
        """Send the origin of a stream to its keepers, without waiting for an answer."""
        if self._is_kept_by_agents(origin):
            if len(self._address_by_agent) < KEEPERS:
                self._update_agents(monotonic_ms())
            addresses = [self._address_by_agent[vm] for vm in self._keepers.keepers_of(key)]
            self._peers.send(self._message(begun=[_row(key, origin)]), *addresses)
            self._metrics.count("stream_origins_sent_total", amount=len(addresses))

    def _send_to_new_keepers(self, now_ms: float) -> None:
        rows_by_address: dict[str, list] = {}
        due = self._keepers.take_due(self._lookup.origins.own, now_ms)
        for key, agents in due:
            origin = self._lookup.origins.find(key, now_ms)
            if origin is not None and self._is_kept_by_agents(origin):
                for vm in agents:
                    # The ring of the check may hold an agent that was lost since.
                    if vm in self._address_by_agent:
                        rows = rows_by_address.setdefault(self._address_by_agent[vm], [])
                        rows.append(_row(key, origin))
        if rows_by_address:
            sent = sum(len(rows) for rows in rows_by_address.values())
            log(Event.ORIGINS_RESENT, origins=sent, agents=len(rows_by_address))
            self._metrics.count("stream_origins_resent_total", amount=sent)
            self._send_rows(rows_by_address)

    def _is_kept_by_agents(self, origin: StreamOrigin) -> bool:
        """Return whether agents are told of an origin: the registrations state versions."""
        has_versions = origin.software_version or self._lookup.origins.is_mixed(origin.service)
        return bool(has_versions) and (
            max(len(origin.service), len(origin.software_version)) <= MAX_NAME_CHARS
        )

    def _send_rows(self, rows_by_address: dict[str, list]) -> None:
        for address, rows in rows_by_address.items():
            for first in range(0, len(rows), MAX_STREAMS_PER_MESSAGE):
                message = self._message(begun=rows[first : first + MAX_STREAMS_PER_MESSAGE])
                self._peers.send(message, address)

    # Asking and answering

    def ask_first(self, key: bytes, service: str) -> tuple[list[str], list[str]]:
        """Ask the agents that should know a stream, and entries; return the addresses of both."""
        self._update_agents(monotonic_ms())
        agents = [self._address_by_agent[vm] for vm in self._keepers.asked_first(key)]
        address_by_vm = self._peers.address_by_entry()
        entries = [address_by_vm[vm] for vm in homes_of(key, address_by_vm, MAX_ASKED)]
        self._peers.send(self._message(asked=[[key, service]]), *agents, *entries)
        return agents, entries

    def ask_others(self, key: bytes, service: str) -> list[str]:
        """Ask further agents for the origin of a stream; return their addresses."""
        agents = [self._address_by_agent[vm] for vm in self._keepers.asked_next(key)]
        self._peers.send(self._message(asked=[[key, service]]), *agents)
        return agents

    def ask_again(self, key: bytes, service: str, addresses: Iterable[str]) -> None:
        """Repeat the question to those that have not answered."""
        self._peers.send(self._message(asked=[[key, service]]), *addresses)

    def view_of(self, service: str, began_within_ms: float = ORIGIN_TTL_MS) -> VersionView:
        """Return what this entry knows of the versions that a service had since then."""
        return self._lookup.origins.view_of(
            service,
            self._directory.all(),
            monotonic_ms(),
            confirmed_ms=self._directory.confirmed_ms(),
            began_within_ms=began_within_ms,
        )

    async def recall(self, service: str) -> None:
        """Read what the registry remembers of the versions that a service had, if it does."""
        if self.history is None:
            return
        asked_ms = monotonic_ms()
        endpoints = list(self._directory.all())
        history = await self.history.recall(len(endpoints))
        covered_ms, versions = 0.0, set()
        if history is not None:
            covered_ms = history.covered_ms(service, endpoints)
            versions = history.versions_of(service)
            self._lookup.origins.recall(service, versions, covered_ms, asked_ms)
        log(
            Event.VERSIONS_RECALLED,
            service=service,
            versions=sorted(versions),
            covered_ms=round(covered_ms),
            writes=None if history is None else len(history.writes),
        )

    def versions_of(self, service: str) -> set[str]:
        """Return the versions of the service's registered endpoints."""
        endpoints = self._directory.all()
        return {each.software_version for each in endpoints if each.service == service}

    def receive(self, message: BegunStreams) -> None:
        """Record the origins that another entry sent, and answer its questions."""
        now_ms, origins = monotonic_ms(), self._lookup.origins
        for key, service, version in message.begun:
            origins.receive(key, StreamOrigin(service=service, software_version=version), now_ms)
        answers = []
        for key, service in message.asked:
            origin = origins.find(key, now_ms)
            if origin is None:
                answers.append([key, None, None, int(self.view_of(service))])
            else:
                answers.append([*_row(key, origin), int(VersionView.UNKNOWN)])
        if answers:
            self._peers.send(self._message(answers=answers), message.address)
        for key, service, version, view in message.answers:
            origin = _origin_from(service, version)
            self._lookup.receive_answer(key, message.address, origin, view=_view_from(view))

    def receive_from_agent(self, message: StreamOriginAnswers) -> None:
        """Apply the answers of an agent."""
        for key, service, version, begun_versions in message.answers:
            self._lookup.receive_answer(
                key,
                message.address,
                _origin_from(service, version),
                begun_versions=begun_versions,
            )

    def _message(self, *, begun: list = (), asked: list = (), answers: list = ()) -> BegunStreams:
        return BegunStreams(
            **self._peers.sender_fields,
            begun=list(begun),
            asked=list(asked),
            answers=list(answers),
        )


def _row(key: bytes, origin: StreamOrigin) -> list:
    return [key, origin.service, origin.software_version]


def _origin_from(service: str | None, version: str | None) -> StreamOrigin | None:
    return None if service is None else StreamOrigin(service=service, software_version=version)


def _view_from(value: int | bool) -> VersionView:
    """Return what an entry's answer says of a service's versions.

    Older builds send a boolean. Their "not several" may come from an entry that has just started.
    """
    if isinstance(value, bool):
        return VersionView.SEVERAL if value else VersionView.UNKNOWN
    return VersionView(value)
