"""In which order long answers go out over an instance's link, and when the next part may.

An instance's link may be far slower than its target. Whatever is handed to the kernel goes
out in that order, so a short answer behind a few long ones comes too late for its caller.
Long answers therefore wait here and are handed over in chunks, as fast as the link takes
them; short ones and control messages never wait. The shortest rest goes first among the
answers that can still come in time: that brings most answers in time where the link cannot
carry all. Late ones get what is left, and one turn in six at least: an answer that is ready
is delivered, also when late. One of which a part has gone out cannot be taken back, so that
its rest goes before all others once its time would end otherwise. No I/O and no clock.
"""

import math
from dataclasses import dataclass

from .link_load import LinkLoad

__all__ = ["LinkQueue", "LinkTicket", "LongRequest"]

AHEAD_S = 0.02
"""Seconds of the link that may be handed over ahead: what a short answer waits at most."""
LEAST_CHUNK = 8 * 1024
"""Bytes that are handed over at once at least; each chunk costs a wake-up."""
MOST_CHUNK = 64 * 1024
"""Bytes that are handed over at once at most: one frame."""
LATE_TURNS = 6
"""Of so many turns one goes to the late answer that has waited longest. A late answer is worth
about a quarter of one in time on the users' sites, so that more turns would cost more."""
MOST_LATE_S = 3.0
"""Seconds that a late answer may have to wait at that rate when it is begun: callers wait
four seconds, and a daemon that is stopped has less."""
REST_SHARE = 0.5
"""Part of the link that the rests of answers that have begun are reckoned to get: short answers
and control messages go out beside them."""
REST_MARGIN_S = 0.3
"""Seconds before the end of its time by which an answer that has begun is to be whole."""
MEAN_WEIGHT = 0.1
"""Weight of the newest long answer in the means of sizes and waits: ten answers."""


@dataclass(slots=True, eq=False)
class LinkTicket:
    """One long answer's place."""

    objective: float
    """Time in s by which the answer is worth most."""
    remaining: int
    """Bytes that are not handed over yet, those included that the target still has to send."""
    unsent: int = 0
    """Of those, the bytes that are here."""
    blocked: bool = False
    """The receiver takes no more for now."""
    ended: bool = False
    """The target has sent all: the end may be handed over as well."""
    deadline: float = math.inf
    """Time in s from which nothing more of it is wanted, and its caller may have ended."""
    begun: bool = False
    """A part of it has been handed over."""

    @property
    def sendable(self) -> bool:
        """Whether there is anything to hand over now."""
        return not self.blocked and (self.unsent > 0 or self.ended)


@dataclass(frozen=True, slots=True)
class LongRequest:
    """A request for a long answer, before it is begun."""

    runs_s: float
    """Seconds until the target is expected to have its answer ready."""
    objective: float
    """Time in s by which the answer is worth most."""
    deadline: float
    """Time in s after which nobody waits for the answer."""
    last_target: bool
    """Whether no other target will be asked."""


