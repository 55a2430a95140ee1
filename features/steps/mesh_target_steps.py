"""Steps for the slots of a target, the choice of a target, attempts and the retry budget."""

from random import Random
from typing import Any

from behave import given, then, when

from pearward_coordination.attempt_plan import AttemptPlan, NextStep, RequestTimes
from pearward_coordination.link_queue import LinkQueue
from pearward_coordination.retry_window import RetryRule, RetryWindow
from pearward_coordination.selection import (
    Candidate,
    ExchangeProfile,
    LoadView,
    TargetLoad,
    WeightedRoundRobin,
    choose_target,
)
from pearward_coordination.slots import Refused, SlotLimits, SlotQueue, SlotTicket
from pearward_state.outcome import Outcome, Reason
from pearward_state.routes import WeightedService

NOW = 100.0

# -- slots ------------------------------------------------------------------------------------


def _ticket(
    now: float, objective_s: float = 0.6, deadline_s: float = 1.5, rank: int = 2
) -> SlotTicket:
    return SlotTicket(rank, now + deadline_s, now + objective_s, now)


@given("a target with {slots:d} slots whose requests run {seconds:g} s")
def slots(context: Any, slots: int, seconds: float) -> None:
    queue = context.queue = SlotQueue(SlotLimits(slots))
    for _ in range(200):
        ticket = _ticket(NOW)
        queue.offer(ticket, NOW - seconds)
        queue.finish(ticket, NOW, measured=True)


@when("{count:d} requests arrive")
@when("{count:d} more requests with an objective of {objective:g} s arrive")
def requests_arrive(context: Any, count: int, objective: float = 0.6) -> None:
    context.offered = [context.queue.offer(_ticket(NOW, objective), NOW) for _ in range(count)]


@when("{seconds:g} s pass and none of them ends")
def none_ends(context: Any, seconds: float) -> None:
    context.now = NOW + seconds


@then("both start")
def both_start(context: Any) -> None:
    assert context.offered == [True, True]


@then("both wait")
def both_wait(context: Any) -> None:
    assert context.offered == [False, False]


@then("the last is refused with a retry delay of {low:g} to {high:g} s")
def last_refused(context: Any, low: float, high: float) -> None:
    last = context.offered[-1]
    assert isinstance(last, Refused)
    assert low <= last.retry_after_s <= high, last


@then("a request with an objective of {objective:g} s is refused")
def one_refused(context: Any, objective: float) -> None:
    offered = context.queue.offer(_ticket(context.now, objective), context.now)
    assert isinstance(offered, Refused), offered


@when("a request runs and requests of rank 2, 1 and 2 wait")
def ranks_wait(context: Any) -> None:
    context.running = _ticket(NOW)
    assert context.queue.offer(context.running, NOW) is True
    context.waiting = [_ticket(NOW, objective_s=2.0, rank=rank) for rank in (2, 1, 2)]
    for ticket in context.waiting:
        assert context.queue.offer(ticket, NOW) is False


@then("the one of rank 1 starts next")
def most_urgent_starts_next(context: Any) -> None:
    context.queue.finish(context.running, NOW + 0.1, measured=True)
    started, late = context.queue.next_starts(NOW + 0.1)
    assert (started, late) == ([context.waiting[1]], [])


@when("8 requests for one key arrive and then one of a less urgent rank for another key")
def requests_for_two_keys(context: Any) -> None:
    hot = [_ticket(NOW, objective_s=2.0, rank=1) for _ in range(8)]
    for ticket in hot:
        ticket.key = 14_139
    context.started = [ticket for ticket in hot if context.queue.offer(ticket, NOW) is True]
    context.other = _ticket(NOW, objective_s=2.0, rank=2)
    context.other.key = 7
    assert context.queue.offer(context.other, NOW) is False


@then("the one for the other key starts next")
def other_key_starts_next(context: Any) -> None:
    context.queue.finish(context.started.pop(0), NOW + 0.1, measured=True)
    started, _ = context.queue.next_starts(NOW + 0.1)
    assert started == [context.other], started


@then("requests for the hot key get every slot that no other request needs")
def hot_key_gets_idle_slots(context: Any) -> None:
    assert len(context.started) == 3
    context.queue.finish(context.other, NOW + 0.2, measured=True)
    started, _ = context.queue.next_starts(NOW + 0.2)
    assert [ticket.key for ticket in started] == [14_139], started


