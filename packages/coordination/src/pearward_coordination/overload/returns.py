"""When a caller whose request was turned away should come back.

The load: a target at or over its capacity for seconds on end, as under a hot key or after
others of its service were lost. Its queue is then full at any moment, so that a later return
finds no more room than an early one; but an early one can still be answered within the
latency objective, and a late one can not.
"""

from dataclasses import dataclass

__all__ = ["TurnedAway", "UsualDeadline", "back_after_s", "usual_back_after_s"]

MIN_DELAY_S = 0.04
"""Seconds under which coming back is asking again at once: a slot of the targets seen so far
is given back about every 15 ms, and the way there and back takes 4 ms."""
IN_TIME_SHARE = 0.7
"""Part of the time in which a return may still be in time; the rest is for jitter. Gain: with
the ages below, 0.72 of the lookups are in time in place of 0.57 where half of their targets are
lost (experiment tool, pattern lost, three seeds)."""
DEFAULT_DELAY_S = 0.25
"""Seconds after which a full queue is worth asking again where the objective is lost anyway:
hot keys have moved by then, and bursts of a few requests are over."""
MAX_DELAY_S = 2.0
"""Callers wait up to a third of the time that they have left, whatever they are told."""


WINDOW_S = 5.0
"""Seconds for which what callers allow is remembered, and as long again. Gain: where callers
come back three times, 0.90 of the lookups are in time in place of 0.82 (experiment tool, pattern
abuse, three seeds)."""
FIRST_TRY_SHARE = 0.995
"""Part of the longest time allowed from which a request counts as a first try: callers that
are refused come back after 40 ms or more, of 1.5 s allowed."""
MIN_SAMPLES = 10
"""Requests that must have been seen before the usual time is known."""
MIN_FIRST_TRIES = 0.35
"""Part of the requests that must be first tries: each of them returns once at most, and more
often from few callers. Where less is near the longest, callers simply differ."""


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """A request that gets no slot, as far as it concerns its return."""

    objective_left_s: float
    """Seconds until the answer is worth less."""
    patience_s: float
    """Seconds for which it may have to wait for a slot when it is back."""
    runs_s: float
    """Seconds for which a request runs."""
    room_in_s: float
    """Seconds until a slot is expected to be free for it."""


def back_after_s(request: TurnedAway) -> float:
    """Return the seconds after which the caller should come back.

    Soon enough to be served within the objective after a whole wait; where that cannot be
    any more, when room is expected.
    """
    spare_s = request.objective_left_s - request.patience_s - request.runs_s
    in_time_s = spare_s * IN_TIME_SHARE
    if in_time_s >= MIN_DELAY_S:
        return in_time_s
    return usual_back_after_s(request.room_in_s)


def usual_back_after_s(room_in_s: float) -> float:
    """Return when to come back by the room that is expected alone."""
    return min(MAX_DELAY_S, max(DEFAULT_DELAY_S, room_in_s))


class UsualDeadline:
    """The time that callers of one route allow for their first try.

    A caller that returns allows only what is left of it, so that the difference tells how
    long ago it came first. Where callers allow very different times nothing is told.
    """

    def __init__(self) -> None:
        self._since = 0.0
        self._longest_s = [0.0, 0.0]
        """In the present window and in the one before."""
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
            # Longer than all before: what was near the former longest tells nothing.
            self._counted, self._first_tries = [0, 0], [0, 0]
        self._longest_s[0] = max(self._longest_s[0], allowed_s)
        self._counted[0] += 1
        self._first_tries[0] += allowed_s >= max(self._longest_s) * FIRST_TRY_SHARE
