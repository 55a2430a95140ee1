"""Steps for restarts of targets under their ids and of daemons in a given order."""

import re
import sys
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination.former_incarnation import (
    FirstHeartbeat,
    FormerIncarnation,
    Registration,
)
from pearward_coordination.grants import HeldRow
from pearward_coordination.incarnations import HeartbeatIdentity
from pearward_daemon.mesh.dialect import TargetLeave
from pearward_daemon.mesh.settings import GrantMode
from pearward_state.keymap import KEY_SPACE, KeyMap, KeyRange
from pearward_state.members import TargetState, target_id
from tests.fuzz.mesh_machine import DOMAINS, TIMING
from tests.fuzz.mesh_world import KEYS, Node, World, begin_world

FORMER, OTHER = "t", "other"
STARTED_AT = 100.0
HELD_UP_HEARTBEATS = re.compile(
    r"(\d+) (heartbeats|copies of a heartbeat) of target (\d+) are held up for ([\d.]+) s "
    r"and arrive ([\d.]+) s apart"
)
DELAYED_HEARTBEAT = re.compile(r"a heartbeat of target (\d+) is delayed by ([\d.]+) s")


@given("targets that own no keys")
def no_keys(context: Any) -> None:
    context.grant_mode = GrantMode.HEARTBEAT
    context.keyed = False


@given("{count:d} targets in two failure domains that have served for {seconds:g} s")
def fleet(context: Any, count: int, seconds: float) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.keyed = getattr(context, "keyed", True)
    world = context.world = begin_world(
        stack, count, TIMING, way=context.grant_mode, domains=DOMAINS,
        born=getattr(context, "born", False), keyed=context.keyed,
    )  # fmt: skip
    world.run(seconds)
    assert not context.keyed or world.served() == len(KEYS), world.served()
    context.unserved = []
    context.holders, context.fences = world.holders(), world.highest_fences()


@when("these follow each other: {order}")
def follow(context: Any, order: str) -> None:
    for event in order.split("; "):
        _play(context.world, event)


def _play(world: World, event: str) -> None:
    """Play one event: a pause, or what happens to a heartbeat, the store, daemons or targets."""
    delayed = DELAYED_HEARTBEAT.fullmatch(event)
    if delayed is not None:
        node = world.nodes[int(delayed[1])]
        assert node.target is not None
        world.late_beat(node, node.target, float(delayed[2]))
        return
    held_up = HELD_UP_HEARTBEATS.fullmatch(event)
    if held_up is not None:
        count, what, node, delay_s, apart_s = held_up.groups()
        delays_s = [float(delay_s) + number * float(apart_s) for number in range(int(count))]
        _hold_up(world, world.nodes[int(node)], delays_s, copies=what != "heartbeats")
        return
    if event.endswith(" s"):
        world.run(float(event.removesuffix(" s")))
        return
    if event.startswith("a former target of instance "):
        node = world.nodes[int(event.split(" ")[5])]
        assert node.daemon is not None
        node.daemon.core.local_target.leave(TargetLeave("i-former"))
        return
    subject, _, happens = event.rpartition(" ")
    if subject == "the store":
        world.store_down = happens == "fails"
        return
    words = subject.removesuffix(" is").split(" ")
    nodes = world.nodes if words[0] == "all" else [world.nodes[int(words[1])]]
    what = words[1] if words[0] == "all" else f"{words[0]}s"
    for node in nodes:
        _happen(world, node, f"{what} {happens}")


def _hold_up(world: World, node: Node, delays_s: list[float], *, copies: bool) -> None:
    """Hold up the next heartbeats of a target, or copies of its last one.

    They arrive at whichever daemon runs then.
    """
    assert node.target is not None
    for delay_s in delays_s:
        world.late_beat(node, node.target, delay_s, any_daemon=True, copy=copies)


def _happen(world: World, node: Node, event: str) -> None:
    match event.replace("restarts", "restart").replace("ends", "end"):
        case "daemons restart":
            world.start_daemon(node)
        case "daemons end":
            world.end_daemon(node)
        case "daemons freeze":
            world.freeze(node)
        case "daemons thaw":
            world.thaw(node)
        case "targets restart":
            world.restart_target(node, born=False)
        case "targets leaves":
            assert node.target is not None
            node.target.leave()
        case "targets drains":
            assert node.target is not None
            node.target.draining = True
        case "targets end":
            world.end_target(node)
        case "targets replaced":
            world.end_target(node)
            world.start_target(node)
        case unknown:
            raise ValueError(unknown)


