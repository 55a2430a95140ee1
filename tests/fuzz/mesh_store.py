"""The store of the simulated platform, and one daemon's client of it, with faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from pearward_devtools.mesh.snapshots import SnapshotHistory, StoreSnapshot
from pearward_protocol.etcd import KeyValue, WatchEvent
from pearward_transport.errors import CasConflict, PlatformUnavailable
from pearward_transport.revisions import (
    check_same_era,
    encode_revision,
    expected_count,
    revision_count,
)
from pearward_transport.store import (
    CONFIGURATION,
    DRAINS,
    Changes,
    Expectation,
    HistoryUnavailable,
    LeaseNotFound,
    Put,
    Snapshot,
)

if TYPE_CHECKING:
    from twisted.internet.task import Clock

    from .mesh_world import Node, World

__all__ = ["FakeStore", "StoreClient"]

CALL_S = 0.004
TIMEOUT_S = 1.5


FIRST_LEASE = 100


_Copy = StoreSnapshot[KeyValue, WatchEvent]


class FakeStore:
    """The store itself: revisions, leases, transactions; it may be restored from an older copy."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.items: dict[str, KeyValue] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.history: list[WatchEvent] = []
        self.forgotten = 0
        self._next_lease = FIRST_LEASE
        self.calls = 0
        self.era = 0
        """Number of times that the store was restored from an older copy."""
        self._copies: SnapshotHistory[_Copy] = SnapshotHistory()

    def copy(self) -> _Copy:
        """Return a copy of everything."""
        leases = {lease: ttl_s for lease, (ttl_s, _) in self.leases.items()}
        history = list(self.history)
        return StoreSnapshot(dict(self.items), leases, self.revision, self._next_lease, history)

    def keep_copy(self) -> None:
        """Keep a copy at intervals, as a platform does."""
        self._copies.take_if_due(self._world.now, self.copy)

    def copy_of(self, at: float) -> _Copy:
        """Return the newest copy that was taken by a time, or the oldest one if there is none."""
        return self._copies.newest_by(at)

    def restore(self, copy: _Copy) -> None:
        """Restore a copy: later writes are lost, and revisions and lease ids are used again.

        The entries of operators are written again; the leases of the copy start a full term anew.
        """
        operators = [item for key, item in self.items.items() if key.startswith(DRAINS)]
        self.era += 1
        self.items = {k: i for k, i in copy.items.items() if not k.startswith(DRAINS)}
        self.leases = {lease: (ttl, self._world.now + ttl) for lease, ttl in copy.leases.items()}
        self.revision = copy.revision
        self._next_lease = copy.next_lease
        self.history = list(copy.history)
        self.forgotten = min(self.forgotten, copy.revision)
        for item in operators:
            self.revision += 1
            self.put(Put(item.key, item.value))

    def expire(self) -> None:
        """End the leases that have expired."""
        for lease, (_, until) in list(self.leases.items()):
            if until <= self._world.now:
                self.end(lease)

    def end(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item.lease == lease:
                self.remove(key)

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(WatchEvent(key, None, self.revision))

    def put(self, put: Put) -> None:
        """Write a key."""
        item = KeyValue(put.key, put.value, self.revision, put.lease)
        self.items[put.key] = item
        self.history.append(WatchEvent(put.key, put.value, self.revision))

    def commit(self, expected: list[Expectation], puts: list[Put]) -> int:
        """Commit a transaction; raises CasConflict or LeaseNotFound."""
        for e in expected:
            found = self.items.get(e.key)
            if (found.revision if found is not None else 0) != e.revision:
                raise CasConflict(e.key)
        for p in puts:
            if p.lease and p.lease not in self.leases:
                raise LeaseNotFound(str(p.lease))
        self.revision += 1
        for p in puts:
            self.put(p)
        return self.revision

    def grant(self, ttl_s: float) -> int:
        """Return a new lease."""
        self._next_lease += 1
        self.leases[self._next_lease] = (ttl_s, self._world.now + ttl_s)
        return self._next_lease

    def renew(self, lease: int) -> bool:
        """Renew a lease."""
        if lease not in self.leases:
            return False
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, self._world.now + ttl_s)
        return True


