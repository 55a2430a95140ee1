"""Slots of the local target: decides which requests run, wait or are refused."""

from collections.abc import Callable
from typing import Any, Protocol

from pearward_coordination.link_queue import LinkQueue, LongRequest
from pearward_coordination.overload.policy import OverloadPolicy
from pearward_coordination.selection import TargetLoad
from pearward_coordination.slots import Refused, SlotLimits, SlotQueue, SlotTicket
from pearward_coordination.target_rate import TargetRate
from pearward_transport.clock import boot_time

__all__ = ["SlotUser", "TargetSlots"]

DEFAULT_SLOTS = 8
QUEUE_PER_SLOT = 8
"""Maximum number of queued requests per slot; at usual speeds the maximum wait allows far fewer."""
UNKNOWN_LIMIT_SLOTS = 2
"""Slots in use until a response has shown if the target limits its rate. A daemon that is restarted
beside an overloaded target does not know the limit, and all slots may be more than it allows."""
MIN_SERVICE_S = 0.005
"""Minimum running time in s that is used to compute a target's capacity."""


class SlotUser(Protocol):
    """A request that needs a slot and is notified when it has one."""

    @property
    def needs_link(self) -> bool:
        """Whether a long response will have to cross the instance's link."""

    @property
    def is_last_target(self) -> bool:
        """Whether this is the last target from which a slot will be requested."""

    def start(self) -> None:
        """Run the request: it has got a slot."""

    def waited_too_long(self) -> None:
        """Refuse the request: it could no longer be answered before its deadline."""


class TargetSlots:
    """The request queue of one target, limited by its slots, its request rate and the link."""

    def __init__(
        self,
        policy: OverloadPolicy,
        link: LinkQueue,
        call_later: Callable[[float, Callable[[], None]], Any],
    ) -> None:
        self._policy = policy
        self._link = link
        self._call_later = call_later
        self._rate = TargetRate()
        self._queue = SlotQueue(SlotLimits(DEFAULT_SLOTS, policy=policy), self._rate)
        self._users: dict[SlotTicket, SlotUser] = {}
        self._slots = DEFAULT_SLOTS
        self._start_timer: Any = None
        self._delayed = 0
        self._refused = 0

    # -- properties -------------------------------------------------------------

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._queue.running

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return self._queue.waiting

    @property
    def rate(self) -> TargetRate:
        """Limits on the rate of requests to the target."""
        return self._rate

    @property
    def delayed_by_rate(self) -> int:
        """Number of requests that waited for the rate limit although a slot was free."""
        return self._delayed

    @property
    def refused_by_rate(self) -> int:
        """Number of requests that were refused at once while a rate limit was in force."""
        return self._refused

    def load(self) -> TargetLoad:
        """Return the load of the target and its instance's link as this daemon counts it.

        Under a rate limit the slots are reduced to the number that the rate fills, so that
        requesters prefer other targets.
        """
        queue = self._queue
        now = boot_time()
        slots, service_s = queue.slots, queue.service_s(now)
        per_s = self._rate.per_s(now)
        if per_s is not None:
            slots = max(1, min(slots, round(per_s * service_s)))
        return TargetLoad(
            queue.running, queue.waiting, slots, service_s, self._link.long_response_wait_s(now)
        )

    def capacity(self) -> float:
        """Return the number of requests per second that the target can run."""
        now = boot_time()
        warm = self._slots / max(self._queue.service_s(now), MIN_SERVICE_S)
        per_s = self._rate.per_s(now)
        return warm if per_s is None else min(warm, per_s)

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the target processes concurrently."""
        self._slots = max(1, slots)
        self._apply_slots()

    def apply_limits(self) -> None:
        """Apply the present rate limits to the slots in use and to the waiting requests."""
        self._apply_slots()
        self.start_next()

    def _apply_slots(self) -> None:
        slots = self._slots
        if not self._rate.advertised.is_known:
            slots = min(slots, UNKNOWN_LIMIT_SLOTS)
        self._queue.set_limits(SlotLimits(slots, self._slots * QUEUE_PER_SLOT, self._policy))

    # -- requests ------------------------------------------------------------------

    def offer(self, user: SlotUser, ticket: SlotTicket) -> bool | Refused:
        """Request a slot: return True if granted now, False if queued, Refused otherwise."""
        now = boot_time()
        if user.needs_link and (lateness_s := self._link_too_late_s(user, ticket, now)) > 0.0:
            return Refused(self._queue.retry_after(ticket, lateness_s, now))
        offered = self._queue.offer(ticket, now)
        if isinstance(offered, Refused):
            self._refused += bool(offered.detail)
            return offered
        self._users[ticket] = user
        if not offered:
            self._delayed += self._queue.running < self._queue.slots
            self._schedule_start(now)
        return offered

    def _link_too_late_s(self, user: SlotUser, ticket: SlotTicket, now: float) -> float:
        """Return by how many seconds the link would deliver a long response too late."""
        long_request = LongRequest(
            running_s=self._queue.expected_wait(ticket, now) + self._queue.service_s(now),
            objective=ticket.objective,
            deadline=ticket.deadline,
            last_target=user.is_last_target,
        )
        in_progress = sum(1 for other in self._users.values() if other.needs_link)
        return self._link.lateness_s(long_request, in_progress, now)

    def max_wait_s(self, ticket: SlotTicket) -> float:
        """Return the maximum time in s that a request may wait for a slot."""
        return self._queue.max_wait_s(ticket, boot_time())

    def retry_after_s(self, ticket: SlotTicket) -> float:
        """Return the seconds after which the caller of a request without a slot should retry."""
        return self._queue.retry_after(ticket, 0.0, boot_time())

    def finished(self, ticket: SlotTicket, *, measured: bool) -> None:
        """Release the slot or queue position of a request, and start the next requests."""
        now = boot_time()
        self._users.pop(ticket, None)
        self._queue.finish(ticket, now, measured=measured)
        self.start_next()

    def start_next(self) -> None:
        """Start the waiting requests that may be sent now."""
        now = boot_time()
        started, late = self._queue.next_starts(now)
        for other in late:
            self._users.pop(other).waited_too_long()
        for other in started:
            self._users[other].start()
        self._schedule_start(now)

    def _schedule_start(self, now: float) -> None:
        """Set the timer for the next request that waits for the rate, not for a slot."""
        if self._start_timer is not None:
            self._start_timer.cancel()
            self._start_timer = None
        delay_s = self._queue.next_start_in_s(now)
        if delay_s is not None:
            self._start_timer = self._call_later(delay_s, self._start_timer_fired)

    def _start_timer_fired(self) -> None:
        self._start_timer = None
        self.start_next()
