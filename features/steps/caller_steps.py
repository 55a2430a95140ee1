"""Steps that test callers' connections, in virtual time and without sockets."""

from typing import Any

from behave import given, then, when
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pearward_transport.caller_request import CallerRequest
from pearward_transport.http_server import CallerFactory, HttpLimits

POST_HEAD = b"POST /x/ HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n"
GET_REQUEST = b"GET /x/ HTTP/1.1\r\nHost: a\r\n\r\n"
IDLE_S = 60.0


class _Transport(StringTransport):  # type: ignore[misc]
    """Counts as disconnecting once its sending direction is to be closed."""

    closed = False

    def loseWriteConnection(self) -> None:
        self.disconnecting = True

    def loseConnection(self) -> None:
        super().loseConnection()
        self.closed = True


class _Handler:
    """Records requests and their bodies."""

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.body = b""
        self.ended = 0
        self.lost = 0

    def request_started(self, request: CallerRequest, body_length: int | None) -> "_Handler":
        self.requests.append(request)
        return self

    def body_received(self, data: bytes) -> None:
        self.body += data

    def body_ended(self) -> None:
        self.ended += 1

    def caller_lost(self) -> None:
        self.lost += 1

    def resume(self) -> None:
        """Does nothing, as responses are short."""

    def pause(self) -> None:
        """Does nothing, as responses are short."""


@given("a caller's connection with a header time-out of {seconds:g} s")
def connection(context: Any, seconds: float) -> None:
    context.clock = Clock()
    context.handler = _Handler()
    limits = HttpLimits(4096, 50, IDLE_S, seconds)
    factory = CallerFactory(context.handler, context.clock, limits)
    context.channel = factory.buildProtocol(None)
    context.transport = _Transport()
    context.channel.makeConnection(context.transport)


def _advance(context: Any, seconds: int) -> None:
    for _ in range(seconds):
        context.clock.advance(1.0)


@when("it sends the first half of a request's headers and nothing for {seconds:d} s")
def send_partial_headers(context: Any, seconds: int) -> None:
    context.channel.dataReceived(POST_HEAD[:20])
    _advance(context, seconds)


@when("it sends a request's headers, and its body in three parts at intervals of {seconds:d} s")
def slow_body(context: Any, seconds: int) -> None:
    context.channel.dataReceived(POST_HEAD)
    for part in (b"ab", b"cd", b"ef"):
        _advance(context, seconds)
        context.channel.dataReceived(part)


@when("it sends a request, gets a response, and sends another request after {seconds:d} s")
def two_requests(context: Any, seconds: int) -> None:
    context.channel.dataReceived(GET_REQUEST)
    context.handler.requests[0].send_response(200, b"", b"")
    _advance(context, seconds)
    context.channel.dataReceived(GET_REQUEST)
    _advance(context, seconds)


@then("it gets a 408 response and is closed, and no request has begun")
def timed_out(context: Any) -> None:
    assert context.transport.value().startswith(b"HTTP/1.1 408 "), context.transport.value()
    assert context.transport.disconnecting
    assert not context.handler.requests


@then("the request has begun, and its body is complete")
def body_complete(context: Any) -> None:
    assert len(context.handler.requests) == 1
    assert (context.handler.body, context.handler.ended) == (b"abcdef", 1)


@then("both requests have begun")
def both_begun(context: Any) -> None:
    assert len(context.handler.requests) == 2
    assert not context.transport.disconnecting


# -- pipelined requests ------------------------------------------------------------------


@when("it pipelines {count:d} safe requests")
def pipeline(context: Any, count: int) -> None:
    context.channel.dataReceived(GET_REQUEST * count)


@when("it pipelines 2 safe requests, an unsafe one and a safe one")
def mixed_pipeline(context: Any) -> None:
    context.channel.dataReceived(GET_REQUEST * 2 + POST_HEAD + b"abcdef" + GET_REQUEST)


@then("{count:d} requests have begun")
def have_begun(context: Any, count: int) -> None:
    assert len(context.handler.requests) == count, len(context.handler.requests)


@when("the requests get responses in the order {order}")
def send_responses(context: Any, order: str) -> None:
    for number in order.split(", "):
        context.handler.requests[int(number) - 1].send_response(
            200, b"", b"answer %b." % number.encode()
        )


@when("the unsafe request gets a response")
def respond_unsafe(context: Any) -> None:
    context.handler.requests[2].send_response(200, b"", b"answer 3.")


@when("the second request gets a response in chunks before the first one does")
def respond_in_chunks(context: Any) -> None:
    second = context.handler.requests[1]
    second.begin_response(200, b"", 10)
    second.write_response_chunk(b"chunk")
    second.write_response_chunk(b"chunk")
    second.end_response()


@when("the first request gets a response")
def respond_first(context: Any) -> None:
    context.handler.requests[0].send_response(200, b"", b"answer 1.")


@when("the first request asks for the connection to be closed")
def ask_for_close(context: Any) -> None:
    context.handler.requests[0].close_after()


@when("it sends a malformed request")
def send_malformed(context: Any) -> None:
    context.channel.dataReceived(b"GET /x/ HTTP/1.1\r\nno header\r\n\r\nmore\r\n")


@when("the second request gets a response and the caller disconnects")
def disconnect(context: Any) -> None:
    context.handler.requests[1].send_response(200, b"", b"")
    context.channel.connectionLost(Failure(ConnectionDone()))


@then("{count:d} requests have been notified")
def notified(context: Any, count: int) -> None:
    assert context.handler.lost == count, context.handler.lost


@then("the caller has received no byte")
def received_nothing(context: Any) -> None:
    assert context.transport.value() == b"", context.transport.value()


@then("the caller has received the first response and then the chunks")
def received_chunks(context: Any) -> None:
    assert _bodies(context) == [b"answer 1.", b"chunkchunk"], _bodies(context)


@then("the caller has received the responses {numbers} and nothing else")
def received_responses(context: Any, numbers: str) -> None:
    wanted = [b"answer %b." % number.encode() for number in numbers.split(", ")]
    assert _bodies(context) == wanted, context.transport.value()


@then("only response 2 announces that the connection closes, and it is closed")
def closed_by_second(context: Any) -> None:
    first, second = context.transport.value().split(b"answer 1.")
    assert b"Connection: close" not in first
    assert b"Connection: close" in second
    assert context.transport.disconnecting


def _bodies(context: Any) -> list[bytes]:
    """Return the bodies of the responses that were written, by their Content-Length."""
    rest = context.transport.value()
    bodies: list[bytes] = []
    while rest:
        head, _, rest = rest.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 "), head
        length = int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
        bodies.append(rest[:length])
        rest = rest[length:]
    return bodies


@then("the connection is closed for sending only, and what its caller sends is read")
def closed_for_sending(context: Any) -> None:
    assert context.transport.disconnecting
    assert not context.transport.closed
    assert context.transport.producerState == "producing", context.transport.producerState
