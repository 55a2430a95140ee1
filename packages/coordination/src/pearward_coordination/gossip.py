"""Gossip of the table and of cell records: versioned values and the messages that spread them.

A newer version is announced to a few random peers at once. A peer with an older version pulls the
value and announces it in turn. Digests that are exchanged periodically with a random peer repair
missed announcements. Versions only increase: an older one is never applied.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from .messages import Announce, Digest, Pull, Push, VersionedKey

if TYPE_CHECKING:
    from random import Random

__all__ = ["RecordGossip", "VersionedValue"]

FANOUT = 3
"""Number of peers to which a new version is announced at once."""
PULL_RETRY_S = 0.5
"""Time in s after which an unanswered pull of a version may be repeated, from another peer."""


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """Value with its version."""

    version: int
    value: bytes


class RecordGossip:
    """Versioned values that this daemon holds."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._values: dict[str, VersionedValue] = {}
        self._fingerprint = 0
        self._pulled: dict[str, tuple[int, float]] = {}

    @property
    def fingerprint(self) -> int:
        """Hash over all keys and versions; equal if two daemons hold the same versions."""
        return self._fingerprint

    @property
    def keys(self) -> Sequence[str]:
        """Keys that this daemon holds."""
        return tuple(self._values)

    def get(self, key: str) -> VersionedValue | None:
        """Return the value and version of *key*, or None."""
        return self._values.get(key)

    def version(self, key: str) -> int:
        """Return the version of *key*; 0 if there is none."""
        stored = self._values.get(key)
        return stored.version if stored is not None else 0

    def offer(self, key: str, version: int, value: bytes) -> bool:
        """Store a value if it is newer than the present one; return whether it was."""
        known = self.version(key)
        if version <= known:
            return False
        if known:
            self._fingerprint ^= _entry_hash(key, known)
        self._fingerprint ^= _entry_hash(key, version)
        self._values[key] = VersionedValue(version, value)
        self._pulled.pop(key, None)
        return True

    def choose_peers(self, addresses: Sequence[str], count: int = FANOUT) -> list[str]:
        """Return up to *count* random elements of *addresses*."""
        return self._rng.sample(list(addresses), min(count, len(addresses)))

    def announce(self, key: str) -> Announce:
        """Return the message that announces the version of *key*."""
        return Announce(key, self._values[key].version)

    def on_announce(self, announce: Announce, now: float) -> list[Pull]:
        """Return a pull of an announced newer version, unless a pull of it is outstanding."""
        if announce.version <= self.version(announce.key):
            return []
        version, pulled_at = self._pulled.get(announce.key, (0, 0.0))
        if version >= announce.version and now - pulled_at < PULL_RETRY_S:
            return []
        self._pulled[announce.key] = (announce.version, now)
        return [Pull((announce.key,))]

    def push(self, key: str) -> Push:
        """Return the message with the value of *key*."""
        stored = self._values[key]
        return Push(key, stored.version, stored.value)

    def short_digest(self) -> Digest:
        """Return the digest without entries, for a comparison of fingerprints."""
        return Digest(self._fingerprint)

    def full_digest(self) -> Digest:
        """Return the digest that lists all versions."""
        entries = tuple(VersionedKey(key, s.version) for key, s in self._values.items())
        return Digest(self._fingerprint, True, entries)

    def on_digest(self, digest: Digest) -> list[Digest | Push | Pull]:
        """Return the replies to a peer's digest.

        An equal digest gets no reply, a short one the full digest, a full one the differences.
        """
        if digest.fingerprint == self._fingerprint:
            return []
        if not digest.full:
            return [self.full_digest()]
        peer_versions = {entry.key: entry.version for entry in digest.entries}
        replies: list[Digest | Push | Pull] = [
            self.push(key)
            for key, stored in self._values.items()
            if stored.version > peer_versions.get(key, 0)
        ]
        wanted = tuple(key for key, version in peer_versions.items() if version > self.version(key))
        if wanted:
            replies.append(Pull(wanted))
        return replies

    def on_pull(self, pull: Pull) -> list[Push]:
        """Return the pushes of the values that a peer requests."""
        return [self.push(key) for key in pull.keys if key in self._values]


def _entry_hash(key: str, version: int) -> int:
    """Return the hash that one entry contributes to the fingerprint."""
    return xxhash.xxh3_64_intdigest(f"{key}:{version}".encode())
