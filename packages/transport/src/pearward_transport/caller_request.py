"""An HTTP/1.1 request of a caller, and its response.

`twisted.web.http` parses it. Three parts of its Request are overridden, since the stock class
buffers the whole body (in a file, if long) before the request can be handled.
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
    """Receives a request's body and events of the caller's connection."""

    def body_received(self, data: bytes) -> None:
        """Handle a chunk of the body."""

    def body_ended(self) -> None:
        """Handle the end of the body."""

    def caller_lost(self) -> None:
        """Handle the loss of the caller's connection before the response was complete."""

    def resume(self) -> None:
        """Resume sending the response."""

    def pause(self) -> None:
        """Stop sending the response: the connection's write buffer is full."""


@implementer(IPushProducer)
class CallerRequest(http.Request):  # type: ignore[misc]
    """One request of a caller."""

    _sink: BodySink | None = None
    _body_complete = False
    _response_complete = False
    _connection_ended = False
    _output: list[Callable[[], None]] | None = None
    """Writes buffered until the responses to earlier requests are sent; None after that."""

    def __init__(self, channel: Any, queued: object = None) -> None:
        # The stock channel passes whether the request is queued; this class tracks its place.
        super().__init__(channel)

    # -- response order of pipelined requests --------------------------------------

    def buffer_output(self) -> None:
        """Buffer writes until the responses to earlier requests are sent."""
        self._output = []

    def release_output(self) -> None:
        """Write the buffered output, after the responses to earlier requests."""
        output, self._output = self._output, None
        for write in output or ():
            write()

    def _in_order(self, write: Callable[[], None]) -> None:
        """Call *write* now, or after the responses to earlier requests are sent."""
        if self._output is None:
            write()
        else:
            self._output.append(write)

    # -- parsing ------------------------------------------------------------

    def parseCookies(self) -> None:
        """Do nothing: cookies are passed through to the server."""

    def gotLength(self, length: int | None) -> None:
        """Do nothing: the body is streamed and needs no buffer or file."""

    def headers_received(
        self, method: bytes, uri: bytes, version: bytes, length: int | None
    ) -> None:
        """Start handling the request before its body arrives."""
        self.method = method
        self.uri = uri
        self.clientproto = version
        if length != 0:
            self._sink = self.channel.factory.handler.request_started(self, length)

    def handleContentChunk(self, data: bytes) -> None:
        if self._sink is not None and not self._response_complete:
            self._sink.body_received(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        self._body_complete = True
        if self._response_complete:
            return
        if self._sink is None:
            # A request without a body starts here: the channel accepts a response only now.
            self._sink = self.channel.factory.handler.request_started(self, 0)
        else:
            self._sink.body_ended()

    def connectionLost(self, reason: Failure) -> None:
        self._connection_ended = True
        super().connectionLost(reason)
        if self._sink is not None and not self._response_complete:
            self._response_complete = True
            self._sink.caller_lost()

    # -- the response -------------------------------------------------------

    @property
    def connection_ended(self) -> bool:
        """Whether the caller's connection has ended."""
        return self._connection_ended

    @property
    def caller_closed(self) -> bool:
        """Whether the caller has closed its connection, even if the loop has not read that yet."""
        return self._connection_ended or not still_open(self.channel.transport.socket)

    def header_values(self) -> dict[bytes, bytes]:
        """Return the last value of each request header, by its name in canonical case."""
        return {name: values[-1] for name, values in self.requestHeaders.getAllRawHeaders()}

    def send_response(self, status: int, headers: bytes, body: bytes) -> None:
        """Send a complete response; *headers* are lines that each end in CR LF."""
        if self._connection_ended or self._response_complete:
            return
        self._response_complete = True
        self._sink = None
        self._in_order(lambda: self._write_whole(status, headers, body))

    def _write_whole(self, status: int, headers: bytes, body: bytes) -> None:
        if self._connection_ended:
            return
        head = self._head(status, headers, len(body))
        self.startedWriting = 1
        self.channel.write(head if self.method == b"HEAD" else head + body)
        self.finish()

    def begin_response(self, status: int, headers: bytes, length: int) -> None:
        """Send the head of a response whose body follows; length -1 means unknown."""
        if not self._connection_ended and not self._response_complete:
            self._in_order(lambda: self._write_head(status, headers, length))

    def _write_head(self, status: int, headers: bytes, length: int) -> None:
        if self._connection_ended:
            return
        self.startedWriting = 1
        if length < 0 and self.clientproto == b"HTTP/1.1":
            self.chunked = 1
        elif length < 0:
            # HTTP/1.0 has no chunked encoding: the end of the connection ends the body.
            self.channel.end_after_last()
        self.registerProducer(self, True)
        self.channel.write(self._head(status, headers, length))

    def close_after(self) -> None:
        """Close the caller's connection after the responses to all requests read so far."""
        if not self._connection_ended and not self._response_complete:
            self.channel.end_after_last()

    def _head(self, status: int, headers: bytes, length: int) -> bytes:
        """Return the status line and the headers, including framing headers."""
        if not self._body_complete:
            # The unread rest of the body would be parsed as the next request: close after this.
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

    def write_response_chunk(self, data: bytes) -> None:
        """Send a chunk of the response's body."""
        if data:
            self._in_order(lambda: None if self._connection_ended else self.write(data))

    def end_response(self) -> None:
        """Finish the response."""
        if self._connection_ended or self._response_complete:
            return
        self._response_complete = True
        self._sink = None
        self._in_order(self._write_end)

    def _write_end(self) -> None:
        if not self._connection_ended:
            self.unregisterProducer()
            self.finish()

    def abort_response(self) -> None:
        """Abort the connection, so that the caller does not take a partial response as complete."""
        if self._connection_ended or self._response_complete:
            return
        self._response_complete = True
        self._in_order(
            lambda: None if self._connection_ended else self.channel.transport.abortConnection()
        )

    def pause_body(self) -> None:
        """Stop reading from the caller."""
        if not self._connection_ended and not self._response_complete and not self._body_complete:
            self.channel.pause_reading()

    def resume_body(self) -> None:
        """Resume reading from the caller."""
        if not self._connection_ended and not self._response_complete:
            self.channel.resume_reading()

    # -- producer of the response -------------------------------------------

    def pauseProducing(self) -> None:
        if self._sink is not None:
            self._sink.pause()

    def resumeProducing(self) -> None:
        if self._sink is not None:
            self._sink.resume()

    def stopProducing(self) -> None:
        """Do nothing: connectionLost() reports the end of the connection."""
