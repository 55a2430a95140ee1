"""Steps that replay crashes of targets, and what becomes of the requests that they ran."""

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
NOTICED_S = 0.4
"""Seconds from a crash until the daemon beside the target knows that it has ended."""
MOVED_S = 0.6
"""Seconds from a crash until the keys have another owner."""
UNIX = 1_700_000_000.0
"""Unix time at second 0 of a play."""
START = 100.0


@dataclass(eq=False)
class _Request:
    """A request under an id of its own."""

    content: str
    ends: float = 0.0


@dataclass(eq=False)
class _Target:
    """A target, the daemon beside it, and what it runs."""

    name: str
    guard: CrashGuard
    quarantine: Quarantine
    back_at: float = 0.0
    life: int = 1
    running: list[_Request] = field(default_factory=list)

    @property
    def incarnation(self) -> str:
        """Name of the present life."""
        return f"{self.name}-{self.life}"


class _Keys:
    """Targets that own the same keys one after the other, as each crashes."""

    def __init__(self, count: int, back_s: float, rule: QuarantineRule) -> None:
        self.now = START
        self.back_s = back_s
        self.crashes = 0
        self.rejected: set[str] = set()
        """Contents that stood as refused at any daemon."""
        self._later: list[tuple[float, Any]] = []
        self._waiting: list[_Request] = []
        self._owner_from = START
        self.targets = [self._target(f"t{number}", rule) for number in range(count)]

    def _target(self, name: str, rule: QuarantineRule) -> _Target:
        quarantine = Quarantine(rule)
        log = DecisionLog(0, lambda: self.now)
        return _Target(name, CrashGuard(quarantine, log, self._tell), quarantine)

    def _tell(self, record: CrashRecord) -> None:
        for target in self.targets:
            target.quarantine.note_crash(record, self.now, UNIX + self.now)

    def ask(self, content: str) -> None:
        """Bring a request to the daemon of the keys' owner."""
        self._waiting.append(_Request(content))

    def step(self) -> None:
        """Let a hundredth of a second pass."""
        self.now += TICK_S
        due = [call for at, call in self._later if at <= self.now]
        self._later = [(at, call) for at, call in self._later if at > self.now]
        for call in due:
            call()
        owner = next((t for t in self.targets if t.back_at <= self.now), None)
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
            request.ends = self.now + (BAD_RUNS_S if request.content == BAD else GOOD_RUNS_S)
            owner.running.append(request)

    def _finish(self, owner: _Target) -> None:
        for request in [r for r in owner.running if r.ends <= self.now]:
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
        owner.back_at = self.now + self.back_s
        self._owner_from = self.now + MOVED_S
        # The next owner is another one, as long as there is one.
        self.targets = [t for t in self.targets if t is not owner] + [owner]
        self._later.append((self.now + NOTICED_S, lambda: self._noticed(owner)))

    def _noticed(self, owner: _Target) -> None:
        owner.guard.target_crashed(owner.incarnation, "it", self.now, UNIX + self.now)
        owner.life += 1
        owner.guard.target_began()


@given("{count:d} targets, of which a crashed one is back after {back:g} s")
def targets(context: Any, count: int, back: float) -> None:
    context.play = (count, back)
    context.rule = QuarantineRule()


@given("settings that never refuse a request for crashes")
def never(context: Any) -> None:
    context.rule = QuarantineRule(refused_after=0)


@when("for {seconds:d} s a request that crashes its target comes each {every:g} s, with {count:d} "
      "that do not")  # fmt: skip