class StoreClient:
    """One daemon's client of the store; implements the product's interface FleetStore."""

    def __init__(self, world: World, node: Node, clock: Clock) -> None:
        self._world = world
        self._node = node
        self._clock = clock
        self._era = 0

    @property
    def era(self) -> int:
        return self._era

    def _deliver(self, era: int, receive: Callable[[Any], None], result: Any) -> None:
        """Deliver a response, and note the era of the store that sent it."""
        self._era = max(self._era, era)
        receive(result)

    def _call(self, work: Callable[[], Any], *, writes: bool = False) -> Deferred[Any]:
        """Run *work* at the store after a delay, unless the call or the response to it is lost."""
        world, node = self._world, self._node
        pending: Deferred[Any] = Deferred()
        world.store.calls += 1
        if world.store_down or node.cut_from_store:
            self._clock.callLater(
                TIMEOUT_S, pending.errback, PlatformUnavailable("cut off from the store")
            )
            return pending
        late_s = world.next_write_delay() if writes else 0.0
        if late_s:
            world.at(world.now + late_s, lambda: _ignore_conflicts(work))
            self._clock.callLater(TIMEOUT_S, pending.errback, PlatformUnavailable("response lost"))
            return pending

        def at_store() -> None:
            world.store.expire()
            era = world.store.era
            try:
                result = work()
            except Exception as error:
                self._clock.callLater(CALL_S / 2, self._deliver, era, pending.errback, error)
                return
            if node.cut_from_store:
                self._clock.callLater(
                    TIMEOUT_S, pending.errback, PlatformUnavailable("response lost")
                )
            else:
                self._clock.callLater(CALL_S / 2, self._deliver, era, pending.callback, result)

        world.at(world.now + CALL_S / 2, at_store)
        return pending

    async def get(self, key: str) -> KeyValue | None:
        def read() -> KeyValue | None:
            store = self._world.store
            item = store.items.get(key)
            return _in_era(item, store.era) if item is not None else None

        return await self._call(read)

    async def scan(self, prefix: str) -> Snapshot:
        store = self._world.store
        return await self._call(
            lambda: Snapshot(
                tuple(
                    _in_era(i, store.era)
                    for k, i in sorted(store.items.items())
                    if k.startswith(prefix)
                ),
                encode_revision(store.era, store.revision),
            )
        )

    async def commit(self, expected: list[Expectation], puts: list[Put]) -> int:
        store = self._world.store
        rows = [Expectation(e.key, expected_count(e, self._era)) for e in expected]
        return await self._call(
            lambda: encode_revision(store.era, store.commit(rows, puts)), writes=True
        )

    async def grant_lease(self, ttl_s: float) -> int:
        return await self._call(lambda: self._world.store.grant(ttl_s))

    async def keep_alive(self, lease: int) -> bool:
        return await self._call(lambda: self._world.store.renew(lease))

    async def revoke(self, lease: int) -> None:
        return await self._call(lambda: self._world.store.end(lease))

    async def operator_entries(self) -> Snapshot:
        # Written long before: its revision may precede the history that the store still has.
        configuration = KeyValue(CONFIGURATION, b"", 1)

        def read() -> Snapshot:
            store = self._world.store
            drains = [
                _in_era(item, store.era)
                for key, item in store.items.items()
                if key.startswith(DRAINS)
            ]
            return Snapshot((configuration, *drains), encode_revision(store.era, store.revision))

        return await self._call(read)

    async def operator_changes(self, after: int, wait_s: float) -> Changes:
        return await self._watch((CONFIGURATION, DRAINS), after, wait_s)

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        return await self._watch((prefix,), after, wait_s)

    async def _watch(self, prefixes: tuple[str, ...], after: int, wait_s: float) -> Changes:
        store = self._world.store
        until = self._world.now + wait_s
        count = revision_count(after)
        while True:

            def read() -> Changes:
                if count < store.forgotten or count > store.revision:
                    raise HistoryUnavailable(str(after))
                events = [
                    replace(e, revision=encode_revision(store.era, e.revision))
                    for e in store.history
                    if e.revision > count and e.key.startswith(prefixes)
                ]
                return Changes(tuple(events), encode_revision(store.era, store.revision))

            check_same_era(after, self._era)
            changes = await self._call(read)
            check_same_era(after, self._era)
            if changes.events or self._world.now >= until:
                return changes
            pause: Deferred[None] = Deferred()
            self._clock.callLater(0.1, pause.callback, None)
            await pause
            # Polling stands for a watch in the store itself, so it does not count as another call.
            store.calls -= 1


def _in_era(item: KeyValue, era: int) -> KeyValue:
    return replace(item, revision=encode_revision(era, item.revision))


def _ignore_conflicts(work: Callable[[], Any]) -> None:
    """Do a late write, to which no response is sent; its condition may have failed by then."""
    try:
        work()
    except (CasConflict, LeaseNotFound):
        return
