"""Version and fence numbers that stay monotonic when the store is restored from an older copy.

A restore starts a new era of the platform's store. The store then lacks everything that was
written after the copy, and would allocate the same numbers a second time. The upper part of each
number is therefore the era in which it was allocated, so that every number of a later era is
greater than every number of an earlier one, including those that the store has lost.
"""

__all__ = ["ERA_SPAN", "era_of", "era_start", "next_number"]

ERA_SPAN = 2**32
"""Numbers in one era: enough for one key map per second for 136 years. Targets accept integers up
to 2**53, which leaves two million eras."""


def era_of(number: int) -> int:
    """Return the era of the store in which *number* was allocated."""
    return number // ERA_SPAN


def era_start(era: int) -> int:
    """Return the lowest number of *era*; all numbers of earlier eras are below it."""
    return era * ERA_SPAN


def next_number(latest: int, era: int) -> int:
    """Return the number to allocate in *era* after *latest*."""
    return max(latest, era_start(era)) + 1
