"""Steps for the recovery from the loss of many targets: the decision alone, and in virtual time."""

from __future__ import annotations

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
from pearward_coordination.key_segments import KeyOwner
from pearward_coordination.keyplan import first_map, move_to_successors
from pearward_coordination.mass_loss import LossDecision, LossEvidence, MassLoss
from pearward_coordination.overload.policy import Mechanism, OverloadPolicy
from pearward_daemon.mesh.settings import MeshSettings
from pearward_protocol.entries import decode_key_map, key_map_key
from pearward_state.keymap import KEY_SPACE, KeyMap, Predecessor
from pearward_transport.errors import ServerUnreachable
from tests.fuzz import mesh_world
from tests.fuzz.mesh_targets import SERVICE
from tests.fuzz.mesh_world import KEYS, TICK_S, Node, World, begin_world

NOW = 100.0
OBSERVE_S = 0.2
MAX_UTILISATION = 0.75
START_S = 6.0
"""Seconds until a fleet has its first map, and its planner takes silence for a loss."""
KEY_STEP = 40_503
"""Step between the keys of two requests, by the golden ratio: even a few are spread evenly."""
TWICE_S = 4.0


# -- the decision -----------------------------------------------------------------------


class _Owners:
    """The owners of one service, and the decisions on them as time passes."""

    def __init__(self, count: int, *, reporting: bool) -> None:
        self.names = [f"t{number}" for number in range(count)]
        self.reported = set(self.names) if reporting else set()
        self.owners = set(self.names)
        self.ended: set[str] = set()
        self.successors: dict[str, str] = {}
        self.used = 0.0
        self.now = self.lost_at = NOW
        self.loss = MassLoss(MAX_UTILISATION)
        self.decision = self.observe()

    def observe(self) -> LossDecision:
        """Return the decision on the present evidence; keys of successors move at once."""
        evidence = LossEvidence(
            frozenset(self.owners), frozenset(self.reported), frozenset(self.ended),
            self.successors, self.used,
        )  # fmt: skip
        self.decision = self.loss.observe(evidence, self.now)
        for lost, successor in self.decision.successors.items():
            self.owners.discard(lost)
            self.owners.add(successor)
        return self.decision

    def advance_to(self, when: float) -> None:
        """Observe until a time after the loss."""
        while self.now < self.lost_at + when - 1e-6:
            self.now += OBSERVE_S
            self.observe()

    def lose(self, count: int) -> None:
        """End the first owners that still report."""
        lost = [name for name in self.names if name in self.reported][:count]
        self.reported.difference_update(lost)
        self.ended.update(lost)

    def bring_back(self, count: int) -> None:
        """Make successors of the first lost owners report."""
        lost = [name for name in self.names if name in self.owners - self.reported][:count]
        for name in lost:
            self.successors[name] = f"{name}-next"
            self.reported.add(f"{name}-next")


@given("a service of {count:d} owners, all of which report")
def all_report(context: Any, count: int) -> None:
    context.owners = _Owners(count, reporting=True)
    assert not context.owners.decision.active


@given("a service of {count:d} owners, none of which has reported yet")
def none_reported(context: Any, count: int) -> None:
    context.owners = _Owners(count, reporting=False)
    assert context.owners.decision.active


@given("a new planner to which {present:d} of {count:d} owners report, which would be used at "
       "{used:g}")  # fmt: skip
def some_reported(context: Any, present: int, count: int, used: float) -> None:
    context.owners = owners = _Owners(count, reporting=False)
    owners.reported.update(owners.names[:present])
    owners.used = used
    owners.loss = MassLoss(MAX_UTILISATION)
    owners.observe()


@when("{count:d} owners are lost, and the others would be used at {used:g}")
def owners_lost(context: Any, count: int, used: float) -> None:
    context.owners.lose(count)
    context.owners.used = used
    context.owners.observe()


@then("the keys of {count:d} owners are reserved")
def are_reserved(context: Any, count: int) -> None:
    decision = context.owners.decision
    assert len(decision.reserved) == count, decision
    assert decision.active == (count > 0)


