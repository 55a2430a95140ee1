"""Limit the rate of requests to a cold target.

The load pattern: targets that have just started, or return after their failure domain was drained,
are slow for seconds, sustain only a few requests per second and crash at more, while callers and
overloaded targets send as many as to a warm target. All work of a target passes through its daemon,
so the limit is exact across all senders. No I/O and no clock.
"""

from collections import deque

__all__ = ["ColdLimit"]

WINDOW_S = 1.0
"""Seconds over which requests are counted; operators set the limit of a cold target per second."""
MAX_COUNTED = 256
"""Maximum number of sends kept: more per second than any limit of a cold target."""
TRANSIT_S = 0.1
"""A heartbeat this soon after a suspicion may have been sent before it."""


class ColdLimit:
    """Whether the local target is cold, and the request rate it may then receive.

    Sends are always counted: a target becomes cold between two heartbeats, and the requests of the
    second before count as well.
    """

    def __init__(self) -> None:
        self._per_s = 0.0
        self._cold_until = 0.0
        self._suspected_at: float | None = None
        self._sent: deque[float] = deque(maxlen=MAX_COUNTED)

    # -- state changes ---------------------------------------------------------

    def set_rate(self, per_s: float) -> None:
        """Set the requests per second of a cold target; 0 sets no limit."""
        self._per_s = per_s

    def set_cold_time(self, cold_s: float, now: float) -> None:
        """Set the seconds for which the target reports that it stays cold."""
        self._cold_until = now + cold_s if cold_s > 0.0 else 0.0
        if self._suspected_at is not None and now - self._suspected_at >= TRANSIT_S:
            self._suspected_at = None

    def suspect_cold(self, now: float) -> None:
        """Note that the target possibly became cold and counts as such until it reports."""
        self._suspected_at = now

    def sent(self, now: float) -> None:
        """Record a request sent to the target."""
        self._sent.append(now)

    # -- queries ---------------------------------------------------------------

    def is_cold(self, now: float) -> bool:
        """Return whether the target is possibly cold."""
        return self._suspected_at is not None or now < self._cold_until

    def rate(self, now: float) -> float | None:
        """Return the present limit in requests per second, or None if there is none."""
        return self._per_s if self._per_s > 0.0 and self.is_cold(now) else None

    def capacity_in_s(self, now: float) -> float:
        """Return the seconds until one more request may be sent; 0 if at once."""
        if self.rate(now) is None:
            return 0.0
        most = min(MAX_COUNTED, max(1, int(self._per_s)))
        if len(self._sent) < most:
            return 0.0
        return max(0.0, self._sent[-most] + WINDOW_S - now)
