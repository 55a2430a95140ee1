"""Whether owners' loads above their share are more than random variation.

Addresses plans that follow random variation: the load of an owner is known from some thirty
requests and its capacity from some runs, and among sixty owners a few always appear overloaded.
Each plan makes the moved keys unavailable for half a second. No I/O and no clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import sqrt
from statistics import NormalDist

__all__ = ["OwnerExcess", "exceeding"]

CHANCE_ERRORS = 3.0
"""Standard deviations by which the number of owners that exceed the limit must be above the number
that would exceed it by chance. The loads are examined anew every three seconds, and a plan that
follows chance is to be rare among these; retries of refused requests add to the variation."""
CHANCE_OF_ONE = 0.05
"""Probability that any of all owners exceeds the limit from which a single owner is relieved."""


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
    of_one = NormalDist().inv_cdf(1.0 - CHANCE_OF_ONE / max(owners, 1))
    if len(found) <= many and highest <= max(significance, of_one):
        return set()
    return {row.target for row in found}
