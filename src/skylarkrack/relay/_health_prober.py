"""Sends the health probes that are due, and applies their answers."""

import asyncio
import secrets

from skylarkrack._clock import monotonic_ms
from skylarkrack._errors import LinkLost
from skylarkrack._events import Event, log
from skylarkrack.core.relay import PROBE_TIMEOUT_MS, HealthProbe, ProbeResult
from skylarkrack.relay._codec import HealthResponse
from skylarkrack.relay._context import EntryContext
from skylarkrack.relay._exchange import CONNECT_TIMEOUT_MS
from skylarkrack.web import ClientResponse


class _NotAllowed(Exception):
    """Raised when the endpoint may get no request any more once there is a connection."""


class HealthProber:
    """Sends probes to the health paths of endpoints."""

    __slots__ = ("_context",)

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def send_due(self, now_ms: float) -> None:
        """Send the probes that are due at *now_ms*."""
        for probe in self._context.dispatcher.probes.due(now_ms):
            self._context.tasks.spawn(self._probe(probe, now_ms))

    async def _probe(self, probe: HealthProbe, started_ms: float) -> None:
        response, result = None, ProbeResult.SILENT
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_MS / 1000):
                response = await self._request(probe)
            result = response.result
        except _NotAllowed:
            result = ProbeResult.UNSENT
        except LinkLost as error:
            result = ProbeResult.SILENT if error.sent else ProbeResult.UNREACHABLE
        except TimeoutError:
            pass
        finally:
            # Also after an unexpected error, so that a probe never counts as running for ever.
            self._record(probe, result, response, monotonic_ms() - started_ms)
        if result is ProbeResult.HEALTHY:
            self._context.placement_queue.wake()

    async def _request(self, probe: HealthProbe) -> HealthResponse:
        """Send a probe and return what its answer says; raises `LinkLost` or `_NotAllowed`."""
        endpoint, codec = probe.endpoint, self._context.codec
        request_id = f"health-{secrets.token_hex(8)}"
        response = await self._context.clients.client_of(endpoint).request(
            "GET",
            probe.path,
            headers=codec.headers_for_probe(
                request_id, endpoint_id=endpoint.endpoint_id, timeout_ms=PROBE_TIMEOUT_MS
            ),
            timeout_ms=PROBE_TIMEOUT_MS,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            # A failure to connect proves that the endpoint is unreachable.
            fresh=True,
            before_send=lambda _: self._begin_send(probe),
        )
        self._context.tasks.spawn(_end(response))
        return codec.decode_health(response.status, response.headers, endpoint.endpoint_id)

    def _begin_send(self, probe: HealthProbe) -> None:
        dispatcher, endpoint = self._context.dispatcher, probe.endpoint
        if dispatcher.directory.is_evacuated(endpoint):
            raise _NotAllowed
        if not dispatcher.rate_limits.try_send(endpoint.key, monotonic_ms(), is_run=False):
            raise _NotAllowed

    def _record(
        self,
        probe: HealthProbe,
        result: ProbeResult,
        response: HealthResponse | None,
        took_ms: float,
    ) -> None:
        dispatcher, key, now_ms = self._context.dispatcher, probe.endpoint.key, monotonic_ms()
        if not dispatcher.directory.has_key(key):
            return
        cold_left_ms = None if response is None else response.cold_left_ms
        is_from_endpoint = result in (ProbeResult.HEALTHY, ProbeResult.UNHEALTHY)
        if is_from_endpoint and response.is_leaving:
            self._context.placement_queue.mark_leaving(key)
        if is_from_endpoint and response.pause_ms is not None:
            dispatcher.health.record_pause(key, response.pause_ms, now_ms)
        dispatcher.probes.record_result(key, result, now_ms, cold_left_ms=cold_left_ms)
        if result is ProbeResult.UNSENT:
            return
        self._context.metrics.count("health_probes_total", result.value)
        log(
            Event.HEALTH_PROBED,
            endpoint=probe.endpoint.endpoint_id,
            service=probe.endpoint.service,
            address=key[0],
            started_ms=key[1],
            result=result.value,
            status=None if response is None else response.status,
            cold_ms=cold_left_ms,
            trial=probe.is_trial,
            took_ms=round(took_ms),
        )


async def _end(response: ClientResponse) -> None:
    """Read the rest of a response, so that its connection can be used again."""
    try:
        await response.read_body(timeout_ms=PROBE_TIMEOUT_MS, total_ms=PROBE_TIMEOUT_MS)
    except LinkLost:
        pass
    finally:
        response.close()
