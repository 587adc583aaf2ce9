"""Reader of the settings file that the platform puts on a VM: lines of `a.b=value`."""

import math
import os
from dataclasses import dataclass
from pathlib import Path

from skylarkrack._errors import Code, FileRejected
from skylarkrack.core.relay import ColdMargin
from skylarkrack.relay import RelaySettings

PATH_VARIABLE = "SKYLARKRACK_BOOT"
DEFAULT_PATH = "/etc/skylarkrack/boot.conf"

DEFAULT_GRACE_S = 8.0
"""Time between SIGTERM and SIGKILL if the file does not set it."""

DEFAULT_RETRY_SLACK = 50.0
"""Retries of all entries in ten seconds beyond their ratio, if the file does not set them."""

DEFAULT_HEARTBEAT_MS = 1200.0
"""Time between two registrations of an endpoint if the file does not set it."""

DEFAULT_HISTORY_MS = 20_000.0
"""Time for which the store keeps its history if the file does not set it."""

MIN_FORWARDING_LINK_MBPS = 50.0
"""Slowest link on which an entry forwards messages of other entries.

A configuration of 1 MB occupies a link of 10 Mbit/s for most of a second, and forwarded messages
would wait for that long.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """A VM's settings; *store* is the address of the platform's store, as `IP:port`.

    Endpoints register every *heartbeat_ms*, and the store keeps its history for *history_ms*.
    """

    relay: RelaySettings
    store: str
    heartbeat_ms: float = DEFAULT_HEARTBEAT_MS
    history_ms: float = DEFAULT_HISTORY_MS


def settings_path() -> str:
    """Return the path of the settings file: from the environment, or the default."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def read_settings(path: str) -> PlatformSettings:
    """Read the settings file at *path*; raises `FileRejected` or `OSError`."""
    return parse_settings(Path(path).read_text(encoding="utf-8"), file=path)


def parse_settings(text: str, *, file: str) -> PlatformSettings:
    """Return the settings in *text*, the content of *file*.

    Raises `FileRejected`, which lists every missing key, or names a number that is none.
    """
    value_by_key = _parse_lines(text)
    missing = [key for key in ("node-name", "ip", "platform.addr") if not value_by_key.get(key)]
    if missing:
        problems = tuple(f"{file}: the key {key} is missing" for key in missing)
        raise FileRejected(problems, code=Code.BAD_SETTINGS)
    port = value_by_key.get("port-range", "7600").split(",")[0]
    relay = RelaySettings(
        vm=value_by_key["node-name"],
        domain=value_by_key.get("zone", ""),
        peers=f"{value_by_key['ip']}:{port}",
        seeds=_seeds(value_by_key.get("seeds", ""), port),
        grace_ms=_number(value_by_key, "bounds.grace-s", DEFAULT_GRACE_S) * 1000,
        # The fleet's retries in ten seconds beyond their ratio.
        retry_slack=_number(value_by_key, "bounds.budget-slack", DEFAULT_RETRY_SLACK),
        callers=value_by_key.get("listen.front"),
        readiness=value_by_key.get("listen.ready"),
        status=value_by_key.get("listen.control") or f"{value_by_key['ip']}:{int(port) + 1}",
        # The address of the model engine on an agent's VM.
        engine=value_by_key.get("app"),
        passes_on=_number(value_by_key, "limits.link-mbps", MIN_FORWARDING_LINK_MBPS)
        >= MIN_FORWARDING_LINK_MBPS,
        cold_margin=ColdMargin(
            overshoot=_at_least_0(value_by_key, "bounds.cold-overshoot", ColdMargin().overshoot),
            slack=_at_least_0(value_by_key, "bounds.cold-slack", ColdMargin().slack),
        ),
        memory_bytes=_at_least_0(value_by_key, "limits.memory-mb", 0.0) * 1e6 or math.inf,
        cancels_on_revocation=value_by_key.get("bounds.strict-revoke") == "true",
    )
    history_s = _at_least_0(value_by_key, "platform.history-s", DEFAULT_HISTORY_MS / 1000)
    return PlatformSettings(
        relay=relay,
        store=value_by_key["platform.addr"],
        heartbeat_ms=_at_least_0(value_by_key, "heartbeat-ms", DEFAULT_HEARTBEAT_MS)
        or DEFAULT_HEARTBEAT_MS,
        history_ms=history_s * 1000,
    )


def _parse_lines(text: str) -> dict[str, str]:
    value_by_key = {}
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator and not key.lstrip().startswith("#"):
            value_by_key[key.strip()] = value.strip()
    return value_by_key


def _seeds(value: str, port: str) -> tuple[str, ...]:
    """Return the seeds' addresses for messages between peers; all VMs use the same port."""
    hosts = [seed.strip().rpartition(":")[0] for seed in value.split(",") if seed.strip()]
    return tuple(f"{host}:{port}" for host in hosts)


def _number(value_by_key: dict[str, str], key: str, default: float) -> float:
    try:
        return float(value_by_key.get(key) or default)
    except ValueError as error:
        problem = f"the key {key}: {value_by_key[key]!r} is not a number"
        raise FileRejected((problem,), code=Code.BAD_SETTINGS) from error


def _at_least_0(value_by_key: dict[str, str], key: str, default: float) -> float:
    number = _number(value_by_key, key, default)
    if not 0 <= number < math.inf:
        problem = f"the key {key}: {value_by_key[key]!r} is not a number of at least 0"
        raise FileRejected((problem,), code=Code.BAD_SETTINGS)
    return number
