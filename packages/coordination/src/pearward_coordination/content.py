"""What a request asks for, under one name whatever id it carries and wherever it comes in.

Callers send one request again with a new id, to any daemon, and operators may have moved its
route to another service by then. What stays is the method, the host, the path with its query, the
key and the body; what tells of the caller, its time and its connection does not count.
"""

from hashlib import blake2b

__all__ = ["COUNTED_BODY", "content_digest"]

DIGEST_BYTES = 8
"""Of a thousand contents that are known at one time, two are alike once in 10**13 cases."""
COUNTED_BODY = 65_536
"""Bytes of a body up to which it counts; a longer one is passed on before it is whole, and
only its length is known when it is decided where it goes."""


def content_digest(
    method: bytes, path: bytes, identity_headers: bytes, body_length: int, body: bytes
) -> str:
    """Return 16 hexadecimal digits that name what a request asks for.

    *identity_headers* is what its headers add; *body_length* is -1 where
    the sender did not know it. Takes 2 us, and 8 us with a body of 4 kB (timeit).
    """
    counted = body if 0 <= body_length <= COUNTED_BODY else b""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (method, path, identity_headers, b"%d" % body_length):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(counted)
    return digest.hexdigest()
