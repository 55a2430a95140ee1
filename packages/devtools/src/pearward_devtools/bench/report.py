"""How a measurement is printed."""

import json

import click

__all__ = ["emit"]


def emit(name: str, value: float, unit: str, baseline: float | None = None) -> None:
    """Print one measurement; *baseline* is the value that it is to be compared with."""
    row = {"name": name, "value": round(value, 4), "unit": unit, "baseline": baseline}
    if baseline is not None:
        row["baseline"] = round(baseline, 4)
    click.echo(json.dumps(row))
