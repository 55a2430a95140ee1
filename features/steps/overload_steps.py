"""Steps that replay load patterns against the daemon's own decisions."""

from pathlib import Path
from random import Random
from typing import Any

from behave import given, then, when

from pearward_coordination.overload.policy import Mechanism, OverloadPolicy
from pearward_coordination.overload.retry_delay import (
    RefusedRequest,
    RetryAgeEstimator,
    retry_delay_s,
)
from pearward_coordination.slots import SlotLimits, SlotQueue, SlotTicket
from pearward_devtools import experiment
from pearward_devtools.experiment.model import Simulation, SimulationResult
from pearward_devtools.experiment.pattern import Pattern
from pearward_state.errors import InvalidField

PATTERNS = Path(experiment.__file__).parent / "patterns"
SEEDS = (1, 2)
STEP_S, STARTS_PER_STEP = 0.05, 4
"""A target with eight slots whose requests run 0.1 s frees four of them every 0.05 s."""


def _simulate(name: str, off: str = "") -> list[SimulationResult]:
    pattern = Pattern.from_file(PATTERNS / f"{name}.yaml")
    policy = OverloadPolicy(frozenset(Mechanism(each) for each in off.split("+") if each))
    return [Simulation(pattern, policy, seed, 1.0).play() for seed in SEEDS]


def _share(results: list[SimulationResult], request: str, what: str) -> float:
    classes = [result.by_class[request] for result in results]
    return sum(getattr(each_class, what) for each_class in classes) / sum(
        each_class.asked for each_class in classes
    )


def _credit(results: list[SimulationResult]) -> float:
    return sum(result.credit for result in results) / len(results)


@when('the pattern "{name}" is simulated with and without "{mechanism}"')
def simulate_both(context: Any, name: str, mechanism: str) -> None:
    context.on = _simulate(name)
    context.off = _simulate(name, mechanism)


@when('the pattern "{name}" is simulated twice')
def simulate_twice(context: Any, name: str) -> None:
    context.on, context.off = _simulate(name), _simulate(name)


@then("both simulations have the same results")
def same_results(context: Any) -> None:
    assert [t.seconds for t in context.on] == [t.seconds for t in context.off]


@then('the share of "{request}" in time is at least {share:g} higher with it')
def more_in_time(context: Any, request: str, share: float) -> None:
    gain = _share(context.on, request, "in_time") - _share(context.off, request, "in_time")
    assert gain >= share, gain


@then('the share of "{request}" that fails is at least {share:g} lower with it')
def fewer_fail(context: Any, request: str, share: float) -> None:
    gain = _share(context.off, request, "failed") - _share(context.on, request, "failed")
    assert gain >= share, gain


@then("all requests together earn at least {credit:g} more with it")
def earn_more(context: Any, credit: float) -> None:
    gain = _credit(context.on) - _credit(context.off)
    assert gain >= credit, gain


@then("of the requests from {start:d} to {end:d} s, a share of at least {share:g} is in time")
def in_time_between(context: Any, start: int, end: int, share: float) -> None:
    rows = [t.seconds[second] for t in context.on for second in range(start, end)]
    found = sum(row[1] for row in rows) / sum(row[0] for row in rows)
    assert found >= share, found


@then("no class earns more than {credit:g} less with it")
def none_earns_less(context: Any, credit: float) -> None:
    for name in context.on[0].by_class:
        on, off = (
            sum(t.by_class[name].credit / t.by_class[name].max_credit for t in results)
            / len(results)
            for results in (context.on, context.off)
        )
        assert on >= off - credit, (name, on, off)


# -- retries ----------------------------------------------------------------------------------


@given(
    "a request that runs {runs:g} s and may wait {max_wait:g} s, with free capacity in {free:g} s"
)
def refused_request(context: Any, runs: float, max_wait: float, free: float) -> None:
    context.refused_request = (max_wait, runs, free)


@then("with {left:g} s left its retry delay is {delay:g} s")
def has_retry_delay(context: Any, left: float, delay: float) -> None:
    found = retry_delay_s(RefusedRequest(left, *context.refused_request))
    assert abs(found - delay) < 1e-9, found


@given("callers that allow {seconds:g} s for their first attempt")
def constant_callers(context: Any, seconds: float) -> None:
    context.retry_age = RetryAgeEstimator()
    context.now = 100.0
    context.allow = lambda: seconds


