"""Steps for drained failure domains and cold targets, with real processes."""

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
    """Return an unused request id."""
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
def no_requests_in_domain(context: Any, count: int) -> None:
    drained = _in_domain(context)
    before = [_ran(context, node) for node in drained]
    for number in range(count):
        node = context.mesh.nodes[number % len(context.mesh.nodes)]
        headers = {"Request-Id": _id(context)}
        assert context.mesh.call(node, f"/{POOLED}/safe/x", headers=headers).status == 200
    for key in ALL_KEYS:
        headers = {"Request-Id": _id(context), "Shard-Key": str(key)}
        reply = context.mesh.call(context.mesh.nodes[0], f"/{KEYED}/safe/x", headers=headers)
        assert reply.status == 200, (key, reply)
    assert [_ran(context, node) for node in drained] == before


@when("the drain is ended")
def end_drain(context: Any) -> None:
    context.mesh.drain(context.domain, None)


@then("every target there holds keys again within {seconds:g} s")
def holds_again(context: Any, seconds: float) -> None:
    keyed = [node for node in _in_domain(context) if node.keyed]
    wait_until(
        lambda: all(context.mesh.state(node)["rows"] for node in keyed),
        "keys to be owned there", timeout_s=seconds,
    )  # fmt: skip


@when(
    "a target of the pooled service becomes cold and {per_s:d} requests a second arrive for "
    "{seconds:g} s"
)
def becomes_cold(context: Any, per_s: int, seconds: float) -> None:
    mesh = context.mesh
    context.cold = next(node for node in mesh.nodes if node.service == POOLED)
    mesh.control_target(context.cold, "cold", json.dumps({"seconds": 30.0}))
    # Its next heartbeat reports it cold; earlier requests count against the limit for a second.
    time.sleep(1.5)
    context.runs_before = _ran(context, context.cold)
    context.replies = []

    def send(number: int) -> None:
        node = mesh.nodes[number % len(mesh.nodes)]
        headers = {"Request-Id": _id(context)}
        reply = mesh.call(node, f"/{POOLED}/safe/x?work_ms=20", headers=headers)
        context.replies.append(reply.status)

    threads = [threading.Thread(target=send, args=(n,)) for n in range(round(per_s * seconds))]
    for thread in threads:
        thread.start()
        time.sleep(1.0 / per_s)
    for thread in threads:
        thread.join()


@then("it got at most {most:d} of them in any second")
def cold_rate_limited(context: Any, most: int) -> None:
    runs = context.mesh.state(context.cold)["ran"][context.runs_before :]
    times = sorted(run["at"] for run in runs)
    for begin in times:
        # The limit counts requests as they are sent, and their transit delays differ.
        within = [at for at in times if begin <= at < begin + 0.9]
        assert len(within) <= most, (len(within), times)


@then("all of them were served")
def all_served(context: Any) -> None:
    assert set(context.replies) == {200}, context.replies
    context.mesh.control_target(context.cold, "cold", json.dumps({"seconds": 0.0}))
