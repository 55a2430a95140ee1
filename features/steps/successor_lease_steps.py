"""Steps for the lease of a target that follows another one; the oracle checks every tick."""

import sys
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination.grants import GrantTiming
from pearward_daemon.mesh.settings import GrantMode
from pearward_transport.errors import ServerUnreachable
from tests.fuzz.mesh_world import TICK_S, begin_world

FIRST_KEYS_S = 4.0
"""Maximum seconds until the next target holds keys."""
DOMAINS = ("a", "b", "c")


@given("a fleet of {count:d} targets in 3 failure domains, with targets that take their keys by "
       "{way}")  # fmt: skip
def fleet(context: Any, count: int, way: str) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    mode = GrantMode.CALL if way == "call" else GrantMode.HEARTBEAT
    context.world = begin_world(stack, count, GrantTiming(), seed=2, way=mode, domains=DOMAINS)


@when("target {number:d} is killed and replaced {seconds:g} s after the start")
def replaced(context: Any, number: int, seconds: float) -> None:
    world = context.world
    world.run(seconds)
    node = context.node = world.nodes[number]
    world.end_target(node)
    world.run(2 * TICK_S)
    node.daemon.core.local_target.unreachable(ServerUnreachable("refused", refused=True))
    world.run(5 * TICK_S)
    world.start_target(node)


@when("daemon {number:d} is isolated as soon as its target holds keys, and its failure domain is "
      "drained")  # fmt: skip
def isolated(context: Any, number: int) -> None:
    world, node = context.world, context.node
    until = world.now + FIRST_KEYS_S
    while not node.target.rows:
        assert world.now < until, "no keys granted"
        world.run(TICK_S)
    node.cut_from_peers = True
    world.drain(world.domain_of(node))


@then("no key has two holders in the next {seconds:g} s")
def one_holder(context: Any, seconds: float) -> None:
    context.world.run(seconds)
