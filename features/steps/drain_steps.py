"""Steps for the drain of failure domains, in virtual time."""

import math
import sys
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parents[2]))

from pearward_coordination.drain_view import DrainView
from pearward_coordination.grants import GrantTiming
from pearward_protocol.heads import RequestHead
from pearward_state.drains import DomainDrains
from pearward_state.outcome import RequestClass
from tests.fuzz.mesh_targets import SERVICE
from tests.fuzz.mesh_world import KEYS, Node, World, begin_world

SETTLED_S = 8.0


@given('a fleet of {count:d} targets in failure domains "a", "b" and "c" that serves')
def fleet_in_domains(context: Any, count: int) -> None:
    stack = ExitStack()
    context.add_cleanup(stack.close)
    world = context.world = begin_world(stack, count, GrantTiming(), domains=("a", "b", "c"))
    context.unserved = []
    world.run(SETTLED_S)
    assert world.served() == len(KEYS), world.served()


@when('"{domain}" is drained')
def drained(context: Any, domain: str) -> None:
    context.world.drain(domain)


@when('the operator writes {entry} as the drain of "{domain}"')
@when('the operator writes {entry} as the drain of ""')
def drain_written(context: Any, entry: str, domain: str = "") -> None:
    context.logged = [_unreadable(node) for node in context.world.nodes]
    context.world.drain(domain, entry.encode())


@when('the drain of "{domain}" is ended')
def drain_ended(context: Any, domain: str) -> None:
    context.world.end_drain(domain)


@when("the planner's failure domain is drained")
def planners_domain_drained(context: Any) -> None:
    world = context.world
    planner = next(node for node in world.nodes if node.daemon.core.planner.is_active_planner)
    context.domain = world.domain_of(planner)
    world.drain(context.domain)


@when('"{domain}" is drained and the store discards its history at once')
def drained_and_history_discarded(context: Any, domain: str) -> None:
    store = context.world.store
    context.world.drain(domain)
    store.forgotten = store.revision
    store.history.clear()


@when("{seconds:g} s go by")
def drain_time_passes(context: Any, seconds: float) -> None:
    context.world.run(seconds)


@when("instance {number:d} is lost with its target")
def instance_lost(context: Any, number: int) -> None:
    context.world.lose(context.world.nodes[number])


@when("daemons {one:d} and {other:d} are cut off from the store")
def cut_from_store(context: Any, one: int, other: int) -> None:
    for number in (one, other):
        context.world.nodes[number].cut_from_store = True


@when("one watcher is cut off from the store")
def watcher_cut(context: Any) -> None:
    nodes = context.world.nodes
    next(node for node in nodes if node.daemon.core.feed.is_watcher).cut_from_store = True


@when('the targets in "{domain}" are restarted')
def targets_restarted(context: Any, domain: str) -> None:
    world = context.world
    for node in _in_domain(world, domain):
        world.end_target(node)
        world.start_target(node)


def _in_domain(world: World, domain: str) -> list[Node]:
    return [node for node in world.nodes if world.domain_of(node) == domain]


def _head(node: Node, key: bytes) -> RequestHead:
    """Return a request for the target of an instance, without a key or with any key."""
    target = node.target.id if node.target is not None else ""
    return RequestHead(
        service=SERVICE, key=key, request_id=b"1", method=b"GET", path=b"/", headers=b"",
        deadline_ms=1000, request_class=RequestClass.INTERACTIVE, tenant="", repeatable=True,
        prior_age_ms=0, version=0, task_id="", position=int(key or b"0"), body_length=0,
        target=target, rank=0, objective_ms=500, caller_service="", last_target=False,
        idle_only=False, route="",
    )  # fmt: skip


def _assert_unused(nodes: list[Node]) -> None:
    """Assert that targets hold no keys and that their daemons reject all requests for them."""
    for node in nodes:
        if node.daemon is None or node.target is None:
            continue
        held = [key for key in KEYS if node.target.holds(key)]
        assert not held, (node.number, held)
        for key in (b"", *(b"%d" % key for key in KEYS)):
            assert node.daemon.core.local_target.rejection(_head(node, key)) is not None, (
                node.number,
                key,
            )


