"""Recent snapshots of a store stand-in, from which it can be restored."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["SnapshotHistory", "StoreSnapshot"]

SNAPSHOT_INTERVAL_S = 0.5
MAX_SNAPSHOTS = 20

_T = TypeVar("_T")
_Item = TypeVar("_Item")
_Event = TypeVar("_Event")


@dataclass(frozen=True)
class StoreSnapshot(Generic[_Item, _Event]):
    """The content of a store at one time."""

    items: dict[str, _Item]
    leases: dict[int, float]
    """Time to live of each lease in seconds; it restarts when the snapshot is restored."""
    revision: int
    next_lease: int
    history: list[_Event]


class SnapshotHistory(Generic[_T]):
    """The most recent snapshots and the times at which they were taken."""

    def __init__(self) -> None:
        self._copies: deque[tuple[float, _T]] = deque(maxlen=MAX_SNAPSHOTS)

    def take_if_due(self, now: float, take_copy: Callable[[], _T]) -> None:
        """Take a snapshot if the last one is at least ``SNAPSHOT_INTERVAL_S`` old."""
        if not self._copies or now - self._copies[-1][0] >= SNAPSHOT_INTERVAL_S:
            self._copies.append((now, take_copy()))

    def newest_by(self, at: float) -> _T:
        """Return the newest snapshot taken by *at*, or the oldest one if there is none."""
        older = [copy for kept_at, copy in self._copies if kept_at <= at]
        return older[-1] if older else self._copies[0][1]