@when("one owner is lost every {seconds:g} s, and {count:d} are lost")
def lost_in_turn(context: Any, seconds: float, count: int) -> None:
    owners = context.owners
    owners.used = 3.0
    context.active = []
    for number in range(count):
        owners.lose(1)
        owners.advance_to(seconds * (number + 1))
        context.active.append(owners.decision.active)
        # The keys of a lone lost owner are placed at once.
        owners.owners -= owners.ended


@then("no keys are reserved at any time")
def never_reserved(context: Any) -> None:
    assert not any(context.active), context.active


@when("{count:d} of them return after {seconds:g} s")
def return_after(context: Any, count: int, seconds: float) -> None:
    context.owners.advance_to(seconds - OBSERVE_S)
    context.owners.bring_back(count)
    context.owners.advance_to(seconds)


@then("the keys of {count:d} owners are reserved until {seconds:g} s after the loss")
def reserved_until(context: Any, count: int, seconds: float) -> None:
    owners = context.owners
    owners.advance_to(seconds - OBSERVE_S)
    assert len(owners.decision.reserved) == count, owners.decision
    owners.advance_to(seconds + OBSERVE_S)
    assert not owners.decision.active, owners.decision


@then("no keys are reserved in the {seconds:g} s after that")
def not_reserved_again(context: Any, seconds: float) -> None:
    owners = context.owners
    until = owners.now + seconds
    while owners.now < until:
        owners.advance_to(owners.now - owners.lost_at + OBSERVE_S)
        assert not owners.decision.active, owners.now


@when("{count:d} of them report after {seconds:g} s")
def report_after(context: Any, count: int, seconds: float) -> None:
    owners = context.owners
    owners.advance_to(seconds - OBSERVE_S)
    owners.reported.update(owners.names[:count])
    owners.advance_to(seconds)


@then("no keys are reserved after {seconds:g} s")
def free_after(context: Any, seconds: float) -> None:
    owners = context.owners
    assert abs(owners.now - owners.lost_at - seconds) < 1e-6
    assert not owners.decision.active


@when('owner {number:d} is followed by "{next_one}", which is followed by "{last}", and only '
      '"{reporting}" reports')  # fmt: skip
def followed_twice(context: Any, number: int, next_one: str, last: str, reporting: str) -> None:
    owners = context.owners
    owners.ended.update((f"t{number}", next_one))
    owners.successors.update({f"t{number}": next_one, next_one: last})
    owners.reported.add(reporting)
    owners.observe()


@when('owner {number:d} is followed by "{next_one}", and both report')
def both_report(context: Any, number: int, next_one: str) -> None:
    owners = context.owners
    owners.ended.add(f"t{number}")
    owners.successors[f"t{number}"] = next_one
    owners.reported.update((f"t{number}", next_one))
    owners.observe()


@then('the keys of owner {number:d} go to "{target}"')
def keys_go_to(context: Any, number: int, target: str) -> None:
    assert context.owners.decision.successors == {f"t{number}": target}


@then("the keys of owner {number:d} go to nobody")
def keys_stay(context: Any, number: int) -> None:
    assert f"t{number}" in context.owners.owners
    assert not context.owners.decision.successors


@when("nothing is observed for {seconds:g} s")
def not_observed(context: Any, seconds: float) -> None:
    context.owners.now += seconds


@then("the keys of the {count:d} owners go to their successors")
def all_go_to_successors(context: Any, count: int) -> None:
    owners = context.owners.owners
    assert sum(name.endswith("-next") for name in owners) == count, sorted(owners)


# -- the next map -----------------------------------------------------------------------


@given("a map of {count:d} owners with {rate:g} requests a second each")
def map_of_owners(context: Any, count: int, rate: float) -> None:
    context.owners = [KeyOwner(f"t{number}", rate) for number in range(count)]
    context.map = first_map(SERVICE, context.owners)


