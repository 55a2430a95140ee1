"""The planned stop of a daemon on a users' platform: what its exit waits for.

In order: callers are rerouted by the platform; running requests end and their responses are
delivered; the daemon's entry in the store is released; other daemons close their connections, as
they then have all responses and send no further requests. The exit comes shortly before the
platform kills the process, whatever is left.
"""

from collections.abc import Sequence
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from pearward_transport.clock import boot_time
from pearward_transport.peer import PeerListener

from .core import MeshCore
from .ingress import MeshIngress
from .log import DecisionLog
from .paced_stream import LinkPacer
from .settings import MeshSettings

__all__ = ["OutputServer", "Shutdown"]

DEREGISTRATION_S = 2.4
"""Seconds after SIGTERM in which new callers still arrive: the platform removes an instance
after two readiness checks, one second apart, without a 200."""
RESTART_RETRY_S = 1.2
"""Retry delay in s for callers that a stopping daemon refuses: an ended process is restarted
within about a second."""
STOP_POLL_S = 0.05
CLOSING_POLL_S = 0.01
CLOSING_LIMIT_S = 0.2
"""Seconds within which other daemons, to which no response is in transit, close their
connections; those that do not are suspended or cut off."""
KILL_MARGIN_S = 0.4
"""Seconds before the platform's SIGKILL at which this daemon exits by itself."""


class OutputServer(Protocol):
    """A server whose responses have to be delivered before the daemon exits."""

    @property
    def unfinished(self) -> int:
        """Number of connections on which a response is not completely delivered."""


class Shutdown:
    """Stops the parts of one daemon in order."""

    def __init__(
        self,
        reactor: Any,
        settings: MeshSettings,
        log: DecisionLog,
        core: MeshCore,
        ingress: MeshIngress,
        pacer: LinkPacer,
        peers: PeerListener,
        servers: Sequence[OutputServer],
    ) -> None:
        """*servers* are those for callers, heartbeats and operators."""
        self._reactor = reactor
        self._limit_s = settings.stop_s - KILL_MARGIN_S
        self._log = log
        self._core = core
        self._local_target = core.local_target
        self._ingress = ingress
        self._pacer = pacer
        self._peers = peers
        self._servers = servers
        self._started_at: float | None = None
        self._closing_since = 0.0
        self._done: Deferred[None] = Deferred()

    @property
    def done(self) -> "Deferred[None]":
        """Fires when the daemon may exit."""
        return self._done

    def start(self) -> None:
        """Start the stop; further calls do nothing."""
        if self._started_at is not None:
            return
        self._started_at = boot_time()
        self._log.emit(
            "stopping", open=self._ingress.open_requests, at_target=self._local_target.open_requests
        )
        self._core.stop()
        self._ingress.stop(self._started_at + self._limit_s)
        self._check_idle()

    # -- state ---------------------------------------------------------------------------

    @property
    def _waited_s(self) -> float:
        assert self._started_at is not None
        return boot_time() - self._started_at

    @property
    def _is_expired(self) -> bool:
        """Whether the daemon has to exit now."""
        return self._waited_s >= self._limit_s

    @property
    def _open_requests(self) -> int:
        """Number of requests and streams without a complete response.

        A request counts at each part of this daemon that handles it.
        """
        return (
            self._ingress.open_requests
            + self._local_target.open_requests
            + self._pacer.waiting
            + self._peers.open_streams
        )

    @property
    def _unwritten(self) -> int:
        """Number of connections to callers, the target and operators with undelivered output."""
        return sum(server.unfinished for server in self._servers)

    @property
    def _is_idle(self) -> bool:
        """Whether all responses are complete and delivered."""
        return not self._open_requests and not self._unwritten

    # -- steps ---------------------------------------------------------------------------

    def _check_idle(self) -> None:
        """Go on once all responses are delivered, or the time is up.

        If too few instances of a failure domain are ready, the platform continues to send callers
        here. From the time at which they should have been rerouted they are refused with a
        retry delay.
        """
        # Without a target no callers arrive here that other instances could serve.
        min_wait_s = (
            DEREGISTRATION_S if self._local_target.info is not None else DEREGISTRATION_S / 2
        )
        rerouted = self._waited_s >= min_wait_s
        if rerouted:
            self._ingress.refuse_new(RESTART_RETRY_S)
            # Running requests end now; the target keeps its keys for the daemon's next incarnation.
            self._local_target.refuse_new()
        if self._is_expired or (rerouted and self._is_idle):
            self._deregister()
        else:
            self._reactor.callLater(STOP_POLL_S, self._check_idle)

    def _deregister(self) -> None:
        """Refuse new requests, remove the entry, then wait for requests that arrived meanwhile.

        While the target runs the entry is kept, to be overwritten by the next incarnation.
        """
        self._local_target.refuse_new()
        keep = self._local_target.info is not None
        self._log.emit(
            "store_session_stopping", waited_s=round(self._waited_s, 3), open=self._open_requests,
            unwritten=self._unwritten, entry_kept=keep,
        )  # fmt: skip
        self._core.session.stop(keep_entry=keep).addBoth(lambda _: self._stop_when_idle())

    def _stop_when_idle(self) -> None:
        """Go on once the responses to requests that arrived meanwhile are delivered."""
        if not self._is_idle and not self._is_expired:
            self._reactor.callLater(STOP_POLL_S, self._stop_when_idle)
            return
        self._log.emit(
            "stopped", waited_s=round(self._waited_s, 3), open=self._open_requests,
            unwritten=self._unwritten, aborted=self._ingress.cancel_open(),
        )  # fmt: skip
        self._closing_since = boot_time()
        self._peers.close()
        self._check_closed()

    def _check_closed(self) -> None:
        """Exit once other daemons have closed their connections, or the time is up."""
        closing_s = boot_time() - self._closing_since
        awaits_peers = self._peers.undelivered or (
            self._peers.connections and closing_s < CLOSING_LIMIT_S
        )
        if (awaits_peers or self._unwritten) and not self._is_expired:
            self._reactor.callLater(CLOSING_POLL_S, self._check_closed)
            return
        self._log.emit(
            "closed", waited_s=round(self._waited_s, 3), connections=len(self._peers.connections),
            unwritten=self._unwritten,
        )  # fmt: skip
        self._done.callback(None)
