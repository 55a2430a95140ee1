"""Who owns which keys of a service: the record that every daemon acts on.

A key map is replaced as a whole, by compare-and-swap in the platform's store. Each range
has one owner and a fence that rises whenever the range changes hands. Where the former
owner may still hold the range, the range also names it: the new owner is granted the
keys only once every such predecessor has let them go.
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

__all__ = ["KEY_SPACE", "KeyMap", "KeyRange", "Predecessor", "TargetWitnesses", "covered"]

KEY_SPACE = 65_536
"""Keys are whole numbers below this. Source: the interface of targets divided by key."""


def covered(first: int, last: int, spans: Iterable[tuple[int, int]]) -> bool:
    """Return whether the spans (first and last key of each) together hold all keys."""
    missing = first
    for span_first, span_last in sorted(spans):
        if span_first > missing:
            return False
        missing = max(missing, span_last + 1)
        if missing > last:
            return True
    return missing > last


@dataclass(frozen=True, slots=True)
class Predecessor:
    """A target that may still hold keys of a range under an earlier fence."""

    target: str
    """Id of the target's incarnation."""
    fence: int


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Consecutive keys with one owner."""

    first: int
    last: int
    """The last key, inclusive."""
    owner: str
    """Id of the owning target's incarnation; empty while there is none."""
    fence: int
    predecessors: tuple[Predecessor, ...] = ()

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1


@dataclass(frozen=True, slots=True)
class TargetWitnesses:
    """The instances that time the lease of one target's daemon."""

    target: str
    sets: tuple[tuple[str, ...], ...]
    """The set in force goes first; former ones, which may have granted leases that still
    run, stand behind it. Whoever takes the target's keys needs the word of each set."""


@dataclass(frozen=True, slots=True)
class KeyMap:
    """All keys of one service, in order and without gaps."""

    service: str
    version: int
    """Rises by one with each change."""
    ranges: tuple[KeyRange, ...]
    fence: int
    """The highest fence that was ever given out."""
    witnesses: tuple[TargetWitnesses, ...] = ()
    _starts: list[int] = field(init=False, repr=False, compare=False, default_factory=list)

    def __post_init__(self) -> None:
        self._starts.extend(r.first for r in self.ranges)

    def range_of(self, key: int) -> KeyRange | None:
        """Return the range that holds *key*, or None for a key outside the space."""
        if not 0 <= key < KEY_SPACE or not self.ranges:
            return None
        return self.ranges[bisect_right(self._starts, key) - 1]

    def overlapping(self, first: int, last: int) -> Iterator[KeyRange]:
        """Yield the ranges that hold any of the keys from *first* to *last*."""
        at = max(0, bisect_right(self._starts, first) - 1)
        while at < len(self.ranges) and self.ranges[at].first <= last:
            yield self.ranges[at]
            at += 1

    def owned_by(self, target: str) -> tuple[KeyRange, ...]:
        """Return the ranges of one target."""
        return tuple(r for r in self.ranges if r.owner == target)

    def witnesses_of(self, target: str) -> tuple[tuple[str, ...], ...]:
        """Return the witness sets of a target, the one in force first."""
        for row in self.witnesses:
            if row.target == target:
                return row.sets
        return ()

    @property
    def targets(self) -> frozenset[str]:
        """Targets that own or may still hold keys."""
        owners = {r.owner for r in self.ranges if r.owner}
        before = {p.target for r in self.ranges for p in r.predecessors}
        return frozenset(owners | before)
