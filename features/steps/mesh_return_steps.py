"""Steps of a store that comes back from an older copy, with real processes."""

import json
from collections import defaultdict
from typing import Any

from behave import then, when

from pearward_devtools.cluster import wait_until
from pearward_devtools.mesh.cluster import MeshCluster, MeshNode

KEYS = range(0, 65_536, 1024)
AWAY_S = 0.3
HAND_OVERS = 2


def _keyed(context: Any) -> list[MeshNode]:
    cluster: MeshCluster = context.mesh
    return [node for node in cluster.nodes if node.keyed]


def _fences(context: Any) -> dict[int, int]:
    """Return the fence under which each of the looked-at keys is held; 0 where it is not."""
    rows = [row for node in _keyed(context) for row in context.mesh.state(node)["rows"]]
    held = ((k, fence) for first, last, fence, _ in rows for k in KEYS if first <= k <= last)
    return dict.fromkeys(KEYS, 0) | dict(sorted(held, key=lambda row: row[1]))


def _note_fences(context: Any) -> None:
    for key, fence in _fences(context).items():
        context.highest[key] = max(context.highest[key], fence)


def _holds_keys(context: Any, node: MeshNode) -> bool:
    return bool(context.mesh.state(node)["rows"])


@when("the store is copied and keyed targets hand over, one after the other")
def copy_and_hand_over(context: Any) -> None:
    cluster: MeshCluster = context.mesh
    context.highest = defaultdict(int)
    _note_fences(context)
    before = dict(context.highest)
    cluster.store_call("/standin/copy")
    for node in _keyed(context)[:HAND_OVERS]:
        cluster.tell_target(node, "drain")
        wait_until(lambda node=node: not _holds_keys(context, node), "the keys to be handed over")
        wait_until(lambda: all(_fences(context).values()), "every key to be held again")
        _note_fences(context)
    assert any(fence > before[key] for key, fence in context.highest.items())


@when("all daemons and targets are killed, the store goes back and all are started again")
def kill_all(context: Any) -> None:
    cluster: MeshCluster = context.mesh
    for node in cluster.nodes:
        cluster.kill(node)
        assert node.target is not None
        node.target.kill()
        node.target.wait()
    cluster.store_call("/standin/return", json.dumps({"away_s": AWAY_S}))
    for node in cluster.nodes:
        cluster.start_daemon(node)
        cluster.start_target(node)
    cluster.wait_served()


@then("every key is held under a fence above all that it had before")
def fences_above(context: Any) -> None:
    wait_until(lambda: all(_fences(context).values()), "every key to be held")
    now = _fences(context)
    again = {k: (now[k], before) for k, before in context.highest.items() if now[k] <= before}
    assert not again, again
