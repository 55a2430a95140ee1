"""Which incarnation of a target is the one that lives, by its heartbeats alone.

A heartbeat can be held up on its way and arrive after its sender has crashed, and after
another incarnation has begun at the same address. No I/O and no clock.
"""

__all__ = ["BeatClock"]

FIRST_CALLS = 6
"""Calls of a new incarnation that may have met a daemon that was not there yet."""
PRESENT_S = 2.0
"""Seconds after a heartbeat in which its sender counts as present: two intervals."""


class BeatClock:
    """When the present incarnation beat last, and which heartbeats are old ones."""

    def __init__(self) -> None:
        self._sequences: dict[str, int] = {}
        self._last = 0.0
        self._sure = False

    @property
    def last(self) -> float:
        """When the present incarnation beat last, in s of the steady clock."""
        return self._last

    def is_repeated(self, target: str, sequence: int) -> bool:
        """Return whether a heartbeat is older than one heard; remember it otherwise."""
        if sequence <= self._sequences.get(target, -1):
            return True
        self._sequences[target] = sequence
        return False

    def heard(self, now: float) -> None:
        """The present incarnation beat."""
        self._last = now
        self._sure = True

    def doubt(self) -> bool:
        """Another incarnation answered at the address; return whether that is news."""
        was_sure, self._sure = self._sure, False
        return was_sure

    def is_from_the_past(self, sequence: int, connections: int, now: float) -> bool:
        """Return whether a heartbeat of another incarnation is one of a former target.

        A new incarnation begins to count its calls anew; one that has counted far, while
        the present one still beats, has been on its way since before that began. So has one
        that begins to count while *connections* to the present one are open: they end with
        its process, which has to end before another one has its address.
        """
        if not self._sure or now - self._last >= PRESENT_S:
            return False
        return sequence > FIRST_CALLS or connections > 0
