"""Steps for long responses that share an instance's link in chunk slots."""

from random import Random
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
SHORT_OBJECTIVE_S = 0.6
BYTES_PER_MBIT = 125_000
SEED = 1

# -- the queue ----------------------------------------------------------------------------------


def _fill_queue(context: Any, rate: float, sizes: list[int], late: int = 0) -> None:
    context.now = 0.0
    context.rate = rate
    context.link = LinkQueue(rate)
    context.tickets = []
    for number, size in enumerate(sizes):
        objective = -1.0 if number < late else OBJECTIVE_S
        ticket = context.link.join(objective, size, 0.0)
        ticket.unsent, ticket.ended = size, True
        context.tickets.append((size, ticket))
    context.completed = []
    context.sent_chunks = []


@given("a link of {rate:g} Mbit/s on which {count:d} responses of {size:d} bytes wait")
def equal_responses(context: Any, rate: float, count: int, size: int) -> None:
    _fill_queue(context, rate, [size] * count)


@given("a link of {rate:g} Mbit/s on which responses of {sizes} bytes wait, the first of them late")
def late_responses(context: Any, rate: float, sizes: str) -> None:
    _fill_queue(context, rate, _numbers(sizes), late=1)


@given("a link of {rate:g} Mbit/s on which responses of {sizes} bytes wait")
def several_responses(context: Any, rate: float, sizes: str) -> None:
    _fill_queue(context, rate, _numbers(sizes))


def _numbers(text: str) -> list[int]:
    return [int(part) for part in text.replace(" and ", ", ").split(", ")]


def _use_chunk_slot(context: Any, ticket: LinkTicket) -> None:
    size = min(context.link.chunk, ticket.unsent)
    ticket.unsent -= size
    ticket.remaining -= size
    ticket.started = True
    context.link.note_sent(size, context.now)
    context.sent_chunks.append((context.now, size))
    if not ticket.unsent:
        context.link.leave(ticket)
        context.completed.append(next(s for s, t in context.tickets if t is ticket))


@when("chunk slots are granted for {seconds:g} s")
def grant_slots_for(context: Any, seconds: float) -> None:
    end = context.now + seconds
    while context.now < end:
        while (ticket := context.link.next(context.now)) is not None:
            _use_chunk_slot(context, ticket)
        context.now += STEP_S


@when(
    "chunk slots are granted for {seconds:g} s while another response of {size:d} bytes "
    "arrives every {interval:g} s"
)
def grant_slots_while_arriving(context: Any, seconds: float, size: int, interval: float) -> None:
    for _ in range(round(seconds / interval)):
        ticket = context.link.join(context.now + OBJECTIVE_S, size, context.now)
        ticket.unsent, ticket.ended = size, True
        context.tickets.append((size, ticket))
        grant_slots_for(context, interval)


@when(
    "responses of {least:d} to {most:d} bytes arrive for {seconds:g} s, {load:g} times as much as "
    "the link carries, and have {first:g} to {last:g} s to their deadlines"
)
def overload(
    context: Any, least: int, most: int, seconds: float, load: float, first: float, last: float
) -> None:
    """Grant slots, and let requesters cancel at the deadline what was not started."""
    rng = Random(SEED)
    mean_s = (least + most) / 2 / (context.rate * BYTES_PER_MBIT * load)
    context.cancelled: list[LinkTicket] = []
    arrives_at = end = context.now
    end += seconds
    while context.now < end:
        while arrives_at <= context.now:
            arrives_at += rng.expovariate(1.0 / mean_s)
            size = rng.randint(least, most)
            objective = context.now + SHORT_OBJECTIVE_S
            deadline = context.now + rng.uniform(first, last)
            ticket = context.link.join(objective, size, context.now, deadline=deadline)
            ticket.unsent, ticket.ended = size, True
            context.tickets.append((size, ticket))
        grant_slots_for(context, STEP_S)
        for _, ticket in context.tickets:
            if ticket.unsent and ticket.deadline <= context.now:
                context.link.leave(ticket)
                context.cancelled.append(ticket)
        context.tickets = [(s, t) for s, t in context.tickets if t not in context.cancelled]


