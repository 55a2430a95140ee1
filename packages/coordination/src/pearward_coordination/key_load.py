"""How often keys are asked for: counted beside each owner, put together by the planner.

Owners report plain counts since their last report, so that a key's history is not lost
when the key changes hands. No I/O and no clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp, log

__all__ = ["RECENT_S", "KeyCount", "KeyCounter", "KeyLoadTable", "KeyRate"]

MOST_ROWS = 64
"""Rows of one report at most: an owner gets some twenty requests between two reports."""
WINDOW_S = 3.0
"""Seconds over which requests are averaged: a hundred requests of a usual owner, which
tells its load to a tenth."""
RECENT_S = 0.6
"""Seconds of a window that shows a sudden change: one and a half reports."""
IDLE_WEIGHT = 5.0
"""Weight in requests below which nothing is known of the present load."""
REPORT_S = 0.4
"""Seconds that a first report stands for."""
FORGOTTEN = 0.02
"""Weight in requests below which a key is forgotten."""


@dataclass(frozen=True, slots=True)
class KeyCount:
    """Requests for consecutive keys."""

    first: int
    last: int
    count: int


@dataclass(frozen=True, slots=True)
class KeyRate:
    """Requests a second for one key."""

    key: int
    rate: float


class KeyCounter:
    """Counts the requests for one owner's keys."""

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}

    def count(self, key: int) -> None:
        """Count a request for *key*."""
        self._counts[key] = self._counts.get(key, 0) + 1

    def take(self) -> tuple[KeyCount, ...]:
        """Return what was counted since the last call, neighbours joined where it is much."""
        counts, self._counts = self._counts, {}
        keys = sorted(counts)
        join = -(-len(keys) // MOST_ROWS)
        groups = [keys[start : start + join] for start in range(0, len(keys), join or 1)]
        return tuple(
            KeyCount(group[0], group[-1], sum(counts[key] for key in group)) for group in groups
        )


class KeyLoadTable:
    """Requests a second by key, as a moving mean over all owners' reports."""

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._weights: dict[int, float] = {}
        self._updated = 0.0
        self._began: float | None = None

    def add(self, counts: Iterable[KeyCount], now: float) -> None:
        """Take an owner's report."""
        self._fade(now)
        if self._began is None or sum(self._weights.values()) < IDLE_WEIGHT:
            # After a time with hardly a request the mean begins anew.
            self._began = now - REPORT_S
            self._weights.clear()
        for row in counts:
            # Joined neighbours count for the key in their middle.
            key = (row.first + row.last) // 2
            self._weights[key] = self._weights.get(key, 0.0) + row.count

    def begin_anew(self, recent: "KeyLoadTable", now: float) -> None:
        """Forget what was before a sudden change: go on from the load of a shorter window."""
        seen_s = recent.seen_s(now)
        self._weights = {row.key: row.rate * seen_s for row in recent.rates(now)}
        self._updated = now
        self._began = now + self._window_s * log(max(0.01, 1.0 - seen_s / self._window_s))

    def seen_s(self, now: float) -> float:
        """Return the seconds of requests that the table stands for."""
        if self._began is None:
            return 0.0
        return self._window_s * (1.0 - exp(-max(0.0, now - self._began) / self._window_s))

    def rates(self, now: float) -> tuple[KeyRate, ...]:
        """Return requests a second by key, in the order of the keys."""
        self._fade(now)
        seen_s = max(self.seen_s(now), 0.2)
        return tuple(KeyRate(key, self._weights[key] / seen_s) for key in sorted(self._weights))

    def _fade(self, now: float) -> None:
        factor = exp(-(now - self._updated) / self._window_s)
        self._updated = now
        self._weights = {
            key: weight * factor
            for key, weight in self._weights.items()
            if weight * factor > FORGOTTEN
        }
