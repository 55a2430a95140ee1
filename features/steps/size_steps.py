"""Steps for what must stay flat as the fleet grows."""

import sys
from math import exp
from random import Random
from types import FrameType
from typing import Any

from behave import given, then, when

from pearward_coordination.attempt_plan import AttemptPlan, NextStep, RequestTimes
from pearward_coordination.directory import Directory
from pearward_coordination.key_load import WINDOW_S, KeyCount, KeyLoadTable
from pearward_coordination.key_segments import KeyOwner
from pearward_coordination.keyplan import PlanLimits, first_map, plan_moves
from pearward_coordination.load_watch import CHECK_INTERVAL_S, LoadWatch
from pearward_coordination.selection import FreeSlotOdds, TargetLoad, choose_target
from pearward_coordination.slots import Refused, SlotTicket
from pearward_state.keymap import KEY_SPACE
from pearward_state.members import Member, TargetState
from pearward_state.outcome import Outcome, Reason

NOW = 1000.0


@given("a table of the load of {keys:d} keys")
def load_table(context: Any, keys: int) -> None:
    context.now = NOW
    context.keys = keys
    context.loads = KeyLoadTable()
    context.loads.add((KeyCount(key, key, 9) for key in range(keys)), NOW)
    context.faded = dict.fromkeys(range(keys), 9.0)


def _steps_of(call: Any) -> int:
    """Return the lines that are run by a call, in all functions that it enters."""
    steps = 0

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal steps
        steps += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return steps


@when("an owner reports {rows:d} rows to it")
def report_rows(context: Any, rows: int) -> None:
    counts = [KeyCount(key, key, 1) for key in range(rows)]
    context.steps = _steps_of(lambda: context.loads.add(counts, NOW + 0.1))


@then("the table takes at most {most:d} steps for that")
def few_steps(context: Any, most: int) -> None:
    assert context.steps <= most, context.steps


@when("owners report at random for {seconds:d} s, with pauses of up to {pause:d} s")
def random_reports(context: Any, seconds: int, pause: int) -> None:
    rng = Random(17)
    ends = context.now + seconds
    while context.now < ends:
        passed = rng.choice((0.01, 0.1, 0.4, 0.4, 0.4, rng.random() * 3.0))
        if rng.random() < 0.01:
            passed = rng.random() * pause
        context.now += passed
        context.faded = {k: w * exp(-passed / WINDOW_S) for k, w in context.faded.items()}
        if sum(context.faded.values()) < 5.0:
            context.faded = dict.fromkeys(context.faded, 0.0)
        key, count = rng.randrange(context.keys), rng.randrange(1, 9)
        context.loads.add((KeyCount(key, key, count),), context.now)
        context.faded[key] += count


@then("each key's rate is what its faded counts give")
def same_rates(context: Any) -> None:
    observed_s = context.loads.observed_s(context.now)
    rates = {row.key: row.rate * observed_s for row in context.loads.rates(context.now)}
    for key, weight in context.faded.items():
        told = rates.get(key, 0.0)
        assert abs(told - weight) < 0.021, (key, told, weight)
    total = context.loads.rate(context.now) * observed_s
    assert abs(total - sum(context.faded.values())) < 1e-6 * total + 1.1, total


# -- placement --------------------------------------------------------------------------------


def _directory(targets: int, domains: int = 5, domain: int = 0) -> Directory:
    directory = Directory(f"d{domain}")
    directory.store_answers(0.0)
    directory.entries_read(
        [
            Member(
                f"n{k}", f"d{k % domains}", f"n{k}:1", "life", "s", f"t{k}", 6, TargetState.READY
            )
            for k in range(targets)
        ],
        NOW,
    )
    return directory


@given("a daemon that knows {targets:d} targets of a service in {domains:d} failure domains")
def knows_targets(context: Any, targets: int, domains: int) -> None:
    context.directory = _directory(targets, domains)


@given("all but {left:d} of them are draining or cannot be reached")
def few_left(context: Any, left: int) -> None:
    for number in range(75 - left):
        if number % 2:
            context.directory.note_refused(f"t{number}")
        else:
            context.directory.note_unreachable(f"t{number}", NOW)


@when("it looks {times:d} times for a target")
def looks(context: Any, times: int) -> None:
    rng = Random(5)
    context.drawn = [
        context.directory.candidates("s", NOW, 0.0, frozenset(), rng) for _ in range(times)
    ]


@then("it compares {near:d} near and {far:d} far ones each time, and {all_:d} in all")
def compares(context: Any, near: int, far: int, all_: int) -> None:
    for candidates in context.drawn:
        assert len({c.target for c in candidates}) == near + far
        assert sum(c.near for c in candidates) == near
    assert len({c.target for candidates in context.drawn for c in candidates}) == all_


@then("only the {count:d} others are compared")
def only_others(context: Any, count: int) -> None:
    names = {c.target for candidates in context.drawn for c in candidates}
    assert names == {f"t{number}" for number in range(75 - count, 75)}, names
    assert all(context.drawn)


@given("{daemons:d} daemons that know {targets:d} targets, a third of them twice as fast as the "
       "others")  # fmt: skip
def many_daemons(context: Any, daemons: int, targets: int) -> None:
    context.directories = [_directory(targets, domain=k % 5) for k in range(daemons)]
    for directory in context.directories:
        for number in range(targets):
            load = TargetLoad(2, 0, 6, 0.6 if number % 3 else 0.3)
            directory.note_load(f"t{number}", load, NOW - 5.0)


