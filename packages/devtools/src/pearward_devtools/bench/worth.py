"""Where the credit of the users' bench goes: a Markdown table from the entries it leaves.

``python -m pearward_devtools.bench.worth journal`` reads every entry of the folder and prints a
row for the newest play of each standard day: what each part of the worth lost, and the three
largest prices. Entries of other commands, parts of days, and days of our own are left out.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

__all__ = ["PlayedDay", "read_days", "table"]

STANDARD = ("quiet", "trouble", "scale")
"""Slots of the days that a site file itself holds; drawn days have names of their own."""
WHOLE_DAYS = ("score", "run")
"""Commands that play the standard days as the site file has them."""
ENDED_EARLY = frozenset({"--until", "--seed", "--small"})
"""Options with which a day is not the standard one, or not the whole of it."""
PRICES_SHOWN = 3


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """One play of one day, as an entry tells it."""

    site: str
    name: str
    played_at: str
    worth: float
    lost: Mapping[str, float]
    """What each part of the worth lost, by the part's name."""
    prices: Mapping[str, float]
    broken: tuple[str, ...]
    """Rules that were broken."""

    @classmethod
    def from_entry(cls, entry: Mapping[str, Any], day: Mapping[str, Any]) -> "PlayedDay":
        """Read a day of an entry."""
        return cls(
            site=entry["site"],
            name=day["name"],
            played_at=entry["at"][1],
            worth=day["G"],
            lost={name: weight * (1.0 - value) for name, weight, value in day["parts"]},
            prices={name: worth for name, _, worth in day["prices"] if worth},
            broken=tuple(day["rules"]),
        )


def read_days(folder: Path) -> list[PlayedDay]:
    """Return the newest play of each standard day, by site and name."""
    newest: dict[tuple[str, str], PlayedDay] = {}
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        if entry["cmd"] not in WHOLE_DAYS or not ENDED_EARLY.isdisjoint(entry["argv"]):
            continue
        for day in entry.get("days") or ():
            if not str(day.get("name", "")).startswith(STANDARD) or "parts" not in day:
                continue
            played = PlayedDay.from_entry(entry, day)
            before = newest.get((played.site, played.name))
            if before is None or before.played_at < played.played_at:
                newest[played.site, played.name] = played
    return [newest[key] for key in sorted(newest)]


def table(days: Iterable[PlayedDay]) -> str:
    """Return the Markdown table."""
    lines = [
        "| site | day | worth | lost by part | largest prices | rules broken |",
        "|---|---|---|---|---|---|",
    ]
    for day in days:
        lost = ", ".join(f"{name} {value:.3f}" for name, value in _largest(day.lost))
        prices = ", ".join(f"{name} {value:.3f}" for name, value in _largest(day.prices))
        broken = ", ".join(day.broken) or "none"
        lines.append(
            f"| {day.site} | {day.name} | {day.worth:.3f} | {lost} | {prices} | {broken} |"
        )
    return "\n".join(lines)


def _largest(amounts: Mapping[str, float]) -> list[tuple[str, float]]:
    return sorted(amounts.items(), key=lambda item: -item[1])[:PRICES_SHOWN]


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def main(folder: Path) -> None:
    """Print the table."""
    click.echo(table(read_days(folder)))


if __name__ == "__main__":
    main()
