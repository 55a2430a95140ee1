"""Steps for requests that crash the targets that run them, with real processes."""

import json
import threading
import time
from typing import Any

from behave import given, then, when

from pearward_devtools.cluster import wait_until
from pearward_devtools.mesh.cluster import HOST, MeshCluster, MeshNode

SERVICES = {"pooled": "sheets", "keyed": "roster"}
KEY = "20000"
CRASHES = 3
PROPAGATION_S = 3.0
"""Seconds after the third crash from which on the request must reach no further target."""
WORK_MS = 100
WAIT_S = 20.0


def _cluster(context: Any) -> MeshCluster:
    cluster: MeshCluster = context.mesh
    return cluster


def _nodes(context: Any, service: str) -> list[MeshNode]:
    return [node for node in _cluster(context).nodes if node.service == service]


def _path(service: str, kind: str) -> str:
    return f"/{service}/{kind}/bad-{service}-{kind}?spoil=crash&work_ms={WORK_MS}"


def _send(context: Any, node: MeshNode, path: str, kind: str) -> Any:
    """Send a request under a new id; its content depends only on the path and the key."""
    unsafe = kind == "unsafe"
    return _cluster(context).call(
        node,
        path,
        method="POST" if unsafe else "GET",
        headers={
            "Request-Id": f"c{next(context.mesh_ids)}",
            "Shard-Key": KEY,
            "Deadline-Ms": "2000",
        },
        body=b"one sheet" if unsafe else b"",
    )


def _lines(context: Any, event: str) -> list[dict[str, Any]]:
    lines = _cluster(context).log_lines()
    return [line for line in lines if line["message_type"] == f"pearward:{event}"]


def _runs(context: Any) -> list[dict[str, Any]]:
    """Return the runs that all targets, running or ended, have logged, in the order of time."""
    runs = []
    for log in _cluster(context).logs.glob("*-target.log"):
        for line in log.read_text(encoding="utf-8").splitlines():
            if line.startswith("{"):
                runs.append(json.loads(line))
    return sorted(runs, key=lambda run: float(run.get("at", 0.0)))


def _arrivals(context: Any, path: str) -> list[dict[str, Any]]:
    """Return the runs of *path*."""
    return [run for run in _runs(context) if run.get("path") == path]


def _targets_of(context: Any, prefix: str) -> set[str]:
    """Return the targets that have logged a run of a path that begins with *prefix*."""
    return {run["target"] for run in _runs(context) if run.get("path", "").startswith(prefix)}


def _ended(context: Any, service: str) -> list[MeshNode]:
    nodes = _nodes(context, service)
    return [n for n in nodes if n.target is not None and n.target.poll() is not None]


def _restart_targets(context: Any, service: str) -> int:
    """Restart the ended targets of a service, wait until it is served, and return how many."""
    ended = _ended(context, service)
    for node in ended:
        _cluster(context).start_target(node)
    wait_until(lambda: all(_listens(context, n) for n in ended), "targets to listen", WAIT_S)
    wait_until(lambda: _serves(context, service), f"{service} to be served", WAIT_S)
    return len(ended)


def _listens(context: Any, node: MeshNode) -> bool:
    try:
        return bool(_cluster(context).state(node))
    except OSError:
        return False


def _serves(context: Any, service: str) -> bool:
    return all(
        _send(context, node, f"/{service}/safe/good", "safe").status == 200
        for node in _cluster(context).nodes
    )


@when('an "{kind}" request crashes its target of the pooled service while another one runs there')
def crash_beside_another(context: Any, kind: str) -> None:
    service = SERVICES["pooled"]
    nodes = _nodes(context, service)
    threads: list[threading.Thread] = []

    def one_runs_at_each() -> bool:
        """Send one more request, to each daemon in turn: a free target may get the next one."""
        path = f"/{service}/{kind}/other-{len(threads)}?work_ms=1500"
        sent_at = nodes[len(threads) % len(nodes)]
        threads.append(threading.Thread(target=_send, args=(context, sent_at, path, kind)))
        threads[-1].start()
        time.sleep(0.05)
        return len(_targets_of(context, f"/{service}/{kind}/other-")) == len(nodes)

    wait_until(one_runs_at_each, "another request to run at each target", 1.0)
    known = len(_lines(context, "target_crashed"))
    context.path = f"/{service}/{kind}/sight?spoil=crash&work_ms={WORK_MS}"
    _send(context, nodes[0], context.path, kind)
    for thread in threads:
        thread.join()
    wait_until(
        lambda: len(_lines(context, "target_crashed")) > known, "the crash to be logged", WAIT_S
    )
    context.crash = _lines(context, "target_crashed")[-1]
    _restart_targets(context, service)


