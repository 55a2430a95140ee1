"""Connections between daemons: the listener, the outbound pool, and reconnection."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Factory
from twisted.python.failure import Failure

from pearward_coordination.messages import ControlMessage, PeerId

from .errors import PeerUnreachable
from .peer_connection import LivenessMonitor, PeerConnection, PeerHandler
from .traffic_ledger import TrafficLedger

__all__ = ["PeerListener", "PeerPool"]

CONNECT_TIMEOUT_S = 1.0
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 1.0
CONTROL_BACKLOG = 64
"""Control messages queued while a peer is being connected; the oldest are dropped first."""


class PeerListener(Factory):  # type: ignore[misc]
    """Accepts connections from peers."""

    noisy = False

    def __init__(
        self,
        me: PeerId,
        handler: PeerHandler,
        reactor: Any,
        window: int,
        on_sent: Callable[[int], None] | None = None,
        on_greeted: Callable[[str], None] | None = None,
        ledger: TrafficLedger | None = None,
        compresses: bool = False,
    ) -> None:
        self._me = me
        self._handler = handler
        self._reactor = reactor
        self._window = window
        self._on_sent = on_sent
        self._on_greeted = on_greeted
        self._ledger = ledger
        self._compresses = compresses
        self._checks = LivenessMonitor(reactor)
        self._connections: set[PeerConnection] = set()
        self._closing = False

    @property
    def connections(self) -> frozenset[PeerConnection]:
        """The open connections."""
        return frozenset(self._connections)

    @property
    def open_streams(self) -> int:
        """Number of streams whose responses are not completely sent."""
        return sum(connection.open_streams for connection in self._connections)

    @property
    def undelivered(self) -> int:
        """Number of connections whose peers may not have received the last response yet."""
        return sum(connection.undelivered for connection in self._connections)

    def close(self) -> None:
        """Tell all peers to close their connections, and accept no further ones.

        A connection that is opened from now on is closed before the greeting, so that the peer
        sends no request on it. The port is still held.
        """
        self._closing = True
        for connection in self.connections:
            connection.announce_closing()

    def buildProtocol(self, addr: Any) -> PeerConnection | None:
        if self._closing:
            return None
        connection = PeerConnection(
            self._me,
            self._handler,
            self._reactor,
            self._checks,
            opener=False,
            window=self._window,
            on_ready=self._greeted,
            on_lost=self._connections.discard,
            on_sent=self._on_sent,
            ledger=self._ledger,
            compresses=self._compresses,
        )
        self._connections.add(connection)
        return connection

    def _greeted(self, connection: PeerConnection) -> None:
        if self._on_greeted is not None and connection.peer is not None:
            self._on_greeted(connection.peer.address)


class _Link:
    """The single outbound connection to an address, opened on first use."""

    def __init__(self, pool: "PeerPool", address: str) -> None:
        self._pool = pool
        self._address = address
        self._connection: PeerConnection | None = None
        self._connecting = False
        self._retry_at = 0.0
        self._backoff_s = RECONNECT_MIN_S
        self._waiting: list[Deferred[PeerConnection]] = []
        self._backlog: deque[ControlMessage] = deque(maxlen=CONTROL_BACKLOG)

    @property
    def ready(self) -> PeerConnection | None:
        """The connection if it can open a stream now, else None."""
        connection = self._connection
        return connection if connection is not None and connection.usable else None

    def send_control(self, message: ControlMessage) -> None:
        """Send the message, or queue it until the connection is established."""
        connection = self._connection
        if connection is not None and (connection.usable or connection.closing):
            # The next incarnation at the address gets no message that is meant for the closing one.
            connection.send_control(message)
            return
        self._backlog.append(message)
        self._connect()

    def wait(self) -> "Deferred[PeerConnection]":
        """Return a Deferred that fires with the connection, or fails with PeerUnreachable."""
        result: Deferred[PeerConnection] = Deferred()
        if (connection := self.ready) is not None:
            result.callback(connection)
            return result
        if self._connection is not None and self._connection.closing:
            result.errback(PeerUnreachable(f"{self._address}: the daemon there stops"))
            return result
        self._waiting.append(result)
        self._connect()
        return result

    def retry_now(self) -> None:
        """End the delay before the next attempt to connect, and send what is queued."""
        self._retry_at = 0.0
        self._backoff_s = RECONNECT_MIN_S
        if self._backlog:
            self._connect()

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()

    def _connect(self) -> None:
        if self._connecting or self._connection is not None:
            return
        if self._pool.reactor.seconds() < self._retry_at:
            self._fail("waiting to reconnect")
            return
        self._connecting = True
        self._pool.dial(self._address, self._ready, self._lost).addErrback(self._failed)

    def _failed(self, failure: Failure) -> None:
        self._connecting = False
        self._retry_at = self._pool.reactor.seconds() + self._backoff_s
        self._backoff_s = min(RECONNECT_MAX_S, self._backoff_s * 2)
        self._fail(failure.getErrorMessage())

    def _fail(self, why: str) -> None:
        waiting, self._waiting = self._waiting, []
        for result in waiting:
            result.errback(PeerUnreachable(f"{self._address}: {why}"))

    def _ready(self, connection: PeerConnection) -> None:
        self._connecting = False
        self._connection = connection
        self._backoff_s = RECONNECT_MIN_S
        backlog, self._backlog = list(self._backlog), deque(maxlen=CONTROL_BACKLOG)
        for message in backlog:
            connection.send_control(message)
        waiting, self._waiting = self._waiting, []
        for result in waiting:
            result.callback(connection)

    def _lost(self, connection: PeerConnection) -> None:
        if self._connection is connection:
            self._connection = None
        elif self._connecting:
            self._failed(Failure(PeerUnreachable("closed before its greeting")))


class PeerPool:
    """The outbound connections of a daemon, one per peer address.

    A new connection to an address is dialled only after the previous one has closed. The
    hellos from one address thus arrive in the order in which its listeners were started.
    """

    def __init__(
        self,
        me: PeerId,
        handler: PeerHandler,
        reactor: Any,
        *,
        window: int,
        bind_ip: str = "",
        on_sent: Callable[[int], None] | None = None,
        ledger: TrafficLedger | None = None,
        compresses: bool = False,
    ) -> None:
        self._me = me
        self._handler = handler
        self._reactor = reactor
        self._window = window
        self._bind = (bind_ip, 0) if bind_ip else None
        self._on_sent = on_sent
        self._ledger = ledger
        self._compresses = compresses
        self._checks = LivenessMonitor(reactor)
        self._links: dict[str, _Link] = {}

    @property
    def reactor(self) -> Any:
        """The reactor of the connections."""
        return self._reactor

    def ready(self, address: str) -> PeerConnection | None:
        """Return the connection to *address* if it can open a stream now, else None."""
        link = self._links.get(address)
        return link.ready if link is not None else None

    def connect(self, address: str) -> "Deferred[PeerConnection]":
        """Return a Deferred of the connection to *address*; it fails with PeerUnreachable."""
        return self._link(address).wait()

    def send_control(self, address: str, message: ControlMessage) -> None:
        """Send a control message; it is lost if the connection closes before delivery."""
        self._link(address).send_control(message)

    def note_reachable(self, address: str) -> None:
        """Connect to *address* without delay, since the daemon there has connected to this one.

        Replies to a daemon that was started again would wait for the delay after the attempts
        that failed while it was down.
        """
        link = self._links.get(address)
        if link is not None:
            link.retry_now()

    def probe(self, address: str) -> None:
        """Identify the daemon that listens at an address now, over a separate connection."""

        def greeted(connection: PeerConnection) -> None:
            connection.close()

        self.dial(address, greeted, lambda connection: None).addErrback(lambda failure: None)

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.close()

    def dial(
        self,
        address: str,
        on_ready: Callable[[PeerConnection], None],
        on_lost: Callable[[PeerConnection], None],
    ) -> "Deferred[Any]":
        """Open one connection; the Deferred only reports failure to connect and never succeeds."""
        # Read before dialling: the connection can prove the end only of incarnations that were
        # known before it was opened.
        expected = self._handler.expected_at(address)
        host, _, port = address.rpartition(":")
        factory = _DialFactory(
            lambda: PeerConnection(
                self._me,
                self._handler,
                self._reactor,
                self._checks,
                opener=True,
                window=self._window,
                on_ready=on_ready,
                on_lost=on_lost,
                expected=expected,
                on_sent=self._on_sent,
                ledger=self._ledger,
                compresses=self._compresses,
            )
        )
        self._reactor.connectTCP(host, int(port), factory, CONNECT_TIMEOUT_S, self._bind)
        return factory.failed

    def _link(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(self, address)
        return link


class _DialFactory(ClientFactory):  # type: ignore[misc]
    """Builds the protocol of one outbound connection and reports a failed dial."""

    noisy = False

    def __init__(self, build: Callable[[], PeerConnection]) -> None:
        self._build = build
        self.failed: Deferred[Any] = Deferred()

    def buildProtocol(self, addr: Any) -> PeerConnection:
        return self._build()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.failed.errback(reason)
