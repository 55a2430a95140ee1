"""Which services the platform's store is asked for, and what its answers mean. No I/O.

The load that this answers: callers of a service that a daemon has not heard of yet (it has just
started, or the service is new) need an answer that is true, in milliseconds; callers that make
names up, or a whole fleet that starts at once, must not reach the store with each request.
"""

from collections import OrderedDict
from enum import Enum

__all__ = ["Found", "ServiceLookups"]

ABSENT_S = 1.0
"""Time for which the store's word that a service does not exist is good: an accepted change is to
be in force everywhere within seconds."""
REMEMBERED = 1000
"""Names of absent services that are kept; the oldest goes."""
LOOKUPS_PER_S = 5.0
"""Lookups that a daemon makes over time: 14,000 daemons at once stay below what they ask of the
store at their start."""
LOOKUP_BURST = 32.0
"""Lookups that may be made at once: a daemon that has just started knows no service."""


class Found(Enum):
    """What is known of a service after a lookup."""

    THERE = "there"
    ABSENT = "absent"
    """The store has no rows of it: the name is wrong."""
    UNTOLD = "untold"
    """The store could not be asked: it may exist."""


class ServiceLookups:
    """Decides on lookups: at most so many, and none for what was answered a moment ago."""

    def __init__(self) -> None:
        self._absent: OrderedDict[str, float] = OrderedDict()
        self._tokens = LOOKUP_BURST
        self._counted_at = 0.0

    def known_absent(self, service: str, now: float) -> bool:
        """Return whether the store has said a moment ago that there is no such service."""
        said_at = self._absent.get(service)
        return said_at is not None and now - said_at < ABSENT_S

    def take(self, now: float) -> bool:
        """Spend one lookup; return False where too many have been made."""
        earned = max(0.0, now - self._counted_at) * LOOKUPS_PER_S
        self._tokens = min(LOOKUP_BURST, self._tokens + earned)
        self._counted_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def said_absent(self, service: str, now: float) -> None:
        """Note the store's word that there is no such service."""
        self._absent.pop(service, None)
        self._absent[service] = now
        while len(self._absent) > REMEMBERED:
            self._absent.popitem(last=False)
