"""Discrete-event simulation of targets, callers and links around the daemon's decision code.

The slot queue of a target, the choice among targets, the attempt plan and the retry delay are
the daemon's own code. The running time of a request, the delay between two daemons, and the
retries and deadlines of the callers are simulated.
"""

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from pearward_coordination.attempt_plan import AttemptPlan, NextStep, RequestTimes
from pearward_coordination.near_first import Allowance, choose_near_first, near_samples
from pearward_coordination.overload.policy import Mechanism, OverloadPolicy
from pearward_coordination.selection import (
    FAR_SAMPLES,
    Candidate,
    FreeSlotOdds,
    LoadView,
    MeanRunningTime,
    TargetLoad,
    draw,
)
from pearward_coordination.slots import Refused, SlotLimits, SlotQueue, SlotTicket
from pearward_state.outcome import Outcome, Reason

from .pattern import Pattern, RequestSpec, ServiceSpec
from .placements import Placements

__all__ = ["ClassCounts", "Simulation", "SimulationResult"]

HOP_S = 0.002
"""One-way delay between two daemons, in seconds."""
QUEUE_PER_SLOT = 8
"""Queue capacity of a target, per slot."""
SLOWDOWN_LOAD, SLOWDOWN_FACTOR = 0.75, 1.15
"""Share of busy slots above which a target slows down, and the factor on its running times."""
GRACE_S = 4.0
"""Seconds for which the simulation continues after the load, so that open requests can end."""


@dataclass
class ClassCounts:
    """Results of the requests of one class."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_on_retry: int = 0
    failed: int = 0
    credit: float = 0.0
    """Value earned by served requests, less the deductions for refused retries."""
    max_credit: float = 0.0
    """Value of all requests, which is the largest possible credit."""


@dataclass
class SimulationResult:
    """Results by class of requests, and by the second of a request's first try."""

    by_class: dict[str, ClassCounts] = field(default_factory=dict)
    seconds: dict[int, list[int]] = field(default_factory=dict)
    """Requests sent, served in time, served late and not served, by second of the first try."""
    placements: Placements = field(default_factory=Placements)
    """Attempts at targets that any daemon may choose."""

    @property
    def credit(self) -> float:
        """Credit of all classes as a share of the largest possible credit."""
        max_credit = sum(counts.max_credit for counts in self.by_class.values())
        return (
            sum(counts.credit for counts in self.by_class.values()) / max_credit
            if max_credit
            else 0.0
        )


class _Target:
    """A simulated target: its slot queue and its speed."""

    def __init__(self, world: "Simulation", spec: ServiceSpec, number: int) -> None:
        self.name = f"{spec.name}-{number}"
        self.service = spec.name
        self.speed = spec.speeds[number]
        self.domain = spec.domain_of(number, world.domains)
        self.lost = False
        limits = SlotLimits(spec.slots, spec.slots * QUEUE_PER_SLOT, policy=world.policy)
        self.queue = SlotQueue(limits)
        self.waiting: dict[SlotTicket, _Attempt] = {}

    def load(self, now: float) -> TargetLoad:
        queue = self.queue
        return TargetLoad(queue.running, queue.waiting, queue.slots, queue.service_s(now))


@dataclass(eq=False)
class _Attempt:
    """One attempt of a request at one target."""

    spec: RequestSpec
    target: _Target
    ticket: SlotTicket
    on_end: Callable[[Outcome, Reason | None, float], None]
    """Called with the outcome, its reason, and the delay in seconds before a retry."""
    done: bool = False


