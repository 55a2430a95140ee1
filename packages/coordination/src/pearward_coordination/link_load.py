"""How long what is sent now waits for the instance's own link, from what was sent before.

An instance's link may be far slower than its target: where answers are long, a free target
behind a full link answers later than a busy one elsewhere. The daemon counts what it sends
and takes the link to drain at its rate. No I/O and no clock.
"""

__all__ = ["LinkLoad"]

BITS_PER_BYTE = 8
BYTES_PER_MBIT = 1_000_000 / BITS_PER_BYTE
MEAN_WEIGHT = 0.1
"""Weight of the newest answer in the mean wait: some ten answers, a second of a usual target."""


class LinkLoad:
    """The outgoing link of one instance."""

    def __init__(self, mbit_per_s: float) -> None:
        self._bytes_per_s = mbit_per_s * BYTES_PER_MBIT
        self._backlog = 0.0
        """Bytes that were handed over and are not on the wire yet."""
        self._at = 0.0
        self._mean_s = 0.0

    def sent(self, size: int, now: float) -> None:
        """Note that *size* bytes were handed to a connection."""
        self._drain(now)
        self._mean_s += MEAN_WEIGHT * (self._backlog / self._bytes_per_s - self._mean_s)
        self._backlog += size

    def wait_s(self, now: float) -> float:
        """Return the seconds that an answer is expected to wait for the link.

        The mean counts as well: whoever hears this sends a little later.
        """
        self._drain(now)
        return max(self._backlog / self._bytes_per_s, self._mean_s)

    def _drain(self, now: float) -> None:
        self._backlog = max(0.0, self._backlog - (now - self._at) * self._bytes_per_s)
        self._at = now
