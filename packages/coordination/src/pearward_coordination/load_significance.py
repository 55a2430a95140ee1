"""Whether owners' loads above their share are more than random variation.

Addresses plans that follow random variation: the load of an owner is known from some thirty
requests and its capacity from some runs, and among sixty owners a few always appear overloaded.
Each plan makes the moved keys unavailable for half a second. No I/O and no clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import log, sqrt
from statistics import NormalDist

__all__ = ["OwnerExcess", "exceeding"]

CHANCE_ERRORS = 2.0
"""Standard deviations by which the number of owners that exceed the limit must be above the number
that would exceed it by chance."""


@dataclass(frozen=True, slots=True)
class OwnerExcess:
    """Load of an owner above its share, over the time of observation."""

    target: str
    requests: float
    """Requests received."""
    share: float
    """Requests that it would have received in proportion to its capacity."""
    capacity_error: float | None
    """Relative standard error of the capacity; None if it is not known."""

    @property
    def errors(self) -> float:
        """Excess in standard errors of the load and of the capacity together."""
        variance = self.requests + ((self.capacity_error or 0.0) * self.share) ** 2
        return (self.requests - self.share) / sqrt(variance) if variance > 0.0 else 0.0


def exceeding(rows: Iterable[OwnerExcess], owners: int, significance: float) -> set[str]:
    """Return the targets whose load is above their share by more than *significance* errors.

    They are returned only if one of them would not be expected among that many *owners*, or if
    there are more of them than chance explains. Where errors of capacities are not known, each
    owner is considered alone.
    """
    found = [row for row in rows if row.errors > significance]
    if any(row.capacity_error is None for row in found):
        return {row.target for row in found}
    by_chance = owners * NormalDist().cdf(-significance)
    many = by_chance + CHANCE_ERRORS * sqrt(by_chance)
    highest = max((row.errors for row in found), default=0.0)
    if len(found) <= many and highest <= max(significance, sqrt(2.0 * log(max(owners, 1)))):
        return set()
    return {row.target for row in found}
