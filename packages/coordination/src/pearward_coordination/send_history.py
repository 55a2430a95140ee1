"""Count the requests sent to one target, and delay further ones to keep to a rate.

All work of a target passes through its daemon, so the count is exact across all senders. No I/O and
no clock.
"""

import math
from bisect import bisect_left, bisect_right
from dataclasses import dataclass

__all__ = ["RateLimit", "SendHistory"]

MAX_COUNTED = 2048
"""Maximum number of sends kept; no target runs as many within a window."""

CLOCK_STEP_S = 1e-6
"""Shorter delays in seconds count as none: a timer for them may fire at the same time again."""


@dataclass(frozen=True, slots=True)
class RateLimit:
    """A maximum rate of requests."""

    per_s: float
    """Requests per second; above 0."""
    burst_s: float
    """Seconds of the rate that may be sent at once."""

    @property
    def burst(self) -> int:
        """Number of requests that may be sent at once."""
        return min(MAX_COUNTED, max(1, math.ceil(self.per_s * self.burst_s)))

    @property
    def window_s(self) -> float:
        """Seconds in which no more requests than one burst may be sent."""
        return self.burst / self.per_s


class SendHistory:
    """Times of the latest requests that were sent to a target.

    Sends are recorded whether or not a limit is in force, so that a new limit counts those of the
    last moments before it.
    """

    def __init__(self) -> None:
        self._sent: list[float] = []

    def record(self, now: float) -> None:
        """Record a request that is sent."""
        self._sent.append(now)
        if len(self._sent) > 2 * MAX_COUNTED:
            del self._sent[:-MAX_COUNTED]

    def withdraw(self, recorded_at: float) -> None:
        """Remove a recorded request that was not sent after all."""
        index = bisect_left(self._sent, recorded_at)
        if index < len(self._sent) and self._sent[index] == recorded_at:
            del self._sent[index]

    def count_since(self, start: float) -> int:
        """Return the number of requests sent after *start*."""
        return len(self._sent) - bisect_right(self._sent, start)

    def delay_s(self, limit: RateLimit, now: float, ahead: int = 0) -> float:
        """Return the seconds until one more request may be sent, with *ahead* others before it."""
        windows, place = divmod(ahead, limit.burst)
        index = len(self._sent) - limit.burst + place
        wait_s = self._sent[index] + limit.window_s - now if index >= 0 else 0.0
        return (wait_s if wait_s > CLOCK_STEP_S else 0.0) + windows * limit.window_s
