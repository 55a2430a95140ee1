"""Limit the repeated requests of this daemon to its part of a fleet-wide budget.

Within any window the whole fleet may repeat a share of a service's requests, plus a fixed
allowance. Each daemon keeps to that share of its own requests and to an equal part of the
allowance, so the total holds without coordination. No I/O and no clock.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ["RetryRule", "RetryWindow"]

SAFE_SHARE = 0.45
"""Part of the budget that is used. Calls made by repeated runs of other services count as repeats
as well (at most 0.2 of those services' requests, so as much again), and a restarted daemon has lost
its record of sent requests."""


@dataclass(frozen=True, slots=True)
class RetryRule:
    """The budget of the whole fleet."""

    ratio: float
    allowance: float
    window_s: float


class RetryWindow:
    """Requests and repeats of one service in the last window."""

    def __init__(self, rule: RetryRule) -> None:
        self._rule = rule
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def request(self, now: float) -> None:
        """Count a request that a target has received; requests refused earlier allow no repeats."""
        self._requests.append(now)
        self._forget(now)

    def take(self, now: float, daemons: int) -> bool:
        """Count a repeat and return True, or return False if the budget is used up."""
        self._forget(now)
        allowed = self._rule.ratio * len(self._requests) + self._rule.allowance / max(1, daemons)
        if len(self._repeats) + 1 > allowed * SAFE_SHARE:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        since = now - self._rule.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < since:
                times.popleft()
