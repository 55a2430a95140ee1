"""Steps for requests parked at a daemon until its target holds their keys, in virtual time."""

import sys
from collections import Counter
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from behave import given, then, when

from pearward_coordination.grants import GrantTiming
from pearward_daemon.mesh.settings import GrantMode
from pearward_daemon.mesh.target_request import TargetRequest
from pearward_protocol.heads import RequestClass, RequestHead
from pearward_state.keymap import KEY_SPACE, KeyMap, KeyRange

sys.path.insert(0, str(Path(__file__).parents[2]))

from tests.fuzz.mesh_targets import SERVICE
from tests.fuzz.mesh_world import begin_world

DEADLINE_MS = 8000
REPLIES_S = 0.1
"""Seconds within which every call gets its reply."""


def _in_ranges(former: KeyMap, owner: str, count: int) -> KeyMap:
    """Return the next map, in which each range has its own fence."""
    size = KEY_SPACE // count
    ranges = tuple(
        KeyRange(
            n * size, KEY_SPACE - 1 if n == count - 1 else (n + 1) * size - 1, owner,
            former.fence + 1 + n,
        )
        for n in range(count)
    )  # fmt: skip
    version, fence = former.version + 1, former.fence + count
    return replace(former, version=version, ranges=ranges, fence=fence)


def _head(number: int, position: int) -> RequestHead:
    return RequestHead(
        service=SERVICE, key=b"%d" % position, request_id=b"r%d" % number, method=b"GET",
        path=b"/", headers=b"", deadline_ms=DEADLINE_MS, request_class=RequestClass.INTERACTIVE,
        tenant="-", repeatable=True, prior_age_ms=0, version=0, task_id="t", position=position,
        body_length=0,
    )  # fmt: skip


@given(
    "a daemon whose target is to be granted {ranges:d} ranges by calls, and {count:d} "
    "requests parked for them"
)
def park_requests(context: Any, ranges: int, count: int) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    world = context.world = begin_world(stack, 1, GrantTiming(), way=GrantMode.CALL)
    world.run(8.0)
    node = world.nodes[0]
    local_target, former = node.daemon.core.local_target, node.target.id
    world.end_target(node)
    world.start_target(node)
    while local_target.grant_manager.target == former:
        world.step()
    local_target.adopt(
        _in_ranges(local_target.grant_manager.key_map, local_target.grant_manager.target, ranges)
    )
    context.checks = Counter()
    admit = TargetRequest.admit

    def counted(request: TargetRequest) -> None:
        context.checks[request] += 1
        admit(request)

    context.requests = [
        local_target.take(_head(number, number * KEY_SPACE // count), True, b"", mock.Mock())
        for number in range(count)
    ]
    for request in context.requests:
        request.begin()
    assert not any(request.done for request in context.requests)
    stack.enter_context(mock.patch.object(TargetRequest, "admit", counted))
    stack.enter_context(mock.patch.object(TargetRequest, "start", lambda request: None))


@when("the calls get their replies, one after the other")
def calls_get_replies(context: Any) -> None:
    context.world.run(REPLIES_S)


@then("each of the {count:d} requests was checked for admission once")
def checked_once(context: Any, count: int) -> None:
    assert set(context.checks) == set(context.requests), len(context.checks)
    most = max(context.checks.values())
    assert most == 1, f"{context.checks.total()} checks of {count} requests, up to {most} each"


@then("no more than {most:d} calls were ever in flight")
def few_in_flight(context: Any, most: int) -> None:
    grants = context.world.nodes[0].grants
    assert 0 < grants.max_in_flight <= most, grants.max_in_flight