@then("no key is without its holder in the next {seconds:g} s")
def no_gap(context: Any, seconds: float) -> None:
    world = context.world
    end = world.now + seconds
    while world.now < end:
        world.step()
        world.check()
        assert world.holders() == context.holders, round(world.now, 2)


@then("no target that has left is offered in the next {seconds:g} s")
def not_offered(context: Any, seconds: float) -> None:
    # The oracle checks it every tick.
    context.world.run(seconds)
    assert not context.keyed or context.world.served() == len(KEYS)


@then("target {number:d} is offered after {seconds:g} s")
def is_offered(context: Any, number: int, seconds: float) -> None:
    context.world.run(seconds)
    node = context.world.nodes[number]
    info = node.daemon.core.local_target.info
    assert info is not None, node.daemon.log.counts
    assert target_id(info.target) == node.target.id, (info, node.target.id)
    assert info.state is TargetState.READY, (info, node.daemon.log.counts)


@then("no fence has risen")
def no_higher_fence(context: Any) -> None:
    assert context.world.highest_fences() == context.fences


# -- the first heartbeat after a start ---------------------------------------------------


@given("a daemon that starts {seconds:g} s after the last renewal of its former process's entry")
def daemon_starts(context: Any, seconds: float) -> None:
    context.registration = Registration(FORMER, STARTED_AT - seconds)


@given("its target owned keys {first:d} to {last:d} under fence {fence:d}")
def target_owned(context: Any, first: int, last: int, fence: int) -> None:
    ranges = (KeyRange(first, last, FORMER, fence), KeyRange(last + 1, KEY_SPACE - 1, OTHER, fence))
    context.key_map = KeyMap("roster-app", fence, ranges, fence)


@when("the first heartbeat is received after {seconds:g} s, number {evidence}")
def first_heartbeat(context: Any, seconds: float, evidence: str) -> None:
    number, _, condition = evidence.partition(", ")
    held: tuple[HeldRow, ...] = ()
    key_map, registration = context.key_map, context.registration
    words = condition.split(" ")
    if "held" in words:
        held = (HeldRow(int(words[2]), int(words[4]), int(words[-1])),)
    elif condition == "with the key map of a restored store":
        key_map = replace(key_map, unsettled=True)
    elif condition == "with the entry of another incarnation":
        registration = replace(registration, target=f"{FORMER}~5")
    elif condition == "with no entry":
        registration = None
    elif condition == "with all keys moved to others":
        ranges = (KeyRange(0, KEY_SPACE - 1, OTHER, 6),)
        key_map = replace(key_map, ranges=ranges, fence=6)
    cold_s = 1.0 if condition == "still cold" else 0.0
    heartbeat = FirstHeartbeat(STARTED_AT + seconds, int(number), cold_s, held)
    context.counts = FormerIncarnation(FORMER, key_map, registration).has_sent(heartbeat)


@then("the former process has sent it")
def sent_by_former(context: Any) -> None:
    assert context.counts


@then("the next process has sent it")
def sent_by_next(context: Any) -> None:
    assert not context.counts


# -- heartbeats at one daemon ---------------------------------------------------------------------


def _incarnation(context: Any, sequence: int) -> str | None:
    ended = getattr(context, "process_ended", False)
    identity = HeartbeatIdentity("t", None, sequence, holds_nothing=not ended, process_ended=ended)
    return context.clock.incarnation_of(identity, context.now, 99_000)


@when("heartbeats {first:d} to {last:d} arrive together {seconds:g} s later")
def arrive_together(context: Any, first: int, last: int, seconds: float) -> None:
    context.now += seconds
    for sequence in range(first, last + 1):
        assert _incarnation(context, sequence) is None, sequence


@when('all connections to "t" have closed')
def connections_closed(context: Any) -> None:
    context.process_ended = True
    context.now += 0.3


@then("heartbeat {sequence:d} is late")
def is_late(context: Any, sequence: int) -> None:
    assert _incarnation(context, sequence) is None


@then('heartbeat {sequence:d} belongs to another incarnation of "t"')
def belongs_to_another(context: Any, sequence: int) -> None:
    context.now += 0.87
    assert _incarnation(context, sequence) == "t~99000"