@then('no target in "{domain}" holds a key or gets a request after {seconds:g} s')
def domain_unused(context: Any, domain: str, seconds: float) -> None:
    context.world.run(seconds)
    _assert_unused(_in_domain(context.world, domain))
    for node in context.world.nodes:
        if node.daemon is not None:
            _assert_not_chosen(context.world, node, domain)


def _assert_not_chosen(world: World, node: Node, domain: str) -> None:
    """Assert that a daemon chooses no target in a failure domain, with a key or without."""
    assert node.daemon is not None
    directory = node.daemon.core.directory
    group = directory._group(SERVICE)
    chosen = {known.member.failure_domain for known in group.near + group.far}
    assert domain not in chosen, (node.number, chosen)


@then("no target there holds a key or gets a request after {seconds:g} s")
def planners_domain_unused(context: Any, seconds: float) -> None:
    domain_unused(context, context.domain, seconds)


@then("no target anywhere gets a request after {seconds:g} s")
def all_targets_unused(context: Any, seconds: float) -> None:
    context.world.run(seconds)
    for node in context.world.nodes:
        for key in (b"", *(b"%d" % key for key in KEYS)):
            assert node.daemon.core.local_target.rejection(_head(node, key)) is not None, (
                node.number,
                key,
            )


@then("every key is served after {seconds:g} s more")
def served_after(context: Any, seconds: float) -> None:
    context.world.run(seconds)
    assert context.world.served() == len(KEYS), context.world.served()


@then("each target holds keys after {seconds:g} s")
def all_hold(context: Any, seconds: float) -> None:
    context.world.run(seconds)
    idle = [n.number for n in context.world.nodes if not any(n.target.holds(k) for k in KEYS)]
    assert not idle, idle


@then('each daemon knows that "{domain}" is drained')
def known(context: Any, domain: str) -> None:
    states = [node.daemon.core.drains.state.domains for node in context.world.nodes]
    assert all(state == {domain} for state in states), states


@then("each daemon knows that nothing is drained")
def none_known(context: Any) -> None:
    states = [node.daemon.core.drains.state.domains for node in context.world.nodes]
    assert not any(states), states


@then("each daemon knows that the service has no failure domain left")
def no_domain_left(context: Any) -> None:
    nodes = context.world.nodes
    assert all(node.daemon.core.directory.is_wholly_drained(SERVICE) for node in nodes)


def _unreadable(node: Node) -> int:
    assert node.daemon is not None
    return node.daemon.log.counts["drain_unreadable"]


@then("each daemon has logged one entry that cannot be read")
def logged_once(context: Any) -> None:
    now = [_unreadable(node) for node in context.world.nodes]
    new = [after - before for after, before in zip(now, context.logged, strict=True)]
    assert all(count == 1 for count in new), new


# -- state of one daemon -------------------------------------------------------------------------


@given("a daemon that knows of no drain")
def drain_view(context: Any) -> None:
    context.view = DrainView()


@when('it reads at revision {revision:d} that "{domain}" is drained')
def view_reads(context: Any, revision: int, domain: str) -> None:
    context.view.read([domain], revision, 5.0)


@when("another daemon reports at revision {revision:d} that nothing is drained")
def view_told(context: Any, revision: int) -> None:
    context.view.merge(DomainDrains(revision), 30.0)


@when('it is notified at revision {revision:d} and {now:g} s that "{domain}" is drained')
def view_hears(context: Any, revision: int, now: float, domain: str) -> None:
    context.view.changed(domain, revision, now, drained=True)


@when('it is notified at revision {revision:d} and {now:g} s that "{domain}" is not drained')
def view_hears_end(context: Any, revision: int, now: float, domain: str) -> None:
    context.view.changed(domain, revision, now, drained=False)


@then('"{domain}" has been drained since before the first update')
def since_before_first_update(context: Any, domain: str) -> None:
    assert context.view.since[domain] == -math.inf, context.view.since


@then('"{domain}" is drained since {now:g} s')
def since(context: Any, domain: str, now: float) -> None:
    assert context.view.since[domain] == now, context.view.since


@then("nothing is drained")
def nothing_drained(context: Any) -> None:
    assert not context.view.state.domains and not context.view.since, context.view.state
