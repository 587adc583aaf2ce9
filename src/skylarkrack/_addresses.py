"""Addresses of the form `IP:port`."""

import ipaddress

from skylarkrack._numbers import whole_number

MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Return the host, without brackets, and the port of a valid `IP:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def check_address(address: str) -> str:
    """Return *address* if it is `IP:port`, else raise `ValueError`; no host name is resolved."""
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError("an IP number and a port, as in 10.0.0.7:7100")
    ipaddress.ip_address(host.strip("[]"))
    return address


def is_address(address: str) -> bool:
    """Return whether an address that another program wrote can be connected to."""
    if whole_number(address.rpartition(":")[2], max_digits=_MAX_PORT_DIGITS) is None:
        return False
    try:
        check_address(address)
    except ValueError:
        return False
    return True
