"""Background tasks of a part, which end with it."""

import asyncio
from collections.abc import Coroutine


class Tasks:
    """Running tasks; each is held until it ends, or the loop could lose it."""

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
        """Cancel whatever still runs."""
        for task in list(self._running):
            task.cancel()
