"""Targets that beat and hold keys by leases and clocks of their own."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pearward_coordination.grants import HeldRow, ReleasedRow
from pearward_daemon.mesh.dialect import BeatAnswer, TargetBeat
from pearward_state.members import TargetState

if TYPE_CHECKING:
    from .mesh_world import Node, World

__all__ = ["SERVICE", "FakeTarget", "HeldKeys"]

SERVICE = "roster-app"
LINK_S = 0.002
BEAT_S = 0.87
SOON_S = 0.1


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

    def __init__(self, world: World, node: Node, number: int, rate: float) -> None:
        self._world = world
        self.node = node
        self.id = f"i-{node.number}-{number}"
        self._rate = rate
        self._sequence = 0
        self.alive = True
        self.draining = False
        self.rows: list[HeldKeys] = []
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
