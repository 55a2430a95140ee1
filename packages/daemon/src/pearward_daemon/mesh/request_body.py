"""The body of a caller's request, buffered as long as it may have to be sent again."""

from dataclasses import dataclass

from pearward_coordination.content import MAX_DIGESTED_BODY
from pearward_protocol.streams import MAX_INLINE_BODY

__all__ = ["FirstPart", "RequestBody"]

MAX_REPLAYABLE_BYTES = MAX_DIGESTED_BODY
"""Maximum length in bytes of a body that is buffered for retries. It equals the limit of the
content digest, so that a body that the digest covers is complete when it is computed."""


@dataclass(frozen=True, slots=True)
class FirstPart:
    """The part of a body that is sent when an attempt starts."""

    with_head: bytes
    ended: bool
    """Whether the body ends with *with_head*."""
    rest: bytes
    """The data that follows the head at once, in a separate chunk."""


class RequestBody:
    """The received part of one request body."""

    def __init__(self, length: int | None) -> None:
        """Initialise an empty body; *length* is None if the caller did not declare it."""
        self._declared_length = -1 if length is None else length
        self._chunks: list[bytes] = []
        self._size = 0
        self._ended = length == 0

    # -- properties -------------------------------------------------------------

    @property
    def ended(self) -> bool:
        """Whether the whole body has been received."""
        return self._ended

    @property
    def size(self) -> int:
        """Number of bytes received while the body was buffered."""
        return self._size

    @property
    def length(self) -> int:
        """Length of the whole body in bytes; -1 while unknown."""
        return self._size if self._ended else self._declared_length

    @property
    def is_buffering(self) -> bool:
        """Whether the body is short enough to be received whole before the first attempt."""
        return not self._ended and max(self._declared_length, self._size) <= MAX_REPLAYABLE_BYTES

    @property
    def buffered(self) -> bytes:
        """The buffered data."""
        return b"".join(self._chunks)

    # -- data -----------------------------------------------------------------------

    def received(self, data: bytes) -> None:
        """Buffer a chunk."""
        self._chunks.append(data)
        self._size += len(data)

    def end(self) -> None:
        """Note that the whole body has been received."""
        self._ended = True

    def streaming_started(self) -> None:
        """Drop the buffer, as the body is streamed from now on and cannot be sent again."""
        self._chunks = []

    def first_part(self) -> FirstPart:
        """Return the data to send when an attempt starts; a short body goes with the head."""
        buffered = self.buffered
        if self._ended and len(buffered) <= MAX_INLINE_BODY:
            return FirstPart(buffered, True, b"")
        return FirstPart(b"", False, buffered)
