"""Steps that inject faults, and that check what the servers ran."""

import time
from typing import Any

from behave import given, then, when
from environment import run_pearward

from pearward_devtools.cluster import Node, wait_until
from pearward_devtools.promises import (
    at_most_once,
    no_request_cut,
    not_run_is_true,
    one_owner,
    own_responses,
)
from pearward_devtools.traffic import Flow, Traffic

KEYS = 60


@given('callers send requests to "{service}"')
def traffic(context: Any, service: str) -> None:
    keyed = service in ("premview", "roster-app")
    keys = KEYS if keyed else 0
    flows = [
        Flow(service, 3, keys=keys),
        Flow(service, 2, keys=keys, method="POST", body_bytes=200, request_class="submit"),
    ]
    context.notes["runs_before"] = context.cluster.placements(service)
    running = Traffic(flows, lambda: _reachable(context))
    running.start()
    context.notes["traffic"] = running
    names = ("acct-1", "acct-2") if service == "premview" else ()
    context.notes["owners"] = {key: context.cluster.owner_of(service, key) for key in names}
    # Also stopped when a step fails, so that no caller outlives its scenario.
    context.add_cleanup(running.stop)
    wait_until(lambda: len(running.sent) > 30, "traffic")


def _reachable(context: Any) -> list[str]:
    """Return the caller addresses of the daemons that callers would find reachable."""
    unreachable = context.notes.get("unreachable", [])
    return [
        n.caller for n in context.cluster.nodes if n.daemon is not None and n not in unreachable
    ]


def _owner(context: Any, key: str) -> Node:
    """Return the node that owned a key when the scenario began to send requests."""
    if key in context.notes.get("owners", {}):
        node = context.notes["owners"][key]
        context.notes.setdefault("faulty_owners", {})[key] = node
        return node  # type: ignore[no-any-return]
    service = "premview" if key.startswith("acct") else "roster-app"
    node = wait_until(lambda: context.cluster.owner_of(service, key), f"an owner of {key}")
    context.notes.setdefault("faulty_owners", {})[key] = node
    return node  # type: ignore[no-any-return]


def _mark_unreachable(context: Any, node: Node) -> None:
    context.notes.setdefault("unreachable", []).append(node)


# -- faults ----------------------------------------------------------------------


@when('the daemon of the owner of "{key}" is killed')
def kill_owner(context: Any, key: str) -> None:
    node = _owner(context, key)
    _mark_unreachable(context, node)
    context.cluster.kill_daemon(node)


@when('the daemon that coordinates "{service}" is killed')
def kill_coordinator(context: Any, service: str) -> None:
    node = wait_until(lambda: _coordinator(context, service), "a coordinator")
    _mark_unreachable(context, node)
    context.cluster.kill_daemon(node)


def _coordinator(context: Any, service: str) -> Node | None:
    for node in context.cluster.of(service):
        status = context.cluster.status(node)
        if status is not None and status["coordinating"]:
            return node  # type: ignore[no-any-return]
    return None


@when('the server of the owner of "{key}" is killed')
def kill_server(context: Any, key: str) -> None:
    node = _owner(context, key)
    runs = context.cluster.runs(node.service)
    context.notes["killed_server_runs"] = [run for run in runs if run["server"] == node.server]
    context.cluster.kill_server(node)


@when('the daemon of the owner of "{key}" is frozen')
def freeze_daemon(context: Any, key: str) -> None:
    node = _owner(context, key)
    _mark_unreachable(context, node)
    context.cluster.freeze(node)


@when('the daemon and the server of the owner of "{key}" are frozen')
def freeze_both(context: Any, key: str) -> None:
    node = _owner(context, key)
    _mark_unreachable(context, node)
    context.cluster.freeze(node, server=True)


@when("the frozen processes are resumed")
def resume_frozen(context: Any) -> None:
    for node in context.cluster.nodes:
        context.cluster.resume(node)
    context.notes["unreachable"] = []


@when('the owner of "{key}" is cut off from all peers')
def cut_off_owner(context: Any, key: str) -> None:
    node = _owner(context, key)
    _mark_unreachable(context, node)
    _add_link_faults(context, node, "cut")


@when('the links of the owner of "{key}" stall without closing')
def stall_links(context: Any, key: str) -> None:
    node = _owner(context, key)
    _mark_unreachable(context, node)
    _add_link_faults(context, node, "stall")


