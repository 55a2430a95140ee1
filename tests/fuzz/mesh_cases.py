"""Cases in which removing one safety rule lets two targets hold the same key.

Each case plays a fleet in virtual time. With the rule in place it breaks nothing, which is
asserted as well: a case that always breaks shows nothing of its rule.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from pearward_coordination import grants, hold_ledger, target_witness
from pearward_coordination.messages import ReleaseReply, RenewReply
from pearward_daemon.mesh import target_lease
from pearward_daemon.mesh.settings import GrantMode
from pearward_state.keymap import KeyMap, Predecessor
from pearward_state.members import TargetState

from .mesh_world import TICK_S, Node, World

__all__ = ["CASES", "Case"]


@dataclass(frozen=True)
class Case:
    """A rule, what stands in its place once it is removed, and what is played."""

    owner: Any
    name: str
    without: Any
    play: Callable[[World], None]
    way: GrantMode = GrantMode.HEARTBEAT


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


_release_of = grants.GrantManager.released_rows


def _release_by_any_map(
    self: Any, target: str, first: int, last: int, fence: int, version: int, now: float
) -> Any:
    return _release_of(self, target, first, last, fence, 0, now)


def _late_grants_and_a_leave(world: World) -> None:
    """Renewals go unanswered and are taken after the target has let its keys go."""
    node = world.nodes[2]
    assert node.target is not None
    world.lose_orders([(0.5, 1.4, 2.0)] * 12)
    world.run(0.5)
    node.target.draining = True
    world.run(8.0)


def _restart_and_a_leave(world: World) -> None:
    """A daemon is restarted beside a target that holds keys and leaves."""
    node = world.nodes[2]
    assert node.target is not None
    node.target.draining = True
    world.start_daemon(node)
    world.run(8.0)


def _confirmed_alone(self: Any, first: int, last: int, now: float, below: int) -> bool:
    return any(h.until > now and h.fence < below for h in self._overlapping(first, last))


CASES: dict[str, Case] = {
    "a hold ends within the lease": Case(
        grants.GrantManager, "hold_s", _hold_beyond_lease, _peers_cut
    ),
    "a witness waits for what it granted": Case(
        target_witness.TargetWitness, "on_ask_release", _release_at_once, _leaves_and_is_cut
    ),
    "a new owner waits for its predecessors": Case(
        grants.GrantManager, "_has_released", lambda self, p, o, now: True, _peers_cut
    ),
    "a witness renews only by a map as new as its own": Case(
        target_witness.TargetWitness, "on_renew", _renew_whatever, _old_map
    ),
    "a majority of witnesses releases": Case(
        target_lease, "majority", lambda count: 1, _one_witness_unheard
    ),
    "a restarted witness releases after a full lease": Case(
        target_witness.TargetWitness, "__init__", _released_from_the_start,
        _leaves_is_cut_and_forgotten,
    ),
    "a release is told only by a map as new as asked": Case(
        grants.GrantManager, "released_rows", _release_by_any_map, _asked_while_behind
    ),
    "released keys rest until unanswered grants run out": Case(
        hold_ledger.HoldLedger, "may_hold", _confirmed_alone, _late_grants_and_a_leave,
        GrantMode.CALL,
    ),
    "a restarted daemon waits for its earlier grants": Case(
        grants.GrantManager, "assume_unknown_grants",
        lambda self, transit_s: setattr(self, "_holds_known", True), _restart_and_a_leave,
        GrantMode.CALL,
    ),
    "a hold by call ends within the lease": Case(
        grants.GrantManager, "hold_s", _hold_beyond_lease, _peers_cut, GrantMode.CALL
    ),
}  # fmt: skip
