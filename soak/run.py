"""Runs the soak: `python -m soak.run SEED [SEED ...] [--minutes=N]`.

The seed determines the faults. A seed runs for some seconds: `FAULT_PHASE_S`, `RECOVERY_S`, and the
time to start and to check the recovery.
"""

import asyncio
import itertools
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter, deque
from pathlib import Path

import fire
import h11

from skylarkrack._errors import LinkLost
from skylarkrack.web import HttpClient
from soak.endpoints import (
    MODEL,
    SOFTWARE_VERSIONS,
    Endpoint,
    Engine,
    events_for,
    stream_bodies,
)
from soak.fleet import CONTROL_PORT, PLAIN_SERVICES, VISITORS_KEY, Fleet, Machine
from soak.guarantees import REVOCATION_LIMIT_S
from soak.proxy import Fault

FAULT_PHASE_S = 8.0
CALLERS = 12
START_LIMIT_S = 20.0
"""Pauses between attempts add up to this before an entry that serves nothing is an error."""

START_PAUSE_S = 0.1
RECOVERY_S = 12.0
"""Time after the last fault within which `MIN_RECOVERED_RATIO` of requests must succeed again."""

MIN_RECOVERED_RATIO = 0.95
"""Ratio of the `PROBES` requests that must succeed; fewer are a violation."""

PROBES = 60
TAKE_UP_RATIO = 0.1
"""Ratio of the requests whose callers drop their stream and take it up, mostly at another entry."""

EVENTS_BEFORE_TAKE_UP = 2
TAKE_UPS = 12
MIN_TAKEN_UP_RATIO = 0.5
"""Ratio of the `TAKE_UPS` after the recovery that must go on."""

LIMIT_PAUSE_S = (1.0, 4.0)
LIMIT_DURATION_S = (4.0, 6.0)
LIMIT_PER_S = (0.5, 4.0)
"""Ranges of the time between the limits that endpoints name, of how long, and of the limits."""

CHECKED_EVACUATION_S = 1.0
"""Time for which an evacuation goes on once requests to its domain are violations."""

LEAVING_RATIO = 0.15
"""Ratio of the requests whose callers leave before they can be answered."""

MAX_STAY_S = 0.1
ANSWER_TIMEOUT_MS = 6000.0

ODD_ENTRIES = (
    ("servers/odd", b'{"state": ' + b"[" * 980 + b"]" * 980 + b"}"),
    ("servers/odd", b'{"state": "ready", "addr": "127.0.0.1:70000", "service": "desk"}'),
    ("servers/odd", b"\xff{"),
    ("op/version/odd", b'{"model": "m", "adapter": "a", "version": 1%s}' % (b"0" * 400)),
    ("op/version/odd", b'{"model": "\\ud800", "adapter": "a", "version": 1}'),
)
"""Entries of another writer that name nothing; one after the other is written to the store."""

ODD_ENTRY_INTERVAL_S = 0.7

VISITORS_RATES_PER_S = (0.0, 300.0, 100_000.0)
"""Quotas that an organisation gets in turn, in tokens a second; 0 is no limit."""

RESTORE_AFTER_S = (1.0, 4.0)
COPY_AGE_S = (0.5, 2.0)
REGISTERED_AGAIN_S = 1.8
"""When the store is restored from a copy, how old that is, and when the endpoints are back."""


async def wait_until_served(machine: Machine) -> None:
    """Wait until an entry serves a plain request.

    Raises `TimeoutError` after `START_LIMIT_S` of pauses between attempts.
    """
    headers = [(b"host", b"a.example"), (b"authorization", b"Token key-one")]
    for number in range(int(START_LIMIT_S / START_PAUSE_S)):
        client = HttpClient(f"{machine.ip}:{machine.front_address[1]}")
        attempt_id = (b"x-attempt-id", f"start-{machine.name}-{number}".encode())
        try:
            answer = await client.request(
                "POST", "/look/x", headers=[*headers, attempt_id], timeout_ms=ANSWER_TIMEOUT_MS
            )
            await answer.read_body(timeout_ms=ANSWER_TIMEOUT_MS)
            if answer.status == 200:
                return
        except LinkLost:
            # The process is not listening yet.
            pass
        finally:
            client.close()
        await asyncio.sleep(START_PAUSE_S)
    raise TimeoutError(f"{machine.name} does not serve")