@when("each of them sends {requests:d} requests")
def each_sends(context: Any, requests: int) -> None:
    rng = Random(9)
    context.sent = {}
    for directory in context.directories:
        for _ in range(requests):
            candidates = directory.candidates("s", NOW, 0.0, frozenset(), rng)
            chosen = choose_target(candidates, NOW, rng, mean_run_s=directory.mean_run_s("s"))
            assert chosen is not None
            context.sent[chosen.target] = context.sent.get(chosen.target, 0) + 1
            chosen.view.in_flight += 1


@then("no target gets more than {times:d} times its share, and the fast third more than half")
def no_herd(context: Any, times: int) -> None:
    total = sum(context.sent.values())
    assert max(context.sent.values()) <= times * total / 75, max(context.sent.values())
    assert sum(context.sent.get(f"t{number}", 0) for number in range(0, 75, 3)) > total / 2


@then("a request that may go elsewhere is refused, and one that may not waits")
def passed_over(context: Any) -> None:
    def ticket(*, idle_only: bool) -> SlotTicket:
        return SlotTicket(2, 103.0, 101.5, 100.0, idle_only=idle_only)

    assert isinstance(context.queue.offer(ticket(idle_only=True), 100.0), Refused)
    assert context.queue.offer(ticket(idle_only=False), 100.0) is False


@given("a request that two targets had no free slot for")
def two_full(context: Any) -> None:
    context.plan = AttemptPlan(RequestTimes(NOW, NOW + 1.5, NOW + 3.0), False, False, 2)
    for target in ("t1", "t2"):
        step = context.plan.after_failure(Outcome.NOT_RUN, Reason.OVERLOADED, target, NOW)
        assert step is NextStep.ELSEWHERE


@then("the next target may be one of these two")
def may_be_asked_again(context: Any) -> None:
    assert context.plan.is_last_slot_request
    assert not context.plan.excluded
    assert context.plan.full_targets == {"t1", "t2"}


@then("when that one has no room either the request is refused")
def refused_at_last(context: Any) -> None:
    step = context.plan.after_failure(Outcome.NOT_RUN, Reason.OVERLOADED, "t2", NOW)
    assert step is NextStep.GIVE_UP


@given("a service of whose targets 9 in 10 have a queue")
def rush(context: Any) -> None:
    context.odds = FreeSlotOdds()
    context.rng = Random(4)


@when("{count:d} requests look for a target")
def requests_look(context: Any, count: int) -> None:
    context.asked = _asking(context, count, free=0.1)


def _asking(context: Any, count: int, free: float) -> int:
    """Let requests look for a target; return how many ask for a place without a queue."""
    asked = 0
    for _ in range(count):
        if context.odds.should_probe():
            asked += 1
            context.odds.note_probe(found=context.rng.random() < free)
    return asked


@then("fewer than {most:d} of them ask for a place without a queue")
def few_ask(context: Any, most: int) -> None:
    assert context.asked < most, context.asked


@then("when the rush is over, all of the next {count:d} but {skipped:d} ask for one")
def ask_again(context: Any, count: int, skipped: int) -> None:
    assert _asking(context, count, free=1.0) >= count - skipped


# -- planning ----------------------------------------------------------------------------------


@given("{owners:d} owners whose keys are asked for {rate:d} times a second in all, by chance")
def owners_by_chance(context: Any, owners: int, rate: int) -> None:
    context.owners = [KeyOwner(f"t{number}", rate / owners / 0.7) for number in range(owners)]
    context.key_map = first_map("roster", context.owners)
    context.rates = {(0, KEY_SPACE - 1): float(rate)}


@given("the first of them is asked for {rate:d} a second more")
def first_has_more(context: Any, rate: int) -> None:
    first = context.key_map.ranges[0]
    context.rates[(first.first, first.last)] = float(rate)


@when("their load is planned for {seconds:d} s")
def planned(context: Any, seconds: int) -> None:
    rng = Random(2)
    watch = LoadWatch(PlanLimits())
    now = NOW
    while now < NOW + seconds:
        now += CHECK_INTERVAL_S
        counts: dict[int, int] = {}
        for (first, last), rate in context.rates.items():
            mean = rate * CHECK_INTERVAL_S
            for _ in range(max(0, round(rng.gauss(mean, mean**0.5)))):
                key = rng.randint(first, last)
                counts[key] = counts.get(key, 0) + 1
        watch.reported([KeyCount(key, key, count) for key, count in counts.items()], now)
        load, _ = watch.check(context.key_map, now)
        if not watch.may_move(now):
            continue
        moved = plan_moves(context.key_map, context.owners, load, frozenset(), PlanLimits())
        if moved is not None:
            watch.moved(now)
            context.key_map = moved


def _true_rates(context: Any) -> dict[str, float]:
    """Return what each owner is asked for, without chance."""
    found: dict[str, float] = {}
    for (first, last), rate in context.rates.items():
        for r in context.key_map.ranges:
            shared = min(r.last, last) - max(r.first, first) + 1
            if shared > 0:
                found[r.owner] = found.get(r.owner, 0.0) + rate * shared / (last - first + 1)
    return found


@then("the map has fewer than {most:d} ranges, and no owner has {times:g} times its share")
def few_ranges(context: Any, most: int, times: float) -> None:
    assert len(context.key_map.ranges) < most, len(context.key_map.ranges)
    even(context, times)


@then("no owner has {times:g} times its share")
def even(context: Any, times: float) -> None:
    rates = _true_rates(context)
    share = sum(rates.values()) / len(context.owners)
    assert max(rates.values()) < times * share, max(rates.values()) / share
