"""Daemons, targets and a store in one process and in virtual time, with an oracle.

The daemons are the real decisions (MeshCore and all below it); the targets enforce leases
of their own by clocks that may run slow, as the users' targets do; the store can be cut
off, lose answers, do writes late and forget entries.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from pearward_coordination.grants import GrantTiming, HeldRow, ReleasedRow
from pearward_coordination.messages import ControlMessage, PeerId
from pearward_coordination.retry_window import RetryRule
from pearward_daemon.mesh import core, key_planner, store_session, target_lease, target_side
from pearward_daemon.mesh.core import MeshCore
from pearward_daemon.mesh.dialect import BeatAnswer, TargetBeat
from pearward_daemon.mesh.log import DecisionLog
from pearward_daemon.mesh.settings import Address, MeshSettings, StoreSettings
from pearward_protocol.control import decode_control, encode_control
from pearward_protocol.etcd import KeyValue, WatchEvent
from pearward_state.members import TargetState
from pearward_state.routes import RoutingTable, ServiceRules
from pearward_transport.errors import CasConflict, PlatformUnavailable, ServerUnreachable
from pearward_transport.store import (
    Changes,
    Expectation,
    HistoryGone,
    LeaseGone,
    Put,
    Snapshot,
)

__all__ = ["FakeTarget", "Node", "World"]

SERVICE = "roster-app"
TICK_S = 0.02
CALL_S = 0.004
TIMEOUT_S = 1.5
LINK_S = 0.002
BEAT_S = 0.87
SOON_S = 0.1
KEYS = tuple(range(0, 65_536, 1024))
"""Keys that the oracle looks at."""


class FakeStore:
    """The store itself: revisions, leases, transactions."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.items: dict[str, KeyValue] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.history: list[WatchEvent] = []
        self.forgotten = 0
        self._next_lease = 100
        self.calls = 0

    def expire(self) -> None:
        """Let leases run out."""
        for lease, (_, until) in list(self.leases.items()):
            if until <= self._world.now:
                self.end(lease)

    def end(self, lease: int) -> None:
        """End a lease; its keys go."""
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
        """Do a transaction; raises CasConflict or LeaseGone."""
        for e in expected:
            found = self.items.get(e.key)
            if (found.revision if found is not None else 0) != e.revision:
                raise CasConflict(e.key)
        for p in puts:
            if p.lease and p.lease not in self.leases:
                raise LeaseGone(str(p.lease))
        self.revision += 1
        for p in puts:
            self.put(p)
        return self.revision

    def grant(self, ttl_s: float) -> int:
        """Return a new lease."""
        self._next_lease += 1
        self.leases[self._next_lease] = (ttl_s, self._world.now + ttl_s)
        return self._next_lease

    def keep(self, lease: int) -> bool:
        """Renew a lease."""
        if lease not in self.leases:
            return False
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, self._world.now + ttl_s)
        return True


class StoreClient:
    """One daemon's way to the store; implements the product's port."""

    def __init__(self, world: World, node: Node, clock: Clock) -> None:
        self._world = world
        self._node = node
        self._clock = clock

    def _call(self, work: Callable[[], Any], *, writes: bool = False) -> Deferred[Any]:
        """Run *work* at the store after a while, unless the call or its answer gets lost."""
        world, node = self._world, self._node
        answer: Deferred[Any] = Deferred()
        world.store.calls += 1
        if world.store_down or node.cut_from_store:
            self._clock.callLater(TIMEOUT_S, answer.errback, PlatformUnavailable("cut"))
            return answer
        late_s = world.next_write_late() if writes else 0.0
        if late_s:
            world.at(world.now + late_s, lambda: _quietly(work))
            self._clock.callLater(TIMEOUT_S, answer.errback, PlatformUnavailable("lost"))
            return answer

        def at_store() -> None:
            world.store.expire()
            try:
                result = work()
            except Exception as error:
                self._clock.callLater(CALL_S / 2, answer.errback, error)
                return
            if node.cut_from_store:
                self._clock.callLater(TIMEOUT_S, answer.errback, PlatformUnavailable("lost"))
            else:
                self._clock.callLater(CALL_S / 2, answer.callback, result)

        world.at(world.now + CALL_S / 2, at_store)
        return answer

    async def get(self, key: str) -> KeyValue | None:
        return await self._call(lambda: self._world.store.items.get(key))

    async def scan(self, prefix: str) -> Snapshot:
        store = self._world.store
        return await self._call(
            lambda: Snapshot(
                tuple(i for k, i in sorted(store.items.items()) if k.startswith(prefix)),
                store.revision,
            )
        )

    async def commit(self, expected: list[Expectation], puts: list[Put]) -> int:
        return await self._call(lambda: self._world.store.commit(expected, puts), writes=True)

    async def grant_lease(self, ttl_s: float) -> int:
        return await self._call(lambda: self._world.store.grant(ttl_s))

    async def keep_alive(self, lease: int) -> bool:
        return await self._call(lambda: self._world.store.keep(lease))

    async def revoke(self, lease: int) -> None:
        return await self._call(lambda: self._world.store.end(lease))

    async def configuration(self) -> Snapshot:
        # Written long ago: its own revision lies before any history that was forgotten.
        item = KeyValue("config", b"", 1)
        return await self._call(lambda: Snapshot((item,), self._world.store.revision))

    async def configuration_changes(self, after: int, wait_s: float) -> Changes:
        return await self._watch("config", after, wait_s)

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        return await self._watch(prefix, after, wait_s)

    async def _watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        store = self._world.store
        until = self._world.now + wait_s
        while True:

            def look() -> Changes:
                if after < store.forgotten:
                    raise HistoryGone(str(after))
                events = [
                    e for e in store.history if e.revision > after and e.key.startswith(prefix)
                ]
                return Changes(tuple(events), store.revision)

            changes = await self._call(look)
            if changes.events or self._world.now >= until:
                return changes
            pause: Deferred[None] = Deferred()
            self._clock.callLater(0.1, pause.callback, None)
            await pause
            # Looking again is the store's own work here, not another call.
            store.calls -= 1


