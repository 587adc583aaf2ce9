"""The policy at both deployments' sizes with real processes: `python -m bench.measure [NAME]`.

Seeded and bounded: each scenario takes about forty seconds. Wrongful refusals are counted against
one exact bucket an organisation, replayed over the same arrivals with the tokens really used.
"""

import asyncio
import itertools
import signal
import statistics
import sys
import time
from collections import Counter, defaultdict
from dataclasses import dataclass

from bench.load import Load, Sent, drive
from skylarkrack.core import Bucket
from standins.fleet import Fleet, FleetShape
from tests.windows import excess_over_windows

SECONDS = 30
SEED = 20_261_204
ORGANISATIONS = ("o0", "o1", "o2", "o3", "o4")
USED_TOKENS = 44
"""Tokens that one request uses: its prompt and half of what it asks for."""

REQUESTS_PER_SECOND = {"o0": 4.0, "o1": 3.0, "o2": 2.0, "o3": 1.0, "o4": 1.0}
HEADROOM = 1.5
"""An organisation's rate over what it sends on average."""

BURST_S = 12
"""An organisation's burst over its rate."""

STALL_MS = 200.0
"""Time to the first token from which a request counts as stalled."""

WARM_UP_S = 14
NOISE = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """A deployment of the brief."""

    name: str
    shape: dict
    knee: int


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
    knee=16,
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
    knee=8,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """What differs from a quiet half minute."""

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


def rate_of(organisation: str) -> float:
    """Return an organisation's tokens a second."""
    return REQUESTS_PER_SECOND[organisation] * USED_TOKENS * HEADROOM


def lists() -> tuple[str, str]:
    """Return the lists of plans and of organisations."""
    plans = "".join(
        f'[plans.{name}]\nadapters = ["*"]\ntokens_per_second = {rate_of(name)}\n'
        f"burst_tokens = {int(rate_of(name) * BURST_S)}\n"
        for name in ORGANISATIONS
    )
    return plans, "".join(f'[organisations.{n}]\nplan = "{n}"\n' for n in ORGANISATIONS)


async def run(deployment: Deployment, scenario: Scenario) -> str:
    """Run one scenario and return its report."""
    fleet = Fleet(FleetShape(policy=scenario.policy, **deployment.shape))
    try:
        await fleet.start()
        plans, organisations = lists()
        await fleet.publish("plans", plans)
        await fleet.publish("organisations", organisations)
        await fleet.publish_keys(*ORGANISATIONS)
        await fleet.faults("platform", store_knee=deployment.knee)
        for number in range(deployment.shape["engines"]):
            await fleet.faults(f"engine-{number}", token_s=0.02, batch=16, slots=8)
        await asyncio.sleep(WARM_UP_S)
        before = (await fleet.stats("platform"))["loads"]
        killing = asyncio.create_task(_kill(fleet, scenario))
        sent = await drive(fleet, _load(deployment, scenario))
        killing.cancel()
        loads = (await fleet.stats("platform"))["loads"] - before
        return report(deployment, scenario, sent, loads)
    finally:
        fleet.close()


async def _kill(fleet: Fleet, scenario: Scenario) -> None:
    if scenario.kill_entry_at_s is not None:
        await asyncio.sleep(scenario.kill_entry_at_s)
        fleet.signal("entry-2", signal.SIGKILL)


def _load(deployment: Deployment, scenario: Scenario) -> Load:
    rates = dict(REQUESTS_PER_SECOND)
    if scenario.noisy:
        rates[scenario.noisy] *= NOISE * HEADROOM
    return Load(
        seed=SEED,
        seconds=SECONDS,
        rate_by_organisation=rates,
        adapters=deployment.shape["adapters"],
        entry_weights=scenario.weights,
        shift_at_s=scenario.shift_at_s,
    )


def wrongful(sent: list[Sent]) -> tuple[int, Counter]:
    """Return how many requests were in rate, and the codes of those refused nonetheless."""
    in_rate, refused = 0, Counter()
    for name in ORGANISATIONS:
        rate, burst = rate_of(name), int(rate_of(name) * BURST_S)
        bucket = Bucket(rate=rate, capacity=burst, now_ms=0)
        bucket.add_tokens(burst, now_ms=0)
        for one in sent:
            if one.arrival.organisation != name:
                continue
            if bucket.take(USED_TOKENS, now_ms=one.arrival.at_s * 1000) is not None:
                in_rate += 1
                if one.code != 0:
                    refused[one.code] += 1
    return in_rate, refused


def excess(sent: list[Sent]) -> float:
    """Return the tokens used above rate and burst in the worst window of any organisation."""
    uses = defaultdict(list)
    for one in sent:
        if one.code == 0:
            uses[one.arrival.organisation].append((one.arrival.at_s * 1000, one.used_tokens))
    return max(
        excess_over_windows(uses[name], rate=rate_of(name), burst=int(rate_of(name) * BURST_S))
        for name in ORGANISATIONS
    )


def report(deployment: Deployment, scenario: Scenario, sent: list[Sent], loads: int) -> str:
    """Return the text of one scenario's report."""
    in_rate, refused = wrongful(sent)
    answered = [one for one in sent if one.code == 0]
    stalled = sum(one.first_ms > STALL_MS for one in answered)
    codes = Counter(one.code for one in sent if one.code)
    lines = [
        f"## {deployment.name}: {scenario.name}",
        f"sent {len(sent)}, answered {len(answered)}, refused by code {dict(codes)}",
        f"in rate {in_rate}, refused although in rate {sum(refused.values())} "
        f"({100 * sum(refused.values()) / max(1, in_rate):.2f}%) by code {dict(refused)}",
        f"used above rate and burst, by time of arrival: {max(0.0, excess(sent)):.0f} tokens",
        f"stalled (first token over {STALL_MS:.0f} ms): {stalled} "
        f"({100 * stalled / max(1, len(answered)):.1f}%), loads {loads}",
    ]
    shares, slow = {}, {}
    for name in ORGANISATIONS:
        mine = [one for one in sent if one.arrival.organisation == name]
        first = [one.first_ms for one in mine if one.code == 0]
        if len(first) < 2:
            continue
        cuts = statistics.quantiles(first, n=100)
        shares[name] = len(first) / len(mine)
        slow[name] = cuts[94]
        lines.append(
            f"  {name}: served {shares[name]:.3f}, first token p50 {cuts[49]:.0f} ms, "
            f"p95 {cuts[94]:.0f} ms, p99 {cuts[98]:.0f} ms"
        )
    quiet = [n for n in shares if n != scenario.noisy]
    if not quiet:
        return "\n".join([*lines, "no organisation was served"]) + "\n"
    worst_share = min(shares[n] for n in quiet) / statistics.median(shares[n] for n in quiet)
    worst_p95 = statistics.median(slow[n] for n in quiet) / max(slow[n] for n in quiet)
    lines.append(
        f"worst-served over median, without the noisy one: share {worst_share:.3f}, "
        f"p95 {worst_p95:.2f}"
    )
    return "\n".join(lines) + "\n"


def main() -> None:
    """Run the scenarios whose deployment or name contains the argument, or all."""
    wanted = " ".join(sys.argv[1:])
    for deployment, scenario in itertools.product((LAHORE, KENYA), SCENARIOS):
        if wanted not in f"{deployment.name}: {scenario.name}":
            continue
        begun = time.perf_counter()
        print(asyncio.run(run(deployment, scenario)), flush=True)
        print(f"({time.perf_counter() - begun:.0f} s)\n", file=sys.stderr, flush=True)


if __name__ == "__main__":
    main()
