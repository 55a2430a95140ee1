"""Entries of pearward in the platform's store: keys, and values as JSON.

``members/<instance>`` tells who takes part, ``holders/<target>`` on which instance a
target that owns keys runs, ``keymaps/<service>`` who owns which keys. The platform's
adapter may put a prefix of its own before them.
"""

import zlib
from collections.abc import Callable
from typing import Any, TypeVar

import orjson

from pearward_state.errors import InvalidRecord
from pearward_state.keymap import (
    KeyMap,
    KeyMapChange,
    KeyRange,
    Predecessor,
    TargetWitnesses,
    check_whole,
)
from pearward_state.members import Holder, Member, TargetState

__all__ = [
    "HOLDERS",
    "KEY_MAPS",
    "MEMBERS",
    "decode_holder",
    "decode_key_map",
    "decode_key_map_change",
    "decode_member",
    "encode_holder",
    "encode_key_map",
    "encode_key_map_change",
    "encode_member",
    "holder_key",
    "key_map_key",
    "member_key",
    "packed",
    "unpacked",
]

MEMBERS = "members/"
HOLDERS = "holders/"
KEY_MAPS = "keymaps/"

PACK_LEVEL = 6
"""Of zlib: a map of 43 owners and 800 ranges takes 1 ms and 8.1 kB in place of 22.7; higher
levels gain nothing."""
MOST_UNPACKED = 8 * 1024 * 1024
"""Bytes that an unpacked entry may have: eight of the largest values that the store takes."""

_T = TypeVar("_T")


def member_key(instance: str) -> str:
    """Return the key of an instance's entry."""
    return MEMBERS + instance


def holder_key(target: str) -> str:
    """Return the key of the entry that names a target's instance."""
    return HOLDERS + target


def key_map_key(service: str) -> str:
    """Return the key of a service's key map."""
    return KEY_MAPS + service


def packed(entry: bytes) -> bytes:
    """Return an entry as it travels between daemons."""
    return zlib.compress(entry, PACK_LEVEL)


def unpacked(data: bytes) -> bytes:
    """Return the entry that packed() was given; raises InvalidRecord."""
    inflater = zlib.decompressobj()
    try:
        entry = inflater.decompress(data, MOST_UNPACKED)
    except zlib.error as error:
        raise InvalidRecord(f"packed entry of {len(data)} bytes: {error}") from error
    if not inflater.eof:
        raise InvalidRecord(f"packed entry of {len(data)} bytes is not whole, or over the limit")
    return entry


def encode_member(member: Member) -> bytes:
    """Return a member's entry."""
    return orjson.dumps(
        {
            "instance": member.instance,
            "failure_domain": member.failure_domain,
            "peer_address": member.peer_address,
            "incarnation": member.incarnation,
            "service": member.service,
            "target": member.target,
            "slots": member.slots,
            "state": member.state.value,
            "cold_until": member.cold_until,
            "stopping": member.stopping,
            "link_mbit_per_s": member.link_mbit_per_s,
        }
    )


def decode_member(value: bytes) -> Member:
    """Read a member's entry; raises InvalidRecord."""

    def read(data: Any) -> Member:
        return Member(
            instance=str(data["instance"]),
            failure_domain=str(data["failure_domain"]),
            peer_address=str(data["peer_address"]),
            incarnation=str(data["incarnation"]),
            service=str(data["service"]),
            target=str(data["target"]),
            slots=int(data["slots"]),
            state=TargetState(data["state"]),
            cold_until=float(data["cold_until"]),
            stopping=bool(data.get("stopping", False)),
            link_mbit_per_s=float(data.get("link_mbit_per_s", 0.0)),
        )

    return _decoded(value, read)


def encode_holder(holder: Holder) -> bytes:
    """Return the entry that names a target's instance."""
    return orjson.dumps(
        {
            "target": holder.target,
            "instance": holder.instance,
        }
    )


