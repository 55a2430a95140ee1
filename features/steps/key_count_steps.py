"""Steps for the counts of requests by key, in virtual time."""

import sys
from contextlib import ExitStack
from pathlib import Path
from typing import Any
from unittest import mock

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination.grants import GrantTiming
from pearward_protocol.heads import RequestHead
from tests.fuzz.mesh_world import KEYS, begin_world


@given("three instances whose targets hold all keys")
def three_instances(context: Any) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    world = context.world = begin_world(stack, 3, GrantTiming())
    world.run(8.0)
    assert world.served() == len(KEYS)


@when("each gets {own:d} requests for a key that the map assigns to it and {others:d} for a key of "
      "another")  # fmt: skip
def get_requests(context: Any, own: int, others: int) -> None:
    world = context.world
    positions = [world.key_of(node) for node in world.nodes]
    context.counted = []
    for node in world.nodes:
        local_target = node.daemon.core.local_target
        local_target.take_report()
        for position, count in (
            (positions[node.number], own), (positions[node.number - 1], others),
        ):  # fmt: skip
            head = mock.Mock(spec=RequestHead, key=b"k", position=position, deadline_ms=1000)
            for _ in range(count):
                local_target.take(head, True, b"", mock.Mock())
        counts = local_target.take_report().counts
        context.counted.append(sum(row.count for row in counts))


@then("each report counts {count:d} requests")
def counted(context: Any, count: int) -> None:
    assert context.counted == [count] * 3, context.counted
