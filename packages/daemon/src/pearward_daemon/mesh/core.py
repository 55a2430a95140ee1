"""What a daemon knows and decides together with the others; no socket is opened here.

Joins the store's session, the target beside this daemon, the key maps and the planner. All
that leaves goes through the store's port and one function that sends a message to a peer,
so that tests run many of these in one process and in virtual time.
"""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from pearward_coordination.directory import Directory
from pearward_coordination.link_queue import LinkQueue
from pearward_coordination.messages import (
    Announce,
    AskChanges,
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
    TellChanges,
)
from pearward_coordination.overload.policy import Mechanism
from pearward_protocol.entries import key_map_key
from pearward_protocol.etcd import KeyValue, WatchEvent
from pearward_state.crashes import CrashRecord
from pearward_state.errors import InvalidRecord
from pearward_state.keymap import KeyMap, Predecessor
from pearward_state.members import Member, TargetState
from pearward_state.routes import RoutingTable
from pearward_transport.clock import boot_time
from pearward_transport.http_client import ServerClient
from pearward_transport.store import FleetStore

from .crash_control import CrashControl
from .crash_guard import CrashGuard
from .dialect import Dialect, GrantPort
from .drain_control import DrainControl
from .key_maps import KeyMaps
from .key_planner import REPORT_INTERVAL_S, TICK_S, KeyPlanner
from .log import DecisionLog
from .member_feed import MemberFeed
from .settings import MeshSettings
from .store_session import StoreSession
from .target_lease import TargetLease, Witnesses
from .target_side import TargetInfo, TargetSide

__all__ = ["MeshCore", "SendControl"]

ASK_INTERVAL_S = 0.5
"""Seconds between two questions to the same daemon about the same keys: it answers by itself
once they are let go, so a question is sent again only in case it was lost."""
ANSWERS_KEPT = 1024
"""Questions of others that wait for keys to be let go, at most."""


class SendControl(Protocol):
    """Sends a message to another daemon; it may be lost."""

    def __call__(self, address: str, message: ControlMessage) -> None:
        """Send *message* to the daemon at *address* (IP:port)."""


