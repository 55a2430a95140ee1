"""Random scenarios, by seed, in which the store is restored from an older copy while keys move.

Before the restore keys move, daemons restart, freeze or are cut off, and writes are done late.
The restore loses the last seconds of that, while some daemons, or all instances, restart. The
oracle checks every tick before, during and after it.
"""

import random
from collections.abc import Callable
from contextlib import ExitStack

from pearward_coordination.grants import GrantTiming
from pearward_daemon.mesh.settings import GrantMode

from .mesh_world import KEYS, Node, World, begin_world

__all__ = ["RestoreScenario"]

SETTLE_S = 6.0
DOMAINS = ("a", "b", "c")
BEFORE, AFTER = (2, 7), (1, 5)
"""Minimum and maximum number of events before the restore of the store, and after it."""
PAUSES_S = (0.06, 0.3, 0.3, 0.8, 0.8, 2.0, 4.0)
AGES_S = (0.6, 1.0, 2.0, 3.0, 5.0, 8.0)
AWAY_S = (0.0, 0.1, 0.3, 1.0, 2.0)
RESTART_S = 1.4
"""Longer one of the two pauses before ended processes restart: a restart after a power failure."""
RECOVERY_S = 16.0
"""Seconds after the last fault by which every key has an owner again: a lease that others wait
out, and after it the planner's maximum wait for targets that do not report."""
GRANT_DELAYS = ((2.0,), (2.6,), (0.0, 2.5), (0.5, 6.0), (1.0, 1.5))


class RestoreScenario:
    """One scenario in virtual time."""

    def __init__(self, seed: int, way: GrantMode) -> None:
        self._rng = random.Random(seed)
        self._way = way
        self._seed = seed
        self.events: list[str] = []
        """The events, for the analysis of a failed run."""

    def run(self) -> None:
        """Run it; raises AssertionError if two targets hold a key or a fence does not rise."""
        with ExitStack() as stack:
            count = self._rng.randint(2, 6)
            world = begin_world(
                stack, count, GrantTiming(), seed=self._seed, way=self._way, domains=DOMAINS
            )
            self._run_scenario(world)

    def _run_scenario(self, world: World) -> None:
        rng = self._rng
        world.run(SETTLE_S)
        assert world.served() == len(KEYS), world.served()
        for _ in range(rng.randint(*BEFORE)):
            self._inject_event(world)
        for _ in range(rng.choice((1, 1, 1, 2))):
            self._restore_store(world)
            for _ in range(rng.randint(*AFTER)):
                self._inject_event(world)
        self._end_all_faults(world)
        world.run(RECOVERY_S)
        assert world.served() == len(KEYS), f"{world.served()} keys have a holder at the end"

    def _inject_event(self, world: World) -> None:
        """Inject one event and let some time pass."""
        rng = self._rng
        node = rng.choice(world.nodes)
        event: Callable[[World, Node], None] = rng.choice(
            (
                self._drain_target, self._drain_target, self._replace_target,
                self._add_load, self._add_load, self._restart_daemon, self._restart_daemon,
                self._cut_from_peers, self._cut_from_peers, self._cut_from_store,
                self._freeze_daemon, self._delay_writes, self._delay_grants,
                self._end_faults, self._end_faults, self._end_faults,
            )
        )  # fmt: skip
        self._record(world, f"{event.__name__} {node.number}")
        event(world, node)
        world.run(rng.choice(PAUSES_S))

    def _record(self, world: World, what: str) -> None:
        self.events.append(f"{world.now:.2f} {what}")

    # -- events -----------------------------------------------------------------------

    def _drain_target(self, world: World, node: Node) -> None:
        assert node.target is not None
        node.target.draining = True

    def _replace_target(self, world: World, node: Node) -> None:
        world.end_target(node)
        world.start_target(node)

    def _add_load(self, world: World, node: Node) -> None:
        world.load(node, self._rng.randrange(60_000), self._rng.randint(50, 400))

    def _restart_daemon(self, world: World, node: Node) -> None:
        world.start_daemon(node)

    def _cut_from_peers(self, world: World, node: Node) -> None:
        node.cut_from_peers = True

    def _cut_from_store(self, world: World, node: Node) -> None:
        node.cut_from_store = True

    def _freeze_daemon(self, world: World, node: Node) -> None:
        world.freeze(node)

    def _delay_writes(self, world: World, node: Node) -> None:
        world.lose_writes([self._rng.choice((0.01, 0.5, 1.2, 3.0, 5.0))])

    def _delay_grants(self, world: World, node: Node) -> None:
        if world.by_call:
            world.lose_orders([self._rng.choice(GRANT_DELAYS) for _ in range(4)])

    def _end_faults(self, world: World, node: Node) -> None:
        """End all faults of an instance."""
        node.cut_from_peers = node.cut_from_store = False
        world.thaw(node)
        if node.target is None or not node.target.alive or node.target.draining:
            self._replace_target(world, node)
        if node.daemon is None:
            world.start_daemon(node)

    def _restore_store(self, world: World) -> None:
        rng = self._rng
        age_s, away_s = rng.choice(AGES_S), rng.choice(AWAY_S)
        ends = rng.choice((0.0, 0.0, 0.3, 0.6, 1.0))
        targets_too = rng.random() < 0.5
        ended = [node for node in world.nodes if rng.random() < ends]
        self._record(
            world,
            f"store restored from {age_s} s before, unavailable for {away_s} s; "
            f"ended: {[n.number for n in ended]}, targets too: {targets_too}",
        )
        copy = world.store.copy_of(world.now - age_s)
        for node in ended:
            world.end_daemon(node)
            if targets_too:
                world.end_target(node)
        world.return_store(copy, away_s)
        if ended:
            world.run(rng.choice((0.02, RESTART_S)))
        for node in ended:
            if targets_too:
                world.start_target(node)
            world.start_daemon(node)
        world.run(rng.choice(PAUSES_S))

    def _end_all_faults(self, world: World) -> None:
        for node in world.nodes:
            self._end_faults(world, node)
