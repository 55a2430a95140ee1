"""Stateful fuzzing of exclusive ownership: hypothesis chooses faults, an oracle checks agents."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from .cell_world import World

NODES = st.integers(0, 4)
SLOTS = st.integers(0, 63)


class OwnershipMachine(RuleBasedStateMachine):
    """Rules for pauses, cut links, lost and duplicated messages, restarts and drains.

    Responses of the store may be lost, and several daemons may coordinate at the same time.
    """

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
        """Advance the time and check the invariants after each step."""
        for _ in range(steps):
            self.world.step()
            self.world.check()

    @rule(number=NODES)
    def pause(self, number: int) -> None:
        """Pause a daemon."""
        self._node(number).paused = True

    @rule(number=NODES)
    def resume(self, number: int) -> None:
        """Resume a paused daemon, which then receives the messages sent to it meanwhile."""
        self._node(number).paused = False

    @rule(number=NODES)
    def kill(self, number: int) -> None:
        """End a daemon without starting a successor."""
        self._node(number).ended = True

    @rule(number=NODES)
    def restart(self, number: int) -> None:
        """Replace a daemon by a new one."""
        self.world.restart(self._node(number))

    @rule(start=NODES, end=NODES, both=st.booleans())
    def cut(self, start: int, end: int, both: bool) -> None:
        """Cut a link in one direction or in both."""
        a, b = self._node(start).address, self._node(end).address
        self.world.cut_links.add((a, b))
        if both:
            self.world.cut_links.add((b, a))

    @rule(number=NODES)
    def isolate(self, number: int) -> None:
        """Cut all links between a daemon and the others."""
        own_address = self._node(number).address
        for other in self.world.nodes:
            if other.address != own_address:
                self.world.cut_links |= {(own_address, other.address), (other.address, own_address)}

    @rule(start=NODES, end=NODES)
    def slow(self, start: int, end: int) -> None:
        """Delay the messages of a link until they are delivered one by one."""
        self.world.slow.add((self._node(start).address, self._node(end).address))

    @rule(number=NODES)
    def slow_towards(self, number: int) -> None:
        """Delay all messages to a daemon until they are delivered one by one."""
        own_address = self._node(number).address
        self.world.slow |= {
            (n.address, own_address) for n in self.world.nodes if n.address != own_address
        }

    @rule(slot=SLOTS)
    def deliver(self, slot: int) -> None:
        """Deliver one message in transit before the others, even on a slow link."""
        messages = self.world.messages_in_transit
        if messages:
            self.world.deliver_one(messages.pop(slot % len(messages)), force=True)

    @rule(number=NODES, steps=st.integers(20, 40), asleep=st.booleans())
    def return_late(self, number: int, steps: int, asleep: bool) -> None:
        """Pause or isolate a daemon until its keys can be taken over, then reconnect it.

        Pending replies of its witnesses reach it before newer records do.
        """
        node = self._node(number)
        self.slow_towards(number)
        self.pass_time(1)
        if asleep:
            node.paused = True
        else:
            self.isolate(number)
        self.pass_time(steps)
        node.paused = False
        self.world.cut_links.clear()
        if not asleep:
            self.pass_time(6)
        self.world.deliver_replies(node)
        self.world.check()

    @rule(mask=st.integers(1, 30), steps=st.integers(10, 60))
    def split(self, mask: int, steps: int) -> None:
        """Cut the links between two groups of daemons and let time pass."""
        for a in self.world.nodes:
            for b in self.world.nodes:
                if (mask >> a.number) & 1 != (mask >> b.number) & 1:
                    self.world.cut_links.add((a.address, b.address))
        self.pass_time(steps)

    @rule(number=NODES, slot=SLOTS, steps=st.integers(1, 10))
    def drain_running(self, number: int, slot: int, steps: int) -> None:
        """Drain a daemon while it runs requests."""
        node = self._node(number)
        if node.ended or node.paused:
            return
        positions = self.world.positions
        for offset in range(len(positions)):
            self.world.start_request(node, positions[(slot + offset) % len(positions)])
        node.agent.drain()
        self.pass_time(steps)

    @rule(number=NODES, mask=st.integers(1, 31))
    def forget(self, number: int, mask: int) -> None:
        """Isolate a daemon while others are replaced, then reconnect it.

        Pending replies of its witnesses reach it before newer records do.
        """
        isolated = self._node(number)
        self.slow_towards(number)
        self.pass_time(1)
        self.isolate(number)
        for node in list(self.world.nodes):
            if node is not isolated and (mask >> node.number) & 1:
                self.world.restart(node)
        self.coordinate(number + 1)
        self.pass_time(12)
        self.world.cut_links.clear()
        self.world.deliver_replies(isolated)
        self.world.check()

    @rule(number=NODES, other=NODES)
    def replace_witness(self, number: int, other: int) -> None:
        """Replace a daemon, and isolate another one while the witness sets change."""
        if self._node(number) is self._node(other):
            return
        self.restart(number)
        self.slow_towards(other)
        self.pass_time(25)
        self.return_late(other, 25, False)

    @rule()
    def heal(self) -> None:
        """Restore all links."""
        self.world.cut_links.clear()
        self.world.late_heartbeats.clear()
        self.world.slow.clear()

    @rule(slot=SLOTS)
    def duplicate(self, slot: int) -> None:
        """Duplicate a message in transit."""
        messages = self.world.messages_in_transit
        if messages:
            messages.append(messages[slot % len(messages)])

    @rule(slot=SLOTS)
    def drop(self, slot: int) -> None:
        """Drop a message in transit."""
        messages = self.world.messages_in_transit
        if messages:
            messages.pop(slot % len(messages))

    @rule(number=NODES)
    def coordinate(self, number: int) -> None:
        """Make a daemon the coordinator, even if another one still is."""
        node = self._node(number)
        if not node.ended and not node.paused:
            self.world.take_role(node)

    @rule(number=NODES)
    def coordinate_unfollowed(self, number: int) -> None:
        """Make a daemon the coordinator while the others' heartbeats go to the former one."""
        node = self._node(number)
        if not node.ended and not node.paused:
            self.world.take_role(node, followed=False)

    @rule(number=NODES, other=NODES)
    def follow(self, number: int, other: int) -> None:
        """Let one daemon send its heartbeats to another one that considers itself coordinator."""
        node, coordinator = self._node(number), self._node(other)
        if not node.ended and not node.paused and coordinator.role is not None:
            node.agent.set_coordinator(coordinator.address)

    @rule(number=NODES)
    def step_down(self, number: int) -> None:
        """Let a former coordinator find that another daemon has the role."""
        if any(n.role is not None for n in self.world.nodes if n is not self._node(number)):
            self._node(number).role = None

    @rule(number=NODES)
    def delay_heartbeats(self, number: int) -> None:
        """Delay the heartbeats of a daemon, but no other message."""
        self.world.delay_heartbeats(self._node(number))

    @rule(number=NODES)
    def deliver_heartbeats(self, number: int) -> None:
        """Deliver the late heartbeats of a daemon, and delay no further ones."""
        self.world.deliver_heartbeats(self._node(number))

    @rule(number=NODES, slot=SLOTS, successor=NODES, steps=st.integers(1, 30))
    def move_role_during_drain(self, number: int, slot: int, successor: int, steps: int) -> None:
        """Move the role while the heartbeats of a leaving daemon go to the former coordinator."""
        self.drain_running(number, slot, 10)
        self.coordinate_unfollowed(successor)
        self.pass_time(steps)
        self.follow(number, successor)
        self.pass_time(steps)

    @rule(number=NODES)
    def fall_back(self, number: int) -> None:
        """Let a daemon read the stored record, and write its release if the record awaits it."""
        node = self._node(number)
        if not node.ended and not node.paused:
            self.world.fall_back(node)

    @rule(number=NODES, frozen=st.integers(1, 4), steps=st.integers(1, 30), leaving=st.booleans())
    def release_through_store(self, number: int, frozen: int, steps: int, leaving: bool) -> None:
        """Isolate an owner after pausing others, so that it can release only through the store."""
        node = self._node(number)
        if node.ended or node.paused:
            return
        if leaving:
            # The owner coordinates itself: the record that changes its witnesses no longer reaches
            # other daemons.
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
        """Let a coordinator's write take effect although the response is lost."""
        node = self._node(number)
        if node.role is not None and not node.ended and not node.paused:
            self.world.decide(node, lose_answer=True)

    @rule(number=NODES)
    def drain(self, number: int) -> None:
        """Start the drain of a daemon's planned stop."""
        self._node(number).agent.drain()

    @rule(number=NODES, slot=SLOTS)
    def request(self, number: int, slot: int) -> None:
        """Start a request."""
        node = self._node(number)
        if not node.ended and not node.paused:
            self.world.start_request(node, self.world.positions[slot % len(self.world.positions)])

    @rule(number=NODES, slot=SLOTS)
    def finish(self, number: int, slot: int) -> None:
        """Finish a request."""
        node = self._node(number)
        if node.runs and not node.ended and not node.paused:
            self.world.finish(node, node.runs[slot % len(node.runs)])

    @invariant()
    def sole_owner(self) -> None:
        """At most one daemon can act on a key, and every shard keeps an owner."""
        if hasattr(self, "world"):
            self.world.check()

    @invariant()
    def no_shards_in_planned_stop(self) -> None:
        """A member that has given its shards up in a planned stop gets none again."""
        if hasattr(self, "world"):
            self.world.check_planned_stops()
