"""Exchange of endpoints' rate limits between entries and to agents, and of permits to send."""

import math
from collections.abc import Iterator, Mapping

from skylarkrack._clock import monotonic_ms
from skylarkrack._events import Event, log
from skylarkrack.core.relay import EndpointKey, RateLimitReport, RateLimits
from skylarkrack.messages import EndpointRateLimits, SendPermits
from skylarkrack.relay._bound_exchange import BoundExchange
from skylarkrack.relay._peers import ENTRY, Peers

MAX_LIMITS_PER_MESSAGE = 200
"""Endpoints in one message; further ones are sent in further messages."""


class RateLimitExchange:
    """Sends this entry's reports and requests for permits, and handles those of others.

    Times are ms.
    """

    __slots__ = ("_bounds", "_limits", "_peers")

    def __init__(self, peers: Peers, *, limits: RateLimits, bounds: BoundExchange) -> None:
        self._peers = peers
        self._bounds = bounds
        self._limits = limits
        limits.set_entries(peers.own.vm, [peers.own.vm], monotonic_ms())

    def send_due(self, agent_address_by_endpoint: dict[str, str], now_ms: float) -> None:
        """Send the reports that are due to all entries, and to the agents of their endpoints."""
        own = self._peers.own
        domain_by_entry = {contact.vm: contact.domain for contact in self._peers.alive(ENTRY)}
        domain_by_entry[own.vm] = own.domain
        self._limits.set_entries(own.vm, domain_by_entry, now_ms, domain_by_entry=domain_by_entry)
        reports = self._limits.take_reports(now_ms)
        for message in self._messages(reports):
            self._peers.broadcast_to_entries(message)
        for report in reports:
            agent_address = agent_address_by_endpoint.get(report.key[0])
            if agent_address is not None:
                self._peers.send(next(self._messages([report])), agent_address)

    def ask(self, waiting_by_key: Mapping[EndpointKey, int], now_ms: float) -> None:
        """Ask the homes of endpoints for permits for the requests that wait there."""
        for key, waiting in waiting_by_key.items():
            home = self._limits.ask(key, now_ms)
            if home is None:
                continue
            address = self._peers.address_by_entry().get(home)
            if address is not None:
                self._bounds.tell_home(key, address, now_ms)
                self._peers.send(self._permits(asked=[[*key, waiting]]), address)

    def send_all(self, address: str, now_ms: float) -> None:
        """Send every limit in force to an entry that is new or was silent."""
        for message in self._messages(self._limits.all_reports(now_ms)):
            self._peers.send(message, address)

    def receive(self, message: EndpointRateLimits, now_ms: float) -> None:
        """Merge the reports of another entry."""
        for report in reports_from(message):
            if self._limits.receive_report(message.vm, report, now_ms):
                log_change(report.key, report.limit_per_s, peer=message.vm)

    def receive_permits(self, message: SendPermits, now_ms: float) -> bool:
        """Answer another entry's questions, and apply its answers; return whether any came."""
        answers = []
        for address, started_ms, waiting in message.asked:
            is_granted, wait_ms, ahead = self._limits.grant(
                (address, started_ms), entry=message.vm, waiting=waiting, now_ms=now_ms
            )
            answers.append([address, started_ms, is_granted, math.ceil(wait_ms), ahead])
        if answers:
            self._peers.send(self._permits(answers=answers), message.address)
        for address, started_ms, is_granted, wait_ms, ahead in message.answers:
            self._limits.receive_permit(
                (address, started_ms),
                is_granted=is_granted,
                wait_ms=wait_ms,
                ahead=ahead,
                now_ms=now_ms,
                entry=message.vm,
            )
        return bool(message.answers)

    def _permits(self, *, asked: list = (), answers: list = ()) -> SendPermits:
        return SendPermits(
            **self._peers.sender_fields,
            asked=list(asked),
            answers=list(answers),
        )

    def _messages(self, reports: list[RateLimitReport]) -> Iterator[EndpointRateLimits]:
        for first in range(0, len(reports), MAX_LIMITS_PER_MESSAGE):
            yield EndpointRateLimits(
                **self._peers.sender_fields,
                limits=[_row(report) for report in reports[first : first + MAX_LIMITS_PER_MESSAGE]],
            )


def reports_from(message: EndpointRateLimits) -> list[RateLimitReport]:
    """Return the reports in a message; raises `ValueError` for an invalid row."""
    return [
        RateLimitReport(
            key=(address, started_ms),
            limit_per_s=math.inf if limit_per_s is None else float(limit_per_s),
            age_ms=float(age_ms),
            recent_sends=recent_sends,
        )
        for address, started_ms, limit_per_s, age_ms, recent_sends in message.limits
    ]


def log_change(key: EndpointKey, limit_per_s: float, *, peer: str) -> None:
    """Log a limit that another process told, or its end."""
    log(
        Event.RATE_LIMIT_CHANGED,
        address=key[0],
        started_ms=key[1],
        limit_per_s=None if math.isinf(limit_per_s) else limit_per_s,
        peer=peer,
    )


def _row(report: RateLimitReport) -> list:
    limit_per_s = None if math.isinf(report.limit_per_s) else report.limit_per_s
    return [*report.key, limit_per_s, round(report.age_ms), report.recent_sends]
