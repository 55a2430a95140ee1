"""The callers' side over HTTP/1.1: streamed both ways, never whole in memory.

`twisted.web.http` parses; its Request is replaced in three places, since the stock one
collects the body (in a file, when long) before anything else can begin.
"""

from typing import Any, Protocol

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure
from twisted.web import http
from twisted.web.http import NO_BODY_CODES, RESPONSES
from zope.interface import implementer

__all__ = ["BodySink", "CallerFactory", "CallerRequest", "HttpLimits", "RequestHandler"]


SWEEP_S = 1.0
"""Seconds between looks for connections that are idle, or slow with a request's headers."""
HEADER_S = 60.0
"""Seconds for a request's headers to arrive in, before a configuration sets a limit."""
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


class BodySink(Protocol):
    """Takes a request's body and learns of the caller's end."""

    def body_received(self, data: bytes) -> None:
        """Take a chunk."""

    def body_ended(self) -> None:
        """The body is whole."""

    def caller_lost(self) -> None:
        """The caller's connection ended before the answer did."""

    def resume(self) -> None:
        """The caller can take more of the answer."""

    def pause(self) -> None:
        """The caller cannot take more of the answer for now."""


class RequestHandler(Protocol):
    """Begins the handling of a request once its headers are in."""

    def request_begun(self, request: "CallerRequest", body_length: int | None) -> BodySink:
        """Return what takes the body; None is an unknown length."""


@implementer(IPushProducer)
class CallerRequest(http.Request):  # type: ignore[misc]
    """One request of a caller."""

    _sink: BodySink | None = None
    _body_whole = False
    _answered = False
    _gone = False

    # -- parsing ------------------------------------------------------------

    def parseCookies(self) -> None:
        """Leave cookies alone: they are the server's business."""

    def gotLength(self, length: int | None) -> None:
        """Keep no file for the body."""

    def headers_received(
        self, method: bytes, uri: bytes, version: bytes, length: int | None
    ) -> None:
        """Begin, with the body still to come."""
        self.method = method
        self.uri = uri
        self.clientproto = version
        if length != 0:
            self._sink = self.channel.factory.handler.request_begun(self, length)

    def handleContentChunk(self, data: bytes) -> None:
        if self._sink is not None and not self._answered:
            self._sink.body_received(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        self._body_whole = True
        if self._answered:
            return
        if self._sink is None:
            # Without a body a request begins here: the channel can be answered only now.
            self._sink = self.channel.factory.handler.request_begun(self, 0)
        else:
            self._sink.body_ended()

    def connectionLost(self, reason: Failure) -> None:
        self._gone = True
        super().connectionLost(reason)
        if self._sink is not None and not self._answered:
            self._answered = True
            self._sink.caller_lost()

    # -- the answer ---------------------------------------------------------

    @property
    def gone(self) -> bool:
        """Whether the caller's connection has ended."""
        return self._gone

    def header_values(self) -> dict[bytes, bytes]:
        """Return the last value of each request header, by its name in canonical case."""
        return {name: values[-1] for name, values in self.requestHeaders.getAllRawHeaders()}

    def answer_whole(self, status: int, headers: bytes, body: bytes) -> None:
        """Send a complete answer; *headers* are lines that each end in CR LF."""
        if self._gone or self._answered:
            return
        head = self._head(status, headers, len(body))
        self.startedWriting = 1
        self.channel.write(head if self.method == b"HEAD" else head + body)
        self._answered = True
        self._sink = None
        self.finish()

    def begin_answer(self, status: int, headers: bytes, length: int) -> None:
        """Send the head of an answer whose body follows; length -1 is unknown."""
        if self._gone or self._answered:
            return
        self.startedWriting = 1
        if length < 0 and self.clientproto == b"HTTP/1.1":
            self.chunked = 1
        elif length < 0:
            # An older caller can be told the end only by the connection's.
            self.channel.persistent = 0
        self.registerProducer(self, True)
        self.channel.write(self._head(status, headers, length))

    def close_after(self) -> None:
        """Let the caller's connection end with this answer."""
        if not self._gone and not self._answered:
            self.channel.persistent = 0

    def _head(self, status: int, headers: bytes, length: int) -> bytes:
        """Return the status line and the headers, with framing."""
        if not self._body_whole:
            # The rest of the body cannot be told from a next request: end the connection.
            self.channel.persistent = 0
        if self.chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        elif length >= 0 and status not in NO_BODY_CODES:
            framing = b"Content-Length: %d\r\n" % length
        else:
            framing = b""
        if not self.channel.persistent:
            framing += b"Connection: close\r\n"
        reason = RESPONSES.get(status, b"Status")
        return b"HTTP/1.1 %d %b\r\n%b%b\r\n" % (status, reason, headers, framing)

    def answer_chunk(self, data: bytes) -> None:
        """Send a chunk of the answer's body."""
        if not self._gone and data:
            self.write(data)

    def end_answer(self) -> None:
        """Finish the answer."""
        if self._gone or self._answered:
            return
        self._answered = True
        self._sink = None
        self.unregisterProducer()
        self.finish()

    def abort_answer(self) -> None:
        """Break the answer off, so that nobody takes the part for the whole."""
        if self._gone or self._answered:
            return
        self._answered = True
        self.channel.transport.abortConnection()

    def pause_body(self) -> None:
        """Stop reading from the caller."""
        if not self._gone and not self._answered and not self._body_whole:
            self.channel.pause_reading()

    def resume_body(self) -> None:
        """Read from the caller again."""
        if not self._gone and not self._answered:
            self.channel.resume_reading()

    # -- producer of the answer ---------------------------------------------

    def pauseProducing(self) -> None:
        if self._sink is not None:
            self._sink.pause()

    def resumeProducing(self) -> None:
        if self._sink is not None:
            self._sink.resume()

    def stopProducing(self) -> None:
        """The connection's end is told by connectionLost."""


class CallerChannel(http.HTTPChannel):  # type: ignore[misc]
    """One connection of a caller."""

    requestFactory = CallerRequest
    factory: "CallerFactory"
    _closing = False
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
        self.factory.opened(self)

    def getHost(self) -> Any:
        return self._host

    def getPeer(self) -> Any:
        return self._peer_address

    def end_if_idle(self, since: float) -> None:
        """End the connection if nothing has come since *since* and nothing is under way."""
        if not self._handlingRequest and self._last_active < since:
            self.transport.abortConnection() if self.requests else self.loseConnection()

    def end_if_slow(self, since: float) -> None:
        """End the connection if a request's headers have been coming in since before *since*."""
        if self._head_began is not None and self._head_began < since:
            self._head_began = None
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
                self._head_began = self._last_active
            super().dataReceived(data)

    def requestDone(self, request: CallerRequest) -> None:
        self._closing = not self.persistent
        super().requestDone(request)

    def allContentReceived(self) -> None:
        self._receiving_body = False
        super().allContentReceived()

    def allHeadersReceived(self) -> None:
        self._head_began = None
        self._receiving_body = True
        super().allHeadersReceived()
        # The stock channel tells a request its command only after the body.
        self.requests[-1].headers_received(self._command, self._path, self._version, self.length)

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
