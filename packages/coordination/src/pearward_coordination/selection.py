"""Choose a target for the next request of a service that is not divided by key.

Every reply of a target's daemon carries the target's load, so the requester's view is as old as its
last exchange; requests sent since then are added. No I/O and no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from random import Random

    from pearward_state.routes import WeightedService

__all__ = [
    "FAR_SAMPLES",
    "NEAR_SAMPLES",
    "Candidate",
    "ExchangeProfile",
    "FreeSlotOdds",
    "LoadView",
    "MeanRunningTime",
    "TargetLoad",
    "WeightedRoundRobin",
    "choose_target",
    "draw",
]

_T = TypeVar("_T")

LOAD_HALF_LIFE_S = 1.0
"""Half-life in seconds of a load that is not reported again; queues of targets empty faster."""
LIMIT_VALID_S = 2.0
"""Seconds after a report for which slots that a rate limit reduced are expected to be reduced."""
CROSS_DOMAIN_S = 0.012
"""Seconds of expected latency accepted to stay in the own failure domain, before the cost of bytes:
a round trip takes 3 ms, and request heads use bytes as well."""
CROSS_DOMAIN_S_PER_KB = 0.015
"""The same per kilobyte of a request and its response. A kilobyte takes 1.3 ms of a 6 Mbit/s link
at each end, and cross-domain traffic shares these links with all other traffic."""
MAX_CROSS_DOMAIN_S = 0.1
"""Upper limit in seconds; beyond it a crowded near target would be preferred to a free far one."""
FAILURE_PENALTY_S = 0.6
"""Seconds of expected latency added per recent failure; halves each second."""
CROWDED_SHARE = 0.6
"""Part of the slots in use above which a target is expected to slow down or to queue."""
DEFAULT_SERVICE_S = 0.15
"""Expected running time in seconds if the load of no target is known."""
DEFAULT_SLOTS = 12
"""Assumed slots of a target with unknown load; known targets have 6 to 12."""
NEAR_SAMPLES, FAR_SAMPLES = 2, 2
"""Number of targets compared per request, in the own failure domain and elsewhere.

A requester receives reports from one of 75 targets every 20 s, and a queue length is outdated after
one second. Comparing all targets by such data would make every requester choose the same few. Small
random samples differ from request to request (Mitzenmacher, 2000), and their cost does not depend
on the number of targets: 42 us of processor time per choice instead of 293 us with 75 targets among
195 members.
"""
REPORT_WEIGHT = 0.05
"""Weight of the newest report in the mean running time of a service: about twenty reports count."""
MIN_ODDS = 0.4
"""Part of the probed targets that must have a free slot for probing to continue; below it, two
probes find a free slot in at most half of the cases."""
ODDS_WEIGHT = 0.1
"""Weight of the newest probe in this estimate: ten probes, about three seconds of a usual
daemon."""
PROBE_INTERVAL = 8
"""While the estimate is low, one request in this many still probes."""
DRAWS_PER_SAMPLE = 4
"""Random draws per compared target before all targets are scanned; if three quarters of them are
unusable, this finds one in two of three cases."""


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load of a target as reported by its daemon."""

    running: int
    waiting: int
    slots: int
    service_s: float
    """Mean running time of a request in seconds."""
    link_s: float = 0.0
    """Expected seconds to send a long response over the link of the target's instance."""


@dataclass(slots=True)
class LoadView:
    """A requester's view of one target's load."""

    load: TargetLoad | None = None
    """The latest report."""
    most_slots: int = 0
    """Largest number of slots reported so far; fewer are reported under a rate limit."""
    reported_at: float = 0.0
    in_flight: int = 0
    """Own requests without a response."""
    in_flight_at_report: int = 0
    """Those of them that the report already includes."""
    failures: float = 0.0
    failed_at: float = 0.0

    def reported(self, load: TargetLoad, now: float) -> None:
        """Record a report that came with a reply."""
        self.load = load
        self.most_slots = max(self.most_slots, load.slots)
        self.reported_at = now
        self.in_flight_at_report = self.in_flight

    def slots(self, now: float) -> int:
        """Return the number of slots that the target is expected to have now.

        A rate limit that has ended shows only in a response, so that a target that gets no
        requests because of its limit is tried again.
        """
        if self.load is None:
            return DEFAULT_SLOTS
        if now - self.reported_at < LIMIT_VALID_S:
            return self.load.slots
        return max(self.load.slots, self.most_slots)

    def failed(self, now: float) -> None:
        """Record a failed or missing reply."""
        self.failures = self.recent_failures(now) + 1.0
        self.failed_at = now

    def recent_failures(self, now: float) -> float:
        """Return the number of failures, halved each second."""
        return float(self.failures * 0.5 ** (now - self.failed_at))

    def busy(self, now: float) -> float:
        """Return the number of requests that the target is expected to run and queue now."""
        reported = self.load.running + self.load.waiting if self.load is not None else 0
        faded = float(reported * 0.5 ** ((now - self.reported_at) / LOAD_HALF_LIFE_S))
        return max(0.0, faded + self.in_flight - self.in_flight_at_report, float(self.in_flight))


