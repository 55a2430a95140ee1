"""Replay of running times over the owners of a keyed service, in virtual time.

The planner (KeyPlanner with its rules for capacity and load) and each owner's slots are the
product's own; only arrivals, running times and the hand-over of keys are simulated.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest import mock

from pearward_coordination.key_load import KeyCounter
from pearward_coordination.keyplan import first_map
from pearward_coordination.link_queue import LinkQueue
from pearward_coordination.messages import KeyReport
from pearward_coordination.overload.policy import Mechanism, OverloadPolicy
from pearward_coordination.slots import Refused, SlotTicket
from pearward_daemon.mesh import key_planner, target_slots
from pearward_daemon.mesh.key_planner import REPORT_INTERVAL_S, TICK_S, KeyPlanner
from pearward_daemon.mesh.target_slots import TargetSlots
from pearward_state.keymap import KEY_SPACE, KeyMap
from pearward_state.members import Member, TargetState

__all__ = ["START", "Replay", "ReplayLoad"]

SERVICE = "roster-app"
START = 1000.0
KEY_GAP_S, COLD_S, COLD_FACTOR = 0.5, 5.0, 5.2
"""Seconds for which moved keys are unavailable, and for which their requests then run longer."""
MAX_RETRIES = 2


@dataclass(frozen=True)
class ReplayLoad:
    """Requests and running times."""

    speeds: tuple[float, ...]
    owners: int
    slots: int
    per_s: float
    """Requests per second for each owner."""
    run_s: float
    """Mean running time in seconds at a speed of 1, without the long ones."""
    spread: float = 0.8
    """Standard deviation of the logarithm of running times."""
    long_share: float = 0.03
    long_factor: float = 7.0
    objective_s: float = 0.9
    deadline_s: float = 5.0
    cold_moves: bool = False
    """Whether moved keys arrive without the token of their former holder."""


@dataclass
class _Owner:
    target: str
    speed: float
    slots: TargetSlots
    counter: KeyCounter = field(default_factory=KeyCounter)
    refused: int = 0


class _Request:
    """One request of a caller, with its retries."""

    needs_link = False
    is_last_target = True

    def __init__(self, replay: Replay, key: int) -> None:
        self._replay = replay
        self._key = key
        self._attempts = 0
        self._arrived = replay.now
        self._ticket: SlotTicket | None = None
        self._owner: _Owner | None = None

    def send(self) -> None:
        """Offer the request to the present owner of its key, after the key's hand-over."""
        replay = self._replay
        gap_s = replay.gap_left_s(self._key)
        if gap_s > 0.0:
            replay.call_later(gap_s, self.send)
            return
        self._attempts += 1
        owner = self._owner = replay.owner_of(self._key)
        owner.counter.count(self._key)
        now, load = replay.now, replay.load
        self._ticket = SlotTicket(
            1, self._arrived + load.deadline_s, now + load.objective_s, now, route="quote",
            key=self._key,
        )  # fmt: skip
        offered = owner.slots.offer(self, self._ticket)
        if isinstance(offered, Refused):
            self._refuse(offered.retry_after_s)
        elif offered:
            self.start()
        else:
            replay.call_later(owner.slots.max_wait_s(self._ticket), self._wait_expired)

    def start(self) -> None:
        """Run the request."""
        assert self._ticket is not None
        self._ticket.sent = True
        self._replay.run_request(self, self._owner, self._key)

    def ended(self) -> None:
        """End the run."""
        assert self._ticket is not None and self._owner is not None
        self._owner.slots.finished(self._ticket, measured=True)

    def waited_too_long(self) -> None:
        """Retry: it could not be started in time."""
        self._refuse(0.25)

    def _wait_expired(self) -> None:
        ticket, owner = self._ticket, self._owner
        assert ticket is not None and owner is not None
        if ticket.waiting:
            retry_after_s = owner.slots.retry_after_s(ticket)
            owner.slots.finished(ticket, measured=False)
            self._refuse(retry_after_s)

    def _refuse(self, retry_after_s: float) -> None:
        replay = self._replay
        assert self._owner is not None
        self._owner.refused += 1
        replay.refused_at.append(replay.now)
        if self._attempts <= MAX_RETRIES:
            replay.call_later(retry_after_s, self.send)


