"""A client for requests to the local server, over persistent HTTP/1.1 connections."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from .clock import boot_time
from .errors import ServerConnectionLost, ServerUnreachable
from .server_connection import ServerConnection

__all__ = ["BufferedResponse", "ServerClient"]

CONNECT_TIMEOUT_S = 1.0
IDLE_LIMIT_S = 60.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Maximum body of a small exchange: several pages of the store's largest."""
"""Idle timeout in s for servers that send no Keep-Alive timeout."""


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A complete response held in memory."""

    status: int
    headers: bytes
    """Header lines, each with CR LF."""
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return the value of the header *name* (in lower case), or b"" if it is absent."""
        for line in self.headers.split(b"\r\n"):
            found, _, value = line.partition(b":")
            if found.lower() == name:
                return value.strip()
        return b""


class _ClientFactory(ClientFactory):  # type: ignore[misc]
    """Builds the protocol of one connection and reports the outcome of connecting."""

    noisy = False

    def __init__(self, client: "ServerClient") -> None:
        self._client = client
        self.made: Deferred[ServerConnection] = Deferred()

    def buildProtocol(self, addr: Any) -> ServerConnection:
        return ServerConnection(self._client, self.made.callback)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.made.errback(reason)


class ServerClient:
    """A pool of connections to one server."""

    def __init__(
        self,
        reactor: Any,
        address: str,
        max_idle: int = 110,
        idle_limit_s: float = IDLE_LIMIT_S,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """*max_response_bytes* limits the bodies of small exchanges."""
        self._reactor = reactor
        self._max_response_bytes = max_response_bytes
        self._address = address
        self._idle_limit_s = idle_limit_s
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._idle: list[ServerConnection] = []
        self._max_idle = max_idle
        self._open = 0
        self._on_all_closed: Callable[[], None] | None = None

    @property
    def address(self) -> str:
        """Address (IP:port) of the server."""
        return self._address

    @property
    def idle_limit_s(self) -> float:
        """Idle timeout in s for servers that send no Keep-Alive timeout."""
        return self._idle_limit_s

    def now(self) -> float:
        """Return the clock in s that idle time is measured by.

        It advances while this instance is suspended, as does the clock of the server, which
        closes idle connections.
        """
        return boot_time()

    @property
    def open_connections(self) -> int:
        """Number of connections to the server, idle or not."""
        return self._open

    def when_all_closed(self, call: Callable[[], None]) -> None:
        """Run *call* each time the last open connection has closed."""
        self._on_all_closed = call

    def take(self, request_id: bytes = b"") -> ServerConnection | None:
        """Return the most recently used idle connection, or None.

        Connections that have carried the request *request_id* are left out. A server may send a
        response twice, and the id, by which responses are matched, is the same for all sends of a
        request: on the same connection, the late second copy would be taken for the response to
        the next send.
        """
        now = self.now()
        left_out: list[ServerConnection] = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if not connection.idle or connection.idle_expired(now):
                connection.close()
            elif connection.has_carried(request_id):
                left_out.append(connection)
            else:
                found = connection
        self._idle += reversed(left_out)
        return found

    def connect(self) -> "Deferred[ServerConnection]":
        """Open a connection; the Deferred fails with ServerUnreachable."""
        factory = _ClientFactory(self)
        self._reactor.connectTCP(self._host, self._port, factory, CONNECT_TIMEOUT_S)
        return factory.made.addErrback(self._refused)

    def discard(self, connection: ServerConnection) -> None:
        """Close a connection after its exchange, and do not use it again."""
        if connection in self._idle:
            self._idle.remove(connection)
        connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    async def fetch(
        self,
        method: bytes,
        path: bytes,
        headers: bytes = b"",
        body: bytes = b"",
        *,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """Make one small exchange and return status and body; raises as fetch_response does."""
        response = await self.fetch_response(method, path, headers, body, timeout_s=timeout_s)
        return response.status, response.body

    async def fetch_response(
        self,
        method: bytes,
        path: bytes,
        headers: bytes = b"",
        body: bytes = b"",
        *,
        timeout_s: float,
    ) -> BufferedResponse:
        """Make one small exchange and return the complete response.

        Raises ServerUnreachable if no connection could be made, and ServerConnectionLost if the
        response was truncated, too long, or not complete after *timeout_s* seconds.
        """
        connection = self.take() or await self.connect()
        return await self.exchange(connection, method, path, headers, body, timeout_s=timeout_s)

    async def exchange(
        self,
        connection: ServerConnection,
        method: bytes,
        path: bytes,
        headers: bytes = b"",
        body: bytes = b"",
        *,
        timeout_s: float,
        at_once: bool = False,
    ) -> BufferedResponse:
        """Make one small exchange on an idle connection; raises ServerConnectionLost.

        With *at_once* the request is written to the kernel before this awaits the response.
        """
        sink = _ResponseCollector(self._max_response_bytes)
        timer = self._reactor.callLater(timeout_s, sink.exchange_failed, "no answer in time")
        try:
            if b"Host:" not in headers:
                headers += b"Host: %b\r\n" % self._address.encode()
            connection.send(method, path, headers, body, sink)
            if at_once:
                connection.flush()
            return await sink.done
        except ServerConnectionLost:
            connection.abort()
            raise
        finally:
            if timer.active():
                timer.cancel()

    # -- callbacks of connections -------------------------------------------------

    def opened(self) -> None:
        """Count a connection."""
        self._open += 1

    def closed(self, connection: ServerConnection) -> None:
        """Remove a closed connection, so that it is not reused as an idle one."""
        self._open -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        if not self._open and self._on_all_closed is not None:
            self._on_all_closed()

    def became_idle(self, connection: ServerConnection) -> None:
        """Keep a connection for the next exchange."""
        if len(self._idle) < self._max_idle:
            self._idle.append(connection)
        else:
            connection.close()

    def _refused(self, failure: Failure) -> None:
        refused = failure.check(ConnectionRefusedError) is not None
        raise ServerUnreachable(f"{self._address}: {failure.getErrorMessage()}", refused=refused)


class _ResponseCollector:
    """Collects a small response."""

    def __init__(self, max_bytes: int) -> None:
        self.done: Deferred[BufferedResponse] = Deferred()
        self._max_bytes = max_bytes
        self._status = 0
        self._headers = b""
        self._body = bytearray()

    def accepts(self, headers: bytes) -> bool:
        """Return True: small exchanges have no request id to compare."""
        return True

    def response_head(self, status: int, headers: bytes, length: int) -> None:
        self._status = status
        self._headers = headers

    def response_data(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._max_bytes:
            self.exchange_failed(f"response of more than {self._max_bytes} bytes")

    def response_ended(self) -> None:
        if not self.done.called:
            self.done.callback(BufferedResponse(self._status, self._headers, bytes(self._body)))

    def exchange_failed(self, detail: str) -> None:
        if not self.done.called:
            self.done.errback(ServerConnectionLost(detail))

    def body_paused(self) -> None:
        """Do nothing: the request was written in one piece."""

    def body_resumed(self) -> None:
        """Do nothing: the request was written in one piece."""
