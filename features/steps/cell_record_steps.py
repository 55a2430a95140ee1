"""Steps for the record of a cell, planned without a daemon."""

import json
from dataclasses import replace
from typing import Any

from behave import given, then, when

from pearward_coordination.assignment import CellView, Joiner, next_record
from pearward_coordination.coordinator import Coordinator
from pearward_coordination.lease import LeaseTiming
from pearward_coordination.messages import Heartbeat, PeerId
from pearward_state.records import CellRecord, Member, MemberState
from pearward_state.table import Kind, ServerRow, ServiceRow, ServiceTable

SERVICE = "premview"
STORED_FIELDS = 9
"""Number of fields of a stored member that daemons of every version require."""
REPORTS = {
    "it can serve": {},
    "it is in a planned stop": {"draining": True, "stopping": True},
    "it reaches no other daemon": {"draining": True},
    "its server does not respond": {"healthy": False},
}
"""Fields of the heartbeat with which a member reports its state."""


def member_names(count: int) -> list[str]:
    return [f"i{number}" for number in range(count)]


def _joiner(name: str) -> Joiner:
    return Joiner(name, f"at-{name}", f"s-{name}", f"domain-{name}", f"peer-{name}", "")


def service_table(names: list[str]) -> ServiceTable:
    servers = {f"s-{name}": ServerRow(f"s-{name}") for name in names}
    return ServiceTable(ServiceRow(SERVICE, Kind.KEYED, shards_per_server=4), servers, version=1)


def plan_next_record(record: CellRecord, table: ServiceTable, **view: Any) -> CellRecord:
    planned = next_record(record, CellView(table, **view), f"w{record.version}")
    assert planned is not None
    return planned


def _form_cell(context: Any, count: int) -> None:
    context.names = member_names(count)
    context.cell_table = service_table(context.names)
    joiners = tuple(_joiner(name) for name in context.names)
    context.record = plan_next_record(
        CellRecord(SERVICE, SERVICE), context.cell_table, joiners=joiners
    )


def _members(record: CellRecord) -> dict[str, Member]:
    return {m.incarnation: m for m in record.members}


def _states(record: CellRecord) -> dict[str, MemberState]:
    return {name: m.state for name, m in _members(record).items()}


@given("a cell of {count:d} members that were all declared lost")
def all_lost(context: Any, count: int) -> None:
    _form_cell(context, count)
    lost = frozenset(context.names)
    context.record = plan_next_record(context.record, context.cell_table, lost=lost)
    assert set(_states(context.record).values()) == {MemberState.RETIRED}


@given("a coordinator of a cell of {count:d} members that waits {seconds:g} s for a successor")
def coordinator(context: Any, count: int, seconds: float) -> None:
    _form_cell(context, count)
    row = replace(context.cell_table.service, wait_return_s=seconds)
    context.cell_table = replace(context.cell_table, service=row)
    context.coordinator = Coordinator(SERVICE, LeaseTiming(), 0.0)


def _report_of_successor(context: Any, now: float) -> None:
    joiner = _joiner(context.names[0])
    peer = PeerId("successor", joiner.peer)
    heartbeat = Heartbeat(
        SERVICE, joiner.instance, joiner.server, joiner.failure_domain, joiner.caller,
        0, 0, 0, 1, False, True, 0, (),
    )  # fmt: skip
    context.coordinator.peer_seen(peer)
    context.coordinator.on_heartbeat(peer, heartbeat, context.record.version, now)


def _plan(context: Any, now: float) -> None:
    planned = context.coordinator.plan(context.record, context.cell_table, "w", now)
    context.planned = planned or context.record


@when("a greeting shows that the first member was replaced, and {seconds:g} s later {who} reported")
def first_replaced(context: Any, seconds: float, who: str) -> None:
    context.coordinator.note_ended({context.names[0]})
    _plan(context, 0.1)
    context.record = context.planned
    if who == "the successor has":
        _report_of_successor(context, 0.1 + seconds)
    _plan(context, 0.1 + seconds)


@when("an operator reports that the first member has ended")
def operator_reports_end(context: Any) -> None:
    context.coordinator.force_release(context.names[0])
    _plan(context, 0.1)


