"""Steps of targets that start again under their id, in virtual time."""

import sys
from pathlib import Path
from typing import Any

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination.incarnations import HeartbeatIdentity, IncarnationTracker
from pearward_daemon.mesh.settings import GrantMode
from pearward_state.members import target_id

LATE_S = 12.0


@given("targets that take keys by heartbeats")
def by_heartbeat(context: Any) -> None:
    context.way = GrantMode.HEARTBEAT


@given("targets that tell when they were born")
def born_told(context: Any) -> None:
    context.born = True


@given("targets that do not tell when they were born")
def born_not_told(context: Any) -> None:
    context.born = False


@when("target {number:d} starts again under its id")
def starts_again_as_before(context: Any, number: int) -> None:
    starts_again(context, number, "told" if context.born else "not told")


@when("target {number:d} starts again under its id, born {told}")
def starts_again(context: Any, number: int, told: str) -> None:
    node = context.world.nodes[number]
    context.former = node.daemon.core.local_target.grant_manager.target
    context.world.restart_target(node, born=told == "told")


@when("{seconds:g} s pass and target {number:d} starts again under its id")
def starts_again_later(context: Any, seconds: float, number: int) -> None:
    context.world.run(seconds)
    context.world.restart_target(context.world.nodes[number], born=True)


@when("target {number:d} starts again under its id {times:d} times, {seconds:g} s apart")
def starts_again_often(context: Any, number: int, times: int, seconds: float) -> None:
    for _ in range(times):
        context.world.restart_target(context.world.nodes[number], born=True)
        context.world.run(seconds)


@when("target {number:d} starts again under its id, and its daemon at the same moment")
def both_start_again(context: Any, number: int) -> None:
    node = context.world.nodes[number]
    context.world.restart_target(node, born=True)
    context.world.start_daemon(node)


@when("target {number:d} starts again under its id, and one heartbeat of its former life comes "
      "{order}")  # fmt: skip
def late_beat_of_former(context: Any, number: int, order: str) -> None:
    world, node = context.world, context.world.nodes[number]
    former = node.target
    world.restart_target(node, born=True)
    delay_s = {"0.3": 0.3, "3": 3.0}.get(order.split(" ")[0], 0.0)
    world.late_beat(node, former, delay_s)
    context.newest = node.target


@then("the daemon beside target {number:d} knows two lives of it")
def two_lives(context: Any, number: int) -> None:
    now = context.world.nodes[number].daemon.core.local_target.grant_manager.target
    assert now != context.former, now
    assert target_id(now) == target_id(context.former), (now, context.former)


@then("the daemon beside target {number:d} knows the newer life")
def newer_life(context: Any, number: int) -> None:
    now = context.world.nodes[number].daemon.core.local_target.grant_manager.target
    assert now == f"{context.newest.id}~{context.newest._started_ms}", now


# -- what one daemon makes of heartbeats ----------------------------------------------------------


def _hear(context: Any, sequence: int, started_ms: int | None = None) -> str | None:
    context.now += 0.87
    sign = HeartbeatIdentity("t", started_ms, sequence, holds_nothing=True)
    return context.clock.incarnation_of(sign, context.now, 99_000)


@given('a daemon that has heard heartbeats 1 to {last:d} of "t"')
@given('a daemon that has heard heartbeats 1 to {last:d} of "t" born at {born:d}')
def heard_beats(context: Any, last: int, born: int | None = None) -> None:
    context.clock = IncarnationTracker()
    context.now = 100.0
    for sequence in range(1, last + 1):
        assert _hear(context, sequence, born) is not None


@when("heartbeats {one:d} and {other:d} come late at the same moment")
def late_together(context: Any, one: int, other: int) -> None:
    context.now += LATE_S
    signs = [
        HeartbeatIdentity("t", None, sequence, holds_nothing=True) for sequence in (one, other)
    ]
    context.late = [context.clock.incarnation_of(s, context.now, 99_000) for s in signs]


@then("both are late ones")
def both_late(context: Any) -> None:
    assert context.late == [None, None], context.late


@then('heartbeat {sequence:d} is of "{name}"')
@then('heartbeat {sequence:d} born at {born:d} is of "{name}"')
def beat_is_of(context: Any, sequence: int, name: str, born: int | None = None) -> None:
    found = _hear(context, sequence, born)
    assert found == name, found


@then("heartbeat {sequence:d} born at {born:d} is late")
def beat_is_late(context: Any, sequence: int, born: int) -> None:
    assert _hear(context, sequence, born) is None
