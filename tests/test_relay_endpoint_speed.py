"""Endpoints of one service that differ in speed, for good, for seconds or for a moment.

Guards against entries that send a slow engine as much to read as a fast one, so that its streams
pause, and that let requests queue at a slow plain endpoint. Guards as well against factors where
nothing differs.
"""

import asyncio
import gc
import random
import sys
import unittest
from collections.abc import Callable
from dataclasses import replace
from types import FrameType

from skylarkrack._clock import monotonic_ms
from skylarkrack.core.relay import (
    Endpoint,
    EndpointSpeeds,
    EngineStateReceived,
    SendTo,
    Service,
    SpeedReport,
    TablePublished,
    WaitFor,
    digest_of_endpoint,
    reading_speed,
)
from skylarkrack.core.relay._endpoint_speed import (
    FRESH_MS,
    HALF_LIFE_MS,
    MAX_SLOWNESS,
    MIN_SLOWNESS,
    OBSERVATION_TTL_MS,
    PREFILL_TOKENS_PER_MS,
    REPORT_INTERVAL_MS,
    USUAL_REPORTS,
)
from skylarkrack.core.relay._load import PREFILL_WINDOW_MS
from skylarkrack.core.relay._placement import PREFILL_LIMIT_TOKENS
from skylarkrack.core.relay._speed_samples import MIN_SAMPLES
from skylarkrack.messages import EndpointConditions
from skylarkrack.relay import RelayEntry
from skylarkrack.wire._codec import decode, encode_body
from standins.platform_worker import PlatformWorker, Received, answer, stream
from tests import test_relay_fleet
from tests.platform_builders import EntryHarness, model_request, request
from tests.relay_builders import dispatcher, endpoint, engine_shape, need, state, table
from tests.relay_fleet_simulation import FleetSimulation
from tests.test_relay_path import PathTest
from tests.test_relay_policy import STEP_MS, Replay, arrival

EVENT_MS = 37.0

NOTICED_MS = 2000.0
"""Time within which a change must be in use where one stream runs: less than half of the 5 s for
which a machine may be slow."""

MAX_RECORD_INSTRUCTIONS = 100
"""Most bytecode instructions that one event of a stream may cost; 52 take half a microsecond."""

CONSTANT_TIME_FUNCTIONS = {"append", "len", "max", "min"}
"""Built-in functions whose cost doesn't grow with what is kept; all others count as too costly."""


def cost_of(function: Callable, *arguments: object) -> tuple[int, set[str]]:
    """Return how many bytecode instructions a call executes, and which built-in functions.

    Those of the functions that it calls are included.
    """
    count, called = 0, set()

    def trace(frame: FrameType, event: str, argument: object) -> Callable:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    def profile(frame: FrameType, event: str, argument: object) -> None:
        if event == "c_call":
            called.add(argument.__name__)

    before = sys.gettrace(), sys.getprofile()
    # hypothesis has a callback of the garbage collector, whose calls are not those of *function*.
    was_collecting = gc.isenabled()
    gc.disable()
    sys.setprofile(profile)
    sys.settrace(trace)
    try:
        function(*arguments)
    finally:
        sys.settrace(before[0])
        sys.setprofile(before[1])
        if was_collecting:
            gc.enable()
    return count, called - {"settrace", "setprofile"}


def engines(count: int) -> list[Endpoint]:
    """Return *count* engines of one service."""
    return [endpoint(f"e{number}", slots=32) for number in range(1, count + 1)]


class Streams:
    """One stream at each engine, with events every `EVENT_MS` times its factor.

    In *pause_share* of the intervals the engine also reads a prompt.
    """

    def __init__(
        self, speeds: EndpointSpeeds, known: list[Endpoint], *, pause_share: float = 0.2
    ) -> None:
        self.rng = random.Random(3)
        self._pause_share = pause_share
        self.now_ms = 0.0
        self.speeds = speeds
        self._intervals = {one.key: speeds.intervals_of(one) for one in known}
        self._due_ms = dict.fromkeys(self._intervals, 0.0)
        self._known = known

    def play(self, until_ms: float, *factors: float) -> None:
        """Let events arrive until a time; *factors* belong to the engines in order."""
        while self.now_ms < until_ms:
            for one, factor in zip(self._known, factors, strict=True):
                if factor and self._due_ms[one.key] <= self.now_ms:
                    self._intervals[one.key].record(1, self.now_ms)
                    pause_ms = 150.0 if self.rng.random() < self._pause_share else 0.0
                    interval_ms = EVENT_MS * factor * self.rng.uniform(0.9, 1.1) + pause_ms
                    self._due_ms[one.key] = self.now_ms + interval_ms
            self.now_ms += 1.0

    def slowness(self, number: int) -> float:
        """Return the factor in use for an engine."""
        return self.speeds.slowness(self._known[number].key, self.now_ms)


