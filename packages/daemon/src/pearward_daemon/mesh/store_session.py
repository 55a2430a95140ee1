"""A daemon's session with the platform's store: its lease, its entries and its watches.

Three loops run concurrently: one renews the lease to which the daemon's entry is bound, one
watches the configuration and one the members. During an outage each continues with the last
known state, and afterwards reads again any changes that it may have missed.
"""

import traceback
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any, Protocol, TypeVar

from twisted.internet.defer import Deferred, succeed

from pearward_coordination.former_incarnation import Registration
from pearward_protocol.entries import (
    CRASHES,
    HOLDERS,
    KEY_MAPS,
    MEMBERS,
    crash_key,
    decode_crash,
    decode_departure,
    decode_holder,
    decode_key_map,
    decode_member,
    member_key,
)
from pearward_protocol.etcd import KeyValue, WatchEvent
from pearward_state.crashes import CrashRecord
from pearward_state.errors import InvalidRecord
from pearward_state.keymap import KeyMap
from pearward_state.members import Departure, Member
from pearward_transport.clock import boot_time, sleep
from pearward_transport.errors import PlatformError
from pearward_transport.store import CONFIGURATION, Changes, FleetStore, HistoryUnavailable

from .crash_entries import CrashEntries
from .departure_entry import DepartureEntry
from .log import DecisionLog
from .member_feed import MemberFeed
from .own_entry import OwnEntry
from .settings import MeshSettings

__all__ = ["SessionListener", "StoreSession"]

WATCH_TIMEOUT_S = 29.0
"""Maximum wait in s of one watch call. The store allows 30 s and limits the rate of calls, so that
each should wait for long."""
BATCH_DELAY_S = 0.25
"""Seconds between a change and the next watch call, so that changes in quick succession are
returned by one call."""
FIRST_RETRY_S = 0.1
MAX_FAILED_READ_RETRY_S = 15.0
"""Upper limit in s of the back-off after unexpected errors: each retry reads all entries."""
MAX_RETRY_S = 0.8
"""Upper limit in s of the back-off after failed calls, so that an expired lease or entry is
restored within 2 s."""


_T = TypeVar("_T")


class SessionListener(Protocol):
    """Receives what a session reads from the store."""

    def configuration_read(self, document: bytes) -> None:
        """Process a configuration document, possibly one that was read before."""

    def drains_read(self, items: list[KeyValue], revision: int) -> None:
        """Replace all drains of failure domains by those of a revision."""

    def drain_changed(self, event: WatchEvent) -> None:
        """Process a drain of a failure domain that was written or removed."""

    def drains_complete_to(self, revision: int) -> None:
        """Note that all changes of drains up to a revision were delivered."""

    def members_read(self, members: list[Member]) -> None:
        """Replace all members' entries."""

    def member_written(self, member: Member) -> None:
        """Process a member's entry that is new or has changed."""

    def member_gone(self, instance: str) -> None:
        """Process the removal of a member's entry."""

    def crashes_read(self, records: list[CrashRecord]) -> None:
        """Process crashes of targets that were read or have just been recorded."""

    def key_maps_read(self, key_maps: list[KeyMap], era: int) -> None:
        """Process the key maps of all services, read in an era of the store."""

    def store_availability_changed(self, since: float | None) -> None:
        """Process a change of availability: since when the store is available, or None."""

    def former_targets(
        self,
        targets: list[str],
        registration: Registration | None,
        departure: Departure | None,
    ) -> None:
        """Process the targets to which earlier incarnations granted keys, the newest last.

        *registration* is the member entry that the last of them left, if it is certainly recent;
        *departure* is the announced end of its target.
        """


