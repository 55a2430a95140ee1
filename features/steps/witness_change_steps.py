"""Steps of witness sets that change, on the cores alone."""

import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

from behave import given, then, when
from cell_record_steps import SERVICE, _joiner, _names, _planned, _table

from pearward_coordination.agent import CellAgent, Send
from pearward_coordination.assignment import CellView, next_record
from pearward_coordination.lease import LeaseTiming
from pearward_coordination.messages import PeerId, Pull, ReleaseReply
from pearward_state.records import CellRecord

sys.path.insert(0, str(Path(__file__).parents[2]))

from tests.fuzz.cell_world import STEP_S, World

FROZEN_S = 0.7
"""Time that a frozen daemon is given to be taken for lost and given up."""


def _step(context: Any, seconds: float) -> None:
    for _ in range(round(seconds / STEP_S)):
        context.world.step()
        context.world.check()


# -- a cell of agents ------------------------------------------------------------


@given("a cell of {count:d} daemons, of which the first runs requests and is leaving")
def leaving(context: Any, count: int) -> None:
    world = context.world = World(count)
    world.take_role(world.nodes[0])
    _step(context, 1.0)
    first = world.nodes[0]
    for position in world.positions:
        world.start_request(first, position)
    first.agent.drain()
    _step(context, STEP_S)


@given("the first coordinates, over and over")
def coordinates(context: Any) -> None:
    for _ in range(3):
        context.world.take_role(context.world.nodes[0])


@when("one other is frozen until the record gives it up, the first is cut off, "
      "and the other goes on")  # fmt: skip
def cut_off(context: Any) -> None:
    world = context.world
    first, frozen = world.nodes[0], world.nodes[-1]
    frozen.paused = True
    _step(context, FROZEN_S)
    for other in world.nodes[1:]:
        world.cut |= {(first.address, other.address), (other.address, first.address)}
    frozen.paused = False


@then("for {seconds:g} seconds no key has two that can act on it")
def sole_owner(context: Any, seconds: float) -> None:
    _step(context, seconds)


# -- the next record ---------------------------------------------------------------


@given('an owner whose witnesses are being changed from "{former}" to "{present}"')
def changing(context: Any, former: str, present: str) -> None:
    names = former.split()
    context.cell_table = _table(names)
    joiners = tuple(_joiner(name) for name in names)
    formed = _planned(CellRecord(SERVICE, SERVICE), context.cell_table, joiners=joiners)
    first = replace(
        formed.members[0], witnesses=tuple(present.split()), former_witnesses=tuple(names)
    )
    context.record = replace(formed, members=(first, *formed.members[1:]))


@when('the owner and "{who}" of "{former}" act on that record')
def act_on(context: Any, who: str, former: str) -> None:
    version = context.record.version
    adopted = dict.fromkeys(former.split(), version - 1)
    adopted.update(dict.fromkeys((n for n in who.split() if n in adopted), version))
    adopted[context.record.members[0].incarnation] = version
    view = CellView(context.cell_table, adopted=adopted)
    context.planned = next_record(context.record, view, "w") or context.record


@then("the former witnesses count still")
def count_still(context: Any) -> None:
    first, before = context.planned.members[0], context.record.members[0]
    assert first.former_witnesses == before.former_witnesses, first


@then("the former witnesses count no more")
def count_no_more(context: Any) -> None:
    first, before = context.planned.members[0], context.record.members[0]
    assert not first.former_witnesses and first.witnesses == before.witnesses, first


# -- an heir -----------------------------------------------------------------------


@given("an heir that acts on version {version:d} of the record")
def heir(context: Any, version: int) -> None:
    names = _names(3)
    table = _table(names)
    formed = _planned(CellRecord(SERVICE, SERVICE), table, joiners=tuple(_joiner(n) for n in names))
    taken = _planned(formed, table, draining=frozenset({names[0]}))
    context.record = replace(taken, version=version)
    joiner = _joiner(names[1])
    me = PeerId(names[1], joiner.peer)
    context.heir = CellAgent(me, joiner, SERVICE, LeaseTiming())
    context.heir.adopt(context.record, context.record.to_bytes(), 10.0)


@when('a witness answers "released" and knows version {known:d}')
def answers(context: Any, known: int) -> None:
    owner, _, witness = context.record.members
    version = context.heir.ownership.awaited_releases()[owner.incarnation]
    reply = ReleaseReply(SERVICE, owner.incarnation, version, True, known, 0)
    sender = PeerId(witness.incarnation, witness.peer)
    context.actions = context.heir.receive(sender, reply, 20.0)
    context.after_own = context.heir.tick(20.1)


@then("the heir asks for that record and does not count the answer")
def asks(context: Any) -> None:
    witness = context.record.members[2]
    assert Send(witness.peer, Pull((f"cell/{SERVICE}",))) in context.actions, context.actions
    assert context.heir.ownership.awaited_releases(), "one witness of three was enough"
