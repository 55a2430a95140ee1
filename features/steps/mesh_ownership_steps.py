"""Steps for exclusive ownership, in virtual time; the oracle checks every tick."""

import sys
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination.grants import GrantTiming
from pearward_daemon.mesh.dialect import TargetHeartbeat
from pearward_daemon.mesh.settings import GrantMode, MeshSettings
from pearward_state.keymap import KEY_SPACE
from pearward_state.members import TargetState
from tests.fuzz import mesh_world
from tests.fuzz.mesh_cases import CASES
from tests.fuzz.mesh_world import KEYS, TICK_S, World, begin_world


def _world(context: Any, count: int) -> World:
    """Start a fleet whose components all use its virtual clock."""
    stack = ExitStack()
    context.add_cleanup(stack.close)
    grant_mode = getattr(context, "grant_mode", GrantMode.HEARTBEAT)
    born = getattr(context, "born", False)
    world = begin_world(stack, count, GrantTiming(), way=grant_mode, born=born)
    context.world = world
    context.unserved = []
    return world


def _run(context: Any, seconds: float) -> None:
    """Advance the time and record the ticks in which a key has no holder."""
    world = context.world
    for _ in range(round(seconds / TICK_S)):
        world.step()
        world.check()
        if world.served() < len(KEYS):
            context.unserved.append(world.now)


@given("targets that take their keys by calls")
def by_calls(context: Any) -> None:
    context.grant_mode = GrantMode.CALL


@given("a fleet of {count:d} targets")
def fleet(context: Any, count: int) -> None:
    _world(context, count)


@given("a fleet of {count:d} targets that serves")
def serving_fleet(context: Any, count: int) -> None:
    world = _world(context, count)
    world.run(8.0)
    assert world.served() == len(KEYS), world.served()
    context.holders_before = world.holders()


@when("daemon {number:d} is isolated from its peers")
def isolate(context: Any, number: int) -> None:
    context.world.nodes[number].cut_from_peers = True


@when("instance {number:d} is lost permanently")
def lose_instance(context: Any, number: int) -> None:
    context.world.lose(context.world.nodes[number])


@when("the store is unavailable for {seconds:g} s")
def store_unavailable(context: Any, seconds: float) -> None:
    context.world.store_down = True
    _run(context, seconds)
    context.world.store_down = False
    _run(context, 4.0)


@given("a fleet of {count:d} targets of which instance {number:d} has the fastest link")
def fleet_with_fast_link(context: Any, count: int, number: int) -> None:
    default_settings = mesh_world._settings

    def settings(instance: int, timing: GrantTiming, grant_mode: GrantMode) -> MeshSettings:
        rate = 1000.0 if instance == number else 6.0
        return replace(default_settings(instance, timing, grant_mode), link_mbit_per_s=rate)

    patch = mock.patch.object(mesh_world, "_settings", settings)
    patch.start()
    context.add_cleanup(patch.stop)
    _world(context, count)


@when("it has served for {seconds:g} s")
def run_for(context: Any, seconds: float) -> None:
    _run(context, seconds)


@then("daemon {number:d} is the planner, and all report to it")
def all_report_to(context: Any, number: int) -> None:
    planners = [node.daemon.core.planner for node in context.world.nodes]
    assert [planner.is_active_planner for planner in planners] == [
        n == number for n in range(len(planners))
    ]
    assert {p.active_planner().instance for p in planners} == {f"instance-{number}"}


@then("daemon {number:d} is the planner")
def is_planner(context: Any, number: int) -> None:
    assert context.world.nodes[number].daemon.core.planner.is_active_planner


@when("the planner is cut off from the store for {seconds:g} s and its entry is removed at once")
def planner_cut_off(context: Any, seconds: float) -> None:
    world = context.world
    planner = next(node for node in world.nodes if node.daemon.core.planner.is_active_planner)
    planner.cut_from_store = True
    world.store.remove(f"members/instance-{planner.number}")
    _run(context, seconds)
    assert any(n.daemon.core.planner.is_active_planner for n in world.nodes if n is not planner)
    planner.cut_from_store = False


@then("{seconds:g} s later no key has changed its holder either")
def still_held(context: Any, seconds: float) -> None:
    _run(context, seconds)
    assert context.world.holders() == context.holders_before


@when("daemon {number:d} restarts and gets no key map from the store")
def restart_without_map(context: Any, number: int) -> None:
    world = context.world
    node = world.nodes[number]
    world.start_daemon(node)
    node.daemon.core.key_maps_read = lambda key_maps, era: None


@then("daemon {number:d} knows the key map after {seconds:g} s")
def knows_map(context: Any, number: int, seconds: float) -> None:
    _run(context, seconds)
    assert context.world.nodes[number].daemon.core.key_maps.version("roster-app")


