"""Steps of long answers that take turns on an instance's link."""

from typing import Any
from unittest import mock

from behave import given, then, when
from twisted.internet.task import Clock

from pearward_coordination.link_queue import LinkQueue, LinkTicket, LongRequest
from pearward_daemon.mesh import paced_stream
from pearward_daemon.mesh.paced_stream import LinkPacer, PacedStream
from pearward_protocol.heads import ResponseHead
from pearward_protocol.streams import ResetCode
from pearward_state.outcome import Outcome

STEP_S = 0.001
OBJECTIVE_S = 30.0
LONG, SHORT = 90_000, 300

# -- the queue ----------------------------------------------------------------------------------


def _waiting(context: Any, rate: float, sizes: list[int], late: int = 0) -> None:
    context.now = 0.0
    context.rate = rate
    context.link = LinkQueue(rate)
    context.tickets = []
    for number, size in enumerate(sizes):
        objective = -1.0 if number < late else OBJECTIVE_S
        ticket = context.link.join(objective, size, 0.0)
        ticket.unsent, ticket.ended = size, True
        context.tickets.append((size, ticket))
    context.over = []
    context.handed = []


@given("a link of {rate:g} Mbit/s on which {count:d} answers of {size:d} bytes wait")
def equal_answers(context: Any, rate: float, count: int, size: int) -> None:
    _waiting(context, rate, [size] * count)


@given("a link of {rate:g} Mbit/s on which answers of {sizes} bytes wait, the first of them late")
def late_answers(context: Any, rate: float, sizes: str) -> None:
    _waiting(context, rate, _numbers(sizes), late=1)


@given("a link of {rate:g} Mbit/s on which answers of {sizes} bytes wait")
def several_answers(context: Any, rate: float, sizes: str) -> None:
    _waiting(context, rate, _numbers(sizes))


def _numbers(text: str) -> list[int]:
    return [int(part) for part in text.replace(" and ", ", ").split(", ")]


def _turn(context: Any, ticket: LinkTicket) -> None:
    size = min(context.link.chunk, ticket.unsent)
    ticket.unsent -= size
    ticket.remaining -= size
    ticket.started = True
    context.link.note_sent(size, context.now)
    context.handed.append((context.now, size))
    if not ticket.unsent:
        context.link.leave(ticket)
        context.over.append(next(s for s, t in context.tickets if t is ticket))


@when("turns are given for {seconds:g} s")
def turns_for(context: Any, seconds: float) -> None:
    end = context.now + seconds
    while context.now < end:
        while (ticket := context.link.next(context.now)) is not None:
            _turn(context, ticket)
        context.now += STEP_S


@when("turns are given for {seconds:g} s while another answer of {size:d} bytes comes "
      "every {pause:g} s")  # fmt: skip
def turns_while_coming(context: Any, seconds: float, size: int, pause: float) -> None:
    for _ in range(round(seconds / pause)):
        ticket = context.link.join(context.now + OBJECTIVE_S, size, context.now)
        ticket.unsent, ticket.ended = size, True
        context.tickets.append((size, ticket))
        turns_for(context, pause)


@given("a link of {rate:g} Mbit/s on which {count:d} answers of {size:d} bytes wait, "
       "all of them late")  # fmt: skip
def all_late(context: Any, rate: float, count: int, size: int) -> None:
    _waiting(context, rate, [size] * count, late=count)
    context.late = [ticket for _, ticket in context.tickets]


@given("the last of them has begun and has {seconds:g} s left")
def last_begun(context: Any, seconds: float) -> None:
    last = context.late[-1]
    last.deadline = context.now + seconds
    _turn(context, last)


@given("the last of them has not begun and has {seconds:g} s left")
def last_not_begun(context: Any, seconds: float) -> None:
    context.late[-1].deadline = context.now + seconds


@then("the last of them has ended")
def last_ended(context: Any) -> None:
    assert not context.late[-1].unsent, context.late[-1]


@then("the last of them has not begun yet")
def last_waits(context: Any) -> None:
    assert not context.late[-1].started, context.late[-1]


@then("at least {share:g} of what was handed over was not of late answers")
def few_late(context: Any, share: float) -> None:
    total = sum(size for _, size in context.handed)
    late = sum(LONG - ticket.unsent for ticket in context.late)
    assert total - late >= share * total, (late, total)


@then("the one of {size:d} bytes has ended")
def one_has_ended(context: Any, size: int) -> None:
    assert size in context.over, context.over


@then("at least {share:g} of what was handed over was of answers in time")
def mostly_in_time(context: Any, share: float) -> None:
    total = sum(size for _, size in context.handed)
    assert total - context.tickets[0][0] >= share * total, (total, context.tickets[0][0])


@when("turns are given until all are handed over")
def turns_until_over(context: Any) -> None:
    while context.link.waiting:
        turns_for(context, STEP_S)


@when("the receiver of the first takes no more")
def first_blocked(context: Any) -> None:
    context.tickets[0][1].blocked = True


@then("no more than {seconds:g} s of the link was ever handed over ahead")
def little_ahead(context: Any, seconds: float) -> None:
    bytes_per_s = context.rate * 125_000
    total = 0
    for at, size in context.handed:
        total += size
        assert total <= (at + seconds) * bytes_per_s, (at, total)


@then("the link was busy all the time")
def link_busy(context: Any) -> None:
    total = sum(size for _, size in context.handed)
    assert total >= 0.9 * context.now * context.rate * 125_000, total


@then("they ended in the order {sizes}")
def ended_in_order(context: Any, sizes: str) -> None:
    assert context.over == _numbers(sizes), context.over


