"""Versions of the table and of cell records, as one daemon holds and spreads them.

A newer version is announced to a few peers at once; who is behind pulls the value and
announces it on. A digest exchanged with a random peer every so often finds what the
announcements missed. Versions only grow: an older one is never applied.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from .messages import Announce, Digest, Pull, Push, VersionedKey

if TYPE_CHECKING:
    from random import Random

__all__ = ["RecordSpread", "Stored"]

FANOUT = 3
"""Peers that a new version is announced to at once."""
PULL_AGAIN_S = 0.5
"""Time after which a pull that brought nothing is made again, of another peer."""


@dataclass(frozen=True, slots=True)
class Stored:
    """One value with its version."""

    version: int
    value: bytes


class RecordSpread:
    """The versioned values that this daemon knows."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._values: dict[str, Stored] = {}
        self._fingerprint = 0
        self._pulled: dict[str, tuple[int, float]] = {}

    @property
    def fingerprint(self) -> int:
        """Hash over all keys and versions; equal where two daemons hold the same."""
        return self._fingerprint

    @property
    def keys(self) -> Sequence[str]:
        """The keys that are known."""
        return tuple(self._values)

    def get(self, key: str) -> Stored | None:
        """Return what is known of *key*."""
        return self._values.get(key)

    def version(self, key: str) -> int:
        """Return the version known of *key*; 0 for none."""
        stored = self._values.get(key)
        return stored.version if stored is not None else 0

    def offer(self, key: str, version: int, value: bytes) -> bool:
        """Keep a value if it is newer; return whether it was."""
        known = self.version(key)
        if version <= known:
            return False
        if known:
            self._fingerprint ^= _entry_hash(key, known)
        self._fingerprint ^= _entry_hash(key, version)
        self._values[key] = Stored(version, value)
        self._pulled.pop(key, None)
        return True

    def choose_peers(self, addresses: Sequence[str], count: int = FANOUT) -> list[str]:
        """Return up to *count* random ones of *addresses*."""
        return self._rng.sample(list(addresses), min(count, len(addresses)))

    def announce(self, key: str) -> Announce:
        """Return the message that tells of the version of *key*."""
        return Announce(key, self._values[key].version)

    def on_announce(self, announce: Announce, now: float) -> list[Pull]:
        """Answer a peer's announcement: pull what is newer, unless that is under way."""
        if announce.version <= self.version(announce.key):
            return []
        version, asked_at = self._pulled.get(announce.key, (0, 0.0))
        if version >= announce.version and now - asked_at < PULL_AGAIN_S:
            return []
        self._pulled[announce.key] = (announce.version, now)
        return [Pull((announce.key,))]

    def push(self, key: str) -> Push:
        """Return the message that carries *key*."""
        stored = self._values[key]
        return Push(key, stored.version, stored.value)

    def short_digest(self) -> Digest:
        """Return the digest that is exchanged while both sides are expected to be equal."""
        return Digest(self._fingerprint)

    def full_digest(self) -> Digest:
        """Return the digest that lists every version."""
        entries = tuple(VersionedKey(key, s.version) for key, s in self._values.items())
        return Digest(self._fingerprint, True, entries)

    def on_digest(self, digest: Digest) -> list[Digest | Push | Pull]:
        """Answer a peer's digest.

        Equal ones need no answer, a short one gets the full one, a full one the difference.
        """
        if digest.fingerprint == self._fingerprint:
            return []
        if not digest.full:
            return [self.full_digest()]
        theirs = {entry.key: entry.version for entry in digest.entries}
        answers: list[Digest | Push | Pull] = [
            self.push(key)
            for key, stored in self._values.items()
            if stored.version > theirs.get(key, 0)
        ]
        wanted = tuple(key for key, version in theirs.items() if version > self.version(key))
        if wanted:
            answers.append(Pull(wanted))
        return answers

    def on_pull(self, pull: Pull) -> list[Push]:
        """Answer a peer's request for values."""
        return [self.push(key) for key in pull.keys if key in self._values]


def _entry_hash(key: str, version: int) -> int:
    """Return the hash that one entry adds to the fingerprint."""
    return xxhash.xxh3_64_intdigest(f"{key}:{version}".encode())
