"""Assembly, start and shutdown of a daemon on a users' platform."""

import secrets
from collections.abc import Callable
from math import isfinite
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from pearward_coordination.link_queue import LinkQueue
from pearward_coordination.messages import ControlMessage, PeerId
from pearward_coordination.overload.policy import Mechanism
from pearward_protocol.heads import RequestHead
from pearward_state.routes import RoutingTable
from pearward_transport.clock import boot_time
from pearward_transport.http_client import ServerClient
from pearward_transport.http_server import CallerFactory, HttpLimits
from pearward_transport.local_server import LocalReply, LocalRequest, LocalServer
from pearward_transport.peer import PeerListener, PeerPool
from pearward_transport.peer_connection import InboundHandler, PeerConnection
from pearward_transport.store import FleetStore
from pearward_transport.traffic_ledger import TrafficLedger

from .core import MeshCore
from .dialect import Dialect, GrantPort
from .ingress import WINDOW, MeshIngress
from .local_target import LocalTarget
from .log import DecisionLog
from .metrics import LazyMetrics
from .paced_stream import LinkPacer, PacedStream
from .settings import MeshSettings
from .shutdown import Shutdown
from .traffic_report import MemberDomains, TrafficReport

__all__ = ["MeshDaemon"]

HEADER_BYTES = 64 * 1024
"""Maximum bytes of a request's headers until a configuration sets a limit."""
HEADER_COUNT = 200
MS_PER_S = 1000
OK, UNAVAILABLE = 200, 503
IDLE_S = 60.0
"""Idle timeout in s of a caller's connection until a configuration sets a limit."""
IDLE_MARGIN_S = 1.0
"""Seconds for which a caller's connection is kept beyond the configured idle timeout."""


