"""Output format of the measurements."""

import json

import click

__all__ = ["emit"]


def emit(name: str, value: float, unit: str, baseline: float | None = None) -> None:
    """Print one measurement as a JSON line; *baseline* is the value to compare it with."""
    row = {"name": name, "value": round(value, 4), "unit": unit, "baseline": baseline}
    if baseline is not None:
        row["baseline"] = round(baseline, 4)
    click.echo(json.dumps(row))
