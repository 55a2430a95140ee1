"""Steps for what must stay flat as the fleet grows."""

import sys
from math import exp
from random import Random
from types import FrameType
from typing import Any

from behave import given, then, when

from pearward_coordination.key_load import WINDOW_S, KeyCount, KeyLoadTable

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
    seen_s = context.loads.seen_s(context.now)
    rates = {row.key: row.rate * seen_s for row in context.loads.rates(context.now)}
    for key, weight in context.faded.items():
        told = rates.get(key, 0.0)
        assert abs(told - weight) < 0.021, (key, told, weight)
    total = context.loads.rate(context.now) * seen_s
    assert abs(total - sum(context.faded.values())) < 1e-6 * total + 1.1, total
