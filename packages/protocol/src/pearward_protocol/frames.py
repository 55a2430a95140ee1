"""Framing of a peer connection: each payload is preceded by a fixed-size header.

The header has 12 bytes, big-endian: kind (1), flags (1), zero (2), stream id (4), payload
length (4). The payload of a body chunk is the raw data, without a Cap'n Proto message.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

from .errors import FrameError

__all__ = [
    "CLOSING",
    "COMPRESSED",
    "END",
    "HEADER_SIZE",
    "MAX_PAYLOAD",
    "WITH_BODY",
    "Frame",
    "FrameDecoder",
    "FrameKind",
    "pack_frame",
    "pack_with_body",
    "split_body",
]

_HEADER = struct.Struct(">BBHII")
HEADER_SIZE = _HEADER.size
MAX_PAYLOAD = 2 * 1024 * 1024
"""Maximum payload size in bytes: a record of a megabyte plus a margin."""
END = 0x01
"""Flag: the sender's half of the stream ends with this frame."""


WITH_BODY = 0x02
"""Flag of a head: the payload also contains the complete body (see pack_with_body)."""

CLOSING = 0x04
"""Flag of a PING: the sender is about to close the connection and runs no further requests.
Versions that do not know the flag reply as to any other PING."""

COMPRESSED = 0x08
"""Flag of a head or control message that is compressed; a body in the same frame is not. Sent only
to peers whose HELLO states that they read it."""

_HEAD_LENGTH = struct.Struct(">I")


class FrameKind(IntEnum):
    """Type of a frame's payload."""

    HELLO = 0xA7
    """First frame in each direction. Its number is unlikely to start another protocol, so that
    connections of other protocols are rejected at their first bytes."""
    REQUEST = 2
    RESPONSE = 3
    DATA = 4
    RESET = 5
    WINDOW = 6
    CONTROL = 7
    PING = 8
    """Liveness check; the reply is a PING with the END flag."""


_KINDS = {int(kind): kind for kind in FrameKind}


@dataclass(frozen=True, slots=True)
class Frame:
    """One decoded frame."""

    kind: FrameKind
    flags: int
    """Flags of this module; in a RESET, its code."""
    stream: int
    payload: bytes


def pack_frame(kind: FrameKind, stream: int, payload: bytes = b"", flags: int = 0) -> bytes:
    """Return the bytes of one frame; raises FrameError if the payload is too long."""
    if len(payload) > MAX_PAYLOAD:
        raise FrameError(f"payload of {len(payload)} bytes is over {MAX_PAYLOAD}")
    return _HEADER.pack(kind, flags, 0, stream, len(payload)) + payload


def pack_with_body(head: bytes, body: bytes) -> bytes:
    """Return a payload of the head's length (4 bytes), the head and the complete body."""
    return _HEAD_LENGTH.pack(len(head)) + head + body


def split_body(payload: bytes) -> tuple[bytes, bytes]:
    """Return the head and body of a payload from pack_with_body; raises FrameError."""
    if len(payload) < _HEAD_LENGTH.size:
        raise FrameError(f"payload of {len(payload)} bytes is too short for the head's length")
    (length,) = _HEAD_LENGTH.unpack_from(payload)
    end = _HEAD_LENGTH.size + length
    if end > len(payload):
        raise FrameError(f"head of {length} bytes exceeds payload of {len(payload)} bytes")
    return payload[_HEAD_LENGTH.size : end], payload[end:]


class FrameDecoder:
    """Incremental decoder that splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = b""
        self._hello_received = False

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that *data* completes; raises FrameError for invalid data."""
        buffer = self._buffer + data if self._buffer else data
        offset = 0
        size = len(buffer)
        while size - offset >= HEADER_SIZE:
            number, flags, zero, stream, length = _HEADER.unpack_from(buffer, offset)
            kind = _KINDS.get(number)
            if kind is None or zero or length > MAX_PAYLOAD:
                raise FrameError(f"invalid frame header: kind {number}, length {length}")
            if not self._hello_received and kind is not FrameKind.HELLO:
                raise FrameError(f"first frame is {kind.name}, not HELLO")
            end = offset + HEADER_SIZE + length
            if end > size:
                break
            self._hello_received = True
            payload = buffer[offset + HEADER_SIZE : end]
            offset = end
            yield Frame(kind, flags, stream, payload)
        self._buffer = buffer[offset:]
