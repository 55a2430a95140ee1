"""Steps for a daemon that ends, with stand-ins for its control plane, its server and sockets."""

from random import Random
from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import given, then, when
from peer_link_steps import _Transport
from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from pearward_coordination.messages import PeerId, Pull
from pearward_coordination.ownership import Admission, Permit, Verdict
from pearward_daemon import daemon as daemon_module
from pearward_daemon.attempts import RemoteAttempt
from pearward_daemon.daemon import Daemon
from pearward_daemon.settings import Settings
from pearward_protocol.frames import END, Frame, FrameKind, pack_frame
from pearward_protocol.heads import RequestHead, ResponseHead
from pearward_protocol.streams import Event, Multiplexer
from pearward_state.outcome import Outcome, Reason, RequestClass
from pearward_state.table import Kind
from pearward_transport import http_server, peer_connection
from pearward_transport.peer import PeerPool

SETTINGS = {
    "failure_domains": ["a"],
    "instance": {"name": "i0", "failure_domain": "a"},
    "listen": {"ip": "127.0.0.1"},
    "server": {"service": "roster", "name": "roster-0", "address": "127.0.0.1:9000"},
    "platform": {"endpoints": ["127.0.0.1:2379"]},
    "stop": {"drain_limit_s": 5.0},
}
PEER_PORT = 7401
CALLER_PORT = 7400
ADDRESS = f"127.0.0.1:{PEER_PORT}"
STEP_S = 0.01
DECISION_LIMIT_S = 10.0
PERMIT = Permit(position=0, start=0, end=0, epoch=1, term=1, granted_at=0.0)
WINDOW = 131_072


class _EarlierMultiplexer(Multiplexer):
    """Handles pings as versions do that do not know the closing notice."""

    def _on_frame(self, frame: Frame) -> Event | None:
        if frame.kind is FrameKind.PING:
            if not frame.flags & END:
                self._output.append(pack_frame(FrameKind.PING, 0, b"", END))
            return None
        return super()._on_frame(frame)


class _Reactor(MemoryReactorClock):  # type: ignore[misc]
    """Keeps the ports, to show which of them are closed."""

    def __init__(self) -> None:
        super().__init__()
        self.ports: dict[int, Any] = {}

    def listenTCP(self, port: int, *args: Any, **options: Any) -> Any:
        super().listenTCP(port, *args, **options)
        self.ports[port] = mock.Mock()
        return self.ports[port]


class _Ownership:
    """Stand-in for the shards of a daemon that no record names."""

    record = None
    adopted = released = shard_count = serving_count = 0
    verdict = Verdict.SERVE

    def admit(self, position: int, now: float) -> Admission:
        return Admission(self.verdict, PERMIT if self.verdict is Verdict.SERVE else None)

    def started(self, permit: Permit) -> int:
        self._runs = getattr(self, "_runs", 0) + 1
        return self._runs

    def is_permit_valid(self, permit: Permit, now: float) -> bool:
        return True


class _ServerConnection:
    """Records the requests that are sent to the server."""

    def __init__(self, server: "_Server") -> None:
        self._server = server

    def send(self, method: bytes, path: bytes, headers: bytes, body: bytes, sink: Any) -> None:
        self._server.sinks.append(sink)

    def abort(self) -> None:
        """Does nothing, as there is no socket."""

    def pause(self) -> None:
        """Does nothing: the whole response is there already."""

    def resume(self) -> None:
        """Does nothing: the whole response is there already."""


class _Server:
    """Stand-in for the client of the server."""

    def __init__(self) -> None:
        self.sinks: list[Any] = []
        self.reachable = True
        self.connecting: list[Deferred[Any]] = []

    def take(self) -> _ServerConnection | None:
        return _ServerConnection(self) if self.reachable else None

    def connect(self) -> "Deferred[Any]":
        self.connecting.append(Deferred())
        return self.connecting[-1]


class _CallerTransport(_Transport):  # type: ignore[misc]
    """A caller's connection, whose output is written when the caller's end is lost."""

    socket = None

    def __init__(self, reactor: Any) -> None:
        super().__init__()
        self._reactor = reactor

    def loseWriteConnection(self) -> None:
        self.disconnecting = True
        self._reactor.addWriter(self)