class Soak:
    """Runs one seed: callers and faults at the same time, then a check of the recovery."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.fleet = Fleet(folder)
        # Callers have a generator of their own: with a shared one, their timing would change the
        # faults of a seed.
        self._random = random.Random(seed)
        self._callers_random = random.Random(seed)
        self._limits_random = random.Random(seed)
        self._evacuations_random = random.Random(seed)
        self._restore_random = random.Random(seed)
        self._quotas_random = random.Random(seed)
        self._taken_up: Counter[int] = Counter()
        self._request_count = 0
        self._faults_ended = False
        self._faults: list[str] = []
        self._store_fault_until_s = float("-inf")

    async def run(self) -> list[str]:
        """Run the seed and return a description of each violation."""
        await self.fleet.start()
        try:
            await self._wait_until_ready()
            callers = [asyncio.create_task(self._call_forever(n)) for n in range(CALLERS)]
            limits = asyncio.create_task(self._limit_endpoints())
            evacuation = asyncio.create_task(self._evacuate_domain())
            odd_entries = asyncio.create_task(self._write_odd_entries())
            restore = asyncio.create_task(self._restore_store())
            quotas = asyncio.create_task(self._change_quotas())
            visitors = asyncio.create_task(self._call_forever(CALLERS, keys=(VISITORS_KEY,)))
            await self._inject_faults()
            odd_entries.cancel()
            await restore
            await quotas
            for endpoint in self.fleet.endpoints:
                endpoint.is_faulty = False
            await evacuation
            self._faults_ended = True
            await limits
            await asyncio.wait([*callers, visitors])
            await self._check_recovery()
        finally:
            await self.fleet.close()
        self.fleet.checker.check_token_rate()
        return self.fleet.checker.violations

    def describe(self) -> str:
        """Return the faults injected, in order, and the count of responses by status."""
        count_by_status = dict(sorted(self.fleet.checker.count_by_status.items()))
        taken_up = dict(sorted(self._taken_up.items()))
        return (
            f"{len(self._faults)} faults ({', '.join(self._faults)}); {count_by_status}; "
            f"taken up {taken_up}"
        )

    # Callers

    async def _wait_until_ready(self) -> None:
        for machine in self.fleet.entries:
            await wait_until_served(machine)

    async def _call_forever(
        self, number: int, *, keys: tuple[str, ...] = ("key-one", "key-two")
    ) -> None:
        """Send requests until the faults end.

        As callers do, it keeps a connection until it fails. Before a tenth of the requests it opens
        another one to a random entry.
        """
        client: HttpClient | None = None
        while not self._faults_ended:
            if client is None or self._callers_random.random() < 0.1:
                machine = self._callers_random.choice(self.fleet.entries)
                client = HttpClient(f"{machine.ip}:{machine.front_address[1]}")
            kind = self._callers_random.choice(("chat", "chat", "draft", "look", "pay"))
            key = self._callers_random.choice(keys)
            if self._callers_random.random() < LEAVING_RATIO:
                await self._send_and_leave(machine, kind, key)
            elif self._callers_random.random() < TAKE_UP_RATIO:
                self._taken_up[await self._begin_and_take_up(machine, key)] += 1
            elif await self._send_and_check(machine, kind, key, client=client) == 0:
                client = None
            await asyncio.sleep(self._callers_random.uniform(0.01, 0.1))

    async def _send_and_check(
        self, machine: Machine, kind: str, key: str, *, client: HttpClient | None = None
    ) -> int:
        """Send one request and check its response.

        Return the status, or 0 if no complete response was received. Without a *client*, the
        request has a connection of its own.
        """
        request_id, headers = self._next_request(kind, key)
        is_repeatable = kind in ("draft", "look")
        sent_s = asyncio.get_running_loop().time()
        used_client = client or HttpClient(f"{machine.ip}:{machine.front_address[1]}")
        try:
            answer = await used_client.request(
                "POST", f"/{kind}/x", headers=headers, timeout_ms=ANSWER_TIMEOUT_MS
            )
            body = await answer.read_body(timeout_ms=ANSWER_TIMEOUT_MS)
        except (LinkLost, h11.LocalProtocolError):
            return 0
        finally:
            if client is None:
                used_client.close()
        checker = self.fleet.checker
        checker.record_status(request_id, answer.status, is_repeatable=is_repeatable)
        if answer.status == 200:
            is_stream = kind in ("chat", "draft")
            expected = stream_bodies(request_id) if is_stream else [f"done {request_id}".encode()]
            checker.check_body(request_id, body, expected)
            self._check_key_revocation(machine, key, request_id, sent_s)
        return answer.status

    async def _send_and_leave(self, machine: Machine, kind: str, key: str) -> None:
        """Send one request and close the connection after at most `MAX_STAY_S`."""
        request_id, headers = self._next_request(kind, key)
        client = HttpClient(f"{machine.ip}:{machine.front_address[1]}")
        try:
            async with asyncio.timeout(self._callers_random.uniform(0.0, MAX_STAY_S)):
                answer = await client.request(
                    "POST", f"/{kind}/x", headers=headers, timeout_ms=ANSWER_TIMEOUT_MS
                )
                answer.close()
        except (LinkLost, TimeoutError):
            pass
        left_s = asyncio.get_running_loop().time()
        if not self._is_held_up(machine, left_s):
            self.fleet.checker.left_s_by_id[request_id] = left_s

    async def _begin_and_take_up(self, machine: Machine, key: str) -> int:
        """Begin a stream, drop its connection and take it up at any entry.

        Returns the status of the second answer, or 0 if one of both was not received.
        """
        request_id, headers = self._next_request("draft", key)
        first = await self._receive_events(machine, headers, EVENTS_BEFORE_TAKE_UP)
        if first is None or first[1].count(b"\n\n") < EVENTS_BEFORE_TAKE_UP:
            return 0
        begun = b"".join(event + b"\n\n" for event in first[1].split(b"\n\n")[:-1])
        second_id, _ = self._next_request("draft", key)
        headers = [pair for pair in headers if pair[0] != b"x-attempt-id"]
        headers += [
            (b"x-attempt-id", second_id.encode()),
            (b"resumes", request_id.encode()),
            (b"last-event-id", str(begun.count(b"\n\n")).encode()),
        ]
        second = await self._receive_events(
            self._callers_random.choice(self.fleet.entries), headers, None
        )
        if second is None:
            return 0
        status, rest = second
        if status == 200:
            wholes = [
                b"".join(events_for(request_id, version)[: begun.count(b"\n\n")])
                + b"".join(events_for(second_id, version)[begun.count(b"\n\n") :])
                for version in SOFTWARE_VERSIONS
            ]
            self.fleet.checker.check_body(second_id, begun + rest, wholes)
        return status

    async def _receive_events(
        self, machine: Machine, headers: list[tuple[bytes, bytes]], count: int | None
    ) -> tuple[int, bytes] | None:
        """Return the status and the body after *count* events, or the whole one without a count.

        Returns None if it was not received.
        """
        client, body = HttpClient(f"{machine.ip}:{machine.front_address[1]}"), b""
        try:
            answer = await client.request(
                "POST", "/draft/x", headers=headers, timeout_ms=ANSWER_TIMEOUT_MS
            )
            async for data in answer.iter_body(timeout_ms=ANSWER_TIMEOUT_MS):
                body += data
                if count is not None and body.count(b"\n\n") >= count:
                    answer.close()
                    break
            return answer.status, body
        except (LinkLost, h11.LocalProtocolError):
            return None
        finally:
            client.close()

    def _is_held_up(self, machine: Machine, now_s: float) -> bool:
        """Return whether a fault may delay a close, or a request on its way to an endpoint."""
        is_desk_troubled = any(proxy.fault is not Fault.NONE for proxy in self.fleet.proxies)
        return is_desk_troubled or machine.frozen_until_s > now_s

    def _next_request(self, kind: str, key: str) -> tuple[str, list[tuple[bytes, bytes]]]:
        """Return the id and the headers of the next request."""
        self._request_count += 1
        request_id = f"r{self._request_count}"
        if key == VISITORS_KEY:
            self.fleet.checker.visitor_ids.add(request_id)
        headers = [
            (b"host", b"a.example"),
            (b"x-attempt-id", request_id.encode()),
            (b"x-deadline-ms", b"4000"),
            (b"authorization", b"Token " + key.encode()),
        ]
        if kind in ("chat", "draft"):
            adapter = f"a{min(9, int(self._callers_random.paretovariate(1.0)))}"
            headers.append((b"x-model", f"{MODEL}/{adapter}".encode()))
            headers.append((b"x-token-count", b"20,30"))
        return request_id, headers

    def _check_key_revocation(
        self, machine: Machine, key: str, request_id: str, sent_s: float
    ) -> None:
        """Record a violation if a withdrawn key was accepted after `REVOCATION_LIMIT_S`.

        An entry may accept the key for longer if it was frozen or the store was unreachable, since
        it could not learn of the withdrawal.
        """
        withdrawn_s = self.fleet.checker.withdrawn_s_by_key.get(key)
        if withdrawn_s is None or sent_s < withdrawn_s + REVOCATION_LIMIT_S:
            return
        if (
            machine.frozen_until_s + REVOCATION_LIMIT_S < sent_s
            and not self._store_was_unreachable(sent_s)
        ):
            self.fleet.checker.violations.append(f"{request_id} ran with a withdrawn key")

    def _store_was_unreachable(self, now_s: float) -> bool:
        return self._store_fault_until_s + REVOCATION_LIMIT_S > now_s

    # Faults

    async def _inject_faults(self) -> None:
        """Start random faults for `FAULT_PHASE_S`, and wait for those that last longer.

        Faults may overlap. The weights make some faults more frequent than others.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + FAULT_PHASE_S
        faults = (
            self._kill,
            self._freeze,
            self._stop,
            self._reload,
            self._trouble_desk,
            self._trouble_store,
            self._restart_engine,
            self._change_keys,
            self._kill_all,
        )
        weights = (3, 3, 2, 1, 4, 2, 2, 2, 1)
        fault_tasks: list[asyncio.Task] = []
        while loop.time() < end_s:
            (inject,) = self._random.choices(faults, weights)
            self._faults.append(inject.__name__.strip("_"))
            fault_tasks.append(asyncio.create_task(inject()))
            await asyncio.sleep(self._random.uniform(0.1, 1.5))
        await asyncio.wait(fault_tasks)

    async def _limit_endpoints(self) -> None:
        """Let one endpoint after the other name a limit, until the faults end."""
        rng, loop = self._limits_random, asyncio.get_running_loop()
        end_s = loop.time() + FAULT_PHASE_S
        while loop.time() < end_s:
            await asyncio.sleep(rng.uniform(*LIMIT_PAUSE_S))
            endpoint: Endpoint = rng.choice(self.fleet.endpoints)
            endpoint.limit_per_s = rng.uniform(*LIMIT_PER_S)
            checker = self.fleet.checker
            checker.limit_by_endpoint[endpoint.name] = (endpoint.limit_per_s, loop.time())
            await asyncio.sleep(rng.uniform(*LIMIT_DURATION_S))
            endpoint.limit_per_s = None
            del checker.limit_by_endpoint[endpoint.name]

    async def _evacuate_domain(self) -> None:
        """Evacuate one of the two domains of endpoints, until a second in which that counts."""
        rng, loop = self._evacuations_random, asyncio.get_running_loop()
        domain = rng.choice(self.fleet.endpoints).domain
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        self.fleet.evacuate(domain)
        since_s = max(loop.time(), self._store_fault_until_s)
        self.fleet.checker.evacuated_s_by_domain[domain] = since_s
        checker = self.fleet.checker
        while True:
            # Faults move the end.
            end_s = checker.evacuation_counts_from_s(domain) + CHECKED_EVACUATION_S
            if loop.time() >= end_s:
                break
            await asyncio.sleep(end_s - loop.time())
        del checker.evacuated_s_by_domain[domain]
        self.fleet.end_evacuation(domain)

    async def _write_odd_entries(self) -> None:
        for key, value in itertools.cycle(ODD_ENTRIES):
            self.fleet.store.put(key, value)
            await asyncio.sleep(ODD_ENTRY_INTERVAL_S)

    async def _restore_store(self) -> None:
        """Restore the store from a copy that lacks an endpoint, which registers again."""
        rng = self._restore_random
        await asyncio.sleep(rng.uniform(*RESTORE_AFTER_S))
        revision = self.fleet.store.revision
        await self.fleet.add_service(PLAIN_SERVICES + 1)
        await asyncio.sleep(rng.uniform(*COPY_AGE_S))
        self.fleet.restore_store(revision)
        await asyncio.sleep(REGISTERED_AGAIN_S)
        self.fleet.register_again()

    async def _change_quotas(self) -> None:
        """Set, lift, lower and raise the quota of one organisation, and lift it in the end."""
        rng, loop = self._quotas_random, asyncio.get_running_loop()
        end_s = loop.time() + FAULT_PHASE_S
        while loop.time() < end_s:
            await asyncio.sleep(rng.uniform(0.3, 1.5))
            self.fleet.visitors_rate_per_s = rng.choice(VISITORS_RATES_PER_S)
            self.fleet.publish()
        self.fleet.visitors_rate_per_s = 0.0
        self.fleet.publish()

    def _pick_machine(self) -> Machine:
        return self._random.choice(self.fleet.machines)

    async def _kill(self) -> None:
        self._pick_machine().signal(signal.SIGKILL)

    async def _kill_all(self) -> None:
        for machine in self.fleet.machines:
            machine.signal(signal.SIGKILL)

    async def _freeze(self) -> None:
        machine, duration_s = self._pick_machine(), self._random.uniform(0.3, 3.0)
        machine.frozen_until_s = asyncio.get_running_loop().time() + duration_s
        self.fleet.checker.postpone_evacuations(machine.frozen_until_s)
        machine.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        machine.signal(signal.SIGCONT)

    async def _stop(self) -> None:
        self._pick_machine().signal(signal.SIGTERM)

    async def _reload(self) -> None:
        self._pick_machine().signal(signal.SIGHUP)

    async def _trouble_desk(self) -> None:
        proxy = self._random.choice(self.fleet.proxies)
        if self._random.random() < 0.3:
            proxy.reset_all()
            return
        proxy.fault = self._random.choice((Fault.DELAY, Fault.DROP_RESPONSES, Fault.DROP_ALL))
        await asyncio.sleep(self._random.uniform(0.3, 2.0))
        proxy.fault = Fault.NONE
        proxy.reset_all()

    async def _trouble_store(self) -> None:
        proxy, duration_s = self.fleet.store_proxy, self._random.uniform(0.3, 3.0)
        self._store_fault_until_s = asyncio.get_running_loop().time() + duration_s
        self.fleet.checker.postpone_evacuations(self._store_fault_until_s)
        proxy.fault = self._random.choice((Fault.DELAY, Fault.DROP_RESPONSES, Fault.DROP_ALL))
        await asyncio.sleep(duration_s)
        proxy.fault = Fault.NONE
        proxy.reset_all()

    async def _restart_engine(self) -> None:
        engines = [endpoint for endpoint in self.fleet.endpoints if isinstance(endpoint, Engine)]
        engine = self._random.choice(engines)
        await engine.close()
        engine.restart()
        self.fleet.checker.restart_endpoint(engine.name, asyncio.get_running_loop().time())
        await engine.reopen()
        self.fleet.register(engine, "llm", engine.address)

    async def _change_keys(self) -> None:
        if "key-two" in self.fleet.keys:
            self.fleet.keys.discard("key-two")
            now_s = asyncio.get_running_loop().time()
            self.fleet.checker.withdrawn_s_by_key["key-two"] = now_s
        else:
            self.fleet.keys.add("key-two")
            self.fleet.checker.withdrawn_s_by_key.pop("key-two")
        self.fleet.publish()

    async def _check_recovery(self) -> None:
        """Check what holds after `RECOVERY_S` without faults.

        `MIN_RECOVERED_RATIO` of probes succeed, and each entry serves by the newest configuration.
        """
        await asyncio.sleep(RECOVERY_S)
        names = sorted(endpoint.name for endpoint in self.fleet.endpoints)
        for machine in self.fleet.entries:
            state = await self._state_of(machine)
            version, known = state.get("table"), sorted(state.get("endpoints", ()))
            if version != self.fleet.config_version:
                self.fleet.checker.violations.append(
                    f"{machine.name} has configuration {version}, not {self.fleet.config_version}"
                )
            if known != names:
                self.fleet.checker.violations.append(f"{machine.name} knows {known}, not {names}")
            if await self._send_and_check(machine, "pay", VISITORS_KEY) == 0:
                self.fleet.checker.violations.append(f"{machine.name} gave a visitor no answer")
        served_count = 0
        for number in range(PROBES):
            machine = self.fleet.entries[number % len(self.fleet.entries)]
            kind = ("chat", "draft", "look", "pay")[number % 4]
            served_count += await self._send_and_check(machine, kind, "key-one") == 200
        entries = self.fleet.entries
        statuses = [
            await self._begin_and_take_up(entries[number % len(entries)], "key-one")
            for number in range(TAKE_UPS)
        ]
        if statuses.count(200) < MIN_TAKEN_UP_RATIO * TAKE_UPS:
            self.fleet.checker.violations.append(
                f"of {TAKE_UPS} streams {statuses.count(200)} were taken up after the recovery"
            )
        if served_count < MIN_RECOVERED_RATIO * PROBES:
            self.fleet.checker.violations.append(
                f"{served_count} of {PROBES} served after the recovery"
            )

    async def _state_of(self, machine: Machine) -> dict:
        """Return what an entry says of its state; empty without an answer."""
        client = HttpClient(f"{machine.ip}:{CONTROL_PORT}")
        try:
            response = await client.request("GET", "/state", timeout_ms=ANSWER_TIMEOUT_MS)
            return json.loads(await response.read_body(timeout_ms=ANSWER_TIMEOUT_MS))
        except LinkLost:
            return {}
        finally:
            client.close()


