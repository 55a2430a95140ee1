"""Targets, callers and links as models around the daemon's own decisions.

Real are the queue of a target, the choice among targets, the plan of attempts and the time
after which refused callers come back. Modelled are the work of a request, the hop between
two daemons, and callers who come back as often as they do and give up when they do.
"""

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from pearward_coordination.attempt_plan import AttemptPlan, NextStep, RequestTimes
from pearward_coordination.overload.policy import Mechanism, OverloadPolicy
from pearward_coordination.selection import (
    FAR_SAMPLES,
    NEAR_SAMPLES,
    Candidate,
    FreeSlotOdds,
    LoadView,
    MeanRunningTime,
    TargetLoad,
    choose_target,
    draw,
)
from pearward_coordination.slots import Refused, SlotLimits, SlotQueue, SlotTicket
from pearward_state.outcome import Outcome, Reason

from .pattern import Pattern, RequestSpec, ServiceSpec

__all__ = ["Fate", "Tally", "World"]

HOP_S = 0.002
"""Seconds from one daemon to another."""
QUEUE_PER_SLOT = 8
CROWDED_SHARE, CROWDED_X = 0.75, 1.15
"""Part of the slots from which a target slows down, and how much more it then takes."""
GRACE_S = 4.0
"""Seconds after the end of the load in which requests may still be answered."""


