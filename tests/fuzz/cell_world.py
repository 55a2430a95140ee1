"""In-memory environment of the ownership core: agents, a platform record, links and clocks.

It is not a simulation of a cluster. It models only what the core, which does no I/O, can observe,
so that hypothesis can choose the faults and an oracle can inspect all agents at once.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pearward_coordination.agent import Abort, Action, CellAgent, GrantServer, Send
from pearward_coordination.assignment import Joiner
from pearward_coordination.coordinator import Coordinator
from pearward_coordination.lease import LeaseTiming
from pearward_coordination.messages import (
    ControlMessage,
    Heartbeat,
    HeartbeatReply,
    PeerId,
    Push,
    RenewReply,
)
from pearward_coordination.ownership import Permit, Verdict
from pearward_coordination.release_record import without_release_of
from pearward_state.keys import HASH_SPACE
from pearward_state.records import CellRecord, MemberState
from pearward_state.table import ServiceTable

CELL = "roster-app"
TIMING = LeaseTiming()
SHARDS_PER_SERVER = 2
STEP_S = 0.05


@dataclass
class Platform:
    """Stand-in for the platform's store, which holds the record."""

    record: CellRecord = field(default_factory=lambda: CellRecord(CELL, CELL))
    history: list[CellRecord] = field(default_factory=list)

    def swap(self, expected: int, new: CellRecord) -> bool:
        """Replace the record if it has the expected version."""
        if self.record.version != expected:
            return False
        self.record = new
        self.history.append(new)
        return True


@dataclass
class Role:
    """A coordinator and the record that it considers to be in force."""

    core: Coordinator
    record: CellRecord
    writes: int = 0


@dataclass
class Run:
    """A request that runs at a server."""

    number: int
    permit: Permit


@dataclass
class Node:
    """One instance: an agent, its clock, its running requests, and its role if it has one."""

    number: int
    address: str
    clock_rate: float
    agent: CellAgent
    incarnation: str
    paused: bool = False
    ended: bool = False
    role: Role | None = None
    runs: list[Run] = field(default_factory=list)


@dataclass(frozen=True)
class MessageInTransit:
    """A message in transit."""

    sender: PeerId
    target: str
    message: ControlMessage


