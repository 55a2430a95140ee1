"""Steps for targets that take their keys by calls, with real processes."""

import json
import time
from typing import Any

from behave import then, when

from pearward_devtools.cluster import wait_until

LATE_S = [[0.5], [2.5], [0.0, 2.0], [3.0]]
"""Seconds after which each grant without a reply is taken, once or twice."""
NEVER_TAKEN = [[] for _ in range(60)]
"""Grants without a reply that are never taken."""


@when("every target takes its next 4 grants late and without a reply")
def take_late(context: Any) -> None:
    for node in context.mesh.nodes:
        if node.keyed:
            context.mesh.control_target(node, "late", json.dumps(LATE_S))
    time.sleep(4.0)


@then("the logs say which grants got no reply")
def missing_replies_logged(context: Any) -> None:
    def lines() -> list[dict[str, Any]]:
        return [
            line
            for line in context.mesh.log_lines()
            if line["message_type"] == "pearward:grant_not_taken"
        ]

    wait_until(lambda: len(lines()) >= len(LATE_S), "log lines for the grants", 3)
    for line in lines():
        assert line["reply"] == "unanswered", line
        assert line["target"] and line["fence"], line


@when("a key is requested while its target does not hold it")
def request_unheld(context: Any) -> None:
    node = next(node for node in context.mesh.nodes if node.keyed)
    first = context.mesh.state(node)["rows"][0][0]
    context.mesh.control_target(node, "late", json.dumps(NEVER_TAKEN))
    headers = {"Request-Id": "", "Shard-Key": str(first), "Deadline-Ms": "2000"}

    def refused() -> bool:
        context.request_id = headers["Request-Id"] = f"u{next(context.mesh_ids)}"
        return bool(context.mesh.call(node, "/roster/safe/x", headers=headers).status == 503)

    context.requested_node = node
    wait_until(refused, "the request to be refused", 10)


@then("the logs give the missing grant under its request id")
def logs_give_grant(context: Any) -> None:
    def of_request() -> list[dict[str, Any]]:
        return [line for line in context.mesh.log_lines() if line.get("id") == context.request_id]

    wait_until(
        lambda: any("reason" in line for line in of_request()), "the log lines of the request", 3
    )
    reasons = {line.get("reason") for line in of_request()}
    assert "not-ready" in reasons, of_request()
    target = next(line["target"] for line in of_request() if line.get("target"))
    grants = [
        line
        for line in context.mesh.log_lines()
        if line["message_type"] == "pearward:grant_not_taken" and line["target"] == target
    ]
    assert grants, "no log line for a grant to the target"
