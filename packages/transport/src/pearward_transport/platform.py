"""Client of the platform's key-value service, with an adapter for etcd v3."""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from pearward_protocol import etcd
from pearward_protocol.errors import BadPlatformResponse
from pearward_protocol.etcd import KeyRevision, KeyValue, Path, WatchEvent

from .errors import CasConflict, PlatformUnavailable

__all__ = ["EtcdService", "IpEndpoints", "KeyValueService", "Watch"]

CALL_TIMEOUT_S = 2.0
MAX_WATCH_LINE = 8 * 1024 * 1024


@implementer(IBodyProducer)
class _BytesBody:
    """A request body held in memory."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.length = len(data)

    def startProducing(self, consumer: Any) -> "Deferred[None]":
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the whole body is written at the start."""

    def resumeProducing(self) -> None:
        """Do nothing: the whole body is written at the start."""

    def stopProducing(self) -> None:
        """Do nothing: the whole body is written at the start."""


@implementer(IAgentEndpointFactory)
class IpEndpoints:
    """Connects to IP addresses only: the stock factory starts threads to resolve names."""

    def __init__(self, reactor: Any, timeout_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:
        """Return the endpoint of an address."""
        host = uri.host.decode()
        return TCP4ClientEndpoint(self._reactor, host, uri.port, timeout=self._timeout_s)


class Watch(Protocol):
    """A running watch."""

    def stop(self) -> None:
        """Stop the watch."""


class KeyValueService(Protocol):
    """The operations required of the platform: get, compare-and-swap, leases, watches.

    Every call may raise PlatformUnavailable.
    """

    async def get(self, key: str) -> KeyValue | None:
        """Return a key's value, or None."""

    async def scan(self, prefix: str) -> list[KeyValue]:
        """Return all key-values under *prefix*."""

    async def names(self, prefix: str) -> list[str]:
        """Return all keys under *prefix*, without their values."""

    async def swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes | None,
        lease: int = 0,
        *,
        guard: KeyRevision | None = None,
    ) -> None:
        """Replace a value (None deletes) if its revision matches; revision 0 means absent.

        With *guard* another key must have the revision given there as well. Raises CasConflict
        if one of them does not match. After PlatformUnavailable the swap may or may
        not have been applied: read the value back and compare its write id.
        """

    async def grant_lease(self, ttl_s: int) -> int:
        """Return a new lease."""

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""

    def watch(
        self,
        key: str,
        on_events: Callable[[list[WatchEvent]], None],
        on_lost: Callable[[], None],
        *,
        prefix: bool = False,
    ) -> Watch:
        """Report changes of a key, or of all keys under a prefix, until lost or stopped."""


