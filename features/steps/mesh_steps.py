"""Steps for daemons and targets on a users' platform, with real processes."""

import json
import signal
import socket
import threading
import time
from collections import defaultdict
from typing import Any

import psutil
from behave import given, then, when

from pearward_devtools.cluster import wait_until
from pearward_devtools.mesh.cluster import CALLERS, HOST, MeshCluster, MeshNode

KEYED, POOLED = "roster", "sheets"
STABLE_S = 2.0
"""Seconds without a move after which keys count as stable: load balancing plans are 1.5 s apart."""


def _cluster(context: Any) -> MeshCluster:
    cluster: MeshCluster = context.mesh
    return cluster


def _id(context: Any) -> str:
    """Return an unused request id."""
    return f"r{next(context.mesh_ids)}"


def _nodes(context: Any, service: str) -> list[MeshNode]:
    return [node for node in _cluster(context).nodes if node.service == service]


def _request_keys(context: Any, node: MeshNode, count: int) -> list[Any]:
    replies = []
    for number in range(count):
        key = str(number * 65_536 // count)
        headers = {"Request-Id": _id(context), "Shard-Key": key, "Deadline-Ms": "2000"}
        replies.append((key, _cluster(context).call(node, f"/{KEYED}/safe/x", headers=headers)))
    return replies


@when("{count:d} keys are requested at every daemon")
def request_everywhere(context: Any, count: int) -> None:
    context.owners = defaultdict(set)
    for node in _cluster(context).nodes:
        for key, reply in _request_keys(context, node, count):
            assert reply.status == 200, (node.name, key, reply)
            context.owners[key].add(reply.headers["Target"])


@then("each key was served by the same target at all daemons")
def one_owner(context: Any) -> None:
    assert all(len(targets) == 1 for targets in context.owners.values()), context.owners
    assert len({next(iter(targets)) for targets in context.owners.values()}) > 1


@then("the targets received the requesting instance's service and a reduced deadline")
def received_headers(context: Any) -> None:
    for node in _nodes(context, KEYED):
        ran = [r for r in _cluster(context).state(node)["ran"] if r["id"].startswith("r")]
        assert {r["caller"] for r in ran} <= {KEYED, POOLED}
        assert all(0 < int(r["deadline"]) < 2000 for r in ran)


@then("a path without a route gets 404 and a request without an id gets 400")
def no_route(context: Any) -> None:
    node = _cluster(context).nodes[0]
    assert _cluster(context).call(node, "/none/", headers={"Request-Id": "x"}).status == 404
    assert _cluster(context).call(node, f"/{POOLED}/safe/").status == 400


@when('a "{kind}" request to the pooled service gets a response of the form "{form}"')
def response_of_form(context: Any, kind: str, form: str) -> None:
    context.request_id = _id(context)
    context.reply = _cluster(context).call(
        _nodes(context, KEYED)[0],
        f"/{POOLED}/{kind}/x?bytes=40&spoil={form}",
        method="POST" if kind == "unsafe" else "GET",
        headers={"Request-Id": context.request_id},
    )
    context.expected = b"x" * 40


@when("an unsafe keyed request is refused once, and the refusal is sent again {late_ms:d} ms later")
def refused_twice(context: Any, late_ms: int) -> None:
    context.request_id = _id(context)
    context.reply = _cluster(context).call(
        _nodes(context, KEYED)[0],
        f"/{KEYED}/unsafe/x?work_ms=300&bytes=40&spoil=refuse-twice&again_ms={late_ms}",
        method="POST",
        headers={"Request-Id": context.request_id, "Shard-Key": "30000"},
    )
    context.expected = b"x" * 40


@then("the caller gets {status:d} and no part of that response")
def gets_failure(context: Any, status: int) -> None:
    assert (context.reply.status, context.reply.body) == (status, b""), context.reply


@then("the caller gets 200 and the complete response")
def gets_complete_response(context: Any) -> None:
    assert context.reply.status == 200, context.reply
    assert context.reply.body == context.expected


@then("exactly one target has run it")
def ran_once(context: Any) -> None:
    runs = [
        run
        for node in _cluster(context).nodes
        for run in _cluster(context).state(node)["ran"]
        if run["id"] == context.request_id
    ]
    assert len(runs) == 1, runs


@then("the response says when to retry")
def says_when_to_retry(context: Any) -> None:
    assert float(context.reply.headers["Retry-After"]) > 0.0


@when("a request of {sent:d} bytes gets a response of {returned:d} bytes")
def long_bodies(context: Any, sent: int, returned: int) -> None:
    context.reply = _cluster(context).call(
        _nodes(context, KEYED)[0],
        f"/{POOLED}/unsafe/x?bytes={returned}",
        method="POST",
        headers={"Request-Id": _id(context)},
        body=b"y" * sent,
    )
    context.expected = b"x" * returned
    runs = [r for n in _nodes(context, POOLED) for r in _cluster(context).state(n)["ran"]]
    assert str(sent) in {run["body"] for run in runs}


def _memory_mb(node: MeshNode) -> float:
    return float(psutil.Process(node.daemon.pid).memory_info().rss / 1e6)


@when("a caller asks for {size:d} bytes and reads nothing for {seconds:g} s")
def slow_reader(context: Any, size: int, seconds: float) -> None:
    cluster = _cluster(context)
    before = {node.name: _memory_mb(node) for node in cluster.nodes}
    with socket.create_connection((_nodes(context, KEYED)[0].ip, CALLERS), timeout=10) as sock:
        sock.sendall(
            f"GET /{POOLED}/safe/x?bytes={size} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {_id(context)}\r\nConnection: close\r\n\r\n".encode()
        )
        time.sleep(seconds)
        context.growth = {n.name: _memory_mb(n) - before[n.name] for n in cluster.nodes}
        received = b""
        while b"\r\n\r\n" not in received:
            received += sock.recv(65_536)
        context.body_bytes = len(received.partition(b"\r\n\r\n")[2])
        while data := sock.recv(1 << 20):
            context.body_bytes += len(data)
    context.body_expected = size


@then("no daemon's memory grew by more than {most:g} MB")
def memory_small(context: Any, most: float) -> None:
    assert all(grown <= most for grown in context.growth.values()), context.growth


@then("the caller then gets every byte")
def every_byte(context: Any) -> None:
    assert context.body_bytes == context.body_expected, context.body_bytes


@when("a caller disconnects {after:g} s after sending a request that runs {work:g} s")
def disconnect(context: Any, after: float, work: float) -> None:
    node = _nodes(context, KEYED)[0]
    with socket.create_connection((node.ip, CALLERS), timeout=5) as sock:
        sock.sendall(
            f"GET /{POOLED}/safe/x?work_ms={work * 1000:.0f} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {_id(context)}\r\nDeadline-Ms: 9000\r\n\r\n".encode()
        )
        time.sleep(after)


@then("no target is running it {later:g} s later")
def cancelled(context: Any, later: float) -> None:
    def running() -> int:
        return sum(_cluster(context).state(n)["running"] for n in _nodes(context, POOLED))

    wait_until(lambda: running() == 0, "the target to have no running request", later)


@when("a request that would run {work:g} s is sent")
def long_request(context: Any, work: float) -> None:
    began = time.monotonic()
    context.reply = _cluster(context).call(
        _nodes(context, KEYED)[0],
        f"/{POOLED}/safe/x?work_ms={work * 1000:.0f}",
        headers={"Request-Id": _id(context), "Deadline-Ms": "9000"},
    )
    context.elapsed_s = time.monotonic() - began


@then("the caller gets 504 within {most:g} s")
def timed_out(context: Any, most: float) -> None:
    assert context.reply.status == 504, context.reply
    assert context.elapsed_s < most, context.elapsed_s


@when('a route "{prefix}" is added')
def add_route(context: Any, prefix: str) -> None:
    context.mesh_route = {
        "host": HOST, "pathPrefix": prefix, "kind": "safe", "timeoutMs": 3000,
        "targetLatencyMs": 1500, "priority": 1, "maxAttempts": 2, "service": POOLED,
    }  # fmt: skip
    _cluster(context).configure(new=context.mesh_route)


@then('every daemon serves "{prefix}" within {most:g} s')
def serves_route(context: Any, prefix: str, most: float) -> None:
    def served() -> bool:
        return all(
            _cluster(context).call(n, prefix, headers={"Request-Id": _id(context)}).status == 200
            for n in _cluster(context).nodes
        )

    wait_until(served, f"{prefix} to be served", most)


@when("an older and a malformed configuration are written")
def bad_configurations(context: Any) -> None:
    older = {"version": "r1", "routes": {}, "services": {}}
    _cluster(context).write_configuration(json.dumps(older))
    _cluster(context).write_configuration('{"version": "r99", "routes": {"x": {}}')


@then('every daemon still serves "{prefix}"')
def still_serves(context: Any, prefix: str) -> None:
    time.sleep(0.5)
    serves_route(context, prefix, 0.5)
    _cluster(context).configure(new=context.mesh_route)


@when("a target of the keyed service drains")
def drain_target(context: Any) -> None:
    context.draining = _nodes(context, KEYED)[1]
    _cluster(context).control_target(context.draining, "drain")


@then("it holds no key after {seconds:g} s and every key is served")
def holds_none(context: Any, seconds: float) -> None:
    state = _cluster(context).state
    wait_until(lambda: not state(context.draining)["rows"], "its keys to be handed over", seconds)
    _cluster(context).wait_served()


@then("it gets no request from then on")
def gets_no_request(context: Any) -> None:
    before = len(_cluster(context).state(context.draining)["ran"])
    for node in _cluster(context).nodes:
        _request_keys(context, node, 8)
    assert len(_cluster(context).state(context.draining)["ran"]) == before


@when("a daemon of the keyed service is killed and restarted")
def restart(context: Any) -> None:
    context.restarted = _nodes(context, KEYED)[0]
    context.rows = _held(context, context.restarted)
    _cluster(context).kill(context.restarted)
    _cluster(context).start_daemon(context.restarted)


def _held(context: Any, node: MeshNode) -> list[list[int]]:
    return sorted(row[:3] for row in _cluster(context).state(node)["rows"])


@then("every key is served again")
def served_again(context: Any) -> None:
    _cluster(context).wait_served()


@then("its target holds the same keys as before")
def same_keys(context: Any) -> None:
    wait_until(
        lambda: _held(context, context.restarted) == context.rows, "the same keys to be held"
    )


def _traffic(context: Any, until: float) -> None:
    """Send keyed and pooled requests until *until*, and record those that failed."""
    while time.monotonic() < until:
        for node in _cluster(context).nodes:
            for path, key in ((f"/{KEYED}/safe/x", "30000"), (f"/{POOLED}/unsafe/x", "")):
                headers = {"Request-Id": _id(context)}
                if key:
                    headers["Shard-Key"] = key
                reply = _cluster(context).call(node, path, headers=headers)
                if reply.status != 200:
                    context.failures.append((node.name, path, reply.status))
        time.sleep(0.05)


@when('the store has the fault "{mode}" for {seconds:g} s')
def store_has_fault(context: Any, mode: str, seconds: float) -> None:
    context.failures = []
    _cluster(context).store_call("/standin/faults", json.dumps({"mode": mode}))
    _traffic(context, time.monotonic() + seconds)
    _cluster(context).store_call("/standin/faults", "{}")


@when("the store discards its history and removes the members' entries")
def discard_and_remove(context: Any) -> None:
    context.failures = []
    _cluster(context).store_call("/standin/forget")
    _cluster(context).store_call("/standin/revoke", json.dumps({"prefix": "pearward/members/"}))
    _traffic(context, time.monotonic() + 2.0)


@then("no request failed meanwhile")
def none_failed(context: Any) -> None:
    assert not context.failures, context.failures[:5]


@then("every daemon has its entry again within {seconds:g} s")
def entries_present_again(context: Any, seconds: float) -> None:
    expected = {f"pearward/members/{node.name}" for node in _cluster(context).nodes}

    def all_present() -> bool:
        items = json.loads(_cluster(context).store_call("/standin/items"))
        return expected <= set(items)

    wait_until(all_present, "the members' entries", seconds)


@when("a daemon is told to stop while it serves requests that run 1 s")
def stop_while_serving(context: Any) -> None:
    node = context.stopped = _nodes(context, POOLED)[0]
    context.statuses = []

    def send() -> None:
        reply = _cluster(context).call(
            node, f"/{POOLED}/unsafe/x?work_ms=1000", headers={"Request-Id": f"s-{time.time_ns()}"}
        )
        context.statuses.append(reply.status)

    threads = [threading.Thread(target=send) for _ in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    node.daemon.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    context.ready_after = _cluster(context).ready(node)
    for thread in threads:
        thread.join()


@then("all of them are served and the daemon exits by itself with code 0")
def all_served(context: Any) -> None:
    assert context.statuses == [200] * 6, context.statuses
    assert context.stopped.daemon.wait(timeout=8) == 0
    _cluster(context).start_daemon(context.stopped)
    _cluster(context).wait_served()


@then("it reports that it is not ready after it was told to stop")
def not_ready(context: Any) -> None:
    assert not context.ready_after


@given('a route "{prefix}" with a time-out of {seconds:d} s')
def route_with_time_out(context: Any, prefix: str, seconds: int) -> None:
    route = {
        "host": HOST, "pathPrefix": prefix, "kind": "safe", "timeoutMs": seconds * 1000,
        "targetLatencyMs": 15_000, "priority": 1, "maxAttempts": 2, "service": POOLED,
    }  # fmt: skip
    _cluster(context).configure(patient=route)
    serves_route(context, prefix, 5.0)


@when('a daemon is told to stop during a request that runs {work:d} s on "{prefix}"')
def stop_under_long_request(context: Any, work: int, prefix: str) -> None:
    node = context.stopped = _nodes(context, POOLED)[0]
    headers = {"Request-Id": _id(context), "Deadline-Ms": "20000"}

    def send() -> None:
        context.reply = _cluster(context).call(
            node, f"{prefix}x?work_ms={work * 1000}", headers=headers
        )

    caller = threading.Thread(target=send)
    caller.start()
    time.sleep(0.3)
    node.daemon.send_signal(signal.SIGTERM)
    caller.join()


@when(
    'a request on "{prefix}" with a deadline of {allowed:d} s arrives {seconds:g} s after a '
    "daemon was told to stop"
)
def request_after_stop(context: Any, prefix: str, allowed: int, seconds: float) -> None:
    node = context.stopped = _nodes(context, POOLED)[0]
    context.request_id_after_stop = _id(context)
    node.daemon.send_signal(signal.SIGTERM)
    time.sleep(seconds)
    headers = {"Request-Id": context.request_id_after_stop, "Deadline-Ms": str(allowed * 1000)}
    context.reply = _cluster(context).call(node, f"{prefix}x", headers=headers)


@then("it is served, and its target received a deadline between {least:g} s and {most:g} s")
def received_deadline(context: Any, least: float, most: float) -> None:
    assert context.reply.status == 200, context.reply
    (run,) = [
        run
        for node in _cluster(context).nodes
        for run in _cluster(context).state(node)["ran"]
        if run["id"] == context.request_id_after_stop
    ]
    assert least * 1000 <= int(run["deadline"]) <= most * 1000, run


@then("that daemon exits with code 0 and is restarted")
def exits_and_restarts(context: Any) -> None:
    assert context.stopped.daemon.wait(timeout=8) == 0
    _cluster(context).start_daemon(context.stopped)
    _cluster(context).wait_served()


@when(
    "the store is unavailable and a daemon with keys is told to stop during requests that run 1 s"
)
def stop_under_load(context: Any) -> None:
    _stop_with_keys(context, callers=4, work_ms=1000, pause_s=0.0)


@when(
    "the store is unavailable and a daemon with keys is told to stop during short requests "
    "with pauses"
)
def stop_under_pauses(context: Any) -> None:
    _stop_with_keys(context, callers=1, work_ms=400, pause_s=0.15)


def _wait_for_stable_keys(context: Any, node: MeshNode) -> None:
    """Wait until a target has held the same keys for two seconds.

    The previous scenario has just restarted its daemon: the target is granted keys, and the
    next plans move part of them to other targets.
    """
    since = time.monotonic()
    before = _held(context, node)

    def unchanged() -> bool:
        nonlocal since, before
        rows = _held(context, node)
        if rows != before or not rows:
            since, before = time.monotonic(), rows
        return time.monotonic() - since >= STABLE_S

    wait_until(unchanged, "the target's keys to be stable", 20)


def _key_served_by(context: Any, node: MeshNode, sender: MeshNode) -> str:
    """Return a key that *sender* routes to the target of *node*.

    The keys that the target holds don't tell that: a key whose move was written just before the
    store became unavailable is still held, while requests for it rightly run at its new owner.
    """
    cluster = _cluster(context)
    target = cluster.state(node)["id"]
    for first, *_ in _held(context, node):
        headers = {"Request-Id": _id(context), "Shard-Key": str(first)}
        reply = cluster.call(sender, f"/{KEYED}/safe/x", headers=headers)
        if reply.headers.get("Target") == target:
            return str(first)
    raise AssertionError(f"no key is served by {target}")


def _stop_with_keys(context: Any, callers: int, work_ms: int, pause_s: float) -> None:
    cluster = _cluster(context)
    node = context.stopped = _nodes(context, KEYED)[0]
    sender = _nodes(context, POOLED)[0]
    _wait_for_stable_keys(context, node)
    context.status_by_id = {}
    cluster.store_call("/standin/faults", json.dumps({"mode": "silent"}))
    # From here on no key map can be written, so that a key stays at its owner unless a move is
    # in progress. The target that serves the key shows that; the keys that it holds do not.
    time.sleep(0.3)
    key = _key_served_by(context, node, sender)
    ending = threading.Event()

    def send_requests(number: int) -> None:
        while not ending.is_set():
            request_id = f"k{number}-{time.time_ns()}"
            headers = {"Request-Id": request_id, "Shard-Key": key}
            path = f"/{KEYED}/unsafe/x?work_ms={work_ms}"
            context.status_by_id[request_id] = cluster.call(sender, path, headers=headers).status
            time.sleep(pause_s)

    threads = [threading.Thread(target=send_requests, args=(number,)) for number in range(callers)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    node.daemon.send_signal(signal.SIGTERM)
    node.daemon.wait(timeout=8)
    ending.set()
    for thread in threads:
        thread.join()
    cluster.store_call("/standin/faults", "{}")


@then("every request that its target ran got its complete response")
def all_complete(context: Any) -> None:
    ran = {run["id"] for run in _cluster(context).state(context.stopped)["ran"]}
    failed = {i: status for i, status in context.status_by_id.items() if i in ran and status != 200}
    # Restarted before the checks, so that later scenarios have this daemon even if one fails.
    _cluster(context).start_daemon(context.stopped)
    _cluster(context).wait_served()
    assert ran & set(context.status_by_id), "the target ran none of the requests"
    assert not failed, failed


@then("the logs give the target and the reason under its request id")
def logs_give_reason(context: Any) -> None:
    def lines() -> list[dict[str, Any]]:
        all_lines = _cluster(context).log_lines()
        return [line for line in all_lines if line.get("id") == context.request_id]

    def complete() -> bool:
        kinds = {line["message_type"] for line in lines()}
        return {"pearward:sent_to_target", "pearward:given_up"} <= kinds

    wait_until(complete, "the log lines of the request", 3)
    by_kind = {line["message_type"]: line for line in lines()}
    assert by_kind["pearward:attempt_failed"]["target"]
    assert by_kind["pearward:given_up"]["reason"] == "server-failed"


@then("the metrics of its daemon count it by route and outcome")
def metrics_count(context: Any) -> None:
    text = _cluster(context).metrics(_nodes(context, KEYED)[0])
    assert f'route="{POOLED}-safe"' in text
    assert 'outcome="given_up"' in text


@then("they count the bytes of request heads to daemons in a known failure domain")
def metrics_count_bytes(context: Any) -> None:
    text = _cluster(context).metrics(_nodes(context, KEYED)[0])
    found = [
        line for line in text.splitlines()
        if line.startswith("pearward_peer_bytes_total{") and 'kind="request_head"' in line
    ]  # fmt: skip
    assert any('distance="same"' in line or 'distance="other"' in line for line in found), found
    assert not any('distance="unknown"' in line for line in found), found


# -- callers that disconnect ------------------------------------------------------------------


@when("a daemon is suspended, {count:d} callers send requests to it and disconnect, and it resumes")
def disconnect_while_suspended(context: Any, count: int) -> None:
    node = _nodes(context, POOLED)[0]
    context.request_ids = [_id(context) for _ in range(count)]
    _keep_connections(context, node)
    node.daemon.send_signal(signal.SIGSTOP)
    try:
        for request_id in context.request_ids:
            with socket.create_connection((node.ip, CALLERS)) as caller:
                caller.sendall(
                    f"GET /{POOLED}/safe/left HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Request-Id: {request_id}\r\n\r\n".encode()
                )
    finally:
        node.daemon.send_signal(signal.SIGCONT)


def _keep_connections(context: Any, node: MeshNode) -> None:
    """Have a daemon keep connections to targets, on which it can send a request at once."""
    path = f"/{POOLED}/safe/kept?work_ms=200"
    threads = [
        threading.Thread(
            target=_cluster(context).call,
            args=(node, path),
            kwargs={"headers": {"Request-Id": _id(context)}},
        )
        for _ in range(8)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _disconnected(context: Any) -> set[str]:
    lines = _cluster(context).log_lines()
    return {line["id"] for line in lines if line["message_type"] == "pearward:caller_left"}


@then("no target has run any of them")
def none_ran(context: Any) -> None:
    wait_until(
        lambda: set(context.request_ids) <= _disconnected(context),
        "the disconnections to be logged",
        10,
    )
    ran = {r["id"] for n in _cluster(context).nodes for r in _cluster(context).state(n)["ran"]}
    assert not ran.intersection(context.request_ids), ran.intersection(context.request_ids)


@then("its logs say that each caller had disconnected")
def disconnections_logged(context: Any) -> None:
    assert set(context.request_ids) <= _disconnected(context), set(
        context.request_ids
    ) - _disconnected(context)
