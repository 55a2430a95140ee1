"""Steps for a daemon after its planned stop, without an event loop and without connections."""

from typing import Any

from behave import given, then, when
from coordinator_role_steps import control_plane
from settings_steps import VALID

from pearward_coordination.messages import PeerId, Push
from pearward_state.records import CellRecord, Member
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
