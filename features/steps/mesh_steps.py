"""Steps with real processes of a users' platform."""

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
SETTLED_S = 2.0
"""Seconds without a move after which keys stay: plans that level load are 1.5 s apart."""


def _cluster(context: Any) -> MeshCluster:
    cluster: MeshCluster = context.mesh
    return cluster


def _id(context: Any) -> str:
    """Return a request id that was not used before."""
    return f"r{next(context.mesh_ids)}"


def _nodes(context: Any, service: str) -> list[MeshNode]:
    return [node for node in _cluster(context).nodes if node.service == service]


def _ask_keys(context: Any, node: MeshNode, count: int) -> list[Any]:
    replies = []
    for number in range(count):
        key = str(number * 65_536 // count)
        headers = {"Request-Id": _id(context), "Shard-Key": key, "Deadline-Ms": "2000"}
        replies.append((key, _cluster(context).call(node, f"/{KEYED}/safe/x", headers=headers)))
    return replies


@when("{count:d} keys are asked for at every daemon")
def ask_everywhere(context: Any, count: int) -> None:
    context.owners = defaultdict(set)
    for node in _cluster(context).nodes:
        for key, reply in _ask_keys(context, node, count):
            assert reply.status == 200, (node.name, key, reply)
            context.owners[key].add(reply.headers["Target"])


@then("each key was served by one target, at all daemons")
def one_owner(context: Any) -> None:
    assert all(len(targets) == 1 for targets in context.owners.values()), context.owners
    assert len({next(iter(targets)) for targets in context.owners.values()}) > 1


@then("the targets saw the asking instance's service and a deadline that shrinks")
def seen_headers(context: Any) -> None:
    for node in _nodes(context, KEYED):
        ran = [r for r in _cluster(context).state(node)["ran"] if r["id"].startswith("r")]
        assert {r["caller"] for r in ran} <= {KEYED, POOLED}
        assert all(0 < int(r["deadline"]) < 2000 for r in ran)


@then("a path of no route gets 404 and a request without an id gets 400")
def no_route(context: Any) -> None:
    node = _cluster(context).nodes[0]
    assert _cluster(context).call(node, "/none/", headers={"Request-Id": "x"}).status == 404
    assert _cluster(context).call(node, f"/{POOLED}/safe/").status == 400


@when('a "{kind}" request to the pooled service is answered "{spoil}"')
def spoilt(context: Any, kind: str, spoil: str) -> None:
    context.request_id = _id(context)
    context.reply = _cluster(context).call(
        _nodes(context, KEYED)[0],
        f"/{POOLED}/{kind}/x?bytes=40&spoil={spoil}",
        method="POST" if kind == "unsafe" else "GET",
        headers={"Request-Id": context.request_id},
    )
    context.expected = b"x" * 40


@then("the caller gets {status:d} and no part of that answer")
def gets_failure(context: Any, status: int) -> None:
    assert (context.reply.status, context.reply.body) == (status, b""), context.reply


@then("the caller gets 200 and the whole answer")
def gets_whole(context: Any) -> None:
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


@then("the answer says when to come back")
def come_back(context: Any) -> None:
    assert float(context.reply.headers["Retry-After"]) > 0.0


@when("{sent:d} bytes are sent and {back:d} bytes come back")
def long_bodies(context: Any, sent: int, back: int) -> None:
    context.reply = _cluster(context).call(
        _nodes(context, KEYED)[0],
        f"/{POOLED}/unsafe/x?bytes={back}",
        method="POST",
        headers={"Request-Id": _id(context)},
        body=b"y" * sent,
    )
    context.expected = b"x" * back
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


@when("a caller leaves after {after:g} s of a request that runs {work:g} s")
def leave(context: Any, after: float, work: float) -> None:
    node = _nodes(context, KEYED)[0]
    with socket.create_connection((node.ip, CALLERS), timeout=5) as sock:
        sock.sendall(
            f"GET /{POOLED}/safe/x?work_ms={work * 1000:.0f} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {_id(context)}\r\nDeadline-Ms: 9000\r\n\r\n".encode()
        )
        time.sleep(after)


@then("no target works on it {later:g} s later")
def cancelled(context: Any, later: float) -> None:
    def running() -> int:
        return sum(_cluster(context).state(n)["running"] for n in _nodes(context, POOLED))

    wait_until(lambda: running() == 0, "the target to stop working", later)


@when("a request that would run {work:g} s is sent")
def long_request(context: Any, work: float) -> None:
    began = time.monotonic()
    context.reply = _cluster(context).call(
        _nodes(context, KEYED)[0],
        f"/{POOLED}/safe/x?work_ms={work * 1000:.0f}",
        headers={"Request-Id": _id(context), "Deadline-Ms": "9000"},
    )
    context.took = time.monotonic() - began


@then("the caller gets 504 within {most:g} s")
def timed_out(context: Any, most: float) -> None:
    assert context.reply.status == 504, context.reply
    assert context.took < most, context.took


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


@when("an older and a broken configuration are written")
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
def drain(context: Any) -> None:
    context.leaving = _nodes(context, KEYED)[1]
    _cluster(context).control_target(context.leaving, "drain")


@then("it holds no key after {seconds:g} s and every key is served")
def holds_none(context: Any, seconds: float) -> None:
    state = _cluster(context).state
    wait_until(lambda: not state(context.leaving)["rows"], "its keys to go", seconds)
    _cluster(context).wait_served()


@then("it gets no request from then on")
def no_request(context: Any) -> None:
    before = len(_cluster(context).state(context.leaving)["ran"])
    for node in _cluster(context).nodes:
        _ask_keys(context, node, 8)
    assert len(_cluster(context).state(context.leaving)["ran"]) == before


@when("a daemon beside the keyed service is killed and started again")
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


@then("its target holds the keys that it held")
def same_keys(context: Any) -> None:
    wait_until(lambda: _held(context, context.restarted) == context.rows, "its keys")


def _traffic(context: Any, until: float) -> None:
    """Ask for keys and pooled answers until a time; note what failed."""
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


@when('the store is "{mode}" for {seconds:g} s')
def store_away(context: Any, mode: str, seconds: float) -> None:
    context.failures = []
    _cluster(context).store_call("/standin/faults", json.dumps({"mode": mode}))
    _traffic(context, time.monotonic() + seconds)
    _cluster(context).store_call("/standin/faults", "{}")


@when("the store forgets its history and takes the members' entries away")
def forget_and_revoke(context: Any) -> None:
    context.failures = []
    _cluster(context).store_call("/standin/forget")
    _cluster(context).store_call("/standin/revoke", json.dumps({"prefix": "pearward/members/"}))
    _traffic(context, time.monotonic() + 2.0)


@then("no request failed meanwhile")
def none_failed(context: Any) -> None:
    assert not context.failures, context.failures[:5]


@then("every daemon has its entry again within {seconds:g} s")
def entries_back(context: Any, seconds: float) -> None:
    expected = {f"pearward/members/{node.name}" for node in _cluster(context).nodes}

    def there() -> bool:
        items = json.loads(_cluster(context).store_call("/standin/items"))
        return expected <= set(items)

    wait_until(there, "the members' entries", seconds)


@when("a daemon is told to stop while it serves requests of 1 s")
def planned_stop(context: Any) -> None:
    node = context.stopped = _nodes(context, POOLED)[0]
    context.statuses = []

    def one() -> None:
        reply = _cluster(context).call(
            node, f"/{POOLED}/unsafe/x?work_ms=1000", headers={"Request-Id": f"s-{time.time_ns()}"}
        )
        context.statuses.append(reply.status)

    threads = [threading.Thread(target=one) for _ in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    node.daemon.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    context.ready_after = _cluster(context).ready(node)
    for thread in threads:
        thread.join()


@then("all of them are answered and it ends by itself with 0")
def all_answered(context: Any) -> None:
    assert context.statuses == [200] * 6, context.statuses
    assert context.stopped.daemon.wait(timeout=8) == 0
    _cluster(context).start_daemon(context.stopped)
    _cluster(context).wait_served()


@then("it is not ready from then on")
def not_ready(context: Any) -> None:
    assert not context.ready_after


@given('a route "{prefix}" whose requests may take {seconds:d} s')
def patient_route(context: Any, prefix: str, seconds: int) -> None:
    route = {
        "host": HOST, "pathPrefix": prefix, "kind": "safe", "timeoutMs": seconds * 1000,
        "targetLatencyMs": 15_000, "priority": 1, "maxAttempts": 2, "service": POOLED,
    }  # fmt: skip
    _cluster(context).configure(patient=route)
    serves_route(context, prefix, 5.0)


@when('a daemon is told to stop under a request of {work:d} s on "{prefix}"')
def stop_under_long_request(context: Any, work: int, prefix: str) -> None:
    node = context.stopped = _nodes(context, POOLED)[0]
    headers = {"Request-Id": _id(context), "Deadline-Ms": "20000"}

    def ask() -> None:
        context.reply = _cluster(context).call(
            node, f"{prefix}x?work_ms={work * 1000}", headers=headers
        )

    caller = threading.Thread(target=ask)
    caller.start()
    time.sleep(0.3)
    node.daemon.send_signal(signal.SIGTERM)
    caller.join()


@when('a request on "{prefix}" that may take {allowed:d} s comes {seconds:g} s '
      "after a daemon was told to stop")  # fmt: skip
def request_after_stop(context: Any, prefix: str, allowed: int, seconds: float) -> None:
    node = context.stopped = _nodes(context, POOLED)[0]
    context.asked = _id(context)
    node.daemon.send_signal(signal.SIGTERM)
    time.sleep(seconds)
    headers = {"Request-Id": context.asked, "Deadline-Ms": str(allowed * 1000)}
    context.reply = _cluster(context).call(node, f"{prefix}x", headers=headers)


@then("it is answered, and its target was given between {least:g} s and {most:g} s")
def time_given(context: Any, least: float, most: float) -> None:
    assert context.reply.status == 200, context.reply
    (run,) = [
        run
        for node in _cluster(context).nodes
        for run in _cluster(context).state(node)["ran"]
        if run["id"] == context.asked
    ]
    assert least * 1000 <= int(run["deadline"]) <= most * 1000, run


@then("that daemon ends with exit code 0 and is started again")
def ends_and_returns(context: Any) -> None:
    assert context.stopped.daemon.wait(timeout=8) == 0
    _cluster(context).start_daemon(context.stopped)
    _cluster(context).wait_served()


@when("the store is away and a daemon with keys is told to stop under requests of 1 s")
def stop_under_load(context: Any) -> None:
    _stop_with_keys(context, askers=4, work_ms=1000, pause_s=0.0)


@when("the store is away and a daemon with keys is told to stop "
      "under short requests with pauses")  # fmt: skip
def stop_under_pauses(context: Any) -> None:
    _stop_with_keys(context, askers=1, work_ms=400, pause_s=0.15)


def _wait_settled(context: Any, node: MeshNode) -> None:
    """Wait until a target has had the same keys for two seconds.

    After the scenario before, its daemon has only just come back: it is given keys, and
    part of them goes on to others with the next plans.
    """
    since = time.monotonic()
    before = _held(context, node)

    def settled() -> bool:
        nonlocal since, before
        rows = _held(context, node)
        if rows != before or not rows:
            since, before = time.monotonic(), rows
        return time.monotonic() - since >= SETTLED_S

    wait_until(settled, "the target's keys to stay", 20)


def _key_served_by(context: Any, node: MeshNode, asking: MeshNode) -> str:
    """Return a key that the target of *node* answers for, as *asking* routes it.

    A key whose move had been written as the store went away was still held, and each request
    for it ran at its new owner, as it should (4 of 4 plays with a move under way).
    """
    cluster = _cluster(context)
    target = cluster.state(node)["id"]
    for first, *_ in _held(context, node):
        headers = {"Request-Id": _id(context), "Shard-Key": str(first)}
        reply = cluster.call(asking, f"/{KEYED}/safe/x", headers=headers)
        if reply.headers.get("Target") == target:
            return str(first)
    raise AssertionError(f"no key is answered for by {target}")


def _stop_with_keys(context: Any, askers: int, work_ms: int, pause_s: float) -> None:
    cluster = _cluster(context)
    node = context.stopped = _nodes(context, KEYED)[0]
    asking = _nodes(context, POOLED)[0]
    _wait_settled(context, node)
    context.answers_of = {}
    cluster.store_call("/standin/faults", json.dumps({"mode": "silent"}))
    # From here on no key map can be written: a key stays where it is looked up, unless a move
    # is under way. What its target holds does not tell that; who answers for it does.
    time.sleep(0.3)
    key = _key_served_by(context, node, asking)
    ending = threading.Event()

    def ask(number: int) -> None:
        while not ending.is_set():
            request_id = f"k{number}-{time.time_ns()}"
            headers = {"Request-Id": request_id, "Shard-Key": key}
            path = f"/{KEYED}/unsafe/x?work_ms={work_ms}"
            context.answers_of[request_id] = cluster.call(asking, path, headers=headers).status
            time.sleep(pause_s)

    threads = [threading.Thread(target=ask, args=(number,)) for number in range(askers)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    node.daemon.send_signal(signal.SIGTERM)
    node.daemon.wait(timeout=8)
    ending.set()
    for thread in threads:
        thread.join()
    cluster.store_call("/standin/faults", "{}")


@then("every request that its target ran was answered whole")
def ran_and_answered(context: Any) -> None:
    ran = {run["id"] for run in _cluster(context).state(context.stopped)["ran"]}
    cut = {i: status for i, status in context.answers_of.items() if i in ran and status != 200}
    # Started again in any case, so that the scenarios after this one have it.
    _cluster(context).start_daemon(context.stopped)
    _cluster(context).wait_served()
    assert ran & set(context.answers_of), "nothing ran"
    assert not cut, cut


@then("the logs lead from its id to the target and the reason")
def logs_lead(context: Any) -> None:
    def lines() -> list[dict[str, Any]]:
        own = _cluster(context).log_lines()
        return [line for line in own if line.get("id") == context.request_id]

    def complete() -> bool:
        kinds = {line["message_type"] for line in lines()}
        return {"pearward:sent_to_target", "pearward:given_up"} <= kinds

    wait_until(complete, "the lines of the request", 3)
    by_kind = {line["message_type"]: line for line in lines()}
    assert by_kind["pearward:attempt_failed"]["target"]
    assert by_kind["pearward:given_up"]["reason"] == "server-failed"


@then("the metrics of its daemon count it by route and outcome")
def metrics_count(context: Any) -> None:
    text = _cluster(context).metrics(_nodes(context, KEYED)[0])
    assert f'route="{POOLED}-safe"' in text
    assert 'outcome="given_up"' in text


# -- callers that leave -----------------------------------------------------------------------


@when("a daemon is frozen, {count:d} callers send requests to it and leave, and it goes on")
def leave_frozen(context: Any, count: int) -> None:
    node = _nodes(context, POOLED)[0]
    context.asked = [_id(context) for _ in range(count)]
    _keep_connections(context, node)
    node.daemon.send_signal(signal.SIGSTOP)
    try:
        for request_id in context.asked:
            with socket.create_connection((node.ip, CALLERS)) as caller:
                caller.sendall(
                    f"GET /{POOLED}/safe/left HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Request-Id: {request_id}\r\n\r\n".encode()
                )
    finally:
        node.daemon.send_signal(signal.SIGCONT)


def _keep_connections(context: Any, node: MeshNode) -> None:
    """Have a daemon keep connections to targets, on which a request goes out at once."""
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


def _left(context: Any) -> set[str]:
    lines = _cluster(context).log_lines()
    return {line["id"] for line in lines if line["message_type"] == "pearward:caller_left"}


@then("no target has run any of them")
def none_ran(context: Any) -> None:
    wait_until(lambda: set(context.asked) <= _left(context), "the callers' end to be seen", 10)
    ran = {r["id"] for n in _cluster(context).nodes for r in _cluster(context).state(n)["ran"]}
    assert not ran.intersection(context.asked), ran.intersection(context.asked)


@then("its logs say that each caller had left")
def left_logged(context: Any) -> None:
    assert set(context.asked) <= _left(context), set(context.asked) - _left(context)
