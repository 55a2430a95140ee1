"""Steps for a coordinator that was replaced and goes on, with a store in memory."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from coordinator_role_steps import (
    KEY,
    SERVICE,
    STEP_S,
    even_record,
    heartbeat_of,
    member_of,
    service_table,
)
from twisted.internet.task import Clock

from pearward_coordination.lease import LeaseTiming
from pearward_coordination.messages import HeartbeatReply, PeerId
from pearward_daemon.cell_coordinator import CellCoordinator
from pearward_devtools.memory_store import MemoryStore
from pearward_state.records import CellRecord

HEARTBEAT_TURNS = 5
"""Number of turns of a coordinator between two heartbeats of a member."""
TURNS = 30
"""Number of turns, in less time than passes between two periodic checks of the role."""
START_S = 1000.0


class _LoggingStore(MemoryStore):
    """A store that keeps the record of each write."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[CellRecord] = []

    def put(self, key: str, value: bytes) -> None:
        super().put(key, value)
        if key == KEY:
            self.written.append(CellRecord.from_bytes(value))


class _Daemon:
    """Stand-in for a daemon that sends its records to another one, where they arrive next turn."""

    def __init__(self) -> None:
        self.record: CellRecord | None = None
        self.send: Callable[[CellRecord], None] = lambda record: None
        self._received: list[CellRecord] = []

    def record_written(self, record: CellRecord, value: bytes) -> None:
        if self._adopt(record):
            self.send(record)

    def receive(self, record: CellRecord) -> None:
        self._received.append(record)

    def begin_turn(self) -> None:
        for record in self._received:
            self._adopt(record)
        self._received.clear()

    def _adopt(self, record: CellRecord) -> bool:
        newer = self.record is None or record.version > self.record.version
        if newer:
            self.record = record
        return newer

    def table_read(self, service: str, value: bytes) -> None:
        """Ignore the table, as nothing is routed."""

    def reply(self, peer: PeerId, reply: HeartbeatReply) -> None:
        """Ignore the reply, as no daemon waits for it."""


@dataclass
class _Side:
    """One of the two coordinators and its daemon."""

    coordinator: CellCoordinator
    daemon: _Daemon

    def turn(self) -> None:
        self.daemon.begin_turn()
        self.coordinator.tick()


@contextmanager
def _at(now: float) -> Iterator[None]:
    with patch("pearward_daemon.cell_coordinator.boot_time", return_value=now):
        yield


def _peer(number: int, count: int) -> PeerId:
    member = member_of(number, count)
    return PeerId(member.incarnation, member.peer)


def _take_role(context: Any, number: int) -> _Side:
    """Let a daemon take the role and coordinate."""
    me, daemon = _peer(number, context.count), _Daemon()
    role = f'{{"incarnation": "{me.incarnation}", "address": "{me.address}"}}'
    context.store.put(f"coordinator/{SERVICE}", role.encode())
    coordinator = CellCoordinator(
        Clock(), context.store, daemon, me, SERVICE, SERVICE, LeaseTiming(), 1, lambda holder: None
    )
    for other in range(context.count):
        coordinator.core.peer_seen(_peer(other, context.count))
    coordinator.start()
    coordinator.tick()
    return _Side(coordinator, daemon)


def _report(context: Any, side: _Side, number: int, *, leaving: bool = False) -> None:
    assert side.daemon.record is not None
    heartbeat = heartbeat_of(context, number, side.daemon.record.version)
    side.coordinator.on_heartbeat(
        _peer(number, context.count), replace(heartbeat, draining=leaving)
    )


@given(
    "two coordinators of a cell of {count:d} daemons, the first of which was replaced a moment ago"
)
def two_coordinators(context: Any, count: int) -> None:
    context.count, context.store = count, _LoggingStore()
    context.first_record = even_record(count)
    context.store.put(KEY, context.first_record.to_bytes())
    context.store.put(f"table/{SERVICE}", service_table(count).to_bytes())
    with _at(START_S):
        context.first = _take_role(context, 0)
        for number in range(count):
            _report(context, context.first, number)
        context.first.turn()
        context.second = _take_role(context, 1)
    context.first.daemon.send = context.second.daemon.receive
    context.second.daemon.send = context.first.daemon.receive


@when("a member that only the second one hears of leaves, and {order} in each turn")
def member_leaves(context: Any, order: str) -> None:
    sides = [context.first, context.second]
    if order == "the second acts first":
        sides.reverse()
    leaving = context.count - 1
    for turn in range(TURNS):
        with _at(START_S + (turn + 1) * STEP_S):
            if turn % HEARTBEAT_TURNS == 0:
                _report(context, context.first, 0)
                for number in range(context.count):
                    _report(context, context.second, number, leaving=number == leaving)
            for side in sides:
                side.turn()


@then("the first coordinator has written no record after the second one's first")
def no_more_records(context: Any) -> None:
    writers = [record.write_id.partition(":")[0] for record in context.store.written]
    assert "i1" in writers, writers
    later = writers[writers.index("i1") :]
    assert "i0" not in later, f"{later.count('i0')} of {len(later)} records: {later}"
