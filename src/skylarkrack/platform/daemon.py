"""The daemon on the users' platform, and the one place where its processes are put together."""

import asyncio
import os
import secrets
import signal
import sys
import time
from dataclasses import replace

from skylarkrack._errors import FileRejected
from skylarkrack._events import Event, log, open_log
from skylarkrack.platform._engine import PlatformEngineClient
from skylarkrack.platform._headers import PlatformCodec
from skylarkrack.platform._settings import PlatformSettings, read_settings, settings_path
from skylarkrack.platform._watch import StoreWatcher
from skylarkrack.relay import EngineAgent, LogSink, RelayEntry

EXIT_BAD_SETTINGS = 2
ROLES = ("entry", "agent")

RELOAD_INTERVAL_MS = 1000
"""Time between looks at the settings file, which may change without a signal."""


def build_process(
    role: str, settings: PlatformSettings
) -> tuple[RelayEntry | EngineAgent, StoreWatcher | None]:
    """Return the process of *role*, and what reads the store for it if it needs that."""
    incarnation = secrets.token_hex(8)
    if role == "entry":
        entry = RelayEntry(settings.relay, codec=PlatformCodec(), incarnation=incarnation)
        return entry, StoreWatcher(
            settings.store, entry.registry, count_entries=entry.count_entries
        )
    # Nothing of an agent outlasts it but the clock, so its calendar makes later fences higher.
    agent = EngineAgent(
        settings.relay,
        engine=PlatformEngineClient(settings.relay.engine),
        incarnation=incarnation,
        fence=int(time.time() * 1000),
    )
    return agent, None


class SettingsFile:
    """The settings file, read again when it changes or a signal asks for it."""

    __slots__ = ("_path", "_file_id")

    def __init__(self, path: str) -> None:
        self._path = path
        self._file_id: object = None

    def read(self) -> PlatformSettings:
        """Return the settings; raises `FileRejected` or `OSError`."""
        self._file_id = self._current_file_id()
        return read_settings(self._path)

    def read_if_changed(self) -> PlatformSettings | None:
        """Return new settings if the file has changed and is good."""
        try:
            if self._current_file_id() == self._file_id:
                return None
            return self.read()
        except (FileRejected, OSError) as error:
            log(Event.SETTINGS_RELOADED, ok=False, error=str(error))
            return None

    def _current_file_id(self) -> object:
        found = os.stat(self._path)
        return found.st_mtime_ns, found.st_size, found.st_ino


async def serve(role: str, file: SettingsFile, settings: PlatformSettings, sink: LogSink) -> None:
    """Run one process until SIGTERM, which stops it without cutting work."""
    sink.start()
    process, watcher = build_process(role, settings)
    stopping, reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await process.start()
    if watcher is not None:
        watcher.start()
    log(Event.PROCESS_STARTED, role=role, domain=settings.relay.domain)
    reloading = asyncio.create_task(_reload_forever(file, reload, process, sink))
    await stopping.wait()
    log(Event.PROCESS_STOPPING)
    await process.drain()
    reloading.cancel()
    if watcher is not None:
        await watcher.close()
    await process.close()
    log(Event.PROCESS_STOPPED)


async def _reload_forever(
    file: SettingsFile, reload: asyncio.Event, process: RelayEntry | EngineAgent, sink: LogSink
) -> None:
    dropped = 0
    while True:
        try:
            async with asyncio.timeout(RELOAD_INTERVAL_MS / 1000):
                await reload.wait()
        except TimeoutError:
            pass
        reload.clear()
        settings = file.read_if_changed()
        if settings is not None:
            process.settings_changed(settings.relay)
            log(Event.SETTINGS_RELOADED, ok=True, seeds=settings.relay.seeds)
        if sink.dropped != dropped:
            log(Event.LINES_DROPPED, since_start=sink.dropped)
            dropped = sink.dropped


def _with_policy(settings: PlatformSettings, paths: list[str]) -> PlatformSettings:
    """Return *settings* with the policies of the file that was named, if one was."""
    if not paths:
        return settings
    # Checking the file takes several MB, which a process without one saves.
    from skylarkrack.relay._policy_file import read_policy

    return replace(settings, relay=replace(settings.relay, policy=read_policy(paths[0])))


def main() -> None:
    """Start the daemon in the role named on the command line."""
    if len(sys.argv) not in (2, 3) or sys.argv[1] not in ROLES:
        print(f"usage: skylarkrackd {'|'.join(ROLES)} [POLICY_FILE]", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    file = SettingsFile(settings_path())
    try:
        settings = _with_policy(file.read(), sys.argv[2:])
    except (FileRejected, OSError) as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    sink = LogSink(sys.stdout.fileno())
    open_log(vm=settings.relay.vm, sink=sink)
    try:
        asyncio.run(serve(sys.argv[1], file, settings, sink))
    finally:
        sink.close()
