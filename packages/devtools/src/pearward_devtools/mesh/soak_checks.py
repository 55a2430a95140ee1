"""What must hold in a soak, checked on what callers got and targets ran. No I/O.

Each check returns one line for each time that a promise was broken.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

__all__ = ["Answer", "Disturbance", "Leave", "Restart", "Run", "broken_promises"]

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that say that a request has not run and will not."""
OK = 200
DRAIN_S = 2.0
"""Seconds after the acknowledgement of its leave in which a target may get requests."""
NOTICED_S = 5.0
"""Seconds after a disturbance in which it may still show: a link that was silent is given
up two seconds after it is needed, and what it held back comes later."""
CRASHES = "spoil=crash"
"""In the path of a request that crashes the target that runs it."""
ENDS = 3
"""Targets that may end under one request, and more only of those that got it meanwhile."""
LEARNED_S = 3.0
"""Seconds after the last of these ends in which it may still reach targets."""
FURTHER = 3
"""Targets that it may reach after that."""
DRAIN_SLACK_S = 0.3
"""Time that a request may spend between the daemon and the target on a crowded machine."""


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got for one request."""

    id: str
    node: str
    """Instance whose daemon was asked."""
    repeatable: bool
    status: int
    """0 where the connection ended before the answer was whole."""
    begun: bool
    """Whether the answer's head came."""
    whole: bool
    """Whether it is exactly what the target made for this request."""
    sent_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a target began to work on."""

    id: str
    target: str
    service: str
    path: str
    key: str
    fence: int
    """Under which the key was held; 0 where the service is not divided by key."""
    at: float


@dataclass(frozen=True, slots=True)
class Leave:
    """A target whose leave was acknowledged."""

    target: str
    acknowledged_at: float


@dataclass(frozen=True, slots=True)
class Restart:
    """A daemon that was killed, so that connections to it broke."""

    node: str
    at: float


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which processes or links between them were harmed, without notice."""

    began: float
    ended: float

    def may_have_cut(self, answer: Answer) -> bool:
        """Return whether an answer that broke off may have done so by this."""
        return answer.sent_at <= self.ended + NOTICED_S and self.began <= answer.ended_at


def broken_promises(
    answers: Sequence[Answer],
    runs: Sequence[Run],
    leaves: Iterable[Leave],
    kills: Sequence[Restart],
    disturbances: Sequence[Disturbance] = (),
) -> list[str]:
    """Return a line for every promise that was broken."""
    return [
        *_spoilt(answers),
        *_run_twice(answers, runs),
        *_refused_and_run(answers, runs),
        *_two_owners(runs),
        *_wrong_service(runs),
        *_after_leave(runs, leaves),
        *_crashed_on(runs),
        *_cut(answers, runs, kills),
        *_broken_off(answers, disturbances),
    ]


def _spoilt(answers: Sequence[Answer]) -> list[str]:
    return [f"{a.id}: success with another body" for a in answers if a.status == OK and not a.whole]


def _runs_by_id(runs: Sequence[Run]) -> dict[str, list[Run]]:
    by_id: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        by_id[run.id].append(run)
    return by_id


def _run_twice(answers: Sequence[Answer], runs: Sequence[Run]) -> list[str]:
    by_id = _runs_by_id(runs)
    return [
        f"{a.id}: not repeatable, ran at {[r.target for r in by_id[a.id]]}"
        for a in answers
        if not a.repeatable and len(by_id[a.id]) > 1
    ]


def _refused_and_run(answers: Sequence[Answer], runs: Sequence[Run]) -> list[str]:
    by_id = _runs_by_id(runs)
    return [
        f"{a.id}: answered {a.status}, but ran at {by_id[a.id][0].target}"
        for a in answers
        if a.status in PROMISES and not a.repeatable and by_id[a.id]
    ]


def _two_owners(runs: Sequence[Run]) -> list[str]:
    """Fences of a key only rise, and one fence belongs to one target."""
    broken: list[str] = []
    last: dict[tuple[str, str], Run] = {}
    for run in sorted((r for r in runs if r.fence), key=lambda r: r.at):
        before = last.get((run.service, run.key))
        if before is not None and run.fence < before.fence:
            broken.append(
                f"key {run.key}: fence {run.fence} at {run.target} after "
                f"{before.fence} at {before.target}"
            )
        elif before is not None and run.fence == before.fence and run.target != before.target:
            broken.append(f"key {run.key}: {run.target} and {before.target} under {run.fence}")
        last[run.service, run.key] = run
    return broken


def _wrong_service(runs: Sequence[Run]) -> list[str]:
    return [
        f"{r.id}: {r.path} ran at {r.service}"
        for r in runs
        if r.path.split("/")[1] not in (r.service, "new")
    ]


def _after_leave(runs: Sequence[Run], leaves: Iterable[Leave]) -> list[str]:
    ends = {leave.target: leave.acknowledged_at + DRAIN_S + DRAIN_SLACK_S for leave in leaves}
    return [
        f"{r.id}: reached {r.target} {r.at - ends[r.target]:.3f} s after its leave was due"
        for r in runs
        if r.target in ends and r.at > ends[r.target]
    ]


def _crashed_on(runs: Sequence[Run]) -> list[str]:
    """What crashes its targets reaches no more of them, once enough have ended."""
    by_path: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        if CRASHES in run.path:
            by_path[run.path].append(run.at)
    broken: list[str] = []
    for path, times in by_path.items():
        times.sort()
        late = [at for at in times[ENDS:] if at > times[ENDS - 1] + LEARNED_S]
        if len(late) > FURTHER:
            broken.append(f"{path}: reached {len(late)} targets more after {ENDS} had ended")
    return broken


def _cut(answers: Sequence[Answer], runs: Sequence[Run], kills: Sequence[Restart]) -> list[str]:
    """A request that ran is answered, unless the asked daemon was killed meanwhile."""
    ran = {run.id for run in runs}
    return [
        f"{a.id}: ran, and {a.node} closed the connection without an answer"
        for a in answers
        if a.status == 0
        and not a.begun
        and a.id in ran
        and not any(k.node == a.node and a.sent_at <= k.at <= a.ended_at for k in kills)
    ]


def _broken_off(answers: Sequence[Answer], disturbances: Sequence[Disturbance]) -> list[str]:
    """An answer that began is whole, unless something on its way was harmed without notice."""
    return [
        f"{a.id}: its answer broke off, with nothing harmed"
        for a in answers
        if a.status == 0 and a.begun and not any(d.may_have_cut(a) for d in disturbances)
    ]