class TestStreams(unittest.TestCase):
    """What one entry learns from the events of its streams."""

    def test_engines_of_different_speeds(self) -> None:
        streams = Streams(EndpointSpeeds(), engines(5))
        streams.play(3000.0, 0.7, 1.0, 1.0, 1.0, 1.7)
        self.assertAlmostEqual(streams.slowness(0), 0.7, delta=0.12)
        self.assertEqual([streams.slowness(number) for number in (1, 2, 3)], [1.0] * 3)
        self.assertAlmostEqual(streams.slowness(4), 1.7, delta=0.25)

    def test_engines_that_are_all_equally_slow_are_usual(self) -> None:
        streams = Streams(EndpointSpeeds(), engines(4))
        streams.play(3000.0, 1.0, 1.0, 1.0, 1.0)
        for until_ms in range(3000, 8000, 50):
            streams.play(until_ms, 2.0, 2.0, 2.0, 2.0)
            if until_ms > 3000.0 + NOTICED_MS:
                self.assertEqual([streams.slowness(n) for n in range(4)], [1.0] * 4)

    def test_a_single_engine_is_usual(self) -> None:
        streams = Streams(EndpointSpeeds(), engines(1))
        streams.play(3000.0, 2.0)
        self.assertEqual(streams.slowness(0), 1.0)

    def test_of_two_engines_the_slower_one_is_slow(self) -> None:
        streams = Streams(EndpointSpeeds(), engines(2))
        streams.play(3000.0, 1.0, 2.0)
        self.assertEqual(streams.slowness(0), 1.0)
        self.assertAlmostEqual(streams.slowness(1), 2.0, delta=0.3)

    def test_busy_engines_of_equal_speed(self) -> None:
        streams = Streams(EndpointSpeeds(), engines(5), pause_share=0.5)
        factors = []
        for until_ms in range(1000, 20_000, 100):
            streams.play(until_ms, 1.0, 1.0, 1.0, 1.0, 1.0)
            factors += [streams.slowness(number) for number in range(5)]
        self.assertGreater(factors.count(1.0), 0.97 * len(factors))

    def test_pauses_for_prompts_are_left_out(self) -> None:
        speeds, known = EndpointSpeeds(), engines(3)
        recorders = [speeds.intervals_of(one) for one in known]
        now_ms = 0.0
        for number in range(60):
            now_ms += EVENT_MS
            for recorder in recorders[:2]:
                recorder.record(1, now_ms)
            # Every fourth event of the third engine is left out.
            if number % 4:
                recorders[2].record(1, now_ms)
        self.assertEqual(speeds.slowness(known[2].key, now_ms), 1.0)

    def test_events_that_arrive_together_count_each(self) -> None:
        speeds, known = EndpointSpeeds(), engines(3)
        recorders = [speeds.intervals_of(one) for one in known]
        for number in range(1, 41):
            recorders[0].record(1, number * EVENT_MS)
            recorders[1].record(1, number * EVENT_MS)
            if number % 3 == 0:
                recorders[2].record(3, number * EVENT_MS)
        self.assertEqual(speeds.slowness(known[2].key, 40 * EVENT_MS), 1.0)

    def test_a_few_samples_are_not_enough(self) -> None:
        speeds, known = EndpointSpeeds(), engines(3)
        recorders = [speeds.intervals_of(one) for one in known]
        for number in range(MIN_SAMPLES + 1):
            recorders[0].record(1, number * EVENT_MS)
            recorders[1].record(1, number * EVENT_MS)
            if number < MIN_SAMPLES:
                recorders[2].record(1, number * 3 * EVENT_MS)
        now_ms = MIN_SAMPLES * 3 * EVENT_MS
        self.assertEqual(speeds.slowness(known[2].key, now_ms), 1.0)

    def test_a_neighbours_noise_is_over_soon_after_its_end(self) -> None:
        streams = Streams(EndpointSpeeds(), engines(4))
        streams.play(3000.0, 1.0, 1.0, 1.0, 1.0)
        streams.play(3600.0, 1.0, 1.0, 1.0, 2.5)
        streams.play(3600.0 + NOTICED_MS, 1.0, 1.0, 1.0, 1.0)
        self.assertEqual(streams.slowness(3), 1.0)

    def test_a_machine_that_is_slow_for_seconds_and_recovers(self) -> None:
        streams = Streams(EndpointSpeeds(), engines(4))
        streams.play(3000.0, 1.0, 1.0, 1.0, 1.0)
        streams.play(3000.0 + NOTICED_MS, 1.0, 1.0, 1.0, 2.0)
        self.assertAlmostEqual(streams.slowness(3), 2.0, delta=0.4)
        streams.play(8000.0, 1.0, 1.0, 1.0, 2.0)
        self.assertAlmostEqual(streams.slowness(3), 2.0, delta=0.4)
        streams.play(8000.0 + NOTICED_MS, 1.0, 1.0, 1.0, 1.0)
        self.assertEqual(streams.slowness(3), 1.0)

    def test_a_slow_engine_without_streams_is_tried_again(self) -> None:
        streams = Streams(EndpointSpeeds(), engines(4))
        streams.play(3000.0, 1.0, 1.0, 1.0, 2.0)
        self.assertAlmostEqual(streams.slowness(3), 2.0, delta=0.4)
        streams.play(3000.0 + FRESH_MS + HALF_LIFE_MS, 1.0, 1.0, 1.0, 0.0)
        self.assertAlmostEqual(streams.slowness(3), 1.5, delta=0.2)
        streams.play(3000.0 + FRESH_MS + 4 * HALF_LIFE_MS, 1.0, 1.0, 1.0, 0.0)
        self.assertEqual(streams.slowness(3), 1.0)

    def test_a_stream_whose_first_event_is_late_is_measured(self) -> None:
        speeds, known = EndpointSpeeds(), engines(3)
        streams = Streams(speeds, known)
        # Other requests are placed while the streams have no event yet.
        for now_ms in (0.0, 500.0, 1000.0):
            speeds.slowness(known[0].key, now_ms)
        streams.now_ms = 1000.0
        streams.play(4000.0, 1.0, 1.0, 2.0)
        self.assertAlmostEqual(streams.slowness(2), 2.0, delta=0.4)

    def test_what_is_known_of_unused_endpoints_is_dropped(self) -> None:
        speeds, known = EndpointSpeeds(), engines(3)
        streams = Streams(speeds, known)
        streams.play(1000.0, 1.0, 1.0, 2.0)
        speeds.record_figure(known[0].key, 2.0, 1000.0)
        speeds.receive("n1", SpeedReport(key=known[1].key, slowness=2.0, age_ms=0.0), 1000.0)
        later_ms = 1000.0 + OBSERVATION_TTL_MS
        self.assertEqual(speeds.unusual(later_ms), {})
        for by_key in (speeds._figure_by_key, speeds._samples_by_source, speeds._peers_by_key):
            self.assertEqual(len(by_key), 0)

    def test_factors_are_bounded(self) -> None:
        streams = Streams(EndpointSpeeds(), engines(5))
        streams.play(9000.0, 1.0, 1.0, 1.0, 0.1, 9.0)
        self.assertEqual(streams.slowness(3), MIN_SLOWNESS)
        self.assertEqual(streams.slowness(4), MAX_SLOWNESS)

    def test_an_event_costs_little(self) -> None:
        """Guards against an entry that is slowed down by the streams that it relays."""
        recorder = EndpointSpeeds().intervals_of(endpoint("e1"))
        for number in range(1000):
            instructions, called = cost_of(recorder.record, 1, float(number))
            self.assertLess(instructions, MAX_RECORD_INSTRUCTIONS)
            self.assertLessEqual(called, CONSTANT_TIME_FUNCTIONS)
        self.assertGreater(instructions, 10, "a call that is not traced costs nothing")