@when('owners {one:d} and {other:d} are lost, and owner {number:d} is followed by "{target}"')
def two_lost(context: Any, one: int, other: int, number: int, target: str) -> None:
    context.lost, context.successor = f"t{number}", target
    context.decision = LossDecision(
        True, {f"t{number}": target}, frozenset({f"t{one}", f"t{other}"} - {f"t{number}"})
    )
    left = [o for o in context.owners if o.target not in (f"t{one}", f"t{other}")]
    context.owners = [*left, KeyOwner(target, 100.0)]


def _moved(context: Any, ended: frozenset[str]) -> KeyMap:
    planned = move_to_successors(context.map, context.decision, context.owners, ended)
    assert planned is not None
    return planned


@then('the next map has the keys of owner {number:d} at "{target}", and all others where they were')
def only_lost_moved(context: Any, number: int, target: str) -> None:
    planned = _moved(context, frozenset({f"t{number}"}))
    assert planned.version == context.map.version + 1
    for before, after in zip(context.map.ranges, planned.ranges, strict=True):
        if before.owner == f"t{number}":
            assert after.owner == target and after.fence > before.fence, after
        else:
            assert after == before, after
    assert move_to_successors(planned, context.decision, context.owners, frozenset()) is None


@then('owner {number:d} is a predecessor at "{target}" unless it has ended')
def is_predecessor(context: Any, number: int, target: str) -> None:
    (owned,) = _moved(context, frozenset()).owned_by(target)
    (former,) = context.map.owned_by(f"t{number}")
    assert owned.predecessors == (Predecessor(f"t{number}", former.fence),)
    (owned,) = _moved(context, frozenset({f"t{number}"})).owned_by(target)
    assert owned.predecessors == ()


# -- in virtual time --------------------------------------------------------------------


class _Fleet:
    """A world with a load, and the changes of its map since the loss."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.rate = 0
        """Requests per second for each target's share of the keys; a target can run 80."""
        self._key = 0
        self.lost_at = 0.0
        self.version = 0
        self.owners: dict[int, str] = {}
        self.changed_at: dict[int, float] = {}
        self.twice: list[tuple[float, int, str]] = []
        """Time, key and owner of each change that followed another one too soon."""
        self.most_keys = 0
        """Maximum number of keys of a target in the map before the loss and all maps since."""
        self.usual_keys = 0
        """The same in the map before the loss."""
        self.before: dict[int, str] = {}
        """Instance of each key's holder before the loss."""

    def key_map(self) -> KeyMap:
        """Return the map in the store."""
        return decode_key_map(self.world.store.items[key_map_key(SERVICE)].value)

    def note_map(self) -> None:
        """Compare the map in the store with the one before."""
        key_map = self.key_map()
        if key_map.version == self.version:
            return
        now, self.version = self.world.now, key_map.version
        for key in KEYS:
            owned = key_map.range_of(key)
            if self.owners.get(key) not in (None, owned.owner):
                if now - self.changed_at.get(key, float("-inf")) <= TWICE_S:
                    self.twice.append((round(now - self.lost_at, 2), key, owned.owner))
                self.changed_at[key] = now
            self.owners[key] = owned.owner
        sizes = dict.fromkeys(key_map.targets, 0)
        for r in key_map.ranges:
            sizes[r.owner] += r.size
        self.most_keys = max(self.most_keys, *sizes.values())

    def run(self, seconds: float) -> None:
        """Advance the time under the load; the oracle checks every tick."""
        for _ in range(round(seconds / TICK_S)):
            self._send_load()
            self.world.step()
            self.world.check()
            if self.lost_at:
                self.note_map()

    def _send_load(self) -> None:
        """Count one tick's requests, spread evenly over all keys, at the owners' daemons."""
        if not self.rate:
            return
        key_map = self.key_map()
        for _ in range(round(self.rate * len(self.world.nodes) * TICK_S)):
            self._key = (self._key + KEY_STEP) % KEY_SPACE
            owned = key_map.range_of(self._key)
            assert owned is not None
            node = self.world.nodes[int(_instance(owned.owner))]
            if node.target is not None and node.target.id == owned.owner:
                self.world.load(node, self._key, 1)

    def begin_loss(self) -> None:
        """Note the state before the loss."""
        self.before = {key: _instance(target) for key, target in self.world.holders().items()}
        assert len(self.before) == len(KEYS)
        self.note_map()
        self.usual_keys = self.most_keys
        self.lost_at = self.world.now

    def lose(self, nodes: list[Node]) -> None:
        """End the daemons and the targets of instances at once."""
        for node in nodes:
            self.world.lose(node)

    def start(self, nodes: list[Node], first_s: float, spread_s: float) -> None:
        """Start the instances, one after the other over *spread_s*."""
        for number, node in enumerate(nodes):
            when = self.world.now + first_s + spread_s * number / max(1, len(nodes))

            def power_on(node: Node = node) -> None:
                self.world.start_daemon(node)
                self.world.start_target(node)

            self.world.at(when, power_on)

    def planner(self) -> Node:
        """Return the instance of the active planner."""
        (found,) = [
            n for n in self.world.nodes if n.daemon and n.daemon.core.planner.is_active_planner
        ]
        return found