@dataclass
class Fate:
    """What has become of the requests of one class."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_again: int = 0
    failed: int = 0
    credit: float = 0.0
    owed: float = 0.0


@dataclass
class Tally:
    """The fates by class, and what was in time by second of the first try."""

    by_class: dict[str, Fate] = field(default_factory=dict)
    seconds: dict[int, list[int]] = field(default_factory=dict)
    """Requests that were asked, in time, late and refused, by second."""

    @property
    def credit(self) -> float:
        """Mean credit of a request that is owed any, less what second refusals cost."""
        owed = sum(fate.owed for fate in self.by_class.values())
        return sum(fate.credit for fate in self.by_class.values()) / owed if owed else 0.0


class _Target:
    """One target: its queue and its speed."""

    def __init__(self, world: "World", spec: ServiceSpec, number: int) -> None:
        self.name = f"{spec.name}-{number}"
        self.service = spec.name
        self.speed = spec.speeds[number]
        self.lost = False
        limits = SlotLimits(spec.slots, spec.slots * QUEUE_PER_SLOT, policy=world.policy)
        self.queue = SlotQueue(limits)
        self.waiting: dict[SlotTicket, _Run] = {}

    def load(self, now: float) -> TargetLoad:
        queue = self.queue
        return TargetLoad(queue.running, queue.waiting, queue.slots, queue.service_s(now))


@dataclass(eq=False)
class _Run:
    """One attempt at a target."""

    spec: RequestSpec
    target: _Target
    ticket: SlotTicket
    over: Callable[[Outcome, Reason | None, float], None]
    """Told the outcome, its reason, and when to come back."""
    done: bool = False


class World:
    """Plays one pattern with one seed."""

    def __init__(self, pattern: Pattern, policy: OverloadPolicy, seed: int, load: float) -> None:
        self._pattern = pattern
        self.policy = policy
        self._load = load
        self._rng = Random(f"{pattern.name} {seed}")
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._requests = {request.name: request for request in pattern.requests}
        self._targets = {
            spec.name: [_Target(self, spec, n) for n in range(len(spec.speeds))]
            for spec in pattern.services
        }
        self._keyed = {spec.name for spec in pattern.services if spec.keyed}
        self._views: dict[tuple[int, str], LoadView] = {}
        self._odds: dict[tuple[int, str], FreeSlotOdds] = {}
        self._usual: dict[tuple[int, str], MeanRunningTime] = {}
        self.tally = Tally({r.name: Fate() for r in pattern.requests if r.per_s})

    # -- time --------------------------------------------------------------------------

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Run *call* after *delay_s* seconds."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._count, call))

    def play(self) -> Tally:
        """Play the whole pattern and return the fates of its requests."""
        for request in self._pattern.requests:
            if request.per_s:
                self._arrive(request)
        for change in self._pattern.changes:
            if change.kind == "lost":
                for target in self._targets[change.service][: change.targets]:
                    self.after(change.at_s, lambda t=target: self._lose(t, True))  # type: ignore[misc]
                    ends_s = change.at_s + change.for_s
                    self.after(ends_s, lambda t=target: self._lose(t, False))  # type: ignore[misc]
        ends = self._pattern.seconds + GRACE_S
        while self._events and self._events[0][0] <= ends:
            self.now, _, call = heapq.heappop(self._events)
            call()
        return self.tally

    def _lose(self, target: _Target, lost: bool) -> None:
        target.lost = lost

    def _changed(self, kind: str, service: str, target: _Target | None = None) -> float | None:
        """Return how strong a change of this kind is now; None while there is none."""
        for change in self._pattern.changes:
            if change.kind != kind or change.service not in ("", service):
                continue
            if not change.at_s <= self.now < change.at_s + change.for_s:
                continue
            if target is None or target in self._targets[service][: change.targets]:
                return change.x
        return None

    # -- callers ------------------------------------------------------------------------

    def _arrive(self, spec: RequestSpec) -> None:
        rate = spec.per_s * self._load * (self._changed("rate", spec.service) or 1.0)
        self.after(self._rng.expovariate(rate), lambda: self._next_arrival(spec))

    def _next_arrival(self, spec: RequestSpec) -> None:
        if self.now >= self._pattern.seconds:
            return
        self._arrive(spec)
        fate = self.tally.by_class[spec.name]
        fate.asked += 1
        fate.owed += spec.worth
        self._seconds()[0] += 1
        returns = spec.returns
        if (abuse := self._changed("abuse", spec.service)) is not None:
            returns += int(abuse)
        self._try(spec, self.now, returns, first=True)

    def _seconds(self, began: float | None = None) -> list[int]:
        second = int(self.now if began is None else began)
        return self.tally.seconds.setdefault(second, [0, 0, 0, 0])

    def _try(self, spec: RequestSpec, began: float, returns: int, *, first: bool) -> None:
        deadline = began + spec.deadline_s

        def over(outcome: Outcome, reason: Reason | None, back_s: float) -> None:
            left_s = deadline - self.now
            free = outcome is Outcome.NOT_RUN or (spec.safe and outcome is Outcome.UNKNOWN)
            if free and returns > 0 and left_s > 0.05:
                pause_s = min(back_s, left_s / 3)
                self.after(pause_s, lambda: self._try(spec, began, returns - 1, first=False))
            else:
                self._ended(spec, began, outcome, first=first)

        aged = self.policy.uses(Mechanism.AGED_RETRIES)
        _Route(self, spec, deadline, over, began if aged else self.now).next()

    def _ended(self, spec: RequestSpec, began: float, outcome: Outcome, *, first: bool) -> None:
        fate = self.tally.by_class[spec.name]
        row = self._seconds(began)
        if outcome is Outcome.SERVED:
            in_time = self.now - began <= spec.objective_s
            fate.in_time += in_time
            fate.late += not in_time
            fate.credit += spec.worth * (1.0 if in_time else spec.late_worth)
            row[1 if in_time else 2] += 1
            return
        row[3] += 1
        if outcome is Outcome.NOT_RUN:
            fate.refused += 1
            fate.refused_again += not first
            fate.credit -= 0.0 if first else 0.3 * spec.worth
        else:
            fate.failed += 1

    def requester(self) -> int:
        """Return the daemon at which a request begins."""
        return self._rng.randrange(self._pattern.requesters)

    # -- choice -------------------------------------------------------------------------

    def place(self, spec: RequestSpec, requester: int, plan: AttemptPlan) -> _Target | None:
        """Return the target that the next attempt goes to."""
        targets = self._targets[spec.service]
        if spec.service in self._keyed:
            return self._owner(spec, targets)
        domains = self._pattern.domains
        near = [t for number, t in enumerate(targets) if (number - requester) % domains == 0]
        far = [t for number, t in enumerate(targets) if (number - requester) % domains]

        def usable(target: _Target) -> bool:
            return target.name not in plan.excluded and not target.lost

        few = self.policy.uses(Mechanism.FEW_SAMPLES)
        drawn = draw(near, NEAR_SAMPLES if few else len(near), usable, self._rng)
        drawn += draw(far, FAR_SAMPLES if few else len(far), usable, self._rng)
        drawn += [
            t for t in targets if t.name in plan.full_targets and usable(t) and t not in drawn
        ]
        candidates = [Candidate(t.name, t in near, self.view(requester, t)) for t in drawn]
        mean_run_s = self._usual.setdefault((requester, spec.service), MeanRunningTime()).seconds
        chosen = choose_target(candidates, self.now, self._rng, mean_run_s=mean_run_s)
        return next(t for t in drawn if t.name == chosen.target) if chosen is not None else None

    def _owner(self, spec: RequestSpec, targets: list[_Target]) -> _Target | None:
        living = [t for t in targets if not t.lost]
        if not living:
            return None
        hot = self._changed("hot", spec.service)
        if hot is not None and self._rng.random() < hot:
            return max(living, key=lambda t: t.speed)
        return self._rng.choices(living, [t.speed for t in living])[0]

    def has_other(self, spec: RequestSpec, tried: set[str]) -> bool:
        """Return whether a service has a target that was not tried."""
        return any(t.name not in tried and not t.lost for t in self._targets[spec.service])

    def odds(self, requester: int, service: str) -> FreeSlotOdds:
        """Return how often one requester finds a place without a queue at a service."""
        return self._odds.setdefault((requester, service), FreeSlotOdds())

    def loaded(self, requester: int, target: _Target, load: TargetLoad) -> None:
        """A requester was told a target's load."""
        self.view(requester, target).reported(load, self.now)
        self._usual.setdefault((requester, target.service), MeanRunningTime()).reported(load)

    def view(self, requester: int, target: _Target) -> LoadView:
        """Return what one requester knows of a target."""
        return self._views.setdefault((requester, target.name), LoadView())

    # -- targets ------------------------------------------------------------------------

    def offer(self, run: _Run) -> None:
        """Ask a target's queue for a slot."""
        target = run.target
        offered = target.queue.offer(run.ticket, self.now)
        if isinstance(offered, Refused):
            run.done = True
            run.over(Outcome.NOT_RUN, Reason.OVERLOADED, offered.retry_after_s)
        elif offered:
            self._start(run)
        else:
            target.waiting[run.ticket] = run
            self.after(target.queue.max_wait_s(run.ticket, self.now), lambda: self._waited(run))
        self.after(max(0.0, run.ticket.deadline - self.now), lambda: self._out_of_time(run))

    def _waited(self, run: _Run) -> None:
        if run.done or not run.ticket.waiting:
            return
        back_s = run.target.queue.retry_after(run.ticket, 0.0, self.now)
        self._end(run, Outcome.NOT_RUN, Reason.OVERLOADED, back_s)

    def _out_of_time(self, run: _Run) -> None:
        if not run.done:
            unknown = not run.ticket.waiting
            outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_RUN
            self._end(run, outcome, Reason.DEADLINE)

    def _start(self, run: _Run) -> None:
        spec, target = run.spec, run.target
        mu = math.log(spec.work_s) - spec.spread**2 / 2
        work_s = self._rng.lognormvariate(mu, spec.spread) / target.speed
        work_s *= self._changed("slow", target.service, target) or 1.0
        if target.queue.running > target.queue.slots * CROWDED_SHARE:
            work_s *= CROWDED_X
        calls = [
            self._requests[call.request]
            for call in spec.calls
            if self._rng.random() < call.share
            for _ in range(call.times)
        ]
        self.after(work_s, lambda: self._worked(run, calls))

    def _worked(self, run: _Run, calls: list[RequestSpec]) -> None:
        """The own work is done: make the calls one after the other, then answer."""
        if run.done:
            return
        if not calls:
            grey = self._changed("grey", run.target.service, run.target)
            failed = grey is not None and self._rng.random() < grey
            self._end(run, Outcome.UNKNOWN if failed else Outcome.SERVED, None)
            return

        def over(outcome: Outcome, reason: Reason | None, back_s: float) -> None:
            if run.done:
                return
            if outcome is Outcome.SERVED:
                self._worked(run, calls[1:])
            else:
                self._end(run, Outcome.UNKNOWN, Reason.TARGET_FAILED)

        deadline = min(run.ticket.deadline, self.now + calls[0].deadline_s)
        _Route(self, calls[0], deadline, over, self.now).next()

    def _end(self, run: _Run, outcome: Outcome, reason: Reason | None, back_s: float = 0.0) -> None:
        run.done = True
        target = run.target
        target.waiting.pop(run.ticket, None)
        target.queue.finish(run.ticket, self.now, measured=outcome is Outcome.SERVED)
        started, late = target.queue.next_starts(self.now)
        for ticket in started:
            self._start(target.waiting.pop(ticket))
        run.over(outcome, reason, back_s)
        for ticket in late:
            other = target.waiting.pop(ticket)
            other.done = True
            other.over(Outcome.NOT_RUN, Reason.DEADLINE, 0.0)


