"""The callers' side over HTTP/1.1: streamed both ways, never whole in memory.

`twisted.web.http` parses; its Request is replaced in three places, since the stock one
collects the body (in a file, when long) before anything else can begin.
"""

from typing import Any, Protocol

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure
from twisted.web import http
from zope.interface import implementer

__all__ = ["BodySink", "CallerFactory", "CallerRequest", "HttpLimits", "RequestHandler"]


class HttpLimits:
    """Limits of what the parser accepts."""

    __slots__ = ("header_bytes", "header_count", "idle_s")

    def __init__(self, header_bytes: int, header_count: int, idle_s: float) -> None:
        self.header_bytes = header_bytes
        self.header_count = header_count
        self.idle_s = idle_s


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
        self._sink = self.channel.factory.handler.request_begun(self, length)

    def handleContentChunk(self, data: bytes) -> None:
        if self._sink is not None and not self._answered:
            self._sink.body_received(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        self._body_whole = True
        if self._sink is not None and not self._answered:
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

    def header(self, name: bytes) -> bytes | None:
        """Return the last value of a request header."""
        values = self.requestHeaders.getRawHeaders(name)
        return values[-1] if values else None

    def begin_answer(self, status: int, headers: list[tuple[bytes, bytes]], length: int) -> None:
        """Send the head of the answer; length -1 is unknown."""
        if self._gone:
            return
        if not self._body_whole:
            # The rest of the body cannot be told from a next request: end the connection.
            self.channel.persistent = 0
            self.responseHeaders.setRawHeaders(b"Connection", [b"close"])
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        if length >= 0:
            self.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % length])
        if not self.startedWriting:
            self.registerProducer(self, True)

    def answer_chunk(self, data: bytes) -> None:
        """Send a chunk of the answer's body."""
        if not self._gone and data:
            self.write(data)

    def end_answer(self) -> None:
        """Finish the answer."""
        if self._gone or self._answered:
            return
        self._answered = True
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

    def connectionMade(self) -> None:
        super().connectionMade()
        self.factory.opened(self)

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        self.factory.closed(self)

    def dataReceived(self, data: bytes) -> None:
        # What follows the answer on a connection that is to end belongs to nobody.
        if not self._closing:
            super().dataReceived(data)

    def requestDone(self, request: CallerRequest) -> None:
        self._closing = not self.persistent
        super().requestDone(request)

    def allHeadersReceived(self) -> None:
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

    @property
    def connections(self) -> int:
        """Callers' connections that are open."""
        return len(self._channels)

    def buildProtocol(self, addr: Any) -> CallerChannel:
        channel = CallerChannel()
        channel.factory = self
        channel.callLater = self._reactor.callLater
        channel.timeOut = self._limits.idle_s
        channel.totalHeadersSize = self._limits.header_bytes
        channel.maxHeaders = self._limits.header_count
        return channel

    def opened(self, channel: CallerChannel) -> None:
        """Count a connection."""
        self._channels.add(channel)

    def closed(self, channel: CallerChannel) -> None:
        """Stop counting a connection."""
        self._channels.discard(channel)

    def log(self, request: CallerRequest) -> None:
        """Write no access log: every request is logged by the daemon."""
