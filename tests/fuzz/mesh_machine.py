"""Stateful fuzzing of exclusive ownership on a users' platform; the oracle sees every target."""

from contextlib import ExitStack

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from pearward_coordination.grants import GrantTiming
from pearward_daemon.mesh.settings import GrantMode

from .mesh_world import Node, World, begin_world

NODES = st.integers(0, 4)
TIMING = GrantTiming()
DOMAINS = ("a", "b")
GRANT_DELAYS = st.sampled_from([(2.0,), (2.6,), (0.0, 2.5), (0.5, 6.0), (12.0,), (1.0, 1.5)])
"""Delays in s after its arrival at which an unanswered grant is taken."""


class MeshMachine(RuleBasedStateMachine):
    """Faults of daemons, targets, links and the store, while keys move.

    Daemons and targets are killed, replaced, frozen or cut off; writes are done late or lose their
    responses; entries are revoked.
    """

    way = GrantMode.HEARTBEAT

    def __init__(self) -> None:
        super().__init__()
        self._stack = ExitStack()
        self.world: World | None = None

    @initialize(count=st.integers(2, 4), seed=st.integers(0, 1000), born=st.booleans())
    def form(self, count: int, seed: int, born: bool) -> None:
        """Start a fleet that serves every key."""
        world = self.world = begin_world(
            self._stack, count, TIMING, seed=seed, way=self.way, domains=DOMAINS, born=born
        )
        world.run(6.0)
        assert world.served() > 0

    def teardown(self) -> None:
        """Restore the real clock."""
        self._stack.close()

    def _node(self, number: int) -> Node:
        assert self.world is not None
        return self.world.nodes[number % len(self.world.nodes)]

    @rule(seconds=st.sampled_from([0.06, 0.3, 1.0, 3.0, 6.0]))
    def pass_time(self, seconds: float) -> None:
        """Advance the time and check the oracle after every tick."""
        assert self.world is not None
        self.world.run(seconds)

    @rule(number=NODES)
    def kill_daemon(self, number: int) -> None:
        """Kill a daemon; its target keeps running."""
        assert self.world is not None
        self.world.end_daemon(self._node(number))

    @rule(number=NODES)
    def start_daemon(self, number: int) -> None:
        """Start a new incarnation of a daemon."""
        assert self.world is not None
        self.world.start_daemon(self._node(number))

    @rule()
    def restart_all(self) -> None:
        """Kill all daemons at once and start them again."""
        assert self.world is not None
        for node in self.world.nodes:
            self.world.start_daemon(node)

    @rule(number=NODES)
    def replace_target(self, number: int) -> None:
        """Crash a target and start another incarnation in its place."""
        assert self.world is not None
        self.world.end_target(self._node(number))
        self.world.start_target(self._node(number))

    @rule(number=NODES, born=st.booleans())
    def restart_target(self, number: int, born: bool) -> None:
        """Crash a target and restart it under the same id, with or without its start time."""
        assert self.world is not None
        node = self._node(number)
        if node.target is not None and node.target.alive:
            self.world.restart_target(node, born=born)

    @rule(number=NODES, seconds=st.sampled_from([0.5, 1.5, 4.0]))
    def late_beat(self, number: int, seconds: float) -> None:
        """Delay a heartbeat for long; its sender may have ended by then."""
        assert self.world is not None
        node = self._node(number)
        if node.target is not None and node.target.alive:
            self.world.late_beat(node, node.target, seconds)

    @rule(name=st.sampled_from(DOMAINS), drained=st.booleans())
    def drain_domain(self, name: str, drained: bool) -> None:
        """Drain a failure domain, or end its drain."""
        assert self.world is not None
        if drained:
            self.world.drain(name)
        else:
            self.world.end_drain(name)

    @rule(number=NODES)
    def crash_target(self, number: int) -> None:
        """Crash a target."""
        assert self.world is not None
        self.world.end_target(self._node(number))

    @rule(number=NODES)
    def drain_target(self, number: int) -> None:
        """Let a target report that it is draining."""
        target = self._node(number).target
        if target is not None:
            target.draining = True

    @rule(number=NODES)
    def freeze(self, number: int) -> None:
        """Freeze a daemon."""
        assert self.world is not None
        self.world.freeze(self._node(number))

    @rule(number=NODES)
    def thaw(self, number: int) -> None:
        """Thaw a frozen daemon."""
        assert self.world is not None
        self.world.thaw(self._node(number))

    @rule(number=NODES, cut=st.booleans())
    def cut_from_store(self, number: int, cut: bool) -> None:
        """Cut a daemon off from the store, or connect it again."""
        self._node(number).cut_from_store = cut

    @rule(number=NODES, cut=st.booleans())
    def cut_from_peers(self, number: int, cut: bool) -> None:
        """Cut a daemon off from the others, or connect it again."""
        self._node(number).cut_from_peers = cut

    @rule(start=NODES, end=NODES, cut=st.booleans())
    def cut_link(self, start: int, end: int, cut: bool) -> None:
        """Cut the link from one daemon to another, or restore it."""
        assert self.world is not None
        link = (self._node(start).number, self._node(end).number)
        if cut:
            self.world.cut_links.add(link)
        else:
            self.world.cut_links.discard(link)

    @rule(down=st.booleans())
    def store_down(self, down: bool) -> None:
        """Make the store unavailable, or available again."""
        assert self.world is not None
        self.world.store_down = down

    @rule(late=st.lists(st.sampled_from([0.01, 1.2, 3.0, 5.0]), min_size=1, max_size=3))
    def lose_writes(self, late: list[float]) -> None:
        """Delay the next writes and lose the store's responses to them."""
        assert self.world is not None
        self.world.lose_writes(late)

    @rule(number=NODES, lease_too=st.booleans())
    def revoke_entry(self, number: int, lease_too: bool) -> None:
        """Remove a running daemon's entry from the store, with or without its lease."""
        assert self.world is not None
        store = self.world.store
        key = f"members/instance-{self._node(number).number}"
        item = store.items.get(key)
        if item is None:
            return
        if lease_too:
            store.end_lease(item.lease)
        else:
            store.remove(key)

    @rule()
    def forget_history(self) -> None:
        """Discard the history of the store."""
        assert self.world is not None
        self.world.store.forgotten = self.world.store.revision

    @rule(number=NODES, first=st.integers(0, 65_000), requests=st.integers(50, 400))
    def load(self, number: int, first: int, requests: int) -> None:
        """Count requests for neighbouring keys, so that the planner moves some."""
        assert self.world is not None
        self.world.load(self._node(number), first, requests)

    @rule(number=NODES, seconds=st.sampled_from([0.0, 0.0, 1.5]))
    def delay_beats(self, number: int, seconds: float) -> None:
        """Delay the heartbeats of a target."""
        self._node(number).heartbeat_delay_s = seconds


