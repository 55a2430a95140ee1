"""Steps that test the rate of requests to a cold target, at any rate of arrivals."""

from typing import Any
from unittest import mock

from behave import given, then, when
from twisted.internet.task import Clock

from pearward_coordination.link_queue import LinkQueue
from pearward_coordination.overload.policy import OverloadPolicy
from pearward_coordination.target_rate import TargetRate
from pearward_daemon.mesh import target_slots
from pearward_daemon.mesh.target_slots import TargetSlots

START = 100.0
COLD_S = 3.0


@given("a target that sustains {per_s:d} requests a second while it is cold")
def cold_target(context: Any, per_s: int) -> None:
    context.rate = TargetRate()
    context.rate.cold.set_rate(per_s)
    context.sent = []
    context.too_early = []


@given("a target without a limit while it is cold")
def unlimited(context: Any) -> None:
    cold_target(context, 0)


def _offer(context: Any, arrivals: list[float]) -> None:
    rate = context.rate
    rate.cold.set_cold_time(COLD_S, START)
    for now in arrivals:
        capacity_in_s = rate.delay_s(now)
        if capacity_in_s > 0.0:
            if now + capacity_in_s < START + COLD_S and rate.delay_s(now + capacity_in_s) > 1e-9:
                context.too_early.append((now, capacity_in_s))
            continue
        rate.reserve(now)
        context.sent.append(now)


@when("it reports that it is cold for 3 s and {count:d} requests a second arrive")
def steady(context: Any, count: int) -> None:
    _offer(context, [START + number / count for number in range(int(COLD_S * count))])


@when("it reports that it is cold for 3 s and {count:d} requests arrive at once, each second")
def bursts(context: Any, count: int) -> None:
    _offer(context, [START + second for second in range(int(COLD_S)) for _ in range(count)])


@then("it gets at most {most:d} requests in any second while it is cold")
def bounded(context: Any, most: int) -> None:
    for begin in context.sent:
        within = [at for at in context.sent if begin <= at < begin + 1.0]
        assert len(within) <= most, (begin, len(within))


@then("it gets at least {least:d} requests in these 3 s")
def gets_at_least(context: Any, least: int) -> None:
    assert len(context.sent) >= least, len(context.sent)


@then("each refused request gets a retry delay after which capacity is free")
def retry_delays_hold(context: Any) -> None:
    assert not context.too_early, context.too_early[:3]


@when("it gets {count:d} requests in a second and then reports that it is cold")
def becomes_cold(context: Any, count: int) -> None:
    for number in range(count):
        context.rate.reserve(START - 1.0 + number / count)
    context.rate.cold.set_cold_time(COLD_S, START)


@then("it gets no request for {seconds:g} s")
def gets_nothing_for(context: Any, seconds: float) -> None:
    assert context.rate.delay_s(START + seconds) > 0.0


@when("it is suspected to be cold")
def suspected(context: Any) -> None:
    context.rate.cold.suspect_cold(START)


@when("it reports {seconds:g} s later that it is not cold")
def reports_warm(context: Any, seconds: float) -> None:
    context.rate.cold.set_cold_time(0.0, START + seconds)


@then("it counts as {what}")
def counts_as(context: Any, what: str) -> None:
    assert context.rate.cold.is_cold(START + 0.6) is (what == "cold")


@given("a target with {slots:d} slots that sustains {per_s:d} requests a second while it is cold")
def cold_target_with_slots(context: Any, slots: int, per_s: int) -> None:
    context.slots = TargetSlots(OverloadPolicy(), LinkQueue(1000.0), Clock().callLater)
    context.slots.rate.advertised.target_changed(known=True)
    context.slots.set_slots(slots)
    context.slots.rate.cold.set_rate(per_s)


@when("it reports that it is cold for 3 s")
def reports_cold(context: Any) -> None:
    context.slots.rate.cold.set_cold_time(COLD_S, START)


@then("it reports {slots:d} slots and a capacity of {capacity:g} requests a second")
def reports_capacity(context: Any, slots: int, capacity: float) -> None:
    with mock.patch.object(target_slots, "boot_time", lambda: START + 1.0):
        assert context.slots.load().slots == slots, context.slots.load()
        assert context.slots.capacity() == capacity, context.slots.capacity()
