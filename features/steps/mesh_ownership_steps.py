"""Steps of sole ownership in virtual time; the oracle looks at every tick."""

import sys
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination import grants, target_witness
from pearward_coordination.grants import GrantTiming
from pearward_coordination.messages import ReleaseReply, RenewReply
from pearward_daemon.mesh import target_lease
from pearward_daemon.mesh.dialect import TargetBeat
from pearward_daemon.mesh.settings import MeshSettings
from pearward_state.keymap import KeyMap, Predecessor
from pearward_state.members import TargetState
from tests.fuzz import mesh_world
from tests.fuzz.mesh_world import KEYS, TICK_S, Node, World, virtual_time


def _world(context: Any, count: int) -> World:
    """Start a fleet whose parts all read its time."""
    stack = ExitStack()
    context.add_cleanup(stack.close)
    world = World.__new__(World)
    stack.enter_context(virtual_time(lambda: world))
    world.__init__(count, GrantTiming())  # type: ignore[misc]
    context.world = world
    context.unserved = []
    return world


def _holders(world: World) -> dict[int, str]:
    return {
        key: node.target.id
        for key in KEYS
        for node in world.nodes
        if node.target is not None and node.target.holds(key)
    }


def _run(context: Any, seconds: float) -> None:
    """Let time pass; note the ticks in which a key had no holder."""
    world = context.world
    for _ in range(round(seconds / TICK_S)):
        world.step()
        world.check()
        if world.served() < len(KEYS):
            context.unserved.append(world.now)


@given("a fleet of {count:d} targets")
def fleet(context: Any, count: int) -> None:
    _world(context, count)


@given("a fleet of {count:d} targets that serves")
def serving_fleet(context: Any, count: int) -> None:
    world = _world(context, count)
    world.run(8.0)
    assert world.served() == len(KEYS), world.served()
    context.before = _holders(world)


@when("the peers of daemon {number:d} are cut off")
def cut_off(context: Any, number: int) -> None:
    context.world.nodes[number].cut_from_peers = True


@when("instance {number:d} is lost for good")
def lose(context: Any, number: int) -> None:
    node = context.world.nodes[number]
    context.world.end_daemon(node)
    context.world.end_target(node)


@when("the store is away for {seconds:g} s")
def store_away(context: Any, seconds: float) -> None:
    context.world.store_down = True
    _run(context, seconds)
    context.world.store_down = False
    _run(context, 4.0)


@given("a fleet of {count:d} targets of which instance {number:d} has the fastest link")
def fleet_with_fast_link(context: Any, count: int, number: int) -> None:
    usual = mesh_world._settings

    def settings(instance: int, timing: GrantTiming) -> MeshSettings:
        rate = 1000.0 if instance == number else 6.0
        return replace(usual(instance, timing), link_mbit_per_s=rate)

    patch = mock.patch.object(mesh_world, "_settings", settings)
    patch.start()
    context.add_cleanup(patch.stop)
    _world(context, count)


@when("it has served for {seconds:g} s")
def time_passes(context: Any, seconds: float) -> None:
    _run(context, seconds)


@then("daemon {number:d} plans, and all report to it")
def all_report_to(context: Any, number: int) -> None:
    planners = [node.daemon.core.planner for node in context.world.nodes]
    assert [planner.on_duty for planner in planners] == [n == number for n in range(len(planners))]
    assert {p.duty_holder().instance for p in planners} == {f"instance-{number}"}


@then("daemon {number:d} plans")
def plans(context: Any, number: int) -> None:
    assert context.world.nodes[number].daemon.core.planner.on_duty


@when("the planner is cut off from the store for {seconds:g} s and its entry is taken away at once")
def planner_cut_off(context: Any, seconds: float) -> None:
    world = context.world
    planner = next(node for node in world.nodes if node.daemon.core.planner.on_duty)
    planner.cut_from_store = True
    world.store.remove(f"members/instance-{planner.number}")
    _run(context, seconds)
    assert any(n.daemon.core.planner.on_duty for n in world.nodes if n is not planner)
    planner.cut_from_store = False


@then("{seconds:g} s later no key has changed its holder either")
def still_held(context: Any, seconds: float) -> None:
    _run(context, seconds)
    assert _holders(context.world) == context.before


