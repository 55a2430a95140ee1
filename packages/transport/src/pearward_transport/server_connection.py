"""One kept HTTP/1.1 connection to a server; exchanges follow one another on it.

Built on the parser beneath `twisted.web.client.Agent`. The Agent itself, its pool and its
Response object cost more than the exchange: they copy headers into objects that are
only written out again. Here header blocks pass through as bytes.
"""

from collections.abc import Callable
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

from .socket_state import still_open

__all__ = ["AnswerSink", "ConnectionOwner", "ServerConnection"]

UNKNOWN_LENGTH = -1
_BODILESS = frozenset({204, 304})
_WITH_BODY = frozenset({b"POST", b"PUT", b"PATCH"})
USER_TIMEOUT_MS = 2000
"""Milliseconds after which sent bytes that nobody acknowledged end a connection: links
to a lost instance say nothing otherwise."""
TCP_USER_TIMEOUT = 18
"""Number of the socket option; Python 3.11 names it only on some systems."""
PROBE_AFTER_S, PROBE_INTERVAL_S, PROBES = 1, 1, 2
"""A connection on which nothing is sent, like a waiting watch or an idle one, is probed by
the kernel after a second, and ends three seconds after its path went silent."""
IDLE_MARGIN_S = 0.6
"""A kept connection is given up this long before the server says that it closes it."""
_DROPPED = frozenset({b"connection", b"keep-alive", b"proxy-connection", b"trailer", b"upgrade"})
MAX_ANSWER_HEADERS = 200


class AnswerSink(Protocol):
    """Takes the answer of one exchange."""

    def accepts(self, headers: bytes) -> bool:
        """Return whether an answer with these headers belongs to this exchange.

        One that does not is a surplus answer to an earlier request: it is skipped, and
        the next one is waited for.
        """

    def answer_head(self, status: int, headers: bytes, length: int) -> None:
        """Take the head; *length* is UNKNOWN_LENGTH for a chunked body."""

    def answer_data(self, data: bytes) -> None:
        """Take a chunk of the body."""

    def answer_ended(self) -> None:
        """The answer came whole."""

    def exchange_failed(self, detail: str) -> None:
        """The connection ended, or broke the protocol, before the answer was whole."""

    def body_paused(self) -> None:
        """The server takes no more of the request's body for now."""

    def body_resumed(self) -> None:
        """The server takes more of the request's body."""


def _end_when_silent(socket: Any) -> None:
    """Let the kernel end a connection whose other end says nothing, whether bytes wait or not."""
    socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, PROBE_AFTER_S)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, PROBES)


@implementer(IPushProducer)
class _BodyPace:
    """Tells the sink of an exchange how fast the server takes the request's body."""

    def __init__(self, sink: AnswerSink) -> None:
        self._sink = sink

    def pauseProducing(self) -> None:
        self._sink.body_paused()

    def resumeProducing(self) -> None:
        self._sink.body_resumed()

    def stopProducing(self) -> None:
        """The connection's end is told otherwise."""


class ConnectionOwner(Protocol):
    """Keeps the connections to one server."""

    @property
    def idle_limit_s(self) -> float:
        """Seconds for which an idle connection is kept if the server names no time."""

    def now(self) -> float:
        """Return the time in s by which idle connections age."""

    def opened(self) -> None:
        """A connection was made."""

    def closed(self, connection: "ServerConnection") -> None:
        """A connection has ended."""

    def became_idle(self, connection: "ServerConnection") -> None:
        """A connection can serve another exchange."""


