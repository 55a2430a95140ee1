"""Requests at the daemon beside an owner that wait for their keys to arrive."""

from typing import Protocol

from pearward_coordination.overload.key_gap import KeyGap

__all__ = ["ParkedRequest", "ParkedRequests"]

PARKED_LIMIT = 512
"""Requests that wait for the target's keys, at most; further ones are refused."""


class ParkedRequest(Protocol):
    """A request that is told when keys have come."""

    @property
    def position(self) -> int:
        """The key that it waits for."""

    def admit(self) -> None:
        """Look again whether the target may run it."""


class ParkedRequests:
    """All requests that wait, and how long keys usually rest."""

    def __init__(self) -> None:
        self._waiting: dict[ParkedRequest, None] = {}
        self._gap = KeyGap()

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def gap(self) -> KeyGap:
        """The hand-overs of keys to the target."""
        return self._gap

    def park(
        self, request: ParkedRequest, deadline_left_s: float, runs_s: float, now: float
    ) -> float:
        """Let a request wait for its key; return for how many seconds, 0 where it may not."""
        if len(self._waiting) >= PARKED_LIMIT:
            return 0.0
        patience_s = self._gap.patience_s(deadline_left_s, runs_s, now)
        if patience_s > 0.0:
            self._waiting[request] = None
        return patience_s

    def unpark(self, request: ParkedRequest) -> None:
        """A request no longer waits for its key."""
        self._waiting.pop(request, None)

    def admit(self, first: int, last: int) -> None:
        """The keys from *first* to *last* have come: let those that wait for them look again.

        Keys come by many calls after a restart: the daemon would stand still for a second if all
        looked each time.
        """
        for request in [r for r in self._waiting if first <= r.position <= last]:
            self._waiting.pop(request, None)
            request.admit()

    def admit_all(self) -> None:
        """Any keys may have come: let all look again; those whose keys have not come wait on."""
        waiting, self._waiting = list(self._waiting), {}
        for request in waiting:
            request.admit()
