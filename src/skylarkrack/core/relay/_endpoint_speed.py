"""Learns how slow each endpoint is at the moment, compared with what is usual for its service.

Sources are the figure that some endpoints report, and what this entry measures: the time between
events of streams, and the latency of plain requests. Where it has measured nothing lately, the
factors of other entries are used.
"""

from dataclasses import dataclass
from statistics import median_low

from skylarkrack.core.relay._directory import Endpoint
from skylarkrack.core.relay._names import EndpointKey
from skylarkrack.core.relay._speed_samples import SpeedSamples, StreamIntervals

PREFILL_TOKENS_PER_MS = 28.0
"""Assumed prefill speed of an engine; the slower of the two kinds of engine in use reaches 29.4."""

MIN_SLOWNESS, MAX_SLOWNESS = 0.5, 4.0
"""Bounds of a slowness. Engines of one service differ by a factor of two; more than four times is a
failure rather than a speed."""

INSIGNIFICANT_FACTOR = 1.2
"""Factor, in both directions, below which an endpoint counts as usual. Quartiles of a few
samples differ by as much between equal endpoints."""

MIN_COMPARED = 2
"""Endpoints of a service with samples, from which their median is what is usual."""

REFERENCE_TTL_MS = 3000.0
"""Age of the newest sample up to which an endpoint counts for what is usual."""

FRESH_MS = 1000.0
"""Age up to which an observation holds unchanged. Older ones of this entry give way to newer ones
of others."""

HALF_LIFE_MS = 3000.0
"""Half-life of the difference from the usual after that, so that a slow endpoint is tried again."""

FIGURE_WEIGHT = 0.5
"""Weight of the newest reported figure, which changes many times a second."""

OBSERVATION_TTL_MS = 20_000.0
"""Age from which an observation is dropped; even the largest has faded to the usual by then."""

REFRESH_MS = 100.0
"""Least time between two computations of the factors."""

REFRESH_MS_PER_ENDPOINT = 1.0
"""Time between two computations for each endpoint that something is known of. A computation takes
some microseconds for each, so that it costs less than a hundredth of a core in any fleet."""

REPORT_INTERVAL_MS = 500.0
"""Time between two messages to the other entries."""

USUAL_REPORTS = 3
"""Messages that tell that an endpoint is as fast as usual again, since datagrams are lost."""

SAME_FACTOR = 1.1
"""Factor within which another entry's report of the last `REPORT_INTERVAL_MS` makes the own one
superfluous, so that the number of messages doesn't grow with the number of entries."""

_INTERVAL, _LATENCY = "interval", "latency"


SLOW_ENGINE_FACTOR = 1.5
"""Factor from which an engine is treated as slow. The time between events also depends on the
prompts that an engine reads, and differs by up to this factor between engines of equal speed."""


def engine_slowness(slowness: float) -> float:
    """Return the slowness that an engine's reading and costs are computed with.

    It is never below 1: an engine may only seem fast because the others read prompts, and one that
    is given more than it can read pauses all of its streams.
    """
    return slowness if slowness >= SLOW_ENGINE_FACTOR else 1.0


def reading_speed(slowness: float = 1.0) -> float:
    """Return the prompt tokens per ms that an engine of this slowness reads."""
    return PREFILL_TOKENS_PER_MS / slowness


@dataclass(frozen=True, slots=True, kw_only=True)
class SpeedReport:
    """What one entry observed of an endpoint's slowness, *age_ms* ago."""

    key: EndpointKey
    slowness: float
    age_ms: float


@dataclass(slots=True)
class _Observation:
    """A slowness, not yet aged, and when it was observed."""

    slowness: float
    observed_ms: float