class World:
    """The state on which the rules of a state machine act."""

    def __init__(self, count: int, *, same_identity: bool = False) -> None:
        self.time = 1000.0
        self.platform = Platform()
        self.messages_in_transit: list[MessageInTransit] = []
        self.cut_links: set[tuple[str, str]] = set()
        self.slow: set[tuple[str, str]] = set()
        """Links whose messages wait until they are delivered one by one, in any order."""
        self.late_heartbeats: set[tuple[str, str]] = set()
        """Links whose heartbeats wait until they are delivered one by one; all else arrives."""
        self._left: set[str] = set()
        """Members in a planned stop that own no shard according to a record."""
        self._records_checked = 0
        self.writes = 0
        """Number of times that an owner has tried to write its release itself."""
        self._incarnations = 0
        self._same_identity = same_identity
        rows = {"service": {"kind": "keyed", "policy": "quick",
                            "shards_per_server": SHARDS_PER_SERVER},
                "servers": {f"s{i}": {} for i in range(count)}}  # fmt: skip
        self.table = ServiceTable.from_mapping(CELL, rows)
        self.nodes = [self._new_node(i) for i in range(count)]
        self.highest_epoch: dict[int, int] = {}
        self.positions = [
            (2 * i + 1) * HASH_SPACE // (2 * SHARDS_PER_SERVER * count)
            for i in range(SHARDS_PER_SERVER * count)
        ]

    # -- nodes ------------------------------------------------------------------

    def _new_node(self, number: int) -> Node:
        self._incarnations += 1
        name = f"n{number}" if self._same_identity else f"n{number}.{self._incarnations}"
        address = f"10.0.0.{number}:1"
        me = PeerId(name, address)
        joiner = Joiner(name, f"i{number}", f"s{number}", f"d{number % 3}", address, address)
        # Clocks differ by less than the drift that the lease allows for.
        clock_rate = 1.0 + (number % 3 - 1) * TIMING.drift * 0.9
        return Node(number, address, clock_rate, CellAgent(me, joiner, CELL, TIMING), name)

    def now(self, node: Node) -> float:
        """Return the time by a node's own clock."""
        return self.time * node.clock_rate + node.number * 77.0

    def restart(self, node: Node) -> None:
        """Replace a node's daemon by a new one."""
        self.check_planned_stops()
        self._left.discard(node.incarnation)
        self.nodes[node.number] = self._new_node(node.number)

    def take_role(self, node: Node, *, followed: bool = True) -> None:
        """Make a node the coordinator, even if another one still is.

        Unless it is *followed* at once, the others go on sending heartbeats to the former one.
        """
        core = Coordinator(CELL, TIMING, self.now(node))
        node.role = Role(core, self.platform.record)
        node.agent.set_coordinator(node.address)
        for other in self.nodes:
            if followed and not other.ended and not other.paused:
                other.agent.set_coordinator(node.address)

    def delay_heartbeats(self, node: Node) -> None:
        """Delay a node's heartbeats to all others."""
        self.late_heartbeats |= {
            (node.address, other.address) for other in self.nodes if other is not node
        }

    def deliver_heartbeats(self, node: Node) -> None:
        """Deliver a node's late heartbeats in the order in which they were sent."""
        self.late_heartbeats = {link for link in self.late_heartbeats if link[0] != node.address}
        self.deliver()

    # -- time and messages --------------------------------------------------------

    def step(self) -> None:
        """Advance the time by one step, with ticks, deliveries and decisions of coordinators."""
        self.time += STEP_S
        for node in self.nodes:
            if self._is_running(node):
                self._perform(node, node.agent.tick(self.now(node)))
        self.deliver()
        for node in self.nodes:
            if self._is_running(node) and node.role is not None:
                self.decide(node)
        self.deliver()

    def deliver(self) -> None:
        """Deliver all messages that can be delivered."""
        for _ in range(6):
            batch, self.messages_in_transit = self.messages_in_transit, []
            for in_transit in batch:
                self.deliver_one(in_transit)
            if len(self.messages_in_transit) >= len(batch):
                return

    def deliver_one(self, in_transit: MessageInTransit, *, force: bool = False) -> None:
        """Deliver one message unless its link is cut; a paused node gets it after it resumes."""
        node = next(n for n in self.nodes if n.address == in_transit.target)
        if node.ended or (in_transit.sender.address, in_transit.target) in self.cut_links:
            return
        if node.paused or (not force and self._is_delayed(in_transit)):
            self.messages_in_transit.append(in_transit)
            return
        self._receive(node, in_transit.sender, in_transit.message)

    def _is_delayed(self, in_transit: MessageInTransit) -> bool:
        link = (in_transit.sender.address, in_transit.target)
        is_heartbeat = isinstance(in_transit.message, Heartbeat)
        return link in self.slow or (is_heartbeat and link in self.late_heartbeats)

    def deliver_replies(self, node: Node) -> None:
        """Deliver the pending replies of witnesses to one daemon before any other message."""
        replies = [
            p
            for p in self.messages_in_transit
            if p.target == node.address and isinstance(p.message, RenewReply)
        ]
        for in_transit in replies:
            self.messages_in_transit.remove(in_transit)
            self.deliver_one(in_transit, force=True)

    def decide(self, node: Node, *, lose_answer: bool = False) -> None:
        """Let a coordinator plan the next record and write it."""
        role = node.role
        assert role is not None
        now = self.now(node)
        if max(node.agent.ownership.adopted, role.core.newest_adopted) > role.record.version:
            # Like the daemon, a coordinator reads a newer record and plans in a later turn.
            role.record = self.platform.record
            return
        for other in self.nodes:
            reachable = (node.address, other.address) not in self.cut_links
            if reachable and not other.ended and not other.paused:
                # Equivalent to opening a connection now, to the members of the record known now.
                expected = {m.incarnation for m in role.record.members if m.peer == other.address}
                role.core.peer_seen(PeerId(other.incarnation, other.address))
                role.core.note_ended(expected - {other.incarnation})
        role.writes += 1
        write_id = f"{node.incarnation}:{role.writes}"
        planned = role.core.plan(role.record, self.table, write_id, now)
        if planned is None:
            return
        written = self.platform.swap(role.record.version, planned)
        if written and lose_answer:
            return
        role.record = self.platform.record
        self._publish(node, role.record)

    def fall_back(self, node: Node) -> None:
        """Let a daemon read the stored record itself and write its release to the store."""
        record = self.platform.record
        self._perform(node, node.agent.adopt(record, record.to_bytes(), self.now(node)))
        self.writes += 1
        write_id = f"{node.incarnation}:release:{self.writes}"
        released = node.agent.ownership.released
        planned = without_release_of(record, node.incarnation, released, write_id)
        if planned is not None and self.platform.swap(record.version, planned):
            self._publish(node, planned)

    def _publish(self, node: Node, record: CellRecord) -> None:
        value = record.to_bytes()
        self._perform(node, node.agent.adopt(record, value, self.now(node)))
        push = Push(f"cell/{CELL}", record.version, value)
        for member in record.members:
            if member.incarnation != node.incarnation:
                self._send(node, member.peer, push)

    def _send(self, node: Node, address: str, message: ControlMessage) -> None:
        sender = PeerId(node.incarnation, node.address)
        if address == node.address:
            self._receive(node, sender, message)
        else:
            self.messages_in_transit.append(MessageInTransit(sender, address, message))

    def _receive(self, node: Node, sender: PeerId, message: ControlMessage) -> None:
        now = self.now(node)
        if isinstance(message, Push):
            record = CellRecord.from_bytes(message.value)
            self._perform(node, node.agent.adopt(record, message.value, now))
        elif isinstance(message, Heartbeat):
            if node.role is not None:
                reply = node.role.core.on_heartbeat(sender, message, node.role.record.version, now)
                self._send(node, sender.address, reply)
                if message.adopted < node.agent.ownership.adopted:
                    record = node.agent.record
                    assert record is not None
                    push = Push(f"cell/{CELL}", record.version, record.to_bytes())
                    self._send(node, sender.address, push)
        elif not isinstance(message, HeartbeatReply):
            self._perform(node, node.agent.receive(sender, message, now))

    def _perform(self, node: Node, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(node, action.address, action.message)
            elif isinstance(action, GrantServer):
                now = self.now(node)
                self._perform(node, node.agent.server_granted(action, True, now))
            elif isinstance(action, Abort):
                for run in [r for r in node.runs if r.number in action.runs]:
                    self.finish(node, run)

    def _is_running(self, node: Node) -> bool:
        return not node.ended and not node.paused

    # -- requests -----------------------------------------------------------------

    def start_request(self, node: Node, position: int) -> None:
        """Start a request if the node admits it; check that epochs never decrease."""
        admission = node.agent.ownership.admit(position, self.now(node))
        if admission.verdict is not Verdict.SERVE:
            return
        assert admission.permit is not None
        permit = admission.permit
        assert permit.epoch >= self.highest_epoch.get(position, 0), "an epoch decreased"
        self.highest_epoch[position] = permit.epoch
        node.runs.append(Run(node.agent.ownership.started(permit), permit))

    def finish(self, node: Node, run: Run) -> None:
        """End a request."""
        node.runs.remove(run)
        self._perform(node, node.agent.finished(run.number, self.now(node)))

    # -- the oracle -----------------------------------------------------------------

    def actors(self, position: int) -> set[str]:
        """Return the incarnations that could act on a key now if paused ones resumed."""
        found: set[str] = set()
        for node in self.nodes:
            if node.ended:
                continue
            now = self.now(node)
            ownership = node.agent.ownership
            if ownership.admit(position, now).verdict is Verdict.SERVE:
                found.add(node.incarnation)
            if any(
                run.permit.start <= position < run.permit.end
                and ownership.is_permit_valid(run.permit, now)
                for run in node.runs
            ):
                found.add(node.incarnation)
        return found

    def check(self) -> None:
        """Check the invariants; raises AssertionError."""
        for position in self.positions:
            actors = self.actors(position)
            assert len(actors) <= 1, f"{actors} could all act on {position:x}"
        record = self.platform.record
        if record.version and any(m.state.value == "active" for m in record.members):
            for shard in record.shards:
                assert record.owner_of(shard) is not None, f"shard {shard.start:x} was lost"

    def check_planned_stops(self) -> None:
        """Check that a member in a planned stop gets no shard once a record left it none.

        Whether a member is in a planned stop is taken from its agent: the check does not rely on
        what the record says of it. A member is checked for as long as the records name it.
        """
        stopping = {n.incarnation for n in self.nodes if n.agent.draining}
        for record in self.platform.history[self._records_checked :]:
            self._left &= record.by_incarnation.keys()
            for member in record.members:
                held = shards_of(record, member.incarnation)
                if member.incarnation in self._left:
                    assert not held, (
                        f"{member.incarnation}, in a planned stop, gets {held} shards by version "
                        f"{record.version}, written by {record.write_id}"
                    )
                elif (
                    member.state is MemberState.DRAINING
                    and member.incarnation in stopping
                    and not held
                ):
                    self._left.add(member.incarnation)
        self._records_checked = len(self.platform.history)

    def served(self) -> int:
        """Return the number of sampled keys that can be served now."""
        return sum(bool(self.actors(position)) for position in self.positions)


def shards_of(record: CellRecord, incarnation: str) -> int:
    """Return the number of shards that a record assigns to a member."""
    index = record.by_incarnation.get(incarnation)
    return 0 if index is None else record.shards.owners.count(index)