def decode_holder(value: bytes) -> Holder:
    """Read the entry that names a target's instance; raises InvalidRecord."""

    def read(data: Any) -> Holder:
        return Holder(
            target=str(data["target"]),
            instance=str(data["instance"]),
        )

    return _decoded(value, read)


def encode_key_map(key_map: KeyMap) -> bytes:
    """Return a key map's entry; targets are written once and named by number."""
    targets, ranges = _rows(key_map.ranges)
    return orjson.dumps(
        {
            "service": key_map.service,
            "version": key_map.version,
            "fence": key_map.fence,
            "targets": targets,
            "ranges": ranges,
            "witnesses": {row.target: row.sets for row in key_map.witnesses},
        }
    )


def decode_key_map(value: bytes) -> KeyMap:
    """Read a key map; raises InvalidRecord, also where keys are missing or stand twice."""

    def read(data: Any) -> KeyMap:
        ranges = _ranges(data)
        check_whole(ranges)
        return KeyMap(
            str(data["service"]), int(data["version"]), ranges, int(data["fence"]),
            _witnesses(data),
        )  # fmt: skip

    return _decoded(value, read)


def encode_key_map_change(change: KeyMapChange) -> bytes:
    """Return a change of a key map as it travels between daemons."""
    targets, ranges = _rows(change.ranges)
    return orjson.dumps(
        {
            "service": change.service,
            "base": change.base,
            "version": change.version,
            "fence": change.fence,
            "targets": targets,
            "ranges": ranges,
            "witnesses": {row.target: row.sets for row in change.witnesses},
            "left": change.left,
            "checksum": change.checksum,
        }
    )


def decode_key_map_change(value: bytes) -> KeyMapChange:
    """Read a change of a key map; raises InvalidRecord."""

    def read(data: Any) -> KeyMapChange:
        return KeyMapChange(
            str(data["service"]), int(data["base"]), int(data["version"]), int(data["fence"]),
            _ranges(data), _witnesses(data), tuple(map(str, data["left"])), int(data["checksum"]),
        )  # fmt: skip

    return _decoded(value, read)


def _rows(ranges: tuple[KeyRange, ...]) -> tuple[list[str], list[list[Any]]]:
    """Return the targets that ranges name, and the ranges with their numbers."""
    names = {r.owner for r in ranges if r.owner}
    names.update(p.target for r in ranges for p in r.predecessors)
    targets = sorted(names)
    number = {target: index for index, target in enumerate(targets)}
    rows = [
        [
            r.first,
            r.last,
            number.get(r.owner, -1),
            r.fence,
            [[number[p.target], p.fence] for p in r.predecessors],
        ]
        for r in ranges
    ]
    return targets, rows


def _ranges(data: Any) -> tuple[KeyRange, ...]:
    targets = [str(target) for target in data["targets"]]
    return tuple([_range(row, targets) for row in data["ranges"]])


def _range(row: list[Any], targets: list[str]) -> KeyRange:
    first, last, owner, fence, before = row
    predecessors = tuple([Predecessor(targets[t], int(f)) for t, f in before]) if before else ()
    return KeyRange(
        int(first), int(last), targets[owner] if owner >= 0 else "", int(fence), predecessors
    )


def _witnesses(data: Any) -> tuple[TargetWitnesses, ...]:
    return tuple(
        TargetWitnesses(target, tuple(tuple(map(str, names)) for names in sets))
        for target, sets in sorted(data["witnesses"].items())
    )


def _decoded(value: bytes, read: Callable[[Any], _T]) -> _T:
    """Read JSON with *read*; anything that it stumbles over becomes InvalidRecord."""
    try:
        return read(orjson.loads(value))
    except InvalidRecord as error:
        raise InvalidRecord(f"{value[:120]!r}: {error}") from error
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
        raise InvalidRecord(f"{value[:120]!r}: {error!r}") from error
