"""The coordinator's role in a cell: reads and writes at the platform's store.

The role is a key with a platform lease. Each write of the record requires that the key is unchanged
since this daemon took the role, so that a coordinator that was replaced cannot write any more.
Safety does not depend on that, since the record is replaced by compare-and-swap.
"""

from collections.abc import Callable
from typing import Any, Protocol

import eliot

from pearward_coordination.coordinator import Coordinator
from pearward_coordination.lease import LeaseTiming
from pearward_coordination.messages import Heartbeat, HeartbeatReply, PeerId
from pearward_protocol.etcd import KeyRevision, KeyValue, WatchEvent
from pearward_state.errors import InvalidRecord
from pearward_state.records import CellRecord, Instance, MemberState
from pearward_state.table import ServiceTable
from pearward_transport.clock import boot_time, sleep
from pearward_transport.errors import CasConflict, PlatformUnavailable
from pearward_transport.instances import INSTANCES, parse_instance
from pearward_transport.platform import KeyValueService, Watch

from .coordinator_election import role_holder
from .coordinator_log import CoordinatorLog
from .tasks import spawn

__all__ = ["CellCoordinator"]

KEEP_ALIVE_S = 5.0
ROLE_CHECK_S = 2.0
"""Interval of checks that this daemon still holds the role, so that a replaced holder stops."""
READ_RETRY_S = 0.3
"""Delay before the record is read again after the store failed to return it."""
SUCCESSOR_CHECK_S = 0.1
"""Interval at which a coordinator that is to give up the role looks for an active member."""
RELEASE_READ_S = 1.0
"""Interval at which the record is read again while it awaits releases: an owner that cannot reach
its peers writes its release there. Most handovers end sooner and cause no read."""
INSTANCE_POLL_S = 600.0
TABLE_POLL_S = 15.0
"""The watch reports changes at once; polling finds changes that a broken watch missed."""


class CellStore(Protocol):
    """Interface of the control plane that the coordinator's role uses."""

    @property
    def record(self) -> CellRecord | None:
        """Newest record of the cell that this daemon has received."""

    def record_written(self, record: CellRecord, value: bytes) -> None:
        """Adopt and distribute a record that has taken effect."""

    def table_read(self, service: str, value: bytes) -> None:
        """Adopt and distribute a table value that was read from the platform."""

    def reply(self, peer: PeerId, reply: HeartbeatReply) -> None:
        """Send the reply to a member's heartbeat."""


