"""Schedule long responses on an instance's outgoing link.

An instance's link may be far slower than its target. The kernel sends data in the order it receives
it, so a short response behind a few long ones would reach its caller too late. Long responses
therefore wait here and are passed to the kernel in chunks, at the rate of the link; short responses
and control messages never wait.

Among the responses that can still be in time, the one with the fewest remaining bytes goes first,
which completes most responses in time if the link cannot carry all. Late responses get the
remaining capacity and at least one chunk slot in six, since a response that is ready is delivered
even if late. A response that was partly sent cannot be withdrawn, so its remainder goes before all
others if it would otherwise miss its deadline. One that could not be complete by its deadline is
therefore not started: its requester can still get an answer. No I/O and no clock.
"""

import math
from bisect import bisect_right
from dataclasses import dataclass
from itertools import accumulate

from .link_load import LinkLoad

__all__ = ["LinkQueue", "LinkTicket", "LongRequest"]

AHEAD_S = 0.02
"""Seconds of link capacity that may be passed to the kernel in advance: the maximum wait of a short
response."""
MIN_CHUNK = 8 * 1024
"""Minimum chunk size in bytes, as each chunk costs a wake-up."""
MAX_CHUNK = 64 * 1024
"""Maximum chunk size in bytes: one frame."""
LATE_SLOT_INTERVAL = 6
"""One chunk slot in this many goes to the late response that has waited longest. A late response
has about a quarter of the value of one in time, so a larger share would cost more than it gains."""
MAX_LATE_WAIT_S = 3.0
"""Maximum seconds that a late response may have to wait at that rate when it is accepted: callers
wait four seconds, and a daemon that is stopping has less."""
STARTED_SHARE = 0.5
"""Part of the link assumed for the remainders of started responses, as short responses and control
messages share the link."""
STARTED_MARGIN_S = 0.3
"""Seconds before its deadline by which a started response should be complete."""
MEAN_WEIGHT = 0.1
"""Weight of the newest long response in the mean size and wait: about ten responses count."""


@dataclass(slots=True, eq=False)
class LinkTicket:
    """A long response that waits for the link."""

    objective: float
    """Time in s by which the response has its full value."""
    remaining: int
    """Bytes not yet passed to the kernel, including those that the target still has to send."""
    unsent: int = 0
    """Those of them that are buffered here."""
    blocked: bool = False
    """Whether the receiver accepts no more data for now."""
    ended: bool = False
    """Whether the target has sent all, so that the end may be passed on as well."""
    deadline: float = math.inf
    """Time in s after which the response is of no use, as its caller may have left."""
    started: bool = False
    """Whether a part of it was passed to the kernel."""

    @property
    def sendable(self) -> bool:
        """Whether there is data, or the end, to pass on now."""
        return not self.blocked and (self.unsent > 0 or self.ended)


@dataclass(frozen=True, slots=True)
class LongRequest:
    """A request for a long response that is not accepted yet."""

    running_s: float
    """Expected seconds until the target has its response ready."""
    objective: float
    """Time in s by which the response has its full value."""
    deadline: float
    """Time in s after which the caller no longer waits."""
    last_target: bool
    """Whether no other target will be asked."""


class _StartedResponses:
    """The responses that have started, each with the seconds that it has left and that it needs.

    They are sent in the order of their deadlines.
    """

    def __init__(self, responses: list[tuple[float, float]]) -> None:
        responses.sort()
        self._left_s = [left_s for left_s, _ in responses]
        self._needed_s = [0.0, *accumulate(needed_s for _, needed_s in responses)]
        """Seconds that the first responses need together, by their number."""
        slack_s = [
            left - needed for left, needed in zip(self._left_s, self._needed_s[1:], strict=True)
        ]
        self._least_slack_s = [math.inf, *accumulate(reversed(slack_s), min)][::-1]
        """Least seconds to spare of the responses from a number on."""

    def leave_time_for(self, left_s: float, needed_s: float) -> bool:
        """Return whether another response can be sent in time, and so can all of these."""
        if left_s == math.inf:
            return True
        ahead = bisect_right(self._left_s, left_s)
        return self._needed_s[ahead] + needed_s <= left_s and needed_s <= self._least_slack_s[ahead]