@when("daemon {number:d} starts anew and hears nothing from the store's key maps")
def start_without_map(context: Any, number: int) -> None:
    world = context.world
    node = world.nodes[number]
    world.start_daemon(node)
    node.daemon.core.key_maps_read = lambda key_maps: None


@then("daemon {number:d} knows the key map after {seconds:g} s")
def knows_map(context: Any, number: int, seconds: float) -> None:
    _run(context, seconds)
    assert context.world.nodes[number].daemon.core.key_maps.version("roster-app")


@then("daemon {number:d} has its entry again")
def entry_again(context: Any, number: int) -> None:
    assert f"members/instance-{number}" in context.world.store.items


@when("the store forgets its history")
def forget(context: Any) -> None:
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


@when("the store takes the entry of daemon {number:d} away, but not its lease")
def revoke(context: Any, number: int) -> None:
    context.world.store.remove(f"members/instance-{number}")


@when("all daemons are killed and start again after {seconds:g} s")
def restart_all(context: Any, seconds: float) -> None:
    for node in context.world.nodes:
        context.world.end_daemon(node)
    context.world.run(seconds)
    for node in context.world.nodes:
        context.world.start_daemon(node)


@when("everything loses power and starts again after {seconds:g} s")
def power_loss(context: Any, seconds: float) -> None:
    for node in context.world.nodes:
        context.world.end_daemon(node)
        context.world.end_target(node)
    context.world.run(seconds)
    for node in context.world.nodes:
        context.world.start_target(node)
        context.world.start_daemon(node)


@when("target {number:d} says that it leaves")
def drain(context: Any, number: int) -> None:
    context.world.nodes[number].target.draining = True


@when(
    "the next write of the store is done {late:g} s late and target {number:d} says that it leaves"
)
def late_write(context: Any, late: float, number: int) -> None:
    context.world.lose_writes([late])
    context.world.nodes[number].target.draining = True


@when("daemon {number:d} stands still for {seconds:g} s")
def stand_still(context: Any, number: int, seconds: float) -> None:
    node = context.world.nodes[number]
    context.world.freeze(node)
    context.world.run(seconds)
    context.world.thaw(node)


