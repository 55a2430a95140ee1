"""Steps of a store that comes back from an older copy, in virtual time."""

from typing import Any

from behave import then, when

MOVES_S = 4.0
"""Seconds in which a target that leaves hands all of its keys over."""


@when("the store is copied and targets {one:d} and {other:d} hand over, one after the other")
def copy_and_move(context: Any, one: int, other: int) -> None:
    world = context.world
    context.copy = world.store.copy()
    before = world.highest_fences()
    for number in (one, other):
        world.nodes[number].target.draining = True
        world.run(MOVES_S)
    context.fences = world.highest_fences()
    assert any(context.fences[key] > fence for key, fence in before.items())


@when("everything loses power, the store goes back and all starts again after {seconds:g} s")
def power_loss(context: Any, seconds: float) -> None:
    world = context.world
    for node in world.nodes:
        world.end_daemon(node)
        world.end_target(node)
    world.store.go_back(context.copy)
    world.run(seconds)
    for node in world.nodes:
        world.start_target(node)
        world.start_daemon(node)


@then("the fences that were given are above all earlier ones")
def fences_rose(context: Any) -> None:
    # Each grant was checked when it was taken; this shows that there were some.
    now = context.world.highest_fences()
    assert all(now[key] > fence for key, fence in context.fences.items()), now
