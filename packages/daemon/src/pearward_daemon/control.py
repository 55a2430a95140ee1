"""The control plane of one daemon: runs the sans-I/O state machines on real clocks and sockets."""

from collections.abc import Callable
from random import Random
from typing import Any

import eliot
from twisted.internet.task import LoopingCall

from pearward_coordination.agent import Abort, Action, CellAgent, GrantServer, Send
from pearward_coordination.assignment import Joiner
from pearward_coordination.contact import CellContact
from pearward_coordination.gossip import RecordGossip
from pearward_coordination.messages import (
    Announce,
    ControlMessage,
    Digest,
    Heartbeat,
    HeartbeatReply,
    PeerId,
    Pull,
    Push,
    ReleaseReply,
    Renew,
    RenewReply,
)
from pearward_coordination.ownership import Ownership
from pearward_coordination.routing import Router
from pearward_state.errors import InvalidRecord
from pearward_state.records import CellRecord
from pearward_state.table import ServiceTable
from pearward_transport.clock import boot_time, sleep
from pearward_transport.errors import PlatformUnavailable
from pearward_transport.http_client import ServerClient
from pearward_transport.instances import INSTANCES, parse_instance
from pearward_transport.peer import PeerPool
from pearward_transport.platform import KeyValueService

from .cell_coordinator import CellCoordinator
from .coordinator_election import CoordinatorElection
from .server_watch import ServerWatch
from .service_finder import ServiceFinder
from .settings import Settings
from .store_fallback import StoreFallback
from .tasks import spawn

__all__ = ["ControlPlane"]

TICK_S = 0.05
DIGEST_S = 1.0
LEAVE_ROLE_S = 2.0
"""Time after the start of a planned stop for which a daemon leaves the role to other members: it
takes the role only if none of them does."""
CONTACT_NONCE = 0
"""Nonce of renewals that only request a reply: those of the lease start at 1."""
LISTENER_CHECK_S = 0.25
"""Interval of checks for members whose address is used by another daemon now."""