class StoreSession:
    """The lease, the entries and the watches of one daemon."""

    def __init__(
        self,
        reactor: Any,
        settings: MeshSettings,
        store: FleetStore,
        log: DecisionLog,
        listener: SessionListener,
        feed: MemberFeed,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._store = store
        self._log = log
        self._listener = listener
        self._feed = feed
        self._crashes = CrashEntries(reactor, store, log, settings.quarantine.lasts_s, self._run)
        self._own_entry = OwnEntry(settings.instance, store, log, self._run, self._call_failed)
        self._departure_entry = DepartureEntry(reactor, settings.instance, store, log, self._run)
        self._former_read = False
        """Whether the entries of earlier processes have been read."""
        self._lease = 0
        self._available = True
        self._calls_failed = False
        """Whether the store has been unavailable since this daemon started."""
        self._stopped = False
        self._watch_generation = 0
        self._era: int | None = None
        """Last known era of the store; None before the first reply."""
        self._rollbacks = 0

    # -- properties -------------------------------------------------------------

    @property
    def lease(self) -> int:
        """Id of the lease; 0 while there is none."""
        return self._lease

    @property
    def available(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._available

    @property
    def store_rollbacks(self) -> int:
        """Number of restores of the store from an older copy since this daemon started."""
        return self._rollbacks

    @property
    def registered(self) -> bool:
        """Whether this daemon's entry is known to exist in the store."""
        return self._available and bool(self._lease) and self._own_entry.is_written

    # -- start and stop ----------------------------------------------------------

    def start(self) -> None:
        """Start all loops."""
        self._listener.store_availability_changed(boot_time())
        self._run(self._keep_lease())
        self._start_watches()

    def stop(self, *, keep_entry: bool) -> "Deferred[None]":
        """Stop the loops; unless the entry is kept, revoke the lease, which removes the entry."""
        self._stopped = True
        self._own_entry.stop()
        if keep_entry:
            return succeed(None)
        return Deferred.fromCoroutine(self._end_lease())

    def publish(self, member: Member | None, keyed: bool) -> None:
        """Write *member* as this daemon's entry; None leaves the entry unchanged."""
        self._own_entry.publish(member, keyed)

    def record_crash(self, record: CrashRecord) -> None:
        """Write the requests that a target was running when it crashed, to outlast this daemon."""
        self._crashes.write(record)

    def record_departure(self, departure: Departure) -> "Deferred[None]":
        """Write that the local target leaves, to outlast this daemon; fires when it is stored."""
        return self._departure_entry.write(departure)

    def remove_departure(self, target: str) -> None:
        """Remove the record of a departure, as the process under the id *target* has ended."""
        self._departure_entry.remove(target)

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine, and log an unexpected exception."""
        Deferred.fromCoroutine(work).addErrback(
            lambda failure: self._log.emit(
                "store_loop_failed", failure=True, error=failure.getTraceback()[-2000:]
            )
        )

    async def _end_lease(self) -> None:
        if not self._lease:
            return
        lease, self._lease = self._lease, 0
        self._own_entry.lease_expired()
        try:
            await self._store.revoke(lease)
        except PlatformError as error:
            self._log.emit("lease_revoke_failed", failure=True, lease=lease, error=str(error))

    # -- the lease ------------------------------------------------------------------

    async def _keep_lease(self) -> None:
        retry_s = FIRST_RETRY_S
        while not self._stopped:
            began = boot_time()
            try:
                if self._lease:
                    await self._renew()
                else:
                    await self._create_lease()
                self._call_succeeded()
            except PlatformError as error:
                self._call_failed(error)
            except Exception:
                self._loop_failed()
            if self._lease:
                retry_s = FIRST_RETRY_S
                pause_s = self._settings.store.keep_interval_s - (boot_time() - began)
                await sleep(self._reactor, max(FIRST_RETRY_S, pause_s))
            else:
                await sleep(self._reactor, retry_s)
                retry_s = min(MAX_RETRY_S, retry_s * 2)

    async def _renew(self) -> None:
        lease = self._lease
        if not await self._store.keep_alive(lease):
            self._log.emit("lease_lost", failure=True, lease=lease)
            self._lease = 0
            self._own_entry.lease_expired()
            return
        await self._own_entry.write()

    async def _create_lease(self) -> None:
        self._lease = await self._store.grant_lease(self._settings.store.lease_ttl_s)
        self._log.emit("lease_created", lease=self._lease)
        await self._own_entry.write_under_lease(self._lease)

    # -- entries ------------------------------------------------------------------------

    def _note_former_targets(self, items: Iterable[KeyValue], asked_at: float) -> None:
        """Pass on the targets to which earlier incarnations of this daemon granted keys."""
        entries = sorted(
            (item for item in items if item.key.startswith(HOLDERS)), key=lambda i: i.revision
        )
        holders = self._decoded(entries, decode_holder)
        self._listener.former_targets(
            [h.target for h in holders if h.instance == self._settings.instance],
            self._former_registration(items, asked_at),
            self._former_departure(items),
        )

    def _former_departure(self, items: Iterable[KeyValue]) -> Departure | None:
        """Return the departure that an earlier process has recorded; None after the first read."""
        if self._former_read:
            return None
        self._former_read = True
        own = [item for item in items if item.key == self._departure_entry.key]
        for departure in self._decoded(own, decode_departure):
            self._departure_entry.found(departure, own[0].lease)
            return departure
        return None

    def _former_registration(
        self, items: Iterable[KeyValue], asked_at: float
    ) -> Registration | None:
        """Return the entry that an earlier incarnation of this daemon renewed until recently.

        The lease of an entry that is still there had been renewed within its term, unless the store
        was unavailable, as leases may not expire meanwhile.
        """
        if self._calls_failed or self._own_entry.is_written:
            return None
        own = [item for item in items if item.key == self._own_entry.key]
        for member in self._decoded_members(own):
            return Registration(member.target, asked_at - self._settings.store.lease_ttl_s)
        return None

    def _decoded(self, items: Any, decode: Callable[[bytes], Any]) -> list[Any]:
        """Decode entries; log and omit those that cannot be decoded."""
        result = []
        for item in items:
            try:
                result.append(decode(item.value))
            except InvalidRecord as error:
                self._unreadable(item.key, str(error))
        return result

    def _decoded_members(self, items: Iterable[KeyValue]) -> list[Member]:
        return self._decoded_with_key(
            items, decode_member, lambda member: member_key(member.instance)
        )

    def _decoded_crashes(self, items: Iterable[KeyValue]) -> list[CrashRecord]:
        return self._decoded_with_key(items, decode_crash, lambda record: crash_key(record.target))

    def _decoded_with_key(
        self, items: Iterable[KeyValue], decode: Callable[[bytes], _T], key_of: Callable[[_T], str]
    ) -> list[_T]:
        """Decode entries that contain their own key; omit those that stand under another key."""
        result: list[_T] = []
        for item in items:
            for decoded in self._decoded([item], decode):
                if key_of(decoded) == item.key:
                    result.append(decoded)
                else:
                    self._unreadable(item.key, f"contains the entry of {key_of(decoded)}")
        return result

    def _unreadable(self, key: str, error: str) -> None:
        """Log an entry that cannot be used; the other entries remain valid."""
        self._log.emit("entry_unreadable", failure=True, key=key, error=error)

    # -- watches ---------------------------------------------------------------------------

    def _start_watches(self) -> None:
        """Start or restart the watches; loops of older generations end by themselves."""
        self._watch_generation += 1
        self._run(self._follow_operators(self._watch_generation))
        self._run(self._follow_members(self._watch_generation))

    async def _follow_operators(self, number: int) -> None:
        """Watch the configuration and the drains together, which takes half the calls."""

        async def read() -> int:
            snapshot = await self._store.operator_entries()
            for item in snapshot.items:
                if item.key == CONFIGURATION:
                    self._listener.configuration_read(item.value)
            drains = [item for item in snapshot.items if item.key != CONFIGURATION]
            self._listener.drains_read(drains, snapshot.revision)
            return snapshot.revision

        def changed(event: WatchEvent) -> None:
            if event.key != CONFIGURATION:
                self._listener.drain_changed(event)
            elif event.value is not None:
                self._listener.configuration_read(event.value)

        await self._follow(
            number, read, self._store.operator_changes, changed, lambda: BATCH_DELAY_S,
            self._listener.drains_complete_to,
        )  # fmt: skip

    async def _follow_members(self, number: int) -> None:
        async def read() -> int:
            asked_at = boot_time()
            # One call for all entries: the store limits the rate of calls, not their size.
            snapshot = await self._store.scan("")
            followed = [i for i in snapshot.items if i.key.startswith(MEMBERS)]
            crashes = [i for i in followed if i.key.startswith(CRASHES)]
            self._listener.crashes_read(self._decoded_crashes(crashes))
            members = [i for i in followed if not i.key.startswith(CRASHES)]
            self._listener.members_read(self._decoded_members(members))
            own = next((item for item in members if item.key == self._own_entry.key), None)
            if own is None:
                self._own_entry.entry_missing()
            else:
                self._own_entry.seen(own)
            maps = [i for i in snapshot.items if i.key.startswith(KEY_MAPS)]
            key_maps = self._decoded(maps, decode_key_map)
            self._log.emit(
                "store_read", revision=snapshot.revision, era=self._store.era,
                members=len(members), key_maps={m.service: m.version for m in key_maps},
            )  # fmt: skip
            self._listener.key_maps_read(key_maps, self._store.era)
            self._note_former_targets(snapshot.items, asked_at)
            self._feed.entries_read(snapshot.revision)
            return snapshot.revision

        def changed(event: WatchEvent) -> None:
            if event.key.startswith(CRASHES):
                self._crash_changed(event)
                return
            if event.value is None:
                self._listener.member_gone(event.key.removeprefix(MEMBERS))
                if event.key == self._own_entry.key:
                    self._own_entry.entry_missing()
                return
            item = KeyValue(event.key, event.value, event.revision)
            if item.key == self._own_entry.key and self._own_entry.seen(item):
                return
            for member in self._decoded_members([item]):
                self._listener.member_written(member)

        await self._follow(
            number,
            read,
            self._feed.changes,
            changed,
            self._members_batch_delay_s,
            fed_by_peers=True,
        )

    def _crash_changed(self, event: WatchEvent) -> None:
        """Process a recorded crash; the removal of an entry does not shorten its quarantine."""
        if event.value is not None:
            item = KeyValue(event.key, event.value, event.revision)
            self._listener.crashes_read(self._decoded_crashes([item]))

    def _members_batch_delay_s(self) -> float:
        """Return the batch delay: a watcher's in s, 0 for others, whose watchers batch for them."""
        return BATCH_DELAY_S if self._feed.is_watcher else 0.0

    async def _follow(
        self,
        number: int,
        read: Callable[[], Awaitable[int]],
        wait: Callable[[int, float], Awaitable[Changes]],
        changed: Callable[[WatchEvent], None],
        batch_delay: Callable[[], float],
        complete_to: Callable[[int], None] = lambda revision: None,
        *,
        fed_by_peers: bool = False,
    ) -> None:
        """Read once, then process changes as they arrive; read again after a gap.

        *batch_delay* returns the seconds between changes and the next call, *complete_to*
        receives the revision up to which all changes have been processed. With *fed_by_peers*,
        changes can arrive from other daemons while the store is unavailable.
        """
        after: int | None = None
        retry_s = FIRST_RETRY_S
        while not self._stopped and number == self._watch_generation:
            try:
                if after is None:
                    after = await read()
                    self._check_era()
                changes = await wait(after, WATCH_TIMEOUT_S)
                self._check_era()
                if number != self._watch_generation:
                    return
                processed = [self._process(event, changed) for event in changes.events]
                after = max(after, changes.revision)
                complete_to(after)
                if not all(processed):
                    after = None
                retry_s = FIRST_RETRY_S
                await sleep(self._reactor, batch_delay() if changes.events else 0.0)
            except HistoryUnavailable:
                self._log.emit("store_history_unavailable", after=after)
                self._check_era()
                after = None
            except PlatformError as error:
                # The next call continues after the last revision: changes missed meanwhile are
                # returned, or HistoryUnavailable is raised if the store has compacted them.
                self._calls_failed = True
                self._log.emit("watch_failed", after=after, error=str(error))
                if not self._available and not (fed_by_peers and after is not None):
                    # The lease loop keeps calling, and restarts the watches on the first success.
                    return
                await sleep(self._reactor, retry_s)
                retry_s = min(MAX_RETRY_S, retry_s * 2)
            except Exception:
                # No entry of another writer may end this loop.
                self._loop_failed()
                after = None
                await sleep(self._reactor, retry_s)
                retry_s = min(MAX_FAILED_READ_RETRY_S, retry_s * 2)

    def _process(self, event: WatchEvent, changed: Callable[[WatchEvent], None]) -> bool:
        """Process one change and return True, or False after an unexpected error."""
        try:
            changed(event)
        except Exception:
            self._loop_failed(key=event.key)
            return False
        return True

    def _loop_failed(self, **fields: Any) -> None:
        """Log an unexpected error in a loop, which continues."""
        self._log.emit(
            "store_loop_failed", failure=True, error=traceback.format_exc()[-2000:], **fields
        )

    # -- availability ---------------------------------------------------------------------

    def _check_era(self) -> None:
        """Write all entries of this daemon again if the store was restored from an older copy.

        Such a store has lost writes that it acknowledged in the last seconds before, without any
        report of which.
        """
        before, self._era = self._era, self._store.era
        if before == self._era:
            return
        if before is None:
            self._log.emit("store_era", era=self._era)
            return
        # Lease ids may be reused after a restore: this one possibly is another daemon's now.
        self._lease = 0
        self._own_entry.store_restored()
        self._departure_entry.store_restored()
        crashes = self._crashes.store_restored()
        self._rollbacks += 1
        self._log.emit(
            "store_restored", failure=True, era=self._era, previous_era=before,
            crashes_written=crashes,
        )  # fmt: skip
        # Read all again, as the store now holds older entries and lacks some.
        self._start_watches()

    def _call_succeeded(self) -> None:
        self._check_era()
        if not self._available:
            self._available = True
            self._feed.set_store_available(True)
            self._log.emit("store_available", lease=self._lease)
            self._listener.store_availability_changed(boot_time())
            # Watches on connections that failed silently would continue to wait.
            self._start_watches()

    def _call_failed(self, error: PlatformError) -> None:
        self._calls_failed = True
        if self._available:
            self._available = False
            self._feed.set_store_available(False)
            self._log.emit("store_unavailable", failure=True, error=str(error))
            self._listener.store_availability_changed(None)
