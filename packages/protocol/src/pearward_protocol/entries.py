"""Entries of pearward in the platform's store: keys, and values as JSON.

``members/<instance>`` tells who takes part, ``holders/<target>`` on which instance a
target that owns keys runs, ``keymaps/<service>`` who owns which keys,
``members/crashes/<target>`` what a target was running when it crashed, ``eras/<number>`` that
maps were written in an era of the store. The platform's
adapter may put a prefix of its own before them.
"""

import zlib
from collections.abc import Callable
from typing import Any, TypeVar

import orjson

from pearward_state.crashes import CrashRecord
from pearward_state.errors import InvalidField, InvalidRecord
from pearward_state.fields import FieldReader
from pearward_state.keymap import (
    KEY_SPACE,
    KeyMap,
    KeyMapChange,
    KeyRange,
    Predecessor,
    TargetWitnesses,
    check_whole,
)
from pearward_state.members import Holder, Member, TargetState

__all__ = [
    "CRASHES",
    "HOLDERS",
    "KEY_MAPS",
    "MEMBERS",
    "crash_key",
    "decode_crash",
    "decode_holder",
    "decode_key_map",
    "decode_key_map_change",
    "decode_member",
    "encode_crash",
    "encode_holder",
    "encode_key_map",
    "encode_key_map_change",
    "encode_member",
    "era_key",
    "holder_key",
    "key_map_key",
    "member_key",
    "packed",
    "unpacked",
]

MEMBERS = "members/"
CRASHES = MEMBERS + "crashes/"
"""Below the members: whoever follows those hears of crashes too, without a call of its own."""
HOLDERS = "holders/"
KEY_MAPS = "keymaps/"
ERAS = "eras/"

PACK_LEVEL = 6
"""Of zlib: a map of 43 owners and 800 ranges takes 1 ms and 8.1 kB in place of 22.7; higher
levels gain nothing."""
MOST_UNPACKED = 8 * 1024 * 1024
"""Bytes that an unpacked entry may have: eight of the largest values that the store takes."""
MOST_NUMBER = 2**53
"""Fences and versions stay below: other writers' JSON carries whole numbers up to there."""

_T = TypeVar("_T")


def member_key(instance: str) -> str:
    """Return the key of an instance's entry."""
    return MEMBERS + instance


def crash_key(target: str) -> str:
    """Return the key of the entry that tells what a target was running when it crashed."""
    return CRASHES + target


def holder_key(target: str) -> str:
    """Return the key of the entry that names a target's instance."""
    return HOLDERS + target


def key_map_key(service: str) -> str:
    """Return the key of a service's key map."""
    return KEY_MAPS + service


def era_key(era: int) -> str:
    """Return the key that is there once a key map was written in an era of the store."""
    return f"{ERAS}{era}"


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

    def read(reader: FieldReader) -> Member:
        return Member(
            instance=reader.text("instance"),
            failure_domain=reader.text("failure_domain"),
            peer_address=reader.address("peer_address"),
            incarnation=reader.text("incarnation"),
            service=reader.text("service"),
            target=reader.text_or_empty("target"),
            slots=reader.whole("slots"),
            state=reader.choice("state", TargetState),
            cold_until=reader.number("cold_until", 0.0),
            stopping=reader.flag("stopping", False),
            link_mbit_per_s=reader.number("link_mbit_per_s", 0.0),
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
    return _decoded(value, lambda reader: Holder(reader.text("target"), reader.text("instance")))


def encode_crash(record: CrashRecord) -> bytes:
    """Return the entry of a target's crash."""
    return orjson.dumps(
        {"target": record.target, "at": record.at, "contents": list(record.contents)}
    )


def decode_crash(value: bytes) -> CrashRecord:
    """Read the entry of a target's crash; raises InvalidRecord."""

    def read(reader: FieldReader) -> CrashRecord:
        return CrashRecord(
            reader.text("target"), reader.number("at", 0.0), tuple(reader.texts("contents"))
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
            "unsettled": key_map.unsettled,
        }
    )


