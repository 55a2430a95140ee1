"""Steps for the speeds of owners, from their running times."""

from __future__ import annotations

import math
import sys
from contextlib import ExitStack
from pathlib import Path
from random import Random
from statistics import fmean
from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination.grants import GrantTiming
from pearward_coordination.link_queue import LinkQueue
from pearward_coordination.messages import KeyReport
from pearward_coordination.overload.policy import Mechanism, OverloadPolicy
from pearward_coordination.slots import SlotTicket
from pearward_coordination.target_speed import (
    RunningRequest,
    RunStatistics,
    RunSummary,
    relative_speeds,
)
from pearward_daemon.mesh import key_planner, target_slots
from pearward_daemon.mesh.key_planner import KeyPlanner
from pearward_daemon.mesh.target_slots import TargetSlots
from pearward_protocol.control import decode_control, encode_control
from pearward_protocol.heads import RequestHead
from pearward_state.members import Member, TargetState
from tests.fuzz.mesh_world import KEYS, begin_world
from tests.speed_replay import START, Replay, ReplayLoad

NOW = 100.0
SEEDS = (1, 2, 3)
RUN_S = 0.27
"""Mean running time in s of the keyed requests of a deployment with two routes."""


def _running_time(rng: Random, typical_s: float) -> float:
    run_s = typical_s * rng.lognormvariate(0.0, 0.8)
    return run_s * (7.0 if rng.random() < 0.03 else 1.0)


# -- replays ---------------------------------------------------------------------------


@given("{owners:d} owners of speeds 0.7, 0.7 and 1.7 that get {per_s:d} requests a second each, "
       "and moved keys {which} their warm state")  # fmt: skip
def replay_load(context: Any, owners: int, per_s: int, which: str) -> None:
    context.load = ReplayLoad((0.7, 0.7, 1.7), owners, 6, per_s, RUN_S, cold_moves=which == "lose")


@when("the load is played for {seconds:d} s with and without known speeds")
def play(context: Any, seconds: int) -> None:
    context.seconds = seconds
    context.played = {}
    for name, off in (("with", ()), ("without", (Mechanism.KNOWN_SPEED,))):
        context.played[name] = [Replay(context.load, seed, frozenset(off)) for seed in SEEDS]
        for replay in context.played[name]:
            replay.run(seconds)


@then("at most {plans:d} plans are made with them, and at most {share:g} of those without")
def few_plans(context: Any, plans: int, share: float) -> None:
    made = {name: [len(r.planned_at) for r in rows] for name, rows in context.played.items()}
    assert max(made["with"]) <= plans, made
    assert sum(made["with"]) <= sum(made["without"]) * share, made


def _refused(context: Any, first: float, last: float) -> dict[str, int]:
    """Return the refusals from *first* to *last* seconds, with and without known speeds."""
    return {
        name: sum(first <= at - START < last for replay in rows for at in replay.refused_at)
        for name, rows in context.played.items()
    }


@then("at most {share:g} of the refusals of the first {seconds:d} s remain")
def few_refusals(context: Any, share: float, seconds: int) -> None:
    refused = _refused(context, 0.0, seconds)
    assert refused["with"] <= refused["without"] * share, refused


@then("at most {share:g} of the refusals of the last {seconds:d} s remain")
def few_late_refusals(context: Any, share: float, seconds: int) -> None:
    refused = _refused(context, context.seconds - seconds, context.seconds)
    assert refused["with"] <= refused["without"] * share, refused


# -- statistics beside the target ------------------------------------------------------


@given("a target whose running times are log-normal with a spread of 0.8, 3 in 100 7 times as long")
def log_normal(context: Any) -> None:
    context.rng = Random(1)


@when("it ends {count:d} requests, {times:d} times over")
def end_requests(context: Any, count: int, times: int) -> None:
    context.typical, context.means = [], []
    for _ in range(times):
        runs = [_running_time(context.rng, 1.0) for _ in range(count)]
        statistics = RunStatistics()
        for run_s in runs:
            statistics.ended("quote", NOW - run_s, NOW)
        context.typical.append(statistics.summary((), NOW).typical_s)
        context.means.append(fmean(runs))


def _within(values: list[float], expected: float, factor: float) -> int:
    return sum(abs(math.log(value / expected)) <= math.log(factor) for value in values)


@then("the typical time is within a factor of {factor:g} in {least:d} of them")
def typical_known(context: Any, factor: float, least: int) -> None:
    expected = math.exp(0.03 * math.log(7.0))
    context.known = _within(context.typical, expected, factor)
    assert context.known >= least, context.known


@then("the arithmetic mean is within a factor of {factor:g} in fewer")
def mean_less_known(context: Any, factor: float) -> None:
    expected = math.exp(0.32) * 1.18
    assert _within(context.means, expected, factor) < context.known


