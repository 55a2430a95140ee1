"""The announced end of the local target, and for how long the target still gets requests."""

import math

from .log import DecisionLog

__all__ = ["UNKNOWN_START", "TargetDeparture", "refuses_work"]

DRAIN_FRACTION = 0.6
"""Fraction of the drain time in which a target that leaves still accepts requests in transit."""
UNKNOWN_START = -math.inf
"""Start of a drain that began before this daemon was started: its time may be over."""


def refuses_work(since: float | None, drain_s: float, now: float) -> bool:
    """Return whether a target that leaves *since* a time in s, or not (None), gets no requests."""
    return since is not None and now > since + drain_s * DRAIN_FRACTION


class TargetDeparture:
    """Whether the local target has announced that it leaves, in any way, and since when."""

    def __init__(self, drain_s: float, log: DecisionLog) -> None:
        self._drain_s = drain_s
        self._log = log
        self._since: float | None = None

    @property
    def announced(self) -> bool:
        """Whether the target leaves."""
        return self._since is not None

    def announce(self, target: str, how: str, since: float) -> bool:
        """Record that the target leaves since a time in s; return whether this was unknown."""
        if self._since is not None:
            return False
        self._since = since
        self._log.emit("target_leaves", target=target, how=how)
        return True

    def forget(self) -> None:
        """Forget the announcement: the target has ended or another incarnation runs."""
        self._since = None

    def refuses_work(self, now: float) -> bool:
        """Return whether the target gets no more requests."""
        return refuses_work(self._since, self._drain_s, now)

    def is_overdue(self, now: float) -> bool:
        """Return whether the drain time has expired, so that the target may end at any moment."""
        return self._since is not None and now > self._since + self._drain_s
