"""Steps that send requests and check the responses."""

import http.client
import json
import socket
import threading
import time
from typing import Any

from behave import then, when

from pearward_devtools.caller import CheckedResponse
from pearward_devtools.cluster import PEER_PORT, http_json, wait_until


def _first(context: Any) -> Any:
    return context.cluster.nodes[0]


def _call(
    context: Any, address: str, service: str, key: str = "", **options: Any
) -> CheckedResponse:
    began = time.monotonic()
    response = context.caller.call(address, service, key, **options)
    context.notes["took_s"] = time.monotonic() - began
    context.responses.append(response)
    return response


@when('each daemon gets requests for {count:d} keys of "{service}"')
def request_keys(context: Any, count: int, service: str) -> None:
    for node in context.cluster.nodes:
        for number in range(count):
            _call(context, node.caller, service, f"key-{number}")


@when('each daemon gets {count:d} requests for "{service}"')
def request_pool(context: Any, count: int, service: str) -> None:
    for node in context.cluster.nodes:
        for _ in range(count):
            _call(context, node.caller, service)


@then("every response is served, complete and matches its request")
def all_served(context: Any) -> None:
    bad = [
        a
        for a in context.responses
        if not (a.outcome == "served" and a.complete and a.matches_request)
    ]
    assert context.responses and not bad, bad[:3]


@then("all runs of a key were at one server")
def one_server(context: Any) -> None:
    servers: dict[str, set[str]] = {}
    for run in context.cluster.runs("roster-app"):
        servers.setdefault(run["key"], set()).add(run["server"])
    assert servers and all(len(names) == 1 for names in servers.values()), servers


@when('"{method}" for key "{key}" of "{service}" is sent to the first daemon')
def send_first(context: Any, method: str, key: str, service: str) -> None:
    _call(context, _first(context).caller, service, key, method=method)


@when("the same request is sent to the owner that the response names")
def send_named(context: Any) -> None:
    owner = context.responses[-1].headers["pearward-owner"]
    _call(context, owner, "roster-app", "crew-1")
    context.notes["owner"] = owner


@then("the last response names the daemon that sent it")
def names_itself(context: Any) -> None:
    assert context.responses[-1].headers["pearward-owner"] == context.notes["owner"]


@when('"{method}" for key "{key}" of "{service}" is sent with "{header}" set to "{value}"')
@when('"{method}" for key "" of "{service}" is sent with "{header}" set to "{value}"')
def send_with_header(
    context: Any, method: str, service: str, header: str, value: str, key: str = ""
) -> None:
    _call(context, _first(context).caller, service, key, method=method, headers={header: value})


@then('the response is {status:d} "{outcome}" because of "{reason}"')
def response_is(context: Any, status: int, outcome: str, reason: str) -> None:
    response = context.responses[-1]
    got = (response.status, response.outcome, response.reason)
    assert got == (status, outcome, reason), (got, response.body)
    if outcome == "not-run":
        ran = [r["id"] for s in ("roster-app", "paypost") for r in context.cluster.runs(s)]
        assert response.request_id not in ran


