"""The HTTP/1.1 server for callers; bodies are streamed both ways and not buffered whole.

`twisted.web.http` parses requests. Its channel reads the next request only after the previous
response was sent; here pipelined safe requests run concurrently, and their responses are sent
in the order of the requests.
"""

from math import inf
from typing import Any, Protocol

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure
from twisted.web import http

from .caller_request import BodySink, CallerRequest
from .socket_state import unacknowledged

__all__ = ["CallerFactory", "HttpLimits", "RequestHandler", "close_port"]


SWEEP_INTERVAL_S = 1.0
"""Interval in s of the check for idle connections and for slow request headers."""
HEADER_TIMEOUT_S = 60.0
"""Time limit in s for a request's headers, until a configuration sets one."""
MAX_PIPELINED = 16
"""Maximum number of concurrent requests per connection. Callers pipeline a few at most, and
each takes some kilobytes of memory. Concurrency reduces the response time of the last of four
pipelined requests of 0.1 s each from 0.42 s to 0.11 s."""
_CONCURRENT_METHODS = frozenset({b"GET", b"HEAD"})
"""Methods whose requests may run concurrently on one connection: the safe ones."""
REQUEST_TIMEOUT = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


MAX_ACCEPTED = 4096
"""Maximum number of connections that are accepted when a port is closed."""


def close_port(port: Any) -> None:
    """Accept the connections that wait at a port, then close it in the same turn.

    The kernel resets connections that are not accepted when their port is closed, and
    stopListening() closes it one turn of the event loop later.
    """
    port.stopReading()
    port.numberAccepts = MAX_ACCEPTED
    port.doRead()
    port.socket.close()
    port.connectionLost(Failure(ConnectionDone()))


class HttpLimits:
    """Limits on request headers and on idle connections."""

    __slots__ = ("header_bytes", "header_count", "header_s", "idle_s")

    def __init__(
        self,
        header_bytes: int,
        header_count: int,
        idle_s: float,
        header_s: float = HEADER_TIMEOUT_S,
    ) -> None:
        self.header_bytes = header_bytes
        self.header_count = header_count
        self.idle_s = idle_s
        self.header_s = header_s


class RequestHandler(Protocol):
    """Starts the handling of a request once its headers are parsed."""

    def request_started(self, request: CallerRequest, body_length: int | None) -> BodySink:
        """Return the sink of the body; a *body_length* of None means unknown."""


