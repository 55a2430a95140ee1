"""Steps that test the counts of bytes sent to other daemons, on real connections in memory."""

from typing import Any

from behave import given, then, when
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from pearward_coordination.directory import Directory
from pearward_coordination.messages import AskKeys, PeerId
from pearward_daemon.mesh.metrics import LazyMetrics
from pearward_daemon.mesh.traffic_report import MemberDomains, TrafficReport
from pearward_protocol.frames import HEADER_SIZE
from pearward_protocol.heads import Hello, RequestHead, ResponseHead
from pearward_protocol.streams import Multiplexer, ResetCode
from pearward_state.members import Member, TargetState
from pearward_state.outcome import Outcome, RequestClass
from pearward_transport.peer_connection import LivenessMonitor, PeerConnection
from pearward_transport.traffic_ledger import TrafficLedger

OWN_DOMAIN = "hall-1"
PEER = "127.0.0.1:2"
HEAD = RequestHead(
    "books", b"k", b"r1", b"POST", b"/books/k", b"host: a\r\n", 900,
    RequestClass.INTERACTIVE, "", True, 0, 1, "t1", 7, -1,
)  # fmt: skip


class _Transport(StringTransport):  # type: ignore[misc]
    """Keeps the data that is written."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Does nothing, as there is no socket."""

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Does nothing, as there is no socket."""


class _Inbound:
    """Accepts a request without handling it."""

    def begin(self) -> None:
        """Does nothing."""


class _Handler:
    """Accepts requests and ignores everything else."""

    def request_received(self, *request: Any) -> _Inbound:
        return _Inbound()

    def peer_identified(self, peer: PeerId, expected: frozenset[str]) -> None:
        """Does nothing."""


class _Log:
    """Keeps the lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def emit(self, event_name: str, **fields: Any) -> None:
        self.lines.append((event_name, fields))


def _connect(context: Any, *, opener: bool) -> None:
    context.clock = Clock()
    context.transport = _Transport()
    context.directory = Directory(OWN_DOMAIN)
    context.ledger = TrafficLedger(OWN_DOMAIN, MemberDomains(context.directory).domain_of)
    context.log = _Log()
    context.report = TrafficReport(context.clock, context.ledger, context.log)
    context.report.start()
    me = PeerId("me", "127.0.0.1:1")
    handler: Any = _Handler()
    context.connection = PeerConnection(
        me, handler, context.clock, LivenessMonitor(context.clock), opener=opener,
        window=4096, ledger=context.ledger,
    )  # fmt: skip
    context.connection.makeConnection(context.transport)
    context.other = Multiplexer(opener=not opener, window=4096)
    context.other.send_hello(Hello("other", PEER))
    context.connection.dataReceived(b"".join(context.other.take_output()))


@when('the daemon\'s entry names the failure domain "{domain}"')
def entry(context: Any, domain: str) -> None:
    context.directory.entry_written(
        Member("i2", domain, PEER, "other", "books", "t2", 3, TargetState.READY)
    )


@given('a counted connection to a daemon in the failure domain "{domain}"')
def to_daemon(context: Any, domain: str) -> None:
    _connect(context, opener=True)
    entry(context, domain)


@given("a counted connection to a daemon whose failure domain is not known")
def to_unknown(context: Any) -> None:
    _connect(context, opener=True)


@given('a counted connection from a daemon in the failure domain "{domain}"')
def from_daemon(context: Any, domain: str) -> None:
    _connect(context, opener=False)
    entry(context, domain)


@when("it sends a request with a body of {size:d} bytes")
def send_request(context: Any, size: int) -> None:
    context.connection.open_stream(HEAD, _Inbound(), ended=True, body=b"x" * size)


@when("it sends a request with {size:d} bytes of data that follow")
def send_request_and_data(context: Any, size: int) -> None:
    context.stream = context.connection.open_stream(HEAD, _Inbound(), ended=False)
    context.connection.send_data(context.stream, b"x" * size)


@when("it responds with a body of {size:d} bytes")
def respond(context: Any, size: int) -> None:
    stream = context.other.open_stream(HEAD, ended=True)
    context.connection.dataReceived(b"".join(context.other.take_output()))
    head = ResponseHead(200, Outcome.SERVED, headers=b"a: b\r\n", body_length=size)
    context.connection.respond(stream, head, ended=True, body=b"x" * size)


@when("it sends the control message askKeys")
def send_control(context: Any) -> None:
    context.connection.send_control(AskKeys("books", "t2", 4, 0, 9, 8))


@when("it resets the last stream")
def reset(context: Any) -> None:
    context.connection.reset(context.stream, ResetCode.CANCELLED)


@when("it receives a request and resets it with {code}")
def reset_received(context: Any, code: str) -> None:
    stream = context.other.open_stream(HEAD, ended=True)
    context.connection.dataReceived(b"".join(context.other.take_output()))
    context.connection.reset(stream, ResetCode[code])


@when("the counts are read")
def read_counts(context: Any) -> None:
    context.ledger.bytes_sent()


@when("the time of {seconds:d} s passes")
def pass_time(context: Any, seconds: int) -> None:
    context.clock.advance(seconds)


def _bytes(context: Any, kind: str, distance: str) -> int:
    found: dict[tuple[str, str], int] = context.ledger.bytes_sent()
    return found.get((kind, distance), 0)


@then(
    "{first:d} bytes of the first body and {second:d} of the second's frame count as "
    "request_body to {distance}"
)
def request_bodies(context: Any, first: int, second: int, distance: str) -> None:
    assert second == HEADER_SIZE + 300
    assert _bytes(context, "request_body", distance) == first + second


@then("the bytes of {kind} to {distance} are {size:d}")
def bytes_of_kind(context: Any, kind: str, distance: str, size: int) -> None:
    assert _bytes(context, kind, distance) == size, context.ledger.bytes_sent()


@then("the frames {counts} are counted")
def frames_counted(context: Any, counts: str) -> None:
    pairs = (pair.split() for pair in counts.replace(" and ", ", ").split(", "))
    assert context.ledger.frames == {kind: int(count) for kind, count in pairs}


@then("the bytes of all kinds add up to what was written")
def all_counted(context: Any) -> None:
    assert sum(context.ledger.bytes_sent().values()) == len(context.transport.value())


@then("control.askKeys has as many bytes to unknown as to same")
def equal_bytes(context: Any) -> None:
    unknown = _bytes(context, "control.askKeys", "unknown")
    assert 0 < unknown == _bytes(context, "control.askKeys", "same")


@then("the peer_traffic lines have {first:d} and then {second:d} frames of {kind} to other")
def lines(context: Any, first: int, second: int, kind: str) -> None:
    assert [name for name, _ in context.log.lines] == ["peer_traffic"] * 2
    fields = [line for _, line in context.log.lines]
    assert [line["frames"][kind] for line in fields] == [first, second], fields
    assert fields[1]["other"][kind] == 2 * fields[0]["other"][kind]
    assert fields[1]["same"] == {} and fields[1]["unknown"] == {}


@then("the metrics have pearward_peer_bytes_total of {kind} to {distance}")
def metric(context: Any, kind: str, distance: str) -> None:
    metrics = LazyMetrics("i1")
    metrics.counter("pearward.peer.bytes", "Bytes", context.report.observations)
    lines = metrics.exposition().decode().splitlines()
    found = [
        line for line in lines
        if line.startswith("pearward_peer_bytes_total{")
        and f'kind="{kind}"' in line and f'distance="{distance}"' in line
    ]  # fmt: skip
    assert found and float(found[0].split()[-1]) == _bytes(context, kind, distance), lines
