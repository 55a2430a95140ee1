"""Steps for targets that restart under their id, in virtual time."""

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
    context.grant_mode = GrantMode.HEARTBEAT


@given("targets that report their start time")
def start_time_reported(context: Any) -> None:
    context.born = True


@given("targets that do not report their start time")
def start_time_not_reported(context: Any) -> None:
    context.born = False


@when("target {number:d} restarts under its id")
def restarts_as_before(context: Any, number: int) -> None:
    restarts(context, number, "reported" if context.born else "not reported")


@when("target {number:d} restarts under its id, start time {reported}")
def restarts(context: Any, number: int, reported: str) -> None:
    node = context.world.nodes[number]
    context.former = node.daemon.core.local_target.grant_manager.target
    context.world.restart_target(node, born=reported == "reported")


@when("{seconds:g} s pass and target {number:d} restarts under its id")
def restarts_later(context: Any, seconds: float, number: int) -> None:
    context.world.run(seconds)
    context.world.restart_target(context.world.nodes[number], born=True)


@when("target {number:d} restarts under its id {times:d} times, {seconds:g} s apart")
def restarts_often(context: Any, number: int, times: int, seconds: float) -> None:
    for _ in range(times):
        context.world.restart_target(context.world.nodes[number], born=True)
        context.world.run(seconds)


@when("target {number:d} restarts under its id, and its daemon at the same moment")
def both_restart(context: Any, number: int) -> None:
    node = context.world.nodes[number]
    context.world.restart_target(node, born=True)
    context.world.start_daemon(node)


@when(
    "target {number:d} restarts under its id, and one heartbeat of its former incarnation "
    "arrives {order}"
)
def late_heartbeat_of_former(context: Any, number: int, order: str) -> None:
    world, node = context.world, context.world.nodes[number]
    former = node.target
    world.restart_target(node, born=True)
    delay_s = {"0.3": 0.3, "3": 3.0}.get(order.split(" ")[0], 0.0)
    world.late_beat(node, former, delay_s)
    context.newest = node.target


@then("the daemon of target {number:d} distinguishes its two incarnations")
def two_incarnations(context: Any, number: int) -> None:
    now = context.world.nodes[number].daemon.core.local_target.grant_manager.target
    assert now != context.former, now
    assert target_id(now) == target_id(context.former), (now, context.former)


@then("the daemon of target {number:d} knows its newer incarnation")
def newer_incarnation(context: Any, number: int) -> None:
    now = context.world.nodes[number].daemon.core.local_target.grant_manager.target
    assert now == f"{context.newest.id}~{context.newest._started_ms}", now


# -- heartbeats at one daemon ---------------------------------------------------------------------


def _receive(context: Any, sequence: int, started_ms: int | None = None) -> str | None:
    context.now += 0.87
    identity = HeartbeatIdentity("t", started_ms, sequence, holds_nothing=True)
    return context.clock.incarnation_of(identity, context.now, 99_000)


@given('a daemon that has received heartbeats 1 to {last:d} of "t"')
@given('a daemon that has received heartbeats 1 to {last:d} of "t" with start time {started_ms:d}')
def received_heartbeats(context: Any, last: int, started_ms: int | None = None) -> None:
    context.clock = IncarnationTracker()
    context.now = 100.0
    for sequence in range(1, last + 1):
        assert _receive(context, sequence, started_ms) is not None


@when("heartbeats {one:d} and {other:d} arrive late at the same moment")
def arrive_late_together(context: Any, one: int, other: int) -> None:
    context.now += LATE_S
    identities = [
        HeartbeatIdentity("t", None, sequence, holds_nothing=True) for sequence in (one, other)
    ]
    context.late = [
        context.clock.incarnation_of(identity, context.now, 99_000) for identity in identities
    ]


@then("both are recognised as late")
def both_late(context: Any) -> None:
    assert context.late == [None, None], context.late


@then('heartbeat {sequence:d} belongs to "{name}"')
@then('heartbeat {sequence:d} with start time {started_ms:d} belongs to "{name}"')
def heartbeat_belongs_to(
    context: Any, sequence: int, name: str, started_ms: int | None = None
) -> None:
    found = _receive(context, sequence, started_ms)
    assert found == name, found


@then("heartbeat {sequence:d} with start time {started_ms:d} is late")
def heartbeat_is_late(context: Any, sequence: int, started_ms: int) -> None:
    assert _receive(context, sequence, started_ms) is None
