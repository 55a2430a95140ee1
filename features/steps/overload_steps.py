"""Steps that replay patterns of load against the daemon's own decisions."""

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
STEP_S, TURNOVER = 0.05, 4
"""A target of eight slots whose requests run 0.1 s gives four back every 0.05 s."""


def _play(name: str, off: str = "") -> list[SimulationResult]:
    pattern = Pattern.from_file(PATTERNS / f"{name}.yaml")
    policy = OverloadPolicy(frozenset(Mechanism(each) for each in off.split("+") if each))
    return [Simulation(pattern, policy, seed, 1.0).play() for seed in SEEDS]


def _share(tallies: list[SimulationResult], request: str, what: str) -> float:
    fates = [tally.by_class[request] for tally in tallies]
    return sum(getattr(fate, what) for fate in fates) / sum(fate.asked for fate in fates)


def _credit(tallies: list[SimulationResult]) -> float:
    return sum(tally.credit for tally in tallies) / len(tallies)


@when('the pattern "{name}" is played with and without "{mechanism}"')
def play_both(context: Any, name: str, mechanism: str) -> None:
    context.on = _play(name)
    context.off = _play(name, mechanism)


@when('the pattern "{name}" is played twice')
def play_twice(context: Any, name: str) -> None:
    context.on, context.off = _play(name), _play(name)


@then("both plays are alike")
def alike(context: Any) -> None:
    assert [t.seconds for t in context.on] == [t.seconds for t in context.off]


@then('of "{request}", {share:g} more are in time with it')
def more_in_time(context: Any, request: str, share: float) -> None:
    gain = _share(context.on, request, "in_time") - _share(context.off, request, "in_time")
    assert gain >= share, gain


@then('of "{request}", {share:g} fewer fail with it')
def fewer_fail(context: Any, request: str, share: float) -> None:
    gain = _share(context.off, request, "failed") - _share(context.on, request, "failed")
    assert gain >= share, gain


@then("all requests together earn {credit:g} more with it")
def earn_more(context: Any, credit: float) -> None:
    gain = _credit(context.on) - _credit(context.off)
    assert gain >= credit, gain


@then("of the requests that come from {start:d} to {end:d} s, {share:g} are in time")
def in_time_between(context: Any, start: int, end: int, share: float) -> None:
    rows = [t.seconds[second] for t in context.on for second in range(start, end)]
    found = sum(row[1] for row in rows) / sum(row[0] for row in rows)
    assert found >= share, found


@then("no class earns {credit:g} less with it")
def none_loses(context: Any, credit: float) -> None:
    for name in context.on[0].by_class:
        on, off = (
            sum(t.by_class[name].credit / t.by_class[name].max_credit for t in tallies)
            / len(tallies)
            for tallies in (context.on, context.off)
        )
        assert on >= off - credit, (name, on, off)


# -- returns ----------------------------------------------------------------------------------


@given("a request that runs {runs:g} s and may wait {patience:g} s, with room in {room:g} s")
def turned_away(context: Any, runs: float, patience: float, room: float) -> None:
    context.turned_away = (patience, runs, room)


@then("with {left:g} s left it comes back after {back:g} s")
def comes_back(context: Any, left: float, back: float) -> None:
    found = retry_delay_s(RefusedRequest(left, *context.turned_away))
    assert abs(found - back) < 1e-9, found


@given("callers who allow {seconds:g} s for their first try")
def constant_callers(context: Any, seconds: float) -> None:
    context.usual = RetryAgeEstimator()
    context.now = 100.0
    context.allow = lambda: seconds


@given("callers who allow between {low:g} s and {high:g} s")
def varied_callers(context: Any, low: float, high: float) -> None:
    context.usual = RetryAgeEstimator()
    context.now = 100.0
    rng = Random(1)
    context.allow = lambda: rng.uniform(low, high)


@when("{count:d} of them have come")
def have_come(context: Any, count: int) -> None:
    _come(context, count, 1.0)


@when("callers allow {seconds:g} s from now on, and {count:d} have come")
def allow_longer(context: Any, seconds: float, count: int) -> None:
    context.allow = lambda: seconds
    _come(context, count, 1.0)


@when("callers allow {seconds:g} s from now on, and {count:d} have come over {over:g} s")
def allow_shorter(context: Any, seconds: float, count: int, over: float) -> None:
    context.allow = lambda: seconds
    _come(context, count, over)


def _come(context: Any, count: int, over_s: float) -> None:
    for _ in range(count):
        context.now += over_s / count
        context.usual.age_s(context.allow(), context.now)


@then("one that allows {seconds:g} s first came {age:g} s ago")
def came_before(context: Any, seconds: float, age: float) -> None:
    found = context.usual.age_s(seconds, context.now)
    assert abs(found - age) < 1e-9, found


@then("one that allows {seconds:g} s comes for the first time")
def comes_first(context: Any, seconds: float) -> None:
    assert context.usual.age_s(seconds, context.now) == 0.0


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


@when("they and their successors have waited for {seconds:g} s")
def waited(context: Any, seconds: float) -> None:
    """A new one joins before another starts, so that the queue is never empty."""
    queue = context.queue
    for _ in range(round(seconds / STEP_S)):
        context.now += STEP_S
        for _ in range(TURNOVER):
            joins = _ticket(context, context.rank, context.objective)
            assert queue.offer(joins, context.now) is False, "it was not let wait"
            queue.finish(context.running.pop(0), context.now, measured=True)
            started, _ = queue.next_starts(context.now)
            context.running += started


@then("one more may wait {seconds:g} s")
def may_wait(context: Any, seconds: float) -> None:
    _check_patience(context, context.rank, seconds)


@then("one of rank {rank:d} may wait {seconds:g} s")
def rank_may_wait(context: Any, rank: int, seconds: float) -> None:
    _check_patience(context, rank, seconds)


def _check_patience(context: Any, rank: int, seconds: float) -> None:
    ticket = _ticket(context, rank, context.objective)
    found = context.queue.max_wait_s(ticket, context.now)
    assert abs(found - seconds) < 0.02, found


@then('a pattern with a request for "{service}" is refused, naming it')
def pattern_refused(context: Any, service: str) -> None:
    data = {
        "services": [{"name": "a", "speeds": [1.0]}],
        "requests": [{"name": "r", "service": service, "per_s": 1.0}],
    }
    try:
        Pattern.from_config("bad", data)
    except InvalidField as error:
        assert service in str(error), error
    else:
        raise AssertionError("it was taken")