class _Wire:
    """Two ends of a connection; data moves only when it is told to."""

    def __init__(self, opener: Any, accepter: Any) -> None:
        self.ends = (opener, accepter)
        self.transports = (_Transport(), _Transport())
        self.closed_by: int | None = None
        for end, transport in zip(self.ends, self.transports, strict=True):
            end.makeConnection(transport)

    def carry(self, sender: int) -> bool:
        """Deliver what one end has written, and its close; return whether there was something."""
        transport = self.transports[sender]
        data = transport.value()
        transport.clear()
        if self.closed_by is not None:
            return False
        if data:
            self.ends[1 - sender].dataReceived(data)
        if transport.disconnecting and not transport.value() and self.closed_by is None:
            self.closed_by = sender
            for end in self.ends:
                end.connectionLost(Failure(ConnectionDone()))
            return True
        return bool(data)

    def settle(self) -> None:
        """Deliver data in both directions until there is none."""
        while self.carry(0) | self.carry(1):
            pass


class _Request:
    """A request of the peer: records how it ended."""

    def __init__(self) -> None:
        self.outcome: Outcome | None = None
        self.reason: Reason | None = None
        self.attempt: RemoteAttempt | None = None

    def response_head(self, head: ResponseHead, ended: bool, body: bytes) -> None:
        self.reason = head.reason
        if ended:
            self.outcome = head.outcome
            assert self.attempt is not None
            self.attempt.detach()

    def response_data(self, data: bytes, ended: bool) -> None:
        assert self.attempt is not None
        self.attempt.consumed(len(data))
        if ended:
            self.outcome = Outcome.SERVED
            self.attempt.detach()

    def attempt_failed(self, outcome: Outcome, reason: Reason, detail: str) -> None:
        self.outcome, self.reason = outcome, reason

    def attempt_writable(self) -> None:
        """Does nothing: the bodies of these requests are short."""


def _head(body_length: int = 0) -> RequestHead:
    return RequestHead(
        service="roster", key=b"k", request_id=b"r", method=b"GET", path=b"/", headers=b"",
        deadline_ms=30_000, request_class=RequestClass.INTERACTIVE, tenant="", repeatable=True,
        prior_age_ms=0, version=1, task_id="", position=0, body_length=body_length,
    )  # fmt: skip


def _advance(context: Any, seconds: float) -> None:
    for _ in range(round(seconds / STEP_S)):
        context.reactor.advance(STEP_S)


def _start_daemon(context: Any) -> None:
    reactor = context.reactor = _Reactor()
    reactor.advance(1000.0)
    context.server = _Server()
    control = context.control = mock.Mock()
    control.ownership = context.ownership = _Ownership()
    control.draining = False
    control.drain.side_effect = lambda: setattr(control, "draining", True)
    control.valid_until = 1e9
    control.expected_at.return_value = frozenset()
    service = SimpleNamespace(
        name="roster", kind=Kind.KEYED, export_slots=1.0, retry_ratio=0.1,
        default_class=RequestClass.INTERACTIVE,
    )  # fmt: skip
    table = SimpleNamespace(service=service, servers={"roster-0": SimpleNamespace(slots=1)})
    member = SimpleNamespace(incarnation="i0", peer=ADDRESS, caller="")
    router = context.router = mock.Mock(records={})
    router.row.return_value = context.service_table = table
    router.route.return_value = SimpleNamespace(member=member, position=0, version=1)
    control.incarnation = member.incarnation
    patches = [
        mock.patch.object(daemon_module, "Router", lambda rng: router),
        mock.patch.object(daemon_module, "ControlPlane", lambda *args: control),
        mock.patch.object(daemon_module, "ServerClient", lambda *args: context.server),
        mock.patch.object(daemon_module, "Metrics"),
        mock.patch.object(daemon_module, "boot_time", reactor.seconds),
        mock.patch.object(http_server, "unacknowledged", lambda socket: 0),
    ]
    for patch in patches:
        patch.start()
        context.add_cleanup(patch.stop)
    daemon = Daemon(reactor, Settings.from_mapping(SETTINGS), mock.Mock(), Random(1))
    context.daemon, context.ended = daemon, []
    daemon.start().addCallback(context.ended.append)
    context.requests = []