class ServerConnection(HTTPParser):  # type: ignore[misc]
    """One connection to the server; exchanges follow one another on it."""

    def __init__(
        self, owner: ConnectionOwner, on_made: Callable[["ServerConnection"], None]
    ) -> None:
        self._owner = owner
        self._on_made = on_made
        self._sink: AnswerSink | None = None
        self._method = b""
        self._status = 0
        self._block: list[bytes] = []
        self._length: int | None = None
        self._chunked = False
        self._keep = True
        self._sending = False
        self._chunked_request = False
        self._connected = False
        self._skipping = False
        self._in_unframed_body = False
        self._used_at = 0.0
        self._idle_limit_s = owner.idle_limit_s

    @property
    def idle(self) -> bool:
        """Whether an exchange can begin."""
        return self._connected and self._sink is None

    @property
    def stands(self) -> bool:
        """Whether the server still has this connection, by what the kernel has at this moment.

        The loop reads the end of a connection only when its turn comes.
        """
        return self._connected and still_open(self.transport.socket)

    def rested(self, now: float) -> bool:
        """Whether the server may be about to close this idle connection."""
        return now - self._used_at > self._idle_limit_s

    # -- the request ----------------------------------------------------------

    def send(
        self, method: bytes, path: bytes, headers: bytes, body: bytes, sink: AnswerSink
    ) -> None:
        """Send a whole request; *headers* are lines that each end in CR LF."""
        self._begin(method, sink)
        length = b"Content-Length: %d\r\n" % len(body) if body or method in _WITH_BODY else b""
        self.transport.write(
            b"%b %b HTTP/1.1\r\n%b%b\r\n%b" % (method, path, headers, length, body)
        )

    def flush(self) -> None:
        """Hand what was sent to the kernel now: the loop does so only at its next turn."""
        if self._connected:
            # A failure shows at the loop's own next try, and ends the connection then.
            self.transport.doWrite()

    def send_head(
        self, method: bytes, path: bytes, headers: bytes, length: int, sink: AnswerSink
    ) -> None:
        """Send a request whose body follows in chunks."""
        self._begin(method, sink)
        self._sending = True
        self._chunked_request = length < 0
        framing = (
            b"Transfer-Encoding: chunked\r\n" if length < 0 else b"Content-Length: %d\r\n" % length
        )
        self.transport.registerProducer(_BodyPace(sink), True)
        self.transport.write(b"%b %b HTTP/1.1\r\n%b%b\r\n" % (method, path, headers, framing))

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the request's body."""
        if not self._sending or not data:
            return
        if self._chunked_request:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.transport.write(data)

    def send_end(self) -> None:
        """The request's body is whole."""
        if not self._sending:
            return
        self._sending = False
        if self._chunked_request:
            self.transport.write(b"0\r\n\r\n")
        self.transport.unregisterProducer()

    def _begin(self, method: bytes, sink: AnswerSink) -> None:
        self._sink = sink
        self._method = method
        self._keep = True
        self._expect_head()

    def _expect_head(self) -> None:
        self.state = STATUS
        self._partialHeader = None
        self._block = []
        self._length = None
        self._chunked = False
        self._skipping = False
        self._in_unframed_body = False

    # -- control --------------------------------------------------------------

    def pause(self) -> None:
        """Let the rest of the answer wait in the kernel."""
        if self._sink is not None and self._connected:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading the answer."""
        if self._connected:
            self.transport.resumeProducing()

    def abort(self) -> None:
        """Cancel the exchange by ending its connection; the sink hears nothing more."""
        self._sink = None
        if self._connected:
            self.transport.abortConnection()

    def close(self) -> None:
        """End an idle connection."""
        if self._connected:
            self.transport.loseConnection()

    # -- Twisted's callbacks ----------------------------------------------------

    def connectionMade(self) -> None:
        self._connected = True
        self._used_at = self._owner.now()
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
            # The answer has no length of its own: an orderly close is its end.
            self._whole(b"")
            return
        self._fail(reason.getErrorMessage())

    def dataReceived(self, data: bytes) -> None:
        if self._sink is None:
            # Bytes that answer nothing: whatever they are, the connection is spoilt.
            self.transport.abortConnection()
            return
        try:
            super().dataReceived(data)
        except Exception as error:
            self._fail(f"{type(error).__name__}: {error}")
            self.transport.abortConnection()

    def lineLengthExceeded(self, line: bytes) -> None:
        raise ValueError("header line too long")

    def statusReceived(self, status: bytes) -> None:
        parts = status.split(b" ", 2)
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1."):
            raise ValueError(f"no status line: {status[:80]!r}")
        self._status = int(parts[1])
        self._keep = parts[0] == b"HTTP/1.1"

    def headerReceived(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"content-length":
            length = int(value)
            if length < 0 or self._length not in (None, length):
                raise ValueError(f"Content-Length: {value!r}")
            self._length = length
            return
        if lower == b"transfer-encoding":
            if value.lower() != b"chunked":
                raise ValueError(f"Transfer-Encoding: {value!r}")
            self._chunked = True
            return
        if lower in _DROPPED:
            if lower == b"connection" and b"close" in value.lower():
                self._keep = False
            if lower == b"keep-alive":
                self._note_idle_limit(value)
            return
        if len(self._block) >= MAX_ANSWER_HEADERS:
            raise ValueError("too many headers")
        self._block.append(b"%b: %b\r\n" % (name, value))

    def _note_idle_limit(self, value: bytes) -> None:
        """Take from a Keep-Alive header how long the server keeps an idle connection."""
        _, _, seconds = value.lower().partition(b"timeout=")
        digits = seconds.split(b",")[0].strip()
        if digits.isdigit():
            self._idle_limit_s = max(0.0, int(digits) - IDLE_MARGIN_S)

    def allHeadersReceived(self) -> None:
        sink = self._sink
        if sink is None:
            return
        if 100 <= self._status < 200:
            self._expect_head()
            return
        self._skipping = not sink.accepts(b"".join(self._block))
        bodiless = self._status in _BODILESS or self._method == b"HEAD"
        if bodiless or (not self._chunked and self._length == 0):
            length = 0
        else:
            length = UNKNOWN_LENGTH if self._chunked or self._length is None else self._length
        if not self._skipping:
            sink.answer_head(self._status, b"".join(self._block), length)
        if length == 0:
            self._whole(self.clearLineBuffer())
        elif self._chunked:
            self.switchToBodyMode(_ChunkedTransferDecoder(self._data, self._whole))
        else:
            self._in_unframed_body = self._length is None
            self.switchToBodyMode(_IdentityTransferDecoder(self._length, self._data, self._whole))

    def _data(self, data: bytes) -> None:
        if self._sink is not None and not self._skipping:
            self._sink.answer_data(data)

    def _whole(self, rest: bytes) -> None:
        """The answer is complete; the connection may serve again."""
        if self._skipping:
            self._skip_to_next(rest)
            return
        sink, self._sink = self._sink, None
        if sink is None:
            return
        self._used_at = self._owner.now()
        self.state = DONE
        if rest or not self._keep or self._sending or not self._connected:
            self.close()
        else:
            self.setLineMode()
            self.transport.resumeProducing()
            self._owner.became_idle(self)
        sink.answer_ended()

    def _skip_to_next(self, rest: bytes) -> None:
        """A surplus answer is over: read the one that belongs to the exchange."""
        if not self._connected or not self._keep:
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
