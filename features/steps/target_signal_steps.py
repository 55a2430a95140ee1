"""Steps for what targets state in the headers of their responses: parsing, state and log."""

from random import Random
from typing import Any

from behave import given, then, when

from pearward_coordination.advertised_limit import AdvertisedLimit
from pearward_coordination.directory import Directory
from pearward_coordination.selection import Candidate, LoadView, TargetLoad, choose_target
from pearward_coordination.target_rate import TargetRate
from pearward_daemon.mesh.target_departure import UNKNOWN_START, TargetDeparture
from pearward_daemon.mesh.target_signals import TargetSignals
from pearward_platform.headers import PlatformDialect
from pearward_state.members import Member, TargetState

TARGET = "i-1"
START = 100.0
DRAIN_S = 2.0


class _RecordingLog:
    """Keeps the lines in place of writing them."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def emit(self, event_name: str, *, failure: bool = False, **fields: Any) -> None:
        self.lines.append((event_name, fields))


def _headers(*fields: tuple[str, str]) -> bytes:
    lines = [("Request-Id", "r1"), ("Server-Signature", "s"), *fields]
    return "".join(f"{name}: {value}\r\n" for name, value in lines).encode()


def _respond(context: Any, *fields: tuple[str, str]) -> None:
    context.facts = PlatformDialect().response_facts(_headers(*fields))


@when('a target responds with the rate limit "{value}"')
def respond_with_limit(context: Any, value: str) -> None:
    _respond(context, ("Server-Limit", value))


@when('a target responds with the rate limit ""')
def respond_with_empty_limit(context: Any) -> None:
    _respond(context, ("Server-Limit", ""))


@when('a target advertises the rate limits "{first}" and "{second}" in one response')
def respond_twice(context: Any, first: str, second: str) -> None:
    _respond(context, ("Server-Limit", first), ("Server-Limit", second))


@then("the limit that is read is {limit}")
def limit_read(context: Any, limit: str) -> None:
    expected = None if limit == "none" else float(limit)
    assert context.facts.rate_limit == expected, context.facts
    assert bool(context.facts.unreadable_limit) is (expected is None), context.facts


@when('a target responds with the header "{name}" and the value "{value}"')
def respond_with(context: Any, name: str, value: str) -> None:
    _respond(context, (name, value))


@when('a target responds with the header "{name}" and the value ""')
def respond_with_empty(context: Any, name: str) -> None:
    _respond(context, (name, ""))


@then("it leaves: {leaves}")
def leaves(context: Any, leaves: str) -> None:
    assert context.facts.leaving is (leaves == "yes"), context.facts


@then('the unknown headers are "{names}"')
def unknown_headers(context: Any, names: str) -> None:
    assert context.facts.unknown == (names.encode(),), context.facts


@given("a target that advertised a limit of {per_s:g} a second at {at:g} s")
def advertised_limit(context: Any, per_s: float, at: float) -> None:
    context.limit = AdvertisedLimit()
    context.limit.advertised(per_s, at - 0.1, at)


@when("it responds at {at:g} s with a limit of {per_s:g} to a request sent at {sent:g} s")
def responds_with_limit(context: Any, at: float, per_s: float, sent: float) -> None:
    context.limit.advertised(per_s, sent, at)


@when("it responds at {at:g} s without a limit to a request sent at {sent:g} s")
def responds_without_limit(context: Any, at: float, sent: float) -> None:
    context.limit.not_advertised(sent)


@when("another incarnation of it starts")
def other_incarnation(context: Any) -> None:
    context.limit.target_changed(known=True)


@then("the limit in force is {per_s:g} a second")
def limit_in_force(context: Any, per_s: float) -> None:
    assert context.limit.per_s == per_s, context.limit.per_s


@then("no limit is in force")
def no_limit(context: Any) -> None:
    assert context.limit.per_s is None, context.limit.per_s


def _signals(context: Any) -> TargetSignals:
    context.log = _RecordingLog()
    return TargetSignals(TargetRate(), context.log)


@when("a target advertises 20, 20, 20, 5 and no limit in its responses")
def names_in_turn(context: Any) -> None:
    signals = _signals(context)
    for number, value in enumerate(("20", "20", "20", "5", "")):
        _respond(context, *([("Server-Limit", value)] if value else []))
        now = 10.0 + number
        signals.response(TARGET, context.facts, now - 0.2, now)
        signals.response_ended(TARGET, context.facts, now - 0.2, now)


@then('the log has the changes "{changes}"')
def logged_changes(context: Any, changes: str) -> None:
    found = [
        (fields["previous_per_s"], fields["per_s"])
        for event, fields in context.log.lines
        if event == "rate_limit_changed"
    ]
    expected = [
        tuple(None if part == "none" else float(part) for part in change.split(" to "))
        for change in changes.split(", ")
    ]
    assert found == expected, found


@when('a target sends {count:d} responses with the rate limit "{value}" and the header "{name}"')
def sends_unreadable(context: Any, count: int, value: str, name: str) -> None:
    signals = _signals(context)
    _respond(context, ("Server-Limit", value), (name, "3"))
    for number in range(count):
        signals.response(TARGET, context.facts, 10.0 + number, 10.1 + number)


@then('the log has one line "{first}" and one line "{second}"')
def logged_once(context: Any, first: str, second: str) -> None:
    events = sorted(event for event, _ in context.log.lines)
    assert events == sorted([first, second]), events


@given("a daemon whose target drains from its {which} heartbeat on")
def drains(context: Any, which: str) -> None:
    context.departure = TargetDeparture(DRAIN_S, _RecordingLog())
    since = UNKNOWN_START if which == "first" else START
    context.departure.announce(TARGET, "draining", since)


@then("the target gets no request")
def gets_none(context: Any) -> None:
    assert context.departure.refuses_work(START)


@then("the target gets requests for less than the drain time of {drain_s:g} s")
def gets_in_transit(context: Any, drain_s: float) -> None:
    assert drain_s == DRAIN_S
    assert not context.departure.refuses_work(START + 0.5)
    assert context.departure.refuses_work(START + drain_s)


def _member(name: str, incarnation: str) -> Member:
    return Member(
        instance=name, failure_domain="a", peer_address=f"{name}:1", incarnation=incarnation,
        service="sheets", target=f"i-{name}", slots=12, state=TargetState.READY,
    )  # fmt: skip


@given("a requester that has forwarded a response of a target that leaves")
def requester(context: Any) -> None:
    context.directory = Directory("a")
    context.directory.entries_read([_member("one", "p1"), _member("two", "p2")], START)
    context.directory.note_leaving("i-one", START)


@when("the daemon beside the target is restarted and publishes the target as ready")
def restarted(context: Any) -> None:
    context.directory.entry_removed("one", START + 1.0)
    context.directory.entry_written(_member("one", "p3"))


@then("the requester chooses another target")
def chooses_other(context: Any) -> None:
    found = context.directory.candidates("sheets", START + 3.0, 0.0, frozenset(), Random(1))
    assert [candidate.target for candidate in found] == ["i-two"], found


@given("two targets with {slots:d} slots, one of which reports 1 slot since it advertises a limit")
def limited_and_other(context: Any, slots: int) -> None:
    context.views = {name: LoadView() for name in ("limited", "other")}
    for view in context.views.values():
        view.reported(TargetLoad(0, 0, slots, 0.1), START - 5.0)
    context.views["limited"].reported(TargetLoad(0, 0, 1, 0.1), START)
    context.views["other"].reported(TargetLoad(0, 0, slots, 0.1), START)


def _choices(context: Any, after_s: float) -> set[str]:
    candidates = [Candidate(name, True, view) for name, view in context.views.items()]
    rng = Random(1)
    chosen = (choose_target(candidates, START + after_s, rng) for _ in range(50))
    return {candidate.target for candidate in chosen if candidate is not None}


@then("a requester chooses the other one {after_s:g} s after that")
def chooses_the_other(context: Any, after_s: float) -> None:
    assert _choices(context, after_s) == {"other"}


@then("a requester chooses either one {after_s:g} s after that")
def chooses_either(context: Any, after_s: float) -> None:
    assert _choices(context, after_s) == {"limited", "other"}
