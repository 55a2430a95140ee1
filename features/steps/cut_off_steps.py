"""Steps that test daemons that are cut off from their peers for seconds."""

import time
from typing import Any

from behave import then, when
from fault_steps import KEYS, _add_link_faults, _coordinator, _mark_unreachable, _owner, _serves

from pearward_devtools.cluster import wait_until
from pearward_state.records import MemberState

PAUSE_S = 0.02
"""Pause in seconds between two requests that check whether all keys are served."""


def _active_servers(context: Any, service: str) -> set[str]:
    record = context.cluster.record(service)
    return {m.server for m in record.members if m.state is MemberState.ACTIVE}


@when('the coordinator of "{service}" is cut off from all peers')
def cut_off_coordinator(context: Any, service: str) -> None:
    node = wait_until(lambda: _coordinator(context, service), "a coordinator")
    _mark_unreachable(context, node)
    _add_link_faults(context, node, "cut")


@when('the links towards the owner of "{key}" are cut')
def cut_links_towards(context: Any, key: str) -> None:
    node = _owner(context, key)
    _mark_unreachable(context, node)
    context.notes["faults"] = [{"from": "*", "to": node.ip, "kind": "cut"}]
    context.cluster.set_link_faults(context.notes["faults"])


@when('two daemons that do not own "{key}" are frozen until they are not active in the record')
def freeze_two(context: Any, key: str) -> None:
    owner = _owner(context, key)
    others = [node for node in context.cluster.of(owner.service) if node is not owner]
    for node in others[:2]:
        _mark_unreachable(context, node)
        context.cluster.freeze(node)
        wait_until(
            lambda n=node: n.server not in _active_servers(context, n.service),
            f"{node.name} to be inactive in the record",
        )
    context.notes["frozen"] = others[:2]


@when("the two frozen daemons are resumed")
def resume_two(context: Any) -> None:
    for node in context.notes.pop("frozen"):
        context.cluster.resume(node)
        context.notes["unreachable"].remove(node)


@then('every key of "{service}" stays served for {seconds:d} seconds')
def stays_served(context: Any, service: str, seconds: int) -> None:
    """Request one key after the other; each has to be served within one request's deadline."""
    began = time.monotonic()
    unserved: list[tuple[float, str]] = []
    asked = 0
    while time.monotonic() - began < seconds:
        key = f"key-{asked % KEYS}"
        asked += 1
        if not _serves(context, service, key):
            unserved.append((round(time.monotonic() - began, 1), key))
        time.sleep(PAUSE_S)
    assert not unserved, f"{len(unserved)} of {asked} requests were not served: {unserved[:20]}"
