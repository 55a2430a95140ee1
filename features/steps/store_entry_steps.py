"""Steps for entries and changes in a store restored from an older copy, in virtual time."""

from typing import Any

from behave import then, when

from pearward_protocol.entries import crash_key, decode_member, holder_key, member_key
from pearward_state.crashes import CrashRecord

REPLACED_S = 4.0
"""Seconds after which all daemons know a new target."""


@when("the store is unavailable for {seconds:g} s and restored from the copy")
def restore_after_outage(context: Any, seconds: float) -> None:
    world = context.world
    context.holders_before = world.holders()
    world.return_store(context.copy, seconds)


def _write_changes(world: Any, count: int) -> None:
    """Have operators write *count* changes that affect no member."""
    for _ in range(count):
        world.drain("elsewhere")


@when(
    "the store counts {count:d} changes, is restored from a copy made before them and "
    'failure domain "{name}" is drained'
)
def count_restarts_lower(context: Any, count: int, name: str) -> None:
    world = context.world
    copy = world.store.copy()
    _write_changes(world, count)
    world.run(1.0)
    world.store.restore(copy)
    world.drain(name)


@when(
    'the store is restored from an older copy while daemon {number:d} is suspended, "{name}" '
    "is drained and {count:d} changes follow"
)
def count_passes_revision(context: Any, number: int, name: str, count: int) -> None:
    world = context.world
    copy = world.store.copy()
    _write_changes(world, 2)
    world.run(1.0)
    world.freeze(world.nodes[number])
    world.store.restore(copy)
    world.drain(name)
    _write_changes(world, count)
    world.run(0.5)
    world.thaw(world.nodes[number])


@then('every daemon has drained "{name}" after {seconds:g} s')
def drained_everywhere(context: Any, name: str, seconds: float) -> None:
    context.world.run(seconds)
    drained = [node.daemon.core.drains.state.domains for node in context.world.nodes]
    assert drained == [{name}] * len(drained), drained


@when("the store is copied and target {number:d} is replaced")
def copy_and_replace(context: Any, number: int) -> None:
    world = context.world
    context.copy = world.store.copy()
    world.end_target(world.nodes[number])
    world.start_target(world.nodes[number])
    world.run(REPLACED_S)


@then("the store has the current entries of all daemons and targets after {seconds:g} s")
def entries_current(context: Any, seconds: float) -> None:
    world = context.world
    world.run(seconds)
    items = world.store.items
    entries = [items[member_key(f"instance-{node.number}")] for node in world.nodes]
    members = [decode_member(entry.value) for entry in entries]
    targets = [node.target.id for node in world.nodes]
    assert [member.target for member in members] == targets, members
    assert len({entry.lease for entry in entries}) == len(entries), entries
    assert all(holder_key(target) in items for target in targets), list(items)


@when("the store is copied and target {number:d} crashes during a request")
def copy_and_crash(context: Any, number: int) -> None:
    world = context.world
    context.copy = world.store.copy()
    node = world.nodes[number]
    record = CrashRecord(node.target.id, world.now, ("content",))
    context.crash = crash_key(record.target)
    node.daemon.core.session.record_crash(record)
    world.run(1.0)
    assert context.crash in world.store.items


@then("the store has the crash record of target {number:d} after {seconds:g} s")
def crash_record_present(context: Any, number: int, seconds: float) -> None:
    context.world.run(seconds)
    assert context.crash in context.world.store.items, list(context.world.store.items)