def _add_link_faults(context: Any, node: Node, kind: str, seconds: float = 0.0) -> None:
    faults = context.notes.setdefault("faults", [])
    faults += [
        {"from": node.ip, "to": "*", "kind": kind, "seconds": seconds},
        {"from": "*", "to": node.ip, "kind": kind, "seconds": seconds},
    ]
    context.cluster.set_link_faults(faults)


@when('the links of the owner of "{key}" delay by {delay:d} ms')
def delay_links(context: Any, key: str, delay: int) -> None:
    _add_link_faults(context, _owner(context, key), "delay", delay / 1000)


@when('the links towards the owner of "{key}" corrupt data')
def corrupt_links(context: Any, key: str) -> None:
    node = _owner(context, key)
    faults = context.notes.setdefault("faults", [])
    faults.append({"from": "*", "to": node.ip, "kind": "corrupt"})
    context.cluster.set_link_faults(faults)


@when("all link faults are removed")
def remove_link_faults(context: Any) -> None:
    context.notes["faults"] = []
    context.notes["unreachable"] = []
    context.cluster.set_link_faults([])


@when("the platform is down")
def platform_down(context: Any) -> None:
    context.cluster.platform_faults(down=True)


@when("the platform is up again")
def platform_up(context: Any) -> None:
    context.cluster.platform_faults()


@when("the platform loses the next {count:d} responses to writes")
def lose_answers(context: Any, count: int) -> None:
    context.cluster.platform_faults(lose_answers=count)


@when("{seconds:d} second passes")
@when("{seconds:d} seconds pass")
def pass_time(context: Any, seconds: int) -> None:
    # The fault has to last for some time; no check depends on how long.
    time.sleep(seconds)


@when('the daemon of the owner of "{key}" is killed and started again')
def kill_and_start(context: Any, key: str) -> None:
    node = _owner(context, key)
    context.cluster.kill_daemon(node)
    context.cluster.start_daemon(node)


@when('the daemon of the owner of "{key}" is stopped as planned')
def stop_owner(context: Any, key: str) -> None:
    _stop(context, _owner(context, key))


@when('the daemon "{name}" is stopped as planned')
def stop_named(context: Any, name: str) -> None:
    _stop(context, next(n for n in context.cluster.nodes if n.name == name))


def _stop(context: Any, node: Node) -> None:
    """Stop a daemon; callers stop using it first, as a load balancer that polls readyz would."""
    _mark_unreachable(context, node)
    context.notes["stopping"] = context.cluster.terminate_daemon(node)


@when('every daemon of "{service}" is stopped as planned and started again')
def rolling_restart(context: Any, service: str) -> None:
    for node in context.cluster.of(service):
        _stop(context, node)
        assert context.notes["stopping"].wait(timeout=60) == 0
        context.cluster.start_daemon(node)
        context.cluster.wait_ready()
        context.notes["unreachable"] = []


@when('every daemon of "{service}" is killed and started again')
def kill_all(context: Any, service: str) -> None:
    for node in context.cluster.of(service):
        context.cluster.kill_daemon(node)
    for node in context.cluster.of(service):
        context.cluster.start_daemon(node)


@then('the command "{command}" fails with exit code {code:d}')
def command_fails(context: Any, command: str, code: int) -> None:
    result = run_pearward(context, *command.split())
    assert result.returncode == code and result.stderr.strip(), (result.returncode, result.stderr)


# -- checks ----------------------------------------------------------------------


def _serves(context: Any, service: str, key: str) -> str:
    """Return the server that serves a key now, or an empty string."""
    address = _reachable(context)[0]
    try:
        response = context.caller.call(
            address, service, key, headers={"Pearward-Deadline-Ms": "1500"}
        )
    except OSError:
        return ""
    if response.outcome != "served":
        return ""
    owner = response.headers.get("pearward-owner", "")
    return next((n.server for n in context.cluster.nodes if n.caller == owner), "?")


@then('"{key}" is served by another server')
def served_elsewhere(context: Any, key: str) -> None:
    former_owner = context.notes["faulty_owners"][key].server
    wait_until(
        lambda: _serves(context, "premview", key) not in ("", former_owner), f"{key} to be served"
    )


@then('"{key}" is not served')
def not_served(context: Any, key: str) -> None:
    assert _serves(context, "premview", key) == ""


