"""Ledger of the keys that a target may hold, by all grants of its daemon.

Answers two queries, each conservatively: whether the target possibly holds a key, so that no other
target may be granted it, and whether it certainly holds a key, so that requests may be sent to it.
No I/O and no clock.
"""

from bisect import bisect_right, insort
from collections.abc import Iterator
from dataclasses import dataclass, replace
from operator import attrgetter

from pearward_state.keymap import covered

__all__ = ["Hold", "HoldLedger"]

_first = attrgetter("first")


@dataclass(frozen=True, slots=True)
class Hold:
    """Keys that a target was granted, or may have been granted, and the end of that grant.

    All times are seconds of the daemon's steady clock.
    """

    first: int
    last: int
    fence: int
    until: float
    """Latest end of the hold."""
    certain_until: float
    """Earliest end of the hold."""
    effective_from: float = 0.0
    """Earliest time at which requests for the keys find them held."""
    sent: float = 0.0
    """Time at which the grant was sent."""

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether the hold includes any key from *first* to *last*."""
        return self.first <= last and first <= self.last


class HoldLedger:
    """Holds of one incarnation of a target."""

    def __init__(self) -> None:
        self._holds: list[Hold] = []
        """Confirmed holds in key order; no two share a key."""
        self._unconfirmed: list[Hold] = []

    def __iter__(self) -> Iterator[Hold]:
        return iter(self._holds)

    def clear(self) -> None:
        """Remove all holds, as the target's process has ended."""
        self._holds.clear()
        self._unconfirmed.clear()

    # -- confirmed holds -------------------------------------------------------

    def add(self, hold: Hold) -> None:
        """Replace earlier holds on the same keys; the latest end of any of them is kept."""
        until = max((h.until for h in self._overlapping(hold.first, hold.last)), default=hold.until)
        self.remove_range(hold.first, hold.last)
        insort(self._holds, replace(hold, until=max(until, hold.until)), key=_first)

    def remove_range(self, first: int, last: int) -> None:
        """Remove confirmed holds on the keys from *first* to *last*."""
        touched = self._overlapping(first, last)
        if not touched:
            return
        kept: list[Hold] = []
        for hold in touched:
            if hold.first < first:
                kept.append(replace(hold, last=first - 1))
            if hold.last > last:
                kept.append(replace(hold, first=last + 1))
        at = self._holds.index(touched[0])
        self._holds[at : at + len(touched)] = kept

    def _overlapping(self, first: int, last: int) -> list[Hold]:
        """Return the confirmed holds on any key from *first* to *last*, in key order."""
        at = max(0, bisect_right(self._holds, first, key=_first) - 1)
        found: list[Hold] = []
        while at < len(self._holds) and self._holds[at].first <= last:
            if self._holds[at].last >= first:
                found.append(self._holds[at])
            at += 1
        return found

    def expire(self, now: float) -> None:
        """Remove holds that have expired."""
        self._holds = [h for h in self._holds if h.until > now]
        self._unconfirmed = [h for h in self._unconfirmed if h.until > now]

    # -- unconfirmed grants ----------------------------------------------------

    def add_unconfirmed(self, hold: Hold) -> None:
        """Record a grant in transit, which may take effect at any time from now on."""
        self._unconfirmed.append(hold)

    def remove_unconfirmed(self, hold: Hold) -> None:
        """Remove a grant that was in transit, as its reply shows that it takes no effect later."""
        if hold in self._unconfirmed:
            self._unconfirmed.remove(hold)

    # -- queries ---------------------------------------------------------------

    def may_hold(self, first: int, last: int, now: float, below: int) -> bool:
        """Return whether any of these keys is possibly held under a fence below *below*."""
        expected = (h for h in self._unconfirmed if h.overlaps(first, last))
        return any(
            h.until > now and h.fence < below for h in (*self._overlapping(first, last), *expected)
        )

    def fence_at(self, key: int, now: float) -> int:
        """Return the fence under which *key* is certainly held now, or 0."""
        for hold in self._overlapping(key, key):
            if hold.effective_from <= now < hold.certain_until:
                return hold.fence
        return 0

    def certainly_holds(self, first: int, last: int, fence: int, now: float) -> bool:
        """Return whether all of these keys are certainly held under a fence."""
        held = (
            h for h in self._overlapping(first, last) if h.fence == fence and now < h.certain_until
        )
        return covered(first, last, ((h.first, h.last) for h in held))

    def oldest_sent(self, first: int, last: int, fence: int, now: float) -> float | None:
        """Return the send time of the oldest grant on these keys, or None if a key is not held."""
        missing = first
        oldest: float | None = None
        for hold in self._overlapping(first, last):
            if hold.fence != fence or hold.until <= now:
                continue
            if hold.first > missing:
                return None
            missing = hold.last + 1
            oldest = hold.sent if oldest is None else min(oldest, hold.sent)
        return oldest if missing > last else None
