"""Whether a failed attempt may be made again: outcome, repeatability, deadline and budget."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pearward_state.outcome import Outcome, Reason

if TYPE_CHECKING:
    from random import Random

__all__ = ["Attempt", "AttemptTally", "RetryBudget", "RetryDecision", "decide_retry"]

MAX_ATTEMPTS = 64
"""Attempts of one request at most; the deadline usually ends it first."""
MAX_MOVES = 8
"""Redirections by newer records at most, so that two confused daemons cannot loop."""
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.25
BUDGET_CAP = 20.0
"""Retries that may be saved up for a burst."""

_WAITING = frozenset({Reason.NO_ROUTE, Reason.NOT_READY, Reason.UNREACHABLE, Reason.DRAINING})
"""Reasons that end when a shard has its new owner; waiting costs no server anything."""
_FINAL = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.UNKNOWN_SERVICE,
        Reason.DEADLINE,
        Reason.CANCELLED,
        Reason.DUPLICATE,
        Reason.TOO_LARGE,
        Reason.BODY_CUT,
        Reason.NOT_SEEN_BEFORE_GRANT,
    }
)


class RetryBudget:
    """Allows retries in proportion to first attempts, so that they never amplify an overload."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = BUDGET_CAP

    @property
    def tokens(self) -> float:
        """Retries that are allowed now."""
        return self._tokens

    def set_ratio(self, ratio: float) -> None:
        """Allow *ratio* retries for each first attempt from now on."""
        self._ratio = ratio

    def first_attempt(self) -> None:
        """Count a request."""
        self._tokens = min(BUDGET_CAP, self._tokens + self._ratio)

    def take(self) -> bool:
        """Spend one retry; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class Attempt:
    """How one attempt of a request ended."""

    outcome: Outcome
    reason: Reason
    number: int
    """Attempts made so far, this one included."""
    moves: int
    """Of these, redirections by a newer record."""
    repeatable: bool
    replayable: bool
    """Whether the whole body is still at hand."""
    keyed: bool
    alternatives: bool
    """Whether the service has another server to try."""


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether to try again, and after how many seconds."""

    again: bool
    delay_s: float = 0.0


class AttemptTally:
    """What a request's attempts have come to so far."""

    def __init__(self) -> None:
        self._number = 0
        self._moves = 0
        self._may_have_run = False

    @property
    def number(self) -> int:
        """Attempts begun."""
        return self._number

    @property
    def moves(self) -> int:
        """Attempts that were redirected by a newer record."""
        return self._moves

    def begun(self) -> None:
        """Count an attempt."""
        self._number += 1

    def failed(self, outcome: Outcome, reason: Reason) -> None:
        """Note how an attempt ended without the server's answer."""
        self._moves += reason is Reason.MOVED
        self._may_have_run = self._may_have_run or outcome is Outcome.UNKNOWN

    def final(self, outcome: Outcome) -> Outcome:
        """Return what the caller is told where the last attempt ended as *outcome*.

        A refusal speaks of one attempt only: what an earlier one may have done stands.
        """
        if outcome is Outcome.NOT_RUN and self._may_have_run:
            return Outcome.UNKNOWN
        return outcome


_NO = RetryDecision(False)


def decide_retry(
    attempt: Attempt, budget: RetryBudget, time_left_s: float, rng: Random
) -> RetryDecision:
    """Decide on one more attempt of a request."""
    if attempt.reason in _FINAL or not attempt.replayable or attempt.number >= MAX_ATTEMPTS:
        return _NO
    if attempt.outcome is Outcome.UNKNOWN:
        if not attempt.repeatable or not budget.take():
            return _NO
        return _delayed(attempt.number, time_left_s, rng)
    if attempt.outcome is not Outcome.NOT_RUN:
        return _NO
    if attempt.reason is Reason.MOVED and attempt.moves <= MAX_MOVES:
        return RetryDecision(True)
    if attempt.reason in _WAITING or attempt.reason in (Reason.MOVED, Reason.FENCED):
        return _delayed(attempt.number, time_left_s, rng)
    if attempt.keyed or not attempt.alternatives or attempt.number > 2 or not budget.take():
        return _NO
    return RetryDecision(True)


def _delayed(number: int, time_left_s: float, rng: Random) -> RetryDecision:
    """Return a retry after a growing, jittered delay, if the deadline leaves room for it."""
    ceiling = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(number - 1, 8))
    delay = ceiling * (0.5 + 0.5 * rng.random())
    if delay >= time_left_s:
        return _NO
    return RetryDecision(True, delay)
