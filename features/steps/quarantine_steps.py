"""Steps that simulate crashes of targets, and check which requests are refused for them."""

from dataclasses import dataclass, field
from typing import Any

from behave import given, then, when

from pearward_coordination.quarantine import (
    MAX_QUARANTINE_S,
    Quarantine,
    QuarantineRule,
    Standing,
)
from pearward_daemon.mesh.crash_guard import CrashGuard
from pearward_daemon.mesh.log import DecisionLog
from pearward_state.crashes import CrashRecord
from pearward_state.outcome import Outcome, Reason

TICK_S = 0.01
BAD, BAD_RUNS_S, BAD_EVERY_S = "bad", 0.1, 0.4
GOOD_RUNS_S = 0.12
DETECTION_S = 0.4
"""Seconds from a crash until the target's daemon detects it."""
TAKEOVER_S = 0.6
"""Seconds from a crash until the keys have another owner."""
UNIX_START = 1_700_000_000.0
"""Unix time at second 0 of a simulation."""
START = 100.0


@dataclass(eq=False)
class _Request:
    """A request with its own id."""

    content: str
    ends_at: float = 0.0


@dataclass(eq=False)
class _Target:
    """A target, its daemon's view of crashes, and the requests that it runs."""

    name: str
    guard: CrashGuard
    quarantine: Quarantine
    available_at: float = 0.0
    incarnation_number: int = 1
    running: list[_Request] = field(default_factory=list)

    @property
    def incarnation(self) -> str:
        """Name of the current incarnation."""
        return f"{self.name}-{self.incarnation_number}"


class _Simulation:
    """Targets that own the same keys one after the other, each until it crashes."""

    def __init__(self, count: int, restart_s: float, rule: QuarantineRule) -> None:
        self.now = START
        self.restart_s = restart_s
        self.crashes = 0
        self.rejected: set[str] = set()
        """Contents that any daemon refused because of crashes."""
        self._scheduled: list[tuple[float, Any]] = []
        self._waiting: list[_Request] = []
        self._owner_from = START
        self.targets = [self._target(f"t{number}", rule) for number in range(count)]

    def _target(self, name: str, rule: QuarantineRule) -> _Target:
        quarantine = Quarantine(rule)
        log = DecisionLog(0, lambda: self.now)
        return _Target(name, CrashGuard(quarantine, log, self._broadcast), quarantine)

    def _broadcast(self, record: CrashRecord) -> None:
        for target in self.targets:
            target.quarantine.note_crash(record, self.now, UNIX_START + self.now)

    def submit(self, content: str) -> None:
        """Send a request to the daemon of the keys' owner."""
        self._waiting.append(_Request(content))

    def step(self) -> None:
        """Advance the time by TICK_S."""
        self.now += TICK_S
        due = [call for at, call in self._scheduled if at <= self.now]
        self._scheduled = [(at, call) for at, call in self._scheduled if at > self.now]
        for call in due:
            call()
        owner = next((t for t in self.targets if t.available_at <= self.now), None)
        if owner is not None and self.now >= self._owner_from:
            self._run(owner)
            self._finish(owner)

    def _run(self, owner: _Target) -> None:
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            if owner.guard.rejection(request, GOOD_RUNS_S, self.now) is not None:
                if owner.quarantine.left_s(request.content, self.now):
                    self.rejected.add(request.content)
                continue
            request.ends_at = self.now + (BAD_RUNS_S if request.content == BAD else GOOD_RUNS_S)
            owner.running.append(request)

    def _finish(self, owner: _Target) -> None:
        for request in [r for r in owner.running if r.ends_at <= self.now]:
            if request.content == BAD:
                self._crash(owner)
                return
            owner.running.remove(request)
            owner.guard.ended(request, "id", Outcome.SERVED, None, self.now)

    def _crash(self, owner: _Target) -> None:
        self.crashes += 1
        for request in owner.running:
            owner.guard.ended(request, "id", Outcome.UNKNOWN, Reason.SERVER_FAILED, self.now)
        owner.running.clear()
        owner.available_at = self.now + self.restart_s
        self._owner_from = self.now + TAKEOVER_S
        # Another target becomes the owner, if there is one.
        self.targets = [t for t in self.targets if t is not owner] + [owner]
        self._scheduled.append((self.now + DETECTION_S, lambda: self._crash_detected(owner)))

    def _crash_detected(self, owner: _Target) -> None:
        owner.guard.target_crashed(owner.incarnation, "it", self.now, UNIX_START + self.now)
        owner.incarnation_number += 1
        owner.guard.target_began()


@given("{count:d} targets, of which a crashed one is available again after {restart:g} s")
def targets(context: Any, count: int, restart: float) -> None:
    context.target_settings = (count, restart)
    context.rule = QuarantineRule()


