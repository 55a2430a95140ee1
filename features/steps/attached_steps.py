"""Steps for calls to a target whose process may have been replaced, over real sockets."""

import socket
from contextlib import suppress
from typing import Any
from unittest import mock

from behave import given, then, when
from twisted.internet.tcp import Connection
from twisted.internet.testing import MemoryReactorClock

from pearward_coordination.grant_calls import CALL_SEND_TIMEOUT_S
from pearward_coordination.grants import GrantedRow
from pearward_daemon.mesh.dialect import GrantVerdict
from pearward_platform import grants
from pearward_platform.grants import PlatformGrants
from pearward_transport.clock import boot_time

TARGET = "i-0123456789"
ROW = GrantedRow(0, 4095, 1, "")
HOLD_S = 2.7
BUFFER = 65_536


class _Process:
    """One process at the target's address: a listening socket and the connections to it."""

    def __init__(self) -> None:
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.accepted: list[socket.socket] = []
        self._received = b""

    def connect(self, factory: Any, reactor: Any) -> Any:
        """Complete one connection to this process, and return the caller's end."""
        caller = socket.create_connection(self._listening.getsockname())
        caller.setblocking(False)
        self.accepted.append(self._listening.accept()[0])
        self.accepted[-1].setblocking(False)
        protocol = factory.buildProtocol(None)
        transport = Connection(caller, protocol, reactor)
        transport.connected = 1
        protocol.makeConnection(transport)
        return protocol

    def discard_received(self) -> None:
        """Discard what was received so far."""
        self._received = b""

    def terminate(self) -> None:
        """Close all sockets, as the kernel does when a process ends."""
        for connection in (self._listening, *self.accepted):
            connection.close()

    @property
    def received(self) -> bytes:
        """Bytes that have reached this process on all connections."""
        for connection in self.accepted:
            # A connection that was reset delivers nothing more.
            with suppress(OSError):
                self._received += connection.recv(BUFFER)
        return self._received


def _connect(context: Any) -> None:
    """Complete all connections in progress, to the present process."""
    attempts = context.reactor.tcpClients
    while attempts:
        context.connection = context.process.connect(attempts.pop(0)[2], context.reactor)


def _run_loop(context: Any) -> None:
    """Write what is queued for the event loop."""
    for writer in list(context.reactor.writers):
        writer.doWrite()


@given("a target that takes its keys by calls, and its process")
def target(context: Any) -> None:
    context.reactor = MemoryReactorClock()
    context.grants = PlatformGrants.from_config(context.reactor, "127.0.0.1:1")
    context.process = _Process()
    context.add_cleanup(lambda: context.process.terminate())


@when("a heartbeat of it is received")
def heartbeat_received(context: Any) -> None:
    context.grants.attach()
    _connect(context)
    assert context.grants.attached


@when("{seconds:g} s later a heartbeat is received and the connection made for it is reset")
def connection_reset(context: Any, seconds: float) -> None:
    with mock.patch.object(grants, "boot_time", lambda: boot_time() + seconds):
        context.grants.attach()
        _connect(context)
    assert len(context.process.accepted) == 2
    context.process.accepted[-1].close()


@when("its process ends, unnoticed by the daemon, and the next one listens at its address")
def next_process(context: Any) -> None:
    context.process.terminate()
    context.process = _Process()


@then("a grant is sent to its process")
def sent_to_process(context: Any) -> None:
    reply = _grant_sent(context)
    assert not reply.called


def _grant(context: Any) -> Any:
    return context.grants.grant(TARGET, ROW, HOLD_S, boot_time() + CALL_SEND_TIMEOUT_S)


def _grant_sent(context: Any) -> Any:
    """Send a grant that reaches the process, over a new connection or a kept one."""
    reply = _grant(context)
    _connect(context)
    _run_loop(context)
    assert b"POST /pearward/grant" in context.process.received
    return reply


@when("its connection for calls is kept open")
def connection_kept(context: Any) -> None:
    reply = _grant_sent(context)
    context.connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert reply.result.verdict is GrantVerdict.TAKEN
    context.process.discard_received()


@then("a grant is sent to its process before the event loop runs again")
def sent_before_loop_runs(context: Any) -> None:
    _assert_sent_at_once(context)


def _assert_sent_at_once(context: Any) -> None:
    _grant(context)
    assert not context.reactor.tcpClients
    assert b"POST /pearward/grant" in context.process.received


@then("a grant whose connection is established {seconds:g} s later is not sent")
def not_sent_late(context: Any, seconds: float) -> None:
    reply = _grant(context)
    with mock.patch.object(grants, "boot_time", lambda: boot_time() + seconds):
        _connect(context)
    _run_loop(context)
    assert context.process.received == b""
    assert reply.result.verdict is GrantVerdict.NOT_SENT, reply.result


@then("a grant is not sent, and no connection to the next process carries one")
def not_sent(context: Any) -> None:
    reply = _grant(context)
    _connect(context)
    _run_loop(context)
    assert reply.result.verdict is GrantVerdict.NOT_SENT, reply.result
    assert context.process.received == b""


@then("the next one is sent on that connection")
def next_on_same_connection(context: Any) -> None:
    _assert_sent_at_once(context)
