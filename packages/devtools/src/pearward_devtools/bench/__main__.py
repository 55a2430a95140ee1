"""``make bench``: run all groups of measurements, or one of them."""

import importlib

import click

GROUPS = ("path", "faults", "slopes", "spread", "load")


@click.command()
@click.option("--only", type=click.Choice(GROUPS), help="Run only this group.")
def main(only: str | None) -> None:
    """Print the measurements, one JSON object per line: name, value, unit, baseline."""
    for group in (only,) if only else GROUPS:
        importlib.import_module(f"pearward_devtools.bench.{group}").run()


if __name__ == "__main__":
    main()