def _factory(context: Any, port: int) -> Any:
    return next(server[1] for server in context.reactor.tcpServers if server[0] == port)


def _open_connection(context: Any) -> _Wire | None:
    """Connect the peer that has dialled; return None if the daemon closes the connection."""
    factory = context.reactor.tcpClients.pop()[2]
    opener = factory.buildProtocol(None)
    accepter = _factory(context, PEER_PORT).buildProtocol(IPv4Address("TCP", "127.0.0.1", 1))
    if accepter is None:
        opener.makeConnection(_Transport())
        opener.connectionLost(Failure(ConnectionDone()))
        return None
    wire = _Wire(opener, accepter)
    wire.settle()
    return wire


def _connect_peer(context: Any) -> None:
    handler = mock.Mock()
    handler.expected_at.return_value = frozenset()
    me = PeerId("peer", "127.0.0.1:1")
    context.pool = PeerPool(me, handler, context.reactor, window=WINDOW)
    context.pool.connect(ADDRESS).addErrback(lambda failure: None)
    context.wire = _open_connection(context)
    assert context.pool.ready(ADDRESS) is not None


def _send(context: Any, *, body_length: int = 0, body: bytes = b"") -> _Request:
    request = _Request()
    context.requests.append(request)

    def opened(connection: Any) -> None:
        request.attempt = RemoteAttempt(connection, request)
        request.attempt.open(_head(body_length), ended=not body_length)
        if body:
            request.attempt.send_data(body)

    def failed(failure: Failure) -> None:
        request.outcome, request.reason = Outcome.NOT_RUN, Reason.UNREACHABLE

    context.pool.connect(ADDRESS).addCallbacks(opened, failed)
    if context.reactor.tcpClients:
        _open_connection(context)
    return request


@given("a daemon and a peer that is connected")
def connected(context: Any) -> None:
    _start_daemon(context)
    _connect_peer(context)


@given("a daemon and a peer of an earlier version that is connected")
def connected_earlier(context: Any) -> None:
    _start_daemon(context)
    with mock.patch.object(peer_connection, "Multiplexer", _EarlierMultiplexer):
        _connect_peer(context)


@given("a request of the peer that runs")
def runs(context: Any) -> None:
    _send(context)
    context.wire.settle()
    assert len(context.server.sinks) == 1


@given("a second request that waits for the only slot")
def waits_for_slot(context: Any) -> None:
    context.control.on_table.call_args.args[0](context.service_table)
    _send(context)
    context.wire.settle()
    assert len(context.server.sinks) == 1


@given("a request of the peer that waits for its shard")
def waits_for_shard(context: Any) -> None:
    context.ownership.verdict = Verdict.WAIT
    _send(context)
    context.wire.settle()


@given("a request of the peer that waits for a connection to the server")
def waits_for_server(context: Any) -> None:
    context.server.reachable = False
    _send(context)
    context.wire.settle()
    assert context.server.connecting


@given("a request of the peer that has sent half of its body")
def half_body(context: Any) -> None:
    _send(context, body_length=2000, body=b"x" * 1000)
    context.wire.settle()


@given("a caller with an open connection")
def caller_connected(context: Any) -> None:
    channel = _factory(context, CALLER_PORT).buildProtocol(IPv4Address("TCP", "127.0.0.1", 2))
    context.caller_transport = _CallerTransport(context.reactor)
    channel.makeConnection(context.caller_transport)
    context.channel = channel


@given("a caller with an open connection, which has output that is not written")
def unwritten_output(context: Any) -> None:
    caller_connected(context)
    context.reactor.addWriter(context.caller_transport)


@when("the output is written, all data arrives and {seconds:g} s pass")
def output_written(context: Any, seconds: float) -> None:
    context.reactor.removeWriter(context.caller_transport)
    _advance(context, seconds)
    data_arrives(context, seconds)


@when("the daemon is stopped as planned and decides to end")
def decides_to_end(context: Any) -> None:
    context.daemon.drain()
    _advance_to_decision(context)