@when("a request runs and one waits whose deadline is near")
def near_deadline(context: Any) -> None:
    context.running = _ticket(NOW)
    context.queue.offer(context.running, NOW)
    context.waiting = [_ticket(NOW, objective_s=2.0, deadline_s=0.5)]
    assert context.queue.offer(context.waiting[0], NOW) is False


@then("the waiting one is dropped when the slot becomes free")
def dropped_as_late(context: Any) -> None:
    context.queue.finish(context.running, NOW + 0.4, measured=True)
    started, late = context.queue.next_starts(NOW + 0.4)
    assert (started, late) == ([], context.waiting)


# -- choice of a target ----------------------------------------------------------------------


def _share_of_first(candidates: list[Candidate], now: float = NOW) -> float:
    rng = Random(7)
    chosen = [choose_target(candidates, now, rng) for _ in range(400)]
    return sum(1 for c in chosen if c is candidates[0]) / len(chosen)


def _view(service_s: float = 0.1, running: int = 0) -> LoadView:
    return LoadView(TargetLoad(running, 0, 12, service_s), reported_at=NOW)


@given("targets that run a request in {slow:g} s and in {fast:g} s")
def targets_of_two_speeds(context: Any, slow: float, fast: float) -> None:
    context.candidates = [Candidate("a", True, _view(slow)), Candidate("b", True, _view(fast))]


@given("two equal targets of which the first has {taken:d} of {slots:d} slots taken")
def loaded_target(context: Any, taken: int, slots: int) -> None:
    context.candidates = [
        Candidate("a", True, _view(running=taken)),
        Candidate("b", True, _view()),
    ]


@given("two equal targets of which the first has just failed twice")
def failed_twice(context: Any) -> None:
    view = _view()
    view.failed(NOW)
    view.failed(NOW)
    context.candidates = [Candidate("a", True, view), Candidate("b", True, _view())]


@given("two equal targets of which the second is in another failure domain")
def other_domain(context: Any) -> None:
    context.candidates = [Candidate("a", True, _view()), Candidate("b", False, _view())]


@given("a near target behind a link that needs {near:g} s for a long response, and a far "
       "one whose link needs {far:g} s")  # fmt: skip
def near_and_far_links(context: Any, near: float, far: float) -> None:
    views = [LoadView(TargetLoad(0, 0, 12, 0.2, link_s), reported_at=NOW) for link_s in (near, far)]
    context.candidates = [Candidate("a", True, views[0]), Candidate("b", False, views[1])]


@then("a request of {kilobytes:d} kB goes to the {which} one")
def long_response_goes_to(context: Any, kilobytes: int, which: str) -> None:
    asked = ExchangeProfile(kilobytes, long_response=True)
    rng = Random(7)
    chosen = [choose_target(context.candidates, NOW, rng, asked) for _ in range(400)]
    share = sum(c is context.candidates[0] for c in chosen) / len(chosen)
    assert share > 0.95 if which == "near" else share < 0.05, share


@then("the second one gets nearly all requests")
def second_wins(context: Any) -> None:
    assert _share_of_first(context.candidates) < 0.05


@then("after {seconds:g} s the first one gets requests again")
def first_again(context: Any, seconds: float) -> None:
    assert _share_of_first(context.candidates, NOW + seconds) > 0.2


@then("the first one gets more than half of all requests")
def first_preferred(context: Any) -> None:
    assert _share_of_first(context.candidates) > 0.6


@given('a route to "{first}" with weight {one:d} and to "{second}" with weight {other:d}')
def weighted(context: Any, first: str, one: int, second: str, other: int) -> None:
    parts = [WeightedService(first, one), WeightedService(second, other)]
    context.round_robin = WeightedRoundRobin(parts, Random(3))


@when("{count:d} requests use the route")
def requests_use_route(context: Any, count: int) -> None:
    context.chosen = [context.round_robin.next() for _ in range(count)]


@then('"{service}" gets {count:d} of them, plus or minus {slack:d}')
def gets_share(context: Any, service: str, count: int, slack: int) -> None:
    assert abs(context.chosen.count(service) - count) <= slack, context.chosen.count(service)


@given("two targets of a service, the first twice as fast as the other, each behind a link "
       "of {rate:g} Mbit/s")  # fmt: skip
def behind_links(context: Any, rate: float) -> None:
    context.links = [LinkQueue(rate), LinkQueue(rate)]
    context.service_s = [0.1, 0.2]


