"""The daemon `skylarkrackd`, and the only place where the parts of a process are composed."""

import asyncio
import secrets
import signal
import sys
from random import Random

from skylarkrack._errors import FileRejected
from skylarkrack._events import Event, log, open_log
from skylarkrack._settings import Settings, read_settings
from skylarkrack.agent import Agent
from skylarkrack.entry import Entry
from skylarkrack.ports import PlatformPort

EXIT_BAD_SETTINGS = 2
DRAIN_TIMEOUT_MS = 150_000
"""Longest time that a planned stop may take; the process then closes with requests still open.

Every request ends by its own deadline before that.
"""


def compose(settings: Settings, *, incarnation: str, random: Random) -> Entry | Agent:
    """Return the entry or agent that *settings* describe, not yet started."""
    platform = PlatformPort(settings.platform)
    kind = Entry if settings.role == "entry" else Agent
    return kind(settings, platform=platform, incarnation=incarnation, random=random)


async def serve(settings: Settings) -> None:
    """Run one process until SIGTERM or SIGINT; open requests are completed before it stops."""
    process = compose(settings, incarnation=secrets.token_hex(8), random=Random())
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await process.start()
    log(Event.PROCESS_STARTED, role=settings.role, listen=settings.listen)
    await stopping.wait()
    log(Event.PROCESS_STOPPING)
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_MS / 1000):
            await process.drain()
    except TimeoutError:
        pass
    await process.close()
    log(Event.PROCESS_STOPPED)


def main() -> None:
    """Start the daemon with the settings file named on the command line."""
    if len(sys.argv) != 2:
        print("usage: skylarkrackd SETTINGS.toml", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    try:
        settings = read_settings(sys.argv[1])
    except (FileRejected, OSError) as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    open_log(vm=settings.vm, level=settings.log_level)
    asyncio.run(serve(settings))


if __name__ == "__main__":
    main()
