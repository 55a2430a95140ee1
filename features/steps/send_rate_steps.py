"""Steps for the requests of a target that advertises a rate limit, in virtual time."""

import itertools
from typing import Any
from unittest import mock

from behave import given, then, when
from twisted.internet.task import Clock

from pearward_coordination.keyplan import planned_capacity
from pearward_coordination.link_queue import LinkQueue
from pearward_coordination.overload.policy import OverloadPolicy
from pearward_coordination.slots import Refused, SlotTicket
from pearward_daemon.mesh import target_slots
from pearward_daemon.mesh.target_slots import TargetSlots

START = 100.0
WINDOW_S = 4.0
OBJECTIVE_S, DEADLINE_S = 0.6, 1.5
LONG_OBJECTIVE_S = 1.4


class _Request:
    """A request for the target that runs for a fixed time once it is sent."""

    needs_link = False
    is_last_target = True

    def __init__(self, world: "_World", rank: int = 1, objective_s: float = OBJECTIVE_S) -> None:
        now = world.clock.seconds()
        self._world = world
        self.ticket = SlotTicket(rank, now + DEADLINE_S, now + objective_s, now)
        self.offered: bool | Refused = False
        self.sends = True
        """Whether it is sent once it has a slot."""

    def offer(self) -> None:
        """Request a slot, and give up after the maximum wait."""
        slots = self._world.slots
        self.offered = slots.offer(self, self.ticket)
        if self.offered is True:
            self.start()
        elif self.offered is False:
            self._world.clock.callLater(slots.max_wait_s(self.ticket), self._wait_expired)

    def start(self) -> None:
        """Run the request."""
        if not self.sends:
            return
        self.ticket.sent = True
        self._world.sent.append((self._world.clock.seconds(), self))
        self._world.clock.callLater(self._world.run_s, self._end)

    def waited_too_long(self) -> None:
        """Do nothing: the request is refused."""

    def _end(self) -> None:
        self._world.slots.finished(self.ticket, measured=True)

    def _wait_expired(self) -> None:
        if self.ticket.waiting:
            self._world.slots.finished(self.ticket, measured=False)


class _World:
    """One target, its queue and the clock."""

    def __init__(self, slots: int, run_s: float) -> None:
        self.clock = Clock()
        self.clock.advance(START)
        self.run_s = run_s
        self.sent: list[tuple[float, _Request]] = []
        self.slots = TargetSlots(OverloadPolicy(), LinkQueue(1000.0), self.clock.callLater)
        self.slots.rate.advertised.target_changed(known=True)
        self.slots.set_slots(slots)

    def arrive(self, count: int, seconds: float) -> None:
        """Let requests arrive evenly; the queue's timers fire at their times."""
        for number in range(count):
            at = START + seconds * number / count
            self._advance_to(max(at, self.clock.seconds()))
            _Request(self).offer()
        self._advance_to(START + seconds)

    def _advance_to(self, at: float) -> None:
        while self.clock.calls and self.clock.calls[0].getTime() <= at:
            self.clock.advance(max(0.0, self.clock.calls[0].getTime() - self.clock.seconds()))
        self.clock.advance(max(0.0, at - self.clock.seconds()))

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self._advance_to(self.clock.seconds() + seconds)


@given("a target with {slots:d} slots and requests that run {run_s:g} s")
def target(context: Any, slots: int, run_s: float) -> None:
    context.world = _World(slots, run_s)
    patch = mock.patch.object(target_slots, "boot_time", context.world.clock.seconds)
    patch.start()
    context.add_cleanup(patch.stop)


@given("it advertises a limit of {per_s:g} a second")
def advertise_limit(context: Any, per_s: float) -> None:
    now = context.world.clock.seconds()
    context.world.slots.rate.advertised.advertised(per_s, now - 0.1, now)


@given("it is cold for {seconds:g} s and sustains {per_s:g} requests a second meanwhile")
def is_cold(context: Any, seconds: float, per_s: float) -> None:
    cold = context.world.slots.rate.cold
    cold.set_rate(per_s)
    cold.set_cold_time(seconds, context.world.clock.seconds())


@when(
    "it advertises a limit of {per_s:g} a second and {count:d} requests arrive each second"
    " for {seconds:d} s"
)
def limit_and_load(context: Any, per_s: float, count: int, seconds: int) -> None:
    advertise_limit(context, per_s)
    context.world.arrive(count * seconds, seconds)


def _times(context: Any) -> list[float]:
    return [at for at, _ in context.world.sent]


@then("it gets at most {most:d} requests in any 4 s")
def at_most_in_window(context: Any, most: int) -> None:
    times = _times(context)
    for begin in times:
        within = [at for at in times if begin <= at < begin + WINDOW_S]
        assert len(within) <= most, (begin, len(within))


@then("it gets at most {most:d} requests in the first 4 s")
def at_most_first(context: Any, most: int) -> None:
    found = [at for at in _times(context) if at < START + WINDOW_S]
    assert len(found) <= most, len(found)


@then("it gets at least {least:d} requests in these 10 s")
def at_least(context: Any, least: int) -> None:
    assert len(_times(context)) >= least, len(_times(context))


@when(
    "{count:d} requests arrive each second for {seconds:d} s and it then advertises a limit of"
    " {per_s:g} a second"
)
def load_then_limit(context: Any, count: int, seconds: int, per_s: float) -> None:
    context.world.arrive(count * seconds, seconds)
    advertise_limit(context, per_s)
    context.since = context.world.clock.seconds()


@then("it gets no request for {seconds:g} s more")
def none_for(context: Any, seconds: float) -> None:
    for _ in range(10):
        _Request(context.world).offer()
    context.world.advance(seconds)
    assert not [at for at in _times(context) if at > context.since], _times(context)[-3:]


