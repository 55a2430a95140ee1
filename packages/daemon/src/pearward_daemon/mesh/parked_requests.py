"""Requests for a local target that wait until their keys are granted to it."""

from typing import Protocol

from pearward_coordination.overload.handover_wait import HandoverWait

__all__ = ["ParkedRequest", "ParkedRequests"]

PARKED_LIMIT = 512
"""Maximum number of parked requests; further ones are refused."""


class ParkedRequest(Protocol):
    """A request that is notified when keys have been granted."""

    @property
    def position(self) -> int:
        """Position of the key that it waits for."""

    def admit(self) -> None:
        """Check again whether the target may run it."""


class ParkedRequests:
    """Holds all parked requests, and the usual duration of key handovers."""

    def __init__(self) -> None:
        self._waiting: dict[ParkedRequest, None] = {}
        self._gap = HandoverWait()

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def gap(self) -> HandoverWait:
        """Durations of the handovers of keys to the target."""
        return self._gap

    def park(
        self, request: ParkedRequest, deadline_left_s: float, running_s: float, now: float
    ) -> float:
        """Park a request until its key is granted; return the maximum wait in s, 0 if refused."""
        if len(self._waiting) >= PARKED_LIMIT:
            return 0.0
        max_wait_s = self._gap.max_wait_s(deadline_left_s, running_s, now)
        if max_wait_s > 0.0:
            self._waiting[request] = None
        return max_wait_s

    def unpark(self, request: ParkedRequest) -> None:
        """Remove a request that no longer waits for its key."""
        self._waiting.pop(request, None)

    def admit(self, first: int, last: int) -> None:
        """Re-evaluate the requests that wait for the keys from *first* to *last*.

        After a restart keys are granted by many calls; re-evaluating all requests for each of
        them would block the daemon for a second.
        """
        for request in [r for r in self._waiting if first <= r.position <= last]:
            self._waiting.pop(request, None)
            request.admit()

    def admit_all(self) -> None:
        """Re-evaluate all requests, as any keys may have been granted; the others park again."""
        waiting, self._waiting = list(self._waiting), {}
        for request in waiting:
            request.admit()
