"""The speed of each owner of a keyed service, relative to the others, from few running times.

Addresses the first seconds of a load, and running times that vary by more than the speeds of
targets do. The arithmetic mean of such times is determined by the few longest ones; the mean of
their logarithms is known to a fifth after twenty runs. Each daemon keeps it for its target, and the
planner compares the owners. An owner's speed is assumed to be usual until its runs show otherwise.

Routes have different running times, and owners run different mixes of them. The mean is therefore
kept by route, and the routes are combined with weights that hardly depend on how often each is
used.

A target that becomes slow ends few runs, so that means of completed runs show it late. The
completed and running requests of the last seconds are therefore compared with what a slow target
would have done in that time. No I/O and no clock.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import exp, isfinite, log, log1p, sqrt

__all__ = [
    "OwnerSpeed",
    "RunStatistics",
    "RunSummary",
    "RunningRequest",
    "capacity_error",
    "relative_speeds",
    "reported_runs",
]

INITIAL_RUN_S = 0.15
"""Running time in seconds that is reported before any request has ended; it has no weight."""
HALF_LIFE_RUNS = 40
"""Number of further runs of a route after which a run counts for half."""
DECAY = 0.5 ** (1.0 / HALF_LIFE_RUNS)
PRIOR_RUNS = 6.0
"""Weight, in runs, of the assumption that a target's speed is usual. Speeds of targets differ by a
factor of 1.4 (standard deviation), which is the error of the mean of six running times."""
RUN_SPREAD = 0.9
"""Standard deviation of the logarithm of running times: 0.8, and 3 in 100 seven times as long."""
MIN_RUN_S = 0.001
"""Minimum running time in seconds; a shorter one is limited by the exchange, not by the target."""
MAX_ROUTES = 256
"""Maximum number of routes with separate running times; a service has a few."""
MAX_RUNS = 1e6
"""Maximum number of runs in a report; the weights allow about a hundred for each route."""
MAX_RUN_MS = 3.6e6
"""Maximum typical running time in ms in a report: an hour, longer than any caller waits."""

WINDOWS_S = (0.7, 1.0, 1.5, 2.2)
"""Seconds of runs that are examined for a slow-down, as its beginning is not known. Within the
shortest, a target with six slots in use usually ends a dozen runs."""
SLOW_FACTOR = 5.0
"""Factor of a slow-down that is compared with the usual speed; smaller ones show in the mean."""
SLOW_EVIDENCE = 7.0
"""Logarithm of the likelihood ratio from which a target counts as slow: a false alarm, which moves
some keys, is expected about once in five minutes of a target with all slots in use."""
SLOW_RUNS = 20.0
"""Runs that such evidence counts for; the planner then trusts the lower speed for the most part."""
MIN_RUNS_KNOWN = 10.0
"""Runs from which the usual running time is known well enough to detect a slow-down."""
TAIL_SHAPE = 2.0
"""Shape of the log-logistic distribution of running times that stands for the usual one: its
logarithm has a standard deviation of 0.9, and one run in fifty takes seven times the median."""


@dataclass(frozen=True, slots=True)
class RunSummary:
    """Geometric mean of a target's running times in seconds, and the number of runs behind it."""

    typical_s: float
    runs: float


@dataclass(frozen=True, slots=True)
class RunningRequest:
    """A request that a target runs now."""

    route: str
    started: float


@dataclass(frozen=True, slots=True)
class OwnerSpeed:
    """Speed relative to the mean of the service, and the standard error of its logarithm."""

    relative: float
    error: float


@dataclass(slots=True)
class _RouteRuns:
    """Decaying mean of the logarithms of one route's running times."""

    log_s: float = 0.0
    weight: float = 0.0
    squares: float = 0.0
    """Sum of the squares of the weights."""

    @property
    def runs(self) -> float:
        """Number of runs with equal weights that would give the mean as accurately."""
        return self.weight**2 / self.squares if self.squares else 0.0

    def take(self, log_s: float) -> None:
        """Add the logarithm of a running time."""
        self.weight = self.weight * DECAY + 1.0
        self.squares = self.squares * DECAY**2 + 1.0
        self.log_s += (log_s - self.log_s) / self.weight

    def become_slow(self, factor: float) -> None:
        """Replace the mean by one that is *factor* higher and known from few runs."""
        self.log_s += log(factor)
        self.weight = self.squares = SLOW_RUNS


@dataclass(frozen=True, slots=True)
class _RecentRun:
    route: str
    started: float
    ended: float


