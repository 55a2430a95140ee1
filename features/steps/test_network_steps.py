"""Steps for the loopback networks of test clusters."""

from typing import Any

from behave import then, when

from pearward_devtools.networks import ClaimedNetwork


@when("two loopback networks are claimed at once")
def claim_two(context: Any) -> None:
    context.claimed = [ClaimedNetwork.claim(), ClaimedNetwork.claim()]


@then("they differ")
def differ(context: Any) -> None:
    first, second = context.claimed
    assert first.prefix != second.prefix, first.prefix


@then("a network that was released can be claimed again")
def claimed_again(context: Any) -> None:
    first, second = context.claimed
    first.release()
    again = ClaimedNetwork.claim()
    assert again.prefix == first.prefix, (again.prefix, first.prefix)
    again.release()
    second.release()
