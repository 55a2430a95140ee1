"""Request counts by key: counted at each owner, combined by the planner.

Owners report plain counts since their last report, so that a key's history is kept when the key
changes owner. No I/O and no clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp, log

__all__ = ["RECENT_S", "KeyCount", "KeyCounter", "KeyLoadTable", "KeyRate"]

MAX_ROWS = 64
"""Maximum number of rows in one report; an owner gets about twenty requests between two reports."""
WINDOW_S = 3.0
"""Averaging window in seconds: about a hundred requests of a usual owner, which gives its load to a
tenth."""
RECENT_S = 0.6
"""Averaging window in seconds that shows a sudden change: one and a half reports."""
IDLE_WEIGHT = 5.0
"""Weight in requests below which the present load counts as unknown."""
REPORT_S = 0.4
"""Seconds that a first report is assumed to cover."""
MIN_KEY_WEIGHT = 0.02
"""Weight in requests below which a key is dropped."""
MIN_SEEN_S = 0.2
"""Minimum observation time in seconds used for a rate; shorter ones give random results."""
RESCALE_EXPONENT = 30.0
"""Number of windows after which all weights are rescaled: once in 90 s, far below a float's
limit."""
UNDERFLOW_EXPONENT = 700.0
"""Exponent beyond which the result underflows to zero."""


@dataclass(frozen=True, slots=True)
class KeyCount:
    """Number of requests for consecutive keys."""

    first: int
    last: int
    count: int


@dataclass(frozen=True, slots=True)
class KeyRate:
    """Requests per second for one key."""

    key: int
    rate: float


class KeyCounter:
    """Counts the requests for one owner's keys."""

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}

    def count(self, key: int) -> None:
        """Count a request for *key*."""
        self._counts[key] = self._counts.get(key, 0) + 1

    def take(self) -> tuple[KeyCount, ...]:
        """Return the counts since the last call; adjacent keys are joined if there are many."""
        counts, self._counts = self._counts, {}
        keys = sorted(counts)
        join = -(-len(keys) // MAX_ROWS)
        groups = [keys[start : start + join] for start in range(0, len(keys), join or 1)]
        return tuple(
            KeyCount(group[0], group[-1], sum(counts[key] for key in group)) for group in groups
        )


class KeyLoadTable:
    """Requests per second by key, as a moving mean over all owners' reports.

    Weights decay forward (Cormode and others, 2009): later additions weigh more, and all weights
    are divided by one factor when they are read. The cost of a report thus depends on its own rows
    and not on the size of the table: 9 us instead of 1.8 ms with 10,000 known keys.
    """

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._weights: dict[int, float] = {}
        """Weight of each key, in requests at the landmark."""
        self._total = 0.0
        self._landmark = 0.0
        self._started_at: float | None = None

    def add(self, counts: Iterable[KeyCount], now: float) -> None:
        """Add an owner's report."""
        scale = self._scale(now)
        if self._started_at is None or self._total < IDLE_WEIGHT * scale:
            # After a period with almost no requests the mean starts anew.
            self._started_at = now - REPORT_S
            self._replace({}, now)
            scale = 1.0
        weights = self._weights
        for row in counts:
            # Joined adjacent keys are counted for the key in their middle.
            key = (row.first + row.last) // 2
            weights[key] = weights.get(key, 0.0) + row.count * scale
            self._total += row.count * scale

    def reset_from(self, recent: "KeyLoadTable", now: float) -> None:
        """Replace the history by that of a table with a shorter window, after a sudden change."""
        observed_s = recent.observed_s(now)
        self._replace({row.key: row.rate * observed_s for row in recent.rates(now)}, now)
        self._started_at = now + self._window_s * log(max(0.01, 1.0 - observed_s / self._window_s))

    def observed_s(self, now: float) -> float:
        """Return the effective observation time of the table in seconds."""
        if self._started_at is None:
            return 0.0
        return self._window_s * (1.0 - exp(-max(0.0, now - self._started_at) / self._window_s))

    def rate(self, now: float) -> float:
        """Return the requests per second for all keys together."""
        return self._total / self._scale(now) / max(self.observed_s(now), MIN_SEEN_S)

    def rates(self, now: float) -> tuple[KeyRate, ...]:
        """Return the requests per second by key, in key order."""
        least = MIN_KEY_WEIGHT * self._scale(now)
        if any(weight <= least for weight in self._weights.values()):
            self._replace(
                {key: weight for key, weight in self._weights.items() if weight > least},
                self._landmark,
            )
        factor = 1.0 / (self._scale(now) * max(self.observed_s(now), MIN_SEEN_S))
        weights = self._weights
        return tuple([KeyRate(key, weights[key] * factor) for key in sorted(weights)])

    def _scale(self, now: float) -> float:
        """Return the weight at the landmark of one request that arrives now.

        The landmark is advanced before the weights exceed the range of a float.
        """
        exponent = (now - self._landmark) / self._window_s
        if exponent > RESCALE_EXPONENT:
            factor = exp(-min(exponent, UNDERFLOW_EXPONENT))
            self._replace({key: w * factor for key, w in self._weights.items()}, now)
            return 1.0
        return exp(exponent)

    def _replace(self, weights: dict[int, float], landmark: float) -> None:
        self._weights = weights
        self._total = sum(weights.values())
        self._landmark = landmark
