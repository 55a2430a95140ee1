"""Assembly, start and stop of one daemon."""

import secrets
from random import Random
from typing import Any

import eliot
from twisted.internet.defer import Deferred

from pearward_coordination.messages import ControlMessage, PeerId
from pearward_coordination.planned_stop import PlannedStop
from pearward_coordination.routing import Router
from pearward_protocol.heads import RequestHead
from pearward_state.table import ServiceTable
from pearward_transport.clock import boot_time
from pearward_transport.http_client import ServerClient
from pearward_transport.http_server import CallerFactory, HttpLimits, close_port
from pearward_transport.peer import PeerListener, PeerPool
from pearward_transport.peer_connection import InboundHandler, PeerConnection
from pearward_transport.platform import EtcdService, KeyValueService

from .admin import admin_site
from .control import ControlPlane
from .exchange import PeerReply
from .ingress import Ingress
from .metrics import Metrics
from .owner import OwnerService
from .settings import Settings

__all__ = ["Daemon"]

DRAIN_CHECK_S = 0.1
CLOSING_CHECK_S = 0.05
CLOSING_LIMIT_S = 0.5
"""Maximum time in which a daemon that stops refuses requests until its peers have closed their
connections; peers that do not know the notice keep them open."""


class Daemon:
    """A pearwardd process: owns all parts of the daemon."""

    def __init__(
        self, reactor: Any, settings: Settings, platform: KeyValueService, rng: Random
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        limits = settings.limits
        self._me = PeerId(secrets.token_hex(8), settings.peer_address)
        self._router = Router(rng)
        client = ServerClient(reactor, settings.server.address)
        self._control = ControlPlane(
            reactor, settings, self._me, platform, self._router, client, rng
        )
        self._owner = OwnerService(
            reactor,
            settings.server.service,
            settings.server.name,
            client,
            self._control,
            limits,
        )
        self._pool = PeerPool(
            self._me, self, reactor, window=limits.window_bytes, bind_ip=settings.listen.ip
        )
        self._metrics = Metrics(settings.instance, limits.tenants)
        self._ingress = Ingress(
            reactor,
            self._router,
            self._owner,
            self._pool,
            self._control,
            self._metrics,
            limits,
            settings.requests,
            settings.log_requests,
            settings.log_sample,
            rng,
        )
        self._callers = CallerFactory(
            self._ingress,
            reactor,
            HttpLimits(limits.header_bytes, limits.header_count, limits.idle_s),
        )
        self._listener = PeerListener(
            self._me, self, reactor, limits.window_bytes, on_greeted=self._pool.note_reachable
        )
        self._caller_port: Any = None
        self._drain_started = 0.0
        self._closing_started = 0.0
        self._stopped: Deferred[None] = Deferred()
        self._control.on_serving_changed(self._owner.recheck)
        self._control.on_abort(self._owner.abort)
        self._control.on_table(self._table_changed)
        self._control.on_record(self._ingress.record_changed)
        self._export_gauges()

    @classmethod
    def from_config(cls, reactor: Any, settings: Settings) -> "Daemon":
        """Build a daemon from checked settings."""
        platform = EtcdService.from_config(reactor, settings.platform)
        return cls(reactor, settings, platform, Random(secrets.randbits(64)))

    # -- life cycle ----------------------------------------------------------

    def start(self) -> "Deferred[None]":
        """Listen and start; the Deferred fires when the daemon has stopped.

        The peer port is opened first and closed last: while this daemon holds it, no other
        incarnation can listen at the same address.
        """
        listen = self._settings.listen
        reactor = self._reactor
        reactor.listenTCP(listen.peer_port, self._listener, interface=listen.ip, backlog=1024)
        site = admin_site(self._metrics, self._missing, self.status, self._control.force_release)
        reactor.listenTCP(listen.admin_port, site, interface=listen.ip)
        self._caller_port = reactor.listenTCP(
            listen.caller_port, self._callers, interface=listen.ip, backlog=1024
        )
        self._control.start(self._pool)
        eliot.log_message(
            "pearward:started",
            incarnation=self._me.incarnation,
            instance=self._settings.instance,
            peer=self._me.address,
        )
        return self._stopped

    def drain(self) -> None:
        """Hand over all shards, let running requests end, then stop; further calls do nothing."""
        if self._drain_started:
            return
        self._drain_started = boot_time()
        eliot.log_message("pearward:draining", running=self._owner.busy)
        self._control.drain()
        self._reactor.callLater(DRAIN_CHECK_S, self._check_drained)

    def _check_drained(self) -> None:
        """Stop if the daemon is drained or the time limit for draining has passed."""
        waited_s = boot_time() - self._drain_started
        over = waited_s >= self._settings.drain_limit_s
        if over or self._is_drained(waited_s):
            self._stop(waited_s, cut=self._owner.busy + self._ingress.open_requests)
            return
        self._reactor.callLater(DRAIN_CHECK_S, self._check_drained)

    def _is_drained(self, waited_s: float) -> bool:
        """Return whether no request runs and no shard is left that could be handed over.

        Responses to callers are also written, unless a caller takes longer than connections may
        be idle.
        """
        if self._owner.busy or self._ingress.open_requests or self._listener.open_streams:
            return False
        if self._callers.unfinished and waited_s < self._settings.limits.idle_s:
            return False
        stop = PlannedStop(self._me.incarnation, self._drain_started)
        return stop.is_handed_over(
            self._control.ownership, boot_time(), server_healthy=self._control.server_healthy
        )

    def _stop(self, waited_s: float, cut: int) -> None:
        """Run no further request, and let peers and callers close their connections.

        The peer port stays open, so that no other incarnation can listen at the address before
        this process has ended.
        """
        eliot.log_message("pearward:stopped", drained_s=round(waited_s, 3), aborted=cut)
        self._closing_started = boot_time()
        close_port(self._caller_port)
        self._ingress.close()
        self._owner.close()
        self._ingress.end_open()
        self._control.stop()
        self._pool.close()
        self._listener.close()
        self._reactor.callLater(CLOSING_CHECK_S, self._check_closed)

    def _check_closed(self) -> None:
        """End when all peers have closed their connections or the time limit has passed."""
        over = boot_time() - self._closing_started >= CLOSING_LIMIT_S
        if not over and (self._listener.connections or self._callers.unfinished):
            self._reactor.callLater(CLOSING_CHECK_S, self._check_closed)
            return
        # Timers run before sockets: what has arrived meanwhile is read before the end.
        self._reactor.callLater(0.0, self._end)

    def _end(self) -> None:
        """Respond to the requests that are left, and close the callers' connections."""
        counts = self._owner.counts
        eliot.log_message(
            "pearward:closed",
            connections=len(self._listener.connections),
            refused=counts.refused,
            unknown=counts.unknown,
        )
        self._ingress.end_open()
        self._callers.end_idle()
        self._stopped.callback(None)

    # -- peers ------------------------------------------------------------------

    def request_received(
        self,
        connection: PeerConnection,
        stream: int,
        head: RequestHead,
        ended: bool,
        body: bytes,
    ) -> InboundHandler:
        """Handle a request that a peer forwards for one of its callers."""
        return self._owner.take(head, ended, body, PeerReply(connection, stream))

    def control_received(self, sender: PeerId, message: ControlMessage) -> None:
        """Pass a control message to the control plane, unless this daemon can no longer act."""
        if self._closing_started:
            return
        self._control.control_received(sender, message)

    def expected_at(self, address: str) -> frozenset[str]:
        """Return the incarnations that the cell's record places at an address."""
        return self._control.expected_at(address)

    def peer_identified(self, peer: PeerId, expected: frozenset[str]) -> None:
        """Note the incarnation that listens at an address."""
        self._control.peer_identified(peer, expected)

    # -- configuration and status -------------------------------------------------

    def _table_changed(self, table: ServiceTable) -> None:
        if table.service.name == self._settings.server.service:
            self._owner.set_table(table)
        self._ingress.set_retry_ratio(table.service.name, table.service.retry_ratio)

    def _missing(self) -> str:
        """Return why this daemon is not ready for callers' requests, or an empty string."""
        if self._drain_started:
            return "draining"
        if self._control.record is None:
            return "no assignment record yet"
        if not self._control.lease_held:
            return "no ownership lease"
        if self._control.ownership.pending_shards():
            return "shards are pending"
        return self._control.finder.missing()

    def status(self) -> dict[str, object]:
        """Return this daemon's status for operators."""
        control = self._control
        ownership = control.ownership
        counts = self._owner.counts
        return {
            "instance": self._settings.instance,
            "incarnation": self._me.incarnation,
            "failure_domain": self._settings.failure_domain,
            "service": self._settings.server.service,
            "server": self._settings.server.name,
            "ready": self._missing() or "ready",
            "draining": control.draining,
            "coordinating": control.coordinating,
            "coordinator": control.agent.coordinator,
            "lease_held": control.lease_held,
            "server_healthy": control.server_healthy,
            "record_version": ownership.adopted,
            "released": ownership.released,
            "awaited_releases": ownership.awaited_releases(),
            "shards": ownership.shard_count,
            "serving": ownership.serving_count if control.lease_held else 0,
            "running": self._owner.running,
            "waiting": self._owner.waiting,
            "served": counts.served,
            "refused": counts.refused,
            "unknown": counts.unknown,
            "open_requests": self._ingress.open_requests,
            "versions": {key: control.spread.version(key) for key in control.spread.keys},
        }

    def _export_gauges(self) -> None:
        ownership = self._control.ownership
        gauge = self._metrics.gauge
        gauge("pearward.running", "Requests at the server", lambda: self._owner.running)
        gauge("pearward.waiting", "Requests that wait", lambda: self._owner.waiting)
        gauge("pearward.shards", "Shards owned", lambda: ownership.shard_count)
        gauge("pearward.record.version", "Cell record acted on", lambda: ownership.adopted)
        gauge("pearward.lease.held", "Ownership lease", lambda: float(self._control.lease_held))
        gauge("pearward.open", "Callers' requests", lambda: self._ingress.open_requests)
