"""The callers' side over HTTP/1.1: streamed both ways, never whole in memory.

`twisted.web.http` parses. Its channel reads the next request only when the answer before is
out; here safe requests that a caller sends behind one another are run side by side, and are
answered in the order in which they came.
"""

from typing import Any, Protocol

from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure
from twisted.web import http

from .caller_request import BodySink, CallerRequest

__all__ = ["CallerFactory", "HttpLimits", "RequestHandler"]


SWEEP_S = 1.0
"""Seconds between looks for connections that are idle, or slow with a request's headers."""
HEADER_S = 60.0
"""Seconds for a request's headers to arrive in, before a configuration sets a limit."""
PIPELINE = 16
"""Requests of one connection that are under way at once. Callers seen so far send up to a few
behind one another; each takes some kilobytes here. Gain: the last of four requests of 0.1 s is
answered after 0.11 s in place of 0.42 s (median of 20, real processes on an idle machine)."""
_SIDE_BY_SIDE = frozenset({b"GET", b"HEAD"})
"""Methods of requests that may run beside others of their connection: the safe ones."""
TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class HttpLimits:
    """Limits of what the parser accepts."""

    __slots__ = ("header_bytes", "header_count", "header_s", "idle_s")

    def __init__(
        self, header_bytes: int, header_count: int, idle_s: float, header_s: float = HEADER_S
    ) -> None:
        self.header_bytes = header_bytes
        self.header_count = header_count
        self.idle_s = idle_s
        self.header_s = header_s


class RequestHandler(Protocol):
    """Begins the handling of a request once its headers are in."""

    def request_begun(self, request: CallerRequest, body_length: int | None) -> BodySink:
        """Return what takes the body; None is an unknown length."""


