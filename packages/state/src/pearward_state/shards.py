"""The division of a service's hash space into shards and their owners.

A map is three parallel arrays, 18 bytes a shard, so that a daemon can hold the
routes of many cells; 11 billion keys cost nothing per key.
"""

from array import array
from bisect import bisect_right
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from .keys import HASH_SPACE

__all__ = ["NO_OWNER", "Shard", "ShardMap"]

NO_OWNER = 0xFFFF
"""Owner index of a shard that nobody has been given yet."""


@dataclass(frozen=True, slots=True)
class Shard:
    """One half-open range of hash space with its present owner."""

    start: int
    end: int
    owner: int
    """Index into the record's members, or NO_OWNER."""
    epoch: int
    """Version of the record that gave the shard to this owner; grows with each move."""
    predecessors: tuple[int, ...] = ()
    """Indices of earlier owners that may not have given the shard up yet."""


@dataclass(frozen=True, eq=False)
class ShardMap:
    """All shards of one cell, sorted by start; they cover the space without gaps."""

    starts: "array[int]" = field(default_factory=lambda: array("Q"))
    owners: "array[int]" = field(default_factory=lambda: array("H"))
    epochs: "array[int]" = field(default_factory=lambda: array("Q"))
    predecessors: Mapping[int, tuple[int, ...]] = field(default_factory=dict)
    """Earlier owners by shard start, only where there are any."""

    @classmethod
    def even(cls, count: int) -> "ShardMap":
        """Return *count* shards of equal size that nobody owns."""
        step = HASH_SPACE // count
        return cls(
            array("Q", [i * step for i in range(count)]),
            array("H", [NO_OWNER] * count),
            array("Q", [0] * count),
        )

    def __len__(self) -> int:
        return len(self.starts)

    def __iter__(self) -> Iterator[Shard]:
        return (self.at(index) for index in range(len(self.starts)))

    def __eq__(self, other: object) -> bool:
        return isinstance(other, ShardMap) and list(self) == list(other)

    def at(self, index: int) -> Shard:
        """Return the shard at *index*."""
        start = self.starts[index]
        end = self.starts[index + 1] if index + 1 < len(self.starts) else HASH_SPACE
        return Shard(
            start, end, self.owners[index], self.epochs[index], self.predecessors.get(start, ())
        )

    def index_of(self, position: int) -> int:
        """Return the index of the shard that holds hash value *position*."""
        return bisect_right(self.starts, position) - 1

    def find(self, position: int) -> Shard:
        """Return the shard that holds hash value *position*."""
        return self.at(self.index_of(position))
