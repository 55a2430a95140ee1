"""What is kept of a target that crashed: which requests it was running."""

from dataclasses import dataclass

__all__ = ["CrashRecord"]


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """One target's end without notice, and what it was running then."""

    target: str
    """Id of the target's incarnation."""
    at: float
    """Unix time in s at which its end was noticed."""
    contents: tuple[str, ...]
    """What each request that it was running asked for, as a digest that is the same for every id
    under which the request comes."""
