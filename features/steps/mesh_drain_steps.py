"""Steps of drained failure domains and cold targets, with real processes."""

import json
import threading
import time
from typing import Any

from behave import then, when

from pearward_devtools.cluster import wait_until
from pearward_devtools.mesh.cluster import MeshNode

KEYED, POOLED = "roster", "sheets"
ALL_KEYS = range(0, 65_536, 4096)


def _id(context: Any) -> str:
    """Return a request id that was not used before."""
    return f"d{next(context.mesh_ids)}"


def _in_domain(context: Any) -> list[MeshNode]:
    return [node for node in context.mesh.nodes if node.zone == context.domain]


def _ran(context: Any, node: MeshNode) -> int:
    return len(context.mesh.state(node)["ran"])


@when("the failure domain of a keyed target is drained and {seconds:g} s have passed")
def drain_domain(context: Any, seconds: float) -> None:
    keyed = next(node for node in context.mesh.nodes if node.keyed)
    context.domain = keyed.zone
    context.mesh.drain(context.domain)
    time.sleep(seconds)
    wait_until(lambda: not context.mesh.state(keyed)["rows"], "its keys to be handed over")


@then("no target there gets any of {count:d} requests and every key is served elsewhere")
def nothing_there(context: Any, count: int) -> None:
    there = _in_domain(context)
    before = [_ran(context, node) for node in there]
    for number in range(count):
        node = context.mesh.nodes[number % len(context.mesh.nodes)]
        headers = {"Request-Id": _id(context)}
        assert context.mesh.call(node, f"/{POOLED}/safe/x", headers=headers).status == 200
    for key in ALL_KEYS:
        headers = {"Request-Id": _id(context), "Shard-Key": str(key)}
        reply = context.mesh.call(context.mesh.nodes[0], f"/{KEYED}/safe/x", headers=headers)
        assert reply.status == 200, (key, reply)
    assert [_ran(context, node) for node in there] == before


@when("the drain is taken back")
def drain_over(context: Any) -> None:
    context.mesh.drain(context.domain, None)


@then("every target there holds keys again within {seconds:g} s")
def holds_again(context: Any, seconds: float) -> None:
    keyed = [node for node in _in_domain(context) if node.keyed]
    wait_until(
        lambda: all(context.mesh.state(node)["rows"] for node in keyed),
        "keys to be owned there", timeout_s=seconds,
    )  # fmt: skip


@when("a target of the pooled service turns cold and {per_s:d} requests a second come for "
      "{seconds:g} s")  # fmt: skip
def turns_cold(context: Any, per_s: int, seconds: float) -> None:
    mesh = context.mesh
    context.cold = next(node for node in mesh.nodes if node.service == POOLED)
    mesh.control_target(context.cold, "cold", json.dumps({"seconds": 30.0}))
    # Told by its next heartbeat; what it got before counts for a second more.
    time.sleep(1.5)
    context.before = _ran(context, context.cold)
    context.replies = []

    def ask(number: int) -> None:
        node = mesh.nodes[number % len(mesh.nodes)]
        headers = {"Request-Id": _id(context)}
        reply = mesh.call(node, f"/{POOLED}/safe/x?work_ms=20", headers=headers)
        context.replies.append(reply.status)

    threads = [threading.Thread(target=ask, args=(n,)) for n in range(round(per_s * seconds))]
    for thread in threads:
        thread.start()
        time.sleep(1.0 / per_s)
    for thread in threads:
        thread.join()


@then("it got at most {most:d} of them in any second")
def cold_got(context: Any, most: int) -> None:
    runs = context.mesh.state(context.cold)["ran"][context.before :]
    times = sorted(run["at"] for run in runs)
    for begin in times:
        # The limit counts when requests are sent: one may take longer on its way than the next.
        within = [at for at in times if begin <= at < begin + 0.9]
        assert len(within) <= most, (len(within), times)


@then("all of them were served")
def all_served(context: Any) -> None:
    assert set(context.replies) == {200}, context.replies
    context.mesh.control_target(context.cold, "cold", json.dumps({"seconds": 0.0}))
