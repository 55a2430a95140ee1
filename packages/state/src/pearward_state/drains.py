"""Failure domains that operators drain: nothing new is sent to the targets there."""

from dataclasses import dataclass

__all__ = ["DomainDrains"]


@dataclass(frozen=True, slots=True)
class DomainDrains:
    """All drained failure domains, as they were at one revision of the store."""

    revision: int = 0
    """Revision of the store up to which all is known; 0 where nothing is."""
    domains: frozenset[str] = frozenset()
