"""Steps that play the demonstration as a newcomer does."""

import subprocess
import sys
from typing import Any

from behave import then, when

PLAY_LIMIT_S = 120
"""Time after which a demonstration that does not end counts as failed."""


@when("the demonstration is played")
def play(context: Any) -> None:
    context.played = subprocess.run(
        [sys.executable, "-m", "pearward_devtools.launcher"],
        capture_output=True,
        text=True,
        check=False,
        timeout=PLAY_LIMIT_S,
    )


@then("it prints {count:d} promises, and each was held")
def all_held(context: Any, count: int) -> None:
    lines = context.played.stdout.splitlines()
    verdicts = [line for line in lines if line.startswith(("held", "BROKEN"))]
    assert len(verdicts) == count, context.played.stdout + context.played.stderr
    assert all(line.startswith("held") for line in verdicts), context.played.stdout


@then("it ends with exit code {code:d} by itself")
def ends(context: Any, code: int) -> None:
    assert context.played.returncode == code, context.played.stderr