class Simulation:
    """Simulation of one pattern of load with one seed, in virtual time."""

    def __init__(
        self, pattern: Pattern, policy: OverloadPolicy, seed: int, load_factor: float
    ) -> None:
        self._pattern = pattern
        self.policy = policy
        self._load_factor = load_factor
        self.domains = pattern.domains
        self._rng = Random(f"{pattern.name} {seed}")
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._requests = {request.name: request for request in pattern.requests}
        self._targets = {
            spec.name: [_Target(self, spec, n) for n in range(len(spec.speeds))]
            for spec in pattern.services
        }
        self._keyed = {spec.name for spec in pattern.services if spec.keyed}
        self._views: dict[tuple[int, str], LoadView] = {}
        self._free_slot_odds: dict[tuple[int, str], FreeSlotOdds] = {}
        self._mean_running_times: dict[tuple[int, str], MeanRunningTime] = {}
        self.tally = SimulationResult({r.name: ClassCounts() for r in pattern.requests if r.per_s})

    # -- time --------------------------------------------------------------------------

    def schedule(self, delay_s: float, call: Callable[[], None]) -> None:
        """Run *call* after *delay_s* seconds of virtual time."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay_s, self._sequence, call))

    def play(self) -> SimulationResult:
        """Simulate the whole pattern and return the results of its requests."""
        for request in self._pattern.requests:
            if request.per_s:
                self._schedule_arrival(request)
        for change in self._pattern.changes:
            if change.kind == "lost":
                for target in self._targets[change.service][: change.targets]:
                    self.schedule(change.start_s, lambda t=target: self._set_lost(t, True))  # type: ignore[misc]
                    ends_s = change.start_s + change.duration_s
                    self.schedule(ends_s, lambda t=target: self._set_lost(t, False))  # type: ignore[misc]
        ends = self._pattern.seconds + GRACE_S
        while self._events and self._events[0][0] <= ends:
            self.now, _, call = heapq.heappop(self._events)
            call()
        return self.tally

    def _set_lost(self, target: _Target, lost: bool) -> None:
        target.lost = lost

    def _magnitude_of(self, kind: str, service: str, target: _Target | None = None) -> float | None:
        """Return the magnitude of the active change of a kind, or None."""
        for change in self._pattern.changes:
            if change.kind != kind or change.service not in ("", service):
                continue
            if not change.start_s <= self.now < change.start_s + change.duration_s:
                continue
            if target is None or target in self._targets[service][: change.targets]:
                return change.magnitude
        return None

    # -- callers ------------------------------------------------------------------------

    def _schedule_arrival(self, spec: RequestSpec) -> None:
        rate = spec.per_s * self._load_factor * (self._magnitude_of("rate", spec.service) or 1.0)
        self.schedule(self._rng.expovariate(rate), lambda: self._on_arrival(spec))

    def _on_arrival(self, spec: RequestSpec) -> None:
        if self.now >= self._pattern.seconds:
            return
        self._schedule_arrival(spec)
        counts = self.tally.by_class[spec.name]
        counts.asked += 1
        counts.max_credit += spec.value
        self._second_counts()[0] += 1
        max_retries = spec.max_retries
        if (abuse := self._magnitude_of("abuse", spec.service)) is not None:
            max_retries += int(abuse)
        self._try(spec, self.now, max_retries, first=True)

    def _second_counts(self, began: float | None = None) -> list[int]:
        second = int(self.now if began is None else began)
        return self.tally.seconds.setdefault(second, [0, 0, 0, 0])

    def _try(self, spec: RequestSpec, began: float, retries: int, *, first: bool) -> None:
        deadline = began + spec.deadline_s

        def on_end(outcome: Outcome, reason: Reason | None, retry_delay_s: float) -> None:
            left_s = deadline - self.now
            retryable = outcome is Outcome.NOT_RUN or (
                spec.idempotent and outcome is Outcome.UNKNOWN
            )
            if retryable and retries > 0 and left_s > 0.05:
                pause_s = min(retry_delay_s, left_s / 3)
                self.schedule(pause_s, lambda: self._try(spec, began, retries - 1, first=False))
            else:
                self._count_result(spec, began, outcome, first=first)

        aged = self.policy.uses(Mechanism.AGED_RETRIES)
        _RoutedRequest(self, spec, deadline, on_end, began if aged else self.now).next_attempt()

    def _count_result(
        self, spec: RequestSpec, began: float, outcome: Outcome, *, first: bool
    ) -> None:
        counts = self.tally.by_class[spec.name]
        row = self._second_counts(began)
        if outcome is Outcome.SERVED:
            in_time = self.now - began <= spec.objective_s
            counts.in_time += in_time
            counts.late += not in_time
            counts.credit += spec.value * (1.0 if in_time else spec.late_value)
            row[1 if in_time else 2] += 1
            return
        row[3] += 1
        if outcome is Outcome.NOT_RUN:
            counts.refused += 1
            counts.refused_on_retry += not first
            counts.credit -= 0.0 if first else 0.3 * spec.value
        else:
            counts.failed += 1

    def pick_ingress(self) -> int:
        """Draw the ingress daemon that receives a request from its caller."""
        return self._rng.randrange(self._pattern.ingress_count)

    # -- target choice ------------------------------------------------------------------

    def pick_target(self, spec: RequestSpec, ingress: int, plan: AttemptPlan) -> _Target | None:
        """Return the target of the next attempt, or None if no target is available."""
        targets = self._targets[spec.service]
        if spec.service in self._keyed:
            return self._owner(spec, targets)
        near = [t for t in targets if t.domain == ingress % self.domains]
        far = [t for t in targets if t.domain != ingress % self.domains]

        def usable(target: _Target) -> bool:
            return target.name not in plan.excluded and not target.lost

        sampling = self.policy.uses(Mechanism.FEW_SAMPLES)
        near_count = near_samples(self.policy) if sampling else len(near)
        sampled = draw(near, near_count, usable, self._rng)
        sampled += draw(far, FAR_SAMPLES if sampling else len(far), usable, self._rng)
        sampled += [
            t for t in targets if t.name in plan.full_targets and usable(t) and t not in sampled
        ]
        candidates = [Candidate(t.name, t in near, self.load_view(ingress, t)) for t in sampled]
        mean_run_s = self._mean_running_times.setdefault(
            (ingress, spec.service), MeanRunningTime()
        ).seconds
        objective_s = spec.objective_s if self.policy.uses(Mechanism.NEAR_FIRST) else 0.0
        left_s = plan.times.objective - self.now
        chosen = choose_near_first(
            candidates, self.now, self._rng,
            Allowance(objective_s, left_s, len(plan.full_targets)), mean_run_s=mean_run_s,
        )  # fmt: skip
        if chosen is None:
            return None
        self.tally.placements.attempt_placed(ingress % self.domains, self.now, chosen)
        return next(t for t in sampled if t.name == chosen.target)

    def _owner(self, spec: RequestSpec, targets: list[_Target]) -> _Target | None:
        available = [t for t in targets if not t.lost]
        if not available:
            return None
        hot = self._magnitude_of("hot", spec.service)
        if hot is not None and self._rng.random() < hot:
            return max(available, key=lambda t: t.speed)
        return self._rng.choices(available, [t.speed for t in available])[0]

    def has_untried(self, spec: RequestSpec, tried: set[str]) -> bool:
        """Return whether a service has an available target outside *tried*."""
        return any(t.name not in tried and not t.lost for t in self._targets[spec.service])

    def free_slot_odds(self, ingress: int, service: str) -> FreeSlotOdds:
        """Return the estimate of how often an ingress finds a free slot at a service."""
        return self._free_slot_odds.setdefault((ingress, service), FreeSlotOdds())

    def note_load(self, ingress: int, target: _Target, load: TargetLoad) -> None:
        """Record the load that a target reported to an ingress."""
        self.load_view(ingress, target).reported(load, self.now)
        self._mean_running_times.setdefault((ingress, target.service), MeanRunningTime()).reported(
            load
        )

    def load_view(self, ingress: int, target: _Target) -> LoadView:
        """Return the load of a target as one ingress last observed it."""
        return self._views.setdefault((ingress, target.name), LoadView())

    # -- targets ------------------------------------------------------------------------

    def offer(self, attempt: _Attempt) -> None:
        """Request a slot for an attempt from its target's queue."""
        target = attempt.target
        offered = target.queue.offer(attempt.ticket, self.now)
        if isinstance(offered, Refused):
            attempt.done = True
            attempt.on_end(Outcome.NOT_RUN, Reason.OVERLOADED, offered.retry_after_s)
        elif offered:
            self._start(attempt)
        else:
            target.waiting[attempt.ticket] = attempt
            self.schedule(
                target.queue.max_wait_s(attempt.ticket, self.now),
                lambda: self._on_max_wait(attempt),
            )
        self.schedule(
            max(0.0, attempt.ticket.deadline - self.now), lambda: self._on_deadline(attempt)
        )

    def _on_max_wait(self, attempt: _Attempt) -> None:
        if attempt.done or not attempt.ticket.waiting:
            return
        retry_delay_s = attempt.target.queue.retry_after(attempt.ticket, 0.0, self.now)
        self._finish(attempt, Outcome.NOT_RUN, Reason.OVERLOADED, retry_delay_s)

    def _on_deadline(self, attempt: _Attempt) -> None:
        if not attempt.done:
            unknown = not attempt.ticket.waiting
            outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_RUN
            self._finish(attempt, outcome, Reason.DEADLINE)

    def _start(self, attempt: _Attempt) -> None:
        spec, target = attempt.spec, attempt.target
        mu = math.log(spec.work_s) - spec.spread**2 / 2
        work_s = self._rng.lognormvariate(mu, spec.spread) / target.speed
        work_s *= self._magnitude_of("slow", target.service, target) or 1.0
        if target.queue.running > target.queue.slots * SLOWDOWN_LOAD:
            work_s *= SLOWDOWN_FACTOR
        calls = [
            self._requests[call.request]
            for call in spec.calls
            if self._rng.random() < call.share
            for _ in range(call.times)
        ]
        self.schedule(work_s, lambda: self._on_work_done(attempt, calls))

    def _on_work_done(self, attempt: _Attempt, calls: list[RequestSpec]) -> None:
        """Make the remaining *calls* of a request one after the other, then send the response."""
        if attempt.done:
            return
        if not calls:
            grey = self._magnitude_of("grey", attempt.target.service, attempt.target)
            failed = grey is not None and self._rng.random() < grey
            self._finish(attempt, Outcome.UNKNOWN if failed else Outcome.SERVED, None)
            return

        def on_end(outcome: Outcome, reason: Reason | None, retry_delay_s: float) -> None:
            if attempt.done:
                return
            if outcome is Outcome.SERVED:
                self._on_work_done(attempt, calls[1:])
            else:
                self._finish(attempt, Outcome.UNKNOWN, Reason.TARGET_FAILED)

        deadline = min(attempt.ticket.deadline, self.now + calls[0].deadline_s)
        _RoutedRequest(self, calls[0], deadline, on_end, self.now).next_attempt()

    def _finish(
        self, attempt: _Attempt, outcome: Outcome, reason: Reason | None, retry_delay_s: float = 0.0
    ) -> None:
        attempt.done = True
        target = attempt.target
        target.waiting.pop(attempt.ticket, None)
        if attempt.ticket.started and target.service not in self._keyed:
            ran_s = self.now - attempt.ticket.started
            self.tally.placements.request_ran(target.service, target.name, ran_s)
        target.queue.finish(attempt.ticket, self.now, measured=outcome is Outcome.SERVED)
        started, late = target.queue.next_starts(self.now)
        for ticket in started:
            self._start(target.waiting.pop(ticket))
        attempt.on_end(outcome, reason, retry_delay_s)
        for ticket in late:
            other = target.waiting.pop(ticket)
            other.done = True
            other.on_end(Outcome.NOT_RUN, Reason.DEADLINE, 0.0)


