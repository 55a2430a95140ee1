"""Steps that run the demonstration as a new user does."""

import subprocess
import sys
from typing import Any

from behave import then, when

DEMONSTRATION_TIMEOUT_S = 120
"""Seconds after which a demonstration that has not ended counts as failed."""


@when("the demonstration is run")
def run_demonstration(context: Any) -> None:
    context.demonstration = subprocess.run(
        [sys.executable, "-m", "pearward_devtools.launcher"],
        capture_output=True,
        text=True,
        check=False,
        timeout=DEMONSTRATION_TIMEOUT_S,
    )


@then("it prints {count:d} guarantees, and each one held")
def all_held(context: Any, count: int) -> None:
    lines = context.demonstration.stdout.splitlines()
    verdicts = [line for line in lines if line.startswith(("held", "BROKEN"))]
    assert len(verdicts) == count, context.demonstration.stdout + context.demonstration.stderr
    assert all(line.startswith("held") for line in verdicts), context.demonstration.stdout


@then("it ends with exit code {code:d} by itself")
def ends(context: Any, code: int) -> None:
    assert context.demonstration.returncode == code, context.demonstration.stderr
