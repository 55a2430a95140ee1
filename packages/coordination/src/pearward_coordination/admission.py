"""Admission control for the local server: running slots and queues by request class.

The daemon handles every request to its server, so that slots are counted exactly. A request that
cannot be served before its deadline is refused at once instead of being queued.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum

from pearward_state.outcome import Reason, RequestClass

__all__ = ["AdmissionLimits", "AdmissionQueue", "Decision", "Shed", "Ticket"]

SERVICE_TIME_WEIGHT = 0.05
"""Weight of the newest request in the exponential moving average of running times."""
MIN_RETRY_AFTER_S = 0.1


class Decision(Enum):
    """Decision on a request that was offered."""

    START = "start"
    QUEUED = "queued"
    SHED = "shed"


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits of one server."""

    slots: int = 12
    queue: int = 64
    """Maximum number of queued requests of one class."""
    export_slots: int = 6
    """Maximum number of slots for exports; the others are reserved for the other classes."""


@dataclass(slots=True, eq=False)
class Ticket:
    """Slot or queue entry of one request."""

    request_class: RequestClass
    tenant: str
    deadline: float
    started_at: float = 0.0
    waiting: bool = False


@dataclass(frozen=True, slots=True)
class Shed:
    """Refusal of a request that was not run."""

    reason: Reason
    retry_after_s: float


@dataclass(slots=True)
class _ClassQueue:
    """Queued tickets of one class, in round robin order of tenants."""

    tenants: "OrderedDict[str, deque[Ticket]]" = field(default_factory=OrderedDict)
    length: int = 0

    def push(self, ticket: Ticket) -> None:
        self.tenants.setdefault(ticket.tenant, deque()).append(ticket)
        self.length += 1

    def pop(self) -> Ticket:
        """Remove the first ticket of the next tenant and move that tenant to the end."""
        tenant, tickets = self.tenants.popitem(last=False)
        ticket = tickets.popleft()
        if tickets:
            self.tenants[tenant] = tickets
        self.length -= 1
        return ticket

    def remove(self, ticket: Ticket) -> None:
        tickets = self.tenants[ticket.tenant]
        tickets.remove(ticket)
        if not tickets:
            del self.tenants[ticket.tenant]
        self.length -= 1


class AdmissionQueue:
    """Slots and queues of one server."""

    def __init__(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._queues = {c: _ClassQueue() for c in RequestClass}
        self._running = dict.fromkeys(RequestClass, 0)
        self._mean_s = dict.fromkeys(RequestClass, 0.0)

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return sum(self._running.values())

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(queue.length for queue in self._queues.values())

    def set_limits(self, limits: AdmissionLimits) -> None:
        """Apply *limits* to later requests; running ones are not aborted for a lower limit."""
        self._limits = limits

    def offer(self, ticket: Ticket, now: float) -> Decision | Shed:
        """Start, queue or refuse a request."""
        if ticket.deadline <= now:
            return Shed(Reason.DEADLINE, 0.0)
        queue = self._queues[ticket.request_class]
        if not queue.length and self._has_slot(ticket.request_class):
            self._start(ticket, now)
            return Decision.START
        expected = self._expected_wait(ticket.request_class)
        if queue.length >= self._limits.queue or now + expected > ticket.deadline:
            return Shed(Reason.OVERLOADED, max(MIN_RETRY_AFTER_S, expected))
        ticket.waiting = True
        queue.push(ticket)
        return Decision.QUEUED

    def finish(self, ticket: Ticket, now: float) -> None:
        """Free the slot of a request that ended, or the queue entry of one that waited."""
        if ticket.waiting:
            ticket.waiting = False
            self._queues[ticket.request_class].remove(ticket)
            return
        self._running[ticket.request_class] -= 1
        mean = self._mean_s[ticket.request_class]
        taken = now - ticket.started_at
        self._mean_s[ticket.request_class] = (
            taken if mean == 0.0 else mean + SERVICE_TIME_WEIGHT * (taken - mean)
        )

    def next_starts(self, now: float) -> tuple[list[Ticket], list[Ticket]]:
        """Return the waiting requests that start now, and those whose deadline has passed."""
        started: list[Ticket] = []
        expired: list[Ticket] = []
        for request_class, queue in self._queues.items():
            while queue.length and self._has_slot(request_class):
                ticket = queue.pop()
                ticket.waiting = False
                if ticket.deadline <= now:
                    expired.append(ticket)
                    continue
                self._start(ticket, now)
                started.append(ticket)
        return started, expired

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.started_at = now
        self._running[ticket.request_class] += 1

    def _has_slot(self, request_class: RequestClass) -> bool:
        if self.running >= self._limits.slots:
            return False
        if request_class is not RequestClass.EXPORT:
            return True
        return self._running[request_class] < max(1, self._limits.export_slots)

    def _expected_wait(self, request_class: RequestClass) -> float:
        """Return the expected seconds until a request that is queued now starts."""
        ahead = sum(self._queues[c].length for c in RequestClass if c <= request_class)
        return (ahead + 1) * self._mean_s[request_class] / max(1, self._limits.slots)
