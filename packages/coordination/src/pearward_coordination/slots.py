"""Which requests the target beside this daemon runs now, which wait, and which are refused.

All work of a target passes the daemon beside it, so slots are counted exactly. Waiting
requests are ordered by rank, then by deadline; where one key asks for more than its owner runs,
those of a key that has half of the slots wait behind all others. A request that could not be
answered in time is refused at once, while the caller still has time to try again.

No I/O and no clock.
"""

import heapq
from dataclasses import dataclass, field

from .overload.policy import Mechanism, OverloadPolicy
from .overload.returns import TurnedAway, back_after_s, usual_back_after_s
from .overload.waiting import QueueAge, Waiter, patience_s

__all__ = ["Refused", "SlotLimits", "SlotQueue", "SlotTicket"]

FIRST_GUESS_S = 0.15
"""Running time in seconds assumed before any request has ended."""
TIME_WEIGHT = 0.015
"""Least weight of the newest request in the mean of running times: some seventy requests,
since running times vary by their own mean and a target's speed does not."""
GUESS_COUNTS = 6
"""Requests that the first guess stands for."""
ROUTES_KEPT = 256
"""Routes whose running times are kept apart; a service has a few."""
SLOW_FACTOR = 1.6
"""Mean age of what runs, over the mean running time, from which a target counts as slow:
usually the two are about equal. One that has just turned slow ends nothing, so that the
ages tell first; below this factor they tell chance."""
SLOW_SHARE = 0.6
"""Part of the slots that must be taken for the ages to tell anything."""


KEY_SHARE = 0.5
"""Part of the slots that requests of one key may have, running and waiting, before they wait behind
those of other keys: a hot key still gets every slot that nobody else wants, and callers of its
owner's other keys do not pay for it. Gain: 0.016 of a day over capacity in place of 0.033 lost with
requests that were held and never sent (59 instances, one day played with and without)."""


@dataclass(frozen=True, slots=True)
class SlotLimits:
    """Limits of one target."""

    slots: int
    queue: int = 96
    """Requests that may wait; by default eight for each slot of a usual target."""
    policy: OverloadPolicy = field(default_factory=OverloadPolicy)