@then("daemon {number:d} has its entry again")
def entry_again(context: Any, number: int) -> None:
    assert f"members/instance-{number}" in context.world.store.items


@when("the store discards its history")
def discard_history(context: Any) -> None:
    store = context.world.store
    store.remove("members/of-nobody")
    store.revision += 1
    store.forgotten = store.revision


@then("the store gets at most {most:d} calls within {seconds:g} s")
def few_calls(context: Any, most: int, seconds: float) -> None:
    before = context.world.store.calls
    _run(context, seconds)
    calls = context.world.store.calls - before
    assert calls <= most, calls


@when("the store removes the entry of daemon {number:d}, but not its lease")
def remove_entry(context: Any, number: int) -> None:
    context.world.store.remove(f"members/instance-{number}")


@when("all daemons are killed and restart after {seconds:g} s")
def restart_all(context: Any, seconds: float) -> None:
    for node in context.world.nodes:
        context.world.end_daemon(node)
    context.world.run(seconds)
    for node in context.world.nodes:
        context.world.start_daemon(node)


@when("all instances lose power and restart after {seconds:g} s")
def power_loss(context: Any, seconds: float) -> None:
    for node in context.world.nodes:
        context.world.end_daemon(node)
        context.world.end_target(node)
    context.world.run(seconds)
    for node in context.world.nodes:
        context.world.start_target(node)
        context.world.start_daemon(node)


@when("target {number:d} starts to drain")
def start_draining(context: Any, number: int) -> None:
    context.world.nodes[number].target.draining = True


@when(
    "the next write to the store is applied {late:g} s late and target {number:d} starts to drain"
)
def late_write(context: Any, late: float, number: int) -> None:
    context.world.lose_writes([late])
    context.world.nodes[number].target.draining = True


@when("daemon {number:d} is suspended for {seconds:g} s")
def suspend(context: Any, number: int, seconds: float) -> None:
    node = context.world.nodes[number]
    context.world.freeze(node)
    context.world.run(seconds)
    context.world.thaw(node)