def _instance(target: str) -> str:
    """Return the instance of a target of the world: i-INSTANCE-INCARNATION."""
    return target.split("-")[1]


def _start_fleet(context: Any, count: int, without: frozenset[Mechanism] = frozenset()) -> _Fleet:
    default_settings = mesh_world._settings

    def settings(*args: Any) -> MeshSettings:
        return replace(default_settings(*args), overload=OverloadPolicy(without))

    stack = ExitStack()
    context.add_cleanup(stack.close)
    stack.enter_context(mock.patch.object(mesh_world, "_settings", settings))
    fleet = _Fleet(begin_world(stack, count, GrantTiming(), domains=("a", "b", "c")))
    fleet.run(START_S)
    context.close_world = stack.close
    return fleet


@given("a fleet of {count:d} instances in 3 failure domains that serves")
def serving_fleet(context: Any, count: int) -> None:
    context.fleet = _start_fleet(context, count)


@given("each target gets {rate:d} requests a second")
def loaded(context: Any, rate: int) -> None:
    context.fleet.rate = rate
    context.fleet.run(3.0)


@when("all instances lose power for {seconds:g} s and {count:d} return {early:g} s before the "
      "others")  # fmt: skip
def lose_all(context: Any, seconds: float, count: int, early: float) -> None:
    fleet = context.fleet
    nodes = fleet.world.nodes
    fleet.begin_loss()
    fleet.lose(nodes)
    first = [n for n in nodes if n.number % (len(nodes) // count) == 0][:count]
    fleet.start(first, seconds, 0.2)
    fleet.start([n for n in nodes if n not in first], seconds + early, 1.1 - early)


@when("all instances lose power for {seconds:g} s and the store is unavailable for {down:g} s")
def lose_all_and_store(context: Any, seconds: float, down: float) -> None:
    fleet = context.fleet
    fleet.begin_loss()
    fleet.lose(fleet.world.nodes)
    fleet.start(fleet.world.nodes, seconds, 1.1)
    fleet.world.store_down = True
    fleet.run(down)
    fleet.world.store_down = False


@when("the targets of {count:d} instances are killed, and started again after {seconds:g} s")
def kill_targets(context: Any, count: int, seconds: float) -> None:
    fleet = context.fleet
    fleet.begin_loss()
    refused = ServerUnreachable("refused", refused=True)
    for number, node in enumerate(fleet.world.nodes[::2][:count]):
        fleet.world.end_target(node)
        # The next request finds that the port refuses connections.
        assert node.daemon is not None
        found = node.daemon.core.local_target.unreachable
        fleet.world.deliver(node.daemon, fleet.world.now + 0.05, lambda found=found: found(refused))
        when_ = fleet.world.now + seconds + 0.9 * number / count
        fleet.world.at(when_, lambda node=node: fleet.world.start_target(node))


@when('all instances of failure domain "{domain}" lose power for {seconds:g} s')
def lose_domain(context: Any, domain: str, seconds: float) -> None:
    fleet = context.fleet
    fleet.begin_loss()
    nodes = [n for n in fleet.world.nodes if fleet.world.domain_of(n) == domain]
    assert (fleet.planner() in nodes) == (domain == "a")
    fleet.lose(nodes)
    fleet.start(nodes, seconds, 1.1)


@when("the store is unavailable for {seconds:g} s from then on")
def store_away(context: Any, seconds: float) -> None:
    context.fleet.world.store_down = True
    context.fleet.run(seconds)
    context.fleet.world.store_down = False


@then("no target had more keys than its former one")
def no_pile_so_far(context: Any) -> None:
    fleet = context.fleet
    assert fleet.most_keys <= fleet.usual_keys, (fleet.most_keys, fleet.usual_keys)


@when("the planner's instance loses power {seconds:g} s after the first return")
def lose_planner_again(context: Any, seconds: float) -> None:
    fleet = context.fleet
    fleet.run(1.3 + seconds)
    node = fleet.planner()
    fleet.lose([node])
    fleet.start([node], 1.3, 0.0)


@when("{count:d} instances are lost for good")
def lose_for_good(context: Any, count: int) -> None:
    context.fleet.begin_loss()
    context.fleet.lose(context.fleet.world.nodes[:count])


@then("no target gets more keys than its former one had")
def no_pile(context: Any) -> None:
    context.fleet.run(4.0)
    no_pile_so_far(context)


@then("no key gets another owner twice within {seconds:g} s")
def not_twice(context: Any, seconds: float) -> None:
    assert seconds == TWICE_S
    assert not context.fleet.twice, context.fleet.twice[:8]


@then("all keys are served by their instances again within {seconds:g} s of the loss")
def back_home(context: Any, seconds: float) -> None:
    fleet = context.fleet
    fleet.run(max(0.0, fleet.lost_at + seconds - fleet.world.now))
    holders = {key: _instance(target) for key, target in fleet.world.holders().items()}
    wrong = {key: holders.get(key) for key in KEYS if holders.get(key) != fleet.before[key]}
    assert not wrong, wrong


@then("all keys are assigned to running targets within {seconds:g} s of the loss")
def assigned_again(context: Any, seconds: float) -> None:
    fleet = context.fleet
    fleet.run(max(0.0, fleet.lost_at + seconds - fleet.world.now))
    running = {n.target.id for n in fleet.world.nodes if n.target and n.target.alive}
    owners = {r.owner for r in fleet.key_map().ranges}
    assert owners <= running, owners - running


def _kill_one(fleet: _Fleet) -> None:
    fleet.world.end_target(fleet.world.nodes[5])


def _replace_one(fleet: _Fleet) -> None:
    _kill_one(fleet)
    fleet.world.start_target(fleet.world.nodes[5])


EVENTS: dict[str, Callable[[_Fleet], None]] = {
    "the targets of 1 instance are killed and not started again": _kill_one,
    "the targets of 1 instance are killed, and started at once": _replace_one,
    "1 instance is lost for good": lambda fleet: fleet.lose([fleet.world.nodes[5]]),
    "the planner's instance is lost for good": lambda fleet: fleet.lose([fleet.planner()]),
}


def _recovery_s(fleet: _Fleet, event: Callable[[_Fleet], None]) -> float:
    """Return the seconds after an event until all keys are served again."""
    fleet.begin_loss()
    event(fleet)
    unserved = 0.0
    while fleet.world.now - fleet.lost_at < 12.0:
        fleet.run(TICK_S)
        if fleet.world.served() < len(KEYS):
            unserved = fleet.world.now - fleet.lost_at
    return unserved


@when("this alone happens: {event}")
def lone_event(context: Any, event: str) -> None:
    context.event = EVENTS[event]
    context.recovered_s = _recovery_s(context.fleet, context.event)


@then('all keys are served again as soon as with "{mechanism}" off')
def as_fast(context: Any, mechanism: str) -> None:
    count = len(context.fleet.world.nodes)
    context.close_world()
    fleet = _start_fleet(context, count, frozenset({Mechanism(mechanism)}))
    today_s = _recovery_s(fleet, context.event)
    assert 0.0 < context.recovered_s <= today_s + TICK_S, (context.recovered_s, today_s)
