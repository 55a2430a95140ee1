"""Failure domains that operators drain: their targets get no new requests."""

from dataclasses import dataclass

__all__ = ["DomainDrains"]


@dataclass(frozen=True, slots=True)
class DomainDrains:
    """All drained failure domains as of one revision of the store."""

    revision: int = 0
    """Revision of the store that this state reflects; 0 if the drains have not been read."""
    domains: frozenset[str] = frozenset()
