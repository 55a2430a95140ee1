"""Steps of requests that come while their keys change hands."""

from typing import Any

from behave import given, then, when

from pearward_coordination.overload.handover_wait import HandoverWait

START = 100.0


def _hand_over(gap: HandoverWait, now: float, seconds: float) -> None:
    gap.start(now)
    gap.finish(now + seconds)


@given("a target whose last ten hand-overs took {seconds:g} s")
def took(context: Any, seconds: float) -> None:
    context.gap = HandoverWait()
    for number in range(10):
        # The first guess weighs 0.1 after ten; thirty more make it vanish.
        for again in range(4):
            _hand_over(context.gap, number * 10.0 + again, seconds)


@when("ten hand-overs take {seconds:g} s")
def ten_take(context: Any, seconds: float) -> None:
    for number in range(10):
        _hand_over(context.gap, START + number, seconds)


@when(
    "its keys rest and a request comes {at:g} s later with {left:g} s left, which runs {runs:g} s"
)
def comes(context: Any, at: float, left: float, runs: float) -> None:
    context.gap.start(START)
    context.max_wait_s = context.gap.max_wait_s(left, runs, START + at)
    context.back_s = context.gap.left_s(START + at)


@then("it waits for at most {seconds:g} s")
def waits(context: Any, seconds: float) -> None:
    assert abs(context.max_wait_s - seconds) < 0.01, context.max_wait_s


@then("it is refused, to come back in {seconds:g} s")
def refused(context: Any, seconds: float) -> None:
    assert context.max_wait_s == 0.0, context.max_wait_s
    assert abs(context.back_s - seconds) < 0.01, context.back_s


@then("keys are expected to rest for {low:g} to {high:g} s")
def expected(context: Any, low: float, high: float) -> None:
    assert low <= context.gap.mean_s <= high, context.gap.mean_s


@when("its keys rest for {rest:g} s and requests with {left:g} s left come every {every:g} s, "
      "which run {runs:g} s")  # fmt: skip
def all_come(context: Any, rest: float, left: float, every: float, runs: float) -> None:
    context.gap.start(START)
    context.refused, context.served, context.held = 0, 0, 0
    for number in range(round(rest / every)):
        came = number * every
        max_wait_s = context.gap.max_wait_s(left, runs, START + came)
        if max_wait_s <= 0.0:
            context.refused += 1
        elif came + max_wait_s >= rest:
            context.served += 1
        else:
            context.held += 1


@then("{served:d} of {all_:d} are served, and the others were refused at once")
def outcome(context: Any, served: int, all_: int) -> None:
    assert context.held == 0, context.held
    assert (context.served, context.served + context.refused) == (served, all_), context.served
