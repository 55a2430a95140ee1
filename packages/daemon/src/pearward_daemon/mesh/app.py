"""All parts of one daemon on a users' platform, put together, started and stopped."""

import secrets
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import Site

from pearward_coordination.directory import Directory
from pearward_coordination.messages import (
    Announce,
    AskKeys,
    ControlMessage,
    KeyReport,
    KeysLetGo,
    PeerId,
    Pull,
    Push,
)
from pearward_protocol.entries import key_map_key
from pearward_protocol.heads import RequestHead
from pearward_state.errors import InvalidRecord
from pearward_state.keymap import KeyMap, Predecessor
from pearward_state.members import Member
from pearward_transport.clock import boot_time
from pearward_transport.http_client import ServerClient
from pearward_transport.http_server import CallerFactory, HttpLimits
from pearward_transport.peer import InboundHandler, PeerConnection, PeerListener, PeerPool
from pearward_transport.store import FleetStore

from ..exchange import PeerReply
from .dialect import Dialect
from .ingress import WINDOW, MeshIngress
from .key_maps import KeyMaps
from .key_planner import REPORT_INTERVAL_S, TICK_S, KeyPlanner
from .log import DecisionLog
from .metrics import LateMetrics
from .settings import MeshSettings
from .store_session import StoreSession
from .target_side import TargetInfo, TargetSide

__all__ = ["MeshDaemon"]

ASK_INTERVAL_S = 0.12
"""Seconds between two questions to the same daemon whether keys were let go."""
ANSWERS_KEPT = 64
"""Questions of others that wait for keys to be let go, at most."""
READY_OFF_S = 2.4
"""Seconds after SIGTERM in which callers still come: the platform takes an instance out
after two questions a second apart without a 200."""
STOP_CHECK_S = 0.1
STOP_MARGIN_S = 0.4
"""Seconds before the platform's SIGKILL by which this daemon ends by itself."""
HEADER_COUNT = 200
IDLE_MARGIN_S = 1.0
"""Seconds for which a caller's connection is kept beyond the configuration's idle time."""


