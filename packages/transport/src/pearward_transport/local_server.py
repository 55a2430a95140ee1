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


class LocalServer(ServerFactory):  # type: ignore[misc]
    """Serves requests with one handler."""

    noisy = False

    def __init__(self, handler: Handler, reactor: Any) -> None:
        self.handler = handler
        self._reactor = reactor

    def buildProtocol(self, addr: Any) -> http.HTTPChannel:
        channel = http.HTTPChannel()
        channel.requestFactory = _Request
        channel.factory = self
        channel.callLater = self._reactor.callLater
        channel.timeOut = IDLE_S
        return channel

    def log(self, request: Any) -> None:
        """Do nothing: the daemon logs its decisions itself."""
