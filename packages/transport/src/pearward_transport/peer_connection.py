"""A TCP connection between two daemons that carries streams and control messages."""

from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import Any, Protocol

from twisted.internet.error import ConnectionAborted
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure
from zope.interface import implementer

from pearward_coordination.messages import ControlMessage, PeerId
from pearward_protocol.control import control_name
from pearward_protocol.errors import FrameError
from pearward_protocol.heads import Hello, RequestHead, ResponseHead
from pearward_protocol.streams import (
    ClosingReceived,
    ControlReceived,
    DataReceived,
    Event,
    HelloReceived,
    Multiplexer,
    RequestReceived,
    ResetCode,
    ResetReceived,
    ResponseReceived,
    StreamWritable,
)
from pearward_protocol.transit_delay import TransitDelay

from .clock import boot_time
from .traffic_ledger import TrafficLedger

__all__ = ["InboundHandler", "LivenessMonitor", "PeerConnection", "PeerHandler", "StreamHandler"]

CHECK_INTERVAL_S = 0.5
"""Interval in s of the liveness check, and silence in s after which a ping is sent."""
SILENCE_LIMIT_S = 1.5
"""Silence in s, pings unanswered, after which a connection that expects data is aborted."""

MIN_EXCESS_DELAY_MS = 10
"""Smallest excess transit delay in ms that is deducted: smaller ones are network jitter."""
MS_PER_S = 1000


