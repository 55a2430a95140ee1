"""Which target of a service that is not divided by key gets the next request.

Every answer of a target's daemon carries that target's load, so the requester's picture
is as old as its last exchange; what it has sent since is added. No I/O and no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from random import Random

    from pearward_state.routes import WeightedService

__all__ = [
    "FAR_LOOKS",
    "NEAR_LOOKS",
    "Candidate",
    "Exchange",
    "IdleOdds",
    "LoadView",
    "MeanService",
    "TargetLoad",
    "WeightedTurns",
    "choose_target",
    "draw",
]

_T = TypeVar("_T")

LOAD_FADES_S = 1.0
"""Time in which a load that was not reported again counts for half: measured queues of
these targets empty in less."""
CROSS_DOMAIN_S = 0.012
"""Seconds of expected latency that staying in the own failure domain is worth, bytes apart:
the way there and back takes 3 ms, and heads of requests are bytes as well."""
CROSS_DOMAIN_S_PER_KB = 0.015
"""The same for each kilobyte of a request and its answer: a kilobyte takes 1.3 ms of a link of
6 Mbit/s at each end, and what crosses between failure domains shares their links with all else."""
MOST_CROSS_DOMAIN_S = 0.1
"""Beyond this a crowded near target would be preferred to a free one elsewhere."""
FAILURE_PENALTY_S = 0.6
"""Seconds of expected latency that a recent failure counts for; fades by half each second."""
CROWDED = 0.6
"""Part of the slots above which a target is expected to slow down or to queue."""
UNKNOWN_SERVICE_S = 0.15
"""Seconds that a request is expected to run where nothing is known of any target."""
UNKNOWN_SLOTS = 12
"""Slots of such a target; known ones have 6 to 12."""
NEAR_LOOKS, FAR_LOOKS = 2, 2
"""Targets that are compared for one request, in the own failure domain and elsewhere.

A requester hears of one of 75 targets every 20 s, and what it knows of a queue is old after one:
the best of all by such knowledge is the same few for everybody. Few that are drawn at random
differ from request to request (Mitzenmacher, 2000), and cost the same however many there are:
42 us a choice in place of 293 among 75 targets of 195 members (processor time, 3,000 choices)."""
REPORT_WEIGHT = 0.05
"""Weight of the newest report in the mean time of a service: some twenty targets' speeds."""
LEAST_ODDS = 0.4
"""Part of the targets that must have a place without a queue for that to be asked for: below it
two that are asked find one in half of the cases at most."""
ODDS_WEIGHT = 0.1
"""Weight of the newest answer in these odds: ten answers, three seconds of a usual daemon."""
ASK_AGAIN = 8
"""One request in so many asks all the same."""
DRAWS_PER_LOOK = 4
"""Targets that are drawn for each one that is compared before all are gone through: while three
quarters of them cannot be asked, this finds one in two of three cases."""


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """What the daemon beside a target said of it."""

    running: int
    waiting: int
    slots: int
    service_s: float
    """Mean running time of a request in seconds."""
    link_s: float = 0.0
    """Seconds that a long answer is expected to need for the link of the target's instance."""


@dataclass(slots=True)
class LoadView:
    """What a requester knows of one target."""

    load: TargetLoad | None = None
    """What it reported last."""
    reported_at: float = 0.0
    in_flight: int = 0
    """Own requests that are not answered."""
    in_flight_then: int = 0
    """Of those, the ones that the report already counted."""
    failures: float = 0.0
    failed_at: float = 0.0

    def reported(self, load: TargetLoad, now: float) -> None:
        """Take a report that came with an answer."""
        self.load = load
        self.reported_at = now
        self.in_flight_then = self.in_flight

    def failed(self, now: float) -> None:
        """Note an answer that was a failure, or none."""
        self.failures = self.recent_failures(now) + 1.0
        self.failed_at = now

    def recent_failures(self, now: float) -> float:
        """Return the failures, fading by half each second."""
        return float(self.failures * 0.5 ** (now - self.failed_at))

    def busy(self, now: float) -> float:
        """Return the requests that the target is expected to run and queue now."""
        reported = self.load.running + self.load.waiting if self.load is not None else 0
        faded = float(reported * 0.5 ** ((now - self.reported_at) / LOAD_FADES_S))
        return max(0.0, faded + self.in_flight - self.in_flight_then, float(self.in_flight))


class MeanService:
    """How long requests of one service run, by what its targets report."""

    def __init__(self) -> None:
        self.seconds = UNKNOWN_SERVICE_S
        self._reports = 0

    def reported(self, load: TargetLoad) -> None:
        """Take one target's report."""
        self._reports += 1
        weight = max(REPORT_WEIGHT, 1.0 / self._reports)
        self.seconds += weight * (load.service_s - self.seconds)