class TestPlainRequests(unittest.TestCase):
    """What one entry learns from the latency of plain requests."""

    def _known(self) -> list[Endpoint]:
        return [endpoint(f"e{number}", service="desk", slots=6) for number in (1, 2, 3)]

    def _answers(self, speeds: EndpointSpeeds, latencies_ms: dict, runs: dict) -> float:
        now_ms = 0.0
        for _ in range(20):
            now_ms += 40.0
            for one, latency_ms in latencies_ms.items():
                speeds.record_latency(one, latency_ms, runs=runs.get(one, 1), now_ms=now_ms)
        return now_ms

    def test_a_slow_machine_shows_in_the_latency(self) -> None:
        speeds, known = EndpointSpeeds(), self._known()
        now_ms = self._answers(speeds, dict(zip(known, (22.5, 22.5, 45.0), strict=True)), {})
        self.assertEqual(speeds.slowness(known[0].key, now_ms), 1.0)
        self.assertAlmostEqual(speeds.slowness(known[2].key, now_ms), 2.0)
        self.assertEqual(speeds.usual_latency_ms("desk", now_ms), 22.5)

    def test_a_queue_is_not_taken_for_a_slow_machine(self) -> None:
        speeds, known = EndpointSpeeds(), self._known()
        latencies_ms = dict(zip(known, (22.5, 22.5, 45.0), strict=True))
        now_ms = self._answers(speeds, latencies_ms, {known[2]: 12})
        self.assertEqual(speeds.slowness(known[2].key, now_ms), 1.0)

    def test_the_least_remaining_time_is_chosen(self) -> None:
        known = self._known()[:2]
        entry = dispatcher(*known)
        now_ms = self._answers(entry.speeds, dict(zip(known, (22.5, 90.0), strict=True)), {})
        request = arrival(1, now_ms, prompt=0)
        request.service_name, request.call = "desk", replace(request.call, need=None)
        # Behind six runs of 22.5 ms a request ends sooner than at a machine of 90 ms.
        for _ in range(6):
            entry.load.start_run(known[0].key, tokens=0)
        decision = entry.decide(request, now_ms)
        self.assertEqual(decision.endpoint.endpoint_id, "e1")
        for _ in range(4):
            entry.load.start_run(known[0].key, tokens=0)
        for _ in range(9):
            entry.load.start_run(known[0].key, tokens=0)
        self.assertEqual(entry.decide(request, now_ms).endpoint.endpoint_id, "e2")


