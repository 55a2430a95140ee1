"""Steps for the planned stop of a daemon on a users' platform, in virtual time, without sockets."""

import os
import select
import threading
import time
from contextlib import suppress
from typing import Any
from unittest import mock

from behave import given, then, when
from twisted.internet.abstract import FileDescriptor
from twisted.internet.defer import succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from pearward_coordination.messages import PeerId
from pearward_daemon import logs
from pearward_daemon.logs import LineWriter
from pearward_daemon.mesh import shutdown
from pearward_daemon.mesh.shutdown import Shutdown
from pearward_protocol.heads import Hello, RequestHead, ResponseHead
from pearward_protocol.streams import ClosingReceived, Multiplexer
from pearward_state.outcome import Outcome, RequestClass
from pearward_transport import http_server
from pearward_transport.caller_request import CallerRequest
from pearward_transport.http_server import CallerFactory, HttpLimits
from pearward_transport.local_server import LocalReply, LocalServer
from pearward_transport.peer import PeerListener
from pearward_transport.reactor import write_pending

GRACE_S = 6.0
STEP_S = 0.01
START_S = 1000.0
WINDOW = 200_000
GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


class _Transport(FileDescriptor):  # type: ignore[misc]
    """A connection's end whose output the kernel takes only while it is not blocked."""

    socket = None

    def __init__(self, reactor: Any, protocol: Any) -> None:
        super().__init__(reactor)
        self.connected = 1
        self.protocol = protocol
        self.blocked = False
        self.sent = b""
        self.closed = False
        protocol.makeConnection(self)

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing, as there is no socket."""

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Do nothing, as there is no socket."""

    def getHost(self) -> Any:
        return mock.Mock()

    getPeer = getHost

    def writeSomeData(self, data: Any) -> int:
        if self.blocked:
            return 0
        self.sent += bytes(data)
        return len(data)

    def close(self) -> None:
        """Tell the protocol that the connection has closed."""
        if not self.closed:
            self.closed = True
            self.stopReading()
            self.stopWriting()
            self.protocol.connectionLost(Failure(ConnectionDone()))


class _Handler:
    """Accepts requests of callers and of other daemons, and leaves them open."""

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []

    def request_started(self, request: CallerRequest, body_length: int | None) -> Any:
        self.requests.append(request)
        return mock.Mock()

    def request_received(self, *arguments: Any) -> Any:
        return mock.Mock()

    def peer_identified(self, peer: PeerId, expected: frozenset[str]) -> None:
        """Do nothing."""


class _Peer:
    """The daemon at the other end of a connection, which takes what is sent to it."""

    def __init__(self, context: Any) -> None:
        self.transport = _Transport(context.reactor, context.peers.buildProtocol(None))
        self.consumes = True
        self.closes_after_s: float | None = 0.0
        """Delay in s of the close after the notice; None if the daemon never closes."""
        self._context = context
        self._mux = Multiplexer(opener=True, window=WINDOW)
        self._mux.send_hello(Hello("other", "127.0.0.1:2"))
        self._send()

    def request(self) -> int:
        """Send a request, and return its stream."""
        stream = self._mux.open_stream(_head(), ended=True)
        self._send()
        return stream

    def step(self) -> None:
        """Take what was sent, and close the connection in time after the notice."""
        data, self.transport.sent = self.transport.sent, b""
        for event in self._mux.receive(data):
            if isinstance(event, ClosingReceived) and self.closes_after_s is not None:
                self._context.reactor.callLater(self.closes_after_s, self.transport.close)
        if self.consumes:
            for stream in list(self._mux._streams):
                self._mux.consumed(stream, WINDOW)
        self._send()

    def _send(self) -> None:
        if data := b"".join(self._mux.take_output()):
            self.transport.protocol.dataReceived(data)


def _head() -> RequestHead:
    return RequestHead(
        service="s", key=b"", request_id=b"r", method=b"GET", path=b"/", headers=b"",
        deadline_ms=8000, request_class=RequestClass.INTERACTIVE, tenant="-", repeatable=True,
        prior_age_ms=0, version=0, task_id="t", position=0, body_length=0,
    )  # fmt: skip


def _patch(module: Any, name: str, value: Any) -> Any:
    patch = mock.patch.object(module, name, value)
    patch.start()
    return patch


