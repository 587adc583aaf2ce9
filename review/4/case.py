"""A worker that asked for a pause is cut off from the store, and comes back during the pause."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

PAUSE_S = 20
CUT_S = 5.0
MAX_REQUESTS = 2
SLACK_S = 0.5
REQUESTS_PER_S = 80
WORK_S = 0.2


class Pausing:
    """A worker that refuses one request with Retry-After, and runs all others."""

    def __init__(self) -> None:
        self.paused_s: float | None = None
        self.has_refused = asyncio.Event()
        self.is_full = False

    async def handle(self, worker: harness.Worker, request: harness.Received) -> None:
        """Refuse a request while the worker is full, else run it."""
        if self.is_full and self.paused_s is None:
            self.paused_s = worker.record.now_s()
            self.has_refused.set()
            worker.record.write(f"{worker.name} refuses {request.request_id}, wants {PAUSE_S} s")
            headers = [("X-Not-Executed", "1"), ("X-Attempt-Id", request.request_id)]
            harness.respond(request, 503, [*headers, ("Retry-After", str(PAUSE_S))])
            return
        await harness.answer_plain(worker, request, WORK_S)


async def run() -> int:
    """Run the case and return its result."""
    async with harness.Deployment(FOLDER) as deployment:
        deployment.publish()
        entry = deployment.add_machine(1, "entry")
        pausing, other = [await deployment.add_worker(number, "desk") for number in (1, 2)]
        state = Pausing()
        pausing.handle, other.handle = state.handle, Pausing().handle
        await deployment.wait_ready(entry)
        clients = harness.Clients(deployment, entry, "GET", "/look/1", per_s=REQUESTS_PER_S)
        await asyncio.sleep(4.0)
        state.is_full = True
        await state.has_refused.wait()
        await asyncio.sleep(1.0)
        if harness.has_trouble():
            await deployment.cut_from_store(pausing, CUT_S)
        await asyncio.sleep(state.paused_s + PAUSE_S + 1.0 - deployment.record.now_s())
        await clients.stop()
        begin_s, end_s = state.paused_s + SLACK_S, state.paused_s + PAUSE_S
        late = [r.request_id for at_s, r in pausing.arrived if begin_s < at_s < end_s]
        print(f"{len(late)} requests in the pause; {len(other.arrived)} at the other worker")
        (FOLDER / "entry.log").write_text(deployment.log_of(entry))
        return harness.BROKEN if len(late) > MAX_REQUESTS else harness.HELD


harness.run_case(run)
