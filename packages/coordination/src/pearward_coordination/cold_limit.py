"""Limit the rate of requests to a cold target.

The load pattern: targets that have just started, or return after their failure domain was drained,
are slow for seconds, sustain only a few requests per second and crash at more, while callers and
overloaded targets send as many as to a warm target. No I/O and no clock.
"""

from .send_history import RateLimit

__all__ = ["ColdLimit"]

BURST_S = 1.0
"""Seconds of the rate that may be sent at once; operators set the limit of a cold target per
second."""
TRANSIT_S = 0.1
"""A heartbeat this soon after a suspicion may have been sent before it."""


class ColdLimit:
    """Whether the local target is cold, and the request rate it may then receive."""

    def __init__(self) -> None:
        self._limit: RateLimit | None = None
        self._cold_until = 0.0
        self._suspected_at: float | None = None

    # -- state changes ---------------------------------------------------------

    def set_rate(self, per_s: float) -> None:
        """Set the requests per second of a cold target; 0 sets no limit."""
        whole = float(int(per_s)) or per_s
        self._limit = RateLimit(whole, BURST_S) if whole > 0.0 else None

    def set_cold_time(self, cold_s: float, now: float) -> None:
        """Set the seconds for which the target reports that it stays cold."""
        self._cold_until = now + cold_s if cold_s > 0.0 else 0.0
        if self._suspected_at is not None and now - self._suspected_at >= TRANSIT_S:
            self._suspected_at = None

    def suspect_cold(self, now: float) -> None:
        """Note that the target possibly became cold and counts as such until it reports."""
        self._suspected_at = now

    # -- queries ---------------------------------------------------------------

    def is_cold(self, now: float) -> bool:
        """Return whether the target is possibly cold."""
        return self._suspected_at is not None or now < self._cold_until

    def limit(self, now: float) -> RateLimit | None:
        """Return the present limit, or None if there is none."""
        return self._limit if self.is_cold(now) else None
