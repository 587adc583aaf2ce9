"""Measure the policy at the sizes of both deployments: `python -m bench.measure [NAME]`.

Runs real processes with a seeded load; each scenario takes about forty seconds. A refusal is
wrongful if a single exact bucket of the organisation, replayed over the same arrivals with the
tokens that a request really uses, would have admitted the request.
"""

import asyncio
import itertools
import signal
import statistics
import sys
import time
from collections import Counter, defaultdict
from dataclasses import dataclass

from bench.load import Load, RequestResult, send_requests
from skylarkrack.core import Bucket
from standins.fleet import Fleet, FleetShape
from tests.windows import excess_over_windows

SECONDS = 30
SEED = 20_261_204
ORGANISATIONS = ("o0", "o1", "o2", "o3", "o4")
USED_TOKENS = 44
"""Tokens that a request uses: its prompt and half of its token limit."""

REQUESTS_PER_SECOND = {"o0": 4.0, "o1": 3.0, "o2": 2.0, "o3": 1.0, "o4": 1.0}
RATE_FACTOR = 1.5
"""An organisation's rate limit divided by the average rate that it uses."""

BURST_S = 12
"""An organisation's burst in seconds of its rate."""

STALL_MS = 200.0
"""Time to the first token above which a request counts as stalled."""

WARM_UP_S = 14
NOISY_RATE_FACTOR = 5
"""Load of the noisy organisation divided by its rate limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Size of a deployment.

    The store slows down above *store_knee* concurrent loads.
    """

    name: str
    shape: dict
    store_knee: int


