"""The key map of a service: the assignment of key ranges to owners that every daemon follows.

A key map is replaced as a whole, by compare-and-swap in the platform's store. Each range
has one owner and a fence that increases whenever the owner changes. Former owners that may
still hold keys of a range are listed as its predecessors: the new owner is granted the keys
only after every predecessor has released them.

Versions and fences include the era of the store in which they were allocated (see eras). A map
that was lost by a restore of the store thus has a lower version than any map written later.
"""

import zlib
from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from .eras import era_of
from .errors import InvalidRecord

__all__ = [
    "KEY_SPACE",
    "KeyMap",
    "KeyMapChange",
    "KeyRange",
    "Predecessor",
    "TargetWitnesses",
    "check_complete",
    "covered",
    "diff_key_maps",
]

KEY_SPACE = 65_536
"""Number of keys; keys are ``0..KEY_SPACE - 1``. Source: the interface of keyed targets."""


def covered(first: int, last: int, spans: Iterable[tuple[int, int]]) -> bool:
    """Return whether the spans (first and last key of each) cover all keys *first* to *last*."""
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
    """A former owner that may still hold keys of a range under an earlier fence."""

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
    """Id of the owning target's incarnation; empty while the range has no owner."""
    fence: int
    predecessors: tuple[Predecessor, ...] = ()

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1


def check_complete(ranges: Iterable[KeyRange]) -> None:
    """Raise InvalidRecord unless the ranges cover each key exactly once, in order."""
    expected = 0
    for r in ranges:
        if r.first != expected or r.last < r.first:
            raise InvalidRecord(f"range {r.first}..{r.last} where {expected} was expected")
        expected = r.last + 1
    if expected != KEY_SPACE:
        raise InvalidRecord(f"ranges end at {expected}")


@dataclass(frozen=True, slots=True)
class TargetWitnesses:
    """The instances that act as lease witnesses for one target's daemon."""

    target: str
    sets: tuple[tuple[str, ...], ...]
    """The current set, followed by former sets that may have granted leases which have not
    expired yet. Moving the target's keys requires confirmation from every set."""