class TestExchange(unittest.TestCase):
    """What entries tell each other."""

    def _slow(self, speeds: EndpointSpeeds, until_ms: float, factor: float = 2.0) -> Streams:
        streams = Streams(speeds, engines(3))
        streams.play(until_ms, 1.0, 1.0, factor)
        speeds.slowness(engines(1)[0].key, until_ms)
        return streams

    def test_an_entry_without_streams_there_learns_it(self) -> None:
        teller, other, slow = EndpointSpeeds(), EndpointSpeeds(), engines(3)[2]
        self._slow(teller, 2000.0)
        (report,) = teller.take_reports(2000.0)
        self.assertEqual(report.key, slow.key)
        other.receive("n1", report, 2002.0)
        self.assertAlmostEqual(other.slowness(slow.key, 2002.0), 2.0, delta=0.3)
        later_ms = 2002.0 + FRESH_MS + 4 * HALF_LIFE_MS
        self.assertEqual(other.slowness(slow.key, later_ms), 1.0)

    def test_the_own_measurement_is_preferred(self) -> None:
        speeds, slow = EndpointSpeeds(), engines(3)[2]
        self._slow(speeds, 2000.0)
        speeds.receive("n1", SpeedReport(key=slow.key, slowness=1.0, age_ms=0.0), 2000.0)
        self.assertGreater(speeds.slowness(slow.key, 2000.0 + 150.0), 1.5)

    def test_an_engine_that_cannot_be_compared_leaves_it_to_the_others(self) -> None:
        speeds, slow = EndpointSpeeds(), engines(3)[2]
        streams = Streams(speeds, [slow])
        streams.play(2000.0, 2.0)
        speeds.receive("n1", SpeedReport(key=slow.key, slowness=2.0, age_ms=0.0), 2000.0)
        self.assertEqual(speeds.slowness(slow.key, 2150.0), 2.0)

    def test_nothing_is_sent_where_nothing_differs(self) -> None:
        speeds = EndpointSpeeds()
        self._slow(speeds, 2000.0, factor=1.0)
        self.assertEqual(speeds.take_reports(2000.0), [])

    def test_messages_are_sent_at_most_every_half_second(self) -> None:
        speeds = EndpointSpeeds()
        streams = self._slow(speeds, 2000.0)
        self.assertEqual(len(speeds.take_reports(2000.0)), 1)
        self.assertEqual(speeds.take_reports(2000.0 + REPORT_INTERVAL_MS - 1), [])
        streams.play(2000.0 + REPORT_INTERVAL_MS, 1.0, 1.0, 2.0)
        self.assertEqual(len(speeds.take_reports(2000.0 + REPORT_INTERVAL_MS)), 1)

    def test_what_another_entry_has_just_told_is_not_repeated(self) -> None:
        speeds, slow = EndpointSpeeds(), engines(3)[2]
        self._slow(speeds, 2000.0)
        own = speeds.slowness(slow.key, 2000.0)
        speeds.receive("n1", SpeedReport(key=slow.key, slowness=own, age_ms=0.0), 1900.0)
        self.assertEqual(speeds.take_reports(2000.0), [])

    def test_the_end_is_told_several_times(self) -> None:
        speeds = EndpointSpeeds()
        streams = self._slow(speeds, 2000.0)
        speeds.take_reports(2000.0)
        told = []
        while streams.now_ms < 8000.0:
            streams.play(streams.now_ms + REPORT_INTERVAL_MS, 1.0, 1.0, 1.0)
            streams.slowness(2)
            told += [report.slowness for report in speeds.take_reports(streams.now_ms)]
        self.assertEqual(told.count(1.0), USUAL_REPORTS)
        self.assertEqual(told[-USUAL_REPORTS:], [1.0] * USUAL_REPORTS)

    def test_absurd_factors_of_others_are_bounded(self) -> None:
        speeds, one = EndpointSpeeds(), endpoint("e1")
        speeds.receive("n1", SpeedReport(key=one.key, slowness=1e9, age_ms=-5.0), 0.0)
        self.assertEqual(speeds.slowness(one.key, 0.0), MAX_SLOWNESS)

    def test_the_message_is_decoded_as_it_was_encoded(self) -> None:
        message = EndpointConditions(
            vm="n1",
            address="10.0.0.1:7000",
            domain="east",
            passes_on=True,
            conditions=[[digest_of_endpoint(endpoint("e1").key), 170, 40]],
        )
        self.assertEqual(decode(encode_body(message)), message)

    def test_an_endpoint_that_is_gone_is_forgotten(self) -> None:
        speeds, slow = EndpointSpeeds(), engines(3)[2]
        self._slow(speeds, 2000.0)
        speeds.receive("n1", SpeedReport(key=slow.key, slowness=2.0, age_ms=0.0), 2000.0)
        speeds.keep_only({one.key for one in engines(2)})
        self.assertEqual(speeds.slowness(slow.key, 2200.0), 1.0)


