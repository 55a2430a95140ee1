"""``make test``: formatter, linters, types, layers, then behave; counts come from behave."""

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
SAID = 6
"""Lines of a failed step's message that are printed again after the counts."""


def _lint() -> int:
    """Run every check of the sources; return how many failed."""
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
    """Return the scenarios that are listed as failing for a real fault, with the listed line."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text(encoding="utf-8").splitlines() if line.strip()]
    return {line.split("|")[0].strip(): line for line in lines}


def _behave(arguments: list[str]) -> tuple[int, int, int]:
    """Run behave; return how many scenarios passed, failed and failed as known."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [
            str(BIN / "behave"), "--format", "json", "--outfile", str(report),
            "--format", "progress3", "--no-skipped", *arguments,
        ]  # fmt: skip
        subprocess.run(command, check=False)
        features = json.loads(report.read_text(encoding="utf-8") or "[]")
    known = _known_red()
    passed = failed = red = 0
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] != "scenario" or element["status"] in ("skipped", "untested"):
                continue
            # The name of an outline's example ends in a blank.
            name = element["name"].strip()
            if element["status"] == "passed":
                passed += 1
            elif name in known:
                red += 1
                click.echo(f"known red: {known[name]}")
            else:
                failed += 1
                click.echo(f"failed: {feature['name']}: {name}")
                click.echo(_why(element))
    return passed, failed, red


def _why(element: dict[str, Any]) -> str:
    """Return what the failed steps of a scenario said, where only the report's end is kept."""
    lines: list[str] = []
    for step in element.get("steps", []):
        message = step.get("result", {}).get("error_message", ())
        said = [message] if isinstance(message, str) else list(message)
        if said:
            lines += [
                f"  {step['keyword']} {step['name']}",
                *(f"    {row}" for row in said[-SAID:]),
            ]
    return "\n".join(lines)


@click.command()
@click.option("--lint-only", is_flag=True)
@click.argument("arguments", nargs=-1)
def main(lint_only: bool, arguments: tuple[str, ...]) -> None:
    """Check the sources and run the tests."""
    broken = _lint()
    passed = failed = 0
    if not lint_only:
        passed, failed, _ = _behave(list(arguments) or ["--tags=not long", "features"])
    failed += broken
    click.echo(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed or (not passed and not lint_only) else 0)


if __name__ == "__main__":
    main()
