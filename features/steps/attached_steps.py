"""Steps of calls to a target that another process may have followed: sockets are the kernel's."""

import socket
from typing import Any
from unittest import mock

from behave import given, then, when
from twisted.internet.testing import MemoryReactorClock, StringTransport

from pearward_coordination.grants import GrantedRow
from pearward_daemon.mesh.dialect import GrantVerdict
from pearward_platform import grants
from pearward_platform.grants import PlatformGrants
from pearward_transport.clock import boot_time

TARGET = "i-0123456789"
ROW = GrantedRow(0, 4095, 1, "")
HOLD_S = 2.7


class _Transport(StringTransport):
    """A transport that tells what was written, over a connection that the kernel keeps."""

    def __init__(self, connected: socket.socket) -> None:
        super().__init__()
        self.socket = connected

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Nothing is held back here."""


class _Process:
    """One process at the target's address: a listening socket and the connections to it."""

    def __init__(self) -> None:
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.accepted: list[socket.socket] = []
        self.transports: list[_Transport] = []

    def connect(self, factory: Any) -> None:
        """Complete one connection to this process."""
        caller = socket.create_connection(self._listening.getsockname())
        self.accepted.append(self._listening.accept()[0])
        self.transports.append(_Transport(caller))
        factory.buildProtocol(None).makeConnection(self.transports[-1])

    def end(self) -> None:
        """The kernel closes what the process had."""
        for connection in (self._listening, *self.accepted):
            connection.close()

    @property
    def received(self) -> bytes:
        """What was written on all connections to this process."""
        return b"".join(transport.value() for transport in self.transports)


def _connect(context: Any) -> None:
    """Complete all connections that are being made to the process that stands now."""
    made = context.reactor.tcpClients
    while made:
        context.process.connect(made.pop(0)[2])


@given("a target that takes its keys by calls, and its process")
def target(context: Any) -> None:
    context.reactor = MemoryReactorClock()
    context.grants = PlatformGrants.from_config(context.reactor, "127.0.0.1:1")
    context.process = _Process()
    context.add_cleanup(lambda: context.process.end())


@when("a heartbeat of it is heard")
def heard(context: Any) -> None:
    context.grants.attach()
    _connect(context)
    assert context.grants.attached


@when("{seconds:g} s later a heartbeat is heard and the connection of that moment is reset")
def reset(context: Any, seconds: float) -> None:
    with mock.patch.object(grants, "boot_time", lambda: boot_time() + seconds):
        context.grants.attach()
        _connect(context)
    assert len(context.process.accepted) == 2
    context.process.accepted[-1].close()


@when("its process ends, unread by the daemon, and the next one stands at its address")
def next_process(context: Any) -> None:
    context.process.end()
    context.process = _Process()


@then("a grant is sent to its process")
def sent(context: Any) -> None:
    answer = context.grants.grant(TARGET, ROW, HOLD_S)
    _connect(context)
    assert b"POST /pearward/grant" in context.process.received
    assert not answer.called


@then("a grant is not sent, and no connection to the next process carries one")
def not_sent(context: Any) -> None:
    answer = context.grants.grant(TARGET, ROW, HOLD_S)
    _connect(context)
    assert answer.result.verdict is GrantVerdict.NOT_SENT, answer.result
    assert context.process.received == b""
