"""Compute the delay after which callers retry requests for keys whose owner is absent.

The load pattern: many targets are lost together, and every request for their keys is refused until
the next targets of their instances serve. Retries before that are refused again, and use up the
few retries that callers have; retries at the same moment after it overload the new owners.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

__all__ = ["OwnerReturns"]

MASS_RETURN_S = 1.2
"""Seconds for which each of many owners is expected to be absent before any were observed:
instances need this long to start, and their keys wait for them."""
LONE_RETURN_S = 0.5
"""The same for an owner that is absent alone: other owners serve its keys after half a second."""
MANY_ABSENT = 3
"""Number of absent owners of a service from which their keys may wait for their instances."""
MIN_RETURN_S, MAX_RETURN_S = 0.2, 4.0
"""Range of the expected seconds. A planner places lost keys in 0.2 s at the earliest, and reserves
them for 4 s at most."""
MIN_DELAY_S = 0.1
"""Minimum delay in seconds, for owners that are absent for longer than expected."""
SPREAD_SHARE = 0.5
"""Part of the expected absence over which retries are spread: the requests of the whole absence
then add at most twice the usual load."""
NEWEST_WEIGHT = 0.3
"""Weight of the newest absence in the expected one: three in a row determine two thirds of it."""
MAX_ABSENCE_S = 10.0
"""Seconds after which an absence is no longer observed: the owner is lost for good or drained."""
MAX_ABSENT = 1024
"""Maximum number of absent owners on record."""


class OwnerReturns:
    """Absent owners, and the time after which owners have returned so far."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._lone_s = LONE_RETURN_S
        self._mass_s = MASS_RETURN_S
        self._since: dict[str, float] = {}

    # -- properties -------------------------------------------------------------

    @property
    def expected_s(self) -> float:
        """Seconds for which the owners that are absent now are expected to be absent in all."""
        return self._mass_s if len(self._since) >= MANY_ABSENT else self._lone_s

    @property
    def absent(self) -> tuple[str, ...]:
        """Owners that are absent."""
        return tuple(self._since)

    # -- observations -----------------------------------------------------------

    def note_absent(self, owner: str, now: float) -> None:
        """Record that an owner was found absent."""
        for other, since in tuple(self._since.items()):
            if now - since > MAX_ABSENCE_S:
                del self._since[other]
        if owner not in self._since and len(self._since) < MAX_ABSENT:
            self._since[owner] = now

    def note_present(self, owner: str) -> None:
        """Record that an owner has served a request: it was not lost."""
        self._since.pop(owner, None)

    def note_replaced(self, owners: Collection[str], now: float) -> None:
        """Record that a map has replaced some of the absent owners; it counts as one absence."""
        many = len(self._since) >= MANY_ABSENT
        times = [now - since for o in owners if (since := self._since.pop(o, None)) is not None]
        recent = [absent_s for absent_s in times if absent_s <= MAX_ABSENCE_S]
        if not recent:
            return
        absent_s = min(MAX_RETURN_S, max(MIN_RETURN_S, max(recent)))
        if many:
            self._mass_s += NEWEST_WEIGHT * (absent_s - self._mass_s)
        else:
            self._lone_s += NEWEST_WEIGHT * (absent_s - self._lone_s)

    # -- delays -----------------------------------------------------------------

    def retry_delay_s(self, owner: str, now: float) -> float:
        """Return the seconds after which the keys of an absent owner are expected to be served."""
        left_s = self.expected_s - (now - self._since.get(owner, now))
        spread_s = self._rng.uniform(0.0, SPREAD_SHARE * self.expected_s)
        return max(MIN_DELAY_S, left_s) + spread_s