@then("the daemon of that target reports both as running when it ended")
def reports_both(context: Any) -> None:
    (crashing,) = _arrivals(context, context.path)
    assert crashing["target"] == context.crash["target"], (crashing, context.crash)
    running = [
        run["id"]
        for run in _runs(context)
        if run.get("target") == crashing["target"] and "other-" in run.get("path", "")
    ]
    assert running, "no other request ran at the target that ended"
    assert set(context.crash["requests"]) == {crashing["id"], *running}, (context.crash, running)
    assert len(set(context.crash["contents"])) == len(running) + 1, context.crash


@given('a route "{prefix}" to the pooled service')
def add_route(context: Any, prefix: str) -> None:
    context.prefix = prefix
    _route_to(context, SERVICES["pooled"])


def _route_to(context: Any, service: str) -> None:
    """Configure the route to lead to a service, and wait until it does so at all daemons."""
    cluster = _cluster(context)
    cluster.configure(
        moving={
            "host": HOST, "pathPrefix": context.prefix, "kind": "safe", "timeoutMs": 3000,
            "targetLatencyMs": 1500, "priority": 1, "maxAttempts": 2, "service": service,
        }
    )  # fmt: skip

    def leads_there() -> bool:
        context.probes = [
            _send(context, node, f"{context.prefix}good", "safe").status for node in cluster.nodes
        ]
        ran = {run["target"] for run in _arrivals(context, f"{context.prefix}good")[-3:]}
        living = {cluster.state(node)["id"] for node in _nodes(context, service)}
        return set(context.probes) == {200} and ran <= living

    wait_until(leads_there, f"the route to lead to {service}", WAIT_S)


@when("a request on it has crashed three targets and its route is moved to the keyed service")
def crash_and_move(context: Any) -> None:
    context.kind, context.service = "safe", SERVICES["pooled"]
    context.path = f"{context.prefix}bad?spoil=crash&work_ms={WORK_MS}"
    _crash_three(context)
    context.service = SERVICES["keyed"]
    _route_to(context, context.service)


@when(
    'a "{kind}" request to the {service_kind} service has crashed three targets and 3 s have passed'
)
def crash_three(context: Any, kind: str, service_kind: str) -> None:
    context.service = SERVICES[service_kind]
    context.kind, context.path = kind, _path(context.service, kind)
    _crash_three(context)


def _crash_three(context: Any) -> None:
    """Send the request until three targets have crashed, then wait."""
    service, kind = context.service, context.kind
    crashes = 0
    while crashes < CRASHES:
        node = _cluster(context).nodes[crashes]
        known = len(_lines(context, "target_crashed"))
        _send(context, node, context.path, kind)
        # A repeatable request is also sent to a second target.
        wait_until(lambda: _ended(context, service), "a target to end", WAIT_S)
        time.sleep(2 * WORK_MS / 1000)
        told = known + len(_ended(context, service))
        wait_until(
            lambda told=told: len(_lines(context, "target_crashed")) >= told,  # type: ignore[misc]
            "the crashes to be logged", WAIT_S,
        )  # fmt: skip
        crashes += _restart_targets(context, service)
    time.sleep(PROPAGATION_S)
    context.arrived = len(_arrivals(context, context.path))
    assert context.arrived == crashes, (context.arrived, crashes)


@when("it is sent twice more to every daemon")
def send_again(context: Any) -> None:
    context.replies = [
        _send(context, node, context.path, context.kind)
        for _ in range(2)
        for node in _cluster(context).nodes
    ]


@then("no target has received it since")
def none_since(context: Any) -> None:
    since = len(_arrivals(context, context.path)) - context.arrived
    # Restarted before the check, so that the next scenario has running targets even if it fails.
    time.sleep(2 * WORK_MS / 1000)
    _restart_targets(context, context.service)
    assert since == 0, f"{since} arrivals after the crashes of {context.arrived} targets"


@then("each of its callers was refused and told when to retry")
def refused(context: Any) -> None:
    for reply in context.replies:
        assert reply.status == 503, reply
        assert float(reply.headers["Retry-After"]) > 1.0, reply


@then("every daemon serves other requests of the {service_kind} service")
def others_served(context: Any, service_kind: str) -> None:
    service = SERVICES[service_kind]
    assert _serves(context, service)
    keys = range(0, 65_536, 4096)
    for node in _cluster(context).nodes:
        for key in keys:
            headers = {"Request-Id": f"c{next(context.mesh_ids)}", "Shard-Key": str(key)}
            reply = _cluster(context).call(node, f"/{service}/safe/good", headers=headers)
            assert reply.status == 200, (node.name, key, reply)