def _begin(context: Any) -> None:
    reactor = context.reactor = MemoryReactorClock()
    reactor.advance(START_S)
    context.add_cleanup(_patch(shutdown, "boot_time", reactor.seconds).stop)
    context.unacknowledged = 0
    context.add_cleanup(
        _patch(http_server, "unacknowledged", lambda socket: context.unacknowledged).stop
    )
    context.handler = _Handler()
    me = PeerId("me", "127.0.0.1:1")
    context.callers = CallerFactory(context.handler, reactor, HttpLimits(4096, 50, 60.0))
    context.heartbeats = LocalServer(lambda request: LocalReply(b"{}"), reactor)
    context.operators = LocalServer(lambda request: LocalReply(b"x" * 1000), reactor)
    context.peers = PeerListener(me, context.handler, reactor, WINDOW)
    local_target = mock.Mock(open_requests=0)
    core = mock.Mock(local_target=local_target)
    core.session.stop.return_value = succeed(None)
    context.log = mock.Mock()
    ingress = mock.Mock(open_requests=0, **{"cancel_open.return_value": 0})
    context.shutdown = Shutdown(
        reactor, mock.Mock(stop_s=GRACE_S), context.log, core, ingress, mock.Mock(waiting=0),
        context.peers, (context.callers, context.heartbeats, context.operators),
    )  # fmt: skip
    context.exits = []
    context.shutdown.done.addCallback(lambda _: context.exits.append(reactor.seconds()))
    context.other = None


def _step(context: Any) -> None:
    for transport in list(context.reactor.getWriters()):
        if transport.doWrite() is not None:
            transport.close()
    if context.other is not None and not context.other.transport.closed:
        context.other.step()
    context.reactor.advance(STEP_S)


def _run(context: Any, seconds: float) -> None:
    for _ in range(round(seconds / STEP_S)):
        _step(context)


def _connect(context: Any, server: Any) -> _Transport:
    return _Transport(context.reactor, server.buildProtocol(None))


def _blocked_response(context: Any, server: Any) -> None:
    """Make a server respond on a connection whose client does not read."""
    transport = _connect(context, server)
    transport.blocked = True
    transport.protocol.dataReceived(GET)
    if server is context.callers:
        context.handler.requests[-1].send_response(200, b"", b"x" * 1000)
    context.unblock = lambda: setattr(transport, "blocked", False)


def _respond_to_peer(context: Any, size: int) -> None:
    stream = context.other.request()
    connection = context.other.transport.protocol
    connection.respond(stream, ResponseHead(200, Outcome.SERVED), ended=False)
    connection.send_data(stream, b"x" * size, ended=True)


@given("a daemon with an idle connection of a caller and one of another daemon")
def idle_connections(context: Any) -> None:
    _begin(context)
    transport = _connect(context, context.callers)
    transport.protocol.dataReceived(GET)
    context.handler.requests[-1].send_response(200, b"", b"done")
    context.other = _Peer(context)
    _run(context, 2.0)


@given("a daemon with output: {output}")
def daemon_with_output(context: Any, output: str) -> None:
    _begin(context)
    if output == "a response that a caller has not read":
        _blocked_response(context, context.callers)
    elif output == "a response that a caller's kernel has not acknowledged":
        _blocked_response(context, context.callers)
        context.unblock()
        context.unacknowledged = 1000
        context.unblock = lambda: setattr(context, "unacknowledged", 0)
    elif output == "a response to a heartbeat that the target has not read":
        _blocked_response(context, context.heartbeats)
    elif output == "a response to an operator that is not read":
        _blocked_response(context, context.operators)
    elif output == "a response to another daemon that exceeds its window":
        context.other = _Peer(context)
        context.other.consumes = False
        _respond_to_peer(context, 2 * WINDOW)
        context.unblock = lambda: setattr(context.other, "consumes", True)
    elif output == "a response to another daemon that the connection has not sent":
        context.other = _Peer(context)
        context.other.transport.blocked = True
        _respond_to_peer(context, WINDOW)
        context.unblock = lambda: setattr(context.other.transport, "blocked", False)
    else:
        raise ValueError(output)


@given("a daemon that responds to another daemon just before it refuses requests")
def just_responded(context: Any) -> None:
    _begin(context)
    context.other = _Peer(context)
    context.respond = lambda: _respond_to_peer(context, 1000)


