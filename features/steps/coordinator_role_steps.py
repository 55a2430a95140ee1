"""Steps for the coordinator's role, with a store in memory and without sockets."""

import json
from dataclasses import replace
from random import Random
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from settings_steps import VALID
from twisted.internet.task import Clock

from pearward_coordination.coordinator import Coordinator
from pearward_coordination.lease import LeaseTiming
from pearward_coordination.messages import Heartbeat, HeartbeatReply, PeerId
from pearward_coordination.routing import Router
from pearward_daemon.cell_coordinator import CellCoordinator
from pearward_daemon.control import ControlPlane
from pearward_daemon.coordinator_election import CoordinatorElection
from pearward_daemon.settings import Settings
from pearward_devtools.memory_store import MemoryStore
from pearward_state.records import CellRecord, Member, MemberState
from pearward_state.shards import ShardMap
from pearward_state.table import Kind, Policy, ServerRow, ServiceRow, ServiceTable

SERVICE = "premview"
KEY = f"cell/{SERVICE}"
STEP_S = 0.05
"""Interval between two ticks of a coordinator, as in the daemon."""


class _Daemon:
    """Stand-in for the daemon in which a coordinator runs."""

    def __init__(self) -> None:
        self.known: CellRecord | None = None
        self.fails_once = False

    @property
    def record(self) -> CellRecord | None:
        return self.known

    def record_written(self, record: CellRecord, value: bytes) -> None:
        if self.fails_once:
            self.fails_once = False
            raise RuntimeError("simulated error in the daemon")
        if self.known is None or record.version > self.known.version:
            self.known = record

    def table_read(self, service: str, value: bytes) -> None:
        """Ignore the table, as nothing is routed."""

    def reply(self, peer: PeerId, reply: HeartbeatReply) -> None:
        """Ignore the reply, as no daemon waits for it."""


def member_of(number: int, count: int) -> Member:
    """Return a member with the witnesses that it has in a cell of *count* members."""
    name = f"i{number}"
    others = [f"i{n}" for n in range(count) if n != number]
    witnesses = {2: (name,), 3: (*others, name)}.get(count, tuple(others[:3]))
    return Member(
        name, f"at-{name}", f"s-{name}", f"d{number}", f"10.0.0.{number}:1", "",
        witnesses=witnesses,
    )  # fmt: skip


def even_record(count: int) -> CellRecord:
    shards = ShardMap.even(count)
    for index in range(count):
        shards.owners[index] = index
        shards.epochs[index] = 1
    members = tuple(member_of(number, count) for number in range(count))
    return CellRecord(SERVICE, SERVICE, 1, "w1", members, shards)


def service_table(count: int) -> ServiceTable:
    servers = {f"s-i{number}": ServerRow(f"s-i{number}") for number in range(count)}
    row = ServiceRow(
        SERVICE, Kind.KEYED, policy=Policy.QUICK, wait_return_s=0.0, shards_per_server=1
    )
    return ServiceTable(row, servers, version=1)


@given("a coordinator of a cell of {count:d} daemons that has read the record")
def coordinator(context: Any, count: int) -> None:
    context.store = MemoryStore()
    context.first_record = even_record(count)
    context.store.put(KEY, context.first_record.to_bytes())
    context.store.put(f"table/{SERVICE}", service_table(count).to_bytes())
    context.daemon = _Daemon()
    context.me = PeerId("i0", "10.0.0.0:1")
    context.successors = []
    role = f'{{"incarnation": "{context.me.incarnation}", "address": "{context.me.address}"}}'
    context.store.put(f"coordinator/{SERVICE}", role.encode())
    context.cell_coordinator = CellCoordinator(
        Clock(), context.store, context.daemon, context.me, SERVICE, SERVICE, LeaseTiming(),
        1, context.successors.append,
    )  # fmt: skip
    context.cell_coordinator.start()
    context.cell_coordinator.tick()
    assert context.daemon.known == context.first_record


@given("its daemon raises an error once when it takes a record")
def fails_once(context: Any) -> None:
    context.daemon.fails_once = True


