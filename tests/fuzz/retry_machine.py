"""Stateful fuzzing of the rules of outcomes: the oracle records what the server ran.

A small model of caller, ingress and owner uses the product's retry decision, request memory
and admission; the network may lose a request or its response, and the owner may change.
"""

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from pearward_coordination.admission import (
    AdmissionLimits,
    AdmissionQueue,
    Decision,
    Shed,
    Ticket,
)
from pearward_coordination.retry import Attempt, AttemptHistory, RetryBudget, decide_retry
from pearward_coordination.seen_requests import SeenRequests
from pearward_state.outcome import Outcome, Reason, RequestClass

RATIO = 0.1
FATES = ["served", "refused", "lost before", "lost after", "moved"]


class RetryMachine(RuleBasedStateMachine):
    """Repeatable and unrepeatable requests, whose attempts end in every way."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        """Start with an empty memory and a full budget."""
        self.rng = Random(seed)
        self.budget = RetryBudget(RATIO)
        self.memory = SeenRequests(600.0, 10_000)
        self.now = 0.0
        self.granted_at = 0.0
        self.first_seen: dict[bytes, float] = {}
        self.runs: dict[bytes, int] = {}
        self.requests = self.retries = 0
        self.slots = AdmissionQueue(AdmissionLimits(slots=3, queue=4, export_slots=1))
        self.started: list[Ticket] = []
        self.queued: list[Ticket] = []

    @rule(repeatable=st.booleans(), fates=st.lists(st.sampled_from(FATES), max_size=12),
          again=st.integers(0, 20))  # fmt: skip
    def request(self, repeatable: bool, fates: list[str], again: int) -> None:
        """Make one request with a new id, or one whose id was used before."""
        known = [i for i in self.first_seen if i.startswith(b"n") != repeatable]
        if again < len(known):
            request_id = known[again]
        else:
            request_id = b"%b%d" % (b"r" if repeatable else b"n", self.requests)
        self.requests += 1
        prior_age = self.now - self.first_seen.setdefault(request_id, self.now)
        self.budget.first_attempt()
        ran_before = self.runs.get(request_id, 0)
        outcome = self._attempts(request_id, repeatable, fates, prior_age)
        if outcome is Outcome.NOT_RUN:
            assert self.runs.get(request_id, 0) == ran_before, (
                "the outcome is not-run, but the request ran"
            )
        if outcome is Outcome.SERVED:
            assert self.runs.get(request_id, 0) > ran_before, (
                "the outcome is served, but the request did not run"
            )

    def _attempts(
        self, request_id: bytes, repeatable: bool, fates: list[str], prior_age: float
    ) -> Outcome:
        history = AttemptHistory()
        for number, fate in enumerate([*fates, "served"], start=1):
            history.begun()
            outcome, reason = self._attempt(request_id, repeatable, fate, prior_age)
            if outcome in (Outcome.SERVED, Outcome.ALREADY_RUN):
                return outcome
            history.failed(outcome, reason)
            attempt = Attempt(outcome, reason, number, 0, repeatable, True, True, False)
            before = self.budget.tokens
            decision = decide_retry(attempt, self.budget, 10.0, self.rng)
            self.retries += before > self.budget.tokens
            if not decision.again:
                return history.final(outcome)
        return Outcome.UNKNOWN

    def _attempt(
        self, request_id: bytes, repeatable: bool, fate: str, prior_age: float
    ) -> tuple[Outcome, Reason]:
        if fate == "refused":
            return Outcome.NOT_RUN, Reason.NOT_READY
        if fate == "moved":
            return Outcome.NOT_RUN, Reason.MOVED
        if fate == "lost before":
            return Outcome.UNKNOWN, Reason.CONNECTION_LOST
        if not repeatable:
            if self.memory.find(request_id, self.now) is not None:
                return Outcome.ALREADY_RUN, Reason.DUPLICATE
            if prior_age and self.now - prior_age < self.granted_at:
                return Outcome.UNKNOWN, Reason.FIRST_SEEN_BEFORE_GRANT
            self.memory.remember(request_id, self.now)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if fate == "lost after":
            return Outcome.UNKNOWN, Reason.CONNECTION_LOST
        return Outcome.SERVED, Reason.CANCELLED

    @rule(seconds=st.floats(0.1, 5.0))
    def pass_time(self, seconds: float) -> None:
        """Advance the time."""
        self.now += seconds

    @rule()
    def change_owner(self) -> None:
        """The owner is lost with its memory; a new one is granted the shard."""
        self.now += 0.5
        self.granted_at = self.now
        self.memory = SeenRequests(600.0, 10_000)

    @rule(kind=st.sampled_from(list(RequestClass)), tenant=st.sampled_from("abc"),
          left=st.floats(0.01, 3.0))  # fmt: skip
    def offer(self, kind: RequestClass, tenant: str, left: float) -> None:
        """Ask the server's admission for a slot."""
        ticket = Ticket(kind, tenant, self.now + left)
        decision = self.slots.offer(ticket, self.now)
        if decision is Decision.START:
            self.started.append(ticket)
        elif decision is Decision.QUEUED:
            self.queued.append(ticket)
        else:
            assert isinstance(decision, Shed)

    @rule(pick=st.integers(0, 9))
    def finish(self, pick: int) -> None:
        """Free a slot; the tickets that are next start."""
        if not self.started:
            return
        self.slots.finish(self.started.pop(pick % len(self.started)), self.now)
        started, expired = self.slots.next_starts(self.now)
        for ticket in started:
            assert ticket.deadline > self.now
        for ticket in (*started, *expired):
            self.queued.remove(ticket)
        self.started += started

    @invariant()
    def at_most_once(self) -> None:
        """A request that is not repeatable runs at most once, over all owners."""
        for request_id, count in getattr(self, "runs", {}).items():
            assert count <= 1 or request_id.startswith(b"r"), f"{request_id!r} ran {count} times"

    @invariant()
    def bounded(self) -> None:
        """Retries stay within their budget, slots and exports within their limits."""
        if not hasattr(self, "slots"):
            return
        assert self.retries <= 20 + RATIO * self.requests
        assert len(self.started) == self.slots.running <= 3
        exports = sum(t.request_class is RequestClass.EXPORT for t in self.started)
        assert exports <= 1