def decode_key_map(value: bytes) -> KeyMap:
    """Read a key map; raises InvalidRecord, also where keys are missing or stand twice."""

    def read(reader: FieldReader) -> KeyMap:
        ranges = _ranges(reader)
        check_whole(ranges)
        fence = reader.whole("fence", low=max(r.fence for r in ranges))
        version = reader.whole("version", low=1)
        return KeyMap(
            reader.text("service"), version, ranges, fence, _witnesses(reader),
            reader.flag("unsettled", False),
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
            "left": change.dropped_targets,
            "checksum": change.checksum,
            "unsettled": change.unsettled,
        }
    )


def decode_key_map_change(value: bytes) -> KeyMapChange:
    """Read a change of a key map as it travels between daemons; raises InvalidRecord."""

    def read(reader: FieldReader) -> KeyMapChange:
        return KeyMapChange(
            reader.text("service"), reader.whole("base"), reader.whole("version"),
            reader.whole("fence"), _ranges(reader), _witnesses(reader),
            tuple(reader.texts("left")), reader.whole("checksum"),
            reader.flag("unsettled", False),
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


def _ranges(reader: FieldReader) -> tuple[KeyRange, ...]:
    targets = reader.texts("targets")
    return tuple([_range(row, targets) for row in reader.items("ranges")])


def _range(row: list[Any], targets: list[str]) -> KeyRange:
    """Read first and last key, number of the owner, fence, and predecessors with fences."""
    first, last, owner, fence, before = row
    for number in (first, last, owner, fence):
        if type(number) is not int or number >= MOST_NUMBER:
            raise InvalidRecord(f"{row!r}: {number!r}: expected a whole number")
    if not 0 <= first <= last < KEY_SPACE or not -1 <= owner < len(targets) or fence < 0:
        raise InvalidRecord(f"{row!r}: no keys, owner and fence of a range")
    name = targets[owner] if owner >= 0 else ""
    predecessors = tuple([_predecessor(each, targets) for each in before]) if before else ()
    return KeyRange(first, last, name, fence, predecessors)


def _predecessor(row: list[Any], targets: list[str]) -> Predecessor:
    number, fence = row
    if type(number) is not int or type(fence) is not int or not 0 <= number < len(targets):
        raise InvalidRecord(f"{row!r}: no predecessor of a range")
    if not 0 <= fence < MOST_NUMBER:
        raise InvalidRecord(f"{row!r}: {fence!r}: no fence")
    return Predecessor(targets[number], fence)


def _witnesses(reader: FieldReader) -> tuple[TargetWitnesses, ...]:
    rows = reader.raw("witnesses", {})
    if not isinstance(rows, dict):
        raise InvalidField(reader.path("witnesses"), rows, "expected a table")
    return tuple(
        TargetWitnesses(target, tuple(tuple(_texts(names)) for names in sets))
        for target, sets in sorted(rows.items())
    )


def _texts(values: list[Any]) -> list[str]:
    """Return a list of texts as it is; raises InvalidRecord for anything else."""
    if not isinstance(values, list) or not all(isinstance(value, str) for value in values):
        raise InvalidRecord(f"{values!r}: expected a list of texts")
    return values


def _decoded(value: bytes, read: Callable[[FieldReader], _T]) -> _T:
    """Read a JSON object with *read*; anything that it stumbles over becomes InvalidRecord."""
    try:
        data = orjson.loads(value)
        if not isinstance(data, dict):
            raise InvalidField("entry", data, "expected an object")
        return read(FieldReader(data, ""))
    except (InvalidRecord, InvalidField) as error:
        raise InvalidRecord(f"{value[:120]!r}: {error}") from error
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
        raise InvalidRecord(f"{value[:120]!r}: {error!r}") from error
