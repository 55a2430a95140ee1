"""Steps that test requests with a transit delay between two daemons."""

from typing import Any
from unittest import mock

from behave import given, then, when
from twisted.internet.task import Clock

from pearward_coordination.messages import PeerId
from pearward_protocol.heads import Hello, RequestClass, RequestHead
from pearward_protocol.streams import Multiplexer
from pearward_transport import peer_connection
from pearward_transport.peer_connection import LivenessMonitor, PeerConnection

WINDOW = 65_536
START_S = 100_000.0
HOUR_S = 3600.0


def _ms(seconds: float) -> int:
    return int(seconds * 1000)


@given("a connection between two daemons whose clocks are {seconds:g} s apart")
def connection(context: Any, seconds: float) -> None:
    context.now, context.clock_difference_s, context.accepted_heads = START_S, seconds, []
    patch = mock.patch.object(peer_connection, "boot_time", lambda: context.now)
    patch.start()
    context.add_cleanup(patch.stop)
    handler = mock.Mock()

    def received(at: Any, stream: int, head: RequestHead, ended: bool, body: bytes) -> Any:
        context.accepted_heads.append(head)
        return mock.Mock()

    handler.request_received = received
    context.peer = Multiplexer(opener=True, window=WINDOW)
    context.connection = PeerConnection(
        PeerId("here", "127.0.0.1:1"), handler, Clock(), LivenessMonitor(Clock()),
        opener=False, window=WINDOW,
    )  # fmt: skip
    context.connection.makeConnection(mock.Mock())
    context.peer.send_hello(Hello("there", "127.0.0.1:2", _ms(_sender_time(context))))
    _arrive(context)


def _sender_time(context: Any) -> float:
    return float(context.now - context.clock_difference_s)


def _arrive(context: Any) -> None:
    context.connection.dataReceived(b"".join(context.peer.take_output()))


def _send(context: Any, left_ms: int, sent_ms: int) -> None:
    context.peer.open_stream(
        RequestHead(
            service="roster", key=b"", request_id=b"r", method=b"GET", path=b"/", headers=b"",
            deadline_ms=left_ms, request_class=RequestClass.INTERACTIVE, tenant="",
            repeatable=True, prior_age_ms=0, version=1, task_id="", position=0, body_length=0,
            target="t", sent_ms=sent_ms,
        ),
        ended=True,
    )  # fmt: skip


@when("a request with {left:d} ms left arrives at once")
def at_once(context: Any, left: int) -> None:
    _send(context, left, _ms(_sender_time(context)))
    context.now += 0.001
    _arrive(context)


@when("the daemon stalls for {stall:g} s and a request with {left:d} ms left has waited "
      "for {waited:g} s")  # fmt: skip
def stalled(context: Any, stall: float, left: int, waited: float) -> None:
    context.now += stall - waited
    _send(context, left, _ms(_sender_time(context)))
    context.now += waited
    _arrive(context)


@when("a request with {left:d} ms left arrives every {pause:g} s for an hour, and the "
      "sender's clock is 4% slower")  # fmt: skip
def slower_clock(context: Any, left: int, pause: float) -> None:
    for _ in range(round(HOUR_S / pause)):
        context.now += pause
        context.clock_difference_s += 0.04 * pause
        at_once(context, left)


@when("a request arrives whose sender's clock was set back by {seconds:g} s")
def clock_set_back(context: Any, seconds: float) -> None:
    context.clock_difference_s += seconds
    at_once(context, 400)


@when("a request with {left:d} ms left arrives without the time at which it was sent")
def no_send_time(context: Any, left: int) -> None:
    _send(context, left, 0)
    _arrive(context)


@then("it is accepted with {left:d} ms left")
def accepted_with(context: Any, left: int) -> None:
    assert context.accepted_heads[-1].deadline_ms == left, context.accepted_heads[-1].deadline_ms


@then("it is accepted with between {least:d} and {most:d} ms left")
def accepted_between(context: Any, least: int, most: int) -> None:
    assert least <= context.accepted_heads[-1].deadline_ms <= most, context.accepted_heads[
        -1
    ].deadline_ms


@then("each is accepted with {left:d} ms left")
def all_accepted_with(context: Any, left: int) -> None:
    assert {head.deadline_ms for head in context.accepted_heads} == {left}
