"""A persistent HTTP/1.1 connection to a server that carries one exchange at a time.

It uses the parser of `twisted.web.client.Agent`, but not the Agent, its pool or its Response.
Those cost more than the exchange itself, as they copy headers into objects that are only
serialised again. Here header blocks are passed through as bytes.
"""

import re
from collections.abc import Callable
from functools import cached_property
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
)
from typing import Any, Protocol

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from twisted.web._newclient import DONE, STATUS, HTTPParser
from twisted.web.http import _ChunkedTransferDecoder, _IdentityTransferDecoder
from zope.interface import implementer

from .carried_requests import CarriedRequests
from .socket_state import still_open

__all__ = ["ConnectionOwner", "ResponseSink", "ServerConnection"]

UNKNOWN_LENGTH = -1
_BODILESS = frozenset({204, 304})
_WITH_BODY = frozenset({b"POST", b"PUT", b"PATCH"})
USER_TIMEOUT_MS = 2000
"""Milliseconds after which unacknowledged bytes end a connection: the loss of the other
instance is not signalled otherwise."""
TCP_USER_TIMEOUT = 18
"""Number of the socket option; Python 3.11 defines its name on some systems only."""
PROBE_AFTER_S, PROBE_INTERVAL_S, PROBE_COUNT = 1, 1, 2
"""TCP keepalive. A connection without outgoing data (a pending watch, an idle connection) is
probed by the kernel after 1 s, and ends 3 s after its network path was lost."""
IDLE_MARGIN_S = 0.6
"""Seconds before the server's announced idle timeout at which a connection is dropped."""
_CONNECTION_HEADERS = frozenset(
    {b"connection", b"keep-alive", b"proxy-connection", b"trailer", b"upgrade"}
)
MAX_RESPONSE_HEADERS = 200
MAX_HEAD_BYTES = 64 * 1024
"""Maximum bytes of the heads that are read in one exchange."""
_STATUS_LINE = re.compile(rb"HTTP/(?P<version>1\.[0-9]) (?P<code>[1-5][0-9]{2})(?: .*)?", re.DOTALL)
"""A status line by RFC 9112; codes outside 100 to 599 are not valid (RFC 9110)."""
_FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_NO_FIELD_VALUE = re.compile(rb"[\0\r\n]")
"""Bytes that end or hide the rest of a header for some parsers (RFC 9110, section 5.5)."""
_LENGTH = re.compile(rb"[0-9]{1,18}")
"""A length in bytes that is below 2**63."""


class ResponseSink(Protocol):
    """Receives the response of one exchange."""

    def accepts(self, headers: bytes) -> bool:
        """Return whether a response with these headers belongs to this exchange.

        Otherwise it is a surplus response to an earlier request: it is skipped, and the
        next one is awaited.
        """

    def response_head(self, status: int, headers: bytes, length: int) -> None:
        """Handle the head; *length* is UNKNOWN_LENGTH for a chunked or close-delimited body."""

    def response_data(self, data: bytes) -> None:
        """Handle a chunk of the body."""

    def response_ended(self) -> None:
        """Handle the end of a complete response."""

    def exchange_failed(self, detail: str) -> None:
        """Handle a lost connection or a protocol error before the response was complete."""

    def body_paused(self) -> None:
        """Stop sending the request's body: the connection's write buffer is full."""

    def body_resumed(self) -> None:
        """Resume sending the request's body."""


def _end_when_silent(socket: Any) -> None:
    """Make the kernel end a connection with a silent peer, with or without unsent bytes."""
    socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, PROBE_AFTER_S)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, PROBE_COUNT)


@implementer(IPushProducer)
class _BodyFlowControl:
    """Passes the transport's back-pressure on the request's body to the exchange's sink."""

    def __init__(self, sink: ResponseSink) -> None:
        self._sink = sink

    def pauseProducing(self) -> None:
        self._sink.body_paused()

    def resumeProducing(self) -> None:
        self._sink.body_resumed()

    def stopProducing(self) -> None:
        """Do nothing: connectionLost() reports the end of the connection."""


class ConnectionOwner(Protocol):
    """Manages the connections to one server."""

    @property
    def idle_limit_s(self) -> float:
        """Idle timeout in s for servers that send no Keep-Alive timeout."""

    def now(self) -> float:
        """Return the clock in s that idle time is measured by."""

    def opened(self) -> None:
        """Note a new connection."""

    def closed(self, connection: "ServerConnection") -> None:
        """Note that a connection has closed."""

    def became_idle(self, connection: "ServerConnection") -> None:
        """Note that a connection can carry another exchange."""


