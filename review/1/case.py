"""A planned stop under clients that reuse their connections."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

CONNECTIONS = int(os.environ.get("CONNECTIONS", "20"))
EVENTS, EVENT_S = 48, 0.1
STREAMS_AFTER_S = 3.0
TERM_AFTER_STREAMS_S = 0.8
GRACE_S = 8.0


async def answer_stream(worker: harness.Worker, request: harness.Received) -> None:
    """Stream an answer that takes about five seconds."""
    worker.record.write(f"run {request.request_id} at {worker.name}")
    harness.start_stream(request)
    for number in range(1, EVENTS + 1):
        if request.writer.is_closing():
            worker.record.write(f"run {request.request_id} lost its connection")
            return
        harness.send_event(request, number)
        await asyncio.sleep(EVENT_S)
    harness.end_stream(request)
    worker.record.write(f"ran {request.request_id} to its end")


async def run() -> int:
    """Run the case and return its result."""
    async with harness.Deployment(FOLDER) as deployment:
        deployment.publish()
        entry = deployment.add_machine(1, "entry")
        for number in (1, 2):
            await deployment.add_worker(number, "desk")
        models = [{"name": harness.MODEL, "version": 1, "adapters": []}]
        for number in (3, 4):
            worker = await deployment.add_worker(number, "llm", slots=64, models=models)
            worker.handle = answer_stream
            deployment.add_machine(20 + number, "agent", app=worker.address)
        await deployment.wait_ready(entry)
        await asyncio.sleep(1.0)
        host, port = deployment.front_of(entry)
        clients = await asyncio.create_subprocess_exec(
            sys.executable,
            str(FOLDER / "clients.py"),
            host,
            str(port),
            str(CONNECTIONS),
            str(STREAMS_AFTER_S),
            os.environ.get("PAUSE_MS", "0"),
            stdout=asyncio.subprocess.PIPE,
        )
        await asyncio.sleep(STREAMS_AFTER_S + TERM_AFTER_STREAMS_S)
        term_s = time.monotonic()
        if harness.has_trouble():
            entry.restarts = False
            deployment.signal(entry, signal.SIGTERM)
            deployment.record.write("SIGTERM to entry-1")
        output, _ = await clients.communicate()
        streams = json.loads(output)
        for each in streams:
            each["after_term_s"] = round(each["end_s"] - term_s, 3)
            deployment.record.write(f"client {json.dumps(each)}")
        (FOLDER / "entry.log").write_text(deployment.log_of(entry))
        complete = [each for each in streams if each["complete"]]
        # Excused: cut off in the last sixth of the grace, or before a worker began to run it.
        begun = [
            each
            for each in streams
            if each["status"] == 200 and each["end_s"] - term_s < GRACE_S * 5 / 6
        ]
        lost = [each for each in begun if not each["complete"]]
        print(f"{len(streams)} streams, {len(complete)} complete, {len(lost)} cut off")
        if len(streams) < CONNECTIONS:
            return harness.NOT_RUN
        return harness.BROKEN if lost else harness.HELD


harness.run_case(run)
