"""A small HTTP/1.1 server for buffered requests: heartbeats, readiness, metrics.

It uses `twisted.web.http` only. `twisted.web.server` also imports templates, authentication
and remote objects, which no daemon uses. They take 55 ms of a start of about 600 ms, and each
heartbeat would write a line of an unused access log.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ServerFactory
from twisted.web import http

__all__ = ["LocalReply", "LocalRequest", "LocalServer"]

OK = 200
MAX_BODY_BYTES = 1024 * 1024
"""Maximum length of a request's body; a longer one ends the connection."""
IDLE_S = 60
"""Idle timeout in s of a connection; clients send a request about once a second."""


@dataclass(frozen=True, slots=True)
class LocalRequest:
    """A complete request."""

    method: bytes
    path: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class LocalReply:
    """The response to a LocalRequest."""

    body: bytes
    status: int = OK
    content_type: bytes = b"application/json"


Handler = Callable[[LocalRequest], "LocalReply | Deferred[LocalReply]"]


class _Request(http.Request):  # type: ignore[misc]
    """Passes a complete request to the handler, and its response to the connection."""

    _connection_ended = False
    _received = 0

    def handleContentChunk(self, data: bytes) -> None:
        self._received += len(data)
        if self._received > MAX_BODY_BYTES:
            self.channel.transport.abortConnection()
            return
        super().handleContentChunk(data)

    def process(self) -> None:
        local_request = LocalRequest(self.method, self.path, self.content.read())
        reply = self.channel.factory.handler(local_request)
        if isinstance(reply, Deferred):
            reply.addCallback(self._send)
        else:
            self._send(reply)

    def connectionLost(self, reason: Any) -> None:
        self._connection_ended = True
        super().connectionLost(reason)

    def _send(self, reply: LocalReply) -> None:
        """Send the response, unless the client has closed the connection."""
        if self._connection_ended:
            return
        self.setResponseCode(reply.status)
        self.setHeader(b"Content-Type", reply.content_type)
        self.setHeader(b"Content-Length", b"%d" % len(reply.body))
        self.write(reply.body)
        self.finish()


class _Channel(http.HTTPChannel):  # type: ignore[misc]
    """One connection, which the server counts as long as it is open."""

    requestFactory = _Request
    factory: "LocalServer"

    def connectionMade(self) -> None:
        super().connectionMade()
        self.factory.opened(self)

    def connectionLost(self, reason: Any) -> None:
        super().connectionLost(reason)
        self.factory.closed(self)


class LocalServer(ServerFactory):  # type: ignore[misc]
    """Serves requests with one handler."""

    noisy = False

    def __init__(self, handler: Handler, reactor: Any) -> None:
        self.handler = handler
        self._reactor = reactor
        self._channels: set[_Channel] = set()

    @property
    def unfinished(self) -> int:
        """Number of connections on which a response is not completely written to the kernel."""
        writers = frozenset(self._reactor.getWriters())
        return sum(channel.transport in writers for channel in self._channels)

    def opened(self, channel: _Channel) -> None:
        """Register a connection."""
        self._channels.add(channel)

    def closed(self, channel: _Channel) -> None:
        """Unregister a connection."""
        self._channels.discard(channel)

    def buildProtocol(self, addr: Any) -> _Channel:
        channel = _Channel()
        channel.factory = self
        channel.callLater = self._reactor.callLater
        channel.timeOut = IDLE_S
        return channel

    def log(self, request: Any) -> None:
        """Do nothing: the daemon logs its decisions itself."""
