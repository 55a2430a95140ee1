"""Revisions of a store that may come back from an older copy of itself.

Such a store gives revisions out again. So what the daemon calls a revision names the era in which
the store counted it as well, in its upper part: revisions of two eras are never alike, and those
of a later era are the higher ones. No I/O.
"""

from .errors import CasConflict
from .store import Expectation, HistoryGone

__all__ = ["check_followed", "counted", "expected_count", "revision_in"]

REVISIONS_OF_ERA = 2**40
"""Revisions in one era: 400 writes a second for 87 years."""


def revision_in(era: int, count: int) -> int:
    """Return the revision that the store counted in an era."""
    return era * REVISIONS_OF_ERA + count


def counted(revision: int) -> int:
    """Return what the store itself counts a revision as."""
    return revision % REVISIONS_OF_ERA


def check_followed(after: int, era: int) -> None:
    """Raise HistoryGone where changes after a revision are asked of a store in another era."""
    if after // REVISIONS_OF_ERA != era:
        raise HistoryGone(f"revision {counted(after)} is not of era {era}")


def expected_count(expectation: Expectation, era: int) -> int:
    """Return an expected revision as the store counts it, 0 for an absent key.

    Raises CasConflict where it was counted in another era: it matches by chance, if at all.
    """
    if expectation.revision and expectation.revision // REVISIONS_OF_ERA != era:
        raise CasConflict(f"{expectation.key}: its revision is not of era {era}")
    return counted(expectation.revision)