class ControlPlane:
    """Runs the cell's agent, exchanges versions and coordinates while this daemon has the role."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        me: PeerId,
        platform: KeyValueService,
        router: Router,
        client: ServerClient,
        rng: Random,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._me = me
        self._platform = platform
        self._router = router
        self._rng = rng
        self._service = settings.server.service
        self._cell = settings.server.service
        identity = Joiner(
            me.incarnation,
            settings.instance,
            settings.server.name,
            settings.failure_domain,
            me.address,
            settings.caller_address,
        )
        self._agent = CellAgent(me, identity, self._cell, settings.lease)
        self._spread = RecordGossip(rng)
        self._election = CoordinatorElection(
            reactor, platform, me, self._cell, rng, self._coordinator_found, self._role_taken
        )
        self._fallback = StoreFallback(platform, self, self._cell, me.incarnation, rng)
        self._finder = ServiceFinder(reactor, platform, self)
        self._cell_coordinator: CellCoordinator | None = None
        self._pool: PeerPool | None = None
        self._listeners: dict[str, PeerId] = {}
        self._ended: set[str] = set()
        self._contact = CellContact(me, boot_time())
        self._peers: tuple[str, ...] = ()
        self._bootstrap_peers: tuple[str, ...] = ()
        self._next_digest = 0.0
        self._next_listener_check = 0.0
        self._serving_state: tuple[object, ...] = ()
        self._draining_since: float | None = None
        self._stopped = False
        self._server = ServerWatch(settings.server, client, self._agent.set_health)
        self._loop = LoopingCall(self._tick)
        self._on_serving_changed: list[Callable[[], None]] = []
        self._on_abort: list[Callable[[tuple[int, ...]], None]] = []
        self._on_table: list[Callable[[ServiceTable], None]] = []
        self._on_record: list[Callable[[CellRecord], None]] = []

    # -- properties -----------------------------------------------------------

    @property
    def incarnation(self) -> str:
        """This daemon's incarnation."""
        return self._me.incarnation

    @property
    def agent(self) -> CellAgent:
        """State machine of this daemon's membership in its cell."""
        return self._agent

    @property
    def ownership(self) -> Ownership:
        """Shards that this daemon may serve."""
        return self._agent.ownership

    @property
    def valid_until(self) -> float:
        """End of the ownership lease unless it is renewed."""
        return self._agent.lease.valid_until

    @property
    def lease_held(self) -> bool:
        """Whether the ownership lease is valid now."""
        return self._agent.lease.held(boot_time())

    @property
    def draining(self) -> bool:
        """Whether this daemon is draining."""
        return self._agent.draining

    @property
    def coordinating(self) -> bool:
        """Whether this daemon has the coordinator's role."""
        return self._cell_coordinator is not None

    @property
    def server_healthy(self) -> bool:
        """Whether the server responds to probes."""
        return self._server.healthy

    @property
    def record(self) -> CellRecord | None:
        """Newest record of the cell that this daemon has received."""
        return self._agent.record

    @property
    def spread(self) -> RecordGossip:
        """Versioned values that this daemon holds and exchanges with its peers."""
        return self._spread

    @property
    def finder(self) -> ServiceFinder:
        """Looks up services that peers have not sent."""
        return self._finder

    # -- life cycle -----------------------------------------------------------

    def on_serving_changed(self, callback: Callable[[], None]) -> None:
        """Call *callback* when the lease or the shards that may be served have changed."""
        self._on_serving_changed.append(callback)

    def on_abort(self, callback: Callable[[tuple[int, ...]], None]) -> None:
        """Call *callback* with the requests whose permits have become invalid."""
        self._on_abort.append(callback)

    def on_table(self, callback: Callable[[ServiceTable], None]) -> None:
        """Call *callback* with each newer table of any service."""
        self._on_table.append(callback)

    def on_record(self, callback: Callable[[CellRecord], None]) -> None:
        """Call *callback* with each newer record of any cell."""
        self._on_record.append(callback)

    def start(self, pool: PeerPool) -> None:
        """Start the agent, the probes and the exchange of versions."""
        self._pool = pool
        self._loop.start(TICK_S, now=True)
        self._server.start()
        spawn(self._find_peers())
        self._finder.start()

    def drain(self) -> None:
        """Request the handover of this daemon's shards and of the coordinator's role."""
        self._draining_since = boot_time()
        self._agent.drain()
        if self._cell_coordinator is not None:
            self._cell_coordinator.resign()

    def force_release(self, incarnation: str) -> bool:
        """Treat a member as ended by an operator's statement.

        Return False if this daemon does not coordinate or the record has no such member.
        """
        record = self._agent.record
        if self._cell_coordinator is None or record is None or record.member(incarnation) is None:
            return False
        eliot.log_message("pearward:forced-release", incarnation=incarnation)
        self._cell_coordinator.core.force_release(incarnation)
        return True

    def stop(self) -> None:
        """Stop all periodic work, and take no more records or grants."""
        self._stopped = True
        if self._loop.running:
            self._loop.stop()
        self._server.stop()
        self._finder.stop()
        if self._cell_coordinator is not None:
            self._cell_coordinator.stop()
            spawn(self._return_role(self._cell_coordinator.lease))
            self._cell_coordinator = None

    # -- for the request path --------------------------------------------------

    def run_finished(self, run: int) -> None:
        """Note that a request that held a permit has ended."""
        self._act(self._agent.finished(run, boot_time()))

    def server_lost_grants(self) -> None:
        """Note that the server refused a request because it lacks the grant."""
        self._agent.server_lost_grants()

    def server_suspect(self) -> None:
        """Probe the server at once, since a connection to it failed."""
        self._server.suspect()

    def want_record(self, service: str, version: int, address: str) -> None:
        """Request a newer record of *service* from the peer that has it."""
        if address and self._pool is not None:
            self._pool.send_control(address, Pull((f"cell/{service}", f"table/{service}")))

    # -- messages --------------------------------------------------------------

    def expected_at(self, address: str) -> frozenset[str]:
        """Return the incarnations of the members that the record places at an address."""
        record = self._agent.record
        return frozenset() if record is None else _listeners_at(record, address)

    def peer_identified(self, peer: PeerId, expected: frozenset[str]) -> None:
        """Note the incarnation that listens at an address, and which ones have ended there.

        The state is kept even without the role: this daemon needs it if it coordinates later,
        since a connection that stays up sends its greeting only once.
        """
        self._listeners[peer.address] = peer
        self._contact.note_received(peer, boot_time())
        ended = expected - {peer.incarnation}
        self._ended |= ended
        if self._cell_coordinator is not None:
            self._cell_coordinator.core.peer_seen(peer)
            self._cell_coordinator.core.note_ended(ended)

    def control_received(self, sender: PeerId, message: ControlMessage) -> None:
        """Act on a peer's message."""
        if isinstance(message, Heartbeat | Renew):
            self._contact.note_request(sender, message.cell)
        elif isinstance(message, HeartbeatReply) and message.coordinating and sender != self._me:
            self._contact.note_coordinator_reply(boot_time())
        self._contact.note_received(sender, boot_time())
        if isinstance(message, HeartbeatReply | ReleaseReply | RenewReply):
            self._contact.note_reply(sender, boot_time())
        match message:
            case Heartbeat():
                self._on_heartbeat(sender, message)
            case HeartbeatReply() if sender.address == self._agent.coordinator:
                if message.coordinating:
                    self._election.note_received()
                else:
                    self._agent.set_coordinator("")
                    self._election.note_resigned()
            case HeartbeatReply():
                # Late reply of an earlier coordinator: no information about the present one.
                pass
            case Push():
                self._offer(message.key, message.version, message.value)
            case Digest():
                for reply in self._spread.on_digest(message):
                    self._send(sender.address, reply)
            case Announce():
                for pull in self._spread.on_announce(message, boot_time()):
                    self._send(sender.address, pull)
            case Pull():
                for reply in self._spread.on_pull(message):
                    self._send(sender.address, reply)
            case _:
                self._act(self._agent.receive(sender, message, boot_time()))

    def _on_heartbeat(self, sender: PeerId, heartbeat: Heartbeat) -> None:
        if heartbeat.cell != self._cell:
            return
        if self._cell_coordinator is not None:
            self._cell_coordinator.on_heartbeat(sender, heartbeat)
            self._send_newer_versions(sender, heartbeat)
        else:
            self._send(sender.address, HeartbeatReply(self._cell, False, 0))

    def _send_newer_versions(self, sender: PeerId, heartbeat: Heartbeat) -> None:
        """Send a member the values that are newer than those it has adopted."""
        for key, version in (
            (f"cell/{self._cell}", heartbeat.adopted),
            (f"table/{self._service}", heartbeat.table_version),
        ):
            if self._spread.version(key) > version:
                self._send(sender.address, self._spread.push(key))

    # -- versions --------------------------------------------------------------

    def record_written(self, record: CellRecord, value: bytes) -> None:
        """Adopt a record that has taken effect, and send it to every member."""
        key = f"cell/{record.cell}"
        if self._offer(key, record.version, value):
            for member in record.members:
                if member.incarnation != self._me.incarnation:
                    self._send(member.peer, self._spread.push(key))

    def table_read(self, service: str, value: bytes) -> None:
        """Adopt a table value that was read from the platform, and send it to every member."""
        table = ServiceTable.from_bytes(service, value)
        key = f"table/{service}"
        record = self._agent.record
        if self._offer(key, table.version, value) and record is not None:
            for member in record.members:
                if member.incarnation != self._me.incarnation:
                    self._send(member.peer, self._spread.push(key))

    def has_value(self, key: str) -> bool:
        """Return whether any version of a stored key has been received."""
        return self._spread.version(key) > 0

    def value_found(self, key: str, value: bytes) -> None:
        """Adopt a value that was read from the platform; raises InvalidRecord."""
        kind, _, name = key.partition("/")
        if kind == "table":
            version = ServiceTable.from_bytes(name, value).version
        else:
            version = CellRecord.from_bytes(value).version
        self._offer(key, version, value)

    def reply(self, peer: PeerId, reply: HeartbeatReply) -> None:
        """Send the reply to a member's heartbeat."""
        self._send(peer.address, reply)

    def _offer(self, key: str, version: int, value: bytes) -> bool:
        """Adopt a value if it is newer than the one held, and announce it to some peers."""
        if self._stopped or version <= self._spread.version(key):
            return False
        kind, _, name = key.partition("/")
        try:
            if kind == "table":
                self._adopt_table(ServiceTable.from_bytes(name, value))
            elif kind == "cell":
                self._adopt_record(CellRecord.from_bytes(value), value)
            else:
                return False
        except InvalidRecord as error:
            eliot.log_message("pearward:invalid-record", key=key, error=str(error))
            return False
        self._spread.offer(key, version, value)
        for address in self._spread.choose_peers(self._peers):
            self._send(address, self._spread.announce(key))
        return True

    def _adopt_table(self, table: ServiceTable) -> None:
        self._router.set_table(table)
        if table.service.name == self._service:
            self._agent.set_table_version(table.version)
            row = table.servers.get(self._settings.server.name)
            self._server.set_fenced(row.fenced if row is not None else True)
        for callback in self._on_table:
            callback(table)

    def _adopt_record(self, record: CellRecord, value: bytes) -> None:
        self._router.set_record(record)
        self._update_peers()
        if record.cell == self._cell:
            self._contact.adopt(record)
            # Incarnations that the record no longer names need no evidence of their end.
            self._ended &= record.by_incarnation.keys()
            # This daemon holds its own port: any other incarnation at this address has ended.
            self._ended |= _listeners_at(record, self._me.address) - {self.incarnation}
            self._act(self._agent.adopt(record, value, boot_time()))
        for callback in self._on_record:
            callback(record)

    def _update_peers(self) -> None:
        """Set the peers to exchange versions with: members of all cells, and the bootstrap list."""
        known = {m.peer for r in self._router.records.values() for m in r.members}
        known.update(self._bootstrap_peers)
        self._peers = tuple(sorted(known - {self._me.address}))

    async def _find_peers(self) -> None:
        """Read the platform's list of instances once, to get the first peers."""
        while self._loop.running:
            try:
                pairs = await self._platform.scan(INSTANCES)
            except PlatformUnavailable as error:
                eliot.log_message(
                    "pearward:platform-call-failed", call="find peers", error=str(error)
                )
                pairs = []
            listed = [i for i in map(parse_instance, pairs) if i is not None]
            self._bootstrap_peers = tuple(
                f"{i.address}:{i.peer_port}" for i in listed if i.peer_port
            )
            if self._bootstrap_peers:
                self._update_peers()
                return
            await sleep(self._reactor, 1.0)

    # -- the coordinator --------------------------------------------------------

    def _coordinator_found(self, address: str) -> None:
        self._agent.set_coordinator(address)

    def _role_taken(self, lease: int) -> None:
        if self._stopped:
            spawn(self._return_role(lease))
            return
        if self._cell_coordinator is not None:
            # The role was taken again under another lease: pending calls of the earlier term
            # must not end this one.
            self._cell_coordinator.stop()
        writer = CellCoordinator(
            self._reactor,
            self._platform,
            self,
            self._me,
            self._cell,
            self._service,
            self._settings.lease,
            lease,
            self._role_lost,
        )
        self._cell_coordinator = writer
        for peer in (self._me, *self._listeners.values()):
            writer.core.peer_seen(peer)
        writer.core.note_ended(self._ended)
        writer.start()
        self._agent.set_coordinator(self._me.address)
        if self._draining_since is not None:
            # The planned stop began while the role was being taken, or no other member took it.
            writer.resign()

    async def _return_role(self, lease: int) -> None:
        """Remove the role's key with its lease, so that its end need not be noticed first."""
        try:
            await self._platform.revoke(lease)
        except PlatformUnavailable as error:
            eliot.log_message("pearward:platform-call-failed", call="revoke role", error=str(error))

    def _role_lost(self, successor: str) -> None:
        self._cell_coordinator = None
        self._agent.set_coordinator(successor)
        if not successor:
            self._election.note_resigned()

    # -- running ----------------------------------------------------------------

    def _tick(self) -> None:
        now = boot_time()
        self._act(self._agent.tick(now))
        isolated = self._contact.is_isolated(now)
        election_delay_s = self._contact.election_delay_s(now, lease_held=self.lease_held)
        may_take = self._may_take(now)
        may_replace = may_take and self._contact.may_replace_coordinator(now)
        self._election.tick(
            self._rank(), election_delay_s, may_replace=may_replace, may_take=may_take
        )
        self._fallback.tick(now, isolated=isolated)
        self._agent.set_unreachable(isolated and self._is_idle_member())
        if self._cell_coordinator is not None:
            self._cell_coordinator.tick()
            self._check_listeners(now)
        self._request_contact(now)
        if now >= self._next_digest:
            self._next_digest = now + DIGEST_S * (0.75 + 0.5 * self._rng.random())
            for address in self._spread.choose_peers(self._peers, 1):
                self._send(address, self._spread.short_digest())
        self._notify_serving_change()

    def _request_contact(self, now: float) -> None:
        """Request replies that prove contact with the cell, if none has arrived lately.

        Any daemon replies to a renewal, if only to refuse it. The nonce belongs to no renewal of
        this daemon's lease, which a reply therefore cannot extend.
        """
        addresses = self._contact.contact_requests(now, self._rng)
        if not addresses:
            return
        report = self._agent.heartbeat(now)
        request = Renew(
            self._cell, CONTACT_NONCE, report.adopted, report.released, report.table_version
        )
        for address in addresses:
            self._send(address, request)

    def _check_listeners(self, now: float) -> None:
        """Probe addresses at which another incarnation was seen than the record names.

        A connection from before the record does not prove which incarnation started last, and
        it sends no further greeting while it stays up.
        """
        record = self._agent.record
        if record is None or now < self._next_listener_check or self._pool is None:
            return
        self._next_listener_check = now + LISTENER_CHECK_S
        for member in record.members:
            seen = self._listeners.get(member.peer)
            if seen is None or seen.incarnation == member.incarnation:
                continue
            if member.incarnation not in self._ended:
                self._pool.probe(member.peer)
        if self._cell_coordinator is not None:
            self._cell_coordinator.core.note_ended(self._ended)

    def _rank(self) -> int:
        """Return this daemon's place in the order in which members look for a coordinator."""
        record = self._agent.record
        if record is None:
            return self._rng.randrange(3)
        index = record.by_incarnation.get(self._me.incarnation)
        if index is None or self._draining_since is not None:
            return len(record.members)
        return index

    def _may_take(self, now: float) -> bool:
        """Return whether this daemon may take the coordinator's role."""
        since = self._draining_since
        return since is None or now - since >= LEAVE_ROLE_S

    def _is_idle_member(self) -> bool:
        """Return whether the record lists this daemon as a member while it holds no lease.

        False while it coordinates: an isolated coordinator is the only member left.
        """
        record = self._agent.record
        member = record.member(self.incarnation) if record is not None else None
        return member is not None and not self.lease_held and not self.coordinating

    def _notify_serving_change(self) -> None:
        """Call the callbacks if the lease or the shards that may be served have changed."""
        ownership = self._agent.ownership
        key = (
            ownership.adopted,
            ownership.serving_count,
            self._agent.lease.term,
            self.lease_held,
        )
        if key != self._serving_state:
            self._serving_state = key
            eliot.log_message(
                "pearward:serving-state", cell=self._cell, version=ownership.adopted,
                lease_held=self.lease_held, term=self._agent.lease.term,
                shards=ownership.shard_count, serving=ownership.serving_count,
                released=ownership.released, awaited=ownership.awaited_releases(),
            )  # fmt: skip
            for callback in self._on_serving_changed:
                callback()

    def _act(self, actions: list[Action]) -> None:
        """Carry out the agent's actions."""
        for action in actions:
            match action:
                case Send():
                    self._send(action.address, action.message)
                case GrantServer():
                    spawn(self._grant(action))
                case Abort():
                    for callback in self._on_abort:
                        callback(action.runs)
        if actions:
            self._notify_serving_change()

    def _send(self, address: str, message: ControlMessage) -> None:
        if address == self._me.address:
            # Messages to itself, such as the coordinator's own heartbeat, need no connection.
            self.control_received(self._me, message)
        elif self._pool is not None and address:
            self._pool.send_control(address, message)

    # -- the server --------------------------------------------------------------

    async def _grant(self, grant: GrantServer) -> None:
        """Send the server the full set of shards that it owns now."""
        accepted = await self._server.grant(grant)
        if self._stopped:
            return
        self._act(self._agent.server_granted(grant, accepted, boot_time()))
        # Requests wait for this reply, even if it causes no action.
        self._notify_serving_change()


def _listeners_at(record: CellRecord, address: str) -> frozenset[str]:
    """Return the incarnations of the members that a record places at an address."""
    return frozenset(m.incarnation for m in record.members if m.peer == address)
