"""The settings file that the platform puts on a machine: lines of `a.b=value`."""

import os
from dataclasses import dataclass
from pathlib import Path

from skylarkrack._errors import Code, FileRejected
from skylarkrack.relay import RelaySettings

PATH_VARIABLE = "SKYLARKRACK_BOOT"
DEFAULT_PATH = "/etc/skylarkrack/boot.conf"

DEFAULT_GRACE_S = 8.0
"""Time between SIGTERM and SIGKILL where the file does not say."""

DEFAULT_RETRY_SLACK = 50.0

MIN_FORWARDING_LINK_MBPS = 50.0
"""Link from which an entry hands on what others tell. A configuration of a megabyte fills one of 10
Mbit/s for most of a second, and everything that it passes on would wait for that."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """A machine's settings, and the address of the platform's store."""

    relay: RelaySettings
    store: str


def settings_path() -> str:
    """Return where the settings file lies."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def read_settings(path: str) -> PlatformSettings:
    """Read the settings file at *path*; raises `FileRejected` or `OSError`."""
    return parse_settings(Path(path).read_text(encoding="utf-8"), file=path)


def parse_settings(text: str, *, file: str) -> PlatformSettings:
    """Return the settings in *text*, or raise `FileRejected` with every key that is missing."""
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
        retry_slack=_number(value_by_key, "bounds.budget-slack", DEFAULT_RETRY_SLACK),
        callers=value_by_key.get("listen.front"),
        readiness=value_by_key.get("listen.ready"),
        status=value_by_key.get("listen.control") or f"{value_by_key['ip']}:{int(port) + 1}",
        engine=value_by_key.get("app"),
        passes_on=_number(value_by_key, "limits.link-mbps", MIN_FORWARDING_LINK_MBPS)
        >= MIN_FORWARDING_LINK_MBPS,
        cancels_on_revocation=value_by_key.get("bounds.strict-revoke") == "true",
    )
    return PlatformSettings(relay=relay, store=value_by_key["platform.addr"])


def _parse_lines(text: str) -> dict[str, str]:
    value_by_key = {}
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator and not key.lstrip().startswith("#"):
            value_by_key[key.strip()] = value.strip()
    return value_by_key


def _seeds(value: str, port: str) -> tuple[str, ...]:
    """Return the peers' addresses of the seeds: ports are the same on all machines."""
    hosts = [seed.strip().rpartition(":")[0] for seed in value.split(",") if seed.strip()]
    return tuple(f"{host}:{port}" for host in hosts)


def _number(value_by_key: dict[str, str], key: str, default: float) -> float:
    try:
        return float(value_by_key.get(key) or default)
    except ValueError as error:
        problem = f"the key {key}: {value_by_key[key]!r} is no number"
        raise FileRejected((problem,), code=Code.BAD_SETTINGS) from error