@when("{count:d} requests arrive while the daemon is suspended for {seconds:g} s")
def suspended(context: Any, count: int, seconds: float) -> None:
    world = context.world
    for _ in range(count):
        _Request(world).offer()
    # The timers that are due fire only when the daemon runs again.
    world.clock.advance(seconds)
    for _ in range(count):
        _Request(world).offer()
    context.since = world.clock.seconds()


@then("it gets at most {most:d} requests within {seconds:g} s after that")
def at_most_after(context: Any, most: int, seconds: float) -> None:
    context.world.advance(seconds)
    found = [at for at in _times(context) if at >= context.since]
    assert 0 < len(found) <= most, len(found)


def _ranks(text: str) -> list[int]:
    return [int(part) for part in text.replace(" and ", ", ").split(", ")]


def _offer(context: Any, requests: list[_Request]) -> None:
    """Let requests arrive at once."""
    context.requests = requests
    for request in requests:
        request.offer()


@when("requests of rank {ranks} arrive at once")
def ranked(context: Any, ranks: str) -> None:
    _offer(context, [_Request(context.world, rank, LONG_OBJECTIVE_S) for rank in _ranks(ranks)])


@then("they are sent in the order of rank {ranks}")
def sent_in_order(context: Any, ranks: str) -> None:
    context.world.advance(1.0)
    found = [request.ticket.rank for _, request in context.world.sent]
    assert found == _ranks(ranks), found


@then("the last one is sent after {seconds:g} s")
def last_sent_after(context: Any, seconds: float) -> None:
    context.world.advance(seconds)
    last = _times(context)[-1] - _times(context)[0]
    assert abs(last - seconds) < 1e-6, _times(context)


@when("{count:d} requests arrive at once that are worth most within {objective_s:g} s")
def arrive_at_once(context: Any, count: int, objective_s: float) -> None:
    _offer(context, [_Request(context.world, objective_s=objective_s) for _ in range(count)])


@then('all but the first are refused at once, as "{detail}"')
def others_refused(context: Any, detail: str) -> None:
    first, *others = [request.offered for request in context.requests]
    assert first is True, first
    assert all(isinstance(o, Refused) and o.detail == detail for o in others), others


@then("the retry delays differ by up to a third, none is shorter than the wait for the next send")
def spread(context: Any) -> None:
    delays = [r.offered.retry_after_s for r in context.requests if isinstance(r.offered, Refused)]
    wait_s = context.world.slots.rate.delay_s(context.world.clock.seconds())
    assert min(delays) >= wait_s, (min(delays), wait_s)
    assert max(delays) >= min(delays) * 4 / 3, (min(delays), max(delays))
    gaps = [b - a for a, b in itertools.pairwise(sorted(delays))]
    assert min(gaps) > 0.0, delays


@when("a request gets its slot and ends before it is sent")
def not_sent(context: Any) -> None:
    request = _Request(context.world)
    request.sends = False
    request.offer()
    assert request.offered is True
    context.world.slots.finished(request.ticket, measured=False)


@then("the next one is sent at once")
def next_at_once(context: Any) -> None:
    request = _Request(context.world)
    request.offer()
    assert request.offered is True


@when("it advertises no limit any more")
def advertise_none(context: Any) -> None:
    context.world.slots.rate.advertised.not_advertised(context.world.clock.seconds() + 0.1)
    context.world.slots.apply_limits()


@then("all of them have been sent")
def all_sent(context: Any) -> None:
    assert len(context.world.sent) == len(context.requests), len(context.world.sent)


@given(
    "a daemon that was started beside a target with {slots:d} slots and requests that run"
    " {run_s:g} s"
)
def restarted_daemon(context: Any, slots: int, run_s: float) -> None:
    target(context, slots, run_s)
    context.world.slots.rate.advertised.target_changed(known=False)
    context.world.slots.set_slots(slots)


@when("{count:d} requests arrive at once")
def arrive(context: Any, count: int) -> None:
    _offer(context, [_Request(context.world, 1, LONG_OBJECTIVE_S) for _ in range(count)])


@then("at most {most:d} of them are sent before the first response")
def few_sent(context: Any, most: int) -> None:
    assert 0 < len(context.world.sent) <= most, len(context.world.sent)


@when("the first response names {limit}")
def first_response(context: Any, limit: str) -> None:
    slots = context.world.slots
    assert slots.rate.advertised.response_seen()
    if limit != "no limit":
        advertise_limit(context, float(limit.split()[0]))
    slots.apply_limits()
    context.world.advance(0.0)


@then("{count:d} of them have been sent")
def sent_count(context: Any, count: int) -> None:
    assert len(context.world.sent) == count, len(context.world.sent)


@given("owners that run {mean:g} requests a second on average")
def owners(context: Any, mean: float) -> None:
    context.mean = mean


@then("one that reports {capacity:g} a second, {source}, is planned with {planned:g} a second")
def planned(context: Any, capacity: float, source: str, planned: float) -> None:
    found = planned_capacity(capacity, context.mean, limited=source == "limited")
    assert found == planned, found


@when("{seconds:g} s pass without a request")
def pass_without_request(context: Any, seconds: float) -> None:
    world = context.world
    world.advance(seconds)
    world.slots.rate.advertised.expire(world.clock.seconds())
    world.slots.apply_limits()


@then("its capacity is {per_s:g} a second")
def capacity_is(context: Any, per_s: float) -> None:
    assert context.world.slots.capacity() == per_s, context.world.slots.capacity()


@then("its capacity is more than {per_s:g} a second")
def capacity_above(context: Any, per_s: float) -> None:
    assert context.world.slots.capacity() > per_s, context.world.slots.capacity()
