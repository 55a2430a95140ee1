"""Copies that a stand-in of the store keeps of its last seconds, to come back from one of them."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["KeptCopies", "StoreCopy"]

COPY_EVERY_S = 0.5
COPIES_KEPT = 20

_T = TypeVar("_T")
_Item = TypeVar("_Item")
_Event = TypeVar("_Event")


@dataclass(frozen=True)
class StoreCopy(Generic[_Item, _Event]):
    """What a store had at one moment."""

    items: dict[str, _Item]
    leases: dict[int, float]
    """Each lease with its time to live in s, which begins anew when the copy returns."""
    revision: int
    next_lease: int
    history: list[_Event]


class KeptCopies(Generic[_T]):
    """The newest copies, with the times at which they were made."""

    def __init__(self) -> None:
        self._copies: deque[tuple[float, _T]] = deque(maxlen=COPIES_KEPT)

    def keep(self, now: float, copied: Callable[[], _T]) -> None:
        """Keep a copy if the last one is old enough."""
        if not self._copies or now - self._copies[-1][0] >= COPY_EVERY_S:
            self._copies.append((now, copied()))

    def of(self, at: float) -> _T:
        """Return the newest copy that was kept by a time, or the oldest that there is."""
        older = [copy for kept_at, copy in self._copies if kept_at <= at]
        return older[-1] if older else self._copies[0][1]
