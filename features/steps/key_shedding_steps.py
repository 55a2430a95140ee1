"""Steps that simulate a key that is requested more often than its owner can run it."""

from collections.abc import Iterator
from random import Random
from typing import Any

from behave import given, then, when

from pearward_coordination.overload.key_shedding import MAX_KEYS, KeyShedding

SERVICE, KEY = "sheets", 14_139


class _Owner:
    """An owner: the rates at which its daemon handles requests and it runs those for the key."""

    def __init__(self, runs_per_s: float, handles_per_s: float) -> None:
        self.runs_per_s = runs_per_s
        self.handles_per_s = handles_per_s
        self.behind_s = 0.0
        self._credit = 0.0
        self._at = 0.0

    def handle(self, now: float) -> None:
        """Handle one request, whether it runs or not."""
        passed = now - self._at
        self._at = now
        self.behind_s = max(0.0, self.behind_s - passed) + 1.0 / self.handles_per_s
        # Two may wait: a request that arrives shortly before a slot is free still gets it.
        self._credit = min(3.0, self._credit + passed * self.runs_per_s)

    def take(self, now: float) -> bool:
        """Handle one request for the key; return whether there was capacity to run it."""
        self.handle(now)
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True


def _arrivals(rates: list[tuple[float, float]], rng: Random) -> Iterator[float]:
    """Yield arrival times of requests for consecutive pairs of requests a second and end time."""
    now = 0.0
    for per_s, until in rates:
        while now < until:
            now += rng.expovariate(per_s)
            yield now


def _simulate(
    context: Any, rates: list[tuple[float, float]], others: float, *, sheds: bool = True
) -> None:
    """Simulate requests for the hot key and for other keys of its owner."""
    rng = Random(7)
    owner = context.owner
    daemons = [KeyShedding(Random(n)) for n in range(context.daemons)]
    end = rates[-1][1]
    arrivals = [(at, True) for at in _arrivals(rates, rng)]
    arrivals += [(at, False) for at in _arrivals([(others, end)], rng)] if others else []
    context.sent, context.served, context.shed, context.behind = [], [], [], []
    for at, hot in sorted(arrivals):
        if not hot:
            owner.handle(at)
            continue
        daemon = rng.choice(daemons)
        if sheds and daemon.sheds(SERVICE, KEY, at):
            context.shed.append(at)
            continue
        context.sent.append(at)
        context.behind.append((at, owner.behind_s))
        if owner.take(at):
            context.served.append(at)
            daemon.served(SERVICE, KEY, at)
        else:
            daemon.refused(SERVICE, KEY, at)
    context.end = end


@given("{daemons:d} daemons and an owner that runs {runs:d} requests a second and handles "
       "{handles:d}")  # fmt: skip
def fleet_and_owner(context: Any, daemons: int, runs: int, handles: int) -> None:
    context.daemons = daemons
    context.owner = _Owner(runs, handles)


@when("its key is requested {hot:d} times a second for {seconds:g} s, and other keys "
      "{others:d} times")  # fmt: skip
def hot_key(context: Any, hot: int, seconds: float, others: int) -> None:
    context.load = ([(hot, seconds)], others)
    _simulate(context, *context.load)


@when("its key is requested as often without shedding")
def without_shedding(context: Any) -> None:
    _simulate(context, [(240, 8.0)], 60, sheds=False)


@when("its key is requested {hot:d} times a second for {seconds:g} s, and then {usual:d} "
      "times a second")  # fmt: skip
def hot_then_usual(context: Any, hot: int, seconds: float, usual: int) -> None:
    context.hot_until = seconds
    _simulate(context, [(hot, seconds), (usual, seconds + 20.0)], 0)


def _per_second(times: list[float], since: float, until: float) -> float:
    return sum(since <= at < until for at in times) / (until - since)


@then("from {since:g} s on the owner's daemon receives at most {most:d} requests a second "
      "for the key")  # fmt: skip
def asked_at_most(context: Any, since: float, most: int) -> None:
    asked = _per_second(context.sent, since, context.end)
    assert asked <= most, asked


@then("at least {least:d} requests a second of the key are served from {since:g} s on")
def served_at_least(context: Any, least: int, since: float) -> None:
    served = _per_second(context.served, since, context.end)
    assert served >= least, served


@then("the owner's daemon is at most {most:g} s behind from {since:g} s on")
def behind_at_most(context: Any, most: float, since: float) -> None:
    behind = max(s for at, s in context.behind if at >= since)
    assert behind <= most, behind


@then("the owner's daemon is at least {least:g} s behind from {since:g} s on")
def behind_at_least(context: Any, least: float, since: float) -> None:
    behind = max(s for at, s in context.behind if at >= since)
    assert behind >= least, behind


@then("from {seconds:g} s after that on, at most {most:d} in 100 requests are refused at "
      "the ingress daemon")  # fmt: skip
def few_refused_at_ingress(context: Any, seconds: float, most: int) -> None:
    since = context.hot_until + seconds
    shed = _per_second(context.shed, since, context.end)
    sent = _per_second(context.sent, since, context.end)
    assert shed <= (shed + sent) * most / 100, (shed, sent)


@given("a daemon that forwards {per_s:d} requests a second for a key, of which one in six "
       "is refused")  # fmt: skip
def few_refusals(context: Any, per_s: int) -> None:
    shedding = KeyShedding(Random(3))
    context.shed = 0
    for number in range(200):
        now = number / per_s
        if shedding.sheds(SERVICE, KEY, now):
            context.shed += 1
        elif number % 6 == 0:
            shedding.refused(SERVICE, KEY, now)
        else:
            shedding.served(SERVICE, KEY, now)


@then("it sheds none of 200 requests")
def none_shed(context: Any) -> None:
    assert context.shed == 0, context.shed


@given("a daemon that was refused {count:d} different keys")
def many_keys(context: Any, count: int) -> None:
    context.shedding = KeyShedding(Random(3))
    for key in range(count):
        context.shedding.refused(SERVICE, key, key * 0.001)


@then("it keeps at most {most:d} of them on record")
def few_on_record(context: Any, most: int) -> None:
    assert len(context.shedding._seen) <= most == MAX_KEYS, len(context.shedding._seen)
