"""Compute the delay after which callers retry requests for keys whose owner is absent.

The load pattern: many targets are lost together, and every request for their keys is refused until
the next targets of their instances serve. Retries before that are refused again, and use up the
few retries that callers have; retries at the same moment after it overload the new owners.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

__all__ = ["OwnerReturns"]

DEFAULT_RETURN_S = 1.2
"""Seconds for which an owner is expected to be absent before any was observed: instances need this
long to start."""
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
        self._expected_s = DEFAULT_RETURN_S
        self._since: dict[str, float] = {}

    # -- properties -------------------------------------------------------------

    @property
    def expected_s(self) -> float:
        """Seconds for which an owner is expected to be absent."""
        return self._expected_s

    @property
    def absent(self) -> tuple[str, ...]:
        """Owners that are absent."""
        return tuple(self._since)

    # -- observations -----------------------------------------------------------

    def note_absent(self, owner: str, now: float) -> None:
        """Record that an owner was found absent."""
        if owner in self._since:
            return
        for other, since in tuple(self._since.items()):
            if now - since > MAX_ABSENCE_S:
                del self._since[other]
        if len(self._since) < MAX_ABSENT:
            self._since[owner] = now

    def note_present(self, owner: str) -> None:
        """Record that an owner has served a request: it was not lost."""
        self._since.pop(owner, None)

    def note_replaced(self, owner: str, now: float) -> None:
        """Record that the keys of an absent owner have another one."""
        since = self._since.pop(owner, None)
        if since is None or now - since > MAX_ABSENCE_S:
            return
        absent_s = min(MAX_RETURN_S, max(MIN_RETURN_S, now - since))
        self._expected_s += NEWEST_WEIGHT * (absent_s - self._expected_s)

    # -- delays -----------------------------------------------------------------

    def retry_delay_s(self, owner: str, now: float) -> float:
        """Return the seconds after which the keys of an absent owner are expected to be served."""
        left_s = self._expected_s - (now - self._since.get(owner, now))
        spread_s = self._rng.uniform(0.0, SPREAD_SHARE * self._expected_s)
        return max(MIN_DELAY_S, left_s) + spread_s
