"""A small HTTP/1.1 server for whole requests: heartbeats, readiness, metrics.

It stands on `twisted.web.http` alone. `twisted.web.server` brings templates, authentication
and remote objects along, which no daemon uses: 55 of some 600 ms of a start, and of each
heartbeat a line of an access log that nobody reads.
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
"""Seconds for which a connection may rest: whoever asks does so about once a second."""


@dataclass(frozen=True, slots=True)
class LocalRequest:
    """A request, whole."""

    method: bytes
    path: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class LocalReply:
    """Its answer."""

    body: bytes
    status: int = OK
    content_type: bytes = b"application/json"


Handler = Callable[[LocalRequest], "LocalReply | Deferred[LocalReply]"]


class _Request(http.Request):  # type: ignore[misc]
    """Hands a whole request to the handler, and its answer to the connection."""

    _left = False

    def process(self) -> None:
        asked = LocalRequest(self.method, self.path, self.content.read())
        reply = self.channel.factory.handler(asked)
        if isinstance(reply, Deferred):
            reply.addCallback(self._answer)
        else:
            self._answer(reply)

    def connectionLost(self, reason: Any) -> None:
        self._left = True
        super().connectionLost(reason)

    def _answer(self, reply: LocalReply) -> None:
        """Answer, unless whoever asked has left meanwhile."""
        if self._left:
            return
        self.setResponseCode(reply.status)
        self.setHeader(b"Content-Type", reply.content_type)
        self.setHeader(b"Content-Length", b"%d" % len(reply.body))
        self.write(reply.body)
        self.finish()


class LocalServer(ServerFactory):  # type: ignore[misc]
    """Serves one handler."""

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
        """Write no access log: the daemon logs what it decides."""
