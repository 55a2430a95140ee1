"""Keys and JSON values of pearward's entries in the platform's store.

* ``members/<instance>``: a daemon and its local target;
* ``members/crashes/<target>``: the requests that a target was running when it crashed;
* ``holders/<target>``: the instance of a target that owns keys;
* ``departures/<instance>``: the announced end of an instance's target;
* ``keymaps/<service>``: the key map of a service;
* ``eras/<number>``: exists once a key map has been written in that era of the store.

The platform's adapter may add a prefix to these keys.
"""

import zlib
from collections.abc import Callable
from typing import Any, TypeVar

import orjson

from pearward_state.crashes import CrashRecord
from pearward_state.errors import InvalidField, InvalidRecord, abridged
from pearward_state.fields import FieldReader
from pearward_state.keymap import (
    KEY_SPACE,
    KeyMap,
    KeyMapChange,
    KeyRange,
    Predecessor,
    TargetWitnesses,
    check_complete,
)
from pearward_state.members import MAX_SLOTS, Departure, Holder, Member, TargetState

__all__ = [
    "CRASHES",
    "HOLDERS",
    "KEY_MAPS",
    "MEMBERS",
    "crash_key",
    "decode_crash",
    "decode_departure",
    "decode_holder",
    "decode_key_map",
    "decode_key_map_change",
    "decode_member",
    "deflate",
    "departure_key",
    "encode_crash",
    "encode_departure",
    "encode_holder",
    "encode_key_map",
    "encode_key_map_change",
    "encode_member",
    "era_key",
    "holder_key",
    "inflate",
    "key_map_key",
    "member_key",
]

MEMBERS = "members/"
CRASHES = MEMBERS + "crashes/"
"""Prefix of crash entries; within MEMBERS, so that a watch on members covers crashes as well."""
HOLDERS = "holders/"
DEPARTURES = "departures/"
KEY_MAPS = "keymaps/"
ERAS = "eras/"

COMPRESSION_LEVEL = 6
"""zlib level. A map of 43 owners and 800 ranges is compressed from 22.7 kB to 8.1 kB in 1 ms;
higher levels do not reduce the size further."""
MAX_UNPACKED_BYTES = 8 * 1024 * 1024
"""Maximum size of a decompressed entry: eight times the largest value that the store accepts."""
NUMBER_LIMIT = 2**53
"""Fences and versions are below this limit, up to which integers in the JSON of other writers are
exact."""

_T = TypeVar("_T")


def member_key(instance: str) -> str:
    """Return the key of an instance's entry."""
    return MEMBERS + instance


def crash_key(target: str) -> str:
    """Return the key of a target's crash entry."""
    return CRASHES + target


def holder_key(target: str) -> str:
    """Return the key of the entry for a target's instance."""
    return HOLDERS + target


def departure_key(instance: str) -> str:
    """Return the key of the entry for the departure of an instance's target."""
    return DEPARTURES + instance


def key_map_key(service: str) -> str:
    """Return the key of a service's key map."""
    return KEY_MAPS + service


def era_key(era: int) -> str:
    """Return the key that exists once a key map has been written in *era*."""
    return f"{ERAS}{era}"


def deflate(entry: bytes) -> bytes:
    """Return an entry compressed for transfer between daemons."""
    return zlib.compress(entry, COMPRESSION_LEVEL)


def inflate(data: bytes) -> bytes:
    """Return the entry that packed() compressed; raises InvalidRecord."""
    decompressor = zlib.decompressobj()
    try:
        entry = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise InvalidRecord(f"compressed entry of {len(data)} bytes: {error}") from error
    if not decompressor.eof:
        raise InvalidRecord(
            f"compressed entry of {len(data)} bytes is truncated or exceeds "
            f"{MAX_UNPACKED_BYTES} bytes when decompressed"
        )
    return entry


def encode_member(member: Member) -> bytes:
    """Return the value of a member's entry."""
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
    """Decode the value of a member's entry; raises InvalidRecord."""

    def read(reader: FieldReader) -> Member:
        return Member(
            instance=reader.name("instance"),
            failure_domain=reader.name("failure_domain"),
            peer_address=reader.address("peer_address"),
            incarnation=reader.name("incarnation"),
            service=reader.name("service"),
            target=reader.name("target") if reader.text_or_empty("target") else "",
            slots=reader.required_int("slots", high=MAX_SLOTS),
            state=reader.choice("state", TargetState),
            cold_until=reader.number("cold_until", 0.0),
            stopping=reader.flag("stopping", False),
            link_mbit_per_s=reader.number("link_mbit_per_s", 0.0),
        )

    return _decoded(value, read)


def encode_holder(holder: Holder) -> bytes:
    """Return the value of the entry for a target's instance."""
    return orjson.dumps(
        {
            "target": holder.target,
            "instance": holder.instance,
        }
    )


def decode_holder(value: bytes) -> Holder:
    """Decode the value of the entry for a target's instance; raises InvalidRecord."""
    return _decoded(value, lambda reader: Holder(reader.name("target"), reader.name("instance")))


def encode_departure(departure: Departure) -> bytes:
    """Return the value of the entry for a target's departure."""
    return orjson.dumps({"target": departure.target, "started_ms": departure.started_ms})


def decode_departure(value: bytes) -> Departure:
    """Decode the value of the entry for a target's departure; raises InvalidRecord."""

    def read(reader: FieldReader) -> Departure:
        started = reader.raw("started_ms") is not None
        return Departure(
            target=reader.name("target"),
            started_ms=reader.required_int("started_ms") if started else None,
        )

    return _decoded(value, read)