@then("the first member's shards are given to {whom}")
def given_to(context: Any, whom: str) -> None:
    first, *others = context.names
    owners = {context.planned.owner_of(shard).incarnation for shard in context.planned.shards}
    expected = {"nobody else": {first}, "the successor": {"successor"}, "the others": set()}
    assert owners == expected[whom] | set(others), owners


@given("a cell of {count:d} members of which one was declared lost")
def one_lost(context: Any, count: int) -> None:
    _form_cell(context, count)
    context.record = plan_next_record(
        context.record, context.cell_table, lost=frozenset({context.names[0]})
    )


@when("{count:d} of them report again and the next record is planned")
def some_report(context: Any, count: int) -> None:
    context.reporting = context.names[:count]
    joiners = tuple(_joiner(name) for name in context.reporting)
    context.planned = plan_next_record(context.record, context.cell_table, joiners=joiners)


@when("{count:d} of them report again although the first of them is known to have ended")
def one_ended(context: Any, count: int) -> None:
    joiners = tuple(_joiner(name) for name in context.names[:count])
    ended = frozenset({context.names[0]})
    context.planned = plan_next_record(
        context.record, context.cell_table, joiners=joiners, ended=ended
    )


@when("that one reports again and the next record is planned")
def lost_one_reports(context: Any) -> None:
    view = CellView(context.cell_table, joiners=(_joiner(context.names[0]),))
    context.planned = next_record(context.record, view, "w9") or context.record


@then("those {count:d} are members again and together own every shard")
def members_again(context: Any, count: int) -> None:
    states = _states(context.planned)
    active = [name for name, state in states.items() if state is MemberState.ACTIVE]
    assert sorted(active) == context.reporting, states
    owners = {context.planned.members[s.owner].incarnation for s in context.planned.shards}
    assert owners == set(context.reporting), owners


@then("every shard still waits for each earlier owner except the new owner")
def waits_for_earlier(context: Any) -> None:
    before = {s.start: s for s in context.record.shards}
    for shard in context.planned.shards:
        old = before[shard.start]
        earlier = {context.record.members[i].incarnation for i in old.predecessors}
        owner = context.planned.members[shard.owner].incarnation
        waits = {context.planned.members[i].incarnation for i in shard.predecessors}
        assert waits == earlier - {owner}, (shard, earlier, waits)
        assert shard.epoch > old.epoch


@then("the fourth owns nothing")
def fourth_owns_nothing(context: Any) -> None:
    assert _states(context.planned)[context.names[3]] is MemberState.RETIRED


@then("only the other {count:d} are members again")
def only_others(context: Any, count: int) -> None:
    states = _states(context.planned)
    active = sorted(name for name, state in states.items() if state is MemberState.ACTIVE)
    assert active == context.names[1 : 1 + count], states


@then("it stays retired while a shard names it")
def stays_retired(context: Any) -> None:
    assert _states(context.planned)[context.names[0]] is MemberState.RETIRED


def _report_of_member(context: Any, coordinator: Coordinator, name: str, **state: Any) -> None:
    joiner = _joiner(name)
    peer = PeerId(name, joiner.peer)
    version = context.record.version
    heartbeat = Heartbeat(
        SERVICE, joiner.instance, joiner.server, joiner.failure_domain, joiner.caller,
        version, version, version, 1, False, True, 0, (),
    )  # fmt: skip
    coordinator.peer_seen(peer)
    coordinator.on_heartbeat(peer, replace(heartbeat, **state), version, context.now)


def _plan_until_stable(context: Any, coordinator: Coordinator, **first_state: bool) -> None:
    """Plan records, with reports of all members, until no change is needed."""
    planned: CellRecord | None = context.record
    while planned is not None:
        context.record = planned
        context.now += 0.1
        for name in context.names[1:]:
            _report_of_member(context, coordinator, name)
        if first_state or context.first_reports:
            _report_of_member(context, coordinator, context.names[0], **first_state)
        planned = coordinator.plan(context.record, context.cell_table, "w", context.now)


def _new_coordinator(context: Any) -> Coordinator:
    return Coordinator(SERVICE, LeaseTiming(), context.now)


@given("a cell of {count:d} members of which the first gives up its shards, as {reason}")
def first_gives_up(context: Any, count: int, reason: str) -> None:
    _form_cell(context, count)
    row = replace(context.cell_table.service, wait_return_s=0.0)
    context.cell_table = replace(context.cell_table, service=row)
    context.now = 10.0
    context.first_reports = True
    _plan_until_stable(context, _new_coordinator(context), **REPORTS[reason])
    assert _states(context.record)[context.names[0]] is MemberState.DRAINING
    first_gets(context, "no")


