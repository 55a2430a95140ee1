"""Steps for entries of other writers that cannot be used, in virtual time."""

import json
from typing import Any
from unittest import mock

from behave import then, when

from pearward_protocol.entries import encode_member, member_key
from pearward_state.members import Member, TargetState
from pearward_transport.store import Put

ODD = "odd"
FOLLOW_S = 4.0
"""Seconds within which all daemons know a new target."""
MEMBER = Member(ODD, "a", "10.0.0.9:7600", "d9", "roster-app", "i-odd", 12, TargetState.READY)
FIELDS = (
    "target", "at", "contents", "instance", "service", "version", "fence", "targets", "ranges",
    "witnesses", "unsettled", "started_ms",
)  # fmt: skip


def _nested(depth: int) -> str:
    return "[" * depth + "]" * depth


def _json(value: str) -> str:
    """Return the JSON of a value as the feature describes it."""
    if value.startswith("nested "):
        return _nested(int(value.split(" ")[1]))
    if value.startswith("of "):
        return json.dumps("x" * int(value.split(" ")[1]))
    return value


def _write(context: Any, key: str, value: str) -> None:
    context.world.store.commit([], [Put(key, value.encode())])


@when("another writer adds an entry of a member with the {value}")
def add_odd_member(context: Any, value: str) -> None:
    field, _, described = value.partition(" ")
    odd = _json(described.removeprefix("entry "))
    if field == "whole":
        _write(context, member_key(ODD), odd)
        return
    fields = json.loads(encode_member(MEMBER))
    fields[field] = None
    _write(context, member_key(ODD), json.dumps(fields).replace("null", odd))


@when('another writer adds an entry at "{key}" that is nested {depth:d} deep in each field')
def add_odd_entry(context: Any, key: str, depth: int) -> None:
    fields = ",".join(f'"{name}":{_nested(depth)}' for name in FIELDS)
    _write(context, key, f"{{{fields}}}")


@when("{where} fails once at daemon {number:d} with an unexpected error")
def fail_once(context: Any, where: str, number: int) -> None:
    core = context.world.nodes[number].daemon.core
    owner, name = {
        "applying a member's entry": (core, "member_written"),
        "reading the store": (core, "members_read"),
        "renewing the lease": (core.session._store, "keep_alive"),
    }[where]
    called = getattr(owner, name)
    failures = iter([RuntimeError("unexpected")])

    def fail(*arguments: Any) -> Any:
        for failure in failures:
            raise failure
        return called(*arguments)

    patch = mock.patch.object(owner, name, fail)
    patch.start()
    context.add_cleanup(patch.stop)
    if where == "reading the store":
        core.session._start_watches()
    context.world.run(1.0)


def _replace(context: Any, number: int) -> str:
    world = context.world
    node = world.nodes[number]
    world.end_target(node)
    world.start_target(node)
    world.run(FOLLOW_S)
    return str(node.target.id)


def _known(context: Any) -> list[str]:
    """Return the target of instance 1 as each daemon knows it."""
    members = [n.daemon.core.directory.instance("instance-1") for n in context.world.nodes]
    return [member.target if member is not None else "" for member in members]


@then("all daemons follow when target {number:d} is replaced")
def all_follow(context: Any, number: int) -> None:
    target = _replace(context, number)
    assert _known(context) == [target] * len(context.world.nodes), (target, _known(context))


@then("a daemon that is started now follows as well")
def started_follows(context: Any) -> None:
    world = context.world
    world.start_daemon(world.nodes[3])
    world.run(1.0)
    assert not world.nodes[3].daemon.core.unready_reason
    target = _replace(context, 1)
    assert _known(context) == [target] * len(world.nodes), (target, _known(context))


@then("no daemon knows that member")
def unknown_member(context: Any) -> None:
    known = [n.daemon.core.directory.instance(ODD) for n in context.world.nodes]
    assert known == [None] * len(known), known


@then("daemon {number:d} still has its entry after {seconds:g} s")
def has_entry(context: Any, number: int, seconds: float) -> None:
    context.world.run(seconds)
    assert member_key(f"instance-{number}") in context.world.store.items
