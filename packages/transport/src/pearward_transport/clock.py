"""The clock that leases are measured by.

CLOCK_BOOTTIME goes on while an instance is suspended and is never set, so a daemon
that was paused sees at once how long. Source: clock_gettime(2).
"""

import time
from typing import Any

from twisted.internet.defer import Deferred

__all__ = ["boot_time", "sleep", "unix_time"]


def boot_time() -> float:
    """Return seconds since the instance booted, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time() -> float:
    """Return seconds since the epoch, for times that leave the process."""
    return time.time()


def sleep(reactor: Any, seconds: float) -> "Deferred[None]":
    """Return a Deferred that fires after *seconds* by *reactor*'s clock."""
    waited: Deferred[None] = Deferred()
    reactor.callLater(seconds, waited.callback, None)
    return waited
