"""Retry decisions by outcome, repeatability, deadline and retry budget."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pearward_state.outcome import Outcome, Reason

if TYPE_CHECKING:
    from random import Random

__all__ = ["Attempt", "AttemptHistory", "RetryBudget", "RetryDecision", "decide_retry"]

MAX_ATTEMPTS = 64
"""Maximum number of attempts of one request; usually the deadline ends it first."""
MAX_REDIRECTS = 8
"""Maximum number of immediate redirects, so that daemons with different records cannot loop."""
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.25
BUDGET_CAP = 20.0
"""Maximum number of retries that may accumulate for a burst."""

_BACKOFF_REASONS = frozenset(
    {Reason.NO_ROUTE, Reason.NOT_READY, Reason.UNREACHABLE, Reason.DRAINING}
)
"""Reasons that no longer apply once a shard has its new owner; waiting loads no server."""
_FINAL_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.UNKNOWN_SERVICE,
        Reason.DEADLINE,
        Reason.CANCELLED,
        Reason.DUPLICATE,
        Reason.TOO_LARGE,
        Reason.BODY_CUT,
        Reason.FIRST_SEEN_BEFORE_GRANT,
    }
)


class RetryBudget:
    """Token bucket of retries, filled by first attempts so that retries amplify no overload."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = BUDGET_CAP

    @property
    def tokens(self) -> float:
        """Number of retries that are currently allowed."""
        return self._tokens

    def set_ratio(self, ratio: float) -> None:
        """Set the number of retries that each first attempt adds."""
        self._ratio = ratio

    def first_attempt(self) -> None:
        """Add the retries that a first attempt earns."""
        self._tokens = min(BUDGET_CAP, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class Attempt:
    """Result of one attempt of a request."""

    outcome: Outcome
    reason: Reason
    number: int
    """Number of attempts so far, including this one."""
    redirects: int
    """Number of these attempts that ended in a redirect by a newer record."""
    repeatable: bool
    replayable: bool
    """Whether the whole body is still available to be sent again."""
    keyed: bool
    alternatives: bool
    """Whether the service has another server for a retry."""


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether to retry, and after how many seconds."""

    again: bool
    delay_s: float = 0.0


class AttemptHistory:
    """Counts and combined outcome of a request's attempts."""

    def __init__(self) -> None:
        self._number = 0
        self._redirects = 0
        self._may_have_run = False

    @property
    def number(self) -> int:
        """Number of attempts started."""
        return self._number

    @property
    def redirects(self) -> int:
        """Number of attempts that were redirected by a newer record."""
        return self._redirects

    def begun(self) -> None:
        """Count an attempt that is started."""
        self._number += 1

    def failed(self, outcome: Outcome, reason: Reason) -> None:
        """Record the end of an attempt without a response of the server."""
        self._redirects += reason is Reason.MOVED
        self._may_have_run = self._may_have_run or outcome is Outcome.UNKNOWN

    def final(self, outcome: Outcome) -> Outcome:
        """Return the outcome of the request if its last attempt ended with *outcome*.

        NOT_RUN applies to one attempt only: if an earlier one may have run, the result is UNKNOWN.
        """
        if outcome is Outcome.NOT_RUN and self._may_have_run:
            return Outcome.UNKNOWN
        return outcome


_NO_RETRY = RetryDecision(False)


def decide_retry(
    attempt: Attempt, budget: RetryBudget, time_left_s: float, rng: Random
) -> RetryDecision:
    """Decide whether a request is retried after *attempt*."""
    if attempt.reason in _FINAL_REASONS or not attempt.replayable or attempt.number >= MAX_ATTEMPTS:
        return _NO_RETRY
    if attempt.outcome is Outcome.UNKNOWN:
        if not attempt.repeatable or not budget.take():
            return _NO_RETRY
        return _retry_with_backoff(attempt.number, time_left_s, rng)
    if attempt.outcome is not Outcome.NOT_RUN:
        return _NO_RETRY
    if attempt.reason is Reason.MOVED and attempt.redirects <= MAX_REDIRECTS:
        return RetryDecision(True)
    if attempt.reason in _BACKOFF_REASONS or attempt.reason in (Reason.MOVED, Reason.FENCED):
        return _retry_with_backoff(attempt.number, time_left_s, rng)
    if attempt.keyed or not attempt.alternatives or attempt.number > 2 or not budget.take():
        return _NO_RETRY
    return RetryDecision(True)


def _retry_with_backoff(number: int, time_left_s: float, rng: Random) -> RetryDecision:
    """Return a retry with jittered exponential backoff if the delay ends before the deadline."""
    ceiling = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(number - 1, 8))
    delay = ceiling * (0.5 + 0.5 * rng.random())
    if delay >= time_left_s:
        return _NO_RETRY
    return RetryDecision(True, delay)