class LinkQueue:
    """Long responses that wait for one instance's link."""

    def __init__(self, mbit_per_s: float) -> None:
        self._load = LinkLoad(mbit_per_s)
        self._tickets: dict[LinkTicket, None] = {}
        self._mean_size = 0.0
        self._mean_wait_s = 0.0
        self._chunk_slots = 0
        ahead = int(self._load.bytes_per_s * AHEAD_S)
        self._chunk = min(MAX_CHUNK, max(MIN_CHUNK, ahead))

    # -- properties -------------------------------------------------------------

    @property
    def chunk(self) -> int:
        """Chunk size in bytes."""
        return self._chunk

    @property
    def waiting(self) -> int:
        """Number of long responses that are not completely passed on."""
        return len(self._tickets)

    # -- changes ------------------------------------------------------------------

    def note_sent(self, size: int, now: float) -> None:
        """Record that *size* bytes of any kind were passed to a connection."""
        self._load.sent(size, now)

    def join(
        self, objective: float, size: int, now: float, *, deadline: float = math.inf
    ) -> LinkTicket:
        """Add a long response of *size* bytes to the waiting ones."""
        wait_s = self.backlog_s(now)
        self._mean_wait_s += MEAN_WEIGHT * (wait_s - self._mean_wait_s)
        if size > 0:
            weight = MEAN_WEIGHT if self._mean_size else 1.0
            self._mean_size += weight * (size - self._mean_size)
        ticket = LinkTicket(objective, size, deadline=deadline)
        self._tickets[ticket] = None
        return ticket

    def leave(self, ticket: LinkTicket) -> None:
        """Remove a response that was completely passed on or is no longer wanted."""
        self._tickets.pop(ticket, None)

    # -- queries --------------------------------------------------------------------

    def can_carry(self, size: int, seconds: float) -> bool:
        """Return whether *size* bytes take at most some seconds if they get the whole link."""
        return size / self._load.bytes_per_s <= seconds

    def next(self, now: float) -> LinkTicket | None:
        """Return the response whose next chunk is sent now, or None while the link is busy."""
        if self.free_in_s(now) > 0.0:
            return None
        sendable = [ticket for ticket in self._tickets if ticket.sendable]
        if (due := self._started_due(sendable, now)) is not None:
            return due
        startable = self._startable(sendable, now)
        late = next((ticket for ticket in startable if self._is_late(ticket, now)), None)
        in_time = min(
            (ticket for ticket in startable if not self._is_late(ticket, now)),
            key=lambda ticket: ticket.remaining,
            default=None,
        )
        self._chunk_slots += 1
        if late is not None and (in_time is None or self._chunk_slots % LATE_SLOT_INTERVAL == 0):
            return late
        return in_time

    def free_in_s(self, now: float) -> float:
        """Return the seconds until the link accepts another chunk."""
        return max(0.0, self._load.backlog_s(now) - AHEAD_S)

    def backlog_s(self, now: float) -> float:
        """Return the seconds that the link needs for everything that waits."""
        waiting = sum(ticket.remaining for ticket in self._tickets)
        return self._load.backlog_s(now) + waiting / self._load.bytes_per_s

    def lateness_s(self, request: LongRequest, under_way: int, now: float) -> float:
        """Return by how many seconds a long response would be late; 0 or less means in time.

        *under_way* long requests still run at the target and come before it. The last target that
        is asked accepts the request as long as its caller would still receive the response.
        """
        ready = now + request.running_s
        late = sum(t.remaining for t in self._tickets if self._is_late(t, now))
        in_time = sum(t.remaining for t in self._tickets) - late
        to_come = (under_way + 1) * self._mean_size
        sent_s = self._load.backlog_s(now) + (in_time + to_come) / self._load.bytes_per_s
        lateness_s = ready + sent_s - request.objective
        if lateness_s > 0.0 and request.last_target:
            sent_s = (late + self._mean_size) * LATE_SLOT_INTERVAL / self._load.bytes_per_s
            lateness_s = ready + sent_s - min(request.deadline, ready + MAX_LATE_WAIT_S)
        return lateness_s

    def long_response_wait_s(self, now: float) -> float:
        """Return the expected seconds that a long response needs on the link.

        The mean wait counts as well, since requesters that receive this value send somewhat later.
        """
        own_s = self._mean_size / self._load.bytes_per_s
        return max(self.backlog_s(now), self._mean_wait_s) + own_s

    def _started_due(self, sendable: list[LinkTicket], now: float) -> LinkTicket | None:
        """Return the started response that must continue now to be complete by its deadline.

        One that has passed its deadline, or can no longer meet it, is left out.
        """
        started = sorted((t for t in sendable if t.started), key=lambda t: t.deadline)
        first: LinkTicket | None = None
        needs_s = 0.0
        for ticket in started:
            left_s = ticket.deadline - now
            if not self._may_complete(ticket, now):
                continue
            first = first or ticket
            needs_s += self._full_rate_s(ticket) / STARTED_SHARE
            if needs_s + STARTED_MARGIN_S >= left_s:
                return first
        return None

    def _startable(self, sendable: list[LinkTicket], now: float) -> list[LinkTicket]:
        """Return the responses that were started, or can be complete by their deadline.

        If there is none, the link is free, and one may be started that needs all of it.
        """
        started = _StartedResponses(
            [
                self._time_of(ticket, now)
                for ticket in self._tickets
                if ticket.started and self._may_complete(ticket, now)
            ]
        )
        startable = [
            ticket
            for ticket in sendable
            if ticket.started or started.leave_time_for(*self._time_of(ticket, now))
        ]
        return startable or [ticket for ticket in sendable if self._may_complete(ticket, now)]

    def _time_of(self, ticket: LinkTicket, now: float) -> tuple[float, float]:
        """Return the seconds that a response has left, and those that it needs once started."""
        left_s = ticket.deadline - now - STARTED_MARGIN_S
        return left_s, self._full_rate_s(ticket) / STARTED_SHARE

    def _may_complete(self, ticket: LinkTicket, now: float) -> bool:
        """Return whether a response can be complete in time if it gets the whole link."""
        return now + self._full_rate_s(ticket) <= ticket.deadline

    def _full_rate_s(self, ticket: LinkTicket) -> float:
        """Return the seconds that the rest of a response needs if it gets the whole link."""
        return ticket.remaining / self._load.bytes_per_s

    def _is_late(self, ticket: LinkTicket, now: float) -> bool:
        return now + self._full_rate_s(ticket) > ticket.objective