def play(context: Any, seconds: int, every: float, count: int) -> None:
    context.neighbours = {f"good-{number}" for number in range(count)}
    keys = context.keys = _Keys(*context.play, context.rule)
    ticks = round(every / TICK_S)
    for tick in range(round(seconds / TICK_S)):
        if tick % ticks == 0:
            keys.ask(BAD)
        for number in range(count):
            # Each at its own moment, so that all orders occur.
            if tick % ticks == (number * 7 + tick // ticks) % ticks:
                keys.ask(f"good-{number}")
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


@then("none of the {count:d} is refused")
def none_refused(context: Any, count: int) -> None:
    assert context.keys.rejected == {BAD}, context.keys.rejected
    for target in context.keys.targets:
        for content in context.neighbours:
            left_s = target.quarantine.left_s(content, context.keys.now)
            assert not left_s, (content, left_s)


# -- one daemon ------------------------------------------------------------------------------


def _record(number: int, *contents: str, age_s: float = 0.0) -> CrashRecord:
    return CrashRecord(f"i-{number}", UNIX + START - age_s, contents)


def _learn(context: Any, *records: CrashRecord) -> None:
    for record in records:
        context.quarantine.note_crash(record, context.now, UNIX + context.now)


@given("a request that was running when {count:d} targets crashed")
def suspected(context: Any, count: int) -> None:
    context.now = START
    context.quarantine = Quarantine(QuarantineRule())
    context.records = [_record(number, BAD) for number in range(count)]
    _learn(context, *context.records)


@when("{lost:d} of them crash for another reason, and {again:d} of the others 1 s later")
def mass_crash(context: Any, lost: int, again: int) -> None:
    context.now = START
    context.quarantine = Quarantine(context.rule)
    asked = [tuple(f"r{number}-{slot}" for slot in range(12)) for number in range(lost)]
    _learn(context, *(_record(number, *asked[number]) for number in range(lost)))
    # What was lost runs at the others: each of these has some of all.
    everything = [content for contents in asked for content in contents]
    context.asked = everything
    for number in range(again):
        _learn(context, _record(lost + number, *everything[number::lost]))


@then("no request is refused")
def nobody_refused(context: Any) -> None:
    assert context.quarantine.refused(context.now) == 0
    assert all(not context.quarantine.left_s(each, context.now) for each in context.asked)


@when("a target runs it to an end")
def ran(context: Any) -> None:
    context.told = []
    context.guard = CrashGuard(
        context.quarantine, DecisionLog(0, lambda: START), context.told.append
    )
    request = _Request(BAD)
    assert context.guard.rejection(request, GOOD_RUNS_S, context.now) is None
    context.guard.ended(request, "id", Outcome.SERVED, None, context.now)


@when("a third target crashes while it runs it")
def crashes_under(context: Any) -> None:
    request = _Request(BAD)
    assert context.guard.rejection(request, GOOD_RUNS_S, context.now) is None
    context.guard.ended(request, "id", Outcome.UNKNOWN, Reason.SERVER_FAILED, context.now)
    context.guard.target_crashed("i-third", "it", context.now, UNIX + context.now)


@then("it may run at any target")
def free(context: Any) -> None:
    assert context.told == [], context.told
    assert context.quarantine.standing(BAD, context.now) is Standing.FREE


@given("two requests that were running when 2 targets crashed")
def two_suspected(context: Any) -> None:
    context.now = START
    context.quarantine = Quarantine(QuarantineRule())
    _learn(context, _record(1, "one", "two"), _record(2, "one", "two"))
    context.guard = CrashGuard(context.quarantine, DecisionLog(0, lambda: START), lambda _: None)


@when("both are to run at one target")
def both_run(context: Any) -> None:
    context.pair = [_Request("one"), _Request("two")]
    context.rejection = [context.guard.rejection(r, GOOD_RUNS_S, context.now) for r in context.pair]


@then("the first one runs, and the other is told to come back in a moment")
def one_runs(context: Any) -> None:
    first, second = context.rejection
    assert first is None
    assert second.retry_delay_s == GOOD_RUNS_S, second
    # Asked again on its way to the target, the first one is not in its own way.
    assert context.guard.rejection(context.pair[0], GOOD_RUNS_S, context.now) is None


@when("the first of the two has ended")
def first_ended(context: Any) -> None:
    context.guard.ended(context.pair[0], "id", Outcome.SERVED, None, context.now)


@then("the other one runs")
def other_runs(context: Any) -> None:
    assert context.guard.rejection(context.pair[1], GOOD_RUNS_S, context.now) is None


@when("a whole quarantine has passed")
def quarantine_over(context: Any) -> None:
    assert context.quarantine.left_s(BAD, context.now) == MAX_QUARANTINE_S
    context.now += MAX_QUARANTINE_S


@then("it may run alone")
def alone(context: Any) -> None:
    assert context.quarantine.standing(BAD, context.now) is Standing.ALONE


@when("a target crashes while it runs it")
def crashes_again(context: Any) -> None:
    _learn(context, CrashRecord("i-again", UNIX + context.now, (BAD,)))


@then("it is refused for a whole quarantine")
def refused_whole(context: Any) -> None:
    assert context.quarantine.left_s(BAD, context.now) == MAX_QUARANTINE_S


@when("both crashes are heard of once more")
def heard_again(context: Any) -> None:
    _learn(context, *context.records)


@when("a third crash is heard of that was {age:g} s ago")
def old_crash(context: Any, age: float) -> None:
    _learn(context, _record(99, BAD, age_s=age))


@when("{crashes:d} crashes with {count:d} requests each are heard of")
def many(context: Any, crashes: int, count: int) -> None:
    context.now = START
    context.quarantine = Quarantine(QuarantineRule())
    for number in range(crashes):
        _learn(context, _record(number, *(f"r{number}-{slot}" for slot in range(count))))


@then("at most {contents:d} requests and {crashes:d} crashes are known")
def bounded(context: Any, contents: int, crashes: int) -> None:
    assert len(context.quarantine) <= contents, len(context.quarantine)
    assert len(context.quarantine._crashes) <= crashes


@given("the daemon beside a target that broke {count:d} requests off")
def broke_off(context: Any, count: int) -> None:
    context.now = START
    context.told = []
    context.quarantine = Quarantine(QuarantineRule())
    context.guard = CrashGuard(
        context.quarantine, DecisionLog(0, lambda: START), context.told.append
    )
    for number in range(count):
        request = _Request(f"r{number}")
        context.guard.ended(request, "id", Outcome.UNKNOWN, Reason.SERVER_FAILED, context.now)
    assert context.guard.target_suspected == bool(count)


def _leave(context: Any, content: str, at: float) -> None:
    context.guard.ended(_Request(content), "id", Outcome.UNKNOWN, Reason.CANCELLED, at)


@given("a request whose caller had left {soon:g} s before, and one whose caller had left {long:g} "
       "s before")  # fmt: skip
def left_before(context: Any, soon: float, long: float) -> None:
    _leave(context, "soon", context.now - soon)
    _leave(context, "long", context.now - long)


@when("the target ends without notice")
def ends(context: Any) -> None:
    context.guard.target_crashed("i-1", "it", context.now, UNIX + context.now)


@then("its end is held against {count:d} requests, the first of these two among them")
def held_against(context: Any, count: int) -> None:
    (record,) = context.told
    assert set(record.contents) == {"r0", "r1", "r2", "soon"}, record
    assert len(record.contents) == count


@given("the daemon beside a target, one of whose callers has left")
def one_left(context: Any) -> None:
    broke_off(context, 0)
    _leave(context, "left", context.now)


@then("the target's end is not looked for")
def not_looked_for(context: Any) -> None:
    assert not context.guard.target_suspected


@when("the target ends after it said that it leaves")
def left(context: Any) -> None:
    context.guard.target_left(context.now)
    context.guard.target_crashed("i-next", "it", context.now, UNIX + context.now)


@when("it answers another one {seconds:g} s later and then ends without notice")
def answers(context: Any, seconds: float) -> None:
    context.now += seconds
    context.guard.ended(_Request("fine"), "id", Outcome.SERVED, None, context.now)
    context.guard.target_crashed("i-1", "it", context.now, UNIX + context.now)


@then("nothing is held against them")
def nothing_held(context: Any) -> None:
    assert context.told == [], context.told