@when("another coordinator writes a record without the first daemon")
def replaced_meanwhile(context: Any) -> None:
    record = context.first_record
    owners = [(owner - 1) % (len(record.members) - 1) for owner in record.shards.owners]
    shards = ShardMap(
        record.shards.starts, type(record.shards.owners)("H", owners), record.shards.epochs
    )
    members = tuple(replace(m, witnesses=("i1", "i2", "i3")) for m in record.members[1:])
    context.without_first = record.next_version("other:1", members=members, shards=shards)
    context.store.put(KEY, context.without_first.to_bytes())


@when("that record reaches this coordinator's daemon from a peer")
def reaches(context: Any) -> None:
    context.daemon.record_written(context.without_first, context.without_first.to_bytes())


def heartbeat_of(
    context: Any, number: int, adopted: int, silent: tuple[str, ...] = (), *, stopping: bool = False
) -> Heartbeat:
    member = member_of(number, len(context.first_record.members))
    return Heartbeat(
        SERVICE, member.instance, member.server, member.failure_domain, member.caller,
        adopted, adopted, adopted, 1, stopping, True, 0, silent, stopping,
    )  # fmt: skip


def _report(context: Any, number: int, adopted: int, *, stopping: bool = False) -> None:
    member = member_of(number, len(context.first_record.members))
    peer = PeerId(member.incarnation, member.peer)
    context.cell_coordinator.core.peer_seen(peer)
    heartbeat = heartbeat_of(context, number, adopted, stopping=stopping)
    context.cell_coordinator.on_heartbeat(peer, heartbeat)


@when("only its own daemon reports for {seconds:g} seconds, and reports that it hears no other")
def only_own_daemon_reports(context: Any, seconds: float) -> None:
    """Plan as the coordinator does, with the time passed as a value instead of waited for."""
    core = Coordinator(SERVICE, LeaseTiming(), 0.0)
    record = context.first_record
    table = service_table(len(record.members))
    others = tuple(m.incarnation for m in record.members[1:])
    now, planned = 0.0, None
    while now < seconds and planned is None:
        now += STEP_S
        core.on_heartbeat(context.me, heartbeat_of(context, 0, 1, others), record.version, now)
        planned = core.plan(record, table, "w", now)
    if planned is not None:
        context.store.put(KEY, planned.to_bytes())


@then("the record in the store is the one that it read")
def unchanged(context: Any) -> None:
    record = CellRecord.from_bytes(context.store.value(KEY))
    states = [(m.incarnation, m.state.value) for m in record.members]
    assert record == context.first_record, states


@when("every daemon reports")
def all_report(context: Any) -> None:
    for number in range(len(context.first_record.members)):
        _report(context, number, context.first_record.version)


@when("every daemon reports, and the others report that they act on that record")
def all_report_newer(context: Any) -> None:
    _report(context, 0, context.first_record.version)
    for number in range(1, len(context.first_record.members)):
        _report(context, number, context.without_first.version)


@then("the first daemon is a member again")
def member_again(context: Any) -> None:
    for _ in range(3):
        context.cell_coordinator.tick()
    record = CellRecord.from_bytes(context.store.value(KEY))
    assert record.member("i0") is not None, [m.incarnation for m in record.members]
    assert record.version > context.without_first.version


@when("another daemon takes the role")
def role_taken_by_other(context: Any) -> None:
    context.store.put(ROLE_KEY, HOLDERS["another one holds the role"])


@when("every daemon reports, and the second one that it is in a planned stop")
def all_report_one_stopping(context: Any) -> None:
    version = context.first_record.version
    for number in range(len(context.first_record.members)):
        _report(context, number, version, stopping=number == 1)
    ticks(context)


@when("the coordinator ticks once")
def ticks(context: Any) -> None:
    context.cell_coordinator.tick()


@then('it has given up the role to "{address}"')
def gave_up_role(context: Any, address: str) -> None:
    assert context.successors == [address], context.successors


# -- election ----------------------------------------------------------------------


ROLE_KEY = f"coordinator/{SERVICE}"
HOLDERS = {
    "another one holds the role": b'{"incarnation": "other", "address": "10.0.0.9:1"}',
    "it holds the role itself": b'{"incarnation": "i0", "address": "10.0.0.0:1"}',
}


