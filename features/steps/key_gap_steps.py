"""Steps of requests that come while their keys change hands."""

from typing import Any

from behave import given, then, when

from pearward_coordination.overload.key_gap import KeyGap

START = 100.0


def _hand_over(gap: KeyGap, now: float, seconds: float) -> None:
    gap.begun(now)
    gap.ended(now + seconds)


@given("a target whose last ten hand-overs took {seconds:g} s")
def took(context: Any, seconds: float) -> None:
    context.gap = KeyGap()
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
    context.gap.begun(START)
    context.patience_s = context.gap.patience_s(left, runs, START + at)
    context.back_s = context.gap.left_s(START + at)


@then("it waits for at most {seconds:g} s")
def waits(context: Any, seconds: float) -> None:
    assert abs(context.patience_s - seconds) < 0.01, context.patience_s


@then("it is refused, to come back in {seconds:g} s")
def refused(context: Any, seconds: float) -> None:
    assert context.patience_s == 0.0, context.patience_s
    assert abs(context.back_s - seconds) < 0.01, context.back_s


@then("keys are expected to rest for {low:g} to {high:g} s")
def expected(context: Any, low: float, high: float) -> None:
    assert low <= context.gap.mean_s <= high, context.gap.mean_s


@when("its keys rest for {rest:g} s and requests with {left:g} s left come every {every:g} s, "
      "which run {runs:g} s")  # fmt: skip
def all_come(context: Any, rest: float, left: float, every: float, runs: float) -> None:
    context.gap.begun(START)
    context.refused, context.served, context.held = 0, 0, 0
    for number in range(round(rest / every)):
        came = number * every
        patience_s = context.gap.patience_s(left, runs, START + came)
        if patience_s <= 0.0:
            context.refused += 1
        elif came + patience_s >= rest:
            context.served += 1
        else:
            context.held += 1


@then("{served:d} of {all_:d} are served, and the others were refused at once")
def outcome(context: Any, served: int, all_: int) -> None:
    assert context.held == 0, context.held
    assert (context.served, context.served + context.refused) == (served, all_), context.served