@when("a new coordinator plans before the first member has reported to it")
def new_coordinator_plans(context: Any) -> None:
    context.now += 0.1
    context.coordinator = _new_coordinator(context)
    context.first_reports = False
    _plan_until_stable(context, context.coordinator)


@when("the first member still reports that {report}")
@when("the first member reports that {report}")
def first_reports(context: Any, report: str) -> None:
    context.first_reports = True
    _plan_until_stable(context, context.coordinator, **REPORTS[report])


@given(
    "a cell of {count:d} members, and one of the first member's witnesses receives nothing from it"
)
def one_witness_receives_nothing(context: Any, count: int) -> None:
    _form_cell(context, count)
    row = replace(context.cell_table.service, wait_return_s=0.0)
    context.cell_table = replace(context.cell_table, service=row)
    context.now = 10.0
    first = _members(context.record)[context.names[0]]
    assert sorted(first.witnesses) == context.names, first
    context.first_reports = True
    _plan_until_stable(context, _new_coordinator(context))
    context.coordinator = _new_coordinator(context)
    context.first_reports = False


@when("a new coordinator plans for {seconds:g} seconds without a heartbeat of the first member")
@when("that coordinator plans for {seconds:g} seconds more")
def plan_without_first(context: Any, seconds: float) -> None:
    first, second, *others = context.names
    until = context.now + seconds
    while context.now < until:
        context.now += 0.05
        _report_of_member(context, context.coordinator, second, silent=(first,))
        for name in others:
            _report_of_member(context, context.coordinator, name)
        planned = context.coordinator.plan(context.record, context.cell_table, "w", context.now)
        context.record = planned or context.record


@then("the first member gets {which} shards")
def first_gets(context: Any, which: str) -> None:
    owned = len(context.record.owned_by(context.names[0]))
    expected = {"no": 0, "its": len(context.record.shards) // len(context.names)}[which]
    assert owned == expected, (owned, _states(context.record))


@given("a cell of {count:d} members that all drain, as their servers do not respond")
def all_drain(context: Any, count: int) -> None:
    _form_cell(context, count)
    row = replace(context.cell_table.service, wait_return_s=0.0)
    context.cell_table = replace(context.cell_table, service=row)
    context.now = 10.0
    coordinator = _new_coordinator(context)
    for name in context.names:
        _report_of_member(context, coordinator, name, healthy=False)
    planned = coordinator.plan(context.record, context.cell_table, "w", context.now)
    assert planned is not None
    assert set(_states(planned).values()) == {MemberState.DRAINING}
    context.record = planned


@when("a new coordinator gets the heartbeats of members that can serve, one every {gap:g} s")
def members_report_in_turn(context: Any, gap: float) -> None:
    context.owners_before = [context.record.owner_of(s).incarnation for s in context.record.shards]
    context.owners_seen = [context.owners_before]
    coordinator = _new_coordinator(context)
    for reporting in range(1, len(context.names) + 1):
        context.now += gap
        for name in context.names[:reporting]:
            _report_of_member(context, coordinator, name)
        planned = coordinator.plan(context.record, context.cell_table, "w", context.now)
        context.record = planned or context.record
        owners = [context.record.owner_of(s).incarnation for s in context.record.shards]
        context.owners_seen.append(owners)


@then("every member is active and no shard has moved")
def active_and_unmoved(context: Any) -> None:
    assert set(_states(context.record).values()) == {MemberState.ACTIVE}, _states(context.record)
    assert all(o == context.owners_before for o in context.owners_seen), context.owners_seen


@then("each stored member has the fields that an earlier version requires")
def stored_fields(context: Any) -> None:
    rows = json.loads(context.record.to_bytes())["members"]
    assert [len(row) for row in rows] == [STORED_FIELDS] * len(rows), rows
    assert CellRecord.from_bytes(context.record.to_bytes()) == context.record


@then("the record without the list of planned stops has a draining member that may return")
def read_earlier_record(context: Any) -> None:
    raw = json.loads(context.record.to_bytes())
    del raw["stopping"]
    first = CellRecord.from_bytes(json.dumps(raw).encode()).members[0]
    assert first.state is MemberState.DRAINING and not first.stopping
