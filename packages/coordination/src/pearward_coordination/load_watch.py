"""The load of one service's keys as its planner sees it, and when it is worth a plan.

Two windows are kept: a long one that tells each owner's load well, and a short one that shows
a sudden change. After a change what came before it is forgotten, and plans follow each other
more quickly until the load is known as well as before. No I/O and no clock.
"""

from collections.abc import Iterable

from pearward_state.keymap import KeyMap

from .key_load import RECENT_S, KeyCount, KeyLoadTable
from .keyplan import PlanLimits, PlannedLoad, has_surged

__all__ = ["LoadWatch"]

LOOK_INTERVAL_S = 0.4
"""Seconds between two looks at all load: each owner reports once in this time."""
MOVE_PAUSE_S = 1.5
"""Seconds between two plans that only level load: keys that move rest for half a second."""
LEARNING_PAUSE_S = 0.7
"""The same while the load is still being learned."""
LEARNED_S = 1.5
"""Seconds of a new load by which it is known about as well as ever."""
NEVER = float("-inf")


class LoadWatch:
    """What owners report of the load of their keys."""

    def __init__(self, limits: PlanLimits) -> None:
        self._limits = limits
        self._usual = KeyLoadTable()
        self._recent = KeyLoadTable(RECENT_S)
        self._checked_at = NEVER
        self._moved_at = NEVER
        self._surged_at = NEVER

    def reported(self, counts: Iterable[KeyCount], now: float) -> None:
        """Take an owner's report."""
        rows = tuple(counts)
        self._usual.add(rows, now)
        self._recent.add(rows, now)

    def rate(self, now: float) -> float:
        """Return the requests a second for all keys."""
        return self._usual.rate(now)

    def is_due(self, now: float) -> bool:
        """Return whether something new may have been learned since the last look."""
        return now - self._checked_at >= LOOK_INTERVAL_S

    def may_move(self, now: float) -> bool:
        """Return whether keys may move again for the sake of an even load."""
        learning = now - self._surged_at < LEARNED_S or self._usual.seen_s(now) < LEARNED_S
        return now - self._moved_at >= (LEARNING_PAUSE_S if learning else MOVE_PAUSE_S)

    def moved(self, now: float) -> None:
        """Keys have moved."""
        self._moved_at = now

    def look(self, key_map: KeyMap, now: float) -> tuple[PlannedLoad, bool]:
        """Return the load to plan by, and whether it has just changed suddenly."""
        self._checked_at = now
        usual = PlannedLoad(self._usual.rates(now), self._usual.seen_s(now))
        recent = PlannedLoad(self._recent.rates(now), self._recent.seen_s(now))
        if not has_surged(key_map, recent, usual, self._limits):
            return usual, False
        self._surged_at = now
        self._usual.begin_anew(self._recent, now)
        return PlannedLoad(self._usual.rates(now), self._usual.seen_s(now)), True
