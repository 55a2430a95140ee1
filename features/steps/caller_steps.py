"""Steps of callers' connections, in virtual time and without sockets."""

from typing import Any

from behave import given, then, when
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pearward_transport.caller_request import CallerRequest
from pearward_transport.http_server import CallerFactory, HttpLimits

HEAD = b"POST /x/ HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n"
WHOLE = b"GET /x/ HTTP/1.1\r\nHost: a\r\n\r\n"
IDLE_S = 60.0


class _Handler:
    """Takes requests and their bodies."""

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
        """Answers are short."""

    def pause(self) -> None:
        """Answers are short."""


@given("a caller's connection whose headers may take {seconds:g} s")
def connection(context: Any, seconds: float) -> None:
    context.clock = Clock()
    context.handler = _Handler()
    limits = HttpLimits(4096, 50, IDLE_S, seconds)
    factory = CallerFactory(context.handler, context.clock, limits)
    context.channel = factory.buildProtocol(None)
    context.transport = StringTransport()
    context.channel.makeConnection(context.transport)


def _pass(context: Any, seconds: int) -> None:
    for _ in range(seconds):
        context.clock.advance(1.0)


@when("it sends the first half of a request's headers and nothing for {seconds:d} s")
def half(context: Any, seconds: int) -> None:
    context.channel.dataReceived(HEAD[:20])
    _pass(context, seconds)


@when("it sends a request's headers, and its body in three parts of {seconds:d} s")
def slow_body(context: Any, seconds: int) -> None:
    context.channel.dataReceived(HEAD)
    for part in (b"ab", b"cd", b"ef"):
        _pass(context, seconds)
        context.channel.dataReceived(part)


@when("it sends a request, is answered, and sends another after {seconds:d} s")
def two_requests(context: Any, seconds: int) -> None:
    context.channel.dataReceived(WHOLE)
    context.handler.requests[0].send_response(200, b"", b"")
    _pass(context, seconds)
    context.channel.dataReceived(WHOLE)
    _pass(context, seconds)


@then("it is answered 408 and closed, and no request has begun")
def timed_out(context: Any) -> None:
    assert context.transport.value().startswith(b"HTTP/1.1 408 "), context.transport.value()
    assert context.transport.disconnecting
    assert not context.handler.requests


@then("the request has begun, and its body is whole")
def body_whole(context: Any) -> None:
    assert len(context.handler.requests) == 1
    assert (context.handler.body, context.handler.ended) == (b"abcdef", 1)


@then("both requests have begun")
def both_begun(context: Any) -> None:
    assert len(context.handler.requests) == 2
    assert not context.transport.disconnecting


# -- requests behind one another ---------------------------------------------------------


@when("it sends {count:d} safe requests behind one another")
def pipeline(context: Any, count: int) -> None:
    context.channel.dataReceived(WHOLE * count)


@when("it sends 2 safe requests, an unsafe one and a safe one behind one another")
def mixed_pipeline(context: Any) -> None:
    context.channel.dataReceived(WHOLE * 2 + HEAD + b"abcdef" + WHOLE)


@then("{count:d} requests have begun")
def have_begun(context: Any, count: int) -> None:
    assert len(context.handler.requests) == count, len(context.handler.requests)


@when("the answers come in the order {order}")
def answers_come(context: Any, order: str) -> None:
    for number in order.split(", "):
        context.handler.requests[int(number) - 1].send_response(
            200, b"", b"answer %b." % number.encode()
        )


@when("the unsafe one is answered")
def unsafe_answered(context: Any) -> None:
    context.handler.requests[2].send_response(200, b"", b"answer 3.")


@when("the second is answered in chunks before the first is")
def chunks(context: Any) -> None:
    second = context.handler.requests[1]
    second.begin_response(200, b"", 10)
    second.write_response_chunk(b"chunk")
    second.write_response_chunk(b"chunk")
    second.end_response()


@when("the first is answered")
def first_answered(context: Any) -> None:
    context.handler.requests[0].send_response(200, b"", b"answer 1.")


@when("the first asks for the connection to end")
def ends(context: Any) -> None:
    context.handler.requests[0].close_after()


@when("it sends bytes that are no request")
def malformed(context: Any) -> None:
    context.channel.dataReceived(b"GET /x/ HTTP/1.1\r\nno header\r\n\r\nmore\r\n")


@when("the second is answered and the caller leaves")
def leaves(context: Any) -> None:
    context.handler.requests[1].send_response(200, b"", b"")
    context.channel.connectionLost(Failure(ConnectionDone()))


@then("{count:d} requests have been told so")
def told(context: Any, count: int) -> None:
    assert context.handler.lost == count, context.handler.lost


@then("the caller has read no byte")
def read_nothing(context: Any) -> None:
    assert context.transport.value() == b"", context.transport.value()


@then("the caller has read the first answer and then the chunks")
def read_chunks(context: Any) -> None:
    assert _bodies(context) == [b"answer 1.", b"chunkchunk"], _bodies(context)


@then("the caller has read the answers {numbers} and nothing else")
def read_answers(context: Any, numbers: str) -> None:
    wanted = [b"answer %b." % number.encode() for number in numbers.split(", ")]
    assert _bodies(context) == wanted, context.transport.value()


@then("only the answer 2 says that the connection ends, and it has ended")
def ended_with(context: Any) -> None:
    first, second = context.transport.value().split(b"answer 1.")
    assert b"Connection: close" not in first
    assert b"Connection: close" in second
    assert context.transport.disconnecting


def _bodies(context: Any) -> list[bytes]:
    """Read the answers that were written, each with its stated length."""
    rest = context.transport.value()
    bodies: list[bytes] = []
    while rest:
        head, _, rest = rest.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 "), head
        length = int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
        bodies.append(rest[:length])
        rest = rest[length:]
    return bodies
