"""Membership, configuration and key ownership of one daemon, without sockets.

Connects the store session, the local target, the key maps and the planner. All output goes
through the store client and one function that sends a message to a peer, so that tests can run
many instances in one process and in virtual time.
"""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from pearward_coordination.directory import Directory
from pearward_coordination.former_incarnation import Registration
from pearward_coordination.link_queue import LinkQueue
from pearward_coordination.messages import (
    Announce,
    AskChanges,
    AskDeparture,
    AskKeys,
    AskRelease,
    ControlMessage,
    KeyReport,
    KeysLetGo,
    PeerId,
    Pull,
    Push,
    PushChange,
    ReleaseReply,
    Renew,
    RenewReply,
    TargetCrashed,
    TargetDeparted,
    TellChanges,
)
from pearward_coordination.near_first import near_samples
from pearward_coordination.overload.policy import Mechanism
from pearward_protocol.entries import key_map_key
from pearward_protocol.etcd import KeyValue, WatchEvent
from pearward_state.crashes import CrashRecord
from pearward_state.errors import InvalidRecord
from pearward_state.keymap import KeyMap, Predecessor
from pearward_state.members import Departure, Member
from pearward_state.routes import RoutingTable
from pearward_transport.clock import boot_time
from pearward_transport.http_client import ServerClient
from pearward_transport.store import FleetStore

from .crash_control import CrashControl
from .crash_guard import CrashGuard
from .departure_control import DepartureControl
from .dialect import Dialect, GrantPort
from .drain_control import DrainControl
from .key_maps import KeyMaps
from .key_planner import REPORT_INTERVAL_S, TICK_S, KeyPlanner
from .local_target import LocalTarget
from .log import DecisionLog
from .member_feed import MemberFeed
from .settings import MeshSettings
from .store_session import StoreSession
from .target_info import TargetInfo
from .target_lease import LocalWitness, TargetLease

__all__ = ["MeshCore", "SendControl"]

QUERY_INTERVAL_S = 0.5
"""Minimum seconds between two queries to the same daemon about the same keys. The daemon replies
once the keys are released, so a query is repeated only in case it was lost."""
DEPARTURE_SHARE_S = 0.3
"""Seconds after which a departure that the store has not recorded is sent to other daemons, before
the target's leave is acknowledged all the same."""
MAX_PENDING_QUERIES = 1024
"""Maximum number of queries of other daemons that wait for the release of keys."""


class SendControl(Protocol):
    """Sends a message to another daemon, without guarantee of delivery."""

    def __call__(self, address: str, message: ControlMessage) -> None:
        """Send *message* to the daemon at *address* (IP:port)."""


