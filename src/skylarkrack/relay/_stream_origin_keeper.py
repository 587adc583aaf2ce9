"""Keeps origins of streams beside an engine, for entries that are killed and started again."""

from skylarkrack._metrics import Metrics
from skylarkrack.core.relay import StreamOrigin, StreamOrigins
from skylarkrack.messages import BegunStreams, StreamOriginAnswers
from skylarkrack.relay._peers import Peers


class StreamOriginKeeper:
    """Holds the origins that entries send to an agent, and answers their questions.

    Which software version the agent's own engine runs doesn't matter.
    """

    __slots__ = ("_metrics", "_origins", "_peers")

    def __init__(self, peers: Peers, *, metrics: Metrics) -> None:
        self._peers = peers
        self._metrics = metrics
        self._origins = StreamOrigins()

    def count(self) -> int:
        """Return the number of origins that are held."""
        return self._origins.count()

    def receive(self, message: BegunStreams, now_ms: float) -> None:
        """Record the origins that an entry sent, and answer its questions."""
        for key, service, version in message.begun:
            origin = StreamOrigin(service=service, software_version=version)
            self._origins.receive(key, origin, now_ms)
        if message.begun:
            self._metrics.count("stream_origins_received_total", amount=len(message.begun))
        answers = []
        for key, service in message.asked:
            origin = self._origins.find(key, now_ms)
            if origin is None:
                answers.append([key, None, None, self._origins.begun_versions(service, now_ms)])
            else:
                answers.append([key, origin.service, origin.software_version, []])
            label = "unknown" if origin is None else "known"
            self._metrics.count("stream_origin_answers_total", label)
        if answers:
            own = self._peers.own
            self._peers.send(
                StreamOriginAnswers(
                    vm=own.vm, address=own.address, domain=own.domain, answers=answers
                ),
                message.address,
            )

    def forget_old(self, now_ms: float) -> None:
        """Forget the origins that no caller waits for any more."""
        self._origins.forget_old(now_ms)
