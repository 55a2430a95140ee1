"""What becomes of a request after an attempt that brought no answer. No I/O and no clock."""

from dataclasses import dataclass, field
from enum import Enum

from pearward_state.outcome import Outcome, Reason

__all__ = ["OWNER_WAIT_S", "AttemptPlan", "NextStep", "RequestTimes"]

LATEST_RETRY_S = 0.05
"""Time left in s under which no further attempt is made."""
OWNER_WAIT_S = 0.03
"""Pause before the owner of a key is looked up again."""
OWNER_WAIT_SHARE = 0.6
"""Part of the latency objective for which a key without an owner is waited for; a refusal
after that leaves the caller time for another attempt."""
FULL_TRIES = 3
"""Targets that are asked for a slot before a request is refused as too much; all but the last
of them for a place where nobody waits. Gain of asking for that first: with 75 targets and 195
daemons at full load, 0.74 of the submits are in time in place of 0.68, and 0.90 of the calls in
place of 0.84 (experiment tool, pattern many, three seeds)."""
_ELSEWHERE = frozenset({Reason.DRAINING, Reason.MOVED, Reason.UNREACHABLE, Reason.OVERLOADED})
"""Refusals that cost no target anything: another one may be asked without a budget. A key that is
on its way is not among them: its owner has said when to come back."""


class NextStep(Enum):
    """What to do next."""

    ELSEWHERE = "elsewhere"
    """Ask another target, or the present owner of the key; no target has had the request."""
    REPEAT = "repeat"
    """Send it once more, if the budget of repeats allows it."""
    GIVE_UP = "give up"


@dataclass(frozen=True, slots=True)
class RequestTimes:
    """Times of one request in s of the steady clock."""

    began: float
    objective: float
    """By when an answer is worth most."""
    deadline: float
    """By when the caller, or the route, wants the end of it."""

    @property
    def owner_wait_ends(self) -> float:
        """Until when an owner is waited for."""
        wait = self.began + (self.objective - self.began) * OWNER_WAIT_SHARE
        return min(wait, self.deadline)


@dataclass(slots=True)
class AttemptPlan:
    """The attempts of one request so far, and whether another one may follow."""

    times: RequestTimes
    repeatable: bool
    keyed: bool
    max_attempts: int
    """Targets that may receive the request, at most."""
    arrivals: int = 0
    """Attempts of which a target has, or may have, received the request."""
    tried: set[str] = field(default_factory=set)
    full: int = 0
    """Attempts at targets that had no slot for it."""
    full_targets: set[str] = field(default_factory=set)
    sent_on: bool = False
    """Whether its body is being passed on and cannot be sent again."""

    def waits_for_owner(self, now: float) -> bool:
        """Whether a target may yet be looked for, where none can be asked now."""
        return not self.full and now + OWNER_WAIT_S <= self.times.owner_wait_ends

    @property
    def asks_last(self) -> bool:
        """Whether the target that is asked now is the last that is asked for a slot."""
        return self.full + 1 >= FULL_TRIES

    @property
    def excluded(self) -> frozenset[str]:
        """Targets that are not asked now.

        The last one that is asked may be one that had no free slot: what it said of its queue
        is newer than what is known of most others.
        """
        return frozenset(self.tried - self.full_targets if self.asks_last else self.tried)

    def arrived(self) -> bool:
        """Note that a target has received the request; return whether it is the first."""
        self.arrivals += 1
        return self.arrivals == 1

    def after_failure(self, outcome: Outcome, reason: Reason, target: str, now: float) -> NextStep:
        """Decide after an attempt at *target* that ended without an answer."""
        if self.sent_on or self.times.deadline - now < LATEST_RETRY_S:
            return NextStep.GIVE_UP
        if outcome is Outcome.NOT_RUN and reason in _ELSEWHERE:
            return self._elsewhere(reason, target, now)
        if outcome is not Outcome.NOT_RUN and not self.repeatable:
            return NextStep.GIVE_UP
        if outcome is Outcome.NOT_RUN and reason is not Reason.TARGET_REFUSED:
            return NextStep.GIVE_UP
        return self.repeat(target, now)

    def repeat(self, target: str, now: float) -> NextStep:
        """Decide whether one more target may receive the request after *target* has."""
        self.tried.add(target)
        if self.sent_on or self.times.deadline - now < LATEST_RETRY_S:
            return NextStep.GIVE_UP
        return NextStep.REPEAT if self.arrivals < self.max_attempts else NextStep.GIVE_UP

    def _elsewhere(self, reason: Reason, target: str, now: float) -> NextStep:
        if reason is Reason.OVERLOADED:
            self.full += 1
            self.full_targets.add(target)
            if self.keyed or self.full >= FULL_TRIES:
                return NextStep.GIVE_UP
        if self.keyed:
            in_time = now + OWNER_WAIT_S < self.times.owner_wait_ends
            return NextStep.ELSEWHERE if in_time else NextStep.GIVE_UP
        self.tried.add(target)
        return NextStep.ELSEWHERE
