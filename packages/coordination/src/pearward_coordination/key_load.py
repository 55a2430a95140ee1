"""How often each key of a target is asked for, lately. No I/O and no clock."""

from math import exp

from .keyplan import KeyLoad

__all__ = ["KeyLoadMeter"]

WINDOW_S = 2.5
"""Seconds over which requests are averaged: some eighty requests of a usual target."""
FORGOTTEN = 0.02
"""Weight in requests below which a key is forgotten."""
PIECES = 40
"""Pieces that a report cuts a target's load into: each is about a fortieth of it."""


class KeyLoadMeter:
    """Moving counts of requests by key."""

    def __init__(self) -> None:
        self._weights: dict[int, float] = {}
        self._updated = 0.0
        self._began = 0.0

    def count(self, key: int, now: float) -> None:
        """Count a request for *key*."""
        if not self._weights:
            self._began = self._updated = now
        self._weights[key] = self._weights.get(key, 0.0) + 1.0

    def pieces(self, now: float) -> tuple[KeyLoad, ...]:
        """Return requests a second by consecutive keys, in pieces of about equal weight."""
        self._fade(now)
        if not self._weights:
            return ()
        # A meter that began lately has seen less than its whole window.
        seen_s = max(0.25, WINDOW_S * (1.0 - exp(-(now - self._began) / WINDOW_S)))
        total = sum(self._weights.values())
        share = total / PIECES
        result: list[KeyLoad] = []
        first, last, weight = -1, -1, 0.0
        for key in sorted(self._weights):
            own = self._weights[key]
            if first >= 0 and weight + own > share * 1.2:
                result.append(KeyLoad(first, last, weight / seen_s))
                first, weight = -1, 0.0
            if first < 0:
                first = key
            last = key
            weight += own
        result.append(KeyLoad(first, last, weight / seen_s))
        return tuple(result)

    def _fade(self, now: float) -> None:
        factor = exp(-(now - self._updated) / WINDOW_S)
        self._updated = now
        self._weights = {
            key: weight * factor
            for key, weight in self._weights.items()
            if weight * factor > FORGOTTEN
        }
