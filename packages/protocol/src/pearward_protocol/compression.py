"""Compression of the heads and control messages that one end of a connection sends.

Successive heads to the same peer differ in a few fields only, and links between failure domains are
slow. All payloads of one direction share a deflate window, so each has to be decompressed in the
order of sending. Bodies are not compressed: callers and targets that want it compress them.
"""

import zlib

from .errors import FrameError
from .frames import MAX_PAYLOAD

__all__ = ["PayloadCompressor", "PayloadDecompressor"]

WINDOW_BITS = 11
"""Base-two logarithm of the window in bytes: some four heads, which repeat each other's fields."""
MEMORY_LEVEL = 4
"""Memory level of the compressor. With this window a connection takes 30 kB for both directions,
and a daemon has two connections to each of its peers."""
LEVEL = 1
"""The fastest level, as a head is compressed for each request."""
_FLUSH_MARKER = b"\x00\x00\xff\xff"
"""End of the output of a flush, the same each time, so that it is not sent (as in RFC 7692)."""


class PayloadCompressor:
    """Compresses the payloads that are sent on one connection."""

    def __init__(self) -> None:
        self._deflate = zlib.compressobj(LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL)

    def compress(self, payload: bytes) -> bytes:
        """Return the compressed payload."""
        data = self._deflate.compress(payload) + self._deflate.flush(zlib.Z_SYNC_FLUSH)
        return data.removesuffix(_FLUSH_MARKER)


class PayloadDecompressor:
    """Decompresses the payloads that are received on one connection."""

    def __init__(self) -> None:
        self._inflate = zlib.decompressobj(-WINDOW_BITS)

    def decompress(self, data: bytes) -> bytes:
        """Return the original payload; raises FrameError for invalid data or one over the limit."""
        try:
            payload = self._inflate.decompress(data + _FLUSH_MARKER, MAX_PAYLOAD)
        except zlib.error as error:
            raise FrameError(f"compressed payload: {error}") from error
        if self._inflate.unconsumed_tail or self._inflate.eof:
            raise FrameError(f"compressed payload of {len(data)} bytes ends early or is too long")
        return payload
