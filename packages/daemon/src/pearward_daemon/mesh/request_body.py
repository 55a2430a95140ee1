"""The body of a caller's request: kept for as long as it may have to be sent again."""

from dataclasses import dataclass

from pearward_coordination.content import COUNTED_BODY
from pearward_protocol.streams import SHORT_BODY

__all__ = ["FirstPart", "RequestBody"]

MAX_REPLAYABLE_BYTES = COUNTED_BODY
"""A request body up to this length is kept, so that it can be sent again; all of it is here when
its content is worked out."""


@dataclass(frozen=True, slots=True)
class FirstPart:
    """What goes to the daemon beside the target as an attempt begins."""

    with_head: bytes
    ended: bool
    """Whether that is all."""
    rest: bytes
    """What follows the head at once, in a chunk of its own."""


class RequestBody:
    """What has come of one body."""

    def __init__(self, length: int | None) -> None:
        """Begin a body; *length* is None where the caller does not tell it."""
        self._declared_length = -1 if length is None else length
        self._chunks: list[bytes] = []
        self._size = 0
        self._ended = length == 0

    # -- properties -------------------------------------------------------------

    @property
    def ended(self) -> bool:
        """Whether it is whole."""
        return self._ended

    @property
    def size(self) -> int:
        """Bytes that were kept."""
        return self._size

    @property
    def length(self) -> int:
        """Bytes of the whole body; -1 where they are not known yet."""
        return self._size if self._ended else self._declared_length

    @property
    def is_buffering(self) -> bool:
        """Whether it is to be whole before the request goes anywhere."""
        return not self._ended and max(self._declared_length, self._size) <= MAX_REPLAYABLE_BYTES

    @property
    def kept(self) -> bytes:
        """What was kept of it."""
        return b"".join(self._chunks)

    # -- what comes -----------------------------------------------------------------

    def received(self, data: bytes) -> None:
        """Keep a chunk."""
        self._chunks.append(data)
        self._size += len(data)

    def end(self) -> None:
        """All of it has come."""
        self._ended = True

    def streaming_started(self) -> None:
        """What was kept has been sent, and what follows will be: it cannot be sent again."""
        self._chunks = []

    def first_part(self) -> FirstPart:
        """Return what an attempt begins with: a short body goes with the head."""
        kept = self.kept
        if self._ended and len(kept) <= SHORT_BODY:
            return FirstPart(kept, True, b"")
        return FirstPart(b"", False, kept)