class TestSlowEngine(unittest.TestCase):
    """A slow engine gets as much to read as it can read between two events."""

    def test_the_reading_speed(self) -> None:
        self.assertEqual(reading_speed(1.0), PREFILL_TOKENS_PER_MS)
        self.assertEqual(reading_speed(2.0), PREFILL_TOKENS_PER_MS / 2)

    def test_a_prompt_that_a_usual_engine_could_read_waits_at_a_slow_one(self) -> None:
        one = endpoint("e1")
        entry = dispatcher(one, states=(state(0.0, "a1"),))
        entry.speeds.receive("n2", SpeedReport(key=one.key, slowness=2.0, age_ms=0.0), 0.0)
        half = int(PREFILL_LIMIT_TOKENS / 2)
        entry.load.add_prompt(one.key, half, 0.0)
        self.assertIsInstance(entry.decide(arrival(1, 0.0, prompt=100), 0.0), WaitFor)
        usual = dispatcher(one, states=(state(0.0, "a1"),))
        usual.load.add_prompt(one.key, half, 0.0)
        self.assertIsInstance(usual.decide(arrival(1, 0.0, prompt=100), 0.0), SendTo)

    def test_an_engine_that_seems_fast_gets_no_more_to_read(self) -> None:
        one = endpoint("e1")
        entry = dispatcher(one, states=(state(0.0, "a1"),))
        entry.speeds.receive("n2", SpeedReport(key=one.key, slowness=0.6, age_ms=0.0), 0.0)
        entry.load.add_prompt(one.key, int(PREFILL_LIMIT_TOKENS), 0.0)
        self.assertIsInstance(entry.decide(arrival(1, 0.0, prompt=100), 0.0), WaitFor)

    def test_clumps_of_prompts_at_engines_of_different_speeds(self) -> None:
        rng, known = random.Random(7), engines(3)
        entry = dispatcher(*known, states=tuple(state(0.0, "a1") for _ in known))
        shape = engine_shape(slots=32, cache_tokens=120_000)
        service = Service(name="engines", max_connections=250, engine=shape)
        entry.observe(TablePublished(table=table(2, service_by_name={"engines": service})))
        replay, now_ms, number = Replay(entry, run_ms=1500.0), 0.0, 0
        slow = known[0]
        while now_ms < 6000.0 and (now_ms < 3000.0 or entry.waiting_count()):
            for one in known:
                entry.observe(EngineStateReceived(key=one.key, state=state(now_ms, "a1")))
            report = SpeedReport(key=slow.key, slowness=1.7, age_ms=0.0)
            entry.speeds.receive("n2", report, now_ms)
            for _ in range(rng.choice((0, 0, 1, 5)) if now_ms < 3000.0 else 0):
                number += 1
                prompt = min(3300, int(rng.expovariate(1 / 1200)) + 100)
                replay.arrive(arrival(number, now_ms, prompt=prompt), now_ms)
            replay.step(now_ms)
            now_ms += STEP_MS
        most = {
            engine_id: max(
                sum(tokens for at, tokens in rows if start <= at < start + PREFILL_WINDOW_MS)
                for start, _ in rows
            )
            for engine_id, rows in replay.sent.items()
        }
        self.assertLessEqual(most["e1"], PREFILL_LIMIT_TOKENS / 1.7)
        self.assertGreater(most["e2"], PREFILL_LIMIT_TOKENS / 1.7)
        self.assertEqual(replay.refused, 0)

    def test_a_usual_engine_is_preferred_to_a_slow_one(self) -> None:
        slow, usual = engines(2)
        entry = dispatcher(slow, usual, states=(state(0.0, "a1"), state(0.0, "a1")))
        decisions = {}
        for factor in (1.0, 2.0):
            for one, other in ((slow, usual), (usual, slow)):
                entry.speeds.receive("n2", SpeedReport(key=one.key, slowness=factor, age_ms=0.0), 0)
                entry.speeds.receive("n2", SpeedReport(key=other.key, slowness=1.0, age_ms=0.0), 0)
                entry.speeds._refreshed_ms = float("-inf")
                decision = entry.decide(arrival(1, 0.0, prompt=2000), 0.0)
                decisions[factor, one.endpoint_id] = decision.endpoint.endpoint_id
        self.assertEqual(decisions[2.0, "e1"], "e2")
        self.assertEqual(decisions[2.0, "e2"], "e1")
        # Without a difference the adapter's home is chosen, whichever engine is named first.
        self.assertEqual(decisions[1.0, "e1"], decisions[1.0, "e2"])

    def test_a_dispatcher_without_observations_decides_as_before(self) -> None:
        one = endpoint("e1")
        entry = dispatcher(one, states=(state(0.0, "a1"),))
        self.assertEqual(entry.slowness(one.key, 0.0), 1.0)
        decision = entry.decide(arrival(1, 0.0, prompt=need().prompt_tokens), 0.0)
        self.assertIsInstance(decision, SendTo)


