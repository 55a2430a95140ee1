"""``make experiment``: simulate patterns of load and print their credit, by load and policy."""

import json
import statistics
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from pearward_coordination.overload.policy import Mechanism, OverloadPolicy

from .model import Simulation
from .pattern import Pattern

__all__ = ["main"]

PATTERNS = Path(__file__).parent / "patterns"
Job = tuple[str, float, int, str]
"""Pattern, load factor, seed, and the disabled mechanisms joined by ``+``."""


def _simulate(job: Job) -> dict[str, object]:
    """Simulate one pattern with one seed, without the mechanisms named in *off*."""
    name, load, seed, off = job
    pattern = Pattern.from_file(PATTERNS / f"{name}.yaml")
    policy = OverloadPolicy(frozenset(Mechanism(each) for each in off.split("+") if each))
    tally = Simulation(pattern, policy, seed, load).play()
    per_class = {
        each: {
            "asked": counts.asked, "in_time": counts.in_time, "late": counts.late,
            "refused": counts.refused, "again": counts.refused_on_retry, "failed": counts.failed,
            "credit": round(counts.credit / counts.max_credit, 4) if counts.max_credit else 0.0,
        }
        for each, counts in tally.by_class.items()
    }  # fmt: skip
    return {
        "pattern": name, "load": load, "seed": seed, "off": off,
        "credit": round(tally.credit, 4), "classes": per_class,
        "far": tally.placements.far_share, "busiest": tally.placements.busiest_shares,
    }  # fmt: skip


@click.command()
@click.option("--pattern", "names", multiple=True, help="pattern; all patterns by default")
@click.option("--load", "loads", multiple=True, type=float, help="factor of the request rates")
@click.option("--seeds", default=3, show_default=True)
@click.option(
    "--without", "without", multiple=True, help="mechanism to disable, or several joined by +"
)
@click.option("--jobs", default=None, type=int, help="number of processes; one per core by default")
@click.option(
    "--json-lines", type=click.Path(path_type=Path), help="file to which all results are written"
)
def main(
    names: tuple[str, ...],
    loads: tuple[float, ...],
    seeds: int,
    without: tuple[str, ...],
    jobs: int | None,
    json_lines: Path | None,
) -> None:
    """Print the mean credit of each pattern, and its spread over the seeds."""
    chosen = names or tuple(sorted(path.stem for path in PATTERNS.glob("*.yaml")))
    runs = [
        (name, load, seed, off)
        for name in chosen
        for load in loads or (1.0,)
        for off in ("", *without)
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(_simulate, runs))
    if json_lines is not None:
        json_lines.write_text("".join(json.dumps(row) + "\n" for row in results), encoding="utf-8")
    _print_summary(results)


def _print_summary(results: list[dict[str, object]]) -> None:
    groups: dict[tuple[str, float, str], list[dict[str, object]]] = {}
    for row in results:
        key = (str(row["pattern"]), float(str(row["load"])), str(row["off"]))
        groups.setdefault(key, []).append(row)
    columns = f"{'credit':>7} {'spread':>7} {'far':>5}  by class"
    click.echo(f"{'pattern':16} {'load':>5} {'without':18} {columns}")
    for (name, load, off), rows in groups.items():
        credits_ = [float(str(row["credit"])) for row in rows]
        spread = max(credits_) - min(credits_)
        parts: list[str] = []
        classes = rows[0]["classes"]
        assert isinstance(classes, dict)
        for each in classes:
            class_counts = [row["classes"][each] for row in rows]  # type: ignore[index]
            asked = sum(f["asked"] for f in class_counts) or 1
            shares = "/".join(
                f"{sum(f[k] for f in class_counts) / asked:.2f}"
                for k in ("in_time", "late", "refused", "failed")
            )
            parts.append(
                f"{each} {statistics.mean(f['credit'] for f in class_counts):.3f} ({shares})"
            )
        click.echo(
            f"{name:16} {load:5.2f} {off or '-':18} {statistics.mean(credits_):7.3f}"
            f" {spread:7.3f} {_mean_far(rows):5.2f}  {'; '.join(parts)}; {_busiest(rows)}"
        )
    click.echo("by class: credit (in time/late/refused/failed, of those asked)")
    click.echo("far: share of attempts that leave the failure domain; xN: busiest target to mean")


def _mean_far(rows: list[dict[str, object]]) -> float:
    """Return the mean share of attempts that left the failure domain of their ingress."""
    return statistics.mean(float(str(row["far"])) for row in rows)


def _busiest(rows: list[dict[str, object]]) -> str:
    """Return how much busier the busiest target of each service is than the mean one."""
    shares: dict[str, list[float]] = {}
    for row in rows:
        for service, share in row["busiest"].items():  # type: ignore[attr-defined]
            shares.setdefault(service, []).append(share)
    return " ".join(f"{name} x{statistics.mean(each):.2f}" for name, each in shares.items())


if __name__ == "__main__":
    main()
