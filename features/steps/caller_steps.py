"""Steps of callers' connections, in virtual time and without sockets."""

from typing import Any

from behave import given, then, when
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from pearward_transport.http_server import CallerFactory, CallerRequest, HttpLimits

HEAD = b"POST /x/ HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n"
WHOLE = b"GET /x/ HTTP/1.1\r\nHost: a\r\n\r\n"
IDLE_S = 60.0


class _Handler:
    """Takes requests and their bodies."""

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.body = b""
        self.ended = 0

    def request_begun(self, request: CallerRequest, body_length: int | None) -> "_Handler":
        self.requests.append(request)
        return self

    def body_received(self, data: bytes) -> None:
        self.body += data

    def body_ended(self) -> None:
        self.ended += 1

    def caller_lost(self) -> None:
        """Nobody asks."""


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
    context.handler.requests[0].answer_whole(200, b"", b"")
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
