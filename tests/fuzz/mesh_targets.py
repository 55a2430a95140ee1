"""Targets that beat and hold keys by leases and clocks of their own."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, succeed

from pearward_coordination.grants import GrantedRow, HeldRow, ReleasedRow
from pearward_daemon.mesh.dialect import (
    GrantReply,
    GrantVerdict,
    HeartbeatResponse,
    ReleaseReply,
    TargetHeartbeat,
)
from pearward_state.members import TargetState, target_id
from pearward_transport.errors import ServerUnreachable

if TYPE_CHECKING:
    from .mesh_world import Node, World

__all__ = ["SERVICE", "FakeGrants", "FakeTarget", "HeldKeys"]

SERVICE = "roster-app"
LINK_S = 0.002
BEAT_S = 0.87
SOON_S = 0.1
CALL_TIMEOUT_S = 0.35
"""Seconds after which a caller takes a grant for unanswered."""


@dataclass
class HeldKeys:
    """Keys that a target holds."""

    first: int
    last: int
    fence: int
    until: float
    released_at: float | None = None
    """When the work on keys that were left out will have ended."""


class FakeTarget:
    """A target that enforces its own lease, by a clock that may run slow."""

    def __init__(
        self,
        world: World,
        node: Node,
        number: int,
        rate: float,
        *,
        target_id: str = "",
        started_ms: int | None = None,
    ) -> None:
        self._world = world
        self.node = node
        self.life = f"i-{node.number}-{number}"
        """Names the process, which may have the id of a former one."""
        self.id = target_id or self.life
        self._started_ms = started_ms
        self._rate = rate
        self._sequence = 0
        self.alive = True
        self.draining = False
        self.rows: list[HeldKeys] = []
        self._freed: list[ReleasedRow] = []
        self._next_beat = world.now + 0.1 * (node.number % 5)
        self._answered = 0
        self._seen: list[tuple[int, int, int]] = []
        """Keys (first and last) and the fence of every grant that was taken."""
        self._releasing: list[tuple[HeldKeys, Deferred[ReleaseReply]]] = []

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
        self._answer_releases(now)
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
        target_heartbeat = self.next_beat()
        sequence, freed = target_heartbeat.sequence, target_heartbeat.released
        daemon = self.node.daemon

        def deliver() -> None:
            if not self.alive or daemon is not self.node.daemon or daemon is None:
                return
            answer = daemon.core.local_target.target_heartbeat(target_heartbeat)
            answer.addCallback(
                lambda a: self._world.at(
                    self._world.now + LINK_S, lambda: self._take(sequence, now, freed, a)
                )
            )

        self._world.deliver(daemon, self._world.now + LINK_S + self.node.beat_delay_s, deliver)

    def next_beat(self) -> TargetHeartbeat:
        """Return the next heartbeat, which counts as sent."""
        self._sequence += 1
        return TargetHeartbeat(
            target=self.id,
            service=SERVICE,
            address="127.0.0.1:1",
            failure_domain="a",
            slots=12,
            state=TargetState.DRAINING if self.draining else TargetState.READY,
            cold_s=0.0,
            sequence=self._sequence,
            started_ms=self._started_ms,
            held=() if self._world.by_call else self._held_rows(),
            released=tuple(self._freed),
        )

    def _held_rows(self) -> tuple[HeldRow, ...]:
        return tuple(HeldRow(r.first, r.last, r.fence) for r in self.rows)

    # -- calls ----------------------------------------------------------------------

    def take_grant(self, row: GrantedRow, hold_s: float, arrived: float) -> GrantVerdict:
        """Take a grant by call, whose time has run since it arrived."""
        for first, last, fence in self._seen:
            if first <= row.last and row.first <= last and fence > row.fence:
                return GrantVerdict.NEWER_SEEN
        until = arrived + hold_s / self._rate
        if until <= self._world.now:
            return GrantVerdict.TAKEN
        self._seen.append((row.first, row.last, row.fence))
        granted = HeldKeys(row.first, row.last, row.fence, until)
        self._cut(row.first, row.last)
        self.rows.append(granted)
        self._world.took(self, [granted])
        return GrantVerdict.TAKEN

    def seen(self, first: int, last: int, fence: int) -> None:
        """Another planner's grant was taken before: no lower fence is taken any more."""
        self._seen.append((first, last, fence))

    def take_release(self, row: HeldRow, work_s: float) -> Deferred[ReleaseReply]:
        """End new work on keys at once; answered when the work on them has ended.

        Work that still runs when its lease ends is broken off by the target itself.
        """
        answer: Deferred[ReleaseReply] = Deferred()
        now = self._world.now
        held = [r.until for r in self.rows if r.first <= row.last and row.first <= r.last]
        self._cut(row.first, row.last)
        until = min(now + work_s, max(held, default=now))
        working = HeldKeys(row.first, row.last, row.fence, until)
        self.rows.append(working)
        self._releasing.append((working, answer))
        return answer

    def _answer_releases(self, now: float) -> None:
        for working, answer in list(self._releasing):
            if working.until <= now:
                self._releasing.remove((working, answer))
                token = f"{self.id}/{working.first}/{working.fence}"
                answer.callback(ReleaseReply(True, token))

    def _cut(self, first: int, last: int) -> None:
        kept: list[HeldKeys] = []
        for row in self.rows:
            if row.last < first or row.first > last:
                kept.append(row)
                continue
            if row.first < first:
                kept.append(HeldKeys(row.first, first - 1, row.fence, row.until))
            if row.last > last:
                kept.append(HeldKeys(last + 1, row.last, row.fence, row.until))
        self.rows = kept

    # -- answers to heartbeats --------------------------------------------------------

    def _take(
        self, sequence: int, sent: float, freed: tuple[ReleasedRow, ...], answer: HeartbeatResponse
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
        granted = [HeldKeys(r.first, r.last, r.fence, until) for r in answer.rows]
        old = [row for row in self.rows if row.until > self._world.now]
        self.rows = granted
        for row in old:
            for first, last in _left_out(row, granted):
                work_s = self._world.work_s()
                released_at = row.released_at or self._world.now + work_s
                self.rows.append(HeldKeys(first, last, row.fence, row.until, released_at))
                self._next_beat = min(self._next_beat, self._world.now + SOON_S)
        self._world.took(self, granted)


def _left_out(row: HeldKeys, granted: list[HeldKeys]) -> list[tuple[int, int]]:
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


class FakeGrants:
    """One daemon's calls to the target beside it; some go unanswered and are taken late."""

    def __init__(self, world: World, node: Node) -> None:
        self._world = world
        self._node = node
        self.offered: list[GrantedRow] = []
        self.under_way = self.most_under_way = 0
        self._process: FakeTarget | None = None

    @property
    def attached(self) -> bool:
        """Whether the process that was there when `attach` was called last runs still."""
        return self._process is not None and self._process.alive

    def close(self) -> None:
        """The target has ended."""
        self._process = None

    def attach(self) -> Deferred[None]:
        """Note the process that is there when the connection is made."""
        if self.attached:
            return succeed(None)
        made: Deferred[None] = Deferred()

        def arrive() -> None:
            self._process = self._node.target
            if self.attached:
                made.callback(None)
            else:
                made.errback(ServerUnreachable("no process there"))

        self._world.deliver(self._node.daemon, self._world.now + LINK_S, arrive)
        return made

    def grant(
        self, target: str, row: GrantedRow, hold_s: float, send_by: float
    ) -> Deferred[GrantReply]:
        """Deliver a grant: at once, or late and without an answer, or both."""
        world, daemon = self._world, self._node.daemon
        self.offered.append(row)
        self.under_way += 1
        self.most_under_way = max(self.most_under_way, self.under_way)
        answer: Deferred[GrantReply] = Deferred()
        answer.addCallback(self._answered)
        present = self._node.target
        arrived = world.now + LINK_S
        late = world.next_order_late()

        def take() -> GrantReply:
            if present is None or not present.alive:
                return GrantReply(GrantVerdict.UNANSWERED)
            if present.id != target_id(target):
                return GrantReply(GrantVerdict.UNANSWERED, "status 421", other_target=True)
            return GrantReply(present.take_grant(row, hold_s, arrived))

        def reply(taken: GrantReply) -> None:
            world.deliver(daemon, world.now + LINK_S, lambda: answer.callback(taken))

        if not late:
            world.at(arrived, lambda: reply(take()))
            return answer
        for delay_s in late:
            world.at(arrived + delay_s, take)
        world.deliver(
            daemon, world.now + CALL_TIMEOUT_S,
            lambda: answer.callback(GrantReply(GrantVerdict.UNANSWERED)),
        )  # fmt: skip
        return answer

    def _answered(self, reply: GrantReply) -> GrantReply:
        self.under_way -= 1
        return reply

    def release(self, target: str, row: HeldRow) -> Deferred[ReleaseReply]:
        """Deliver a release, and its answer when the work on the keys has ended."""
        world, daemon = self._world, self._node.daemon
        answer: Deferred[ReleaseReply] = Deferred()
        present = self._node.target

        def back(reply: ReleaseReply) -> None:
            world.deliver(daemon, world.now + LINK_S, lambda: answer.callback(reply))

        def arrive() -> None:
            if present is None or not present.alive or present.id != target_id(target):
                back(ReleaseReply(False, detail="gone"))
                return
            present.take_release(row, world.work_s()).addCallback(back)

        world.at(world.now + LINK_S, arrive)
        return answer
