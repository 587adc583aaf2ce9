"""Background tasks that are cancelled when their owner closes."""

import asyncio
import reprlib
from collections.abc import Awaitable, Callable, Coroutine

from skylarkrack._events import Event, log

FAILED_PAUSE_MS = 1000.0
"""Pause after a step of a background task that failed, which keeps its log lines few."""


async def repeat(step: Callable[[], Awaitable[None]], *, name: str) -> None:
    """Run *step* again and again; one that raises is logged, as nothing awaits the task.

    *name* identifies the task in the log.
    """
    while True:
        try:
            await step()
        except Exception as error:  # noqa: BLE001 - the other steps must go on
            log(Event.TASK_FAILED, task=name, error=reprlib.repr(error))
            await asyncio.sleep(FAILED_PAUSE_MS / 1000)


class Tasks:
    """Running tasks.

    The event loop keeps only weak references to tasks. Each task is referenced here until it ends,
    or it could be collected before.
    """

    __slots__ = ("_running",)

    def __init__(self) -> None:
        self._running: set[asyncio.Task] = set()

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run *coroutine* in the background."""
        task = asyncio.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    def close(self) -> None:
        """Cancel all running tasks."""
        for task in list(self._running):
            task.cancel()