class LinkQueue:
    """The long answers that wait for one instance's link."""

    def __init__(self, mbit_per_s: float) -> None:
        self._load = LinkLoad(mbit_per_s)
        self._tickets: dict[LinkTicket, None] = {}
        self._mean_size = 0.0
        self._mean_wait_s = 0.0
        self._turns = 0
        ahead = int(self._load.bytes_per_s * AHEAD_S)
        self._chunk = min(MOST_CHUNK, max(LEAST_CHUNK, ahead))

    # -- properties -------------------------------------------------------------

    @property
    def chunk(self) -> int:
        """Bytes that are handed over at once."""
        return self._chunk

    @property
    def waiting(self) -> int:
        """Long answers that are not handed over whole."""
        return len(self._tickets)

    # -- changes ------------------------------------------------------------------

    def handed_over(self, size: int, now: float) -> None:
        """Note that *size* bytes, of whatever kind, were handed to a connection."""
        self._load.sent(size, now)

    def join(
        self, objective: float, size: int, now: float, *, deadline: float = math.inf
    ) -> LinkTicket:
        """Let a long answer of *size* bytes wait for its turns."""
        wait_s = self.backlog_s(now)
        self._mean_wait_s += MEAN_WEIGHT * (wait_s - self._mean_wait_s)
        if size > 0:
            weight = MEAN_WEIGHT if self._mean_size else 1.0
            self._mean_size += weight * (size - self._mean_size)
        ticket = LinkTicket(objective, size, deadline=deadline)
        self._tickets[ticket] = None
        return ticket

    def leave(self, ticket: LinkTicket) -> None:
        """Forget an answer that was handed over whole, or that nobody wants any more."""
        self._tickets.pop(ticket, None)

    # -- questions ------------------------------------------------------------------

    def next(self, now: float) -> LinkTicket | None:
        """Return the answer whose next chunk goes out now; None while the link has enough."""
        if self.free_in_s(now) > 0.0:
            return None
        sendable = [ticket for ticket in self._tickets if ticket.sendable]
        if (rest := self._rest_due(sendable, now)) is not None:
            return rest
        late = next((ticket for ticket in sendable if self._is_late(ticket, now)), None)
        in_time = min(
            (ticket for ticket in sendable if not self._is_late(ticket, now)),
            key=lambda ticket: ticket.remaining,
            default=None,
        )
        self._turns += 1
        if late is not None and (in_time is None or self._turns % LATE_TURNS == 0):
            return late
        return in_time

    def free_in_s(self, now: float) -> float:
        """Return the seconds until the link takes another chunk."""
        return max(0.0, self._load.backlog_s(now) - AHEAD_S)

    def backlog_s(self, now: float) -> float:
        """Return the seconds that the link needs for all that waits."""
        waiting = sum(ticket.remaining for ticket in self._tickets)
        return self._load.backlog_s(now) + waiting / self._load.bytes_per_s

    def too_late_s(self, asked: LongRequest, under_way: int, now: float) -> float:
        """Return by how many seconds a long answer would come too late; 0 or less is in time.

        *under_way* long answers are still run by the target and come before it. The last
        target that is asked takes it as long as the caller would still get it.
        """
        ready = now + asked.runs_s
        late = sum(t.remaining for t in self._tickets if self._is_late(t, now))
        in_time = sum(t.remaining for t in self._tickets) - late
        to_come = (under_way + 1) * self._mean_size
        sent_s = self._load.backlog_s(now) + (in_time + to_come) / self._load.bytes_per_s
        too_late_s = ready + sent_s - asked.objective
        if too_late_s > 0.0 and asked.last_target:
            sent_s = (late + self._mean_size) * LATE_TURNS / self._load.bytes_per_s
            too_late_s = ready + sent_s - min(asked.deadline, ready + MOST_LATE_S)
        return too_late_s

    def long_wait_s(self, now: float) -> float:
        """Return the seconds that a long answer is expected to need for the link.

        The mean counts as well: whoever hears this sends a little later.
        """
        own_s = self._mean_size / self._load.bytes_per_s
        return max(self.backlog_s(now), self._mean_wait_s) + own_s

    def _rest_due(self, sendable: list[LinkTicket], now: float) -> LinkTicket | None:
        """Return the begun answer that has to go on now, as those like it need the time left.

        One whose time has ended, or does not suffice any more, is not helped by a turn.
        """
        begun = sorted((t for t in sendable if t.begun), key=lambda t: t.deadline)
        first: LinkTicket | None = None
        needs_s = 0.0
        for ticket in begun:
            left_s = ticket.deadline - now
            if ticket.remaining / self._load.bytes_per_s > left_s:
                continue
            first = first or ticket
            needs_s += ticket.remaining / (self._load.bytes_per_s * REST_SHARE)
            if needs_s + REST_MARGIN_S >= left_s:
                return first
        return None

    def _is_late(self, ticket: LinkTicket, now: float) -> bool:
        return now + ticket.remaining / self._load.bytes_per_s > ticket.objective