@then("none of those whose deadlines passed had started")
def none_broken_off(context: Any) -> None:
    assert context.cancelled
    started = [ticket for ticket in context.cancelled if ticket.started]
    assert not started, (len(started), len(context.cancelled))


@then("at least {share:g} of the link was used for complete responses")
def used_for_complete(context: Any, share: float) -> None:
    complete = sum(context.completed)
    assert complete >= share * context.now * context.rate * BYTES_PER_MBIT, complete


@given(
    "a link of {rate:g} Mbit/s on which {count:d} responses of {size:d} bytes wait, "
    "all of them late"
)
def all_late(context: Any, rate: float, count: int, size: int) -> None:
    _fill_queue(context, rate, [size] * count, late=count)
    context.late = [ticket for _, ticket in context.tickets]


@given("the last of them has started and has {seconds:g} s to its deadline")
def last_started(context: Any, seconds: float) -> None:
    last = context.late[-1]
    last.deadline = context.now + seconds
    _use_chunk_slot(context, last)


@given("the last of them has not started and has {seconds:g} s to its deadline")
def last_not_started(context: Any, seconds: float) -> None:
    context.late[-1].deadline = context.now + seconds


@then("the last of them is completely sent")
def last_completed(context: Any) -> None:
    assert not context.late[-1].unsent, context.late[-1]


@then("the last of them has not started yet")
def last_waits(context: Any) -> None:
    assert not context.late[-1].started, context.late[-1]


@then("at least {share:g} of the bytes sent were not of late responses")
def few_late(context: Any, share: float) -> None:
    total = sum(size for _, size in context.sent_chunks)
    late_bytes = sum(LONG - ticket.unsent for ticket in context.late)
    assert total - late_bytes >= share * total, (late_bytes, total)


@then("the one of {size:d} bytes is completely sent")
def one_completed(context: Any, size: int) -> None:
    assert size in context.completed, context.completed


@then("at least {share:g} of the bytes sent were of responses in time")
def mostly_in_time(context: Any, share: float) -> None:
    total = sum(size for _, size in context.sent_chunks)
    assert total - context.tickets[0][0] >= share * total, (total, context.tickets[0][0])


@when("chunk slots are granted until all are sent")
def grant_slots_until_sent(context: Any) -> None:
    while context.link.waiting:
        grant_slots_for(context, STEP_S)


@when("the receiver of the first accepts no more data")
def first_blocked(context: Any) -> None:
    context.tickets[0][1].blocked = True


@then("the bytes sent were never more than {seconds:g} s ahead of the link")
def not_ahead_of_link(context: Any, seconds: float) -> None:
    bytes_per_s = context.rate * 125_000
    total = 0
    for at, size in context.sent_chunks:
        total += size
        assert total <= (at + seconds) * bytes_per_s, (at, total)


@then("the link was busy all the time")
def link_busy(context: Any) -> None:
    total = sum(size for _, size in context.sent_chunks)
    assert total >= 0.9 * context.now * context.rate * 125_000, total


@then("they were completed in the order {sizes}")
def completed_in_order(context: Any, sizes: str) -> None:
    assert context.completed == _numbers(sizes), context.completed


@then("only the one of {size:d} bytes is completely sent")
def only_one_completed(context: Any, size: int) -> None:
    assert context.completed == [size], context.completed


@then("all are completely sent")
def all_completed(context: Any) -> None:
    assert len(context.completed) == len(context.tickets), context.completed


# -- admission ------------------------------------------------------------------------------------


@given(
    "a link of {rate:g} Mbit/s on which {count:d} responses of {size:d} bytes wait, "
    "{late:d} of them late"
)
def some_late(context: Any, rate: float, count: int, size: int, late: int) -> None:
    _fill_queue(context, rate, [size] * count, late)


