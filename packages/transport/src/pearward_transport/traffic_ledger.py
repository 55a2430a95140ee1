"""Counts the bytes and frames that are sent to peers, by kind and by distance.

The bytes are those of frames, without the headers of TCP and IP. A frame is counted under its
peer's address; the failure domain of the address is looked up only when the counts are read, so
that each frame costs a dictionary addition or two.
"""

import struct
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum

from pearward_protocol.frames import HEADER_SIZE, WITH_BODY, FrameKind

__all__ = ["Distance", "TrafficLedger"]

CONTROL_PREFIX = "control."
"""Precedes the name of a control message in its kind."""
_HEAD_LENGTH = struct.Struct(">I")

# Plain ints as keys: comparing members of an IntEnum would take most of the time of a frame.
_KINDS: dict[int, str] = {
    int(FrameKind.HELLO): "hello",
    int(FrameKind.REQUEST): "request_head",
    int(FrameKind.RESPONSE): "response_head",
    int(FrameKind.RESET): "reset",
    int(FrameKind.WINDOW): "credit",
    int(FrameKind.PING): "ping",
}
"""Kind of each frame that is not a control message or a chunk of a body."""
_BODIES = ("response_body", "request_body")
"""Kind of the bodies that an end sends, by whether it opens the streams."""
_HEADS = frozenset({int(FrameKind.REQUEST), int(FrameKind.RESPONSE)})
"""Frames that may contain a body after the head."""
_DATA, _CONTROL = int(FrameKind.DATA), int(FrameKind.CONTROL)


class Distance(StrEnum):
    """Whether a peer is in the failure domain of this daemon."""

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"


class TrafficLedger:
    """Bytes and frames sent by one daemon to its peers."""

    def __init__(self, own_domain: str, domain_of: Callable[[str], str | None]) -> None:
        """Use *domain_of* to look up the failure domain of a peer's address, None if unknown."""
        self._own_domain = own_domain
        self._domain_of = domain_of
        self._pending: dict[tuple[str, str], int] = defaultdict(int)
        """Bytes by address and kind whose distance has not been looked up yet."""
        self._bytes: dict[tuple[str, Distance], int] = defaultdict(int)
        self._frames: dict[str, int] = defaultdict(int)

    def frames_sent(
        self, address: str, frames: Iterable[bytes], *, opener: bool, control: str = ""
    ) -> None:
        """Count frames that were written to a peer.

        *address* is empty before the peer's greeting, *opener* tells whether this end opens the
        streams, and *control* is the name of the control message among the frames.
        """
        pending = self._pending
        for frame in frames:
            size = len(frame)
            number = frame[0]
            if number == _CONTROL:
                kind = CONTROL_PREFIX + control
            elif number == _DATA:
                kind = _BODIES[opener]
            else:
                kind = _KINDS[number]
                # The flags of a RESET are its code.
                if number in _HEADS and frame[1] & WITH_BODY:
                    (head,) = _HEAD_LENGTH.unpack_from(frame, HEADER_SIZE)
                    body = size - HEADER_SIZE - _HEAD_LENGTH.size - head
                    pending[address, _BODIES[opener]] += body
                    size -= body
            pending[address, kind] += size
            self._frames[kind] += 1

    @property
    def frames(self) -> Mapping[str, int]:
        """Frames sent since the start, by kind; a body that is sent with its head is no frame."""
        return dict(self._frames)

    def bytes_sent(self) -> Mapping[tuple[str, Distance], int]:
        """Return the bytes sent since the start, by kind and distance; no value ever decreases.

        Bytes since the previous call count at the distance that their peer has now.
        """
        pending, self._pending = self._pending, defaultdict(int)
        distances: dict[str, Distance] = {}
        for (address, kind), size in pending.items():
            distance = distances.get(address)
            if distance is None:
                distance = distances[address] = self._distance(address)
            self._bytes[kind, distance] += size
        return dict(self._bytes)

    def _distance(self, address: str) -> Distance:
        domain = self._domain_of(address) if address else None
        if not domain:
            return Distance.UNKNOWN
        return Distance.SAME if domain == self._own_domain else Distance.OTHER
