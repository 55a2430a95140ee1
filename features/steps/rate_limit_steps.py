"""Steps for targets that advertise a rate limit or their end in responses, with real processes."""

import http.client
import itertools
import json
import signal
import threading
import time
from dataclasses import dataclass
from typing import Any

from behave import given, then, when

from pearward_devtools.cluster import wait_until
from pearward_devtools.mesh.cluster import CALLERS, HOST, MeshCluster, MeshNode
from pearward_devtools.mesh.soak_checks import (
    LIMIT_CONTACT_S,
    LIMIT_OVERAGE,
    LIMIT_WINDOW_S,
    LimitedTarget,
    NodeFault,
    ResponseRecord,
    Run,
    over_limit,
)

KEYED, POOLED = "roster", "sheets"
KEY = "20000"
WORK_MS = 20
LIMIT_HEADER, LEAVING_HEADER = "Server-Limit", "Server-Leaving"
DRAIN_S = 2.0
LOAD_S = LIMIT_CONTACT_S + LIMIT_WINDOW_S + 1.5
"""Seconds of load after a limit was advertised."""
FREEZE_S = 1.5
DISTURBANCE_INTERVAL_S = 1.2
CALLERS_PER_DAEMON = 4
RESPONSE_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class _Sent:
    """One request of a caller, and what its response said of the target."""

    node: str
    service: str
    sent_at: float
    ended_at: float
    status: int
    target: str
    limited: bool
    leaving: bool


class _Load:
    """Callers that send requests at a steady rate to all daemons, until they are stopped."""

    def __init__(self, cluster: MeshCluster, per_s: float) -> None:
        self._cluster = cluster
        self._numbers = itertools.count(1)
        self._ending = threading.Event()
        self._threads: list[threading.Thread] = []
        self._interval_s = len(cluster.nodes) * CALLERS_PER_DAEMON / per_s
        self.sent: dict[str, _Sent] = {}
        """Requests by id."""

    def start(self) -> None:
        """Start the callers, spread over the interval between two requests of one caller."""
        for service in (KEYED, POOLED):
            for node in self._cluster.nodes * CALLERS_PER_DAEMON:
                thread = threading.Thread(target=self._run, args=(node, service), daemon=True)
                self._threads.append(thread)
                thread.start()
                time.sleep(self._interval_s / len(self._cluster.nodes) / CALLERS_PER_DAEMON / 2)

    def stop(self) -> None:
        """Stop the callers after their current requests."""
        self._ending.set()
        for thread in self._threads:
            thread.join()

    def _run(self, node: MeshNode, service: str) -> None:
        connection = http.client.HTTPConnection(f"{node.ip}:{CALLERS}", timeout=RESPONSE_TIMEOUT_S)
        due = time.monotonic()
        while not self._ending.is_set():
            self._call(connection, node, service)
            due = max(due + self._interval_s, time.monotonic())
            time.sleep(max(0.0, due - time.monotonic()))
        connection.close()

    def _call(self, connection: http.client.HTTPConnection, node: MeshNode, service: str) -> None:
        request_id = f"limit-{id(self):x}-{next(self._numbers)}"
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "1500"}
        if service == KEYED:
            headers["Shard-Key"] = KEY
        sent_at = time.monotonic()
        status, target, limited, leaving = 0, "", False, False
        try:
            connection.request("GET", f"/{service}/safe/x?work_ms={WORK_MS}", None, headers)
            response = connection.getresponse()
            response.read()
            status = response.status
            target = response.headers.get("Target", "")
            limited = LIMIT_HEADER in response.headers
            leaving = LEAVING_HEADER in response.headers
        except (OSError, http.client.HTTPException):
            # The daemon was killed or is frozen.
            connection.close()
            time.sleep(self._interval_s)
        ended_at = time.monotonic()
        self.sent[request_id] = _Sent(
            node.name, service, sent_at, ended_at, status, target, limited, leaving
        )


@dataclass(frozen=True, slots=True)
class _Limited:
    """A target that advertised a limit."""

    node: MeshNode
    target: str
    per_s: float
    advertised_at: float


def _cluster(context: Any) -> MeshCluster:
    cluster: MeshCluster = context.mesh
    return cluster


def _end_load(context: Any) -> None:
    context.load.stop()
    for node in _cluster(context).nodes:
        _cluster(context).control_target(node, "headers")


@given("callers of every daemon that send {per_s:d} requests a second to each service")
def start_load(context: Any, per_s: int) -> None:
    _cluster(context).wait_served()
    wait_until(_cluster(context).all_pooled_served, "the pooled service")
    context.load = _Load(_cluster(context), per_s)
    context.load.start()
    context.add_cleanup(_end_load, context)
    time.sleep(1.0)


def _runs(context: Any, node: MeshNode) -> list[dict[str, Any]]:
    """Return the requests of the load that the target of an instance has run."""
    ran = _cluster(context).state(node)["ran"]
    return [run for run in ran if run["id"] in context.load.sent]


def _owner(context: Any) -> MeshNode:
    """Return the instance whose target owns the key of the load."""
    cluster = _cluster(context)

    def owning_target() -> str:
        headers = {"Request-Id": f"owner-{time.monotonic()}", "Shard-Key": KEY}
        reply = cluster.call(cluster.nodes[0], f"/{KEYED}/safe/x", headers=headers)
        return reply.headers.get("Target", "")

    target = wait_until(owning_target, "the owner of the key")
    return next(node for node in cluster.nodes if cluster.state(node)["id"] == target)


