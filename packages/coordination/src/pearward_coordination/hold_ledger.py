"""Which keys a target may hold at this moment, by all that its daemon has granted.

Two questions are answered, and each is answered on the safe side: whether the target may
still hold a key, so that nobody else may have it, and whether it surely holds a key, so
that requests may be sent to it. No I/O and no clock.
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
    """Keys that a target was granted, or may have been, and when that ends.

    All times are seconds of the daemon's steady clock.
    """

    first: int
    last: int
    fence: int
    until: float
    """Latest end of the hold."""
    sure_until: float
    """Earliest end of the hold."""
    begins: float = 0.0
    """From when requests for the keys find them held."""
    sent: float = 0.0
    """When the grant went out."""

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether any key from *first* to *last* is among these."""
        return self.first <= last and first <= self.last


class HoldLedger:
    """The holds of one target's incarnation."""

    def __init__(self) -> None:
        self._holds: list[Hold] = []
        """Confirmed ones by their first key; no two share a key."""
        self._unconfirmed: list[Hold] = []

    def __iter__(self) -> Iterator[Hold]:
        return iter(self._holds)

    def clear(self) -> None:
        """Forget everything: the target's process has ended."""
        self._holds.clear()
        self._unconfirmed.clear()

    # -- what is known to be taken --------------------------------------------------

    def add(self, hold: Hold) -> None:
        """Note a hold in place of earlier ones on its keys; none of them ends sooner by it."""
        until = max((h.until for h in self._on(hold.first, hold.last)), default=hold.until)
        self.cut(hold.first, hold.last)
        insort(self._holds, replace(hold, until=max(until, hold.until)), key=_first)

    def cut(self, first: int, last: int) -> None:
        """Forget confirmed holds on the keys from *first* to *last*."""
        touched = self._on(first, last)
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

    def _on(self, first: int, last: int) -> list[Hold]:
        """Return the confirmed holds on any key from *first* to *last*, by key."""
        at = max(0, bisect_right(self._holds, first, key=_first) - 1)
        found: list[Hold] = []
        while at < len(self._holds) and self._holds[at].first <= last:
            if self._holds[at].last >= first:
                found.append(self._holds[at])
            at += 1
        return found

    def expire(self, now: float) -> None:
        """Forget holds that have run out."""
        self._holds = [h for h in self._holds if h.until > now]
        self._unconfirmed = [h for h in self._unconfirmed if h.until > now]

    # -- what may be taken yet ---------------------------------------------------------

    def expect(self, hold: Hold) -> None:
        """Note a grant that is on its way: from now on it may be taken, however late."""
        self._unconfirmed.append(hold)

    def settle(self, hold: Hold) -> None:
        """A grant on its way was answered: it will not be taken later."""
        if hold in self._unconfirmed:
            self._unconfirmed.remove(hold)

    # -- questions ------------------------------------------------------------------------

    def may_hold(self, first: int, last: int, now: float, below: int) -> bool:
        """Return whether any of these keys may be held under a fence below *below*."""
        expected = (h for h in self._unconfirmed if h.overlaps(first, last))
        return any(h.until > now and h.fence < below for h in (*self._on(first, last), *expected))

    def fence_at(self, key: int, now: float) -> int:
        """Return the fence under which *key* is surely held now, or 0."""
        for hold in self._on(key, key):
            if hold.begins <= now < hold.sure_until:
                return hold.fence
        return 0

    def surely_holds(self, first: int, last: int, fence: int, now: float) -> bool:
        """Return whether all of these keys are surely held under a fence."""
        held = (h for h in self._on(first, last) if h.fence == fence and now < h.sure_until)
        return covered(first, last, ((h.first, h.last) for h in held))

    def oldest_sent(self, first: int, last: int, fence: int, now: float) -> float | None:
        """Return when the oldest grant that holds these keys went out; None where one is free."""
        missing = first
        oldest: float | None = None
        for hold in self._on(first, last):
            if hold.fence != fence or hold.until <= now:
                continue
            if hold.first > missing:
                return None
            missing = hold.last + 1
            oldest = hold.sent if oldest is None else min(oldest, hold.sent)
        return oldest if missing > last else None
