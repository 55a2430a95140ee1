"""Steps for a change of the active planner, in virtual time."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

from behave import then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination.messages import KeyReport
from pearward_protocol.entries import decode_key_map, decode_member, key_map_key, member_key
from pearward_state.keymap import KeyMap
from tests.fuzz.mesh_targets import SERVICE
from tests.fuzz.mesh_world import KEYS, TICK_S, Node, World

LOAD_INTERVAL_S = 0.1
STOPPING_S, RESTART_S = 3.0, 1.4
"""Seconds a daemon keeps running after it was told to stop, and seconds until it has restarted."""
MOVE_LIMIT_S = 6.0
"""Seconds within which a planner moves keys off a target that leaves or is lost."""


class KeyMoves:
    """Keys of each version of the map that get another owner, with the time of the write."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._version = 0
        self._owners: dict[int, str] = {}
        self.gained: list[tuple[float, int, str]] = []
        """Time, key and new owner."""
        self.note()
        self.gained.clear()

    def note(self) -> None:
        """Compare the map in the store with the one before."""
        key_map = _stored_map(self._world)
        if key_map.version == self._version:
            return
        self._version = key_map.version
        owners = {key: key_map.range_of(key).owner for key in KEYS}
        for key, owner in owners.items():
            if self._owners.get(key) != owner:
                self.gained.append((round(self._world.now, 2), key, owner))
        self._owners = owners

    def of(self, target: str) -> list[tuple[float, int, str]]:
        """Return the keys that a target has gained."""
        return [row for row in self.gained if row[2] == target]


def _stored_map(world: World) -> KeyMap:
    return decode_key_map(world.store.items[key_map_key(SERVICE)].value)


def _moves(context: Any) -> KeyMoves:
    """Return the moves that are recorded from the first call on."""
    if "key_moves" not in context:
        context.key_moves = KeyMoves(context.world)
    return context.key_moves


def _run(context: Any, seconds: float, rate: int = 0) -> None:
    """Advance the time with *rate* requests a second for each target that holds keys."""
    world, moves = context.world, _moves(context)
    ticks_per_load = round(LOAD_INTERVAL_S / TICK_S)
    for tick in range(round(seconds / TICK_S)):
        if rate and tick % ticks_per_load == 0:
            for node in world.nodes:
                _send_load(world, node, tick // ticks_per_load, rate)
        world.step()
        world.check()
        moves.note()


def _send_load(world: World, node: Node, turn: int, rate: int) -> None:
    """Count the requests of one interval, spread over all keys that a target holds."""
    held = [key for key in KEYS if node.target is not None and node.target.holds(key)]
    before, count = (round(n * rate * LOAD_INTERVAL_S) for n in (turn, turn + 1))
    for number in range(before, count) if held else ():
        world.load(node, held[number % len(held)], 1)


def _run_until(context: Any, condition: Callable[[], bool], seconds: float) -> None:
    """Advance the time until *condition* holds, at most by *seconds*."""
    until = context.world.now + seconds
    while not condition():
        assert context.world.now < until, "not reached in time"
        _run(context, TICK_S)


def _planner(world: World) -> Node:
    (found,) = [n for n in world.nodes if n.daemon and n.daemon.core.planner.is_active_planner]
    return found


def _stop_and_restart(world: World, node: Node) -> None:
    """Stop a daemon; it exits and is restarted as time passes."""
    daemon = node.daemon
    assert daemon is not None
    daemon.core.stop()

    def exit_process() -> None:
        daemon.core.session.stop(keep_entry=True)
        world.end_daemon(node)

    world.at(world.now + STOPPING_S, exit_process)
    world.at(world.now + STOPPING_S + RESTART_S, lambda: world.start_daemon(node))


@when("each target gets {rate:d} requests a second and daemon {number:d} is stopped and restarted")
def stop_under_load(context: Any, rate: int, number: int) -> None:
    context.rate = rate
    _run(context, 3.0, rate)
    # Moves that balanced the load before the stop are not counted as its effect.
    context.key_moves = KeyMoves(context.world)
    _stop_and_restart(context.world, context.world.nodes[number])


@when("the planner's daemon is stopped {seconds:g} s later")
def stop_planner(context: Any, seconds: float) -> None:
    _run(context, seconds, context.rate)
    _stop_and_restart(context.world, _planner(context.world))


@then("target {number:d} gets no key until its daemon is back")
def gets_none_while_stopping(context: Any, number: int) -> None:
    world = context.world
    node = world.nodes[number]

    def is_back() -> bool:
        entry = world.store.items.get(member_key(f"instance-{number}"))
        return entry is not None and not decode_member(entry.value).stopping

    assert not is_back()
    while not is_back():
        _run(context, TICK_S, context.rate)
    gained = _moves(context).of(node.target.id)
    assert not gained, gained


def _lose(world: World, node: Node) -> None:
    """Lose an instance just after its lease in the store was renewed, so that its entry lasts."""
    lease = world.store.items[member_key(f"instance-{node.number}")].lease
    until = world.store.leases[lease][1]
    while world.store.leases[lease][1] == until:
        world.run(TICK_S)
    world.lose(node)


def _isolate(world: World, node: Node) -> None:
    node.cut_from_peers = True


def _drain_unseen(world: World, node: Node) -> None:
    assert node.target is not None
    node.cut_from_store = True
    node.target.draining = True


EVENTS: dict[str, Callable[[World, Node], None]] = {
    "instance 2 is lost just after it renewed its lease": _lose,
    "daemon 2 is isolated from its peers": _isolate,
    "target 2 drains while the store refuses its daemon": _drain_unseen,
}


@when("{event}, and the planner has moved the keys of target 2")
def moved_away(context: Any, event: str) -> None:
    world = context.world
    node = world.nodes[2]
    EVENTS[event](world, node)
    _run_until(
        context, lambda: not _stored_map(world).owned_by(node.target.id), seconds=MOVE_LIMIT_S
    )


@when("the planner's target starts to drain")
def drain_planner(context: Any) -> None:
    _planner(context.world).target.draining = True
    context.key_moves = KeyMoves(context.world)


@then("target {number:d} gets no key within {seconds:g} s")
def gets_none(context: Any, number: int, seconds: float) -> None:
    _run(context, seconds)
    gained = _moves(context).of(context.world.nodes[number].target.id)
    assert not gained, gained


@when("daemon {number:d} is isolated from its peers and the planner's target starts to drain")
def isolate_and_drain(context: Any, number: int) -> None:
    context.world.nodes[number].cut_from_peers = True
    drain_planner(context)


@when("daemon {number:d} gets no report, and the planner's target starts to drain")
def no_reports(context: Any, number: int) -> None:
    planner = context.world.nodes[number].daemon.core.planner
    from_itself = planner.reported

    def reported(report: KeyReport) -> int:
        own = report.target == context.world.nodes[number].target.id
        return from_itself(report) if own else 0

    patch = mock.patch.object(planner, "reported", reported)
    patch.start()
    context.add_cleanup(patch.stop)
    drain_planner(context)


@then("targets {first:d} and {second:d} keep their keys for {seconds:g} s")
def keep_keys(context: Any, first: int, second: int, seconds: float) -> None:
    world = context.world
    targets = {world.nodes[number].target.id for number in (first, second)}
    before = {key: owner for key, owner in world.holders().items() if owner in targets}
    assert set(before.values()) == targets
    _run(context, seconds)
    assert _planner(world).target.draining is False
    owners = {key: _stored_map(world).range_of(key).owner for key in before}
    assert owners == before, owners
