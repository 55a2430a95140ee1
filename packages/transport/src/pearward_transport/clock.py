"""The clock that leases are measured by.

CLOCK_BOOTTIME goes on while an instance is suspended and is never set, so a daemon
that was paused sees at once how long. Source: clock_gettime(2).
"""

import time

__all__ = ["boot_time", "unix_time"]


def boot_time() -> float:
    """Return seconds since the instance booted, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time() -> float:
    """Return seconds since the epoch, for times that leave the process."""
    return time.time()