class MeshDaemon:
    """One pearwardd on a users' platform."""

    def __init__(
        self,
        reactor: Any,
        settings: MeshSettings,
        store: FleetStore,
        dialect: Dialect,
        beat_site: Callable[[TargetSide], Site],
        rng: Random,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._dialect = dialect
        self._beat_site = beat_site
        self._me = PeerId(secrets.token_hex(8), str(settings.peers))
        self._log = DecisionLog(settings.log_lines_per_s, boot_time)
        self._directory = Directory(settings.failure_domain)
        self._maps = KeyMaps(self._log)
        self._side = TargetSide(
            reactor, settings, dialect, self._log, ServerClient(reactor, settings.target_address)
        )
        self._pool = PeerPool(self._me, self, reactor, window=WINDOW, bind_ip=settings.peers.ip)
        self._metrics = LateMetrics(settings.instance)
        self._ingress = MeshIngress(
            reactor, settings, dialect, self._directory, self._maps, self._side, self._pool,
            self._log, self._metrics, rng, self._want_map,
        )  # fmt: skip
        self._planner = KeyPlanner(
            settings, store, self._directory, self._maps, self._log, self._spread
        )
        self._session = StoreSession(reactor, settings, store, self._log, self)
        self._callers: CallerFactory | None = None
        self._caller_port: Any = None
        self._former: list[str] = []
        self._members_known = False
        self._stopping_since: float | None = None
        self._stopped: Deferred[None] = Deferred()
        self._asked: dict[tuple[str, int, int, int], float] = {}
        self._askers: dict[AskKeys, PeerId] = {}
        self._pulled: dict[str, float] = {}
        self._maps.on_newer(self._map_adopted)

    # -- life ----------------------------------------------------------------------

    def start(self) -> "Deferred[None]":
        """Listen and begin; the Deferred fires when the daemon has stopped."""
        settings = self._settings
        listen = self._reactor.listenTCP
        limits = HttpLimits(64 * 1024, HEADER_COUNT, 60.0)
        self._callers = CallerFactory(self._ingress, self._reactor, limits)
        peers = PeerListener(self._me, self, self._reactor, WINDOW)
        listen(settings.peers.port, peers, interface=settings.peers.ip, backlog=512)
        self._session.start()
        self._side.listen(self)
        heartbeats = self._beat_site(self._side)
        listen(settings.heartbeats.port, heartbeats, interface=settings.heartbeats.ip)
        listen(settings.readiness.port, self._status_site(), interface=settings.readiness.ip)
        listen(settings.metrics.port, self._status_site(), interface=settings.metrics.ip)
        self._caller_port = listen(
            settings.callers.port, self._callers, interface=settings.callers.ip, backlog=512
        )
        self._export_gauges()
        self._log.decided(
            "started", instance=settings.instance, incarnation=self._me.incarnation,
            service=settings.service, peers=self._me.address,
        )  # fmt: skip
        self._tick()
        self._report()
        return self._stopped

    def stop(self) -> None:
        """Hand the target's work over, let what runs end, then stop; may be called twice."""
        if self._stopping_since is not None:
            return
        self._stopping_since = boot_time()
        self._log.decided(
            "stopping", open=self._ingress.open_requests, at_target=self._side.open_requests
        )
        self._side.stop()
        self._ingress.stop()
        self._send_report()
        self._check_stopped()

    def reload(self, settings: MeshSettings) -> None:
        """Take changed settings: what is fixed for a process's life is only compared."""
        changed = settings != self._settings
        self._log.decided("settings_read", changed=changed)

    def _check_stopped(self) -> None:
        """End once nothing is left, or shortly before the platform ends this process."""
        assert self._stopping_since is not None
        waited_s = boot_time() - self._stopping_since
        over = waited_s >= self._settings.stop_s - STOP_MARGIN_S
        # Without a target there are no callers here that others could serve.
        least_s = READY_OFF_S if self._side.info is not None else READY_OFF_S / 2
        idle = not self._ingress.open_requests and not self._side.open_requests
        if over or (idle and waited_s >= least_s):
            self._end(waited_s)
        else:
            self._reactor.callLater(STOP_CHECK_S, self._check_stopped)

    def _end(self, waited_s: float) -> None:
        self._log.decided("stopped", waited_s=round(waited_s, 3), cut=self._ingress.open_requests)
        self._caller_port.stopListening()
        self._session.stop().addBoth(self._ended)

    def _ended(self, _: object) -> None:
        self._pool.close()
        self._stopped.callback(None)

    # -- regular work -----------------------------------------------------------------

    def _tick(self) -> None:
        self._reactor.callLater(TICK_S, self._tick)
        self._directory.expire(boot_time())
        table = self._ingress.table
        if table is not None and self._members_known:
            stopping = self._stopping_since is not None
            self._planner.tick(table.keyed_services, stopping)
        self._side.reconsider()
        self._answer_askers()

    def _report(self) -> None:
        self._reactor.callLater(REPORT_INTERVAL_S, self._report)
        self._send_report()

    def _send_report(self) -> None:
        """Tell the planner what this daemon sees of its keyed target."""
        table = self._ingress.table
        if table is None or self._settings.service not in table.keyed_services:
            return
        holder = self._planner.duty_holder()
        if holder is None:
            return
        report = self._side.report()
        if not report.target and not report.ended:
            return
        if holder.instance == self._settings.instance:
            self._planner.reported(report)
        else:
            self._pool.send_control(holder.peer_address, report)

    # -- the store --------------------------------------------------------------------

    def configuration_read(self, document: bytes) -> None:
        """Put a configuration in force if it is newer than the present one."""
        try:
            table = self._dialect.configuration(document)
        except InvalidRecord as error:
            self._log.decided("configuration_unreadable", failure=True, error=str(error))
            return
        present = self._ingress.table
        if present is not None and table.version <= present.version:
            return
        self._log.decided(
            "configuration_in_force", version=table.version, routes=len(table.routes),
            before=present.version if present is not None else 0,
        )  # fmt: skip
        self._ingress.set_table(table)
        if self._callers is not None:
            idle_s = table.limits.idle_timeout_s + IDLE_MARGIN_S
            self._callers.set_limits(HttpLimits(table.limits.header_bytes, HEADER_COUNT, idle_s))
        self._side.set_keyed(self._settings.service in table.keyed_services)
        self._publish()

    def members_read(self, members: list[Member]) -> None:
        """Take all members' entries."""
        self._members_known = True
        self._directory.entries_read(members, boot_time())

    def member_written(self, member: Member) -> None:
        """Take a member's new or changed entry."""
        self._directory.entry_written(member)

    def member_gone(self, instance: str) -> None:
        """A member's entry went."""
        self._log.decided("member_entry_gone", instance=instance)
        self._directory.entry_gone(instance, boot_time())

    def key_maps_read(self, key_maps: list[KeyMap]) -> None:
        """Take the key maps that the store has."""
        for key_map in key_maps:
            self._maps.adopt(key_map)

    def former_targets(self, targets: list[str]) -> None:
        """Take the targets that earlier lives of this daemon granted keys to."""
        self._former = targets
        self._note_former()

    def authority_renewed(self, sent_at: float) -> None:
        """The store confirmed the lease: keys may be granted for a while longer."""
        first = self._side.keeper.authority_until <= boot_time()
        self._side.keeper.renewed(sent_at)
        if first:
            self._log.decided("authority_gained", target=self._side.keeper.target)
            self._side.reconsider()

    def authority_lost(self) -> None:
        """The lease is over, or does not yet stand for this target."""
        self._side.keeper.authority_lost()

    # -- the target --------------------------------------------------------------------

    def target_info_changed(self, info: TargetInfo | None) -> None:
        """Tell the others of the target beside this daemon."""
        self._note_former()
        self._publish()
        if info is not None and info.state.value != "ready":
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
        self._asked = {k: at for k, at in self._asked.items() if now - at < 10 * ASK_INTERVAL_S}

    def _ask(self, question: AskKeys, now: float) -> None:
        member = self._directory.member_of(question.target)
        key = (question.target, question.first, question.last, question.fence)
        if member is None or now - self._asked.get(key, -1.0) < ASK_INTERVAL_S:
            return
        if member.instance != self._settings.instance:
            self._asked[key] = now
            self._pool.send_control(member.peer_address, question)

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
        table = self._ingress.table
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
        entry = self._maps.entry(key_map_key(key_map.service))
        if entry is None:
            return
        version, value = entry
        message = Push(key_map_key(key_map.service), version, value)
        for member in self._directory.members:
            if member.instance != self._settings.instance:
                self._pool.send_control(member.peer_address, message)

    def _want_map(self, service: str, address: str) -> None:
        """Ask another daemon for its key map of a service."""
        now = boot_time()
        if now - self._pulled.get(service, -1.0) >= ASK_INTERVAL_S:
            self._pulled[service] = now
            self._pool.send_control(address, Pull((key_map_key(service),)))

    # -- peers -----------------------------------------------------------------------------

    def request_received(
        self,
        connection: PeerConnection,
        stream: int,
        head: RequestHead,
        ended: bool,
        body: bytes,
    ) -> InboundHandler:
        """Take a request that began at another daemon."""
        if head.version > self._maps.version(head.service) and connection.peer is not None:
            self._want_map(head.service, connection.peer.address)
        return self._side.take(head, ended, body, PeerReply(connection, stream))

    def control_received(self, sender: PeerId, message: ControlMessage) -> None:
        """Take a control message."""
        match message:
            case KeyReport():
                version = self._planner.reported(message)
                if version > message.version:
                    self._send_map(message.service, sender)
            case AskKeys():
                self._asked_for_keys(message, sender)
            case KeysLetGo():
                predecessor = Predecessor(message.target, message.fence)
                self._side.released_elsewhere(predecessor, message.rows)
            case Push():
                self._maps.adopt_entry(message.value)
            case Pull():
                for key in message.keys:
                    self._send_map(key.rpartition("/")[2], sender)
            case Announce():
                if message.version > self._maps.version(message.key.rpartition("/")[2]):
                    self._pool.send_control(sender.address, Pull((message.key,)))
            case _:
                self._log.decided("message_unknown", kind=type(message).__name__)

    def _send_map(self, service: str, peer: PeerId) -> None:
        entry = self._maps.entry(key_map_key(service))
        if entry is not None:
            self._pool.send_control(peer.address, Push(key_map_key(service), *entry))

    def _asked_for_keys(self, question: AskKeys, asker: PeerId) -> None:
        """Answer now, or when the keys are let go."""
        if question.version > self._maps.version(question.service):
            self._want_map(question.service, asker.address)
        if len(self._askers) < ANSWERS_KEPT:
            self._askers[question] = asker
        self._answer_askers()

    def _answer_askers(self) -> None:
        """Answer every question whose keys have been let go."""
        now = boot_time()
        for question, asker in list(self._askers.items()):
            rows = self._side.keeper.release_of(
                question.target, question.first, question.last, question.fence, now
            )
            if rows is None:
                continue
            del self._askers[question]
            answer = KeysLetGo(question.service, question.target, question.fence, tuple(rows))
            self._pool.send_control(asker.address, answer)

    def expected_at(self, address: str) -> frozenset[str]:
        """Nothing here is concluded from who listens at an address."""
        return frozenset()

    def peer_answered(self, peer: PeerId, expected: frozenset[str]) -> None:
        """Nothing here is concluded from who listens at an address."""

    # -- readiness, metrics ---------------------------------------------------------------

    def _missing(self) -> str:
        """Return what keeps this daemon from taking callers' requests, or nothing."""
        if self._stopping_since is not None:
            return "stopping"
        if self._ingress.table is None:
            return "no configuration yet"
        if not self._members_known:
            return "members not known yet"
        return ""

    def _status_site(self) -> Site:
        site = Site(_Status(self._missing, self._metrics.exposition))
        site.noisy = False
        return site

    def _export_gauges(self) -> None:
        gauge = self._metrics.gauge
        side = self._side
        gauge("pearward.running", "Requests at the target", lambda: side.load().running)
        gauge("pearward.waiting", "Requests that wait", lambda: side.load().waiting)
        gauge("pearward.open", "Callers' requests", lambda: self._ingress.open_requests)
        gauge("pearward.map.version", "Key map acted on", lambda: side.map_version)
        gauge(
            "pearward.authority.left", "Seconds for which keys may be granted",
            lambda: max(0.0, side.keeper.authority_until - boot_time()),
        )  # fmt: skip
        gauge(
            "pearward.configuration.version", "Configuration in force",
            lambda: self._ingress.table.version if self._ingress.table is not None else 0,
        )  # fmt: skip
        gauge("pearward.members", "Members known", lambda: len(self._directory.members))
        gauge("pearward.store.available", "Store answers", lambda: float(self._session.available))


class _Status(Resource):
    """Readiness and metrics."""

    isLeaf = True

    def __init__(self, missing: Callable[[], str], exposition: Callable[[], bytes]) -> None:
        super().__init__()
        self._missing = missing
        self._exposition = exposition

    def render_GET(self, request: Any) -> bytes:
        request.setHeader(b"Content-Type", b"text/plain")
        if request.path.endswith(b"/metrics"):
            return self._exposition()
        missing = self._missing()
        if missing:
            request.setResponseCode(503)
        return (missing or "ready").encode() + b"\n"