def encode_crash(record: CrashRecord) -> bytes:
    """Return the value of a target's crash entry."""
    return orjson.dumps(
        {"target": record.target, "at": record.at, "contents": list(record.contents)}
    )


def decode_crash(value: bytes) -> CrashRecord:
    """Decode the value of a target's crash entry; raises InvalidRecord."""

    def read(reader: FieldReader) -> CrashRecord:
        return CrashRecord(
            reader.text("target"), reader.number("at", 0.0), tuple(reader.texts("contents"))
        )

    return _decoded(value, read)


def encode_key_map(key_map: KeyMap) -> bytes:
    """Return the value of a key map's entry.

    Each target is listed once, and the ranges refer to it by its index.
    """
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
    """Decode a key map; raises InvalidRecord, also if its ranges have gaps or overlap."""

    def read(reader: FieldReader) -> KeyMap:
        ranges = _ranges(reader)
        check_complete(ranges)
        fence = reader.required_int("fence", low=max(r.fence for r in ranges))
        version = reader.required_int("version", low=1)
        return KeyMap(
            reader.text("service"), version, ranges, fence, _witnesses(reader),
            reader.flag("unsettled", False),
        )  # fmt: skip

    return _decoded(value, read)


def encode_key_map_change(change: KeyMapChange) -> bytes:
    """Return the JSON form of a key map change, for transfer between daemons."""
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
    """Decode a key map change from another daemon; raises InvalidRecord."""

    def read(reader: FieldReader) -> KeyMapChange:
        return KeyMapChange(
            reader.text("service"), reader.required_int("base"), reader.required_int("version"),
            reader.required_int("fence"), _ranges(reader), _witnesses(reader),
            tuple(reader.texts("left")), reader.required_int("checksum"),
            reader.flag("unsettled", False),
        )  # fmt: skip

    return _decoded(value, read)


def _rows(ranges: tuple[KeyRange, ...]) -> tuple[list[str], list[list[Any]]]:
    """Return the targets of the ranges, and the ranges as rows with indices of targets."""
    names = {r.owner for r in ranges if r.owner}
    names.update(p.target for r in ranges for p in r.predecessors)
    targets = sorted(names)
    index_of = {target: index for index, target in enumerate(targets)}
    rows = [
        [
            r.first,
            r.last,
            index_of.get(r.owner, -1),
            r.fence,
            [[index_of[p.target], p.fence] for p in r.predecessors],
        ]
        for r in ranges
    ]
    return targets, rows


def _ranges(reader: FieldReader) -> tuple[KeyRange, ...]:
    targets = reader.texts("targets")
    return tuple([_range(row, targets) for row in reader.items("ranges")])


def _range(row: list[Any], targets: list[str]) -> KeyRange:
    """Decode a row: first key, last key, index of the owner (-1 for none), fence, predecessors."""
    first, last, owner, fence, former_owners = row
    for number in (first, last, owner, fence):
        if type(number) is not int or number >= NUMBER_LIMIT:
            raise InvalidRecord(
                f"{abridged(row)}: {abridged(number)}: expected an integer below {NUMBER_LIMIT}"
            )
    if not 0 <= first <= last < KEY_SPACE or not -1 <= owner < len(targets) or fence < 0:
        raise InvalidRecord(f"{abridged(row)}: invalid keys, owner or fence in a key range")
    name = targets[owner] if owner >= 0 else ""
    predecessors = (
        tuple([_predecessor(each, targets) for each in former_owners]) if former_owners else ()
    )
    return KeyRange(first, last, name, fence, predecessors)


def _predecessor(row: list[Any], targets: list[str]) -> Predecessor:
    number, fence = row
    if type(number) is not int or type(fence) is not int or not 0 <= number < len(targets):
        raise InvalidRecord(f"{abridged(row)}: invalid predecessor of a key range")
    if not 0 <= fence < NUMBER_LIMIT:
        raise InvalidRecord(f"{abridged(row)}: {fence}: fence out of bounds")
    return Predecessor(targets[number], fence)


def _witnesses(reader: FieldReader) -> tuple[TargetWitnesses, ...]:
    rows = reader.raw("witnesses", {})
    if not isinstance(rows, dict):
        raise InvalidField(reader.path("witnesses"), rows, "expected an object")
    return tuple(
        TargetWitnesses(target, tuple(tuple(_check_strings(names)) for names in sets))
        for target, sets in sorted(rows.items())
    )


def _check_strings(values: list[Any]) -> list[str]:
    """Return *values* unchanged; raises InvalidRecord unless it is a list of strings."""
    if not isinstance(values, list) or not all(isinstance(value, str) for value in values):
        raise InvalidRecord(f"{abridged(values)}: expected a list of strings")
    return values


def _decoded(value: bytes, read: Callable[[FieldReader], _T]) -> _T:
    """Decode a JSON object with *read*; raises InvalidRecord for any error in the data."""
    try:
        data = orjson.loads(value)
        if not isinstance(data, dict):
            raise InvalidField("entry", data, "expected an object")
        return read(FieldReader(data, ""))
    except (InvalidRecord, InvalidField) as error:
        raise InvalidRecord(f"{value[:120]!r}: {error}") from error
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
        raise InvalidRecord(f"{value[:120]!r}: {error!r}") from error
