"""Steps for the connections to a local target, over transports in memory."""

import math
import sys
from contextlib import ExitStack
from pathlib import Path
from typing import Any
from unittest import mock

from behave import given, then, when
from twisted.internet.address import IPv4Address
from twisted.internet.testing import StringTransport

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination.grants import GrantedRow, GrantTiming, HeldRow
from pearward_daemon.mesh.dialect import GrantReply, GrantVerdict, ReleaseReply
from pearward_daemon.mesh.target_request import TargetRequest
from pearward_platform.grants import PlatformGrants
from pearward_platform.headers import PlatformDialect
from pearward_protocol.heads import RequestHead, ResponseHead
from pearward_protocol.streams import ResetCode
from pearward_state.outcome import Outcome, RequestClass
from pearward_transport import server_connection
from pearward_transport.carried_requests import CarriedRequests
from pearward_transport.http_client import ServerClient
from tests.fuzz.mesh_targets import SERVICE
from tests.fuzz.mesh_world import begin_world

REQUEST_ID, OTHER_ID = "r1", "r2"
POSITION = 7
PART = 20_000
FORMS = {
    "503, not executed": (503, "Not-Executed: 1\r\n"),
    "429, not executed": (429, "Not-Executed: 1\r\n"),
    "421, not executed": (421, "Not-Executed: 1\r\n"),
    "421, other target": (421, "Instance-Id: i-other\r\n"),
    "503": (503, ""),
    "500": (500, ""),
    "200": (200, "Server-Signature: signed\r\n"),
}


