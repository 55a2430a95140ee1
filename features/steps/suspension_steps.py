"""Steps of an instance that is suspended: one clock stands still, the other goes on."""

from typing import Any
from unittest import mock

from behave import given, then, when
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from pearward_transport import http_client
from pearward_transport.http_client import ServerClient
from pearward_transport.server_connection import ServerConnection

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=%d\r\n\r\nok"


class _Transport(StringTransport):
    """A transport whose socket takes any option."""

    def __init__(self) -> None:
        super().__init__()
        self.socket = mock.Mock()

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Nothing is held back here."""


@given("a connection to a target that keeps idle ones for {seconds:d} s")
def connection(context: Any, seconds: int) -> None:
    context.reactor = Clock()
    context.suspended_s = 0.0
    patch = mock.patch.object(
        http_client,
        "boot_time",
        lambda: context.reactor.seconds() + context.suspended_s,
    )
    patch.start()
    context.add_cleanup(patch.stop)
    context.client = ServerClient(context.reactor, "127.0.0.1:1")
    context.keeps_s = seconds
    context.connection = ServerConnection(context.client, lambda made: None)
    context.connection.makeConnection(_Transport())


def _answered(context: Any) -> None:
    context.connection.send(b"GET", b"/", b"", b"", mock.Mock())
    context.connection.dataReceived(ANSWER % context.keeps_s)


@when("a request on it is answered and {seconds:g} s passes")
def passes(context: Any, seconds: float) -> None:
    _answered(context)
    context.reactor.advance(seconds)


@when("a request on it is answered and the instance is suspended for {seconds:g} s")
def suspended(context: Any, seconds: float) -> None:
    _answered(context)
    context.suspended_s += seconds


@then("it is used again")
def used_again(context: Any) -> None:
    assert context.client.take() is context.connection


@then("it is closed, and a new one is made for the next request")
def closed(context: Any) -> None:
    assert context.client.take() is None
    assert context.connection.transport.disconnecting