@given("an owner that has ended no request, and others with {runs:d} runs of {run_s:g} s")
def owner_without_runs(context: Any, runs: int, run_s: float) -> None:
    first = RunStatistics().summary((), NOW)
    others = {f"t{n}": RunSummary(run_s, runs) for n in range(1, 4)}
    context.speeds = relative_speeds({"t0": first, **others})


@then("its relative speed is 1 to within {most:g}")
def usual_speed(context: Any, most: float) -> None:
    assert abs(context.speeds["t0"].relative - 1.0) <= most, context.speeds


@then("the error of its capacity is three times that of the others at least")
def larger_error(context: Any) -> None:
    assert context.speeds["t0"].error >= 3.0 * context.speeds["t1"].error, context.speeds


@given("two owners of equal speed and two routes, one of which runs {factor:g} times as long")
def two_routes(context: Any, factor: float) -> None:
    context.routes = {"quote": 0.25, "policy": 0.25 * factor}


@when("{one:g} of the runs of one owner and {other:g} of the other's use the shorter route")
def different_mixes(context: Any, one: float, other: float) -> None:
    summaries = {}
    for target, share in (("t0", one), ("t1", other)):
        statistics = RunStatistics()
        for number in range(1000):
            route = "quote" if (number * share) % 1.0 < share else "policy"
            statistics.ended(route, NOW - context.routes[route], NOW)
        summaries[target] = statistics.summary((), NOW + 10.0)
    context.speeds = relative_speeds(summaries)


@then("their relative speeds differ by less than {most:g}")
def equal_speeds(context: Any, most: float) -> None:
    one, other = (context.speeds[target].relative for target in ("t0", "t1"))
    assert abs(one - other) < most, (one, other)


@given("a target that has ended {count:d} requests of {run_s:g} s")
def ended_requests(context: Any, count: int, run_s: float) -> None:
    context.now = NOW
    patch = mock.patch.object(target_slots, "boot_time", lambda: context.now)
    patch.start()
    context.add_cleanup(patch.stop)
    slots = context.slots = TargetSlots(OverloadPolicy(), LinkQueue(1000.0), mock.Mock())
    slots.rate.advertised.target_changed(known=True)
    for _ in range(count):
        ticket = SlotTicket(1, context.now + 5.0, context.now + 1.0, context.now, route="quote")
        assert slots.offer(mock.Mock(needs_link=False), ticket) is True
        context.now += run_s
        slots.finished(ticket, measured=True)
    assert slots.run_summary().runs > count / 2


@when("the next target starts beside its daemon")
def next_target(context: Any) -> None:
    context.slots.target_changed()


@then("its report states no runs")
def no_runs(context: Any) -> None:
    assert context.slots.run_summary().runs == 0.0


# -- slow-downs --------------------------------------------------------------------------


class _BusyTarget:
    """A target all of whose slots are always in use."""

    def __init__(self, rng: Random, slots: int, typical_s: float) -> None:
        self._rng = rng
        self._typical_s = typical_s
        self._statistics = RunStatistics()
        self.now = NOW
        self.factor = 1.0
        self._running = [self._next() for _ in range(slots)]

    def _next(self) -> tuple[float, float]:
        """Return start and end of a request that starts now."""
        return self.now, self.now + _running_time(self._rng, self._typical_s) * self.factor

    def slow_down(self, factor: float) -> None:
        """Let the running and all further requests take *factor* times as long."""
        self.factor = factor
        self._running = [(s, self.now + (e - self.now) * factor) for s, e in self._running]

    def report(self, interval_s: float) -> float:
        """Return the typical running time that is reported after *interval_s*."""
        until = self.now + interval_s
        while (row := min(self._running, key=lambda r: r[1]))[1] <= until:
            self.now = row[1]
            self._running.remove(row)
            self._statistics.ended("quote", *row)
            self._running.append(self._next())
        self.now = until
        running = [RunningRequest("quote", started) for started, _ in self._running]
        return self._statistics.summary(running, self.now).typical_s


@given("a target that keeps {slots:d} slots in use, with a typical running time of {run_s:g} s")
def busy_target(context: Any, slots: int, run_s: float) -> None:
    context.busy = lambda seed: _BusyTarget(Random(seed), slots, run_s)


def _jump_s(target: _BusyTarget, seconds: float) -> float | None:
    """Return the seconds until a report states twice the typical time of the one before."""
    start, before = target.now, target.report(0.2)
    while target.now < start + seconds:
        typical_s = target.report(0.2)
        if typical_s > 2.0 * before:
            return target.now - start
        before = typical_s
    return None