class _Transport(StringTransport):
    """A transport whose socket accepts any option."""

    def __init__(self, port: int) -> None:
        super().__init__(hostAddress=IPv4Address("TCP", "127.0.0.1", port))
        self.socket = mock.Mock()

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing, as the socket is a mock."""

    def doWrite(self) -> None:
        """Do nothing, as everything is written at once."""


class _Network:
    """Connects at once, and keeps the transports by their ports."""

    def __init__(self) -> None:
        self.transports: list[_Transport] = []

    def callLater(self, delay_s: float, call: Any, *args: Any) -> Any:
        """Return a timer that never fires."""
        return mock.Mock()

    def connectTCP(self, host: str, port: int, factory: Any, timeout_s: float) -> None:
        transport = _Transport(len(self.transports) + 1)
        self.transports.append(transport)
        transport.protocol = factory.buildProtocol(None)
        transport.protocol.makeConnection(transport)


class _Reply:
    """Records the response to one send."""

    is_remote = False

    def __init__(self) -> None:
        self.head: ResponseHead | None = None
        self.data_bytes = 0
        self.ended = False
        self.resets: list[ResetCode] = []

    def respond(self, head: ResponseHead, *, ended: bool, body: bytes = b"") -> None:
        self.head = head

    def send_data(self, data: bytes, *, ended: bool = False) -> bool:
        self.data_bytes += len(data)
        self.ended = ended
        return True

    def reset(self, code: ResetCode) -> None:
        self.resets.append(code)

    def consumed(self, count: int) -> None:
        """Do nothing, as no request has a body."""


def _head(request_id: str, target: str) -> RequestHead:
    return RequestHead(
        service=SERVICE, key=b"%d" % POSITION, request_id=request_id.encode(), method=b"POST",
        path=b"/", headers=b"", deadline_ms=8000, request_class=RequestClass.INTERACTIVE,
        tenant="-", repeatable=False, prior_age_ms=0, version=0, task_id="t", position=POSITION,
        body_length=0, target=target,
    )  # fmt: skip


def _response(request_id: str, form: str) -> bytes:
    status, headers = FORMS[form]
    lines = f"HTTP/1.1 {status} Status\r\nRequest-Id: {request_id}\r\n{headers}"
    return f"{lines}Content-Length: 0\r\n\r\n".encode()


def _send(context: Any, request_id: str) -> tuple[TargetRequest, _Reply]:
    """Send a request to the target; return it with its reply."""
    local_target = context.local_target
    reply = _Reply()
    request = local_target.take(_head(request_id, local_target.info.target), True, b"", reply)
    request.begin()
    assert reply.head is None, reply.head
    return request, reply


def _transport_of(context: Any, request: TargetRequest) -> _Transport:
    """Return the transport on which a request was sent and has no response yet."""
    return next(t for t in context.network.transports if t.protocol is request._connection)


def _respond(transport: _Transport, data: bytes) -> None:
    """Deliver a response of the target, unless the daemon has closed the connection."""
    if not transport.disconnecting and not transport.disconnected:
        transport.protocol.dataReceived(data)


@given("a daemon that has sent a request to its target")
def send_first(context: Any) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    world = context.world = begin_world(stack, 1, GrantTiming())
    world.run(8.0)
    local_target = context.local_target = world.nodes[0].daemon.core.local_target
    context.network = _Network()
    context.log = mock.Mock()
    local_target._dialect = PlatformDialect()
    local_target._client = ServerClient(context.network, "10.0.0.1:1")
    local_target._log = context.log
    context.request, context.reply = _send(context, REQUEST_ID)
    context.first = _transport_of(context, context.request)


@given('a daemon that has sent a request to its target and got the response "{form}"')
def first_response(context: Any, form: str) -> None:
    send_first(context)
    context.copy = _response(REQUEST_ID, form)
    _respond(context.first, context.copy)
    assert context.reply.head is not None and context.request.done


@when("the target responds with {status:d}, that it was not executed, and without an id")
def respond_without_id(context: Any, status: int) -> None:
    lines = f"HTTP/1.1 {status} Status\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    _respond(context.first, lines.encode())


@when('the target sends a response with the line "{line}"')
def respond_with_line(context: Any, line: str) -> None:
    """Send an otherwise valid response with another status line, or with one more header."""
    data = line.replace("\\t", "\t").replace("\\r", "\r").replace("\\0", "\0").encode()
    status_line, header = b"HTTP/1.1 200 Fine\r\n", b""
    if line.lower().startswith("http/"):
        status_line = data + b"\r\n"
    else:
        header = data + b"\r\n"
    rest = f"Request-Id: {REQUEST_ID}\r\nServer-Signature: signed\r\nContent-Length: 0\r\n\r\n"
    _respond(context.first, status_line + header + rest.encode())


HEAD = f"HTTP/1.1 200 Fine\r\nRequest-Id: {REQUEST_ID}\r\nServer-Signature: signed\r\n"
ENDLESS = {
    "folded lines": (f"{HEAD}Folded: a\r\n", " more\r\n"),
    "Connection headers": (HEAD, "Connection: keep-alive\r\n"),
    "Trailer headers": (HEAD, "Trailer: a\r\n"),
    "Keep-Alive headers": (HEAD, "Keep-Alive: timeout=5\r\n"),
    "headers": (HEAD, "X-More: a\r\n"),
    "interim responses": ("", "HTTP/1.1 103 Early\r\n\r\n"),
    "surplus responses": ("", _response(OTHER_ID, "200").decode()),
    "one line": (f"{HEAD}X-More: ", "a" * 100),
    "empty lines": (f"{HEAD}Folded: a\r\n", " \r\n"),
}
"""Heads without end: how they begin, and what follows repeatedly."""
MOST_BYTES = 10_000_000


@when("the target sends a head of {form} without end")
def endless_head(context: Any, form: str) -> None:
    begin, repeated = ENDLESS[form]
    _respond(context.first, begin.encode())
    context.received = 0
    while not context.first.disconnected and context.received < MOST_BYTES:
        _respond(context.first, repeated.encode())
        context.received += len(repeated)


@then("the daemon closes the connection before it has received {most:d} bytes")
def closed_early(context: Any, most: int) -> None:
    assert context.received < most, context.received


@when("the target sends a body without end, {framing}")
def endless_body(context: Any, framing: str) -> None:
    chunked = framing == "in chunks"
    _respond(context.first, f"{HEAD}Transfer-Encoding: chunked\r\n\r\n".encode() if chunked
             else f"{HEAD}\r\n".encode())  # fmt: skip
    data = b"x" * PART
    part = b"%x\r\n%b\r\n" % (PART, data) if chunked else data
    context.began = context.world.now
    while not context.first.disconnected and context.world.now < context.began + 60.0:
        _respond(context.first, part)
        context.world.run(0.1)


@then("the response is broken off {seconds:g} s after the request, and the connection is closed")
def broken_off(context: Any, seconds: float) -> None:
    elapsed = context.world.now - context.began
    assert seconds - 0.2 <= elapsed <= seconds + 0.2, elapsed
    assert context.reply.data_bytes and not context.reply.ended
    assert context.reply.resets == [ResetCode.BROKEN], context.reply.resets


@when("the target sends a body of {size:d} bytes, {per_s:d} every second")
def slow_body(context: Any, size: int, per_s: int) -> None:
    _respond(context.first, f"{HEAD}Content-Length: {size}\r\n\r\n".encode())
    for sent in range(0, size, per_s):
        _respond(context.first, b"x" * min(per_s, size - sent))
        context.world.run(1.0)
    context.size = size


@then("the response is complete")
def complete(context: Any) -> None:
    assert context.reply.ended and not context.reply.resets, context.reply.resets
    assert context.reply.data_bytes == context.size


@then("the request gets a response with status {status:d}")
def gets_status(context: Any, status: int) -> None:
    head = context.reply.head
    assert head is not None and head.outcome is Outcome.SERVED, head
    assert head.status == status, head


@then("it is unknown whether the request has run, and the connection is closed")
def unknown_and_closed(context: Any) -> None:
    head = context.reply.head
    assert head is not None and head.outcome is Outcome.UNKNOWN, head
    assert context.first.disconnected, "the connection is open"


@when("it sends the request again, and the second copy of that response arrives")
def send_again(context: Any) -> None:
    context.request, context.reply = _send(context, REQUEST_ID)
    context.second = _transport_of(context, context.request)
    _respond(context.first, context.copy)


@then("the second send has no response yet")
def no_response_yet(context: Any) -> None:
    assert context.reply.head is None, context.reply.head


@when("the target responds to the second send with 200")
def respond_to_second(context: Any) -> None:
    _respond(context.second, _response(REQUEST_ID, "200"))


@then("the second send gets that response")
def second_gets_response(context: Any) -> None:
    head = context.reply.head
    assert head is not None and (head.status, head.outcome) == (200, Outcome.SERVED), head


@when("it sends the request {count:d} times more, each after the refusal of the one before")
def send_more(context: Any, count: int) -> None:
    context.used = [context.first]
    for _ in range(count):
        request, _ = _send(context, REQUEST_ID)
        context.used.append(_transport_of(context, request))
        _respond(context.used[-1], context.copy)


@then("its {sends:d} sends were made on {connections:d} connections")
def own_connections(context: Any, sends: int, connections: int) -> None:
    assert len(context.used) == sends
    assert len(set(context.used)) == connections, [t.getHost().port for t in context.used]


@then("other requests are sent on the same connections")
def others_share(context: Any) -> None:
    requests = [_send(context, f"other-{n}")[0] for n in range(len(context.used))]
    transports = {_transport_of(context, request) for request in requests}
    assert transports == set(context.used), transports


@when("it sends another request, and the second copy of that response arrives")
def send_other(context: Any) -> None:
    context.request, context.reply = _send(context, OTHER_ID)
    assert _transport_of(context, context.request) is context.first
    _respond(context.first, context.copy)
    no_response_yet(context)


@when("the target responds to the other request with 200")
def respond_to_other(context: Any) -> None:
    _respond(context.first, _response(OTHER_ID, "200"))


@then("the other request gets that response")
def other_gets_response(context: Any) -> None:
    second_gets_response(context)


@then("the log names the id of the skipped response and the connection")
def skipped_logged(context: Any) -> None:
    lines = [
        call.kwargs
        for call in context.log.emit.call_args_list
        if call.args == ("surplus_response_skipped",)
    ]
    named = [(line["id"], line["response_id"], line["connection"]) for line in lines]
    assert named == [(OTHER_ID, REQUEST_ID, context.first.getHost().port)], named


@given(
    "a connection that has carried {count:d} requests, one every {interval:g} s, "
    "with deadlines of {deadline:g} s"
)
def carried(context: Any, count: int, interval: float, deadline: float) -> None:
    context.carried = CarriedRequests()
    for number in range(count):
        now = number * interval
        context.carried.add(b"%d" % number, now + deadline, now)


@then("it keeps between {least:d} and {most:d} ids")
def kept(context: Any, least: int, most: int) -> None:
    assert least <= len(context.carried) <= most, len(context.carried)


# -- grants and releases by calls ---------------------------------------------------------------


def _call_response(call: str, status: int) -> bytes:
    token = f"Handover: t{status}\r\n" if call == "release" else ""
    return f"HTTP/1.1 {status} Status\r\n{token}Content-Length: 0\r\n\r\n".encode()


def _call(context: Any, call: str) -> tuple[_Transport, list[Any]]:
    """Make a call; return the transport that carries it, and a list that gets the reply."""
    for transport in context.network.transports:
        transport.clear()
    if call == "grant":
        made = context.grants.grant("i-1", GrantedRow(0, 9, 4, ""), 2.0, math.inf)
    else:
        made = context.grants.release("i-1", HeldRow(0, 9, 4))
    replies: list[Any] = []
    made.addCallback(replies.append)
    return next(t for t in context.network.transports if t.value()), replies


@given("a target that has responded to a {call} call with {status:d}")
def responded_to_call(context: Any, call: str, status: int) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    stack.enter_context(mock.patch.object(server_connection, "still_open", lambda socket: True))
    context.network = _Network()
    context.grants = PlatformGrants(ServerClient(context.network, "10.0.0.1:1"))
    context.grants.attach()
    context.first, replies = _call(context, call)
    context.copy = _call_response(call, status)
    _respond(context.first, context.copy)
    assert replies


@given("a target to which a {call} call was made")
def call_made(context: Any, call: str) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    stack.enter_context(mock.patch.object(server_connection, "still_open", lambda socket: True))
    context.network = _Network()
    stack.enter_context(
        mock.patch("pearward_platform.grants.ServerClient", _client_of(context.network))
    )
    context.grants = PlatformGrants.from_config(None, "10.0.0.1:1")
    context.grants.attach()
    context.first, context.replies = _call(context, call)


def _client_of(network: _Network) -> Any:
    """Return a constructor of clients that connect in a network."""
    return lambda reactor, *arguments, **options: ServerClient(network, *arguments, **options)


@when("the target sends a body without end to it")
def endless_call_body(context: Any) -> None:
    _respond(context.first, b"HTTP/1.1 200 Fine\r\n\r\n")
    context.received = 0
    while not context.first.disconnected and context.received < MOST_BYTES:
        _respond(context.first, b"x" * PART)
        context.received += PART


@then("the call has failed")
def call_failed(context: Any) -> None:
    assert len(context.replies) == 1, context.replies
    reply = context.replies[0]
    if isinstance(reply, ReleaseReply):
        assert not reply.released, reply
    else:
        assert reply.verdict is GrantVerdict.UNANSWERED, reply


@when("a {call} call is made, and the second copy of that response arrives")
def next_call(context: Any, call: str) -> None:
    context.second, context.replies = _call(context, call)
    _respond(context.first, context.copy)


@then("the {call} call does not count as {outcome}")
def not_counted(context: Any, call: str, outcome: str) -> None:
    assert not any(_counts_as(reply, outcome) for reply in context.replies), context.replies


@then("the call ends as {outcome} once the target responds with {status:d}")
def counted(context: Any, outcome: str, status: int) -> None:
    call = "release" if outcome == "released" else "grant"
    if context.replies:
        # The copy ended the call without an outcome, so the call is made again.
        context.second, context.replies = _call(context, call)
    _respond(context.second, _call_response(call, status))
    assert _counts_as(context.replies[-1], outcome), context.replies


def _counts_as(reply: GrantReply | ReleaseReply, outcome: str) -> bool:
    if isinstance(reply, ReleaseReply):
        return outcome == "released" and reply.released
    return outcome == "refused" and reply.verdict is GrantVerdict.NEWER_SEEN
