"""The keys that a stand-in target holds, each range by a fence and a time of its own."""

import time
from collections.abc import Iterator
from dataclasses import dataclass, replace

__all__ = ["HeldKeys", "HeldRange"]


@dataclass
class HeldRange:
    """Keys that are held."""

    first: int
    last: int
    fence: int
    until: float
    """End of the hold on the steady clock, in seconds."""
    let_go: bool = False
    """Whether no new work on them begins."""


class HeldKeys:
    """All ranges of one target."""

    def __init__(self) -> None:
        self._ranges: list[HeldRange] = []
        self._seen: list[tuple[int, int, int]] = []

    def __iter__(self) -> Iterator[HeldRange]:
        return iter(self._ranges)

    def replace_all(self, ranges: list[HeldRange]) -> None:
        """Hold exactly these."""
        self._ranges = ranges

    def remove(self, held: HeldRange) -> None:
        """Hold a range no longer."""
        self._ranges.remove(held)

    def fence_of(self, key: int) -> int:
        """Return the fence under which a key is held now; 0 where it is not held."""
        now = time.monotonic()
        for r in self._ranges:
            if r.first <= key <= r.last and r.until > now and not r.let_go:
                return r.fence
        return 0

    def take(self, first: int, last: int, fence: int, until: float) -> bool:
        """Hold keys until a time; return False where a higher fence was seen on one of them."""
        for seen_first, seen_last, seen in self._seen:
            if seen_first <= last and first <= seen_last and seen > fence:
                return False
        self._seen.append((first, last, fence))
        if until > time.monotonic():
            self.cut(first, last)
            self._ranges.append(HeldRange(first, last, fence, until))
        return True

    def cut(self, first: int, last: int) -> None:
        """Hold none of the keys from *first* to *last*."""
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
