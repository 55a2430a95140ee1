"""Steps for releases through the store, with a store in memory and in virtual time."""

from contextlib import contextmanager
from dataclasses import replace
from random import Random
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from coordinator_role_steps import KEY, SERVICE, STEP_S, even_record

from pearward_coordination.agent import Action, CellAgent, GrantServer
from pearward_coordination.assignment import Joiner
from pearward_coordination.lease import LeaseTiming
from pearward_coordination.messages import PeerId
from pearward_coordination.ownership import Ownership
from pearward_coordination.release_record import awaited_release, without_release_of
from pearward_daemon.store_fallback import StoreFallback
from pearward_devtools.memory_store import MemoryStore
from pearward_state.records import CellRecord, MemberState
from pearward_state.shards import ShardMap
from pearward_transport.clock import boot_time

OWNER = PeerId("i0", "10.0.0.0:1")


class _Owner:
    """Agent of an owner whose server accepts each grant."""

    def __init__(self) -> None:
        self.now = 1000.0
        joiner = Joiner("i0", "at-i0", "s-i0", "d0", OWNER.address, "")
        self.agent = CellAgent(OWNER, joiner, SERVICE, LeaseTiming())

    @property
    def ownership(self) -> Ownership:
        return self.agent.ownership

    def record_written(self, record: CellRecord, value: bytes) -> None:
        self.act(self.agent.adopt(record, value, self.now))

    def act(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, GrantServer):
                self.act(self.agent.server_granted(action, True, self.now))


@contextmanager
def _at(now: float) -> Any:
    with (
        patch("pearward_daemon.store_fallback.boot_time", return_value=now),
        patch("pearward_daemon.cell_coordinator.boot_time", return_value=now),
    ):
        yield


def _run_until_released(context: Any, seconds: float) -> bool:
    """Advance the time until the record awaits no release of the owner; return whether it came."""
    owner = context.owner
    for _ in range(int(seconds / STEP_S)):
        owner.now += STEP_S
        with _at(owner.now):
            owner.act(owner.agent.tick(owner.now))
            context.fallback.tick(owner.now, isolated=context.isolated)
        if not awaited_release(CellRecord.from_bytes(context.store.value(KEY)), "i0"):
            return True
    return False


def _reassigned(record: CellRecord) -> CellRecord:
    """Return the record that assigns all shards of the first member to the second."""
    version = record.version + 1
    indexes = [index for index, owner in enumerate(record.shards.owners) if owner == 0]
    owners, epochs = record.shards.owners[:], record.shards.epochs[:]
    for index in indexes:
        owners[index], epochs[index] = 1, version
    starts = record.shards.starts
    shards = ShardMap(starts, owners, epochs, {starts[index]: (0,) for index in indexes})
    members = (replace(record.members[0], state=MemberState.RETIRED), *record.members[1:])
    return record.next_version("other:1", members=members, shards=shards)


@given("an owner that is its own only witness, {contact}")
def owner(context: Any, contact: str) -> None:
    context.isolated = contact == "cut off from its peers"
    context.store = MemoryStore()
    record = even_record(3)
    first = replace(record.members[0], witnesses=("i0",))
    context.first_record = replace(record, members=(first, *record.members[1:]))
    context.store.put(KEY, context.first_record.to_bytes())
    context.owner = _Owner()
    context.owner.record_written(context.first_record, context.first_record.to_bytes())
    context.fallback = StoreFallback(context.store, context.owner, SERVICE, "i0", Random(1))
    _run_until_released(context, STEP_S)
    context.store.reads.clear()


@given("one of its requests is running")
def request_running(context: Any) -> None:
    admission = context.owner.ownership.admit(1, context.owner.now)
    context.run = context.owner.ownership.started(admission.permit)


@when("that request ends")
def request_ends(context: Any) -> None:
    context.owner.act(context.owner.agent.finished(context.run, context.owner.now))


@when("the store's record assigns its shards to others")
def reassign_shards(context: Any) -> None:
    context.store.put(KEY, _reassigned(context.first_record).to_bytes())


@when("the store's record assigns its shards to others and its daemon gets that record")
def reassign_and_notify(context: Any) -> None:
    reassign_shards(context)
    record = _reassigned(context.first_record)
    context.owner.record_written(record, record.to_bytes())


@when("{seconds:d} seconds pass and nothing changes")
def time_passes_unchanged(context: Any, seconds: int) -> None:
    context.store.put(KEY, context.first_record.to_bytes())
    for _ in range(int(seconds / STEP_S)):
        _run_until_released(context, STEP_S)


@then("within {seconds:d} seconds the store's record no longer waits for its release")
def release_recorded(context: Any, seconds: int) -> None:
    assert _run_until_released(context, seconds), context.owner.ownership.released


@then("for {seconds:d} second the store's record waits for its release")
@then("for {seconds:d} seconds the store's record waits for its release")
def still_waits(context: Any, seconds: int) -> None:
    assert not _run_until_released(context, seconds)


@then("it has read the record {least:d} to {most:d} times")
def reads(context: Any, least: int, most: int) -> None:
    assert least <= context.store.reads.count(KEY) <= most, context.store.reads


@given("the record waits for the release of the fourth daemon")
def waits_for_fourth(context: Any) -> None:
    record = context.first_record
    shards = replace(record.shards, predecessors={record.shards.starts[0]: (3,)})
    context.waiting = record.next_version("other:1", shards=shards)
    context.store.put(KEY, context.waiting.to_bytes())
    context.daemon.record_written(context.waiting, context.waiting.to_bytes())
    context.cell_coordinator.tick()


@when("the fourth daemon writes its release to the store")
def fourth_releases(context: Any) -> None:
    context.released = without_release_of(
        context.waiting, "i3", context.waiting.version, "i3:release:1"
    )
    context.store.put(KEY, context.released.to_bytes())


@then("within {seconds:d} seconds the coordinator's daemon knows that record")
def coordinator_knows(context: Any, seconds: int) -> None:
    began = boot_time()
    for step in range(int(seconds / STEP_S)):
        with _at(began + step * STEP_S):
            context.cell_coordinator.tick()
    assert context.daemon.known == context.released, context.daemon.known