LAHORE = Deployment(
    name="lahore",
    shape={
        "entries": 3,
        "engines": 9,
        "services": 4,
        "domains": 4,
        "adapters": 3000,
        "store_loads_per_second": 6.0,
        "store_burst": 6,
    },
    store_knee=16,
)
KENYA = Deployment(
    name="kenya",
    shape={
        "entries": 3,
        "engines": 5,
        "services": 3,
        "domains": 3,
        "adapters": 3000,
        "store_loads_per_second": 3.0,
        "store_burst": 4,
    },
    store_knee=8,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Name of a scenario and what differs from a steady load."""

    name: str
    policy: str = ""
    weights: tuple[float, ...] = (1, 1, 1)
    noisy: str | None = None
    shift_at_s: float | None = None
    kill_entry_at_s: float | None = None


UNEVEN = (8, 1, 1)
SPLIT = 'budgets = "split"\n'
SCENARIOS = (
    Scenario(name="steady"),
    Scenario(name="uneven and noisy", weights=UNEVEN, noisy="o4"),
    Scenario(name="uneven and noisy, even split", weights=UNEVEN, noisy="o4", policy=SPLIT),
    Scenario(name="popularity shift", shift_at_s=10),
    Scenario(
        name="popularity shift, least loaded", shift_at_s=10, policy='routing = "least_loaded"\n'
    ),
    Scenario(name="popularity shift, hash only", shift_at_s=10, policy='routing = "hash_only"\n'),
    Scenario(name="an entry killed", kill_entry_at_s=10),
)


def tokens_per_second(organisation: str) -> float:
    """Return the rate limit of *organisation* in tokens per second."""
    return REQUESTS_PER_SECOND[organisation] * USED_TOKENS * RATE_FACTOR


def build_lists() -> tuple[str, str]:
    """Return the bodies of the lists of plans and of organisations."""
    plans = "".join(
        f'[plans.{name}]\nadapters = ["*"]\ntokens_per_second = {tokens_per_second(name)}\n'
        f"burst_tokens = {int(tokens_per_second(name) * BURST_S)}\n"
        for name in ORGANISATIONS
    )
    return plans, "".join(f'[organisations.{n}]\nplan = "{n}"\n' for n in ORGANISATIONS)


async def run_scenario(deployment: Deployment, scenario: Scenario) -> str:
    """Run one scenario and return its report."""
    fleet = Fleet(FleetShape(policy=scenario.policy, **deployment.shape))
    try:
        await fleet.start()
        plans, organisations = build_lists()
        await fleet.publish("plans", plans)
        await fleet.publish("organisations", organisations)
        await fleet.publish_keys(*ORGANISATIONS)
        await fleet.faults("platform", store_knee=deployment.store_knee)
        for number in range(deployment.shape["engines"]):
            await fleet.faults(f"engine-{number}", token_s=0.02, batch=16, slots=8)
        await asyncio.sleep(WARM_UP_S)
        before = (await fleet.stats("platform"))["loads"]
        kill_task = asyncio.create_task(_kill(fleet, scenario))
        results = await send_requests(fleet, _load(deployment, scenario))
        kill_task.cancel()
        loads = (await fleet.stats("platform"))["loads"] - before
        return format_report(deployment, scenario, results, loads)
    finally:
        fleet.close()


async def _kill(fleet: Fleet, scenario: Scenario) -> None:
    if scenario.kill_entry_at_s is not None:
        await asyncio.sleep(scenario.kill_entry_at_s)
        fleet.signal("entry-2", signal.SIGKILL)


def _load(deployment: Deployment, scenario: Scenario) -> Load:
    rates = dict(REQUESTS_PER_SECOND)
    if scenario.noisy:
        rates[scenario.noisy] *= NOISY_RATE_FACTOR * RATE_FACTOR
    return Load(
        seed=SEED,
        seconds=SECONDS,
        rate_by_organisation=rates,
        adapters=deployment.shape["adapters"],
        entry_weights=scenario.weights,
        shift_at_s=scenario.shift_at_s,
    )


def count_wrongful_refusals(results: list[RequestResult]) -> tuple[int, Counter]:
    """Return the number of requests within the rate, and the codes of those that failed anyway."""
    in_rate, refused = 0, Counter()
    for name in ORGANISATIONS:
        rate, burst = tokens_per_second(name), int(tokens_per_second(name) * BURST_S)
        bucket = Bucket(rate=rate, capacity=burst, now_ms=0)
        bucket.add_tokens(burst, now_ms=0)
        for result in results:
            if result.arrival.organisation != name:
                continue
            if bucket.take(USED_TOKENS, now_ms=result.arrival.at_s * 1000) is not None:
                in_rate += 1
                if result.code != 0:
                    refused[result.code] += 1
    return in_rate, refused


def compute_worst_excess(results: list[RequestResult]) -> float:
    """Return the largest excess of used tokens over rate and burst in the worst window."""
    uses = defaultdict(list)
    for result in results:
        if result.code == 0:
            uses[result.arrival.organisation].append(
                (result.arrival.at_s * 1000, result.used_tokens)
            )
    return max(
        excess_over_windows(
            uses[name], rate=tokens_per_second(name), burst=int(tokens_per_second(name) * BURST_S)
        )
        for name in ORGANISATIONS
    )


def format_report(
    deployment: Deployment, scenario: Scenario, results: list[RequestResult], loads: int
) -> str:
    """Return the text of the report of *scenario*."""
    in_rate, refused = count_wrongful_refusals(results)
    answered = [result for result in results if result.code == 0]
    stalled = sum(result.first_ms > STALL_MS for result in answered)
    codes = Counter(result.code for result in results if result.code)
    lines = [
        f"## {deployment.name}: {scenario.name}",
        f"sent {len(results)}, answered {len(answered)}, refused by code {dict(codes)}",
        f"in rate {in_rate}, refused although in rate {sum(refused.values())} "
        f"({100 * sum(refused.values()) / max(1, in_rate):.2f}%) by code {dict(refused)}",
        f"used above rate and burst, by time of arrival: "
        f"{max(0.0, compute_worst_excess(results)):.0f} tokens",
        f"stalled (first token over {STALL_MS:.0f} ms): {stalled} "
        f"({100 * stalled / max(1, len(answered)):.1f}%), loads {loads}",
    ]
    served_by_organisation, p95_by_organisation = {}, {}
    for name in ORGANISATIONS:
        own_results = [result for result in results if result.arrival.organisation == name]
        first_times_ms = [result.first_ms for result in own_results if result.code == 0]
        if len(first_times_ms) < 2:
            continue
        cuts = statistics.quantiles(first_times_ms, n=100)
        served_by_organisation[name] = len(first_times_ms) / len(own_results)
        p95_by_organisation[name] = cuts[94]
        lines.append(
            f"  {name}: served {served_by_organisation[name]:.3f}, "
            f"first token p50 {cuts[49]:.0f} ms, p95 {cuts[94]:.0f} ms, p99 {cuts[98]:.0f} ms"
        )
    quiet = [n for n in served_by_organisation if n != scenario.noisy]
    if not quiet:
        return "\n".join([*lines, "no organisation was served"]) + "\n"
    worst_share = min(served_by_organisation[n] for n in quiet) / statistics.median(
        served_by_organisation[n] for n in quiet
    )
    worst_p95 = statistics.median(p95_by_organisation[n] for n in quiet) / max(
        p95_by_organisation[n] for n in quiet
    )
    lines.append(
        f"worst-served over median, without the noisy one: share {worst_share:.3f}, "
        f"p95 {worst_p95:.2f}"
    )
    return "\n".join(lines) + "\n"


def main() -> None:
    """Run the scenarios whose "deployment: name" contains the arguments, or all without any."""
    wanted = " ".join(sys.argv[1:])
    for deployment, scenario in itertools.product((LAHORE, KENYA), SCENARIOS):
        if wanted not in f"{deployment.name}: {scenario.name}":
            continue
        begun = time.perf_counter()
        print(asyncio.run(run_scenario(deployment, scenario)), flush=True)
        print(f"({time.perf_counter() - begun:.0f} s)\n", file=sys.stderr, flush=True)


if __name__ == "__main__":
    main()