@then('every key of "{service}" is served again')
def all_keys_served(context: Any, service: str) -> None:
    for number in range(KEYS):
        key = f"key-{number}"
        wait_until(lambda k=key: _serves(context, service, k), f"{key} to be served")


@then("the daemon that is cut off serves nothing")
def cut_off_serves_nothing(context: Any) -> None:
    (node,) = context.notes["unreachable"]
    wait_until(lambda: context.cluster.status(node)["serving"] == 0, "the lease to expire")
    response = context.caller.call(
        node.caller, "premview", "acct-1", headers={"Pearward-Deadline-Ms": "500"}
    )
    assert response.outcome != "served", response


@then("that daemon ends with exit code {code:d}")
def ends_with(context: Any, code: int) -> None:
    assert context.notes["stopping"].wait(timeout=60) == code


def _stop_traffic(context: Any) -> Any:
    return context.notes["traffic"].stop() if "traffic" in context.notes else []


@then('no request to "{service}" failed meanwhile')
def none_failed(context: Any, service: str) -> None:
    verdict = no_request_cut(list(context.notes["traffic"].sent), "what happened")
    assert verdict.held, str(verdict)


@then('the guarantees hold for "{service}"')
def guarantees_hold(context: Any, service: str) -> None:
    sent = _stop_traffic(context)
    runs = context.cluster.runs(service) + context.notes.get("killed_server_runs", [])
    for verdict in (
        one_owner(runs), at_most_once(sent, runs), not_run_is_true(sent, runs), own_responses(sent)
    ):  # fmt: skip
        assert verdict.held, str(verdict)


@then('no key of "{service}" has moved to another server')
def none_moved(context: Any, service: str) -> None:
    assert context.cluster.placements(service) == context.notes["runs_before"]


def _run_count(context: Any, server: str) -> int:
    service = server.rpartition("-")[0]
    return sum(run["server"] == server for run in context.cluster.runs(service))


@then('"{server}" runs no new request for {seconds:d} seconds')
def runs_nothing_new(context: Any, server: str, seconds: int) -> None:
    before = _run_count(context, server)
    time.sleep(seconds)
    assert _run_count(context, server) == before


@then('"{server}" runs requests again')
def runs_again(context: Any, server: str) -> None:
    before = _run_count(context, server)
    wait_until(lambda: _run_count(context, server) > before, f"a request to run at {server}")


def _shards_of(context: Any, server: str) -> int:
    return sum(s == server for s in context.cluster.placements(server.rpartition("-")[0]).values())


@then('"{server}" eventually owns no shards')
def owns_nothing(context: Any, server: str) -> None:
    wait_until(lambda: _shards_of(context, server) == 0, f"{server} to own no shards")


@then('"{server}" eventually owns shards')
def owns_share(context: Any, server: str) -> None:
    wait_until(lambda: _shards_of(context, server) > 0, f"{server} to own shards")


@when('the daemons of three servers of "{service}" are killed')
def kill_three(context: Any, service: str) -> None:
    nodes = context.cluster.of(service)
    context.notes["fourth"] = nodes[-1]
    for node in nodes[:-1]:
        _mark_unreachable(context, node)
        context.cluster.kill_daemon(node)


@then("no key is served before the three are released")
def none_served_before_release(context: Any) -> None:
    fourth = context.notes["fourth"]
    wait_until(lambda: context.cluster.status(fourth)["coordinating"], "a coordinator")
    # It may take the coordinator's role before the lease that all three gave it has expired.
    wait_until(lambda: not context.cluster.status(fourth)["lease_held"], "its lease to expire")
    served = [_serves(context, "premview", f"key-{n}") for n in range(4)]
    # The fourth daemon has lost two of its three witnesses: it serves no key, not even its own.
    assert not any(served), served


@when("the operator releases each of the three")
def release_three(context: Any) -> None:
    nodes = [n for n in context.cluster.of("premview") if n is not context.notes["fourth"]]
    for node in nodes:
        row = f"premview/{node.server}"
        refused = run_pearward(context, "release", row)
        assert refused.returncode == 2, refused
        done = run_pearward(context, "release", row, "--i-am-sure-it-has-ended")
        assert done.returncode == 0, done.stderr


@then('every key of "{service}" is served by the fourth')
def fourth_serves(context: Any, service: str) -> None:
    server = context.notes["fourth"].server
    for number in range(6):
        key = f"key-{number}"
        wait_until(lambda k=key: _serves(context, service, k) == server, key)
