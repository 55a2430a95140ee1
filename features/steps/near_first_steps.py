"""Steps for the preference for targets in the own failure domain."""

from dataclasses import replace
from random import Random
from typing import Any

from behave import given, then, when
from overload_steps import PATTERNS, SEEDS

from pearward_coordination.near_first import Allowance, choose_near_first
from pearward_coordination.overload.policy import Mechanism, OverloadPolicy
from pearward_coordination.selection import Candidate, LoadView, TargetLoad
from pearward_devtools.experiment.model import Simulation, SimulationResult
from pearward_devtools.experiment.pattern import Change, Pattern

NOW = 1000.0
"""Time of the decisions, in seconds."""
CHOICES = 200
"""Decisions with different random numbers that must all have the same result."""

REPLAY_S = 13.0
"""Length of a replay, which includes the slow time of a failure domain and its end."""


@given('a {where} target "{name}" that runs a request in {run_s:g} s with {taken:d} of {slots:d} '
       "slots taken")  # fmt: skip
def target(context: Any, where: str, name: str, run_s: float, taken: int, slots: int) -> None:
    view = LoadView()
    view.reported(TargetLoad(taken, 0, slots, run_s), NOW)
    candidates = getattr(context, "near_first_candidates", [])
    context.near_first_candidates = [*candidates, Candidate(name, where == "near", view)]


@when('"{name}" reports {waiting:d} waiting requests')
def reports_waiting(context: Any, name: str, waiting: int) -> None:
    view = _view(context, name)
    assert view.load is not None
    view.reported(replace(view.load, waiting=waiting), NOW)


@when('"{name}" fails a request')
def fails(context: Any, name: str) -> None:
    _view(context, name).failed(NOW)


def _view(context: Any, name: str) -> LoadView:
    return next(c.view for c in context.near_first_candidates if c.target == name)


def _check(context: Any, allowance: Allowance, name: str, now: float = NOW) -> None:
    context.allowance = allowance
    rng = Random(7)
    chosen = [
        choose_near_first(context.near_first_candidates, now, rng, allowance)
        for _ in range(CHOICES)
    ]
    assert {each.target for each in chosen if each is not None} == {name}, chosen


@then('a request with an objective of {objective_s:g} s goes to "{name}"')
def goes_to(context: Any, objective_s: float, name: str) -> None:
    _check(context, Allowance(objective_s, objective_s), name)


@then('a request with an objective of {objective_s:g} s of which {left_s:g} s are left goes to '
      '"{name}"')  # fmt: skip
def goes_to_with_less_time(context: Any, objective_s: float, left_s: float, name: str) -> None:
    _check(context, Allowance(objective_s, left_s), name)


@then('a request without an objective goes to "{name}"')
def goes_to_without_objective(context: Any, name: str) -> None:
    _check(context, Allowance(0.0, 0.0), name)


@then('the same request goes to "{name}" after {refusals:d} refusal for lack of a free slot')
@then('the same request goes to "{name}" after {refusals:d} refusals for lack of a free slot')
def goes_to_after_refusals(context: Any, name: str, refusals: int) -> None:
    _check(context, replace(context.allowance, refusals=refusals), name)


@then('{seconds:g} s later it goes to "{name}"')
def goes_to_later(context: Any, seconds: float, name: str) -> None:
    _check(context, context.allowance, name, NOW + seconds)


# -- replayed load ---------------------------------------------------------------------------


def _replay(pattern: Pattern, off: str, load: float) -> list[SimulationResult]:
    policy = OverloadPolicy(frozenset(Mechanism(each) for each in off.split("+") if each))
    pattern = replace(pattern, seconds=REPLAY_S)
    return [Simulation(pattern, policy, seed, load).play() for seed in SEEDS]


def _pattern(name: str) -> Pattern:
    return Pattern.from_file(PATTERNS / f"{name}.yaml")


@when('the pattern "{name}" is replayed at {low:g} and {high:g} times its rates, with and without '
      '"{mechanism}"')  # fmt: skip
def replay_both(context: Any, name: str, low: float, high: float, mechanism: str) -> None:
    pattern = _pattern(name)
    context.pairs = [
        (_replay(pattern, "", load), _replay(pattern, mechanism, load)) for load in (low, high)
    ]


def _far_share(results: list[SimulationResult]) -> float:
    return sum(result.placements.far_share for result in results) / len(results)


def _in_time(results: list[SimulationResult]) -> float:
    classes = [each for result in results for each in result.by_class.values()]
    return sum(each.in_time for each in classes) / sum(each.asked for each in classes)


def _busiest(results: list[SimulationResult]) -> float:
    return sum(result.placements.busiest_shares["pooled"] for result in results) / len(results)


@then("less than {most:d} of 100 attempts leave the failure domain, and without it more than "
      "{least:d}")  # fmt: skip
def few_far(context: Any, most: int, least: int) -> None:
    shares = [(_far_share(on), _far_share(off)) for on, off in context.pairs]
    assert all(on < most / 100 and off > least / 100 for on, off in shares), shares


@then("the share in time is not lower by more than {loss:g}")
def no_fewer_in_time(context: Any, loss: float) -> None:
    gains = [_in_time(on) - _in_time(off) for on, off in context.pairs]
    assert all(gain >= -loss for gain in gains), gains


@then("the busiest target is not busier by more than a tenth")
def even_load(context: Any) -> None:
    ratios = [_busiest(on) / _busiest(off) for on, off in context.pairs]
    assert all(ratio <= 1.1 for ratio in ratios), ratios


@when('the targets of one failure domain of the pattern "{name}" are {factor:g} times as slow from '
      "{start:d} to {end:d} s")  # fmt: skip
def slow_domain(context: Any, name: str, factor: float, start: int, end: int) -> None:
    pattern = _pattern(name)
    count = pattern.services[0].domain_sizes[0]
    change = Change("slow", start, end - start, factor, "pooled", count)
    context.slow_from, context.slow_until = start, end
    context.results = _replay(replace(pattern, changes=(change,)), "", 0.8)


def _far_share_at(context: Any, second: int) -> float:
    """Return the share of the slow domain's attempts in one second that left it."""
    near = far = 0
    for result in context.results:
        counts = result.placements.by_second.get((0, second), [0, 0])
        near, far = near + counts[0], far + counts[1]
    return far / (near + far)


@then("within a second at least half of the attempts of its daemons leave it")
def leaves(context: Any) -> None:
    share = _far_share_at(context, context.slow_from + 1)
    assert share >= 0.5, share


@then("{seconds:d} s after the end at most a quarter of them leave it")
def stays(context: Any, seconds: int) -> None:
    share = _far_share_at(context, context.slow_until + seconds)
    assert share <= 0.25, share
