"""Addresses of the form `IP:port`."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host, without brackets, and the port of a valid `IP:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
