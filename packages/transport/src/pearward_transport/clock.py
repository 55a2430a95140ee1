"""Clocks, among them the one by which leases are measured.

CLOCK_BOOTTIME advances while an instance is suspended and cannot be set, so a daemon that was
paused can determine immediately for how long. Source: clock_gettime(2).
"""

import time
from typing import Any

from twisted.internet.defer import Deferred

__all__ = ["boot_time", "sleep", "unix_time"]


def boot_time() -> float:
    """Return seconds since the instance was booted, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time() -> float:
    """Return seconds since the Unix epoch, for times that leave the process."""
    return time.time()


def sleep(reactor: Any, seconds: float) -> "Deferred[None]":
    """Return a Deferred that fires after *seconds* on the clock of *reactor*."""
    waited: Deferred[None] = Deferred()
    reactor.callLater(seconds, waited.callback, None)
    return waited
