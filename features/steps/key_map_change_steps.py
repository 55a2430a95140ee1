"""Steps for key maps that are sent as changes."""

from dataclasses import replace
from random import Random
from typing import Any
from unittest import mock

from behave import given, then, when

from pearward_coordination.messages import Push, PushChange
from pearward_daemon.mesh.key_maps import KeyMaps
from pearward_daemon.mesh.log import DecisionLog
from pearward_protocol.control import decode_control, encode_control
from pearward_protocol.entries import (
    decode_key_map_change,
    deflate,
    encode_key_map_change,
    inflate,
)
from pearward_state.keymap import (
    KEY_SPACE,
    KeyMap,
    KeyRange,
    Predecessor,
    TargetWitnesses,
    diff_key_maps,
)


def _random_map(rng: Random, owners: int, ranges: int, version: int) -> KeyMap:
    names = [f"i-{rng.randrange(16**10):010x}" for _ in range(owners)]
    starts = sorted({0, *(rng.randrange(1, KEY_SPACE) for _ in range(ranges - 1))})
    ends = [*(start - 1 for start in starts[1:]), KEY_SPACE - 1]
    rows = [
        KeyRange(first, last, rng.choice(names), rng.randrange(1, 30))
        for first, last in zip(starts, ends, strict=True)
    ]
    witnesses = tuple(
        TargetWitnesses(name, (tuple(f"sidecar-{rng.randrange(195)}" for _ in range(5)),))
        for name in sorted(names)
    )
    return KeyMap("roster", version, tuple(rows), 40, witnesses)


def _successor(rng: Random, key_map: KeyMap, moves: int) -> KeyMap:
    """Return a next map in which some parts of ranges have other owners."""
    rows = list(key_map.ranges)
    owners = sorted(key_map.targets)
    for _ in range(moves):
        at = rng.randrange(len(rows))
        old = rows[at]
        cut = rng.randrange(old.first, old.last + 1)
        before = (Predecessor(old.owner, old.fence),)
        moved = KeyRange(old.first, cut, rng.choice(owners), key_map.fence + 1, before)
        rest = [replace(old, first=cut + 1)] if cut < old.last else []
        rows[at : at + 1] = [moved, *rest]
    witnesses = tuple(
        row if rng.random() < 0.9 else TargetWitnesses(row.target, (("sidecar-7",), *row.sets))
        for row in key_map.witnesses
        if rng.random() < 0.95
    )
    return KeyMap("roster", key_map.version + 1, tuple(rows), key_map.fence + 1, witnesses)


@given("a key map of {owners:d} owners with {ranges:d} ranges, and a next one with {moves:d} "
       "ranges moved")  # fmt: skip
def map_and_next(context: Any, owners: int, ranges: int, moves: int) -> None:
    rng = Random(3)
    context.former = _random_map(rng, owners, ranges, 21)
    context.next = _successor(rng, context.former, moves)
    context.writer = KeyMaps(mock.create_autospec(DecisionLog, instance=True))
    context.writer.adopt(context.former)
    context.writer.adopt(context.next)
    context.log = mock.create_autospec(DecisionLog, instance=True)
    context.reader = KeyMaps(context.log)
    context.held = context.former
    context.reader.adopt(context.held)
    message = context.writer.message("roster", 21)
    context.message = decode_control(encode_control(message))
    assert isinstance(context.message, PushChange)


@when("its writer sends it to a daemon that holds the former map")
def send_change(context: Any) -> None:
    context.full_map_wanted = context.reader.apply_change(context.message, "n1:1")


@when("its writer sends it to a daemon that holds the former map, but {fault}")
def send_faulty_change(context: Any, fault: str) -> None:
    message = context.message
    if fault == "the daemon lacks the base":
        context.reader, context.held = KeyMaps(context.log), None
    elif fault == "the daemon holds another base":
        context.held = replace(context.former, version=20)
        context.reader = KeyMaps(context.log)
        context.reader.adopt(context.held)
    elif fault == "the message is cut short":
        message = replace(message, value=message.value[:-9])
    else:
        change = decode_key_map_change(inflate(message.value))
        if fault == "a range of the change is missing":
            ranges = change.ranges[1:]
        else:
            ranges = (replace(change.ranges[0], owner="i-other"), *change.ranges[1:])
        value = deflate(encode_key_map_change(replace(change, ranges=ranges)))
        message = replace(message, value=value)
    context.full_map_wanted = context.reader.apply_change(message, "n1:1")


@then("that daemon has the next map, and received less than a tenth of the full map's bytes")
def has_next(context: Any) -> None:
    assert not context.full_map_wanted
    assert context.reader.of("roster") == context.next
    full_map = context.writer.message("roster", 0)
    assert isinstance(full_map, Push)
    assert len(context.message.value) * 10 < len(full_map.value), len(context.message.value)


@then("that daemon keeps its map, logs versions, sender and reason, and asks for the full map")
def keeps_map(context: Any) -> None:
    assert context.full_map_wanted
    assert context.reader.of("roster") == context.held
    (call,) = context.log.emit.call_args_list
    assert call.args == ("key_map_change_refused",)
    logged = call.kwargs
    assert (logged["base"], logged["version"], logged["sender"]) == (21, 22, "n1:1")
    assert logged["held"] == (context.held.version if context.held else 0)
    assert logged["reason"]


@then("the full map brings it to the next version")
def apply_full_map(context: Any) -> None:
    context.reader.take(context.writer.message("roster", 0))
    assert context.reader.of("roster") == context.next


@then("for {count:d} random maps and random successors, applying the change from one to "
      "the other gives the other")  # fmt: skip
def random_changes(context: Any, count: int) -> None:
    rng = Random(11)
    for _ in range(count):
        before = _random_map(rng, rng.randrange(1, 30), rng.randrange(1, 60), 5)
        after = _successor(rng, before, rng.randrange(0, 20))
        change = decode_key_map_change(encode_key_map_change(diff_key_maps(before, after)))
        assert before.apply(change) == after
        back = replace(before, version=7)
        assert after.apply(diff_key_maps(after, back)) == back
