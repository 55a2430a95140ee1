"""How long frames were on their way from a peer whose clock shows another time.

A daemon that stood still finds requests in the kernel's buffers that came meanwhile. What
their callers allow was counted from the sending, and may be over. The two clocks differ by
an unknown time; the least difference seen is that of a frame that did not wait. No I/O and
no clock.
"""

__all__ = ["WayTime"]

MOST_S = 60.0
"""Seconds that a frame can have waited at most: more tells of a clock that cannot be compared."""
DRIFT = 0.04
"""Seconds in a second by which two steady clocks may part, each being off by 2%."""


class WayTime:
    """The frames of one connection."""

    def __init__(self) -> None:
        self._least_s: float | None = None
        """Least difference between arrival and sending, each by its own clock."""
        self._seen_at = 0.0

    def waited_s(self, sent: float, now: float) -> float:
        """Return for how many seconds longer than others a frame was on its way.

        *sent* is a time in s of the peer's clock, *now* of this daemon's.
        """
        apart_s = now - sent
        if self._least_s is None:
            waited_s = 0.0
        else:
            waited_s = max(0.0, apart_s - self._least_s - DRIFT * (now - self._seen_at))
        if 0.0 < waited_s <= MOST_S:
            return waited_s
        self._least_s, self._seen_at = apart_s, now
        return 0.0
