"""Hashing of keys into the 64-bit hash space that is divided into shards.

Source: xxHash, XXH3 64-bit variant (https://xxhash.com), from the `xxhash` package.
"""

import xxhash

__all__ = ["HASH_SPACE", "key_hash", "service_seed"]

HASH_SPACE = 2**64
"""Number of hash values; shards are half-open ranges of ``0..HASH_SPACE``."""


def service_seed(service: str) -> int:
    """Return the hash seed of *service*, derived from its name."""
    return xxhash.xxh3_64_intdigest(service.encode())


def key_hash(key: bytes, seed: int) -> int:
    """Return the position of *key* in the hash space of a service."""
    return xxhash.xxh3_64_intdigest(key, seed)
