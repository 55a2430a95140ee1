"""``make test``: check format, lint, types and layers, then run behave and report its counts."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import click

__all__ = ["main"]

BIN = Path(sys.executable).parent
SOURCES = ["packages", "platform", "features", "tests"]
LINTS = [
    [str(BIN / "ruff"), "format", "--check", "--quiet", *SOURCES],
    [str(BIN / "ruff"), "check", "--quiet", *SOURCES],
    [str(BIN / "mypy"), "packages/state/src", "packages/coordination/src", "packages/protocol/src",
     "packages/transport/src", "packages/daemon/src", "packages/cli/src", "packages/devtools/src",
     "platform/src"],
    [str(BIN / "lint-imports"), "--no-cache"],
]  # fmt: skip
KNOWN_RED = Path("KNOWN-RED.txt")
MESSAGE_LINES = 6
"""Number of last lines of a failed step's message that are printed."""


def _lint() -> int:
    """Run all checks of the sources; return the number of failed ones."""
    failed = 0
    for command in LINTS:
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        name = Path(command[0]).name
        click.echo(f"{'ok    ' if result.returncode == 0 else 'FAILED'}  {name} {command[1]}")
        if result.returncode:
            failed += 1
            click.echo(result.stdout + result.stderr)
    return failed


def _known_red() -> dict[str, str]:
    """Return the scenarios that are listed as known failures, each with its line in the list."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text(encoding="utf-8").splitlines() if line.strip()]
    return {line.split("|")[0].strip(): line for line in lines}


def _behave(arguments: list[str]) -> tuple[int, int, int]:
    """Run behave; return the numbers of passed, failed and known failing scenarios."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [
            str(BIN / "behave"), "--format", "json", "--outfile", str(report),
            "--format", "progress3", "--no-skipped", *arguments,
        ]  # fmt: skip
        subprocess.run(command, check=False)
        features = json.loads(report.read_text(encoding="utf-8") or "[]")
    known = _known_red()
    passed = failed = known_failures = 0
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] != "scenario" or element["status"] in ("skipped", "untested"):
                continue
            # behave ends the name of an outline's example with a blank.
            name = element["name"].strip()
            if element["status"] == "passed":
                passed += 1
            elif name in known:
                known_failures += 1
                click.echo(f"known red: {known[name]}")
            else:
                failed += 1
                click.echo(f"failed: {feature['name']}: {name}")
                click.echo(_failure_text(element))
    return passed, failed, known_failures


def _failure_text(element: dict[str, Any]) -> str:
    """Return the failed steps of a scenario with the last lines of their error messages.

    For output of which only the end is kept.
    """
    lines: list[str] = []
    for step in element.get("steps", []):
        message = step.get("result", {}).get("error_message", ())
        message_lines = [message] if isinstance(message, str) else list(message)
        if message_lines:
            lines += [
                f"  {step['keyword']} {step['name']}",
                *(f"    {row}" for row in message_lines[-MESSAGE_LINES:]),
            ]
    return "\n".join(lines)


@click.command()
@click.option("--lint-only", is_flag=True)
@click.argument("arguments", nargs=-1)
def main(lint_only: bool, arguments: tuple[str, ...]) -> None:
    """Check the sources and run the tests."""
    failed_lints = _lint()
    passed = failed = 0
    if not lint_only:
        passed, failed, _ = _behave(list(arguments) or ["--tags=not long", "features"])
    failed += failed_lints
    click.echo(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed or (not passed and not lint_only) else 0)


if __name__ == "__main__":
    main()