class RunStatistics:
    """Running times of one target, since it started."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteRuns] = {}
        self._recent: deque[_RecentRun] = deque()
        self._slow_since = float("-inf")

    def reset(self) -> None:
        """Forget all runs: another target has started."""
        self._routes.clear()
        self._recent.clear()
        self._slow_since = float("-inf")

    def ended(self, route: str, started: float, now: float) -> None:
        """Add a run that ended with a complete response."""
        runs = self._routes.get(route)
        if runs is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            runs = self._routes[route] = _RouteRuns()
        runs.take(log(max(now - started, MIN_RUN_S)))
        self._recent.append(_RecentRun(route, started, now))
        self._forget_before(now - WINDOWS_S[-1])

    def summary(self, running: Iterable[RunningRequest], now: float) -> RunSummary:
        """Return the typical running time, after a check for a slow-down."""
        self._forget_before(now - WINDOWS_S[-1])
        if self._is_slow(tuple(running), now):
            self._slow_since = now
            for runs in self._routes.values():
                runs.become_slow(SLOW_FACTOR)
        return self._combined()

    def _combined(self) -> RunSummary:
        """Return the mean over the routes.

        The weight of a route grows with its runs only up to a few, so that owners with different
        mixes of routes have comparable means.
        """
        rows = [(r.runs / (r.runs + PRIOR_RUNS), r) for r in self._routes.values() if r.runs > 0.0]
        total = sum(weight for weight, _ in rows)
        if total <= 0.0:
            return RunSummary(INITIAL_RUN_S, 0.0)
        mean = sum(weight * r.log_s for weight, r in rows) / total
        variance = sum((weight / total) ** 2 / r.runs for weight, r in rows)
        return RunSummary(exp(mean), 1.0 / variance)

    # -- slow-downs ----------------------------------------------------------------

    def _forget_before(self, oldest: float) -> None:
        while self._recent and self._recent[0].ended < oldest:
            self._recent.popleft()

    def _is_slow(self, running: tuple[RunningRequest, ...], now: float) -> bool:
        """Return whether the recent runs show that the target has become slow."""
        if self._combined().runs < MIN_RUNS_KNOWN:
            return False
        runs = [(run.route, run.started, run.ended, True) for run in self._recent]
        runs += [(request.route, request.started, now, False) for request in running]
        return any(
            sum(self._evidence(*run, now - window_s) for run in runs if run[2] > now - window_s)
            > SLOW_EVIDENCE
            for window_s in WINDOWS_S
            if now - window_s >= self._slow_since
        )

    def _evidence(
        self, route: str, started: float, until: float, ended: bool, since: float
    ) -> float:
        """Return by how much one run makes a slow-down that began at *since* more likely.

        It is the logarithm of the ratio of the likelihoods of running until *until*, and of
        ending there, given that the run had not ended at *since*.
        """
        runs = self._routes.get(route)
        if runs is None or runs.runs < PRIOR_RUNS:
            return 0.0
        scale = exp(-runs.log_s)
        before = max(0.0, since - started) * scale
        usual = max(until - started, MIN_RUN_S) * scale
        slow = before + (usual - before) / SLOW_FACTOR
        evidence = _hazard(usual) - _hazard(slow)
        if ended:
            evidence += log(_hazard_rate(slow) / _hazard_rate(usual) / SLOW_FACTOR)
        return evidence


def _hazard(times: float) -> float:
    """Return the cumulative hazard of a run that has taken *times* the median."""
    return log1p(times**TAIL_SHAPE)


def _hazard_rate(times: float) -> float:
    """Return the derivative of the cumulative hazard."""
    power: float = times**TAIL_SHAPE
    return TAIL_SHAPE * power / times / (1.0 + power)


# -- in the planner ------------------------------------------------------------------


def reported_runs(typical_run_ms: float, runs: float) -> RunSummary | None:
    """Return the statistics of a report; None if it has none.

    Raises ValueError if a value is negative, not finite or absurdly large.
    """
    if not (isfinite(typical_run_ms) and isfinite(runs)):
        raise ValueError("not finite")
    if not (0.0 <= typical_run_ms <= MAX_RUN_MS and 0.0 <= runs <= MAX_RUNS):
        raise ValueError("out of range")
    return RunSummary(typical_run_ms / 1000, runs) if typical_run_ms > 0.0 else None


def relative_speeds(summaries: Mapping[str, RunSummary]) -> dict[str, OwnerSpeed]:
    """Return the speed of each owner relative to the mean of all.

    Each is shrunk towards the usual speed as far as its runs leave it uncertain, also in the
    geometric mean that it is compared with.
    """
    trust = {t: s.runs / (s.runs + PRIOR_RUNS) for t, s in summaries.items()}
    total = sum(trust.values())
    if total <= 0.0:
        return {t: OwnerSpeed(1.0, capacity_error(0.0)) for t in summaries}
    usual = sum(trust[t] * log(s.typical_s) for t, s in summaries.items()) / total
    speeds = {t: exp(trust[t] * (usual - log(s.typical_s))) for t, s in summaries.items()}
    # The mean of the capacities has to remain that of the service.
    mean = sum(speeds.values()) / len(speeds)
    return {t: OwnerSpeed(speeds[t] / mean, capacity_error(s.runs)) for t, s in summaries.items()}


def capacity_error(runs: float) -> float:
    """Return the standard error of the logarithm of a speed that *runs* running times show."""
    return RUN_SPREAD / sqrt(runs + PRIOR_RUNS)
