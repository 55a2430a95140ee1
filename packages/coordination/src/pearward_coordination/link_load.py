"""Estimate the bytes that wait for the instance's own link from the bytes sent.

The daemon counts the bytes that it passes to the kernel and assumes that the link drains them at
its rate. No I/O and no clock.
"""

__all__ = ["LinkLoad"]

BITS_PER_BYTE = 8
BYTES_PER_MBIT = 1_000_000 / BITS_PER_BYTE
PAYLOAD_SHARE = 0.92
"""Usable part of the link's rate: packet headers take 0.04 of it, calls of the store and
retransmissions the rest. Responses to callers on the own instance do not use the link (at 64
daemons, 174 kB were accepted within 2 ms at 6 Mbit/s)."""


class LinkLoad:
    """The outgoing link of one instance."""

    def __init__(self, mbit_per_s: float) -> None:
        self._bytes_per_s = mbit_per_s * BYTES_PER_MBIT * PAYLOAD_SHARE
        self._backlog = 0.0
        """Bytes passed to the kernel that are not on the wire yet."""
        self._updated_at = 0.0

    @property
    def bytes_per_s(self) -> float:
        """Bytes per second that the link carries."""
        return self._bytes_per_s

    def sent(self, size: int, now: float) -> None:
        """Record *size* bytes passed to a connection."""
        self._drain(now)
        self._backlog += size

    def backlog_s(self, now: float) -> float:
        """Return the seconds until everything that was sent is on the wire."""
        self._drain(now)
        return self._backlog / self._bytes_per_s

    def _drain(self, now: float) -> None:
        self._backlog = max(0.0, self._backlog - (now - self._updated_at) * self._bytes_per_s)
        self._updated_at = now