@given("a daemon that looks for the coordinator of its cell, and {holder}")
def election(context: Any, holder: str) -> None:
    context.store = MemoryStore()
    context.holder = HOLDERS.get(holder)
    if context.holder:
        context.store.put(ROLE_KEY, context.holder)
    context.taken_leases = []
    context.found = []
    me = PeerId("i0", "10.0.0.0:1")
    context.election = CoordinatorElection(
        Clock(),
        context.store,
        me,
        SERVICE,
        Random(1),
        lambda address: context.found.append((context.election_time, address)),
        context.taken_leases.append,
    )


@when("it gets no reply for {seconds:d} seconds while it {hears}")
def no_reply(context: Any, seconds: int, hears: str) -> None:
    for step in range(int(seconds / STEP_S)):
        context.election_time = 1000.0 + step * STEP_S
        with _election_time(context.election_time):
            if not context.taken_leases:
                context.election.tick(0, 0.0, may_replace=hears != "hears no other")


@when("it gets no reply for {seconds:d} seconds and {may} take the role")
def no_reply_leaving(context: Any, seconds: int, may: str) -> None:
    assert may in ("may", "may not"), may
    for step in range(int(seconds / STEP_S)):
        with _election_time(1000.0 + step * STEP_S):
            if not context.taken_leases:
                context.election.tick(0, 0.0, may_replace=True, may_take=may == "may")


def _election_time(now: float) -> Any:
    """Return a context manager that sets the time of the election."""
    return patch("pearward_daemon.coordinator_election.boot_time", return_value=now)


@when("its coordinator has replied, and says {seconds:g} seconds later that it does not coordinate")
def coordinator_resigns(context: Any, seconds: float) -> None:
    with _election_time(1000.0):
        context.election.note_received()
    context.resigned_at = 1000.0 + seconds
    with _election_time(context.resigned_at):
        context.election.note_resigned()


@then("it takes the role within {seconds:g} seconds")
def takes_within(context: Any, seconds: float) -> None:
    for step in range(int(seconds / STEP_S) + 1):
        with _election_time(context.resigned_at + step * STEP_S):
            if not context.taken_leases:
                context.election.tick(0, 0.0, may_replace=True)
    assert context.taken_leases


@then("it takes the role")
def takes(context: Any) -> None:
    assert context.taken_leases


@then("it does not take the role")
def does_not_take(context: Any) -> None:
    assert not context.taken_leases
    if context.holder is None:
        assert not context.store.has(ROLE_KEY)
    else:
        assert context.store.value(ROLE_KEY) == HOLDERS["another one holds the role"]


# -- a daemon's control plane --------------------------------------------------------


def control_plane(context: Any) -> ControlPlane:
    """Return a control plane without an event loop and without connections."""
    settings = Settings.from_mapping(VALID)
    me = PeerId("i1", settings.peer_address)
    context.store = MemoryStore()
    rng = Random(1)
    context.control = ControlPlane(
        Clock(),
        settings,
        me,
        context.store,
        Router(rng),
        None,
        rng,  # type: ignore[arg-type]
    )
    return context.control


@given('a daemon that follows the coordinator at "{address}"')
def follows(context: Any, address: str) -> None:
    control_plane(context).agent.set_coordinator(address)


@when('a late reply of the daemon at "{address}" says that it does not coordinate')
def late_reply(context: Any, address: str) -> None:
    reply = HeartbeatReply(VALID["server"]["service"], False, 0)
    context.control.control_received(PeerId(f"at-{address}", address), reply)


@then('it follows "{address}"')
def follows_address(context: Any, address: str) -> None:
    assert context.control.agent.coordinator == address, context.control.agent.coordinator


@then("it follows no coordinator")
def follows_nobody(context: Any) -> None:
    assert context.control.agent.coordinator == "", context.control.agent.coordinator


def _take_role(context: Any, lease: int) -> CellCoordinator:
    """Make the daemon take the role and watch the store; return its coordinator."""
    context.control._role_taken(lease)
    writer: CellCoordinator = context.control._cell_coordinator
    writer.tick()
    return writer


@given("a daemon that has taken the role")
def has_role(context: Any) -> None:
    control = control_plane(context)
    role = {"incarnation": control.incarnation, "address": "127.9.0.1:7401"}
    service = VALID["server"]["service"]
    context.store.put(f"coordinator/{service}", json.dumps(role).encode())
    context.earlier_coordinator = _take_role(context, 1)
    context.waiting = len(context.store.watches)
    assert context.waiting