class CellCoordinator:
    """Coordinates a cell for as long as this daemon holds the role."""

    def __init__(
        self,
        reactor: Any,
        platform: KeyValueService,
        store: CellStore,
        me: PeerId,
        cell: str,
        service: str,
        timing: LeaseTiming,
        lease: int,
        on_lost: Callable[[str], None],
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._store = store
        self._me = me
        self._cell = cell
        self._service = service
        self._lease = lease
        self._on_lost = on_lost
        self._core = Coordinator(cell, timing, boot_time())
        self._record: CellRecord | None = None
        self._revision = 0
        self._role = KeyRevision(f"coordinator/{cell}", 0)
        """The role's key, with its revision from when this daemon took the role."""
        self._resigning = False
        """Whether this daemon is to give up the role, as its planned stop has begun."""
        self._table: ServiceTable | None = None
        self._writes = 0
        self._writing = False
        self._loaded = False
        self._stopped = False
        self._watch: Watch | None = None
        self._instances_watch: Watch | None = None
        self._instances: dict[str, Instance] = {}
        self._next_keep_alive = 0.0
        self._next_role_check = 0.0
        self._next_poll = 0.0
        self._next_table = 0.0
        self._next_release_read = 0.0
        self._polling = False
        self._log = CoordinatorLog(cell)

    @property
    def core(self) -> Coordinator:
        """The coordinator's state machine, which does no I/O."""
        return self._core

    @property
    def key(self) -> str:
        """Key of the cell's record."""
        return f"cell/{self._cell}"

    @property
    def lease(self) -> int:
        """The platform's lease of the role's key."""
        return self._lease

    # -- events ---------------------------------------------------------------

    def on_heartbeat(self, sender: PeerId, heartbeat: Heartbeat) -> None:
        """Process a member's heartbeat and send the reply."""
        version = self._record.version if self._record is not None else 0
        reply = self._core.on_heartbeat(sender, heartbeat, version, boot_time())
        self._store.reply(sender, reply)

    def start(self) -> None:
        """Read the record and the table, then start to coordinate."""
        spawn(self._load())

    def stop(self) -> None:
        """Stop coordinating and cancel the watches."""
        if self._stopped:
            return
        self._stopped = True
        for watch in (self._watch, self._instances_watch):
            if watch is not None:
                watch.stop()

    def resign(self) -> None:
        """Remove the role's key, so that another member takes the role at once.

        This daemon coordinates until the store has confirmed that, and for as long as no other
        member is active.
        """
        if self._resigning or self._stopped:
            return
        self._resigning = True
        if self._loaded:
            spawn(self._resign())

    def tick(self) -> None:
        """Run the periodic tasks that are due."""
        if self._stopped:
            return
        now = boot_time()
        if not self._loaded:
            return
        if now >= self._next_keep_alive:
            self._next_keep_alive = now + KEEP_ALIVE_S
            spawn(self._keep_alive())
        if now >= self._next_role_check:
            self._next_role_check = now + ROLE_CHECK_S
            spawn(self._check_role())
        if now >= self._next_poll and not self._polling:
            self._next_poll = now + INSTANCE_POLL_S
            self._watch_instances()
            spawn(self._poll_instances())
        if now >= self._next_table or self._watch is None:
            self._next_table = now + TABLE_POLL_S
            self._watch_table()
            spawn(self._read_table())
        if self._writing:
            return
        if self._is_outdated() or self._is_release_read_due(now):
            self._writing = True
            spawn(self._catch_up())
        else:
            self._plan(now)

    # -- the record -----------------------------------------------------------

    async def _load(self) -> None:
        """Read the record and the table, with retries until the platform responds."""
        while not self._stopped and not self._loaded:
            try:
                await self._read_role()
                if self._stopped:
                    return
                await self._read_record()
                await self._read_table()
                self._loaded = True
                if self._resigning:
                    spawn(self._resign())
            except PlatformUnavailable as error:
                eliot.log_message("pearward:platform-call-failed", call="load", error=str(error))
                await sleep(self._reactor, READ_RETRY_S)

    async def _read_role(self) -> None:
        """Read the revision of the role's key, which the write that took the role does not return.

        Give up the role if another daemon holds it.
        """
        holder = role_holder(await self._platform.get(self._role.key))
        if holder is not None and holder.incarnation == self._me.incarnation:
            self._role = KeyRevision(self._role.key, holder.revision)
        else:
            self._give_up_role(holder.address if holder is not None else "")

    async def _read_record(self) -> None:
        pair = await self._platform.get(self.key)
        if pair is None:
            self._record, self._revision = CellRecord(self._cell, self._service), 0
            return
        try:
            self._record = CellRecord.from_bytes(pair.value)
        except InvalidRecord as error:
            eliot.log_message("pearward:invalid-record", key=self.key, error=str(error))
            self._give_up_role("the record cannot be read")
            return
        self._revision = pair.revision
        self._store.record_written(self._record, pair.value)

    def _is_outdated(self) -> bool:
        """Return whether the cell acts on a newer record than this coordinator plans from.

        Another daemon may have coordinated for a short time and written a record. A plan from
        the older version may contain no change, so that no write conflict reveals the newer
        one: a daemon that was frozen as it took the role stayed out of its cell permanently
        (1 of 61 rounds of freezing daemons of a cell of four).
        """
        if self._record is None:
            return False
        known = self._store.record
        newest = max(known.version if known is not None else 0, self._core.newest_adopted)
        return newest > self._record.version

    def _is_release_read_due(self, now: float) -> bool:
        """Return whether the record has to be read again for a release that it awaits."""
        if self._record is None or not self._record.shards.predecessors:
            self._next_release_read = now + RELEASE_READ_S
            return False
        if now < self._next_release_read:
            return False
        self._next_release_read = now + RELEASE_READ_S
        return True

    async def _catch_up(self) -> None:
        """Read the record again, with a delay if the store still returns the older one."""
        try:
            await self._reread_record()
            if self._is_outdated():
                await sleep(self._reactor, READ_RETRY_S)
        finally:
            self._writing = False

    async def _reread_record(self) -> None:
        """Read the record; if another daemon has written it, check the role before the next plan.

        The write may be that of a newer coordinator, or an owner's own release.
        """
        before = self._record.version if self._record is not None else 0
        try:
            await self._read_record()
        except PlatformUnavailable as error:
            eliot.log_message(
                "pearward:platform-call-failed", call="reread record", error=str(error)
            )
            return
        version = self._record.version if self._record is not None else 0
        if version != before:
            eliot.log_message("pearward:record-read", cell=self._cell, version=version)
            await self._check_role()

    def _plan(self, now: float) -> None:
        """Write a new record if the reports received require one."""
        if self._record is None or self._table is None:
            return
        self._writes += 1
        write_id = f"{self._me.incarnation}:{self._role.revision}:{self._writes}"
        planned = self._core.plan(self._record, self._table, write_id, now)
        self._log.log_belief(self._core.belief, self._record.version)
        if planned is not None:
            self._writing = True
            spawn(self._write(planned))

    async def _write(self, planned: CellRecord) -> None:
        """Replace the record; if the reply is lost, read the record back."""
        value = planned.to_bytes()
        try:
            await self._platform.swap(self.key, self._revision, value, guard=self._role)
            await self._confirm_write(planned)
        except CasConflict:
            # An earlier write of this daemon took effect, another daemon has written, or this one
            # does not hold the role any more.
            await self._confirm_write(planned)
        except PlatformUnavailable as error:
            eliot.log_message(
                "pearward:platform-call-failed", call="write record", error=str(error)
            )
            await sleep(self._reactor, 0.2)
            await self._confirm_write(planned)
        finally:
            self._writing = False

    async def _confirm_write(self, planned: CellRecord) -> None:
        """Read the record that is in force after a write."""
        try:
            await self._read_record()
        except PlatformUnavailable as error:
            eliot.log_message("pearward:platform-call-failed", call="read back", error=str(error))
            await sleep(self._reactor, READ_RETRY_S)
            return
        record = self._record
        if record is None or record.write_id == planned.write_id:
            self._log.record_written(planned)
        else:
            await self._check_role()

    async def _check_role(self) -> None:
        """Give up the role if the platform's store names another holder."""
        try:
            holder = role_holder(await self._platform.get(self._role.key))
        except PlatformUnavailable as error:
            eliot.log_message("pearward:platform-call-failed", call="check role", error=str(error))
            return
        if holder is None or holder.revision != self._role.revision:
            self._give_up_role(holder.address if holder is not None else "")

    async def _resign(self) -> None:
        """Remove the role's key as soon as another member is active and the store responds.

        The members, which are notified, elect a successor at once. A conflict shows that an
        earlier try took effect or that another daemon holds the role.
        """
        while not self._stopped:
            if not self._has_active_successor():
                await sleep(self._reactor, SUCCESSOR_CHECK_S)
                continue
            try:
                await self._platform.swap(self._role.key, self._role.revision, None)
            except CasConflict as error:
                eliot.log_message("pearward:role-already-gone", cell=self._cell, error=str(error))
            except PlatformUnavailable as error:
                eliot.log_message("pearward:platform-call-failed", call="resign", error=str(error))
                await sleep(self._reactor, READ_RETRY_S)
                continue
            self._notify_resigned()
            self._give_up_role("")

    def _has_active_successor(self) -> bool:
        """Return whether the record has another active member, which can take the role."""
        return self._record is not None and any(
            m.state is MemberState.ACTIVE and m.incarnation != self._me.incarnation
            for m in self._record.members
        )

    def _notify_resigned(self) -> None:
        """Notify the other members that this daemon does not coordinate any more."""
        reply = HeartbeatReply(self._cell, False, 0)
        for member in self._record.members if self._record is not None else ():
            if member.incarnation != self._me.incarnation:
                self._store.reply(PeerId(member.incarnation, member.peer), reply)

    # -- the table and the list -----------------------------------------------

    def _watch_table(self) -> None:
        if self._watch is None:
            self._watch = self._platform.watch(
                f"table/{self._service}", self._table_changed, self._watch_lost
            )

    def _watch_lost(self) -> None:
        self._watch = None
        self._next_table = boot_time() + 0.5

    def _table_changed(self, events: list[WatchEvent]) -> None:
        for event in events:
            if event.value is not None:
                self._adopt_table(event.value)

    async def _read_table(self) -> None:
        try:
            pair = await self._platform.get(f"table/{self._service}")
        except PlatformUnavailable as error:
            if not self._loaded:
                raise
            eliot.log_message("pearward:platform-call-failed", call="read table", error=str(error))
            return
        if pair is not None:
            self._adopt_table(pair.value)

    def _adopt_table(self, value: bytes) -> None:
        try:
            table = ServiceTable.from_bytes(self._service, value)
        except InvalidRecord as error:
            eliot.log_message("pearward:invalid-table", service=self._service, error=str(error))
            return
        if self._table is None or table.version > self._table.version:
            self._table = table
            self._store.table_read(self._service, value)

    async def _poll_instances(self) -> None:
        self._polling = True
        try:
            pairs = await self._platform.scan(INSTANCES)
        except PlatformUnavailable as error:
            eliot.log_message(
                "pearward:platform-call-failed", call="list instances", error=str(error)
            )
            return
        finally:
            self._polling = False
        listed = [i for i in map(parse_instance, pairs) if i is not None]
        self._instances = {instance.name: instance for instance in listed}
        self._compare_instances()

    def _watch_instances(self) -> None:
        """Watch the list of instances: at full size, one read of it takes megabytes."""
        if self._instances_watch is None:
            self._instances_watch = self._platform.watch(
                INSTANCES, self._instances_changed, self._instances_lost, prefix=True
            )

    def _instances_lost(self) -> None:
        self._instances_watch = None
        self._next_poll = boot_time() + 1.0

    def _instances_changed(self, events: list[WatchEvent]) -> None:
        for event in events:
            name = event.key.removeprefix(INSTANCES)
            value = event.value
            pair = None if value is None else KeyValue(event.key, value, event.revision)
            instance = parse_instance(pair) if pair is not None else None
            if instance is None:
                self._instances.pop(name, None)
            else:
                self._instances[name] = instance
        self._compare_instances()

    def _compare_instances(self) -> None:
        # An empty list indicates a faulty list, not the loss of all instances.
        if self._instances and self._record is not None:
            self._core.instances_listed(self._instances.values(), self._record)

    async def _keep_alive(self) -> None:
        try:
            alive = await self._platform.keep_alive(self._lease)
        except PlatformUnavailable as error:
            eliot.log_message("pearward:platform-call-failed", call="keep alive", error=str(error))
            return
        if not alive:
            self._give_up_role("")

    def _give_up_role(self, successor: str) -> None:
        if not self._stopped:
            self.stop()
            eliot.log_message(
                "pearward:coordinator-role-lost", cell=self._cell, successor=successor
            )
            self._on_lost(successor)
