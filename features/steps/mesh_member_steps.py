"""Steps for the members that a daemon knows."""

from random import Random
from typing import Any

from behave import given, then, when

from pearward_coordination.directory import Directory
from pearward_state.members import Member, TargetState

NOW = 100.0


def _member(name: str) -> Member:
    return Member(name, "a", f"{name}:1", "life-1", "service", f"t-{name}", 12, TargetState.READY)


def _candidates(context: Any) -> set[str]:
    found = context.directory.candidates("service", NOW, 0.0, frozenset(), Random(3))
    return {candidate.target for candidate in found}


@given('members "one" and "two" of a service')
def members(context: Any) -> None:
    context.directory = Directory("a")
    context.directory.store_answers(NOW - 100.0)
    context.directory.entries_read([_member("one"), _member("two")], NOW)


@when('the entry of "{name}" is removed')
def entry_removed_from_store(context: Any, name: str) -> None:
    context.directory.entry_removed(name, NOW)


@when('"{name}" cannot be reached')
def not_reached(context: Any, name: str) -> None:
    context.directory.note_unreachable(f"t-{name}", NOW)


@given("the store does not respond")
def store_unavailable(context: Any) -> None:
    context.directory.store_answers(None)


@when("the store responds again")
def store_available(context: Any) -> None:
    context.directory.store_answers(NOW)


@when("{seconds:d} s pass")
def members_expire(context: Any, seconds: int) -> None:
    context.directory.expire(NOW + seconds)


@when('{seconds:d} s pass and then "{name}" reports')
def reports_after(context: Any, seconds: int, name: str) -> None:
    context.directory.note_alive(f"t-{name}", NOW + seconds)
    context.directory.expire(NOW + seconds)


@when('the entry of "{name}" is written again')
def entry_written_again(context: Any, name: str) -> None:
    context.directory.entry_written(_member(name))


@when('the daemon of "{name}" reports that its target takes no new work')
def reported_as_draining(context: Any, name: str) -> None:
    context.directory.note_refused(f"t-{name}")


@then("both may get requests")
def both_candidates(context: Any) -> None:
    assert _candidates(context) == {"t-one", "t-two"}


@then('only "{name}" may get requests')
def only_candidate(context: Any, name: str) -> None:
    assert _candidates(context) == {f"t-{name}"}