class StreamHandler(Protocol):
    """Handles what the other end of a stream sends."""

    def response_received(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        """Handle the head of the response, with a short body included (requester's end only)."""

    def data_received(self, data: bytes, ended: bool) -> None:
        """Handle a chunk of the body."""

    def writable(self) -> None:
        """Resume sending."""

    def reset_received(self, code: ResetCode) -> None:
        """Handle a reset of the stream by the other end."""

    def connection_lost(self) -> None:
        """Handle the loss of the connection that carries the stream."""


class InboundHandler(StreamHandler, Protocol):
    """The owner's end of a stream."""

    def begin(self) -> None:
        """Start handling; the stream can be responded to from now on."""


class PeerHandler(Protocol):
    """Handles what peers send to this daemon."""

    def request_received(
        self,
        connection: "PeerConnection",
        stream: int,
        head: RequestHead,
        ended: bool,
        body: bytes,
    ) -> InboundHandler:
        """Return the handler of a new stream; its begin() is called next."""

    def control_received(self, sender: PeerId, message: ControlMessage) -> None:
        """Handle a control message."""

    def expected_at(self, address: str) -> frozenset[str]:
        """Return the known incarnations that have listened at *address*."""

    def peer_identified(self, peer: PeerId, expected: frozenset[str]) -> None:
        """Note the peer at an address, and the incarnations expected there when it was dialled."""


class LivenessMonitor:
    """Checks connections for silence; all share one timer, as a daemon has hundreds of them.

    A check that comes late shows that this process stood still or its clock was set. Nothing was
    read meanwhile, so that this time is no silence of the peers.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._connections: dict[PeerConnection, None] = {}
        self._timer: Any = None
        self._due = 0.0

    def add(self, connection: "PeerConnection") -> None:
        """Start checking a connection."""
        self._connections[connection] = None
        if self._timer is None:
            self._start_timer()

    def discard(self, connection: "PeerConnection") -> None:
        """Stop checking a connection."""
        self._connections.pop(connection, None)

    def _check_all(self) -> None:
        self._timer = None
        late_s = max(0.0, self._reactor.seconds() - self._due)
        for connection in list(self._connections):
            connection.check_silence(late_s)
        if self._connections:
            self._start_timer()

    def _start_timer(self) -> None:
        self._due = self._reactor.seconds() + CHECK_INTERVAL_S
        self._timer = self._reactor.callLater(CHECK_INTERVAL_S, self._check_all)


@implementer(IPushProducer)
class PeerConnection(TwistedProtocol):
    """One end of a connection; only the end that dialled opens streams."""

    def __init__(
        self,
        me: PeerId,
        handler: PeerHandler,
        reactor: Any,
        checks: LivenessMonitor,
        *,
        opener: bool,
        window: int,
        on_ready: Callable[["PeerConnection"], None] | None = None,
        on_lost: Callable[["PeerConnection"], None] | None = None,
        expected: frozenset[str] = frozenset(),
        on_sent: Callable[[int], None] | None = None,
        ledger: TrafficLedger | None = None,
        compresses: bool = False,
    ) -> None:
        self._expected = expected
        self._on_sent = on_sent
        self._ledger = ledger
        self._me = me
        self._handler = handler
        self._reactor = reactor
        self._opener = opener
        self._mux = Multiplexer(opener=opener, window=window, compresses=compresses)
        self._on_ready = on_ready
        self._on_lost = on_lost
        self._peer: PeerId | None = None
        self._streams: dict[int, StreamHandler] = {}
        self._paused = False
        self._connected = False
        self._closing = False
        """Whether the peer has told that it closes the connection."""
        self._last_received = 0.0
        self._stream_ended_at = -inf
        self._control_sent_since = False
        """Whether a control message was sent after the last data was received."""
        self._checks = checks
        self._transit_delay = TransitDelay()

    # -- properties ---------------------------------------------------------

    @property
    def peer(self) -> PeerId | None:
        """The peer at the other end; None before its hello arrived."""
        return self._peer

    @property
    def usable(self) -> bool:
        """Whether a stream can be opened now."""
        return (
            self._connected
            and self._peer is not None
            and not self._closing
            and not self._mux.exhausted
        )

    @property
    def closing(self) -> bool:
        """Whether the peer has told that it runs no further requests of this connection."""
        return self._closing

    @property
    def open_streams(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    @property
    def undelivered(self) -> bool:
        """Whether the peer may not have received all responses yet.

        After announce_closing() the peer closes the connection once it has. One that does not
        within the silence limit, with little output left, counts as lost.
        """
        since_s = self._reactor.seconds() - self._stream_ended_at
        return bool(self._streams) or self._paused or since_s < SILENCE_LIMIT_S

    # -- sending ------------------------------------------------------------

    def open_stream(
        self, head: RequestHead, handler: StreamHandler, *, ended: bool, body: bytes = b""
    ) -> int:
        """Send a request's head, with a short body included, and return the stream's id."""
        stream = self._mux.open_stream(head, ended=ended, body=body)
        self._streams[stream] = handler
        self._flush()
        return stream

    def respond(self, stream: int, head: ResponseHead, *, ended: bool, body: bytes = b"") -> None:
        """Send the head of a response; a no-op if the stream is closed."""
        if stream not in self._streams:
            return
        self._mux.respond(stream, head, ended=ended, body=body)
        self._flush()

    def send_data(self, stream: int, data: bytes, *, ended: bool = False) -> bool:
        """Send a chunk and return whether more may be sent immediately."""
        if stream not in self._streams:
            return True
        may_send = self._mux.send_data(stream, data, ended=ended)
        self._flush()
        return may_send and not self._paused

    def consumed(self, stream: int, count: int) -> None:
        """Extend the other end's send window by *count* bytes."""
        self._mux.consumed(stream, count)
        self._flush()

    def reset(self, stream: int, code: ResetCode) -> None:
        """Reset a stream."""
        self._stream_ended(stream)
        self._mux.reset(stream, code)
        self._flush()

    def send_control(self, message: ControlMessage) -> None:
        """Send a control message."""
        self._control_sent_since = True
        self._mux.send_control(message)
        self._flush(control=control_name(message))

    def announce_closing(self) -> None:
        """Tell the peer that no further requests are run, so that it closes the connection.

        The peer closes it when its open streams have ended. Since TCP keeps the order, each
        request that it sent before has then been received here.
        """
        self._mux.send_closing()
        self._flush()

    def close(self) -> None:
        """Close the connection once pending output is written."""
        if self._connected:
            # A transport with a producer that it has paused does not close by itself.
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def _flush(self, control: str = "") -> None:
        """Write the pending frames; *control* names the control message among them."""
        output = self._mux.take_output()
        if output and self._connected:
            self.transport.writeSequence(output)
            if self._on_sent is not None:
                self._on_sent(sum(map(len, output)))
            if self._ledger is not None:
                address = self._peer.address if self._peer is not None else ""
                self._ledger.frames_sent(address, output, opener=self._opener, control=control)
        for stream in self._mux.take_closed():
            self._stream_ended(stream)
        if self._closing and not self._streams:
            self.close()

    def _stream_ended(self, stream: int) -> None:
        if self._streams.pop(stream, None) is not None:
            self._stream_ended_at = self._reactor.seconds()

    # -- Twisted's callbacks ------------------------------------------------

    def connectionMade(self) -> None:
        self._connected = True
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.transport.registerProducer(self, True)
        self._last_received = self._reactor.seconds()
        self._checks.add(self)
        self._mux.send_hello(self._hello())
        self._flush()

    def dataReceived(self, data: bytes) -> None:
        self._last_received = self._reactor.seconds()
        self._control_sent_since = False
        try:
            for event in self._mux.receive(data):
                self._dispatch(event)
        except FrameError:
            # Garbage, another protocol or another version: abort only this connection.
            self.transport.abortConnection()
            return
        self._flush()

    def connectionLost(self, reason: Failure = Failure(ConnectionAborted())) -> None:  # noqa: B008
        self._connected = False
        self._checks.discard(self)
        streams, self._streams = self._streams, {}
        for handler in streams.values():
            handler.connection_lost()
        if self._on_lost is not None:
            self._on_lost(self)

    def pauseProducing(self) -> None:
        self._paused = True

    def resumeProducing(self) -> None:
        self._paused = False
        for handler in list(self._streams.values()):
            handler.writable()

    def stopProducing(self) -> None:
        self._paused = True

    def check_silence(self, late_s: float) -> None:
        """Ping a silent peer from which data is expected; abort the connection at the limit.

        *late_s* is the time in s by which the check is late, which does not count as silence.
        Data is expected while streams are open, before the hello, and after control messages.
        Most control messages have no reply, so without pings a connection that died without
        a FIN or reset would go unnoticed.
        """
        now = self._reactor.seconds()
        self._last_received = min(now, self._last_received + late_s)
        silent_s = now - self._last_received
        if self._streams or self._peer is None or self._control_sent_since:
            if silent_s >= SILENCE_LIMIT_S:
                self.transport.abortConnection()
                return
            if silent_s >= CHECK_INTERVAL_S and self._peer is not None:
                self._mux.send_ping()
                self._flush()
        else:
            self._last_received = now

    def _dispatch(self, event: Event) -> None:
        match event:
            case DataReceived():
                if handler := self._streams.get(event.stream):
                    handler.data_received(event.data, event.ended)
            case ResponseReceived():
                if handler := self._streams.get(event.stream):
                    handler.response_received(event.head, event.ended, event.body)
            case RequestReceived():
                inbound = self._handler.request_received(
                    self,
                    event.stream,
                    self._with_delay_deducted(event.head),
                    event.ended,
                    event.body,
                )
                self._streams[event.stream] = inbound
                inbound.begin()
            case StreamWritable():
                if not self._paused and (handler := self._streams.get(event.stream)):
                    handler.writable()
            case ResetReceived():
                if handler := self._streams.pop(event.stream, None):
                    handler.reset_received(event.code)
            case ControlReceived():
                if self._peer is not None:
                    self._handler.control_received(self._peer, event.message)
            case ClosingReceived():
                # The end that accepted the connection opens no streams on it.
                self._closing = self._opener
            case HelloReceived():
                self._greeted(event.hello)

    def _with_delay_deducted(self, head: RequestHead) -> RequestHead:
        """Return *head* with the excess transit delay deducted from deadline and objective.

        Otherwise a daemon that was paused would run requests whose callers have timed out.
        """
        if not head.sent_ms:
            return head
        delay_ms = int(
            self._transit_delay.excess_delay_s(head.sent_ms / MS_PER_S, boot_time()) * MS_PER_S
        )
        if delay_ms < MIN_EXCESS_DELAY_MS:
            return head
        return replace(
            head,
            deadline_ms=max(0, head.deadline_ms - delay_ms),
            objective_ms=max(0, head.objective_ms - delay_ms),
        )

    def _hello(self) -> Hello:
        return Hello(self._me.incarnation, self._me.address, int(boot_time() * MS_PER_S))

    def _greeted(self, hello: Hello) -> None:
        if hello.sent_ms:
            self._transit_delay.excess_delay_s(hello.sent_ms / MS_PER_S, boot_time())
        self._peer = PeerId(hello.incarnation, hello.address)
        if self._opener:
            self._handler.peer_identified(self._peer, self._expected)
        if self._on_ready is not None:
            self._on_ready(self)
