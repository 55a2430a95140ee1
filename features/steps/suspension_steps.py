"""Steps that test a suspended instance: the reactor's clock stops, the boot clock does not."""

from typing import Any
from unittest import mock

from behave import given, then, when
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from pearward_transport import http_client
from pearward_transport.http_client import ServerClient
from pearward_transport.server_connection import ServerConnection

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=%d\r\n\r\nok"


class _Transport(StringTransport):
    """A transport whose socket accepts any option."""

    def __init__(self) -> None:
        super().__init__()
        self.socket = mock.Mock()

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Does nothing, as the socket is a mock."""


@given("a connection to a target that keeps idle connections for {seconds:d} s")
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
    context.keep_alive_s = seconds
    context.connection = ServerConnection(context.client, lambda made: None)
    context.connection.makeConnection(_Transport())


def _respond(context: Any) -> None:
    context.connection.send(b"GET", b"/", b"", b"", mock.Mock())
    context.connection.dataReceived(RESPONSE % context.keep_alive_s)


@when("a request on it gets a response and {seconds:g} s passes")
def respond_and_wait(context: Any, seconds: float) -> None:
    _respond(context)
    context.reactor.advance(seconds)


@when("a request on it gets a response and the instance is suspended for {seconds:g} s")
def respond_and_suspend(context: Any, seconds: float) -> None:
    _respond(context)
    context.suspended_s += seconds


@then("the connection is used again")
def used_again(context: Any) -> None:
    assert context.client.take() is context.connection


@then("the connection is closed, and a new one is made for the next request")
def closed(context: Any) -> None:
    assert context.client.take() is None
    assert context.connection.transport.disconnecting