@given("callers that allow between {low:g} s and {high:g} s")
def varied_callers(context: Any, low: float, high: float) -> None:
    context.retry_age = RetryAgeEstimator()
    context.now = 100.0
    rng = Random(1)
    context.allow = lambda: rng.uniform(low, high)


@when("{count:d} of their requests have arrived")
def requests_arrived(context: Any, count: int) -> None:
    _arrive(context, count, 1.0)


@when("callers allow {seconds:g} s from now on, and {count:d} requests have arrived")
def allow_longer(context: Any, seconds: float, count: int) -> None:
    context.allow = lambda: seconds
    _arrive(context, count, 1.0)


@when(
    "callers allow {seconds:g} s from now on, and {count:d} requests have arrived over {over:g} s"
)
def allow_shorter(context: Any, seconds: float, count: int, over: float) -> None:
    context.allow = lambda: seconds
    _arrive(context, count, over)


def _arrive(context: Any, count: int, over_s: float) -> None:
    for _ in range(count):
        context.now += over_s / count
        context.retry_age.age_s(context.allow(), context.now)


@then("the retry age of one that allows {seconds:g} s is {age:g} s")
def has_retry_age(context: Any, seconds: float, age: float) -> None:
    found = context.retry_age.age_s(seconds, context.now)
    assert abs(found - age) < 1e-9, found


@then("one that allows {seconds:g} s counts as a first attempt")
def is_first_attempt(context: Any, seconds: float) -> None:
    assert context.retry_age.age_s(seconds, context.now) == 0.0


# -- waiting ----------------------------------------------------------------------------------


@given("a target with {slots:d} slots that is full")
def full_target(context: Any, slots: int) -> None:
    context.now = 10.0
    context.queue = SlotQueue(SlotLimits(slots))
    context.running = []
    for _ in range(slots):
        ticket = _ticket(context, 1, 0.4)
        assert context.queue.offer(ticket, context.now) is True
        context.running.append(ticket)


def _ticket(context: Any, rank: int, objective_s: float) -> SlotTicket:
    now = context.now
    return SlotTicket(rank, now + 5.0, now + objective_s, now, "a")


@when("{count:d} requests of rank {rank:d} with an objective of {objective:g} s wait")
def some_wait(context: Any, count: int, rank: int, objective: float) -> None:
    context.waiting = [_ticket(context, rank, objective) for _ in range(count)]
    for ticket in context.waiting:
        assert context.queue.offer(ticket, context.now) is False
    context.rank, context.objective = rank, objective


@when("the queue has been standing for {seconds:g} s")
def keep_queue_standing(context: Any, seconds: float) -> None:
    """Queue a new request before another starts, so that the queue is never empty."""
    queue = context.queue
    for _ in range(round(seconds / STEP_S)):
        context.now += STEP_S
        for _ in range(STARTS_PER_STEP):
            added = _ticket(context, context.rank, context.objective)
            assert queue.offer(added, context.now) is False, "a request was not allowed to wait"
            queue.finish(context.running.pop(0), context.now, measured=True)
            started, _ = queue.next_starts(context.now)
            context.running += started


@then("one more may wait for at most {seconds:g} s")
def may_wait(context: Any, seconds: float) -> None:
    _check_max_wait(context, context.rank, seconds)


@then("one of rank {rank:d} may wait for at most {seconds:g} s")
def rank_may_wait(context: Any, rank: int, seconds: float) -> None:
    _check_max_wait(context, rank, seconds)


def _check_max_wait(context: Any, rank: int, seconds: float) -> None:
    ticket = _ticket(context, rank, context.objective)
    found = context.queue.max_wait_s(ticket, context.now)
    assert abs(found - seconds) < 0.02, found


@then('a pattern with a request for "{service}" is rejected with an error that names it')
def pattern_rejected(context: Any, service: str) -> None:
    data = {
        "services": [{"name": "a", "speeds": [1.0]}],
        "requests": [{"name": "r", "service": service, "per_s": 1.0}],
    }
    try:
        Pattern.from_config("bad", data)
    except InvalidField as error:
        assert service in str(error), error
    else:
        raise AssertionError("the pattern was accepted")
