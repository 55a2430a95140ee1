"""Steps for a store that is restored from an older copy, in virtual time."""

import contextlib
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination import grants
from pearward_coordination.era_settling import FormerLeases, settled
from pearward_coordination.grants import GrantManager, GrantTiming
from pearward_coordination.key_segments import KeyOwner
from pearward_coordination.keyplan import first_map
from pearward_coordination.lease import LeaseTiming
from pearward_coordination.messages import AskRelease, Renew
from pearward_coordination.target_witness import TargetWitness
from pearward_daemon.mesh.settings import GrantMode
from pearward_protocol.entries import decode_key_map, key_map_key, member_key
from pearward_state.eras import ERA_SPAN, era_of, era_start, next_number
from pearward_state.keymap import KEY_SPACE, KeyMap
from pearward_transport.errors import CasConflict
from tests.fuzz.mesh_targets import SERVICE
from tests.fuzz.returning_store import RestoreScenario

NOW = 1000.0
GRANT_MODES = {"heartbeat": GrantMode.HEARTBEAT, "call": GrantMode.CALL}
TIMING = LeaseTiming(lease_s=grants.LEASE_S, renew_s=grants.RENEW_S)
HANDOVER_S = 4.0
"""Seconds in which a draining target hands all of its keys over."""


@when(
    "the store is copied and targets {one:d} and {other:d} hand over their keys, one after "
    "the other"
)
def copy_and_move(context: Any, one: int, other: int) -> None:
    world = context.world
    context.copy = world.store.copy()
    before = world.highest_fences()
    for number in (one, other):
        world.nodes[number].target.draining = True
        world.run(HANDOVER_S)
    context.fences = world.highest_fences()
    assert any(context.fences[key] > fence for key, fence in before.items())


@when(
    "all instances lose power, the store is restored from the copy and all restart after "
    "{seconds:g} s"
)
def power_loss(context: Any, seconds: float) -> None:
    world = context.world
    for node in world.nodes:
        world.end_daemon(node)
        world.end_target(node)
    world.store.restore(context.copy)
    world.run(seconds)
    for node in world.nodes:
        world.start_target(node)
        world.start_daemon(node)


@then("the fences granted since are above all earlier ones")
def fences_above_earlier(context: Any) -> None:
    # The world checks each grant as it is taken; this shows that there were grants.
    now = context.world.highest_fences()
    assert all(now[key] > fence for key, fence in context.fences.items()), now


@when(
    "all daemons are killed, the store is restored from the copy and they restart after "
    "{seconds:g} s"
)
def daemons_restart(context: Any, seconds: float) -> None:
    world = context.world
    for node in world.nodes:
        world.end_daemon(node)
    world.store.restore(context.copy)
    world.run(seconds)
    for node in world.nodes:
        world.start_daemon(node)


# -- generated scenarios -------------------------------------------------------------------


def _ready_when_released(self: GrantManager, owned: Any, now: float) -> bool:
    """Return whether keys can be granted if only their predecessors are considered."""
    begun = self._is_granted(owned)
    return begun or all(self._has_released(p, owned, now) for p in owned.predecessors)


RULES: dict[str, tuple[Any, str, Callable[..., bool]]] = {
    "nobody begins keys while a map is unsettled": (GrantManager, "_ready", _ready_when_released),
    "instances wait out what lost maps let them grant": (
        FormerLeases, "have_ended", lambda self, key_map, instances: True,
    ),
}  # fmt: skip


@given('the rule "{rule}" for a restored store is removed')
def rule_removed(context: Any, rule: str) -> None:
    if rule == "none":
        return
    owner, attribute, replacement = RULES[rule]
    patch = mock.patch.object(owner, attribute, replacement)
    patch.start()
    context.add_cleanup(patch.stop)


@when("the store is copied and target {number:d} hands over its keys")
def copy_and_hand_over(context: Any, number: int) -> None:
    world = context.world
    context.copy = world.store.copy()
    world.nodes[number].target.draining = True
    world.run(HANDOVER_S)


@when(
    "the store is restored from the copy, daemon {number:d} is cut off from peers and store "
    "and the others restart"
)
def cut_off_one(context: Any, number: int) -> None:
    world = context.world
    isolated = world.nodes[number]
    isolated.cut_from_peers = isolated.cut_from_store = True
    world.store.restore(context.copy)
    world.store.remove(member_key(f"instance-{number}"))
    for node in world.nodes:
        if node is not isolated:
            world.start_daemon(node)


