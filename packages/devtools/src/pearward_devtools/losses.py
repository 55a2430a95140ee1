"""Summarise unserved requests from the daemons' logs of one simulated day.

``python -m pearward_devtools.losses LOG`` reads lines of ``seconds instance {json}`` and prints how
unserved requests ended, by route, status and reason, with the time for which they were held and
whether a target received them.
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
END_EVENTS = frozenset({"given_up", "broken_off", "caller_left"})
MAX_ROWS = 25


@dataclass
class Ending:
    """One unserved request."""

    at: float
    how: str
    route: str
    status: int
    reason: str
    held_ms: int
    attempts: int
    sent: bool
    """Whether a target received the request."""
    refusals: list[str] = field(default_factory=list)
    """Reason and time of each refusal by a target's local daemon."""


def lines(path: Path) -> Iterator[tuple[float, str, str, dict[str, Any]]]:
    """Yield time, instance, message type and fields of each line that a daemon logged."""
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
    """Return the unserved requests, with their refusals and whether they were sent."""
    sent: set[str] = set()
    refused: defaultdict[str, list[str]] = defaultdict(list)
    found: list[Ending] = []
    for at, _, kind, fields in rows:
        request = str(fields.get("id", ""))
        if kind == "sent_to_target":
            sent.add(request)
        elif kind == "not_served_here":
            refused[request].append(f"{fields['reason']} {fields['ms']}")
        elif kind in END_EVENTS:
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
    for ending in found:
        groups[ending.route, ending.how, ending.status, ending.reason, ending.sent].append(ending)
    click.echo(f"{'route':<14} {'end':<12} status {'reason':<16} sent   count  median ms  most ms")
    for key, rows in sorted(groups.items(), key=lambda item: -len(item[1]))[:MAX_ROWS]:
        route, how, status, reason, sent = key
        held = [row.held_ms for row in rows]
        click.echo(
            f"{route:<14} {how:<12} {status:>6} {reason:<16} {sent!s:<6} {len(rows):>5} "
            f"{round(median(held)):>9} {max(held):>8}"
        )


def _print_unsent(found: list[Ending]) -> None:
    """Print the status, reason and refusals of given-up requests that no target received."""
    unsent = [ending for ending in found if not ending.sent and ending.how == "given_up"]
    endings_by_path = Counter(
        (
            ending.status,
            ending.reason,
            ending.attempts,
            tuple(r.split()[0] for r in ending.refusals),
        )
        for ending in unsent
    )
    click.echo("\nnot sent: status, reason, attempts, refusals on the way")
    for path_key, count in endings_by_path.most_common(MAX_ROWS):
        held = sorted(e.held_ms for e in unsent if (e.status, e.reason, e.attempts) == path_key[:3])
        click.echo(f"{count:>6}  {path_key}  median {held[len(held) // 2]} ms")


@click.command()
@click.argument("log", type=click.Path(exists=True, path_type=Path))
@click.option(
    "--after", default=float("-inf"), help="Seconds; requests that ended earlier are left out."
)
def main(log: Path, after: float) -> None:
    """Summarise the unserved requests of a day's LOG."""
    found = [ending for ending in endings(lines(log)) if ending.at >= after]
    _print_table(found)
    _print_unsent(found)


if __name__ == "__main__":
    sys.exit(main())