@given("{count:d} more are still being run by the target")
def still_run(context: Any, count: int) -> None:
    context.under_way = count


@when(
    "a long request that runs {runs:g} s, with {objective:g} s to its objective and "
    "{left:g} s to its deadline, arrives at the {which} target"
)
def long_request(context: Any, runs: float, objective: float, left: float, which: str) -> None:
    candidate = LongRequest(runs, objective, left, which == "last")
    context.lateness_s = context.link.lateness_s(candidate, context.under_way, context.now)


@then("the long request is {outcome}")
def begun_or_refused(context: Any, outcome: str) -> None:
    assert (context.lateness_s > 0.0) == (outcome == "refused"), context.lateness_s


# -- streams --------------------------------------------------------------------------------------


class _Connection:
    """Stand-in for PeerConnection that records what is sent on it."""

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
        """Number of bytes of the body that were sent."""
        return sum(size for _, size in self.sent)


class _Request:
    """Stand-in for the target's side of a stream, which gets only resets here."""

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
    deadline = getattr(context, "deadline", OBJECTIVE_S)
    stream = PacedStream(
        connection, 1, context.pacer, OBJECTIVE_S, lambda _: request, deadline=deadline
    )  # type: ignore[arg-type]
    return stream, connection


@when("responses of {long:d} bytes and then {short:d} bytes are sent to two peers")
def two_responses(context: Any, long: int, short: int) -> None:
    context.long_size = long
    context.long, context.long_connection = _stream(context)
    context.short, context.short_connection = _stream(context)
    head = ResponseHead(200, Outcome.SERVED, body_length=long)
    context.long.respond(head, ended=False)
    context.accepts_more = context.long.send_data(bytes(long), ended=True)
    head = ResponseHead(200, Outcome.SERVED, body_length=short)
    context.short.respond(head, ended=True, body=bytes(short))


@given("requests that have {seconds:g} s to their deadlines")
def with_deadline(context: Any, seconds: float) -> None:
    context.deadline = seconds


@when("the requester of the long one cancels its request")
def long_cancelled(context: Any) -> None:
    context.sent_before = context.long_connection.data_bytes
    context.long.reset_received(ResetCode.CANCELLED)


@when("the request of the long one is reset, as the rest of the request body is not needed")
def long_reset(context: Any) -> None:
    context.long.reset(ResetCode.CANCELLED)


@then("the short one is sent completely at once, and no more than a chunk of the long one")
def short_first(context: Any) -> None:
    assert context.short_connection.sent == [("whole", SHORT)]
    assert 0 < context.long_connection.data_bytes <= context.link.chunk


@then("{seconds:g} s later the long one is sent completely, its head first")
def long_sent(context: Any, seconds: float) -> None:
    _advance(context, seconds)
    kinds = [kind for kind, _ in context.long_connection.sent]
    assert kinds == ["head", *["data"] * (len(kinds) - 2), "end"], kinds
    assert context.long_connection.data_bytes == context.long_size
    assert context.pacer.waiting == 0


def _advance(context: Any, seconds: float) -> None:
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)


@then("the target may continue, and the daemon still counts one waiting response")
def counts_one(context: Any) -> None:
    assert context.accepts_more
    assert context.pacer.waiting == 1


@then("nothing more of it is sent, and the daemon counts no waiting response")
def nothing_more(context: Any) -> None:
    _advance(context, 2.0)
    assert context.long_connection.data_bytes == context.sent_before
    assert context.pacer.waiting == 0


@then("{seconds:g} s later the long one is sent completely, and the reset after it")
def reset_last(context: Any, seconds: float) -> None:
    _advance(context, seconds)
    assert context.long_connection.data_bytes == LONG
    assert [kind for kind, _ in context.long_connection.sent[-2:]] == ["end", "reset"]
