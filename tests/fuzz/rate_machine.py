"""A state machine of the requests to a target whose rate limit changes, checked by counting.

The queue, its timers and the limits are those of the product, in virtual time. The oracle counts
what the target gets: under one limit no more than its rate and one burst, in any span of time. No
request waits while one more may be sent, and none waits longer than it was told.
"""

from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet.task import Clock

from pearward_coordination.link_queue import LinkQueue
from pearward_coordination.overload.policy import OverloadPolicy
from pearward_coordination.slots import Refused, SlotTicket
from pearward_coordination.target_rate import ADVERTISED_BURST_S, MIN_PER_S
from pearward_daemon.mesh import target_slots
from pearward_daemon.mesh.target_slots import UNKNOWN_LIMIT_SLOTS, TargetSlots

__all__ = ["RateMachine"]

SLOTS = 12
TOLERANCE = 1e-3


class _Request:
    """A request that runs for a fixed time, or ends before it is sent."""

    needs_link = False
    is_last_target = True

    def __init__(self, machine: "RateMachine", rank: int, run_s: float, sends: bool) -> None:
        self._machine = machine
        self._slots = machine.slots
        """Those of the daemon's process that it arrived at; a restarted one has others."""
        self._run_s = run_s
        self._sends = sends
        now = machine.clock.seconds()
        self.ticket = SlotTicket(rank, now + 2.4, now + 1.2, now)
        self.waits_until = now

    def offer(self) -> None:
        """Request a slot, and give up after the maximum wait."""
        offered = self._slots.offer(self, self.ticket)
        if isinstance(offered, Refused):
            self.ticket.finished = True
        elif offered:
            self.start()
        else:
            wait_s = self._slots.max_wait_s(self.ticket)
            self.waits_until = self._machine.clock.seconds() + wait_s
            self._machine.clock.callLater(wait_s, self._wait_expired)

    def start(self) -> None:
        """Run the request."""
        if self._slots is not self._machine.slots:
            return
        if self._sends:
            self.ticket.sent = True
            self._machine.sent.append(self._machine.clock.seconds())
        self._machine.clock.callLater(self._run_s if self._sends else 0.0, self.end)

    def waited_too_long(self) -> None:
        """Do nothing: the request is refused."""

    def end(self) -> None:
        """End the request, whether it was sent or not."""
        if not self.ticket.finished:
            self._slots.finished(self.ticket, measured=self._sends)

    def _wait_expired(self) -> None:
        if self.ticket.waiting:
            self.end()


class RateMachine(RuleBasedStateMachine):
    """Requests, limits, suspensions and restarts in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.clock.advance(100.0)
        self._patch = mock.patch.object(target_slots, "boot_time", self.clock.seconds)
        self._patch.start()
        self.sent: list[float] = []
        """Times of the sends since the limit was changed last."""
        self._limit: float | None = None
        self._requests: list[_Request] = []
        self._restart(known=True)

    def teardown(self) -> None:
        """End the use of the virtual clock."""
        self._patch.stop()

    def _restart(self, *, known: bool) -> None:
        self.slots = TargetSlots(OverloadPolicy(), LinkQueue(1000.0), self.clock.callLater)
        self.slots.rate.advertised.target_changed(known=known)
        self.slots.set_slots(SLOTS)
        self._known = known
        self._requests = []
        self.sent = []

    def _advance(self, seconds: float) -> None:
        ends = self.clock.seconds() + seconds
        while self.clock.calls and self.clock.calls[0].getTime() <= ends:
            self.clock.advance(max(0.0, self.clock.calls[0].getTime() - self.clock.seconds()))
        self.clock.advance(max(0.0, ends - self.clock.seconds()))

    @rule(
        count=st.integers(1, 30), rank=st.integers(0, 2), sends=st.booleans(),
        run_s=st.sampled_from([0.05, 1.0]),
    )  # fmt: skip
    def arrive(self, count: int, rank: int, run_s: float, sends: bool) -> None:
        """Let requests arrive at once; some end before they are sent."""
        for number in range(count):
            request = _Request(self, rank, run_s, sends or number % 3 > 0)
            self._requests.append(request)
            request.offer()

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.25, 1.0, 4.0]))
    def pass_time(self, seconds: float) -> None:
        """Let time pass; timers fire at their times."""
        self._advance(seconds)

    @rule(seconds=st.sampled_from([0.5, 3.0]))
    def suspend(self, seconds: float) -> None:
        """Suspend the daemon: timers that are due fire together when it runs again."""
        self.clock.advance(seconds)
        self._advance(0.0)

    @rule(per_s=st.sampled_from([0.0, 0.4, 1.0, 2.5, 8.0, 26.1, 600.0]))
    def name_limit(self, per_s: float) -> None:
        """Let a response to a request that was sent just now advertise a limit."""
        now = self.clock.seconds()
        self.slots.rate.advertised.response_seen()
        self.slots.rate.advertised.advertised(per_s, now + TOLERANCE, now)
        self._known, self._limit = True, per_s
        self.sent = []
        self.slots.apply_limits()

    @rule()
    def name_none(self) -> None:
        """Let a response to a request that was sent just now advertise no limit."""
        self.slots.rate.advertised.response_seen()
        self.slots.rate.advertised.not_advertised(self.clock.seconds() + TOLERANCE)
        self._known, self._limit = True, None
        self.sent = []
        self.slots.apply_limits()

    @rule()
    def restart_daemon(self) -> None:
        """Restart the daemon, which forgets the limit."""
        self._restart(known=False)

    @invariant()
    def rate_is_kept(self) -> None:
        """The target gets no more than the rate and one burst in any span of time."""
        if not self._known or self._limit is None:
            return
        per_s = max(MIN_PER_S, self._limit)
        burst = max(1.0, per_s * ADVERTISED_BURST_S + 1.0)
        for first, begin in enumerate(self.sent):
            for last in range(first, len(self.sent)):
                span_s = self.sent[last] - begin
                assert last - first + 1 <= per_s * span_s + burst + TOLERANCE, (
                    f"{last - first + 1} requests in {span_s} s at {per_s} a second"
                )

    @invariant()
    def few_before_the_first_response(self) -> None:
        """A restarted daemon uses few slots until a response shows if there is a limit."""
        if not self._known:
            assert self.slots.running <= UNKNOWN_LIMIT_SLOTS, self.slots.running

    @invariant()
    def none_waits_in_vain(self) -> None:
        """No request waits although it may be sent, or longer than its maximum wait."""
        now = self.clock.seconds()
        waiting = [request for request in self._requests if request.ticket.waiting]
        assert all(request.waits_until >= now - TOLERANCE for request in waiting)
        free = self.slots.running < (SLOTS if self._known else UNKNOWN_LIMIT_SLOTS)
        if waiting and free:
            assert self.slots.rate.delay_s(now) > 0.0, (now, len(waiting), self.slots.running)
