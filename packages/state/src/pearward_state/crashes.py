"""Record of a target's crash: the requests that it was running."""

from dataclasses import dataclass

__all__ = ["CrashRecord"]


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """One unannounced end of a target, with the requests it was running at that time."""

    target: str
    """Id of the target's incarnation."""
    at: float
    """Unix time in s at which the crash was detected."""
    contents: tuple[str, ...]
    """Digest of the content of each request that was running. The request id is not part of it, so
    that a request sent again under another id has the same digest."""