class MeshCore:
    """Membership, configuration and ownership as one daemon sees them."""

    def __init__(
        self,
        reactor: Any,
        settings: MeshSettings,
        store: FleetStore,
        dialect: Dialect,
        log: DecisionLog,
        me: PeerId,
        client: ServerClient,
        send: SendControl,
        link: LinkQueue,
        grants: GrantPort,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._dialect = dialect
        self._log = log
        self._me = me
        self._send = send
        self._directory = Directory(
            settings.failure_domain, settings.instance,
            few_looks=settings.overload.uses(Mechanism.FEW_LOOKS),
        )  # fmt: skip
        self._maps = KeyMaps(log)
        self._crashes = CrashControl(settings, self._directory, log, send, self._keep_crash)
        guard = CrashGuard(self._crashes.quarantine, log, self._crashes.crashed_here)
        self._side = TargetSide(reactor, settings, dialect, log, client, link, grants, guard)
        self._planner = KeyPlanner(
            settings, store, self._directory, self._maps, log, self._spread, self._ask_former
        )
        self._witnesses = Witnesses(settings.holds, self._maps)
        self._lease = TargetLease(
            settings.instance, settings.service, settings.holds, self._side.keeper, self._maps,
            self._directory, self._witnesses, log, send,
        )  # fmt: skip
        self._drains = DrainControl(settings.failure_domains, dialect, log, self._drains_in_force)
        self._feed = MemberFeed(reactor, settings, store, self._directory, send, log, self._drains)
        self._session = StoreSession(reactor, settings, store, log, self, self._feed)
        self._table: RoutingTable | None = None
        self._on_table: Callable[[RoutingTable], None] | None = None
        self._former: list[str] = []
        self._members_known = False
        self._stopping = False
        self._asked: dict[tuple[str, int, int, int], float] = {}
        self._askers: dict[AskKeys, PeerId] = {}
        self._pulled: dict[str, float] = {}
        self._maps.on_newer(self._map_adopted)

    # -- properties -------------------------------------------------------------

    @property
    def directory(self) -> Directory:
        """The members."""
        return self._directory

    @property
    def key_maps(self) -> KeyMaps:
        """Who owns which keys."""
        return self._maps

    @property
    def side(self) -> TargetSide:
        """The target beside this daemon."""
        return self._side

    @property
    def session(self) -> StoreSession:
        """The dealings with the store."""
        return self._session

    @property
    def feed(self) -> MemberFeed:
        """Where changes of the members are heard of."""
        return self._feed

    @property
    def planner(self) -> KeyPlanner:
        """The duty of planning, which this daemon may have."""
        return self._planner

    @property
    def drains(self) -> DrainControl:
        """The drained failure domains."""
        return self._drains

    @property
    def crashes(self) -> CrashControl:
        """The crashes of targets, and what follows from them."""
        return self._crashes

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force; None before one was read."""
        return self._table

    @property
    def missing(self) -> str:
        """What keeps this daemon from taking callers' requests, or nothing."""
        if self._stopping:
            return "stopping"
        if self._table is None:
            return "no configuration yet"
        if not self._members_known:
            return "members not known yet"
        return ""

    # -- life ----------------------------------------------------------------------

    def start(self, on_table: Callable[[RoutingTable], None]) -> None:
        """Begin; *on_table* is called with each configuration that comes into force."""
        self._on_table = on_table
        self._session.start()
        self._side.listen(self)
        self._tick()
        self._report()
        self._renew()

    def stop(self) -> None:
        """Give the duty up, and the work of a target that any other can do.

        Who is told to stop while its target lives is started again in a moment: whether its
        keys move meanwhile is the planner's decision.
        """
        self._stopping = True
        self._side.stop()
        self._publish()
        self._send_report()

    # -- regular work -----------------------------------------------------------------

    def _tick(self) -> None:
        self._reactor.callLater(TICK_S, self._tick)
        self._directory.expire(boot_time())
        self._planner.own_entry(self._session.registered)
        if self._table is not None and self._members_known:
            self._planner.tick(self._table.keyed_services, self._stopping)
        self._side.reconsider()
        self._lease.ask_releases()
        self._answer_askers()
        self._feed.tick()

    def _renew(self) -> None:
        """Keep the lease under which keys are granted."""
        self._reactor.callLater(self._settings.holds.lease.renew_s, self._renew)
        if self._lease.renew():
            self._side.reconsider()

    def _report(self) -> None:
        self._reactor.callLater(REPORT_INTERVAL_S, self._report)
        self._send_report()

    def _send_report(self) -> None:
        """Tell the planner what this daemon sees of its keyed target."""
        if self._table is None or self._settings.service not in self._table.keyed_services:
            return
        holder = self._planner.duty_holder()
        if holder is None:
            return
        report = self._side.take_report()
        if not report.target and not report.ended:
            return
        if holder.instance == self._settings.instance:
            self._planner.reported(report)
        else:
            self._send(holder.peer_address, report)

    # -- the store --------------------------------------------------------------------

    def configuration_read(self, document: bytes) -> None:
        """Put a configuration in force if it is newer than the present one."""
        try:
            table = self._dialect.configuration(document)
        except InvalidRecord as error:
            self._log.decided("configuration_unreadable", failure=True, error=str(error))
            return
        present = self._table
        if present is not None and table.version <= present.version:
            return
        self._log.decided(
            "configuration_in_force", version=table.version, routes=len(table.routes),
            before=present.version if present is not None else 0,
        )  # fmt: skip
        self._table = table
        if self._on_table is not None:
            self._on_table(table)
        self._side.set_rules(table.rules(self._settings.service))
        self._publish()

    def drains_read(self, items: list[KeyValue], revision: int) -> None:
        """Take all drains of failure domains."""
        self._drains.entries_read(items, revision)

    def drain_changed(self, event: WatchEvent) -> None:
        """Take one changed drain of a failure domain."""
        self._drains.entry_changed(event)

    def drains_complete_to(self, revision: int) -> None:
        """All changes of drains up to a revision have been taken."""
        self._drains.complete_to(revision)

    def _drains_in_force(self, since: Mapping[str, float]) -> None:
        """Let no target of a drained failure domain be chosen, nor the own one work on."""
        self._directory.set_drained(since)
        self._side.set_drained(since.get(self._settings.failure_domain))

    def members_read(self, members: list[Member]) -> None:
        """Take all members' entries."""
        self._members_known = True
        self._directory.entries_read(members, boot_time())

    def member_written(self, member: Member) -> None:
        """Take a member's new or changed entry; who is new may have missed a key map."""
        known = self._directory.instance(member.instance)
        self._directory.entry_written(member)
        new = known is None or known.incarnation != member.incarnation
        if new and self._planner.on_duty and member.instance != self._settings.instance:
            for service in self._table.keyed_services if self._table is not None else ():
                self._send_map(service, PeerId(member.incarnation, member.peer_address))

    def member_gone(self, instance: str) -> None:
        """A member's entry went."""
        self._log.decided("member_entry_gone", instance=instance)
        self._directory.entry_gone(instance, boot_time())

    def crashes_read(self, records: list[CrashRecord]) -> None:
        """Take crashes of targets that the store has."""
        self._crashes.recorded(records)

    def _keep_crash(self, record: CrashRecord) -> None:
        """Have the store keep a crash of the target beside this daemon."""
        self._session.record_crash(record)

    def key_maps_read(self, key_maps: list[KeyMap], era: int) -> None:
        """Take the key maps that the store has, read in an era of it.

        Later maps than one of an earlier era may be lost: it is not acted on before the planner
        has written it anew.
        """
        for key_map in key_maps:
            if key_map.era >= era:
                self._maps.adopt(key_map)
        self._witnesses.maps_read(era)

    def store_answers(self, since: float | None) -> None:
        """Take since when the store has answered."""
        self._directory.store_answers(since)

    def former_targets(self, targets: list[str]) -> None:
        """Take the targets that earlier lives of this daemon granted keys to."""
        self._former = targets
        self._side.former_known(targets)
        self._note_former()

    # -- the target --------------------------------------------------------------------

    def target_info_changed(self, info: TargetInfo | None) -> None:
        """Tell the others of the target beside this daemon."""
        self._note_former()
        self._publish()
        if info is not None and info.state is not TargetState.READY:
            self._send_report()

    def keys_changed(self) -> None:
        """Answer those who asked for keys, and tell the planner."""
        self._answer_askers()
        self._send_report()

    def keys_wanted(self) -> None:
        """Ask the daemons beside the predecessors whether they let the keys go."""
        now = boot_time()
        key_map = self._side.keeper.key_map
        if key_map is None:
            return
        for pending in self._side.keeper.pending(now):
            for predecessor in pending.predecessors:
                question = AskKeys(
                    key_map.service, predecessor.target, predecessor.fence,
                    pending.first, pending.last, key_map.version,
                )  # fmt: skip
                self._ask(question, now)
        self._asked = {k: at for k, at in self._asked.items() if now - at < 4 * ASK_INTERVAL_S}

    def map_wanted(self) -> None:
        """Ask the planner for its key map: the target knows a newer one."""
        self.want_map_of_planner(self._settings.service)

    def _ask(self, question: AskKeys, now: float) -> None:
        member = self._directory.member_of(question.target)
        key = (question.target, question.first, question.last, question.fence)
        if member is None or now - self._asked.get(key, -1.0) < ASK_INTERVAL_S:
            return
        if member.instance != self._settings.instance:
            self._asked[key] = now
            self._send(member.peer_address, question)

    def _note_former(self) -> None:
        """Find which of the targets of earlier lives are known to have ended."""
        info = self._side.info
        if info is None:
            return
        older = self._former
        if info.target in older:
            older = older[: older.index(info.target)]
        for target in older:
            self._side.note_ended(target)

    def _publish(self) -> None:
        """Write this daemon's entry as its target is now."""
        info = self._side.info
        table = self._table
        if table is None:
            return
        if info is None:
            former = self._directory.instance(self._settings.instance)
            if former is None or former.incarnation != self._me.incarnation:
                return
            # The target has ended: nobody may choose it any more.
            info = TargetInfo("", former.slots, former.state, 0.0)
        member = Member(
            instance=self._settings.instance,
            failure_domain=self._settings.failure_domain,
            peer_address=self._me.address,
            incarnation=self._me.incarnation,
            service=self._settings.service,
            target=info.target,
            slots=info.slots,
            state=info.state,
            cold_until=round(info.cold_until, 1),
            stopping=self._stopping,
            link_mbit_per_s=self._settings.link_mbit_per_s,
        )
        keyed = self._settings.service in table.keyed_services
        # Known here at once; the others learn it from the store.
        self._directory.entry_written(member)
        self._session.publish(member, keyed and bool(info.target))

    # -- key maps ---------------------------------------------------------------------

    def _map_adopted(self, key_map: KeyMap) -> None:
        if key_map.service == self._settings.service:
            self._side.adopt(key_map)

    def _spread(self, key_map: KeyMap) -> None:
        """Tell every other daemon of a map that this one wrote."""
        message = self._maps.message(key_map.service, key_map.version - 1)
        if message is None:
            return
        for member in self._directory.members:
            if member.instance != self._settings.instance:
                self._send(member.peer_address, message)

    def want_map_of_planner(self, service: str) -> None:
        """Ask the planner for its key map of a service: there is none here, or an old one."""
        holder = self._planner.duty_holder()
        if holder is not None and holder.instance != self._settings.instance:
            self.want_map(service, holder.peer_address)

    def want_map(self, service: str, address: str) -> None:
        """Ask another daemon for its key map of a service."""
        now = boot_time()
        if now - self._pulled.get(service, -1.0) >= ASK_INTERVAL_S:
            self._pulled[service] = now
            held = self._maps.version(service)
            self._send(address, Pull((key_map_key(service),), held))

    # -- peers -----------------------------------------------------------------------------

    def control_received(self, sender: PeerId, message: ControlMessage) -> None:
        """Take a control message."""
        match message:
            case KeyReport():
                self._directory.heard(message.target, boot_time())
                version = self._planner.reported(message)
                if version > message.version:
                    self._send_map(message.service, sender, message.version)
                elif version < message.version:
                    self.want_map(message.service, sender.address)
            case Renew():
                self._asked_to_renew(message, sender)
            case RenewReply():
                if message.version > self._maps.version(message.cell):
                    self.want_map(message.cell, sender.address)
                if self._lease.renewed(sender, message):
                    self._side.reconsider()
            case AskRelease():
                if message.version > self._maps.version(message.cell):
                    self.want_map(message.cell, sender.address)
                self._send(sender.address, self._witnesses.release(message))
            case ReleaseReply() if not message.owner:
                self._former_over(sender, message)
            case ReleaseReply():
                if self._lease.released(sender, message):
                    self._side.reconsider()
            case AskKeys():
                self._asked_for_keys(message, sender)
            case KeysLetGo():
                predecessor = Predecessor(message.target, message.fence)
                self._side.released_elsewhere(predecessor, message.rows)
            case Push():
                self._maps.take(message)
            case PushChange():
                if self._maps.take_change(message, sender.address):
                    # Whole: what was held did not do.
                    self._send(sender.address, Pull((message.key,)))
            case Pull():
                for key in message.keys:
                    self._send_map(key.rpartition("/")[2], sender, message.held)
            case TargetCrashed():
                self._crashes.told(message)
            case AskChanges():
                self._feed.asked(sender, message)
            case TellChanges():
                self._feed.told(message)
            case Announce():
                if message.version > self._maps.version(message.key.rpartition("/")[2]):
                    self._send(sender.address, Pull((message.key,)))
            case _:
                self._log.decided("message_unknown", kind=type(message).__name__)

    def _asked_to_renew(self, ask: Renew, sender: PeerId) -> None:
        """Answer as a witness; who is behind is brought up to date, whichever of the two."""
        known = self._maps.version(ask.cell)
        if ask.adopted > known:
            self.want_map(ask.cell, sender.address)
        elif ask.adopted < known:
            self._send_map(ask.cell, sender, ask.adopted)
        self._send(sender.address, self._witnesses.renew(ask))

    def _ask_former(self, instance: str, ask: AskRelease) -> None:
        """Ask an instance whether leases run there by maps of earlier eras of the store."""
        if instance == self._settings.instance:
            self._planner.former_over(instance, self._witnesses.release(ask))
        elif (member := self._directory.instance(instance)) is not None:
            self._send(member.peer_address, ask)

    def _former_over(self, sender: PeerId, reply: ReleaseReply) -> None:
        for member in self._directory.members:
            if member.peer_address == sender.address:
                self._planner.former_over(member.instance, reply)

    def _send_map(self, service: str, peer: PeerId, held: int = 0) -> None:
        """Send a peer the newest map, or the change to it from the one that it holds."""
        message = self._maps.message(service, held)
        if message is not None:
            self._send(peer.address, message)

    def _asked_for_keys(self, question: AskKeys, asker: PeerId) -> None:
        """Answer now, or when the keys are let go."""
        if question.version > self._maps.version(question.service):
            self.want_map(question.service, asker.address)
        if question.service != self._settings.service:
            # Not a target of this instance: its witnesses know when its lease is over.
            self._log.decided("question_not_for_here", service=question.service)
            return
        if len(self._askers) < ANSWERS_KEPT:
            self._askers[question] = asker
        self._answer_askers()

    def _answer_askers(self) -> None:
        """Answer every question whose keys have been let go."""
        now = boot_time()
        for question, asker in list(self._askers.items()):
            rows = self._side.keeper.release_of(
                question.target, question.first, question.last, question.fence,
                question.version, now,
            )  # fmt: skip
            if rows is None:
                continue
            del self._askers[question]
            answer = KeysLetGo(question.service, question.target, question.fence, tuple(rows))
            self._send(asker.address, answer)
