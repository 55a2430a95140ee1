"""Choose a target in the requester's failure domain while it can serve the request in time.

Addresses a load that the targets of each failure domain can mostly run themselves: comparing all
targets by expected latency sends every request of one domain to a faster target in another, though
bytes between failure domains are scarce. The own domain is left when its targets are believed to be
full, so that a domain with slow or too few targets still uses the others. A daemon receives few
reports, so a belief is as old as its last exchange with a target, plus its own requests since then.
No I/O and no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .overload.policy import Mechanism, OverloadPolicy
from .selection import (
    DEFAULT_SERVICE_S,
    NEAR_SAMPLES,
    Candidate,
    ExchangeProfile,
    choose_target,
    cross_domain_cost_s,
    expected_latency,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

__all__ = [
    "FAR_GAIN_SHARE",
    "MAX_NEAR_ASKED",
    "NEAR_FIRST_SAMPLES",
    "Allowance",
    "choose_near_first",
    "near_samples",
]

FAR_GAIN_SHARE = 0.1
"""Part of the latency objective by which a far target must be expected to respond earlier once the
near ones are full: a wait of a tenth of the objective makes few requests late."""
MAX_NEAR_ASKED = 2
"""Near targets without a free slot after which the rest of the domain is presumed to be full; the
last target that is asked may queue the request, and is compared by its expected wait."""
NEAR_FIRST_SAMPLES = 6
"""Number of near targets compared per request: a failure domain of services with 14 to 18 targets
has 4 to 7. If two are compared, a domain often seems to be full while it has free slots, and 22 of
100 attempts leave it instead of 14 (experiment tool, pattern near)."""
MAX_FAILURES = 0.5
"""Recent failures of a near target above which a far one may replace it: one in the last second."""


@dataclass(frozen=True, slots=True)
class Allowance:
    """Time that a request's latency objective allows."""

    objective_s: float
    """The whole latency objective; 0 if it is not known."""
    left_s: float
    """What is left of it for this request; negative after its end."""
    refusals: int = 0
    """Number of targets that had no free slot for this request."""


def near_samples(policy: OverloadPolicy) -> int:
    """Return the number of targets in the own failure domain that are compared per request."""
    return NEAR_FIRST_SAMPLES if policy.uses(Mechanism.NEAR_FIRST) else NEAR_SAMPLES


def choose_near_first(
    candidates: Sequence[Candidate],
    now: float,
    rng: Random,
    allowance: Allowance,
    profile: ExchangeProfile | None = None,
    mean_run_s: float = DEFAULT_SERVICE_S,
) -> Candidate | None:
    """Return the best near candidate with a free slot, or the best one if the domain is full."""
    near = [candidate for candidate in candidates if candidate.near]
    if allowance.objective_s <= 0.0 or not near or len(near) == len(candidates):
        return choose_target(candidates, now, rng, profile, mean_run_s)
    profile = profile or ExchangeProfile()

    def latency_s(candidate: Candidate) -> float:
        return expected_latency(candidate, now, profile, 0.0, mean_run_s)

    if allowance.refusals < MAX_NEAR_ASKED:
        free = [
            candidate
            for candidate in near
            if _has_free_slot(candidate, now) and latency_s(candidate) <= allowance.left_s
        ]
        if free:
            return choose_target(free, now, rng, profile, mean_run_s)
    best_near = choose_target(near, now, rng, profile, mean_run_s)
    far = [candidate for candidate in candidates if not candidate.near]
    best_far = choose_target(far, now, rng, profile, mean_run_s)
    if best_near is None or best_far is None:
        return best_near or best_far
    near_s, far_s = latency_s(best_near), latency_s(best_far)
    if far_s <= allowance.left_s < near_s:
        gain_s = cross_domain_cost_s(profile)
    else:
        gain_s = max(cross_domain_cost_s(profile), allowance.objective_s * FAR_GAIN_SHARE)
    return best_far if near_s - far_s > gain_s else best_near


def _has_free_slot(candidate: Candidate, now: float) -> bool:
    """Return whether a target is believed to have a free slot and has not failed recently."""
    view = candidate.view
    free = view.busy(now) + 1.0 <= max(1, view.slots(now))
    return free and view.recent_failures(now) < MAX_FAILURES