class TestOverDatagrams(test_relay_fleet.TestLeavingEndpoints):
    """An entry tells the others of a slow endpoint, also where nothing runs."""

    async def test_the_others_and_an_entry_that_starts_later_learn_it(self) -> None:
        key = endpoint("e1", service="desk").key
        seed = test_relay_fleet.settings("n1")
        one = await self.start(seed)
        two = await self.start(test_relay_fleet.settings("n2", seed.peers))
        await test_relay_fleet.until(lambda: two.count_entries() == one.count_entries() == 2)

        def is_slow_at(member: RelayEntry) -> bool:
            now_ms = monotonic_ms()
            one._dispatcher.speeds.record_figure(key, 2.0, now_ms)
            return member._dispatcher.slowness(key, now_ms) == 2.0

        await test_relay_fleet.until(lambda: is_slow_at(two))
        three = await self.start(test_relay_fleet.settings("n3", seed.peers))
        await test_relay_fleet.until(lambda: is_slow_at(three))
        self.assertGreater(one._context.metrics.counter("conditions_sent_total"), 0)
        self.assertEqual(two._context.metrics.counter("conditions_sent_total"), 0)


class TestRecording(PathTest):
    """Requests that were forwarded are measured."""

    async def test_intervals_between_events(self) -> None:
        async def slow_stream(received: Received, writer: asyncio.StreamWriter) -> bool:
            for number in range(MIN_SAMPLES + 1):
                part = b"id: %d\ndata: a\n\n" % number
                if not number:
                    await stream(part, ends=False)(received, writer)
                    continue
                await asyncio.sleep(0.01)
                writer.write(b"%x\r\n" % len(part) + part + b"\r\n")
            writer.write(b"0\r\n\r\n")
            return True

        worker = PlatformWorker([slow_stream])
        async with EntryHarness(worker, service="llm") as harness:
            await harness.send_raw(model_request(adapter="a1"))
            speeds = harness.entry._dispatcher.speeds
            samples = speeds._samples_by_source[(worker.address, 1000), "interval"]
        samples.update(monotonic_ms())
        self.assertGreater(samples.typical_ms, 5.0)

    async def test_the_latency_of_plain_requests(self) -> None:
        worker = PlatformWorker([answer()])
        async with EntryHarness(worker) as harness:
            for _ in range(MIN_SAMPLES):
                await harness.send_raw(request())
            speeds = harness.entry._dispatcher.speeds
            samples = speeds._samples_by_source[(worker.address, 1000), "latency"]
        self.assertTrue(samples.update(monotonic_ms()))