def _quietly(work: Callable[[], Any]) -> None:
    """Do a write whose answer nobody waits for; its condition may fail by then."""
    try:
        work()
    except (CasConflict, LeaseGone):
        return


@dataclass
class _Row:
    """Keys that a target holds."""

    first: int
    last: int
    fence: int
    until: float
    released_at: float | None = None
    """When the work on keys that were left out will have ended."""


class FakeTarget:
    """A target that enforces its own lease, by a clock that may run slow."""

    def __init__(self, world: World, node: Node, number: int, rate: float) -> None:
        self._world = world
        self.node = node
        self.id = f"i-{node.number}-{number}"
        self._rate = rate
        self._sequence = 0
        self.alive = True
        self.draining = False
        self.rows: list[_Row] = []
        self._freed: list[ReleasedRow] = []
        self._next_beat = world.now + 0.1 * (node.number % 5)
        self._answered = 0

    def holds(self, key: int) -> int:
        """Return the fence under which the target holds a key now, or 0."""
        if not self.alive:
            return 0
        for row in self.rows:
            if row.first <= key <= row.last and row.until > self._world.now:
                return row.fence
        return 0

    def step(self) -> None:
        """Let leases run out, let keys go whose work has ended, and beat."""
        if not self.alive:
            return
        now = self._world.now
        for row in list(self.rows):
            if row.until <= now:
                self.rows.remove(row)
            elif row.released_at is not None and row.released_at <= now:
                self.rows.remove(row)
                token = f"{self.id}/{row.first}/{row.fence}"
                self._freed.append(ReleasedRow(row.first, row.last, token))
                self._next_beat = min(self._next_beat, now)
        if now >= self._next_beat:
            self._beat(now)

    def _beat(self, now: float) -> None:
        leaving = any(row.released_at is not None for row in self.rows)
        self._next_beat = now + (SOON_S if leaving else BEAT_S)
        self._sequence += 1
        sequence, freed = self._sequence, tuple(self._freed)
        beat = TargetBeat(
            target=self.id,
            service=SERVICE,
            address="127.0.0.1:1",
            failure_domain="a",
            slots=12,
            state=TargetState.DRAINING if self.draining else TargetState.READY,
            cold_s=0.0,
            sequence=sequence,
            held=tuple(HeldRow(r.first, r.last, r.fence) for r in self.rows),
            released=freed,
        )
        daemon = self.node.daemon

        def deliver() -> None:
            if not self.alive or daemon is not self.node.daemon or daemon is None:
                return
            answer = daemon.core.side.beat(beat)
            answer.addCallback(
                lambda a: self._world.at(
                    self._world.now + LINK_S, lambda: self._take(sequence, now, freed, a)
                )
            )

        self._world.deliver(daemon, self._world.now + LINK_S + self.node.beat_delay_s, deliver)

    def _take(
        self, sequence: int, sent: float, freed: tuple[ReleasedRow, ...], answer: BeatAnswer
    ) -> None:
        if not self.alive:
            return
        self._freed = [row for row in self._freed if row not in freed]
        if answer.rows is None or sequence < self._answered:
            return
        self._answered = sequence
        until = sent + answer.hold_s / self._rate
        if until <= self._world.now:
            return
        granted = [_Row(r.first, r.last, r.fence, until) for r in answer.rows]
        old = [row for row in self.rows if row.until > self._world.now]
        self.rows = granted
        for row in old:
            for first, last in _left_out(row, granted):
                work_s = self._world.work_s()
                released_at = row.released_at or self._world.now + work_s
                self.rows.append(_Row(first, last, row.fence, row.until, released_at))
                self._next_beat = min(self._next_beat, self._world.now + SOON_S)
        self._world.took(self, granted)