@then("two holders of a key {are} found within {seconds:g} s")
def two_holders(context: Any, are: str, seconds: float) -> None:
    violation = ""
    try:
        context.world.run(seconds)
    except AssertionError as error:
        violation = str(error)
    assert bool(violation) == (are == "are"), violation


@when("the generated scenario of seed {seed:d} with keys by {way} is run")
def run_generated(context: Any, seed: int, way: str) -> None:
    context.scenario_run = RestoreScenario(seed, GRANT_MODES[way])
    context.violation = ""
    try:
        context.scenario_run.run()
    except AssertionError as error:
        context.violation = f"{error}: {context.scenario_run.events}"


@then("it violates no invariant")
def violates_nothing(context: Any) -> None:
    assert not context.violation, context.violation


# -- decisions -----------------------------------------------------------------------------


@then("map {number:d} of era 0 is followed by number {following:d} in era 0")
def follows(context: Any, number: int, following: int) -> None:
    assert next_number(number, 0) == following


@then("in eras {first:d} to {last:d} each number is above all possible numbers of earlier eras")
def numbers_above_earlier(context: Any, first: int, last: int) -> None:
    for era in range(first, last + 1):
        highest = era_start(era) - 1
        assert next_number(0, era) > highest == next_number(highest - 1, era - 1)
        assert era_of(next_number(0, era)) == era == era_of(era_start(era) + ERA_SPAN - 1)


def _grant_manager(key_map: KeyMap) -> GrantManager:
    grant_manager = GrantManager("service", NOW - 60.0, GrantTiming())
    grant_manager.target_changed("t0")
    grant_manager.adopt(key_map, NOW)
    grant_manager.set_lease_end(NOW + 60.0)
    grant_manager.heartbeat(NOW, (), ())
    return grant_manager


def _in_era(key_map: KeyMap, era: int) -> KeyMap:
    """Return a map with the number that the planner gives it in a later era."""
    version = next_number(key_map.version, era)
    return replace(key_map, version=version, fence=era_start(era), unsettled=True)


@given("a target that was granted keys by a map of era 1")
def granted_in_era_1(context: Any) -> None:
    context.map = first_map("service", [KeyOwner("t0", 10.0)], era=1)
    context.grant_manager = _grant_manager(context.map)
    rows, context.hold_s = context.grant_manager.grant(NOW, NOW)
    assert [row.fence for row in rows] == [context.map.fence]
    context.now = NOW


@when("its hold has expired and its daemon adopts that map as numbered in era 2")
def adopts_too_late(context: Any) -> None:
    context.now = NOW + context.hold_s * grants.CLOCK_SLACK
    adopts_in_time(context)


@when("its daemon adopts that map as numbered in era 2")
def adopts_in_time(context: Any) -> None:
    context.next = _in_era(context.map, 2)
    context.grant_manager.adopt(context.next, context.now)


def _granted(context: Any) -> list[int]:
    rows, _ = context.grant_manager.grant(context.now, context.now)
    return [row.fence for row in rows]


@then("it is granted nothing, neither while the map is unsettled nor after")
def granted_nothing(context: Any) -> None:
    assert _granted(context) == []
    version = context.next.version + 1
    context.next = replace(context.next, version=version, unsettled=False)
    context.grant_manager.adopt(context.next, context.now)
    assert _granted(context) == []


@when("the planner has settled the map")
def planner_settles(context: Any) -> None:
    owner = KeyOwner("t0", 10.0, tuple(context.grant_manager.confirmed()), reported=True)
    context.grant_manager.adopt(settled(context.next, [owner]), context.now)


@then("it is granted its keys under a fence of era {era:d}")
def granted_under(context: Any, era: int) -> None:
    assert [era_of(fence) for fence in _granted(context)] == [era]


@when("its daemon adopts a map of era 2 in which another target owns them")
def owned_by_another(context: Any) -> None:
    reassigned = tuple(replace(r, owner="t1", fence=next_number(0, 2)) for r in context.map.ranges)
    context.next = replace(_in_era(context.map, 2), ranges=reassigned, fence=next_number(0, 2))
    context.grant_manager.adopt(context.next, context.now)
    context.now += 60.0


