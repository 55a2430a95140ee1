"""Steps of a daemon's contact with its cell, in virtual time."""

from dataclasses import replace
from typing import Any

from behave import given, then, when
from cell_record_steps import SERVICE, _joiner, _names, _planned, _table

from pearward_coordination.contact import CellContact
from pearward_state.records import CellRecord, MemberState

STEP_S = 0.05


@given("a daemon of a cell of {count:d}, of which {retired:d} others are given up")
def cell(context: Any, count: int, retired: int) -> None:
    names = _names(count)
    joiners = tuple(_joiner(name) for name in names)
    formed = _planned(CellRecord(SERVICE, SERVICE), _table(names), joiners=joiners)
    members = [
        replace(m, state=MemberState.RETIRED) if 0 < i <= retired else m
        for i, m in enumerate(formed.members)
    ]
    context.record = replace(formed, members=tuple(members))
    context.contact = CellContact(members[0].peer, 0.0)
    context.contact.adopt(context.record)


@when("{who} is heard every {pause:g} s for {seconds:g} s")
def heard(context: Any, who: str, pause: float, seconds: float) -> None:
    members = context.record.members
    addresses = {
        "another member": members[-1].peer,
        "a member given up": members[min(1, len(members) - 1)].peer,
        "a stranger": "10.9.9.9:1",
        "itself": members[0].peer,
    }
    context.alone_at = []
    next_word = pause
    for step in range(1, round(seconds / STEP_S) + 1):
        context.now = step * STEP_S
        if who in addresses and context.now >= next_word:
            next_word += pause
            context.contact.heard(addresses[who], context.now)
        if context.contact.is_alone(context.now):
            context.alone_at.append(context.now)


@then("it is {alone}, and holds back {seconds:g} s before it looks for the coordinator's role")
def is_alone(context: Any, alone: str, seconds: float) -> None:
    assert context.contact.is_alone(context.now) == (alone == "alone")
    assert context.contact.handicap_s(context.now, lease_held=False) == seconds


@then("it is never alone meanwhile")
def never_alone(context: Any) -> None:
    assert not context.alone_at, context.alone_at[:3]
