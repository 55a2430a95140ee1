"""One request of a caller over HTTP/1.1, and the answer to it.

`twisted.web.http` parses; its Request is replaced in three places, since the stock one
collects the body (in a file, when long) before anything else can begin.
"""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from twisted.web import http
from twisted.web.http import NO_BODY_CODES, RESPONSES
from zope.interface import implementer

from .socket_state import still_open

__all__ = ["BodySink", "CallerRequest"]


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


@implementer(IPushProducer)
class CallerRequest(http.Request):  # type: ignore[misc]
    """One request of a caller."""

    _sink: BodySink | None = None
    _body_whole = False
    _answered = False
    _gone = False
    _output: list[Callable[[], None]] | None = None
    """What is to be written when the answers before are out; None once they are."""

    def __init__(self, channel: Any, queued: object = None) -> None:
        # The stock channel numbers requests by place; here the place is this class's business.
        super().__init__(channel)

    # -- its place among the requests of the connection ---------------------------

    def wait_for_turn(self) -> None:
        """Keep back what is written until the answers before this one are out."""
        self._output = []

    def take_turn(self) -> None:
        """The answers before are out: write what was kept back."""
        output, self._output = self._output, None
        for write in output or ():
            write()

    def _in_turn(self, write: Callable[[], None]) -> None:
        """Write now, or when it is this answer's turn."""
        if self._output is None:
            write()
        else:
            self._output.append(write)

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
        if length != 0:
            self._sink = self.channel.factory.handler.request_begun(self, length)

    def handleContentChunk(self, data: bytes) -> None:
        if self._sink is not None and not self._answered:
            self._sink.body_received(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        self._body_whole = True
        if self._answered:
            return
        if self._sink is None:
            # Without a body a request begins here: the channel can be answered only now.
            self._sink = self.channel.factory.handler.request_begun(self, 0)
        else:
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

    @property
    def left(self) -> bool:
        """Whether the caller has closed its connection, read by the loop or not."""
        return self._gone or not still_open(self.channel.transport.socket)

    def header_values(self) -> dict[bytes, bytes]:
        """Return the last value of each request header, by its name in canonical case."""
        return {name: values[-1] for name, values in self.requestHeaders.getAllRawHeaders()}

    def answer_whole(self, status: int, headers: bytes, body: bytes) -> None:
        """Send a complete answer; *headers* are lines that each end in CR LF."""
        if self._gone or self._answered:
            return
        self._answered = True
        self._sink = None
        self._in_turn(lambda: self._write_whole(status, headers, body))

    def _write_whole(self, status: int, headers: bytes, body: bytes) -> None:
        if self._gone:
            return
        head = self._head(status, headers, len(body))
        self.startedWriting = 1
        self.channel.write(head if self.method == b"HEAD" else head + body)
        self.finish()

    def begin_answer(self, status: int, headers: bytes, length: int) -> None:
        """Send the head of an answer whose body follows; length -1 is unknown."""
        if not self._gone and not self._answered:
            self._in_turn(lambda: self._write_head(status, headers, length))

    def _write_head(self, status: int, headers: bytes, length: int) -> None:
        if self._gone:
            return
        self.startedWriting = 1
        if length < 0 and self.clientproto == b"HTTP/1.1":
            self.chunked = 1
        elif length < 0:
            # An older caller can be told the end only by the connection's.
            self.channel.end_after_last()
        self.registerProducer(self, True)
        self.channel.write(self._head(status, headers, length))

    def close_after(self) -> None:
        """Let the caller's connection end once all that was read on it is answered."""
        if not self._gone and not self._answered:
            self.channel.end_after_last()

    def _head(self, status: int, headers: bytes, length: int) -> bytes:
        """Return the status line and the headers, with framing."""
        if not self._body_whole:
            # The rest of the body cannot be told from a next request: end the connection.
            self.channel.end_after_last()
        if self.chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        elif length >= 0 and status not in NO_BODY_CODES:
            framing = b"Content-Length: %d\r\n" % length
        else:
            framing = b""
        if self.channel.ends_with(self):
            framing += b"Connection: close\r\n"
        reason = RESPONSES.get(status, b"Status")
        return b"HTTP/1.1 %d %b\r\n%b%b\r\n" % (status, reason, headers, framing)

    def answer_chunk(self, data: bytes) -> None:
        """Send a chunk of the answer's body."""
        if data:
            self._in_turn(lambda: None if self._gone else self.write(data))

    def end_answer(self) -> None:
        """Finish the answer."""
        if self._gone or self._answered:
            return
        self._answered = True
        self._sink = None
        self._in_turn(self._write_end)

    def _write_end(self) -> None:
        if not self._gone:
            self.unregisterProducer()
            self.finish()

    def abort_answer(self) -> None:
        """Break the answer off, so that nobody takes the part for the whole."""
        if self._gone or self._answered:
            return
        self._answered = True
        self._in_turn(lambda: None if self._gone else self.channel.transport.abortConnection())

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
