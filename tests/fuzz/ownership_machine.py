"""Stateful fuzzing of exclusive ownership: hypothesis chooses faults, an oracle checks agents."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from .cell_world import World

NODES = st.integers(0, 4)
SLOTS = st.integers(0, 63)


class OwnershipMachine(RuleBasedStateMachine):
    """Pauses, cuts, losses, duplicates, restarts, lost answers, several coordinators."""

    same_identity = False

    @initialize(count=st.integers(3, 5))
    def form(self, count: int) -> None:
        """Form a cell that serves every key."""
        self.world = World(count, same_identity=self.same_identity)
        self.world.take_role(self.world.nodes[0])
        for _ in range(20):
            self.world.step()
        assert self.world.served() == len(self.world.positions)

    def _node(self, number: int):  # type: ignore[no-untyped-def]
        return self.world.nodes[number % len(self.world.nodes)]

    @rule(steps=st.integers(1, 30))
    def pass_time(self, steps: int) -> None:
        """Let time pass, looking at every step."""
        for _ in range(steps):
            self.world.step()
            self.world.check()

    @rule(number=NODES)
    def pause(self, number: int) -> None:
        """Freeze a daemon."""
        self._node(number).paused = True

    @rule(number=NODES)
    def resume(self, number: int) -> None:
        """Let a frozen daemon go on, with whatever has piled up for it."""
        self._node(number).paused = False

    @rule(number=NODES)
    def kill(self, number: int) -> None:
        """End a daemon for good."""
        self._node(number).dead = True

    @rule(number=NODES)
    def restart(self, number: int) -> None:
        """Start a new daemon in place of one."""
        self.world.restart(self._node(number))

    @rule(start=NODES, end=NODES, both=st.booleans())
    def cut(self, start: int, end: int, both: bool) -> None:
        """Cut a link one way or both ways."""
        a, b = self._node(start).address, self._node(end).address
        self.world.cut.add((a, b))
        if both:
            self.world.cut.add((b, a))

    @rule(number=NODES)
    def isolate(self, number: int) -> None:
        """Cut a daemon off from all others."""
        mine = self._node(number).address
        for other in self.world.nodes:
            if other.address != mine:
                self.world.cut |= {(mine, other.address), (other.address, mine)}

    @rule(start=NODES, end=NODES)
    def slow(self, start: int, end: int) -> None:
        """Let the messages of a link wait."""
        self.world.slow.add((self._node(start).address, self._node(end).address))

    @rule(number=NODES)
    def slow_towards(self, number: int) -> None:
        """Let all messages to a daemon wait."""
        mine = self._node(number).address
        self.world.slow |= {(n.address, mine) for n in self.world.nodes if n.address != mine}

    @rule(slot=SLOTS)
    def deliver(self, slot: int) -> None:
        """Deliver one waiting message before others."""
        parcels = self.world.parcels
        if parcels:
            self.world.deliver_one(parcels.pop(slot % len(parcels)), force=True)

    @rule(number=NODES, steps=st.integers(20, 40), asleep=st.booleans())
    def return_late(self, number: int, steps: int, asleep: bool) -> None:
        """Lose a daemon long enough to be replaced; it hears witnesses before newer records."""
        node = self._node(number)
        self.slow_towards(number)
        self.pass_time(1)
        if asleep:
            node.paused = True
        else:
            self.isolate(number)
        self.pass_time(steps)
        node.paused = False
        self.world.cut.clear()
        if not asleep:
            self.pass_time(6)
        self.world.deliver_replies(node)
        self.world.check()

    @rule(mask=st.integers(1, 30), steps=st.integers(10, 60))
    def split(self, mask: int, steps: int) -> None:
        """Part the daemons into two groups for a while."""
        for a in self.world.nodes:
            for b in self.world.nodes:
                if (mask >> a.number) & 1 != (mask >> b.number) & 1:
                    self.world.cut.add((a.address, b.address))
        self.pass_time(steps)

    @rule(number=NODES, slot=SLOTS, steps=st.integers(1, 10))
    def drain_running(self, number: int, slot: int, steps: int) -> None:
        """Plan a daemon's stop while a request of its runs."""
        node = self._node(number)
        if node.dead or node.paused:
            return
        positions = self.world.positions
        for offset in range(len(positions)):
            self.world.start_request(node, positions[(slot + offset) % len(positions)])
        node.agent.drain()
        self.pass_time(steps)

    @rule(number=NODES, mask=st.integers(1, 31))
    def forget(self, number: int, mask: int) -> None:
        """Freeze a daemon while others are replaced, and let it return."""
        frozen = self._node(number)
        self.slow_towards(number)
        self.pass_time(1)
        self.isolate(number)
        for node in list(self.world.nodes):
            if node is not frozen and (mask >> node.number) & 1:
                self.world.restart(node)
        self.coordinate(number + 1)
        self.pass_time(12)
        self.world.cut.clear()
        self.world.deliver_replies(frozen)
        self.world.check()

    @rule(number=NODES, other=NODES)
    def replace_witness(self, number: int, other: int) -> None:
        """Replace a daemon, and lose another one just as the witness sets change."""
        if self._node(number) is self._node(other):
            return
        self.restart(number)
        self.slow_towards(other)
        self.pass_time(25)
        self.return_late(other, 25, False)

    @rule()
    def heal(self) -> None:
        """Mend all links."""
        self.world.cut.clear()
        self.world.slow.clear()

    @rule(slot=SLOTS)
    def duplicate(self, slot: int) -> None:
        """Deliver a message twice."""
        parcels = self.world.parcels
        if parcels:
            parcels.append(parcels[slot % len(parcels)])

    @rule(slot=SLOTS)
    def drop(self, slot: int) -> None:
        """Lose a message."""
        parcels = self.world.parcels
        if parcels:
            parcels.pop(slot % len(parcels))

    @rule(number=NODES)
    def coordinate(self, number: int) -> None:
        """Let another daemon take the role, whether or not the present holder knows."""
        node = self._node(number)
        if not node.dead and not node.paused:
            self.world.take_role(node)

    @rule(number=NODES)
    def fall_back(self, number: int) -> None:
        """Let a daemon read the stored record, and write its own release where that is awaited."""
        node = self._node(number)
        if not node.dead and not node.paused:
            self.world.fall_back(node)

    @rule(number=NODES, frozen=st.integers(1, 4), steps=st.integers(1, 30), leaving=st.booleans())
    def release_through_store(self, number: int, frozen: int, steps: int, leaving: bool) -> None:
        """Cut an owner off while others are frozen, and let it give up by the store alone."""
        node = self._node(number)
        if node.dead or node.paused:
            return
        if leaving:
            # The record in which it changes its own witnesses no longer reaches other daemons.
            self.drain_running(number, 0, 1)
            self.coordinate(number)
        others = [n for n in self.world.nodes if n is not node][-frozen:]
        for other in others:
            other.paused = True
            self.pass_time(14)
        self.isolate(number)
        for other in others:
            other.paused = False
        self.pass_time(steps)
        self.fall_back(number)
        self.pass_time(steps)

    @rule(number=NODES)
    def lose_answer(self, number: int) -> None:
        """Let a coordinator's write take effect while its answer is lost."""
        node = self._node(number)
        if node.role is not None and not node.dead and not node.paused:
            self.world.decide(node, lose_answer=True)

    @rule(number=NODES)
    def drain(self, number: int) -> None:
        """Plan a daemon's stop."""
        self._node(number).agent.drain()

    @rule(number=NODES, slot=SLOTS)
    def request(self, number: int, slot: int) -> None:
        """Start a request."""
        node = self._node(number)
        if not node.dead and not node.paused:
            self.world.start_request(node, self.world.positions[slot % len(self.world.positions)])

    @rule(number=NODES, slot=SLOTS)
    def finish(self, number: int, slot: int) -> None:
        """Finish a request."""
        node = self._node(number)
        if node.runs and not node.dead and not node.paused:
            self.world.finish(node, node.runs[slot % len(node.runs)])

    @invariant()
    def sole_owner(self) -> None:
        """Never two that could both act; nothing acknowledged is lost."""
        if hasattr(self, "world"):
            self.world.check()
