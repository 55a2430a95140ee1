"""Steps that test a daemon's contact with its cell, in virtual time."""

from dataclasses import replace
from typing import Any

from behave import given, then, when
from cell_record_steps import SERVICE, _joiner, member_names, plan_next_record, service_table

from pearward_coordination.contact import CellContact
from pearward_coordination.messages import PeerId
from pearward_state.records import CellRecord, MemberState

STEP_S = 0.05


@given("a daemon of a cell of {count:d}, of which {retired:d} others are retired")
def cell(context: Any, count: int, retired: int) -> None:
    names = member_names(count)
    joiners = tuple(_joiner(name) for name in names)
    formed = plan_next_record(CellRecord(SERVICE, SERVICE), service_table(names), joiners=joiners)
    members = [
        replace(m, state=MemberState.RETIRED) if 0 < i <= retired else m
        for i, m in enumerate(formed.members)
    ]
    context.record = replace(formed, members=tuple(members))
    me = PeerId(members[0].incarnation, members[0].peer)
    context.contact = CellContact(me, 0.0)
    context.contact.adopt(context.record)


@when("{who} is heard every {pause:g} s for {seconds:g} s")
@when("{who} is heard every {pause:g} s for {seconds:g} s, and {reply}")
def note_received(context: Any, who: str, pause: float, seconds: float, reply: str = "") -> None:
    members = context.record.members
    retired_member = members[min(1, len(members) - 1)]
    peers = {
        "another member": PeerId(members[-1].incarnation, members[-1].peer),
        "a retired member": PeerId(retired_member.incarnation, retired_member.peer),
        "a successor": PeerId("successor", members[-1].peer),
        "a stranger": PeerId("stranger", "10.9.9.9:1"),
        "itself": PeerId(members[0].incarnation, members[0].peer),
    }
    context.isolated_at = []
    next_message_at = pause
    for step in range(1, round(seconds / STEP_S) + 1):
        context.now = step * STEP_S
        if who in peers and context.now >= next_message_at:
            next_message_at += pause
            context.contact.note_received(peers[who], context.now)
            if reply == "replies":
                context.contact.note_reply(peers[who], context.now)
        if context.contact.is_isolated(context.now):
            context.isolated_at.append(context.now)


@then("it is {isolated}, and waits {seconds:g} s before it tries to acquire the coordinator's role")
def is_isolated(context: Any, isolated: str, seconds: float) -> None:
    assert context.contact.is_isolated(context.now) == (isolated == "isolated")
    assert context.contact.election_delay_s(context.now, lease_held=False) == seconds


@given("the record {counts} this daemon as an active member")
def counts_as_active(context: Any, counts: str) -> None:
    if counts == "does not count":
        members = context.record.members
        first = replace(members[0], state=MemberState.RETIRED)
        context.record = replace(context.record, members=(first, *members[1:]))
        context.contact.adopt(context.record)


@then("it {may} take the coordinator's role from a silent holder")
def may_take(context: Any, may: str) -> None:
    assert context.contact.may_replace_coordinator(context.now) == (may == "may")


@then("it is never isolated meanwhile")
def never_isolated(context: Any) -> None:
    assert not context.isolated_at, context.isolated_at[:3]
