"""Print a Markdown table of the score that is lost in runs of the users' bench, by cause.

``python -m pearward_devtools.bench.worth journal`` reads every journal entry of the folder and
prints a row for the newest run of each standard day: the loss in each part of the score, and
the three largest prices. Entries of other commands, incomplete days, and days that the site
file does not define are ignored.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

__all__ = ["PlayedDay", "read_days", "table"]

STANDARD_PREFIXES = ("quiet", "trouble", "scale")
"""Name prefixes of the days that a site file defines; drawn days have other names."""
STANDARD_COMMANDS = ("score", "run")
"""Commands that run the standard days as the site file defines them."""
NON_STANDARD_OPTIONS = frozenset({"--until", "--seed", "--small"})
"""Options that change a standard day or end it early."""
PRICES_SHOWN = 3


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """One run of one day, as recorded in a journal entry."""

    site: str
    name: str
    played_at: str
    score: float
    lost: Mapping[str, float]
    """Loss in each part of the score, by the part's name."""
    prices: Mapping[str, float]
    broken: tuple[str, ...]
    """Names of the rules that the run broke."""

    @classmethod
    def from_entry(cls, entry: Mapping[str, Any], day: Mapping[str, Any]) -> "PlayedDay":
        """Create a day from its journal entry."""
        return cls(
            site=entry["site"],
            name=day["name"],
            played_at=entry["at"][1],
            score=day["G"],
            lost={name: weight * (1.0 - value) for name, weight, value in day["parts"]},
            prices={name: score for name, _, score in day["prices"] if score},
            broken=tuple(day["rules"]),
        )


def read_days(folder: Path) -> list[PlayedDay]:
    """Return the newest run of each standard day, sorted by site and name."""
    newest: dict[tuple[str, str], PlayedDay] = {}
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        if entry["cmd"] not in STANDARD_COMMANDS or not NON_STANDARD_OPTIONS.isdisjoint(
            entry["argv"]
        ):
            continue
        for day in entry.get("days") or ():
            if not str(day.get("name", "")).startswith(STANDARD_PREFIXES) or "parts" not in day:
                continue
            played = PlayedDay.from_entry(entry, day)
            previous = newest.get((played.site, played.name))
            if previous is None or previous.played_at < played.played_at:
                newest[played.site, played.name] = played
    return [newest[key] for key in sorted(newest)]


def table(days: Iterable[PlayedDay]) -> str:
    """Return a Markdown table with one row per day."""
    lines = [
        "| site | day | worth | lost by part | largest prices | rules broken |",
        "|---|---|---|---|---|---|",
    ]
    for day in days:
        lost = ", ".join(f"{name} {value:.3f}" for name, value in _largest(day.lost))
        prices = ", ".join(f"{name} {value:.3f}" for name, value in _largest(day.prices))
        broken = ", ".join(day.broken) or "none"
        lines.append(
            f"| {day.site} | {day.name} | {day.score:.3f} | {lost} | {prices} | {broken} |"
        )
    return "\n".join(lines)


def _largest(amounts: Mapping[str, float]) -> list[tuple[str, float]]:
    return sorted(amounts.items(), key=lambda item: -item[1])[:PRICES_SHOWN]


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def main(folder: Path) -> None:
    """Print the table for the journal entries in FOLDER."""
    click.echo(table(read_days(folder)))


if __name__ == "__main__":
    main()
