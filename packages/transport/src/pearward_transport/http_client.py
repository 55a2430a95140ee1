"""Requests to the server beside the daemon, over kept HTTP/1.1 connections.

It uses the protocol class beneath `twisted.web.client.Agent`: for one fixed server,
the Agent's URI, endpoint and pool layers cost more than the exchange itself.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol, Request, RequestNotSent
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from .errors import ServerBroke, ServerUnreachable

__all__ = ["BytesBody", "ServerClient", "ServerConnection", "StreamedBody"]

CONNECT_TIMEOUT_S = 1.0


@implementer(IBodyProducer)
class BytesBody:
    """A body that is in memory."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.length = len(data)

    def startProducing(self, consumer: Any) -> "Deferred[None]":
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Nothing is left to hold back."""

    def resumeProducing(self) -> None:
        """Nothing is left to send."""

    def stopProducing(self) -> None:
        """Nothing is left to stop."""


@implementer(IBodyProducer)
class StreamedBody:
    """A body that arrives in chunks; *on_pause* and *on_resume* carry the back-pressure."""

    def __init__(
        self, length: int | None, on_pause: Callable[[], None], on_resume: Callable[[], None]
    ) -> None:
        self.length: Any = UNKNOWN_LENGTH if length is None else length
        self._on_pause = on_pause
        self._on_resume = on_resume
        self._consumer: Any = None
        self._early: list[bytes] = []
        self._done: Deferred[None] = Deferred()
        self._finished = False

    def startProducing(self, consumer: Any) -> "Deferred[None]":
        self._consumer = consumer
        early, self._early = self._early, []
        for data in early:
            consumer.write(data)
        if self._finished:
            self._complete()
        return self._done

    def feed(self, data: bytes) -> None:
        """Send a chunk."""
        if self._consumer is None:
            self._early.append(data)
        elif not self._finished:
            self._consumer.write(data)

    def end(self) -> None:
        """The body is whole."""
        if not self._finished:
            self._finished = True
            if self._consumer is not None:
                self._complete()

    def _complete(self) -> None:
        if not self._done.called:
            self._done.callback(None)

    def pauseProducing(self) -> None:
        self._on_pause()

    def resumeProducing(self) -> None:
        self._on_resume()

    def stopProducing(self) -> None:
        self._finished = True


class _BodyReader(Protocol):  # type: ignore[misc]
    """Hands an answer's body on and says whether it came whole."""

    def __init__(self, on_data: Callable[[bytes], None], on_end: Callable[[bool], None]) -> None:
        self._on_data = on_data
        self._on_end = on_end

    def dataReceived(self, data: bytes) -> None:
        self._on_data(data)

    def connectionLost(self, reason: Failure) -> None:
        # A body of unknown length that ends with its connection cannot be told from a cut one.
        self._on_end(reason.check(ResponseDone) is not None)


class ServerConnection:
    """One exchange on one connection to the server."""

    def __init__(self, client: "ServerClient", protocol: HTTP11ClientProtocol) -> None:
        self._client = client
        self._protocol = protocol
        self._response: Any = None
        self._done = False

    def request(self, method: bytes, path: bytes, headers: Headers, body: Any) -> "Deferred[Any]":
        """Send a request; the Deferred is of Twisted's response, or fails with ServerBroke."""
        request = Request._construct(method, path, headers, body, persistent=True, parsedURI=None)
        return self._protocol.request(request).addCallbacks(self._answered, self._broke)

    def read_body(self, on_data: Callable[[bytes], None], on_end: Callable[[bool], None]) -> None:
        """Stream the answer's body; *on_end* gets whether it came whole."""

        def ended(whole: bool) -> None:
            self._done = True
            on_end(whole)

        self._response.deliverBody(_BodyReader(on_data, ended))

    def pause(self) -> None:
        """Let the rest of the answer wait in the kernel."""
        if not self._done and self._protocol.transport is not None:
            self._protocol.transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading the answer."""
        if not self._done and self._protocol.transport is not None:
            self._protocol.transport.resumeProducing()

    def abort(self) -> None:
        """Cancel the exchange by ending its connection."""
        if not self._done:
            self._done = True
            if self._protocol.transport is not None:
                self._protocol.transport.abortConnection()

    def _answered(self, response: Any) -> Any:
        self._response = response
        return response

    def _broke(self, failure: Failure) -> None:
        self._done = True
        if failure.check(RequestNotSent):
            raise ServerUnreachable("the connection was not idle")
        raise ServerBroke(f"{self._client.address}: {failure.getErrorMessage()}")


class _IdleAwareProtocol(HTTP11ClientProtocol):  # type: ignore[misc]
    """Tells the client of its end, so that no dead connection is taken for an idle one."""

    on_lost: Callable[[Any], None] | None = None

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        if self.on_lost is not None:
            self.on_lost(self)


class _ClientFactory(Factory):  # type: ignore[misc]
    noisy = False

    def __init__(self, client: "ServerClient") -> None:
        self._client = client

    def buildProtocol(self, addr: Any) -> _IdleAwareProtocol:
        return self._client.build()


class ServerClient:
    """The connections to one server."""

    def __init__(self, reactor: Any, address: str, max_idle: int = 110) -> None:
        self._reactor = reactor
        self._address = address
        host, _, port = address.rpartition(":")
        self._endpoint = TCP4ClientEndpoint(reactor, host, int(port), timeout=CONNECT_TIMEOUT_S)
        self._factory = _ClientFactory(self)
        self._idle: list[_IdleAwareProtocol] = []
        self._max_idle = max_idle
        self._open = 0

    @property
    def address(self) -> str:
        """Address (IP:port) of the server."""
        return self._address

    @property
    def open_connections(self) -> int:
        """Connections to the server, idle or not."""
        return self._open

    def take(self) -> "ServerConnection | None":
        """Return an idle connection, the one used last, or None."""
        while self._idle:
            protocol = self._idle.pop()
            if protocol.state == "QUIESCENT":
                return ServerConnection(self, protocol)
        return None

    def connect(self) -> "Deferred[ServerConnection]":
        """Open a connection; the Deferred fails with ServerUnreachable."""
        return self._endpoint.connect(self._factory).addCallbacks(self._opened, self._refused)

    def build(self) -> _IdleAwareProtocol:
        """Return the protocol of a new connection."""
        protocol = _IdleAwareProtocol(self._became_idle)
        protocol.on_lost = self._closed
        return protocol

    def close(self) -> None:
        """End the idle connections."""
        idle, self._idle = self._idle, []
        for protocol in idle:
            protocol.transport.loseConnection()

    def _opened(self, protocol: _IdleAwareProtocol) -> ServerConnection:
        self._open += 1
        return ServerConnection(self, protocol)

    def _refused(self, failure: Failure) -> None:
        raise ServerUnreachable(f"{self._address}: {failure.getErrorMessage()}")

    def _became_idle(self, protocol: _IdleAwareProtocol) -> None:
        if len(self._idle) < self._max_idle:
            self._idle.append(protocol)
        else:
            protocol.transport.loseConnection()

    def _closed(self, protocol: _IdleAwareProtocol) -> None:
        self._open -= 1
        if protocol in self._idle:
            self._idle.remove(protocol)
