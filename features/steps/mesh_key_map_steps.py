"""Steps for key maps: sizes, moves, loads, stored maps, witnesses."""

from dataclasses import replace
from random import Random
from typing import Any
from unittest import mock

import orjson
from behave import given, then, when

from pearward_coordination.grants import GrantManager, GrantTiming, ReleasedRow
from pearward_coordination.key_load import (
    RECENT_S,
    KeyCount,
    KeyCounter,
    KeyLoadTable,
    KeyRate,
)
from pearward_coordination.key_segments import KeyOwner, rates_by_owner
from pearward_coordination.keyplan import (
    PlanLimits,
    PlannedLoad,
    first_map,
    has_surged,
    plan_moves,
)
from pearward_coordination.messages import Push
from pearward_coordination.witness_sets import WitnessCandidate, with_witnesses
from pearward_daemon.mesh.key_maps import KeyMaps
from pearward_daemon.mesh.log import DecisionLog
from pearward_protocol.entries import decode_key_map, deflate, encode_key_map, key_map_key
from pearward_state.errors import InvalidRecord
from pearward_state.keymap import KEY_SPACE, KeyMap, KeyRange, Predecessor, TargetWitnesses

NOW = 100.0


@given("owners with capacities {one:g}, {two:g} and {three:g}")
def owners(context: Any, one: float, two: float, three: float) -> None:
    context.owners = [
        KeyOwner(f"t{number}", capacity) for number, capacity in enumerate((one, two, three))
    ]
    context.map = first_map("service", context.owners)
    context.load = PlannedLoad()
    context.ended = frozenset()
    context.fixed = frozenset()


@then("the first map gives them {one:d}, {two:d} and {three:d} keys")
def first_sizes(context: Any, one: int, two: int, three: int) -> None:
    sizes = [sum(r.size for r in context.map.owned_by(o.target)) for o in context.owners]
    assert all(abs(a - b) <= 1 for a, b in zip(sizes, (one, two, three), strict=True)), sizes


def _set_loads(context: Any, rates: list[float], width: int) -> None:
    """Spread each owner's rate evenly over its first *width* keys."""
    rows: list[KeyRate] = []
    for number, owner in enumerate(context.owners):
        first = min(r.first for r in context.map.owned_by(owner.target))
        rows += [KeyRate(first + n, rates[number] / width) for n in range(width)]
    context.load = PlannedLoad(tuple(rows), 3.0)


@when("{hot:g} requests a second go to 200 neighbouring keys of the first owner and "
      "{usual:g} to each other owner")  # fmt: skip
def load_on_neighbouring_keys(context: Any, hot: float, usual: float) -> None:
    _set_loads(context, [hot, *[usual] * (len(context.owners) - 1)], 200)


@given("{count:d} owners with capacity {capacity:g}")
def many_owners(context: Any, count: int, capacity: float) -> None:
    context.owners = [KeyOwner(f"t{number}", capacity) for number in range(count)]
    context.map = first_map("service", context.owners)
    context.ended = frozenset()
    context.fixed = frozenset()


@when("one key of the first owner gets {hot:g} requests a second and each owner's other "
      "keys {usual:g}")  # fmt: skip
def one_hot_key(context: Any, hot: float, usual: float) -> None:
    _set_loads(context, [usual] * len(context.owners), 200)
    rates = {row.key: row.rate for row in context.load.rates}
    context.hot_key = 1000
    rates[context.hot_key] = hot
    rows = tuple(KeyRate(key, rates[key]) for key in sorted(rates))
    context.load = PlannedLoad(rows, 3.0)


@then("the next map gives that key to the owner with capacity {capacity:g}, with at most "
      "{most:g} requests a second for its other keys")  # fmt: skip
def hot_key_at_fastest(context: Any, capacity: float, most: float) -> None:
    planned = _planned(context)
    assert planned is not None
    owner = planned.range_of(context.hot_key).owner
    assert [o.capacity for o in context.owners if o.target == owner] == [capacity]
    other_rate = sum(
        row.rate
        for row in context.load.rates
        if row.key != context.hot_key and planned.range_of(row.key).owner == owner
    )
    assert other_rate <= most, other_rate


@then("the next map leaves that key where it is")
def hot_key_stays(context: Any) -> None:
    planned = _planned(context) or context.map
    assert planned.range_of(context.hot_key).owner == context.map.range_of(context.hot_key).owner


@when("{one:g} requests a second go to the first owner and {other:g} to each other owner")
def load_on_first_and_others(context: Any, one: float, other: float) -> None:
    _set_loads(context, [one, other, other], 200)


@when("a fourth owner joins while there is no load")
def joins_idle(context: Any) -> None:
    context.owners.append(KeyOwner("t3", 100.0))


