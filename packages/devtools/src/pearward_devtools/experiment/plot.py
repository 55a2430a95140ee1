"""``make plot``: plot the results of one pattern as a PNG file, by second of the first try.

Requires the extra ``plot`` of this package, which the test environment does not install.
"""

from pathlib import Path

import click

from pearward_coordination.overload.policy import Mechanism, OverloadPolicy

from .__main__ import PATTERNS
from .model import Simulation, SimulationResult
from .pattern import Pattern

__all__ = ["main"]

SERIES = ("asked", "in time", "late", "not served")
COLOURS = ("black", "tab:green", "tab:orange", "tab:red")


def _draw(axes: object, tally: SimulationResult, title: str) -> None:
    seconds = sorted(tally.seconds)
    for number, (name, colour) in enumerate(zip(SERIES, COLOURS, strict=True)):
        values = [tally.seconds[second][number] for second in seconds]
        axes.plot(seconds, values, label=name, color=colour)  # type: ignore[attr-defined]
    axes.set_title(f"{title}: credit {tally.credit:.3f}")  # type: ignore[attr-defined]
    axes.set_ylabel("requests a second")  # type: ignore[attr-defined]


@click.command()
@click.option("--pattern", "name", default="lost", show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="file; target/NAME.png by default")
def main(name: str, seed: int, out: Path | None) -> None:
    """Plot a pattern with all mechanisms enabled, and with all of them disabled."""
    try:
        from matplotlib import pyplot
    except ImportError as error:
        raise click.ClickException(f"{error}: install pearward-devtools[plot]") from error
    pyplot.switch_backend("agg")
    pattern = Pattern.from_file(PATTERNS / f"{name}.yaml")
    figure, axes = pyplot.subplots(2, 1, sharex=True, sharey=True, figsize=(9, 7))
    for row, (title, off) in enumerate((("all on", frozenset()), ("all off", set(Mechanism)))):
        tally = Simulation(pattern, OverloadPolicy(frozenset(off)), seed, 1.0).play()
        _draw(axes[row], tally, f"{name}, {title}")
    axes[0].legend()
    axes[1].set_xlabel("second of the first try")
    out = out or Path("target") / f"{name}.png"
    out.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(out)
    click.echo(str(out))


if __name__ == "__main__":
    main()
