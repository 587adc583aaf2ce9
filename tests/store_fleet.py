"""Builders of one store and of the entries of one failure domain before it."""

from skylarkrack.platform._watch import StoreWatcher
from skylarkrack.relay import RelayEntry
from standins.platform_store import PlatformStore
from tests.platform_builders import as_bytes, config, registration
from tests.test_relay_fleet import entry, settings


async def start_store() -> PlatformStore:
    """Start a store that holds a configuration and the registration of one endpoint."""
    platform = PlatformStore()
    await platform.start("127.0.0.1:0")
    platform.put("op/config", as_bytes(config()))
    platform.put("servers/i-1", as_bytes(registration("10.0.0.1:80")))
    return platform


async def start_entries(
    platform: PlatformStore, count: int
) -> tuple[list[RelayEntry], list[StoreWatcher]]:
    """Start *count* entries, of which one finds the others, and their watchers of the store."""
    entries: list[RelayEntry] = []
    watchers: list[StoreWatcher] = []
    host, port = platform.bound_address
    seeds: tuple[str, ...] = ()
    for number in range(1, count + 1):
        relay_settings = settings(f"n{number}", *seeds)
        seeds = seeds or (relay_settings.peers,)
        started = entry(relay_settings)
        await started.start()
        watcher = StoreWatcher(
            f"{host}:{port}",
            started.registry,
            count_entries=started.count_entries,
            exchange=started.store_feed,
        )
        watcher.start()
        entries.append(started)
        watchers.append(watcher)
    return entries, watchers
