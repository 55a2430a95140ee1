"""Steps for a daemon after its planned stop, without an event loop and without connections."""

from dataclasses import replace
from typing import Any

from behave import given, then, when
from coordinator_role_steps import control_plane
from settings_steps import VALID

from pearward_coordination.lease import LeaseTiming, OwnerLease
from pearward_coordination.messages import PeerId, Push
from pearward_coordination.ownership import Ownership
from pearward_coordination.planned_stop import PlannedStop
from pearward_state.records import CellRecord, Member, MemberState
from pearward_state.shards import ShardMap


@given("a daemon that has ended its planned stop")
def stopped_daemon(context: Any) -> None:
    control = control_plane(context)
    context.granted = []
    control._server.grant = context.granted.append
    control.drain()
    control.stop()


@when("a peer sends it a record that gives it every shard")
def peer_sends_record(context: Any) -> None:
    service = VALID["server"]["service"]
    name = context.control.incarnation
    member = Member(name, "at-1", "s-1", "d1", "10.0.0.1:1", "", witnesses=(name,))
    shards = ShardMap.even(4)
    for index in range(4):
        shards.owners[index] = 0
        shards.epochs[index] = 1
    record = CellRecord(service, service, 1, "w1", (member,), shards)
    push = Push(f"cell/{service}", 1, record.to_bytes())
    context.control.control_received(PeerId("other", "10.0.0.2:1"), push)


@then("it has adopted no record")
def adopted_none(context: Any) -> None:
    assert context.control.record is None


@then("its server gets no grant")
def no_grant(context: Any) -> None:
    assert not context.granted
    assert not context.control.ownership.serving_count


@given("a member of a cell of {count:d} that owns no shard and whose planned stop has begun")
def member_without_shards(context: Any, count: int) -> None:
    context.cell_members = [
        Member(f"i{n}", f"at-{n}", f"s-{n}", f"d{n}", f"10.0.0.{n}:1", "") for n in range(count)
    ]
    context.stop = PlannedStop("i0", 0.0)


@when("{seconds:g} s have passed and the record names it {state}")
def time_passed(context: Any, seconds: float, state: str) -> None:
    first, *others = context.cell_members
    forms = {
        "active": (first,),
        "draining": (replace(first, state=MemberState.DRAINING),),
        "stopping": (replace(first, state=MemberState.DRAINING, stopping=True),),
        "nowhere": (),
    }
    members = (first,) if state == "alone" else (*others, *forms[state])
    shards = ShardMap.even(4)
    for index in range(4):
        shards.owners[index] = 0
        shards.epochs[index] = 1
    ownership = Ownership(first.incarnation, OwnerLease(LeaseTiming()))
    ownership.adopt(CellRecord("premview", "premview", 2, "w2", members, shards))
    context.ends = context.stop.is_handed_over(ownership, seconds, server_healthy=True)


@then("it goes on")
def goes_on(context: Any) -> None:
    assert not context.ends


@then("it ends")
def ends(context: Any) -> None:
    assert context.ends