@when(
    "neighbouring keys of target {number:d} are requested {rate:d} times a second for {seconds:g} s"
)
def hot_keys(context: Any, number: int, rate: int, seconds: float) -> None:
    world = context.world
    node = world.nodes[number]
    first = world.key_of(node)
    context.hot_keys = range(first, first + 200)
    for _ in range(round(seconds * 10)):
        world.load(node, first, rate // 10)
        for other in world.nodes:
            if other is not node:
                world.load(other, world.key_of(other), rate // 80)
        _run(context, 0.1)


STOPPING_S, RESTART_S = 3.0, 1.4
"""Seconds a daemon keeps running after it was told to stop, and seconds until it has restarted."""


@when(
    "each target gets {rate:d} requests a second while daemon {number:d} is stopped and restarted"
)
def stop_and_restart(context: Any, rate: int, number: int) -> None:
    world = context.world
    node = world.nodes[number]

    def send_load(seconds: float) -> None:
        for _ in range(round(seconds * 4)):
            for target_node in [n for n in world.nodes if n.target.rows]:
                world.load(target_node, world.key_of(target_node), rate // 4)
            _run(context, 0.25)

    send_load(4.0)
    # Moves that balanced the load before the stop are not counted as its effect.
    context.holders_before = world.holders()
    context.unserved.clear()
    node.daemon.core.stop()
    send_load(STOPPING_S)
    context.held_at_end = [key for key in KEYS if node.target.holds(key)]
    node.daemon.core.session.stop(keep_entry=True)
    world.end_daemon(node)
    send_load(RESTART_S)
    world.start_daemon(node)
    send_load(3.0)


@then("target {number:d} held no key when its daemon exited")
def held_none(context: Any, number: int) -> None:
    assert not context.held_at_end


@then("no key was unserved for more than {seconds:g} s in total")
def unserved_for(context: Any, seconds: float) -> None:
    assert len(context.unserved) * TICK_S <= seconds, len(context.unserved) * TICK_S


@when("daemon {number:d} gets heartbeat {sequence:d} of another target")
def heartbeat_of_other_target(context: Any, number: int, sequence: int) -> None:
    context.other = f"i-other-{sequence}"
    target_heartbeat = TargetHeartbeat(
        context.other,
        "roster-app",
        "127.0.0.1:1",
        "a",
        12,
        TargetState.READY,
        0.0,
        sequence,
        (),
        (),
    )
    context.world.nodes[number].daemon.core.local_target.target_heartbeat(target_heartbeat)


@when(
    "daemon {number:d}, with connections open to its target, gets heartbeat {sequence:d} of "
    "another target"
)
def heartbeat_while_connected(context: Any, number: int, sequence: int) -> None:
    context.world.nodes[number].daemon.core.local_target.client.open_connections = 3
    heartbeat_of_other_target(context, number, sequence)


@then("daemon {number:d} keeps its target")
def keeps_target(context: Any, number: int) -> None:
    node = context.world.nodes[number]
    assert node.daemon.core.local_target.grant_manager.target == node.target.id


@then("daemon {number:d} switches to the new target")
def switches_target(context: Any, number: int) -> None:
    assert (
        context.world.nodes[number].daemon.core.local_target.grant_manager.target == context.other
    )


@then("some of them are held by another target")
def moved(context: Any) -> None:
    world = context.world
    _run(context, 1.5)
    owners = {
        node.target.id for key in context.hot_keys for node in world.nodes if node.target.holds(key)
    }
    assert len(owners) > 1, owners


@then("every key is served after {seconds:g} s")
@then("every key is served by others after {seconds:g} s")
def served_after(context: Any, seconds: float) -> None:
    _run(context, seconds)
    missing = [k for k in KEYS if k not in context.world.holders()]
    assert not missing, (len(missing), missing[:5])


@then("every key was served for {seconds:g} s")
def served_for(context: Any, seconds: float) -> None:
    _run(context, seconds)
    assert not context.unserved, context.unserved[:3]


@then("every key was served all the time")
def served_always(context: Any) -> None:
    assert not context.unserved, context.unserved[:3]


@then("no key changed its holder")
def unmoved(context: Any) -> None:
    assert context.world.holders() == context.holders_before


@then("no key ever had two holders")
def one_holder(context: Any) -> None:
    _run(context, 5.0)


@then("target {number:d} holds no key after {seconds:g} s")
def holds_none(context: Any, number: int, seconds: float) -> None:
    _run(context, seconds)
    assert not [k for k in KEYS if context.world.nodes[number].target.holds(k)]


# -- rules that are removed -----------------------------------------------------------------


@given('the rule "{rule}" is removed')
def remove_rule(context: Any, rule: str) -> None:
    context.case = CASES[rule]


@when("the case for it is run")
def run_case(context: Any) -> None:
    case = context.case
    context.grant_mode = case.way
    # With the rule in force the same case must violate nothing.
    _run_case(context, case.scenario)
    assert not context.violation, context.violation
    with mock.patch.object(case.owner, case.attribute, case.replacement):
        _run_case(context, case.scenario)


def _run_case(context: Any, scenario: Callable[[World], None]) -> None:
    world = _world(context, 4)
    context.violation = ""
    try:
        world.run(8.0)
        scenario(world)
    except AssertionError as error:
        context.violation = str(error)


@then("two holders are found")
def two_holders(context: Any) -> None:
    assert context.violation


# -- keys by calls ------------------------------------------------------------------------


@when("the next {count:d} grants get no reply and are taken up to {seconds:g} s late")
def lose_replies(context: Any, count: int, seconds: float) -> None:
    delays = [(0.5,), (2.0, seconds), (0.0, 2.5), (seconds,)]
    context.world.lose_orders([delays[n % len(delays)] for n in range(count)])


@when("target {number:d} reports that it has seen a higher fence for all its keys")
def seen_higher(context: Any, number: int) -> None:
    world = context.world
    node = world.nodes[number]
    node.target.note_other_grant(0, KEY_SPACE - 1, 1_000_000)
    context.offers = world.record_grants(node)
    context.map_requests = world.record_map_requests(node)
    world.run(3.0)


@then(
    "daemon {number:d} asks for a newer map and offers the same fences at most {most:d} times "
    "a second"
)
def asks_for_map(context: Any, number: int, most: int) -> None:
    key_map = context.world.nodes[number].daemon.core.key_maps.of("roster-app")
    assert context.map_requests, "the daemon asked for no newer map"
    assert all(row.fence <= key_map.fence for row in context.offers), context.offers
    rows = len({(row.first, row.last) for row in context.offers})
    assert len(context.offers) <= most * 3 * max(1, rows), len(context.offers)


@when(
    "target {number:d} is replaced, and its daemon restarts {seconds:g} s later and gets a "
    "late heartbeat of the former target"
)
def late_heartbeat_after_restart(context: Any, number: int, seconds: float) -> None:
    world = context.world
    node = world.nodes[number]
    former = node.target.id
    world.end_target(node)
    world.start_target(node)
    world.run(seconds)
    world.start_daemon(node)
    target_heartbeat = TargetHeartbeat(
        former, "roster-app", "127.0.0.1:1", "a", 12, TargetState.READY, 0.0, 40, (), ()
    )
    node.daemon.core.local_target.target_heartbeat(target_heartbeat)
    assert node.daemon.core.local_target.grant_manager.target == former


@then("daemon {number:d} knows the present target after {seconds:g} s")
def knows_present_target(context: Any, number: int, seconds: float) -> None:
    world = context.world
    node = world.nodes[number]
    world.run(seconds)
    assert node.daemon.core.local_target.grant_manager.target == node.target.id
