"""Steps for costs that must not grow with the size of the fleet."""

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
    context.decayed = dict.fromkeys(range(keys), 9.0)


def _count_lines(call: Any) -> int:
    """Return the number of lines executed by a call, including the functions that it calls."""
    lines = 0

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal lines
        lines += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return lines


@when("an owner reports {rows:d} rows to it")
def report_rows(context: Any, rows: int) -> None:
    counts = [KeyCount(key, key, 1) for key in range(rows)]
    context.executed_lines = _count_lines(lambda: context.loads.add(counts, NOW + 0.1))


@then("the table executes at most {most:d} lines of code for that")
def few_lines(context: Any, most: int) -> None:
    assert context.executed_lines <= most, context.executed_lines


@when("owners report at random for {seconds:d} s, with pauses of up to {pause:d} s")
def random_reports(context: Any, seconds: int, pause: int) -> None:
    rng = Random(17)
    ends = context.now + seconds
    while context.now < ends:
        passed = rng.choice((0.01, 0.1, 0.4, 0.4, 0.4, rng.random() * 3.0))
        if rng.random() < 0.01:
            passed = rng.random() * pause
        context.now += passed
        context.decayed = {k: w * exp(-passed / WINDOW_S) for k, w in context.decayed.items()}
        if sum(context.decayed.values()) < 5.0:
            context.decayed = dict.fromkeys(context.decayed, 0.0)
        key, count = rng.randrange(context.keys), rng.randrange(1, 9)
        context.loads.add((KeyCount(key, key, count),), context.now)
        context.decayed[key] += count


@then("each key's rate equals the rate given by its decayed counts")
def rates_equal(context: Any) -> None:
    observed_s = context.loads.observed_s(context.now)
    rates = {row.key: row.rate * observed_s for row in context.loads.rates(context.now)}
    for key, weight in context.decayed.items():
        measured = rates.get(key, 0.0)
        assert abs(measured - weight) < 0.021, (key, measured, weight)
    total = context.loads.rate(context.now) * observed_s
    assert abs(total - sum(context.decayed.values())) < 1e-6 * total + 1.1, total


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
def few_available(context: Any, left: int) -> None:
    for number in range(75 - left):
        if number % 2:
            context.directory.note_refused(f"t{number}")
        else:
            context.directory.note_unreachable(f"t{number}", NOW)


@when("it draws candidates {times:d} times")
def draw_candidates(context: Any, times: int) -> None:
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
def load_spread(context: Any, times: int) -> None:
    total = sum(context.sent.values())
    assert max(context.sent.values()) <= times * total / 75, max(context.sent.values())
    assert sum(context.sent.get(f"t{number}", 0) for number in range(0, 75, 3)) > total / 2


@then("a request that may go elsewhere is refused, and one that may not waits")
def refused_or_queued(context: Any) -> None:
    def ticket(*, idle_only: bool) -> SlotTicket:
        return SlotTicket(2, 103.0, 101.5, 100.0, idle_only=idle_only)

    assert isinstance(context.queue.offer(ticket(idle_only=True), 100.0), Refused)
    assert context.queue.offer(ticket(idle_only=False), 100.0) is False


@given("a request that two targets refused for lack of a free slot")
def two_refused(context: Any) -> None:
    context.plan = AttemptPlan(RequestTimes(NOW, NOW + 1.5, NOW + 3.0), False, False, 2)
    for target in ("t1", "t2"):
        step = context.plan.after_failure(Outcome.NOT_RUN, Reason.OVERLOADED, target, NOW)
        assert step is NextStep.ELSEWHERE


@then("the next target may be one of these two")
def may_be_retried(context: Any) -> None:
    assert context.plan.is_last_slot_request
    assert not context.plan.excluded
    assert context.plan.full_targets == {"t1", "t2"}


@then("when that target has no free slot either, the request is given up")
def given_up(context: Any) -> None:
    step = context.plan.after_failure(Outcome.NOT_RUN, Reason.OVERLOADED, "t2", NOW)
    assert step is NextStep.GIVE_UP


@given("a service in which 9 of 10 targets have a queue")
def few_free_slots(context: Any) -> None:
    context.odds = FreeSlotOdds()
    context.rng = Random(4)


@when("{count:d} requests look for a target")
def requests_look(context: Any, count: int) -> None:
    context.probe_count = _count_probes(context, count, free=0.1)


def _count_probes(context: Any, count: int, free: float) -> int:
    """Let requests look for a target; return how many of them probe for a free slot."""
    probes = 0
    for _ in range(count):
        if context.odds.should_probe():
            probes += 1
            context.odds.note_probe(found=context.rng.random() < free)
    return probes


@then("fewer than {most:d} of them probe for a free slot")
def few_probe(context: Any, most: int) -> None:
    assert context.probe_count < most, context.probe_count


@then("once every target has a free slot, of the next {count:d} requests all but at most "
      "{skipped:d} probe for one")  # fmt: skip
def probe_again(context: Any, count: int, skipped: int) -> None:
    assert _count_probes(context, count, free=1.0) >= count - skipped


# -- planning ----------------------------------------------------------------------------------


@given("{owners:d} owners whose keys get {rate:d} requests a second in all, at random")
def random_load(context: Any, owners: int, rate: int) -> None:
    context.owners = [KeyOwner(f"t{number}", rate / owners / 0.7) for number in range(owners)]
    context.key_map = first_map("roster", context.owners)
    context.rates = {(0, KEY_SPACE - 1): float(rate)}


@given("the first of them gets {rate:d} requests a second more")
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


def _expected_rates(context: Any) -> dict[str, float]:
    """Return each owner's expected request rate, without random variation."""
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
    load_balanced(context, times)


@then("no owner has {times:g} times its share")
def load_balanced(context: Any, times: float) -> None:
    rates = _expected_rates(context)
    share = sum(rates.values()) / len(context.owners)
    assert max(rates.values()) < times * share, max(rates.values()) / share
