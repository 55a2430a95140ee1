"""Steps for the soak and for its checks."""

from dataclasses import replace
from typing import Any

from behave import given, then, when

from pearward_devtools.mesh.soak import plan, play
from pearward_devtools.mesh.soak_checks import (
    DaemonKill,
    Disturbance,
    Leave,
    LimitedTarget,
    NodeFault,
    ResponseRecord,
    Run,
    find_violations,
    over_limit,
)

REFUSED = 503


@when("a soak with seed {seed:d} runs for {seconds:d} s")
def play_seed(context: Any, seed: int, seconds: int) -> None:
    context.violations, context.served = play(seed, seconds)


@when("a soak with seed {seed:d} runs for {seconds:d} s with grants by calls")
def play_by_call(context: Any, seed: int, seconds: int) -> None:
    context.violations, context.served = play(seed, seconds, by_call=True)


@when("a soak with seed {seed:d} runs for {seconds:d} s with requests that crash their targets")
def play_crashes(context: Any, seed: int, seconds: int) -> None:
    context.violations, context.served = play(seed, seconds, crashes=True)


@when("a soak with seed {seed:d} runs for {seconds:d} s with a store restored from older copies")
def play_returns(context: Any, seed: int, seconds: int) -> None:
    context.violations, context.served = play(seed, seconds, returns=True)


@when("a soak with seed {seed:d} runs for {seconds:d} s with targets that advertise rate limits")
def play_limits(context: Any, seed: int, seconds: int) -> None:
    context.violations, context.served = play(seed, seconds, limits=True)


@when(
    "a soak with seed {seed:d} runs for {seconds:d} s with targets that leave and signals during "
    "starts"
)
def play_leaves(context: Any, seed: int, seconds: int) -> None:
    context.violations, context.served = play(seed, seconds, leaves=True)


@given(
    "a target that advertised a limit of {per_s:g} a second for {seconds:d} s"
    " and got {got:d} requests a second"
)
def limited_records(context: Any, per_s: float, seconds: int, got: int) -> None:
    context.limit = LimitedTarget("t1", per_s, 10.0, 10.0 + seconds)
    times = [10.0 + number / got for number in range(seconds * got)]
    context.responses = [
        ResponseRecord(f"q{number}", "n1", True, 200, True, True, at, at + 0.05, "t1")
        for number, at in enumerate(times)
    ]
    context.runs = [
        Run(f"q{number}", "t1", "sheets", "/sheets/safe/x", "", 0, at)
        for number, at in enumerate(times)
    ]


@then("its limit counts as broken")
def limit_broken(context: Any) -> None:
    found = over_limit(context.responses, context.runs, [context.limit], [])
    assert len(found) == 1, found


@then("it does not if the daemon that forwarded the limit was restarted since")
def limit_excused(context: Any) -> None:
    faults = [NodeFault("n1", 10.5)]
    assert not over_limit(context.responses, context.runs, [context.limit], faults)


@then("no guarantee is violated and requests were served")
def no_guarantee_violated(context: Any) -> None:
    assert not context.violations, context.violations[:5]
    assert context.served


@then("seed {one:d} plans the same faults twice, and seed {other:d} plans others")
def same_faults(context: Any, one: int, other: int) -> None:
    assert plan(one, 30.0, 6) == plan(one, 30.0, 6) != plan(other, 30.0, 6)
    assert plan(one, 30.0, 6)


@given("the records of a soak with two requests and no violation")
def records(context: Any) -> None:
    context.responses = [
        ResponseRecord("r1", "n1", True, 200, True, True, 10.0, 10.2),
        ResponseRecord("r2", "n1", False, 200, True, True, 11.0, 11.2),
    ]
    context.runs = [
        Run("r1", "t1", "roster", "/roster/safe/x", "7", 5, 10.1),
        Run("r2", "t2", "roster", "/roster/unsafe/x", "7", 6, 11.1),
    ]
    context.leaves = [Leave("t1", 9.5)]
    context.kills = []
    context.disturbances = []
    assert _violations(context) == []


def _violations(context: Any) -> list[str]:
    return find_violations(
        context.responses, context.runs, context.leaves, context.kills, context.disturbances
    )


@when('the records are changed to show "{fault}"')
def records_with_fault(context: Any, fault: str) -> None:
    responses, runs = context.responses, context.runs
    match fault:
        case "a success with another body":
            responses[0] = replace(responses[0], intact=False)
        case "a request run twice":
            runs.append(replace(runs[1], at=11.15))
        case "a refused request that ran":
            responses[1] = replace(responses[1], status=REFUSED)
        case "a lower fence after a higher one":
            runs[1] = replace(runs[1], fence=4)
        case "two targets under one fence":
            runs[1] = replace(runs[1], fence=5)
        case "a run at another service":
            runs[0] = replace(runs[0], service="sheets")
        case "a request after a leave was acknowledged":
            context.leaves.append(Leave("t1", 7.0))
        case "a request that ran without a response":
            responses[0] = replace(responses[0], status=0, header_received=False, intact=False)
        case "a truncated response":
            responses[0] = replace(responses[0], status=0, intact=False)
        case "a request that keeps crashing targets":
            crashing_run = Run("r3", "t3", "sheets", "/sheets/safe/bad?spoil=crash", "", 0, 10.0)
            runs += [replace(crashing_run, at=10.0 + second) for second in range(10)]
        case _:
            raise AssertionError(fault)


@when("the daemon that received the request was killed meanwhile")
def was_killed(context: Any) -> None:
    context.kills.append(DaemonKill("n1", 10.15))


@when("a fault affected a link from {began:g} s to {ended:g} s")
def link_affected(context: Any, began: float, ended: float) -> None:
    context.disturbances.append(Disturbance(began, ended))


@then('exactly one violation is reported, which names "{name}"')
def one_violation(context: Any, name: str) -> None:
    violations = _violations(context)
    assert len(violations) == 1 and violations[0].startswith(name), violations


@then("no violation is reported")
def no_violation(context: Any) -> None:
    assert _violations(context) == []
