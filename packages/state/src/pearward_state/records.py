"""The assignment record of a cell: who is in it, who owns which shard, who are witnesses.

It is the only thing that decides ownership, and is replaced as a whole by
compare-and-swap under ``cell/<cell>``.
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
    """What the platform's list says of an instance; it lags."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """An entry of the platform's list of instances."""

    name: str
    address: str
    """IP number of the instance."""
    failure_domain: str
    state: InstanceState = InstanceState.LIVE
    peer_port: int = 0
    caller_port: int = 0
    admin_port: int = 0
    admin_address: str = ""
    """IP number of the operators' port, where it is not the instance's own."""


class MemberState(StrEnum):
    """What a member of a cell is there for."""

    ACTIVE = "active"
    DRAINING = "draining"
    """Gives up its shards and takes no new work."""
    RETIRED = "retired"
    """Has ended or is given up; kept while a shard names it as a predecessor."""


@dataclass(frozen=True, slots=True)
class Member:
    """One daemon in a cell, by its incarnation."""

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
    """Incarnations that time this member's ownership lease."""
    former_witnesses: tuple[str, ...] = ()
    """The set before a change; its majority is needed too until the owner confirms."""


_MEMBER_FIELDS = tuple(f.name for f in fields(Member))


@dataclass(frozen=True)
class CellRecord:
    """One version of a cell's assignment."""

    cell: str
    service: str
    version: int = 0
    write_id: str = ""
    """Id of the write, to recognise a write whose answer was lost."""
    members: tuple[Member, ...] = ()
    shards: ShardMap = field(default_factory=ShardMap)

    @cached_property
    def by_incarnation(self) -> Mapping[str, int]:
        """Index of each member by its incarnation."""
        return {member.incarnation: index for index, member in enumerate(self.members)}

    def member(self, incarnation: str) -> Member | None:
        """Return the member of that incarnation, if the record names it."""
        index = self.by_incarnation.get(incarnation)
        return None if index is None else self.members[index]

    def owner_of(self, shard: Shard) -> Member | None:
        """Return the member that owns *shard*, if any."""
        return self.members[shard.owner] if shard.owner < len(self.members) else None

    def owned_by(self, incarnation: str) -> list[Shard]:
        """Return the shards of one member, in order."""
        index = self.by_incarnation.get(incarnation)
        if index is None:
            return []
        owners = self.shards.owners
        return [self.shards.at(i) for i in range(len(owners)) if owners[i] == index]

    @cached_property
    def taken_from(self) -> Mapping[str, int]:
        """Highest version, by incarnation, that took a shard from that member."""
        taken: dict[str, int] = {}
        for shard in self.shards:
            for index in shard.predecessors:
                name = self.members[index].incarnation
                taken[name] = max(taken.get(name, 0), shard.epoch)
        return taken

    @classmethod
    def from_bytes(cls, data: bytes) -> "CellRecord":
        """Read a stored record; raises InvalidRecord."""
        try:
            raw = json.loads(data)
            members = tuple(_member_from_row(row) for row in raw["members"])
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
        """Return the record as it is stored."""
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
        }
        return json.dumps(raw, separators=(",", ":")).encode()

    def next_version(self, write_id: str, **changes: object) -> "CellRecord":
        """Return the record that is to replace this one."""
        return replace(self, version=self.version + 1, write_id=write_id, **changes)  # type: ignore[arg-type]


def _pack(numbers: "array[int]") -> str:
    """Return an array as it is stored: little-endian, deflated, in base64.

    As plain numbers the arrays of 8,192 shards took 230 KB of the record.
    """
    if sys.byteorder == "big":
        numbers = numbers[:]
        numbers.byteswap()
    return base64.b64encode(zlib.compress(numbers.tobytes(), 1)).decode()


def _unpack(kind: str, text: str) -> "array[int]":
    """Return an array that _pack made."""
    numbers = array(kind, zlib.decompress(base64.b64decode(text, validate=True)))
    if sys.byteorder == "big":
        numbers.byteswap()
    return numbers


def _member_from_row(row: list[object]) -> Member:
    """Return a member from its stored list of fields."""
    data = dict(zip(_MEMBER_FIELDS, row, strict=True))
    data["state"] = MemberState(str(data["state"]))
    data["witnesses"] = tuple(data["witnesses"])  # type: ignore[arg-type]
    data["former_witnesses"] = tuple(data["former_witnesses"])  # type: ignore[arg-type]
    return Member(**data)  # type: ignore[arg-type]
