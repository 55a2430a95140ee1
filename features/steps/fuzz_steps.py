"""Steps that run the state machines; ``EXAMPLES`` replaces their number of examples."""

import os
import sys
from pathlib import Path
from typing import Any

from behave import then, when
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

sys.path.insert(0, str(Path(__file__).parents[2]))

from tests.fuzz.mesh_machine import (
    CallMeshMachine,
    CallReturningStoreMachine,
    MeshMachine,
    ReturningStoreMachine,
)
from tests.fuzz.ownership_machine import OwnershipMachine
from tests.fuzz.rate_machine import RateMachine
from tests.fuzz.retry_machine import RetryMachine
from tests.fuzz.stream_machine import StreamMachine
from tests.fuzz.table_machine import TableMachine

MACHINES = {
    "ownership": (OwnershipMachine, 25, 20),
    "streams": (StreamMachine, 120, 40),
    "retries": (RetryMachine, 120, 40),
    "rate limits": (RateMachine, 120, 30),
    "table": (TableMachine, 120, 40),
    "ownership on a users' platform": (MeshMachine, 60, 25),
    "ownership by calls": (CallMeshMachine, 60, 25),
    "a store restored from an older copy": (ReturningStoreMachine, 60, 25),
    "a store restored from an older copy, calls": (CallReturningStoreMachine, 60, 25),
}


@when('the "{name}" state machine runs its examples')
def run_machine(context: Any, name: str) -> None:
    machine, examples, steps = MACHINES[name]
    examples_override = os.environ.get("EXAMPLES")
    config = settings(
        max_examples=int(examples_override) if examples_override else examples,
        stateful_step_count=steps,
        deadline=None,
        # Without EXAMPLES every run has the same result; with it, each run draws new examples.
        derandomize=not examples_override,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine, settings=config)
    context.notes["machine"] = name


@then("its oracle found no violation")
def no_violation(context: Any) -> None:
    assert context.notes["machine"]