def _busiest(context: Any, service: str) -> MeshNode:
    """Return the instance whose target ran most of the load, so that many daemons use it."""
    nodes = [n for n in _cluster(context).nodes if n.service == service]
    return max(nodes, key=lambda node: len(_runs(context, node)))


def _advertise_limit(context: Any, node: MeshNode, per_s: float) -> _Limited:
    _cluster(context).control_target(node, "headers", json.dumps({LIMIT_HEADER: str(per_s)}))
    return _Limited(node, _cluster(context).state(node)["id"], per_s, time.monotonic())


@when(
    "a keyed target advertises a limit of {keyed:g} a second"
    " and a pooled one of {pooled:g} a second"
)
def advertise_limits(context: Any, keyed: float, pooled: float) -> None:
    pooled_node = _busiest(context, POOLED)
    context.limited = [
        _advertise_limit(context, _owner(context), keyed),
        _advertise_limit(context, pooled_node, pooled),
    ]
    context.excused = []


@when("the daemons beside them are killed or frozen in turn")
def disturb_daemons(context: Any) -> None:
    """Kill the daemons beside the limited targets and freeze them, each twice."""
    keyed, pooled = (limited.node for limited in context.limited)
    for killed, frozen in ((keyed, pooled), (pooled, keyed)) * 2:
        began = time.monotonic()
        assert frozen.daemon is not None
        frozen.daemon.send_signal(signal.SIGSTOP)
        _cluster(context).kill(killed)
        time.sleep(DISTURBANCE_INTERVAL_S / 2)
        _cluster(context).start_daemon(killed)
        time.sleep(FREEZE_S - DISTURBANCE_INTERVAL_S / 2)
        frozen.daemon.send_signal(signal.SIGCONT)
        context.excused += [(node.name, began) for node in (killed, frozen)]
        time.sleep(DISTURBANCE_INTERVAL_S)


def _responses(context: Any) -> list[ResponseRecord]:
    """Return the responses to the load, with the targets that advertised a limit in them."""
    return [
        ResponseRecord(
            request_id, sent.node, True, sent.status, bool(sent.status), True, sent.sent_at,
            sent.ended_at, sent.target if sent.limited else "",
        )
        for request_id, sent in context.load.sent.items()
    ]  # fmt: skip


@then("neither gets more than its limit allows")
def limits_kept(context: Any) -> None:
    time.sleep(max(0.0, max(c.advertised_at for c in context.limited) + LOAD_S - time.monotonic()))
    context.load.stop()
    responses = _responses(context)
    faults = [NodeFault(name, at) for name, at in context.excused]
    for limited in context.limited:
        target = limited.target
        assert any(r.limited_target == target for r in responses), f"{target}'s limit is unknown"
        runs = [
            Run(run["id"], target, limited.node.service, run["path"], run["key"], 0, run["at"])
            for run in _runs(context, limited.node)
        ]
        limit = LimitedTarget(target, limited.per_s, limited.advertised_at, time.monotonic())
        violations = over_limit(responses, runs, [limit], faults)
        assert not violations, violations


@when("they advertise no limit any more")
def end_limits(context: Any) -> None:
    time.sleep(1.5)
    for limited in context.limited:
        _cluster(context).control_target(limited.node, "headers")
    context.ended_at = time.monotonic()


@then("callers of both services are served more than the former limits within {seconds:g} s")
def served_more(context: Any, seconds: float) -> None:
    """Check the callers, as the key may have another owner since the limit was advertised."""
    context.since = context.ended_at + seconds
    time.sleep(max(0.0, context.since + 1.0 - time.monotonic()))
    context.load.stop()
    for service, limited in zip((KEYED, POOLED), context.limited, strict=True):
        served = [
            sent
            for sent in context.load.sent.values()
            if sent.service == service
            and sent.status == http.client.OK
            and context.since <= sent.ended_at < context.since + 1.0
        ]
        assert len(served) > limited.per_s * LIMIT_OVERAGE, (service, len(served))


@then("the pooled target itself gets more than its former limit")
def pooled_gets_more(context: Any) -> None:
    limited = context.limited[1]
    times = [run["at"] for run in _runs(context, limited.node)]
    got = sum(1 for at in times if context.since <= at < context.since + 1.0)
    assert got > limited.per_s * LIMIT_OVERAGE, got


@when("a pooled target states that it leaves and the daemon beside it is killed")
def leave_by_response(context: Any) -> None:
    node = context.leaving = _busiest(context, POOLED)
    body = json.dumps({LEAVING_HEADER: "1"})
    _cluster(context).control_target(node, "headers", body)
    time.sleep(DRAIN_S - 0.5)
    context.excused = [(node.name, time.monotonic())]
    _cluster(context).kill(node)
    _cluster(context).start_daemon(node)
    time.sleep(DRAIN_S + 1.5)


@then("it gets no request that was sent later than the drain time after a response that said so")
def none_after_drain(context: Any) -> None:
    context.load.stop()
    told: dict[str, float] = {}
    target = _cluster(context).state(context.leaving)["id"]
    for sent in context.load.sent.values():
        if sent.leaving and sent.target == target:
            told[sent.node] = min(sent.ended_at, told.get(sent.node, sent.ended_at))
    excused = {name for name, _ in context.excused}
    assert set(told) - excused, "no daemon forwarded a response that said so"
    late = []
    for run in _runs(context, context.leaving):
        sent = context.load.sent[run["id"]]
        since = told.get(sent.node)
        if since is not None and sent.node not in excused and sent.sent_at > since + DRAIN_S:
            late.append((sent.node, round(sent.sent_at - since, 3)))
    assert not late, (len(late), late[:5])
