"""Rate limit and negative cache for lookups of services in the platform's store. No I/O.

Callers of a service that is unknown to a daemon, because the daemon has just started or the
service is new, need a correct response within milliseconds. Callers with invalid service names, or
a whole fleet that starts at once, must not cause a read of the store with each request.
"""

from collections import OrderedDict
from enum import Enum

__all__ = ["LookupResult", "ServiceLookups"]

ABSENT_TTL_S = 1.0
"""Time in s for which the absence of a service in the store is cached: an accepted change has to be
in force everywhere within seconds."""
MAX_ABSENT_NAMES = 1000
"""Maximum number of cached absent services; the oldest is evicted."""
LOOKUPS_PER_S = 5.0
"""Sustained rate of a daemon's lookups: with 14,000 daemons this stays below the load that they put
on the store when they start."""
LOOKUP_BURST = 32.0
"""Maximum burst of lookups: a daemon that has just started has no services."""


class LookupResult(Enum):
    """Result of the lookup of a service."""

    THERE = "there"
    ABSENT = "absent"
    """The store has no rows of the service, so that the name is wrong."""
    UNDETERMINED = "untold"
    """The store could not be queried, so that the service may exist."""


class ServiceLookups:
    """Limits the rate of lookups and caches which services are absent."""

    def __init__(self) -> None:
        self._absent: OrderedDict[str, float] = OrderedDict()
        self._tokens = LOOKUP_BURST
        self._refilled_at = 0.0

    def known_absent(self, service: str, now: float) -> bool:
        """Return whether the service is cached as absent."""
        reported_at = self._absent.get(service)
        return reported_at is not None and now - reported_at < ABSENT_TTL_S

    def take(self, now: float) -> bool:
        """Take one lookup from the budget; return False if none is left."""
        refill = max(0.0, now - self._refilled_at) * LOOKUPS_PER_S
        self._tokens = min(LOOKUP_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def note_absent(self, service: str, now: float) -> None:
        """Cache that the store has no such service."""
        self._absent.pop(service, None)
        self._absent[service] = now
        while len(self._absent) > MAX_ABSENT_NAMES:
            self._absent.popitem(last=False)
