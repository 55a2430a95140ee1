"""Plays in which the store comes back from an older copy just as keys move, drawn by a seed.

Before the store goes back keys move, daemons start again, stand still or are cut off, and writes
are done late; then it loses some seconds of that, while a part of the daemons, or everything,
starts again. The oracle looks at every tick of the time before, during and after.
"""

import random
from collections.abc import Callable
from contextlib import ExitStack

from pearward_coordination.grants import GrantTiming
from pearward_daemon.mesh.settings import GrantMode

from .mesh_world import KEYS, Node, World, begin_world

__all__ = ["Play"]

SERVES_S = 6.0
DOMAINS = ("a", "b", "c")
BEFORE, AFTER = (2, 7), (1, 5)
"""How many things happen before the store goes back, and after it, at least and at most."""
PAUSES_S = (0.06, 0.3, 0.3, 0.8, 0.8, 2.0, 4.0)
AGES_S = (0.6, 1.0, 2.0, 3.0, 5.0, 8.0)
AWAY_S = (0.0, 0.1, 0.3, 1.0, 2.0)
DOWN_S = 1.4
"""Seconds after which what lost power stands again."""
HEALED_S = 16.0
"""Seconds after the last fault in which every key has an owner again: a lease that others wait
out, and after it the planner's patience with who is silent."""
LATE_ORDERS = ((2.0,), (2.6,), (0.0, 2.5), (0.5, 6.0), (1.0, 1.5))


class Play:
    """One play in virtual time."""

    def __init__(self, seed: int, way: GrantMode) -> None:
        self._rng = random.Random(seed)
        self._way = way
        self._seed = seed
        self.told: list[str] = []
        """What happened, for whoever looks into a play that failed."""

    def run(self) -> None:
        """Play it; raises AssertionError where two targets hold a key, or a fence does not rise."""
        with ExitStack() as stack:
            count = self._rng.randint(2, 6)
            world = begin_world(
                stack, count, GrantTiming(), seed=self._seed, way=self._way, domains=DOMAINS
            )
            self._play(world)

    def _play(self, world: World) -> None:
        rng = self._rng
        world.run(SERVES_S)
        assert world.served() == len(KEYS), world.served()
        for _ in range(rng.randint(*BEFORE)):
            self._happens(world)
        for _ in range(rng.choice((1, 1, 1, 2))):
            self._store_goes_back(world)
            for _ in range(rng.randint(*AFTER)):
                self._happens(world)
        self._heal(world)
        world.run(HEALED_S)
        assert world.served() == len(KEYS), f"{world.served()} keys are served in the end"

    def _happens(self, world: World) -> None:
        """Let one thing happen, and some time pass."""
        rng = self._rng
        node = rng.choice(world.nodes)
        event: Callable[[World, Node], None] = rng.choice(
            (
                self._leaves, self._leaves, self._is_replaced, self._is_hot, self._is_hot,
                self._starts_again, self._starts_again, self._is_cut_off, self._is_cut_off,
                self._is_cut_from_store, self._freezes, self._writes_late, self._orders_late,
                self._is_back, self._is_back, self._is_back,
            )
        )  # fmt: skip
        self._tell(world, f"{event.__name__} {node.number}")
        event(world, node)
        world.run(rng.choice(PAUSES_S))

    def _tell(self, world: World, what: str) -> None:
        self.told.append(f"{world.now:.2f} {what}")

    # -- what happens -----------------------------------------------------------------

    def _leaves(self, world: World, node: Node) -> None:
        assert node.target is not None
        node.target.draining = True

    def _is_replaced(self, world: World, node: Node) -> None:
        world.end_target(node)
        world.start_target(node)

    def _is_hot(self, world: World, node: Node) -> None:
        world.load(node, self._rng.randrange(60_000), self._rng.randint(50, 400))

    def _starts_again(self, world: World, node: Node) -> None:
        world.start_daemon(node)

    def _is_cut_off(self, world: World, node: Node) -> None:
        node.cut_from_peers = True

    def _is_cut_from_store(self, world: World, node: Node) -> None:
        node.cut_from_store = True

    def _freezes(self, world: World, node: Node) -> None:
        world.freeze(node)

    def _writes_late(self, world: World, node: Node) -> None:
        world.lose_writes([self._rng.choice((0.01, 0.5, 1.2, 3.0, 5.0))])

    def _orders_late(self, world: World, node: Node) -> None:
        if world.by_call:
            world.lose_orders([self._rng.choice(LATE_ORDERS) for _ in range(4)])

    def _is_back(self, world: World, node: Node) -> None:
        """Everything that was done to an instance is over."""
        node.cut_from_peers = node.cut_from_store = False
        world.thaw(node)
        if node.target is None or not node.target.alive or node.target.draining:
            self._is_replaced(world, node)
        if node.daemon is None:
            world.start_daemon(node)

    def _store_goes_back(self, world: World) -> None:
        rng = self._rng
        age_s, away_s = rng.choice(AGES_S), rng.choice(AWAY_S)
        ends = rng.choice((0.0, 0.0, 0.3, 0.6, 1.0))
        targets_too = rng.random() < 0.5
        ended = [node for node in world.nodes if rng.random() < ends]
        self._tell(
            world,
            f"goes back by {age_s} s, away for {away_s} s; "
            f"ended: {[n.number for n in ended]}, targets too: {targets_too}",
        )
        copy = world.store.copy_of(world.now - age_s)
        for node in ended:
            world.end_daemon(node)
            if targets_too:
                world.end_target(node)
        world.return_store(copy, away_s)
        if ended:
            world.run(rng.choice((0.02, DOWN_S)))
        for node in ended:
            if targets_too:
                world.start_target(node)
            world.start_daemon(node)
        world.run(rng.choice(PAUSES_S))

    def _heal(self, world: World) -> None:
        for node in world.nodes:
            self._is_back(world, node)