async def run_seed(seed: int, folder: Path) -> tuple[list[str], str]:
    """Run one seed; return the violations and a description of what was injected and received."""
    soak = Soak(seed, folder)
    violations = await soak.run()
    return violations, soak.describe()


def main(*seeds: int, minutes: float = 0.0) -> None:
    """Run *seeds*, then the seeds after the last one until *minutes* have passed.

    The folder with the logs of each seed stays; for a seed with violations it is printed. Exits
    with 1 if a seed has violations, else with 0.
    """
    failed_count = seed_count = 0
    end_s = time.monotonic() + 60 * minutes
    queue = deque(seeds)
    while queue:
        seed = queue.popleft()
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations, description = asyncio.run(run_seed(seed, folder))
        failed_count += bool(violations)
        seed_count += 1
        outcome = "BROKEN " + "; ".join(violations) if violations else "kept"
        print(f"seed {seed}: {outcome}; {description}", flush=True)
        if violations:
            print(f"seed {seed}: logs in {folder}", flush=True)
        if not queue and time.monotonic() < end_s:
            queue.append(seed + 1)
    print(f"{seed_count - failed_count} seeds kept every promise, {failed_count} broke one")
    sys.exit(1 if failed_count else 0)


if __name__ == "__main__":
    fire.Fire(main)
