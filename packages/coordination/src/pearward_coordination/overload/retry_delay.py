"""Compute the delay after which the caller of a refused request should retry.

The load pattern: a target is at or over its capacity for seconds, as under a hot key or after other
targets of its service were lost. Its queue is full at every moment, so a later retry finds no more
free capacity than an early one; but only an early one can still be answered within the latency
objective.
"""

from dataclasses import dataclass

__all__ = ["RefusedRequest", "RetryAgeEstimator", "default_retry_delay_s", "retry_delay_s"]

MIN_DELAY_S = 0.04
"""Minimum useful delay in seconds; an earlier retry would meet the same full queue. Observed
targets free a slot about every 15 ms, and a round trip takes 4 ms."""
IN_TIME_SHARE = 0.7
"""Part of the time in which a retry may still be in time; the rest allows for jitter. Together with
the request ages below, 0.72 instead of 0.57 of the lookups are in time when half of their targets
are lost (experiment tool, pattern lost, three seeds)."""
DEFAULT_DELAY_S = 0.25
"""Seconds after which to retry a full queue if the objective is missed anyway: by then hot keys
have moved and bursts of a few requests have ended."""
MAX_DELAY_S = 2.0
"""Maximum delay in seconds; callers wait up to a third of their remaining time, whatever delay they
are given."""


WINDOW_S = 5.0
"""Length in seconds of the two windows over which callers' allowed times are tracked. Where callers
retry three times, 0.90 instead of 0.82 of the lookups are in time (experiment tool, pattern abuse,
three seeds)."""
FIRST_TRY_SHARE = 0.995
"""Part of the longest allowed time above which a request counts as a first try: refused callers
retry after 40 ms or more, out of 1.5 s allowed."""
MIN_SAMPLES = 10
"""Minimum number of requests before the usual allowed time is considered known."""
MIN_FIRST_TRIES = 0.35
"""Minimum part of the requests that must be first tries, as most callers retry at most once. With
fewer near the longest time, callers simply allow different times."""


@dataclass(frozen=True, slots=True)
class RefusedRequest:
    """Properties of a request without a slot that determine its retry delay."""

    objective_left_s: float
    """Seconds until the response loses value."""
    max_wait_s: float
    """Maximum wait in seconds for a slot after the retry."""
    running_s: float
    """Running time of a request in seconds."""
    capacity_in_s: float
    """Seconds until a slot is expected to be free for it."""


def retry_delay_s(request: RefusedRequest) -> float:
    """Return the seconds after which the caller should retry.

    The delay leaves time for a full wait within the objective; if this is no longer possible, it is
    the time until capacity is expected.
    """
    spare_s = request.objective_left_s - request.max_wait_s - request.running_s
    in_time_s = spare_s * IN_TIME_SHARE
    if in_time_s >= MIN_DELAY_S:
        return in_time_s
    return default_retry_delay_s(request.capacity_in_s)


def default_retry_delay_s(capacity_in_s: float) -> float:
    """Return the retry delay based only on the time until capacity is expected."""
    return min(MAX_DELAY_S, max(DEFAULT_DELAY_S, capacity_in_s))


class RetryAgeEstimator:
    """Estimates the age of retried requests from the time that callers of one route allow.

    A caller that retries allows only its remaining time, so the difference to the usual time is the
    time since its first try. If callers allow very different times, no age is estimated.
    """

    def __init__(self) -> None:
        self._since = 0.0
        self._longest_s = [0.0, 0.0]
        """Longest allowed time in the present and the previous window."""
        self._counted = [0, 0]
        self._first_tries = [0, 0]

    def age_s(self, allowed_s: float, now: float) -> float:
        """Count a request that allows *allowed_s* seconds; return its age in seconds."""
        if now - self._since > WINDOW_S:
            self._begin_window(now)
        self._count(allowed_s)
        longest_s = max(self._longest_s)
        counted, first_tries = sum(self._counted), sum(self._first_tries)
        if counted < MIN_SAMPLES or first_tries < counted * MIN_FIRST_TRIES:
            return 0.0
        return longest_s - allowed_s if allowed_s < longest_s * FIRST_TRY_SHARE else 0.0

    def _begin_window(self, now: float) -> None:
        old = now - self._since > 2 * WINDOW_S
        self._since = now
        self._longest_s = [0.0, 0.0 if old else self._longest_s[0]]
        self._counted = [0, 0 if old else self._counted[0]]
        self._first_tries = [0, 0 if old else self._first_tries[0]]

    def _count(self, allowed_s: float) -> None:
        if allowed_s * FIRST_TRY_SHARE > max(self._longest_s):
            # Longer than all before: the counts relative to the former longest time are invalid.
            self._counted, self._first_tries = [0, 0], [0, 0]
        self._longest_s[0] = max(self._longest_s[0], allowed_s)
        self._counted[0] += 1
        self._first_tries[0] += allowed_s >= max(self._longest_s) * FIRST_TRY_SHARE