class ServerConnection(HTTPParser):  # type: ignore[misc]
    """One connection to the server, for one exchange at a time."""

    def __init__(
        self, owner: ConnectionOwner, on_made: Callable[["ServerConnection"], None]
    ) -> None:
        self._owner = owner
        self._on_made = on_made
        self._sink: ResponseSink | None = None
        self._method = b""
        self._status = 0
        self._header_lines: list[bytes] = []
        self._head_bytes = 0
        """Bytes of all heads received in this exchange, also of interim and surplus responses."""
        self._length: int | None = None
        self._chunked = False
        self._keep_alive = True
        self._sending = False
        self._chunked_request = False
        self._connected = False
        self._skipping = False
        self._in_unframed_body = False
        self._last_used_at = 0.0
        self._idle_limit_s = owner.idle_limit_s
        self._carried = CarriedRequests()

    @cached_property
    def local_port(self) -> int:
        """Port of this end, which identifies the connection in logs."""
        return int(self.transport.getHost().port)

    @property
    def idle(self) -> bool:
        """Whether an exchange can be started."""
        return self._connected and self._sink is None

    @property
    def is_open(self) -> bool:
        """Whether the server has not closed this connection, according to the kernel.

        The event loop may not have processed the end of the connection yet.
        """
        return self._connected and still_open(self.transport.socket)

    def idle_expired(self, now: float) -> bool:
        """Whether the server may be about to close this idle connection."""
        return now - self._last_used_at > self._idle_limit_s

    # -- the request ----------------------------------------------------------

    def note_carried(self, request_id: bytes, until: float) -> None:
        """Note that it carries a request that may be sent again up to *until* s of `now()`."""
        self._carried.add(request_id, until, self._owner.now())

    def has_carried(self, request_id: bytes) -> bool:
        """Return whether it has carried a request that may be sent again."""
        return request_id in self._carried

    def send(
        self, method: bytes, path: bytes, headers: bytes, body: bytes, sink: ResponseSink
    ) -> None:
        """Send a complete request; *headers* are lines that each end in CR LF."""
        self._begin(method, sink)
        length = b"Content-Length: %d\r\n" % len(body) if body or method in _WITH_BODY else b""
        self.transport.write(
            b"%b %b HTTP/1.1\r\n%b%b\r\n%b" % (method, path, headers, length, body)
        )

    def flush(self) -> None:
        """Write buffered output to the kernel now, not in the loop's next iteration."""
        if self._connected:
            # The loop's next write reports a failure again and ends the connection then.
            self.transport.doWrite()

    def send_head(
        self, method: bytes, path: bytes, headers: bytes, length: int, sink: ResponseSink
    ) -> None:
        """Send a request whose body follows in chunks."""
        self._begin(method, sink)
        self._sending = True
        self._chunked_request = length < 0
        framing = (
            b"Transfer-Encoding: chunked\r\n" if length < 0 else b"Content-Length: %d\r\n" % length
        )
        self.transport.registerProducer(_BodyFlowControl(sink), True)
        self.transport.write(b"%b %b HTTP/1.1\r\n%b%b\r\n" % (method, path, headers, framing))

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the request's body."""
        if not self._sending or not data:
            return
        if self._chunked_request:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.transport.write(data)

    def send_end(self) -> None:
        """End the request's body."""
        if not self._sending:
            return
        self._sending = False
        if self._chunked_request:
            self.transport.write(b"0\r\n\r\n")
        self.transport.unregisterProducer()

    def _begin(self, method: bytes, sink: ResponseSink) -> None:
        self._sink = sink
        self._method = method
        self._keep_alive = True
        self._head_bytes = 0
        self._expect_head()

    def _expect_head(self) -> None:
        self.state = STATUS
        self._partialHeader = None
        self._header_lines = []
        self._length = None
        self._chunked = False
        self._skipping = False
        self._in_unframed_body = False

    # -- control --------------------------------------------------------------

    def pause(self) -> None:
        """Stop reading the response; the rest stays in the kernel's buffer."""
        if self._sink is not None and self._connected:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading the response."""
        if self._connected:
            self.transport.resumeProducing()

    def abort(self) -> None:
        """Cancel the exchange by aborting its connection; the sink is not called again."""
        self._sink = None
        if self._connected:
            self.transport.abortConnection()

    def close(self) -> None:
        """Close an idle connection."""
        if self._connected:
            self.transport.loseConnection()

    # -- Twisted's callbacks ----------------------------------------------------

    def connectionMade(self) -> None:
        self._connected = True
        self._last_used_at = self._owner.now()
        self.transport.setTcpNoDelay(True)
        _end_when_silent(self.transport.socket)
        self.state = STATUS
        self._partialHeader = None
        self._owner.opened()
        self._on_made(self)

    def connectionLost(self, reason: Failure) -> None:
        self._connected = False
        self._owner.closed(self)
        if self._in_unframed_body and reason.check(ConnectionDone):
            # A response without a length is ended by an orderly close of the connection.
            self._message_complete(b"")
            return
        self._fail(reason.getErrorMessage())

    def dataReceived(self, data: bytes) -> None:
        if self._sink is None:
            # Data outside an exchange: the connection is out of step and cannot be reused.
            self.transport.abortConnection()
            return
        try:
            super().dataReceived(data)
        except Exception as error:
            self._fail(f"{type(error).__name__}: {error}")
            self.transport.abortConnection()

    def lineReceived(self, line: bytes) -> None:
        self._head_bytes += len(line) + len(self.delimiter)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError(f"more than {MAX_HEAD_BYTES} bytes of headers")
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        raise ValueError("header line too long")

    def statusReceived(self, status: bytes) -> None:
        line = _STATUS_LINE.fullmatch(status)
        if line is None:
            raise ValueError(f"no status line: {status[:80]!r}")
        self._status = int(line["code"])
        self._keep_alive = line["version"] != b"1.0"

    def headerReceived(self, name: bytes, value: bytes) -> None:
        if _FIELD_NAME.fullmatch(name) is None or _NO_FIELD_VALUE.search(value) is not None:
            raise ValueError(f"no header: {name[:80]!r}: {value[:80]!r}")
        lower = name.lower()
        if lower == b"content-length":
            if _LENGTH.fullmatch(value) is None or self._length not in (None, int(value)):
                raise ValueError(f"Content-Length: {value[:80]!r}")
            self._length = int(value)
            return
        if lower == b"transfer-encoding":
            if value.lower() != b"chunked":
                raise ValueError(f"Transfer-Encoding: {value!r}")
            self._chunked = True
            return
        if lower in _CONNECTION_HEADERS:
            if lower == b"connection" and b"close" in value.lower():
                self._keep_alive = False
            if lower == b"keep-alive":
                self._note_idle_limit(value)
            return
        if len(self._header_lines) >= MAX_RESPONSE_HEADERS:
            raise ValueError("too many headers")
        self._header_lines.append(b"%b: %b\r\n" % (name, value))

    def _note_idle_limit(self, value: bytes) -> None:
        """Set the idle limit from the timeout of a Keep-Alive header."""
        _, _, seconds = value.lower().partition(b"timeout=")
        digits = seconds.split(b",")[0].strip()
        if _LENGTH.fullmatch(digits) is not None:
            self._idle_limit_s = max(0.0, int(digits) - IDLE_MARGIN_S)

    def allHeadersReceived(self) -> None:
        sink = self._sink
        if sink is None:
            return
        if 100 <= self._status < 200:
            self._expect_head()
            return
        self._skipping = not sink.accepts(b"".join(self._header_lines))
        bodiless = self._status in _BODILESS or self._method == b"HEAD"
        if bodiless or (not self._chunked and self._length == 0):
            length = 0
        else:
            length = UNKNOWN_LENGTH if self._chunked or self._length is None else self._length
        if not self._skipping:
            sink.response_head(self._status, b"".join(self._header_lines), length)
        if length == 0:
            self._message_complete(self.clearLineBuffer())
        elif self._chunked:
            self.switchToBodyMode(_ChunkedTransferDecoder(self._data, self._message_complete))
        else:
            self._in_unframed_body = self._length is None
            self.switchToBodyMode(
                _IdentityTransferDecoder(self._length, self._data, self._message_complete)
            )

    def _data(self, data: bytes) -> None:
        if self._sink is not None and not self._skipping:
            self._sink.response_data(data)

    def _message_complete(self, rest: bytes) -> None:
        """Finish a complete response; the connection becomes idle, or is closed."""
        if self._skipping:
            self._skip_to_next(rest)
            return
        sink, self._sink = self._sink, None
        if sink is None:
            return
        self._last_used_at = self._owner.now()
        self.state = DONE
        if rest or not self._keep_alive or self._sending or not self._connected:
            self.close()
        else:
            self.setLineMode()
            self.transport.resumeProducing()
            self._owner.became_idle(self)
        sink.response_ended()

    def _skip_to_next(self, rest: bytes) -> None:
        """Read the next response after a surplus one."""
        if not self._connected or not self._keep_alive:
            self._fail("the connection ended with an answer to another request")
            return
        self.setLineMode()
        self._expect_head()
        self.transport.resumeProducing()
        if rest:
            self.dataReceived(rest)

    def _fail(self, detail: str) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.exchange_failed(detail)
