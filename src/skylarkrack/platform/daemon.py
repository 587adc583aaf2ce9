"""The daemon on the users' platform; builds its processes from their parts."""

import asyncio
import os
import secrets
import signal
import sys
import time
from dataclasses import replace

from skylarkrack._errors import FileRejected
from skylarkrack._events import Event, log, open_log
from skylarkrack._tasks import repeat
from skylarkrack.platform._engine import PlatformEngineClient
from skylarkrack.platform._headers import PlatformCodec
from skylarkrack.platform._settings import PlatformSettings, read_settings, settings_path
from skylarkrack.platform._watch import StoreWatcher
from skylarkrack.relay import EngineAgent, LogSink, RelayEntry

EXIT_BAD_SETTINGS = 2
"""Exit status after a wrong command line, or settings or policies that can't be used."""

ROLES = ("entry", "agent")

RELOAD_INTERVAL_MS = 1000
"""Interval between checks of the settings file, which may change without a signal."""


def build_process(
    role: str, settings: PlatformSettings
) -> tuple[RelayEntry | EngineAgent, StoreWatcher | None]:
    """Return the process of *role*, and for an entry its watcher of the store, else None."""
    incarnation = secrets.token_hex(8)
    if role == "entry":
        entry = RelayEntry(settings.relay, codec=PlatformCodec(), incarnation=incarnation)
        watcher = StoreWatcher(
            settings.store,
            entry.registry,
            count_entries=entry.count_entries,
            exchange=entry.store_feed,
            heartbeat_ms=settings.heartbeat_ms,
            history_ms=settings.history_ms,
        )
        entry.set_registry_history(watcher.history)
        return entry, watcher
    # An agent stores nothing, so its fence is the calendar time: a later start has a higher one.
    agent = EngineAgent(
        settings.relay,
        engine=PlatformEngineClient(settings.relay.engine),
        incarnation=incarnation,
        fence=int(time.time() * 1000),
    )
    return agent, None


class SettingsFile:
    """The settings file, checked for changes at intervals and on SIGHUP."""

    __slots__ = ("_path", "_file_id")

    def __init__(self, path: str) -> None:
        self._path = path
        self._file_id: object = None

    def read(self) -> PlatformSettings:
        """Return the settings; raises `FileRejected` or `OSError`."""
        self._file_id = self._current_file_id()
        return read_settings(self._path)

    def read_if_changed(self) -> PlatformSettings | None:
        """Return the new settings if the file has changed and is valid, else None.

        A file that can't be used is logged.
        """
        try:
            if self._current_file_id() == self._file_id:
                return None
            return self.read()
        except (FileRejected, OSError) as error:
            log(Event.SETTINGS_RELOADED, ok=False, error=str(error))
            return None

    def _current_file_id(self) -> object:
        status = os.stat(self._path)
        return status.st_mtime_ns, status.st_size, status.st_ino


async def serve(role: str, file: SettingsFile, settings: PlatformSettings, sink: LogSink) -> None:
    """Run one process until SIGTERM or SIGINT; it is drained first, so that no work is cut."""
    sink.start()
    process, watcher = build_process(role, settings)
    stopping, reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await process.start()
    if watcher is not None:
        watcher.start()
    log(Event.PROCESS_STARTED, role=role, domain=settings.relay.domain)
    reloading = asyncio.create_task(
        repeat(SettingsReload(file, reload, process, sink).step, name="settings")
    )
    await stopping.wait()
    log(Event.PROCESS_STOPPING)
    await process.drain()
    reloading.cancel()
    if watcher is not None:
        await watcher.close()
    await process.close()
    log(Event.PROCESS_STOPPED)


class SettingsReload:
    """Applies changed settings to a process, and logs the lines that its log has dropped."""

    __slots__ = ("_file", "_logged_dropped", "_process", "_requested", "_sink")

    def __init__(
        self,
        file: SettingsFile,
        requested: asyncio.Event,
        process: RelayEntry | EngineAgent,
        sink: LogSink,
    ) -> None:
        self._file = file
        self._requested = requested
        self._process = process
        self._sink = sink
        self._logged_dropped = 0

    async def step(self) -> None:
        """Wait for a request or for `RELOAD_INTERVAL_MS`, then apply settings that changed."""
        try:
            async with asyncio.timeout(RELOAD_INTERVAL_MS / 1000):
                await self._requested.wait()
        except TimeoutError:
            pass
        self._requested.clear()
        settings = self._file.read_if_changed()
        if settings is not None:
            self._process.settings_changed(settings.relay)
            log(Event.SETTINGS_RELOADED, ok=True, seeds=settings.relay.seeds)
        if self._sink.dropped != self._logged_dropped:
            log(Event.LINES_DROPPED, since_start=self._sink.dropped)
            self._logged_dropped = self._sink.dropped


def _with_policy(settings: PlatformSettings, paths: list[str]) -> PlatformSettings:
    """Return *settings* with the policies of the first of *paths*, unchanged without paths."""
    if not paths:
        return settings
    # Imported late: the checks of a policy file take several MB, which other processes save.
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
