"""Steps that test requests that arrive during a handover of their keys."""

from typing import Any

from behave import given, then, when

from pearward_coordination.overload.handover_wait import HandoverWait

START = 100.0


def _hand_over(handover_wait: HandoverWait, now: float, seconds: float) -> None:
    handover_wait.start(now)
    handover_wait.finish(now + seconds)


@given("a target whose last ten handovers took {seconds:g} s")
def handovers_took(context: Any, seconds: float) -> None:
    context.handover_wait = HandoverWait()
    for number in range(10):
        # The initial estimate still weighs 0.1 after ten handovers; thirty more make it negligible.
        for again in range(4):
            _hand_over(context.handover_wait, number * 10.0 + again, seconds)


@when("ten handovers take {seconds:g} s")
def ten_take(context: Any, seconds: float) -> None:
    for number in range(10):
        _hand_over(context.handover_wait, START + number, seconds)


@when("its keys become unavailable and {at:g} s later a request arrives with {left:g} s "
      "left, which runs {runs:g} s")  # fmt: skip
def request_arrives(context: Any, at: float, left: float, runs: float) -> None:
    context.handover_wait.start(START)
    context.max_wait_s = context.handover_wait.max_wait_s(left, runs, START + at)
    context.retry_delay_s = context.handover_wait.left_s(START + at)


@then("it waits for at most {seconds:g} s")
def waits(context: Any, seconds: float) -> None:
    assert abs(context.max_wait_s - seconds) < 0.01, context.max_wait_s


@then("it is refused with a retry delay of {seconds:g} s")
def refused(context: Any, seconds: float) -> None:
    assert context.max_wait_s == 0.0, context.max_wait_s
    assert abs(context.retry_delay_s - seconds) < 0.01, context.retry_delay_s


@then("keys are expected to be unavailable for {low:g} to {high:g} s")
def expected(context: Any, low: float, high: float) -> None:
    assert low <= context.handover_wait.mean_s <= high, context.handover_wait.mean_s


@when("its keys are unavailable for {duration:g} s and requests with {left:g} s left "
      "arrive every {every:g} s, which run {runs:g} s")  # fmt: skip
def requests_arrive(context: Any, duration: float, left: float, every: float, runs: float) -> None:
    context.handover_wait.start(START)
    context.refused, context.served, context.waited_then_refused = 0, 0, 0
    for number in range(round(duration / every)):
        arrived_at = number * every
        max_wait_s = context.handover_wait.max_wait_s(left, runs, START + arrived_at)
        if max_wait_s <= 0.0:
            context.refused += 1
        elif arrived_at + max_wait_s >= duration:
            context.served += 1
        else:
            context.waited_then_refused += 1


@then("{served:d} of {all_:d} are served, and the others were refused at once")
def outcome(context: Any, served: int, all_: int) -> None:
    assert context.waited_then_refused == 0, context.waited_then_refused
    assert (context.served, context.served + context.refused) == (served, all_), context.served
