"""Steps for a store that is restored from an older copy, with real processes."""

import http.client
import json
import time
from collections import defaultdict
from typing import Any

from behave import then, when

from pearward_devtools.cluster import wait_until
from pearward_devtools.mesh.cluster import MeshCluster, MeshNode
from pearward_state.eras import era_of

KEYS = range(0, 65_536, 1024)
UNAVAILABLE_S = 0.3
HANDOVERS = 2
REQUESTS_S = 5.0
"""Seconds of requests: longer than a lease, so that one that is not renewed expires meanwhile."""


def _keyed(context: Any) -> list[MeshNode]:
    cluster: MeshCluster = context.mesh
    return [node for node in cluster.nodes if node.keyed]


def _fences(context: Any) -> dict[int, int]:
    """Return the fence under which each of KEYS is held, or 0 where it is not held."""
    rows = [row for node in _keyed(context) for row in context.mesh.state(node)["rows"]]
    held = ((k, fence) for first, last, fence, _ in rows for k in KEYS if first <= k <= last)
    return dict.fromkeys(KEYS, 0) | dict(sorted(held, key=lambda row: row[1]))


def _record_fences(context: Any) -> None:
    for key, fence in _fences(context).items():
        context.highest[key] = max(context.highest[key], fence)


def _holds_keys(context: Any, node: MeshNode) -> bool:
    return bool(context.mesh.state(node)["rows"])


@when("the store is copied and keyed targets hand over their keys, one after the other")
def copy_and_hand_over(context: Any) -> None:
    cluster: MeshCluster = context.mesh
    context.highest = defaultdict(int)
    _record_fences(context)
    before = dict(context.highest)
    cluster.store_call("/standin/copy")
    for node in _keyed(context)[:HANDOVERS]:
        cluster.control_target(node, "drain")
        wait_until(lambda node=node: not _holds_keys(context, node), "the keys to be handed over")
        wait_until(lambda: all(_fences(context).values()), "every key to be held again")
        _record_fences(context)
    assert any(fence > before[key] for key, fence in context.highest.items())


@when(
    "all daemons and targets are killed, the store is restored from the copy and all are restarted"
)
def kill_all(context: Any) -> None:
    cluster: MeshCluster = context.mesh
    for node in cluster.nodes:
        cluster.kill(node)
        assert node.target is not None
        node.target.kill()
        node.target.wait()
    cluster.store_call("/standin/return", json.dumps({"away_s": UNAVAILABLE_S}))
    for node in cluster.nodes:
        cluster.start_daemon(node)
        cluster.start_target(node)
    cluster.wait_served()


@then("every key is held under a higher fence than any that it had before")
def fences_above(context: Any) -> None:
    wait_until(lambda: all(_fences(context).values()), "every key to be held")
    now = _fences(context)
    not_raised = {k: (now[k], before) for k, before in context.highest.items() if now[k] <= before}
    assert not not_raised, not_raised


@when("the store is restored from the copy while requests for keys arrive")
def restore_during_requests(context: Any) -> None:
    cluster: MeshCluster = context.mesh
    context.statuses = []
    ends = time.monotonic() + REQUESTS_S
    cluster.store_call("/standin/return", json.dumps({"away_s": UNAVAILABLE_S}))
    while time.monotonic() < ends:
        for node in cluster.nodes:
            headers = {
                "Request-Id": f"g{next(context.mesh_ids)}",
                "Shard-Key": str(KEYS[len(context.statuses) % len(KEYS)]),
                "Deadline-Ms": "2000",
            }
            reply = cluster.call(node, "/roster/safe/x", headers=headers)
            context.statuses.append(reply.status)


@then("all of these requests were served")
def all_served(context: Any) -> None:
    refused = [status for status in context.statuses if status != http.client.OK]
    assert not refused, (len(refused), len(context.statuses))


@then("the store has the entries of all daemons and a key map of its new era within {seconds:g} s")
def entries_present(context: Any, seconds: float) -> None:
    cluster: MeshCluster = context.mesh

    def all_present() -> bool:
        items = cluster.store_call("/standin/items")
        entries = json.loads(items)
        members = [f"pearward/members/{node.name}" in entries for node in cluster.nodes]
        key_map = json.loads(entries["pearward/keymaps/roster"])
        return all(members) and era_of(key_map["version"]) > 0

    wait_until(all_present, "entries and a key map of the new era", seconds)
