"""Clocks of the process. The core gets their values as arguments and never reads a clock."""

import time

# CLOCK_BOOTTIME also advances while a VM is suspended, so that leases expire meanwhile.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic_ms() -> float:
    """Return the time in milliseconds of a monotonic clock."""
    return time.clock_gettime(_CLOCK) * 1000


def local_calendar_s() -> float:
    """Return the VM's own calendar time in seconds since the epoch.

    Used for plan dates while the platform's calendar time is not known, and for the age of
    endpoints, whose starts are calendar times.
    """
    return time.time()