@when("a request with {size:d} bytes of headers is sent to the first daemon")
def send_large_headers(context: Any, size: int) -> None:
    with socket.create_connection(_first(context).caller.split(":"), timeout=5) as sock:
        filler = b"".join(b"X-%d: %s\r\n" % (i, b"y" * 100) for i in range(size // 108))
        sock.sendall(
            b"GET / HTTP/1.1\r\nHost: x\r\nPearward-Service: paypost\r\n" + filler + b"\r\n"
        )
        try:
            context.notes["raw"] = sock.recv(4096)
        except ConnectionError:
            context.notes["raw"] = b""


@then("the connection gets a 400 response or is closed")
def refused_or_closed(context: Any) -> None:
    raw = context.notes["raw"]
    assert raw == b"" or raw.startswith(b"HTTP/1.1 400"), raw


@then('"{method}" for key "{key}" of "{service}" is served afterwards')
def served_afterwards(context: Any, method: str, key: str, service: str) -> None:
    assert _call(context, _first(context).caller, service, key, method=method).outcome == "served"


def _start_in_background(context: Any, work: Any) -> None:
    def run() -> None:
        try:
            context.notes["background"] = work()
        except OSError as error:
            context.notes["background"] = error

    context.notes["thread"] = threading.Thread(target=run, daemon=True)
    context.notes["thread"].start()


@when('a long download from "{service}" is under way')
@when('a long download from "{service}" through "{daemon}" is under way')
def long_download(context: Any, service: str, daemon: str = "") -> None:
    node = next((n for n in context.cluster.nodes if n.name == daemon), _first(context))
    size = 6_000_000
    _start_in_background(
        context,
        lambda: context.caller.call(
            node.caller, service, path=f"/d?bytes={size}&rate=2000000", expect_bytes=size
        ),
    )
    wait_until(lambda: _running_requests(context, service), "the download to run")


def _running_requests(context: Any, service: str) -> int:
    reports = [context.cluster.status(n) for n in context.cluster.of(service)]
    return sum(r["running"] for r in reports if r is not None)


@when("every daemon stands still for {seconds:d} seconds")
def all_stand_still(context: Any, seconds: int) -> None:
    for node in context.cluster.nodes:
        context.cluster.freeze(node)
    time.sleep(seconds)
    for node in context.cluster.nodes:
        context.cluster.resume(node)


@then("the download is complete and matches its request")
def download_complete(context: Any) -> None:
    context.notes["thread"].join(60)
    response = context.notes["background"]
    assert isinstance(response, CheckedResponse), response
    assert response.status == 200 and response.complete and response.matches_request, response


def _send_to_peers(context: Any, data: bytes) -> None:
    for node in context.cluster.nodes:
        with socket.create_connection((node.ip, PEER_PORT), timeout=5) as sock:
            sock.sendall(data)
            sock.settimeout(5)
            # The daemon sends its greeting first; then it must close, as it cannot parse the data.
            while True:
                try:
                    if not sock.recv(4096):
                        break
                except ConnectionError:
                    break


@when("garbage is sent to the peer port of every daemon")
def send_garbage(context: Any) -> None:
    _send_to_peers(context, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 10)


@when("another version's greeting is sent to the peer port of every daemon")
def other_version(context: Any) -> None:
    from pearward_protocol.frames import FrameKind, pack_frame
    from pearward_protocol.heads import schema

    hello = schema.Hello.new_message(protocol=99, incarnation="x", address="127.0.0.1:1")
    _send_to_peers(context, pack_frame(FrameKind.HELLO, 0, hello.to_bytes()))


@when('a caller announces a body of {size:d} bytes to "{service}" and disconnects after {sent:d}')
def cut_body(context: Any, size: int, service: str, sent: int) -> None:
    request_id = context.caller.new_id()
    context.notes.setdefault("cut_ids", []).append(request_id)
    address = _first(context).caller.split(":")
    with socket.create_connection(address, timeout=5) as sock:
        sock.sendall(
            f"POST /work HTTP/1.1\r\nHost: x\r\nPearward-Service: {service}\r\n"
            f"Pearward-Request-Id: {request_id}\r\nContent-Length: {size}\r\n\r\n".encode()
        )
        sock.sendall(b"z" * sent)


@then("no request of these callers has run")
def cut_never_ran(context: Any) -> None:
    wait_until(lambda: not _open_requests(context), "the incomplete requests to end")
    ran = {run["id"] for run in context.cluster.runs("paypost")}
    assert not ran & set(context.notes["cut_ids"])


def _open_requests(context: Any) -> int:
    total = 0
    for node in context.cluster.nodes:
        status = context.cluster.status(node)
        if status is not None:
            total += status["running"] + status["waiting"] + status["open_requests"]
    return total


@when('{size:d} bytes are posted to "{service}" through the first daemon')
def post_long(context: Any, size: int, service: str) -> None:
    _call(context, _first(context).caller, service, method="POST", body=b"q" * size)


@when('{size:d} bytes are fetched from "{service}" through each daemon')
def fetch_long(context: Any, size: int, service: str) -> None:
    for node in context.cluster.nodes:
        _call(context, node.caller, service, path=f"/d?bytes={size}", expect_bytes=size)


@when('a response of {size:d} bytes from "{service}" is truncated after {cut:d}')
@when('a response of {size:d} bytes from "{service}" is truncated after {cut:d}, not repeatable')
def break_off_response(context: Any, size: int, service: str, cut: int) -> None:
    try:
        _call(
            context, _first(context).caller, service, method="POST",
            path=f"/d?bytes={size}&cut={cut}", expect_bytes=size,
        )  # fmt: skip
    except ConnectionError as error:
        # The reset that ends the response may reach the caller before the response head.
        context.notes["reset"] = error


@then("the response is truncated")
def truncated(context: Any) -> None:
    if "reset" in context.notes:
        assert not context.responses
        return
    response = context.responses[-1]
    assert response.status == 200 and not response.complete, response


@when('"POST" to "{service}" that runs {work:d} ms has a deadline of {deadline:d} ms')
def short_deadline(context: Any, service: str, work: int, deadline: int) -> None:
    _call(
        context, _first(context).caller, service, method="POST", path=f"/w?work_ms={work}",
        headers={"Pearward-Deadline-Ms": str(deadline)},
    )  # fmt: skip


@then("the response arrived within {limit:d} ms")
def arrived_within(context: Any, limit: int) -> None:
    # The limit is far above the deadline and far below the running time: no measure of speed.
    assert context.notes["took_s"] * 1000 < limit


@when('"POST" with one id is sent to key "{key}" of "{service}" through each daemon')
def same_id(context: Any, key: str, service: str) -> None:
    request_id = context.caller.new_id()
    for node in context.cluster.nodes:
        _call(context, node.caller, service, key, method="POST", request_id=request_id)


@then('one response is served and the others are "{outcome}"')
def one_served(context: Any, outcome: str) -> None:
    outcomes = sorted(a.outcome for a in context.responses)
    assert outcomes == sorted(["served"] + [outcome] * (len(outcomes) - 1)), outcomes


@then("the request with that id ran once")
def ran_once(context: Any) -> None:
    request_id = context.responses[0].request_id
    runs = [r for r in context.cluster.runs("roster-app") if r["id"] == request_id]
    assert len(runs) == 1, runs


@when('"POST" to key "{key}" of "{service}" states an age of {age:d} ms')
def old_request(context: Any, key: str, service: str, age: int) -> None:
    _call(
        context, _first(context).caller, service, key, method="POST",
        headers={"Pearward-Age-Ms": str(age)},
    )  # fmt: skip


@when('a caller disconnects during a request of {work:d} ms at "{service}"')
def disconnecting_caller(context: Any, work: int, service: str) -> None:
    connection = http.client.HTTPConnection(_first(context).caller, timeout=5)
    connection.request("GET", f"/w?work_ms={work}", headers={"Pearward-Service": service})
    wait_until(lambda: _running_requests(context, service), "the request to run")
    connection.close()


@then("no request runs or waits at any daemon")
def nothing_runs(context: Any) -> None:
    wait_until(lambda: not _open_requests(context), "requests to be cancelled", 4.0)


@when('"GET" for key "{key}" of "{service}" is sent to a daemon that does not own it')
def send_elsewhere(context: Any, key: str, service: str) -> None:
    owner = context.cluster.owner_of(service, key)
    other = next(n for n in context.cluster.of(service) if n is not owner)
    context.notes["ingress_and_owner"] = (other, owner)
    _call(context, other.caller, service, key)


def _tasks(context: Any, node: Any, action_type: str) -> set[str]:
    path = context.cluster.directory / f"daemon-{node.name}.log"
    found = set()
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith("{"):
            message = json.loads(line)
            if message.get("action_type") == action_type:
                found.add(message["task_uuid"])
    return found


@then("the logs of two daemons share that request's task id")
def joined_logs(context: Any) -> None:
    ingress, owner = context.notes["ingress_and_owner"]
    wait_until(
        lambda: (
            _tasks(context, ingress, "pearward:request") & _tasks(context, owner, "pearward:owner")
        ),
        "both logs to be written",
    )


@then('the metrics of the first daemon have a histogram for tenant "{tenant}"')
def tenant_histogram(context: Any, tenant: str) -> None:
    connection = http.client.HTTPConnection(_first(context).admin, timeout=5)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    rows = [r for r in text.splitlines() if r.startswith("pearward_request_duration")]
    mine = [r for r in rows if f'tenant="{tenant}"' in r and "_bucket" in r]
    assert mine and all('class="interactive"' in r and "service=" in r for r in mine), rows[:5]
    assert http_json(_first(context).admin, "GET", "/status")["instance"]