@when("the daemon is stopped as planned and the time limit passes")
def limit_passes(context: Any) -> None:
    context.daemon.drain()
    _advance(context, 4.8)
    assert not context.control.stop.called
    _advance_to_decision(context)


def _advance_to_decision(context: Any) -> None:
    for _ in range(round(DECISION_LIMIT_S / STEP_S)):
        if context.control.stop.called:
            break
        context.reactor.advance(STEP_S)
    assert context.control.stop.called
    context.runs_before = len(context.server.sinks)


@when("the daemon is stopped as planned and {seconds:g} s pass")
def stopped_and_time_passes(context: Any, seconds: float) -> None:
    context.daemon.drain()
    _advance(context, seconds)


@when("the peer sends a request that arrives in the same turn")
@when("the peer sends a request that arrives at once")
def arrives_at_once(context: Any) -> None:
    _send(context)
    context.wire.settle()


@when("the peer sends a request that stays in the socket's buffer")
def stays_in_buffer(context: Any) -> None:
    _send(context)


@when("the peer sends a request every {pause:g} s for {seconds:g} s")
def sends_on(context: Any, pause: float, seconds: float) -> None:
    for _ in range(round(seconds / pause)):
        arrives_at_once(context)
        _advance(context, pause)


@when("nothing happens for {seconds:g} s")
def time_passes(context: Any, seconds: float) -> None:
    _advance(context, seconds)


@when("all data arrives and {seconds:g} s pass")
def data_arrives(context: Any, seconds: float) -> None:
    context.wire.settle()
    if "caller_transport" in context and context.caller_transport.disconnecting:
        context.reactor.removeWriter(context.caller_transport)
        context.channel.connectionLost(Failure(ConnectionDone()))
    _advance(context, seconds)


@when("the peer closes its connection and {seconds:g} s pass")
def peer_closes(context: Any, seconds: float) -> None:
    context.wire.settle()
    assert context.wire.closed_by == 0
    _advance(context, seconds)


@when("the peer sends a control message that arrives in the same turn")
def control_arrives(context: Any) -> None:
    context.pool.send_control(ADDRESS, Pull(("cell/roster",)))
    context.wire.carry(0)


@when("the notice of the daemon arrives before the response")
def notice_arrives(context: Any) -> None:
    context.wire.ends[1].announce_closing()
    context.wire.carry(1)


@when("the server responds to the request that runs")
def server_responds(context: Any) -> None:
    sink = context.server.sinks[0]
    sink.response_head(200, b"", 2)
    sink.response_data(b"ok")
    sink.response_ended()
    context.wire.settle()


@when("the server responds with {size:d} bytes, and the peer does not read")
def long_response(context: Any, size: int) -> None:
    sink = context.server.sinks[0]
    sink.response_head(200, b"", size)
    sink.response_data(b"x" * size)
    sink.response_ended()


@when("the caller sends a request on its connection")
def caller_sends(context: Any) -> None:
    context.channel.dataReceived(
        b"GET /work HTTP/1.1\r\nHost: x\r\nPearward-Service: roster\r\nPearward-Key: k\r\n\r\n"
    )


@when("the caller sends a request without the end of its body")
def caller_sends_part(context: Any) -> None:
    context.channel.dataReceived(
        b"POST /work HTTP/1.1\r\nHost: x\r\nPearward-Service: roster\r\nPearward-Key: k\r\n"
        b"Content-Length: 100\r\n\r\nhalf"
    )


@then("the server has received no request after the decision")
def server_got_none(context: Any) -> None:
    assert len(context.server.sinks) == context.runs_before, len(context.server.sinks)


@then("the server receives none of them even if what they waited for comes")
def server_gets_none(context: Any) -> None:
    context.ownership.verdict = Verdict.SERVE
    context.control.on_serving_changed.call_args.args[0]()
    for connecting in context.server.connecting:
        connecting.callback(_ServerConnection(context.server))
    assert not context.server.sinks


def _check(request: _Request, outcome: str, reason: str) -> None:
    assert (request.outcome, request.reason) == (outcome, reason), (request.outcome, request.reason)


