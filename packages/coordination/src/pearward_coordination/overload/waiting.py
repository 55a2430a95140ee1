"""Limit the time for which a request may wait for a slot.

Two load patterns look the same at one moment: a burst, after which the queue empties, and load over
capacity, under which it never does. In a burst a longer wait serves every request that can still be
in time. Over capacity a longer wait delays all requests and serves no more of them, so it has to
stay short. The two are distinguished by how long the queue has not been empty. Each rank is
considered without the less urgent ones, which wait behind it: if only those exceed capacity, urgent
requests still experience nothing but bursts.
"""

from dataclasses import dataclass

__all__ = ["QueueAge", "WaitingRequest", "max_wait_s"]

BURST_SLOTS = 6.0
"""Number of slots that a target may free while a queue is never empty before the queue counts as
standing: 0.1 s at a usual target, 0.4 s at one with few slots and long requests. If half of the
load reports are lost, 3 instead of 17 in 100 requests fail whose targets call others (experiment
tool, pattern lost-reports, three seeds)."""
STANDING_SHARE = 0.24
"""Part of the latency objective for which a request waits in a standing queue; with the running
time, about half of the objective is used. In a model of four targets at 1.1 times their capacity,
waiting as long as a request can be in time yielded a value of 0.58 instead of 0.78."""
RUN_MARGIN = 1.2
"""Running times of the route, relative to the mean, that must fit after the wait of a request in a
burst; running times vary by half of their mean."""
MAX_WAIT_SHARE = 0.6
"""Part of the latency objective that is the maximum wait of any request."""


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Properties of a waiting request that limit its wait."""

    objective_s: float
    """Seconds from its arrival to its latency objective."""
    running_s: float
    """Running time in seconds of requests on its route."""


def max_wait_s(waiting_request: WaitingRequest, *, standing: bool) -> float:
    """Return the maximum wait of a request for a slot in seconds."""
    short_s = max(0.0, waiting_request.objective_s * STANDING_SHARE)
    if standing:
        return short_s
    in_time_s = waiting_request.objective_s - waiting_request.running_s * RUN_MARGIN
    return max(short_s, min(in_time_s, waiting_request.objective_s * MAX_WAIT_SHARE))


class QueueAge:
    """Start times of the present waits, per rank including more urgent ranks."""

    def __init__(self) -> None:
        self._waiting: dict[int, int] = {}
        self._since: dict[int, float] = {}

    def joined(self, rank: int, now: float) -> None:
        """Record that a request of *rank* started to wait."""
        if rank not in self._waiting:
            self._waiting[rank] = 0
            self._since[rank] = now
        for other in self._waiting:
            if other >= rank and not self._count_up_to(other):
                self._since[other] = now
        self._waiting[rank] += 1

    def left(self, rank: int) -> None:
        """Record that a request of *rank* stopped waiting."""
        self._waiting[rank] -= 1

    def standing(self, rank: int, now: float, slot_s: float) -> bool:
        """Return whether the requests ahead of *rank* form a standing queue.

        *slot_s* is the time in which the target frees one slot.
        """
        return bool(self._count_up_to(rank)) and now - self._since_of(rank) > BURST_SLOTS * slot_s

    def _count_up_to(self, rank: int) -> int:
        return sum(count for other, count in self._waiting.items() if other <= rank)

    def _since_of(self, rank: int) -> float:
        """Return the start of the present wait of the least urgent known rank up to *rank*."""
        known = [other for other in self._waiting if other <= rank]
        return self._since[max(known)]
