"""Key ranges that a stand-in target holds, each with its own fence and expiry."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, replace

__all__ = ["HeldKeys", "HeldRange"]


@dataclass
class HeldRange:
    """A held range of keys, both ends included."""

    first: int
    last: int
    fence: int
    until: float
    """Expiry of the hold in seconds on the monotonic clock."""
    releasing: bool = False
    """Whether the range is being released: no new request for its keys is accepted."""


class HeldKeys:
    """All key ranges of one target."""

    def __init__(self) -> None:
        self._ranges: list[HeldRange] = []
        self._granted: list[tuple[int, int, int]] = []

    def __iter__(self) -> Iterator[HeldRange]:
        return iter(self._ranges)

    def replace_all(self, ranges: list[HeldRange]) -> None:
        """Replace the held ranges by *ranges*."""
        self._ranges = ranges

    def remove(self, held: HeldRange) -> None:
        """Remove a held range."""
        self._ranges.remove(held)

    def fence_of(self, key: int) -> int:
        """Return the fence of the range that holds a key now, or 0 if the key is not held."""
        now = time.monotonic()
        for r in self._ranges:
            if r.first <= key <= r.last and r.until > now and not r.releasing:
                return r.fence
        return 0

    def grant(self, first: int, last: int, fence: int, until: float) -> bool:
        """Hold keys until a time; return False if one of them was granted with a higher fence."""
        for granted_first, granted_last, granted_fence in self._granted:
            if granted_first <= last and first <= granted_last and granted_fence > fence:
                return False
        self._granted.append((first, last, fence))
        if until > time.monotonic():
            self.drop(first, last)
            self._ranges.append(HeldRange(first, last, fence, until))
        return True

    def drop(self, first: int, last: int) -> None:
        """Drop the keys from *first* to *last* from the held ranges."""
        kept: list[HeldRange] = []
        for r in self._ranges:
            if r.last < first or r.first > last:
                kept.append(r)
                continue
            if r.first < first:
                kept.append(replace(r, last=first - 1))
            if r.last > last:
                kept.append(replace(r, first=last + 1))
        self._ranges = kept
