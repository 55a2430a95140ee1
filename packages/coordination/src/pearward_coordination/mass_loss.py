"""Decide which owners' keys are reserved after many targets of a service were lost together.

The load pattern: all instances lose power for about 1.3 s, or a quarter of them and more, and their
next targets report within 1.1 s of each other. If lost keys were placed as soon as an owner can
take them, the first owners to return would get the keys of all; levelling that takes ten seconds.
So each lost owner's keys wait for the next target of its instance, for as long as targets keep
returning. No I/O and no clock.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["LossDecision", "LossEvidence", "MassLoss"]

LOSS_WINDOW_S = 2.0
"""Seconds within which losses count as one: the reports of owners that end together stop, or name
them as ended, within this time."""
MIN_LOST = 3
"""Minimum number of owners in a mass loss; the keys of fewer are spread over the others at once."""
MIN_LOST_SHARE = 0.25
"""Minimum share of the owners in a mass loss: below it the others gain at most a third each."""
QUIET_S = 1.0
"""Seconds without a further return after which no more are expected: targets that start together
report within one heartbeat interval, 0.8 to 0.95 s."""
FIRST_RETURN_S = 1.5
"""The same before the first return: instances need 1.2 s to start, and the first of several sends
its heartbeat shortly after that."""
MAX_RESERVATION_S = 4.0
"""Maximum seconds of a reservation. Callers wait 3 to 6 s in all, so that keys that are reserved
for longer lose more requests than their final placement does."""
MAX_GAP_S = 0.5
"""Maximum seconds between two observations that count towards these times: observations are made
every 0.2 s unless the store is unavailable, when no daemon can register."""


@dataclass(frozen=True, slots=True)
class LossEvidence:
    """What the planner knows of the owners of one service."""

    owners: frozenset[str]
    """Targets that own keys by the present map."""
    reported: frozenset[str]
    """Targets with a current report, and those whose daemons are in a planned stop."""
    ended: frozenset[str]
    """Targets that are known to have ended."""
    successors: Mapping[str, str]
    """Later target of the same instance, by the target that it reports as ended."""
    utilisation_without: float
    """Load of all keys relative to the capacity of the owners that report."""


@dataclass(frozen=True, slots=True)
class LossDecision:
    """Whether a reservation is in force, and which keys move or wait."""

    active: bool = False
    successors: Mapping[str, str] = field(default_factory=dict)
    """Reporting target that gets all keys of a lost owner, by that owner."""
    reserved: frozenset[str] = frozenset()
    """Owners whose keys wait: they do not report, and no successor does yet."""


class MassLoss:
    """Detects mass losses among the owners of one service, and decides when to stop waiting."""

    def __init__(self, max_utilisation: float) -> None:
        self._max_utilisation = max_utilisation
        """Utilisation of the remaining owners up to which they take over all lost keys."""
        self._reported: frozenset[str] | None = None
        """Owners that had a current report at some observation. At the first one, by a planner that
        has just become active, these are all owners: it cannot know which ones never had one."""
        self._lost_at: dict[str, float] = {}
        """Time at which each lost owner was first observed as lost."""
        self._lost: set[str] = set()
        """Owners lost before or during the present reservation, without those that report again."""
        self._returned: frozenset[str] = frozenset()
        self._returned_at: float | None = None
        """Time of the last return during the present reservation; None before the first."""
        self._began_at: float | None = None
        self._observed_at = float("-inf")
        self._armed = True
        """Whether too few reports may begin a reservation; afterwards most must report first."""

    # -- observations -----------------------------------------------------------

    def observe(self, evidence: LossEvidence, now: float) -> LossDecision:
        """Process the present evidence; return what applies until the next observation."""
        successors = _reporting_successors(evidence)
        self._skip_gap(now)
        self._note_lost(evidence, now)
        present = evidence.owners & evidence.reported
        missing = evidence.owners - present - successors.keys()
        if 2 * len(present) >= len(evidence.owners):
            self._armed = True
        if self._began_at is None:
            if not self._is_mass_loss(evidence, present, now):
                return LossDecision()
            self._began_at = now
            self._armed = False
            self._lost = set(self._lost_at)
        self._note_returned(present | frozenset(successors.values()), now)
        if self._is_over(evidence, successors, missing, now):
            self._end()
            return LossDecision()
        return LossDecision(True, successors, missing)

    def _skip_gap(self, now: float) -> None:
        """Exclude a time without observations from the time that a reservation has lasted."""
        gap_s = now - self._observed_at
        self._observed_at = now
        if self._began_at is None or gap_s <= MAX_GAP_S:
            return
        self._began_at += gap_s
        if self._returned_at is not None:
            self._returned_at += gap_s

    def _note_lost(self, evidence: LossEvidence, now: float) -> None:
        """Record owners that have ended, or whose reports have stopped."""
        owners = evidence.owners
        before = owners if self._reported is None else self._reported
        self._reported = (before | evidence.reported) & (owners | evidence.reported)
        lost = owners & (evidence.ended | self._reported) - evidence.reported
        for target in lost:
            self._lost_at.setdefault(target, now)
        self._lost_at = {
            target: at
            for target, at in self._lost_at.items()
            if target in lost or (target not in owners and now - at <= LOSS_WINDOW_S)
        }
        if self._began_at is not None:
            self._lost = (self._lost | lost) - evidence.reported

    def _is_mass_loss(self, evidence: LossEvidence, present: frozenset[str], now: float) -> bool:
        """Return whether so many owners are lost that the others cannot run the load."""
        if self._armed and 2 * len(present) < len(evidence.owners):
            return True
        recent = sum(now - at <= LOSS_WINDOW_S for at in self._lost_at.values())
        many = recent >= _least_lost(evidence.owners)
        return many and evidence.utilisation_without > self._max_utilisation

    def _note_returned(self, reporting: frozenset[str], now: float) -> None:
        """Record the time at which a further owner or successor reports."""
        if reporting - self._returned and self._began_at != now:
            self._returned_at = now
        self._returned |= reporting

    def _is_over(
        self,
        evidence: LossEvidence,
        successors: Mapping[str, str],
        missing: frozenset[str],
        now: float,
    ) -> bool:
        """Return whether the remaining keys are no longer reserved."""
        assert self._began_at is not None
        if successors:
            # Their keys have not moved yet: the store was unavailable or a write conflicted.
            return False
        if not missing or now - self._began_at >= MAX_RESERVATION_S:
            return True
        if len(self._lost | missing) < _least_lost(evidence.owners):
            # The planner had just become active, and few or no owners are lost.
            return True
        if 2 * len(missing) >= len(evidence.owners):
            return False
        if self._returned_at is None:
            return now - self._began_at >= FIRST_RETURN_S
        return now - self._returned_at >= QUIET_S

    def _end(self) -> None:
        """End the reservation; its losses count towards no other one."""
        self._began_at = self._returned_at = None
        self._returned = frozenset()
        self._lost.clear()
        # Owners that are still lost stay known, but too long ago for another mass loss.
        self._lost_at = dict.fromkeys(self._lost_at, float("-inf"))


def _least_lost(owners: frozenset[str]) -> float:
    """Return the minimum number of lost owners in a mass loss."""
    return max(MIN_LOST, len(owners) * MIN_LOST_SHARE)


def _reporting_successors(evidence: LossEvidence) -> dict[str, str]:
    """Return the reporting target that each lost owner's keys go to.

    A successor that has ended in turn is followed by its own. An owner that still reports has none.
    """
    found: dict[str, str] = {}
    for owner in evidence.owners - evidence.reported:
        target, passed = owner, {owner}
        while target not in evidence.reported:
            target = evidence.successors.get(target, "")
            if not target or target in passed:
                break
            passed.add(target)
        else:
            found[owner] = target
    return found