class MeshDaemon:
    """A pearwardd process on a users' platform."""

    def __init__(
        self,
        reactor: Any,
        settings: MeshSettings,
        store: FleetStore,
        dialect: Dialect,
        grants: GrantPort,
        heartbeat_server: Callable[[LocalTarget], LocalServer],
        rng: Random,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._own_id = PeerId(secrets.token_hex(8), str(settings.peers_reached_at))
        self._log = DecisionLog(settings.log_lines_per_s, boot_time)
        link = LinkQueue(settings.link_mbit_per_s)
        self._link = link
        self._pacer = LinkPacer(reactor, link)
        self._note_sent = lambda size: link.note_sent(size, boot_time())
        self._ledger = TrafficLedger(
            settings.failure_domain, lambda address: self._domains.domain_of(address)
        )
        self._traffic = TrafficReport(reactor, self._ledger, self._log)
        self._compresses = settings.overload.uses(Mechanism.COMPRESS_HEADS)
        self._pool = PeerPool(
            self._own_id, self, reactor, window=WINDOW, bind_ip=settings.peers.ip,
            on_sent=self._note_sent, ledger=self._ledger, compresses=self._compresses,
        )  # fmt: skip
        client = ServerClient(reactor, settings.target_address)
        self._core = MeshCore(
            reactor, settings, store, dialect, self._log, self._own_id, client,
            self._pool.send_control, link, grants,
        )  # fmt: skip
        self._domains = MemberDomains(self._core.directory)
        self._local_target = self._core.local_target
        self._metrics = LazyMetrics(settings.instance)
        self._ingress = MeshIngress(
            reactor, settings, dialect, self._core.directory, self._core.key_maps,
            self._local_target, self._pool, self._log, self._metrics, rng,
            self._core.crashes.quarantine,
            self._core.request_map, self._core.request_map_from_planner,
        )  # fmt: skip
        self._callers = CallerFactory(
            self._ingress, reactor, HttpLimits(HEADER_BYTES, HEADER_COUNT, IDLE_S)
        )
        self._peers = PeerListener(
            self._own_id, self, reactor, WINDOW, self._note_sent,
            ledger=self._ledger, compresses=self._compresses,
        )  # fmt: skip
        self._heartbeats = heartbeat_server(self._local_target)
        self._status_server = LocalServer(self._status, reactor)
        self._shutdown = Shutdown(
            reactor, settings, self._log, self._core, self._ingress, self._pacer, self._peers,
            (self._callers, self._heartbeats, self._status_server),
        )  # fmt: skip
        self._caller_port: Any = None
        self._stopped: Deferred[None] = Deferred()

    # -- start and stop ------------------------------------------------------------

    def start(self) -> "Deferred[None]":
        """Listen and start; the Deferred fires when the daemon has stopped."""
        settings = self._settings
        listen = self._reactor.listenTCP
        listen(settings.peers.port, self._peers, interface=settings.peers.ip, backlog=512)
        self._core.start(self._table_changed)
        status = self._status_server
        listen(settings.heartbeats.port, self._heartbeats, interface=settings.heartbeats.ip)
        listen(settings.readiness.port, status, interface=settings.readiness.ip)
        listen(settings.metrics.port, status, interface=settings.metrics.ip)
        self._caller_port = listen(
            settings.callers.port, self._callers, interface=settings.callers.ip, backlog=512
        )
        self._shutdown.done.addCallback(lambda _: self._exit())
        self._export_gauges()
        self._traffic.start()
        self._log.emit(
            "started", instance=settings.instance, incarnation=self._own_id.incarnation,
            service=settings.service, peers=self._own_id.address,
        )  # fmt: skip
        return self._stopped

    def stop(self) -> None:
        """Hand over the target's work, wait for open requests, then stop; may be called twice."""
        self._shutdown.start()

    def reload(self, settings: MeshSettings) -> None:
        """Compare settings that were read again; changes take effect only after a restart."""
        changed = settings != self._settings
        self._log.emit("settings_read", changed=changed)

    def _exit(self) -> None:
        self._traffic.report()
        self._caller_port.stopListening()
        self._pool.close()
        self._stopped.callback(None)

    def _table_changed(self, table: RoutingTable) -> None:
        """Apply a newer configuration."""
        self._ingress.set_table(table)
        limits = table.limits
        idle_s = limits.idle_timeout_s + IDLE_MARGIN_S
        header_s = limits.header_timeout_s
        self._callers.set_limits(HttpLimits(limits.header_bytes, HEADER_COUNT, idle_s, header_s))

    # -- peers -----------------------------------------------------------------------------

    def request_received(
        self,
        connection: PeerConnection,
        stream: int,
        head: RequestHead,
        ended: bool,
        body: bytes,
    ) -> InboundHandler:
        """Accept a request that another daemon forwarded."""
        newer = head.version > self._core.key_maps.version(head.service)
        if newer and connection.peer is not None:
            self._core.request_map(head.service, connection.peer.address)
        now = boot_time()
        return PacedStream(
            connection, stream, self._pacer, now + head.objective_ms / MS_PER_S,
            lambda reply: self._local_target.take(head, ended, body, reply),
            deadline=now + head.deadline_ms / MS_PER_S,
        )  # fmt: skip

    def control_received(self, sender: PeerId, message: ControlMessage) -> None:
        """Process a control message."""
        self._core.control_received(sender, message)

    def expected_at(self, address: str) -> frozenset[str]:
        """Return no incarnations, as none is inferred from the peer that listens at an address."""
        return frozenset()

    def peer_identified(self, peer: PeerId, expected: frozenset[str]) -> None:
        """Do nothing, as no end of an incarnation is inferred from the peer at an address."""

    # -- readiness, metrics ---------------------------------------------------------------

    def _status(self, request: LocalRequest) -> LocalReply:
        """Serve the readiness check and the metrics."""
        if request.path.endswith(b"/metrics"):
            return LocalReply(self._metrics.exposition(), content_type=b"text/plain")
        unready_reason = self._core.unready_reason
        status = UNAVAILABLE if unready_reason else OK
        return LocalReply((unready_reason or "ready").encode() + b"\n", status, b"text/plain")

    def _drained_s(self) -> float:
        """Return the seconds since this daemon received the drain of its failure domain.

        0 if it is not drained; -1 if it was drained before this daemon started to watch.
        """
        since = self._local_target.drained_since
        if since is None:
            return 0.0
        return boot_time() - since if isfinite(since) else -1.0

    def _export_gauges(self) -> None:
        self._metrics.counter(
            "pearward.peer.bytes", "Bytes of frames sent to other daemons",
            self._traffic.observations,
        )  # fmt: skip
        gauge = self._metrics.gauge
        target = self._local_target
        gauge("pearward.running", "Requests at the target", lambda: target.slots.load().running)
        gauge("pearward.waiting", "Requests that wait", lambda: target.slots.load().waiting)
        gauge("pearward.open", "Callers' requests", lambda: self._ingress.open_requests)
        gauge("pearward.link.waiting", "Long answers that wait", lambda: self._pacer.waiting)
        gauge(
            "pearward.link.backlog", "Seconds that the link needs for all that waits",
            lambda: self._link.backlog_s(boot_time()),
        )  # fmt: skip
        gauge("pearward.slowness", "Time of the target's work over usual", lambda: target.slowness)
        gauge(
            "pearward.cold", "The target counts as cold",
            lambda: float(target.slots.rate.cold.is_cold(boot_time())),
        )  # fmt: skip
        gauge(
            "pearward.keys.reserved", "Keys that wait for the next targets of lost owners",
            lambda: self._core.planner.reserved_keys(),
        )  # fmt: skip
        gauge(
            "pearward.rate.limit", "Requests a second that the target takes; -1 without a limit",
            lambda: -1.0 if (limit := target.slots.rate.advertised.per_s) is None else limit,
        )  # fmt: skip
        gauge(
            "pearward.rate.delayed", "Requests that waited for the target's rate limit",
            lambda: target.slots.delayed_by_rate,
        )  # fmt: skip
        gauge(
            "pearward.rate.refused", "Requests that were refused at once by the rate limit",
            lambda: target.slots.refused_by_rate,
        )  # fmt: skip
        gauge(
            "pearward.domains.drained", "Failure domains that are drained",
            lambda: len(self._core.drains.state.domains),
        )  # fmt: skip
        gauge("pearward.drained", "The own failure domain is drained", self._drained_s)
        gauge("pearward.map.version", "Key map acted on", lambda: target.map_version)
        gauge(
            "pearward.lease.left", "Seconds for which keys may be granted",
            lambda: max(0.0, target.grant_manager.lease_ends - boot_time()),
        )  # fmt: skip
        gauge(
            "pearward.configuration.version", "Configuration in force",
            lambda: self._core.table.version if self._core.table is not None else 0,
        )  # fmt: skip
        gauge(
            "pearward.quarantined", "Requests that are refused as targets crashed under them",
            lambda: self._core.crashes.quarantine.refused(boot_time()),
        )  # fmt: skip
        gauge(
            "pearward.planner",
            "Plans the keys",
            lambda: float(self._core.planner.is_active_planner),
        )
        gauge(
            "pearward.watcher", "Follows the members in the store",
            lambda: float(self._core.feed.is_watcher),
        )  # fmt: skip
        gauge(
            "pearward.store.returns", "Times that the store came back from an older copy",
            lambda: float(self._core.session.store_rollbacks),
        )  # fmt: skip
        gauge("pearward.members", "Members known", lambda: len(self._core.directory.members))
        gauge(
            "pearward.store.available", "Store answers", lambda: float(self._core.session.available)
        )
