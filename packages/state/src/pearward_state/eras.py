"""Numbers that only rise, although the store that counts them may go back.

The platform's store may come back from an older copy, and begins a new era then. Whatever was
numbered since the copy is lost there, and its numbers would be given out a second time. So the
upper part of each number names the era in which it was given: a number of a later era is above
every number of an earlier one, whether the store still knows that or not.
"""

__all__ = ["ERA_SPAN", "era_of", "first_of", "next_number"]

ERA_SPAN = 2**32
"""Numbers in one era: a map a second for 136 years. Targets take whole numbers up to 2**53, which
is two million eras."""


def era_of(number: int) -> int:
    """Return the era of the store in which a number was given."""
    return number // ERA_SPAN


def first_of(era: int) -> int:
    """Return the number below which all numbers of earlier eras lie."""
    return era * ERA_SPAN


def next_number(latest: int, era: int) -> int:
    """Return the number that follows *latest* when it is given in an era."""
    return max(latest, first_of(era)) + 1
