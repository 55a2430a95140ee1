"""The assignment record of a cell: its members, the owner of each shard, and the witnesses.

The record is the sole authority on ownership. It is stored under ``cell/<cell>`` and replaced
as a whole by compare-and-swap.
"""

import base64
import json
import sys
import zlib
from array import array
from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from enum import StrEnum
from functools import cached_property

from .errors import InvalidRecord
from .shards import Shard, ShardMap

__all__ = ["CellRecord", "Instance", "InstanceState", "Member", "MemberState"]


class InstanceState(StrEnum):
    """State of an instance in the platform's list, which lags behind the actual state."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """An entry of the platform's list of instances."""

    name: str
    address: str
    """IP address of the instance."""
    failure_domain: str
    state: InstanceState = InstanceState.LIVE
    peer_port: int = 0
    caller_port: int = 0
    admin_port: int = 0
    admin_address: str = ""
    """IP address of the operators' port; empty if it is the instance's address."""


class MemberState(StrEnum):
    """Role of a member in its cell."""

    ACTIVE = "active"
    DRAINING = "draining"
    """Releases its shards and accepts no new ones."""
    RETIRED = "retired"
    """Has ended or been removed; listed as long as a shard names it as a predecessor."""


@dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of a daemon in a cell."""

    incarnation: str
    instance: str
    server: str
    failure_domain: str
    peer: str
    """Address (IP:port) for other daemons."""
    caller: str
    """Address (IP:port) for callers."""
    state: MemberState = MemberState.ACTIVE
    witnesses: tuple[str, ...] = ()
    """Incarnations that act as witnesses of this member's ownership lease."""
    former_witnesses: tuple[str, ...] = ()
    """The witnesses before a change; a majority of them is also required until the owner has
    confirmed the new set."""
    stopping: bool = False
    """Whether the daemon is in a planned stop. Final for the incarnation, unlike the other reasons
    for the state DRAINING, which the member has then."""


_MEMBER_FIELDS = tuple(f.name for f in fields(Member) if f.name != "stopping")
"""Fields of a stored row. Readers require exactly these, so that later fields are stored apart."""


@dataclass(frozen=True)
class CellRecord:
    """One version of a cell's assignment."""

    cell: str
    service: str
    version: int = 0
    write_id: str = ""
    """Id of the write, by which the writer recognises its own write after losing the response."""
    members: tuple[Member, ...] = ()
    shards: ShardMap = field(default_factory=ShardMap)

    @cached_property
    def by_incarnation(self) -> Mapping[str, int]:
        """Index of each member, by incarnation."""
        return {member.incarnation: index for index, member in enumerate(self.members)}

    def member(self, incarnation: str) -> Member | None:
        """Return the member with the given incarnation, or None if there is none."""
        index = self.by_incarnation.get(incarnation)
        return None if index is None else self.members[index]

    def owner_of(self, shard: Shard) -> Member | None:
        """Return the member that owns *shard*, or None if it has no owner."""
        return self.members[shard.owner] if shard.owner < len(self.members) else None

    def owned_by(self, incarnation: str) -> list[Shard]:
        """Return the shards that a member owns, in order."""
        index = self.by_incarnation.get(incarnation)
        if index is None:
            return []
        owners = self.shards.owners
        return [self.shards.at(i) for i in range(len(owners)) if owners[i] == index]

    @cached_property
    def taken_from(self) -> Mapping[str, int]:
        """Highest record version, by incarnation, that moved a shard away from that member.

        Only shards that still list the member as a predecessor are considered.
        """
        taken: dict[str, int] = {}
        for shard in self.shards:
            for index in shard.predecessors:
                name = self.members[index].incarnation
                taken[name] = max(taken.get(name, 0), shard.epoch)
        return taken

    @classmethod
    def from_bytes(cls, data: bytes) -> "CellRecord":
        """Decode a stored record; raises InvalidRecord."""
        try:
            raw = json.loads(data)
            stopping = frozenset(raw.get("stopping", ()))
            members = tuple(_member_from_row(row, stopping) for row in raw["members"])
            predecessors = {int(k, 16): tuple(v) for k, v in raw["predecessors"].items()}
            return cls(
                cell=raw["cell"],
                service=raw["service"],
                version=int(raw["version"]),
                write_id=raw["write_id"],
                members=members,
                shards=ShardMap(
                    _unpack("Q", raw["starts"]),
                    _unpack("H", raw["owners"]),
                    _unpack("Q", raw["epochs"]),
                    predecessors,
                ),
            )
        except (ValueError, KeyError, TypeError, zlib.error) as error:
            raise InvalidRecord(f"cell record: {error}") from error

    def to_bytes(self) -> bytes:
        """Return the stored form of the record."""
        raw = {
            "cell": self.cell,
            "service": self.service,
            "version": self.version,
            "write_id": self.write_id,
            "members": [[getattr(m, name) for name in _MEMBER_FIELDS] for m in self.members],
            "starts": _pack(self.shards.starts),
            "owners": _pack(self.shards.owners),
            "epochs": _pack(self.shards.epochs),
            "predecessors": {f"{k:x}": v for k, v in self.shards.predecessors.items()},
            "stopping": [m.incarnation for m in self.members if m.stopping],
        }
        return json.dumps(raw, separators=(",", ":")).encode()

    def next_version(self, write_id: str, **changes: object) -> "CellRecord":
        """Return a copy with *changes* and the next version number."""
        return replace(self, version=self.version + 1, write_id=write_id, **changes)  # type: ignore[arg-type]


def _pack(numbers: "array[int]") -> str:
    """Return the stored form of an array: little-endian, zlib-compressed, in base64.

    Written as JSON numbers, the arrays of 8,192 shards took 230 KB of the record.
    """
    if sys.byteorder == "big":
        numbers = numbers[:]
        numbers.byteswap()
    return base64.b64encode(zlib.compress(numbers.tobytes(), 1)).decode()


def _unpack(kind: str, text: str) -> "array[int]":
    """Return the array that _pack encoded."""
    numbers = array(kind, zlib.decompress(base64.b64decode(text, validate=True)))
    if sys.byteorder == "big":
        numbers.byteswap()
    return numbers


def _member_from_row(row: list[object], stopping: frozenset[str]) -> Member:
    """Return the member for a stored row, the list of its field values."""
    data = dict(zip(_MEMBER_FIELDS, row, strict=True))
    data["state"] = MemberState(str(data["state"]))
    data["witnesses"] = tuple(data["witnesses"])  # type: ignore[arg-type]
    data["former_witnesses"] = tuple(data["former_witnesses"])  # type: ignore[arg-type]
    return Member(**data, stopping=data["incarnation"] in stopping)  # type: ignore[arg-type]
