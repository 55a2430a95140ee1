"""Cases in which removing one safety rule lets two targets hold the same key.

Each case runs a fleet in virtual time. That it passes with the rule in place is asserted as
well: a case that fails either way would prove nothing about the rule.
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
    """A rule, its replacement when it is removed, and the scenario to run."""

    owner: Any
    attribute: str
    replacement: Any
    scenario: Callable[[World], None]
    way: GrantMode = GrantMode.HEARTBEAT


def _hold_beyond_lease(self: Any, received: float) -> float:
    return float(self._timing.hold_s) if self._lease_ends > received else -1.0


def _release_at_once(self: Any, ask: Any, known: int, now: float) -> ReleaseReply:
    return ReleaseReply(ask.cell, ask.owner, ask.version, known >= ask.version, known, 0)


def _renew_always(self: Any, ask: Any, known: int, now: float) -> RenewReply:
    grants_ = self._granted.setdefault(ask.owner, {})
    # Records a grant by an old map version as one by the newest: the rule would have refused it.
    grants_[max(ask.adopted, known)] = now + self._timing.lease_s
    return RenewReply(ask.cell, ask.owner, ask.nonce, True, known)


_original_init = target_witness.TargetWitness.__init__


def _release_from_start(self: Any, started: float, timing: Any) -> None:
    _original_init(self, started, timing)
    self._may_release_from = started


def _cut_from_peers(world: World) -> None:
    world.nodes[2].cut_from_peers = True
    world.run(8.0)


def _renew_with_old_map(world: World) -> None:
    """A daemon that reaches its witnesses but gets no newer key map keeps renewing its lease."""
    node = world.nodes[2]
    assert node.daemon is not None
    node.daemon.core.key_maps.adopt = lambda key_map: False  # type: ignore[method-assign]
    _drop_reports(world, node.number)
    world.run(10.0)


def _drop_reports(world: World, number: int) -> None:
    """Drop all further reports of one target to the planner."""
    for node in world.nodes:
        assert node.daemon is not None
        planner = node.daemon.core.planner
        reported = planner.reported

        def filtered(report: Any, reported: Any = reported) -> int:
            return 0 if report.target.startswith(f"i-{number}-") else reported(report)

        planner.reported = filtered  # type: ignore[method-assign]


def _drain_and_cut(world: World) -> None:
    """A target drains, and its daemon is cut off before it learns that the keys have moved."""
    _cut_while_draining(world)
    world.run(8.0)


def _cut_while_draining(world: World) -> None:
    node = world.nodes[2]
    assert node.target is not None
    version = _newest_map(world)
    node.target.draining = True
    _run_until(world, lambda: _known_to_drain(world, node))
    node.cut_from_peers = True
    node.cut_from_store = True
    _run_until(world, lambda: _newest_map(world) != version)


def _run_until(world: World, condition: Callable[[], bool]) -> None:
    """Advance the time until *condition* holds, for ten seconds at most."""
    for _ in range(round(10.0 / TICK_S)):
        if condition():
            return
        world.run(TICK_S)
    raise TimeoutError("the state that the case needs was not reached within 10 s")


def _known_to_drain(world: World, node: Node) -> bool:
    """Whether another daemon knows that the target of *node* is draining."""
    others = [n.daemon for n in world.nodes if n is not node and n.daemon is not None]
    members = [d.core.directory.instance(f"instance-{node.number}") for d in others]
    return any(m is not None and m.state is TargetState.DRAINING for m in members)


def _newest_map(world: World) -> int:
    daemons = [node.daemon for node in world.nodes if node.daemon is not None]
    return max(daemon.core.key_maps.version("roster-app") for daemon in daemons)


def _drain_cut_and_restart_witnesses(world: World) -> None:
    """As above, and all other daemons, which are its witnesses, restart at that moment."""
    _cut_while_draining(world)
    for node in world.nodes[:2] + world.nodes[3:]:
        world.start_daemon(node)
    world.run(8.0)


def _drain_with_unreachable_witness(world: World) -> None:
    """One witness has not heard from the daemon for a lease when the target drains."""
    node = world.nodes[2]
    assert node.daemon is not None and node.target is not None
    key_map = node.daemon.core.key_maps.of("roster-app")
    assert key_map is not None
    # The last witness: the planner runs on the first instance and must still get the reports.
    for name in key_map.witnesses_of(node.target.id)[0][-1:]:
        world.cut_links.add((node.number, int(name.rpartition("-")[2])))
    world.run(4.0)
    _drain_and_cut(world)


def _release_asked_with_older_map(world: World) -> None:
    """Keys pass on to another target before their new owner holds them, without its knowledge."""
    daemons = [node.daemon for node in world.nodes if node.daemon is not None]
    links = {(0, 2), (2, 0)}
    world.cut_links |= links
    for owner in (2, 1):
        newer = _reassign_first_range(world, owner)
        for daemon in daemons:
            daemon.core.key_maps.adopt(newer)
        # From here on the daemon of the first of them adopts no newer map.
        daemons[2].core.key_maps.adopt = lambda key_map: False  # type: ignore[method-assign]
        world.run(0.3)
    world.cut_links -= links
    world.run(2.0)


def _reassign_first_range(world: World, number: int) -> KeyMap:
    """Return the next map, in which the first range belongs to the target of another instance."""
    daemon, target = world.nodes[0].daemon, world.nodes[number].target
    assert daemon is not None and target is not None
    key_map = daemon.core.key_maps.of("roster-app")
    assert key_map is not None
    first, *rest = key_map.ranges
    before = (*first.predecessors, Predecessor(first.owner, first.fence))
    fence = key_map.fence + 1
    moved = replace(first, owner=target.id, fence=fence, predecessors=before)
    return replace(key_map, version=key_map.version + 1, ranges=(moved, *rest), fence=fence)


_original_released_rows = grants.GrantManager.released_rows


def _release_by_any_map(
    self: Any, target: str, first: int, last: int, fence: int, version: int, now: float
) -> Any:
    return _original_released_rows(self, target, first, last, fence, 0, now)


def _late_grants_and_drain(world: World) -> None:
    """Renewals get no reply and are taken after the target has released its keys."""
    node = world.nodes[2]
    assert node.target is not None
    world.lose_orders([(0.5, 1.4, 2.0)] * 12)
    world.run(0.5)
    node.target.draining = True
    world.run(8.0)


def _restart_and_drain(world: World) -> None:
    """A daemon restarts while its target holds keys and drains."""
    node = world.nodes[2]
    assert node.target is not None
    node.target.draining = True
    world.start_daemon(node)
    world.run(8.0)


def _ignore_unconfirmed(self: Any, first: int, last: int, now: float, below: int) -> bool:
    return any(h.until > now and h.fence < below for h in self._overlapping(first, last))


CASES: dict[str, Case] = {
    "a hold ends within the lease": Case(
        grants.GrantManager, "hold_s", _hold_beyond_lease, _cut_from_peers
    ),
    "a witness waits for what it granted": Case(
        target_witness.TargetWitness, "on_ask_release", _release_at_once, _drain_and_cut
    ),
    "a new owner waits for its predecessors": Case(
        grants.GrantManager, "_has_released", lambda self, p, o, now: True, _cut_from_peers
    ),
    "a witness renews only by a map as new as its own": Case(
        target_witness.TargetWitness, "on_renew", _renew_always, _renew_with_old_map
    ),
    "a majority of witnesses releases": Case(
        target_lease, "majority", lambda count: 1, _drain_with_unreachable_witness
    ),
    "a restarted witness releases after a full lease": Case(
        target_witness.TargetWitness, "__init__", _release_from_start,
        _drain_cut_and_restart_witnesses,
    ),
    "a release is reported only by a map as new as asked": Case(
        grants.GrantManager, "released_rows", _release_by_any_map, _release_asked_with_older_map
    ),
    "released keys rest until unanswered grants run out": Case(
        hold_ledger.HoldLedger, "may_hold", _ignore_unconfirmed, _late_grants_and_drain,
        GrantMode.CALL,
    ),
    "a restarted daemon waits for its earlier grants": Case(
        grants.GrantManager, "assume_unknown_grants",
        lambda self, transit_s: setattr(self, "_holds_known", True), _restart_and_drain,
        GrantMode.CALL,
    ),
    "a hold by call ends within the lease": Case(
        grants.GrantManager, "hold_s", _hold_beyond_lease, _cut_from_peers, GrantMode.CALL
    ),
}  # fmt: skip
