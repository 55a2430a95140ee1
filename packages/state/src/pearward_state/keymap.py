"""Who owns which keys of a service: the record that every daemon acts on.

A key map is replaced as a whole, by compare-and-swap in the platform's store. Each range
has one owner and a fence that rises whenever the range changes hands. Where the former
owner may still hold the range, the range also names it: the new owner is granted the
keys only once every such predecessor has let them go.

Versions and fences name the era of the store in which they were given (see eras), so that a
map that the store has lost has a lower version than any that is written after it.
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
    "changed_by",
    "check_whole",
    "covered",
]

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


def check_whole(ranges: Iterable[KeyRange]) -> None:
    """Refuse ranges that leave a key out or name one twice; raises InvalidRecord."""
    expected = 0
    for r in ranges:
        if r.first != expected or r.last < r.first:
            raise InvalidRecord(f"range {r.first}..{r.last} where {expected} was expected")
        expected = r.last + 1
    if expected != KEY_SPACE:
        raise InvalidRecord(f"ranges end at {expected}")


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
    """Rises with each change."""
    ranges: tuple[KeyRange, ...]
    fence: int
    """The highest fence that was ever given out."""
    witnesses: tuple[TargetWitnesses, ...] = ()
    unsettled: bool = False
    """Whether targets may yet hold keys by maps of an earlier era that the store has lost. Until
    that is over only who held keys all along goes on with them."""
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

    @property
    def era(self) -> int:
        """Era of the store in which the map was written."""
        return era_of(self.version)

    @property
    def checksum(self) -> int:
        """A number that tells this map from others: its ranges, owners, fences, predecessors."""
        before = [p for r in self.ranges for p in r.predecessors]
        numbers = array("Q", self._starts)
        numbers.extend([r.fence for r in self.ranges])
        numbers.extend([len(r.predecessors) for r in self.ranges])
        numbers.extend([p.fence for p in before])
        names = [r.owner for r in self.ranges]
        names += [p.target for p in before]
        names += ["unsettled"] if self.unsettled else []
        return zlib.crc32("\n".join(names).encode(), zlib.crc32(numbers.tobytes()))

    def after(self, change: "KeyMapChange") -> "KeyMap":
        """Return the map that a change leads to.

        Raises InvalidRecord where the change is to another map, or does not fit this one.
        """
        if (change.service, change.base) != (self.service, self.version):
            raise InvalidRecord(
                f"change of {change.service} from version {change.base} to {change.version} "
                f"where {self.service} has version {self.version}"
            )
        changed = {row.target: row for row in change.witnesses}
        changed = {w.target: w for w in self.witnesses if w.target not in change.left} | changed
        witnesses = tuple(changed[target] for target in sorted(changed))
        ranges = self._with(change.ranges)
        check_whole(ranges)
        key_map = KeyMap(
            self.service, change.version, ranges, change.fence, witnesses, change.unsettled
        )
        if key_map.checksum != change.checksum:
            raise InvalidRecord(
                f"change of {change.service} from version {change.base} to {change.version}: "
                f"checksum {key_map.checksum} where {change.checksum} was expected"
            )
        return key_map

    def _with(self, changed: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
        """Return the ranges with others in place of what these cover."""
        result: list[KeyRange] = []
        at = 0
        for r in changed:
            upto = bisect_left(self._starts, r.first, at)
            if upto > at and self.ranges[upto - 1].last >= r.first:
                # It ends within the new one: what is left of it is among the new ones as well.
                upto -= 1
            result.extend(self.ranges[at:upto])
            result.append(r)
            at = bisect_right(self._starts, r.last, upto)
        result.extend(self.ranges[at:])
        return tuple(result)

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


@dataclass(frozen=True, slots=True)
class KeyMapChange:
    """What turns one version of a key map into the next."""

    service: str
    base: int
    """Version that is changed."""
    version: int
    fence: int
    ranges: tuple[KeyRange, ...]
    """Ranges that the former version lacks, in order; they replace what they cover."""
    witnesses: tuple[TargetWitnesses, ...]
    """Witness sets that are new or have changed."""
    left: tuple[str, ...]
    """Targets that have no witness sets any more."""
    checksum: int
    """Checksum of the map that this leads to."""
    unsettled: bool = False
    """Whether the map that this leads to is unsettled."""


def changed_by(before: KeyMap, key_map: KeyMap) -> KeyMapChange:
    """Return what turns *before* into a later version of the same map."""
    known = set(before.ranges)
    former = {row.target: row for row in before.witnesses}
    targets = {row.target for row in key_map.witnesses}
    return KeyMapChange(
        key_map.service,
        before.version,
        key_map.version,
        key_map.fence,
        tuple(r for r in key_map.ranges if r not in known),
        tuple(row for row in key_map.witnesses if former.get(row.target) != row),
        tuple(sorted(former.keys() - targets)),
        key_map.checksum,
        key_map.unsettled,
    )
