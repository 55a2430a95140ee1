"""Steps that test changes of witness sets, on the cores without I/O."""

import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

from behave import given, then, when
from cell_record_steps import SERVICE, _joiner, plan_next_record, service_table

from pearward_coordination.assignment import CellView, next_record
from pearward_state.records import CellRecord

sys.path.insert(0, str(Path(__file__).parents[2]))

from tests.fuzz.cell_world import STEP_S, World

FROZEN_S = 0.7
"""Seconds for which a daemon stays frozen, enough for it to be considered lost and retired."""


def _step(context: Any, seconds: float) -> None:
    for _ in range(round(seconds / STEP_S)):
        context.world.step()
        context.world.check()


# -- a cell of agents ------------------------------------------------------------


@given("a cell of {count:d} daemons, of which the first runs requests and is draining")
def draining(context: Any, count: int) -> None:
    world = context.world = World(count)
    world.take_role(world.nodes[0])
    _step(context, 1.0)
    first = world.nodes[0]
    for position in world.positions:
        world.start_request(first, position)
    first.agent.drain()
    _step(context, STEP_S)


@given("the first takes the coordinator's role several times")
def take_role_repeatedly(context: Any) -> None:
    for _ in range(3):
        context.world.take_role(context.world.nodes[0])


@when("one other is frozen until the record retires it, the first is cut off, and the "
      "other is resumed")  # fmt: skip
def cut_off(context: Any) -> None:
    world = context.world
    first, frozen = world.nodes[0], world.nodes[-1]
    frozen.paused = True
    _step(context, FROZEN_S)
    for other in world.nodes[1:]:
        world.cut_links |= {(first.address, other.address), (other.address, first.address)}
    frozen.paused = False


@then("for {seconds:g} seconds no key has two owners that can act on it")
def sole_owner(context: Any, seconds: float) -> None:
    _step(context, seconds)


# -- the next record ---------------------------------------------------------------


@given('an owner whose witnesses are being changed from "{former}" to "{present}"')
def changing(context: Any, former: str, present: str) -> None:
    names = former.split()
    context.cell_table = service_table(names)
    joiners = tuple(_joiner(name) for name in names)
    formed = plan_next_record(CellRecord(SERVICE, SERVICE), context.cell_table, joiners=joiners)
    first = replace(
        formed.members[0], witnesses=tuple(present.split()), former_witnesses=tuple(names)
    )
    context.record = replace(formed, members=(first, *formed.members[1:]))


@when("the owner reports that it has released the keys that {which} record took")
def report_released(context: Any, which: str) -> None:
    released = context.record.version - (which == "an older")
    view = CellView(context.cell_table, released={context.record.members[0].incarnation: released})
    context.planned = next_record(context.record, view, "w") or context.record


@then("the former witnesses still count")
def still_count(context: Any) -> None:
    first, before = context.planned.members[0], context.record.members[0]
    assert first.former_witnesses == before.former_witnesses, first


@then("the former witnesses no longer count")
def no_longer_count(context: Any) -> None:
    first, before = context.planned.members[0], context.record.members[0]
    assert not first.former_witnesses and first.witnesses == before.witnesses, first


# -- former witnesses that have ended -----------------------------------------------


@given("a cell of {count:d} daemons that serves every key")
def serving(context: Any, count: int) -> None:
    world = context.world = World(count)
    world.take_role(world.nodes[0])
    _step(context, 1.0)
    assert world.served() == len(world.positions)


@when("both others have ended, and an operator releases them")
def others_end(context: Any) -> None:
    world = context.world
    for node in world.nodes[1:]:
        node.ended = True
    _step(context, 2.0)
    for node in world.nodes[1:]:
        world.nodes[0].role.core.force_release(node.incarnation)


@then("within {seconds:g} seconds the first serves every key")
def first_serves(context: Any, seconds: float) -> None:
    _step(context, seconds)
    assert context.world.served() == len(context.world.positions), context.world.platform.record