@when("the first has just received {size:d} bytes of long responses to send")
def long_responses_queued(context: Any, size: int) -> None:
    for _ in range(10):
        ticket = context.links[0].join(NOW + 1.0, size // 10, NOW)
        ticket.unsent = size // 10
        ticket.ended = True


def _send_until(link: LinkQueue, until: float) -> None:
    """Send a link's responses in chunks until a time."""
    now = NOW
    while now < until:
        ticket = link.next(now)
        if ticket is None:
            now += 0.005
            continue
        size = min(link.chunk, ticket.unsent)
        ticket.unsent -= size
        ticket.remaining -= size
        link.note_sent(size, now)
        if not ticket.unsent:
            link.leave(ticket)


def _chosen_at(context: Any, now: float, *, long_response: bool = True) -> str:
    candidates = []
    for number, (link, service_s) in enumerate(zip(context.links, context.service_s, strict=True)):
        view = LoadView()
        view.reported(TargetLoad(0, 0, 12, service_s, link.long_response_wait_s(now)), now)
        candidates.append(Candidate(f"t{number}", True, view))
    chosen = choose_target(candidates, now, Random(1), ExchangeProfile(long_response=long_response))
    assert chosen is not None
    return chosen.target


@then("a request with a long response goes to the second target, and to the first again "
      "{seconds:g} s later")  # fmt: skip
def long_response_from_second(context: Any, seconds: float) -> None:
    assert _chosen_at(context, NOW) == "t1"
    _send_until(context.links[0], NOW + seconds)
    for _ in range(30):
        # Further single responses bring the moving mean of the wait down again.
        context.links[0].leave(context.links[0].join(NOW + seconds, 60_000, NOW + seconds))
    assert _chosen_at(context, NOW + seconds) == "t0"


@then("a request with a short response goes to the first target")
def short_response_from_first(context: Any) -> None:
    assert _chosen_at(context, NOW, long_response=False) == "t0"


@then("a request with a long response goes to the first target")
def long_response_from_first(context: Any) -> None:
    assert _chosen_at(context, NOW) == "t0"


# -- after a failed attempt -------------------------------------------------------------------


@given("a {kind} request to a {service} service with {left:g} s left")
def planned_request(context: Any, kind: str, service: str, left: float) -> None:
    times = RequestTimes(NOW, NOW + 0.6, NOW + left)
    context.plan = AttemptPlan(times, kind == "safe", service == "keyed", 2)


@given("its body is already being forwarded")
def body_forwarded(context: Any) -> None:
    context.plan.body_consumed = True


@when('an attempt ends as "{outcome}" because of "{reason}"')
def attempt_ends(context: Any, outcome: str, reason: str) -> None:
    reached = outcome == "unknown" or reason == "target-refused"
    if reached:
        context.plan.arrived()
    context.step = context.plan.after_failure(Outcome(outcome), Reason(reason), "t1", NOW + 0.01)


@when("two attempts that reached targets failed")
def two_failed(context: Any) -> None:
    attempt_ends(context, "unknown", "server-failed")
    assert context.step is NextStep.REPEAT
    attempt_ends(context, "unknown", "server-failed")


@when("three targets had no slot for it")
def three_full(context: Any) -> None:
    for _ in range(3):
        attempt_ends(context, "not-run", "overloaded")


@then('the next step is "{step}"')
def next_step(context: Any, step: str) -> None:
    assert context.step is NextStep(step), context.step


# -- retry budget ----------------------------------------------------------------------------


@given("a retry budget of {ratio:g} of the requests and {allowance:g} more within "
       "{window:g} s, for {daemons:d} daemons")  # fmt: skip
def retry_budget(context: Any, ratio: float, allowance: float, window: float, daemons: int) -> None:
    rule = RetryRule(ratio, allowance, window)
    context.windows = [RetryWindow(rule) for _ in range(daemons)]


@when("each daemon receives {count:d} requests and asks for as many retries")
def ask_for_retries(context: Any, count: int) -> None:
    context.allowed = 0
    for window in context.windows:
        for number in range(count):
            window.request(NOW + number * 0.05)
        for number in range(count):
            context.allowed += window.take(NOW + number * 0.05, len(context.windows))


@then("no more than {most:d} retries are allowed in all")
def retries_bounded(context: Any, most: int) -> None:
    assert 50 < context.allowed <= most, context.allowed
