"""Control messages between daemons, in Cap'n Proto.

Each message type is a group of the schema's union with the same field names in mixed
case, so one table of fields serves both directions.
"""

from dataclasses import fields, is_dataclass
from typing import Any

import capnp

from pearward_coordination.grants import HeldRow, ReleasedRow
from pearward_coordination.key_load import KeyCount
from pearward_coordination.messages import (
    Announce,
    AskChanges,
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
    TellChanges,
    VersionedKey,
)
from pearward_coordination.watchers import EntryChange

from .errors import FrameError
from .heads import schema

__all__ = ["decode_control", "encode_control"]

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
)
_ROWS: dict[str, type[Any]] = {
    "entries": VersionedKey,
    "confirmed": HeldRow,
    "counts": KeyCount,
    "rows": ReleasedRow,
    "changes": EntryChange,
}
"""Lists of rows, by their name in the schema, and what a row is."""
_TEXTS = frozenset({"silent", "keys", "ended", "drained", "contents"})
"""Lists of texts, by their name in the schema."""


def _mixed(name: str) -> str:
    """Return *name* with words joined in mixed case, as the schema has it."""
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def _group(kind: type[Any]) -> str:
    """Return the union member that carries *kind*."""
    return kind.__name__[0].lower() + kind.__name__[1:]


_GROUPS = {kind: _group(kind) for kind in _TYPES}
_KINDS = {group: kind for kind, group in _GROUPS.items()}
_FIELDS = {kind: [(f.name, _mixed(f.name)) for f in fields(kind)] for kind in _TYPES}


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
    """Read a control message; raises FrameError."""
    try:
        with schema.Control.from_bytes(payload) as envelope:
            name = str(envelope.which())
            kind = _KINDS[name]
            group = getattr(envelope, name)
            values = [_from_wire(wire, getattr(group, wire)) for _, wire in _FIELDS[kind]]
            return kind(*values)
    except (capnp.KjException, KeyError, ValueError) as error:
        raise FrameError(f"control message: {error}") from error


def _to_wire(item: Any) -> Any:
    """Return a list's item as the schema's builder takes it."""
    if is_dataclass(item):
        return {field.name: getattr(item, field.name) for field in fields(item)}
    return item


def _from_wire(wire: str, value: Any) -> Any:
    """Return a field's value without any tie to the message's memory."""
    row = _ROWS.get(wire)
    if row is not None:
        names = [field.name for field in fields(row)]
        return tuple(row(*(getattr(entry, name) for name in names)) for entry in value)
    if wire in _TEXTS:
        return tuple(str(item) for item in value)
    return value