@then("it does not report them released under map {number:d} of era {era:d}")
def not_released(context: Any, number: int, era: int) -> None:
    def release(version: int) -> Any:
        return context.grant_manager.released_rows(
            "t0", 0, KEY_SPACE - 1, context.map.fence, version, context.now
        )

    assert release(era_start(era) + number) is None
    assert release(context.next.version) is not None


def _renew(context: Any, number: int, era: int, known: int, now: float) -> bool:
    message = Renew("service", 1, era_start(era) + number, 0, 0, "t0")
    return bool(context.witness.on_renew(message, known, now).granted)


@given("a witness that has renewed an owner under map {number:d} of era {era:d}")
def witness_renewed(context: Any, number: int, era: int) -> None:
    context.witness = TargetWitness(NOW - 60.0, TIMING)
    context.witness.map_read(era)
    context.known = era_start(era) + number
    context.now = NOW
    assert _renew(context, number, era, context.known, NOW)


@when("it has renewed that owner under map 1 of era 2 and acts on map 9 of era 1")
def renewed_by_later(context: Any) -> None:
    context.known = era_start(1) + 9
    assert _renew(context, 1, 2, context.known, NOW + 1.0)
    # Grants under the older map have expired, grants under the later one have not.
    context.now = NOW + TIMING.lease_s + 0.1


@when("it acts on map 1 of era 2 and its grants have expired")
def acts_on_later(context: Any) -> None:
    context.known = era_start(2) + 1
    context.now = NOW + 60.0


@when("it acts on map 1 of era 2")
def acts_on_era_2(context: Any) -> None:
    context.known = era_start(2) + 1


def _released(context: Any, owner: str, version: int, now: float) -> bool:
    message = AskRelease("service", owner, version)
    return bool(context.witness.on_ask_release(message, context.known, now).released)


@then("it does not release the owner under map {number:d} of era {era:d}")
def does_not_release(context: Any, number: int, era: int) -> None:
    assert not _released(context, "t0", era_start(era) + number, context.now)


@then("it reports after {seconds:g} s, and not before, that no lease under maps of era 1 is left")
def reports_no_lease(context: Any, seconds: float) -> None:
    assert not _released(context, "", context.known, NOW + seconds - 0.05)
    assert _released(context, "", context.known, NOW + seconds)


@given("a witness that read the maps in era {era:d}")
def witness_read(context: Any, era: int) -> None:
    context.witness = TargetWitness(NOW - 60.0, TIMING)
    context.witness.map_read(era)


@then("it renews an owner under map 1 of era 2 and under no map of era 1")
def renews_only_later(context: Any) -> None:
    assert not _renew(context, 9, 1, era_start(1) + 9, NOW)
    assert _renew(context, 1, 2, era_start(2) + 1, NOW)


@when(
    "the next write of the planner is applied only after the store was restored from an "
    "older copy and written again"
)
def write_applied_late(context: Any) -> None:
    world = context.world
    key = key_map_key(SERVICE)
    context.copy = world.store.copy()
    delayed: list[Callable[[], Any]] = []
    commit = world.store.commit

    def delayed_commit(expected: Any, puts: Any) -> int:
        if not delayed and any(put.key == key for put in puts):
            delayed.append(lambda: commit(expected, puts))
        return int(commit(expected, puts))

    with mock.patch.object(world.store, "commit", delayed_commit):
        world.nodes[1].target.draining = True
        world.run(2.0)
    assert delayed
    world.store.restore(context.copy)
    world.run(3.0)
    # The expected revision matches again, as the restored store counts up to the same one.
    item = world.store.items[key]
    world.store.items[key] = replace(item, revision=context.copy.items[key].revision)
    with contextlib.suppress(CasConflict):
        delayed[0]()
    world.store.items[key] = replace(world.store.items[key], revision=item.revision)


@then("the store has the newest key map that daemons act on")
def store_has_newest(context: Any) -> None:
    world = context.world
    acted_on = max(n.daemon.core.key_maps.version(SERVICE) for n in world.nodes)
    assert decode_key_map(world.store.items[key_map_key(SERVICE)].value).version == acted_on
