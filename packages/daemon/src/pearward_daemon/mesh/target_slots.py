"""The slots of the target beside this daemon: which request runs, which waits, which is refused."""

from typing import Protocol

from pearward_coordination.cold_limit import ColdLimit
from pearward_coordination.link_queue import LinkQueue, LongRequest
from pearward_coordination.overload.policy import OverloadPolicy
from pearward_coordination.selection import TargetLoad
from pearward_coordination.slots import Refused, SlotLimits, SlotQueue, SlotTicket
from pearward_transport.clock import boot_time

__all__ = ["SlotUser", "TargetSlots"]

DEFAULT_SLOTS = 8
QUEUE_PER_SLOT = 8
"""Requests that may wait, for each slot: far more than patience lets wait at usual speeds."""
MIN_SERVICE_S = 0.005
"""Running time in seconds below which a target's capacity is not taken for higher."""


class SlotUser(Protocol):
    """A request that asks for a slot, and is told when it has one."""

    @property
    def needs_link(self) -> bool:
        """Whether a long answer will have to pass the instance's link."""

    @property
    def is_last_target(self) -> bool:
        """Whether no other target will be asked for a slot."""

    def start(self) -> None:
        """A slot is free for it."""

    def waited_too_long(self) -> None:
        """It waited so long that it could not be answered any more."""


class TargetSlots:
    """The queue of one target, and the link that its long answers have to pass."""

    def __init__(self, policy: OverloadPolicy, link: LinkQueue) -> None:
        self._policy = policy
        self._link = link
        self._cold = ColdLimit()
        self._queue = SlotQueue(SlotLimits(DEFAULT_SLOTS, policy=policy))
        self._users: dict[SlotTicket, SlotUser] = {}

    # -- properties -------------------------------------------------------------

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return self._queue.running

    @property
    def waiting(self) -> int:
        """Requests that wait for one."""
        return self._queue.waiting

    @property
    def cold(self) -> ColdLimit:
        """What the target may get while it is cold."""
        return self._cold

    def load(self) -> TargetLoad:
        """Return the load of the target and its instance's link as this daemon counts it.

        A cold target tells so many slots as what it bears fills: requesters ask others first.
        """
        queue = self._queue
        now = boot_time()
        slots, service_s = queue.slots, queue.service_s(now)
        rate = self._cold.rate(now)
        if rate is not None:
            slots = max(1, min(slots, round(rate * service_s)))
        return TargetLoad(
            queue.running, queue.waiting, slots, service_s, self._link.long_wait_s(now)
        )

    def capacity(self) -> float:
        """Return the requests a second that the target can run."""
        now = boot_time()
        warm = self._queue.slots / max(self._queue.service_s(now), MIN_SERVICE_S)
        rate = self._cold.rate(now)
        return warm if rate is None else min(warm, rate)

    def set_slots(self, slots: int) -> None:
        """Take from the target how many requests it works on at once."""
        slots = max(1, slots)
        self._queue.set_limits(SlotLimits(slots, slots * QUEUE_PER_SLOT, self._policy))

    # -- requests ------------------------------------------------------------------

    def offer(self, user: SlotUser, ticket: SlotTicket) -> bool | Refused:
        """Ask for a slot: True is given now, False is given later."""
        now = boot_time()
        if (room_in_s := self._cold.room_in_s(now)) > 0.0:
            return Refused(max(room_in_s, self._queue.retry_after(ticket, room_in_s, now)))
        if user.needs_link and (too_late_s := self._link_too_late_s(user, ticket, now)) > 0.0:
            return Refused(self._queue.retry_after(ticket, too_late_s, now))
        offered = self._queue.offer(ticket, now)
        if not isinstance(offered, Refused):
            self._users[ticket] = user
        return offered

    def _link_too_late_s(self, user: SlotUser, ticket: SlotTicket, now: float) -> float:
        """Return by how many seconds the link would bring a long answer too late."""
        long_request = LongRequest(
            runs_s=self._queue.expected_wait(ticket, now) + self._queue.service_s(now),
            objective=ticket.objective,
            deadline=ticket.deadline,
            last_target=user.is_last_target,
        )
        under_way = sum(1 for other in self._users.values() if other.needs_link)
        return self._link.too_late_s(long_request, under_way, now)

    def patience_s(self, ticket: SlotTicket) -> float:
        """Return the seconds that a request may wait for a slot."""
        return self._queue.patience_s(ticket, boot_time())

    def retry_after_s(self, ticket: SlotTicket) -> float:
        """Return the seconds after which a request that waited in vain should come back."""
        return self._queue.retry_after(ticket, 0.0, boot_time())

    def finished(self, ticket: SlotTicket, *, measured: bool) -> None:
        """A request gives its slot back, or its place in the queue."""
        now = boot_time()
        self._users.pop(ticket, None)
        self._queue.finish(ticket, now, measured=measured)
        started, late = self._queue.next_starts(now)
        for other in late:
            self._users.pop(other).waited_too_long()
        for other in started:
            self._users[other].start()