class CallerChannel(http.HTTPChannel):  # type: ignore[misc]
    """One connection of a caller."""

    requestFactory = CallerRequest
    factory: "CallerFactory"
    _closing = False
    _ending = False
    """Whether reading has ended, and the connection closes after the last response."""
    _exclusive = False
    """Whether a request that must not run concurrently with others is waiting or running."""
    _last_active = 0.0
    _head_started_at: float | None = None
    """Time of the first bytes of a request whose headers are incomplete; None if there is none."""
    _receiving_body = False

    def connectionMade(self) -> None:
        super().connectionMade()
        # Read by every Request; cached, so that the system call is made once per connection.
        self._host = super().getHost()
        self._peer_address = super().getPeer()
        self._last_active = self.factory.now()
        self._dataBuffer: list[bytes] = []
        self._in_progress: list[CallerRequest] = []
        """Requests that are running or whose responses are not sent yet, in order of arrival."""
        self.factory.opened(self)

    def getHost(self) -> Any:
        return self._host

    def getPeer(self) -> Any:
        return self._peer_address

    @property
    def in_progress(self) -> bool:
        """Whether a request has no complete response."""
        return bool(self._in_progress)

    def end_if_idle(self, since: float) -> None:
        """Close the connection if it is idle and has received nothing since *since*."""
        if self._in_progress or self._last_active >= since:
            return
        if self._closing:
            self.transport.loseConnection()
        elif self.requests:
            self.transport.abortConnection()
        else:
            self.loseConnection()

    def end_if_slow(self, since: float) -> None:
        """Close the connection if incomplete request headers began to arrive before *since*."""
        if self._head_started_at is not None and self._head_started_at < since:
            self._head_started_at = None
            if self._end_without_parsing():
                return
            self.transport.write(REQUEST_TIMEOUT)
            self._end_output()

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        self.factory.closed(self)

    def dataReceived(self, data: bytes) -> None:
        # Data that follows the last response of a closing connection is discarded.
        if not self._closing:
            self._last_active = self.factory.now()
            if (
                self._head_started_at is None
                and not self._receiving_body
                and not self._handlingRequest
            ):
                # This also applies while earlier requests run, as their responses may take long.
                self._head_started_at = self._last_active
            super().dataReceived(data)

    # -- pipelining ------------------------------------------------------------------

    def end_after_last(self) -> None:
        """Read no further requests; close after the responses to those that were started."""
        self._ending = True

    def ends_with(self, request: CallerRequest) -> bool:
        """Return whether the connection closes after the response to *request*."""
        return self._ending and request is self._in_progress[-1]

    def lineReceived(self, line: bytes) -> None:
        starts_request = self._in_progress and len(self.requests) == len(self._in_progress)
        if starts_request and self._ending:
            self._end_without_parsing()
            return
        if starts_request and not self._may_run_concurrently(line):
            # The request stays unparsed until the responses to earlier ones are sent.
            self._exclusive = True
            self._handlingRequest = True
            self._dataBuffer.append(line + b"\r\n")
            self.setRawMode()
            return
        super().lineReceived(line)

    def _may_run_concurrently(self, line: bytes) -> bool:
        """Return whether a request with request line *line* may run concurrently with others."""
        return not self._exclusive and line.partition(b" ")[0] in _CONCURRENT_METHODS

    def allHeadersReceived(self) -> None:
        self._head_started_at = None
        self._receiving_body = True
        super().allHeadersReceived()
        if not self.persistent:
            self._ending = True
        request = self.requests[-1]
        if self._in_progress:
            request.buffer_output()
        self._in_progress.append(request)
        self._exclusive = self._command not in _CONCURRENT_METHODS
        # The stock channel sets the method of a request only after the body.
        request.headers_received(self._command, self._path, self._version, self.length)

    def allContentReceived(self) -> None:
        self._receiving_body = False
        if self._closing:
            return
        super().allContentReceived()
        self._parse_buffered()

    def lineLengthExceeded(self, line: bytes) -> None:
        if not self._end_without_parsing():
            super().lineLengthExceeded(line)

    def _respondToBadRequestAndDisconnect(self) -> None:
        if not self._end_without_parsing():
            super()._respondToBadRequestAndDisconnect()

    def _end_without_parsing(self) -> bool:
        """If responses are pending, discard unparsed input and close after the last one.

        Return whether responses were pending.
        """
        if not self._in_progress:
            return False
        self._ending = True
        self._handlingRequest = True
        self._dataBuffer = []
        self.setRawMode()
        return True

    def _parse_buffered(self) -> None:
        """Parse buffered data of further requests, up to MAX_PIPELINED in progress."""
        has_capacity = not self._in_progress or (
            not self._exclusive and len(self._in_progress) < MAX_PIPELINED
        )
        if self._ending or not has_capacity or not self._handlingRequest or self._closing:
            return
        self._exclusive = self._exclusive and bool(self._in_progress)
        self._handlingRequest = False
        data = b"".join(self._dataBuffer)
        self._dataBuffer = []
        self.setLineMode(data)

    def requestDone(self, request: CallerRequest) -> None:
        last = self.ends_with(request)
        # Responses are sent in order, so this request is the first one.
        self.requests.remove(request)
        self._in_progress.remove(request)
        if last:
            self._end_output()
            return
        if not self._waitingForTransport:
            self._networkProducer.resumeProducing()
        if self._in_progress:
            self._in_progress[0].release_output()
        self._parse_buffered()

    def _end_output(self) -> None:
        """End the sending direction once all output is written; read on until the caller closes.

        The kernel resets a connection that is closed with unread data, and discards what the
        caller has not received yet. What the caller still sends is discarded.
        """
        self._closing = True
        self._networkProducer.unregisterProducer()
        self._networkProducer.resumeProducing()
        self.transport.loseWriteConnection()

    def pause_reading(self) -> None:
        """Stop reading; received data stays in the kernel's buffer."""
        self._networkProducer.pauseProducing()

    def resume_reading(self) -> None:
        """Resume reading."""
        self._networkProducer.resumeProducing()


class CallerFactory(ServerFactory):  # type: ignore[misc]
    """Accepts connections of callers."""

    noisy = False

    def __init__(self, handler: RequestHandler, reactor: Any, limits: HttpLimits) -> None:
        self.handler = handler
        self._reactor = reactor
        self._limits = limits
        self._channels: set[CallerChannel] = set()
        self._now = reactor.seconds()
        self._sweep()

    @property
    def connections(self) -> int:
        """Number of open connections of callers."""
        return len(self._channels)

    @property
    def unfinished(self) -> int:
        """Number of connections whose callers have not received a response completely."""
        writers = frozenset(self._reactor.getWriters())
        return sum(
            channel.in_progress
            or channel.transport in writers
            or unacknowledged(channel.transport.socket) > 0
            for channel in self._channels
        )

    def end_idle(self) -> None:
        """Close the connections without requests."""
        for channel in [each for each in self._channels if not each.in_progress]:
            channel.end_if_idle(inf)

    def set_limits(self, limits: HttpLimits) -> None:
        """Apply new limits: sizes to new connections, times to all."""
        self._limits = limits

    def buildProtocol(self, addr: Any) -> CallerChannel:
        channel = CallerChannel()
        channel.factory = self
        channel.callLater = self._reactor.callLater
        # A timer for each request costs more than a periodic sweep over all connections.
        channel.timeOut = None
        channel.totalHeadersSize = self._limits.header_bytes
        channel.maxHeaders = self._limits.header_count
        return channel

    def now(self) -> float:
        """Return the time of the last sweep, precise enough to detect idle connections."""
        return self._now

    def _sweep(self) -> None:
        """Close connections that exceed the idle timeout or the header timeout."""
        self._now = self._reactor.seconds()
        for channel in list(self._channels):
            channel.end_if_idle(self._now - self._limits.idle_s)
            channel.end_if_slow(self._now - self._limits.header_s)
        self._reactor.callLater(SWEEP_INTERVAL_S, self._sweep)

    def opened(self, channel: CallerChannel) -> None:
        """Register a connection."""
        self._channels.add(channel)

    def closed(self, channel: CallerChannel) -> None:
        """Unregister a connection."""
        self._channels.discard(channel)

    def log(self, request: CallerRequest) -> None:
        """Do nothing: the daemon logs every request itself."""