class CallerChannel(http.HTTPChannel):  # type: ignore[misc]
    """One connection of a caller."""

    requestFactory = CallerRequest
    factory: "CallerFactory"
    _closing = False
    _ending = False
    """Whether nothing further is read: the connection ends with the last answer."""
    _alone = False
    """Whether a request waits that may not run beside others, or one runs."""
    _last_active = 0.0
    _head_began: float | None = None
    """When the first bytes of a request came whose headers are not whole yet."""
    _receiving_body = False

    def connectionMade(self) -> None:
        super().connectionMade()
        # Asked for by every Request; the system call is made once a connection.
        self._host = super().getHost()
        self._peer_address = super().getPeer()
        self._last_active = self.factory.now()
        self._dataBuffer: list[bytes] = []
        self._begun: list[CallerRequest] = []
        """Requests that are under way or wait for their turn to be written, in order."""
        self.factory.opened(self)

    def getHost(self) -> Any:
        return self._host

    def getPeer(self) -> Any:
        return self._peer_address

    def end_if_idle(self, since: float) -> None:
        """End the connection if nothing has come since *since* and nothing is under way."""
        if not self._begun and self._last_active < since:
            self.transport.abortConnection() if self.requests else self.loseConnection()

    def end_if_slow(self, since: float) -> None:
        """End the connection if a request's headers have been coming in since before *since*."""
        if self._head_began is not None and self._head_began < since:
            self._head_began = None
            if self._end_unread():
                return
            self._closing = True
            self.transport.write(TOO_SLOW)
            self.loseConnection()

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        self.factory.closed(self)

    def dataReceived(self, data: bytes) -> None:
        # What follows the answer on a connection that is to end belongs to nobody.
        if not self._closing:
            self._last_active = self.factory.now()
            if self._head_began is None and not self._receiving_body and not self._handlingRequest:
                # Also behind requests that are under way: their answers may take long.
                self._head_began = self._last_active
            super().dataReceived(data)

    # -- requests behind one another ------------------------------------------------

    def end_after_last(self) -> None:
        """Read no further request; the connection ends when those that began are answered."""
        self._ending = True

    def ends_with(self, request: CallerRequest) -> bool:
        """Return whether the connection ends with the answer to *request*."""
        return self._ending and request is self._begun[-1]

    def lineReceived(self, line: bytes) -> None:
        begins = self._begun and len(self.requests) == len(self._begun)
        if begins and self._ending:
            self._end_unread()
            return
        if begins and not self._may_join(line):
            # It waits, unread, until those before it are answered.
            self._alone = True
            self._handlingRequest = True
            self._dataBuffer.append(line + b"\r\n")
            self.setRawMode()
            return
        super().lineReceived(line)

    def _may_join(self, line: bytes) -> bool:
        """Return whether a request that begins with *line* may run beside those under way."""
        return not self._alone and line.partition(b" ")[0] in _SIDE_BY_SIDE

    def allHeadersReceived(self) -> None:
        self._head_began = None
        self._receiving_body = True
        super().allHeadersReceived()
        if not self.persistent:
            self._ending = True
        request = self.requests[-1]
        if self._begun:
            request.wait_for_turn()
        self._begun.append(request)
        self._alone = self._command not in _SIDE_BY_SIDE
        # The stock channel tells a request its command only after the body.
        request.headers_received(self._command, self._path, self._version, self.length)

    def allContentReceived(self) -> None:
        self._receiving_body = False
        if self._closing:
            return
        super().allContentReceived()
        self._read_on()

    def lineLengthExceeded(self, line: bytes) -> None:
        if not self._end_unread():
            super().lineLengthExceeded(line)

    def _respondToBadRequestAndDisconnect(self) -> None:
        if not self._end_unread():
            super()._respondToBadRequestAndDisconnect()

    def _end_unread(self) -> bool:
        """Where answers are due first, let what cannot be read end with the last of them."""
        if not self._begun:
            return False
        self._ending = True
        self._handlingRequest = True
        self._dataBuffer = []
        self.setRawMode()
        return True

    def _read_on(self) -> None:
        """Parse what came behind the requests under way, while there is room for it."""
        room = not self._begun or (not self._alone and len(self._begun) < PIPELINE)
        if self._ending or not room or not self._handlingRequest or self._closing:
            return
        self._alone = self._alone and bool(self._begun)
        self._handlingRequest = False
        data = b"".join(self._dataBuffer)
        self._dataBuffer = []
        self.setLineMode(data)

    def requestDone(self, request: CallerRequest) -> None:
        last = self.ends_with(request)
        # A request is answered in its turn only: it is the first one.
        self.requests.remove(request)
        self._begun.remove(request)
        if last:
            self._closing = True
            self.loseConnection()
            return
        if not self._waitingForTransport:
            self._networkProducer.resumeProducing()
        if self._begun:
            self._begun[0].take_turn()
        self._read_on()

    def pause_reading(self) -> None:
        """Let the caller's bytes wait in the kernel."""
        self._networkProducer.pauseProducing()

    def resume_reading(self) -> None:
        """Read again."""
        self._networkProducer.resumeProducing()


class CallerFactory(ServerFactory):  # type: ignore[misc]
    """Accepts callers."""

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
        """Callers' connections that are open."""
        return len(self._channels)

    def set_limits(self, limits: HttpLimits) -> None:
        """Apply other limits: sizes to new connections, times to all."""
        self._limits = limits

    def buildProtocol(self, addr: Any) -> CallerChannel:
        channel = CallerChannel()
        channel.factory = self
        channel.callLater = self._reactor.callLater
        # A timer for each request costs more than a sweep over all connections now and then.
        channel.timeOut = None
        channel.totalHeadersSize = self._limits.header_bytes
        channel.maxHeaders = self._limits.header_count
        return channel

    def now(self) -> float:
        """Return the time of the last sweep, good enough to tell idle connections."""
        return self._now

    def _sweep(self) -> None:
        """End connections that have been idle, or slow with headers, for too long."""
        self._now = self._reactor.seconds()
        for channel in list(self._channels):
            channel.end_if_idle(self._now - self._limits.idle_s)
            channel.end_if_slow(self._now - self._limits.header_s)
        self._reactor.callLater(SWEEP_S, self._sweep)

    def opened(self, channel: CallerChannel) -> None:
        """Count a connection."""
        self._channels.add(channel)

    def closed(self, channel: CallerChannel) -> None:
        """Stop counting a connection."""
        self._channels.discard(channel)

    def log(self, request: CallerRequest) -> None:
        """Write no access log: every request is logged by the daemon."""