@then('each request of the peer has ended "{outcome}" because of "{reason}"')
def each_ended(context: Any, outcome: str, reason: str) -> None:
    assert context.requests
    for request in context.requests:
        _check(request, outcome, reason)


@then('the first request of the peer has ended "{outcome}" because of "{reason}"')
def first_ended(context: Any, outcome: str, reason: str) -> None:
    _check(context.requests[0], outcome, reason)


@then('the first request of the peer has ended "served"')
def first_served(context: Any) -> None:
    assert context.requests[0].outcome is Outcome.SERVED, context.requests[0].outcome


@then('the last request of the peer has ended "{outcome}" because of "{reason}"')
def last_ended(context: Any, outcome: str, reason: str) -> None:
    _check(context.requests[-1], outcome, reason)


@then("the control plane has got no message")
def no_message(context: Any) -> None:
    assert not context.control.control_received.called


@then("a control message is sent on that connection, not to the next daemon at the address")
def control_sent(context: Any) -> None:
    context.wire.transports[0].clear()
    context.pool.send_control(ADDRESS, Pull(("cell/roster",)))
    assert context.wire.transports[0].value()


@then("the peer has closed the connection")
def peer_closed(context: Any) -> None:
    assert context.wire.closed_by == 0


@then("the daemon has ended")
def has_ended(context: Any) -> None:
    assert context.ended


@then("the daemon has not ended")
def has_not_ended(context: Any) -> None:
    assert not context.ended


@then("the daemon has not decided to end")
def has_not_decided(context: Any) -> None:
    assert not context.control.stop.called and not context.ended


@then("a connection to its peer port is closed without a greeting")
def no_greeting(context: Any) -> None:
    address = IPv4Address("TCP", "127.0.0.1", 1)
    assert _factory(context, PEER_PORT).buildProtocol(address) is None


@then("the peer port is held, the callers' port is not")
def port_held(context: Any) -> None:
    assert not context.reactor.ports[PEER_PORT].stopListening.called
    calls = [call[0] for call in context.reactor.ports[CALLER_PORT].method_calls]
    assert calls == ["stopReading", "doRead", "socket.close", "connectionLost"], calls


@then('the caller gets a {status:d} "{outcome}" with a retry delay, and its connection closes '
      "after it")  # fmt: skip
def caller_refused(context: Any, status: int, outcome: str) -> None:
    assert b"Retry-After: " in context.caller_transport.value()
    caller_got(context, status, outcome)


@then('the caller gets a {status:d} "{outcome}", and its connection closes after it')
def caller_got(context: Any, status: int, outcome: str) -> None:
    response = context.caller_transport.value()
    assert response.startswith(b"HTTP/1.1 %d " % status), response
    for line in (f"Pearward-Outcome: {outcome}", "Connection: close"):
        assert line.encode() in response, (line, response)
    assert context.caller_transport.disconnecting


@then("no end of a run was reported, as that would release its shard")
def none_released(context: Any) -> None:
    assert not context.control.run_finished.called


# -- one connection ----------------------------------------------------------------


@given("two requests were sent on it")
def two_sent(context: Any) -> None:
    handler = context.stream_handler = mock.Mock()
    context.streams = [
        context.connection.open_stream(_head(), handler, ended=True) for _ in range(2)
    ]
    list(context.other.receive(context.transport.value()))


@when("the other daemon sends the notice that it closes")
def notice(context: Any) -> None:
    context.other.send_closing()
    context.connection.dataReceived(b"".join(context.other.take_output()))


@then("the connection accepts no further request and is open")
def not_usable(context: Any) -> None:
    assert not context.connection.usable and not context.transport.disconnecting


@when("the other daemon responds to both requests")
def responds(context: Any) -> None:
    for stream in context.streams:
        assert not context.transport.disconnecting
        head = ResponseHead(200, Outcome.SERVED, body_length=0)
        context.other.respond(stream, head, ended=True)
        context.connection.dataReceived(b"".join(context.other.take_output()))


@then("the connection was closed after the second response")
def closed(context: Any) -> None:
    assert context.stream_handler.response_received.call_count == 2
    assert context.transport.disconnecting
