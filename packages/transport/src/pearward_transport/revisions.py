"""Revisions of a store that can be restored from an older copy.

A restored store assigns the same revisions again. The daemon's revisions therefore hold the
store's era in their upper part: revisions of two eras are never equal, and those of the later
era are higher. No I/O.
"""

from .errors import CasConflict
from .store import Expectation, HistoryUnavailable

__all__ = ["check_same_era", "encode_revision", "expected_count", "revision_count"]

REVISIONS_OF_ERA = 2**40
"""Revisions in one era: enough for 400 writes a second for 87 years."""


def encode_revision(era: int, count: int) -> int:
    """Return the revision for the store's own count in an era."""
    return era * REVISIONS_OF_ERA + count


def revision_count(revision: int) -> int:
    """Return the store's own count of a revision, without the era."""
    return revision % REVISIONS_OF_ERA


def check_same_era(after: int, era: int) -> None:
    """Raise HistoryUnavailable if the revision *after* does not belong to *era*."""
    if after // REVISIONS_OF_ERA != era:
        raise HistoryUnavailable(f"revision {revision_count(after)} is not of era {era}")


def expected_count(expectation: Expectation, era: int) -> int:
    """Return the store's own count of an expected revision, 0 for an absent key.

    Raises CasConflict if it belongs to another era, where a match would be coincidence.
    """
    if expectation.revision and expectation.revision // REVISIONS_OF_ERA != era:
        raise CasConflict(f"{expectation.key}: its revision is not of era {era}")
    return revision_count(expectation.revision)
