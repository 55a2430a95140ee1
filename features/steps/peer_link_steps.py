"""Steps that test silent connections between daemons, in virtual time."""

from typing import Any

from behave import given, then, when
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from pearward_coordination.messages import PeerId, Pull
from pearward_protocol.heads import Hello
from pearward_protocol.streams import Multiplexer
from pearward_transport.peer import PeerListener, PeerPool
from pearward_transport.peer_connection import LivenessMonitor, PeerConnection

STEP_S = 0.1
SEND_EVERY_S = 0.4


class _Transport(StringTransport):  # type: ignore[misc]
    """Keeps the data that is written and records an abort."""

    aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Does nothing, as there is no socket."""

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Does nothing, as there is no socket."""

    def abortConnection(self) -> None:
        self.aborted = True


class _Handler:
    """Ignores all messages of peers."""

    def control_received(self, sender: PeerId, message: Any) -> None:
        """Does nothing."""

    def peer_identified(self, peer: PeerId, expected: frozenset[str]) -> None:
        """Does nothing."""


@given("a connection to another daemon that has not sent a greeting")
def not_greeted(context: Any) -> None:
    context.clock = Clock()
    context.transport = _Transport()
    me = PeerId("me", "127.0.0.1:1")
    monitor = LivenessMonitor(context.clock)
    handler: Any = _Handler()
    connection = PeerConnection(me, handler, context.clock, monitor, opener=True, window=1024)
    connection.makeConnection(context.transport)
    context.connection = connection
    context.other = Multiplexer(opener=False)


@given("a connection to another daemon without open streams")
def greeted(context: Any) -> None:
    not_greeted(context)
    context.other.send_hello(Hello("other", "127.0.0.1:2"))
    context.connection.dataReceived(b"".join(context.other.take_output()))
    assert context.connection.usable


def _advance(context: Any, seconds: float, *, sends: bool, answers: bool) -> None:
    since = 0.0
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)
        since += STEP_S
        if sends and since >= SEND_EVERY_S:
            since = 0.0
            context.connection.send_control(Pull(("keymaps/roster",)))
        if answers:
            list(context.other.receive(context.transport.value()))
            context.transport.clear()
            if output := context.other.take_output():
                context.connection.dataReceived(b"".join(output))


@when("a control message is sent every 0.4 s and nothing is received for {seconds:g} s")
def no_answer(context: Any, seconds: float) -> None:
    _advance(context, seconds, sends=True, answers=False)


@when("a control message is sent every 0.4 s and pings are answered for {seconds:g} s")
def pings_answered(context: Any, seconds: float) -> None:
    _advance(context, seconds, sends=True, answers=True)


@when("a control message is sent and this daemon stands still for {seconds:g} s")
def stands_still(context: Any, seconds: float) -> None:
    context.connection.send_control(Pull(("keymaps/roster",)))
    context.clock.advance(seconds)


@when("nothing is sent and nothing is received for {seconds:g} s")
def keep_idle(context: Any, seconds: float) -> None:
    _advance(context, seconds, sends=False, answers=False)


@then("the connection was aborted")
def aborted(context: Any) -> None:
    assert context.transport.aborted


@then("the connection is up")
def is_up(context: Any) -> None:
    assert not context.transport.aborted


@given('a daemon that has failed to connect to "{address}" for {seconds:d} s')
def failed_to_connect(context: Any, address: str, seconds: int) -> None:
    context.reactor = MemoryReactorClock()
    me = PeerId("me", "127.0.0.1:1")
    context.handler = _Handler()
    context.handler.expected_at = lambda address: frozenset()
    context.pool = PeerPool(me, context.handler, context.reactor, window=1024)
    context.listener = PeerListener(
        me, context.handler, context.reactor, 1024, on_greeted=context.pool.note_reachable
    )
    for _ in range(round(seconds / STEP_S)):
        context.pool.send_control(address, Pull(("cell/premview",)))
        while context.reactor.tcpClients:
            factory = context.reactor.tcpClients.pop()[2]
            factory.clientConnectionFailed(None, Failure(Refused()))
        context.reactor.advance(STEP_S)


@when('the daemon at "{address}" greets it on a connection of its own')
def greeted_by(context: Any, address: str) -> None:
    connection = context.listener.buildProtocol(None)
    connection.makeConnection(_Transport())
    other = Multiplexer(opener=True)
    other.send_hello(Hello("other", address))
    connection.dataReceived(b"".join(other.take_output()))


@when('a control message is sent to "{address}"')
def control_message_sent(context: Any, address: str) -> None:
    context.pool.send_control(address, Pull(("cell/premview",)))


@then('it connects to "{address}" at once')
def connects_at_once(context: Any, address: str) -> None:
    dialled = [f"{host}:{port}" for host, port, *_ in context.reactor.tcpClients]
    assert dialled == [address], dialled