class _Route:
    """One request at a requester's daemon: its attempts, as the daemon plans them."""

    def __init__(
        self,
        world: World,
        spec: RequestSpec,
        deadline: float,
        over: Callable[[Outcome, Reason | None, float], None],
        first_try: float,
    ) -> None:
        self._world = world
        self._spec = spec
        self._over = over
        self._requester = world.requester()
        self._keyed = spec.service in world._keyed
        now = world.now
        self._deadline = min(deadline, now + spec.timeout_s)
        times = RequestTimes(now, first_try + spec.objective_s, self._deadline)
        self._plan = AttemptPlan(times, True, self._keyed, max_attempts=2)

    def next(self) -> None:
        """Make the next attempt."""
        world, spec = self._world, self._spec
        target = world.place(spec, self._requester, self._plan)
        if target is None:
            self._over(Outcome.NOT_RUN, Reason.NO_ROUTE, 0.1)
            return
        view = world.view(self._requester, target)
        view.in_flight += 1
        arrives = world.now + HOP_S
        objective = self._plan.times.objective
        idle_only = (
            not self._keyed
            and not self._plan.is_last_slot_request
            and world.policy.uses(Mechanism.IDLE_FIRST)
            and world.has_other(spec, self._plan.tried | {target.name})
            and world.odds(self._requester, spec.service).should_probe()
        )
        ticket = SlotTicket(
            spec.rank, self._deadline, objective, arrives, spec.name, idle_only=idle_only
        )

        def back(outcome: Outcome, reason: Reason | None, back_s: float) -> None:
            if idle_only:
                odds = world.odds(self._requester, spec.service)
                odds.note_probe(found=reason is not Reason.OVERLOADED)
            load = target.load(world.now)
            world.after(HOP_S, lambda: self._answered(target, load, outcome, reason, back_s))

        run = _Run(spec, target, ticket, back)
        world.after(HOP_S, lambda: world.offer(run))

    def _answered(
        self,
        target: _Target,
        load: TargetLoad,
        outcome: Outcome,
        reason: Reason | None,
        back_s: float,
    ) -> None:
        now = self._world.now
        view = self._world.view(self._requester, target)
        view.in_flight -= 1
        self._world.loaded(self._requester, target, load)
        if outcome is Outcome.NOT_RUN and reason is not None:
            step = self._plan.after_failure(outcome, reason, target.name, now)
            if step is NextStep.ELSEWHERE:
                self.next()
                return
        self._over(outcome, reason, back_s)
