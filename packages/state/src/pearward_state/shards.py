"""The division of a service's hash space into shards, and the owner of each shard.

A map consists of three parallel arrays with 18 bytes per shard, so that a daemon can hold the
maps of many cells. Memory use does not depend on the number of keys (up to 11 billion).
"""

from array import array
from bisect import bisect_right
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from .keys import HASH_SPACE

__all__ = ["NO_OWNER", "Shard", "ShardMap"]

NO_OWNER = 0xFFFF
"""Owner index of a shard that has not been assigned yet."""


@dataclass(frozen=True, slots=True)
class Shard:
    """A half-open range of the hash space with its current owner."""

    start: int
    end: int
    owner: int
    """Index into the record's members, or NO_OWNER."""
    epoch: int
    """Version of the record that assigned the shard to this owner; increases with each move."""
    predecessors: tuple[int, ...] = ()
    """Indices of former owners that may not have released the shard yet."""


@dataclass(frozen=True, eq=False)
class ShardMap:
    """All shards of one cell, sorted by start; they cover the hash space without gaps."""

    starts: "array[int]" = field(default_factory=lambda: array("Q"))
    owners: "array[int]" = field(default_factory=lambda: array("H"))
    epochs: "array[int]" = field(default_factory=lambda: array("Q"))
    predecessors: Mapping[int, tuple[int, ...]] = field(default_factory=dict)
    """Former owners by shard start; shards without any are omitted."""

    @classmethod
    def even(cls, count: int) -> "ShardMap":
        """Return a map of *count* unowned shards of equal size."""
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
        """Return the index of the shard that contains hash value *position*."""
        return bisect_right(self.starts, position) - 1

    def find(self, position: int) -> Shard:
        """Return the shard that contains hash value *position*."""
        return self.at(self.index_of(position))
