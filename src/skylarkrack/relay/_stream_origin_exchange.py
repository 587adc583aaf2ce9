"""Exchange of the origins of streams between entries."""

from skylarkrack._clock import monotonic_ms
from skylarkrack.core.relay import (
    MAX_ASKED,
    ORIGIN_COPIES,
    EndpointDirectory,
    StreamOrigin,
    homes_of,
)
from skylarkrack.messages import BegunStreams
from skylarkrack.relay._peers import Peers
from skylarkrack.relay._stream_origin_lookup import StreamOriginLookup

MAX_STREAMS_PER_MESSAGE = 500
"""Streams in one message; further ones are sent in further messages."""


class StreamOriginExchange:
    """Sends origins to the homes of their streams, and asks and answers other entries."""

    __slots__ = ("_lookup", "_peers")

    def __init__(self, peers: Peers, *, lookup: StreamOriginLookup) -> None:
        self._peers = peers
        self._lookup = lookup
        lookup.on_ask = self.ask

    def send_due(self, directory: EndpointDirectory, now_ms: float) -> None:
        """Record the versions of the registered endpoints, and send the origins that are due."""
        versions_by_service: dict[str, set[str]] = {}
        for endpoint in directory.all():
            versions = versions_by_service.setdefault(endpoint.service, set())
            versions.add(endpoint.software_version)
        self._lookup.origins.see_versions(versions_by_service, now_ms)
        unsent = self._lookup.origins.take_unsent(now_ms)
        if not unsent:
            return
        address_by_vm = self._peers.address_by_entry()
        rows_by_vm: dict[str, list] = {}
        for key, origin in unsent:
            for vm in homes_of(key, address_by_vm, ORIGIN_COPIES):
                row = [key, origin.service, origin.software_version]
                rows_by_vm.setdefault(vm, []).append(row)
        for vm, rows in rows_by_vm.items():
            for first in range(0, len(rows), MAX_STREAMS_PER_MESSAGE):
                message = self._message(begun=rows[first : first + MAX_STREAMS_PER_MESSAGE])
                self._peers.send(message, address_by_vm[vm])

    def ask(self, key: bytes, service: str) -> int:
        """Ask other entries for the origin of a stream; return how many were asked."""
        address_by_vm = self._peers.address_by_entry()
        asked = homes_of(key, address_by_vm, MAX_ASKED)
        message = self._message(asked=[[key, service]])
        self._peers.send(message, *(address_by_vm[vm] for vm in asked))
        return len(asked)

    def receive(self, message: BegunStreams) -> None:
        """Record the origins that another entry sent, and answer its questions."""
        now_ms, origins = monotonic_ms(), self._lookup.origins
        for key, service, version in message.begun:
            origins.receive(key, StreamOrigin(service=service, software_version=version), now_ms)
        answers = []
        for key, service in message.asked:
            origin = origins.find(key, now_ms)
            row = [None, None] if origin is None else [origin.service, origin.software_version]
            answers.append([key, *row, origins.is_mixed(service)])
        if answers:
            self._peers.send(self._message(answers=answers), message.address)
        for key, service, version, is_mixed in message.answers:
            origin = None
            if service is not None:
                origin = StreamOrigin(service=service, software_version=version)
            self._lookup.receive_answer(key, origin, is_mixed=is_mixed)

    def _message(self, *, begun: list = (), asked: list = (), answers: list = ()) -> BegunStreams:
        return BegunStreams(
            **self._peers.sender_fields,
            begun=list(begun),
            asked=list(asked),
            answers=list(answers),
        )
