"""Estimate of the extra time that frames spent in transit, without synchronised clocks.

After a daemon has been suspended, the kernel's buffers hold requests that arrived in the
meantime. Their time limits count from the sending and may have expired. The offset between the
clocks of the two daemons is unknown; the smallest difference between arrival and sending is
taken as that of a frame which was not delayed. This module performs no I/O and reads no clock.
"""

__all__ = ["TransitDelay"]

MAX_DELAY_S = 60.0
"""Longest plausible delay in s. A larger value means that the peer's clock was set or restarted, so
that its times cannot be compared with the earlier ones."""
MAX_CLOCK_DRIFT = 0.04
"""Maximum relative drift in s per s between two steady clocks, each of which is off by up to 2%."""


class TransitDelay:
    """Delay estimate for the frames received on one connection."""

    def __init__(self) -> None:
        self._min_difference_s: float | None = None
        """Smallest difference between arrival and sending, each by its own clock."""
        self._min_seen_at = 0.0
        """Local time in s at which that difference was observed."""

    def excess_delay_s(self, sent: float, now: float) -> float:
        """Return the seconds by which a frame was in transit longer than the fastest one.

        *sent* is in s of the peer's clock, *now* in s of the local clock. Allowed clock drift is
        subtracted. If there is no delay, or an implausible one, the frame becomes the reference
        for the next frames and 0 is returned.
        """
        difference_s = now - sent
        if self._min_difference_s is None:
            excess_delay_s = 0.0
        else:
            excess_delay_s = max(
                0.0,
                difference_s - self._min_difference_s - MAX_CLOCK_DRIFT * (now - self._min_seen_at),
            )
        if 0.0 < excess_delay_s <= MAX_DELAY_S:
            return excess_delay_s
        self._min_difference_s, self._min_seen_at = difference_s, now
        return 0.0
