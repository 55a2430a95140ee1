"""Decide which requests the local target runs, which wait for a slot, and which are refused.

All work of a target passes through its daemon, so slots are counted exactly. Waiting requests are
ordered by rank, then by deadline; requests for a key that uses half of the slots wait behind all
others, as one hot key may exceed its owner's capacity. A request that could not be answered in time
is refused at once, while its caller still has time to retry.

A target may limit the rate of its requests besides. Then requests wait for the next send in the
same order, also while slots are free.

No I/O and no clock.
"""

import heapq
from dataclasses import dataclass, field

from .overload.policy import Mechanism, OverloadPolicy
from .overload.retry_delay import RefusedRequest, default_retry_delay_s, retry_delay_s
from .overload.waiting import QueueAge, WaitingRequest, max_wait_s
from .target_rate import SendGate, Unlimited

__all__ = ["Refused", "SlotLimits", "SlotQueue", "SlotTicket"]

INITIAL_RUN_S = 0.15
"""Running time in seconds assumed before any request has ended."""
MIN_MEAN_WEIGHT = 0.015
"""Minimum weight of the newest request in the mean running time. About seventy requests count, as
running times vary by as much as their mean while a target's speed does not."""
INITIAL_WEIGHT = 6
"""Number of requests that the initial assumption counts for."""
MAX_ROUTES = 256
"""Maximum number of routes with separate running times; a service has a few."""
SLOW_FACTOR = 1.6
"""Ratio of the mean age of running requests to the mean running time above which a target counts as
slow; usually the two are about equal. A target that has just become slow completes no requests, so
that ages show it first; smaller ratios are random variation."""
SLOW_SHARE = 0.6
"""Part of the slots that must be in use for the ages to be significant."""


KEY_SHARE = 0.5
"""Part of the slots that requests for one key may use, running and waiting, before further ones
wait behind those of other keys. A hot key still gets every slot that is otherwise free, without
delaying the owner's other keys. Over capacity, 0.016 instead of 0.033 of a day's value is lost with
requests that are held and never sent (59 instances)."""


GOLDEN_RATIO = 0.618034
"""Step of the sequence that spreads retries evenly, for any number of them."""
MAX_SPREAD = 0.5
"""Largest part by which a retry delay is extended to spread retries under a rate limit."""


@dataclass(frozen=True, slots=True)
class SlotLimits:
    """Limits of one target."""

    slots: int
    queue: int = 96
    """Number of requests that may wait; the default is eight per slot of a usual target."""
    policy: OverloadPolicy = field(default_factory=OverloadPolicy)


