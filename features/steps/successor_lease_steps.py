"""Steps for the lease of a target that follows another one; the oracle checks every tick."""

import sys
from contextlib import ExitStack
from pathlib import Path
from typing import Any
from unittest import mock

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination.grants import GrantTiming
from pearward_coordination.messages import ControlMessage, PeerId, RenewReply
from pearward_daemon.mesh.settings import GrantMode
from pearward_transport.errors import ServerUnreachable
from tests.fuzz import mesh_world
from tests.fuzz.mesh_targets import SERVICE
from tests.fuzz.mesh_world import TICK_S, Node, World, begin_world

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


@when("renewals take {delay_s:g} s to arrive, and target {number:d} is replaced at once "
      "{seconds:g} s after the start")  # fmt: skip
def replaced_at_once(context: Any, delay_s: float, number: int, seconds: float) -> None:
    _delay_renewals(context, delay_s)
    world = context.world
    world.run(seconds)
    node = context.node = world.nodes[number]
    world.end_target(node)
    world.start_target(node)
    node.target._next_heartbeat_at = world.now
    # Its messages stop once the planner knows it, so that no witness hears of the next target.
    until = world.now + FIRST_KEYS_S
    planner = next(n for n in world.nodes if n.daemon.core.planner.is_active_planner)
    assert planner is not node
    while node.target.id not in planner.daemon.core.planner._services[SERVICE].reports:
        assert world.now < until, "no report"
        world.run(TICK_S)
    world.cut_links |= {(number, other.number) for other in world.nodes if other is not node}


def _delay_renewals(context: Any, delay_s: float) -> None:
    """Deliver replies to renewals *delay_s* later than other messages."""
    send = World._send

    def delayed(self: World, node: Node, sender: PeerId, address: str, message: Any) -> None:
        if not isinstance(message, RenewReply):
            send(self, node, sender, address, message)
            return
        receiver = next(
            (n for n in self.nodes if str(mesh_world._peer_address(n.number)) == address), None
        )
        if receiver is None or receiver.cut_from_peers or node.cut_from_peers:
            return
        daemon = receiver.daemon

        def arrive(reply: ControlMessage = message) -> None:
            daemon.core.control_received(sender, reply)

        self.deliver(daemon, self.now + delay_s, arrive)

    patch = mock.patch.object(World, "_send", delayed)
    patch.start()
    context.add_cleanup(patch.stop)


@when("daemon {number:d} is isolated as soon as its target holds keys, and its failure domain is "
      "drained")  # fmt: skip
def isolated(context: Any, number: int) -> None:
    world, node = context.world, context.node
    until = world.now + FIRST_KEYS_S
    while not node.target.rows:
        assert world.now < until, "no keys granted"
        world.run(TICK_S)
    _isolate_and_drain(world, node)


@when("daemon {number:d} is isolated once its target holds keys or 4 s have passed, and its "
      "failure domain is drained")  # fmt: skip
def isolated_in_time(context: Any, number: int) -> None:
    world, node = context.world, context.node
    until = world.now + FIRST_KEYS_S
    while not node.target.rows and world.now < until:
        world.run(TICK_S)
    _isolate_and_drain(world, node)


def _isolate_and_drain(world: World, node: Node) -> None:
    node.cut_from_peers = True
    world.drain(world.domain_of(node))


@then("no key has two holders in the next {seconds:g} s")
def one_holder(context: Any, seconds: float) -> None:
    context.world.run(seconds)