class MeshCore:
    """Membership, configuration and ownership as known to one daemon."""

    def __init__(
        self,
        reactor: Any,
        settings: MeshSettings,
        store: FleetStore,
        dialect: Dialect,
        log: DecisionLog,
        own_id: PeerId,
        client: ServerClient,
        send: SendControl,
        link: LinkQueue,
        grants: GrantPort,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._dialect = dialect
        self._log = log
        self._own_id = own_id
        self._send = send
        self._directory = Directory(
            settings.failure_domain, settings.instance,
            sample_candidates=settings.overload.uses(Mechanism.FEW_SAMPLES),
            near_samples=near_samples(settings.overload),
        )  # fmt: skip
        self._maps = KeyMaps(log)
        self._crashes = CrashControl(settings, self._directory, log, send, self._store_crash)
        guard = CrashGuard(self._crashes.quarantine, log, self._crashes.report_local_crash)
        self._local_target = LocalTarget(
            reactor, settings, dialect, log, client, link, grants, guard
        )
        self._planner = KeyPlanner(
            settings,
            store,
            self._directory,
            self._maps,
            log,
            self._broadcast_map,
            self._query_former_leases,
        )
        self._witnesses = LocalWitness(settings.holds, self._maps)
        self._lease = TargetLease(
            settings.instance, settings.service, settings.holds, self._local_target.grant_manager,
            self._maps, self._directory, self._witnesses, log, send,
        )  # fmt: skip
        self._drains = DrainControl(settings.failure_domains, dialect, log, self._drains_in_force)
        self._feed = MemberFeed(reactor, settings, store, self._directory, send, log, self._drains)
        self._departures = DepartureControl(
            settings.instance, log, send, self._local_target.set_former_departure
        )
        self._session = StoreSession(reactor, settings, store, log, self, self._feed)
        self._table: RoutingTable | None = None
        self._on_table: Callable[[RoutingTable], None] | None = None
        self._former_targets: list[str] = []
        self._former_known = False
        """Whether the entries of this daemon's earlier processes have been read."""
        self._members_known = False
        self._stopping = False
        self._last_query_at: dict[tuple[str, int, int, int], float] = {}
        self._pending_queries: dict[AskKeys, PeerId] = {}
        self._last_pull_at: dict[str, float] = {}
        self._maps.on_newer(self._map_adopted)

    # -- properties -------------------------------------------------------------

    @property
    def directory(self) -> Directory:
        """The directory of members."""
        return self._directory

    @property
    def key_maps(self) -> KeyMaps:
        """The key maps of all services, which assign key ranges to owners."""
        return self._maps

    @property
    def local_target(self) -> LocalTarget:
        """The daemon's half that serves its local target."""
        return self._local_target

    @property
    def session(self) -> StoreSession:
        """The session with the store."""
        return self._session

    @property
    def feed(self) -> MemberFeed:
        """The source of changes to the members' entries."""
        return self._feed

    @property
    def planner(self) -> KeyPlanner:
        """The key planner, active only while this daemon holds the planning duty."""
        return self._planner

    @property
    def drains(self) -> DrainControl:
        """The drained failure domains."""
        return self._drains

    @property
    def crashes(self) -> CrashControl:
        """The recorded crashes of targets, and the quarantine derived from them."""
        return self._crashes

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force; None before the first was read."""
        return self._table

    @property
    def unready_reason(self) -> str:
        """The reason why this daemon cannot accept callers' requests; empty if it is ready."""
        if self._stopping:
            return "stopping"
        if self._table is None:
            return "no configuration yet"
        if not self._members_known:
            return "members not known yet"
        return ""

    # -- start and stop ------------------------------------------------------------

    def start(self, on_table: Callable[[RoutingTable], None]) -> None:
        """Start; *on_table* is called with each configuration that comes into force."""
        self._on_table = on_table
        self._session.start()
        self._local_target.listen(self)
        self._run_periodic_work()
        self._report()
        self._renew()

    def stop(self) -> None:
        """Give up the planning duty, and the local target's requests that other targets can run.

        A daemon that is stopped while its target runs is usually restarted shortly after: the
        planner decides whether its keys are moved meanwhile.
        """
        self._stopping = True
        self._local_target.stop()
        self._publish()
        self._send_report()

    # -- regular work -----------------------------------------------------------------

    def _run_periodic_work(self) -> None:
        self._reactor.callLater(TICK_S, self._run_periodic_work)
        self._directory.expire(boot_time())
        self._planner.set_registered(self._session.registered)
        if self._table is not None and self._members_known:
            self._planner.tick(self._table.keyed_services, self._stopping)
        self._local_target.update_grants()
        self._lease.query_releases()
        self._answer_pending_queries()
        self._feed.tick()

    def _renew(self) -> None:
        """Renew the lease under which keys are granted, and schedule the next renewal."""
        self._reactor.callLater(self._settings.holds.lease.renew_s, self._renew)
        if self._local_target.is_identified and self._lease.renew():
            self._local_target.update_grants()

    def _report(self) -> None:
        self._reactor.callLater(REPORT_INTERVAL_S, self._report)
        self._send_report()

    def _send_report(self) -> None:
        """Report the state of the local keyed target to the planner."""
        if self._table is None or self._settings.service not in self._table.keyed_services:
            return
        holder = self._planner.active_planner()
        if holder is None or not self._local_target.is_identified:
            return
        report = self._local_target.take_report()
        if not report.target and not report.ended:
            return
        if holder.instance == self._settings.instance:
            self._planner.reported(report)
        else:
            self._send(holder.peer_address, report)

    # -- the store --------------------------------------------------------------------

    def configuration_read(self, document: bytes) -> None:
        """Put a configuration in force if it is newer than the current one."""
        try:
            table = self._dialect.configuration(document)
        except InvalidRecord as error:
            self._log.emit("configuration_unreadable", failure=True, error=str(error))
            return
        present = self._table
        if present is not None and table.version <= present.version:
            return
        self._log.emit(
            "configuration_in_force", version=table.version, routes=len(table.routes),
            previous_version=present.version if present is not None else 0,
        )  # fmt: skip
        self._table = table
        if self._on_table is not None:
            self._on_table(table)
        self._local_target.set_rules(table.rules(self._settings.service))
        self._publish()

    def drains_read(self, items: list[KeyValue], revision: int) -> None:
        """Replace all drains of failure domains."""
        self._drains.entries_read(items, revision)

    def drain_changed(self, event: WatchEvent) -> None:
        """Apply one changed drain of a failure domain."""
        self._drains.entry_changed(event)

    def drains_complete_to(self, revision: int) -> None:
        """Note that all changes of drains up to a revision have been processed."""
        self._drains.complete_to(revision)

    def _drains_in_force(self, since: Mapping[str, float]) -> None:
        """Exclude targets of drained failure domains, and bar the local one if it is among them."""
        self._directory.set_drained(since)
        self._local_target.set_drained(since.get(self._settings.failure_domain))

    def members_read(self, members: list[Member]) -> None:
        """Replace all members' entries."""
        self._members_known = True
        self._directory.entries_read(members, boot_time())

    def member_written(self, member: Member) -> None:
        """Apply a new or changed entry; a new member is sent the key maps, as it may lack them."""
        known = self._directory.instance(member.instance)
        self._directory.entry_written(member)
        new = known is None or known.incarnation != member.incarnation
        if known is None:
            self._departures.ask([member])
        if new and self._planner.is_active_planner and member.instance != self._settings.instance:
            for service in self._table.keyed_services if self._table is not None else ():
                self._send_map(service, PeerId(member.incarnation, member.peer_address))

    def member_gone(self, instance: str) -> None:
        """Apply the removal of a member's entry."""
        self._log.emit("member_entry_removed", instance=instance)
        self._directory.entry_removed(instance, boot_time())

    def crashes_read(self, records: list[CrashRecord]) -> None:
        """Apply crashes of targets that are recorded in the store."""
        self._crashes.recorded(records)

    def _store_crash(self, record: CrashRecord) -> None:
        """Record a crash of the local target in the store."""
        self._session.record_crash(record)

    def key_maps_read(self, key_maps: list[KeyMap], era: int) -> None:
        """Adopt the key maps that were read from the store in an era.

        A map of an earlier era is ignored until the planner has written it again, as later
        versions may have been lost when the store was restored from an older copy.
        """
        for key_map in key_maps:
            if key_map.era >= era:
                self._maps.adopt(key_map)
        self._witnesses.maps_read(era)

    def store_availability_changed(self, since: float | None) -> None:
        """Note since when the store has been available; None if it is not."""
        self._directory.store_answers(since)

    def former_targets(
        self,
        targets: list[str],
        registration: Registration | None,
        departure: Departure | None,
    ) -> None:
        """Note the targets that earlier incarnations of this daemon served."""
        self._former_targets = targets
        self._local_target.set_former_incarnations(targets, registration)
        if departure is not None:
            self._local_target.set_former_departure(departure)
        elif not self._former_known:
            self._departures.ask(self._feed.other_watchers)
        self._former_known = True
        self._note_ended_targets()
        self._publish()

    # -- the target --------------------------------------------------------------------

    def target_info_changed(self, info: TargetInfo | None) -> None:
        """Publish the changed state of the local target, and report it to the planner.

        A new target gets no keys before its first report.
        """
        self._note_ended_targets()
        self._publish()
        if info is not None:
            self._send_report()

    def departure_announced(self, departure: Departure) -> "Deferred[None]":
        """Record in the store that the local target leaves; else other daemons keep it."""
        recorded = self._session.record_departure(departure)

        def share() -> None:
            if not recorded.called:
                self._departures.share(departure, self._feed.other_watchers)

        self._reactor.callLater(DEPARTURE_SHARE_S if self._session.available else 0.0, share)
        return recorded

    def departure_over(self, target: str) -> None:
        """Remove the record of a departure, as the process under the id *target* has ended."""
        self._session.remove_departure(target)
        self._departures.withdraw()

    def keys_changed(self) -> None:
        """Answer pending key queries, and report to the planner."""
        self._answer_pending_queries()
        self._send_report()

    def keys_missing(self) -> None:
        """Query the predecessors' daemons for the release of keys."""
        now = boot_time()
        key_map = self._local_target.grant_manager.key_map
        if key_map is None:
            return
        for pending in self._local_target.grant_manager.pending(now):
            for predecessor in pending.predecessors:
                query = AskKeys(
                    key_map.service, predecessor.target, predecessor.fence,
                    pending.first, pending.last, key_map.version,
                )  # fmt: skip
                self._send_query(query, now)
        self._last_query_at = {
            k: at for k, at in self._last_query_at.items() if now - at < 4 * QUERY_INTERVAL_S
        }

    def map_outdated(self) -> None:
        """Request the planner's key map, as the target has seen a newer one."""
        self.request_map_from_planner(self._settings.service)

    def _send_query(self, query: AskKeys, now: float) -> None:
        member = self._directory.member_of(query.target)
        key = (query.target, query.first, query.last, query.fence)
        if member is None or now - self._last_query_at.get(key, -1.0) < QUERY_INTERVAL_S:
            return
        if member.instance != self._settings.instance:
            self._last_query_at[key] = now
            self._send(member.peer_address, query)

    def _note_ended_targets(self) -> None:
        """Mark targets of earlier incarnations as ended once a later target is known."""
        info = self._local_target.info
        if info is None:
            return
        older = self._former_targets
        if info.target in older:
            older = older[: older.index(info.target)]
        for target in older:
            self._local_target.note_ended(target)

    def _publish(self) -> None:
        """Write this daemon's entry with the current state of its target."""
        info = self._local_target.info
        table = self._table
        if table is None or not self._former_known:
            # A former process may have acknowledged that the target leaves.
            return
        if info is None:
            former = self._directory.instance(self._settings.instance)
            if former is None or former.incarnation != self._own_id.incarnation:
                return
            # The target has ended: an entry without a target id keeps others from choosing it.
            info = TargetInfo("", former.slots, former.state, 0.0)
        member = Member(
            instance=self._settings.instance,
            failure_domain=self._settings.failure_domain,
            peer_address=self._own_id.address,
            incarnation=self._own_id.incarnation,
            service=self._settings.service,
            target=info.target,
            slots=info.slots,
            state=info.state,
            cold_until=round(info.cold_until, 1),
            stopping=self._stopping,
            link_mbit_per_s=self._settings.link_mbit_per_s,
        )
        keyed = self._settings.service in table.keyed_services
        if keyed and not self._local_target.is_identified:
            return
        # The local directory is updated at once, other daemons follow through the store.
        self._directory.entry_written(member)
        self._session.publish(member, keyed and bool(info.target))

    # -- key maps ---------------------------------------------------------------------

    def _map_adopted(self, key_map: KeyMap) -> None:
        if key_map.service == self._settings.service:
            self._local_target.adopt(key_map)
            if self._local_target.is_identified and self._lease.map_adopted():
                self._local_target.update_grants()

    def _broadcast_map(self, key_map: KeyMap) -> None:
        """Send every other daemon a map that this one wrote."""
        message = self._maps.message(key_map.service, key_map.version - 1)
        if message is None:
            return
        for member in self._directory.members:
            if member.instance != self._settings.instance:
                self._send(member.peer_address, message)

    def request_map_from_planner(self, service: str) -> None:
        """Request the planner's key map of a service, where there is none here or an old one."""
        holder = self._planner.active_planner()
        if holder is not None and holder.instance != self._settings.instance:
            self.request_map(service, holder.peer_address)

    def request_map(self, service: str, address: str) -> None:
        """Request the key map of a service from another daemon."""
        now = boot_time()
        if now - self._last_pull_at.get(service, -1.0) >= QUERY_INTERVAL_S:
            self._last_pull_at[service] = now
            held = self._maps.version(service)
            self._send(address, Pull((key_map_key(service),), held))

    # -- peers -----------------------------------------------------------------------------

    def control_received(self, sender: PeerId, message: ControlMessage) -> None:
        """Process a control message."""
        match message:
            case KeyReport():
                self._directory.note_alive(message.target, boot_time())
                version = self._planner.reported(message)
                if version > message.version:
                    self._send_map(message.service, sender, message.version)
                elif version < message.version:
                    self.request_map(message.service, sender.address)
            case Renew():
                self._renewal_requested(message, sender)
            case RenewReply():
                if message.version > self._maps.version(message.cell):
                    self.request_map(message.cell, sender.address)
                if self._lease.renewed(sender, message):
                    self._local_target.update_grants()
            case AskRelease():
                if message.version > self._maps.version(message.cell):
                    self.request_map(message.cell, sender.address)
                self._send(sender.address, self._witnesses.release(message))
            case ReleaseReply() if not message.owner:
                self._former_leases_ended(sender, message)
            case ReleaseReply():
                if self._lease.released(sender, message):
                    self._local_target.update_grants()
            case AskKeys():
                self._keys_queried(message, sender)
            case KeysLetGo():
                predecessor = Predecessor(message.target, message.fence)
                self._local_target.released_by_predecessor(predecessor, message.rows)
            case Push():
                self._maps.take(message)
            case PushChange():
                if self._maps.apply_change(message, sender.address):
                    # The change does not apply to the map held here: request the whole map.
                    self._send(sender.address, Pull((message.key,)))
            case Pull():
                for key in message.keys:
                    self._send_map(key.rpartition("/")[2], sender, message.held)
            case TargetCrashed():
                self._crashes.peer_reported(message)
            case TargetDeparted():
                self._departures.told(message)
            case AskDeparture():
                self._departures.asked(sender, message)
            case AskChanges():
                self._feed.query_received(sender, message)
            case TellChanges():
                self._feed.reply_received(message)
            case Announce():
                if message.version > self._maps.version(message.key.rpartition("/")[2]):
                    self._send(sender.address, Pull((message.key,)))
            case _:
                self._log.emit("message_unknown", kind=type(message).__name__)

    def _renewal_requested(self, ask: Renew, sender: PeerId) -> None:
        """Answer as a witness, and bring whichever side has the older key map up to date."""
        known = self._maps.version(ask.cell)
        if ask.adopted > known:
            self.request_map(ask.cell, sender.address)
        elif ask.adopted < known:
            self._send_map(ask.cell, sender, ask.adopted)
        self._send(sender.address, self._witnesses.renew(ask))

    def _query_former_leases(self, instance: str, ask: AskRelease) -> None:
        """Query an instance for leases that still run by maps of earlier eras of the store."""
        if instance == self._settings.instance:
            self._planner.former_leases_reported(instance, self._witnesses.release(ask))
        elif (member := self._directory.instance(instance)) is not None:
            self._send(member.peer_address, ask)

    def _former_leases_ended(self, sender: PeerId, reply: ReleaseReply) -> None:
        for member in self._directory.members:
            if member.peer_address == sender.address:
                self._planner.former_leases_reported(member.instance, reply)

    def _send_map(self, service: str, peer: PeerId, held: int = 0) -> None:
        """Send a peer the newest map, or the change from the version that it holds."""
        message = self._maps.message(service, held)
        if message is not None:
            self._send(peer.address, message)

    def _keys_queried(self, query: AskKeys, requester: PeerId) -> None:
        """Answer a key query now, or once the keys are released."""
        if query.version > self._maps.version(query.service):
            self.request_map(query.service, requester.address)
        if query.service != self._settings.service:
            # Not a target of this instance: its witnesses report when its lease has expired.
            self._log.emit("key_query_misdirected", service=query.service)
            return
        if len(self._pending_queries) < MAX_PENDING_QUERIES:
            self._pending_queries[query] = requester
        self._answer_pending_queries()

    def _answer_pending_queries(self) -> None:
        """Answer every query whose keys have been released."""
        now = boot_time()
        for query, requester in list(self._pending_queries.items()):
            rows = self._local_target.grant_manager.released_rows(
                query.target, query.first, query.last, query.fence,
                query.version, now,
            )  # fmt: skip
            if rows is None:
                continue
            del self._pending_queries[query]
            answer = KeysLetGo(query.service, query.target, query.fence, tuple(rows))
            self._send(requester.address, answer)