class MeanRunningTime:
    """Mean running time of one service's requests, as reported by its targets."""

    def __init__(self) -> None:
        self.seconds = DEFAULT_SERVICE_S
        self._reports = 0

    def reported(self, load: TargetLoad) -> None:
        """Add one target's report to the mean."""
        self._reports += 1
        weight = max(REPORT_WEIGHT, 1.0 / self._reports)
        self.seconds += weight * (load.service_s - self.seconds)


@dataclass(frozen=True, slots=True)
class ExchangeProfile:
    """Properties of a request and its expected response, known before a target is chosen."""

    kilobytes: float = 0.0
    """Usual size of the two together."""
    long_response: bool = False
    """Whether the delay on the link of the target's instance counts as well."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may be chosen."""

    target: str
    near: bool
    """Whether it is in the requester's failure domain."""
    view: LoadView
    cold: bool = False
    local: bool = False
    """Whether it is on the requester's instance, so that no link is used."""


def cross_domain_cost_s(profile: ExchangeProfile) -> float:
    """Return the expected latency in seconds that is accepted to stay in the own failure domain."""
    return min(MAX_CROSS_DOMAIN_S, CROSS_DOMAIN_S + profile.kilobytes * CROSS_DOMAIN_S_PER_KB)


def draw(group: Sequence[_T], count: int, usable: Callable[[_T], bool], rng: Random) -> list[_T]:
    """Return up to *count* usable members of a group, drawn at random; all if there are fewer."""
    if len(group) <= count:
        return [each for each in group if usable(each)]
    drawn: dict[int, _T] = {}
    for _ in range(count * DRAWS_PER_SAMPLE):
        number = int(rng.random() * len(group))
        if number not in drawn and usable(group[number]):
            drawn[number] = group[number]
            if len(drawn) == count:
                return list(drawn.values())
    all_usable = [each for each in group if usable(each)]
    return all_usable if len(all_usable) <= count else rng.sample(all_usable, count)


def expected_latency(
    candidate: Candidate, now: float, profile: ExchangeProfile, far_s: float, mean_run_s: float
) -> float:
    """Return the expected latency in seconds of a request sent now, including penalties.

    *mean_run_s* is the running time assumed for targets without a report.
    """
    view = candidate.view
    load = view.load or TargetLoad(0, 0, DEFAULT_SLOTS, mean_run_s)
    slots = max(1, view.slots(now))
    busy = view.busy(now) + 1.0
    crowding = max(0.0, busy / slots - CROWDED_SHARE)
    queue = max(0.0, busy - slots) / slots
    service_s = load.service_s * (1.6 if candidate.cold else 1.0)
    latency = service_s * (1.0 + crowding + queue)
    latency += view.recent_failures(now) * FAILURE_PENALTY_S
    if profile.long_response and not candidate.local:
        latency += load.link_s
    return latency if candidate.near else latency + far_s


def choose_target(
    candidates: Iterable[Candidate],
    now: float,
    rng: Random,
    profile: ExchangeProfile | None = None,
    mean_run_s: float = DEFAULT_SERVICE_S,
) -> Candidate | None:
    """Return the candidate with the least expected latency; near ties are broken at random.

    The random factor keeps requesters with the same view from all choosing the same target.
    """
    best: Candidate | None = None
    best_cost = 0.0
    profile = profile or ExchangeProfile()
    far_s = cross_domain_cost_s(profile)
    for candidate in candidates:
        cost = expected_latency(candidate, now, profile, far_s, mean_run_s)
        cost *= 0.9 + 0.2 * rng.random()
        if best is None or cost < best_cost:
            best, best_cost = candidate, cost
    return best


class FreeSlotOdds:
    """Estimate of how often probed targets of a service have a free slot.

    If few of them do, probing first costs two daemons half a millisecond of processor time per
    request without finding a free slot, so the first target asked may as well queue the request. An
    occasional request still probes, to detect the end of the overload.
    """

    def __init__(self) -> None:
        self._odds = 1.0
        self._skipped = 0

    def should_probe(self) -> bool:
        """Return whether the next request should probe for a free slot first."""
        if self._odds >= MIN_ODDS:
            return True
        self._skipped = (self._skipped + 1) % PROBE_INTERVAL
        return self._skipped == 0

    def note_probe(self, *, found: bool) -> None:
        """Record whether a probed target had a free slot."""
        self._odds += ODDS_WEIGHT * (found - self._odds)


class WeightedRoundRobin:
    """Weighted round robin that shares one route's requests exactly by the services' weights."""

    def __init__(self, parts: Sequence[WeightedService], rng: Random) -> None:
        self._parts = tuple(parts)
        total = sum(part.weight for part in self._parts) or 1.0
        # The random start keeps many daemons with few requests each from all starting alike.
        self._credit = [rng.random() * part.weight / total for part in self._parts]
        self._shares = [part.weight / total for part in self._parts]

    def next(self) -> str:
        """Return the service for the next request."""
        for number, share in enumerate(self._shares):
            self._credit[number] += share
        chosen = max(range(len(self._parts)), key=lambda n: self._credit[n])
        self._credit[chosen] -= 1.0
        return self._parts[chosen].service
