"""Track the load of one service's keys for its planner, and decide when to plan.

Two windows are kept: a long one that gives each owner's load accurately, and a short one that shows
a sudden change. After a change the earlier load is discarded, and plans follow each other more
quickly until the new load is known as accurately. No I/O and no clock.
"""

from collections.abc import Iterable

from pearward_state.keymap import KeyMap

from .key_load import RECENT_S, KeyCount, KeyLoadTable
from .keyplan import PlanLimits, PlannedLoad, has_surged

__all__ = ["LoadWatch"]

CHECK_INTERVAL_S = 0.4
"""Seconds between two evaluations of the whole load; each owner reports once in this time."""
MOVE_PAUSE_S = 1.5
"""Seconds between two plans that only level load; moved keys are unavailable for half a second."""
LEARNING_PAUSE_S = 0.7
"""The same while the load is not yet known accurately."""
LEARNED_S = 1.5
"""Seconds after which a changed load is known about as accurately as before."""
NEVER = float("-inf")


class LoadWatch:
    """Load of one service's keys, from its owners' reports."""

    def __init__(self, limits: PlanLimits) -> None:
        self._limits = limits
        self._usual = KeyLoadTable()
        self._recent = KeyLoadTable(RECENT_S)
        self._checked_at = NEVER
        self._moved_at = NEVER
        self._surged_at = NEVER

    def reported(self, counts: Iterable[KeyCount], now: float) -> None:
        """Add an owner's report."""
        rows = tuple(counts)
        self._usual.add(rows, now)
        self._recent.add(rows, now)

    def rate(self, now: float) -> float:
        """Return the requests per second for all keys."""
        return self._usual.rate(now)

    def is_due(self, now: float) -> bool:
        """Return whether new reports may have arrived since the last evaluation."""
        return now - self._checked_at >= CHECK_INTERVAL_S

    def may_move(self, now: float) -> bool:
        """Return whether keys may move again to level the load."""
        learning = now - self._surged_at < LEARNED_S or self._usual.observed_s(now) < LEARNED_S
        return now - self._moved_at >= (LEARNING_PAUSE_S if learning else MOVE_PAUSE_S)

    def moved(self, now: float) -> None:
        """Record that keys have moved."""
        self._moved_at = now

    def check(self, key_map: KeyMap, now: float) -> tuple[PlannedLoad, bool]:
        """Return the load to plan with, and whether it has just changed suddenly."""
        self._checked_at = now
        usual = PlannedLoad(self._usual.rates(now), self._usual.observed_s(now))
        recent = PlannedLoad(self._recent.rates(now), self._recent.observed_s(now))
        if not has_surged(key_map, recent, usual, self._limits):
            return usual, False
        self._surged_at = now
        self._usual.reset_from(self._recent, now)
        return PlannedLoad(self._usual.rates(now), self._usual.observed_s(now)), True