SLOW_FROM_MS, SLOW_UNTIL_MS, SLOWNESS = 4000.0, 9000.0, 1.9


class TestFleet(unittest.TestCase):
    """One engine of several is slow for 5 s; datagrams are lost and late."""

    def _check(self, entries: int, engines_count: int, messages_per_s: float) -> None:
        fleet = FleetSimulation(
            seed=5,
            entries=entries,
            engines=engines_count,
            requests_per_s=9.0 * engines_count,
            limit_at_by_engine={},
            lost=0.02,
            late=0.02,
            slowness_at=lambda number, ms: (
                SLOWNESS if number == 1 and SLOW_FROM_MS <= ms < SLOW_UNTIL_MS else 1.0
            ),
        )
        keys = list(fleet.engines)
        seen: dict[str, list[float]] = {"before": [], "slow": [], "after": [], "others": []}

        def look(name: str, numbers: list[int]) -> None:
            for entry in fleet.entries.values():
                seen[name] += [
                    entry.dispatcher.slowness(keys[number], fleet.now_ms) for number in numbers
                ]

        others = [number for number in range(engines_count) if number != 1]
        fleet._after(SLOW_FROM_MS - 100.0, look, "before", [1])
        fleet._after(SLOW_FROM_MS + 2500.0, look, "slow", [1])
        fleet._after(SLOW_FROM_MS + 2500.0, look, "others", others)
        fleet._after(SLOW_UNTIL_MS + 3500.0, look, "after", [1])
        fleet.run(13_000.0)
        self.assertEqual(seen["before"], [1.0] * entries)
        noticed = [factor for factor in seen["slow"] if abs(factor - SLOWNESS) < 0.4]
        self.assertGreaterEqual(len(noticed), 0.9 * entries)
        usual = [factor for factor in seen["others"] if factor == 1.0]
        self.assertGreaterEqual(len(usual), 0.95 * len(seen["others"]))
        recovered = [factor for factor in seen["after"] if factor == 1.0]
        self.assertGreaterEqual(len(recovered), 0.9 * entries)
        self.assertLessEqual(fleet.speed_messages, 13 * messages_per_s)

    def test_five_entries(self) -> None:
        self._check(5, 4, messages_per_s=10.0)

    def test_twenty_two_entries(self) -> None:
        self._check(22, 4, messages_per_s=10.0)

    def test_sixty_eight_entries(self) -> None:
        self._check(68, 4, messages_per_s=10.0)
