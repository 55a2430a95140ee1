"""``make experiment``: plays patterns of load and prints what they earn, by seed and policy."""

import json
import statistics
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from pearward_coordination.overload.policy import Mechanism, OverloadPolicy

from .model import World
from .pattern import Pattern

__all__ = ["main"]

PATTERNS = Path(__file__).parent / "patterns"
Job = tuple[str, float, int, str]


def _play(job: Job) -> dict[str, object]:
    """Play one pattern with one seed; *off* names the mechanisms that are switched off."""
    name, load, seed, off = job
    pattern = Pattern.from_file(PATTERNS / f"{name}.yaml")
    policy = OverloadPolicy(frozenset(Mechanism(each) for each in off.split("+") if each))
    tally = World(pattern, policy, seed, load).play()
    fates = {
        each: {
            "asked": fate.asked, "in_time": fate.in_time, "late": fate.late,
            "refused": fate.refused, "again": fate.refused_again, "failed": fate.failed,
            "credit": round(fate.credit / fate.owed, 4) if fate.owed else 0.0,
        }
        for each, fate in tally.by_class.items()
    }  # fmt: skip
    return {
        "pattern": name, "load": load, "seed": seed, "off": off,
        "credit": round(tally.credit, 4), "classes": fates,
    }  # fmt: skip


@click.command()
@click.option("--pattern", "names", multiple=True, help="patterns; all where none is named")
@click.option("--load", "loads", multiple=True, type=float, help="factors of the rates")
@click.option("--seeds", default=3, show_default=True)
@click.option(
    "--without", "without", multiple=True, help="mechanism to switch off, or several joined by +"
)
@click.option("--jobs", default=None, type=int, help="processes to use; one a core by default")
@click.option("--json-lines", type=click.Path(path_type=Path), help="file for all results")
def main(
    names: tuple[str, ...],
    loads: tuple[float, ...],
    seeds: int,
    without: tuple[str, ...],
    jobs: int | None,
    json_lines: Path | None,
) -> None:
    """Print the mean credit of each pattern, with its spread over the seeds."""
    chosen = names or tuple(sorted(path.stem for path in PATTERNS.glob("*.yaml")))
    plays = [
        (name, load, seed, off)
        for name in chosen
        for load in loads or (1.0,)
        for off in ("", *without)
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(_play, plays))
    if json_lines is not None:
        json_lines.write_text("".join(json.dumps(row) + "\n" for row in results), encoding="utf-8")
    _print(results)


def _print(results: list[dict[str, object]]) -> None:
    groups: dict[tuple[str, float, str], list[dict[str, object]]] = {}
    for row in results:
        key = (str(row["pattern"]), float(str(row["load"])), str(row["off"]))
        groups.setdefault(key, []).append(row)
    click.echo(f"{'pattern':16} {'load':>5} {'without':18} {'credit':>7} {'spread':>7}  by class")
    for (name, load, off), rows in groups.items():
        credits_ = [float(str(row["credit"])) for row in rows]
        spread = max(credits_) - min(credits_)
        parts: list[str] = []
        classes = rows[0]["classes"]
        assert isinstance(classes, dict)
        for each in classes:
            fates = [row["classes"][each] for row in rows]  # type: ignore[index]
            asked = sum(f["asked"] for f in fates) or 1
            shares = "/".join(
                f"{sum(f[k] for f in fates) / asked:.2f}"
                for k in ("in_time", "late", "refused", "failed")
            )
            parts.append(f"{each} {statistics.mean(f['credit'] for f in fates):.3f} ({shares})")
        click.echo(
            f"{name:16} {load:5.2f} {off or '-':18} {statistics.mean(credits_):7.3f}"
            f" {spread:7.3f}  {'; '.join(parts)}"
        )
    click.echo("by class: credit (in time/late/refused/failed, of those asked)")


if __name__ == "__main__":
    main()