@dataclass(frozen=True, slots=True)
class Exchange:
    """What is known of a request and its answer before a target is chosen."""

    kilobytes: float = 0.0
    """Usual size of both together."""
    long_answer: bool = False
    """Whether the link of the target's instance counts as well."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may be chosen."""

    target: str
    near: bool
    """Whether it is in the requester's failure domain."""
    view: LoadView
    cold: bool = False
    local: bool = False
    """Whether it is on the requester's instance: no link lies between."""


def distance_s(asked: Exchange) -> float:
    """Return the expected latency that avoiding another failure domain is worth, in seconds."""
    return min(MOST_CROSS_DOMAIN_S, CROSS_DOMAIN_S + asked.kilobytes * CROSS_DOMAIN_S_PER_KB)


def draw(group: Sequence[_T], count: int, usable: Callable[[_T], bool], rng: Random) -> list[_T]:
    """Return up to *count* usable members of a group, drawn at random; all where they are few."""
    if len(group) <= count:
        return [each for each in group if usable(each)]
    drawn: dict[int, _T] = {}
    for _ in range(count * DRAWS_PER_LOOK):
        number = int(rng.random() * len(group))
        if number not in drawn and usable(group[number]):
            drawn[number] = group[number]
            if len(drawn) == count:
                return list(drawn.values())
    usable_ones = [each for each in group if usable(each)]
    return usable_ones if len(usable_ones) <= count else rng.sample(usable_ones, count)


def expected_latency(
    candidate: Candidate, now: float, asked: Exchange, far_s: float, usual_s: float
) -> float:
    """Return the seconds that a request sent now is expected to take, penalties included.

    *usual_s* is how long requests run where a target's own time is not known.
    """
    view = candidate.view
    load = view.load or TargetLoad(0, 0, UNKNOWN_SLOTS, usual_s)
    slots = max(1, load.slots)
    busy = view.busy(now) + 1.0
    crowd = max(0.0, busy / slots - CROWDED)
    queue = max(0.0, busy - slots) / slots
    service_s = load.service_s * (1.6 if candidate.cold else 1.0)
    latency = service_s * (1.0 + crowd + queue)
    latency += view.recent_failures(now) * FAILURE_PENALTY_S
    if asked.long_answer and not candidate.local:
        latency += load.link_s
    return latency if candidate.near else latency + far_s


def choose_target(
    candidates: Iterable[Candidate],
    now: float,
    rng: Random,
    asked: Exchange | None = None,
    usual_s: float = UNKNOWN_SERVICE_S,
) -> Candidate | None:
    """Return the candidate with the least expected latency; near ties are broken at random.

    The random part keeps requesters with the same picture from all choosing the same one.
    """
    best: Candidate | None = None
    best_cost = 0.0
    asked = asked or Exchange()
    far_s = distance_s(asked)
    for candidate in candidates:
        cost = expected_latency(candidate, now, asked, far_s, usual_s)
        cost *= 0.9 + 0.2 * rng.random()
        if best is None or cost < best_cost:
            best, best_cost = candidate, cost
    return best


class IdleOdds:
    """How often targets of a service that are asked for a place without a queue have one.

    Where few of them do, asking first for such a place costs two daemons half a millisecond of
    processor time each time and finds nothing: the first target that is asked may as well keep
    the request. One request in a while still asks, so that the end of the rush is seen.
    """

    def __init__(self) -> None:
        self._found = 1.0
        self._skipped = 0

    def worth_asking(self) -> bool:
        """Return whether the next request should look for a place without a queue first."""
        if self._found >= LEAST_ODDS:
            return True
        self._skipped = (self._skipped + 1) % ASK_AGAIN
        return self._skipped == 0

    def asked(self, *, found: bool) -> None:
        """A target was asked and had such a place, or not."""
        self._found += ODDS_WEIGHT * (found - self._found)


class WeightedTurns:
    """Shares one route's requests among services exactly by their weights."""

    def __init__(self, parts: Sequence[WeightedService], rng: Random) -> None:
        self._parts = tuple(parts)
        total = sum(part.weight for part in self._parts) or 1.0
        # A random start: many daemons with few requests each must not all begin alike.
        self._credit = [rng.random() * part.weight / total for part in self._parts]
        self._shares = [part.weight / total for part in self._parts]

    def next(self) -> str:
        """Return the service that the next request goes to."""
        for number, share in enumerate(self._shares):
            self._credit[number] += share
        chosen = max(range(len(self._parts)), key=lambda n: self._credit[n])
        self._credit[chosen] -= 1.0
        return self._parts[chosen].service
