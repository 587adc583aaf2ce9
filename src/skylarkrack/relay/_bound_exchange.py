"""Exchange of which endpoints are cold or paced, between entries."""

from collections.abc import Iterator

from skylarkrack._events import Event, log
from skylarkrack._metrics import Metrics
from skylarkrack.core.relay import ColdReport, Dispatcher, EndpointKey, PaceNotice, PaceReport
from skylarkrack.messages import EndpointBounds, HomeNotice
from skylarkrack.relay._peers import Peers

MAX_ENDPOINTS_PER_MESSAGE = 200
"""Endpoints in one message; further ones are sent in further messages."""


class BoundExchange:
    """Sends what this entry knows of cold and paced endpoints, and merges what others know.

    Times are ms.
    """

    __slots__ = ("_began_ms_by_key", "_dispatcher", "_metrics", "_peers")

    def __init__(self, peers: Peers, *, dispatcher: Dispatcher, metrics: Metrics) -> None:
        self._peers = peers
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._began_ms_by_key: dict[EndpointKey, float] = {}

    # Sending

    def send_due(self, now_ms: float) -> None:
        """Send what is due to all entries and to homes, and log what has changed."""
        cold, pace = self._dispatcher.cold, self._dispatcher.pace
        is_home = self._dispatcher.rate_limits.homes_in_tick()
        began, ended = cold.advance(now_ms)
        for key in began:
            self._log_cold(key, now_ms)
        for key in ended:
            log(Event.ENDPOINT_WARM, address=key[0], started_ms=key[1])
            self._dispatcher.paces.begin(key, now_ms)
        cold_rows = [_cold_row(report) for report in cold.take_reports(now_ms, is_home=is_home)]
        reports, notices = pace.advance(now_ms, is_home=is_home)
        self._log_pace(now_ms)
        for message in self._messages(cold_rows, [_pace_row(report) for report in reports]):
            self._peers.broadcast_to_entries(message)
        self._send_notices(notices)

    def tell_home(self, key: EndpointKey, address: str, now_ms: float) -> None:
        """Tell an endpoint's home at *address* that it is cold, if that is due."""
        report = self._dispatcher.cold.report_to_home(key, now_ms)
        if report is not None:
            notice = HomeNotice(**self._peers.sender_fields, cold=[_cold_row(report)], paced=[])
            self._peers.send(notice, address)

    def send_all(self, address: str, now_ms: float) -> None:
        """Send every cold endpoint to an entry that is new or was silent.

        Homes report their paced endpoints soon anyway.
        """
        rows = [_cold_row(report) for report in self._dispatcher.cold.all_reports(now_ms)]
        for message in self._messages(rows, []):
            self._peers.send(message, address)

    # Receiving

    def receive(self, message: EndpointBounds, now_ms: float) -> None:
        """Merge the reports of another entry; raises `ValueError` for an invalid row."""
        self._receive_cold(message.cold, now_ms)
        for address, started_ms, window, good in message.paced:
            report = PaceReport(key=(address, started_ms), window=float(window), good=float(good))
            self._dispatcher.paces.receive_report(report, now_ms)

    def receive_notice(self, message: HomeNotice, now_ms: float) -> None:
        """Apply what another entry tells this one, the home of endpoints.

        Raises `ValueError` for an invalid row.
        """
        self._receive_cold(message.cold, now_ms)
        for address, started_ms, in_flight, in_time, late in message.paced:
            notice = PaceNotice(
                key=(address, started_ms),
                in_flight=max(0, int(in_flight)),
                in_time=max(0, int(in_time)),
                late=max(0, int(late)),
            )
            self._dispatcher.paces.receive_notice(message.vm, notice, now_ms)

    def _receive_cold(self, rows: list[list], now_ms: float) -> None:
        for address, started_ms, domain, per_s, certain_ms, assumed_ms in rows:
            report = ColdReport(
                key=(address, started_ms),
                domain=domain,
                per_s=float(per_s),
                certain_ms=float(certain_ms),
                assumed_ms=float(assumed_ms),
            )
            self._dispatcher.cold.receive_report(report, now_ms)

    def _send_notices(self, notices: list[PaceNotice]) -> None:
        if not notices:
            return
        address_by_entry = self._peers.address_by_entry()
        rows_by_address: dict[str, list[list]] = {}
        for notice in notices:
            address = address_by_entry.get(self._dispatcher.rate_limits.home_of(notice.key))
            if address is not None:
                row = [*notice.key, notice.in_flight, notice.in_time, notice.late]
                rows_by_address.setdefault(address, []).append(row)
        for address, rows in rows_by_address.items():
            for first in range(0, len(rows), MAX_ENDPOINTS_PER_MESSAGE):
                paced = rows[first : first + MAX_ENDPOINTS_PER_MESSAGE]
                self._peers.send(
                    HomeNotice(**self._peers.sender_fields, cold=[], paced=paced), address
                )

    def _messages(self, cold: list[list], paced: list[list]) -> Iterator[EndpointBounds]:
        for first in range(0, max(len(cold), len(paced)), MAX_ENDPOINTS_PER_MESSAGE):
            last = first + MAX_ENDPOINTS_PER_MESSAGE
            yield EndpointBounds(
                **self._peers.sender_fields, cold=cold[first:last], paced=paced[first:last]
            )

    # Logging

    def _log_cold(self, key: EndpointKey, now_ms: float) -> None:
        cold = self._dispatcher.cold
        log(
            Event.ENDPOINT_COLD,
            address=key[0],
            started_ms=key[1],
            service=cold.service_of(key),
            per_s=cold.per_s(key, now_ms),
            certain=cold.is_certain(key, now_ms),
        )
        self._metrics.count("cold_endpoints_total", cold.service_of(key))

    def _log_pace(self, now_ms: float) -> None:
        pace, cold = self._dispatcher.pace, self._dispatcher.cold
        paced = set(pace.paced_keys())
        for key in paced - self._began_ms_by_key.keys():
            self._began_ms_by_key[key] = now_ms
            log(
                Event.PACE_BEGAN,
                address=key[0],
                started_ms=key[1],
                service=cold.service_of(key),
                window=pace.window(key),
            )
            self._metrics.count("paces_total", cold.service_of(key))
        for key in self._began_ms_by_key.keys() - paced:
            took_ms = now_ms - self._began_ms_by_key.pop(key)
            log(Event.PACE_ENDED, address=key[0], started_ms=key[1], took_ms=round(took_ms))
            self._metrics.observe_ms("pace_ms", took_ms, cold.service_of(key))


def _cold_row(report: ColdReport) -> list:
    left_ms = round(report.certain_ms), round(report.assumed_ms)
    return [*report.key, report.domain, report.per_s, *left_ms]


def _pace_row(report: PaceReport) -> list:
    return [*report.key, report.window, report.good]
