"""Steps for a planned stop while the coordinator's role moves, in virtual time."""

import sys
from pathlib import Path
from typing import Any

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from tests.fuzz.cell_world import STEP_S, World, shards_of

SETTLED_S = 1.0
"""Time in which a cell forms or a member's shards move, with several heartbeats."""
AFTERWARDS_S = 1.5
"""Time after the last change, longer than the age at which a report is out of date."""


def _run(world: World, seconds: float) -> None:
    for _ in range(round(seconds / STEP_S)):
        world.step()
        world.check()


def _formed(context: Any, count: int) -> World:
    """Return a cell that serves; its first daemon coordinates, its last one will leave."""
    world = context.world = World(count)
    context.leaving = world.nodes[-1]
    world.take_role(world.nodes[0])
    _run(world, SETTLED_S)
    assert world.served() == len(world.positions)
    return world


def _shards_left(context: Any) -> int:
    return shards_of(context.world.platform.record, context.leaving.incarnation)


@given("a cell of {count:d} daemons, the last of which has no shards left in a planned stop")
def planned_stop(context: Any, count: int) -> None:
    world = _formed(context, count)
    assert _shards_left(context)
    context.leaving.agent.drain()
    _run(world, SETTLED_S)
    assert not _shards_left(context)
    context.version = world.platform.record.version


@given("a cell of {count:d} daemons that follow a new coordinator, while the former one goes on")
def former_goes_on(context: Any, count: int) -> None:
    world = _formed(context, count)
    world.take_role(world.nodes[1])
    _run(world, SETTLED_S)
    assert world.nodes[0].role is not None


@when("the role moves, and the leaving daemon's heartbeats arrive {late_s:g} s late")
def role_moves_heartbeats_late(context: Any, late_s: float) -> None:
    _move_role(context)
    heartbeats_late(context, late_s)


@when("the role moves, and the leaving daemon's heartbeats arrive never")
def role_moves_heartbeats_lost(context: Any) -> None:
    _move_role(context)
    context.world.delay_heartbeats(context.leaving)
    _run(context.world, AFTERWARDS_S)


def _move_role(context: Any) -> None:
    """Move the role to the second daemon; the first one gives it up at once."""
    former, new, *_ = context.world.nodes
    context.world.take_role(new)
    former.role = None


@when("the leaving daemon's heartbeats arrive {late_s:g} s late")
def heartbeats_late(context: Any, late_s: float) -> None:
    world = context.world
    world.delay_heartbeats(context.leaving)
    _run(world, late_s)
    world.deliver_heartbeats(context.leaving)
    _run(world, AFTERWARDS_S)


@when("the role moves, and the daemons follow the new coordinator {apart_s:g} s after each other")
def followed_one_by_one(context: Any, apart_s: float) -> None:
    world = context.world
    new = world.nodes[1]
    world.take_role(new, followed=False)
    for node in world.nodes:
        _run(world, apart_s)
        node.agent.set_coordinator(new.address)
    _run(world, AFTERWARDS_S)


@when("the last daemon begins a planned stop, and {seconds:g} s pass")
def planned_stop_begins(context: Any, seconds: float) -> None:
    context.version = context.world.platform.record.version
    context.leaving.agent.drain()
    _run(context.world, seconds)


@then("no record gives the leaving daemon shards again")
def no_shards_again(context: Any) -> None:
    name = context.leaving.incarnation
    since = [r for r in context.world.platform.history if r.version >= context.version]
    held = [(r.version, shards_of(r, name), r.write_id) for r in since]
    first_without = next((i for i, (_, count, _) in enumerate(held) if not count), None)
    assert first_without is not None, held
    again = [entry for entry in held[first_without:] if entry[1]]
    assert not again, f"{len(again)} of {len(held)} records give shards again: {again}"


@then("at most {count:d} records have been written since")
def few_records(context: Any, count: int) -> None:
    written = context.world.platform.record.version - context.version
    assert written <= count, written
