"""Where requests were lost, by the daemons' own lines of one played day.

``python -m pearward_devtools.losses LOG`` reads lines of ``seconds instance {json}`` and prints
how requests that were not answered ended: by route, status and reason, how long they were
held, and whether any target had received them.
"""

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Any

import click
import orjson

__all__ = ["Ending", "endings", "main"]

LINE = re.compile(r"^\s*(-?\d+\.\d+)\s+(\S+)\s+(\{.*\})$")
ENDS = frozenset({"given_up", "broken_off", "caller_left"})
SHOWN = 25


@dataclass
class Ending:
    """One request that was not answered."""

    at: float
    how: str
    route: str
    status: int
    reason: str
    held_ms: int
    attempts: int
    sent: bool
    """Whether a target had received it."""
    refusals: list[str] = field(default_factory=list)
    """Why daemons beside targets did not serve it."""


def lines(path: Path) -> Iterator[tuple[float, str, str, dict[str, Any]]]:
    """Yield time, instance, message type and fields of each line that is one of a daemon."""
    with path.open(encoding="utf-8", errors="replace") as text:
        for line in text:
            found = LINE.match(line)
            if found is None:
                continue
            try:
                fields = orjson.loads(found[3])
            except orjson.JSONDecodeError:
                continue
            kind = str(fields.get("message_type", "")).removeprefix("pearward:")
            yield float(found[1]), found[2], kind, fields


def endings(rows: Iterable[tuple[float, str, str, dict[str, Any]]]) -> list[Ending]:
    """Return the requests that were not answered, with what is known of their way."""
    sent: set[str] = set()
    refused: defaultdict[str, list[str]] = defaultdict(list)
    found: list[Ending] = []
    for at, _, kind, fields in rows:
        request = str(fields.get("id", ""))
        if kind == "sent_to_target":
            sent.add(request)
        elif kind == "not_served_here":
            refused[request].append(f"{fields['reason']} {fields['ms']}")
        elif kind in ENDS:
            found.append(
                Ending(
                    at,
                    kind,
                    fields["route"],
                    fields["status"],
                    fields["reason"],
                    fields["ms"],
                    fields["attempts"],
                    request in sent,
                    refused[request],
                )
            )
    return found


def _print_table(found: list[Ending]) -> None:
    groups: defaultdict[tuple[str, str, int, str, bool], list[Ending]] = defaultdict(list)
    for each in found:
        groups[each.route, each.how, each.status, each.reason, each.sent].append(each)
    click.echo(f"{'route':<14} {'end':<12} status {'reason':<16} sent   count  median ms  most ms")
    for key, rows in sorted(groups.items(), key=lambda item: -len(item[1]))[:SHOWN]:
        route, how, status, reason, sent = key
        held = [row.held_ms for row in rows]
        click.echo(
            f"{route:<14} {how:<12} {status:>6} {reason:<16} {sent!s:<6} {len(rows):>5} "
            f"{round(median(held)):>9} {max(held):>8}"
        )


def _print_unsent(found: list[Ending]) -> None:
    """Print what became of those that no target received and that were held for long."""
    unsent = [each for each in found if not each.sent and each.how == "given_up"]
    ways = Counter(
        (each.status, each.reason, each.attempts, tuple(r.split()[0] for r in each.refusals))
        for each in unsent
    )
    click.echo("\nnot sent: status, reason, attempts, refusals on the way")
    for way, count in ways.most_common(SHOWN):
        held = sorted(e.held_ms for e in unsent if (e.status, e.reason, e.attempts) == way[:3])
        click.echo(f"{count:>6}  {way}  median {held[len(held) // 2]} ms")


@click.command()
@click.argument("log", type=click.Path(exists=True, path_type=Path))
@click.option("--after", default=float("-inf"), help="seconds; earlier endings are left out")
def main(log: Path, after: float) -> None:
    """Print where requests were lost in a day's LOG."""
    found = [each for each in endings(lines(log)) if each.at >= after]
    _print_table(found)
    _print_unsent(found)


if __name__ == "__main__":
    sys.exit(main())
