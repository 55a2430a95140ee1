"""How many requests a target gets while it is cold.

The load pattern that this answers: targets that have just started, or come back after their
failure domain was drained, are slow for seconds, bear a few requests a second and fall over
at more, while callers, or others that are full, bring as many as to a warm target. All work
of a target passes the daemon beside it, so the limit is exact over all senders. No I/O and
no clock.
"""

from collections import deque

__all__ = ["ColdLimit"]

WINDOW_S = 1.0
"""Seconds in which requests are counted: operators state what a cold target bears by second."""
MAX_COUNTED = 256
"""Sends that are remembered: more in a second than any limit of a cold target allows."""
TRANSIT_S = 0.1
"""A heartbeat that comes this soon after a doubt may have been sent before it."""


class ColdLimit:
    """Whether the target beside this daemon is cold, and what it may get then.

    Sends are counted at all times: a target turns cold between two heartbeats, and what it
    got in the second before counts as well.
    """

    def __init__(self) -> None:
        self._per_s = 0.0
        self._cold_until = 0.0
        self._suspected_at: float | None = None
        self._sent: deque[float] = deque(maxlen=MAX_COUNTED)

    # -- what becomes known -----------------------------------------------------

    def set_rate(self, per_s: float) -> None:
        """Take how many requests a second a cold target bears; 0 sets no limit."""
        self._per_s = per_s

    def told(self, cold_s: float, now: float) -> None:
        """Take the seconds for which the target says that it stays cold."""
        self._cold_until = now + cold_s if cold_s > 0.0 else 0.0
        if self._suspected_at is not None and now - self._suspected_at >= TRANSIT_S:
            self._suspected_at = None

    def doubt(self, now: float) -> None:
        """The target may have turned cold: it counts as such until it says otherwise."""
        self._suspected_at = now

    def sent(self, now: float) -> None:
        """A request goes to the target."""
        self._sent.append(now)

    # -- questions ---------------------------------------------------------------

    def is_cold(self, now: float) -> bool:
        """Return whether the target may be cold."""
        return self._suspected_at is not None or now < self._cold_until

    def rate(self, now: float) -> float | None:
        """Return the requests a second that the target bears now; None where it is not limited."""
        return self._per_s if self._per_s > 0.0 and self.is_cold(now) else None

    def room_in_s(self, now: float) -> float:
        """Return the seconds after which one more request may be sent; 0 at once."""
        if self.rate(now) is None:
            return 0.0
        most = min(MAX_COUNTED, max(1, int(self._per_s)))
        if len(self._sent) < most:
            return 0.0
        return max(0.0, self._sent[-most] + WINDOW_S - now)
