"""Steps for services that a daemon does not know yet."""

import time
from typing import Any

from behave import given, then, when
from twisted.internet.task import Clock

from pearward_coordination.service_lookups import LookupResult
from pearward_daemon.service_finder import ServiceFinder
from pearward_devtools.cluster import wait_until
from pearward_devtools.memory_store import MemoryStore

STORE_READ = "/v3/kv/range"
UNEXPECTED_REASONS = ("", "unknown-service")


def _restarted(context: Any) -> Any:
    return context.notes["restarted"]


@when('a daemon of "{service}" is killed and started again')
def restart(context: Any, service: str) -> None:
    node = context.cluster.of(service)[0]
    context.cluster.kill_daemon(node)
    context.cluster.start_daemon(node)
    context.notes["restarted"] = node


@when('it is asked for "{service}" from its start on, for {seconds:d} seconds')
def ask_from_start(context: Any, service: str, seconds: int) -> None:
    address = _restarted(context).caller
    until: float | None = None
    while until is None or time.monotonic() < until:
        try:
            response = context.caller.call(
                address, service, headers={"Pearward-Deadline-Ms": "2000"}
            )
        except OSError:
            # The daemon does not listen yet.
            continue
        context.responses.append(response)
        until = until or time.monotonic() + seconds


@then("each request is served, or not run with a retry delay")
def served_or_retryable(context: Any) -> None:
    for response in context.responses:
        retryable = response.status == 503 and response.outcome == "not-run"
        assert response.status == 200 or (retryable and response.headers.get("retry-after")), (
            response
        )


@then("the last request is served")
def last_served(context: Any) -> None:
    assert context.responses[-1].status == 200, context.responses[-1]


@when("its readiness is polled until it is ready")
def poll_readiness(context: Any) -> None:
    def status() -> Any:
        found = context.cluster.status(_restarted(context))
        return found if found is not None and found["ready"] == "ready" else None

    context.notes["status"] = wait_until(status, "the daemon to be ready")


@then("its status has the rows of every service")
def has_rows(context: Any) -> None:
    wanted = {f"table/{node.service}" for node in context.cluster.nodes}
    assert wanted <= set(context.notes["status"]["versions"]), context.notes["status"]


@when('the operator declares a new service "{service}"')
def declare(context: Any, service: str) -> None:
    rows = {"service": {"kind": "pooled"}, "servers": {f"{service}-0": {}}}
    context.cluster.put_table(service, rows)


def _ask_each(context: Any, service: str, **options: Any) -> None:
    for node in context.cluster.nodes:
        context.responses.append(
            context.caller.call(
                node.caller, service, headers={"Pearward-Deadline-Ms": "300"}, **options
            )
        )


@when('each daemon is asked for "{service}" at once')
def ask_each(context: Any, service: str) -> None:
    _ask_each(context, service)


@when('{size:d} bytes are posted to "{service}" through each daemon')
def post_each(context: Any, size: int, service: str) -> None:
    _ask_each(context, service, method="POST", body=b"q" * size)


@then("no response says that the service does not exist")
def none_unknown(context: Any) -> None:
    assert context.responses
    for response in context.responses:
        assert response.status != 404 and response.reason not in UNEXPECTED_REASONS, response


@then("that request is not run, with a retry delay")
def not_run_yet(context: Any) -> None:
    response = context.responses[-1]
    assert (response.status, response.outcome) == (503, "not-run"), response
    assert int(response.headers["retry-after"]) >= 1, response


@when("the first daemon is asked {count:d} times for services that do not exist")
def ask_for_unknown(context: Any, count: int) -> None:
    before = context.cluster.platform_counts()[STORE_READ]
    address = context.cluster.nodes[0].caller
    for number in range(count):
        context.responses.append(context.caller.call(address, f"made-up-{number}"))
    context.notes["reads"] = context.cluster.platform_counts()[STORE_READ] - before


@then("the store was read at most {most:d} times more")
def few_reads(context: Any, most: int) -> None:
    assert context.notes["reads"] <= most, context.notes["reads"]


@then("none of these requests was served")
def none_served(context: Any) -> None:
    for response in context.responses:
        assert response.status in (404, 503) and response.outcome == "not-run", response


class _FaultyRows:
    """Stand-in for the rows of services in a daemon, which raises an error for found rows."""

    def has_value(self, key: str) -> bool:
        return False

    def value_found(self, key: str, value: bytes) -> None:
        raise RuntimeError("simulated error in the daemon")


@given("a daemon that raises an error when it receives the rows of a looked-up service")
def faulty(context: Any) -> None:
    store = MemoryStore()
    store.put("table/premview", b"{}")
    context.finder = ServiceFinder(Clock(), store, _FaultyRows())


@when("a service is looked up twice")
def look_up_twice(context: Any) -> None:
    context.found = []
    for _ in range(2):
        context.finder.find("premview").addCallback(context.found.append)


@then("both lookups have ended, and neither says that the service does not exist")
def both_ended(context: Any) -> None:
    assert context.found == [LookupResult.UNDETERMINED, LookupResult.UNDETERMINED], context.found
