"""Requests to the server beside the daemon, over kept HTTP/1.1 connections."""

from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from .clock import boot_time
from .errors import ServerBroke, ServerUnreachable
from .server_connection import ServerConnection

__all__ = ["ServerClient", "SmallAnswer"]

CONNECT_TIMEOUT_S = 1.0
IDLE_LIMIT_S = 60.0
"""Seconds for which an idle connection is kept where the server names no time."""


@dataclass(frozen=True, slots=True)
class SmallAnswer:
    """A whole answer that was collected in memory."""

    status: int
    headers: bytes
    """Header lines, each with its CR LF."""
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return the value of a header by its name in lower case; empty where it is absent."""
        for line in self.headers.split(b"\r\n"):
            found, _, value = line.partition(b":")
            if found.lower() == name:
                return value.strip()
        return b""


class _ClientFactory(ClientFactory):  # type: ignore[misc]
    """Builds the protocol of one connection."""

    noisy = False

    def __init__(self, client: "ServerClient") -> None:
        self._client = client
        self.made: Deferred[ServerConnection] = Deferred()

    def buildProtocol(self, addr: Any) -> ServerConnection:
        return ServerConnection(self._client, self.made.callback)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.made.errback(reason)


class ServerClient:
    """The connections to one server."""

    def __init__(
        self,
        reactor: Any,
        address: str,
        max_idle: int = 110,
        idle_limit_s: float = IDLE_LIMIT_S,
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._idle_limit_s = idle_limit_s
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._idle: list[ServerConnection] = []
        self._max_idle = max_idle
        self._open = 0

    @property
    def address(self) -> str:
        """Address (IP:port) of the server."""
        return self._address

    @property
    def idle_limit_s(self) -> float:
        """Seconds for which an idle connection is kept if the server names no time."""
        return self._idle_limit_s

    def now(self) -> float:
        """Return the time in s by which idle connections age.

        The server closes them by its own clock, which goes on while this instance is suspended.
        """
        return boot_time()

    @property
    def open_connections(self) -> int:
        """Connections to the server, idle or not."""
        return self._open

    def take(self) -> ServerConnection | None:
        """Return an idle connection, the one used last, or None."""
        now = self.now()
        while self._idle:
            connection = self._idle.pop()
            if connection.idle and not connection.rested(now):
                return connection
            connection.close()
        return None

    def connect(self) -> "Deferred[ServerConnection]":
        """Open a connection; the Deferred fails with ServerUnreachable."""
        factory = _ClientFactory(self)
        self._reactor.connectTCP(self._host, self._port, factory, CONNECT_TIMEOUT_S)
        return factory.made.addErrback(self._refused)

    def close(self) -> None:
        """End the idle connections."""
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
        """Make one small exchange; return status and body; raises as fetch_answer does."""
        answer = await self.fetch_answer(method, path, headers, body, timeout_s=timeout_s)
        return answer.status, answer.body

    async def fetch_answer(
        self,
        method: bytes,
        path: bytes,
        headers: bytes = b"",
        body: bytes = b"",
        *,
        timeout_s: float,
    ) -> SmallAnswer:
        """Make one small exchange and return the whole answer.

        Raises ServerUnreachable where no connection could be made, and ServerBroke where
        the answer was not whole after *timeout_s* seconds, or broke off.
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
    ) -> SmallAnswer:
        """Make one small exchange on a connection that serves no other; raises ServerBroke.

        With *at_once* the kernel has the request as this is called.
        """
        sink = _Collected()
        timer = self._reactor.callLater(timeout_s, sink.exchange_failed, "no answer in time")
        try:
            if b"Host:" not in headers:
                headers += b"Host: %b\r\n" % self._address.encode()
            connection.send(method, path, headers, body, sink)
            if at_once:
                connection.flush()
            return await sink.done
        except ServerBroke:
            connection.abort()
            raise
        finally:
            if timer.active():
                timer.cancel()

    # -- told by connections ------------------------------------------------------

    def opened(self) -> None:
        """Count a connection."""
        self._open += 1

    def closed(self, connection: ServerConnection) -> None:
        """Forget a connection, so that no dead one is taken for an idle one."""
        self._open -= 1
        if connection in self._idle:
            self._idle.remove(connection)

    def became_idle(self, connection: ServerConnection) -> None:
        """Keep a connection for the next exchange."""
        if len(self._idle) < self._max_idle:
            self._idle.append(connection)
        else:
            connection.close()

    def _refused(self, failure: Failure) -> None:
        refused = failure.check(ConnectionRefusedError) is not None
        raise ServerUnreachable(f"{self._address}: {failure.getErrorMessage()}", refused=refused)


class _Collected:
    """Collects a small answer."""

    def __init__(self) -> None:
        self.done: Deferred[SmallAnswer] = Deferred()
        self._status = 0
        self._headers = b""
        self._body = b""

    def accepts(self, headers: bytes) -> bool:
        """Small exchanges carry no id: the first answer is theirs."""
        return True

    def answer_head(self, status: int, headers: bytes, length: int) -> None:
        self._status = status
        self._headers = headers

    def answer_data(self, data: bytes) -> None:
        self._body += data

    def answer_ended(self) -> None:
        if not self.done.called:
            self.done.callback(SmallAnswer(self._status, self._headers, self._body))

    def exchange_failed(self, detail: str) -> None:
        if not self.done.called:
            self.done.errback(ServerBroke(detail))

    def body_paused(self) -> None:
        """The body was sent whole."""

    def body_resumed(self) -> None:
        """The body was sent whole."""