class CallMeshMachine(MeshMachine):
    """The same with targets that get their keys by calls, some of which are late."""

    way = GrantMode.CALL

    @rule(late=st.lists(GRANT_DELAYS, min_size=1, max_size=8))
    def lose_orders(self, late: list[tuple[float, ...]]) -> None:
        """Delay the next grants, which get no reply; they are taken late, once or twice."""
        assert self.world is not None
        self.world.lose_orders(late)


class ReturningStoreMachine(MeshMachine):
    """The same with a store that is restored from older copies of itself.

    Targets restart under new ids only: the other machines cover restarts under the same id.
    """

    def restart_target(self, number: int, born: bool) -> None:
        """Do nothing: without the rule it is not drawn here."""

    @rule(
        age_s=st.sampled_from([0.5, 1.0, 2.0, 4.0, 8.0]),
        away_s=st.sampled_from([0.0, 0.3, 1.5]),
        power=st.booleans(),
    )
    def store_goes_back(self, age_s: float, away_s: float, power: bool) -> None:
        """Restore the store from an older copy; with *power* all instances lose power too."""
        world = self.world
        assert world is not None
        copy = world.store.copy_of(world.now - age_s)
        if power:
            for node in world.nodes:
                world.lose(node)
        world.return_store(copy, away_s)
        if power:
            for node in world.nodes:
                world.start_target(node)
                world.start_daemon(node)


class CallReturningStoreMachine(ReturningStoreMachine):
    """The same with targets that get their keys by calls, some of which are late."""

    way = GrantMode.CALL

    @rule(late=st.lists(GRANT_DELAYS, min_size=1, max_size=8))
    def lose_orders(self, late: list[tuple[float, ...]]) -> None:
        """Delay the next grants, which get no reply; they are taken late, once or twice."""
        assert self.world is not None
        self.world.lose_orders(late)