@dataclass(slots=True, eq=False)
class SlotTicket:
    """A request's place among the running and waiting ones."""

    rank: int
    deadline: float
    """Time in s of the steady clock after which the caller no longer waits."""
    objective: float
    """Time in s by which the response has its full value."""
    arrived: float
    route: str = ""
    """Route of the request; running times are averaged per route."""
    idle_only: bool = False
    """Whether another target is asked next, so that the request does not wait here."""
    key: int | None = None
    """Key of the request; None if its service is not divided by key."""
    over_key_share: bool = False
    """Whether its key had used up its share of the slots on arrival; other requests go first."""
    started: float = 0.0
    sent: bool = False
    """Whether the target has received the request."""
    waiting: bool = False
    finished: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run and may be retried after a delay."""

    retry_after_s: float
    detail: str = ""
    """What else than the number of slots limits the target; empty if nothing does."""


class _MovingMean:
    """Moving mean of running times."""

    def __init__(self, guess_s: float) -> None:
        self.seconds = guess_s
        self._measured = 0

    def take(self, ran_s: float) -> None:
        """Add one running time."""
        self._measured += 1
        weight = max(MIN_MEAN_WEIGHT, 1.0 / (self._measured + INITIAL_WEIGHT))
        self.seconds += weight * (ran_s - self.seconds)


@dataclass(order=True, slots=True)
class _Entry:
    order: tuple[bool, int, float, int]
    ticket: SlotTicket = field(compare=False)


class SlotQueue:
    """Slots and waiting requests of one target."""

    def __init__(self, limits: SlotLimits, gate: SendGate | None = None) -> None:
        self._limits = limits
        self._gate = gate or Unlimited()
        self._heap: list[_Entry] = []
        self._running: set[SlotTicket] = set()
        self._waiting = 0
        self._age = QueueAge()
        self._mean = _MovingMean(INITIAL_RUN_S)
        self._by_route: dict[str, _MovingMean] = {}
        self._by_key: dict[int, int] = {}
        """Number of running and waiting requests by key."""
        self._number = 0
        self._spread = 0.0

    # -- properties -------------------------------------------------------------

    @property
    def slots(self) -> int:
        """Number of requests that the target runs concurrently."""
        return self._limits.slots

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return self._waiting

    # -- changes ------------------------------------------------------------------

    def set_limits(self, limits: SlotLimits) -> None:
        """Apply other limits; running requests are not stopped if the limits are lower."""
        self._limits = limits

    def offer(self, ticket: SlotTicket, now: float) -> bool | Refused:
        """Start a request (True), let it wait (False) or refuse it."""
        ticket.over_key_share = self._exceeds_key_share(ticket)
        if self._may_start(now) and not self._waiting:
            self._count_key(ticket, 1)
            self._start(ticket, now)
            return True
        wait_s = self.expected_wait(ticket, now)
        too_long = wait_s > self.max_wait_s(ticket, now) or now + wait_s > ticket.deadline
        passed_over = ticket.idle_only and (
            self._gate.delay_s(now) > 0.0 or self._ahead(ticket) > 0
        )
        if passed_over or too_long or self._waiting >= self._limits.queue:
            return Refused(self.retry_after(ticket, wait_s, now), self._gate.reason(now))
        self._number += 1
        ticket.waiting = True
        self._waiting += 1
        self._age.joined(ticket.rank, now)
        self._count_key(ticket, 1)
        order = (*_sort_key(ticket), self._number)
        heapq.heappush(self._heap, _Entry(order, ticket))
        return False

    def _may_start(self, now: float) -> bool:
        """Return whether a slot is free and the target may get a request now."""
        return len(self._running) < self._limits.slots and self._gate.delay_s(now) <= 0.0

    def _exceeds_key_share(self, ticket: SlotTicket) -> bool:
        if ticket.key is None:
            return False
        return self._by_key.get(ticket.key, 0) >= max(1.0, self._limits.slots * KEY_SHARE)

    def _count_key(self, ticket: SlotTicket, change: int) -> None:
        """Add *change* to the number of requests for the ticket's key."""
        if ticket.key is None:
            return
        count = self._by_key.get(ticket.key, 0) + change
        if count > 0:
            self._by_key[ticket.key] = count
        else:
            self._by_key.pop(ticket.key, None)

    def finish(self, ticket: SlotTicket, now: float, *, measured: bool) -> None:
        """Free the slot or the queue place of a request.

        *measured* states that the running time is that of a complete response of the target itself.
        """
        if ticket.finished:
            return
        ticket.finished = True
        self._count_key(ticket, -1)
        if ticket.waiting:
            self._stop_waiting(ticket)
            return
        self._running.discard(ticket)
        if not ticket.sent:
            self._gate.cancel(ticket.started)
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
            if len(self._by_route) >= MAX_ROUTES:
                self._by_route.clear()
            mean = self._by_route[ticket.route] = _MovingMean(self._mean.seconds)
        return mean

    def next_starts(self, now: float) -> tuple[list[SlotTicket], list[SlotTicket]]:
        """Return the waiting requests that start now, and those that are too late to start."""
        started: list[SlotTicket] = []
        late: list[SlotTicket] = []
        while self._heap and (not self._heap[0].ticket.waiting or self._may_start(now)):
            ticket = heapq.heappop(self._heap).ticket
            if not ticket.waiting:
                continue
            self._stop_waiting(ticket)
            if now + self._mean.seconds * 0.5 > ticket.deadline:
                ticket.finished = True
                self._count_key(ticket, -1)
                late.append(ticket)
                continue
            self._start(ticket, now)
            started.append(ticket)
        return started, late

    def next_start_in_s(self, now: float) -> float | None:
        """Return the seconds until a waiting request may be sent; None if it waits for a slot."""
        if not self._waiting or len(self._running) >= self._limits.slots:
            return None
        return self._gate.delay_s(now)

    def max_wait_s(self, ticket: SlotTicket, now: float) -> float:
        """Return the maximum wait for a slot in seconds."""
        policy = self._limits.policy
        slot_s = self._start_interval_s(now)
        standing = not policy.uses(Mechanism.BURST_WAIT) or self._age.standing(
            ticket.rank, now, slot_s
        )
        waiting_request = WaitingRequest(ticket.objective - ticket.arrived, self.running_s(ticket))
        return max_wait_s(waiting_request, standing=standing)

    def _start_interval_s(self, now: float) -> float:
        """Return the mean seconds between two starts while requests are waiting."""
        slot_s = self.service_s(now) / max(1, self._limits.slots)
        per_s = self._gate.per_s(now)
        return slot_s if per_s is None else max(slot_s, 1.0 / per_s)

    def running_s(self, ticket: SlotTicket) -> float:
        """Return the mean running time in seconds of requests on the same route."""
        mean = self._by_route.get(ticket.route)
        return (mean or self._mean).seconds

    def service_s(self, now: float) -> float:
        """Return the expected running time in seconds, from completed and running requests."""
        if len(self._running) < self._limits.slots * SLOW_SHARE:
            return self._mean.seconds
        age_s = sum(now - ticket.started for ticket in self._running) / len(self._running)
        return age_s if age_s > self._mean.seconds * SLOW_FACTOR else self._mean.seconds

    def expected_wait(self, ticket: SlotTicket, now: float) -> float:
        """Return the seconds until a request that arrives now would start."""
        ahead = self._ahead(ticket)
        send_s = self._gate.delay_s(now, ahead)
        if len(self._running) < self._limits.slots:
            return send_s
        return max(send_s, (ahead + 1) * self.service_s(now) / max(1, self._limits.slots))

    def _ahead(self, ticket: SlotTicket) -> int:
        """Return the number of waiting requests that would start before one that arrives now."""
        sort_key = _sort_key(ticket)
        return sum(1 for each in self._heap if each.ticket.waiting and each.order[:3] <= sort_key)

    def retry_after(self, ticket: SlotTicket, wait_s: float, now: float) -> float:
        """Return the seconds after which a request that is refused now should be retried."""
        delay_s = self._retry_delay_s(ticket, wait_s, now)
        if self._gate.per_s(now) is None:
            return delay_s
        # Nothing ends early under a rate limit: retries before the next free send are in vain, and
        # those that return at the same moment are refused again.
        self._spread = (self._spread + GOLDEN_RATIO) % 1.0
        return max(delay_s, wait_s) * (1.0 + MAX_SPREAD * self._spread)

    def _retry_delay_s(self, ticket: SlotTicket, wait_s: float, now: float) -> float:
        if not self._limits.policy.uses(Mechanism.RETRY_WITHIN_OBJECTIVE):
            return default_retry_delay_s(wait_s)
        return retry_delay_s(
            RefusedRequest(
                objective_left_s=ticket.objective - now,
                max_wait_s=self.max_wait_s(ticket, now),
                running_s=self.running_s(ticket),
                capacity_in_s=wait_s,
            )
        )

    def _start(self, ticket: SlotTicket, now: float) -> None:
        ticket.started = now
        self._running.add(ticket)
        self._gate.reserve(now)


def _sort_key(ticket: SlotTicket) -> tuple[bool, int, float]:
    """Return the sort key of waiting requests."""
    return ticket.over_key_share, ticket.rank, ticket.deadline