class EndpointSpeeds:
    """Slowness by endpoint incarnation; 1.0 is usual for the service. Times are ms."""

    __slots__ = (
        "_figure_by_key",
        "_reported_ms",
        "_peers_by_key",
        "_received_by_key",
        "_refreshed_ms",
        "_samples_by_source",
        "_slowness_by_key",
        "_usual_left_by_key",
        "_usual_ms_by_group",
    )

    def __init__(self) -> None:
        self._figure_by_key: dict[EndpointKey, _Observation] = {}
        self._samples_by_source: dict[tuple[EndpointKey, str], SpeedSamples] = {}
        self._peers_by_key: dict[EndpointKey, dict[str, _Observation]] = {}
        # The last report of any peer: (slowness, received in ms).
        self._received_by_key: dict[EndpointKey, tuple[float, float]] = {}
        self._usual_ms_by_group: dict[tuple[str, str], float] = {}
        self._slowness_by_key: dict[EndpointKey, float] = {}
        self._usual_left_by_key: dict[EndpointKey, int] = {}
        self._refreshed_ms = float("-inf")
        self._reported_ms = float("-inf")

    # Queries

    def slowness(self, key: EndpointKey, now_ms: float) -> float:
        """Return how many times the usual an endpoint takes; 1.0 if nothing else is known."""
        self.refresh(now_ms)
        return self.known_slowness(key)

    def known_slowness(self, key: EndpointKey) -> float:
        """Return an endpoint's slowness as computed last."""
        return self._slowness_by_key.get(key, 1.0)

    def unusual(self, now_ms: float) -> dict[EndpointKey, float]:
        """Return the slowness of all endpoints for which it is not 1.0."""
        self.refresh(now_ms)
        return dict(self._slowness_by_key)

    def usual_latency_ms(self, service: str, now_ms: float) -> float | None:
        """Return the usual latency of a plain service's requests that don't wait for a slot.

        It is None while fewer than `MIN_COMPARED` endpoints have enough samples.
        """
        self.refresh(now_ms)
        return self.known_usual_latency_ms(service)

    def known_usual_latency_ms(self, service: str) -> float | None:
        """Return the usual latency of a plain service's requests as computed last."""
        return self._usual_ms_by_group.get((service, _LATENCY))

    # Commands

    def refresh(self, now_ms: float) -> None:
        """Compute all factors, unless that was done a moment ago."""
        endpoints = len(self._samples_by_source) + len(self._figure_by_key)
        endpoints += len(self._peers_by_key)
        interval_ms = max(REFRESH_MS, REFRESH_MS_PER_ENDPOINT * endpoints)
        if now_ms - self._refreshed_ms < interval_ms:
            return
        self._refreshed_ms = now_ms
        self._drop_old(now_ms)
        self._compare(now_ms)
        keys = {key for key, _ in self._samples_by_source}
        self._slowness_by_key = {}
        for key in keys | self._figure_by_key.keys() | self._peers_by_key.keys():
            observed = self._best(key, now_ms)
            if observed is None:
                continue
            stale_ms = max(0.0, now_ms - observed.observed_ms - FRESH_MS)
            difference = _bounded(observed.slowness) - 1.0
            slowness = _significant(1.0 + difference * 0.5 ** (stale_ms / HALF_LIFE_MS))
            if slowness != 1.0:
                self._slowness_by_key[key] = slowness

    def intervals_of(self, endpoint: Endpoint) -> StreamIntervals:
        """Return the recorder of one stream's events."""
        return StreamIntervals(self._samples(endpoint, _INTERVAL))

    def record_latency(
        self, endpoint: Endpoint, latency_ms: float, *, runs: int, now_ms: float
    ) -> None:
        """Record the latency of a plain request, with the runs at the endpoint at that time.

        With more runs than slots a request waits for others; that part is left out.
        """
        waves = max(1.0, runs / max(1, endpoint.slots))
        self._samples(endpoint, _LATENCY).add(latency_ms / waves, now_ms)

    def record_figure(self, key: EndpointKey, slowness: float, now_ms: float) -> None:
        """Record the slowness that an endpoint reports of itself."""
        known = self._figure_by_key.get(key)
        if known is None or now_ms - known.observed_ms >= FRESH_MS:
            known = self._figure_by_key[key] = _Observation(slowness, now_ms)
        known.slowness += FIGURE_WEIGHT * (slowness - known.slowness)
        known.observed_ms = now_ms

    def receive(self, entry: str, report: SpeedReport, now_ms: float) -> None:
        """Store what another entry observed."""
        slowness = _bounded(report.slowness)
        self._received_by_key[report.key] = slowness, now_ms
        self._peers_by_key.setdefault(report.key, {})[entry] = _Observation(
            slowness, now_ms - max(0.0, report.age_ms)
        )

    def take_reports(self, now_ms: float) -> list[SpeedReport]:
        """Return what other entries should be told now, if anything.

        These are this entry's own recent observations that differ from the usual, unless another
        entry has just told the same, and for a time those that no longer differ.
        """
        if now_ms - self._reported_ms < REPORT_INTERVAL_MS:
            return []
        self._reported_ms = now_ms
        self.refresh(now_ms)
        reports = []
        for key in {*self._figure_by_key, *(key for key, _ in self._samples_by_source)}:
            own = self._own(key)
            if own is None or now_ms - own.observed_ms >= FRESH_MS:
                continue
            slowness = _significant(_bounded(own.slowness))
            if slowness == 1.0:
                left = self._usual_left_by_key.pop(key, 0)
                if not left:
                    continue
                if left > 1:
                    self._usual_left_by_key[key] = left - 1
            elif self._is_known(key, slowness, now_ms):
                continue
            else:
                self._usual_left_by_key[key] = USUAL_REPORTS
            age_ms = now_ms - own.observed_ms
            reports.append(SpeedReport(key=key, slowness=slowness, age_ms=age_ms))
        return reports

    def keep_only(self, keys: set[EndpointKey]) -> None:
        """Drop what is known of endpoints that are not in *keys*."""
        for by_key in (
            self._figure_by_key,
            self._peers_by_key,
            self._received_by_key,
            self._slowness_by_key,
            self._usual_left_by_key,
        ):
            for key in set(by_key) - keys:
                del by_key[key]
        for source in [source for source in self._samples_by_source if source[0] not in keys]:
            del self._samples_by_source[source]

    def _samples(self, endpoint: Endpoint, kind: str) -> SpeedSamples:
        source = endpoint.key, kind
        samples = self._samples_by_source.get(source)
        if samples is None:
            samples = SpeedSamples((endpoint.service, kind))
            self._samples_by_source[source] = samples
        return samples

    def _drop_old(self, now_ms: float) -> None:
        """Drop what was observed at endpoints that this entry no longer uses."""
        oldest_ms = now_ms - OBSERVATION_TTL_MS
        samples, figures = self._samples_by_source, self._figure_by_key
        # Streams hold the samples that they add to, also before their first event.
        old = [s for s in samples if samples[s].is_used and samples[s].newest_ms <= oldest_ms]
        for source in old:
            del samples[source]
        for key in [key for key in figures if figures[key].observed_ms <= oldest_ms]:
            del figures[key]

    def _compare(self, now_ms: float) -> None:
        """Compare the typical durations of each service's endpoints with their median."""
        updated, typical_by_group = [], {}
        for samples in self._samples_by_source.values():
            if samples.update(now_ms):
                updated.append(samples)
            if samples.typical_ms is not None and now_ms - samples.newest_ms < REFERENCE_TTL_MS:
                typical_by_group.setdefault(samples.group, []).append(samples.typical_ms)
        # Of two endpoints the faster one is usual: the other is slowed down by something.
        self._usual_ms_by_group = {
            group: median_low(durations_ms)
            for group, durations_ms in typical_by_group.items()
            if len(durations_ms) >= MIN_COMPARED
        }
        for samples in updated:
            usual_ms = self._usual_ms_by_group.get(samples.group)
            samples.ratio = samples.typical_ms / usual_ms if usual_ms else None

    def _own(self, key: EndpointKey) -> _Observation | None:
        """Return this entry's observation: a figure that is fresh, or the newest one."""
        own = self._figure_by_key.get(key)
        for kind in (_INTERVAL, _LATENCY):
            samples = self._samples_by_source.get((key, kind))
            if samples is None or samples.ratio is None:
                continue
            if own is None or samples.newest_ms - own.observed_ms >= FRESH_MS:
                own = _Observation(samples.ratio, samples.newest_ms)
        return own

    def _best(self, key: EndpointKey, now_ms: float) -> _Observation | None:
        """Return the own observation if it is fresh, otherwise the newest that is known."""
        own = self._own(key)
        if own is not None and now_ms - own.observed_ms < FRESH_MS:
            return own
        by_entry = self._peers_by_key.get(key)
        if not by_entry:
            return own
        for entry in [
            e for e, o in by_entry.items() if now_ms - o.observed_ms >= OBSERVATION_TTL_MS
        ]:
            del by_entry[entry]
        if not by_entry:
            del self._peers_by_key[key]
            return own
        newest_ms = max(observed.observed_ms for observed in by_entry.values())
        if own is not None and own.observed_ms >= newest_ms:
            return own
        recent = [o.slowness for o in by_entry.values() if newest_ms - o.observed_ms < FRESH_MS]
        return _Observation(median_low(recent), newest_ms)

    def _is_known(self, key: EndpointKey, slowness: float, now_ms: float) -> bool:
        told, received_ms = self._received_by_key.get(key, (1.0, float("-inf")))
        if now_ms - received_ms >= REPORT_INTERVAL_MS:
            return False
        return 1 / SAME_FACTOR <= told / slowness <= SAME_FACTOR


def _bounded(slowness: float) -> float:
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))


def _significant(slowness: float) -> float:
    """Return 1.0 for a factor too close to it."""
    is_usual = 1 / INSIGNIFICANT_FACTOR < slowness < INSIGNIFICANT_FACTOR
    return 1.0 if is_usual else slowness