@when("it takes the role again, and its earlier term as coordinator ends afterwards")
def role_again(context: Any) -> None:
    _take_role(context, 2)
    context.earlier_coordinator._give_up_role("")


@then("it coordinates, with as many watches on the store as one coordinator has")
def one_term(context: Any) -> None:
    assert context.control.coordinating
    assert len(context.store.watches) == context.waiting, len(context.store.watches)


def _cell_record(count: int, *, others: MemberState = MemberState.ACTIVE) -> CellRecord:
    """Return the record of a cell whose members but "i1" are in state *others*."""
    service = VALID["server"]["service"]
    members = tuple(
        m if m.incarnation == "i1" else replace(m, state=others) for m in even_record(count).members
    )
    return CellRecord(service, service, 1, "w1", members, ShardMap.even(count))


def _put_role_and_record(context: Any, count: int) -> None:
    service = VALID["server"]["service"]
    context.store.put(f"cell/{service}", _cell_record(count).to_bytes())
    role = {"incarnation": context.control.incarnation, "address": "127.9.0.1:7401"}
    context.store.put(f"coordinator/{service}", json.dumps(role).encode())
    context.sent = []
    context.control._send = lambda address, message: context.sent.append((address, message))


@given("a daemon that has taken the role and read the record of a cell of {count:d}")
def has_role_and_record(context: Any, count: int) -> None:
    control = control_plane(context)
    _put_role_and_record(context, count)
    control._role_taken(1)


@given("a daemon that has read the record of a cell of {count:d} and whose planned stop has begun")
def stopping_with_record(context: Any, count: int) -> None:
    control = control_plane(context)
    _put_role_and_record(context, count)
    record = _cell_record(count)
    control.record_written(record, record.to_bytes())
    control.drain()


@given("a daemon that has taken the role while the store is unavailable")
def has_role_unread(context: Any) -> None:
    control = control_plane(context)
    _put_role_and_record(context, 4)
    context.store.unavailable = True
    control._role_taken(1)


@when("the store confirms that it has taken the role")
def role_confirmed(context: Any) -> None:
    context.control._role_taken(1)


@when("it ends and the store confirms that it has taken the role")
def role_confirmed_at_end(context: Any) -> None:
    context.control.stop()
    context.control._role_taken(1)


@then("it returns the lease of the role's key")
def lease_returned(context: Any) -> None:
    assert context.store.revoked == [1], context.store.revoked
    assert not context.control.coordinating


@when("its planned stop begins while all others are draining")
def planned_stop_of_all(context: Any) -> None:
    context.control._cell_coordinator._record = _cell_record(4, others=MemberState.DRAINING)
    context.control.drain()


@when("it ends")
def it_ends(context: Any) -> None:
    context.control.stop()


@when("another member is active for {seconds:g} second")
def other_is_active(context: Any, seconds: float) -> None:
    context.control._cell_coordinator._record = _cell_record(4)
    available_again(context, seconds)


@when("the store has been available again for {seconds:g} second")
def available_again(context: Any, seconds: float) -> None:
    context.store.unavailable = False
    for _ in range(int(seconds / STEP_S)):
        context.control._reactor.advance(STEP_S)


@then('it has found the holder at "{address}" in the last second')
def found_lately(context: Any, address: str) -> None:
    assert context.found[-1][0] >= context.election_time - 1.0, context.found
    assert context.found[-1][1] == address


@when("its planned stop begins")
def planned_stop(context: Any) -> None:
    context.control.drain()


@when("its planned stop begins while the store is unavailable")
def planned_stop_unavailable(context: Any) -> None:
    context.store.unavailable = True
    context.control.drain()


@then("no daemon holds the role")
def no_holder(context: Any) -> None:
    key = f"coordinator/{VALID['server']['service']}"
    assert not context.store.has(key)


@then("the other members are notified that it does not coordinate")
def members_notified(context: Any) -> None:
    service = VALID["server"]["service"]
    notified = [a for a, m in context.sent if m == HeartbeatReply(service, False, 0)]
    others = [
        m.peer for m in even_record(4).members if m.incarnation != context.control.incarnation
    ]
    assert notified == others, context.sent


@then("it does not coordinate")
def coordinates_not(context: Any) -> None:
    assert not context.control.coordinating


@then("it coordinates")
def coordinates(context: Any) -> None:
    assert context.control.coordinating
