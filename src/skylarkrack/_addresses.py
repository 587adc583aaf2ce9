"""Addresses of the form `IP:port`."""

import ipaddress

MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Return the host, without brackets, and the port of a valid `IP:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_address(address: str) -> bool:
    """Return whether *address* is an IP number and a port that can be connected to."""
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return True