class EtcdService:
    """Implements KeyValueService with etcd v3's JSON gateway and twisted.web's client."""

    def __init__(self, reactor: Any, endpoints: list[str]) -> None:
        self._reactor = reactor
        self._endpoints = endpoints
        self._current = 0
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = 4
        # An automatic retry could apply a swap twice.
        self._pool.retryAutomatically = False
        endpoints_by_ip = IpEndpoints(reactor, CALL_TIMEOUT_S)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints_by_ip, pool=self._pool)

    @classmethod
    def from_config(cls, reactor: Any, endpoints: tuple[str, ...]) -> "EtcdService":
        """Build the adapter from validated settings."""
        return cls(reactor, list(endpoints))

    async def get(self, key: str) -> KeyValue | None:
        """Return a key's value, or None."""
        found = etcd.parse_range(await self._call(Path.RANGE, etcd.range_body(key)))
        return found[0] if found else None

    async def scan(self, prefix: str) -> list[KeyValue]:
        """Return all key-values under *prefix*."""
        body = etcd.range_body(prefix, prefix=True)
        return etcd.parse_range(await self._call(Path.RANGE, body))

    async def names(self, prefix: str) -> list[str]:
        """Return all keys under *prefix*, without their values."""
        body = etcd.range_body(prefix, prefix=True, keys_only=True)
        return [pair.key for pair in etcd.parse_range(await self._call(Path.RANGE, body))]

    async def swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes | None,
        lease: int = 0,
        *,
        guard: KeyRevision | None = None,
    ) -> None:
        """Replace a value if its revision matches the expected one."""
        body = etcd.txn_body(key, expected_revision, value, lease, guard)
        if not etcd.parse_txn_succeeded(await self._call(Path.TXN, body)):
            also = f" or {guard.key}: revision is not {guard.revision}" if guard else ""
            raise CasConflict(f"{key}: revision is not {expected_revision} any more{also}")

    async def grant_lease(self, ttl_s: int) -> int:
        """Return a new lease."""
        return etcd.parse_lease_id(await self._call(Path.LEASE_GRANT, etcd.lease_body(ttl_s)))

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""
        keepalive_response = await self._call(Path.LEASE_KEEPALIVE, etcd.keepalive_body(lease))
        return etcd.parse_lease_ttl(keepalive_response) > 0

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        await self._call(Path.LEASE_REVOKE, etcd.revoke_body(lease))

    def watch(
        self,
        key: str,
        on_events: Callable[[list[WatchEvent]], None],
        on_lost: Callable[[], None],
        *,
        prefix: bool = False,
    ) -> Watch:
        """Report changes until the watch is lost or stopped."""
        running = _EtcdWatch(on_events, on_lost)
        body = etcd.watch_body(key, prefix=prefix)
        running.begin(self._post(Path.WATCH, etcd.encode_json(body)))
        return running

    def close(self) -> "Deferred[None]":
        """Close cached connections."""
        return self._pool.closeCachedConnections()

    def _post(self, path: str, body: bytes) -> "Deferred[Any]":
        url = f"http://{self._endpoints[self._current]}{path}".encode()
        headers = Headers({b"Content-Type": [b"application/json"]})
        return self._agent.request(b"POST", url, headers, _BytesBody(body))

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Make one call; any failure is raised as PlatformUnavailable."""
        exchange = self._exchange(path, etcd.encode_json(body))
        exchange.addTimeout(CALL_TIMEOUT_S, self._reactor)
        try:
            status, data = await exchange
        except Exception as error:
            self._current = (self._current + 1) % len(self._endpoints)
            name = type(error).__name__
            raise PlatformUnavailable(f"{path}: {name}: {error}") from error
        if status != 200:
            raise PlatformUnavailable(f"{path}: HTTP {status}: {data[:120]!r}")
        try:
            return etcd.parse_json(data)
        except BadPlatformResponse as error:
            raise PlatformUnavailable(f"{path}: {error}") from error

    def _exchange(self, path: str, body: bytes) -> "Deferred[tuple[int, bytes]]":
        def read_body(response: Any) -> "Deferred[tuple[int, bytes]]":
            return readBody(response).addCallback(lambda data: (response.code, data))

        return self._post(path, body).addCallback(read_body)


class _EtcdWatch(TwistedProtocol):  # type: ignore[misc]
    """Reads the JSON lines of a watch."""

    def __init__(
        self, on_events: Callable[[list[WatchEvent]], None], on_lost: Callable[[], None]
    ) -> None:
        self._on_events = on_events
        self._on_lost = on_lost
        self._buffer = b""
        self._stopped = False
        self._request: Deferred[Any] | None = None

    def begin(self, request: "Deferred[Any]") -> None:
        """Start with the pending HTTP request of the watch."""
        self._request = request
        request.addCallbacks(self._on_response, self._failed)

    def stop(self) -> None:
        """End the watch."""
        self._stopped = True
        if self.transport is not None:
            self._abort()
        elif self._request is not None:
            self._request.cancel()

    def _on_response(self, response: Any) -> None:
        if response.code != 200:
            self._notify_lost()
            return
        response.deliverBody(self)
        if self._stopped:
            self._abort()

    def _failed(self, failure: Failure) -> None:
        self._notify_lost()

    def dataReceived(self, data: bytes) -> None:
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        try:
            events = [event for line in lines if line for event in etcd.parse_watch_line(line)]
        except BadPlatformResponse:
            self._abort()
            return
        if len(self._buffer) > MAX_WATCH_LINE:
            self._abort()
        if events and not self._stopped:
            self._on_events(events)

    def connectionLost(self, reason: Failure) -> None:
        self._notify_lost()

    def _abort(self) -> None:
        transport = self.transport
        if transport is not None and hasattr(transport, "abortConnection"):
            transport.abortConnection()
        elif transport is not None:
            transport.loseConnection()

    def _notify_lost(self) -> None:
        if not self._stopped:
            self._stopped = True
            self._on_lost()
