"""Steps with real processes whose targets take their keys by calls."""

import json
import time
from typing import Any

from behave import then, when

from pearward_devtools.cluster import wait_until

LATE = [[0.5], [2.5], [0.0, 2.0], [3.0]]
"""Seconds after which the grants that go unanswered are taken, once or twice."""
UNHELD = [[] for _ in range(60)]
"""Grants that go unanswered and are never taken."""


@when("every target takes its next 4 grants late and unanswered")
def late(context: Any) -> None:
    for node in context.mesh.nodes:
        if node.keyed:
            context.mesh.control_target(node, "late", json.dumps(LATE))
    time.sleep(4.0)


@then("the logs tell which grants were not answered")
def told(context: Any) -> None:
    def lines() -> list[dict[str, Any]]:
        return [
            line
            for line in context.mesh.log_lines()
            if line["message_type"] == "pearward:grant_not_taken"
        ]

    wait_until(lambda: len(lines()) >= len(LATE), "lines on grants", 3)
    for line in lines():
        assert line["reply"] == "unanswered", line
        assert line["target"] and line["fence"], line


@when("a key is asked for while its target does not hold it")
def ask_unheld(context: Any) -> None:
    node = next(node for node in context.mesh.nodes if node.keyed)
    first = context.mesh.state(node)["rows"][0][0]
    context.mesh.control_target(node, "late", json.dumps(UNHELD))
    headers = {"Request-Id": "", "Shard-Key": str(first), "Deadline-Ms": "2000"}

    def refused() -> bool:
        context.request_id = headers["Request-Id"] = f"u{next(context.mesh_ids)}"
        return bool(context.mesh.call(node, "/roster/safe/x", headers=headers).status == 503)

    context.asked_of = node
    wait_until(refused, "a refusal", 10)


@then("the logs lead from its id to the grant that is missing")
def leads_to_grant(context: Any) -> None:
    def of_request() -> list[dict[str, Any]]:
        return [line for line in context.mesh.log_lines() if line.get("id") == context.request_id]

    wait_until(lambda: any("reason" in line for line in of_request()), "its lines", 3)
    reasons = {line.get("reason") for line in of_request()}
    assert "not-ready" in reasons, of_request()
    target = next(line["target"] for line in of_request() if line.get("target"))
    grants = [
        line
        for line in context.mesh.log_lines()
        if line["message_type"] == "pearward:grant_not_taken" and line["target"] == target
    ]
    assert grants, "no line on the target's grants"
