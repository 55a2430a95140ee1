"""The daemon's log: one JSON line for each decision, so many a second at most.

Lines go through eliot to the LineWriter, which never blocks. A line that is over the
limit is counted; failures have an allowance of their own, so that a flood of ordinary
lines cannot hide them.
"""

from collections.abc import Callable
from typing import Any

import eliot

__all__ = ["DecisionLog"]


class DecisionLog:
    """Writes lines, bounded by a number a second."""

    def __init__(self, lines_per_s: int, now: Callable[[], float]) -> None:
        self._limit = lines_per_s
        self._now = now
        self._second = 0
        self._written = {False: 0, True: 0}
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines that were over the limit and not told of yet."""
        return self._dropped

    def decided(self, what: str, *, failure: bool = False, **fields: Any) -> None:
        """Write a line on a decision, with the inputs that led to it and their age."""
        second = int(self._now())
        if second != self._second:
            self._next_second(second)
        if self._written[failure] >= self._limit:
            self._dropped += 1
            return
        self._written[failure] += 1
        eliot.log_message(f"pearward:{what}", **fields)

    def _next_second(self, second: int) -> None:
        self._second = second
        self._written = {False: 0, True: 0}
        if self._dropped:
            eliot.log_message("pearward:log_lines_dropped", count=self._dropped)
            self._dropped = 0