@given("settings that never refuse a request because of crashes")
def never_refuse(context: Any) -> None:
    context.rule = QuarantineRule(refused_after=0)


@when("for {seconds:d} s a request that crashes its target arrives every {every:g} s, with "
      "{count:d} harmless ones")  # fmt: skip
def simulate(context: Any, seconds: int, every: float, count: int) -> None:
    context.harmless = {f"good-{number}" for number in range(count)}
    keys = context.keys = _Simulation(*context.target_settings, context.rule)
    ticks = round(every / TICK_S)
    for tick in range(round(seconds / TICK_S)):
        if tick % ticks == 0:
            keys.submit(BAD)
        for number in range(count):
            # Each arrives at a different tick, so that all orders occur.
            if tick % ticks == (number * 7 + tick // ticks) % ticks:
                keys.submit(f"good-{number}")
        keys.step()


@then("{count:d} targets have crashed")
def crashed(context: Any, count: int) -> None:
    assert context.keys.crashes == count, context.keys.crashes


@then("at least {count:d} targets have crashed")
def crashed_at_least(context: Any, count: int) -> None:
    assert context.keys.crashes >= count, context.keys.crashes


@then("the request is refused, for at least {seconds:g} s more")
def still_refused(context: Any, seconds: float) -> None:
    keys = context.keys
    assert all(t.quarantine.left_s(BAD, keys.now) >= seconds for t in keys.targets)


@then("none of the {count:d} harmless ones is refused")
def none_refused(context: Any, count: int) -> None:
    assert context.keys.rejected == {BAD}, context.keys.rejected
    for target in context.keys.targets:
        for content in context.harmless:
            left_s = target.quarantine.left_s(content, context.keys.now)
            assert not left_s, (content, left_s)


# -- one daemon ------------------------------------------------------------------------------


def _record(number: int, *contents: str, age_s: float = 0.0) -> CrashRecord:
    return CrashRecord(f"i-{number}", UNIX_START + START - age_s, contents)


def _note_crashes(context: Any, *records: CrashRecord) -> None:
    for record in records:
        context.quarantine.note_crash(record, context.now, UNIX_START + context.now)


@given("a request that was running when {count:d} targets crashed")
def suspected(context: Any, count: int) -> None:
    context.now = START
    context.quarantine = Quarantine(QuarantineRule())
    context.records = [_record(number, BAD) for number in range(count)]
    _note_crashes(context, *context.records)


@when("{lost:d} of them crash for another reason, and {again:d} of the others 1 s later")
def mass_crash(context: Any, lost: int, again: int) -> None:
    context.now = START
    context.quarantine = Quarantine(context.rule)
    lost_contents = [tuple(f"r{number}-{slot}" for slot in range(12)) for number in range(lost)]
    _note_crashes(context, *(_record(number, *lost_contents[number]) for number in range(lost)))
    # The lost requests are retried at the others: each of these runs some from every lost target.
    everything = [content for contents in lost_contents for content in contents]
    context.retried_contents = everything
    for number in range(again):
        _note_crashes(context, _record(lost + number, *everything[number::lost]))


@then("no request is refused")
def no_request_refused(context: Any) -> None:
    assert context.quarantine.refused(context.now) == 0
    assert all(
        not context.quarantine.left_s(each, context.now) for each in context.retried_contents
    )


@when("a target completes it")
def completes(context: Any) -> None:
    context.reported = []
    context.guard = CrashGuard(
        context.quarantine, DecisionLog(0, lambda: START), context.reported.append
    )
    request = _Request(BAD)
    assert context.guard.rejection(request, GOOD_RUNS_S, context.now) is None
    context.guard.ended(request, "id", Outcome.SERVED, None, context.now)


@when("a third target crashes while running it")
def crashes_under(context: Any) -> None:
    request = _Request(BAD)
    assert context.guard.rejection(request, GOOD_RUNS_S, context.now) is None
    context.guard.ended(request, "id", Outcome.UNKNOWN, Reason.SERVER_FAILED, context.now)
    context.guard.target_crashed("i-third", "it", context.now, UNIX_START + context.now)


@then("it may run at any target")
def may_run_anywhere(context: Any) -> None:
    assert context.reported == [], context.reported
    assert context.quarantine.standing(BAD, context.now) is Standing.FREE


@given("two requests that were running when 2 targets crashed")
def two_suspected(context: Any) -> None:
    context.now = START
    context.quarantine = Quarantine(QuarantineRule())
    _note_crashes(context, _record(1, "one", "two"), _record(2, "one", "two"))
    context.guard = CrashGuard(context.quarantine, DecisionLog(0, lambda: START), lambda _: None)


@when("both are to run at one target")
def both_run(context: Any) -> None:
    context.pair = [_Request("one"), _Request("two")]
    context.rejection = [context.guard.rejection(r, GOOD_RUNS_S, context.now) for r in context.pair]


@then("the first one runs, and the other is refused with a short retry delay")
def one_runs(context: Any) -> None:
    first, second = context.rejection
    assert first is None
    assert second.retry_delay_s == GOOD_RUNS_S, second
    # Checked again before it is sent to the target, the first one does not block itself.
    assert context.guard.rejection(context.pair[0], GOOD_RUNS_S, context.now) is None


@when("the first of the two has ended")
def first_ended(context: Any) -> None:
    context.guard.ended(context.pair[0], "id", Outcome.SERVED, None, context.now)


@then("the other one runs")
def other_runs(context: Any) -> None:
    assert context.guard.rejection(context.pair[1], GOOD_RUNS_S, context.now) is None


@when("a full quarantine period has passed")
def quarantine_over(context: Any) -> None:
    assert context.quarantine.left_s(BAD, context.now) == MAX_QUARANTINE_S
    context.now += MAX_QUARANTINE_S


@then("it may run alone")
def may_run_alone(context: Any) -> None:
    assert context.quarantine.standing(BAD, context.now) is Standing.ALONE


@when("a target crashes while running it")
def crashes_again(context: Any) -> None:
    _note_crashes(context, CrashRecord("i-again", UNIX_START + context.now, (BAD,)))


@then("it is refused for a full quarantine period")
def refused_full_period(context: Any) -> None:
    assert context.quarantine.left_s(BAD, context.now) == MAX_QUARANTINE_S


@when("both crashes are reported again")
def reported_again(context: Any) -> None:
    _note_crashes(context, *context.records)


@when("a third crash is reported that was {age:g} s ago")
def old_crash(context: Any, age: float) -> None:
    _note_crashes(context, _record(99, BAD, age_s=age))


@when("{crashes:d} crashes with {count:d} requests each are reported")
def report_many(context: Any, crashes: int, count: int) -> None:
    context.now = START
    context.quarantine = Quarantine(QuarantineRule())
    for number in range(crashes):
        _note_crashes(context, _record(number, *(f"r{number}-{slot}" for slot in range(count))))


@then("at most {contents:d} requests and {crashes:d} crashes are kept")
def bounded(context: Any, contents: int, crashes: int) -> None:
    assert len(context.quarantine) <= contents, len(context.quarantine)
    assert len(context.quarantine._crashes) <= crashes


@given("the daemon of a target at which {count:d} requests failed")
def requests_failed(context: Any, count: int) -> None:
    context.now = START
    context.reported = []
    context.quarantine = Quarantine(QuarantineRule())
    context.guard = CrashGuard(
        context.quarantine, DecisionLog(0, lambda: START), context.reported.append
    )
    for number in range(count):
        request = _Request(f"r{number}")
        context.guard.ended(request, "id", Outcome.UNKNOWN, Reason.SERVER_FAILED, context.now)
    assert context.guard.target_suspected == bool(count)


def _disconnect_caller(context: Any, content: str, at: float) -> None:
    context.guard.ended(_Request(content), "id", Outcome.UNKNOWN, Reason.CANCELLED, at)


@given("a request whose caller disconnected {soon:g} s before, and one whose caller "
       "disconnected {long:g} s before")  # fmt: skip
def disconnected_before(context: Any, soon: float, long: float) -> None:
    _disconnect_caller(context, "soon", context.now - soon)
    _disconnect_caller(context, "long", context.now - long)


@when("the target ends unannounced")
def ends_unannounced(context: Any) -> None:
    context.guard.target_crashed("i-1", "it", context.now, UNIX_START + context.now)


@then("the crash record names {count:d} requests, the first of these two among them")
def crash_names_requests(context: Any, count: int) -> None:
    (record,) = context.reported
    assert set(record.contents) == {"r0", "r1", "r2", "soon"}, record
    assert len(record.contents) == count


@given("the daemon of a target, one of whose callers has disconnected")
def one_disconnected(context: Any) -> None:
    requests_failed(context, 0)
    _disconnect_caller(context, "left", context.now)


@then("the target is not suspected to have crashed")
def not_suspected(context: Any) -> None:
    assert not context.guard.target_suspected


@when("the target ends after announcing it")
def ends_announced(context: Any) -> None:
    context.guard.target_left(context.now)
    context.guard.target_crashed("i-next", "it", context.now, UNIX_START + context.now)


@when("it completes another one {seconds:g} s later and then ends unannounced")
def completes_another(context: Any, seconds: float) -> None:
    context.now += seconds
    context.guard.ended(_Request("fine"), "id", Outcome.SERVED, None, context.now)
    context.guard.target_crashed("i-1", "it", context.now, UNIX_START + context.now)


@then("no crash is recorded")
def no_crash_recorded(context: Any) -> None:
    assert context.reported == [], context.reported