class Replay:
    """All owners, their load and the planner."""

    def __init__(self, load: ReplayLoad, seed: int, without: frozenset[Mechanism]) -> None:
        self.load = load
        self.rng = Random(seed)
        self.now = START
        self.refused_at: list[float] = []
        self.planned_at: list[float] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()
        self._slow: dict[str, float] = {}
        self._moved_at: dict[int, float] = {}
        """Time of the last move by segment of 64 keys."""
        policy = OverloadPolicy(without)
        self.owners = [self._owner(n, policy) for n in range(load.owners)]
        self._by_target = {owner.target: owner for owner in self.owners}
        members = [
            Member(f"i{n:03}", "a", "", "", SERVICE, owner.target, load.slots, TargetState.READY)
            for n, owner in enumerate(self.owners)
        ]
        by_target = {m.target: m for m in members}
        directory = SimpleNamespace(
            members=members, registered=tuple(members), is_drained=lambda domain: False,
            is_registered=lambda target: target in by_target, member_of=by_target.get,
        )  # fmt: skip
        settings = SimpleNamespace(overload=policy)
        self.log = mock.Mock()
        maps = SimpleNamespace(version=lambda service: 1)
        self._planner = KeyPlanner(
            settings, mock.Mock(), directory, maps, self.log, mock.Mock(), mock.Mock()
        )
        self._service = self._planner._service(SERVICE)
        self.key_map: KeyMap = first_map(
            SERVICE, self._planner._owners(SERVICE, self._service, self.now)
        )
        for number, owner in enumerate(self.owners):
            self.call_later(REPORT_INTERVAL_S * (number + 1) / load.owners, self._reporter(owner))
        self.call_later(TICK_S, self._plan)
        self._arrive()

    def _owner(self, number: int, policy: OverloadPolicy) -> _Owner:
        slots = TargetSlots(policy, LinkQueue(1000.0), self._timer)
        slots.rate.advertised.target_changed(known=True)
        slots.set_slots(self.load.slots)
        return _Owner(f"t{number:03}", self.load.speeds[number % len(self.load.speeds)], slots)

    def _timer(self, delay_s: float, call: Callable[[], None]) -> Any:
        state = SimpleNamespace(cancelled=False)
        self.call_later(delay_s, lambda: None if state.cancelled else call())
        return SimpleNamespace(cancel=lambda: setattr(state, "cancelled", True))

    # -- time ---------------------------------------------------------------------

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Run *call* after some seconds."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._number), call))

    def run(self, seconds: float) -> None:
        """Advance the time."""
        until = self.now + seconds
        with (
            mock.patch.object(key_planner, "boot_time", lambda: self.now),
            mock.patch.object(target_slots, "boot_time", lambda: self.now),
        ):
            while self._events[0][0] <= until:
                self.now, _, call = heapq.heappop(self._events)
                call()
        self.now = until

    # -- load ---------------------------------------------------------------------

    def _arrive(self) -> None:
        self.call_later(self.rng.expovariate(self.load.per_s * self.load.owners), self._arrive)
        self.call_later(0.0, _Request(self, self.rng.randrange(KEY_SPACE)).send)

    def slow_down(self, number: int, factor: float) -> None:
        """Let one target run all further requests slower."""
        self._slow[self.owners[number].target] = factor

    def run_request(self, request: _Request, owner: _Owner, key: int) -> None:
        """Let a request run for a random time."""
        load = self.load
        mu = math.log(load.run_s) - load.spread**2 / 2
        run_s = self.rng.lognormvariate(mu, load.spread) / owner.speed
        run_s *= load.long_factor if self.rng.random() < load.long_share else 1.0
        run_s *= self._slow.get(owner.target, 1.0)
        if load.cold_moves and self.now - self._moved_at.get(key // 64, -math.inf) < COLD_S:
            run_s *= COLD_FACTOR
        self.call_later(run_s, request.ended)

    def owner_of(self, key: int) -> _Owner:
        """Return the owner of a key by the map in force."""
        found = self.key_map.range_of(key)
        assert found is not None
        return self._by_target[found.owner]

    def gap_left_s(self, key: int) -> float:
        """Return the seconds until a key that has moved is available."""
        return self._moved_at.get(key // 64, -math.inf) + KEY_GAP_S - self.now

    # -- reports and plans -----------------------------------------------------------

    def _reporter(self, owner: _Owner) -> Callable[[], None]:
        def report() -> None:
            self.call_later(REPORT_INTERVAL_S, report)
            summary = owner.slots.run_summary()
            self._planner.reported(
                KeyReport(
                    SERVICE,
                    owner.target,
                    self.key_map.version,
                    owner.slots.capacity(),
                    False,
                    (),
                    (),
                    owner.counter.take(),
                    typical_run_ms=summary.typical_s * 1000,
                    runs=summary.runs,
                )
            )

        return report

    def _plan(self) -> None:
        self.call_later(TICK_S, self._plan)
        planned = self._planner._rebalanced(self.key_map, self._service, frozenset(), self.now)
        if planned is None:
            return
        self.planned_at.append(self.now)
        for part in range(KEY_SPACE // 64):
            key = part * 64
            if planned.range_of(key).owner != self.key_map.range_of(key).owner:
                self._moved_at[part] = self.now
        self.key_map = planned
