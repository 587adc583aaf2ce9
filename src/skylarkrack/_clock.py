"""The clocks of the process; the core is handed their values and never reads them."""

import time

# CLOCK_BOOTTIME goes on while a VM is suspended, so that leases also end over a suspension.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic_ms() -> float:
    """Return milliseconds on a clock that never steps."""
    return time.clock_gettime(_CLOCK) * 1000


def local_calendar_s() -> float:
    """Return the VM's own calendar time in seconds; only a fall-back for plan dates."""
    return time.time()
