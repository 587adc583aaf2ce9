"""Background tasks that are cancelled when their owner closes."""

import asyncio
from collections.abc import Coroutine


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
