"""One fleet of real processes for all tests that do not break it."""

import asyncio
import atexit
from collections.abc import Coroutine

from standins.fleet import Fleet

_RUNNER = asyncio.Runner()
_FLEETS: list[Fleet] = []


def shared_fleet() -> Fleet:
    """Return the shared fleet, started at first use and ended with the process."""
    if not _FLEETS:
        fleet = Fleet()
        _FLEETS.append(fleet)
        atexit.register(fleet.close)
        _RUNNER.run(fleet.start())
    return _FLEETS[0]


def wait_for(coroutine: Coroutine) -> object:
    """Run *coroutine* to its end."""
    return _RUNNER.run(coroutine)