@when("it becomes {factor:g} times as slow, {times:d} times over")
def become_slow(context: Any, factor: float, times: int) -> None:
    context.detected = []
    for seed in range(times):
        target = context.busy(seed)
        for _ in range(50):
            target.report(0.2)
        target.slow_down(factor)
        context.detected.append(_jump_s(target, 4.0))


@then("{least:d} of them are detected within {seconds:g} s")
def detected(context: Any, least: int, seconds: float) -> None:
    found = sum(at is not None and at <= seconds for at in context.detected)
    assert found >= least, (found, sorted(at or math.inf for at in context.detected))


@then("without a slow-down it is detected at most {most:d} times in {seconds:d} s")
def no_false_alarm(context: Any, most: int, seconds: int) -> None:
    target = context.busy(1)
    for _ in range(50):
        target.report(0.2)
    end, alarms = target.now + seconds, 0
    while target.now < end:
        alarms += _jump_s(target, end - target.now) is not None
    assert alarms <= most, alarms


# -- the planner ---------------------------------------------------------------------------


@given("a planner with reports of three owners that run {one:g}, {two:g} and {three:g} requests "
       "a second")  # fmt: skip
def planner_with_reports(context: Any, one: float, two: float, three: float) -> None:
    members = [
        Member(f"i{n}", "a", "", "", "roster-app", f"t{n}", 6, TargetState.READY) for n in range(3)
    ]
    directory = SimpleNamespace(
        members=members, is_drained=lambda domain: False, is_registered=lambda target: True
    )
    context.log = mock.Mock()
    context.planner = KeyPlanner(
        SimpleNamespace(overload=OverloadPolicy()), mock.Mock(), directory,
        SimpleNamespace(version=lambda service: 1), context.log, mock.Mock(), mock.Mock(),
    )  # fmt: skip
    patch = mock.patch.object(key_planner, "boot_time", lambda: NOW)
    patch.start()
    context.add_cleanup(patch.stop)
    context.capacities = [one, two, three]
    for number in range(2):
        _report(context, number, typical_run_ms=200.0, runs=50.0)


def _report(context: Any, number: int, **fields: Any) -> None:
    fields = {"capacity": context.capacities[number], **fields}
    report = KeyReport(
        service="roster-app", target=f"t{number}", version=1, draining=False, ended=(),
        confirmed=(), counts=(), **fields,
    )  # fmt: skip
    sent = decode_control(encode_control(report))
    assert isinstance(sent, KeyReport)
    context.planner.reported(sent)


@when("the third report states a typical time of {typical:g} ms from {runs:g} runs")
def state_runs(context: Any, typical: float, runs: float) -> None:
    _report(context, 2, typical_run_ms=typical, runs=runs)


@when("the third report states a rate limit of {per_s:g} a second and a typical time of "
      "{typical:g} ms from {runs:g} runs")  # fmt: skip
def state_limit(context: Any, per_s: float, typical: float, runs: float) -> None:
    _report(context, 2, capacity=per_s, limited=True, typical_run_ms=typical, runs=runs)


def _planned(context: Any) -> float:
    planner = context.planner
    owners = planner._owners("roster-app", planner._service("roster-app"), NOW)
    return float(owners[2].capacity)


@then("the third owner is planned with {per_s:g} a second")
def planned_with(context: Any, per_s: float) -> None:
    assert _planned(context) == per_s, _planned(context)


@then("the third owner is planned with {per_s:g} a second, and {logged} is logged for three such "
      "reports")  # fmt: skip
def planned_and_logged(context: Any, per_s: float, logged: str) -> None:
    for _ in range(3):
        planned_with(context, per_s)
    events = [call.args[0] for call in context.log.emit.call_args_list]
    assert events == (["run_statistics_ignored"] if logged == "one" else []), events


@given("three instances whose targets hold all keys")
def three_instances(context: Any) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    world = context.world = begin_world(stack, 3, GrantTiming())
    world.run(8.0)
    assert world.served() == len(KEYS)


@when("each gets {own:d} requests for a key that the map assigns to it and {others:d} for a key of "
      "another")  # fmt: skip
def get_requests(context: Any, own: int, others: int) -> None:
    world = context.world
    positions = [world.key_of(node) for node in world.nodes]
    context.counted = []
    for node in world.nodes:
        local_target = node.daemon.core.local_target
        local_target.take_report()
        for position, count in (
            (positions[node.number], own),
            (positions[node.number - 1], others),
        ):
            head = mock.Mock(spec=RequestHead, key=b"k", position=position, deadline_ms=1000)
            for _ in range(count):
                local_target.take(head, True, b"", mock.Mock())
        counts = local_target.take_report().counts
        context.counted.append(sum(row.count for row in counts))


@then("each report counts {count:d} requests")
def counted(context: Any, count: int) -> None:
    assert context.counted == [count] * 3, context.counted
