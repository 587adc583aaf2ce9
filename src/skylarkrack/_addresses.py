"""Addresses of the form `IP:port`."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of a checked `IP:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
