"""Cap'n Proto encoding of control messages between daemons.

Each message class corresponds to a group in the union of the schema. The group has the same
fields in camel case, so that one table of field names is used for encoding and decoding.
"""

from dataclasses import fields, is_dataclass
from typing import Any

import capnp

from pearward_coordination.grants import HeldRow, ReleasedRow
from pearward_coordination.key_load import KeyCount
from pearward_coordination.messages import (
    Announce,
    AskChanges,
    AskDeparture,
    AskKeys,
    AskRelease,
    ControlMessage,
    Digest,
    Heartbeat,
    HeartbeatReply,
    KeyReport,
    KeysLetGo,
    Pull,
    Push,
    PushChange,
    Released,
    ReleaseReply,
    Renew,
    RenewReply,
    TargetCrashed,
    TargetDeparted,
    TellChanges,
    VersionedKey,
)
from pearward_coordination.watchers import EntryChange

from .errors import FrameError
from .heads import schema

__all__ = ["control_name", "decode_control", "encode_control"]

_TYPES: tuple[type[Any], ...] = (
    Renew,
    RenewReply,
    AskRelease,
    ReleaseReply,
    Released,
    Heartbeat,
    HeartbeatReply,
    Digest,
    Announce,
    Pull,
    Push,
    KeyReport,
    AskKeys,
    KeysLetGo,
    AskChanges,
    TellChanges,
    PushChange,
    TargetCrashed,
    TargetDeparted,
    AskDeparture,
)
_ROW_CLASSES: dict[str, type[Any]] = {
    "entries": VersionedKey,
    "confirmed": HeldRow,
    "counts": KeyCount,
    "rows": ReleasedRow,
    "changes": EntryChange,
}
"""Row class of each list of structs, by the list's field name in the schema."""
_STRING_LISTS = frozenset({"silent", "keys", "ended", "drained", "contents"})
"""Field names of the lists of strings in the schema."""


def _camel_case(name: str) -> str:
    """Return *name* in camel case, as used in the schema."""
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def _group(kind: type[Any]) -> str:
    """Return the name of the union's group for message class *kind*."""
    return kind.__name__[0].lower() + kind.__name__[1:]


_GROUPS = {kind: _group(kind) for kind in _TYPES}
_KINDS = {group: kind for kind, group in _GROUPS.items()}
_FIELDS = {kind: [(f.name, _camel_case(f.name)) for f in fields(kind)] for kind in _TYPES}


def control_name(message: ControlMessage) -> str:
    """Return the name of a message's group in the schema."""
    return _GROUPS[type(message)]


def encode_control(message: ControlMessage) -> bytes:
    """Return the payload of a CONTROL frame."""
    kind = type(message)
    envelope = schema.Control.new_message()
    group = envelope.init(_GROUPS[kind])
    for name, wire_name in _FIELDS[kind]:
        value = getattr(message, name)
        if isinstance(value, tuple):
            value = [_to_wire(item) for item in value]
        setattr(group, wire_name, value)
    return envelope.to_bytes()


def decode_control(payload: bytes) -> ControlMessage:
    """Decode the payload of a CONTROL frame; raises FrameError."""
    try:
        with schema.Control.from_bytes(payload) as envelope:
            name = str(envelope.which())
            kind = _KINDS[name]
            group = getattr(envelope, name)
            values = [_from_wire(wire, getattr(group, wire)) for _, wire in _FIELDS[kind]]
            return kind(*values)
    except (capnp.KjException, KeyError, ValueError) as error:
        raise FrameError(f"invalid control message: {error}") from error


def _to_wire(item: Any) -> Any:
    """Return a list item in the form that the schema's builder accepts."""
    if is_dataclass(item):
        return {field.name: getattr(item, field.name) for field in fields(item)}
    return item


def _from_wire(wire: str, value: Any) -> Any:
    """Return a copy of a field's value that does not refer to the message's buffer."""
    row = _ROW_CLASSES.get(wire)
    if row is not None:
        names = [field.name for field in fields(row)]
        return tuple(row(*(getattr(entry, name) for name in names)) for entry in value)
    if wire in _STRING_LISTS:
        return tuple(str(item) for item in value)
    return value