@dataclass(frozen=True, slots=True)
class KeyMap:
    """All key ranges of one service, in order and without gaps."""

    service: str
    version: int
    """Increases with each change."""
    ranges: tuple[KeyRange, ...]
    fence: int
    """The highest fence allocated so far."""
    witnesses: tuple[TargetWitnesses, ...] = ()
    unsettled: bool = False
    """Whether targets may still hold keys granted by maps of an earlier era that the store has
    lost. While this is set, keys can only be kept by targets that have held them throughout."""
    _starts: list[int] = field(init=False, repr=False, compare=False, default_factory=list)

    def __post_init__(self) -> None:
        self._starts.extend(r.first for r in self.ranges)

    def range_of(self, key: int) -> KeyRange | None:
        """Return the range that contains *key*, or None if the key is out of bounds."""
        if not 0 <= key < KEY_SPACE or not self.ranges:
            return None
        return self.ranges[bisect_right(self._starts, key) - 1]

    def overlapping(self, first: int, last: int) -> Iterator[KeyRange]:
        """Yield the ranges that contain any of the keys *first* to *last*."""
        index = max(0, bisect_right(self._starts, first) - 1)
        while index < len(self.ranges) and self.ranges[index].first <= last:
            yield self.ranges[index]
            index += 1

    def owned_by(self, target: str) -> tuple[KeyRange, ...]:
        """Return the ranges owned by *target*."""
        return tuple(r for r in self.ranges if r.owner == target)

    @property
    def era(self) -> int:
        """Era of the store in which the map was written."""
        return era_of(self.version)

    @property
    def checksum(self) -> int:
        """CRC-32 of the ranges, owners, fences, predecessors and the unsettled state."""
        former_owners = [p for r in self.ranges for p in r.predecessors]
        numbers = array("Q", self._starts)
        numbers.extend([r.fence for r in self.ranges])
        numbers.extend([len(r.predecessors) for r in self.ranges])
        numbers.extend([p.fence for p in former_owners])
        names = [r.owner for r in self.ranges]
        names += [p.target for p in former_owners]
        names += ["unsettled"] if self.unsettled else []
        return zlib.crc32("\n".join(names).encode(), zlib.crc32(numbers.tobytes()))

    def apply(self, change: "KeyMapChange") -> "KeyMap":
        """Return the map that results from applying *change* to this one.

        Raises InvalidRecord if the change is for another service or version, or if the result
        does not cover all keys or does not match the checksum of the change.
        """
        if (change.service, change.base) != (self.service, self.version):
            raise InvalidRecord(
                f"change of {change.service} from version {change.base} to {change.version} "
                f"where {self.service} has version {self.version}"
            )
        rows = {row.target: row for row in change.witnesses}
        rows = {
            w.target: w for w in self.witnesses if w.target not in change.dropped_targets
        } | rows
        witnesses = tuple(rows[target] for target in sorted(rows))
        ranges = self._replace_ranges(change.ranges)
        check_complete(ranges)
        key_map = KeyMap(
            self.service, change.version, ranges, change.fence, witnesses, change.unsettled
        )
        if key_map.checksum != change.checksum:
            raise InvalidRecord(
                f"change of {change.service} from version {change.base} to {change.version}: "
                f"checksum {key_map.checksum} where {change.checksum} was expected"
            )
        return key_map

    def _replace_ranges(self, changed: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
        """Return the map's ranges with *changed* in place of those that they overlap."""
        result: list[KeyRange] = []
        index = 0
        for r in changed:
            stop = bisect_left(self._starts, r.first, index)
            if stop > index and self.ranges[stop - 1].last >= r.first:
                # This range overlaps *r* too; *changed* also contains the rest of it.
                stop -= 1
            result.extend(self.ranges[index:stop])
            result.append(r)
            index = bisect_right(self._starts, r.last, stop)
        result.extend(self.ranges[index:])
        return tuple(result)

    def witnesses_of(self, target: str) -> tuple[tuple[str, ...], ...]:
        """Return the witness sets of *target*, the current one first."""
        for row in self.witnesses:
            if row.target == target:
                return row.sets
        return ()

    @property
    def targets(self) -> frozenset[str]:
        """Targets that own keys or, as predecessors, may still hold some."""
        owners = {r.owner for r in self.ranges if r.owner}
        former_owners = {p.target for r in self.ranges for p in r.predecessors}
        return frozenset(owners | former_owners)


@dataclass(frozen=True, slots=True)
class KeyMapChange:
    """The difference between two versions of a key map."""

    service: str
    base: int
    """Version that the change applies to."""
    version: int
    fence: int
    ranges: tuple[KeyRange, ...]
    """Ranges that the base version does not have, in order; they replace those they overlap."""
    witnesses: tuple[TargetWitnesses, ...]
    """Witness sets that are new or have changed."""
    dropped_targets: tuple[str, ...]
    """Targets that no longer have witness sets."""
    checksum: int
    """Checksum of the resulting map."""
    unsettled: bool = False
    """Whether the resulting map is unsettled."""


def diff_key_maps(before: KeyMap, key_map: KeyMap) -> KeyMapChange:
    """Return the change from *before* to *key_map*, a later version of the same map."""
    old_ranges = set(before.ranges)
    old_rows = {row.target: row for row in before.witnesses}
    targets = {row.target for row in key_map.witnesses}
    return KeyMapChange(
        key_map.service,
        before.version,
        key_map.version,
        key_map.fence,
        tuple(r for r in key_map.ranges if r not in old_ranges),
        tuple(row for row in key_map.witnesses if old_rows.get(row.target) != row),
        tuple(sorted(old_rows.keys() - targets)),
        key_map.checksum,
        key_map.unsettled,
    )