@when("{rate:g} requests a second go to each owner and a fourth owner joins")
def joins_busy(context: Any, rate: float) -> None:
    _set_loads(context, [rate, rate, rate], 300)
    context.owners.append(KeyOwner("t3", 100.0))


@then("the next map gives the new owner between {low:d} and {high:d} keys")
def new_owner_keys(context: Any, low: int, high: int) -> None:
    planned = _planned(context)
    assert planned is not None
    assert low <= sum(r.size for r in planned.owned_by("t3")) <= high
    assert decode_key_map(encode_key_map(planned)) == planned


@then("the next map gives the new owner between {low:d} and {high:d} requests a second")
def new_owner_rate(context: Any, low: int, high: int) -> None:
    planned = _planned(context)
    assert planned is not None
    rate = sum(r.rate for r in context.load.rates if planned.range_of(r.key).owner == "t3")
    assert low <= rate <= high, rate


@when("the first owner has ended")
def first_ended(context: Any) -> None:
    context.ended = frozenset({"t0"})
    context.owners = context.owners[1:]


@when("only the second owner has been heard from")
def only_second(context: Any) -> None:
    context.owners = context.owners[1:2]
    context.fixed = frozenset({"t0", "t2"})


def _planned(context: Any) -> KeyMap | None:
    return plan_moves(
        context.map, context.owners, context.load, context.ended, PlanLimits(), fixed=context.fixed
    )


@then("there is no next map")
def no_next(context: Any) -> None:
    assert _planned(context) is None


@then("the next map brings every owner's rate to within {most:g} of the mean")
def load_levelled(context: Any, most: float) -> None:
    context.next = _planned(context)
    assert context.next is not None
    rates = dict.fromkeys((o.target for o in context.owners), 0.0)
    for row in context.load.rates:
        rates[context.next.range_of(row.key).owner] += row.rate
    mean = sum(rates.values()) / len(rates)
    assert all(abs(rate - mean) <= most for rate in rates.values()), rates


@then("every range that moved names its former owner as predecessor and has a higher fence")
def moved_rows(context: Any) -> None:
    moved = 0
    for r in context.next.ranges:
        before = context.map.range_of(r.first)
        if before.owner != r.owner:
            moved += 1
            assert [p.target for p in r.predecessors] == [before.owner]
            assert r.fence > context.map.fence
    assert moved


@then("the next map gives its keys to the others without a predecessor")
def keys_reassigned(context: Any) -> None:
    planned = _planned(context)
    assert planned is not None
    assert not planned.owned_by("t0")
    assert all(not r.predecessors for r in planned.ranges)
    assert decode_key_map(encode_key_map(planned)) == planned


@given("owners that report their request counts four times in 2 s")
def reporting(context: Any) -> None:
    context.load_table = KeyLoadTable()


@when("key 7 gets 10 requests a second, first at one owner and then at another")
def key_changes_owner(context: Any) -> None:
    for number in range(4):
        counter = KeyCounter()
        for _ in range(5):
            counter.count(7)
        context.load_table.add(counter.take(), NOW + number * 0.5)


@then("its load is 10 requests a second, plus or minus 4")
def table_rate(context: Any) -> None:
    (row,) = context.load_table.rates(NOW + 1.9)
    assert row.key == 7 and abs(row.rate - 10.0) <= 4.0, row


@when("one key of the second owner gets {one:d} requests a second and one of the first "
      "owner {two:d}")  # fmt: skip
def two_hot_keys(context: Any, one: int, two: int) -> None:
    context.hot_keys = [
        context.map.owned_by("t1")[0].first + 5,
        context.map.owned_by("t0")[0].first + 5,
    ]
    rates = sorted(zip(context.hot_keys, (one, two), strict=True))
    context.load = PlannedLoad(tuple(KeyRate(key, float(rate)) for key, rate in rates), 3.0)


@then("the next map leaves the second owner's key where it is and moves the first owner's "
      "key to the third")  # fmt: skip
def second_hot_key_moves(context: Any) -> None:
    planned = _planned(context)
    assert planned is not None
    assert [planned.range_of(key).owner for key in context.hot_keys] == ["t1", "t2"]