def _left_out(row: _Row, granted: list[_Row]) -> list[tuple[int, int]]:
    """Return the parts of a row that no granted row holds."""
    parts: list[tuple[int, int]] = []
    start = row.first
    for g in sorted(granted, key=lambda r: r.first):
        if g.last < start or g.first > row.last:
            continue
        if g.first > start:
            parts.append((start, g.first - 1))
        start = max(start, g.last + 1)
    if start <= row.last:
        parts.append((start, row.last))
    return parts


class _Client:
    """The connections to a target, as TargetSide asks for them."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self.open_connections = 0

    def close(self) -> None:
        """Nothing is kept."""

    def connect(self) -> Deferred[Any]:
        target = self._node.target
        if target is None or not target.alive:
            return fail(ServerUnreachable("refused", refused=True))
        return succeed(mock.Mock())


class _Dialect:
    """Reads the one configuration of the world."""

    def configuration(self, document: bytes) -> RoutingTable:
        return RoutingTable(1, (), {SERVICE: ServiceRules(SERVICE, True, 100, 2.0)})


@dataclass
class Daemon:
    """One life of a daemon."""

    core: MeshCore
    clock: Clock
    me: PeerId
    alive: bool = True
    frozen: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)


@dataclass
class Node:
    """One instance."""

    number: int
    daemon: Daemon | None = None
    target: FakeTarget | None = None
    cut_from_store: bool = False
    cut_from_peers: bool = False
    beat_delay_s: float = 0.0
    lives: int = 0


class World:
    """All instances, the links between them, the store and the oracle."""

    def __init__(self, count: int, timing: GrantTiming, seed: int = 1) -> None:
        import random

        self.now = 1000.0
        self._rng = random.Random(seed)
        self._timing = timing
        self.store = FakeStore(self)
        self.store_down = False
        self.cut_links: set[tuple[int, int]] = set()
        """Links (from and to an instance, by number) on which messages are lost."""
        self._late_writes: list[float] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = 0
        self._fences: dict[int, dict[str, int]] = {key: {} for key in KEYS}
        self.nodes = [Node(n) for n in range(count)]
        for node in self.nodes:
            self.start_target(node)
            self.start_daemon(node)

    # -- time ------------------------------------------------------------------------

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Run *call* at a time."""
        self._counter += 1
        self._events.append((when, self._counter, call))

    def deliver(self, daemon: Daemon | None, when: float, call: Callable[[], None]) -> None:
        """Run *call* at a daemon, later where it is frozen, never where it is gone."""

        def arrive() -> None:
            if daemon is None or not daemon.alive:
                return
            if daemon.frozen:
                daemon.waiting.append(call)
            else:
                call()

        self.at(when, arrive)

    def step(self) -> None:
        """Let one tick pass."""
        self.now += TICK_S
        self.store.expire()
        due = sorted(e for e in self._events if e[0] <= self.now)
        self._events = [e for e in self._events if e[0] > self.now]
        for _, _, call in due:
            call()
        for node in self.nodes:
            if node.target is not None:
                node.target.step()
            daemon = node.daemon
            if daemon is not None and daemon.alive and not daemon.frozen:
                daemon.clock.advance(self.now - daemon.clock.seconds())

    def run(self, seconds: float) -> None:
        """Let time pass and look at every tick."""
        for _ in range(round(seconds / TICK_S)):
            self.step()
            self.check()

    # -- the oracle ------------------------------------------------------------------

    def check(self) -> None:
        """Assert that no key has two holders."""
        for key in KEYS:
            holders = [
                n.target.id for n in self.nodes if n.target is not None and n.target.holds(key)
            ]
            assert len(holders) <= 1, (round(self.now, 2), key, holders)

    def took(self, target: FakeTarget, rows: list[_Row]) -> None:
        """Assert that a fence is above all under which others had the key."""
        for key in KEYS:
            for row in rows:
                if not row.first <= key <= row.last:
                    continue
                others = [f for t, f in self._fences[key].items() if t != target.id]
                assert row.fence > max(others, default=0), (key, target.id, row.fence, others)
                self._fences[key][target.id] = row.fence

    def served(self) -> int:
        """Return how many of the looked-at keys have a holder."""
        return sum(
            1
            for key in KEYS
            if any(n.target is not None and n.target.holds(key) for n in self.nodes)
        )

    # -- faults ------------------------------------------------------------------------

    def work_s(self) -> float:
        """Return how long the work on keys that are let go still takes."""
        return self._rng.choice((0.0, 0.05, 0.3))

    def next_write_late(self) -> float:
        """Return after how long the next write is done; 0 does it, and answers, at once."""
        return self._late_writes.pop(0) if self._late_writes else 0.0

    def lose_writes(self, late_s: list[float]) -> None:
        """The next writes are done late, and their answers are lost."""
        self._late_writes.extend(late_s)

    def start_target(self, node: Node) -> None:
        """A new incarnation of the target begins."""
        node.lives += 1
        node.target = FakeTarget(self, node, node.lives, self._rng.choice((0.98, 0.99, 1.0)))

    def end_target(self, node: Node) -> None:
        """The target's process ends."""
        if node.target is not None:
            node.target.alive = False

    def start_daemon(self, node: Node) -> None:
        """A new life of the daemon begins."""
        self.end_daemon(node)
        clock = Clock()
        clock.advance(self.now)
        settings = _settings(node.number, self._timing)
        node.lives += 1
        me = PeerId(f"d{node.number}-{node.lives}", str(settings.peers))

        def send(address: str, message: ControlMessage) -> None:
            self._send(node, me, address, message)

        core_ = MeshCore(
            clock,
            settings,
            StoreClient(self, node, clock),
            _Dialect(),  # type: ignore[arg-type]
            DecisionLog(0, lambda: self.now),
            me,
            _Client(node),  # type: ignore[arg-type]
            send,
        )
        node.daemon = Daemon(core_, clock, me)
        core_.start(lambda table: None)

    def end_daemon(self, node: Node) -> None:
        """The daemon's process is killed."""
        if node.daemon is not None:
            node.daemon.alive = False
            node.daemon = None

    def freeze(self, node: Node) -> None:
        """The daemon stands still."""
        if node.daemon is not None:
            node.daemon.frozen = True

    def thaw(self, node: Node) -> None:
        """The daemon goes on, with whatever has piled up for it."""
        daemon = node.daemon
        if daemon is None or not daemon.frozen:
            return
        daemon.frozen = False
        waiting, daemon.waiting = daemon.waiting, []
        for call in waiting:
            call()

    def load(self, node: Node, first: int, requests: int) -> None:
        """Ask a target for neighbouring keys so often that the planner moves some."""
        if node.daemon is None:
            return
        counter = node.daemon.core.side._counter
        for number in range(requests):
            counter.count((first + number % 200) % 65_536)

    def key_of(self, node: Node) -> int:
        """Return the first key that a target holds."""
        assert node.target is not None
        return min(row.first for row in node.target.rows)

    def _send(self, node: Node, me: PeerId, address: str, message: ControlMessage) -> None:
        receiver = next((n for n in self.nodes if str(_peers(n.number)) == address), None)
        if receiver is None or receiver.cut_from_peers or node.cut_from_peers:
            return
        if (node.number, receiver.number) in self.cut_links:
            return
        data = encode_control(message)
        daemon = receiver.daemon

        def arrive() -> None:
            assert daemon is not None
            daemon.core.control_received(me, decode_control(data))

        self.deliver(daemon, self.now + LINK_S * self._rng.choice((1, 1, 1, 40)), arrive)


def _peers(number: int) -> Address:
    return Address(f"10.0.0.{number + 1}", 7600)


def _settings(number: int, timing: GrantTiming) -> MeshSettings:
    here = _peers(number)
    return MeshSettings(
        instance=f"instance-{number}",
        failure_domain="a",
        service=SERVICE,
        target_address="127.0.0.1:1",
        callers=here,
        heartbeats=here,
        readiness=here,
        peers=here,
        metrics=here,
        store=StoreSettings("127.0.0.1:2", 3.0, 0.8),
        holds=timing,
        retries=RetryRule(0.2, 50, 10.0),
        drain_s=2.0,
        stop_s=6.0,
        log_lines_per_s=1,
    )


@contextmanager
def virtual_time(world: Callable[[], World | None]) -> Iterator[None]:
    """Let every part of the daemons read the time of *world*."""

    def now() -> float:
        found = world()
        return found.now if found is not None else 0.0

    with ExitStack() as stack:
        for module in (core, key_planner, store_session, target_lease, target_side):
            stack.enter_context(mock.patch.object(module, "boot_time", now))
        stack.enter_context(mock.patch.object(target_side, "unix_time", now))
        yield
