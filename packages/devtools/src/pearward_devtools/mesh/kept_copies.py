"""Copies that a stand-in of the store keeps of its last seconds, to come back from one of them."""

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["KeptCopies"]

COPY_EVERY_S = 0.5
COPIES_KEPT = 20

_T = TypeVar("_T")


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