@given("a key map of {owners:d} owners with {ranges:d} ranges")
def large_map(context: Any, owners: int, ranges: int) -> None:
    rng = Random(5)
    names = [f"i-{rng.randrange(16**10):010x}" for _ in range(owners)]
    starts = [number * (KEY_SPACE // ranges) for number in range(ranges)]
    rows = []
    for number, first in enumerate(starts):
        last = starts[number + 1] - 1 if number + 1 < ranges else KEY_SPACE - 1
        before = (Predecessor(rng.choice(names), number % 30 + 1),) if number % 8 == 0 else ()
        rows.append(KeyRange(first, last, rng.choice(names), number % 30 + 2, before))
    witnesses = tuple(
        TargetWitnesses(name, (tuple(f"sidecar-{rng.randrange(83)}" for _ in range(5)),))
        for name in sorted(names)
    )
    context.map = KeyMap("roster", 21, tuple(rows), 40, witnesses)


@then("it is sent in less than half of its bytes and received unchanged")
def sent_compressed(context: Any) -> None:
    sender, receiver = KeyMaps(_discarding_log()), KeyMaps(_discarding_log())
    sender.adopt(context.map)
    message = sender.message("roster")
    assert isinstance(message, Push) and message.version == 21
    context.sent = message.value
    assert len(context.sent) * 2 < len(encode_key_map(context.map)), len(context.sent)
    receiver.take(message)
    assert receiver.of("roster") == context.map


@then("a truncated map, and data that is not a key map, is logged and changes nothing")
def invalid_maps_refused(context: Any) -> None:
    log = mock.create_autospec(DecisionLog, instance=True)
    receiver = KeyMaps(log)
    for data in (context.sent[:-20], b"", b"no zlib", deflate(b"no JSON"), deflate(b"{}")):
        receiver.take(Push(key_map_key("roster"), 21, data))
    assert receiver.of("roster") is None
    assert [call.args[0] for call in log.emit.call_args_list] == ["key_map_unreadable"] * 5


def _discarding_log() -> DecisionLog:
    return DecisionLog(0, lambda: 0.0)


REPORT_S = 0.4
"""Seconds between two reports of an owner."""


def _first_key_of(owner: int) -> int:
    """Return the first key of an owner's quarter of the key space."""
    return owner * KEY_SPACE // 4


def _report_loads(context: Any, extra: float) -> None:
    """Let every owner report its request counts, and check for a surge as the planner does."""
    context.now += REPORT_S
    for owner in range(4):
        rate = 10.0 + (extra if owner == 0 else 0.0)
        counter = KeyCounter()
        # Independent callers give Poisson counts; a binomial count of many trials approximates one.
        asked = sum(context.rng.random() < rate * REPORT_S / 1000 for _ in range(1000))
        for _ in range(asked):
            counter.count(_first_key_of(owner) + context.rng.randrange(200))
        counts = counter.take()
        for table in (context.usual, context.recent):
            table.add(counts, context.now)
    usual, recent = (
        PlannedLoad(table.rates(context.now), table.observed_s(context.now))
        for table in (context.usual, context.recent)
    )
    if has_surged(context.map, recent, usual, PlanLimits()):
        context.surges += 1
        context.usual.reset_from(context.recent, context.now)


@given("4 owners of equal parts that got 10 requests a second each for {seconds:g} s")
def usual_load(context: Any, seconds: float) -> None:
    context.rng = Random(11)
    context.now, context.surges = NOW, 0
    context.usual, context.recent = KeyLoadTable(), KeyLoadTable(RECENT_S)
    context.map = first_map("roster", [KeyOwner(f"t{number}", 30.0) for number in range(4)])
    for _ in range(round(seconds / REPORT_S)):
        _report_loads(context, 0.0)
    assert context.surges == 0


@when("{extra:d} more requests a second go to keys of the first part for {seconds:g} s")
def surge(context: Any, extra: int, seconds: float) -> None:
    for _ in range(round(seconds / REPORT_S)):
        _report_loads(context, extra)


@when("the same load continues for {seconds:d} s with its usual random variation")
def load_continues(context: Any, seconds: int) -> None:
    for _ in range(round(seconds / REPORT_S)):
        _report_loads(context, 0.0)


@then("the usual load was reset once, and the first owner's rate is {low:d} to {high:d} a second")
def reset_after_surge(context: Any, low: int, high: int) -> None:
    assert context.surges == 1, context.surges
    rates = rates_by_owner(context.map, context.usual.rates(context.now))
    assert low <= rates["t0"] <= high, rates


@then("the usual load was never reset")
def never_reset(context: Any) -> None:
    assert context.surges == 0


@when("one owner counts requests for 1000 different keys")
def many_keys(context: Any) -> None:
    counter = KeyCounter()
    for key in range(0, 65_000, 65):
        counter.count(key)
    context.counts = counter.take()


@then("its report has at most 64 rows, which together count all requests")
def few_report_rows(context: Any) -> None:
    assert len(context.counts) <= 64
    assert sum(row.count for row in context.counts) == 1000
    assert all(isinstance(row, KeyCount) and row.first <= row.last for row in context.counts)


def _reassign_first_range(key_map: KeyMap, owner: str, before: list[Predecessor]) -> KeyMap:
    """Return the next map, in which the first range has *owner* and these predecessors."""
    fence = key_map.fence + 1
    moved = replace(key_map.ranges[0], owner=owner, fence=fence, predecessors=tuple(before))
    ranges = (moved, *key_map.ranges[1:])
    return replace(key_map, version=key_map.version + 1, ranges=ranges, fence=fence)


@given("the second owner is assigned the first owner's keys, which it does not hold yet")
def second_is_assigned(context: Any) -> None:
    grant_manager = context.grant_manager = GrantManager("service", 0.0, GrantTiming())
    grant_manager.target_changed("t1")
    grant_manager.set_lease_end(NOW + 60.0)
    context.map = _reassign_first_range(context.map, "t1", [Predecessor("t0", 1)])
    grant_manager.adopt(context.map, NOW)
    grant_manager.heartbeat(NOW, (), ())
    rows, _ = grant_manager.grant(NOW, NOW)
    assert all(row.first > context.map.ranges[0].last for row in rows), rows


@when("those keys are assigned to the third owner, and its daemon asks for their release")
def asks_for_keys(context: Any) -> None:
    second = Predecessor("t1", context.map.fence)
    context.next = _reassign_first_range(context.map, "t2", [Predecessor("t0", 1), second])


@then("the second owner's daemon does not reply until it has that map, and then reports "
      "them released")  # fmt: skip
def reports_when_known(context: Any) -> None:
    moved = context.next.ranges[0]

    def released_rows_now() -> list[ReleasedRow] | None:
        return context.grant_manager.released_rows(
            "t1", moved.first, moved.last, context.map.fence, context.next.version, NOW
        )

    assert released_rows_now() is None
    context.grant_manager.adopt(context.next, NOW)
    assert released_rows_now() is not None


@when("the daemon of the first owner is told 1000 times that a predecessor released its keys")
def release_told_often(context: Any) -> None:
    context.grant_manager = GrantManager("service", NOW, GrantTiming())
    for _ in range(1000):
        context.grant_manager.note_predecessor_released(
            Predecessor("gone", 1), ReleasedRow(0, 99, "")
        )


@then("it has recorded one row")
def one_row_recorded(context: Any) -> None:
    (rows,) = context.grant_manager._released_by.values()
    assert rows == [ReleasedRow(0, 99, "")]


# -- witnesses -------------------------------------------------------------------------------


@given("9 instances in 3 failure domains")
def instances(context: Any) -> None:
    context.candidates = [WitnessCandidate(f"n{n}", f"d{n % 3}") for n in range(9)]
    owners = [KeyOwner(f"t{n}", 100.0) for n in range(9)]
    context.instances = {f"t{n}": f"n{n}" for n in range(9)}
    context.map = with_witnesses(
        first_map("service", owners), context.candidates, context.instances, frozenset()
    )


@then("each target gets 5 witnesses of all 3 domains, none on its own instance")
def spread_witnesses(context: Any) -> None:
    domains = {c.instance: c.failure_domain for c in context.candidates}
    for target, own in context.instances.items():
        (names,) = context.map.witnesses_of(target)
        assert len(names) == 5
        assert own not in names
        assert len({domains[name] for name in names}) == 3


@when("a witness of the first target is gone")
def witness_gone(context: Any) -> None:
    context.former = context.map.witnesses_of("t0")[0]
    context.lost_witness = context.former[0]
    context.candidates = [c for c in context.candidates if c.instance != context.lost_witness]
    context.next = with_witnesses(context.map, context.candidates, context.instances, frozenset())


@then("its newer set omits the lost witness and the former set is kept behind it")
def joint_sets(context: Any) -> None:
    newer, former = context.next.witnesses_of("t0")
    assert former == context.former
    assert context.lost_witness not in newer


@then("once the target has settled only the newer set is left")
def settled(context: Any) -> None:
    newer = context.next.witnesses_of("t0")[0]
    after = with_witnesses(context.next, context.candidates, context.instances, frozenset({"t0"}))
    assert after.witnesses_of("t0") == (newer,)


@when("a key map is read whose ranges {fault}")
def broken_map(context: Any, fault: str) -> None:
    data = orjson.loads(encode_key_map(first_map("service", [KeyOwner("a", 1), KeyOwner("b", 1)])))
    first, second = data["ranges"]
    if fault == "leave a key out":
        first[1] -= 1
    elif fault == "name a key twice":
        second[0] -= 1
    else:
        second[1] = KEY_SPACE - 2
    try:
        decode_key_map(orjson.dumps(data))
        context.error = ""
    except InvalidRecord as error:
        context.error = str(error)


@then("it is refused with a message that names a range")
def names_range(context: Any) -> None:
    assert "range" in context.error, context.error
