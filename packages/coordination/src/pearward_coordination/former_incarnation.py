"""Decide whether a target outlived its daemon, where it does not report its start time.

A daemon that starts finds in the store which incarnation of its target was served last. The first
heartbeat may come from that process, or from the target's next one under the same id, which must
not get keys under the former one's fences. It counts as the former incarnation's only if it shows
that this process still runs, or if no fence could be granted twice. No I/O and no clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from pearward_state.keymap import KeyMap, KeyRange

from .grants import HeldRow

__all__ = ["FirstHeartbeat", "FormerIncarnation", "Registration"]

USUAL_INTERVAL_S = 0.6
"""Minimum seconds between two heartbeats of a target whose daemon answers. A process sends more
while it gets no answer, but a newly started one reports meanwhile that it is still cold."""


@dataclass(frozen=True, slots=True)
class Registration:
    """Evidence in the store of the incarnation that a daemon's former process served."""

    target: str
    """Id of the incarnation."""
    at: float
    """Time in s of the steady clock after which that daemon still renewed its entry."""


@dataclass(frozen=True, slots=True)
class FirstHeartbeat:
    """The first heartbeat that a daemon receives from its target."""

    received: float
    """Time of receipt in s of the steady clock."""
    sequence: int
    """Call count of its sender."""
    cold_s: float
    """Seconds for which the sender remains slow after its start."""
    held: tuple[HeldRow, ...]
    """Keys that it reports as held; empty also if the target reports no keys at all."""


@dataclass(frozen=True, slots=True)
class FormerIncarnation:
    """The newest incarnation of a target that earlier processes of this daemon served."""

    target: str
    """Id of the incarnation."""
    key_map: KeyMap | None
    """Newest known key map; None if there is none yet."""
    registration: Registration | None
    """Newest evidence of this or of an earlier incarnation; None without any."""

    def has_sent(self, heartbeat: FirstHeartbeat) -> bool:
        """Return whether a heartbeat counts as this incarnation's."""
        if self.key_map is None or not self.key_map.owned_by(self.target):
            return True
        return self._holds(heartbeat.held) or self._is_as_old(heartbeat)

    def _holds(self, held: Iterable[HeldRow]) -> bool:
        """Return whether keys are held that only this incarnation was granted."""
        assert self.key_map is not None
        return any(
            self._was_granted(assigned, row.fence)
            for row in held
            for assigned in self.key_map.overlapping(row.first, row.last)
        )

    def _was_granted(self, assigned: KeyRange, fence: int) -> bool:
        if assigned.owner == self.target and assigned.fence == fence:
            return True
        return any(p.target == self.target and p.fence == fence for p in assigned.predecessors)

    def _is_as_old(self, heartbeat: FirstHeartbeat) -> bool:
        """Return whether the sender was already running when this incarnation was registered.

        A restored store brings back entries whose daemons had ended, which its key maps show until
        they are settled.
        """
        assert self.key_map is not None
        seen = self.registration
        if seen is None or seen.target != self.target or self.key_map.unsettled:
            return False
        runs_s = (heartbeat.sequence - 1) * USUAL_INTERVAL_S
        return heartbeat.cold_s <= 0.0 and runs_s > heartbeat.received - seen.at