@then("only the one of {size:d} bytes has ended")
def only_one_ended(context: Any, size: int) -> None:
    assert context.over == [size], context.over


@then("all have ended")
def all_ended(context: Any) -> None:
    assert len(context.over) == len(context.tickets), context.over


# -- admission ------------------------------------------------------------------------------------


@given("a link of {rate:g} Mbit/s on which {count:d} answers of {size:d} bytes wait, "
       "{late:d} of them late")  # fmt: skip
def some_late(context: Any, rate: float, count: int, size: int, late: int) -> None:
    _waiting(context, rate, [size] * count, late)


@given("{count:d} more are still run by the target")
def still_run(context: Any, count: int) -> None:
    context.under_way = count


@when("a long request that runs {runs:g} s, with {objective:g} s to its objective and "
      "{left:g} s left, comes to the {which} target")  # fmt: skip
def long_request(context: Any, runs: float, objective: float, left: float, which: str) -> None:
    asked = LongRequest(runs, objective, left, which == "last")
    context.lateness_s = context.link.lateness_s(asked, context.under_way, context.now)


@then("the long request is {outcome}")
def begun_or_refused(context: Any, outcome: str) -> None:
    assert (context.lateness_s > 0.0) == (outcome == "refused"), context.lateness_s


# -- streams --------------------------------------------------------------------------------------


class _Connection:
    """Records what is sent on it, as PeerConnection is asked to."""

    def __init__(self, link: LinkQueue, clock: Clock) -> None:
        self.sent: list[tuple[str, int]] = []
        self._link = link
        self._clock = clock

    def respond(self, stream: int, head: ResponseHead, *, ended: bool, body: bytes = b"") -> None:
        self.sent.append(("whole" if ended else "head", len(body)))
        self._link.note_sent(len(body), self._clock.seconds())

    def send_data(self, stream: int, data: bytes, *, ended: bool = False) -> bool:
        self.sent.append(("end" if ended else "data", len(data)))
        self._link.note_sent(len(data), self._clock.seconds())
        return True

    def reset(self, stream: int, code: ResetCode) -> None:
        self.sent.append(("reset", 0))

    @property
    def data_bytes(self) -> int:
        """Bytes of the body that were sent."""
        return sum(size for _, size in self.sent)


class _Request:
    """The target's side of a stream; only told of resets here."""

    def __init__(self) -> None:
        self.resets: list[ResetCode] = []

    def reset_received(self, code: ResetCode) -> None:
        self.resets.append(code)


@given("a daemon whose link carries {rate:g} Mbit/s")
def slow_daemon(context: Any, rate: float) -> None:
    context.clock = Clock()
    patch = mock.patch.object(paced_stream, "boot_time", context.clock.seconds)
    patch.start()
    context.add_cleanup(patch.stop)
    context.link = LinkQueue(rate)
    context.pacer = LinkPacer(context.clock, context.link)


def _stream(context: Any) -> tuple[PacedStream, _Connection]:
    connection = _Connection(context.link, context.clock)
    request = _Request()
    stream = PacedStream(
        connection, 1, context.pacer, OBJECTIVE_S, lambda _: request, deadline=OBJECTIVE_S
    )  # type: ignore[arg-type]
    return stream, connection


@when("{long:d} bytes and then {short:d} bytes are answered to two peers")
def two_answers(context: Any, long: int, short: int) -> None:
    context.long, context.long_connection = _stream(context)
    context.short, context.short_connection = _stream(context)
    head = ResponseHead(200, Outcome.SERVED, body_length=long)
    context.long.respond(head, ended=False)
    context.goes_on = context.long.send_data(bytes(long), ended=True)
    head = ResponseHead(200, Outcome.SERVED, body_length=short)
    context.short.respond(head, ended=True, body=bytes(short))


@when("the requester of the long one gives up")
def long_given_up(context: Any) -> None:
    context.sent_before = context.long_connection.data_bytes
    context.long.reset_received(ResetCode.CANCELLED)


@when("the request of the long one is reset, as the rest of its body is not wanted")
def long_reset(context: Any) -> None:
    context.long.reset(ResetCode.CANCELLED)


@then("the short one is sent whole at once, and of the long one no more than a chunk")
def short_first(context: Any) -> None:
    assert context.short_connection.sent == [("whole", SHORT)]
    assert 0 < context.long_connection.data_bytes <= context.link.chunk


@then("{seconds:g} s later all of the long one is sent, and its head came first")
def long_sent(context: Any, seconds: float) -> None:
    _pass(context, seconds)
    kinds = [kind for kind, _ in context.long_connection.sent]
    assert kinds == ["head", *["data"] * (len(kinds) - 2), "end"], kinds
    assert context.long_connection.data_bytes == LONG
    assert context.pacer.waiting == 0


def _pass(context: Any, seconds: float) -> None:
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)


@then("the target may go on, and the daemon still counts one answer")
def counts_one(context: Any) -> None:
    assert context.goes_on
    assert context.pacer.waiting == 1


@then("nothing more of it is sent, and the daemon counts no answer")
def nothing_more(context: Any) -> None:
    _pass(context, 2.0)
    assert context.long_connection.data_bytes == context.sent_before
    assert context.pacer.waiting == 0


@then("{seconds:g} s later all of the long one is sent, and the reset after it")
def reset_last(context: Any, seconds: float) -> None:
    _pass(context, seconds)
    assert context.long_connection.data_bytes == LONG
    assert [kind for kind, _ in context.long_connection.sent[-2:]] == ["end", "reset"]
