"""Steps that test a fleet in virtual time whose daemons report crashes to each other."""

from typing import Any

from behave import then, when

from pearward_coordination.quarantine import MAX_QUARANTINE_S
from pearward_state.crashes import CrashRecord

BAD = "bad"
"""Content of the request that crashes its targets."""


@when(
    "{count:d} targets are reported to have crashed while running a request, by different daemons"
)
def report_crashes(context: Any, count: int) -> None:
    world = context.world
    for number in range(count):
        record = CrashRecord(f"i-crashed-{number}", world.now, (BAD, f"beside-{number}"))
        world.nodes[number].daemon.core.crashes.report_local_crash(record)


@then("all daemons refuse it after {seconds:g} s")
def all_refuse(context: Any, seconds: float) -> None:
    world = context.world
    world.run(seconds)
    now = world.now
    for node in world.nodes:
        quarantine = node.daemon.core.crashes.quarantine
        assert quarantine.left_s(BAD, now) > MAX_QUARANTINE_S - 60.0, (node.number, len(quarantine))
        assert not quarantine.left_s("beside-1", now)


@when("all daemons are started again at once")
def restart_all(context: Any) -> None:
    for node in context.world.nodes:
        context.world.start_daemon(node)


@when("the store is unavailable")
def store_unavailable(context: Any) -> None:
    context.world.store_down = True


@when("the store is available again and {seconds:g} s have passed")
def store_available(context: Any, seconds: float) -> None:
    context.world.store_down = False
    context.world.run(seconds)