@when(
    "neighbouring keys of target {number:d} are asked for {rate:d} times a second for {seconds:g} s"
)
def hot_keys(context: Any, number: int, rate: int, seconds: float) -> None:
    world = context.world
    node = world.nodes[number]
    first = world.key_of(node)
    context.hot = range(first, first + 200)
    for _ in range(round(seconds * 10)):
        world.load(node, first, rate // 10)
        for other in world.nodes:
            if other is not node:
                world.load(other, world.key_of(other), rate // 80)
        _run(context, 0.1)


STOPPING_S, DOWN_S = 3.0, 1.4
"""How long a daemon that was told to stop goes on, and how long it then takes to stand again."""


@when("each target is asked for {rate:d} requests a second "
      "while daemon {number:d} is stopped and started again")  # fmt: skip
def stop_and_start(context: Any, rate: int, number: int) -> None:
    world = context.world
    node = world.nodes[number]

    def ask(seconds: float) -> None:
        for _ in range(round(seconds * 4)):
            for asked in [n for n in world.nodes if n.target.rows]:
                world.load(asked, world.key_of(asked), rate // 4)
            _run(context, 0.25)

    ask(4.0)
    # What load has levelled is not the stop's doing.
    context.before = _holders(world)
    context.unserved.clear()
    node.daemon.core.stop()
    ask(STOPPING_S)
    context.held_at_end = [key for key in KEYS if node.target.holds(key)]
    node.daemon.core.session.stop(keep_entry=True)
    world.end_daemon(node)
    ask(DOWN_S)
    world.start_daemon(node)
    ask(3.0)


@then("target {number:d} held no key when its daemon ended")
def held_none(context: Any, number: int) -> None:
    assert not context.held_at_end


@then("no key rested for more than {seconds:g} s in all")
def rested(context: Any, seconds: float) -> None:
    assert len(context.unserved) * TICK_S <= seconds, len(context.unserved) * TICK_S


@when("a heartbeat comes to daemon {number:d} from a target that has counted {calls:d} calls")
def foreign_beat(context: Any, number: int, calls: int) -> None:
    context.other = f"i-other-{calls}"
    beat = TargetBeat(
        context.other, "roster-app", "127.0.0.1:1", "a", 12, TargetState.READY, 0.0, calls, (), ()
    )
    context.world.nodes[number].daemon.core.side.beat(beat)


@then("daemon {number:d} goes on with the target that it had")
def same_target(context: Any, number: int) -> None:
    node = context.world.nodes[number]
    assert node.daemon.core.side.keeper.target == node.target.id


@then("daemon {number:d} goes on with the new target")
def new_target(context: Any, number: int) -> None:
    assert context.world.nodes[number].daemon.core.side.keeper.target == context.other


@then("some of them are held by another target")
def moved(context: Any) -> None:
    world = context.world
    _run(context, 1.5)
    owners = {
        node.target.id for key in context.hot for node in world.nodes if node.target.holds(key)
    }
    assert len(owners) > 1, owners


@then("every key is served after {seconds:g} s")
@then("every key is served by others after {seconds:g} s")
def served_after(context: Any, seconds: float) -> None:
    _run(context, seconds)
    missing = [k for k in KEYS if k not in _holders(context.world)]
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
    assert _holders(context.world) == context.before


@then("no key ever had two holders")
def sole(context: Any) -> None:
    _run(context, 5.0)


@then("target {number:d} holds no key after {seconds:g} s")
def holds_none(context: Any, number: int, seconds: float) -> None:
    _run(context, seconds)
    assert not [k for k in KEYS if context.world.nodes[number].target.holds(k)]


# -- rules that are removed -----------------------------------------------------------------


def _hold_beyond_lease(self: Any, received: float) -> float:
    return float(self._timing.hold_s) if self._lease_ends > received else -1.0


def _release_at_once(self: Any, ask: Any, known: int, now: float) -> ReleaseReply:
    return ReleaseReply(ask.cell, ask.owner, ask.version, known >= ask.version, known, 0)


def _renew_whatever(self: Any, ask: Any, known: int, now: float) -> RenewReply:
    grants_ = self._granted.setdefault(ask.owner, {})
    # A grant under an old version that is not counted as one: the rule would have refused it.
    grants_[max(ask.adopted, known)] = now + self._timing.lease_s
    return RenewReply(ask.cell, ask.owner, ask.nonce, True, known)


_begin = target_witness.TargetWitness.__init__


def _released_from_the_start(self: Any, started: float, timing: Any) -> None:
    _begin(self, started, timing)
    self._may_release_from = started


def _peers_cut(world: World) -> None:
    world.nodes[2].cut_from_peers = True
    world.run(8.0)


def _old_map(world: World) -> None:
    """A daemon that hears its witnesses, but is sent no newer map, goes on renewing."""
    node = world.nodes[2]
    assert node.daemon is not None
    node.daemon.core.key_maps.adopt = lambda key_map: False  # type: ignore[method-assign]
    _lose_reports(world, node.number)
    world.run(10.0)


def _lose_reports(world: World, number: int) -> None:
    """The planner hears nothing more of one target."""
    for node in world.nodes:
        assert node.daemon is not None
        planner = node.daemon.core.planner
        reported = planner.reported

        def filtered(report: Any, reported: Any = reported) -> int:
            return 0 if report.target.startswith(f"i-{number}-") else reported(report)

        planner.reported = filtered  # type: ignore[method-assign]


def _leaves_and_is_cut(world: World) -> None:
    """A target leaves, and its daemon is cut off before it learns that the keys have moved."""
    _cut_while_leaving(world)
    world.run(8.0)


def _cut_while_leaving(world: World) -> None:
    node = world.nodes[2]
    assert node.target is not None
    version = _newest_map(world)
    node.target.draining = True
    _run_until(world, lambda: _known_to_leave(world, node))
    node.cut_from_peers = True
    node.cut_from_store = True
    _run_until(world, lambda: _newest_map(world) != version)


def _run_until(world: World, condition: Callable[[], bool]) -> None:
    """Let time pass until *condition* holds, for ten seconds at most."""
    for _ in range(round(10.0 / TICK_S)):
        if condition():
            return
        world.run(TICK_S)
    raise TimeoutError("the case did not come about")


def _known_to_leave(world: World, node: Node) -> bool:
    """Whether another daemon knows that the target beside *node* leaves."""
    others = [n.daemon for n in world.nodes if n is not node and n.daemon is not None]
    members = [d.core.directory.instance(f"instance-{node.number}") for d in others]
    return any(m is not None and m.state is TargetState.DRAINING for m in members)


def _newest_map(world: World) -> int:
    daemons = [node.daemon for node in world.nodes if node.daemon is not None]
    return max(daemon.core.key_maps.version("roster-app") for daemon in daemons)


def _leaves_is_cut_and_forgotten(world: World) -> None:
    """As before, and all other daemons, its witnesses, are restarted at that moment."""
    _cut_while_leaving(world)
    for node in world.nodes[:2] + world.nodes[3:]:
        world.start_daemon(node)
    world.run(8.0)


def _one_witness_unheard(world: World) -> None:
    """One witness has not heard the daemon for a lease, when the target leaves."""
    node = world.nodes[2]
    assert node.daemon is not None and node.target is not None
    key_map = node.daemon.core.key_maps.of("roster-app")
    assert key_map is not None
    # The last one: the first instance has the planner, which must go on hearing reports.
    for name in key_map.witnesses_of(node.target.id)[0][-1:]:
        world.cut_links.add((node.number, int(name.rpartition("-")[2])))
    world.run(4.0)
    _leaves_and_is_cut(world)


def _asked_while_behind(world: World) -> None:
    """Keys are given to one target and, before it has them, to another; the first does not hear."""
    daemons = [node.daemon for node in world.nodes if node.daemon is not None]
    links = {(0, 2), (2, 0)}
    world.cut_links |= links
    for owner in (2, 1):
        newer = _first_range_to(world, owner)
        for daemon in daemons:
            daemon.core.key_maps.adopt(newer)
        # From here on the first one hears of no newer map.
        daemons[2].core.key_maps.adopt = lambda key_map: False  # type: ignore[method-assign]
        world.run(0.3)
    world.cut_links -= links
    world.run(2.0)


def _first_range_to(world: World, number: int) -> KeyMap:
    """Return the next map, in which the first range belongs to another target."""
    daemon, target = world.nodes[0].daemon, world.nodes[number].target
    assert daemon is not None and target is not None
    key_map = daemon.core.key_maps.of("roster-app")
    assert key_map is not None
    first, *rest = key_map.ranges
    before = (*first.predecessors, Predecessor(first.owner, first.fence))
    fence = key_map.fence + 1
    moved = replace(first, owner=target.id, fence=fence, predecessors=before)
    return replace(key_map, version=key_map.version + 1, ranges=(moved, *rest), fence=fence)


_release_of = grants.GrantKeeper.release_of


def _release_by_any_map(
    self: Any, target: str, first: int, last: int, fence: int, version: int, now: float
) -> Any:
    return _release_of(self, target, first, last, fence, 0, now)


Case = tuple[Any, str, Any, Callable[[World], None]]
_CASES: dict[str, Case] = {
    "a hold ends within the lease": (
        grants.GrantKeeper, "hold_s", _hold_beyond_lease, _peers_cut,
    ),
    "a witness waits for what it granted": (
        target_witness.TargetWitness, "on_ask_release", _release_at_once,
        _leaves_and_is_cut,
    ),
    "a new owner waits for its predecessors": (
        grants.GrantKeeper, "_let_go", lambda self, p, o, now: True, _peers_cut,
    ),
    "a witness renews only by a map as new as its own": (
        target_witness.TargetWitness, "on_renew", _renew_whatever, _old_map,
    ),
    "a majority of witnesses releases": (
        target_lease, "majority", lambda count: 1, _one_witness_unheard,
    ),
    "a restarted witness releases after a full lease": (
        target_witness.TargetWitness, "__init__", _released_from_the_start,
        _leaves_is_cut_and_forgotten,
    ),
    "a release is told only by a map as new as asked": (
        grants.GrantKeeper, "release_of", _release_by_any_map, _asked_while_behind,
    ),
}  # fmt: skip


@given('the rule "{rule}" is removed')
def remove_rule(context: Any, rule: str) -> None:
    context.case = _CASES[rule]


@when("the case for it is played")
def play_case(context: Any) -> None:
    owner, name, replacement, play = context.case
    # With the rule in place the same case breaks nothing.
    _play(context, play)
    assert not context.found
    with mock.patch.object(owner, name, replacement):
        _play(context, play)


def _play(context: Any, play: Callable[[World], None]) -> None:
    world = _world(context, 4)
    context.found = ""
    try:
        world.run(8.0)
        play(world)
    except AssertionError as error:
        context.found = str(error)


@then("two holders are found")
def two_holders(context: Any) -> None:
    assert context.found