@when("it is told to stop")
def told_to_stop(context: Any) -> None:
    context.told_at = context.reactor.seconds()
    context.shutdown.start()
    _run(context, GRACE_S)


@when("it is told to stop, and the output is written {seconds:g} s later")
def written_later(context: Any, seconds: float) -> None:
    context.reactor.callLater(seconds, context.unblock)
    told_to_stop(context)


@when(
    "it is told to stop, and the other daemon closes its connection {seconds:g} s after the notice"
)
def closes_later(context: Any, seconds: float | None) -> None:
    context.other.closes_after_s = seconds
    # The last response before requests are refused.
    context.reactor.callLater(shutdown.DEREGISTRATION_S - STEP_S, context.respond)
    told_to_stop(context)


@when("it is told to stop, and the other daemon never closes its connection")
def never_closes(context: Any) -> None:
    closes_later(context, None)


@then("it exits between {least:g} s and {most:g} s after that")
def exits_between(context: Any, least: float, most: float) -> None:
    (exited,) = context.exits
    assert least <= exited - context.told_at <= most, exited - context.told_at


@then("it exits when the connection is closed")
def exits_when_closed(context: Any) -> None:
    (exited,) = context.exits
    assert context.other.transport.closed
    waited_s = exited - context.told_at
    notice_s = shutdown.DEREGISTRATION_S + context.other.closes_after_s
    assert notice_s <= waited_s <= notice_s + 0.2, waited_s


@then("the log names what was left")
def left_logged(context: Any) -> None:
    (line,) = [c.kwargs for c in context.log.emit.call_args_list if c.args == ("stopped",)]
    assert line["open"] or line["unwritten"], line


@given("a connection to another daemon whose output fills the transport")
def full_transport(context: Any) -> None:
    daemon_with_output(context, "a response to another daemon that the connection has not sent")


@when("it is closed and the output is written")
def closed_and_written(context: Any) -> None:
    context.other.transport.protocol.close()
    context.unblock()
    _run(context, 1.0)


@then("the transport has closed")
def transport_closed(context: Any) -> None:
    assert context.other.transport.closed


@given("a response to a caller that the event loop has not written yet")
def last_response(context: Any) -> None:
    _begin(context)
    context.caller = _connect(context, context.callers)
    context.caller.protocol.dataReceived(GET)
    context.handler.requests[-1].send_response(503, b"", b"")
    assert not context.caller.sent


@when("the reactor stops")
def reactor_stops(context: Any) -> None:
    write_pending(context.reactor)


@then("the caller has received the response")
def response_received(context: Any) -> None:
    assert context.caller.sent.startswith(b"HTTP/1.1 503 "), context.caller.sent


# -- the log --------------------------------------------------------------------------------------


@given("a log whose reader is behind by a full pipe")
def reader_behind(context: Any) -> None:
    context.read_end, write_end = os.pipe()
    context.writer = LineWriter(write_end)
    for size in (1000, 1):
        with suppress(BlockingIOError):
            while True:
                os.write(write_end, b"." * size)
    context.writer.write({"message_type": "last line"})
    context.received = b""


@when("the process ends and the reader {reader}")
def process_ends(context: Any, reader: str) -> None:
    def read() -> None:
        time.sleep(0.05)
        while b"last line" not in context.received:
            context.received += os.read(context.read_end, 1 << 20)

    thread = threading.Thread(target=read, daemon=True)
    if reader == "reads on":
        # Longer, as the thread may get no processor time at once.
        context.add_cleanup(_patch(logs, "END_WAIT_S", 10.0).stop)
        thread.start()
    elif reader == "closes its end":
        os.close(context.read_end)
    with mock.patch.object(logs.select, "select", wraps=select.select) as waiting:
        context.writer.finish()
    context.waits_s = [call.args[3] for call in waiting.call_args_list]
    if reader == "reads on":
        thread.join(timeout=1.0)


@then(
    "{lines} last line was received, and without a reader the process waited for at most {most:g} s"
)
def last_line(context: Any, lines: str, most: float) -> None:
    assert (b"last line" in context.received) is (lines == "the"), context.received[-100:]
    if lines == "no":
        assert all(wait_s <= most for wait_s in context.waits_s), context.waits_s