class _RoutedRequest:
    """One request at its ingress, with the attempts that the attempt plan allows."""

    def __init__(
        self,
        world: Simulation,
        spec: RequestSpec,
        deadline: float,
        on_end: Callable[[Outcome, Reason | None, float], None],
        first_try: float,
    ) -> None:
        self._world = world
        self._spec = spec
        self._on_end = on_end
        self._ingress = world.pick_ingress()
        self._keyed = spec.service in world._keyed
        now = world.now
        self._deadline = min(deadline, now + spec.timeout_s)
        times = RequestTimes(now, first_try + spec.objective_s, self._deadline)
        self._plan = AttemptPlan(times, True, self._keyed, max_attempts=2)

    def next_attempt(self) -> None:
        """Start the next attempt; end the request if no target is available."""
        world, spec = self._world, self._spec
        target = world.pick_target(spec, self._ingress, self._plan)
        if target is None:
            self._on_end(Outcome.NOT_RUN, Reason.NO_ROUTE, 0.1)
            return
        load_view = world.load_view(self._ingress, target)
        load_view.in_flight += 1
        arrives = world.now + HOP_S
        objective = self._plan.times.objective
        idle_only = (
            not self._keyed
            and not self._plan.is_last_slot_request
            and world.policy.uses(Mechanism.IDLE_FIRST)
            and world.has_untried(spec, self._plan.tried | {target.name})
            and world.free_slot_odds(self._ingress, spec.service).should_probe()
        )
        ticket = SlotTicket(
            spec.rank, self._deadline, objective, arrives, spec.name, idle_only=idle_only
        )

        def send_reply(outcome: Outcome, reason: Reason | None, retry_delay_s: float) -> None:
            if idle_only:
                free_slot_odds = world.free_slot_odds(self._ingress, spec.service)
                free_slot_odds.note_probe(found=reason is not Reason.OVERLOADED)
            load = target.load(world.now)
            world.schedule(
                HOP_S, lambda: self._on_reply(target, load, outcome, reason, retry_delay_s)
            )

        attempt = _Attempt(spec, target, ticket, send_reply)
        world.schedule(HOP_S, lambda: world.offer(attempt))

    def _on_reply(
        self,
        target: _Target,
        load: TargetLoad,
        outcome: Outcome,
        reason: Reason | None,
        retry_delay_s: float,
    ) -> None:
        now = self._world.now
        load_view = self._world.load_view(self._ingress, target)
        load_view.in_flight -= 1
        self._world.note_load(self._ingress, target, load)
        if outcome is Outcome.NOT_RUN and reason is not None:
            step = self._plan.after_failure(outcome, reason, target.name, now)
            if step is NextStep.ELSEWHERE:
                self.next_attempt()
                return
        self._on_end(outcome, reason, retry_delay_s)