@dataclass(slots=True, eq=False)
class SlotTicket:
    """One request's place."""

    rank: int
    deadline: float
    """Time in s of the steady clock after which nobody waits for the answer."""
    objective: float
    """Time in s by which the answer is worth most."""
    arrived: float
    route: str = ""
    """Requests of one route run about equally long."""
    idle_only: bool = False
    """Whether another target is asked next, so that it does not wait here."""
    key: int | None = None
    """Key of the request; None where its service is not divided by key."""
    crowds: bool = False
    """Whether its key had its share of the slots when it came: others go first."""
    started: float = 0.0
    waiting: bool = False
    gone: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run; it may come back after a while."""

    retry_after_s: float


class _MovingMean:
    """Moving mean of running times."""

    def __init__(self, guess_s: float) -> None:
        self.seconds = guess_s
        self._measured = 0

    def take(self, ran_s: float) -> None:
        """Count one more running time."""
        self._measured += 1
        weight = max(TIME_WEIGHT, 1.0 / (self._measured + GUESS_COUNTS))
        self.seconds += weight * (ran_s - self.seconds)


@dataclass(order=True, slots=True)
class _Entry:
    order: tuple[bool, int, float, int]
    ticket: SlotTicket = field(compare=False)


class SlotQueue:
    """Slots and waiting requests of one target."""

    def __init__(self, limits: SlotLimits) -> None:
        self._limits = limits
        self._heap: list[_Entry] = []
        self._running: set[SlotTicket] = set()
        self._waiting = 0
        self._age = QueueAge()
        self._mean = _MovingMean(FIRST_GUESS_S)
        self._by_route: dict[str, _MovingMean] = {}
        self._by_key: dict[int, int] = {}
        """Requests of each key that run or wait."""
        self._number = 0

    # -- properties -------------------------------------------------------------

    @property
    def slots(self) -> int:
        """Requests that the target works on at once."""
        return self._limits.slots

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for one."""
        return self._waiting

    # -- changes ------------------------------------------------------------------

    def set_limits(self, limits: SlotLimits) -> None:
        """Apply other limits; running requests are never cut for lower ones."""
        self._limits = limits

    def offer(self, ticket: SlotTicket, now: float) -> bool | Refused:
        """Start a request (True), let it wait (False) or refuse it."""
        ticket.crowds = self._is_crowding(ticket)
        if len(self._running) < self._limits.slots and not self._waiting:
            self._count_key(ticket, 1)
            self._start(ticket, now)
            return True
        wait_s = self.expected_wait(ticket, now)
        too_long = wait_s > self.patience_s(ticket, now) or now + wait_s > ticket.deadline
        passed_over = ticket.idle_only and self._ahead(ticket) > 0
        if passed_over or too_long or self._waiting >= self._limits.queue:
            return Refused(self.retry_after(ticket, wait_s, now))
        self._number += 1
        ticket.waiting = True
        self._waiting += 1
        self._age.joined(ticket.rank, now)
        self._count_key(ticket, 1)
        order = (*_place(ticket), self._number)
        heapq.heappush(self._heap, _Entry(order, ticket))
        return False

    def _is_crowding(self, ticket: SlotTicket) -> bool:
        if ticket.key is None:
            return False
        return self._by_key.get(ticket.key, 0) >= max(1.0, self._limits.slots * KEY_SHARE)

    def _count_key(self, ticket: SlotTicket, change: int) -> None:
        """Count a request of a key as begun, or as over."""
        if ticket.key is None:
            return
        count = self._by_key.get(ticket.key, 0) + change
        if count > 0:
            self._by_key[ticket.key] = count
        else:
            self._by_key.pop(ticket.key, None)

    def finish(self, ticket: SlotTicket, now: float, *, measured: bool) -> None:
        """Free a slot, or the place of a request that waited.

        *measured* says that the running time is one of the target's own whole answers.
        """
        if ticket.gone:
            return
        ticket.gone = True
        self._count_key(ticket, -1)
        if ticket.waiting:
            self._stop_waiting(ticket)
            return
        self._running.discard(ticket)
        if measured:
            ran_s = now - ticket.started
            self._mean.take(ran_s)
            self._route_mean(ticket).take(ran_s)

    def _stop_waiting(self, ticket: SlotTicket) -> None:
        ticket.waiting = False
        self._waiting -= 1
        self._age.left(ticket.rank)

    def _route_mean(self, ticket: SlotTicket) -> "_MovingMean":
        mean = self._by_route.get(ticket.route)
        if mean is None:
            if len(self._by_route) >= ROUTES_KEPT:
                self._by_route.clear()
            mean = self._by_route[ticket.route] = _MovingMean(self._mean.seconds)
        return mean

    def next_starts(self, now: float) -> tuple[list[SlotTicket], list[SlotTicket]]:
        """Return the waiting requests that start now, and those that are too late to start."""
        started: list[SlotTicket] = []
        late: list[SlotTicket] = []
        while self._heap and (
            len(self._running) < self._limits.slots or not self._heap[0].ticket.waiting
        ):
            ticket = heapq.heappop(self._heap).ticket
            if not ticket.waiting:
                continue
            self._stop_waiting(ticket)
            if now + self._mean.seconds * 0.5 > ticket.deadline:
                ticket.gone = True
                self._count_key(ticket, -1)
                late.append(ticket)
                continue
            self._start(ticket, now)
            started.append(ticket)
        return started, late

    def patience_s(self, ticket: SlotTicket, now: float) -> float:
        """Return the seconds that a request may wait for a slot."""
        policy = self._limits.policy
        slot_s = self.service_s(now) / max(1, self._limits.slots)
        standing = not policy.uses(Mechanism.BURST_PATIENCE) or self._age.standing(
            ticket.rank, now, slot_s
        )
        waiter = Waiter(ticket.objective - ticket.arrived, self.runs_s(ticket))
        return patience_s(waiter, standing=standing)

    def runs_s(self, ticket: SlotTicket) -> float:
        """Return the seconds for which requests like this one run, by those that ended."""
        mean = self._by_route.get(ticket.route)
        return (mean or self._mean).seconds

    def service_s(self, now: float) -> float:
        """Return how long a request is expected to run, by those that ended and those that run."""
        if len(self._running) < self._limits.slots * SLOW_SHARE:
            return self._mean.seconds
        age_s = sum(now - ticket.started for ticket in self._running) / len(self._running)
        return age_s if age_s > self._mean.seconds * SLOW_FACTOR else self._mean.seconds

    def expected_wait(self, ticket: SlotTicket, now: float) -> float:
        """Return the seconds until a request that comes now would start."""
        if len(self._running) < self._limits.slots:
            return 0.0
        return (self._ahead(ticket) + 1) * self.service_s(now) / max(1, self._limits.slots)

    def _ahead(self, ticket: SlotTicket) -> int:
        """Return the waiting requests that would start before one that comes now."""
        place = _place(ticket)
        return sum(1 for each in self._heap if each.ticket.waiting and each.order[:3] <= place)

    def retry_after(self, ticket: SlotTicket, wait_s: float, now: float) -> float:
        """Return the seconds after which a request that is refused now should come back."""
        if not self._limits.policy.uses(Mechanism.RETURNS_IN_TIME):
            return usual_back_after_s(wait_s)
        return back_after_s(
            TurnedAway(
                objective_left_s=ticket.objective - now,
                patience_s=self.patience_s(ticket, now),
                runs_s=self.runs_s(ticket),
                room_in_s=wait_s,
            )
        )

    def _start(self, ticket: SlotTicket, now: float) -> None:
        ticket.started = now
        self._running.add(ticket)


def _place(ticket: SlotTicket) -> tuple[bool, int, float]:
    """Return what the order of waiting requests goes by."""
    return ticket.crowds, ticket.rank, ticket.deadline
